//! Discrete-event simulation of arrivals, completions, outages and the scheduling passes between them.

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

use crate::measure::{Measurements, Report};
use crate::scenario::{Scenario, ScenarioName, TraceJob};

/// Scheduler variant that a replay uses.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum SchedulerPolicy {
    /// The scheduling core.
    #[display("core")]
    Core,
    /// First come, first served, with first-fit placement.
    #[display("naive")]
    Naive,
    /// The core with separate parts of the fleet for small and large jobs under heavy load.
    #[display("areas")]
    Areas,
    /// The core without preemption for aged jobs.
    #[display("patient")]
    Patient,
    /// The core without reservations.
    #[display("greedy")]
    Greedy,
}

/// Interval between scheduling passes while jobs wait.
const PASS_INTERVAL_MS: Millis = 5 * SECOND_MS;

/// Interval between scheduling passes while urgent jobs wait. An entry runs a pass every 100 ms.
const URGENT_PASS_INTERVAL_MS: Millis = 250;

/// Time from start to failure on a worker that fails all work.
const FAILURE_DELAY_MS: Millis = 5 * SECOND_MS;

/// Run time lost by a restart from a checkpoint.
const RESTART_COST_MS: Millis = 30 * SECOND_MS;

/// Time allowed for returning a guarantee beyond the checkpoint grace period: up to one interval until a pass
/// preempts, and up to one until a pass starts the job.
const RECLAIM_MARGIN_MS: Millis = 2 * PASS_INTERVAL_MS;

/// Simulation events. Events at the same time are handled in the order of the variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An attempt ends by itself; the number identifies the attempt.
    AttemptEnd(JobId, u32),
    /// The grace period of a gang that was asked to yield ends; the number identifies the attempt.
    YieldDeadline(JobId, u32),
    OutageStart(usize),
    OutageEnd(usize),
    /// Some of the waiting jobs are cancelled.
    CancelWave(usize),
    Arrival(usize),
    /// Causes a scheduling pass when no other event does.
    Pass,
}

/// Wall-clock time of the scheduling passes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassCost {
    /// Number of passes.
    pub passes: u32,
    /// Total time of all passes.
    pub total: Duration,
    /// Time of the longest pass.
    pub longest: Duration,
}

struct Attempt {
    number: u32,
    fails: bool,
    yield_requested_ms: Option<Millis>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: SchedulerPolicy,
    tables: Tables,
    scheduler: Scheduler,
    outcomes: Outcomes,
    events: BTreeSet<(Millis, Event)>,
    attempts: BTreeMap<JobId, Attempt>,
    trace_jobs: BTreeMap<JobId, &'a TraceJob>,
    first_start_ms: BTreeMap<JobId, Millis>,
    entitled_since_ms: BTreeMap<JobId, Millis>,
    breached_jobs: BTreeSet<JobId>,
    failing_workers: BTreeSet<WorkerId>,
    lost_workers: BTreeSet<WorkerId>,
    largest_shape: Shape,
    measurements: Measurements,
    cost: PassCost,
    now_ms: Millis,
    last_attempt: u32,
    pass_scheduled: bool,
}

