//! Decisions of the agent: which gangs hold the worker's resources, and which must yield.

use std::collections::BTreeMap;

use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::reclaim::{BackingUse, Share, select_victims};
use sorrelland_core::shape::Amount;
use sorrelland_core::table::Class;
use sorrelland_core::tick::{Cause, URGENT_GRACE_MS};
use sorrelland_lease::{CommitPoint, Epoch, Member, Phase, Refusal, RenewalReply};
use sorrelland_wire::agent::{AgentConfig, GangStatus, Renew, Reserve, ReserveReply};

/// Retention time of the record of a job without a grant, from the last use of the record.
pub const RECORD_RETENTION_MS: Millis = 6 * 60 * 60 * 1_000;

/// Time after the grace period for which the freed resources stay set aside for the pending reservation.
const PENDING_MARGIN_MS: Millis = 3_000;

/// Time by which a task's lease on the worker may end later than the hold: the call that sets it may arrive late.
const TASK_LEASE_MARGIN_MS: Millis = 1_500;

/// Resources of the worker that a gang holds.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Reservation call that was granted.
    pub reserve: Reserve,
    pub held_since_ms: Millis,
    pub renewal_due_ms: Millis,
    /// Time at which the grace period of the gang ends, if it was asked to yield.
    pub yield_deadline_ms: Option<Millis>,
    /// Why its tasks failed, if they did.
    pub failed: Option<String>,
    /// Whether the worker confirmed the start of every task.
    pub started: bool,
}

impl Grant {
    pub fn held(&self) -> Amount {
        self.reserve.per_task.times(self.reserve.tasks)
    }

    /// Returns the names of the gang's tasks on the worker.
    pub fn tasks(&self) -> Vec<String> {
        let name = |index| format!("{}~{}~{index}", self.reserve.job, self.reserve.epoch);
        (0..self.reserve.tasks).map(name).collect()
    }
}

/// State of a job that is kept after its gang has left the worker.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    /// Run time preserved by a checkpoint.
    pub done_ms: Millis,
    /// Why the gang failed, if it did.
    pub failed: Option<String>,
    /// Time without a call from the claimant after which the gang stops.
    pub claim_lease_ms: Millis,
    /// Time of the claimant's last call.
    pub last_claimant_call_ms: Millis,
    /// Time of the last change or call of the claimant, from which the retention counts.
    pub last_use_ms: Millis,
}

/// Reservation for which other gangs are yielding, with the resources set aside for it.
#[derive(Clone, Copy, Debug)]
struct PendingReservation {
    epoch: Epoch,
    amount: Amount,
    expires_ms: Millis,
}

/// Grants, fences and configuration of one worker.
#[derive(Debug)]
pub struct Authority {
    pub worker: WorkerId,
    pub capacity: Amount,
    pub member: Member,
    /// Gangs whose commit point is this agent.
    pub commit_point: CommitPoint,
    /// Gangs on the worker.
    pub grants: BTreeMap<JobId, Grant>,
    /// Records of all jobs that have a grant, or had one within the retention time.
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub config: Option<AgentConfig>,
    /// Whether the process is stopping and accepts no new work.
    pub stopping: bool,
    /// Number of the latest report to the entries; every change that they must see increments it.
    pub report_number: u64,
    pending: BTreeMap<JobId, PendingReservation>,
    /// Fenced gangs whose tasks the worker has not confirmed as stopped, with the time at which their lease is over.
    unconfirmed_stops: BTreeMap<JobId, (Epoch, Millis)>,
    lease_ms: Millis,
    grace_ms: Millis,
}

impl Authority {
    /// Creates the state of an agent that has just started, with no grants, fences or configuration.
    pub fn new(worker: &WorkerId, capacity: Amount, lease_ms: Millis, grace_ms: Millis) -> Self {
        Self {
            worker: worker.clone(),
            capacity,
            member: Member::new(),
            commit_point: CommitPoint::new(lease_ms),
            grants: BTreeMap::new(),
            jobs: BTreeMap::new(),
            config: None,
            stopping: false,
            report_number: 1,
            pending: BTreeMap::new(),
            unconfirmed_stops: BTreeMap::new(),
            lease_ms,
            grace_ms,
        }
    }

