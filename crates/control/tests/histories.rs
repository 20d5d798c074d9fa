//! Generated histories of an agent and its worker: lost and late orders, lost looks, restarts of the agent, failed
//! runs, silence of the planner. A run that the agent calls gone must never be there, then or later.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sorrelland_control::lease::Watched;
use sorrelland_fleet::Task;
use sorrelland_fleet::assignments::{Assignments, Start, Stop};
use sorrelland_fleet::report::{End, EndReason, Running, WorkerInfo};
use sorrelland_platform::worker::{Announcement, Listing};

const LIFE: &str = "w-1";
const LONGEST_LEASE_MS: u64 = 6_000;
const STOP_MS: u64 = 400;

/// Grant of the planner, below the longest lease as the planner's own setting is.
const GRANT_MS: u64 = 4_800;

const TASKS: u32 = 3;

type RunKey = (Task, u64);

/// What becomes of an order.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// It is carried out at once, and its answer is lost.
    AnswerLost,
    /// It is carried out this much later, in milliseconds, without an answer.
    Late(u64),
    Lost,
}

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    /// The planner hears a report and answers it, or its answer is lost.
    Report {
        answered: bool,
    },
    /// The planner wants a subtask run here, or its newest run stopped.
    Want(u32),
    Unwant(u32),
    Order(Fate),
    Look {
        answered: bool,
    },
    /// A look whose answer shows the worker as it was, this much later, in milliseconds.
    SlowLook(u64),
    RestartAgent,
    Fail(u32),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => (100_u64..12_000).prop_map(Fate::Late),
        1 => Just(Fate::Lost),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (1_u64..400).prop_map(Op::Wait),
        1 => (400_u64..7_000).prop_map(Op::Wait),
        6 => prop::bool::weighted(0.8).prop_map(|answered| Op::Report { answered }),
        3 => (0..TASKS).prop_map(Op::Want),
        2 => (0..TASKS).prop_map(Op::Unwant),
        6 => fate().prop_map(Op::Order),
        5 => prop::bool::weighted(0.8).prop_map(|answered| Op::Look { answered }),
        2 => (20_u64..900).prop_map(Op::SlowLook),
        1 => Just(Op::RestartAgent),
        1 => (0..TASKS).prop_map(Op::Fail),
    ]
}

/// A worker after the published protocol; its clock is 2% slow.
#[derive(Default)]
struct Worker {
    lease_until: u64,
    /// Runs with the time at which a stop ends them.
    running: BTreeMap<RunKey, Option<u64>>,
    highest_over: BTreeMap<Task, u64>,
    ended: Vec<End>,
    ends: u64,
}

fn clock(now: u64) -> u64 {
    1_000 + now * 98 / 100
}

impl Worker {
    fn settle(&mut self, now: u64) {
        let lapsed = clock(now) > self.lease_until;
        let over: Vec<(RunKey, EndReason)> = self
            .running
            .iter()
            .filter_map(|(key, stop)| match stop {
                Some(at) if *at <= now => Some((key.clone(), EndReason::Stopped)),
                _ if lapsed => Some((key.clone(), EndReason::Lapsed)),
                _ => None,
            })
            .collect();
        for (key, how) in over {
            self.end(&key, how);
        }
    }

    fn end(&mut self, key: &RunKey, how: EndReason) {
        if self.running.remove(key).is_some() {
            self.ends += 1;
            let (task, run) = key.clone();
            self.ended.push(End { number: self.ends, task, run, reason: how, saved: String::new() });
            self.reject(key);
        }
    }

    fn reject(&mut self, (task, run): &RunKey) {
        let highest = self.highest_over.entry(task.clone()).or_default();
        *highest = (*highest).max(*run);
    }

    /// Returns whether the run is there now.
    fn start(&mut self, now: u64, key: &RunKey, lease_end: u64) -> bool {
        if lease_end < clock(now) {
            return false;
        }
        self.lease_until = self.lease_until.max(lease_end.min(clock(now) + LONGEST_LEASE_MS));
        let old = self.highest_over.get(&key.0).is_some_and(|over| key.1 <= *over);
        if !old {
            self.running.entry(key.clone()).or_insert(None);
        }
        !old
    }

