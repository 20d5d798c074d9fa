//! The working state of one scheduling pass.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{AccountId, JobId, WorkerId};
use crate::place::find;
use crate::policy::{Millis, Policy, SECOND_MS};
use crate::reclaim::{Ledger, Share, victims};
use crate::shape::{Amount, Shape};
use crate::table::{Class, Demand, Placement, Running, Tables, Waiting};
use crate::tick::{Action, CLAIM_MARGIN_MS, Cause, Claim, Reservation, URGENT_GRACE_MS};
use crate::view::View;

/// Estimated run time below which work is small for the separation of sizes, in milliseconds.
const SMALL_WORK_MS: Millis = 20 * 60 * SECOND_MS;

/// Share of the rows that small work gets when sizes are separated.
const SMALL_AREA_SHARE: f64 = 0.25;

/// Load at which the separation of sizes sets in, as held and waiting accelerators over all accelerators.
const SEPARATION_LOAD: f64 = 1.5;

/// Rows, shares and ledgers as they change within a pass.
pub struct Pass<'a> {
    /// Entities.
    pub tables: &'a Tables,
    /// Time of the pass.
    pub now_ms: Millis,
    /// Free amounts.
    pub view: View,
    policy: &'a Policy,
    shares: Vec<Vec<Share>>,
    ledgers: Vec<Ledger>,
    claimed: Vec<Amount>,
    claims: BTreeMap<JobId, Placement>,
    started: BTreeMap<JobId, Placement>,
    retracted: Vec<JobId>,
    backed_rows: BTreeMap<AccountId, Vec<usize>>,
    yielding: BTreeSet<JobId>,
    separated: bool,
    actions: Vec<Action>,
}

impl<'a> Pass<'a> {
    /// Creates the state of a pass at `now_ms`; `yielding` are gangs that were asked to yield before.
    pub fn new(tables: &'a Tables, policy: &'a Policy, yielding: &BTreeSet<JobId>, now_ms: Millis) -> Self {
        let mut view = View::of_tables(tables);
        let mut shares: Vec<Vec<Share>> = vec![Vec::new(); view.cells.len()];
        for (job, running) in &tables.running {
            for worker in running.placement.keys() {
                if let Some(at) = view.row(worker) {
                    shares[at].push(running.share(job, worker));
                }
            }
        }
        let mut backing = tables.plan.backing();
        let mut backed_rows: BTreeMap<AccountId, Vec<usize>> = BTreeMap::new();
        let mut ledgers = Vec::with_capacity(view.cells.len());
        for (at, cell) in view.cells.iter_mut().enumerate() {
            let on_cell = backing.remove(&cell.worker).unwrap_or_default();
            cell.planned = on_cell.values().map(|amount| amount.accelerators).sum();
            for account in on_cell.keys() {
                backed_rows.entry(account.clone()).or_default().push(at);
            }
            ledgers.push(Ledger::new(on_cell, &shares[at]));
        }
        Self {
            tables,
            now_ms,
            policy,
            shares,
            ledgers,
            claimed: vec![Amount::default(); view.cells.len()],
            claims: BTreeMap::new(),
            started: BTreeMap::new(),
            retracted: Vec::new(),
            backed_rows,
            yielding: yielding.clone(),
            separated: policy.size_areas && load(tables) >= SEPARATION_LOAD,
            actions: Vec::new(),
            view,
        }
    }

    /// Returns what the pass decided.
    pub fn into_actions(self) -> Vec<Action> {
        self.actions
    }

    /// Starts a job on free room.
    pub fn start(&mut self, job: &JobId, demand: &Demand, placement: Placement) {
        self.view.take(&demand.shape, &placement);
        self.add_shares(job, demand, &placement);
        self.started.insert(job.clone(), placement.clone());
        self.actions.push(Action::Start { job: job.clone(), placement });
    }

    /// Takes back a start of this pass whose room a guarantee or urgent work needs.
    fn retract(&mut self, job: &JobId) {
        let Some(placement) = self.started.remove(job) else { return };
        let shape = self.tables.waiting[job].demand.shape;
        self.view.give(&shape, &placement);
        self.drop_shares(job, &placement);
        self.actions.retain(|action| !matches!(action, Action::Start { job: started, .. } if started == job));
        self.retracted.push(job.clone());
    }

