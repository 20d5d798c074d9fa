//! By which queue's terms an accepted job goes on.
//!
//! Operators rename, move and remove queues while jobs are under way. Callers know only the host and path that they use, so
//! a job keeps the queue that it was submitted to, as the newest desired state that had it says.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::bounds::{MAX_DURATION_MS, MAX_STRETCH_MILLI};
use crate::desired::{Address, Desired, Queue};
use crate::job::{Job, Submission};
use crate::planner::Planner;
use crate::record::new_job;

/// A queue as of a version of the desired state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    pub version: u64,
    pub queue: Queue,
}

/// What a desired state says of the queue that a job was submitted to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It has the queue.
    #[display("unchanged")]
    Unchanged,
    /// It has a queue of another name at the same address.
    #[display("renamed")]
    Renamed,
    /// It has a queue of this name at another address, and none at this one.
    #[display("moved")]
    Moved,
    /// It has neither.
    #[display("removed")]
    Removed,
    /// No desired state that has the queue is known.
    #[display("unknown")]
    Unknown,
}

/// The queue by which a job is planned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueInForce {
    pub standing: Standing,
    pub queue: Queue,
}

/// The queues of a desired state by name and by address.
struct QueueIndex<'a> {
    by_name: BTreeMap<&'a str, &'a Queue>,
    by_address: BTreeMap<&'a Address, &'a Queue>,
}

impl<'a> QueueIndex<'a> {
    fn new(desired: &'a Desired) -> Self {
        // Of several with the same name or address the first counts, as for calls.
        let queues = || desired.queues.iter().rev();
        Self {
            by_name: queues().map(|queue| (queue.name.as_str(), queue)).collect(),
            by_address: queues().map(|queue| (&queue.address, queue)).collect(),
        }
    }
}

/// What a desired state has in place of the queue that a job was submitted to.
struct Found<'a> {
    version: u64,
    /// Queue of the same name.
    named: Option<&'a Queue>,
    /// Queue at the same address.
    at_address: Option<&'a Queue>,
}

impl Terms {
    pub fn new(desired: &Desired, queue: &Queue) -> Self {
        Self { version: desired.version, queue: queue.clone() }
    }

    /// Moves values that are out of bounds to the nearest within; returns whether there were any.
    pub fn clamp(&mut self) -> bool {
        let queue = &mut self.queue;
        let before = (queue.stretch_milli, queue.full_value_ms);
        queue.stretch_milli = queue.stretch_milli.min(MAX_STRETCH_MILLI);
        queue.full_value_ms = queue.full_value_ms.min(MAX_DURATION_MS);
        (queue.stretch_milli, queue.full_value_ms) != before
    }

    /// Takes over what a newer desired state says of the same queue; returns whether that differs.
    fn update(&mut self, found: &Found) -> bool {
        let is_same = |queue: &&Queue| queue.address == self.queue.address;
        let same = found.named.filter(is_same).filter(|_| found.version > self.version);
        match same.filter(|queue| **queue != self.queue) {
            Some(queue) => {
                *self = Self { version: found.version, queue: queue.clone() };
                true
            }
            None => false,
        }
    }

    /// Returns the queue by which a job with these terms is planned.
    fn in_force(&self, found: &Found) -> QueueInForce {
        let own = &self.queue;
        let is_own = found.named.is_some_and(|queue| queue.address == own.address);
        let (standing, other) = match (found.at_address, found.named) {
            // A desired state that is older than the terms says nothing of them.
            _ if is_own || found.version < self.version => (Standing::Unchanged, own),
            (Some(queue), _) => (Standing::Renamed, queue),
            (None, Some(queue)) => (Standing::Moved, queue),
            (None, None) => (Standing::Removed, own),
        };
        // The other queue may be meant as the same one or not, so the job gets only what both allow.
        let queue = Queue {
            service: own.service.clone(),
            max_attempts: own.max_attempts.min(other.max_attempts),
            needs_approval: own.needs_approval || other.needs_approval,
            ..other.clone()
        };
        QueueInForce { standing, queue }
    }
}

impl Job {
    /// Returns the queue by which the job is planned; `None` while its terms are unknown.
    pub fn queue(&self) -> Option<&Queue> {
        self.in_force.as_ref().map(|in_force| &in_force.queue)
    }

