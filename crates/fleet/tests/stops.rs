//! Tests the cost of stopping a run, and which runs are stopped for urgent work, in virtual time.

#[expect(dead_code, reason = "the runs of these tests end only when they are stopped")]
mod common;

use std::sync::Arc;

use common::{Fleet, TIMING, desired, queue, step};
use sorrelland_fleet::Resources;
use sorrelland_fleet::desired::{Desired, Queue};
use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::planner::{Admission, Planner};
use sorrelland_fleet::record;
use sorrelland_fleet::stops::{Cause, StopCost, StoppableRun};
use sorrelland_fleet::value::Timeliness;

/// A run halfway through its estimate whose job is in time if it goes on and late if it is stopped.
const RUN: StoppableRun = StoppableRun {
    cores: 10.0,
    ran_ms: 5_000,
    unsaved_ms: 5_000,
    estimate_ms: 10_000,
    percent: 50,
    remaining_ms: Some(5_000),
    following_ms: 0,
    others_ms: 0,
    stop_ms: TIMING.stop_ms,
    restart_ms: 3_000,
    value: 3.0,
    in_time_for_ms: 8_000,
    late_for_ms: 30_000,
    is_long_running: false,
};

const UNMEASURED: StoppableRun = StoppableRun { remaining_ms: None, ..RUN };

/// Guards against stops at the wrong cost: of runs that are nearly done, that lose much work or make their job late, and
/// against sparing runs whose stop loses little.
#[yare::parameterized(
    ordinary = { RUN, Cause::Ordinary, Timeliness::InTime, Timeliness::Late },
    nearly_done_by_time =
        { StoppableRun { remaining_ms: Some(900), ..RUN }, Cause::NearlyDone, Timeliness::InTime, Timeliness::Late },
    high_percent_of_a_long_run = {
        StoppableRun { percent: 90, ran_ms: 81_000, unsaved_ms: 500, estimate_ms: 90_000, remaining_ms: Some(9_000),
            in_time_for_ms: 9_000, ..RUN },
        Cause::JustSaved, Timeliness::InTime, Timeliness::Late
    },
    high_percent_without_measured_time =
        { StoppableRun { percent: 85, ..UNMEASURED }, Cause::NearlyDone, Timeliness::InTime, Timeliness::Late },
    just_saved_with_slack = {
        StoppableRun { unsaved_ms: 300, in_time_for_ms: 8_300, ..RUN },
        Cause::JustSaved, Timeliness::InTime, Timeliness::InTime
    },
    just_saved_without_slack = {
        StoppableRun { unsaved_ms: 300, in_time_for_ms: 8_299, ..RUN },
        Cause::JustSaved, Timeliness::InTime, Timeliness::Late
    },
    just_started_has_saved_nothing = {
        StoppableRun { ran_ms: 200, unsaved_ms: 200, remaining_ms: Some(2_000), ..RUN },
        Cause::Ordinary, Timeliness::InTime, Timeliness::InTime
    },
    hopeless = { StoppableRun { late_for_ms: 4_999, in_time_for_ms: -2_000, ..RUN },
        Cause::Hopeless, Timeliness::Missed, Timeliness::Missed },
    hopeless_by_another_run = { StoppableRun { others_ms: 30_001, ..RUN },
        Cause::Hopeless, Timeliness::Missed, Timeliness::Missed },
    already_late = { StoppableRun { in_time_for_ms: 4_999, ..RUN },
        Cause::Ordinary, Timeliness::Late, Timeliness::Late },
    late_by_steps_after_it = { StoppableRun { following_ms: 3_001, ..RUN },
        Cause::Ordinary, Timeliness::Late, Timeliness::Late },
    another_run_takes_longer = { StoppableRun { others_ms: 14_000, in_time_for_ms: 14_000, ..RUN },
        Cause::Ordinary, Timeliness::InTime, Timeliness::InTime },
    overlong_by_forecast = { StoppableRun { remaining_ms: Some(65_000), late_for_ms: 100_000, ..RUN },
        Cause::Overlong, Timeliness::Late, Timeliness::Late },
    overlong_without_measured_time = {
        StoppableRun { ran_ms: 26_000, unsaved_ms: 26_000, late_for_ms: 100_000, ..UNMEASURED },
        Cause::Overlong, Timeliness::Late, Timeliness::Late
    },
    unmeasured_within_estimate_and_slow_worker = {
        StoppableRun { in_time_for_ms: 7_500, ..UNMEASURED },
        Cause::Ordinary, Timeliness::InTime, Timeliness::Late
    },
    unmeasured_over_estimate = {
        StoppableRun { ran_ms: 13_000, unsaved_ms: 13_000, in_time_for_ms: 11_999, ..UNMEASURED },
        Cause::Ordinary, Timeliness::Late, Timeliness::Late
    },
)]
fn stop_cost_by_real_times(run: StoppableRun, cause: Cause, if_kept: Timeliness, if_stopped: Timeliness) {
    let StopCost { cost, .. } = run.stop_cost();
    assert_eq!(run.stop_cost(), StopCost { cost, cause, if_kept, if_stopped }, "{run:?}");
}

