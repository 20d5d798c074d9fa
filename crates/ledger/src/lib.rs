//! Records of the platform's log, and the state that every reader derives by folding them.

pub mod fold;
pub mod job;
pub mod record;

pub use fold::{ApplyOutcome, CommandOutcome, Fold, OffsetGap};
pub use job::{Job, JobOutcome, JobSpec, RecordedAttempt, Stage};
pub use record::{Command, CommandRecord, Record, Subject};
