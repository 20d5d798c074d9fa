//! Generated histories of an agent and its worker: lost and late calls, lost polls, restarts of the agent, failed
//! runs, an unresponsive planner. A run that the agent reports as not started must not be on the worker, then or
//! later.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sorrelland_control::lease::WorkerState;
use sorrelland_fleet::assignments::{Assignments, Start, Stop};
use sorrelland_fleet::report::{End, EndReason, Running, WorkerInfo};
use sorrelland_fleet::{Resources, Task};
use sorrelland_platform::worker::{Announcement, Listing};

const INCARNATION: &str = "w-1";
const MAX_LEASE_MS: u64 = 6_000;
const STOP_MS: u64 = 400;

/// Grant of the planner: below the maximum lease, as in the entry.
const GRANT_MS: u64 = 4_800;

const TASKS: u32 = 3;

type RunKey = (Task, u64);

/// Delivery of a start or stop to the worker.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Answered,
    /// Executed at once; the answer is lost.
    AnswerLost,
    /// Executed after this many milliseconds; no answer arrives.
    Late(u64),
    Lost,
    /// The worker refuses a start for want of room and does nothing; the agent stops the run.
    Refused,
}

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    /// The planner receives a report; its reply arrives or is lost.
    Report {
        answered: bool,
    },
    /// The planner assigns a subtask to the worker.
    Assign(u32),
    /// The planner stops the newest run of a subtask.
    Unassign(u32),
    Call(Delivery),
    Poll {
        answered: bool,
    },
    /// A poll whose answer shows the worker's state at the poll and arrives after this many milliseconds.
    SlowPoll(u64),
    RestartAgent,
    Fail(u32),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::AnswerLost),
        1 => (100_u64..12_000).prop_map(Delivery::Late),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Refused),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (1_u64..400).prop_map(Op::Wait),
        1 => (400_u64..7_000).prop_map(Op::Wait),
        6 => prop::bool::weighted(0.8).prop_map(|answered| Op::Report { answered }),
        3 => (0..TASKS).prop_map(Op::Assign),
        2 => (0..TASKS).prop_map(Op::Unassign),
        6 => delivery().prop_map(Op::Call),
        5 => prop::bool::weighted(0.8).prop_map(|answered| Op::Poll { answered }),
        2 => (20_u64..900).prop_map(Op::SlowPoll),
        1 => Just(Op::RestartAgent),
        1 => (0..TASKS).prop_map(Op::Fail),
    ]
}

/// A worker that follows the published protocol; its clock runs 2% slow.
#[derive(Default)]
struct Worker {
    lease_until: u64,
    /// Runs with the time at which a stop ends them.
    running: BTreeMap<RunKey, Option<u64>>,
    highest_ended: BTreeMap<Task, u64>,
    ended: Vec<End>,
    end_count: u64,
}

fn clock(now: u64) -> u64 {
    1_000 + now * 98 / 100
}

impl Worker {
    fn end_due_runs(&mut self, now: u64) {
        let lapsed = clock(now) > self.lease_until;
        let ended_runs: Vec<(RunKey, EndReason)> = self
            .running
            .iter()
            .filter_map(|(key, stop)| match stop {
                Some(at) if *at <= now => Some((key.clone(), EndReason::Stopped)),
                _ if lapsed => Some((key.clone(), EndReason::Lapsed)),
                _ => None,
            })
            .collect();
        for (key, reason) in ended_runs {
            self.end(&key, reason);
        }
    }

    fn end(&mut self, key: &RunKey, reason: EndReason) {
        if self.running.remove(key).is_some() {
            self.end_count += 1;
            let (task, run) = key.clone();
            self.ended.push(End { number: self.end_count, task, run, reason, saved: String::new() });
            self.reject_up_to(key);
        }
    }

    fn reject_up_to(&mut self, (task, run): &RunKey) {
        let highest = self.highest_ended.entry(task.clone()).or_default();
        *highest = (*highest).max(*run);
    }

