//! Working state of one scheduling pass.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{AccountId, JobId, WorkerId};
use crate::place::find;
use crate::policy::{Millis, Policy, SECOND_MS};
use crate::reclaim::{BackingUse, Share, select_victims};
use crate::shape::{Amount, Shape};
use crate::table::{Class, Demand, Placement, Running, Tables, Waiting};
use crate::tick::{Action, CLAIM_MARGIN_MS, Cause, Claim, Reservation, URGENT_GRACE_MS};
use crate::view::{View, WorkerRow};

/// Estimated remaining run time below which a job is small for the separation of job sizes.
const MAX_SMALL_JOB_MS: Millis = 20 * 60 * SECOND_MS;

/// Fraction of the worker rows that small jobs get while job sizes are separated.
const SMALL_JOB_ROW_FRACTION: f64 = 0.25;

/// Load from which job sizes are separated: held and requested accelerators divided by all accelerators.
const MIN_SIZE_SEPARATION_LOAD: f64 = 1.5;

/// Free resources, shares and use of backing, updated with each decision of the pass.
pub struct Pass<'a> {
    /// Entities at the start of the pass.
    pub tables: &'a Tables,
    pub now_ms: Millis,
    /// Free resources after the starts of this pass.
    pub view: View,
    policy: &'a Policy,
    shares: Vec<Vec<Share>>,
    backing_uses: Vec<BackingUse>,
    claimed: Vec<Amount>,
    claims: BTreeMap<JobId, Placement>,
    started: BTreeMap<JobId, Placement>,
    cancelled_starts: Vec<JobId>,
    backed_rows: BTreeMap<AccountId, Vec<usize>>,
    yielding: BTreeSet<JobId>,
    separates_sizes: bool,
    actions: Vec<Action>,
}

impl<'a> Pass<'a> {
    /// Creates the state of a pass at `now_ms`; `yielding` are the gangs that earlier passes asked to yield.
    pub fn new(tables: &'a Tables, policy: &'a Policy, yielding: &BTreeSet<JobId>, now_ms: Millis) -> Self {
        let mut view = View::with_free_capacity(tables);
        let mut shares: Vec<Vec<Share>> = vec![Vec::new(); view.worker_rows.len()];
        for (job, running) in &tables.running {
            for worker in running.placement.keys() {
                if let Some(row) = view.row(worker) {
                    shares[row].push(running.share_on(job, worker));
                }
            }
        }
        let mut backing = tables.plan.backing();
        let mut backed_rows: BTreeMap<AccountId, Vec<usize>> = BTreeMap::new();
        let mut backing_uses = Vec::with_capacity(view.worker_rows.len());
        for (row, worker_row) in view.worker_rows.iter_mut().enumerate() {
            let on_worker = backing.remove(&worker_row.worker).unwrap_or_default();
            worker_row.planned = on_worker.values().map(|amount| amount.accelerators).sum();
            for account in on_worker.keys() {
                backed_rows.entry(account.clone()).or_default().push(row);
            }
            backing_uses.push(BackingUse::new(on_worker, &shares[row]));
        }
        Self {
            tables,
            now_ms,
            policy,
            shares,
            backing_uses,
            claimed: vec![Amount::default(); view.worker_rows.len()],
            claims: BTreeMap::new(),
            started: BTreeMap::new(),
            cancelled_starts: Vec::new(),
            backed_rows,
            yielding: yielding.clone(),
            separates_sizes: policy.size_areas
                && accelerator_load(tables) >= MIN_SIZE_SEPARATION_LOAD
                && both_sizes_wait(tables),
            actions: Vec::new(),
            view,
        }
    }

    pub fn into_actions(self) -> Vec<Action> {
        self.actions
    }

    /// Starts a job on free resources.
    pub fn start(&mut self, job: &JobId, demand: &Demand, placement: Placement) {
        self.view.allocate(&demand.shape, &placement);
        self.add_shares(job, demand, &placement);
        self.started.insert(job.clone(), placement.clone());
        self.actions.push(Action::Start { job: job.clone(), placement });
    }

    /// Cancels a start of this pass whose resources another job reclaims by preemption.
    fn cancel_start(&mut self, job: &JobId) {
        let Some(placement) = self.started.remove(job) else { return };
        let shape = self.tables.waiting[job].demand.shape;
        self.view.release(&shape, &placement);
        self.remove_shares(job, &placement);
        self.actions.retain(|action| !matches!(action, Action::Start { job: started, .. } if started == job));
        self.cancelled_starts.push(job.clone());
    }

