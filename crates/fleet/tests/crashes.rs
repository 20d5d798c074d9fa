//! Tests what follows when a worker crashes under running subtasks, in virtual time.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::job::{JobState, Outcome, Step};
use sorrelland_fleet::planner::Planner;
use sorrelland_fleet::record;
use sorrelland_fleet::report::EndReason;

/// Starts that may follow after three workers have crashed under a subtask, as the users' pages say.
const STARTS_AFTER_THREE_CRASHES: u64 = 2;

/// Time until a crashed worker's next incarnation reports, in milliseconds.
const RESTART_MS: u64 = 3_000;

/// Time of one step of a play, in milliseconds.
const STEP_MS: u64 = 100;

/// A fleet on which the subtasks of some jobs crash each worker that starts them.
struct Play {
    fleet: Fleet,
    deadly: Vec<String>,
    /// Time at which the next incarnation of a crashed worker reports, by the worker's position.
    down: BTreeMap<usize, u64>,
    incarnations: u64,
    /// Crashes and starts of each deadly subtask.
    crashes: BTreeMap<String, u64>,
    starts_after_three: BTreeMap<String, u64>,
}

impl Play {
    fn new(workers: usize, deadly: &[&str]) -> Self {
        let deadly = deadly.iter().map(|job| (*job).to_owned()).collect();
        let (down, crashes, starts_after_three) = Default::default();
        Self { fleet: Fleet::new(workers), deadly, down, incarnations: 0, crashes, starts_after_three }
    }

    /// Replaces a worker by its next incarnation, which holds nothing.
    fn crash(&mut self, at: usize) {
        self.incarnations += 1;
        let report = &mut self.fleet.reports[at];
        report.running.clear();
        report.ended.clear();
        report.worker.as_mut().unwrap().draining = false;
        report.worker.as_mut().unwrap().incarnation = format!("w{at}-{}", self.incarnations);
    }

    /// Runs the planner for `ms`; everything that is assigned starts, and deadly subtasks crash their workers.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            let assignments = self.fleet.advance(STEP_MS);
            self.apply(&assignments);
            let back: Vec<usize> =
                self.down.iter().filter(|(_, until)| self.fleet.now >= **until).map(|(at, _)| *at).collect();
            for at in back {
                self.down.remove(&at);
                self.crash(at);
            }
        }
    }

    fn apply(&mut self, assignments: &[Assignments]) {
        let up: Vec<Assignments> =
            assignments.iter().filter(|a| !self.is_down(&a.incarnation)).cloned().collect();
        self.fleet.mark_running(&up);
        let mut crashed = Vec::new();
        for assigned in &up {
            for start in assigned.starts.iter().filter(|start| self.deadly.contains(&start.task.job)) {
                let task = start.task.to_string();
                let crashes = self.crashes.entry(task.clone()).or_default();
                if *crashes >= 3 {
                    *self.starts_after_three.entry(task).or_default() += 1;
                }
                *crashes += 1;
                crashed.push(self.position(&assigned.incarnation));
            }
        }
        for at in crashed {
            self.down.insert(at, self.fleet.now + RESTART_MS);
        }
    }

    fn position(&self, incarnation: &str) -> usize {
        let is_it = |report: &sorrelland_fleet::report::Report| {
            report.worker.as_ref().is_some_and(|worker| worker.incarnation == incarnation)
        };
        self.fleet.reports.iter().position(is_it).unwrap()
    }

    fn is_down(&self, incarnation: &str) -> bool {
        self.down.contains_key(&self.position(incarnation))
    }

    fn is_down_at(&self, at: usize) -> bool {
        self.down.contains_key(&at)
    }

    fn state(&self, job: &str) -> Option<JobState> {
        self.fleet.planner.state(job)
    }

    fn assert_given_up(&self) {
        for job in &self.deadly {
            assert_eq!(self.state(job), Some(JobState::Ended(Outcome::Failed)), "{job}: {:?}", self.crashes);
        }
        for (task, starts) in &self.starts_after_three {
            assert!(
                *starts <= STARTS_AFTER_THREE_CRASHES,
                "{task} was started {starts} times after three workers had crashed under it"
            );
        }
    }

    /// Replaces the planner by one that has only what is stored.
    fn take_over(&mut self) {
        let rows = self.fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
        let (jobs, unreadable) = record::read(rows);
        assert!(unreadable.is_empty(), "{unreadable:?}");
        self.fleet.planner = Planner::new(TIMING, Arc::new(desired()), jobs, self.fleet.now);
    }
}

#[yare::parameterized(
    single = { step(1, 1) },
    several = { step(3, 1) },
    gang = { Step { gang: true, ..step(3, 8) } },
    long_running = { Step { long_running: true, ..step(1, 1) } },
)]
fn tick_gives_up_subtask_that_crashes_every_worker(deadly: Step) {
    let mut play = Play::new(6, &["deadly"]);
    play.fleet.submit("beside", "plain", vec![step(12, 1)]);
    play.run(500);
    play.fleet.submit("deadly", "plain", vec![deadly]);
    play.run(90_000);
    play.assert_given_up();
    assert_eq!(play.state("beside"), Some(JobState::Running));
}

