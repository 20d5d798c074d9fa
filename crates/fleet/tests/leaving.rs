//! Tests what happens to the runs of workers that announce when they shut down, in virtual time.

#[expect(dead_code, reason = "the runs of these tests start and end by their progress")]
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::job::Step;
use sorrelland_fleet::leaving::{Decision, Departure, LeavingRun, STOP_DELIVERY_MS};
use sorrelland_fleet::planner::Planner;
use sorrelland_fleet::record;
use sorrelland_fleet::report::{End, EndReason, Running, WorkerInfo};
use sorrelland_forecast::Remaining;

/// Time of one step of a play, in milliseconds.
const STEP_MS: u64 = 100;

/// Time before a departure at which a run has to be stopped so that its checkpoint is written.
const STOP_LEAD_MS: u64 = TIMING.stop_ms + STOP_DELIVERY_MS;

/// A run that has ten seconds left on a worker that leaves in five.
const RUN: LeavingRun = LeavingRun {
    left_ms: 5_000,
    ran_ms: 3_000,
    estimate_ms: 13_000,
    remaining: Some(Remaining { low_ms: 9_000, median_ms: 10_000, high_ms: 11_000 }),
    stop_ms: TIMING.stop_ms,
    saves_progress: true,
    is_long_running: false,
    has_unavailability_limit: false,
};

const ENDS_IN_TIME: Option<Remaining> = Some(Remaining { low_ms: 900, median_ms: 1_000, high_ms: 1_100 });

const MAY_END_IN_TIME: Option<Remaining> =
    Some(Remaining { low_ms: 4_900, median_ms: 5_500, high_ms: 6_000 });

/// Guards against runs that are stopped without need, too early, too late, or not at all before their worker leaves.
#[yare::parameterized(
    saving_run_waits = { RUN, Decision::StopLater },
    saving_run_waits_until_stop_has_to_begin =
        { LeavingRun { left_ms: STOP_LEAD_MS + 1, ..RUN }, Decision::StopLater },
    saving_run_is_stopped_in_time = { LeavingRun { left_ms: STOP_LEAD_MS, ..RUN }, Decision::StopToSave },
    saving_run_is_stopped_even_if_time_is_short = { LeavingRun { left_ms: 100, ..RUN }, Decision::StopToSave },
    saving_run_that_ends_in_time = { LeavingRun { remaining: ENDS_IN_TIME, ..RUN }, Decision::Keep },
    saving_run_that_ends_in_time_until_the_last =
        { LeavingRun { left_ms: 1_200, remaining: ENDS_IN_TIME, ..RUN }, Decision::Keep },
    saving_run_that_may_end_too_late =
        { LeavingRun { left_ms: 1_100, remaining: ENDS_IN_TIME, ..RUN }, Decision::StopToSave },
    unmeasured_saving_run = { LeavingRun { left_ms: 1_000, remaining: None, ..RUN }, Decision::StopToSave },
    unmeasured_saving_run_with_short_estimate =
        { LeavingRun { left_ms: 1_000, ran_ms: 0, estimate_ms: 300, remaining: None, ..RUN }, Decision::Keep },
    unmeasured_saving_run_far_over_its_estimate =
        { LeavingRun { left_ms: 1_000, estimate_ms: 300, remaining: None, ..RUN }, Decision::StopToSave },
    lost_run = { LeavingRun { saves_progress: false, ..RUN }, Decision::StopAsLost },
    lost_run_whose_stop_gains_nothing =
        { LeavingRun { left_ms: TIMING.stop_ms, saves_progress: false, ..RUN }, Decision::Keep },
    run_that_may_end_in_time =
        { LeavingRun { saves_progress: false, remaining: MAY_END_IN_TIME, ..RUN }, Decision::Keep },
    unmeasured_run = { LeavingRun { saves_progress: false, remaining: None, ..RUN }, Decision::Keep },
    long_running_goes_on = { LeavingRun { is_long_running: true, remaining: None, ..RUN }, Decision::StopLater },
    long_running_moves_in_time = {
        LeavingRun { left_ms: 1_000, is_long_running: true, estimate_ms: 0, remaining: None, ..RUN },
        Decision::StopToSave
    },
    limited_step = { LeavingRun { left_ms: 100, has_unavailability_limit: true, ..RUN }, Decision::Keep },
)]
fn decide_by_remaining_time(run: LeavingRun, expected: Decision) {
    assert_eq!(run.decide(), expected, "{run:?}");
}

