//! Value of a job to its caller, and cost of stopping a run.
//!
//! Under overload not every job can end in time; resources then go to the jobs with the highest value
//! per core-second.

use crate::desired::Queue;
use crate::job::{Job, Submission};
use crate::planner::Planner;
use crate::unit::{Unit, UnitKey, UnitState};

/// Relative value of a mean job by the priority of its queue, from the users' data sheets. Lower priorities have the
/// last value.
const VALUE_BY_PRIORITY: [f64; 3] = [4.0, 3.0, 1.0];

/// Share of a job's value that does not depend on its size, from the users' rules.
const FIXED_VALUE_SHARE: f64 = 0.3;

/// Maximum value of a job as a multiple of a mean job of its queue, from the users' rules.
const MAX_VALUE_MULTIPLE: f64 = 4.0;

/// Share of its value that a late job keeps, between the 0.2 and 0.5 of the users' data sheets.
const LATE_VALUE_SHARE: f64 = 0.3;

/// Cost of lost work, in the unit of a job's value, from the users' price list.
const LOST_WORK_COST_PER_CORE_S: f64 = 0.0019;

/// Factor for slow workers and low estimates, in thousandths: the speeds of the users' workers differ by a quarter.
const SLOW_WORKER_FACTOR_MILLI: u64 = 1_250;

/// Mean work of a queue's jobs before the first one, from the users' data sheets.
const INITIAL_MEAN_WORK_CORE_S: f64 = 900.0;

/// Weight of a new job in the moving average of a queue's work.
const MEAN_WORK_WEIGHT: f64 = 0.05;

/// Exponential moving average of the work of a queue's jobs, in core-seconds.
#[derive(Clone, Copy, Debug)]
pub struct MeanWork(f64);

impl Default for MeanWork {
    fn default() -> Self {
        Self(INITIAL_MEAN_WORK_CORE_S)
    }
}

impl MeanWork {
    pub fn record(&mut self, core_s: f64) {
        self.0 += (core_s - self.0) * MEAN_WORK_WEIGHT;
    }

    /// Returns the value of a job that takes `core_s` core-seconds and ends in time.
    pub fn value(&self, priority: u32, core_s: f64) -> f64 {
        let base_value = VALUE_BY_PRIORITY.get(priority as usize).or(VALUE_BY_PRIORITY.last());
        let multiple = FIXED_VALUE_SHARE + (1.0 - FIXED_VALUE_SHARE) * core_s / self.0.max(1.0);
        base_value.copied().unwrap_or(1.0) * multiple.min(MAX_VALUE_MULTIPLE)
    }
}

/// Assumed jobs that [`PreemptionOutcomes::expected_in_time_share`] adds to the recorded ones, half of them in time.
const PRIOR_JOBS: u32 = 4;

/// Outcomes of a queue's jobs for which runs were preempted. The cost of a preemption is certain but its gain is not:
/// estimates are wrong, and workers fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct PreemptionOutcomes {
    total: u32,
    in_time: u32,
}

impl PreemptionOutcomes {
    /// Counts an ended job for which runs were preempted.
    pub fn record(&mut self, in_time: bool) {
        self.total += 1;
        self.in_time += u32::from(in_time);
    }

    /// Returns the expected share of jobs that end in time.
    pub fn expected_in_time_share(&self) -> f64 {
        f64::from(self.in_time + PRIOR_JOBS / 2) / f64::from(self.total + PRIOR_JOBS)
    }
}

/// Returns the estimated work of one occurrence of a submission; an accelerator counts as several cores.
pub fn estimated_work_core_s(sub: &Submission) -> f64 {
    let step = |step: &crate::job::Step| {
        step.resources.weight() as f64 / 1_000.0 * f64::from(step.count) * step.estimate_ms as f64 / 1_000.0
    };
    sub.steps.iter().map(step).sum()
}

/// Whether a job can still end in time, which determines its attainable value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It ends in time if it starts now.
    InTime,
    /// It ends late, but with some value.
    Late,
    /// It ends too late to have a value, but runs nonetheless, as it was accepted.
    Missed,
}