    fn stop(&mut self, now: u64, key: &RunKey) {
        match self.running.get_mut(key) {
            Some(stop) => _ = stop.get_or_insert(now + STOP_MS),
            None => self.reject(key),
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

/// Orders on their way that are carried out late.
enum LateOrder {
    Start(RunKey, u64),
    Stop(RunKey),
}

struct History {
    now: u64,
    watched: Watched,
    agent_life: u64,
    seq: u64,
    worker: Worker,
    late: Vec<(u64, LateOrder)>,
    /// Answers on their way: when they arrive, the look's number, and the agent's life that waits.
    slow_looks: Vec<(u64, u64, u64, Listing)>,
    /// Newest run of each subtask, and whether it is wanted to run.
    wanted: BTreeMap<Task, (u64, bool)>,
    seen: u64,
    number: u64,
    gone: BTreeSet<RunKey>,
}

impl History {
    fn new() -> Self {
        let mut history = Self {
            now: 0,
            watched: Watched::new(LONGEST_LEASE_MS, STOP_MS),
            agent_life: 1,
            seq: 0,
            worker: Worker::default(),
            late: Vec::new(),
            slow_looks: Vec::new(),
            wanted: BTreeMap::new(),
            seen: 0,
            number: 0,
            gone: BTreeSet::new(),
        };
        history.announce();
        history
    }

    fn announce(&mut self) {
        let info = WorkerInfo { incarnation: LIFE.to_owned(), ..WorkerInfo::default() };
        self.watched.announce(self.now, Announcement { info, sequence: 1 + self.now });
    }

    fn task(index: u32) -> Task {
        Task { job: "00000000000000a1".to_owned(), occurrence: 0, step: 0, index }
    }

    /// Moves time on in small steps, so that late orders and ends come in their order.
    fn wait(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(20) {
            self.now += 20;
            let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= self.now);
            self.late = rest;
            let due: Vec<(u64, LateOrder)> = due;
            for (_, order) in due {
                match order {
                    LateOrder::Start(key, lease_end) => _ = self.worker.start(self.now, &key, lease_end),
                    LateOrder::Stop(key) => self.worker.stop(self.now, &key),
                }
            }
            self.worker.settle(self.now);
            let (due, rest) =
                std::mem::take(&mut self.slow_looks).into_iter().partition(|look| look.0 <= self.now);
            self.slow_looks = rest;
            let due: Vec<(u64, u64, u64, Listing)> = due;
            for (_, number, life, listing) in due {
                if life == self.agent_life {
                    self.watched.take_listing(self.now, number, LIFE, listing);
                }
            }
            self.watched.lapse(self.now);
            self.check();
        }
    }

    /// Checks that nothing that was called gone is there.
    fn check(&mut self) {
        let report = self.watched.report("agent", self.agent_life, self.seq);
        self.gone.extend(report.not_started.iter().map(|gone| (gone.task.clone(), gone.run)));
        let there: Vec<&RunKey> = self.worker.running.keys().filter(|key| self.gone.contains(*key)).collect();
        assert!(there.is_empty(), "at {} ms: called gone, but there: {there:?}", self.now);
    }

    fn report(&mut self, answered: bool) {
        self.seq += 1;
        let report = self.watched.report("agent", self.agent_life, self.seq);
        self.check();
        let seen = self.seen;
        for end in report.ended.iter().filter(|end| end.number > seen) {
            self.release(&end.task, end.run);
            self.seen = end.number;
        }
        for gone in &report.not_started {
            self.release(&gone.task, gone.run);
        }
        let shown = |task: &Task, run: u64| report.running.iter().any(|r| r.task == *task && r.run == run);
        let placed = |wanted: bool| self.wanted.iter().filter(move |(_, (_, wants))| *wants == wanted);
        let start = |(task, (run, _)): (&Task, &(u64, bool))| Start {
            task: task.clone(),
            run: *run,
            spec: String::new(),
            saved: String::new(),
            ticket: None,
        };
        let starts = placed(true).filter(|(task, (run, _))| !shown(task, *run)).map(start).collect();
        let mut stops: Vec<Stop> =
            placed(false).map(|(task, (run, _))| Stop { task: task.clone(), run: *run }).collect();
        let strays = report.running.iter().filter(|r| self.wanted.get(&r.task).is_none_or(|w| w.0 != r.run));
        stops.extend(strays.map(|r| Stop { task: r.task.clone(), run: r.run }));
        if answered {
            self.number += 1;
            let (life, number, seen) = (LIFE.to_owned(), self.number, self.seen);
            let orders = Assignments {
                incarnation: life,
                number,
                grant_ms: GRANT_MS,
                starts,
                stops,
                paces: Vec::new(),
                acknowledged: seen,
            };
            self.watched.take_orders(self.now, 1, Some(orders));
        }
    }

    /// The planner takes a run for over.
    fn release(&mut self, task: &Task, run: u64) {
        if self.wanted.get(task).is_some_and(|(newest, _)| *newest == run) {
            self.wanted.remove(task);
            self.gone.insert((task.clone(), run));
        }
    }

    fn order(&mut self, fate: Fate) {
        if let Some(stop) = self.watched.stops(self.now).first().cloned() {
            let key = (stop.task.clone(), stop.run);
            match fate {
                Fate::Answered => {
                    self.worker.stop(self.now, &key);
                    self.watched.note_stopped(LIFE, &stop, self.now);
                    self.watched.note_final(LIFE, &stop.task, stop.run, "stopped");
                }
                Fate::AnswerLost => self.worker.stop(self.now, &key),
                Fate::Late(ms) => self.late.push((self.now + ms, LateOrder::Stop(key))),
                Fate::Lost => (),
            }
            return;
        }
        if !self.watched.has_clock() {
            return;
        }
        let Some(start) = self.watched.starts(self.now).first().cloned() else { return };
        let Some(lease_end) = self.watched.extend(self.now) else { return };
        self.watched.note_tried(&start);
        let key = (start.task.clone(), start.run);
        match fate {
            Fate::Answered => match self.worker.start(self.now, &key, lease_end) {
                true => {
                    self.watched.note_clock(self.now, clock(self.now));
                    self.watched.note_started(LIFE, &start, clock(self.now));
                }
                false => self.watched.note_final(LIFE, &start.task, start.run, "refused"),
            },
            Fate::AnswerLost => _ = self.worker.start(self.now, &key, lease_end),
            Fate::Late(ms) => self.late.push((self.now + ms, LateOrder::Start(key, lease_end))),
            Fate::Lost => (),
        }
    }

    /// Looks at the worker; the answer arrives at once, later, or never.
    fn look(&mut self, arrives_in: Option<u64>) {
        let (number, seen) = (self.watched.begin_look(), self.watched.seen());
        if let Some(lease_end) = self.watched.extend(self.now) {
            let most = clock(self.now) + LONGEST_LEASE_MS;
            self.worker.lease_until = self.worker.lease_until.max(lease_end.min(most));
        }
        self.worker.ended.retain(|end| end.number > seen);
        let listing = self.worker.listing(self.now);
        match arrives_in {
            Some(0) => _ = self.watched.take_listing(self.now, number, LIFE, listing),
            Some(ms) => self.slow_looks.push((self.now + ms, number, self.agent_life, listing)),
            None => (),
        }
    }

    fn play(&mut self, op: &Op) {
        match op {
            Op::Wait(ms) => self.wait(*ms),
            Op::Report { answered } => self.report(*answered),
            Op::Want(index) => {
                let task = Self::task(*index);
                let next =
                    1 + self.gone.iter().filter(|key| key.0 == task).map(|key| key.1).max().unwrap_or(0);
                self.wanted.entry(task).or_insert((next, true));
            }
            Op::Unwant(index) => {
                if let Some(wanted) = self.wanted.get_mut(&Self::task(*index)) {
                    wanted.1 = false;
                }
            }
            Op::Order(fate) => self.order(*fate),
            Op::Look { answered } => self.look(answered.then_some(0)),
            Op::SlowLook(ms) => self.look(Some(*ms)),
            Op::RestartAgent => {
                self.watched = Watched::new(LONGEST_LEASE_MS, STOP_MS);
                self.agent_life += 1;
                self.announce();
            }
            Op::Fail(index) => {
                let newest = self.worker.running.keys().rfind(|key| key.0 == Self::task(*index)).cloned();
                if let Some(key) = newest {
                    self.worker.end(&key, EndReason::Failed);
                }
            }
        }
        self.check();
    }
}

fn play(ops: &[Op]) {
    let mut history = History::new();
    for op in ops {
        history.play(op);
    }
    // Whatever is still on its way arrives.
    history.wait(14_000);
}

#[test]
fn report_calls_nothing_gone_that_is_there() {
    let config = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let histories = prop::collection::vec(op(), 1..60);
    let played = runner.run(&histories, |ops| {
        play(&ops);
        Ok(())
    });
    played.unwrap();
}

/// A look that showed the worker before a run was there, in the same millisecond as the answer to its stop.
#[test]
fn report_calls_nothing_gone_by_a_look_of_the_same_millisecond() {
    play(&[
        Op::Look { answered: true },
        Op::SlowLook(20),
        Op::Want(0),
        Op::Report { answered: true },
        Op::Unwant(0),
        Op::Order(Fate::Answered),
        Op::Report { answered: true },
        Op::Order(Fate::Answered),
        Op::Wait(1),
    ]);
}
