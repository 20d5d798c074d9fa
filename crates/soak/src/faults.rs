//! The schedule of faults, determined by the seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::checkins::Kind;
use crate::jobs::WORKER_GPUS;
use crate::proxy::Rules;
use crate::routes::Change;

/// Start of the faults, in milliseconds from the start of the run.
const FIRST_MS: u64 = 3_000;

/// Length of a series of faults, and of the pause after it, in milliseconds.
const SERIES_MS: u64 = 14_000;
const PAUSE_MS: u64 = 8_000;

/// Share of the seeds in which a group of faults occurs, in percent.
const GROUP_PERCENT: u32 = 60;

/// Share of the seeds with a series of stops while the store is silent.
const SILENT_SHARE: f64 = 0.5;

/// Time for which the store is silent around a stop of an entry, and that before the stop, in milliseconds.
const SILENCE_MS: u64 = 1_200;
const BEFORE_STOP_MS: u64 = 200;

/// Time from a stop in such a series until the entry is started again, in milliseconds.
const SILENT_GAP_MS: u64 = 1_000;

/// Share of the seeds with a series of faults of the policy service.
const POLICY_SHARE: f64 = 0.4;

/// Share of the seeds with a series of changes of the callers' routes.
const ROUTES_SHARE: f64 = 0.5;

/// Share of late check-ins among the unexpected ones.
const LATE_CHECKIN_SHARE: f64 = 0.3;

/// A part of the deployment with one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Machine {
    Entry(usize),
    Agent(usize),
    Worker(usize),
}

impl fmt::Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(index) => write!(f, "entry-{index}"),
            Self::Agent(index) => write!(f, "agent-{index}"),
            Self::Worker(index) => write!(f, "worker-{index}"),
        }
    }
}

/// Connections that a proxy forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Between everything and the store.
    Store,
    /// Calls of an agent to its worker.
    Calls(usize),
    /// Check-ins of a worker with its agent.
    Checkins(usize),
}

/// How a process is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    Kill,
    Terminate,
}

#[derive(Clone, Debug)]
pub enum Fault {
    /// Stops machines, each some time after the one before, and restarts each after a gap.
    Stop { machines: Vec<Machine>, how: Stop, step_ms: u64, gap_ms: u64 },
    /// Suspends machines, each some time after the one before.
    Suspend { machines: Vec<Machine>, step_ms: u64, ms: u64 },
    /// Stops an entry, or else the leader, some time after the store falls silent: requests pass, responses don't, and
    /// the connections are reset at the end. The entry is suspended if `how` is missing.
    SilentStop { entry: Option<usize>, how: Option<Stop>, gap_ms: u64, before_ms: u64, ms: u64 },
    /// Sets faults of the store.
    Store { faults: Value, ms: u64 },
    /// Sets rules of a proxy.
    Link { side: Side, rules: Rules, ms: u64 },
    /// Sends an unexpected check-in to an agent.
    Checkin { worker: usize, kind: Kind, seed: u64, restart_agent: bool },
    /// Sets faults of the policy service, which ends and starts again before if it `restarts`.
    Policy { faults: Value, restarts: bool, ms: u64 },
    /// Publishes desired states in a row.
    Publish { versions: u64 },
    /// Changes the callers' routes.
    Routes(Change),
    /// Leaves a worker with fewer accelerators for some time.
    Shrink { worker: usize, accelerators: u64, ms: u64 },
}

impl Fault {
    /// Returns the name by which a run can leave the fault out.
    pub fn name(&self) -> String {
        let kind = |machine: &Machine| machine.to_string().split('-').next().unwrap_or_default().to_owned();
        let kinds = |machines: &[Machine]| match machines {
            [first, .., last] if kind(first) != kind(last) => "all".to_owned(),
            machines => machines.first().map(kind).unwrap_or_default(),
        };
        match self {
            Self::Stop { machines, how, .. } => format!("{}-{how:?}", kinds(machines)),
            Self::Suspend { machines, .. } => format!("{}-suspend", kinds(machines)),
            Self::SilentStop { how: Some(how), .. } => format!("silent-{how:?}"),
            Self::SilentStop { how: None, .. } => "silent-suspend".to_owned(),
            Self::Store { .. } => "store-fault".to_owned(),
            Self::Link { side: Side::Store, .. } => "store-link".to_owned(),
            Self::Link { side: Side::Calls(_), .. } => "calls-link".to_owned(),
            Self::Link { side: Side::Checkins(_), .. } => "checkins-link".to_owned(),
            Self::Checkin { kind, .. } => format!("checkin-{kind:?}"),
            Self::Policy { restarts: true, .. } => "policy-restart".to_owned(),
            Self::Policy { restarts: false, .. } => "policy-fault".to_owned(),
            Self::Publish { .. } => "publish".to_owned(),
            Self::Routes(change) => format!("routes-{}", change.name()),
            Self::Shrink { .. } => "shrink".to_owned(),
        }
        .to_lowercase()
    }
}

