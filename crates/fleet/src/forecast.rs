//! Feeds the forecasts with the progress and the ends that workers report.

use std::collections::BTreeSet;

use sorrelland_forecast::{Progress, Remaining, RunId};

use crate::desired::Queue;
use crate::forecast_errors::ForecastError;
use crate::job::Step;
use crate::planner::Planner;
use crate::report::{End, EndReason, FirstMark, Running};
use crate::task::Task;
use crate::timing::SpeedClasses;
use crate::unit::{Unit, UnitKey, UnitState};
use crate::worker::Worker;

/// Minimum time between two log lines on the speeds of workers, and between two on the errors of forecasts, in
/// milliseconds.
pub(crate) const SUMMARY_INTERVAL_MS: u64 = 10_000;

/// Speeds of the workers of which something is known, in thousandths of the fleet's mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedSummary {
    /// Number of workers with a known speed.
    pub known: usize,
    pub slowest_milli: u64,
    /// The lower one of the two in the middle if their number is even.
    pub median_milli: u64,
    pub fastest_milli: u64,
}

/// Returns the name of a run in the forecasts.
pub fn run_id(task: &Task, run: u64) -> RunId {
    RunId { step: (task.job.clone(), task.occurrence, task.step), index: task.index, run }
}

/// Returns whether the duration of a step's runs on a worker says something of the worker's speed.
fn is_comparable(step: &Step, worker: &Worker) -> bool {
    // Serving subtasks have no end, members of a gang advance together, those on idle CPU are slowed down on purpose, and
    // data on another rack slows a run.
    !step.long_running
        && !step.gang
        && !step.uses_idle_cpu
        && step.preferred_rack.as_deref().is_none_or(|rack| worker.has_label(rack))
}

impl Planner {
    /// Records the reported progress of a run.
    pub(crate) fn forecast_progress(&mut self, now: u64, incarnation: &str, run: &Running) {
        let step = self.jobs.get(&run.task.job).and_then(|job| job.sub.steps.get(run.task.step as usize));
        let Some((step, worker)) = step.zip(self.workers.get(incarnation)) else { return };
        if !is_comparable(step, worker) {
            return;
        }
        if run.percent == 0 && self.continues_from_checkpoint(&run.task) {
            return;
        }
        let id = run_id(&run.task, run.run);
        if let Progress::Invalid(reason) = self.forecasts.record_progress(now, incarnation, &id, run.percent)
            && let Some(count) = self.line_limit.record(now, reason)
        {
            self.log_line(format!(
                "event=progress_ignored worker={incarnation} task={} run={} percent={} reason=\"{reason}\" count={count}",
                run.task, run.run, run.percent
            ));
        }
        let unit = self.unit_of(&run.task).and_then(|(key, _)| self.jobs.get(&run.task.job)?.units.get(&key));
        let unit = unit.filter(|unit| unit.run == run.run && unit.state == UnitState::Placed);
        if let Some(placed_at) = unit.and_then(|unit| unit.placed_at) {
            self.forecast_errors.watch(&id, placed_at);
        }
    }

    /// Records the start that an agent saw of a run.
    pub(crate) fn forecast_start(&mut self, at: u64, incarnation: &str, mark: &FirstMark) {
        let step = self.jobs.get(&mark.task.job).and_then(|job| job.sub.steps.get(mark.task.step as usize));
        let Some((step, worker)) = step.zip(self.workers.get(incarnation)) else { return };
        if is_comparable(step, worker) {
            self.forecasts.record_start(at, incarnation, &run_id(&mark.task, mark.run), mark.percent);
        }
    }

    /// Forgets a run that ended without its result.
    pub(crate) fn remove_forecast(&mut self, id: &RunId) {
        self.forecasts.remove_run(id);
        self.forecast_errors.remove_run(id);
    }

    /// Drains the errors of forecasts that became known since the last call.
    pub fn take_forecast_errors(&mut self) -> Vec<ForecastError> {
        self.forecast_errors.take()
    }

    /// Returns whether the newest run of a subtask's unit started from saved progress. Its agent reports 0% until the
    /// worker lists it, which is no measurement.
    fn continues_from_checkpoint(&self, task: &Task) -> bool {
        let unit = self.unit_of(task).and_then(|(key, _)| self.jobs.get(&task.job)?.units.get(&key));
        unit.is_some_and(Unit::continues_from_checkpoint)
    }

    /// Returns the range of the remaining time of a unit's newest run; `None` until its progress has been measured.
    pub(crate) fn remaining_of_unit(
        &self,
        now: u64,
        job: &str,
        key: UnitKey,
        unit: &Unit,
    ) -> Option<Remaining> {
        // The forecasts leave out gangs, and runs whose rate says nothing of their worker's speed.
        self.forecasts.remaining(&run_id(&key.task(job, 0), unit.run), now).or_else(|| unit.remaining(now))
    }

    /// Returns the forecast remaining times of a job's runs, in milliseconds; those without a forecast are left out.
    pub fn remaining_ms(&self, now: u64, job: &str) -> Vec<u64> {
        let units = self.jobs.get(job).into_iter().flat_map(|job| &job.units);
        let remaining = units.filter_map(|(key, unit)| self.remaining_of_unit(now, job, *key, unit));
        remaining.map(|remaining| remaining.median_ms).collect()
    }