    /// Returns the jobs whose starts were taken back since the last call.
    pub fn take_retracted(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.retracted)
    }

    /// Keeps room that others are vacating.
    pub fn claim(&mut self, job: &JobId, demand: &Demand, placement: &Placement) {
        for (worker, &tasks) in placement {
            if let Some(at) = self.view.row(worker) {
                self.claimed[at] += demand.shape.each().times(tasks);
            }
        }
        self.add_shares(job, demand, placement);
        self.claims.insert(job.clone(), placement.clone());
    }

    /// Drops a claim that a guarantee outbids.
    fn drop_claim(&mut self, job: &JobId) {
        let Some(placement) = self.claims.remove(job) else { return };
        let each = self.tables.waiting[job].demand.shape.each();
        for (worker, &tasks) in &placement {
            if let Some(at) = self.view.row(worker) {
                self.claimed[at] -= each.times(tasks);
            }
        }
        self.drop_shares(job, &placement);
    }

    fn drop_shares(&mut self, job: &JobId, placement: &Placement) {
        for worker in placement.keys() {
            let Some(at) = self.view.row(worker) else { continue };
            self.shares[at].retain(|share| share.job != *job);
            self.renew_ledger(at);
        }
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
            self.renew_ledger(at);
        }
    }

    fn renew_ledger(&mut self, at: usize) {
        let backing = std::mem::take(&mut self.ledgers[at].backing);
        self.ledgers[at] = Ledger::new(backing, &self.shares[at]);
    }

    fn open(&self, at: usize) -> Amount {
        self.view.cells[at].free.less(self.claimed[at])
    }

    /// Returns whether a job is small for the separation of sizes.
    pub fn is_small(&self, waiting: &Waiting) -> bool {
        self.separated && self.tables.remaining_ms(waiting) < SMALL_WORK_MS
    }

    /// Finds free room on the account's own backing outside the kept rows.
    pub fn find_own(&self, demand: &Demand, kept: &BTreeSet<usize>) -> Option<Placement> {
        self.find_on_backing(demand, |at| {
            let unused = self.ledgers[at].unused(&demand.account);
            if kept.contains(&at) { Amount::default() } else { unused.min(self.open(at)) }
        })
    }

    /// Finds room among the rows that back the account.
    fn find_on_backing(&self, demand: &Demand, amount: impl Fn(usize) -> Amount) -> Option<Placement> {
        let rows = self.backed_rows.get(&demand.account)?;
        let each = demand.shape.each();
        let found: Vec<(usize, Amount)> = rows.iter().map(|&at| (at, amount(at))).collect();
        let tasks: u64 =
            found.iter().map(|(_, amount)| u64::from(amount.tasks(each).min(demand.shape.tasks))).sum();
        if tasks < u64::from(demand.shape.tasks) {
            return None;
        }
        let mut amounts = vec![Amount::default(); self.view.cells.len()];
        for (at, amount) in found {
            amounts[at] = amount;
        }
        find(&self.view, &demand.shape, &amounts)
    }

    /// Finds free room anywhere outside the kept rows, borrowed if need be.
    pub fn find_anywhere(&self, waiting: &Waiting, kept: &BTreeSet<usize>) -> Option<Placement> {
        let demand = &waiting.demand;
        let mut amounts = self.allowed_amounts(waiting, kept);
        if !self.separated {
            return find(&self.view, &demand.shape, &amounts);
        }
        let small = self.is_small(waiting);
        for (at, amount) in amounts.iter_mut().enumerate() {
            if !self.in_area(at, small) {
                *amount = Amount::default();
            }
        }
        find(&self.view, &demand.shape, &amounts)
    }

    fn allowed_amounts(&self, waiting: &Waiting, kept: &BTreeSet<usize>) -> Vec<Amount> {
        let demand = &waiting.demand;
        let amount = |at: usize| {
            if kept.contains(&at) {
                return Amount::default();
            }
            let total = self.view.cells[at].total;
            self.ledgers[at].allowed(&demand.account, demand.preemptible, total, self.open(at))
        };
        (0..self.view.cells.len()).map(amount).collect()
    }

    /// Returns the rows that reservations of other jobs keep from this one, and a mask of those reservations.
    ///
    /// Preemptible work that is estimated to end in time may run there meanwhile.
    pub fn kept_rows(
        &self,
        reservations: &BTreeMap<JobId, Reservation>,
        job: &JobId,
        waiting: &Waiting,
    ) -> (BTreeSet<usize>, u64) {
        let ends_ms = self.now_ms + self.tables.remaining_ms(waiting);
        let mut rows = BTreeSet::new();
        let mut mask = 0;
        for (number, (other, held)) in reservations.iter().enumerate() {
            let backfills = waiting.demand.preemptible && ends_ms <= held.at_ms;
            if other != job && !backfills {
                rows.extend(held.workers.iter().filter_map(|worker| self.view.row(worker)));
                mask |= 1 << (number % 64);
            }
        }
        (rows, mask)
    }

    fn in_area(&self, at: usize, small: bool) -> bool {
        let boundary = (self.view.cells.len() as f64 * SMALL_AREA_SHARE).ceil() as usize;
        (at < boundary) == small
    }

    /// Finds room that others can vacate and asks them to yield; returns the room and the claims it outbids.
    pub fn find_by_preemption(
        &mut self,
        job: &JobId,
        waiting: &Waiting,
        cause: Cause,
    ) -> Option<(Claim, BTreeSet<JobId>)> {
        let demand = &waiting.demand;
        let placement = match cause {
            Cause::Guarantee => self.find_on_backing(demand, |at| self.reach(at, waiting, cause)),
            _ => {
                let rows = 0..self.view.cells.len();
                let reach: Vec<Amount> = rows.map(|at| self.reach(at, waiting, cause)).collect();
                find(&self.view, &demand.shape, &reach)
            }
        }?;
        let mut yielding = BTreeSet::new();
        let mut outbid = BTreeSet::new();
        for (worker, &tasks) in &placement {
            let at = self.view.row(worker)?;
            let need = demand.shape.each().times(tasks);
            let shares = self.shares[at].iter();
            outbid.extend(
                shares.filter(|share| self.is_outbid(at, share, cause)).map(|share| share.job.clone()),
            );
            let candidates = self.candidates(at, waiting, cause);
            let vacated = self.vacated(at, waiting, cause);
            yielding.extend(victims(&candidates, &self.ledgers[at], vacated, need)?);
        }
        outbid.iter().for_each(|claim| self.drop_claim(claim));
        let grace_ms = match demand.class {
            Class::Urgent => URGENT_GRACE_MS,
            _ => self.policy.checkpoint_grace_ms,
        };
        let mut waits_for = match demand.class {
            Class::Urgent => BTreeSet::new(),
            _ => self.yielding_on(&placement),
        };
        for victim in yielding {
            if self.started.contains_key(&victim) {
                self.retract(&victim);
                continue;
            }
            waits_for.insert(victim.clone());
            self.yielding.insert(victim.clone());
            self.actions.push(Action::Preempt { job: victim, for_job: job.clone(), cause, grace_ms });
        }
        let until_ms = self.now_ms + grace_ms + CLAIM_MARGIN_MS;
        Some((Claim { placement, waits_for, until_ms }, outbid))
    }

    /// Returns the gangs on the workers of a placement that were asked to yield before.
    fn yielding_on(&self, placement: &Placement) -> BTreeSet<JobId> {
        let rows = placement.keys().filter_map(|worker| self.view.row(worker));
        let shares = rows.flat_map(|at| &self.shares[at]);
        shares.filter(|share| self.yielding.contains(&share.job)).map(|share| share.job.clone()).collect()
    }

    /// Returns whether a share is a claim that this cause goes before.
    ///
    /// A guarantee goes before all claims on its backing by others, urgent work before those of other classes.
    fn is_outbid(&self, at: usize, share: &Share, cause: Cause) -> bool {
        let foreign = self.claims.contains_key(&share.job) && !self.ledgers[at].own.contains(&share.job);
        match cause {
            Cause::Guarantee => foreign,
            Cause::Urgent => foreign && share.class < Class::Urgent,
            Cause::Aged => false,
        }
    }

    /// Returns what the job could hold on a row after every possible preemption for this cause.
    fn reach(&self, at: usize, waiting: &Waiting, cause: Cause) -> Amount {
        let demand = &waiting.demand;
        let ledger = &self.ledgers[at];
        let mut reach = self.vacated(at, waiting, cause);
        for share in &self.shares[at] {
            if self.may_yield(share, waiting, cause) && !ledger.own.contains(&share.job) {
                reach += share.held;
            }
        }
        match cause {
            Cause::Guarantee => reach.min(ledger.unused(&demand.account)),
            _ => ledger.allowed(&demand.account, demand.preemptible, self.view.cells[at].total, reach),
        }
    }

    /// Returns what is free on a row once the work that yields already has gone.
    fn vacated(&self, at: usize, waiting: &Waiting, cause: Cause) -> Amount {
        let urgent = waiting.demand.class == Class::Urgent;
        let mut held = Amount::default();
        for share in &self.shares[at] {
            let gone = match self.claims.contains_key(&share.job) {
                true => self.is_outbid(at, share, cause),
                // Urgent work cannot wait for a long grace: it asks again with its own.
                false => !urgent && self.yielding.contains(&share.job),
            };
            if !gone {
                held += share.held;
            }
        }
        self.view.cells[at].total.less(held)
    }

    fn candidates(&self, at: usize, waiting: &Waiting, cause: Cause) -> Vec<Share> {
        self.shares[at].iter().filter(|share| self.may_yield(share, waiting, cause)).cloned().collect()
    }

    fn may_yield(&self, share: &Share, waiting: &Waiting, cause: Cause) -> bool {
        let urgent = waiting.demand.class == Class::Urgent;
        let yields_already = !urgent && self.yielding.contains(&share.job);
        if !share.preemptible || yields_already || self.claims.contains_key(&share.job) {
            return false;
        }
        match cause {
            Cause::Guarantee => true,
            Cause::Urgent => share.class < Class::Urgent,
            Cause::Aged => {
                let running = self.tables.running.get(&share.job);
                share.class < Class::Urgent
                    && running.is_some_and(|running| self.goes_before(waiting, running))
            }
        }
    }

    /// Returns whether an aged job goes before a running gang; it is a strict order, so nothing yields in a circle.
    fn goes_before(&self, waiting: &Waiting, running: &Running) -> bool {
        let width = |shape: &Shape| if self.policy.wide_first { shape.total().accelerators } else { 0 };
        let (own, other) = (width(&waiting.demand.shape), width(&running.demand.shape));
        own > other || (own == other && waiting.since_ms < running.since_ms)
    }

    /// Returns the group of workers that is estimated to have room first.
    pub fn earliest_room(&self, shape: &Shape, taken: &BTreeSet<&WorkerId>) -> Option<Reservation> {
        let mut best: Option<Reservation> = None;
        for group in self.view.groups(shape.span) {
            let rows: Vec<usize> =
                group.clone().filter(|&at| !taken.contains(&self.view.cells[at].worker)).collect();
            let Some(found) = self.earliest_in(shape, &rows) else { continue };
            if best.as_ref().is_none_or(|b| found.at_ms < b.at_ms) {
                best = Some(found);
            }
        }
        best
    }

    /// Returns the estimated time at which all of `workers` hold nothing.
    pub fn all_empty_at(&self, workers: &BTreeSet<WorkerId>) -> Millis {
        let rows = workers.iter().filter_map(|worker| self.view.row(worker));
        rows.map(|at| self.empty_at(at)).max().unwrap_or(self.now_ms)
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
    now_ms + now_ms.saturating_sub(running.started_ms) / 2 + SECOND_MS
}

/// Returns held and waiting accelerators over all accelerators.
fn load(tables: &Tables) -> f64 {
    let all: u32 = tables.workers.values().map(|w| w.capacity.accelerators).sum();
    let held: u32 = tables.running.values().map(|r| r.demand.shape.total().accelerators).sum();
    let asked: u32 = tables.waiting.values().map(|w| w.demand.shape.total().accelerators).sum();
    f64::from(held + asked) / f64::from(all.max(1))
}
