//! The scheduler, which runs over the tables at each tick.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{AccountId, JobId, WorkerId};
use crate::pass::Pass;
use crate::policy::{Millis, Policy, SECOND_MS};
use crate::queue::scheduling_order;
use crate::shape::Shape;
use crate::table::{Class, Placement, Tables, Waiting};
use crate::topology::Standing;

/// Grace period for a checkpoint when urgent work needs the resources.
pub const URGENT_GRACE_MS: Millis = SECOND_MS;

/// Time after the grace period at which an unfulfilled claim expires.
pub const CLAIM_MARGIN_MS: Millis = 200;

/// Why a gang is asked to yield.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The account whose backing the gang borrows reclaims it.
    Guarantee,
    /// Urgent work needs the resources.
    Urgent,
    /// A job has waited longer than `Policy::preempt_after_ms`.
    Aged,
}

/// Decision that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a waiting job.
    Start {
        /// Job to start.
        job: JobId,
        /// Tasks on each worker.
        placement: Placement,
    },
    /// Checkpoint a running gang, and stop it at the end of the grace period.
    Preempt {
        /// Job that yields.
        job: JobId,
        /// Job that gets the resources.
        for_job: JobId,
        cause: Cause,
        /// Grace period for the checkpoint.
        grace_ms: Millis,
    },
}

/// Workers reserved for an aged job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Workers that other jobs may use only for backfill or within their own backing.
    pub workers: BTreeSet<WorkerId>,
    /// Estimated time at which the job can start.
    pub start_ms: Millis,
}

/// Resources that preempted gangs are releasing for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Tasks on each worker.
    pub placement: Placement,
    /// Gangs that must end first; otherwise the claim could start on resources that other claims wait for.
    pub waits_for: BTreeSet<JobId>,
    /// Time after which the claim expires and the job is scheduled anew.
    pub until_ms: Millis,
}

/// State kept from tick to tick; losing it is safe, since later ticks rebuild it.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub policy: Policy,
    /// Workers reserved for aged jobs.
    pub reservations: BTreeMap<JobId, Reservation>,
    /// Resources that are being released, by the job that gets them.
    pub claims: BTreeMap<JobId, Claim>,
    yielding: BTreeSet<JobId>,
}

/// Searches that failed in this tick.
///
/// Free resources only shrink within a tick, so the same search is not repeated.
#[derive(Debug, Default)]
struct FailedSearches {
    free: BTreeSet<(Shape, u64, Option<AccountId>, bool)>,
    urgent: BTreeSet<(Shape, Option<AccountId>)>,
    aged: BTreeSet<(Shape, Option<AccountId>)>,
    guarantee: BTreeSet<(Shape, AccountId)>,
}

impl Scheduler {
    pub fn new(policy: Policy) -> Self {
        Self { policy, reservations: BTreeMap::new(), claims: BTreeMap::new(), yielding: BTreeSet::new() }
    }

    /// Runs one scheduling pass and returns its decisions.
    pub fn tick(&mut self, tables: &Tables, now_ms: Millis) -> Vec<Action> {
        self.remove_stale(tables, now_ms);
        let policy = self.policy.clone();
        let mut pass = Pass::new(tables, &policy, &self.yielding, now_ms);
        self.process_claims(&mut pass);
        self.process_queue(&mut pass);
        let actions = pass.into_actions();
        for action in &actions {
            match action {
                Action::Start { job, .. } => {
                    self.claims.remove(job);
                    self.reservations.remove(job);
                }
                Action::Preempt { job, .. } => {
                    self.yielding.insert(job.clone());
                }
            }
        }
        actions
    }

    fn remove_stale(&mut self, tables: &Tables, now_ms: Millis) {
        let waits = |job: &JobId| tables.waiting.contains_key(job);
        let ready =
            |worker: &WorkerId| tables.workers.get(worker).is_some_and(|w| w.standing == Standing::Ready);
        self.claims
            .retain(|job, claim| waits(job) && now_ms <= claim.until_ms && claim.placement.keys().all(ready));
        for claim in self.claims.values_mut() {
            // A victim that stopped and runs again later must not delay the claim.
            claim.waits_for.retain(|victim| tables.running.contains_key(victim));
        }
        self.reservations.retain(|job, reservation| waits(job) && reservation.workers.iter().all(ready));
        self.yielding.retain(|job| tables.running.contains_key(job));
    }

    fn process_claims(&self, pass: &mut Pass<'_>) {
        for (job, claim) in &self.claims {
            let demand = &pass.tables.waiting[job].demand;
            if claim.waits_for.is_empty() && pass.view.fits(&demand.shape, &claim.placement) {
                pass.start(job, demand, claim.placement.clone());
            } else {
                pass.add_claim(job, demand, &claim.placement);
            }
        }
    }