fn announcement(draining: bool, remaining_ms: Option<u64>) -> WorkerInfo {
    WorkerInfo { draining, remaining_ms, ..WorkerInfo::default() }
}

/// Guards against a departure that recedes because agents repeat the last announcement of a worker.
#[test]
fn update_keeps_departure_of_repeated_announcement() {
    let first = Departure::update(None, 1_000, &announcement(true, Some(5_000)));
    let repeated = Departure::update(first, 3_000, &announcement(true, Some(5_000)));
    assert_eq!(repeated.unwrap().left_ms(3_000), 3_000);
    // The next announcement arrives half a second late.
    let next = Departure::update(repeated, 4_000, &announcement(true, Some(2_500)));
    assert_eq!(next.unwrap().left_ms(4_000), 2_000);
    let earlier = Departure::update(next, 4_100, &announcement(true, Some(500)));
    assert_eq!(earlier.unwrap().left_ms(4_100), 500);
}

/// Guards against runs that are stopped for a departure that was postponed or withdrawn.
#[test]
fn update_follows_postponed_and_withdrawn_departures() {
    let first = Departure::update(None, 1_000, &announcement(true, Some(5_000)));
    let postponed = Departure::update(first, 2_000, &announcement(true, Some(60_000)));
    assert_eq!(postponed.unwrap().left_ms(2_000), 60_000);
    assert_eq!(Departure::update(postponed, 3_000, &announcement(false, Some(59_000))), None);
    assert_eq!(Departure::update(postponed, 3_000, &announcement(true, None)), None);
}

/// A fleet whose runs advance, and save progress with each second of work where their step does.
struct Play {
    fleet: Fleet,
    /// Work of each subtask, in milliseconds.
    work_ms: u64,
    /// Time at which a stop that was ordered ends, by subtask and run.
    stops: BTreeMap<(String, u64), u64>,
    /// Starts that the worker hasn't listed yet, which its agent reports with 0%.
    unlisted: BTreeSet<(String, u64)>,
    /// Log lines so far.
    log: Vec<String>,
}

impl Play {
    fn new(workers: usize, work_ms: u64) -> Self {
        let (stops, unlisted) = Default::default();
        Self { fleet: Fleet::new(workers), work_ms, stops, unlisted, log: Vec::new() }
    }

    fn leave(&mut self, at: usize, remaining_ms: Option<u64>) {
        let worker = self.fleet.reports[at].worker.as_mut().unwrap();
        (worker.draining, worker.remaining_ms) = (true, remaining_ms);
    }