/// Generates a scenario and replays it until no events remain.
pub fn run(name: ScenarioName, policy: SchedulerPolicy, seed: u64) -> (Report, PassCost) {
    let scenario = crate::scenario::generate(name, seed);
    let mut sim = Simulation::new(&scenario, policy);
    sim.run();
    (sim.measurements.report(&name.to_string(), &policy.to_string(), seed), sim.cost)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: SchedulerPolicy) -> Self {
        let mut tables = Tables::new();
        tables.workers = scenario.workers.clone();
        tables.accounts = scenario.accounts.clone();
        tables.plan = propose(&tables.accounts, &tables.workers, &tables.plan);
        let mut core_policy = scenario.policy.clone();
        match policy {
            SchedulerPolicy::Areas => core_policy.size_areas = true,
            SchedulerPolicy::Patient => core_policy.preempt_after_ms = Millis::MAX,
            SchedulerPolicy::Greedy => core_policy.reservations = 0,
            SchedulerPolicy::Core | SchedulerPolicy::Naive => {}
        }
        let mut events = BTreeSet::new();
        events.extend(
            scenario.jobs.iter().enumerate().map(|(index, job)| (job.arrival_ms, Event::Arrival(index))),
        );
        events.extend(
            scenario.cancel_waves.iter().enumerate().map(|(index, wave)| (wave.0, Event::CancelWave(index))),
        );
        for (index, outage) in scenario.outages.iter().enumerate() {
            events.insert((outage.from_ms, Event::OutageStart(index)));
            events.insert((outage.until_ms, Event::OutageEnd(index)));
        }
        let shapes = scenario.jobs.iter().map(|job| job.demand.shape);
        let largest_shape =
            shapes.max_by_key(|s| s.total().accelerators).unwrap_or(Shape::new(1, 1, Default::default()));
        Self {
            scenario,
            policy,
            tables,
            scheduler: Scheduler::new(core_policy),
            outcomes: Outcomes::new(),
            events,
            attempts: BTreeMap::new(),
            trace_jobs: scenario.jobs.iter().map(|job| (job.id.clone(), job)).collect(),
            first_start_ms: BTreeMap::new(),
            entitled_since_ms: BTreeMap::new(),
            breached_jobs: BTreeSet::new(),
            failing_workers: BTreeSet::new(),
            lost_workers: BTreeSet::new(),
            largest_shape,
            measurements: Measurements::default(),
            cost: PassCost::default(),
            now_ms: 0,
            last_attempt: 0,
            pass_scheduled: false,
        }
    }

    fn run(&mut self) {
        while let Some((at_ms, event)) = self.events.pop_first() {
            if at_ms > self.now_ms {
                self.measurements.record_interval(&self.tables, at_ms - self.now_ms);
                self.now_ms = at_ms;
            }
            self.handle_event(event);
            let more_at_this_time = self.events.first().is_some_and(|(next_ms, _)| *next_ms == at_ms);
            if !more_at_this_time {
                self.run_pass();
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => self.handle_arrival(index),
            Event::AttemptEnd(job, number) => self.handle_attempt_end(&job, number),
            Event::YieldDeadline(job, number) => self.handle_yield_deadline(&job, number),
            Event::CancelWave(wave) => self.cancel_waiting_jobs(wave),
            Event::OutageStart(index) => self.set_outage(index, true),
            Event::OutageEnd(index) => self.set_outage(index, false),
            Event::Pass => self.pass_scheduled = false,
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let job = &self.scenario.jobs[index];
        match admit(&self.tables, &job.demand) {
            Ok(()) => {
                let waiting = Waiting { demand: job.demand.clone(), since_ms: self.now_ms, done_ms: 0 };
                self.tables.waiting.insert(job.id.clone(), waiting);
            }
            Err(refusal) => *self.measurements.refused.entry(refusal.to_string()).or_default() += 1,
        }
    }

    fn cancel_waiting_jobs(&mut self, wave: usize) {
        for job in &self.scenario.cancel_waves[wave].1 {
            if self.tables.waiting.remove(job).is_some() {
                self.measurements.cancelled += 1;
            }
        }
    }

    fn set_outage(&mut self, index: usize, down: bool) {
        let outage = &self.scenario.outages[index];
        let set = if outage.fails_everything { &mut self.failing_workers } else { &mut self.lost_workers };
        for worker in &outage.workers {
            if down {
                set.insert(worker.clone());
            } else {
                set.remove(worker);
            }
        }
        if outage.fails_everything {
            return;
        }
        let affected = |running: &Running| running.placement.keys().any(|w| outage.workers.contains(w));
        let affected_jobs: Vec<JobId> = self
            .tables
            .running
            .iter()
            .filter(|(_, r)| down && affected(r))
            .map(|(id, _)| id.clone())
            .collect();
        for job in affected_jobs {
            self.requeue(&job, 0);
        }
        self.update_standings();
        self.tables.plan = propose(&self.tables.accounts, &self.tables.workers, &self.tables.plan);
    }

    /// Updates which workers accept work.
    fn update_standings(&mut self) {
        for (id, worker) in &mut self.tables.workers {
            worker.standing = if self.lost_workers.contains(id) {
                Standing::Lost
            } else if self.policy != SchedulerPolicy::Naive && self.outcomes.is_ejected(id, self.now_ms) {
                Standing::Ejected
            } else {
                Standing::Ready
            };
        }
    }

    fn handle_attempt_end(&mut self, job: &JobId, number: u32) {
        let Some(attempt) = self.attempts.get(job).filter(|a| a.number == number) else { return };
        if attempt.fails {
            self.handle_failure(job);
            return;
        }
        self.attempts.remove(job);
        let Some(running) = self.tables.running.remove(job) else { return };
        let trace_job = self.trace_jobs[job];
        for worker in running.placement.keys() {
            self.outcomes.record_success(worker);
        }
        if self.policy != SchedulerPolicy::Naive {
            let history = self.tables.history.entry(running.demand.account.clone()).or_default();
            history.record(running.demand.declared_ms, trace_job.actual_ms);
        }
        let wait_ms = self.first_start_ms[job] - running.since_ms;
        let completion_ms = self.now_ms - running.since_ms;
        let shape = &running.demand.shape;
        let is_largest = shape.total().accelerators == self.largest_shape.total().accelerators;
        self.measurements.record_completion(shape, is_largest, completion_ms, trace_job.actual_ms, wait_ms);
    }

    fn handle_failure(&mut self, job: &JobId) {
        self.measurements.failures += 1;
        let workers: Vec<WorkerId> = self.tables.running[job].placement.keys().cloned().collect();
        for worker in workers.iter().filter(|worker| self.failing_workers.contains(*worker)) {
            self.outcomes.record_failure(worker, self.tables.workers.len(), self.now_ms);
        }
        self.requeue(job, 0);
    }

    fn handle_yield_deadline(&mut self, job: &JobId, number: u32) {
        let Some(attempt) = self.attempts.get(job).filter(|a| a.number == number) else { return };
        let Some(running) = self.tables.running.get(job) else { return };
        let requested_ms = attempt.yield_requested_ms.unwrap_or(self.now_ms);
        let progress_ms = requested_ms.saturating_sub(running.started_ms).saturating_sub(RESTART_COST_MS);
        self.requeue(job, progress_ms);
    }

    fn requeue(&mut self, job: &JobId, progress_ms: Millis) {
        self.attempts.remove(job);
        let Some(running) = self.tables.running.remove(job) else { return };
        let waiting = Waiting {
            demand: running.demand,
            since_ms: running.since_ms,
            done_ms: running.done_ms + progress_ms,
        };
        self.tables.waiting.insert(job.clone(), waiting);
    }

    fn run_pass(&mut self) {
        self.update_standings();
        let started = Instant::now();
        let actions = match self.policy {
            SchedulerPolicy::Naive => {
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
                Action::Start { job, placement } => self.start_job(&job, placement),
                Action::Preempt { job, grace_ms, .. } => self.preempt_job(&job, grace_ms),
            }
        }
        self.check_guarantees();
        if !self.tables.waiting.is_empty() && !self.pass_scheduled {
            self.pass_scheduled = true;
            let urgent = self.policy != SchedulerPolicy::Naive
                && self.tables.waiting.values().any(|waiting| waiting.demand.class == Class::Urgent);
            let next_ms = if urgent { URGENT_PASS_INTERVAL_MS } else { PASS_INTERVAL_MS };
            self.events.insert((self.now_ms + next_ms, Event::Pass));
        }
    }

    fn start_job(&mut self, job: &JobId, placement: Placement) {
        let Some(waiting) = self.tables.waiting.remove(job) else { return };
        let trace_job = self.trace_jobs[job];
        self.last_attempt += 1;
        let fails = placement.keys().any(|worker| self.failing_workers.contains(worker));
        let remaining_ms = trace_job.actual_ms.saturating_sub(waiting.done_ms).max(1);
        let run_ms = if fails { FAILURE_DELAY_MS } else { remaining_ms };
        self.events.insert((self.now_ms + run_ms, Event::AttemptEnd(job.clone(), self.last_attempt)));
        self.attempts
            .insert(job.clone(), Attempt { number: self.last_attempt, fails, yield_requested_ms: None });
        let is_first_start = !self.first_start_ms.contains_key(job);
        self.first_start_ms.entry(job.clone()).or_insert(self.now_ms);
        if is_first_start && waiting.demand.class == Class::Urgent {
            self.measurements.record_urgent_wait(self.now_ms - waiting.since_ms);
        }
        if let Some(since_ms) = self.entitled_since_ms.remove(job) {
            self.measurements.record_reclaim(self.now_ms - since_ms);
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

    fn preempt_job(&mut self, job: &JobId, grace_ms: Millis) {
        let Some(attempt) = self.attempts.get_mut(job) else { return };
        // A repeated request is not counted again; it can only bring the end of the grace period forward.
        if attempt.yield_requested_ms.replace(self.now_ms).is_none() {
            self.measurements.preemptions += 1;
        }
        self.events.insert((self.now_ms + grace_ms, Event::YieldDeadline(job.clone(), attempt.number)));
    }

    /// Counts guarantees whose resources are pinned by other work, and those not returned in time.
    fn check_guarantees(&mut self) {
        let view = View::with_free_capacity(&self.tables);
        let mut shares: Vec<Vec<Share>> = vec![Vec::new(); view.worker_rows.len()];
        for (job, running) in &self.tables.running {
            add_shares(&view, &mut shares, job, running);
        }
        for (job, claim) in &self.scheduler.claims {
            let Some(waiting) = self.tables.waiting.get(job) else { continue };
            let demand = &waiting.demand;
            let reserved = Running {
                demand: demand.clone(),
                placement: claim.placement.clone(),
                since_ms: waiting.since_ms,
                started_ms: self.now_ms,
                done_ms: 0,
            };
            add_shares(&view, &mut shares, job, &reserved);
        }
        let mut backing = self.tables.plan.backing();
        let backing_uses: Vec<BackingUse> = view
            .worker_rows
            .iter()
            .zip(&shares)
            .map(|(row, on_row)| BackingUse::new(backing.remove(&row.worker).unwrap_or_default(), on_row))
            .collect();
        for (row, backing_use) in view.worker_rows.iter().zip(&backing_uses) {
            let capacity = self.tables.workers[&row.worker].capacity;
            if find_breach(&row.worker, capacity, backing_use).is_some() {
                self.measurements.breaches += 1;
            }
        }
        self.check_reclaim_times(&view, &backing_uses);
    }

    fn check_reclaim_times(&mut self, view: &View, backing_uses: &[BackingUse]) {
        let reclaim_limit_ms = self.scheduler.policy.checkpoint_grace_ms + RECLAIM_MARGIN_MS;
        let mut entitled = BTreeSet::new();
        for (job, waiting) in &self.tables.waiting {
            let account = &waiting.demand.account;
            if !self.tables.plan.bindings.contains_key(account) {
                continue;
            }
            // A claim that lies wholly on the account's own backing counts too: its resources are not unused
            // yet, because the work on them is still being evicted.
            let claim = self.scheduler.claims.get(job);
            let evicting_on_backing = claim.is_some_and(|claim| {
                let mut rows = claim.placement.keys().filter_map(|worker| view.row(worker));
                rows.all(|index| backing_uses[index].on_own_backing.contains(job))
            });
            let rows = view.worker_rows.iter().zip(backing_uses);
            let unused: Vec<Amount> = rows
                .map(|(row, backing_use)| {
                    if row.total.is_zero() { Amount::default() } else { backing_use.unused_backing(account) }
                })
                .collect();
            if evicting_on_backing || find(view, &waiting.demand.shape, &unused).is_some() {
                entitled.insert(job.clone());
            }
        }
        for job in &entitled {
            let since_ms = *self.entitled_since_ms.entry(job.clone()).or_insert(self.now_ms);
            if self.now_ms > since_ms + reclaim_limit_ms && self.breached_jobs.insert(job.clone()) {
                self.measurements.breaches += 1;
            }
        }
        self.entitled_since_ms.retain(|job, _| entitled.contains(job));
    }
}

fn add_shares(view: &View, shares: &mut [Vec<Share>], job: &JobId, running: &Running) {
    for worker in running.placement.keys() {
        if let Some(index) = view.row(worker) {
            shares[index].push(running.share_on(job, worker));
        }
    }
}
