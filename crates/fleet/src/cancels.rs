//! Cancels of jobs that are not known.
//!
//! A submission may still be on its way when its job is cancelled: at an entry that retries it, or at an earlier leader. So
//! the cancel is kept and stored like that of a known job, and a submission of the same caller that arrives later finds it.

use std::collections::{BTreeMap, BTreeSet};

use crate::caller::Caller;
use crate::desired::Address;
use crate::job::{Outcome, Submission};
use crate::planner::{Admission, Planner};
use crate::record;

/// Cancels of unknown jobs that are kept at a time: names are free, so callers could fill the store with them.
pub const MAX_CANCELS: usize = 4_096;

/// Cancels up to which no account is limited. The rest of [`MAX_CANCELS`] is divided among the accounts, so that none keeps
/// another one from cancelling.
pub const MAX_SHARED_CANCELS: usize = MAX_CANCELS / 2;

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
    /// No such job is known, and too many such cancels are kept, in all or for the account, to keep another one.
    TooMany {
        /// Delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A cancel of an unknown job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Cancel {
    pub(crate) stored: StoredCancel,
    /// When this planner learned of it, on the monotonic clock.
    pub(crate) learned_at: u64,
    /// Number of the change that stores it; 0 if an earlier planner did.
    pub(crate) change: u64,
}

/// A cancel of an unknown job as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCancel {
    /// When it arrived, in milliseconds since 1970 on the clock of the leader that it arrived at.
    pub at_ms: u64,
    /// Address of the queue that it was sent to; `None` if it isn't known, or the same caller sent it to several.
    pub address: Option<Address>,
    /// Whether its record is one that builds without callers ignore.
    pub is_apart: bool,
}

impl StoredCancel {
    /// Returns who sent it, with the address.
    fn sender(&self, caller: &Caller) -> Caller {
        caller.clone().with_address(self.address.clone())
    }
}

/// Name of a job that was cancelled while it was unknown, and who cancelled it, without an address. A cancel without a
/// caller, from an earlier build, holds for all.
pub type CancelKey = (String, Option<Caller>);

/// Cancels of unknown jobs.
pub(crate) type Cancels = BTreeMap<CancelKey, Cancel>;

impl Planner {
    /// Restores the cancels of unknown jobs that earlier planners have stored. Jobs of these names and callers that are open
    /// end: a leader of an earlier build, which ignores the cancels, has accepted them.
    pub fn with_cancels(mut self, cancels: BTreeMap<CancelKey, StoredCancel>) -> Self {
        let learned_at = self.created_at;
        for ((name, caller), cancel) in &cancels {
            let caller = caller.as_ref().map(|caller| cancel.sender(caller));
            let Some(job) = self.job_of(name, caller.as_ref()) else { continue };
            let accepted_ms = job.accepted_ms;
            self.end_job(learned_at, accepted_ms.max(cancel.at_ms), name, Outcome::Cancelled);
        }
        let names: BTreeSet<String> = cancels.keys().map(|(name, _)| name.clone()).collect();
        let cancel = |(key, stored)| (key, Cancel { stored, learned_at, change: 0 });
        self.cancels = cancels.into_iter().map(cancel).collect();
        let open = names.iter().filter(|name| self.jobs.get(*name).is_some_and(|job| job.outcome.is_none()));
        for name in open.cloned().collect::<Vec<_>>() {
            self.set_cancels_apart(&name);
        }
        self
    }

    /// Cancels a job, whoever's it is, and whether it is known or not.
    pub fn cancel(&mut self, now: u64, wall: u64, name: &str) -> Cancellation {
        self.cancel_for(now, wall, name, None)
    }

    /// Cancels a caller's job, whether it is known or not; without a caller, whoever's it is.
    pub fn cancel_for(&mut self, now: u64, wall: u64, name: &str, caller: Option<&Caller>) -> Cancellation {
        if let Some(job) = self.job_of(name, caller) {
            if job.outcome.is_some() {
                return Cancellation::Known { change: job.ended_in };
            }
            self.end_job(now, wall, name, Outcome::Cancelled);
            return Cancellation::Known { change: self.change };
        }
        let address = caller.and_then(|caller| caller.address.clone());
        let key = (name.to_owned(), caller.map(|caller| caller.clone().with_address(None)));
        if let Some(change) = self.repeat_cancel(&key, address.as_ref()) {
            return Cancellation::Unknown { change };
        }
        if self.has_too_many_cancels(caller) {
            self.remove_inherited_cancels(wall);
        }
        if self.has_too_many_cancels(caller) {
            return Cancellation::TooMany { retry_after_ms: RETRY_AFTER_MS };
        }
        let change = self.change;
        let is_apart = self.jobs.contains_key(name) || self.cancels_of(name).next().is_some();
        let stored = StoredCancel { at_ms: wall, address, is_apart };
        self.cancels.insert(key.clone(), Cancel { stored, learned_at: now, change });
        self.untaken.new_cancels.insert(key);
        Cancellation::Unknown { change }
    }