    /// Runs the planner for `ms`: starts what is assigned, stops within the bound, and reports progress; the announced
    /// times run down.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            for report in &mut self.fleet.reports {
                let worker = report.worker.as_mut().unwrap();
                worker.remaining_ms = worker.remaining_ms.map(|ms| ms.saturating_sub(STEP_MS));
                for run in report.running.iter_mut().filter(|run| run.percent < 100) {
                    // Progress in milliseconds of work; the reported percents are rounded.
                    run.measurement += STEP_MS;
                    if self.unlisted.remove(&(run.task.to_string(), run.run)) {
                        continue;
                    }
                    run.percent = (run.measurement * 100 / self.work_ms).min(100);
                    if run.task.job.starts_with("saves") && run.measurement >= 1_000 {
                        run.saved = format!("{}", run.measurement / 1_000 * 1_000);
                    }
                }
            }
            self.end_runs();
            let assignments = self.fleet.advance(STEP_MS);
            self.log.extend(self.fleet.planner.take_log());
            self.apply(&assignments);
        }
    }

    fn end_runs(&mut self) {
        let now = self.fleet.now;
        for report in &mut self.fleet.reports {
            let running = std::mem::take(&mut report.running);
            for run in running {
                let stops_at = self.stops.get(&(run.task.to_string(), run.run));
                let reason = if run.percent == 100 {
                    EndReason::Done
                } else if stops_at.is_some_and(|at| now >= *at) {
                    EndReason::Stopped
                } else {
                    report.running.push(run);
                    continue;
                };
                let saves = run.task.job.starts_with("saves");
                let saved = if saves { run.measurement.to_string() } else { String::new() };
                let number = report.ended.len() as u64 + 1;
                report.ended.push(End { number, task: run.task, run: run.run, reason, saved });
            }
        }
    }

    fn apply(&mut self, assignments: &[Assignments]) {
        for assigned in assignments {
            let is_worker = |info: &Option<WorkerInfo>| {
                info.as_ref().is_some_and(|info| info.incarnation == assigned.incarnation)
            };
            let report = self.fleet.reports.iter_mut().find(|report| is_worker(&report.worker)).unwrap();
            for start in &assigned.starts {
                let (task, run, saved) = (start.task.clone(), start.run, start.saved.clone());
                let measurement = saved.parse().unwrap_or(0);
                self.unlisted.insert((task.to_string(), run));
                report.running.push(Running { task, run, saved, percent: 0, measurement });
            }
            for stop in &assigned.stops {
                let until = self.fleet.now + TIMING.stop_ms;
                self.stops.entry((stop.task.to_string(), stop.run)).or_insert(until);
            }
        }
    }

    /// Returns the lines of an event.
    fn logged(&self, event: &str) -> Vec<&str> {
        let prefix = format!("event={event} ");
        self.log.iter().map(String::as_str).filter(|line| line.starts_with(&prefix)).collect()
    }

    /// Returns the positions of the workers with runs.
    fn busy(&self) -> BTreeSet<usize> {
        let reports = self.fleet.reports.iter().enumerate();
        reports.filter(|(_, report)| !report.running.is_empty()).map(|(at, _)| at).collect()
    }

    /// Starts a job and returns the position of the worker of its first subtask.
    fn start(&mut self, job: &str, step: Step) -> usize {
        self.fleet.submit(job, "plain", vec![Step { estimate_ms: self.work_ms, ..step }]);
        self.run(2_000);
        let is_first = |run: &Running| run.task.job == job && run.task.index == 0;
        let mut reports = self.fleet.reports.iter();
        reports.position(|report| report.running.iter().any(is_first)).expect("the job has started")
    }
}

/// Guards against the loss of the work of a saving run, by a stop that comes too late, and against stops that come long
/// before they have to and cost the time in which it could go on.
#[test]
fn tick_stops_saving_run_just_before_departure() {
    let mut play = Play::new(2, 20_000);
    let worker = play.start("saves", Step { saves_progress: true, ..step(1, 1) });
    play.leave(worker, Some(6_000));
    play.run(6_000 - STOP_LEAD_MS - 300);
    assert!(play.logged("preempted").is_empty(), "{:?}", play.logged("preempted"));
    play.run(500 + TIMING.stop_ms + 200);
    let preempted = play.logged("preempted");
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    let why = format!("why=\"worker w{worker} leaves in ");
    assert!(preempted[0].contains(&why) && preempted[0].contains("unsaved "), "{preempted:?}");
    assert_eq!(play.busy(), BTreeSet::from([1 - worker]), "it has not moved before the worker leaves");
    let resumed = &play.fleet.reports[1 - worker].running[0];
    assert!(resumed.measurement >= 6_000, "it continues from {} ms of work", resumed.measurement);
}

/// Guards against runs that work on until their worker leaves though all of it is lost then.
#[test]
fn tick_stops_lost_run_at_once() {
    let mut play = Play::new(2, 20_000);
    let worker = play.start("loses", step(1, 1));
    play.leave(worker, Some(10_000));
    play.run(200 + TIMING.stop_ms + 200);
    let preempted = play.logged("preempted");
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    assert!(preempted[0].contains("saves nothing"), "{preempted:?}");
    assert_eq!(play.busy(), BTreeSet::from([1 - worker]), "it has not started elsewhere");
}

/// Guards against stops of runs that would have ended before their worker leaves.
#[yare::parameterized(saving = { "saves" }, other = { "loses" })]
fn tick_keeps_run_that_ends_before_departure(job: &str) {
    let mut play = Play::new(2, 5_000);
    let worker = play.start(job, Step { saves_progress: job == "saves", ..step(1, 1) });
    play.leave(worker, Some(4_500));
    play.run(4_500);
    assert!(play.logged("preempted").is_empty(), "{:?}", play.logged("preempted"));
    assert_eq!(play.logged("job_ended").len(), 1);
}

