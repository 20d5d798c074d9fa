//! The promises of the platform, checked on what callers and workers have seen. Bounds are those of the platform and
//! of the settings that the processes were given. A promise that the platform limits to undisturbed times is checked
//! only there; each check says so.

use std::collections::{BTreeMap, BTreeSet};

use crate::deployment::{MAX_ATTEMPTS, REFUSED_WORKER, rack};
use crate::faults::Machine;
use crate::history::{CRASHED, History, Run};
use crate::impairments::{CONTACT_MS, Impairments};
use crate::jobs::{Ledger, Needs, Record, Step};

/// Time after a cancel's acknowledgement from which nothing of the job starts.
const CANCEL_MS: u64 = 3_000;

/// Time without an impairment after which a cancel that waits for its acknowledgement counts like an acknowledged one.
const ACK_MS: u64 = 4_000;

/// Longest time that a stop takes.
const STOP_MS: u64 = 400;

/// Time after the acknowledgement of a submission from which the job is known everywhere.
const VISIBLE_MS: u64 = 3_000;

/// Time for which the state of an ended job can be queried.
const STATUS_MS: u64 = 120_000;

/// Time after the acknowledgement of a draining state from which nothing starts on the worker.
const DRAIN_MS: u64 = 2_000;

/// Time after a job was shown as completed from which a machine in touch starts nothing of it.
const SHOWN_MS: u64 = 1_000;

/// Time from which a smaller capacity of a worker counts: the platform's time of contact and a check-in.
const SHRINK_MS: u64 = CONTACT_MS + 300;

/// Starts that may follow after three workers have crashed under a subtask.
const STARTS_AFTER_THREE_CRASHES: usize = 2;

/// Crashes from which a subtask may be given up.
const CRASHES_TO_GIVE_UP: usize = 2;

/// Step between the times at which a calm stretch is looked for.
const STRETCH_STEP_MS: u64 = 500;

/// What is checked.
pub struct Evidence<'a> {
    pub history: &'a History,
    pub ledger: &'a Ledger,
    pub impairments: &'a Impairments,
    /// Resources of a worker.
    pub capacity: Needs,
}