/// Faults with their times in milliseconds from the start of the run, ordered by time.
pub type Plan = Vec<(u64, Fault)>;

/// Draws a fault of a group for a number of entries and of workers.
type Draw = fn(&mut StdRng, usize, usize) -> Fault;

/// Groups of faults that overlap in a run.
const GROUPS: [Draw; 7] =
    [draw_entries, draw_agents, draw_workers, draw_store, draw_links, draw_checkins, draw_publish];

/// Returns the faults of a seed, without those whose name starts with one of `without`.
pub fn plan(seed: u64, entries: usize, workers: usize, length_ms: u64, without: &[String]) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut groups = GROUPS.to_vec();
    groups.retain(|_| rng.random_range(0..100) < GROUP_PERCENT);
    if groups.is_empty() {
        groups.extend(GROUPS.choose(&mut rng));
    }
    let mut plan = Plan::new();
    for draw in groups {
        // Each group has a rate of its own, so that seeds differ in what is frequent.
        let mean_ms = rng.random_range(700..4_000);
        let mut at_ms = FIRST_MS + rng.random_range(0..mean_ms);
        while at_ms < length_ms {
            if (at_ms - FIRST_MS) % (SERIES_MS + PAUSE_MS) < SERIES_MS {
                plan.push((at_ms, draw(&mut rng, entries, workers)));
            }
            at_ms += rng.random_range(mean_ms / 4..mean_ms * 2);
        }
    }
    // A generator of its own, so that the other faults of a seed stay the same.
    let mut rng = StdRng::seed_from_u64(!seed);
    let mean_ms = rng.random_range(2_000..8_000);
    let mut at_ms = FIRST_MS + rng.random_range(0..mean_ms);
    while at_ms < length_ms {
        plan.push((at_ms, draw_shrink(&mut rng, workers)));
        at_ms += rng.random_range(mean_ms / 4..mean_ms * 2);
    }
    plan.extend(silent_stops(seed, entries, length_ms));
    plan.extend(policy_faults(seed, length_ms));
    plan.extend(route_changes(seed, length_ms));
    plan.retain(|(_, fault)| !without.iter().any(|name| fault.name().starts_with(name)));
    plan.sort_by_key(|(at_ms, _)| *at_ms);
    plan
}

/// Returns the changes of the callers' routes.
fn route_changes(seed: u64, length_ms: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(!seed.rotate_left(32));
    let mut plan = Plan::new();
    if !rng.random_bool(ROUTES_SHARE) {
        return plan;
    }
    let mut at_ms = FIRST_MS;
    while at_ms < length_ms {
        plan.push((at_ms, Fault::Routes(Change::draw(&mut rng))));
        at_ms += rng.random_range(1_000..5_000);
    }
    plan
}

/// Returns the faults of the policy service.
fn policy_faults(seed: u64, length_ms: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(!seed.swap_bytes());
    let mut plan = Plan::new();
    if !rng.random_bool(POLICY_SHARE) {
        return plan;
    }
    let mut at_ms = FIRST_MS;
    while at_ms < length_ms {
        let faults = match rng.random_range(0..6) {
            0 => json!({"busy": true}),
            1 => json!({"silent": true}),
            2 => json!({"slow_ms": rng.random_range(100..1_500)}),
            3 => json!({"valid_ms": rng.random_range(0..1_200)}),
            4 => json!({"unreadable": ["w-2-1", "w-3", "w-4-2"]}),
            _ => json!({}),
        };
        let fault =
            Fault::Policy { faults, restarts: rng.random_bool(0.2), ms: rng.random_range(300..3_000) };
        plan.push((at_ms, fault));
        at_ms += rng.random_range(2_000..6_000);
    }
    plan
}

/// Returns the stops of entries in turn, or of the leader each time, while the store is silent.
fn silent_stops(seed: u64, entries: usize, length_ms: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed.swap_bytes());
    let mut plan = Plan::new();
    if !rng.random_bool(SILENT_SHARE) {
        return plan;
    }
    let in_turn = rng.random_bool(0.5);
    let mut at_ms = FIRST_MS;
    while at_ms < length_ms {
        let how = match rng.random_range(0..5) {
            0..=2 => Some(Stop::Terminate),
            3 => Some(Stop::Kill),
            _ => None,
        };
        let entry = in_turn.then(|| 1 + plan.len() % entries);
        let fault = Fault::SilentStop {
            entry,
            how,
            gap_ms: SILENT_GAP_MS,
            before_ms: BEFORE_STOP_MS,
            ms: SILENCE_MS,
        };
        plan.push((at_ms, fault));
        at_ms += rng.random_range(5_000..9_000);
    }
    plan
}