    /// Returns whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.stopping || self.config.as_ref().is_some_and(|config| config.drained)
    }

    /// Applies a configuration unless the current one is as new or newer; returns the offset in force.
    pub fn configure(&mut self, config: AgentConfig) -> u64 {
        let current = self.config.as_ref().map(|c| c.offset);
        if current.is_none_or(|offset| offset < config.offset) {
            self.config = Some(config);
            self.report_number += 1;
        }
        self.config.as_ref().map_or(0, |c| c.offset)
    }

    /// Grants, defers or refuses a reservation; returns the jobs that must yield to it.
    pub fn reserve(&mut self, r: &Reserve, now_ms: Millis) -> (ReserveReply, Vec<JobId>) {
        let without_yielding = |reply| (reply, Vec::new());
        if self.grants.get(&r.job).is_some_and(|grant| grant.reserve.epoch == r.epoch) {
            return without_yielding(ReserveReply::Held);
        }
        if let Some((held, _)) = self.unconfirmed_stops.get(&r.job) {
            return without_yielding(ReserveReply::Refused(Refusal::OtherEpoch { held: *held }));
        }
        if self.config.is_none() {
            return without_yielding(ReserveReply::NoConfig);
        }
        if self.is_draining() {
            return without_yielding(ReserveReply::Draining);
        }
        let required = r.per_task.times(r.tasks);
        let shares = self.shares();
        let backing_use = self.backing_use(&shares);
        let free = self.free_for(&r.job, now_ms);
        if backing_use.allocatable(&r.account, r.preemptible, self.capacity, free).covers(required) {
            return without_yielding(self.create_grant(r, now_ms));
        }
        let within_own_backing = backing_use.unused_backing(&r.account).covers(required);
        let cause = if within_own_backing {
            Some(Cause::Guarantee)
        } else {
            r.cause.filter(|c| *c != Cause::Guarantee)
        };
        let Some(cause) = cause else { return without_yielding(ReserveReply::Busy { free }) };
        let reclaimable = backing_use.allocatable(&r.account, r.preemptible, self.capacity, self.capacity);
        if !within_own_backing && !reclaimable.covers(required) {
            return without_yielding(ReserveReply::Busy { free });
        }
        self.request_yield(r, cause, &shares, &backing_use, now_ms)
    }

    fn create_grant(&mut self, r: &Reserve, now_ms: Millis) -> ReserveReply {
        let lease_end_ms = now_ms + self.lease_ms;
        if let Err(refusal) = self.member.reserve(&r.job, r.epoch, &r.commit_point, lease_end_ms) {
            return ReserveReply::Refused(refusal);
        }
        self.pending.remove(&r.job);
        if r.commit_point == self.worker {
            self.commit_point.open(&r.job, r.epoch, r.members.iter().map(|m| m.worker.clone()), now_ms);
        }
        let record = JobRecord {
            done_ms: r.done_ms,
            claim_lease_ms: r.claim_lease_ms,
            last_claimant_call_ms: now_ms,
            last_use_ms: now_ms,
            ..JobRecord::default()
        };
        self.jobs.insert(r.job.clone(), record);
        let grant = Grant {
            reserve: r.clone(),
            held_since_ms: now_ms,
            renewal_due_ms: now_ms,
            yield_deadline_ms: None,
            failed: None,
            started: false,
        };
        self.grants.insert(r.job.clone(), grant);
        self.report_number += 1;
        ReserveReply::Held
    }

    /// Chooses gangs that yield to a reservation, and sets the resources aside for it.
    fn request_yield(
        &mut self,
        r: &Reserve,
        cause: Cause,
        shares: &[Share],
        backing_use: &BackingUse,
        now_ms: Millis,
    ) -> (ReserveReply, Vec<JobId>) {
        let required = r.per_task.times(r.tasks);
        let not_yielding: Vec<Share> =
            shares.iter().filter(|s| self.grants[&s.job].yield_deadline_ms.is_none()).cloned().collect();
        let mut free_after_yield = self.capacity;
        for share in &not_yielding {
            free_after_yield -= share.held;
        }
        for (job, reservation) in &self.pending {
            if *job != r.job && reservation.expires_ms > now_ms {
                free_after_yield -= reservation.amount;
            }
        }
        let candidates: Vec<Share> = not_yielding
            .into_iter()
            .filter(|s| cause == Cause::Guarantee || s.class < Class::Urgent)
            .collect();
        let Some(yielding) = select_victims(&candidates, backing_use, free_after_yield, required) else {
            return (ReserveReply::Busy { free: self.free_for(&r.job, now_ms) }, Vec::new());
        };
        let grace_ms = match cause {
            Cause::Urgent => URGENT_GRACE_MS.min(self.grace_ms),
            _ if r.class == Class::Urgent => URGENT_GRACE_MS.min(self.grace_ms),
            _ => self.grace_ms,
        };
        let expires_ms = now_ms + grace_ms + PENDING_MARGIN_MS;
        self.pending
            .insert(r.job.clone(), PendingReservation { epoch: r.epoch, amount: required, expires_ms });
        for job in &yielding {
            if let Some(grant) = self.grants.get_mut(job) {
                grant.yield_deadline_ms = Some(now_ms + grace_ms);
            }
        }
        (ReserveReply::Yielding { within_ms: grace_ms }, yielding)
    }

    /// Records a member's renewal at this commit point; a failed member stops the gang.
    pub fn renew(&mut self, renew: &Renew, now_ms: Millis) -> RenewalReply {
        if let Some(reason) = &renew.failed {
            self.commit_point.stop(&renew.job, renew.epoch);
            if let Some(record) = self.jobs.get_mut(&renew.job) {
                record.failed.get_or_insert_with(|| reason.clone());
            }
        }
        self.commit_point.renew(&renew.job, renew.epoch, &renew.member, renew.finished, now_ms)
    }

    /// Fences an epoch and all older ones; returns the grant whose tasks must be stopped.
    pub fn fence(&mut self, job: &JobId, epoch: Epoch) -> Option<Grant> {
        self.commit_point.stop(job, epoch);
        if self.pending.get(job).is_some_and(|reservation| reservation.epoch <= epoch) {
            self.pending.remove(job);
        }
        let hold = self.member.fence(job, epoch)?;
        if hold.phase == Phase::Running {
            self.unconfirmed_stops
                .insert(job.clone(), (hold.epoch, hold.lease_end_ms + TASK_LEASE_MARGIN_MS));
        }
        self.report_number += 1;
        self.grants.remove(job)
    }

    /// Returns whether tasks of a fenced epoch may still run.
    pub fn is_stopping(&self, job: &JobId, epoch: Epoch) -> bool {
        self.unconfirmed_stops.get(job).is_some_and(|(stopping, _)| *stopping == epoch)
    }

    /// Records that the worker has confirmed the stop of an epoch's tasks.
    pub fn record_stopped(&mut self, job: &JobId, epoch: Epoch) {
        if self.is_stopping(job, epoch) {
            self.unconfirmed_stops.remove(job);
        }
    }

    /// Frees the resources of a gang after its commit point has acknowledged the end of its tasks.
    pub fn release(&mut self, job: &JobId, epoch: Epoch) {
        self.member.fence(job, epoch);
        if self.grants.remove(job).is_some() {
            self.report_number += 1;
        }
    }

    /// Records the run time that a checkpoint preserved; a smaller value than the recorded one is ignored.
    pub fn record_checkpoint(&mut self, job: &JobId, done_ms: Millis, now_ms: Millis) {
        let record = self.jobs.entry(job.clone()).or_default();
        record.done_ms = record.done_ms.max(done_ms);
        record.last_use_ms = now_ms;
    }

    /// Records a call from the claimant, which renews its lease on the job, and returns the job's state.
    pub fn status(&mut self, job: &JobId, now_ms: Millis) -> GangStatus {
        if let Some(record) = self.jobs.get_mut(job) {
            record.last_claimant_call_ms = now_ms;
            record.last_use_ms = now_ms;
        }
        let record = self.jobs.get(job);
        let hold = self.member.holds().get(job).map(|hold| (hold.epoch, hold.phase));
        let stopping = self.unconfirmed_stops.get(job).map(|(epoch, _)| (*epoch, Phase::Running));
        GangStatus {
            gang: self.commit_point.state(job),
            ever_committed: self.commit_point.ever_committed(job),
            failed: record.and_then(|r| r.failed.clone()),
            hold: hold.or(stopping),
            min_unfenced_epoch: self.member.min_unfenced_epoch(job),
            done_ms: record.map_or(0, |r| r.done_ms),
        }
    }

    /// Stops gangs with an expired member or claimant lease; removes expired holds and returns their grants.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<Grant> {
        self.commit_point.expire(now_ms);
        for (job, record) in &self.jobs {
            if let Some((epoch, _)) = self.commit_point.state(job)
                && now_ms >= record.last_claimant_call_ms + record.claim_lease_ms
            {
                self.commit_point.stop(job, epoch);
            }
        }
        self.pending.retain(|_, reservation| reservation.expires_ms > now_ms);
        self.unconfirmed_stops.retain(|_, (_, lease_end_ms)| *lease_end_ms > now_ms);
        let expired = self.member.expire(now_ms);
        if !expired.is_empty() {
            self.report_number += 1;
        }
        expired.into_iter().filter_map(|(job, _)| self.grants.remove(&job)).collect()
    }

    /// Removes the records and fences of jobs whose retention time is over.
    pub fn remove_old_records(&mut self, now_ms: Millis) {
        let grants = &self.grants;
        self.jobs.retain(|job, r| grants.contains_key(job) || now_ms < r.last_use_ms + RECORD_RETENTION_MS);
        let jobs = &self.jobs;
        self.commit_point.retain_ended(|job| jobs.contains_key(job));
        self.member.retain_fences(|job| jobs.contains_key(job));
    }

    fn shares(&self) -> Vec<Share> {
        let share = |(job, grant): (&JobId, &Grant)| Share {
            job: job.clone(),
            account: grant.reserve.account.clone(),
            held: grant.held(),
            class: grant.reserve.class,
            started_ms: grant.held_since_ms,
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
        for (other, reservation) in &self.pending {
            if other != job && reservation.expires_ms > now_ms {
                free -= reservation.amount;
            }
        }
        free
    }
}
