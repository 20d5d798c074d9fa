//! Who a job belongs to.
//!
//! Callers choose the names of their jobs, so two of them may choose the same one. A name stands for one job as long as that
//! is known, since the subtasks at the workers and the records in the store are named by it. For everyone but the job's own
//! caller there is no such job, and a submission under its name is refused.

use serde::{Deserialize, Serialize};

use crate::admit::Refusal;
use crate::desired::{Address, Desired, Queue};
use crate::job::{Job, JobState, Submission};
use crate::overload::Cause;
use crate::planner::Planner;

/// Who sends a call about a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Caller {
    /// Name of the queue that the call is sent to.
    pub queue: String,
    /// Client account of its key; empty on a public queue without a key.
    pub account: String,
    /// Address of that queue; `None` from an earlier build. Calls and records have a field of their own for it.
    #[serde(skip)]
    pub address: Option<Address>,
}

/// How a call is related to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relation {
    /// It comes from the job's caller.
    Own,
    /// It comes from the job's client account, on a queue that may be the job's under another name.
    Account,
    Foreign,
}

impl Caller {
    pub fn new(queue: &str, account: &str) -> Self {
        Self { queue: queue.to_owned(), account: account.to_owned(), address: None }
    }

    /// Sets the address of the queue.
    pub fn with_address(self, address: Option<Address>) -> Self {
        Self { address, ..self }
    }

    /// Returns whether a call reaches the job that `holder` has submitted.
    pub fn reaches(&self, holder: &Self, desired: &Desired) -> bool {
        self.relation(holder, desired) != Relation::Foreign
    }

    /// Returns how a call is related to the job that `holder` has submitted; docs/design/queues.md has the rules.
    ///
    /// An account is its name, whatever its keys. Callers without a key, on public queues, can't be told from others on the
    /// queue. Callers know a queue by its address alone, so that comes first.
    fn relation(&self, holder: &Self, desired: &Desired) -> Relation {
        let is_same_account = self.account == holder.account;
        if !is_same_account && !self.account.is_empty() && !holder.account.is_empty() {
            return Relation::Foreign;
        }
        let is_same_queue = self.queue == holder.queue;
        let (own, other) = (self.known_address(desired), holder.known_address(desired));
        let is_holder_served = other.is_some_and(|address| desired.queue_at(address).is_some());
        let is_own = match (own, other) {
            (Some(own), Some(other)) if own == other => true,
            (Some(_), Some(_)) => is_same_queue && !is_holder_served,
            _ => is_same_queue,
        };
        if is_own {
            return Relation::Own;
        }
        let is_holder_gone = !is_holder_served && desired.queue_named(&holder.queue).is_none();
        let is_known = own.is_some();
        let is_account_enough = match self.account.is_empty() {
            // Callers without an account are told apart only by their queue, if that is known.
            true => !is_known,
            false => is_same_queue || is_holder_gone || !is_known,
        };
        if is_same_account && is_account_enough { Relation::Account } else { Relation::Foreign }
    }

    /// Returns the address of the queue: that which the call told, or the one that has its name now.
    fn known_address<'a>(&'a self, desired: &'a Desired) -> Option<&'a Address> {
        let named = || desired.queue_named(&self.queue).map(|queue| &queue.address);
        self.address.as_ref().or_else(named)
    }
}

impl Submission {
    pub fn caller(&self) -> Caller {
        let address = self.terms.as_ref().map(|terms| terms.queue.address.clone());
        Caller::new(&self.queue, &self.account).with_address(address)
    }
}

impl Planner {
    /// Returns the job of a caller; `None` if there is none of this name, or it is another caller's. Calls of earlier builds
    /// name no caller.
    pub(crate) fn job_of(&self, name: &str, caller: Option<&Caller>) -> Option<&Job> {
        let is_reached =
            |job: &&Job| caller.is_none_or(|caller| caller.reaches(&job.sub.caller(), &self.desired));
        self.jobs.get(name).filter(is_reached)
    }

    /// Returns the job that a submission is a repeat of. On a queue that may be the job's under another name, a repeat is
    /// told by its contents.
    pub(crate) fn repeated_job(&self, sub: &Submission) -> Option<&Job> {
        let has_contents =
            |job: &Submission| job.spec == sub.spec && job.steps == sub.steps && job.schedule == sub.schedule;
        let is_repeat = |job: &&Job| match sub.caller().relation(&job.sub.caller(), &self.desired) {
            Relation::Own => true,
            Relation::Account => has_contents(&job.sub),
            Relation::Foreign => false,
        };
        self.jobs.get(&sub.job).filter(is_repeat)
    }

    /// Returns whether a call may be its job's own though it doesn't reach it: its entry has found the queue in a later
    /// desired state than this planner has.
    pub fn may_reach_later(&self, name: &str, caller: &Caller, version: u64) -> bool {
        version > self.desired.version
            && self.jobs.get(name).is_some_and(|job| {
                let holder = job.sub.caller();
                let is_same_account = holder.account == caller.account || caller.account.is_empty();
                is_same_account && !caller.reaches(&holder, &self.desired)
            })
    }

    /// Returns the number of accepted jobs that have not started and are planned by the queue at an address; without one, by
    /// that of the name.
    pub fn pending(&self, queue: &str, address: Option<&Address>) -> usize {
        let named = || self.desired.queue_named(queue).map(|queue| &queue.address);
        let address = address.or_else(named).filter(|address| self.desired.queue_at(address).is_some());
        let is_in_queue = |in_force: &Queue| match address {
            Some(address) => in_force.address == *address,
            None => in_force.name == queue,
        };
        let waiting = |job: &&Job| {
            job.outcome.is_none() && !job.started && job.queue().map_or(job.sub.queue == queue, is_in_queue)
        };
        self.live.iter().filter_map(|name| self.jobs.get(name)).filter(waiting).count()
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
