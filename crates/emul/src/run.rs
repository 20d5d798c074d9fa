//! A run of the emulator.

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelland_fleet::desired::{Account, Desired, Queue, Service};
use sorrelland_fleet::job::{JobState, Outcome, Step};
use sorrelland_fleet::planner::{Admission, Planner, Timing};
use sorrelland_fleet::{Submission, Task};

use crate::check::History;
use crate::load::{Load, Source, Truth};
use crate::measure::Measure;
use crate::store::Store;
use crate::world::{Jobs, World};

/// Virtual time of one step, in milliseconds.
const STEP_MS: u64 = 20;

/// Time between two reports of an agent, in milliseconds.
const REPORT_EVERY_MS: u64 = 100;

/// Times that a caller comes back after a refusal.
const RETRIES: u32 = 4;

/// Time after the end of the load in which jobs may end, in milliseconds.
const DRAIN_MS: u64 = 60_000;

/// A run's setup.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Load.
    pub load: Load,
    /// Seed of everything drawn.
    pub seed: u64,
    /// Workers.
    pub workers: usize,
    /// Time with arrivals, in milliseconds.
    pub length_ms: u64,
    /// Multiple of the load's rates.
    pub rate: f64,
    /// Faults a minute; each is drawn from kills of the planner, outages of the store, cuts, crashes and broken
    /// workers.
    pub faults_per_min: f64,
}

/// What a run gave.
#[derive(Debug)]
pub struct Outcomes {
    /// What callers got.
    pub measure: Measure,
    /// What must not have been.
    pub violations: Vec<String>,
    /// Starts in all.
    pub starts: u64,
    /// Jobs that had not ended when the run ended.
    pub unended: Vec<String>,
}

struct Caller {
    sub: Submission,
    truth: Truth,
    first_ms: u64,
    next_ms: u64,
    tries: u32,
    accepted: bool,
    settled: bool,
}

fn timing(load: &Load) -> Timing {
    let grant_ms = 4_800;
    Timing {
        grant_ms,
        stop_ms: load.stop_ms,
        unreported_ms: 6_000 + grant_ms + grant_ms / 50 + load.stop_ms,
        ended_retention_ms: 240_000,
        reclaim_ms: 2_900,
    }
}

fn desired(load: &Load) -> Desired {
    let queue = |(at, kind): (usize, &crate::load::Kind)| Queue {
        name: format!("q{at}"),
        service: "service".to_owned(),
        priority: kind.priority,
        max_attempts: kind.max_attempts,
        stretch_milli: kind.stretch_milli,
        full_value_ms: kind.full_value_ms,
        ..Queue::default()
    };
    let account = |at: u32| (format!("account-{at}"), Account { guaranteed_accelerators: 16 });
    Desired {
        version: 1,
        queues: load.kinds.iter().enumerate().map(queue).collect(),
        services: [("service".to_owned(), Service::default())].into(),
        accounts: (0..4).map(account).collect(),
        keys: BTreeMap::new(),
    }
}

/// Plays a load over emulated workers.
pub fn run(setup: &Setup) -> Outcomes {
    let load = &setup.load;
    let mut source = Source::new(setup.seed);
    let desired = Arc::new(desired(load));
    let mut planner = Planner::new(timing(load), desired.clone(), Vec::new(), 0);
    let (mut store, mut history) = (Store::default(), History::default());
    let mut world = World::new(setup.workers, load.stop_ms);
    let mut callers = arrivals(setup, &mut source);
    let truths: BTreeMap<String, Truth> =
        callers.iter().map(|caller| (caller.sub.job.clone(), caller.truth.clone())).collect();
    let steps: BTreeMap<String, Vec<Step>> =
        callers.iter().map(|caller| (caller.sub.job.clone(), caller.sub.steps.clone())).collect();
    let jobs = Jobs { truths: &truths, steps: &steps };
    let errors: Vec<f64> = load.kinds.iter().map(|kind| kind.errors).collect();
    let mut measure = Measure::new(load);
    let mut planner_from = 0;
    let mut now = STEP_MS;
    while now < setup.length_ms + DRAIN_MS {
        if now < setup.length_ms {
            let chance = setup.faults_per_min * STEP_MS as f64 / 60_000.0;
            if source.chance() < chance {
                let killed = fault(now, &mut source, &mut world, &mut store, &mut history);
                if killed {
                    planner = Planner::new(timing(load), desired.clone(), store.take_over(), now);
                    planner_from = now + 2_000;
                }
            }
        }
        world.step(now, STEP_MS, &jobs, &mut source, &mut history, &errors);
        if now >= planner_from {
            for at in 0..world.nodes.len() {
                if (now / STEP_MS + at as u64).is_multiple_of(REPORT_EVERY_MS / STEP_MS) {
                    let agent = world.nodes[at].agent.clone();
                    if let Some(report) = world.report(now, at) {
                        planner.apply_report(now, now, &report);
                        if let Some(orders) = planner.assignments(now, &agent) {
                            world.obey(now, at, &orders, &jobs, &mut history);
                        }
                    }
                }
            }
            serve(now, &mut callers, &mut planner, &mut measure, &mut history);
            planner.tick(now, now);
            drop(planner.take_log());
            store.step(now, &mut planner);
        }
        now += STEP_MS;
    }
    let unended = callers.iter().filter(|caller| caller.accepted && !caller.settled);
    let unended = unended.map(|caller| caller.sub.job.clone()).collect();
    settle_rest(load, &callers, &mut measure);
    Outcomes { measure, violations: history.violations, starts: history.starts, unended }
}

