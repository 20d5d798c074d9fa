//! Tests that wide work starts: beside idle workers at once, and under steady narrow work within a bound.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{Fleet, step};
use sorrelland_fleet::Desired;
use sorrelland_fleet::Resources;
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::job::{JobState, Step};
use sorrelland_fleet::report::{EndReason, NotStarted};

/// Time within which a unit has to start while it fits twice over and less than half of its service is in use, in
/// milliseconds.
const IDLE_START_MS: u64 = 3_000;

/// Interval of the narrow jobs, of which two fit on a worker: they use nine tenths of twelve workers.
const ARRIVAL_INTERVAL_MS: u64 = 200;

const GANG: &str = "00000000000000ff";

/// Returns a gang of which one member fits on a worker by memory.
fn one_rack_gang(count: u32) -> Step {
    Step {
        count,
        gang: true,
        prefers_one_rack: true,
        resources: Resources::new(52_000, 140_000, 1),
        estimate_ms: 7_000,
        ..Step::default()
    }
}

/// Returns a subtask that leaves no room for a member of [`one_rack_gang`] on its worker.
fn narrow(estimate_ms: u64) -> Step {
    Step { resources: Resources::new(2_000, 130_000, 1), estimate_ms, ..step(1, 1) }
}

/// Places a subtask of `narrow` on the worker at `at`, whose label no other has.
fn occupy(fleet: &mut Fleet, at: usize, narrow: Step) {
    let label = format!("only-{at}");
    fleet.reports[at].worker.as_mut().unwrap().labels.insert(0, label.clone());
    fleet.advance(10);
    fleet.submit(&format!("{at:016x}"), "plain", vec![Step { label: Some(label), ..narrow }]);
    let assignments = fleet.advance(10);
    assert_eq!(assignments.iter().map(|assigned| assigned.starts.len()).sum::<usize>(), 1);
    fleet.mark_running(&assignments);
}

/// Advances until a job runs; returns how long that took, or `None` if it takes longer than `max_ms`.
fn await_start(fleet: &mut Fleet, job: &str, max_ms: u64) -> Option<u64> {
    let mut waited_ms = 0;
    while fleet.planner.state(job) != Some(JobState::Running) {
        if waited_ms > max_ms {
            return None;
        }
        let assignments = fleet.advance(100);
        fleet.mark_running(&assignments);
        waited_ms += 100;
    }
    Some(waited_ms)
}

/// Guards against a gang that waits for a whole rack while most of the workers of all racks are free.
#[yare::parameterized(
    ends_late = { 60_000 },
    has_no_end = { u64::MAX },
)]
fn gang_without_a_whole_rack_starts_beside_idle_workers(estimate_ms: u64) {
    // One worker of each rack of three is occupied, so no rack has room for a gang of three.
    let mut fleet = Fleet::new(12);
    for at in [0, 3, 6, 9] {
        let long_running = estimate_ms == u64::MAX;
        occupy(&mut fleet, at, Step { long_running, ..narrow(estimate_ms.min(60_000)) });
    }
    fleet.submit(GANG, "plain", vec![one_rack_gang(3)]);
    let waited_ms = await_start(&mut fleet, GANG, IDLE_START_MS);
    assert!(waited_ms.is_some(), "waits for a rack although eight workers are idle");
}

/// Guards against a gang that waits for one rack for longer than running on several costs, on a service in use.
#[yare::parameterized(
    soon = { 3_000, true },
    late = { 40_000, false },
)]
fn gang_waits_for_a_rack_only_while_that_pays(busy_ms: u64, waits: bool) {
    // Four workers of each rack of six are occupied by most of their resources, so a gang of three fits on two racks.
    let mut fleet = Fleet::new(12);
    for (at, report) in fleet.reports.iter_mut().enumerate() {
        report.worker.as_mut().unwrap().labels = vec!["a".to_owned(), format!("r{}", at / 6)];
    }
    for at in [0, 1, 2, 3, 6, 7, 8, 9] {
        let resources = Resources::new(120_000, 250_000, 7);
        let job = Step { resources, ..narrow(if at == 0 { busy_ms } else { 60_000 }) };
        occupy(&mut fleet, at, job);
    }
    let began = fleet.now;
    fleet.submit(GANG, "plain", vec![one_rack_gang(3)]);
    let mut placed: Vec<usize> = Vec::new();
    while placed.is_empty() && fleet.now < began + 30_000 {
        if fleet.now >= began + busy_ms {
            fleet.end_runs(&format!("{:016x}", 0), EndReason::Done);
        }
        let assignments = fleet.advance(100);
        fleet.mark_running(&assignments);
        let is_gang = |assigned: &&Assignments| assigned.starts.iter().any(|start| start.task.job == GANG);
        let workers =
            assignments.iter().filter(is_gang).map(|assigned| assigned.incarnation[1..].parse().unwrap());
        placed = workers.collect();
    }
    let waited_ms = fleet.now - began;
    assert_eq!(placed.len(), 3, "not started after {waited_ms} ms");
    let is_on_one_rack = placed.iter().all(|at| at / 6 == placed[0] / 6);
    assert_eq!((is_on_one_rack, waited_ms > 1_000), (waits, waits), "on {placed:?} after {waited_ms} ms");
}

