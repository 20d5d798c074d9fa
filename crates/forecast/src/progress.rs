//! Progress of single runs.

use crate::forecasts::Remaining;

/// A step of an occurrence of a job: the job's name, the occurrence and the step's number.
pub type StepId = (String, u32, u32);

/// Shortest time over which the rate of a run is measured, in milliseconds: reports have whole percents.
const MIN_MEASURED_MS: u64 = 400;

/// Smallest progress over which the rate of a run is measured, in percent. The rounding of both marks then has a standard
/// deviation of 20% of the rate, as the work of a step's subtasks has.
const MIN_MEASURED_PERCENT: u64 = 2;

/// Progress that a run has missed by its rate when it counts as stalled, in percent.
const STALLED_PERCENT: f64 = 12.0;

/// Progress after which older marks no longer count, in percent. A run that slows down shows it within twice this
/// progress, and the rounding of the marks stays below 5% of the rate.
const WINDOW_PERCENT: u64 = 20;

/// Largest first step from 0 that counts as progress, in percent. Workers report 0 when they don't know the progress and
/// before a run has loaded its saved progress.
const MAX_FIRST_STEP_PERCENT: u64 = 25;

/// One run of a subtask.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId {
    pub step: StepId,
    /// Index of the subtask in its step.
    pub index: u32,
    /// Number of the subtask's run.
    pub run: u64,
}

/// What a reported progress changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It is a new mark of the run.
    Used,
    /// The run reported the same before.
    Unchanged,
    /// It is impossible and changed nothing, for the given reason.
    Invalid(&'static str),
}

/// Progress of a run, in percent of its work, at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    pub at: u64,
    pub percent: u64,
}

/// Marks of a run that its rate follows from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Track {
    pub worker: String,
    /// Mark that the rate is measured from.
    pub first: Mark,
    /// Mark that the rate is measured from once the run has progressed by [`WINDOW_PERCENT`] since; `None` before the
    /// progress first changes.
    next_first: Option<Mark>,
    pub newest: Mark,
    /// Whether the rate is measured from a change of the progress. The first mark may be up to a report's interval old
    /// when it is first seen.
    is_first_change: bool,
    /// When the run was last reported, with whatever progress.
    pub reported_at: u64,
    /// Whether the rate of the run has been an observation of its worker.
    pub is_observed: bool,
}

impl Track {
    pub fn new(worker: &str, mark: Mark) -> Self {
        Self {
            worker: worker.to_owned(),
            first: mark,
            next_first: None,
            newest: mark,
            is_first_change: false,
            reported_at: mark.at,
            is_observed: false,
        }
    }

    /// Creates the track of a run that was seen to start with `mark`, whatever its next progress is.
    pub fn from_start(worker: &str, mark: Mark) -> Self {
        Self { next_first: Some(mark), ..Self::new(worker, mark) }
    }

    /// Adds a mark.
    pub fn record(&mut self, mark: Mark) -> Progress {
        self.reported_at = self.reported_at.max(mark.at);
        if mark.percent < self.newest.percent {
            return Progress::Invalid("progress went back");
        }
        if mark.percent == self.newest.percent {
            return Progress::Unchanged;
        }
        self.newest = mark;
        if let Some(next) =
            self.next_first.filter(|next| !self.is_first_change && Self::is_measured(*next, mark))
        {
            (self.first, self.is_first_change) = (next, true);
        }
        match self.next_first {
            None if self.first.percent == 0 && mark.percent > MAX_FIRST_STEP_PERCENT => {
                (self.first, self.next_first) = (mark, Some(mark));
            }
            None => self.next_first = Some(mark),
            Some(next) if mark.percent - next.percent >= WINDOW_PERCENT => {
                (self.first, self.next_first) = (next, Some(mark));
            }
            Some(_) => (),
        }
        Progress::Used
    }

    /// Returns whether progress between two marks is enough to be measured.
    fn is_measured(first: Mark, newest: Mark) -> bool {
        newest.at.saturating_sub(first.at) >= MIN_MEASURED_MS
            && newest.percent - first.percent >= MIN_MEASURED_PERCENT
    }

    /// Returns the measured rate in percent per second; `None` until the marks are far enough apart.
    pub fn rate(&self) -> Option<f64> {
        let ms = self.newest.at.saturating_sub(self.first.at);
        let percent = self.measured_percent();
        Self::is_measured(self.first, self.newest).then(|| percent as f64 * 1_000.0 / ms as f64)
    }

    /// Returns the rate of a run that has reported the same progress for so long that it has slowed down: its measured
    /// progress over the whole time.
    pub fn rate_if_stalled(&self, now: u64) -> Option<f64> {
        let rate = self.rate()?;
        let silent_ms = self.silent_ms(now);
        // By its rate it would have reported several further percents in this time.
        let expected = rate * silent_ms as f64 / 1_000.0;
        let is_stalled = expected > STALLED_PERCENT && silent_ms > 2 * MIN_MEASURED_MS;
        (is_stalled && self.newest.percent < 100).then(|| self.mean_rate(now, self.measured_percent()))
    }

    /// Returns an upper bound of the rate of a run that has progressed too little to be measured; `None` until it has
    /// reported the same progress for some time.
    pub fn rate_bound(&self, now: u64) -> Option<f64> {
        let is_silent = self.silent_ms(now) > 2 * MIN_MEASURED_MS;
        let is_unmeasured = self.measured_percent() < MIN_MEASURED_PERCENT && self.newest.percent < 100;
        // Reports have whole percents, so the run may be just short of the next one.
        (is_silent && is_unmeasured).then(|| self.mean_rate(now, self.measured_percent() + 1))
    }

    /// Returns the progress between the marks that the rate follows from, in percent.
    pub fn measured_percent(&self) -> u64 {
        self.newest.percent - self.first.percent
    }

    /// Returns the time without new progress, in milliseconds, as far as reports cover it.
    fn silent_ms(&self, now: u64) -> u64 {
        now.min(self.reported_at).saturating_sub(self.newest.at)
    }

    fn mean_rate(&self, now: u64, percent: u64) -> f64 {
        let ms = now.min(self.reported_at).saturating_sub(self.first.at);
        percent as f64 * 1_000.0 / ms.max(1) as f64
    }

    /// Returns the range of the remaining time; `None` until the rate has been measured.
    pub fn remaining(&self, now: u64) -> Option<Remaining> {
        let left = 100_u64.saturating_sub(self.newest.percent) as f64;
        // The rate of a stalled run covers the time since its newest progress.
        let (rate, since_ms) = match self.rate_if_stalled(now) {
            Some(rate) => (rate, 0),
            None => (self.rate()?, now.saturating_sub(self.newest.at)),
        };
        let ms = (left * 1_000.0 / rate - since_ms as f64).max(0.0);
        // Both marks are rounded to whole percents.
        let error = 1.0 / self.measured_percent() as f64;
        let bound = |factor: f64| (ms * factor).round() as u64;
        Some(Remaining { low_ms: bound(1.0 - error), median_ms: bound(1.0), high_ms: bound(1.0 + error) })
    }
}
