//! Applies a worker's list of runs and ends.
//!
//! The list has the oldest ends that are not acknowledged, up to a maximum. While it may lack ends, a run that isn't in it
//! may have ended, with a result: nothing is concluded from its absence.

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_fleet::report::Running;
use sorrelland_platform::worker::Listing;

use super::{FirstSeen, RunKey, WorkerState};

impl WorkerState {
    /// Applies the listing of a poll, given by its number; returns whether a change should be reported to the planner
    /// at once.
    pub fn apply_listing(&mut self, now: u64, poll: u64, incarnation: &str, listing: Listing) -> bool {
        if self.incarnation() != Some(incarnation) || listing.clock_ms < self.listing_clock_ms {
            return false;
        }
        self.listing_clock_ms = listing.clock_ms;
        self.record_clock(now, listing.clock_ms);
        self.lacks_ends = listing.may_lack_ends();
        self.knows_earlier_runs |= !self.lacks_ends;
        let key = |run: &Running| (run.task.clone(), run.run);
        let running: BTreeMap<RunKey, Running> =
            listing.running.iter().map(|run| (key(run), run.clone())).collect();
        let updated = listing.ended != self.ended || !running.keys().eq(self.running.keys());
        for (run, listed) in running.iter().filter(|(run, _)| !self.running.contains_key(run)) {
            let is_start = self.started.contains_key(run) || self.start_attempts.contains(run);
            let seen = FirstSeen { at: now, percent: listed.percent, is_start };
            self.first_seen.insert(run.clone(), seen);
        }
        let ended: BTreeSet<RunKey> = listing.ended.iter().map(|end| (end.task.clone(), end.run)).collect();
        let is_listed = |run: &RunKey| running.contains_key(run) || ended.contains(run);
        let (started_before, started): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut self.started).into_iter().partition(|(_, at)| *at < listing.clock_ms);
        self.started = started.into_iter().filter(|(run, _)| !running.contains_key(run)).collect();
        if self.lacks_ends {
            self.unlisted.append(&mut self.running);
            let unlisted = started_before.keys().filter(|run| !self.unlisted.contains_key(run));
            let unlisted: Vec<_> = unlisted.map(|run| (run.clone(), new_run(run))).collect();
            self.unlisted.extend(unlisted);
            self.unlisted.retain(|run, _| !is_listed(run));
        } else {
            self.unlisted.clear();
        }
        let checks_done = self.finish_absence_checks(poll, is_listed);
        self.refused.retain(|run, _| !running.contains_key(run));
        self.start_attempts.retain(|run| !is_listed(run) && !self.not_started.contains_key(run));
        self.running = running;
        (self.ended, self.ended_runs) = (listing.ended, ended);
        self.confirmed_paces.retain(|run, _| self.running.contains_key(run));
        self.first_seen.retain(|run, _| self.running.contains_key(run) || self.unlisted.contains_key(run));
        updated || checks_done
    }

    /// Ends the absence checks that a poll decides; returns whether there were any.
    fn finish_absence_checks(&mut self, poll: u64, is_listed: impl Fn(&RunKey) -> bool) -> bool {
        let lacks_ends = self.lacks_ends;
        let is_pending = |run: &RunKey, begun: u64| poll <= begun || (lacks_ends && !is_listed(run));
        let checks = std::mem::take(&mut self.absence_checks).into_iter();
        let (pending, decided): (BTreeMap<_, _>, BTreeMap<_, _>) =
            checks.partition(|(run, (_, begun))| is_pending(run, *begun));
        self.absence_checks = pending;
        let any_decided = !decided.is_empty();
        let absent = decided.into_iter().filter(|(run, _)| !is_listed(run));
        self.not_started.extend(absent.map(|(run, (why, _))| (run, why)));
        any_decided
    }

    /// Returns whether the worker's newest list may lack ends.
    pub fn lacks_ends(&self) -> bool {
        self.lacks_ends
    }

    /// Returns the number of runs that have ended without their end being listed yet.
    pub fn unlisted_runs(&self) -> usize {
        self.unlisted.len()
    }

    /// Returns whether runs of an earlier process of this agent may have ended without being known here.
    pub(super) fn may_have_unknown_ends(&self) -> bool {
        self.lacks_ends && !self.knows_earlier_runs
    }
}

/// Returns a run of which the worker has told nothing yet.
pub(super) fn new_run((task, run): &RunKey) -> Running {
    Running { task: task.clone(), run: *run, saved: String::new(), percent: 0, measurement: 0 }
}