impl Evidence<'_> {
    /// Returns a line for each broken promise.
    pub fn broken_promises(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut by_job: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        let mut by_life: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.history.runs {
            by_job.entry(&run.job).or_default().push(run);
            by_life.entry(&run.life).or_default().push(run);
        }
        by_life.values().for_each(|runs| self.check_capacity(runs, &mut broken));
        for (job, runs) in &by_job {
            match self.ledger.get(*job) {
                Some(record) => {
                    runs.iter().for_each(|run| self.check_start(record, run, runs, &mut broken));
                    self.check_cancel(record, runs, &mut broken);
                    if record.job.crashes_workers() {
                        self.check_crashes(runs, &mut broken);
                    }
                }
                None => broken.push(format!("UNASKED: {} was not submitted", runs[0])),
            }
        }
        for record in self.ledger.values() {
            let runs = by_job.get(record.job.id.as_str()).map_or(&[][..], Vec::as_slice);
            self.check_states(record, runs, &mut broken);
            if let Some(call) = record.foreign.iter().find(|call| call.is_success()) {
                let (id, at) = (&record.job.id, call.answered_ms);
                broken.push(format!("FOREIGN: entry-{} lets another account reach {id} at {at}", call.entry));
            }
        }
        broken
    }

    /// Returns whether the agent and the worker of a run were in touch at its start.
    fn starts_in_touch(&self, run: &Run) -> bool {
        let parts = [Machine::Agent(run.worker), Machine::Worker(run.worker)].map(|part| part.to_string());
        self.impairments.is_in_touch(&parts, run.start_ms, run.start_ms)
    }

    /// Checks a start, at all times: it was asked for; its subtask isn't running, hasn't ended `done` with the end taken
    /// note of, and has attempts left; its number is higher than the ones before; the steps before are done. In touch:
    /// its worker hasn't drained for [`DRAIN_MS`]. Undisturbed: a member of a gang doesn't wait in vain.
    fn check_start(&self, record: &Record, run: &Run, runs: &[&Run], broken: &mut Vec<String>) {
        let step = record.job.steps.get(run.step).filter(|step| run.index < step.count);
        let Some(step) = step.filter(|_| run.occurrence == 0 && run.spec == record.job.spec) else {
            return broken.push(format!("UNASKED: {run} was not submitted, or with another text"));
        };
        if record.is_rejected() {
            broken.push(format!("REFUSED: {run} though its job was rejected"));
        }
        if !record.job.label.is_empty() && record.job.label != rack(run.worker) {
            broken.push(format!("ROUTE: {run}, which lacks the label {}", record.job.label));
        }
        if record.job.is_advised() && run.worker == REFUSED_WORKER {
            broken.push(format!("POLICY: {run}, which the policy refuses"));
        }
        let same_subtask = |other: &Run| (other.step, other.index) == (run.step, run.index);
        // The runs are ordered by their starts.
        let earlier = runs.iter().take_while(|other| !std::ptr::eq(**other, run));
        for earlier in earlier.filter(|other| same_subtask(other)) {
            let at =
                format!("{run} after run {} on {}, which {}", earlier.run, earlier.life, earlier.ending());
            if run.start_ms < earlier.end_ms() {
                broken.push(format!("TWICE: {at}"));
            } else if earlier.ended("done") && earlier.is_noted() {
                broken.push(format!("TWICE: {at} and was taken note of"));
            }
            if run.run <= earlier.run {
                broken.push(format!("NUMBER: {at}: run numbers don't rise"));
            }
        }
        for before in step.after.iter().map(|before| *before as usize) {
            if let Some(missing) = unfinished_step(before, &record.job.steps[before], runs, run.start_ms) {
                broken.push(format!("ORDER: {run}, but {missing}"));
            }
        }
        let failed = runs.iter().filter(|other| {
            let same = if step.gang { other.step == run.step } else { same_subtask(other) };
            same && other.ended("failed") && other.is_noted() && other.end_ms() <= run.start_ms
        });
        let attempts: BTreeSet<u64> = failed.map(|other| other.run).collect();
        if attempts.len() >= MAX_ATTEMPTS {
            broken.push(format!("BUDGET: {run} after the failed runs {attempts:?}"));
        }
        let agent = [Machine::Agent(run.worker).to_string()];
        if let Some(draining_ms) = self.history.draining_ms.get(&run.life)
            && run.start_ms > draining_ms + DRAIN_MS
            && self.impairments.is_in_touch(&agent, run.start_ms, run.start_ms)
        {
            broken.push(format!("DRAIN: {run}, acknowledged as draining at {draining_ms}"));
        }
        let is_calm = || self.impairments.is_calm_everywhere(run.start_ms, run.end_ms());
        if run.ended("alone") && record.cancels.is_empty() && is_calm() {
            broken.push(format!("GANG: {run} {}", run.ending()));
        }
    }

    /// Checks that the runs on a worker, including those that are being stopped, never exceed its resources.
    fn check_capacity(&self, runs: &[&Run], broken: &mut Vec<String>) {
        let needs = |run: &Run| self.ledger.get(&run.job)?.job.steps.get(run.step).map(|step| step.needs);
        for run in runs {
            let at = run.start_ms;
            let present = runs.iter().filter(|other| other.start_ms <= at && at < other.end_ms());
            let sum = present
                .filter_map(|run| needs(run))
                .fold((0, 0, 0), |sum: Needs, needs| (sum.0 + needs.0, sum.1 + needs.1, sum.2 + needs.2));
            let capacity = self.capacity_at(run);
            if sum.0 > capacity.0 || sum.1 > capacity.1 || sum.2 > capacity.2 {
                broken.push(format!("LIMIT: {run} brings its worker to {sum:?} of {capacity:?}"));
            }
        }
    }

    /// Returns the largest capacity that counts for a start. A worker that was suspended executes orders late, and has
    /// not announced what changed before.
    fn capacity_at(&self, run: &Run) -> Needs {
        if self.impairments.was_impaired(&Machine::Worker(run.worker).to_string(), run.start_ms) {
            return self.capacity;
        }
        let known = self.history.capacities.get(&run.life).map_or(&[][..], Vec::as_slice);
        let since = known.iter().rposition(|(at_ms, _)| at_ms + SHRINK_MS <= run.start_ms).unwrap_or(0);
        let counts =
            known[since..].iter().filter(|(at_ms, _)| *at_ms <= run.start_ms).map(|(_, needs)| *needs);
        counts
            .reduce(|one, other| (one.0.max(other.0), one.1.max(other.1), one.2.max(other.2)))
            .unwrap_or(self.capacity)
    }

    /// Checks that a subtask that crashes its workers isn't started again and again by machines in touch.
    fn check_crashes(&self, runs: &[&Run], broken: &mut Vec<String>) {
        let mut by_subtask: BTreeMap<(usize, u64), Vec<&Run>> = BTreeMap::new();
        runs.iter().for_each(|run| by_subtask.entry((run.step, run.index)).or_default().push(run));
        for runs in by_subtask.values() {
            let third = runs.iter().filter(|run| run.ended(CRASHED)).nth(2);
            let Some(third_ms) = third.map(|run| run.end_ms()) else { continue };
            let mut later = runs.iter().filter(|run| run.start_ms > third_ms && self.starts_in_touch(run));
            if let Some(run) = later.nth(STARTS_AFTER_THREE_CRASHES) {
                broken.push(format!("BUDGET: {run}, the third worker crashed under it at {third_ms}"));
            }
        }
    }

    /// Checks the states that callers were shown. An answer 410 counts only from an entry in touch.
    fn check_states(&self, record: &Record, runs: &[&Run], broken: &mut Vec<String>) {
        let (id, steps, polls) = (&record.job.id, &record.job.steps, &record.polls);
        let cancel_sent_ms = record.cancels.iter().map(|call| call.sent_ms).min().unwrap_or(u64::MAX);
        let unknown = polls.iter().find(|call| {
            let known_from = record.accepted_ms().map_or(u64::MAX, |at| at + VISIBLE_MS);
            let known_until = record.ended_ms().map_or(u64::MAX, |at| at + STATUS_MS);
            let entry = [Machine::Entry(call.entry).to_string()];
            call.status == 410
                && call.answered_ms < cancel_sent_ms
                && (known_from..known_until).contains(&call.sent_ms)
                && self.impairments.is_in_touch(&entry, call.sent_ms, call.answered_ms)
        });
        if let Some(call) = unknown {
            broken.push(format!("LOST: {id} is unknown to entry-{} at {}", call.entry, call.answered_ms));
        }
        if let Some(shown_ms) = record.shown_ms("completed") {
            let mut steps = steps.iter().enumerate();
            if let Some(missing) =
                steps.find_map(|(number, step)| unfinished_step(number, step, runs, shown_ms))
            {
                broken.push(format!("MIXED: {id} is shown as completed at {shown_ms}, but {missing}"));
            }
            let mut later = polls.iter().filter(|call| call.sent_ms >= shown_ms);
            if let Some(call) = later.find(|call| !call.state.is_empty() && call.state != "completed") {
                let (state, at) = (&call.state, call.answered_ms);
                broken.push(format!("MIXED: {id} was completed at {shown_ms} and is {state} at {at}"));
            }
            let late = |run: &&&Run| run.start_ms > shown_ms + SHOWN_MS && self.starts_in_touch(run);
            if let Some(run) = runs.iter().find(late) {
                broken.push(format!("TWICE: {run}, shown as completed at {shown_ms}"));
            }
        }
        let has_failed = |at_ms| {
            has_failed(steps, runs, at_ms) || record.job.crashes_workers() && has_crashed(runs, at_ms)
        };
        if let Some(shown_ms) = record.shown_ms("failed").filter(|at| !has_failed(*at)) {
            broken.push(format!("LOST: {id} is shown as failed at {shown_ms} without cause"));
        }
        if let Some(shown_ms) = record.shown_ms("cancelled").filter(|at| *at < cancel_sent_ms) {
            broken.push(format!("LOST: {id} is shown as cancelled at {shown_ms} without cause"));
        }
    }

    /// Returns when the cancel of a job counts: once it was acknowledged, or has waited for [`ACK_MS`] of calm for that.
    fn cancelled_ms(&self, record: &Record) -> Option<u64> {
        let acknowledged_ms = record.cancelled_ms();
        let sent_ms = record.cancels.iter().map(|call| call.sent_ms).min()?;
        let last_ms = acknowledged_ms.or(record.cancels.iter().map(|call| call.answered_ms).max())?;
        let mut waits = (sent_ms..last_ms.saturating_sub(ACK_MS)).step_by(STRETCH_STEP_MS as usize);
        let waited = waits.find(|at| self.impairments.is_calm_everywhere(*at, at + ACK_MS));
        waited.map(|at| at + ACK_MS).or(acknowledged_ms)
    }

    /// Checks that a cancelled job starts nothing later than [`CANCEL_MS`] on a worker in touch, and that nothing of it
    /// is left after a stretch of [`CANCEL_MS`] and [`STOP_MS`] without an impairment anywhere.
    fn check_cancel(&self, record: &Record, runs: &[&Run], broken: &mut Vec<String>) {
        let Some(cancelled_ms) = self.cancelled_ms(record) else { return };
        // A run without an end was there at the last call of any caller.
        let calls = self.ledger.values().flat_map(|record| [&record.submits, &record.cancels, &record.polls]);
        let last_seen_ms = calls.flatten().map(|call| call.answered_ms).max().unwrap_or(cancelled_ms);
        for run in runs {
            if run.start_ms > cancelled_ms + CANCEL_MS && self.starts_in_touch(run) {
                broken.push(format!("UNASKED: {run}, cancelled at {cancelled_ms}"));
            }
            let stretch_ms = CANCEL_MS + STOP_MS;
            let first = cancelled_ms.max(run.start_ms);
            let last = run.end.as_ref().map_or(last_seen_ms, |end| end.at_ms).saturating_sub(stretch_ms);
            let mut stretches = (first..last).step_by(STRETCH_STEP_MS as usize);
            if let Some(at) = stretches.find(|at| self.impairments.is_calm_everywhere(*at, at + stretch_ms)) {
                let end = run.ending();
                broken.push(format!("UNASKED: {run}, cancelled at {cancelled_ms}, calm from {at}, {end}"));
            }
        }
    }
}