/// Latest starts of a waiting unit, in milliseconds since 1970.
#[derive(Clone, Copy, Debug)]
pub struct LatestStarts {
    /// Latest start with which the job ends in time.
    pub in_time: u64,
    /// Latest start with which the job ends late but with some value.
    pub late: u64,
}

impl LatestStarts {
    /// Returns the latest starts of the units of a job's step.
    pub fn new(job: &Job, queue: &Queue, key: UnitKey) -> Self {
        Self::with_duration_factor(job, queue, key, SLOW_WORKER_FACTOR_MILLI)
    }

    /// Returns them for runs that take longer than their estimates by a factor, in thousandths.
    pub fn with_duration_factor(job: &Job, queue: &Queue, key: UnitKey, factor_milli: u64) -> Self {
        let ready_ms = job.due_ms(key.occurrence).unwrap_or(job.accepted_ms);
        let target_ms = job.critical_path_ms() * queue.stretch_milli / 1_000 + queue.full_value_ms;
        let remaining_ms = job.critical_path_from_ms(key.step) * factor_milli / 1_000;
        Self {
            in_time: (ready_ms + target_ms).saturating_sub(remaining_ms),
            late: (ready_ms + 3 * target_ms).saturating_sub(remaining_ms),
        }
    }

    /// Returns the timeliness of a start at `wall`.
    pub fn timeliness(&self, wall: u64) -> Timeliness {
        match wall {
            wall if wall <= self.in_time => Timeliness::InTime,
            wall if wall <= self.late => Timeliness::Late,
            _ => Timeliness::Missed,
        }
    }
}

pub fn attainable_value(value: f64, timeliness: Timeliness) -> f64 {
    match timeliness {
        Timeliness::InTime => value,
        Timeliness::Late => value * LATE_VALUE_SHARE,
        Timeliness::Missed => 0.0,
    }
}

impl Planner {
    /// Returns the cost of stopping a placed unit's run now, in the unit of a job's value: the lost work, and the
    /// value that the job may lose by the delay.
    pub fn stop_cost(&self, now: u64, wall: u64, job: &Job, key: UnitKey, unit: &Unit) -> f64 {
        if unit.state == UnitState::Ending {
            // It is being stopped already.
            return 0.0;
        }
        let Some(step) = job.sub.steps.get(key.step as usize) else { return 0.0 };
        let Some(queue) = self.desired.queue(&job.sub.queue) else { return 0.0 };
        let ran_ms = now.saturating_sub(unit.since);
        let unsaved_ms = if step.saves_progress || step.long_running {
            ran_ms.min(CHECKPOINT_INTERVAL_MS)
        } else {
            ran_ms
        };
        let cores = step.resources.weight() as f64 / 1_000.0 * unit.members.len() as f64;
        let lost_work_cost = LOST_WORK_COST_PER_CORE_S * cores * unsaved_ms as f64 / 1_000.0;
        if step.long_running {
            return lost_work_cost;
        }
        let work = estimated_work_core_s(&job.sub);
        let value = self.mean_work(&job.sub.queue).value(queue.priority, work);
        let latest_starts = LatestStarts::new(job, queue, key);
        let saved_ms = if step.saves_progress { ran_ms } else { 0 };
        // If it continues, it started when it was placed; if it is stopped, it starts again after `RESTART_DELAY_MS`.
        let value_if_kept = attainable_value(value, latest_starts.timeliness(wall.saturating_sub(ran_ms)));
        let value_if_stopped = attainable_value(
            value,
            latest_starts.timeliness((wall + RESTART_DELAY_MS).saturating_sub(saved_ms)),
        );
        lost_work_cost + (value_if_kept - value_if_stopped).max(0.0)
    }

    pub(crate) fn mean_work(&self, queue: &str) -> MeanWork {
        self.mean_work.get(queue).copied().unwrap_or_default()
    }
}

/// Assumed time between two checkpoints of a run.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// Expected time from the stop of a run to its next start.
const RESTART_DELAY_MS: u64 = 3_000;