    /// Returns the jobs whose starts were cancelled since the last call.
    pub fn take_cancelled_starts(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.cancelled_starts)
    }

    /// Sets aside resources that other jobs are releasing for this one.
    pub fn add_claim(&mut self, job: &JobId, demand: &Demand, placement: &Placement) {
        for (worker, &tasks) in placement {
            if let Some(row) = self.view.row(worker) {
                self.claimed[row] += demand.shape.per_task().times(tasks);
            }
        }
        self.add_shares(job, demand, placement);
        self.claims.insert(job.clone(), placement.clone());
    }

    /// Removes a claim that a guarantee or urgent work supersedes.
    fn remove_claim(&mut self, job: &JobId) {
        let Some(placement) = self.claims.remove(job) else { return };
        let per_task = self.tables.waiting[job].demand.shape.per_task();
        for (worker, &tasks) in &placement {
            if let Some(row) = self.view.row(worker) {
                self.claimed[row] -= per_task.times(tasks);
            }
        }
        self.remove_shares(job, &placement);
    }

    fn remove_shares(&mut self, job: &JobId, placement: &Placement) {
        for worker in placement.keys() {
            let Some(row) = self.view.row(worker) else { continue };
            self.shares[row].retain(|share| share.job != *job);
            self.rebuild_backing_use(row);
        }
    }

    fn add_shares(&mut self, job: &JobId, demand: &Demand, placement: &Placement) {
        for (worker, &tasks) in placement {
            let Some(row) = self.view.row(worker) else { continue };
            self.shares[row].push(Share {
                job: job.clone(),
                account: demand.account.clone(),
                held: demand.shape.per_task().times(tasks),
                class: demand.class,
                started_ms: self.now_ms,
                preemptible: demand.preemptible,
            });
            self.rebuild_backing_use(row);
        }
    }

    fn rebuild_backing_use(&mut self, row: usize) {
        let backing = std::mem::take(&mut self.backing_uses[row].backing);
        self.backing_uses[row] = BackingUse::new(backing, &self.shares[row]);
    }

    fn unclaimed_free(&self, row: usize) -> Amount {
        self.view.worker_rows[row].free.saturating_sub(self.claimed[row])
    }

    /// Returns whether job sizes are separated and this job counts as small.
    pub fn is_small(&self, waiting: &Waiting) -> bool {
        self.separates_sizes && is_small(self.tables, waiting)
    }

    /// Finds free resources within the account's own backing, outside the reserved rows.
    pub fn find_on_own_backing(&self, demand: &Demand, reserved: &BTreeSet<usize>) -> Option<Placement> {
        self.find_on_backing(demand, |row| {
            let unused_backing = self.backing_uses[row].unused_backing(&demand.account);
            if reserved.contains(&row) {
                Amount::default()
            } else {
                unused_backing.min(self.unclaimed_free(row))
            }
        })
    }

    /// Finds a placement on the rows that back the account; `amount` gives what may be used on each row.
    fn find_on_backing(&self, demand: &Demand, amount: impl Fn(usize) -> Amount) -> Option<Placement> {
        let rows = self.backed_rows.get(&demand.account)?;
        let per_task = demand.shape.per_task();
        let found: Vec<(usize, Amount)> = rows.iter().map(|&row| (row, amount(row))).collect();
        let tasks: u64 =
            found.iter().map(|(_, amount)| u64::from(amount.tasks(per_task).min(demand.shape.tasks))).sum();
        if tasks < u64::from(demand.shape.tasks) {
            return None;
        }
        let mut amounts = vec![Amount::default(); self.view.worker_rows.len()];
        for (row, amount) in found {
            amounts[row] = amount;
        }
        find(&self.view, &demand.shape, &amounts)
    }

    /// Finds free resources on any row that is not reserved, including the backing of other accounts.
    pub fn find_anywhere(&self, waiting: &Waiting, reserved: &BTreeSet<usize>) -> Option<Placement> {
        let demand = &waiting.demand;
        let mut amounts = self.allocatable_amounts(waiting, reserved);
        let small = self.is_small(waiting);
        if !self.separates_sizes || !self.fits_size_area(&demand.shape, small) {
            return find(&self.view, &demand.shape, &amounts);
        }
        for (row, amount) in amounts.iter_mut().enumerate() {
            if !self.in_size_area(row, small) {
                *amount = Amount::default();
            }
        }
        find(&self.view, &demand.shape, &amounts)
    }

    fn allocatable_amounts(&self, waiting: &Waiting, reserved: &BTreeSet<usize>) -> Vec<Amount> {
        let demand = &waiting.demand;
        let amount = |row: usize| {
            if reserved.contains(&row) {
                return Amount::default();
            }
            let total = self.view.worker_rows[row].total;
            self.backing_uses[row].allocatable(
                &demand.account,
                demand.preemptible,
                total,
                self.unclaimed_free(row),
            )
        };
        (0..self.view.worker_rows.len()).map(amount).collect()
    }

    /// Returns the rows reserved for other jobs, and a bit mask of those reservations.
    ///
    /// Preemptible work that is estimated to end before a reservation starts may use its rows (backfill).
    pub fn reserved_rows(
        &self,
        reservations: &BTreeMap<JobId, Reservation>,
        job: &JobId,
        waiting: &Waiting,
    ) -> (BTreeSet<usize>, u64) {
        let end_ms = self.now_ms + self.tables.remaining_ms(waiting);
        let mut rows = BTreeSet::new();
        let mut reservation_mask = 0;
        for (number, (other, reservation)) in reservations.iter().enumerate() {
            let backfills = waiting.demand.preemptible && end_ms <= reservation.start_ms;
            if other != job && !backfills {
                rows.extend(reservation.workers.iter().filter_map(|worker| self.view.row(worker)));
                reservation_mask |= 1 << (number % 64);
            }
        }
        (rows, reservation_mask)
    }

    /// Returns whether a shape would fit its part of the fleet if nothing ran there.
    fn fits_size_area(&self, shape: &Shape, small: bool) -> bool {
        let rows = self.view.worker_rows.iter().enumerate();
        let total = |(row, worker_row): (usize, &WorkerRow)| match self.in_size_area(row, small) {
            true => worker_row.total,
            false => Amount::default(),
        };
        find(&self.view, shape, &rows.map(total).collect::<Vec<_>>()).is_some()
    }

    fn in_size_area(&self, row: usize, small: bool) -> bool {
        let boundary = (self.view.worker_rows.len() as f64 * SMALL_JOB_ROW_FRACTION).ceil() as usize;
        (row < boundary) == small
    }

    /// Finds a placement that preemption can free and asks its victims to yield.
    ///
    /// Returns the claim on the placement and the jobs whose claims it supersedes.
    pub fn find_by_preemption(
        &mut self,
        job: &JobId,
        waiting: &Waiting,
        cause: Cause,
    ) -> Option<(Claim, BTreeSet<JobId>)> {
        let demand = &waiting.demand;
        let placement = match cause {
            Cause::Guarantee => self.find_on_backing(demand, |row| self.attainable(row, waiting, cause)),
            _ => {
                let rows = 0..self.view.worker_rows.len();
                let attainable: Vec<Amount> = rows.map(|row| self.attainable(row, waiting, cause)).collect();
                find(&self.view, &demand.shape, &attainable)
            }
        }?;
        let mut yielding = BTreeSet::new();
        let mut superseded = BTreeSet::new();
        for (worker, &tasks) in &placement {
            let row = self.view.row(worker)?;
            let required = demand.shape.per_task().times(tasks);
            let shares = self.shares[row].iter();
            superseded.extend(
                shares.filter(|share| self.is_superseded(row, share, cause)).map(|share| share.job.clone()),
            );
            let victim_candidates = self.victim_candidates(row, waiting, cause);
            let free_after_yields = self.free_after_yields(row, waiting, cause);
            yielding.extend(select_victims(
                &victim_candidates,
                &self.backing_uses[row],
                free_after_yields,
                required,
            )?);
        }
        superseded.iter().for_each(|claim| self.remove_claim(claim));
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
                self.cancel_start(&victim);
                continue;
            }
            waits_for.insert(victim.clone());
            self.yielding.insert(victim.clone());
            self.actions.push(Action::Preempt { job: victim, for_job: job.clone(), cause, grace_ms });
        }
        let until_ms = self.now_ms + grace_ms + CLAIM_MARGIN_MS;
        Some((Claim { placement, waits_for, until_ms }, superseded))
    }

    /// Returns the gangs on the workers of a placement that were already asked to yield.
    fn yielding_on(&self, placement: &Placement) -> BTreeSet<JobId> {
        let rows = placement.keys().filter_map(|worker| self.view.row(worker));
        let shares = rows.flat_map(|row| &self.shares[row]);
        shares.filter(|share| self.yielding.contains(&share.job)).map(|share| share.job.clone()).collect()
    }

    /// Returns whether a share is a claim that a preemption for this cause supersedes.
    ///
    /// A guarantee supersedes every claim that its account's own backing does not cover. Urgent work
    /// supersedes such claims of lower classes.
    fn is_superseded(&self, row: usize, share: &Share, cause: Cause) -> bool {
        let foreign = self.claims.contains_key(&share.job)
            && !self.backing_uses[row].on_own_backing.contains(&share.job);
        match cause {
            Cause::Guarantee => foreign,
            Cause::Urgent => foreign && share.class < Class::Urgent,
            Cause::Aged => false,
        }
    }

    /// Returns what the job could hold on a row after every permitted preemption for this cause.
    fn attainable(&self, row: usize, waiting: &Waiting, cause: Cause) -> Amount {
        let demand = &waiting.demand;
        let backing_use = &self.backing_uses[row];
        let mut attainable = self.free_after_yields(row, waiting, cause);
        for share in &self.shares[row] {
            if self.may_preempt(share, waiting, cause) && !backing_use.on_own_backing.contains(&share.job) {
                attainable += share.held;
            }
        }
        match cause {
            Cause::Guarantee => attainable.min(backing_use.unused_backing(&demand.account)),
            _ => backing_use.allocatable(
                &demand.account,
                demand.preemptible,
                self.view.worker_rows[row].total,
                attainable,
            ),
        }
    }

    /// Returns what is free on a row once the gangs that were already asked to yield have released it.
    fn free_after_yields(&self, row: usize, waiting: &Waiting, cause: Cause) -> Amount {
        let urgent = waiting.demand.class == Class::Urgent;
        let mut held = Amount::default();
        for share in &self.shares[row] {
            let released = match self.claims.contains_key(&share.job) {
                true => self.is_superseded(row, share, cause),
                // Urgent work cannot wait for a longer grace period: it preempts again with its own.
                false => !urgent && self.yielding.contains(&share.job),
            };
            if !released {
                held += share.held;
            }
        }
        self.view.worker_rows[row].total.saturating_sub(held)
    }

    fn victim_candidates(&self, row: usize, waiting: &Waiting, cause: Cause) -> Vec<Share> {
        self.shares[row].iter().filter(|share| self.may_preempt(share, waiting, cause)).cloned().collect()
    }

    fn may_preempt(&self, share: &Share, waiting: &Waiting, cause: Cause) -> bool {
        let urgent = waiting.demand.class == Class::Urgent;
        let already_yielding = !urgent && self.yielding.contains(&share.job);
        if !share.preemptible || already_yielding || self.claims.contains_key(&share.job) {
            return false;
        }
        match cause {
            Cause::Guarantee => true,
            Cause::Urgent => share.class < Class::Urgent,
            Cause::Aged => {
                let running = self.tables.running.get(&share.job);
                share.class < Class::Urgent && running.is_some_and(|running| self.precedes(waiting, running))
            }
        }
    }

    /// Returns whether an aged job may preempt a running gang; a strict order, so preemptions form no cycle.
    fn precedes(&self, waiting: &Waiting, running: &Running) -> bool {
        let width = |shape: &Shape| if self.policy.wide_first { shape.total().accelerators } else { 0 };
        let (own_width, other_width) = (width(&waiting.demand.shape), width(&running.demand.shape));
        own_width > other_width || (own_width == other_width && waiting.since_ms < running.since_ms)
    }

    /// Returns a reservation on the group of workers that is estimated to fit the job earliest.
    pub fn earliest_reservation(
        &self,
        demand: &Demand,
        reserved: &BTreeSet<&WorkerId>,
    ) -> Option<Reservation> {
        let mut best: Option<Reservation> = None;
        for group in self.view.groups(demand.shape.span) {
            let rows: Vec<usize> =
                group.clone().filter(|&row| !reserved.contains(&self.view.worker_rows[row].worker)).collect();
            let Some(found) = self.earliest_in_rows(demand, &rows) else { continue };
            if best.as_ref().is_none_or(|b| found.start_ms < b.start_ms) {
                best = Some(found);
            }
        }
        best
    }

    /// Returns the estimated time at which all of `workers` are idle.
    pub fn all_idle_at_ms(&self, workers: &BTreeSet<WorkerId>) -> Millis {
        let rows = workers.iter().filter_map(|worker| self.view.row(worker));
        rows.map(|row| self.idle_at_ms(row)).max().unwrap_or(self.now_ms)
    }

    /// Returns whether a job fits on workers once they are idle.
    pub fn fits_idle(&self, demand: &Demand, workers: &BTreeSet<WorkerId>) -> bool {
        let rows = workers.iter().filter_map(|worker| self.view.row(worker));
        rows.map(|row| u64::from(self.tasks_on_idle(row, demand))).sum::<u64>()
            >= u64::from(demand.shape.tasks)
    }

    /// Returns how many tasks of a job a row holds while nothing runs on it: work that can't be preempted may not use the
    /// backing of other accounts.
    fn tasks_on_idle(&self, row: usize, demand: &Demand) -> u32 {
        let total = self.view.worker_rows[row].total;
        let may_use = match demand.preemptible {
            true => total,
            false => BackingUse::new(self.backing_uses[row].backing.clone(), &[]).allocatable(
                &demand.account,
                false,
                total,
                total,
            ),
        };
        may_use.tasks(demand.shape.per_task())
    }

    fn earliest_in_rows(&self, demand: &Demand, rows: &[usize]) -> Option<Reservation> {
        let mut capacity: Vec<(Millis, u32, usize)> = Vec::new();
        for &row in rows {
            let tasks = self.tasks_on_idle(row, demand);
            if tasks > 0 {
                capacity.push((self.idle_at_ms(row), tasks, row));
            }
        }
        capacity.sort_unstable();
        let mut remaining = demand.shape.tasks;
        let mut workers = BTreeSet::new();
        for (start_ms, tasks, row) in capacity {
            workers.insert(self.view.worker_rows[row].worker.clone());
            remaining = remaining.saturating_sub(tasks);
            if remaining == 0 {
                return Some(Reservation { workers, start_ms });
            }
        }
        None
    }

    /// Returns the estimated time at which the last gang on a row ends.
    fn idle_at_ms(&self, row: usize) -> Millis {
        let ends = self.shares[row].iter().filter_map(|share| self.tables.running.get(&share.job));
        ends.map(|running| estimated_end_ms(self.tables, running, self.now_ms)).max().unwrap_or(self.now_ms)
    }
}

