//! The schedule of faults, determined by the seed.

use std::fmt;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::checkins::Kind;
use crate::proxy::Rules;

/// Start of the faults, in milliseconds from the start of the run.
const FIRST_MS: u64 = 3_000;

/// Length of a series of faults, and of the pause after it, in milliseconds.
const SERIES_MS: u64 = 14_000;
const PAUSE_MS: u64 = 8_000;

/// Share of the seeds in which a group of faults occurs, in percent.
const GROUP_PERCENT: u32 = 60;

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
    /// Sets faults of the store.
    Store { faults: Value, ms: u64 },
    /// Sets rules of a proxy.
    Link { side: Side, rules: Rules, ms: u64 },
    /// Resets the connections through a proxy.
    Reset { side: Side },
    /// Sends an unexpected check-in to an agent.
    Checkin { worker: usize, kind: Kind, seed: u64, restart_agent: bool },
    /// Publishes desired states in a row.
    Publish { versions: u64 },
}

impl Fault {
    /// Returns the name by which a run can leave the fault out.
    pub fn name(&self) -> String {
        let kind = |machine: &Machine| match machine {
            Machine::Entry(_) => "entry",
            Machine::Agent(_) => "agent",
            Machine::Worker(_) => "worker",
        };
        let machines = |machines: &[Machine]| match machines {
            [first, .., last] if kind(first) != kind(last) => "all".to_owned(),
            [first, ..] => kind(first).to_owned(),
            [] => String::new(),
        };
        match self {
            Self::Stop { machines: list, how: Stop::Kill, .. } => format!("{}-kill", machines(list)),
            Self::Stop { machines: list, .. } => format!("{}-terminate", machines(list)),
            Self::Suspend { machines: list, .. } => format!("{}-suspend", machines(list)),
            Self::Store { .. } => "store-fault".to_owned(),
            Self::Link { side: Side::Store, .. } => "store-link".to_owned(),
            Self::Link { side: Side::Calls(_), .. } => "calls-link".to_owned(),
            Self::Link { side: Side::Checkins(_), .. } => "checkins-link".to_owned(),
            Self::Reset { .. } => "reset".to_owned(),
            Self::Checkin { kind, .. } => format!("checkin-{kind}"),
            Self::Publish { .. } => "publish".to_owned(),
        }
    }
}

/// A fault with its time in milliseconds from the start of the run.
#[derive(Clone, Debug)]
pub struct Planned {
    pub at_ms: u64,
    pub fault: Fault,
}

/// Groups of faults that overlap in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Group {
    Entries,
    Agents,
    Workers,
    Store,
    Links,
    Checkins,
    Publish,
}

/// Returns the faults of a seed, ordered by time, without those whose name starts with one of `without`.
pub fn plan(seed: u64, entries: usize, workers: usize, length_ms: u64, without: &[String]) -> Vec<Planned> {
    use Group::{Agents, Checkins, Entries, Links, Publish, Store, Workers};
    let mut rng = StdRng::seed_from_u64(seed);
    let groups = [Entries, Agents, Workers, Store, Links, Checkins, Publish];
    let mut chosen: Vec<Group> =
        groups.into_iter().filter(|_| rng.random_range(0..100) < GROUP_PERCENT).collect();
    if chosen.is_empty() {
        chosen.extend(groups.choose(&mut rng));
    }
    let mut planned = Vec::new();
    for group in chosen {
        // Each group has a rate of its own, so that seeds differ in what is frequent.
        let mean_ms = rng.random_range(700..4_000);
        let mut at_ms = FIRST_MS;
        loop {
            at_ms += rng.random_range(mean_ms / 4..mean_ms * 2);
            if (at_ms - FIRST_MS) % (SERIES_MS + PAUSE_MS) >= SERIES_MS {
                continue;
            }
            if at_ms >= length_ms {
                break;
            }
            planned.push(Planned { at_ms, fault: draw(&mut rng, group, entries, workers) });
        }
    }
    planned.retain(|planned| !without.iter().any(|name| planned.fault.name().starts_with(name)));
    planned.sort_by_key(|planned| planned.at_ms);
    planned
}

fn draw(rng: &mut StdRng, group: Group, entries: usize, workers: usize) -> Fault {
    match group {
        Group::Entries => draw_processes(rng, (1..=entries).map(Machine::Entry).collect()),
        Group::Agents => {
            let agents: Vec<Machine> = (1..=workers).map(Machine::Agent).collect();
            if rng.random_range(0..12) == 0 {
                let machines = (1..=entries).map(Machine::Entry).chain(agents).collect();
                return Fault::Stop { machines, how: Stop::Kill, step_ms: 0, gap_ms: gap(rng) };
            }
            draw_processes(rng, agents)
        }
        Group::Workers => {
            let machines = vec![Machine::Worker(rng.random_range(1..=workers))];
            match rng.random_range(0..3) {
                0 => Fault::Stop { machines, how: Stop::Kill, step_ms: 0, gap_ms: gap(rng) },
                1 => Fault::Stop { machines, how: Stop::Terminate, step_ms: 0, gap_ms: gap(rng) },
                _ => Fault::Suspend { machines, step_ms: 0, ms: suspension(rng) },
            }
        }
        Group::Store => {
            let ms = rng.random_range(300..4_000);
            match rng.random_range(0..5) {
                0 => Fault::Store { faults: json!({"down": true}), ms },
                1 => Fault::Store { faults: json!({"slow_ms": rng.random_range(50..900)}), ms },
                2 => Fault::Store { faults: json!({"lose_every": rng.random_range(2..6)}), ms },
                3 => Fault::Reset { side: Side::Store },
                _ => Fault::Link { side: Side::Store, rules: draw_rules(rng), ms },
            }
        }
        Group::Links => {
            let worker = rng.random_range(1..=workers);
            let side = if rng.random_bool(0.6) { Side::Calls(worker) } else { Side::Checkins(worker) };
            match rng.random_range(0..5) {
                0 => Fault::Reset { side },
                _ => Fault::Link { side, rules: draw_rules(rng), ms: rng.random_range(300..9_000) },
            }
        }
        Group::Checkins => Fault::Checkin {
            worker: rng.random_range(1..=workers),
            kind: *Kind::ALL.choose(rng).expect("there are kinds"),
            seed: rng.random(),
            restart_agent: rng.random_bool(0.3),
        },
        Group::Publish => Fault::Publish { versions: rng.random_range(1..6) },
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
    match rng.random_range(0..5) {
        0 => rules.delay = std::time::Duration::from_millis(rng.random_range(20..1_500)),
        1 => rules.hold_requests = true,
        2 => rules.hold_responses = true,
        3 => (rules.hold_requests, rules.hold_responses) = (true, true),
        _ => rules.refuse = true,
    }
    rules
}