/// Returns what isn't done of a step at a time, if anything; the end of one member of a gang represents all.
pub(crate) fn unfinished_step(number: usize, step: &Step, runs: &[&Run], at_ms: u64) -> Option<String> {
    let done = runs.iter().filter(|run| run.step == number && run.ended("done") && run.end_ms() <= at_ms);
    let done: BTreeSet<u64> = done.map(|run| run.index).collect();
    let missing: Vec<u64> = (0..step.count).filter(|index| !done.contains(index)).collect();
    let finished = missing.is_empty() || step.gang && !done.is_empty();
    (!finished).then(|| format!("subtasks {missing:?} of step {number} aren't done"))
}

/// Returns whether so many workers have crashed under a subtask that it may be given up.
pub(crate) fn has_crashed(runs: &[&Run], at_ms: u64) -> bool {
    let mut crashes: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.ended(CRASHED) && run.end_ms() <= at_ms) {
        *crashes.entry((run.step, run.index)).or_default() += 1;
    }
    crashes.values().any(|crashes| *crashes >= CRASHES_TO_GIVE_UP)
}

/// Returns whether a subtask, or a gang, has failed so often that the job may fail.
pub(crate) fn has_failed(steps: &[Step], runs: &[&Run], at_ms: u64) -> bool {
    let mut attempts: BTreeMap<(usize, u64), BTreeSet<u64>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.ended("failed") && run.end_ms() <= at_ms) {
        let gang = steps.get(run.step).is_some_and(|step| step.gang);
        attempts.entry((run.step, if gang { 0 } else { run.index })).or_default().insert(run.run);
    }
    attempts.values().any(|attempts| attempts.len() >= MAX_ATTEMPTS)
}
