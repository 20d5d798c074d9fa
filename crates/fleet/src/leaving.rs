//! Workers that announce when they shut down, and which of their runs are stopped before.
//!
//! Designed for workers that leave with a notice of seconds to a minute: whatever still runs when the time is up is lost.
//! A run that saves progress goes on until its checkpoint has to be written; one that saves nothing and can't end in time
//! only wastes what it still does there.

use std::collections::BTreeMap;

use derive_more::Display;
use sorrelland_forecast::Remaining;

use crate::job::Step;
use crate::planner::Planner;
use crate::report::WorkerInfo;
use crate::stops::MAX_ESTIMATE_ERROR_MILLI;
use crate::unit::{UnitKey, UnitState};

/// Time that a stop needs on top of its own duration, in milliseconds: the announced time may be half a second old, since
/// agents report twice a second, and the order to stop and the report of the checkpoint may each be repeated once.
pub const STOP_DELIVERY_MS: u64 = 1_000;

/// Difference by which an announced time has to move a departure back to count as a change, in milliseconds. Smaller
/// ones come from reports that took longer.
const MIN_POSTPONEMENT_MS: u64 = 2_000;

/// When a worker shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// On the monotonic clock.
    pub at: u64,
    /// Remaining time that the worker announced last, in milliseconds.
    announced_ms: u64,
}

impl Departure {
    /// Returns the departure that a worker's announcement leads to, given the previous one; `None` if it doesn't leave or
    /// doesn't say when.
    ///
    /// Agents repeat an announcement until the next one, so only a changed time counts from now on.
    pub fn update(previous: Option<Self>, now: u64, info: &WorkerInfo) -> Option<Self> {
        let announced_ms = info.remaining_ms.filter(|_| info.draining)?;
        let announced = Self { at: now.saturating_add(announced_ms), announced_ms };
        match previous {
            Some(previous) if previous.announced_ms == announced_ms => Some(previous),
            Some(previous) if announced.at < previous.at.saturating_add(MIN_POSTPONEMENT_MS) => {
                Some(Self { at: announced.at.min(previous.at), announced_ms })
            }
            _ => Some(announced),
        }
    }

    /// Returns the time until the worker shuts down, in milliseconds.
    pub fn left_ms(&self, now: u64) -> u64 {
        self.at.saturating_sub(now)
    }
}

/// A run of a unit with a member on a worker that leaves. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeavingRun {
    /// Time until the first of its workers shuts down.
    pub left_ms: u64,
    /// Time since its placement; 0 if an earlier planner placed it.
    pub ran_ms: u64,
    /// Declared duration.
    pub estimate_ms: u64,
    /// Time that it still takes, if its progress has been measured.
    pub remaining: Option<Remaining>,
    /// Maximum duration of a stop.
    pub stop_ms: u64,
    pub saves_progress: bool,
    pub is_long_running: bool,
    /// Whether its step limits how many of its subtasks may be unavailable.
    pub has_unavailability_limit: bool,
}

/// What to do with a run whose worker leaves.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Decision {
    /// It ends in time, or its stop gains nothing.
    #[display("kept")]
    Keep,
    /// It goes on until its progress has to be saved.
    #[display("stopped later")]
    StopLater,
    /// There is just enough time left for its stop.
    #[display("stopped while a checkpoint can be written")]
    StopToSave,
    /// It saves nothing and can't end in time.
    #[display("stopped as it saves nothing and can't end in time")]
    StopAsLost,
}

impl Decision {
    /// Returns whether the run is stopped now.
    pub fn is_stop(&self) -> bool {
        matches!(self, Self::StopToSave | Self::StopAsLost)
    }
}

impl LeavingRun {
    pub fn decide(&self) -> Decision {
        if self.has_unavailability_limit || self.certainly_ends_in_time() {
            return Decision::Keep;
        }
        if self.saves_progress || self.is_long_running {
            // A long-running subtask is of use until the end, and starts elsewhere sooner than after the loss of its worker.
            return match self.left_ms <= self.stop_ms + STOP_DELIVERY_MS {
                true => Decision::StopToSave,
                false => Decision::StopLater,
            };
        }
        let is_certainly_lost = self.remaining.is_some_and(|remaining| remaining.low_ms > self.left_ms);
        match is_certainly_lost && self.left_ms > self.stop_ms {
            true => Decision::StopAsLost,
            false => Decision::Keep,
        }
    }

    fn certainly_ends_in_time(&self) -> bool {
        if self.is_long_running {
            return false;
        }
        if let Some(remaining) = self.remaining {
            return remaining.high_ms < self.left_ms;
        }
        // A run that takes longer than that is the exception whose estimate says nothing.
        let longest_ms = self.estimate_ms.saturating_mul(MAX_ESTIMATE_ERROR_MILLI) / 1_000;
        self.ran_ms < longest_ms && longest_ms < self.ran_ms.saturating_add(self.left_ms)
    }
}

impl Planner {
    /// Stops the runs that would be lost with a worker that leaves.
    pub(crate) fn stop_leaving_runs(&mut self, now: u64) {
        for ((name, key), (left_ms, worker)) in self.units_on_leaving_workers(now) {
            let Some(run) = self.leaving_run(now, &name, key, left_ms) else { continue };
            let decision = run.decide();
            if !decision.is_stop() {
                continue;
            }
            let unit = self.jobs.get(&name).and_then(|job| job.units.get(&key));
            let unsaved_ms = unit.map_or(0, |unit| unit.unsaved_ms(now));
            let remaining = run.remaining.map_or_else(
                || "unmeasured".to_owned(),
                |remaining| format!("{} to {} ms", remaining.low_ms, remaining.high_ms),
            );
            let reason = format!(
                "worker {worker} leaves in {left_ms} ms: {decision}, remaining {remaining}, ran {} ms, \
                 unsaved {unsaved_ms} ms",
                run.ran_ms
            );
            self.evict(now, &name, key, &reason);
        }
    }

    /// Returns the placed units with members on workers that leave, each with the shortest time until one of them shuts
    /// down and the name of that worker.
    fn units_on_leaving_workers(&self, now: u64) -> BTreeMap<(String, UnitKey), (u64, String)> {
        let mut units: BTreeMap<(String, UnitKey), (u64, String)> = BTreeMap::new();
        for worker in self.workers.values() {
            let Some(departure) = worker.departure else { continue };
            let left = (departure.left_ms(now), worker.info.incarnation.clone());
            for (task, _) in &worker.placed {
                let Some((key, _)) = self.unit_of(task) else { continue };
                let earliest = units.entry((task.job.clone(), key)).or_insert_with(|| left.clone());
                if left < *earliest {
                    earliest.clone_from(&left);
                }
            }
        }
        units
    }

    fn leaving_run(&self, now: u64, name: &str, key: UnitKey, left_ms: u64) -> Option<LeavingRun> {
        let job = self.jobs.get(name)?;
        let unit = job.units.get(&key).filter(|unit| unit.state == UnitState::Placed)?;
        let step: &Step = job.sub.steps.get(key.step as usize)?;
        Some(LeavingRun {
            left_ms,
            ran_ms: unit.placed_at.map_or(0, |at| now.saturating_sub(at)),
            estimate_ms: step.estimate_ms,
            remaining: self.remaining_of_unit(now, name, key, unit),
            stop_ms: self.timing.stop_ms,
            saves_progress: step.saves_progress,
            is_long_running: step.long_running,
            has_unavailability_limit: step.max_unavailable.is_some(),
        })
    }
}
