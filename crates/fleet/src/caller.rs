//! Who a job belongs to.
//!
//! Callers choose the names of their jobs, so two of them may choose the same one. A name stands for one job as long as that
//! is known, since the subtasks at the workers and the records in the store are named by it. For everyone but the job's own
//! caller there is no such job, and a submission under its name is refused.

use serde::{Deserialize, Serialize};

use crate::admit::Refusal;
use crate::desired::Desired;
use crate::job::{Job, JobState, Submission};
use crate::overload::Cause;
use crate::planner::Planner;

/// Who sends a call about a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Caller {
    /// Queue that the call is sent to.
    pub queue: String,
    /// Client account of its key; empty on a public queue without a key.
    pub account: String,
}

impl Caller {
    pub fn new(queue: &str, account: &str) -> Self {
        Self { queue: queue.to_owned(), account: account.to_owned() }
    }

    /// Returns whether two calls come from the same caller.
    ///
    /// An account is its name, whatever its keys. Callers without a key, on public queues, can't be told from others on the
    /// queue. A queue that isn't in the desired state may be known under another name, so the account alone decides.
    pub fn is_same(&self, other: &Self, desired: &Desired) -> bool {
        let same_account =
            self.account == other.account || self.account.is_empty() || other.account.is_empty();
        let is_known = |caller: &Self| desired.queue(&caller.queue).is_some();
        same_account && (self.queue == other.queue || !is_known(self) || !is_known(other))
    }
}

impl Submission {
    pub fn caller(&self) -> Caller {
        Caller::new(&self.queue, &self.account)
    }
}

impl Planner {
    /// Returns the job of a caller; `None` if there is none of this name, or it is another caller's. Calls of earlier builds
    /// name no caller.
    pub(crate) fn job_of(&self, name: &str, caller: Option<&Caller>) -> Option<&Job> {
        let is_own =
            |job: &&Job| caller.is_none_or(|caller| caller.is_same(&job.sub.caller(), &self.desired));
        self.jobs.get(name).filter(is_own)
    }

    /// Returns the job that a submission is a repeat of. On another queue, which may be the same one under a new name, a
    /// repeat is told by its contents.
    pub(crate) fn repeated_job(&self, sub: &Submission) -> Option<&Job> {
        let has_contents =
            |job: &Submission| job.spec == sub.spec && job.steps == sub.steps && job.schedule == sub.schedule;
        self.job_of(&sub.job, Some(&sub.caller()))
            .filter(|job| job.sub.queue == sub.queue || has_contents(&job.sub))
    }

    /// Returns why a submission that is no repeat can't have its name; `None` if it can.
    pub(crate) fn check_name(&self, now: u64, sub: &Submission) -> Option<Refusal> {
        let job = self.jobs.get(&sub.job)?;
        let retention_ms = self.timing.ended_retention_ms;
        // The name is free once the other job is forgotten; when one that runs will end is not known.
        let retry_after_ms = match job.outcome {
            Some(_) => (job.ended_at + retention_ms).saturating_sub(now).max(1),
            None => retention_ms,
        };
        Some(Refusal {
            cause: Cause::NameInUse,
            reason:
                "the name stands for another job; it has not run, and can be submitted under another name"
                    .to_owned(),
            inputs: format!("holder_queue={} holder_account={}", job.sub.queue, job.sub.account),
            retry_after_ms,
        })
    }

    /// Returns whether a submission is a repeat of a known job, stored or not.
    pub fn knows_submission(&self, sub: &Submission) -> bool {
        self.repeated_job(sub).is_some()
    }

    /// Returns whether a submission is a repeat of a job that is stored.
    pub fn has_stored(&self, sub: &Submission) -> bool {
        self.repeated_job(sub).is_some_and(|job| job.accepted_in <= self.stored())
    }

    /// Returns whether a caller's job is known, stored or not; without a caller, whether any is.
    pub fn knows_for(&self, name: &str, caller: Option<&Caller>) -> bool {
        self.job_of(name, caller).is_some()
    }

    /// Returns the state of a caller's job as [`Self::state`] does; without a caller, of any.
    pub fn state_for(&self, name: &str, caller: Option<&Caller>) -> Option<JobState> {
        self.job_of(name, caller)?;
        self.state(name)
    }

    /// Forgets a submitted job as [`Self::withdraw`] does, unless its name stands for the job of another caller.
    pub fn withdraw_submission(&mut self, sub: &Submission) -> bool {
        self.knows_submission(sub) && self.withdraw(&sub.job)
    }
}
