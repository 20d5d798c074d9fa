//! Feeds the forecasts with the progress and the ends that workers report.

use sorrelland_forecast::{Progress, Remaining, RunId};

use crate::desired::Queue;
use crate::job::Step;
use crate::planner::Planner;
use crate::report::{End, EndReason, Running};
use crate::task::Task;
use crate::timing::SpeedClasses;
use crate::unit::{Unit, UnitKey};
use crate::worker::Worker;

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

    /// Records the end of a run that the planner had placed.
    pub(crate) fn forecast_end(&mut self, now: u64, incarnation: &str, end: &End) {
        let id = run_id(&end.task, end.run);
        let unit = self.unit_of(&end.task);
        let job = self.jobs.get(&end.task.job);
        let Some(((key, _), job)) = unit.zip(job) else { return self.forecasts.remove_run(&id) };
        let step = job.sub.steps.get(key.step as usize);
        let Some((step, worker)) = step.zip(self.workers.get(incarnation)) else {
            return self.forecasts.remove_run(&id);
        };
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
        if !self.forecasts.update(now) {
            return;
        }
        for service in self.desired.services.keys() {
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
}