    /// Returns whether the run is on the worker now.
    fn start(&mut self, now: u64, key: &RunKey, lease_end: u64) -> bool {
        if lease_end < clock(now) {
            return false;
        }
        self.lease_until = self.lease_until.max(lease_end.min(clock(now) + MAX_LEASE_MS));
        let outdated = self.highest_ended.get(&key.0).is_some_and(|highest| key.1 <= *highest);
        if !outdated {
            self.running.entry(key.clone()).or_insert(None);
        }
        !outdated
    }

    fn stop(&mut self, now: u64, key: &RunKey) {
        match self.running.get_mut(key) {
            Some(stop) => _ = stop.get_or_insert(now + STOP_MS),
            None => self.reject_up_to(key),
        }
    }

    fn listing(&self, now: u64) -> Listing {
        let running = |(task, run): &RunKey| Running {
            task: task.clone(),
            run: *run,
            saved: String::new(),
            percent: 0,
            measurement: 0,
        };
        let running = self.running.keys().map(running).collect();
        Listing { clock_ms: clock(now), running, ended: self.ended.clone() }
    }
}

/// Starts and stops in flight that are executed late.
enum LateCall {
    Start(RunKey, u64),
    Stop(RunKey),
}

struct History {
    now: u64,
    agent: WorkerState,
    agent_incarnation: u64,
    seq: u64,
    worker: Worker,
    late: Vec<(u64, LateCall)>,
    /// Poll answers in flight: arrival time, the poll's number, the agent's incarnation that waits, and the listing.
    slow_polls: Vec<(u64, u64, u64, Listing)>,
    /// Newest run of each subtask, and whether it should run.
    assigned: BTreeMap<Task, (u64, bool)>,
    acknowledged: u64,
    number: u64,
    /// Runs that must not be on the worker any more.
    absent: BTreeSet<RunKey>,
    /// Runs that the planner has received as ended or not started.
    received: BTreeSet<RunKey>,
}

impl History {
    fn new() -> Self {
        let mut history = Self {
            now: 0,
            agent: WorkerState::new(MAX_LEASE_MS, STOP_MS),
            agent_incarnation: 1,
            seq: 0,
            worker: Worker::default(),
            late: Vec::new(),
            slow_polls: Vec::new(),
            assigned: BTreeMap::new(),
            acknowledged: 0,
            number: 0,
            absent: BTreeSet::new(),
            received: BTreeSet::new(),
        };
        history.announce();
        history
    }

    fn announce(&mut self) {
        let info = WorkerInfo { incarnation: INCARNATION.to_owned(), ..WorkerInfo::default() };
        self.agent.adopt_incarnation(
            self.now,
            Announcement { info, sequence: 1 + self.now, ..Announcement::default() },
        );
    }

    fn task(index: u32) -> Task {
        Task { job: "00000000000000a1".to_owned(), occurrence: 0, step: 0, index }
    }

