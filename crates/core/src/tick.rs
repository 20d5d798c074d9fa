//! The scheduling systems that run over the tables each tick.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{JobId, WorkerId};
use crate::place::find;
use crate::policy::{Millis, Policy, SECOND_MS};
use crate::queue::order;
use crate::reclaim::{Ledger, Share, victims};
use crate::shape::{Amount, Shape};
use crate::table::{Class, Demand, Placement, Running, Tables, Waiting};
use crate::view::View;

/// Grace for a checkpoint when urgent work needs the room, in milliseconds.
pub const URGENT_GRACE_MS: Millis = SECOND_MS;

/// Estimated run time below which work is small for the separation of sizes, in milliseconds.
const SMALL_WORK_MS: Millis = 20 * 60 * SECOND_MS;

/// Share of the rows that small work gets when sizes are separated.
const SMALL_AREA_SHARE: f64 = 0.25;

/// Load at which the separation of sizes sets in, as held and waiting accelerators over all accelerators.
const SEPARATION_LOAD: f64 = 1.5;

/// Why a gang is asked to yield.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The account whose backing the gang borrows takes it back.
    Guarantee,
    /// Urgent work needs the room.
    Urgent,
    /// An older job passed the bound on its wait.
    Aged,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a waiting job.
    Start {
        /// Job to start.
        job: JobId,
        /// Tasks on each worker.
        placement: Placement,
    },
    /// Checkpoint a running gang, and stop it when the grace ends.
    Preempt {
        /// Job that yields.
        job: JobId,
        /// Job that gets the room.
        for_job: JobId,
        /// Why it yields.
        cause: Cause,
        /// Grace for the checkpoint in milliseconds.
        grace_ms: Millis,
    },
}

/// Room that an aged job waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Workers that are kept for the job.
    pub workers: BTreeSet<WorkerId>,
    /// Estimated time at which the job can start.
    pub at_ms: Millis,
}

/// The state that the scheduling systems keep from tick to tick; all of it can be lost.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// Weights and bounds.
    pub policy: Policy,
    /// Room kept for aged jobs.
    pub reservations: BTreeMap<JobId, Reservation>,
    /// Workers promised to jobs whose room is being vacated.
    pub claims: BTreeMap<JobId, Placement>,
    yielding: BTreeSet<JobId>,
}

impl Scheduler {
    /// Creates a scheduler with a policy.
    pub fn new(policy: Policy) -> Self {
        Self { policy, reservations: BTreeMap::new(), claims: BTreeMap::new(), yielding: BTreeSet::new() }
    }

