//! Virtual time: arrivals, ends, outages and the scheduling passes between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use derive_more::{Display, FromStr};
use sorrelland_core::eject::Outcomes;
use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::naive;
use sorrelland_core::place::find;
use sorrelland_core::plan::propose;
use sorrelland_core::policy::{Millis, SECOND_MS};
use sorrelland_core::queue::admit;
use sorrelland_core::reclaim::{BackingUse, Share, find_breach};
use sorrelland_core::shape::{Amount, Shape};
use sorrelland_core::table::{Class, Placement, Running, Tables, Waiting};
use sorrelland_core::tick::{Action, Scheduler};
use sorrelland_core::topology::Standing;
use sorrelland_core::view::View;

use crate::measure::{Measure, Report};
use crate::scenario::{Name, Scenario, TraceJob};

/// Which scheduler decides.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Policy {
    /// The decision core.
    #[display("core")]
    Core,
    /// First come first served, first fit.
    #[display("naive")]
    Naive,
    /// The core with separate areas for sizes under heavy load.
    #[display("areas")]
    Areas,
    /// The core without preemption for aged jobs.
    #[display("patient")]
    Patient,
    /// The core without reservations.
    #[display("greedy")]
    Greedy,
}

/// Time between two passes while jobs wait.
const PASS_MS: Millis = 5 * SECOND_MS;

/// Time between two passes while urgent jobs wait; an entry makes one every 100 ms.
const URGENT_PASS_MS: Millis = 250;

/// Time after which work fails on a worker that fails everything.
const FAILURE_MS: Millis = 5 * SECOND_MS;

/// Time that a restart from a checkpoint costs.
const RESTART_MS: Millis = 30 * SECOND_MS;

/// Margin on top of the grace within which a guarantee has to be given back: a pass before and one after.
const RECLAIM_MARGIN_MS: Millis = 2 * PASS_MS;

/// Events of virtual time, in the order in which they happen at the same moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A running attempt ends; the number tells it from other attempts.
    End(JobId, u32),
    /// A gang that was asked to yield has to be gone.
    Yield(JobId, u32),
    /// An outage begins.
    Out(usize),
    /// An outage ends.
    Back(usize),
    /// A cancellation wave.
    Cancel(usize),
    /// A job arrives.
    Arrive(usize),
    /// A pass without any other cause.
    Pass,
}

/// What the scheduler's passes cost on this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Passes.
    pub passes: u32,
    /// Time of all passes.
    pub total: Duration,
    /// Time of the longest pass.
    pub longest: Duration,
}

struct Attempt {
    number: u32,
    fails: bool,
    yield_from_ms: Option<Millis>,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    tables: Tables,
    scheduler: Scheduler,
    outcomes: Outcomes,
    events: BTreeSet<(Millis, Event)>,
    attempts: BTreeMap<JobId, Attempt>,
    traces: BTreeMap<JobId, &'a TraceJob>,
    first_start_ms: BTreeMap<JobId, Millis>,
    entitled_ms: BTreeMap<JobId, Millis>,
    breached: BTreeSet<JobId>,
    failing: BTreeSet<WorkerId>,
    lost: BTreeSet<WorkerId>,
    largest: Shape,
    measure: Measure,
    cost: Cost,
    now_ms: Millis,
    numbers: u32,
    pass_scheduled: bool,
}

