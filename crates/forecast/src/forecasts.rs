//! The forecasts of a fleet.

use std::collections::{BTreeMap, VecDeque};

use crate::progress::{Mark, Progress, RunId, Track};
use crate::speeds::{self, Observation, Speed};
use crate::stats::quantile;

/// Settings of the forecasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Shortest time between two computations of the speeds, in milliseconds.
    pub update_interval_ms: u64,
    /// Newest runs of a worker that its speed follows from; older ones are forgotten.
    pub runs_per_worker: usize,
    /// Newest steps of a queue that the correction of its estimates follows from.
    pub steps_per_queue: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { update_interval_ms: 250, runs_per_worker: 24, steps_per_queue: 48 }
    }
}

/// Range of the remaining time of a run, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// One run in ten takes less.
    pub low_ms: u64,
    pub median_ms: u64,
    /// One run in ten takes longer.
    pub high_ms: u64,
}

/// Ratio of the actual work of a queue's steps to their declared estimates, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Correction {
    pub lower_quartile_milli: u64,
    pub median_milli: u64,
    pub upper_quartile_milli: u64,
    /// Number of steps that it follows from.
    pub steps: usize,
}

impl Default for Correction {
    fn default() -> Self {
        Self { lower_quartile_milli: 1_000, median_milli: 1_000, upper_quartile_milli: 1_000, steps: 0 }
    }
}

/// Forecasts from the reported progress of all runs. Old evidence gives way to new.
#[derive(Clone, Debug, Default)]
pub struct Forecasts {
    settings: Settings,
    /// Runs in progress.
    tracks: BTreeMap<RunId, Track>,
    /// Rates of the newest runs of each worker, oldest first.
    observations: BTreeMap<String, Vec<Observation>>,
    speeds: BTreeMap<String, Speed>,
    /// Logarithms of the ratio of work to estimate, oldest first, by queue.
    ratios: BTreeMap<String, VecDeque<(RunId, f64)>>,
    updated_at: Option<u64>,
    changed: bool,
}

impl Forecasts {
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records the progress that a worker reports of a run, in percent.
    pub fn record_progress(&mut self, now: u64, worker: &str, run: &RunId, percent: u64) -> Progress {
        if percent > 100 {
            return Progress::Invalid("progress over 100 percent");
        }
        let mark = Mark { at: now, percent };
        let Some(track) = self.tracks.get_mut(run).filter(|track| track.worker == worker) else {
            self.tracks.insert(run.clone(), Track::new(worker, mark));
            return Progress::Used;
        };
        let progress = track.record(mark);
        let rate = match progress {
            Progress::Used => track.rate(),
            Progress::Unchanged => track.rate_if_stalled(now),
            Progress::Invalid(_) => None,
        };
        if let Some(rate) = rate {
            self.observe(worker, run, rate);
        }
        progress
    }

    fn observe(&mut self, worker: &str, run: &RunId, rate: f64) {
        let log_rate = rate.max(f64::MIN_POSITIVE).ln();
        let runs = self.observations.entry(worker.to_owned()).or_default();
        match runs.iter_mut().find(|known| known.run == *run) {
            Some(known) => known.log_rate = log_rate,
            None => runs.push(Observation { run: run.clone(), log_rate }),
        }
        let excess = runs.len().saturating_sub(self.settings.runs_per_worker.max(1));
        runs.drain(..excess);
        self.changed = true;
    }

    /// Records the end of a run of a queue's job. `ran_ms` is its duration if it ended with its result; the ratio of its
    /// work to `estimate_ms` then counts for the queue, once for each step.
    pub fn record_end(
        &mut self,
        worker: &str,
        run: &RunId,
        queue: &str,
        estimate_ms: u64,
        ran_ms: Option<u64>,
    ) {
        self.tracks.remove(run);
        let Some(ran_ms) = ran_ms.filter(|ms| *ms > 0) else { return };
        let work_ms = ran_ms as f64 * self.speed(worker).milli as f64 / 1_000.0;
        let log_ratio = (work_ms / estimate_ms.max(1) as f64).ln();
        let ratios = self.ratios.entry(queue.to_owned()).or_default();
        if ratios.iter().any(|(known, _)| known.step == run.step) {
            return;
        }
        ratios.push_back((run.clone(), log_ratio));
        if ratios.len() > self.settings.steps_per_queue.max(1) {
            ratios.pop_front();
        }
    }

    /// Forgets a run that ended without a result.
    pub fn remove_run(&mut self, run: &RunId) {
        self.tracks.remove(run);
    }

    /// Forgets a worker incarnation; the next one of its name may be of another kind.
    pub fn remove_worker(&mut self, worker: &str) {
        self.observations.remove(worker);
        self.speeds.remove(worker);
        self.tracks.retain(|_, track| track.worker != worker);
    }

    /// Computes the speeds anew if there is new evidence and the last time is long enough ago; returns whether it did.
    pub fn update(&mut self, now: u64) -> bool {
        let is_due = self.updated_at.is_none_or(|at| now >= at + self.settings.update_interval_ms);
        if !self.changed || !is_due {
            return false;
        }
        self.speeds = speeds::compute(&self.observations);
        (self.updated_at, self.changed) = (Some(now), false);
        true
    }

    /// Returns the speed of a worker; that of the fleet's mean, without runs, if nothing is known of it.
    pub fn speed(&self, worker: &str) -> Speed {
        self.speeds.get(worker).copied().unwrap_or_default()
    }

    /// Returns the speeds of the workers of which something is known.
    ///
    /// A new planner relearns them from the reports.
    pub fn speeds(&self) -> &BTreeMap<String, Speed> {
        &self.speeds
    }

    /// Returns the speed of the slowest worker of which something is known, in thousandths of the fleet's mean.
    pub fn slowest_milli(&self) -> u64 {
        self.speeds.values().map(|speed| speed.milli).min().unwrap_or(1_000)
    }

    /// Returns the range of the remaining time of a run; `None` until its progress has been measured.
    pub fn remaining(&self, run: &RunId, now: u64) -> Option<Remaining> {
        self.tracks.get(run)?.remaining(now)
    }

    /// Returns how far the declared estimates of a queue are off.
    pub fn correction(&self, queue: &str) -> Correction {
        let Some(ratios) = self.ratios.get(queue).filter(|ratios| !ratios.is_empty()) else {
            return Correction::default();
        };
        let mut logs: Vec<f64> = ratios.iter().map(|(_, log)| *log).collect();
        let mut milli = |rank: f64| (quantile(&mut logs, rank).exp() * 1_000.0).round() as u64;
        Correction {
            lower_quartile_milli: milli(0.25),
            median_milli: milli(0.5),
            upper_quartile_milli: milli(0.75),
            steps: ratios.len(),
        }
    }
}
