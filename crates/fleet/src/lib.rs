//! Decisions of the planner: admission, placement, preemption and the life of every run.
//!
//! Everything here is synchronous and has no network. Time is passed in: `now` is a steady clock in milliseconds
//! that counts suspension, `wall` is milliseconds since 1970.

pub mod admit;
pub mod approvals;
pub mod desired;
pub mod intake;
pub mod job;
pub mod orders;
pub mod pace;
pub mod place;
pub mod planner;
pub mod preempt;
pub mod record;
pub mod report;
pub mod room;
pub mod task;
pub mod unit;
pub mod value;
pub mod view;
pub mod wish;
pub mod worker;

pub use desired::Desired;
pub use job::{Job, JobState, Step, Submission};
pub use planner::{Planner, Timing};
pub use room::Room;
pub use task::Task;
