//! Planning logic of the scheduler: admission, placement, preemption and the lifecycle of every run.
//!
//! The crate is synchronous and does no network I/O. Callers pass in the time: `now` is a monotonic clock in
//! milliseconds that includes suspended time, `wall` is milliseconds since 1970.

pub mod account_counts;
pub mod admit;
pub mod apply_report;
pub mod approvals;
pub mod assign;
pub mod assignments;
pub mod bounds;
pub mod caller;
pub mod cancels;
mod changes;
pub mod choose;
pub mod claims;
pub mod crash;
pub mod desired;
pub mod digest;
pub mod forecast;
pub mod forecast_errors;
pub mod hold;
pub mod incarnation;
pub mod job;
pub mod leaving;
pub mod line_limit;
pub mod outlook;
pub mod overload;
pub mod pace;
pub mod pass;
mod patience;
pub mod place;
pub mod planner;
pub mod pool;
pub mod preempt;
pub mod record;
pub mod report;
pub mod reserve;
pub mod resources;
mod rooms;
pub mod run_progress;
pub mod stops;
pub mod task;
pub mod terms;
pub mod timing;
pub mod trial;
pub mod unit;
pub mod value;
pub mod victims;
pub mod view;
pub mod wait;
mod wait_log;
pub mod worker;

pub use caller::Caller;
pub use desired::Desired;
pub use job::{Job, JobState, Step, Submission};
pub use line_limit::LineLimit;
pub use planner::{Planner, Timing};
pub use resources::Resources;
pub use task::Task;
pub use terms::Terms;