    /// Records the end of a run that the planner had placed.
    pub(crate) fn forecast_end(&mut self, now: u64, incarnation: &str, end: &End) {
        let id = run_id(&end.task, end.run);
        let unit = self.unit_of(&end.task);
        let job = self.jobs.get(&end.task.job);
        let Some(((key, _), job)) = unit.zip(job) else { return self.remove_forecast(&id) };
        let step = job.sub.steps.get(key.step as usize);
        let Some((step, worker)) = step.zip(self.workers.get(incarnation)) else {
            return self.remove_forecast(&id);
        };
        match end.reason {
            EndReason::Done => self.forecast_errors.record_end(now, &id),
            _ => self.forecast_errors.remove_run(&id),
        }
        let unit = job.units.get(&key);
        // A run that continued from saved progress was shorter than its work.
        let placed_at = unit.filter(|unit| unit.run == 1).and_then(|unit| unit.placed_at);
        let ran_ms = placed_at
            .filter(|_| end.reason == EndReason::Done && is_comparable(step, worker))
            .map(|at| now.saturating_sub(at));
        let (queue, estimate_ms) = (job.sub.queue.clone(), step.estimate_ms);
        self.forecasts.record_end(incarnation, &id, &queue, estimate_ms, ran_ms);
    }

    /// Computes the forecasts anew if that is due, and in which services speeds count.
    pub(crate) fn update_forecasts(&mut self, now: u64) {
        if self.forecasts.update(now) {
            self.update_speed_classes();
        }
        let Self { forecasts, forecast_errors, .. } = self;
        forecast_errors.sample(now, |run| forecasts.remaining(run, now).map(|remaining| remaining.median_ms));
        if let Some(line) = forecast_errors.take_line(now) {
            self.log_line(line);
        }
        self.log_speeds(now);
    }

    fn update_speed_classes(&mut self) {
        // Workers of a service that was removed may still run accepted jobs.
        let announced = self.workers.values().map(|worker| &worker.info.service);
        let services: BTreeSet<&String> = self.desired.services.keys().chain(announced).collect();
        for service in services {
            let queues = self.desired.queues.iter();
            let urgent = queues.filter(|queue| queue.service == *service && queue.priority == 0);
            let stretch_milli = urgent.map(|queue| queue.stretch_milli).min().unwrap_or(0);
            let workers = self.workers.values().filter(|worker| worker.info.service == *service);
            let known = workers.filter_map(|worker| self.forecasts.speeds().get(&worker.info.incarnation));
            let speeds = known.map(|speed| speed.milli).collect();
            let counted = self.speed_classes.contains_key(service);
            let classes = SpeedClasses::new(speeds, stretch_milli, counted);
            if classes.is_some() != counted {
                self.log.push(match classes {
                    Some(SpeedClasses { urgent_milli, fast_milli }) => format!(
                        "event=speeds_count service={service} urgent_milli={urgent_milli} fast_milli={fast_milli}"
                    ),
                    None => format!("event=speeds_ignored service={service}"),
                });
            }
            match classes {
                Some(classes) => _ = self.speed_classes.insert(service.clone(), classes),
                None => _ = self.speed_classes.remove(service),
            }
        }
    }

    /// Returns the classes of the speeds of the workers that may run a queue's jobs; `None` where speeds don't count.
    pub(crate) fn speed_classes_of(&self, queue: &Queue) -> Option<&SpeedClasses> {
        self.speed_classes.get(&queue.service)
    }

    /// Returns the speed of the slowest worker on which a member of a subtask's unit is placed: a gang advances as fast as
    /// its slowest member.
    pub(crate) fn slowest_member_milli(&self, task: &Task) -> u64 {
        let unit = self.unit_of(task).and_then(|(key, _)| self.jobs.get(&task.job)?.units.get(&key));
        let members = unit.into_iter().flat_map(|unit| &unit.members);
        members.map(|member| self.forecasts.speed(&member.worker).milli).min().unwrap_or(1_000)
    }

    /// Returns the range of the workers' known speeds; `None` while none is known.
    pub fn speed_summary(&self) -> Option<SpeedSummary> {
        let mut speeds: Vec<u64> = self.forecasts.speeds().values().map(|speed| speed.milli).collect();
        speeds.sort_unstable();
        Some(SpeedSummary {
            known: speeds.len(),
            slowest_milli: *speeds.first()?,
            median_milli: speeds[(speeds.len() - 1) / 2],
            fastest_milli: *speeds.last()?,
        })
    }

    fn log_speeds(&mut self, now: u64) {
        if self.speeds_logged_at.is_some_and(|at| now < at + SUMMARY_INTERVAL_MS) {
            return;
        }
        let Some(summary) = self.speed_summary() else { return };
        self.speeds_logged_at = Some(now);
        let SpeedSummary { known, slowest_milli, median_milli, fastest_milli } = summary;
        let workers = self.workers.len();
        self.log_line(format!(
            "event=worker_speeds workers={workers} known={known} slowest_milli={slowest_milli} \
             median_milli={median_milli} fastest_milli={fastest_milli}"
        ));
    }
}