/// Guards against an urgent gang that is late on several racks although runs could be stopped on one in time.
#[test]
fn urgent_gang_starts_on_one_rack_by_stopping_runs() {
    let mut fleet = Fleet::new(12);
    for (at, report) in fleet.reports.iter_mut().enumerate() {
        report.worker.as_mut().unwrap().labels = vec!["a".to_owned(), format!("r{}", at / 6)];
    }
    for at in [0, 1, 2, 3, 6, 7, 8, 9] {
        occupy(&mut fleet, at, Step { resources: Resources::new(120_000, 250_000, 7), ..narrow(60_000) });
    }
    let mut desired = Desired { version: 2, accounts: BTreeMap::new(), ..common::desired() };
    desired.queues.iter_mut().for_each(|queue| queue.stretch_milli = 1_500);
    fleet.planner.set_desired(Arc::new(desired));
    fleet.submit(GANG, "urgent", vec![Step { estimate_ms: 2_000, ..one_rack_gang(3) }]);
    let mut placed: Vec<usize> = Vec::new();
    for _ in 0..60 {
        let assignments = fleet.advance(100);
        let is_gang = |assigned: &&Assignments| assigned.starts.iter().any(|start| start.task.job == GANG);
        let workers =
            assignments.iter().filter(is_gang).map(|assigned| assigned.incarnation[1..].parse().unwrap());
        placed = workers.collect();
        if !placed.is_empty() {
            break;
        }
        for stop in assignments.iter().flat_map(|assigned| &assigned.stops) {
            fleet.end_runs(&stop.task.job, EndReason::Stopped);
        }
    }
    assert_eq!(placed.len(), 3, "not started");
    assert!(placed.iter().all(|at| at / 6 == placed[0] / 6), "on several racks: {placed:?}");
}

/// Guards against a subtask that waits for its rack while other racks are idle.
#[test]
fn subtask_near_a_busy_rack_starts_beside_idle_workers() {
    let mut fleet = Fleet::new(12);
    for at in 0..3 {
        occupy(&mut fleet, at, narrow(60_000));
    }
    let near = Step { preferred_rack: Some("r0".to_owned()), ..narrow(60_000) };
    let near = Step { resources: Resources::new(2_000, 140_000, 1), ..near };
    fleet.submit(GANG, "plain", vec![near]);
    let waited_ms = await_start(&mut fleet, GANG, IDLE_START_MS);
    assert!(waited_ms.is_some(), "waits for its rack although nine workers are idle");
}

/// Guards against work that waits for the reserve of a burst that is over, while little but accelerators is in use.
#[test]
fn subtask_starts_while_only_accelerators_are_in_use() {
    let mut fleet = Fleet::new(12);
    for at in 0..10 {
        let accelerators = Step { estimate_ms: 60_000, ..step(1, 8) };
        fleet.submit(&format!("{at:016x}"), "low", vec![accelerators]);
    }
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    fleet.submit("00000000000000aa", "urgent", vec![step(1, 1)]);
    for _ in 0..60 {
        let assignments = fleet.advance(100);
        fleet.mark_running(&assignments);
    }
    fleet.submit(GANG, "plain", vec![Step { estimate_ms: 60_000, ..step(1, 7) }]);
    let waited_ms = await_start(&mut fleet, GANG, IDLE_START_MS);
    assert!(waited_ms.is_some(), "waits for the reserve although little memory and few cores are in use");
}

/// Guards against a subtask that waits for the one worker on which it has not failed, beside idle ones.
#[test]
fn subtask_that_failed_on_all_idle_workers_starts_there() {
    let mut fleet = Fleet::new(3);
    occupy(&mut fleet, 2, narrow(60_000));
    let wide = Step { resources: Resources::new(2_000, 140_000, 1), ..narrow(1_000) };
    fleet.submit(GANG, "patient", vec![wide]);
    for _ in 0..2 {
        await_start_again(&mut fleet);
        fleet.end_runs(GANG, EndReason::Failed);
    }
    let mut waited_ms = 0;
    loop {
        let assignments = fleet.advance(100);
        if starts_of(&assignments, GANG) > 0 {
            break;
        }
        waited_ms += 100;
        assert!(waited_ms <= IDLE_START_MS, "waits for a full worker beside two idle ones");
    }
}

