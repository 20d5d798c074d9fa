//! The agent's authority over its worker: what is granted, to whom, and who yields.

use std::collections::BTreeMap;

use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::reclaim::{BackingUse, Share, select_victims};
use sorrelland_core::shape::Amount;
use sorrelland_core::table::Class;
use sorrelland_core::tick::{Cause, URGENT_GRACE_MS};
use sorrelland_lease::{CommitPoint, Epoch, Member, RenewalReply};
use sorrelland_wire::agent::{AgentConfig, GangStatus, Renew, Reserve, ReserveReply};

/// Time for which what is known about an ended gang is kept, in milliseconds.
pub const ENDED_KEPT_MS: Millis = 6 * 60 * 60 * 1_000;

/// Time after the grace for which vacated room is kept for who asked for it, in milliseconds.
const PROMISE_MARGIN_MS: Millis = 3_000;

/// A gang's share of the worker.
#[derive(Clone, Debug)]
pub struct Grant {
    /// What was asked for.
    pub reserve: Reserve,
    /// When the hold began.
    pub since_ms: Millis,
    /// When the next renewal is due.
    pub renew_ms: Millis,
    /// When the gang has to be gone, if it was asked to yield.
    pub yield_ms: Option<Millis>,
    /// Why its tasks failed, if they did.
    pub failed: Option<String>,
    /// Whether the worker confirmed the start of every task.
    pub started: bool,
}

impl Grant {
    /// Returns the resources held.
    pub fn held(&self) -> Amount {
        self.reserve.per_task.times(self.reserve.tasks)
    }

    /// Returns the names of its tasks on the worker.
    pub fn tasks(&self) -> Vec<String> {
        let name = |at| format!("{}~{}~{at}", self.reserve.job, self.reserve.epoch);
        (0..self.reserve.tasks).map(name).collect()
    }
}

/// What is remembered about a gang that is not on the worker any more.
#[derive(Clone, Debug, Default)]
pub struct Remembered {
    /// Run time that a checkpoint kept, in milliseconds.
    pub done_ms: Millis,
    /// Why it failed.
    pub failed: Option<String>,
    /// Time without a word of the claimant after which the gang stops, in milliseconds.
    pub claim_lease_ms: Millis,
    /// Last word of the claimant.
    pub claimant_ms: Millis,
    /// Last change.
    pub touched_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    epoch: Epoch,
    amount: Amount,
    until_ms: Millis,
}

/// What the agent alone decides.
#[derive(Debug)]
pub struct Authority {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Resources of the worker.
    pub capacity: Amount,
    /// Holds and fences.
    pub member: Member,
    /// Gangs that commit here.
    pub commit: CommitPoint,
    /// Gangs on the worker.
    pub grants: BTreeMap<JobId, Grant>,
    /// Gangs that are known but not on the worker, and those that commit here.
    pub remembered: BTreeMap<JobId, Remembered>,
    /// Configuration in force.
    pub config: Option<AgentConfig>,
    /// Whether the process is leaving.
    pub leaving: bool,
    /// Number of the newest report.
    pub report_number: u64,
    promises: BTreeMap<JobId, Promise>,
    lease_ms: Millis,
    grace_ms: Millis,
}

impl Authority {
    /// Creates the authority of an agent that has just started.
    pub fn new(worker: &WorkerId, capacity: Amount, lease_ms: Millis, grace_ms: Millis) -> Self {
        Self {
            worker: worker.clone(),
            capacity,
            member: Member::new(),
            commit: CommitPoint::new(lease_ms),
            grants: BTreeMap::new(),
            remembered: BTreeMap::new(),
            config: None,
            leaving: false,
            report_number: 1,
            promises: BTreeMap::new(),
            lease_ms,
            grace_ms,
        }
    }

    /// Returns whether nothing new is taken.
    pub fn is_draining(&self) -> bool {
        self.leaving || self.config.as_ref().is_some_and(|config| config.drained)
    }

    /// Puts a configuration in force unless a newer one is; returns the offset in force.
    pub fn configure(&mut self, config: AgentConfig) -> u64 {
        let current = self.config.as_ref().map(|c| c.offset);
        if current.is_none_or(|offset| offset < config.offset) {
            self.config = Some(config);
            self.report_number += 1;
        }
        self.config.as_ref().map_or(0, |c| c.offset)
    }

