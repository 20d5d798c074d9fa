//! The forecasts of a fleet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::progress::{Mark, Progress, RunId, StepId, Track};
use crate::speeds::{self, Observation, Speed};
use crate::stats::{median, quantile};

/// Newest ended runs of a step that count for the ratio of its work to its estimate.
const RUNS_PER_STEP: usize = 32;

/// Observations that are computed at the shortest interval. More take longer, so that the share of a core that updates take
/// stays below 1%: 4,000 take about 2 ms.
const OBSERVATIONS_PER_INTERVAL: usize = 4_096;

/// Settings of the forecasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Shortest time between two computations of the speeds, in milliseconds.
    pub update_interval_ms: u64,
    /// Newest runs of a worker that its speed follows from; older ones are forgotten.
    pub runs_per_worker: usize,
    /// Newest steps of a queue that the correction of its estimates follows from.
    pub steps_per_queue: usize,
    /// Time after its last report at which a run without a reported end is forgotten, in milliseconds.
    pub report_retention_ms: u64,
    /// Runs in progress that are kept for one worker; the one reported least recently gives way.
    pub tracks_per_worker: usize,
    /// Queues with corrections; the one whose steps ended least recently gives way.
    pub queues: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            update_interval_ms: 250,
            runs_per_worker: 24,
            steps_per_queue: 48,
            report_retention_ms: 60_000,
            tracks_per_worker: 512,
            queues: 256,
        }
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

/// Ratios of a step's ended runs.
#[derive(Clone, Debug)]
struct StepRatios {
    step: StepId,
    /// Logarithms of the ratio of work to estimate, oldest first.
    logs: VecDeque<f64>,
}

impl StepRatios {
    fn median(&self) -> f64 {
        median(&mut self.logs.iter().copied().collect::<Vec<f64>>())
    }
}

