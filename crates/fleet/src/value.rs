//! Value of a job to its caller, and what the cost of stopping a run follows from.
//!
//! Under overload not every job can end in time; resources then go to the jobs with the highest value
//! per core-second.

use std::collections::BTreeMap;

use crate::desired::Queue;
use crate::job::{Job, Submission};
use crate::planner::Planner;
use crate::stops::{SLOW_WORKER_FACTOR_MILLI, StoppableRun};
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
    /// Returns the mean in core-seconds.
    pub fn core_s(&self) -> f64 {
        self.0
    }

    /// Creates the mean from core-seconds.
    pub fn with_core_s(core_s: f64) -> Self {
        Self(core_s)
    }

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
    /// Creates the outcomes of `total` jobs.
    pub fn new(total: u32, in_time: u32) -> Self {
        Self { total, in_time }
    }

    /// Returns the number of jobs, and of those in time.
    pub fn counts(&self) -> (u32, u32) {
        (self.total, self.in_time)
    }

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

/// What the runs of a job have in common when the cost of their stops is computed.
#[derive(Clone, Debug)]
pub struct JobProgress<'a> {
    job: &'a Job,
    queue: &'a Queue,
    value: f64,
    /// Longest measured work of the runs of a step, in milliseconds, by occurrence and step.
    work_ms: BTreeMap<(u32, u32), u64>,
    /// The two measured runs of an occurrence after which the job takes longest, with that time in milliseconds, longest
    /// first.
    longest: BTreeMap<u32, Vec<(u64, UnitKey)>>,
}

impl JobProgress<'_> {
    /// Returns the time until the job's other runs and the steps after them are done, as far as measured.
    fn others_ms(&self, key: UnitKey) -> u64 {
        let longest = self.longest.get(&key.occurrence).into_iter().flatten();
        longest.filter(|(_, other)| *other != key).map(|(ms, _)| *ms).max().unwrap_or(0)
    }

    /// Returns the target of an occurrence by measured work, which callers judge by; a step without counts with its
    /// declared estimate.
    fn measured_target_ms(&self, occurrence: u32) -> u64 {
        let mut ends: Vec<u64> = Vec::new();
        for (number, step) in (0..).zip(&self.job.sub.steps) {
            let start_ms = step.depends_on.iter().filter_map(|before| ends.get(*before as usize)).max();
            let work_ms = self.work_ms.get(&(occurrence, number)).copied().unwrap_or(step.estimate_ms);
            ends.push(start_ms.copied().unwrap_or(0) + work_ms);
        }
        let path_ms = ends.into_iter().max().unwrap_or(0);
        path_ms * self.queue.stretch_milli / 1_000 + self.queue.full_value_ms
    }
}

/// Returns the estimated time of the longest chain of steps after a step, in milliseconds.
fn following_ms(job: &Job, step: u32) -> u64 {
    let own_ms = job.sub.steps.get(step as usize).map_or(0, |step| step.estimate_ms);
    job.critical_path_from_ms(step).saturating_sub(own_ms) * SLOW_WORKER_FACTOR_MILLI / 1_000
}

impl Planner {
    /// Returns what the stops of a job's runs have in common; `None` if the terms of its queue are unknown.
    pub fn job_progress<'a>(&'a self, now: u64, job: &'a Job) -> Option<JobProgress<'a>> {
        let queue = job.queue()?;
        let mut progress = JobProgress {
            job,
            queue,
            value: self.mean_work(&job.sub.queue).value(queue.priority, estimated_work_core_s(&job.sub)),
            work_ms: BTreeMap::new(),
            longest: BTreeMap::new(),
        };
        for (key, unit) in &job.units {
            let work_ms = match unit.state {
                UnitState::Done => unit.measured_work_ms,
                UnitState::Placed => self.measured_work_ms(unit).unwrap_or(0),
                UnitState::Waiting | UnitState::Ending => 0,
            };
            if work_ms > 0 {
                let longest = progress.work_ms.entry((key.occurrence, key.step)).or_default();
                *longest = work_ms.max(*longest);
            }
            if unit.state == UnitState::Placed
                && let Some(remaining) = self.remaining_of_unit(now, &job.sub.job, *key, unit)
            {
                let longest = progress.longest.entry(key.occurrence).or_default();
                longest.push((remaining.median_ms + following_ms(job, key.step), *key));
                longest.sort_by(|one, other| other.cmp(one));
                longest.truncate(2);
            }
        }
        Some(progress)
    }

    /// Returns the work of a unit's newest run by its measured rate, in milliseconds on a worker of the fleet's mean speed.
    fn measured_work_ms(&self, unit: &Unit) -> Option<u64> {
        let speed = |worker: &str| self.forecasts.speed(worker).milli;
        // A gang advances with its slowest member.
        let milli = unit.members.iter().map(|member| speed(&member.worker)).min()?;
        Some(unit.measured_duration_ms()? * milli / 1_000)
    }

    /// Returns a placed unit's run with what the cost of stopping it now follows from.
    pub fn stoppable_run(
        &self,
        now: u64,
        wall: u64,
        progress: &JobProgress,
        key: UnitKey,
        unit: &Unit,
    ) -> Option<StoppableRun> {
        let JobProgress { job, queue, value, .. } = progress;
        let step = job.sub.steps.get(key.step as usize)?;
        // A planner that did not place the run knows only its progress.
        let done_ms = unit.measured_duration_ms().map_or(0, |ms| ms * unit.percent() / 100);
        let done_ms = if unit.placed_at.is_none() { done_ms } else { 0 };
        let ran_ms = now.saturating_sub(unit.since).max(done_ms);
        let remaining = self.remaining_of_unit(now, &job.sub.job, key, unit);
        // Without either, the reports say nothing of how old its checkpoint is.
        let is_measured = remaining.is_some() || unit.has_reported_checkpoint();
        let unsaved_ms = match (step.long_running, step.saves_progress) {
            // What a long-running subtask has served is not lost.
            (true, _) => ran_ms.min(CHECKPOINT_INTERVAL_MS),
            (false, true) if is_measured => unit.unsaved_ms(now).min(ran_ms),
            (false, true) => ran_ms.min(CHECKPOINT_INTERVAL_MS),
            (false, false) => ran_ms,
        };
        let declared_ms = job.critical_path_ms() * queue.stretch_milli / 1_000 + queue.full_value_ms;
        let target_ms = remaining.map_or(declared_ms, |_| progress.measured_target_ms(key.occurrence));
        let age_ms = wall as i64 - job.due_ms(key.occurrence).unwrap_or(job.accepted_ms) as i64;
        Some(StoppableRun {
            cores: step.resources.weight() as f64 / 1_000.0 * unit.members.len() as f64,
            ran_ms,
            unsaved_ms,
            estimate_ms: step.estimate_ms,
            percent: unit.percent(),
            remaining_ms: remaining.map(|remaining| remaining.median_ms),
            following_ms: following_ms(job, key.step),
            others_ms: progress.others_ms(key),
            stop_ms: self.timing.stop_ms,
            restart_ms: RESTART_DELAY_MS,
            value: *value,
            in_time_for_ms: target_ms as i64 - age_ms,
            late_for_ms: 3 * target_ms as i64 - age_ms,
            is_long_running: step.long_running,
        })
    }

    pub(crate) fn mean_work(&self, queue: &str) -> MeanWork {
        self.mean_work.get(queue).copied().unwrap_or_default()
    }
}

/// Assumed time between two checkpoints of a run that reports neither progress nor checkpoints.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// Expected time from the stop of a run to its next start.
const RESTART_DELAY_MS: u64 = 3_000;
