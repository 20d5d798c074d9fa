//! Tests what an agent concludes from lists that lack ends, without a network.

use std::collections::BTreeSet;

use sorrelland_control::lease::WorkerState;
use sorrelland_fleet::Task;
use sorrelland_fleet::assignments::{Assignments, Start, Stop};
use sorrelland_fleet::report::{End, EndReason, Running, WorkerInfo};
use sorrelland_platform::worker::{Announcement, Listing, MAX_LISTED_ENDS};

const INCARNATION: &str = "w-1";
const MAX_LEASE_MS: u64 = 6_000;
const GRANT_MS: u64 = 5_000;
const STOP_MS: u64 = 400;

/// Reason with which a worker refuses a run that has ended there.
const OLD: &str = "old";

/// A worker that lists a limited number of ends at a time, and its agent.
struct Machine {
    now: u64,
    state: WorkerState,
    running: Vec<u32>,
    ended: Vec<End>,
    assignments: u64,
}

fn task(index: u32) -> Task {
    Task { job: "00000000000000a1".to_owned(), occurrence: 0, step: 0, index }
}

fn start(index: u32) -> Start {
    Start { task: task(index), run: 1, spec: String::new(), saved: String::new(), ticket: None }
}

fn new_agent() -> WorkerState {
    let info = WorkerInfo {
        incarnation: INCARNATION.to_owned(),
        service: "svc".to_owned(),
        ..WorkerInfo::default()
    };
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, Announcement { info, sequence: 1, ..Announcement::default() });
    state
}

impl Machine {
    /// A worker that runs subtasks 0 to `runs`, which its agent has started.
    fn new(runs: u32) -> Self {
        let mut machine =
            Self { now: 10, state: new_agent(), running: Vec::new(), ended: Vec::new(), assignments: 0 };
        machine.poll();
        machine.assign(0..runs, 0);
        for start in machine.state.due_starts(machine.now) {
            machine.state.record_start_attempt(&start);
            machine.state.record_start(INCARNATION, &start, machine.now);
            machine.running.push(start.task.index);
        }
        machine.poll();
        machine
    }

    /// Replaces the agent by a new process.
    fn restart_agent(&mut self) {
        self.state = new_agent();
        self.assignments = 0;
        self.poll();
    }

    fn end_all(&mut self) {
        for index in std::mem::take(&mut self.running) {
            let number = self.ended.len() as u64 + 1;
            let (reason, saved) = (EndReason::Done, String::new());
            self.ended.push(End { number, task: task(index), run: 1, reason, saved });
        }
    }

    fn poll(&mut self) {
        self.now += 100;
        self.state.extend_lease(self.now);
        let acknowledged = self.state.acknowledged();
        let run = |index: &u32| Running {
            task: task(*index),
            run: 1,
            saved: String::new(),
            percent: 10,
            measurement: 0,
        };
        let listing = Listing {
            clock_ms: self.now,
            running: self.running.iter().map(run).collect(),
            ended: self.unacknowledged(acknowledged).take(MAX_LISTED_ENDS).cloned().collect(),
        };
        let poll = self.state.begin_poll();
        self.state.apply_listing(self.now, poll, INCARNATION, listing);
    }

    fn unacknowledged(&self, acknowledged: u64) -> impl Iterator<Item = &End> {
        self.ended.iter().filter(move |end| end.number > acknowledged)
    }

    fn assign(&mut self, starts: impl IntoIterator<Item = u32>, acknowledged: u64) {
        self.assignments += 1;
        let assignments = Assignments {
            incarnation: INCARNATION.to_owned(),
            number: self.assignments,
            grant_ms: GRANT_MS,
            acknowledged,
            starts: starts.into_iter().map(start).collect(),
            ..Assignments::default()
        };
        assert!(self.state.apply_assignments(self.now, 1, Some(assignments)));
    }

    /// The subtasks that the agent tells the planner don't run.
    fn not_started(&self) -> Vec<u32> {
        let report = self.state.build_report("agent", 1, 1);
        report.not_started.iter().map(|entry| entry.task.index).collect()
    }

    /// Acknowledges the listed ends until there are none left, and returns the ends that were reported.
    fn acknowledge_all(&mut self) -> Vec<u32> {
        let mut reported = Vec::new();
        loop {
            let listed = self.state.build_report("agent", 1, 1).ended;
            let Some(last) = listed.last() else { return reported };
            reported.extend(listed.iter().map(|end| end.task.index));
            self.assign([], last.number);
            self.poll();
            assert_eq!(self.not_started(), Vec::<u32>::new());
        }
    }
}