/// Guards against the stop of serving subtasks whose step limits how many may be unavailable.
#[test]
fn tick_keeps_subtasks_with_unavailability_limit() {
    let mut play = Play::new(2, 1_000_000);
    let serving = Step { long_running: true, max_unavailable: Some(1), saves_progress: true, ..step(2, 1) };
    let worker = play.start("saves", serving);
    play.leave(worker, Some(3_000));
    play.run(4_000);
    assert!(play.logged("preempted").is_empty(), "{:?}", play.logged("preempted"));
}

/// Guards against stops on workers that don't say when they leave, which may be much later.
#[test]
fn tick_keeps_runs_of_worker_without_remaining_time() {
    let mut play = Play::new(2, 20_000);
    let worker = play.start("saves", Step { saves_progress: true, ..step(1, 1) });
    play.leave(worker, None);
    play.run(10_000);
    assert!(play.logged("preempted").is_empty(), "{:?}", play.logged("preempted"));
}

/// Guards against a gang whose other members wait for one that is lost with its worker.
#[test]
fn tick_stops_whole_gang_for_one_departure() {
    let mut play = Play::new(4, 20_000);
    let gang = Step { gang: true, saves_progress: true, ..step(3, 8) };
    let worker = play.start("saves", gang);
    assert_eq!(play.busy().len(), 3);
    play.leave(worker, Some(4_000));
    play.run(4_000);
    let preempted = play.logged("preempted");
    assert_eq!(preempted.len(), 1, "{preempted:?}");
    let stopped: BTreeSet<&str> = play.stops.keys().map(|(task, _)| task.as_str()).collect();
    assert_eq!(stopped.len(), 3, "{stopped:?}");
    let moved = play.busy();
    assert!(moved.len() == 3 && !moved.contains(&worker), "{moved:?}");
}

/// Guards against a second stop of a run, and against one more stop after the worker has withdrawn its departure.
#[test]
fn tick_stops_once_though_departure_is_withdrawn() {
    let mut play = Play::new(1, 20_000);
    play.start("saves", Step { saves_progress: true, ..step(1, 1) });
    play.leave(0, Some(STOP_LEAD_MS + 100));
    play.run(200);
    assert_eq!(play.logged("preempted").len(), 1);
    let worker = play.fleet.reports[0].worker.as_mut().unwrap();
    (worker.draining, worker.remaining_ms) = (false, None);
    play.run(3_000);
    assert_eq!(play.logged("preempted").len(), 1, "{:?}", play.logged("preempted"));
    assert_eq!(play.fleet.reports[0].running[0].run, 2, "it has not continued on its worker");
}

/// Guards against a forecast that takes the saved work of a resumed run for work done in half a second, and so keeps the
/// run until it is lost: its agent reports 0% before the worker lists it.
#[test]
fn tick_stops_resumed_run_before_departure() {
    let mut play = Play::new(3, 40_000);
    let first = play.start("saves", Step { saves_progress: true, ..step(1, 1) });
    play.run(30_000);
    play.leave(first, Some(STOP_LEAD_MS));
    play.run(1_000);
    let second = *play.busy().first().expect("it has moved");
    assert_eq!(play.fleet.reports[second].running[0].run, 2);
    play.leave(second, Some(2_500));
    play.run(2_500);
    assert_eq!(play.logged("preempted").len(), 2, "{:?}", play.logged("preempted"));
    assert!(!play.busy().contains(&second), "it is lost with its worker");
}

/// Guards against a new planner that forgets a departure: it learns of it from the next reports.
#[test]
fn new_planner_stops_run_before_departure() {
    let mut play = Play::new(2, 20_000);
    let worker = play.start("saves", Step { saves_progress: true, ..step(1, 1) });
    play.leave(worker, Some(5_000));
    play.run(1_000);
    let stored = play.fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let (jobs, _) = record::read(stored);
    play.fleet.planner = Planner::new(TIMING, Arc::new(desired()), jobs, play.fleet.now);
    play.run(4_000);
    assert_eq!(play.logged("preempted").len(), 1, "{:?}", play.logged("preempted"));
    assert_eq!(play.busy(), BTreeSet::from([1 - worker]));
}