    /// Decides on a reservation; returns the jobs that were asked to yield by it.
    pub fn reserve(&mut self, r: &Reserve, now_ms: Millis) -> (ReserveReply, Vec<JobId>) {
        let refused = |reply| (reply, Vec::new());
        if self.grants.get(&r.job).is_some_and(|grant| grant.reserve.epoch == r.epoch) {
            return refused(ReserveReply::Held);
        }
        if self.config.is_none() {
            return refused(ReserveReply::NoConfig);
        }
        if self.is_draining() {
            return refused(ReserveReply::Draining);
        }
        let need = r.per_task.times(r.tasks);
        let shares = self.shares();
        let backing_use = self.backing_use(&shares);
        let free = self.free_for(&r.job, now_ms);
        if backing_use.allocatable(&r.account, r.preemptible, self.capacity, free).covers(need) {
            return refused(self.hold(r, now_ms));
        }
        let own = backing_use.unused_backing(&r.account).covers(need);
        let cause = if own { Some(Cause::Guarantee) } else { r.cause.filter(|c| *c != Cause::Guarantee) };
        let Some(cause) = cause else { return refused(ReserveReply::Busy { free }) };
        let reach = backing_use.allocatable(&r.account, r.preemptible, self.capacity, self.capacity);
        if !own && !reach.covers(need) {
            return refused(ReserveReply::Busy { free });
        }
        self.make_room(r, cause, &shares, &backing_use, now_ms)
    }

    fn hold(&mut self, r: &Reserve, now_ms: Millis) -> ReserveReply {
        let lease_end_ms = now_ms + self.lease_ms;
        if let Err(refusal) = self.member.reserve(&r.job, r.epoch, &r.commit_point, lease_end_ms) {
            return ReserveReply::Refused(refusal);
        }
        self.promises.remove(&r.job);
        if r.commit_point == self.worker {
            self.commit.open(&r.job, r.epoch, r.members.iter().map(|m| m.worker.clone()), now_ms);
        }
        let remembered = Remembered {
            done_ms: r.done_ms,
            claim_lease_ms: r.claim_lease_ms,
            claimant_ms: now_ms,
            touched_ms: now_ms,
            ..Remembered::default()
        };
        self.remembered.insert(r.job.clone(), remembered);
        let grant = Grant {
            reserve: r.clone(),
            since_ms: now_ms,
            renew_ms: now_ms,
            yield_ms: None,
            failed: None,
            started: false,
        };
        self.grants.insert(r.job.clone(), grant);
        self.report_number += 1;
        ReserveReply::Held
    }

    /// Asks others to yield for a reservation and promises it the room.
    fn make_room(
        &mut self,
        r: &Reserve,
        cause: Cause,
        shares: &[Share],
        backing_use: &BackingUse,
        now_ms: Millis,
    ) -> (ReserveReply, Vec<JobId>) {
        let need = r.per_task.times(r.tasks);
        let staying: Vec<Share> =
            shares.iter().filter(|s| self.grants[&s.job].yield_ms.is_none()).cloned().collect();
        let mut vacated = self.capacity;
        for share in &staying {
            vacated -= share.held;
        }
        for (job, promise) in &self.promises {
            if *job != r.job && promise.until_ms > now_ms {
                vacated -= promise.amount;
            }
        }
        let candidates: Vec<Share> =
            staying.into_iter().filter(|s| cause == Cause::Guarantee || s.class < Class::Urgent).collect();
        let Some(yielding) = select_victims(&candidates, backing_use, vacated, need) else {
            return (ReserveReply::Busy { free: self.free_for(&r.job, now_ms) }, Vec::new());
        };
        let grace_ms = match cause {
            Cause::Urgent => URGENT_GRACE_MS.min(self.grace_ms),
            _ if r.class == Class::Urgent => URGENT_GRACE_MS.min(self.grace_ms),
            _ => self.grace_ms,
        };
        let until_ms = now_ms + grace_ms + PROMISE_MARGIN_MS;
        self.promises.insert(r.job.clone(), Promise { epoch: r.epoch, amount: need, until_ms });
        for job in &yielding {
            if let Some(grant) = self.grants.get_mut(job) {
                grant.yield_ms = Some(now_ms + grace_ms);
            }
        }
        (ReserveReply::Yielding { within_ms: grace_ms }, yielding)
    }