    /// Returns the number of the change that stores a kept cancel, if a further one adds at most its address to it.
    fn repeat_cancel(&mut self, key: &CancelKey, address: Option<&Address>) -> Option<u64> {
        if let Some(cancel) = self.cancels.get(&(key.0.clone(), None)) {
            return Some(cancel.change);
        }
        let change = self.change;
        let cancel = self.cancels.get_mut(key)?;
        if cancel.stored.address.is_some() && cancel.stored.address.as_ref() != address {
            cancel.stored.address = None;
            cancel.change = change;
            self.untaken.new_cancels.insert(key.clone());
        }
        Some(cancel.change)
    }

    /// Returns whether no further cancel of a caller can be kept. Calls of earlier builds name none, and count in all alone.
    fn has_too_many_cancels(&self, caller: Option<&Caller>) -> bool {
        let kept = self.cancels.len();
        let Some(caller) = caller.filter(|_| (MAX_SHARED_CANCELS..MAX_CANCELS).contains(&kept)) else {
            return kept >= MAX_CANCELS;
        };
        // Callers without an account share a part as those of one.
        let share = (MAX_CANCELS - MAX_SHARED_CANCELS) / (self.desired.accounts.len() + 1);
        let is_own =
            |other: &&Option<Caller>| other.as_ref().is_some_and(|other| other.account == caller.account);
        self.cancels.keys().map(|(_, caller)| caller).filter(is_own).count() >= share
    }

    fn cancels_of(&self, name: &str) -> impl Iterator<Item = (&CancelKey, &Cancel)> {
        self.cancels.range((name.to_owned(), None)..).take_while(move |((job, _), _)| job == name)
    }

    /// Stores the cancels of a name anew in records that builds without callers ignore. Such a build would end the job that
    /// has the name, which is another caller's.
    pub(crate) fn set_cancels_apart(&mut self, name: &str) {
        let plain =
            self.cancels_of(name).filter(|((_, caller), cancel)| caller.is_some() && !cancel.stored.is_apart);
        for key in plain.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.untaken.removals.push(record::cancel_deletion(&key, false));
            if let Some(cancel) = self.cancels.get_mut(&key) {
                cancel.stored.is_apart = true;
            }
            self.untaken.new_cancels.insert(key);
        }
    }

    /// Accepts a job that was cancelled before it arrived, as one that has ended; `None` if it wasn't.
    pub(crate) fn submit_cancelled(&mut self, now: u64, wall: u64, sub: &Submission) -> Option<Admission> {
        let submitter = sub.caller();
        let holds = |((_, sender), cancel): &(&CancelKey, &Cancel)| {
            let sender = sender.as_ref().map(|sender| cancel.stored.sender(sender));
            sender.is_none_or(|sender| sender.reaches(&submitter, &self.desired))
        };
        let (_, cancel) = self.cancels_of(&sub.job).find(holds)?;
        let cancelled_ms_ago = wall.saturating_sub(cancel.stored.at_ms);
        let change = self.change;
        let mut job = self.new_job(sub, wall);
        job.outcome = Some(Outcome::Cancelled);
        (job.ended_ms, job.ended_at) = (wall, now);
        job.ended_in = change;
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
        let is_old = |at_ms: u64| wall > at_ms.saturating_add(retention_ms);
        self.remove_cancels(|cancel| cancel.change == 0 && is_old(cancel.stored.at_ms));
    }

    fn remove_cancels(&mut self, is_old: impl Fn(&Cancel) -> bool) {
        for (key, cancel) in self.cancels.extract_if(.., |_, cancel| is_old(cancel)) {
            self.untaken.new_cancels.remove(&key);
            self.untaken.removals.push(record::cancel_deletion(&key, cancel.stored.is_apart));
        }
    }
}