    /// Returns what the newest desired state says of the queue that the job was submitted to.
    pub fn queue_standing(&self) -> Standing {
        self.in_force.as_ref().map_or(Standing::Unknown, |in_force| in_force.standing)
    }

    /// Determines the queue by which the job is planned; returns whether its own terms have changed.
    fn follow_queue(&mut self, found: &Found) -> bool {
        let is_changed = match &mut self.sub.terms {
            Some(terms) => terms.update(found),
            None => {
                let named = found.named.cloned();
                self.sub.terms = named.map(|queue| Terms { version: found.version, queue });
                self.sub.terms.is_some()
            }
        };
        self.has_newer_terms |= is_changed;
        self.in_force = self.sub.terms.as_ref().map(|terms| terms.in_force(found));
        is_changed
    }

    /// Returns the address that the job was submitted to, if that is known.
    fn address(&self) -> Option<&Address> {
        self.sub.terms.as_ref().map(|terms| &terms.queue.address)
    }
}

/// Open jobs of a queue that the desired state doesn't have as they were submitted to it.
type Changed = BTreeMap<(String, Standing), (usize, Option<Queue>)>;

impl Planner {
    /// Creates the job of a submission that is accepted with the change that is being collected.
    pub(crate) fn new_job(&self, sub: &Submission, wall: u64) -> Job {
        let mut job = new_job(sub.clone(), wall);
        if let Some(terms) = &mut job.sub.terms {
            terms.clamp();
        }
        let desired = &self.desired;
        let at_address = job.address().and_then(|address| desired.queue_at(address));
        let found = Found { version: desired.version, named: desired.queue_named(&sub.queue), at_address };
        job.follow_queue(&found);
        // Its first record has the terms.
        job.has_newer_terms = false;
        job.accepted_in = self.change;
        job
    }

    /// Determines the queues by which the jobs are planned under the desired state. Ended jobs keep theirs.
    pub(crate) fn follow_queues(&mut self) {
        let desired = self.desired.clone();
        let index = QueueIndex::new(&desired);
        for (name, job) in &mut self.jobs {
            let is_open = job.outcome.is_none();
            let found = Found {
                version: desired.version,
                named: index.by_name.get(job.sub.queue.as_str()).copied(),
                at_address: job.address().and_then(|address| index.by_address.get(address)).copied(),
            };
            if !is_open && job.in_force.is_some() {
                continue;
            }
            let is_changed = job.follow_queue(&found);
            if is_open && is_changed {
                self.untaken.changed_jobs.insert(name.clone());
            }
        }
        self.log_changed_queues();
    }

    /// Logs for each queue whose open jobs go on otherwise than unchanged by what.
    fn log_changed_queues(&mut self) {
        let version = self.desired.version;
        let mut changed = Changed::new();
        for job in self.live.iter().filter_map(|name| self.jobs.get(name)) {
            let standing = job.queue_standing();
            if job.outcome.is_none() && standing != Standing::Unchanged {
                let key = (job.sub.queue.clone(), standing);
                let (jobs, _) = changed.entry(key).or_insert_with(|| (0, job.queue().cloned()));
                *jobs += 1;
            }
        }
        for ((queue, standing), (jobs, in_force)) in changed {
            let in_force = in_force.map_or_else(String::new, |queue| {
                let Queue { name, address, service, priority, max_attempts, .. } = queue;
                format!(
                    " now={name} at={address} service={service} priority={priority} max_attempts={max_attempts}"
                )
            });
            self.log_line(format!(
                "event=queue_standing queue={queue} standing={standing} version={version} jobs={jobs}{in_force}"
            ));
        }
    }

    /// Returns the numbers of open jobs whose queue's terms are unknown, of which nothing starts, and of those whose queue
    /// was removed.
    pub fn jobs_without_queue(&self) -> (usize, usize) {
        let open =
            || self.live.iter().filter_map(|name| self.jobs.get(name)).filter(|job| job.outcome.is_none());
        let count = |standing: Standing| open().filter(|job| job.queue_standing() == standing).count();
        (count(Standing::Unknown), count(Standing::Removed))
    }
}