/// Forecasts from the reported progress of all runs. Old evidence gives way to new.
///
/// Its memory is bounded by [`Settings`] for each worker and queue, whether or not runs report an end. Workers are kept
/// until [`Forecasts::remove_worker`].
#[derive(Clone, Debug, Default)]
pub struct Forecasts {
    settings: Settings,
    /// Runs in progress.
    tracks: BTreeMap<RunId, Track>,
    /// Number of runs in progress on each worker.
    track_counts: BTreeMap<String, usize>,
    /// Rates of the newest runs of each worker, oldest first.
    observations: BTreeMap<String, Vec<Observation>>,
    /// Workers that have reported progress; others may not report any.
    reporting: BTreeSet<String>,
    speeds: BTreeMap<String, Speed>,
    /// Speeds that an earlier instance had computed.
    inherited: BTreeMap<String, Speed>,
    /// Ratios of the newest steps of each queue, oldest first.
    ratios: BTreeMap<String, VecDeque<StepRatios>>,
    /// Queues in the order of their last ratio.
    queue_order: VecDeque<String>,
    updated_at: Option<u64>,
    expired_at: u64,
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
            self.remove_run(run);
            self.add_track(run, Track::new(worker, mark));
            return Progress::Used;
        };
        let progress = track.record(mark);
        let rate = match progress {
            Progress::Used => track.rate(),
            Progress::Unchanged => track.rate_if_stalled(now),
            Progress::Invalid(_) => return progress,
        };
        if progress == Progress::Used && !self.reporting.contains(worker) {
            self.reporting.insert(worker.to_owned());
        }
        if let Some(rate) = rate {
            self.observe(worker, run, rate, false);
        } else if let Some(bound) = track.rate_bound(now).filter(|_| self.reporting.contains(worker)) {
            self.observe(worker, run, bound, true);
        }
        progress
    }

    /// Records that a run was seen to start with a progress at a time in the past, if nothing is known of it.
    pub fn record_start(&mut self, at: u64, worker: &str, run: &RunId, percent: u64) {
        if percent <= 100 && !self.tracks.contains_key(run) {
            self.add_track(run, Track::from_start(worker, Mark { at, percent }));
        }
    }

    fn add_track(&mut self, run: &RunId, track: Track) {
        let count = self.track_counts.entry(track.worker.clone()).or_default();
        *count += 1;
        if *count > self.settings.tracks_per_worker.max(1) {
            let of_worker = self.tracks.iter().filter(|(_, known)| known.worker == track.worker);
            let oldest = of_worker.min_by_key(|(_, known)| known.reported_at).map(|(run, _)| run.clone());
            oldest.iter().for_each(|run| self.remove_run(run));
        }
        self.tracks.insert(run.clone(), track);
    }

    fn observe(&mut self, worker: &str, run: &RunId, rate: f64, is_bound: bool) {
        let Some(track) = self.tracks.get_mut(run) else { return };
        let log_rate = rate.max(f64::MIN_POSITIVE).ln();
        let runs = self.observations.entry(worker.to_owned()).or_default();
        match runs.iter_mut().find(|known| known.run == *run) {
            Some(known) => (known.log_rate, known.is_bound) = (log_rate, is_bound),
            // A run that has given way to newer ones stays out.
            None if track.is_observed => return,
            None => runs.push(Observation { run: run.clone(), log_rate, is_bound }),
        }
        track.is_observed = true;
        let excess = runs.len().saturating_sub(self.settings.runs_per_worker.max(1));
        runs.drain(..excess);
        self.changed = true;
    }

    /// Records the end of a run of a queue's job. `ran_ms` is its duration if it ended with its result; the ratio of its
    /// work to `estimate_ms` then counts for the queue, by the median of the runs of each step.
    pub fn record_end(
        &mut self,
        worker: &str,
        run: &RunId,
        queue: &str,
        estimate_ms: u64,
        ran_ms: Option<u64>,
    ) {
        self.remove_run(run);
        let Some(ran_ms) = ran_ms.filter(|ms| *ms > 0) else { return };
        let work_ms = ran_ms as f64 * self.speed(worker).milli as f64 / 1_000.0;
        let log_ratio = (work_ms / estimate_ms.max(1) as f64).ln();
        self.queue_order.retain(|known| known != queue);
        self.queue_order.push_back(queue.to_owned());
        if self.queue_order.len() > self.settings.queues.max(1)
            && let Some(oldest) = self.queue_order.pop_front()
        {
            self.ratios.remove(&oldest);
        }
        let steps = self.ratios.entry(queue.to_owned()).or_default();
        match steps.iter_mut().find(|known| known.step == run.step) {
            Some(known) => {
                known.logs.push_back(log_ratio);
                if known.logs.len() > RUNS_PER_STEP {
                    known.logs.pop_front();
                }
            }
            None => steps.push_back(StepRatios { step: run.step.clone(), logs: [log_ratio].into() }),
        }
        if steps.len() > self.settings.steps_per_queue.max(1) {
            steps.pop_front();
        }
    }

    /// Forgets a run that ended without a result.
    pub fn remove_run(&mut self, run: &RunId) {
        let Some(track) = self.tracks.remove(run) else { return };
        if let Some(count) = self.track_counts.get_mut(&track.worker) {
            *count -= 1;
            if *count == 0 {
                self.track_counts.remove(&track.worker);
            }
        }
    }

    /// Forgets a worker incarnation; the next one of its name may be of another kind.
    pub fn remove_worker(&mut self, worker: &str) {
        self.changed |= self.observations.remove(worker).is_some();
        self.speeds.remove(worker);
        self.inherited.remove(worker);
        self.reporting.remove(worker);
        self.track_counts.remove(worker);
        self.tracks.retain(|_, track| track.worker != worker);
    }

    /// Computes the speeds anew if there is new evidence and the last time is long enough ago; returns whether it did. The
    /// interval grows with the number of runs that the speeds follow from.
    ///
    /// Forgets runs that have not been reported for [`Settings::report_retention_ms`].
    pub fn update(&mut self, now: u64) -> bool {
        self.expire_tracks(now);
        let is_after = |intervals: usize| {
            let ms = self.settings.update_interval_ms * intervals as u64;
            self.updated_at.is_none_or(|at| now >= at + ms)
        };
        if !self.changed || !is_after(1) {
            return false;
        }
        let observations: usize = self.observations.values().map(Vec::len).sum();
        if !is_after(observations.div_ceil(OBSERVATIONS_PER_INTERVAL)) {
            return false;
        }
        self.speeds = speeds::combine(&self.inherited, speeds::compute(&self.observations));
        (self.updated_at, self.changed) = (Some(now), false);
        true
    }

    fn expire_tracks(&mut self, now: u64) {
        let retention_ms = self.settings.report_retention_ms;
        // Each check reads all tracks.
        if now < self.expired_at + retention_ms / 4 {
            return;
        }
        self.expired_at = now;
        let is_overdue = |track: &Track| now > track.reported_at + retention_ms;
        let overdue = self.tracks.iter().filter(|(_, track)| is_overdue(track));
        let overdue: Vec<RunId> = overdue.map(|(run, _)| run.clone()).collect();
        overdue.iter().for_each(|run| self.remove_run(run));
    }

    /// Returns the ratios of work to estimate of the newest steps of each queue, as natural logarithms, oldest first.
    pub fn step_ratios(&self) -> BTreeMap<&str, Vec<f64>> {
        let of_queue = |(queue, steps): (_, &VecDeque<StepRatios>)| {
            (queue, steps.iter().map(StepRatios::median).collect())
        };
        self.ratios.iter().map(|(queue, steps)| (queue.as_str(), steps)).map(of_queue).collect()
    }

    /// Takes over what an earlier instance knew: the speeds of workers, which count until as much is known of them anew,
    /// and the ratios of the newest steps by queue, as natural logarithms, oldest first.
    pub fn inherit(&mut self, speeds: BTreeMap<String, Speed>, ratios: BTreeMap<String, Vec<f64>>) {
        for (queue, logs) in ratios.into_iter().take(self.settings.queues.max(1)) {
            let newest = logs.len().saturating_sub(self.settings.steps_per_queue.max(1));
            let step = |(number, log): (u32, &f64)| StepRatios {
                // Jobs have names, so no later step is taken for one of these.
                step: (String::new(), 0, number),
                logs: [*log].into(),
            };
            self.queue_order.push_back(queue.clone());
            self.ratios.insert(queue, (0..).zip(&logs[newest..]).map(step).collect());
        }
        self.speeds.clone_from(&speeds);
        self.inherited = speeds;
    }

    /// Returns the number of runs in progress that are kept.
    pub fn runs(&self) -> usize {
        self.tracks.len()
    }

    /// Returns the speed of a worker; that of the fleet's mean, without runs, if nothing is known of it.
    pub fn speed(&self, worker: &str) -> Speed {
        self.speeds.get(worker).copied().unwrap_or_default()
    }

    /// Returns the speeds of the workers of which something is known.
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
        let mut logs: Vec<f64> = ratios.iter().map(StepRatios::median).collect();
        let mut milli = |rank: f64| (quantile(&mut logs, rank).exp() * 1_000.0).round() as u64;
        Correction {
            lower_quartile_milli: milli(0.25),
            median_milli: milli(0.5),
            upper_quartile_milli: milli(0.75),
            steps: ratios.len(),
        }
    }
}