/// Guards against runs that start again since their ends are beyond those that the worker lists.
#[yare::parameterized(
    one_more = { 501 },
    two_lists = { 1_000 },
    ten_lists = { 5_000 },
)]
fn apply_listing_concludes_nothing_from_a_list_that_lacks_ends(runs: u32) {
    let mut machine = Machine::new(runs);
    machine.end_all();
    machine.poll();
    // No end can be stored, and the planner assigns what isn't reported.
    let report = machine.state.build_report("agent", 1, 1);
    let reported: BTreeSet<u32> = report.running.iter().map(|run| run.task.index).collect();
    assert_eq!((report.ended.len(), reported.len()), (MAX_LISTED_ENDS, runs as usize - MAX_LISTED_ENDS));
    machine.assign(0..runs, 0);
    assert_eq!(machine.state.due_starts(machine.now), Vec::new());
    machine.poll();
    assert_eq!(machine.not_started(), Vec::<u32>::new());
    assert_eq!(machine.acknowledge_all(), (0..runs).collect::<Vec<_>>());
    assert_eq!(machine.state.build_report("agent", 1, 1).running, Vec::new());
}

/// Guards against a refused start that counts as not started though its run has ended.
#[test]
fn expect_absence_waits_for_a_complete_list() {
    let mut machine = Machine::new(501);
    machine.end_all();
    machine.poll();
    machine.state.expect_absence(INCARNATION, &task(500), 1, OLD);
    machine.poll();
    assert_eq!(machine.not_started(), Vec::<u32>::new());
    assert_eq!(machine.acknowledge_all(), (0..501).collect::<Vec<_>>());
}

/// Guards against a start that the worker has refused and that waits for ever.
#[test]
fn expect_absence_is_decided_by_the_complete_list() {
    let mut machine = Machine::new(500);
    machine.end_all();
    machine.poll();
    machine.state.expect_absence(INCARNATION, &task(500), 1, "room");
    machine.poll();
    assert_eq!(machine.not_started(), Vec::<u32>::new());
    machine.assign([500], 500);
    machine.poll();
    assert_eq!(machine.not_started(), [500]);
}

/// Guards against a stop whose run counts as not started though it has ended.
#[test]
fn record_stop_answer_waits_for_a_complete_list() {
    let mut machine = Machine::new(501);
    machine.end_all();
    machine.poll();
    machine.state.record_stop_answer(INCARNATION, &Stop { task: task(500), run: 1 }, machine.now);
    machine.poll();
    assert_eq!(machine.not_started(), Vec::<u32>::new());
    assert_eq!(machine.acknowledge_all().last(), Some(&500));
}

/// Guards against a new process of the agent that takes what it doesn't find in the list for not started.
#[test]
fn due_starts_of_a_restarted_agent_waits_for_a_complete_list() {
    let mut machine = Machine::new(630);
    machine.end_all();
    machine.restart_agent();
    machine.assign(0..630, 0);
    assert_eq!(machine.state.due_starts(machine.now), Vec::new());
    // The worker announces that it leaves before its ends are stored.
    machine.state.record_departure_notice(INCARNATION);
    assert_eq!(machine.not_started(), Vec::<u32>::new());
    assert_eq!(machine.acknowledge_all(), (0..630).collect::<Vec<_>>());
}

/// Guards against a restarted agent that starts nothing once the list is complete.
#[test]
fn due_starts_of_a_restarted_agent_follow_a_complete_list() {
    let mut machine = Machine::new(500);
    machine.end_all();
    machine.restart_agent();
    machine.assign([500], 0);
    assert_eq!(machine.state.due_starts(machine.now), Vec::new());
    machine.assign([500], 500);
    machine.poll();
    assert_eq!(machine.state.due_starts(machine.now), [start(500)]);
}

/// Guards against runs with a result that count as lost when grants end while the store is away.
#[test]
fn expire_leases_waits_for_the_ends_of_a_worker_that_answers() {
    let mut machine = Machine::new(630);
    machine.end_all();
    for _ in 0..200 {
        machine.poll();
        assert!(!machine.state.expire_leases(machine.now));
    }
    assert_eq!(machine.acknowledge_all(), (0..630).collect::<Vec<_>>());
}

/// Guards against unlisted runs of a worker that no longer answers and that nobody starts again.
#[test]
fn expire_leases_gives_up_unlisted_runs_of_a_silent_worker() {
    let mut machine = Machine::new(501);
    machine.end_all();
    machine.poll();
    assert!((0..200).any(|_| {
        machine.now += 100;
        machine.state.extend_lease(machine.now);
        machine.state.expire_leases(machine.now)
    }));
    assert_eq!(machine.not_started(), [500]);
}