#[test]
fn tick_gives_up_subtasks_that_crash_workers_across_takeovers() {
    let mut play = Play::new(6, &["deadly"]);
    play.fleet.submit("beside", "plain", vec![step(12, 1)]);
    play.run(500);
    play.fleet.submit("deadly", "plain", vec![step(1, 1)]);
    for _ in 0..18 {
        play.run(5_000);
        play.take_over();
    }
    play.assert_given_up();
    assert_eq!(play.state("beside"), Some(JobState::Running));
}

#[test]
fn tick_fails_no_job_beside_subtasks_that_crash_workers() {
    let deadly = ["deadly-1", "deadly-2", "deadly-3"];
    let mut play = Play::new(8, &deadly);
    for job in ["beside-1", "beside-2", "beside-3"] {
        play.fleet.submit(job, "plain", vec![step(10, 1)]);
    }
    play.run(500);
    for job in deadly {
        play.fleet.submit(job, "plain", vec![step(2, 1)]);
        play.run(1_000);
    }
    play.run(120_000);
    play.assert_given_up();
    for job in ["beside-1", "beside-2", "beside-3"] {
        assert_eq!(play.state(job), Some(JobState::Running), "{job}");
        play.fleet.end_runs(job, EndReason::Done);
    }
    play.run(1_000);
    assert_eq!(play.state("beside-1"), Some(JobState::Ended(Outcome::Completed)));
}

#[yare::parameterized(
    at_once = { 0 },
    one_after_the_other = { 300 },
)]
fn tick_fails_no_job_when_workers_are_lost_for_other_reasons(gap_ms: u64) {
    let mut play = Play::new(11, &[]);
    for (job, step) in [("wide", step(30, 1)), ("gang", Step { gang: true, ..step(2, 8) })] {
        play.fleet.submit(job, "plain", vec![step]);
    }
    play.run(500);
    for round in 0..12 {
        for at in 0..4 {
            play.crash((round * 3 + at) % 11);
            play.run(gap_ms);
        }
        play.run(5_000);
    }
    for job in ["wide", "gang"] {
        assert_eq!(play.state(job), Some(JobState::Running), "{job}");
    }
}

#[test]
fn report_of_drained_worker_that_is_replaced_counts_no_crash() {
    let mut play = Play::new(2, &[]);
    play.fleet.submit("alone", "plain", vec![step(1, 8)]);
    play.run(500);
    for _ in 0..8 {
        let at = play.fleet.reports.iter().position(|report| !report.running.is_empty()).unwrap();
        play.fleet.reports[at].worker.as_mut().unwrap().draining = true;
        play.run(200);
        play.fleet.reports[at].worker.as_mut().unwrap().draining = false;
        play.crash(at);
        play.run(3_000);
    }
    assert_eq!(play.state("alone"), Some(JobState::Running));
}

#[test]
fn tick_gives_up_subtask_whose_crashes_are_partly_hidden_by_other_causes() {
    let mut play = Play::new(8, &["deadly"]);
    play.fleet.submit("deadly", "plain", vec![step(1, 1)]);
    let mut crashes = 0;
    for _ in 0..900 {
        play.run(STEP_MS);
        let known = play.crashes.values().sum::<u64>();
        if known == crashes {
            continue;
        }
        crashes = known;
        let is_deadly = |at: &usize| !play.fleet.reports[*at].running.is_empty();
        let crashed = (0..8).find(|at| play.is_down_at(*at) && is_deadly(at)).unwrap();
        match crashes {
            // Two other workers are lost at the same moment.
            3 => {
                let others: Vec<usize> = (0..8).filter(|at| !play.is_down_at(*at)).take(2).collect();
                others.into_iter().for_each(|at| _ = play.down.insert(at, play.fleet.now + RESTART_MS));
            }
            // The worker had announced that it would leave.
            4 => play.fleet.reports[crashed].worker.as_mut().unwrap().draining = true,
            _ => (),
        }
    }
    play.assert_given_up();
}

/// Lets the only worker stop answering, submits a job that is placed there, and replaces the worker; returns the crashes that
/// the job counts. The worker falls silent `silent_before_ms` before the job comes, or after it has started if negative.
fn crashes_of_job(silent_before_ms: i64, rounds: usize) -> u64 {
    let mut fleet = Fleet::new(1);
    fleet.submit("late", "plain", vec![Step { estimate_ms: 60_000, ..step(1, 1) }]);
    for round in 0..rounds {
        let assignments = fleet.advance(STEP_MS);
        assert_eq!(assignments[0].starts.len(), 1, "it is placed in round {round}");
        if silent_before_ms < 0 {
            fleet.mark_running(&assignments);
            fleet.advance(STEP_MS);
        }
        fleet.advance(1_000);
        let report = &mut fleet.reports[0];
        report.running.clear();
        report.worker.as_mut().unwrap().incarnation = format!("w0-{round}");
        report.silent_before_ms = Some((1_000 + STEP_MS).saturating_add_signed(silent_before_ms));
        fleet.advance(0);
    }
    let view = fleet.planner.view(&sorrelland_fleet::view::Query::Jobs, fleet.now, fleet.now);
    view["rows"][0]["crashes"].as_u64().unwrap()
}

/// Guards against a job that has to run apart from others, since it was placed on workers that had crashed before.
#[yare::parameterized(
    placed_after_the_loss = { 500, 0 },
    placed_before_the_loss = { -500, 3 },
)]
fn run_placed_on_a_lost_worker_is_no_suspect(silent_before_ms: i64, crashes: u64) {
    assert_eq!(crashes_of_job(silent_before_ms, 3), crashes);
}
