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
    /// Saved progress that each member reported last.
    saved: Vec<String>,
    /// When one of them last changed during the run, on the monotonic clock; `None` if none has.
    saved_at: Option<u64>,
}

impl Unit {
    /// Returns whether its newest run started from saved progress.
    pub fn continues_from_checkpoint(&self) -> bool {
        self.run > 1 && !self.saved.is_empty()
    }

    /// Begins the progress of a run that an earlier planner placed with the start that its agent saw; returns whether
    /// nothing was known of it. The first progress of a run that continues from a checkpoint says nothing.
    pub(crate) fn seed_progress(&mut self, at: u64, percent: u64) -> bool {
        if self.progress.run == self.run || self.continues_from_checkpoint() {
            return false;
        }
        let track = Some(Track::from_start("", Mark { at, percent }));
        let saved = vec![self.saved.clone(); self.members.len()];
        self.progress = RunProgress { run: self.run, track, saved, saved_at: None };
        true
    }

    /// Measures the progress of the newest run after a report of the member at `offset`, whose saved progress is `saved`.
    pub(crate) fn record_progress(&mut self, now: u64, offset: usize, saved: &str) {
        if self.progress.run != self.run {
            // The run began with what the unit had saved before.
            let saved = vec![self.saved.clone(); self.members.len()];
            self.progress = RunProgress { run: self.run, saved, ..RunProgress::default() };
        }
        let known = self.progress.saved.get_mut(offset);
        if let Some(known) = known.filter(|known| !saved.is_empty() && **known != saved) {
            saved.clone_into(known);
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
                // Progress that goes back changes nothing.
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

    /// Returns the progress of the newest run, in percent.
    pub fn percent(&self) -> u64 {
        let track = self.current_progress().and_then(|progress| progress.track.as_ref());
        track.map_or(0, |track| track.newest.percent)
    }

    /// Returns the time that the newest run takes from 0 to 100%, in milliseconds; `None` until its rate has been measured.
    pub fn measured_duration_ms(&self) -> Option<u64> {
        let percent_per_s = self.current_progress()?.track.as_ref()?.rate()?;
        Some((100_000.0 / percent_per_s).round() as u64)
    }

    /// Returns whether the newest run has reported a checkpoint of its own.
    pub fn has_reported_checkpoint(&self) -> bool {
        self.current_progress().is_some_and(|progress| progress.saved_at.is_some())
    }

    /// Returns the time for which the newest run has saved no progress, in milliseconds.
    pub fn unsaved_ms(&self, now: u64) -> u64 {
        let saved_at = self.current_progress().and_then(|progress| progress.saved_at);
        // A planner that did not place the run knows nothing of earlier checkpoints.
        now.saturating_sub(saved_at.or(self.placed_at).unwrap_or(self.since))
    }

    fn current_progress(&self) -> Option<&RunProgress> {
        Some(&self.progress).filter(|progress| progress.run == self.run)
    }
}