/// Guards against a stop of a hopeless run that counts the value its job no longer has, and against one that costs
/// nothing: its work has to be done again.
#[test]
fn stop_cost_of_hopeless_run_is_its_lost_work() {
    let hopeless = StoppableRun { late_for_ms: 0, in_time_for_ms: -2_000, ..RUN }.stop_cost().cost;
    assert!(hopeless > 0.0 && hopeless < 0.1, "{hopeless}");
    let costly = RUN.stop_cost().cost;
    assert!(costly > 2.0, "a job that becomes late loses most of its value: {costly}");
    let more_work = StoppableRun { unsaved_ms: 50_000, late_for_ms: 0, in_time_for_ms: -2_000, ..RUN };
    assert!((more_work.stop_cost().cost - 10.0 * hopeless).abs() < 1e-9, "ten times the work");
}

/// Guards against long-running subtasks that count as late jobs.
#[test]
fn stop_cost_of_long_running_subtask_has_no_lateness() {
    let serving = StoppableRun { is_long_running: true, in_time_for_ms: -1, late_for_ms: -1, ..RUN };
    let StopCost { cost, cause, .. } = serving.stop_cost();
    assert!(cause == Cause::Serving && cost < 0.1, "{cause} {cost}");
}

/// Returns the desired state with a queue whose jobs are due at once, one whose jobs are due soon, and one whose jobs are
/// in time for long.
fn queues() -> Desired {
    let mut desired = Desired { version: 2, ..desired() };
    desired.queues.push(Queue { stretch_milli: 1_250, full_value_ms: 300, ..queue("tight", 0) });
    desired.queues.push(Queue { stretch_milli: 1_500, ..queue("timely", 1) });
    desired.queues.push(Queue { stretch_milli: 100_000, full_value_ms: 100_000, ..queue("slack", 1) });
    desired
}

/// A fleet on which an urgent job has to displace one of several runs.
struct Play {
    fleet: Fleet,
}

impl Play {
    fn new(workers: usize) -> Self {
        let mut fleet = Fleet::new(workers);
        fleet.planner.set_desired(Arc::new(queues()));
        Self { fleet }
    }

    /// Submits a job of an account without a guarantee and starts what is assigned.
    fn submit(&mut self, job: &str, queue: &str, step: Step) {
        let sub = Submission {
            job: job.to_owned(),
            queue: queue.to_owned(),
            account: "guest".to_owned(),
            steps: vec![step],
            ..Submission::default()
        };
        let admission = self.fleet.planner.submit(self.fleet.now, self.fleet.now, &sub);
        assert!(matches!(admission, Admission::Accepted { .. }), "{admission:?}");
        let assignments = self.fleet.advance(10);
        self.fleet.mark_running(&assignments);
    }