fn arrivals(setup: &Setup, source: &mut Source) -> Vec<Caller> {
    let mut callers = Vec::new();
    for at in 0..setup.load.kinds.len() {
        let mut next = source.gap_ms(setup.load.kinds[at].per_s * setup.rate);
        while next < setup.length_ms {
            let (sub, truth) = source.job(&setup.load, at);
            let first_ms = next + 500;
            callers.push(Caller {
                sub,
                truth,
                first_ms,
                next_ms: first_ms,
                tries: 0,
                accepted: false,
                settled: false,
            });
            next += source.gap_ms(setup.load.kinds[at].per_s * setup.rate).max(1);
        }
    }
    callers.sort_by_key(|caller| caller.first_ms);
    callers
}

/// Brings a fault about; returns whether it is the planner's end.
fn fault(now: u64, source: &mut Source, world: &mut World, store: &mut Store, history: &mut History) -> bool {
    let at = (source.chance() * world.nodes.len() as f64) as usize % world.nodes.len();
    match (source.chance() * 6.0) as u32 {
        0 => return true,
        1 => store.down_until = now + 4_000,
        2 => world.nodes[at].cut_until = now + 5_500,
        3 => world.crash(now, at, history),
        4 => world.nodes[at].broken = !world.nodes[at].broken,
        _ => world.nodes[at].draining = !world.nodes[at].draining,
    }
    false
}

/// Lets callers hand in, cancel and ask.
fn serve(
    now: u64,
    callers: &mut [Caller],
    planner: &mut Planner,
    measure: &mut Measure,
    history: &mut History,
) {
    for caller in callers.iter_mut().filter(|caller| !caller.settled && caller.first_ms <= now) {
        let job = caller.sub.job.clone();
        if !caller.accepted {
            if now < caller.next_ms || caller.tries > RETRIES {
                continue;
            }
            caller.tries += 1;
            match planner.submit(now, now, &caller.sub) {
                Admission::Accepted { .. } => caller.next_ms = now + 1_000,
                Admission::Refused { retry_after_ms, .. } => caller.next_ms = now + retry_after_ms,
            }
        }
        let Some(state) = planner.state(&job) else { continue };
        caller.accepted = true;
        if caller.truth.cancel_after_ms.is_some_and(|after| now >= caller.first_ms + after) {
            planner.cancel(now, now, &job);
        }
        let JobState::Ended(outcome) = state else { continue };
        caller.settled = true;
        if outcome == Outcome::Completed {
            let steps = (0..).zip(&caller.sub.steps);
            let all = steps.flat_map(|(step, of)| (0..of.count).map(move |index| (step, index)));
            let task = |(step, index)| Task { job: job.clone(), occurrence: 0, step, index };
            history.completed(now, &job, all.map(task));
        }
        let owed = outcome != Outcome::Cancelled;
        let good = (outcome == Outcome::Completed) != caller.truth.poison;
        note(caller, measure, owed, good.then_some(now - caller.first_ms));
    }
}

fn note(caller: &Caller, measure: &mut Measure, owed: bool, age_ms: Option<u64>) {
    if !owed {
        return;
    }
    let tally = &mut measure.kinds[caller.truth.kind];
    tally.owed += 1;
    let chain: u64 = caller.truth.work_ms.iter().sum();
    let (stretch, full) = match caller.sub.queue.as_str() {
        "q1" => (1_500, 250),
        "q0" => (3_000, 1_000),
        _ => (3_000, 3_000),
    };
    let target = chain * stretch / 1_000 + full;
    let (in_time, late) = [(3.0, 0.9), (4.0, 0.8), (1.0, 0.3)][caller.truth.kind.min(2)];
    tally.worth.1 += in_time;
    match age_ms {
        Some(age) if age <= target => {
            tally.in_time += 1;
            tally.worth.0 += in_time;
        }
        Some(age) if age <= 3 * target => {
            tally.late += 1;
            tally.worth.0 += late;
        }
        _ => (),
    }
}

/// Counts the jobs that never ended or were never accepted.
fn settle_rest(load: &Load, callers: &[Caller], measure: &mut Measure) {
    debug_assert_eq!(measure.kinds.len(), load.kinds.len());
    for caller in callers.iter().filter(|caller| !caller.settled) {
        if !caller.accepted {
            measure.kinds[caller.truth.kind].refused += 1;
        }
        note(caller, measure, true, None);
    }
}