/// Guards against work that waits for ejected workers to come back while the others are full and half of the fleet is idle.
#[test]
fn subtask_starts_on_ejected_workers_if_the_others_are_full() {
    let mut fleet = Fleet::new(4);
    occupy(&mut fleet, 0, narrow(60_000));
    for (at, report) in fleet.reports.iter_mut().enumerate() {
        report.worker.as_mut().unwrap().labels.insert(0, format!("w{at}"));
    }
    fleet.advance(10);
    for job in 0..9 {
        let name = format!("{:016x}", 0x200 + job);
        fleet.submit(&name, "plain", vec![Step { label: Some(format!("w{}", 1 + job % 3)), ..step(1, 0) }]);
    }
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    for job in 0..9 {
        fleet.end_runs(&format!("{:016x}", 0x200 + job), EndReason::Failed);
    }
    fleet.advance(10);
    fleet.submit(GANG, "plain", vec![Step { resources: Resources::new(2_000, 140_000, 1), ..step(1, 1) }]);
    let waited_ms = await_start(&mut fleet, GANG, IDLE_START_MS);
    assert!(waited_ms.is_some_and(|ms| ms > 500), "waited {waited_ms:?}");
}

/// Guards against a start that is placed for as long as its worker drains, and never sent.
#[yare::parameterized(
    single = { step(1, 8) },
    gang = { Step { gang: true, ..step(2, 8) } },
)]
fn start_on_a_worker_that_begins_to_drain_moves(wide: Step) {
    let members = if wide.gang { wide.count as usize } else { 1 };
    let mut fleet = Fleet::new(4);
    fleet.submit(GANG, "plain", vec![wide]);
    let assignments = fleet.advance(10);
    assert_eq!(starts_of(&assignments, GANG), members);
    for report in &mut fleet.reports[0..2] {
        report.worker.as_mut().unwrap().draining = true;
    }
    let is_sound = |assigned: &&Assignments| matches!(assigned.incarnation.as_str(), "w2" | "w3");
    let mut waited_ms = 0;
    loop {
        // An agent stops what it is told to, and reports that it has not started it.
        for assigned in fleet.advance(100) {
            let at: usize = assigned.incarnation[1..].parse().unwrap();
            let entries = assigned.stops.iter().map(|stop| NotStarted {
                task: stop.task.clone(),
                run: stop.run,
                reason: "stopped".to_owned(),
            });
            fleet.reports[at].not_started = entries.collect();
        }
        waited_ms += 100;
        let assignments = fleet.advance(10);
        let started: usize = assignments.iter().filter(is_sound).map(|assigned| assigned.starts.len()).sum();
        if started == members {
            break;
        }
        assert!(waited_ms <= IDLE_START_MS, "{started} of {members} members moved");
    }
}

fn starts_of(assignments: &[Assignments], job: &str) -> usize {
    let starts = assignments.iter().flat_map(|assigned| &assigned.starts);
    starts.filter(|start| start.task.job == job).count()
}

fn await_start_again(fleet: &mut Fleet) {
    for _ in 0..50 {
        let assignments = fleet.advance(100);
        fleet.mark_running(&assignments);
        if starts_of(&assignments, GANG) > 0 {
            fleet.advance(100);
            return;
        }
    }
    panic!("not started");
}

/// Steady narrow work on a fleet, each subtask of it on any worker that has room.
struct NarrowLoad {
    next: u64,
    /// Ends of the runs by their job.
    running: Vec<(u64, String)>,
    estimate_ms: u64,
}

impl NarrowLoad {
    fn new(estimate_ms: u64) -> Self {
        Self { next: 0x1000, running: Vec::new(), estimate_ms }
    }

    /// Submits a job, ends the runs that are due, and lets [`ARRIVAL_INTERVAL_MS`] pass.
    fn advance(&mut self, fleet: &mut Fleet, queue: &str) -> Vec<Assignments> {
        let job = format!("{:016x}", self.next);
        self.next += 1;
        fleet.submit(&job, queue, vec![narrow(self.estimate_ms)]);
        let now = fleet.now;
        let (over, rest) = self.running.drain(..).partition::<Vec<_>, _>(|(end, _)| *end <= now);
        self.running = rest;
        for (_, job) in over {
            fleet.end_runs(&job, EndReason::Done);
        }
        let assignments = fleet.advance(ARRIVAL_INTERVAL_MS);
        fleet.mark_running(&assignments);
        for start in assignments.iter().flat_map(|assigned| &assigned.starts) {
            if !start.task.job.starts_with("00000000000000f") {
                // Runs end at different times, so that one worker after the other comes free.
                let spread_ms = 37 * (self.next + start.task.index as u64) % 1_000;
                self.running.push((fleet.now + self.estimate_ms + spread_ms, start.task.job.clone()));
            }
        }
        assignments
    }
}