    /// Advances time in small steps, so that late calls and ends take effect in order.
    fn wait(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(20) {
            self.now += 20;
            let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= self.now);
            self.late = rest;
            let due: Vec<(u64, LateCall)> = due;
            for (_, call) in due {
                match call {
                    LateCall::Start(key, lease_end) => _ = self.worker.start(self.now, &key, lease_end),
                    LateCall::Stop(key) => self.worker.stop(self.now, &key),
                }
            }
            self.worker.end_due_runs(self.now);
            let (due, rest) =
                std::mem::take(&mut self.slow_polls).into_iter().partition(|poll| poll.0 <= self.now);
            self.slow_polls = rest;
            let due: Vec<(u64, u64, u64, Listing)> = due;
            for (_, number, incarnation, listing) in due {
                if incarnation == self.agent_incarnation {
                    self.agent.apply_listing(self.now, number, INCARNATION, listing);
                }
            }
            self.agent.expire_leases(self.now);
            self.check_absent_runs();
        }
    }

    /// Checks that no run that must be absent is on the worker.
    fn check_absent_runs(&mut self) {
        let report = self.agent.build_report("agent", self.agent_incarnation, self.seq);
        self.absent.extend(report.not_started.iter().map(|run| (run.task.clone(), run.run)));
        let present: Vec<&RunKey> =
            self.worker.running.keys().filter(|key| self.absent.contains(*key)).collect();
        assert!(
            present.is_empty(),
            "at {} ms: reported as not started or ended, but on the worker: {present:?}",
            self.now
        );
    }

    fn report(&mut self, answered: bool) {
        self.seq += 1;
        let report = self.agent.build_report("agent", self.agent_incarnation, self.seq);
        self.check_absent_runs();
        let acknowledged = self.acknowledged;
        for end in report.ended.iter().filter(|end| end.number > acknowledged) {
            self.release(&end.task, end.run);
            self.acknowledged = end.number;
        }
        for run in &report.not_started {
            self.release(&run.task, run.run);
        }
        let listed = |task: &Task, run: u64| report.running.iter().any(|r| r.task == *task && r.run == run);
        let filter_assigned =
            |should_run: bool| self.assigned.iter().filter(move |(_, (_, runs))| *runs == should_run);
        let start = |(task, (run, _)): (&Task, &(u64, bool))| Start {
            task: task.clone(),
            run: *run,
            spec: String::new(),
            saved: String::new(),
            ticket: None,
        };
        let starts =
            filter_assigned(true).filter(|(task, (run, _))| !listed(task, *run)).map(start).collect();
        let mut stops: Vec<Stop> =
            filter_assigned(false).map(|(task, (run, _))| Stop { task: task.clone(), run: *run }).collect();
        let unexpected =
            report.running.iter().filter(|r| self.assigned.get(&r.task).is_none_or(|known| known.0 != r.run));
        stops.extend(unexpected.map(|r| Stop { task: r.task.clone(), run: r.run }));
        if answered {
            self.number += 1;
            let (incarnation, number, acknowledged) =
                (INCARNATION.to_owned(), self.number, self.acknowledged);
            let assignments = Assignments {
                incarnation,
                number,
                capacity: Resources::default(),
                grant_ms: GRANT_MS,
                starts,
                stops,
                paces: Vec::new(),
                acknowledged,
            };
            self.agent.apply_assignments(self.now, 1, Some(assignments));
        }
    }

    /// The planner records that a run has ended or was not started.
    fn release(&mut self, task: &Task, run: u64) {
        self.received.insert((task.clone(), run));
        if self.assigned.get(task).is_some_and(|(newest, _)| *newest == run) {
            self.assigned.remove(task);
            self.absent.insert((task.clone(), run));
        }
    }

    fn send_due_call(&mut self, delivery: Delivery) {
        if let Some(stop) = self.agent.due_stops(self.now).first().cloned() {
            let key = (stop.task.clone(), stop.run);
            match delivery {
                Delivery::Answered => {
                    self.worker.stop(self.now, &key);
                    self.agent.record_stop_answer(INCARNATION, &stop, self.now);
                    self.agent.expect_absence(INCARNATION, &stop.task, stop.run, "stopped");
                }
                Delivery::AnswerLost => self.worker.stop(self.now, &key),
                Delivery::Late(ms) => self.late.push((self.now + ms, LateCall::Stop(key))),
                Delivery::Lost | Delivery::Refused => (),
            }
            return;
        }
        if !self.agent.has_clock() {
            return;
        }
        let Some(start) = self.agent.due_starts(self.now).first().cloned() else { return };
        let Some(lease_end) = self.agent.extend_lease(self.now) else { return };
        self.agent.record_start_attempt(&start);
        let key = (start.task.clone(), start.run);
        match delivery {
            Delivery::Answered => match self.worker.start(self.now, &key, lease_end) {
                true => {
                    self.agent.record_clock(self.now, clock(self.now));
                    self.agent.record_start(INCARNATION, &start, clock(self.now));
                }
                false => self.agent.expect_absence(INCARNATION, &start.task, start.run, "refused"),
            },
            Delivery::AnswerLost => _ = self.worker.start(self.now, &key, lease_end),
            Delivery::Late(ms) => self.late.push((self.now + ms, LateCall::Start(key, lease_end))),
            Delivery::Lost => (),
            Delivery::Refused => self.agent.record_start_refusal(INCARNATION, &start, "room"),
        }
    }

    /// Polls the worker; the answer arrives at once, later, or never.
    fn poll(&mut self, arrives_in: Option<u64>) {
        let (number, acknowledged) = (self.agent.begin_poll(), self.agent.acknowledged());
        if let Some(lease_end) = self.agent.extend_lease(self.now) {
            let max_end = clock(self.now) + MAX_LEASE_MS;
            self.worker.lease_until = self.worker.lease_until.max(lease_end.min(max_end));
        }
        self.worker.ended.retain(|end| end.number > acknowledged);
        let listing = self.worker.listing(self.now);
        match arrives_in {
            Some(0) => _ = self.agent.apply_listing(self.now, number, INCARNATION, listing),
            Some(ms) => self.slow_polls.push((self.now + ms, number, self.agent_incarnation, listing)),
            None => (),
        }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Wait(ms) => self.wait(*ms),
            Op::Report { answered } => self.report(*answered),
            Op::Assign(index) => {
                let task = Self::task(*index);
                let next =
                    1 + self.absent.iter().filter(|key| key.0 == task).map(|key| key.1).max().unwrap_or(0);
                self.assigned.entry(task).or_insert((next, true));
            }
            Op::Unassign(index) => {
                if let Some(assigned) = self.assigned.get_mut(&Self::task(*index)) {
                    assigned.1 = false;
                }
            }
            Op::Call(delivery) => self.send_due_call(*delivery),
            Op::Poll { answered } => self.poll(answered.then_some(0)),
            Op::SlowPoll(ms) => self.poll(Some(*ms)),
            Op::RestartAgent => {
                self.agent = WorkerState::new(MAX_LEASE_MS, STOP_MS);
                self.agent_incarnation += 1;
                // The planner ignores reports that this process left in flight, so the next one may start their runs.
                self.absent.retain(|run| self.received.contains(run));
                self.announce();
            }
            Op::Fail(index) => {
                let newest = self.worker.running.keys().rfind(|key| key.0 == Self::task(*index)).cloned();
                if let Some(key) = newest {
                    self.worker.end(&key, EndReason::Failed);
                }
            }
        }
        self.check_absent_runs();
    }
}