    /// Reports the progress of a job's runs for `ms`, which grows by `percent_per_s`; they save progress as long as
    /// `saves` is true.
    fn run(&mut self, ms: u64, jobs: &[(&str, u64, bool)]) {
        for _ in 0..ms / 500 {
            for run in self.fleet.reports.iter_mut().flat_map(|report| &mut report.running) {
                let job = jobs.iter().find(|(job, ..)| *job == run.task.job);
                let Some((_, percent_per_s, saves)) = job else { continue };
                // The field for the CPU in use holds the progress in thousandths.
                run.measurement += percent_per_s * 5;
                run.percent = run.measurement / 10;
                if *saves {
                    run.saved = format!("{}-{}", run.task.index, run.measurement);
                }
            }
            self.fleet.advance(500);
        }
    }

    /// Submits an urgent job that needs one worker; returns the lines on the runs that are stopped for it.
    fn preempt(&mut self) -> Vec<String> {
        let whole = Resources::new(15_000, 100_000, 8);
        self.preempt_for(Step { resources: whole, estimate_ms: 6_000, ..step(1, 8) })
    }

    /// Does the same for an urgent job of the given step.
    fn preempt_for(&mut self, step: Step) -> Vec<String> {
        self.fleet.planner.take_log();
        self.submit("urgent", "tight", step);
        let log = self.fleet.planner.take_log();
        log.into_iter().filter(|line| line.starts_with("event=preempted ")).collect()
    }
}

/// A subtask that takes all accelerators of a worker.
fn whole_worker(estimate_ms: u64) -> Step {
    Step { estimate_ms, ..step(1, 8) }
}

fn saving(estimate_ms: u64) -> Step {
    Step { saves_progress: true, ..whole_worker(estimate_ms) }
}

/// Guards against the stop of a run whose last checkpoint is old while another has just saved: a burst of urgent jobs
/// then costs seconds of work that it need not cost.
#[test]
fn preempt_stops_run_with_newest_checkpoint() {
    let mut play = Play::new(2);
    play.submit("old", "slack", saving(60_000));
    play.submit("new", "slack", saving(60_000));
    play.run(5_000, &[("old", 2, true), ("new", 2, true)]);
    play.run(3_000, &[("old", 2, false), ("new", 2, true)]);
    let preempted = play.preempt();
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    assert!(preempted[0].contains("job=new "), "{preempted:?}");
    for input in ["resources needed for urgent: just_saved run", "remaining 4", "unsaved 1"] {
        assert!(preempted[0].contains(input), "{input} in {preempted:?}");
    }
}

/// Guards against the stop of a run that frees its worker by itself at once, though its progress is below 85% and its
/// time since the start is short.
#[test]
fn preempt_keeps_run_that_is_nearly_done_by_forecast() {
    let mut play = Play::new(2);
    play.submit("far", "slack", whole_worker(60_000));
    play.submit("near", "slack", whole_worker(60_000));
    play.run(2_000, &[("far", 2, false), ("near", 40, false)]);
    let preempted = play.preempt();
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    assert!(preempted[0].contains("job=far "), "{preempted:?}");
}

/// Guards against a burst that makes a job late that could be in time, and spares one that has no value left by its
/// measured progress, though by its declared estimate it has.
#[yare::parameterized(single = { false }, gang = { true })]
fn preempt_stops_hopeless_run(is_gang: bool) {
    let mut play = Play::new(2);
    let drain = |play: &mut Play, draining| {
        play.fleet.reports.iter_mut().for_each(|report| report.worker.as_mut().unwrap().draining = draining);
    };
    let step = |estimate_ms| Step { gang: is_gang, ..whole_worker(estimate_ms) };
    drain(&mut play, true);
    play.fleet.advance(10);
    // By its estimate it is late after 38 s and has no value after 115 s; its work of 10 s makes that 16 s and 48 s.
    play.submit("hopeless", "timely", step(25_000));
    play.run(45_000, &[]);
    drain(&mut play, false);
    play.fleet.advance(10);
    play.submit("sound", "timely", step(10_000));
    let started = play.fleet.advance(10);
    play.fleet.mark_running(&started);
    play.run(4_000, &[("hopeless", 10, false), ("sound", 10, false)]);
    let preempted = play.preempt();
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    assert!(preempted[0].contains("job=hopeless "), "{preempted:?}");
    assert!(preempted[0].contains(" hopeless run"), "{preempted:?}");
}