    /// Runs all systems once and returns what to do.
    pub fn tick(&mut self, tables: &Tables, now_ms: Millis) -> Vec<Action> {
        self.forget_finished(tables);
        let policy = self.policy.clone();
        let mut pass = Pass::new(tables, &policy, &self.yielding, now_ms);
        self.serve_claims(&mut pass);
        self.serve_queue(&mut pass);
        let actions = pass.actions;
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

    fn forget_finished(&mut self, tables: &Tables) {
        let waits = |job: &JobId| tables.waiting.contains_key(job);
        let backed = |worker: &WorkerId| tables.workers.get(worker).is_some_and(|w| w.backs_guarantees());
        self.claims.retain(|job, placement| waits(job) && placement.keys().all(backed));
        self.reservations.retain(|job, held| waits(job) && held.workers.iter().all(backed));
        self.yielding.retain(|job| tables.running.contains_key(job));
    }

    fn serve_claims(&self, pass: &mut Pass<'_>) {
        for (job, placement) in &self.claims {
            let demand = &pass.tables.waiting[job].demand;
            if pass.view.holds(&demand.shape, placement) {
                pass.start(job, demand, placement.clone());
            } else {
                pass.claim(job, demand, placement);
            }
        }
    }

    fn serve_queue(&mut self, pass: &mut Pass<'_>) {
        let tables = pass.tables;
        let usage = tables.usage();
        let mut hopeless: BTreeSet<(Shape, bool, Option<crate::id::AccountId>, bool)> = BTreeSet::new();
        for (job, waiting) in order(tables, &self.policy, &usage, pass.now_ms) {
            if self.claims.contains_key(job) {
                continue;
            }
            let demand = &waiting.demand;
            let entitled = tables.plan.bindings.contains_key(&demand.account);
            let account = (entitled || !demand.preemptible).then(|| demand.account.clone());
            let waited_ms = pass.now_ms.saturating_sub(waiting.since_ms);
            let pressing = demand.class == Class::Urgent || waited_ms >= self.policy.reserve_after_ms;
            let key = (demand.shape, demand.preemptible, account, pass.is_small(waiting));
            if !pressing && hopeless.contains(&key) {
                continue;
            }
            if !self.serve(pass, job, waiting) && !pressing {
                hopeless.insert(key);
            }
        }
    }

    /// Tries every way to start a job; returns whether it starts or has a claim.
    fn serve(&mut self, pass: &mut Pass<'_>, job: &JobId, waiting: &Waiting) -> bool {
        let demand = &waiting.demand;
        if let Some(placement) = pass.find_free(&self.reservations, job, waiting) {
            pass.start(job, demand, placement);
            return true;
        }
        let ways = [
            (Cause::Guarantee, true),
            (Cause::Urgent, demand.class == Class::Urgent),
            (Cause::Aged, pass.now_ms.saturating_sub(waiting.since_ms) >= self.policy.preempt_after_ms),
        ];
        for (cause, applies) in ways {
            if applies && let Some(placement) = pass.find_by_preemption(job, waiting, cause) {
                pass.claim(job, demand, &placement);
                self.claims.insert(job.clone(), placement);
                self.reservations.remove(job);
                return true;
            }
        }
        self.reserve(pass, job, waiting);
        false
    }

    fn reserve(&mut self, pass: &Pass<'_>, job: &JobId, waiting: &Waiting) {
        let waited_ms = pass.now_ms.saturating_sub(waiting.since_ms);
        if waited_ms < self.policy.reserve_after_ms {
            return;
        }
        if !self.reservations.contains_key(job) && self.reservations.len() >= self.policy.reservations {
            return;
        }
        let taken: BTreeSet<&WorkerId> = self
            .reservations
            .iter()
            .filter(|(other, _)| *other != job)
            .flat_map(|(_, reservation)| &reservation.workers)
            .collect();
        if let Some(reservation) = pass.earliest_room(&waiting.demand.shape, &taken) {
            self.reservations.insert(job.clone(), reservation);
        }
    }
}

/// The working state of one tick.
struct Pass<'a> {
    tables: &'a Tables,
    policy: &'a Policy,
    now_ms: Millis,
    view: View,
    shares: Vec<Vec<Share>>,
    ledgers: Vec<Ledger>,
    claimed: Vec<Amount>,
    yielding: BTreeSet<JobId>,
    separated: bool,
    actions: Vec<Action>,
}

impl<'a> Pass<'a> {
    fn new(tables: &'a Tables, policy: &'a Policy, yielding: &BTreeSet<JobId>, now_ms: Millis) -> Self {
        let view = View::of_tables(tables);
        let mut shares: Vec<Vec<Share>> = vec![Vec::new(); view.cells.len()];
        for (job, running) in &tables.running {
            for worker in running.placement.keys() {
                if let Some(at) = view.row(worker) {
                    shares[at].push(share_of(job, running, worker));
                }
            }
        }
        let mut backing = tables.plan.backing();
        let ledgers = view
            .cells
            .iter()
            .zip(&shares)
            .map(|(cell, on_cell)| Ledger::new(backing.remove(&cell.worker).unwrap_or_default(), on_cell))
            .collect();
        let claimed = vec![Amount::default(); view.cells.len()];
        let separated = policy.size_areas && load(tables) >= SEPARATION_LOAD;
        let yielding = yielding.clone();
        Self {
            tables,
            policy,
            now_ms,
            view,
            shares,
            ledgers,
            claimed,
            yielding,
            separated,
            actions: Vec::new(),
        }
    }

    fn start(&mut self, job: &JobId, demand: &Demand, placement: Placement) {
        self.view.take(&demand.shape, &placement);
        self.add_shares(job, demand, &placement);
        self.actions.push(Action::Start { job: job.clone(), placement });
    }

    fn claim(&mut self, job: &JobId, demand: &Demand, placement: &Placement) {
        for (worker, &tasks) in placement {
            if let Some(at) = self.view.row(worker) {
                self.claimed[at] += demand.shape.each().times(tasks);
            }
        }
        self.add_shares(job, demand, placement);
        // A claim is not running work: it never yields within the tick.
        self.yielding.insert(job.clone());
    }