fn run_history(ops: &[Op]) {
    let mut history = History::new();
    for op in ops {
        history.apply(op);
    }
    // Everything still in flight arrives.
    history.wait(14_000);
}

#[test]
fn build_report_omits_runs_on_the_worker() {
    let config = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let histories = prop::collection::vec(op(), 1..60);
    let result = runner.run(&histories, |ops| {
        run_history(&ops);
        Ok(())
    });
    result.unwrap();
}

/// Guards against taking a run for not started because of a poll that showed the worker before the run arrived. The
/// poll begins in the same millisecond as the answer to the stop, so clocks can't order the two.
#[test]
fn build_report_ignores_a_poll_of_the_same_millisecond() {
    run_history(&[
        Op::Poll { answered: true },
        Op::SlowPoll(20),
        Op::Assign(0),
        Op::Report { answered: true },
        Op::Unassign(0),
        Op::Call(Delivery::Answered),
        Op::Report { answered: true },
        Op::Call(Delivery::Answered),
        Op::Wait(1),
    ]);
}

/// Guards against taking a run for not started after a refusal, while an earlier start of it may still arrive.
#[test]
fn build_report_waits_for_an_unanswered_start_after_a_refusal() {
    run_history(&[
        Op::Poll { answered: true },
        Op::Assign(0),
        Op::Report { answered: true },
        Op::Call(Delivery::Late(1_500)),
        Op::Wait(700),
        Op::Call(Delivery::Refused),
        Op::Poll { answered: true },
        Op::Report { answered: true },
        Op::Wait(2_000),
    ]);
}
