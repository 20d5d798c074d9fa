//! What a job is worth to its caller, and what stopping work costs.
//!
//! Answers overload: when not everything can be served in time, room goes to what earns most for it.

use crate::desired::Queue;
use crate::job::{Job, Submission};
use crate::planner::Planner;
use crate::unit::{Unit, UnitKey, UnitState};

/// Relative worth of a mean job by the urgency of its queue, from the users' sheets; less urgent queues have the
/// last one.
const WORTH_BY_PRIORITY: [f64; 3] = [4.0, 3.0, 1.0];

/// Part of a job's worth that does not depend on its size, from the users' rules.
const FIXED_PART: f64 = 0.3;

/// Most that a job is worth, as a multiple of a mean job of its queue, from the users' rules.
const MOST_MULTIPLE: f64 = 4.0;

/// Part of the worth that is left when a job ends late, between the sheets' 0.2 and 0.5.
const LATE_PART: f64 = 0.3;

/// Price of work that is thrown away, in worth a core-second, from the users' price list.
const WASTE_PER_CORE_S: f64 = 0.0019;

/// Time of work on a slow worker or with a low estimate, in thousandths: the users' workers differ by a quarter.
const SLOW_WORKER_MILLI: u64 = 1_250;

/// Work of a mean job while nothing is known of a queue, in core-seconds, from the users' sheets.
const MEAN_WORK_CORE_S: f64 = 900.0;

/// Weight of a new job in the running mean of a queue's work.
const MEAN_GAIN: f64 = 0.05;

/// Running mean of the work of a queue's jobs, in core-seconds.
#[derive(Clone, Copy, Debug)]
pub struct MeanWork(f64);

impl Default for MeanWork {
    fn default() -> Self {
        Self(MEAN_WORK_CORE_S)
    }
}

impl MeanWork {
    /// Takes a job into the mean.
    pub fn note(&mut self, core_s: f64) {
        self.0 += (core_s - self.0) * MEAN_GAIN;
    }

    /// Returns the worth of a job that takes `core_s` core-seconds, when it ends in time.
    pub fn worth(&self, priority: u32, core_s: f64) -> f64 {
        let of_kind = WORTH_BY_PRIORITY.get(priority as usize).or(WORTH_BY_PRIORITY.last());
        let multiple = FIXED_PART + (1.0 - FIXED_PART) * core_s / self.0.max(1.0);
        of_kind.copied().unwrap_or(1.0) * multiple.min(MOST_MULTIPLE)
    }
}

/// Jobs that count as known before any has ended: half of them in time.
const PRIOR_JOBS: u32 = 4;

/// How often jobs of a queue that room was made for ended in time. Room that is made costs for certain what it may
/// earn: estimates are off, and workers fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct Successes {
    made: u32,
    in_time: u32,
}

impl Successes {
    /// Counts an ended job that room was made for.
    pub fn note(&mut self, in_time: bool) {
        self.made += 1;
        self.in_time += u32::from(in_time);
    }

    /// Returns the share to expect of the next one.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time + PRIOR_JOBS / 2) / f64::from(self.made + PRIOR_JOBS)
    }
}

/// Returns the work of one occurrence of a submission by its estimates, in core-seconds; an accelerator counts as
/// several cores.
pub fn work_core_s(sub: &Submission) -> f64 {
    let step = |step: &crate::job::Step| {
        step.resources.weight() as f64 / 1_000.0 * f64::from(step.count) * step.estimate_ms as f64 / 1_000.0
    };
    sub.steps.iter().map(step).sum()
}

/// How much of a job's worth can still be earned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// It can end in time if it starts now.
    InTime,
    /// It can end late.
    Late,
    /// It is worth nothing any more, but was accepted and will run.
    Worthless,
}

/// Times of a unit that waits, on the wall clock in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Latest start for an end in time.
    pub in_time: u64,
    /// Latest start for an end that is late but worth something.
    pub late: u64,
}

impl Times {
    /// Returns the times of the units of a step of a job.
    pub fn new(job: &Job, queue: &Queue, key: UnitKey) -> Self {
        let from = job.due_ms(key.occurrence).unwrap_or(job.accepted_ms);
        let target = job.chain_ms() * queue.stretch_milli / 1_000 + queue.full_value_ms;
        let rest = job.chain_from_ms(key.step) * SLOW_WORKER_MILLI / 1_000;
        Self { in_time: (from + target).saturating_sub(rest), late: (from + 3 * target).saturating_sub(rest) }
    }

    /// Returns the prospect of a start at `wall`.
    pub fn prospect(&self, wall: u64) -> Prospect {
        match wall {
            wall if wall <= self.in_time => Prospect::InTime,
            wall if wall <= self.late => Prospect::Late,
            _ => Prospect::Worthless,
        }
    }
}

/// Returns the worth that can still be earned with a prospect.
pub fn earnable(worth: f64, prospect: Prospect) -> f64 {
    match prospect {
        Prospect::InTime => worth,
        Prospect::Late => worth * LATE_PART,
        Prospect::Worthless => 0.0,
    }
}

impl Planner {
    /// Returns what ending a placed unit's run now costs, in worth: the work thrown away, and what its job may
    /// lose by the delay.
    pub fn cost_of_stop(&self, now: u64, wall: u64, job: &Job, key: UnitKey, unit: &Unit) -> f64 {
        if unit.state == UnitState::Ending {
            // It is being ended anyway.
            return 0.0;
        }
        let Some(step) = job.sub.steps.get(key.step as usize) else { return 0.0 };
        let Some(queue) = self.desired.queue(&job.sub.queue) else { return 0.0 };
        let ran_ms = now.saturating_sub(unit.since);
        let unsaved_ms =
            if step.saves_progress || step.long_running { ran_ms.min(SAVE_EVERY_MS) } else { ran_ms };
        let cores = step.resources.weight() as f64 / 1_000.0 * unit.members.len() as f64;
        let waste = WASTE_PER_CORE_S * cores * unsaved_ms as f64 / 1_000.0;
        if step.long_running {
            return waste;
        }
        let work = work_core_s(&job.sub);
        let worth = self.mean_work(&job.sub.queue).worth(queue.priority, work);
        let times = Times::new(job, queue, key);
        let keeps = if step.saves_progress { ran_ms } else { 0 };
        // Left to run it would have started when it was placed; stopped it starts again after a while.
        let before = earnable(worth, times.prospect(wall.saturating_sub(ran_ms)));
        let after = earnable(worth, times.prospect((wall + REPLACE_MS).saturating_sub(keeps)));
        waste + (before - after).max(0.0)
    }

    pub(crate) fn mean_work(&self, queue: &str) -> MeanWork {
        self.mean_work.get(queue).copied().unwrap_or_default()
    }
}

/// Time between two saves of progress, in milliseconds.
const SAVE_EVERY_MS: u64 = 500;

/// Time after which a run that was stopped is expected to run again, in milliseconds.
const REPLACE_MS: u64 = 3_000;