fn is_small(tables: &Tables, waiting: &Waiting) -> bool {
    tables.remaining_ms(waiting) < MAX_SMALL_JOB_MS
}

/// Returns whether small and large jobs wait. A part of the fleet that is kept for a size of which none waits idles.
fn both_sizes_wait(tables: &Tables) -> bool {
    let mut waiting = tables.waiting.values().map(|waiting| is_small(tables, waiting));
    waiting.next().is_some_and(|first| waiting.any(|small| small != first))
}

/// Returns the estimated end of a running gang.
///
/// A gang past its estimate is assumed to run for another half of its elapsed time, plus one second.
fn estimated_end_ms(tables: &Tables, running: &Running, now_ms: Millis) -> Millis {
    let remaining_ms = tables.estimate_ms(&running.demand).saturating_sub(running.done_ms);
    let end_ms = running.started_ms + remaining_ms;
    if end_ms > now_ms {
        return end_ms;
    }
    now_ms + now_ms.saturating_sub(running.started_ms) / 2 + SECOND_MS
}

/// Returns the held and requested accelerators divided by all accelerators.
fn accelerator_load(tables: &Tables) -> f64 {
    let total: u32 = tables.workers.values().map(|w| w.capacity.accelerators).sum();
    let held: u32 = tables.running.values().map(|r| r.demand.shape.total().accelerators).sum();
    let requested: u32 = tables.waiting.values().map(|w| w.demand.shape.total().accelerators).sum();
    f64::from(held + requested) / f64::from(total.max(1))
}