    fn add_shares(&mut self, job: &JobId, demand: &Demand, placement: &Placement) {
        for (worker, &tasks) in placement {
            let Some(at) = self.view.row(worker) else { continue };
            self.shares[at].push(Share {
                job: job.clone(),
                account: demand.account.clone(),
                held: demand.shape.each().times(tasks),
                class: demand.class,
                started_ms: self.now_ms,
                preemptible: demand.preemptible,
            });
            let backing = std::mem::take(&mut self.ledgers[at].backing);
            self.ledgers[at] = Ledger::new(backing, &self.shares[at]);
        }
    }

    fn open(&self, at: usize) -> Amount {
        self.view.cells[at].free.less(self.claimed[at])
    }

    fn is_small(&self, waiting: &Waiting) -> bool {
        self.tables.remaining_ms(waiting) < SMALL_WORK_MS
    }

    fn find_free(
        &self,
        reservations: &BTreeMap<JobId, Reservation>,
        job: &JobId,
        waiting: &Waiting,
    ) -> Option<Placement> {
        let demand = &waiting.demand;
        let rows = self.view.cells.len();
        let own: Vec<Amount> =
            (0..rows).map(|at| self.ledgers[at].unused(&demand.account).min(self.open(at))).collect();
        if let Some(placement) = find(&self.view, &demand.shape, &own) {
            return Some(placement);
        }
        let kept = self.kept_rows(reservations, job, waiting);
        let allowed: Vec<Amount> = (0..rows)
            .map(|at| {
                if kept.contains(&at) || (self.separated && !self.in_area(at, waiting)) {
                    return Amount::default();
                }
                let total = self.view.cells[at].total;
                self.ledgers[at].allowed(&demand.account, demand.preemptible, total, self.open(at))
            })
            .collect();
        find(&self.view, &demand.shape, &allowed)
    }

    /// Returns the rows that reservations of other jobs keep from this one.
    ///
    /// Preemptible work that is estimated to end in time may run there meanwhile.
    fn kept_rows(
        &self,
        reservations: &BTreeMap<JobId, Reservation>,
        job: &JobId,
        waiting: &Waiting,
    ) -> BTreeSet<usize> {
        let ends_ms = self.now_ms + self.tables.remaining_ms(waiting);
        reservations
            .iter()
            .filter(|(other, held)| *other != job && !(waiting.demand.preemptible && ends_ms <= held.at_ms))
            .flat_map(|(_, held)| held.workers.iter().filter_map(|worker| self.view.row(worker)))
            .collect()
    }

    fn in_area(&self, at: usize, waiting: &Waiting) -> bool {
        let boundary = (self.view.cells.len() as f64 * SMALL_AREA_SHARE).ceil() as usize;
        (at < boundary) == self.is_small(waiting)
    }

    fn find_by_preemption(&mut self, job: &JobId, waiting: &Waiting, cause: Cause) -> Option<Placement> {
        let demand = &waiting.demand;
        let reach: Vec<Amount> =
            (0..self.view.cells.len()).map(|at| self.reach(at, waiting, cause)).collect();
        let placement = find(&self.view, &demand.shape, &reach)?;
        let mut yielding = BTreeSet::new();
        for (worker, &tasks) in &placement {
            let at = self.view.row(worker)?;
            let need = demand.shape.each().times(tasks);
            let candidates = self.candidates(at, waiting, cause);
            yielding.extend(victims(&candidates, &self.ledgers[at], self.vacated(at), need)?);
        }
        let grace_ms = match cause {
            Cause::Urgent => URGENT_GRACE_MS,
            _ if demand.class == Class::Urgent => URGENT_GRACE_MS,
            _ => self.policy.checkpoint_grace_ms,
        };
        for victim in yielding {
            self.yielding.insert(victim.clone());
            self.actions.push(Action::Preempt { job: victim, for_job: job.clone(), cause, grace_ms });
        }
        Some(placement)
    }