/// Guards against a hold for a gang that waits for one worker and keeps the idle ones from work that could start.
#[yare::parameterized(
    long = { Step { estimate_ms: 120_000, ..narrow(0) } },
    without_end = { Step { long_running: true, ..narrow(120_000) } },
    without_accelerators = { Step { resources: Resources::new(1_000, 130_000, 0), ..narrow(120_000) } },
)]
fn work_starts_beside_idle_workers_that_are_held(late: Step) {
    let mut fleet = Fleet::new(4);
    occupy(&mut fleet, 0, narrow(60_000));
    let wide = Step { prefers_one_rack: false, estimate_ms: 3_000, ..one_rack_gang(4) };
    fleet.submit("00000000000000fe", "plain", vec![wide]);
    for _ in 0..50 {
        fleet.advance(100);
    }
    let log = fleet.planner.take_log();
    assert!(log.iter().any(|line| line.starts_with("event=workers_held ")), "nothing is held");
    fleet.submit(GANG, "plain", vec![late]);
    let waited_ms = await_start(&mut fleet, GANG, IDLE_START_MS);
    assert!(waited_ms.is_some(), "waits for a gang that waits");
}

/// Guards against a subtask that waits for its rack since its only other worker counts for one copy.
#[test]
fn subtask_that_fits_twice_on_one_idle_worker_starts_there() {
    let mut fleet = Fleet::new(2);
    for (at, report) in fleet.reports.iter_mut().enumerate() {
        report.worker.as_mut().unwrap().labels = vec!["a".to_owned(), format!("r{at}")];
    }
    occupy(&mut fleet, 0, Step { resources: Resources::new(2_000, 230_000, 1), ..narrow(60_000) });
    let resources = Resources::new(2_000, 60_000, 1);
    let near = Step { preferred_rack: Some("r0".to_owned()), resources, ..narrow(60_000) };
    fleet.submit(GANG, "plain", vec![near]);
    assert!(
        await_start(&mut fleet, GANG, IDLE_START_MS).is_some(),
        "waits for its rack beside an idle worker"
    );
}

/// Guards against wide work that never starts while narrow work keeps arriving.
#[yare::parameterized(
    four_of_one_rack = { 4, true, "plain" },
    four_of_any_rack = { 4, false, "plain" },
    ten_of_any_rack = { 10, false, "plain" },
    behind_work_of_higher_priority = { 4, true, "low" },
)]
fn gang_starts_under_steady_narrow_work(members: u32, prefers_one_rack: bool, queue: &str) {
    let mut fleet = Fleet::new(12);
    for (at, report) in fleet.reports.iter_mut().enumerate() {
        report.worker.as_mut().unwrap().labels = vec!["a".to_owned(), format!("r{}", at / 4)];
    }
    let mut load = NarrowLoad::new(4_000);
    let narrow_queue = if queue == "low" { "plain" } else { queue };
    for _ in 0..60 {
        load.advance(&mut fleet, narrow_queue);
    }
    let gang = Step { prefers_one_rack, ..one_rack_gang(members) };
    // It waits as long as it runs itself, then until the longest narrow run has ended, before the next narrow run starts.
    let max_ms = gang.estimate_ms + 2 * (load.estimate_ms + 1_000) + IDLE_START_MS;
    fleet.submit(GANG, queue, vec![gang]);
    await_gang(&mut fleet, &mut load, narrow_queue, max_ms);
}

/// Guards against a gang that can never fit and takes the hold of the others for itself.
#[test]
fn gang_starts_beside_an_older_one_that_fits_nowhere() {
    let mut fleet = Fleet::new(12);
    occupy(&mut fleet, 0, Step { long_running: true, ..narrow(60_000) });
    let mut load = NarrowLoad::new(4_000);
    for _ in 0..60 {
        load.advance(&mut fleet, "plain");
    }
    fleet.submit("00000000000000fe", "plain", vec![Step { prefers_one_rack: false, ..one_rack_gang(12) }]);
    for _ in 0..350 {
        load.advance(&mut fleet, "plain");
    }
    let gang = Step { prefers_one_rack: false, ..one_rack_gang(4) };
    let max_ms = gang.estimate_ms + 2 * (load.estimate_ms + 1_000) + IDLE_START_MS;
    fleet.submit(GANG, "plain", vec![gang]);
    await_gang(&mut fleet, &mut load, "plain", max_ms);
}

fn await_gang(fleet: &mut Fleet, load: &mut NarrowLoad, narrow_queue: &str, max_ms: u64) {
    let mut waited_ms = 0;
    while starts_of(&load.advance(fleet, narrow_queue), GANG) == 0 {
        waited_ms += ARRIVAL_INTERVAL_MS;
        assert!(waited_ms <= max_ms, "not started after {waited_ms} ms");
    }
}