    fn process_queue(&mut self, pass: &mut Pass<'_>) {
        let tables = pass.tables;
        let usage = tables.usage();
        let mut failed = FailedSearches::default();
        for (job, waiting) in scheduling_order(tables, &self.policy, &usage, pass.now_ms) {
            if !self.claims.contains_key(job) {
                self.schedule_job(pass, &mut failed, job, waiting);
            }
        }
        // Jobs whose starts were cancelled for a claim are scheduled again. The job with the claim is not, so
        // the loop terminates.
        loop {
            let cancelled_starts = pass.take_cancelled_starts();
            if cancelled_starts.is_empty() {
                return;
            }
            let mut failed = FailedSearches::default();
            for job in cancelled_starts {
                self.claims.remove(&job);
                self.schedule_job(pass, &mut failed, &job, &tables.waiting[&job]);
            }
        }
    }

    /// Starts a job on free resources, or else by preemption, or else reserves workers for it.
    fn schedule_job(
        &mut self,
        pass: &mut Pass<'_>,
        failed: &mut FailedSearches,
        job: &JobId,
        waiting: &Waiting,
    ) {
        if let Some(placement) = self.find_free(pass, failed, job, waiting) {
            pass.start(job, &waiting.demand, placement);
            return;
        }
        for cause in [Cause::Guarantee, Cause::Urgent, Cause::Aged] {
            if let Some(claim) = self.find_by_preemption(pass, failed, job, waiting, cause) {
                pass.add_claim(job, &waiting.demand, &claim.placement);
                self.claims.insert(job.clone(), claim);
                self.reservations.remove(job);
                return;
            }
        }
        self.reserve(pass, job, waiting);
    }

    /// Finds free resources: the best fit on any worker, or within the account's own backing.
    ///
    /// Preemptible work does not prefer its own backing: that would fragment whole racks that others may
    /// borrow, and running elsewhere has no cost until another account reclaims its guarantee.
    fn find_free(
        &self,
        pass: &Pass<'_>,
        failed: &mut FailedSearches,
        job: &JobId,
        waiting: &Waiting,
    ) -> Option<Placement> {
        let demand = &waiting.demand;
        let (reserved, reservation_mask) = pass.reserved_rows(&self.reservations, job, waiting);
        if !demand.preemptible
            && let Some(placement) = pass.find_on_own_backing(demand, &reserved)
        {
            return Some(placement);
        }
        // Non-preemptible work may not borrow, so what it may use depends on the account.
        let account = (!demand.preemptible).then(|| demand.account.clone());
        let key = (demand.shape, reservation_mask, account, pass.is_small(waiting));
        if !failed.free.contains(&key) {
            if let Some(placement) = pass.find_anywhere(waiting, &reserved) {
                return Some(placement);
            }
            failed.free.insert(key);
        }
        pass.find_on_own_backing(demand, &BTreeSet::new())
    }

    fn find_by_preemption(
        &mut self,
        pass: &mut Pass<'_>,
        failed: &mut FailedSearches,
        job: &JobId,
        waiting: &Waiting,
        cause: Cause,
    ) -> Option<Claim> {
        let demand = &waiting.demand;
        let account = (!demand.preemptible).then(|| demand.account.clone());
        let waited_ms = pass.now_ms.saturating_sub(waiting.since_ms);
        // Aged jobs of one shape come in order of age: an older one had at least as many possible victims.
        let already_failed = match cause {
            Cause::Guarantee => !failed.guarantee.insert((demand.shape, demand.account.clone())),
            Cause::Urgent if demand.class != Class::Urgent => true,
            Cause::Urgent => !failed.urgent.insert((demand.shape, account.clone())),
            Cause::Aged if waited_ms < self.policy.preempt_after_ms => true,
            Cause::Aged => !failed.aged.insert((demand.shape, account.clone())),
        };
        if already_failed {
            return None;
        }
        let (claim, superseded) = pass.find_by_preemption(job, waiting, cause)?;
        for other in superseded {
            self.claims.remove(&other);
        }
        match cause {
            Cause::Guarantee => failed.guarantee.remove(&(demand.shape, demand.account.clone())),
            Cause::Urgent => failed.urgent.remove(&(demand.shape, account)),
            Cause::Aged => failed.aged.remove(&(demand.shape, account)),
        };
        Some(claim)
    }

    /// Reserves workers for an aged job.
    ///
    /// The choice is kept from tick to tick: if it changed, the reserved workers might never be free together.
    fn reserve(&mut self, pass: &Pass<'_>, job: &JobId, waiting: &Waiting) {
        let waited_ms = pass.now_ms.saturating_sub(waiting.since_ms);
        if waited_ms < self.policy.reserve_after_ms {
            return;
        }
        // Guarantees may have been bound to the reserved workers since.
        self.reservations.retain(|other, reservation| {
            other != job || pass.fits_idle(&waiting.demand, &reservation.workers)
        });
        if let Some(reservation) = self.reservations.get_mut(job) {
            reservation.start_ms = pass.all_idle_at_ms(&reservation.workers);
            return;
        }
        if self.reservations.len() >= self.policy.reservations {
            return;
        }
        let reserved: BTreeSet<&WorkerId> =
            self.reservations.values().flat_map(|reservation| &reservation.workers).collect();
        if let Some(reservation) = pass.earliest_reservation(&waiting.demand, &reserved) {
            self.reservations.insert(job.clone(), reservation);
        }
    }
}