    /// Returns what the job could hold on a row after every possible preemption for this cause.
    fn reach(&self, at: usize, waiting: &Waiting, cause: Cause) -> Amount {
        let mut reach = self.vacated(at);
        for share in self.candidates(at, waiting, cause) {
            if !self.ledgers[at].own.contains(&share.job) {
                reach += share.held;
            }
        }
        match cause {
            Cause::Guarantee => reach.min(self.ledgers[at].unused(&waiting.demand.account)),
            _ => {
                let total = self.view.cells[at].total;
                let demand = &waiting.demand;
                self.ledgers[at].allowed(&demand.account, demand.preemptible, total, reach)
            }
        }
    }

    /// Returns what is free on a row once the work that yields already has gone.
    fn vacated(&self, at: usize) -> Amount {
        let mut held = self.claimed[at];
        for share in &self.shares[at] {
            if !self.yielding.contains(&share.job) {
                held += share.held;
            }
        }
        self.view.cells[at].total.less(held)
    }

    fn candidates(&self, at: usize, waiting: &Waiting, cause: Cause) -> Vec<Share> {
        let yields =
            |share: &Share| match cause {
                Cause::Guarantee => true,
                Cause::Urgent => share.class < Class::Urgent,
                Cause::Aged => self.tables.running.get(&share.job).is_some_and(|running| {
                    share.class < Class::Urgent && running.since_ms > waiting.since_ms
                }),
            };
        self.shares[at]
            .iter()
            .filter(|share| share.preemptible && !self.yielding.contains(&share.job) && yields(share))
            .cloned()
            .collect()
    }

    /// Returns the group of workers that is estimated to have room first.
    fn earliest_room(&self, shape: &Shape, taken: &BTreeSet<&WorkerId>) -> Option<Reservation> {
        let mut best: Option<Reservation> = None;
        for group in self.view.groups(shape.span) {
            let rows: Vec<usize> = group.filter(|&at| !taken.contains(&self.view.cells[at].worker)).collect();
            let Some(found) = self.earliest_in(shape, &rows) else { continue };
            if best.as_ref().is_none_or(|b| found.at_ms < b.at_ms) {
                best = Some(found);
            }
        }
        best
    }

    fn earliest_in(&self, shape: &Shape, rows: &[usize]) -> Option<Reservation> {
        let each = shape.each();
        let mut room: Vec<(Millis, u32, usize)> = Vec::new();
        for &at in rows {
            let tasks = self.view.cells[at].total.tasks(each);
            if tasks > 0 {
                room.push((self.empty_at(at), tasks, at));
            }
        }
        room.sort_unstable();
        let mut left = shape.tasks;
        let mut workers = BTreeSet::new();
        for (at_ms, tasks, at) in room {
            workers.insert(self.view.cells[at].worker.clone());
            left = left.saturating_sub(tasks);
            if left == 0 {
                return Some(Reservation { workers, at_ms });
            }
        }
        None
    }

    /// Returns the estimated time at which a row holds nothing.
    fn empty_at(&self, at: usize) -> Millis {
        let ends = self.shares[at].iter().filter_map(|share| self.tables.running.get(&share.job));
        ends.map(|running| estimated_end(self.tables, running, self.now_ms)).max().unwrap_or(self.now_ms)
    }
}

/// Returns the estimated end of a running gang; one that overran is assumed to run half as long again.
fn estimated_end(tables: &Tables, running: &Running, now_ms: Millis) -> Millis {
    let left_ms = tables.estimate_ms(&running.demand).saturating_sub(running.done_ms);
    let end_ms = running.started_ms + left_ms;
    if end_ms > now_ms {
        return end_ms;
    }
    now_ms + (now_ms - running.started_ms) / 2 + SECOND_MS
}

fn share_of(job: &JobId, running: &Running, worker: &WorkerId) -> Share {
    Share {
        job: job.clone(),
        account: running.demand.account.clone(),
        held: running.held(worker),
        class: running.demand.class,
        started_ms: running.started_ms,
        preemptible: running.demand.preemptible,
    }
}

/// Returns held and waiting accelerators over all accelerators.
fn load(tables: &Tables) -> f64 {
    let all: u32 = tables.workers.values().map(|w| w.capacity.accelerators).sum();
    let held: u32 = tables.running.values().map(|r| r.demand.shape.total().accelerators).sum();
    let asked: u32 = tables.waiting.values().map(|w| w.demand.shape.total().accelerators).sum();
    f64::from(held + asked) / f64::from(all.max(1))
}
