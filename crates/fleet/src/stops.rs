//! Cost of stopping a run: the work that is lost, and the value that its job loses by the delay.
//!
//! Designed for runs whose declared estimates are off by factors: what counts is the time that a run still takes by its
//! measured progress, and the age of its last checkpoint.

use std::fmt;

use derive_more::Display;

use crate::value::{Timeliness, attainable_value};

/// Cost of lost work, in the unit of a job's value, from the users' price list.
const LOST_WORK_COST_PER_CORE_S: f64 = 0.0019;

/// Factor for slow workers and low estimates, in thousandths: the speeds of the users' workers differ by a quarter.
pub const SLOW_WORKER_FACTOR_MILLI: u64 = 1_250;

/// Factor by which declared estimates are too low at worst, in thousandths, except for one run in thirty.
pub const MAX_ESTIMATE_ERROR_MILLI: u64 = 2_500;

/// Factor by which the estimate of one run in thirty is too low, in thousandths.
const OVERLONG_FACTOR_MILLI: u64 = 7_000;

/// Time that an order to stop and the report of the stop take, in milliseconds: agents report twice a second.
const STOP_REPORT_MS: u64 = 500;

/// Progress from which a run without a measured remaining time counts as nearly done.
const NEARLY_DONE_PERCENT: u64 = 85;

/// Age up to which a checkpoint counts as just written, in milliseconds.
const JUST_SAVED_MS: u64 = 500;

/// A run that may be stopped. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct StoppableRun {
    /// Cores of all its members; an accelerator counts as several.
    pub cores: f64,
    /// Time since its placement.
    pub ran_ms: u64,
    /// The part of it that a stop loses.
    pub unsaved_ms: u64,
    /// Declared duration.
    pub estimate_ms: u64,
    /// Reported progress.
    pub percent: u64,
    /// Time that it still takes, if its progress has been measured.
    pub remaining_ms: Option<u64>,
    /// Time that the longest chain of steps after it takes.
    pub following_ms: u64,
    /// Time until the job's other runs and the steps after them are done, as far as measured.
    pub others_ms: u64,
    /// Maximum duration of a stop.
    pub stop_ms: u64,
    /// Time from the stop until the next run starts.
    pub restart_ms: u64,
    /// Value of its job in time.
    pub value: f64,
    /// Time until its job is late; negative afterwards.
    pub in_time_for_ms: i64,
    /// Time until its job has no value; negative afterwards.
    pub late_for_ms: i64,
    pub is_long_running: bool,
}

/// What determines the cost of a stop; the logs have the name in lower case.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// It serves until its job is cancelled, and its job loses no value.
    Serving,
    /// Its end frees its resources hardly later than a stop.
    NearlyDone,
    /// Its job has no value left even if it goes on. A stop costs the lost work, which is done again later.
    Hopeless,
    /// It takes several times its declared estimate.
    Overlong,
    /// Its last checkpoint is recent.
    JustSaved,
    /// None of the others.
    Ordinary,
}

/// Cost of stopping a run now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopCost {
    /// In the unit of a job's value.
    pub cost: f64,
    pub cause: Cause,
    /// Timeliness of its job if the run goes on.
    pub if_kept: Timeliness,
    /// Timeliness of its job if the run is stopped.
    pub if_stopped: Timeliness,
}

impl StoppableRun {
    /// Returns the cost of stopping the run now.
    pub fn stop_cost(&self) -> StopCost {
        let lost_work_cost = LOST_WORK_COST_PER_CORE_S * self.cores * self.unsaved_ms as f64 / 1_000.0;
        if self.is_long_running {
            let (if_kept, if_stopped) = (Timeliness::InTime, Timeliness::InTime);
            return StopCost { cost: lost_work_cost, cause: Cause::Serving, if_kept, if_stopped };
        }
        let remaining_ms = self.expected_remaining_ms();
        let if_kept = self.timeliness(remaining_ms);
        let if_stopped = self.timeliness(self.restart_ms + self.unsaved_ms + remaining_ms);
        let lost_value = attainable_value(self.value, if_kept) - attainable_value(self.value, if_stopped);
        let cause = if self.is_nearly_done() {
            Cause::NearlyDone
        } else if if_kept == Timeliness::Missed {
            Cause::Hopeless
        } else if self.is_overlong() {
            Cause::Overlong
        } else if self.unsaved_ms < self.ran_ms && self.unsaved_ms <= JUST_SAVED_MS {
            Cause::JustSaved
        } else {
            Cause::Ordinary
        };
        StopCost { cost: lost_work_cost + lost_value.max(0.0), cause, if_kept, if_stopped }
    }

    /// Returns the time that the run still takes; without a measured one, by its declared estimate and the factors by
    /// which these are too low.
    fn expected_remaining_ms(&self) -> u64 {
        if let Some(remaining_ms) = self.remaining_ms {
            return remaining_ms;
        }
        let at_factor = |factor: u64| self.estimate_ms.saturating_mul(factor) / 1_000;
        let factors = [SLOW_WORKER_FACTOR_MILLI, MAX_ESTIMATE_ERROR_MILLI, OVERLONG_FACTOR_MILLI];
        let total_ms = factors.map(at_factor).into_iter().find(|total_ms| *total_ms >= self.ran_ms);
        total_ms.map_or(0, |total_ms| total_ms - self.ran_ms)
    }

    fn is_nearly_done(&self) -> bool {
        match self.remaining_ms {
            Some(remaining_ms) => remaining_ms <= self.stop_ms + STOP_REPORT_MS,
            None => self.percent >= NEARLY_DONE_PERCENT,
        }
    }

    fn is_overlong(&self) -> bool {
        let total_ms = self.ran_ms + self.remaining_ms.unwrap_or(0);
        total_ms > self.estimate_ms.saturating_mul(MAX_ESTIMATE_ERROR_MILLI) / 1_000
    }

    /// Returns the timeliness of the job if the run ends after `ms`.
    fn timeliness(&self, ms: u64) -> Timeliness {
        match (ms + self.following_ms).max(self.others_ms) as i64 {
            end_ms if end_ms <= self.in_time_for_ms => Timeliness::InTime,
            end_ms if end_ms <= self.late_for_ms => Timeliness::Late,
            _ => Timeliness::Missed,
        }
    }
}

/// Formats the inputs of a stop for the logs.
impl fmt::Display for StoppableRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ran_ms, unsaved_ms, estimate_ms, value, in_time_for_ms, .. } = self;
        write!(f, "ran {ran_ms} ms, unsaved {unsaved_ms} ms, remaining ")?;
        match self.remaining_ms {
            Some(remaining_ms) => write!(f, "{remaining_ms} ms")?,
            None => f.write_str("unmeasured")?,
        }
        write!(f, ", estimate {estimate_ms} ms, value {value:.2}, in time for {in_time_for_ms} ms")
    }
}

impl fmt::Display for StopCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cost, cause, if_kept, if_stopped } = self;
        write!(f, "{cause} run, cost {cost:.3}, {if_kept:?} if kept, {if_stopped:?} if stopped")
    }
}