/// Replays a scenario to its end.
pub fn run(name: Name, policy: Policy, seed: u64) -> (Report, Cost) {
    let scenario = crate::scenario::generate(name, seed);
    let mut sim = Sim::new(&scenario, policy);
    sim.run();
    (sim.measure.report(&name.to_string(), &policy.to_string(), seed), sim.cost)
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> Self {
        let mut tables = Tables::new();
        tables.workers = scenario.workers.clone();
        tables.accounts = scenario.accounts.clone();
        tables.plan = propose(&tables.accounts, &tables.workers, &tables.plan);
        let mut weights = scenario.policy.clone();
        match policy {
            Policy::Areas => weights.size_areas = true,
            Policy::Patient => weights.preempt_after_ms = Millis::MAX,
            Policy::Greedy => weights.reservations = 0,
            Policy::Core | Policy::Naive => {}
        }
        let mut events = BTreeSet::new();
        events.extend(scenario.jobs.iter().enumerate().map(|(at, job)| (job.at_ms, Event::Arrive(at))));
        events.extend(scenario.cancels.iter().enumerate().map(|(at, wave)| (wave.0, Event::Cancel(at))));
        for (at, outage) in scenario.outages.iter().enumerate() {
            events.insert((outage.from_ms, Event::Out(at)));
            events.insert((outage.until_ms, Event::Back(at)));
        }
        let shapes = scenario.jobs.iter().map(|job| job.demand.shape);
        let largest =
            shapes.max_by_key(|s| s.total().accelerators).unwrap_or(Shape::new(1, 1, Default::default()));
        Self {
            scenario,
            policy,
            tables,
            scheduler: Scheduler::new(weights),
            outcomes: Outcomes::new(),
            events,
            attempts: BTreeMap::new(),
            traces: scenario.jobs.iter().map(|job| (job.id.clone(), job)).collect(),
            first_start_ms: BTreeMap::new(),
            entitled_ms: BTreeMap::new(),
            breached: BTreeSet::new(),
            failing: BTreeSet::new(),
            lost: BTreeSet::new(),
            largest,
            measure: Measure::default(),
            cost: Cost::default(),
            now_ms: 0,
            numbers: 0,
            pass_scheduled: false,
        }
    }

    fn run(&mut self) {
        while let Some((at_ms, event)) = self.events.pop_first() {
            if at_ms > self.now_ms {
                self.measure.span(&self.tables, at_ms - self.now_ms);
                self.now_ms = at_ms;
            }
            self.happen(event);
            let more_now = self.events.first().is_some_and(|(next_ms, _)| *next_ms == at_ms);
            if !more_now {
                self.pass();
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(at) => self.arrive(at),
            Event::End(job, number) => self.end(&job, number),
            Event::Yield(job, number) => self.yield_now(&job, number),
            Event::Cancel(wave) => self.cancel(wave),
            Event::Out(at) => self.out(at, true),
            Event::Back(at) => self.out(at, false),
            Event::Pass => self.pass_scheduled = false,
        }
    }

    fn arrive(&mut self, at: usize) {
        let job = &self.scenario.jobs[at];
        match admit(&self.tables, &job.demand) {
            Ok(()) => {
                let waiting = Waiting { demand: job.demand.clone(), since_ms: self.now_ms, done_ms: 0 };
                self.tables.waiting.insert(job.id.clone(), waiting);
            }
            Err(refusal) => *self.measure.refused.entry(refusal.to_string()).or_default() += 1,
        }
    }

    fn cancel(&mut self, wave: usize) {
        for job in &self.scenario.cancels[wave].1 {
            if self.tables.waiting.remove(job).is_some() {
                self.measure.cancelled += 1;
            }
        }
    }

    fn out(&mut self, at: usize, begins: bool) {
        let outage = &self.scenario.outages[at];
        let set = if outage.fails_everything { &mut self.failing } else { &mut self.lost };
        for worker in &outage.workers {
            if begins {
                set.insert(worker.clone());
            } else {
                set.remove(worker);
            }
        }
        if outage.fails_everything {
            return;
        }
        let hit = |running: &Running| running.placement.keys().any(|w| outage.workers.contains(w));
        let broken: Vec<JobId> =
            self.tables.running.iter().filter(|(_, r)| begins && hit(r)).map(|(id, _)| id.clone()).collect();
        for job in broken {
            self.requeue(&job, 0);
        }
        self.stand();
        self.tables.plan = propose(&self.tables.accounts, &self.tables.workers, &self.tables.plan);
    }

    /// Updates which workers take work.
    fn stand(&mut self) {
        for (id, worker) in &mut self.tables.workers {
            worker.standing = if self.lost.contains(id) {
                Standing::Lost
            } else if self.policy != Policy::Naive && self.outcomes.is_ejected(id, self.now_ms) {
                Standing::Ejected
            } else {
                Standing::Ready
            };
        }
    }

    fn end(&mut self, job: &JobId, number: u32) {
        let Some(attempt) = self.attempts.get(job).filter(|a| a.number == number) else { return };
        if attempt.fails {
            self.fail(job);
            return;
        }
        self.attempts.remove(job);
        let Some(running) = self.tables.running.remove(job) else { return };
        let trace = self.traces[job];
        for worker in running.placement.keys() {
            self.outcomes.record_success(worker);
        }
        if self.policy != Policy::Naive {
            let history = self.tables.history.entry(running.demand.account.clone()).or_default();
            history.record(running.demand.declared_ms, trace.actual_ms);
        }
        let wait_ms = self.first_start_ms[job] - running.since_ms;
        let completion_ms = self.now_ms - running.since_ms;
        let shape = &running.demand.shape;
        let largest = shape.total().accelerators == self.largest.total().accelerators;
        self.measure.complete(shape, largest, completion_ms, trace.actual_ms, wait_ms);
    }

    fn fail(&mut self, job: &JobId) {
        self.measure.failures += 1;
        let workers: Vec<WorkerId> = self.tables.running[job].placement.keys().cloned().collect();
        for worker in workers.iter().filter(|worker| self.failing.contains(*worker)) {
            self.outcomes.record_failure(worker, self.tables.workers.len(), self.now_ms);
        }
        self.requeue(job, 0);
    }

    fn yield_now(&mut self, job: &JobId, number: u32) {
        let Some(attempt) = self.attempts.get(job).filter(|a| a.number == number) else { return };
        let Some(running) = self.tables.running.get(job) else { return };
        let from_ms = attempt.yield_from_ms.unwrap_or(self.now_ms);
        let kept_ms = from_ms.saturating_sub(running.started_ms).saturating_sub(RESTART_MS);
        self.requeue(job, kept_ms);
    }

    fn requeue(&mut self, job: &JobId, kept_ms: Millis) {
        self.attempts.remove(job);
        let Some(running) = self.tables.running.remove(job) else { return };
        let waiting = Waiting {
            demand: running.demand,
            since_ms: running.since_ms,
            done_ms: running.done_ms + kept_ms,
        };
        self.tables.waiting.insert(job.clone(), waiting);
    }

    fn pass(&mut self) {
        self.stand();
        let started = Instant::now();
        let actions = match self.policy {
            Policy::Naive => {
                let starts = naive::tick(&self.tables).into_iter();
                starts.map(|(job, placement)| Action::Start { job, placement }).collect()
            }
            _ => self.scheduler.tick(&self.tables, self.now_ms),
        };
        let elapsed = started.elapsed();
        self.cost.passes += 1;
        self.cost.total += elapsed;
        self.cost.longest = self.cost.longest.max(elapsed);
        for action in actions {
            match action {
                Action::Start { job, placement } => self.start(&job, placement),
                Action::Preempt { job, grace_ms, .. } => self.preempt(&job, grace_ms),
            }
        }
        self.check_guarantees();
        if !self.tables.waiting.is_empty() && !self.pass_scheduled {
            self.pass_scheduled = true;
            let urgent = self.policy != Policy::Naive
                && self.tables.waiting.values().any(|waiting| waiting.demand.class == Class::Urgent);
            let next_ms = if urgent { URGENT_PASS_MS } else { PASS_MS };
            self.events.insert((self.now_ms + next_ms, Event::Pass));
        }
    }

    fn start(&mut self, job: &JobId, placement: Placement) {
        let Some(waiting) = self.tables.waiting.remove(job) else { return };
        let trace = self.traces[job];
        self.numbers += 1;
        let fails = placement.keys().any(|worker| self.failing.contains(worker));
        let left_ms = trace.actual_ms.saturating_sub(waiting.done_ms).max(1);
        let run_ms = if fails { FAILURE_MS } else { left_ms };
        self.events.insert((self.now_ms + run_ms, Event::End(job.clone(), self.numbers)));
        self.attempts.insert(job.clone(), Attempt { number: self.numbers, fails, yield_from_ms: None });
        let first = !self.first_start_ms.contains_key(job);
        self.first_start_ms.entry(job.clone()).or_insert(self.now_ms);
        if first && waiting.demand.class == Class::Urgent {
            self.measure.urgent(self.now_ms - waiting.since_ms);
        }
        if let Some(since_ms) = self.entitled_ms.remove(job) {
            self.measure.reclaimed(self.now_ms - since_ms);
        }
        let running = Running {
            demand: waiting.demand,
            placement,
            since_ms: waiting.since_ms,
            started_ms: self.now_ms,
            done_ms: waiting.done_ms,
        };
        self.tables.running.insert(job.clone(), running);
    }

    fn preempt(&mut self, job: &JobId, grace_ms: Millis) {
        let Some(attempt) = self.attempts.get_mut(job) else { return };
        // A second request only brings the end forward.
        if attempt.yield_from_ms.replace(self.now_ms).is_none() {
            self.measure.preemptions += 1;
        }
        self.events.insert((self.now_ms + grace_ms, Event::Yield(job.clone(), attempt.number)));
    }

    /// Counts guarantees that are pinned by others, and those not given back within the grace.
    fn check_guarantees(&mut self) {
        let view = View::with_free_capacity(&self.tables);
        let mut shares: Vec<Vec<Share>> = vec![Vec::new(); view.worker_rows.len()];
        for (job, running) in &self.tables.running {
            place_shares(&view, &mut shares, job, running);
        }
        for (job, claim) in &self.scheduler.claims {
            let Some(waiting) = self.tables.waiting.get(job) else { continue };
            let demand = &waiting.demand;
            let claimed = Running {
                demand: demand.clone(),
                placement: claim.placement.clone(),
                since_ms: waiting.since_ms,
                started_ms: self.now_ms,
                done_ms: 0,
            };
            place_shares(&view, &mut shares, job, &claimed);
        }
        let mut backing = self.tables.plan.backing();
        let backing_uses: Vec<BackingUse> = view
            .worker_rows
            .iter()
            .zip(&shares)
            .map(|(row, on_cell)| BackingUse::new(backing.remove(&row.worker).unwrap_or_default(), on_cell))
            .collect();
        for (row, backing_use) in view.worker_rows.iter().zip(&backing_uses) {
            let capacity = self.tables.workers[&row.worker].capacity;
            if find_breach(&row.worker, capacity, backing_use).is_some() {
                self.measure.breaches += 1;
            }
        }
        self.check_entitled(&view, &backing_uses);
    }

    fn check_entitled(&mut self, view: &View, backing_uses: &[BackingUse]) {
        let bound_ms = self.scheduler.policy.checkpoint_grace_ms + RECLAIM_MARGIN_MS;
        let mut entitled = BTreeSet::new();
        for (job, waiting) in &self.tables.waiting {
            let account = &waiting.demand.account;
            if !self.tables.plan.bindings.contains_key(account) {
                continue;
            }
            // Room that is being vacated on the account's own backing is on its way back.
            let claim = self.scheduler.claims.get(job);
            let claimed = claim.is_some_and(|claim| {
                let mut rows = claim.placement.keys().filter_map(|worker| view.row(worker));
                rows.all(|at| backing_uses[at].on_own_backing.contains(job))
            });
            let rows = view.worker_rows.iter().zip(backing_uses);
            let unused: Vec<Amount> = rows
                .map(|(row, backing_use)| {
                    if row.total.is_zero() { Amount::default() } else { backing_use.unused_backing(account) }
                })
                .collect();
            if claimed || find(view, &waiting.demand.shape, &unused).is_some() {
                entitled.insert(job.clone());
            }
        }
        for job in &entitled {
            let since_ms = *self.entitled_ms.entry(job.clone()).or_insert(self.now_ms);
            if self.now_ms > since_ms + bound_ms && self.breached.insert(job.clone()) {
                self.measure.breaches += 1;
            }
        }
        self.entitled_ms.retain(|job, _| entitled.contains(job));
    }
}

fn place_shares(view: &View, shares: &mut [Vec<Share>], job: &JobId, running: &Running) {
    for worker in running.placement.keys() {
        if let Some(at) = view.row(worker) {
            shares[at].push(running.share_on(job, worker));
        }
    }
}
