//! What lasts: records of the platform's log and the fold that every process makes of them.

pub mod fold;
pub mod job;
pub mod record;

pub use fold::{Applied, Fold, Gap, Verdict};
pub use job::{Final, Job, JobSpec, Placed, Stage};
pub use record::{Command, CommandRecord, Record, Subject};