fn draw_entries(rng: &mut StdRng, entries: usize, _: usize) -> Fault {
    draw_processes(rng, (1..=entries).map(Machine::Entry).collect())
}

fn draw_agents(rng: &mut StdRng, entries: usize, workers: usize) -> Fault {
    let agents: Vec<Machine> = (1..=workers).map(Machine::Agent).collect();
    if rng.random_range(0..12) > 0 {
        return draw_processes(rng, agents);
    }
    let machines = (1..=entries).map(Machine::Entry).chain(agents).collect();
    Fault::Stop { machines, how: Stop::Kill, step_ms: 0, gap_ms: gap(rng) }
}

fn draw_workers(rng: &mut StdRng, _: usize, workers: usize) -> Fault {
    let worker = rng.random_range(1..=workers);
    draw_processes(rng, vec![Machine::Worker(worker)])
}

fn draw_store(rng: &mut StdRng, _: usize, _: usize) -> Fault {
    let ms = rng.random_range(300..4_000);
    match rng.random_range(0..5) {
        0 => Fault::Store { faults: json!({"down": true}), ms },
        1 => Fault::Store { faults: json!({"slow_ms": rng.random_range(50..900)}), ms },
        2 => Fault::Store { faults: json!({"lose_every": rng.random_range(2..6)}), ms },
        _ => Fault::Link { side: Side::Store, rules: draw_rules(rng), ms },
    }
}

fn draw_links(rng: &mut StdRng, _: usize, workers: usize) -> Fault {
    let worker = rng.random_range(1..=workers);
    let side = if rng.random_bool(0.6) { Side::Calls(worker) } else { Side::Checkins(worker) };
    Fault::Link { side, rules: draw_rules(rng), ms: rng.random_range(300..9_000) }
}

fn draw_checkins(rng: &mut StdRng, _: usize, workers: usize) -> Fault {
    let worker = rng.random_range(1..=workers);
    // Late ones are frequent, since the others are rejected or shouldn't occur at all.
    let late = rng.random_bool(LATE_CHECKIN_SHARE);
    let kind = if late { Kind::Late } else { Kind::ALL[rng.random_range(0..Kind::ALL.len())] };
    Fault::Checkin { worker, kind, seed: rng.random(), restart_agent: rng.random_bool(0.5) }
}

fn draw_publish(rng: &mut StdRng, _: usize, _: usize) -> Fault {
    Fault::Publish { versions: rng.random_range(1..6) }
}

fn draw_shrink(rng: &mut StdRng, workers: usize) -> Fault {
    Fault::Shrink {
        worker: rng.random_range(1..=workers),
        accelerators: rng.random_range(0..WORKER_GPUS),
        ms: rng.random_range(500..9_000),
    }
}

/// Draws a fault of one, some or all of these machines, at once or in turn.
fn draw_processes(rng: &mut StdRng, machines: Vec<Machine>) -> Fault {
    let (machines, step_ms) = match rng.random_range(0..6) {
        0 => (machines, 0),
        1 => (machines, rng.random_range(200..2_000)),
        _ => (vec![machines[rng.random_range(0..machines.len())]], 0),
    };
    match rng.random_range(0..3) {
        0 => Fault::Stop { machines, how: Stop::Kill, step_ms, gap_ms: gap(rng) },
        1 => Fault::Stop { machines, how: Stop::Terminate, step_ms, gap_ms: gap(rng) },
        _ => Fault::Suspend { machines, step_ms, ms: suspension(rng) },
    }
}

fn gap(rng: &mut StdRng) -> u64 {
    if rng.random_bool(0.6) { 0 } else { rng.random_range(0..4_000) }
}

fn suspension(rng: &mut StdRng) -> u64 {
    if rng.random_bool(0.5) { rng.random_range(200..1_500) } else { rng.random_range(1_500..8_000) }
}

fn draw_rules(rng: &mut StdRng) -> Rules {
    let mut rules = Rules { one_in: rng.random_range(1..4), ..Rules::default() };
    match rng.random_range(0..6) {
        0 => rules.delay = Duration::from_millis(rng.random_range(20..1_500)),
        1 => rules.hold_requests = true,
        2 => rules.hold_responses = true,
        3 => (rules.hold_requests, rules.hold_responses) = (true, true),
        4 => rules.reset = true,
        _ => rules.refuse = true,
    }
    rules
}
