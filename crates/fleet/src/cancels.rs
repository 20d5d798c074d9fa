//! Cancels of jobs that are not known.
//!
//! A submission may still be on its way when its job is cancelled: at an entry that retries it, or at an earlier leader. So
//! the cancel is kept and stored like that of a known job, and a submission that arrives later finds it.

use std::collections::BTreeMap;

use crate::job::{Outcome, Submission};
use crate::planner::{Admission, Planner};
use crate::record::{self, new_job};

/// Cancels of unknown jobs that are kept at a time: names are free, so callers could fill the store with them.
pub const MAX_CANCELS: usize = 4_096;

/// Time after which a caller should repeat a cancel that can't be kept, in milliseconds: the longest wait of a caller whose
/// submission may be on its way.
const RETRY_AFTER_MS: u64 = 3_000;

/// Result of a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The job has ended, or ends once the change is stored.
    Known {
        /// Number of the change that must be stored.
        change: u64,
    },
    /// No such job exists, and none starts under this name once the change is stored.
    Unknown {
        /// Number of the change that must be stored.
        change: u64,
    },
    /// No such job is known, and too many such cancels are kept to keep another one.
    TooMany {
        /// Delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A cancel of an unknown job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cancel {
    /// When it arrived, in milliseconds since 1970 on the clock of the leader that it arrived at.
    pub(crate) at_ms: u64,
    /// When this planner learned of it, on the monotonic clock.
    pub(crate) learned_at: u64,
    /// Number of the change that stores it; 0 if an earlier planner did.
    pub(crate) change: u64,
}

/// Cancels of unknown jobs by the jobs' names.
pub(crate) type Cancels = BTreeMap<String, Cancel>;

impl Planner {
    /// Restores the cancels of unknown jobs that earlier planners have stored: names, with the times in milliseconds since
    /// 1970. Jobs of these names that are open end: a leader of an earlier build, which ignores the cancels, has accepted
    /// them.
    pub fn with_cancels(mut self, cancels: BTreeMap<String, u64>) -> Self {
        let learned_at = self.created_at;
        for (name, at_ms) in &cancels {
            let accepted_ms = self.jobs.get(name).map_or(0, |job| job.accepted_ms);
            self.end_job(learned_at, accepted_ms.max(*at_ms), name, Outcome::Cancelled);
        }
        let cancel = |(name, at_ms)| (name, Cancel { at_ms, learned_at, change: 0 });
        self.cancels = cancels.into_iter().map(cancel).collect();
        self
    }

    /// Cancels a job, whether it is known or not.
    pub fn cancel(&mut self, now: u64, wall: u64, name: &str) -> Cancellation {
        if let Some(job) = self.jobs.get(name) {
            if job.outcome.is_some() {
                return Cancellation::Known { change: job.ended_in };
            }
            self.end_job(now, wall, name, Outcome::Cancelled);
            return Cancellation::Known { change: self.change };
        }
        if let Some(cancel) = self.cancels.get(name) {
            return Cancellation::Unknown { change: cancel.change };
        }
        if self.cancels.len() >= MAX_CANCELS {
            self.remove_inherited_cancels(wall);
        }
        if self.cancels.len() >= MAX_CANCELS {
            return Cancellation::TooMany { retry_after_ms: RETRY_AFTER_MS };
        }
        let change = self.change;
        self.cancels.insert(name.to_owned(), Cancel { at_ms: wall, learned_at: now, change });
        self.untaken.new_cancels.insert(name.to_owned());
        Cancellation::Unknown { change }
    }

    /// Accepts a job that was cancelled before it arrived, as one that has ended; `None` if it wasn't.
    pub(crate) fn submit_cancelled(&mut self, now: u64, wall: u64, sub: &Submission) -> Option<Admission> {
        let cancel = self.cancels.get(&sub.job)?;
        let cancelled_ms_ago = wall.saturating_sub(cancel.at_ms);
        let change = self.change;
        let mut job = new_job(sub.clone(), wall);
        job.outcome = Some(Outcome::Cancelled);
        (job.ended_ms, job.ended_at) = (wall, now);
        (job.accepted_in, job.ended_in) = (change, change);
        self.jobs.insert(sub.job.clone(), job);
        self.untaken.new_jobs.insert(sub.job.clone());
        self.mark_changed(&sub.job);
        self.log_line(format!(
            "event=cancelled_before job={} queue={} epoch={} cancelled_ms_ago={cancelled_ms_ago}",
            sub.job, sub.queue, self.epoch
        ));
        Some(Admission::Accepted { change })
    }

    /// Forgets the cancels that this planner has kept for as long as ended jobs. It counts from when it learned of them, since
    /// the clocks of two leaders may differ.
    pub(crate) fn remove_old_cancels(&mut self, now: u64) {
        let retention_ms = self.timing.ended_retention_ms;
        self.remove_cancels(|cancel| now > cancel.learned_at + retention_ms);
    }

    /// Forgets the cancels of earlier planners that are older than the retention by this leader's wall clock: where hand-overs
    /// are more frequent than the retention is long, each planner has kept them for less.
    fn remove_inherited_cancels(&mut self, wall: u64) {
        let retention_ms = self.timing.ended_retention_ms;
        self.remove_cancels(|cancel| cancel.change == 0 && wall > cancel.at_ms.saturating_add(retention_ms));
    }

    fn remove_cancels(&mut self, is_old: impl Fn(&Cancel) -> bool) {
        for (name, _) in self.cancels.extract_if(.., |_, cancel| is_old(cancel)) {
            self.untaken.new_cancels.remove(&name);
            self.untaken.removals.push(record::cancel_deletion(&name));
        }
    }
}