    /// Answers a member's renewal at this commit point.
    pub fn renew(&mut self, renew: &Renew, now_ms: Millis) -> RenewalReply {
        if let Some(reason) = &renew.failed {
            self.commit.stop(&renew.job, renew.epoch);
            if let Some(remembered) = self.remembered.get_mut(&renew.job) {
                remembered.failed.get_or_insert_with(|| reason.clone());
            }
        }
        self.commit.renew(&renew.job, renew.epoch, &renew.member, renew.finished, now_ms)
    }

    /// Fences an epoch here; returns the grant whose tasks have to be stopped.
    pub fn fence(&mut self, job: &JobId, epoch: Epoch) -> Option<Grant> {
        self.commit.stop(job, epoch);
        if self.promises.get(job).is_some_and(|promise| promise.epoch <= epoch) {
            self.promises.remove(job);
        }
        self.member.fence(job, epoch)?;
        self.report_number += 1;
        self.grants.remove(job)
    }

    /// Frees the room of a gang whose tasks all ended and whose commit point knows.
    pub fn release(&mut self, job: &JobId, epoch: Epoch) {
        self.member.fence(job, epoch);
        if self.grants.remove(job).is_some() {
            self.report_number += 1;
        }
    }

    /// Records what a checkpoint kept.
    pub fn keep(&mut self, job: &JobId, done_ms: Millis, now_ms: Millis) {
        let remembered = self.remembered.entry(job.clone()).or_default();
        remembered.done_ms = remembered.done_ms.max(done_ms);
        remembered.touched_ms = now_ms;
    }

    /// Records a word of the claimant and returns what is known about a job.
    pub fn status(&mut self, job: &JobId, now_ms: Millis) -> GangStatus {
        if let Some(remembered) = self.remembered.get_mut(job) {
            remembered.claimant_ms = now_ms;
            remembered.touched_ms = now_ms;
        }
        let remembered = self.remembered.get(job);
        GangStatus {
            gang: self.commit.state(job),
            ever_committed: self.commit.ever_committed(job),
            failed: remembered.and_then(|r| r.failed.clone()),
            hold: self.member.holds().get(job).map(|hold| (hold.epoch, hold.phase)),
            min_unfenced_epoch: self.member.min_allowed_epoch(job),
            done_ms: remembered.map_or(0, |r| r.done_ms),
        }
    }

    /// Ends what time has ended: lapsed holds, gangs with lapsed members, gangs without a claimant.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<Grant> {
        self.commit.expire(now_ms);
        for (job, remembered) in &self.remembered {
            if let Some((epoch, _)) = self.commit.state(job)
                && now_ms >= remembered.claimant_ms + remembered.claim_lease_ms
            {
                self.commit.stop(job, epoch);
            }
        }
        self.promises.retain(|_, promise| promise.until_ms > now_ms);
        let lapsed = self.member.expire(now_ms);
        if !lapsed.is_empty() {
            self.report_number += 1;
        }
        lapsed.into_iter().filter_map(|(job, _)| self.grants.remove(&job)).collect()
    }

    /// Forgets gangs that ended long ago.
    pub fn forget(&mut self, now_ms: Millis) {
        let grants = &self.grants;
        self.remembered.retain(|job, r| grants.contains_key(job) || now_ms < r.touched_ms + ENDED_KEPT_MS);
        let remembered = &self.remembered;
        self.commit.retain_ended(|job| remembered.contains_key(job));
        self.member.retain_fences(|job| remembered.contains_key(job));
    }

    fn shares(&self) -> Vec<Share> {
        let share = |(job, grant): (&JobId, &Grant)| Share {
            job: job.clone(),
            account: grant.reserve.account.clone(),
            held: grant.held(),
            class: grant.reserve.class,
            started_ms: grant.since_ms,
            preemptible: grant.reserve.preemptible,
        };
        self.grants.iter().map(share).collect()
    }

    fn backing_use(&self, shares: &[Share]) -> BackingUse {
        let backing = self.config.as_ref().map(|config| config.backing.clone()).unwrap_or_default();
        BackingUse::new(backing, shares)
    }

    fn free_for(&self, job: &JobId, now_ms: Millis) -> Amount {
        let mut free = self.capacity;
        for grant in self.grants.values() {
            free -= grant.held();
        }
        for (other, promise) in &self.promises {
            if other != job && promise.until_ms > now_ms {
                free -= promise.amount;
            }
        }
        free
    }
}
