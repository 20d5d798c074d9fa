//! Measured progress of a unit's newest run, from the reports of its members.

use sorrelland_forecast::Remaining;
use sorrelland_forecast::progress::{Mark, Progress, Track};

use crate::unit::Unit;

/// Progress of one run of a unit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunProgress {
    /// Number of the run.
    run: u64,
    /// Progress that all members have reached; `None` until each has reported.
    track: Option<Track>,
    /// When the first report of the run arrived, on the monotonic clock.
    first_report_at: u64,
    /// When the saved progress last changed during the run, on the monotonic clock; `None` if it has not.
    saved_at: Option<u64>,
}

impl Unit {
    /// Returns whether its newest run started from saved progress.
    pub fn continues_from_checkpoint(&self) -> bool {
        self.run > 1 && !self.saved.is_empty()
    }

    /// Measures the progress of the newest run after a report of one of its members.
    pub(crate) fn record_progress(&mut self, now: u64, is_new_checkpoint: bool) {
        if self.progress.run != self.run {
            self.progress = RunProgress { run: self.run, first_report_at: now, ..RunProgress::default() };
        }
        if is_new_checkpoint {
            self.progress.saved_at = Some(now);
        }
        let running = self.members.iter().filter(|member| !member.released);
        if running.clone().any(|member| !member.seen) {
            return;
        }
        // Members advance together, but their reports arrive one after the other.
        let Some(percent) = running.map(|member| member.percent).min() else { return };
        let is_unlisted = percent == 0 && self.continues_from_checkpoint();
        if percent > 100 || is_unlisted {
            return;
        }
        let mark = Mark { at: now, percent };
        match &mut self.progress.track {
            Some(track) => {
                // Progress that goes back is ignored and logged with the forecasts.
                let _: Progress = track.record(mark);
            }
            None => self.progress.track = Some(Track::new("", mark)),
        }
    }

    /// Returns the range of the remaining time of the newest run, by its members' progress; `None` until that has been
    /// measured.
    pub fn remaining(&self, now: u64) -> Option<Remaining> {
        self.current_progress()?.track.as_ref()?.remaining(now)
    }

    /// Returns the time for which the newest run has saved no progress, in milliseconds.
    pub fn unsaved_ms(&self, now: u64) -> u64 {
        let progress = self.current_progress();
        // A planner that did not place the run knows nothing of the checkpoints before the first report.
        let started_at = self.placed_at.or(progress.map(|progress| progress.first_report_at));
        let saved_at = progress.and_then(|progress| progress.saved_at);
        now.saturating_sub(saved_at.or(started_at).unwrap_or(self.since))
    }

    fn current_progress(&self) -> Option<&RunProgress> {
        Some(&self.progress).filter(|progress| progress.run == self.run)
    }
}
