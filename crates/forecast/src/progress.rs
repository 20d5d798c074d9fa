//! Progress of single runs.

use crate::forecasts::Remaining;

/// A step of an occurrence of a job: the job's name, the occurrence and the step's number.
pub type StepId = (String, u32, u32);

/// Shortest time over which the rate of a run is measured, in milliseconds: reports have whole percents.
const MIN_MEASURED_MS: u64 = 400;

/// Smallest progress over which the rate of a run is measured, in percent.
const MIN_MEASURED_PERCENT: u64 = 4;

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

/// First and newest mark of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Track {
    pub worker: String,
    pub first: Mark,
    pub newest: Mark,
}

impl Track {
    pub fn new(worker: &str, mark: Mark) -> Self {
        Self { worker: worker.to_owned(), first: mark, newest: mark }
    }

    /// Adds a mark.
    pub fn record(&mut self, mark: Mark) -> Progress {
        if mark.percent < self.newest.percent {
            return Progress::Invalid("progress went back");
        }
        if mark.percent == self.newest.percent {
            return Progress::Unchanged;
        }
        self.newest = mark;
        Progress::Used
    }

    /// Returns the measured rate in percent per second; `None` until the marks are far enough apart.
    pub fn rate(&self) -> Option<f64> {
        let (ms, percent) = (self.newest.at - self.first.at, self.newest.percent - self.first.percent);
        (ms >= MIN_MEASURED_MS && percent >= MIN_MEASURED_PERCENT)
            .then(|| percent as f64 * 1_000.0 / ms as f64)
    }

    /// Returns the rate of a run that has reported the same progress for so long that it has slowed down: its whole
    /// progress over the whole time.
    pub fn rate_if_stalled(&self, now: u64) -> Option<f64> {
        let rate = self.rate()?;
        let silent_ms = now.saturating_sub(self.newest.at);
        // By its rate it would have reported several further percents in this time.
        let expected = rate * silent_ms as f64 / 1_000.0;
        let percent = (self.newest.percent - self.first.percent) as f64;
        (expected > 3.0 * MIN_MEASURED_PERCENT as f64 && silent_ms > 2 * MIN_MEASURED_MS)
            .then(|| percent * 1_000.0 / (now - self.first.at).max(1) as f64)
    }

    /// Returns the range of the remaining time; `None` until the rate has been measured.
    pub fn remaining(&self, now: u64) -> Option<Remaining> {
        let rate = self.rate_if_stalled(now).or_else(|| self.rate())?;
        let left = 100_u64.saturating_sub(self.newest.percent) as f64;
        let since_ms = now.saturating_sub(self.newest.at) as f64;
        let ms = (left * 1_000.0 / rate - since_ms).max(0.0);
        // Both marks are rounded to whole percents.
        let error = 1.0 / (self.newest.percent - self.first.percent) as f64;
        let bound = |factor: f64| (ms * factor).round() as u64;
        Some(Remaining { low_ms: bound(1.0 - error), median_ms: bound(1.0), high_ms: bound(1.0 + error) })
    }
}