/// Guards against sparing a run for the time of a job that is late anyway by another of its runs, and making a second job
/// late instead. The runs fill the workers' memory.
#[test]
fn preempt_stops_run_of_job_that_is_late_by_another_run() {
    let mut play = Play::new(4);
    let drain = |play: &mut Play, at: usize, draining| {
        play.fleet.reports[at].worker.as_mut().unwrap().draining = draining;
    };
    (1..4).for_each(|at| drain(&mut play, at, true));
    play.fleet.advance(10);
    let step = |count, estimate_ms| Step {
        resources: Resources::new(1_000, 200_000, 0),
        estimate_ms,
        ..step(count, 0)
    };
    // Each of its subtasks takes 16.7 s, so it is late after 26 s.
    play.submit("tail", "timely", step(2, 16_700));
    play.run(11_000, &[("tail", 6, false)]);
    drain(&mut play, 3, false);
    let started = play.fleet.advance(10);
    play.fleet.mark_running(&started);
    drain(&mut play, 1, false);
    play.submit("sound", "timely", step(1, 10_000));
    play.run(4_000, &[("tail", 6, false), ("sound", 10, false)]);
    // The second subtask of `tail` is on another rack.
    let label = Some("r0".to_owned());
    let urgent = Step { resources: Resources::new(15_000, 100_000, 8), estimate_ms: 6_000, ..step(1, 6_000) };
    let preempted = play.preempt_for(Step { label, ..urgent });
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    assert!(preempted[0].contains("task=tail.0.0.0 "), "{preempted:?}");
    assert!(preempted[0].contains("Late if kept"), "{preempted:?}");
}

/// Guards against progress that a worker can't have made, over 100% or going back, deciding which run is stopped.
#[yare::parameterized(
    over_100 = { 250, false },
    goes_back = { 1, false },
    over_100_in_gang = { 250, true },
    goes_back_in_gang = { 1, true },
)]
fn preempt_ignores_impossible_progress(percent: u64, is_gang: bool) {
    let mut play = Play::new(2);
    play.submit("low", "slack", Step { gang: is_gang, ..saving(60_000) });
    play.submit("other", "slack", whole_worker(60_000));
    play.run(5_000, &[("low", 4, true), ("other", 4, false)]);
    for run in play.fleet.reports.iter_mut().flat_map(|report| &mut report.running) {
        if run.task.job == "low" {
            run.percent = percent;
        }
    }
    let preempted = play.preempt();
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    assert!(preempted[0].contains("job=low ") && preempted[0].contains("remaining 19"), "{preempted:?}");
}

/// Guards against a new planner for which all runs of its predecessor have just begun: it would stop one that has done
/// more work than another.
#[test]
fn new_planner_stops_run_with_less_work() {
    let mut play = Play::new(2);
    play.submit("a", "slack", whole_worker(60_000));
    play.run(10_000, &[("a", 4, false)]);
    play.submit("b", "slack", whole_worker(60_000));
    play.run(1_000, &[("a", 4, false), ("b", 4, false)]);
    let stored = play.fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let (jobs, _) = record::read(stored);
    play.fleet.planner = Planner::new(TIMING, Arc::new(queues()), jobs, play.fleet.now);
    play.run(2_000, &[("a", 4, false), ("b", 4, false)]);
    let preempted = play.preempt();
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    assert!(preempted[0].contains("job=b ") && preempted[0].contains("remaining 2"), "{preempted:?}");
}
