//! The promises of the platform, checked on what callers and workers have seen. Bounds are those of the platform and
//! of the settings that the processes were given. A promise that the platform limits to undisturbed times is checked
//! only there; each check says so.

use std::collections::{BTreeMap, BTreeSet};

use crate::deployment::MAX_ATTEMPTS;
use crate::faults::Machine;
use crate::history::{History, Run};
use crate::impairments::Impairments;
use crate::jobs::{Ledger, Needs, Record, Step};

/// Time after a cancel's acknowledgement from which nothing of the job starts.
const CANCEL_MS: u64 = 3_000;

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
        self.check_subtasks(&mut broken);
        self.check_capacity(&mut broken);
        self.check_draining(&mut broken);
        for record in self.ledger.values() {
            let runs: Vec<&Run> = self.runs_of(&record.job.id).collect();
            self.check_states(record, &runs, &mut broken);
            self.check_cancel(record, &runs, &mut broken);
            self.check_order(record, &runs, &mut broken);
        }
        broken
    }

    fn runs_of<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a Run> {
        self.history.runs.iter().filter(move |run| run.job_and_step().is_some_and(|(id, _)| id == job))
    }

    /// Returns whether the agent and the worker of a run were in touch at its start.
    fn starts_in_touch(&self, run: &Run) -> bool {
        let parts = [Machine::Agent(run.worker), Machine::Worker(run.worker)].map(|part| part.to_string());
        self.impairments.is_in_touch(&parts, run.start_ms, run.start_ms)
    }

    /// Checks each subtask by itself: it was asked for, doesn't run twice at a time or again after an end `done` that
    /// was taken note of, its run numbers rise, and it isn't started after its last attempt. These hold at all times.
    fn check_subtasks(&self, broken: &mut Vec<String>) {
        let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.history.runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        for (task, runs) in by_task {
            self.check_requested(task, &runs, broken);
            for (number, later) in runs.iter().enumerate() {
                for earlier in &runs[..number] {
                    let at = format!("{} after run {} on {}", name(later), earlier.run, earlier.life);
                    if later.start_ms < earlier.end_ms() {
                        broken.push(format!("TWICE: {at}, which {}", end(earlier)));
                    } else if earlier.end.as_ref().is_some_and(|end| end.how == "done" && end.noted) {
                        broken.push(format!("TWICE: {at}, which {} and was taken note of", end(earlier)));
                    }
                    if later.run <= earlier.run {
                        broken.push(format!("NUMBER: {at}: run numbers don't rise"));
                    }
                }
            }
        }
    }

    /// Checks that a subtask belongs to a job that was submitted and not rejected, with its text.
    fn check_requested(&self, task: &str, runs: &[&Run], broken: &mut Vec<String>) {
        let Some(first) = runs.first() else { return };
        let parts: Vec<&str> = task.split('.').collect();
        let record = parts.first().and_then(|job| self.ledger.get(*job));
        let index = parts.get(3).and_then(|index| index.parse::<u64>().ok());
        let step = first.job_and_step().and_then(|(_, step)| record?.job.steps.get(step as usize));
        match (record, step, index) {
            (Some(record), Some(step), Some(index)) if parts[1] == "0" && index < step.count => {
                if let Some(run) = runs.iter().find(|run| run.spec != record.job.spec) {
                    broken.push(format!("UNASKED: {} has the text {:?}", name(run), run.spec));
                }
                if record.is_rejected() {
                    broken.push(format!("REFUSED: {} though its job was rejected", name(first)));
                }
            }
            _ => broken.push(format!("UNASKED: {} was not submitted", name(first))),
        }
    }

    /// Checks that the runs on a worker, including those that are being stopped, never exceed its resources.
    fn check_capacity(&self, broken: &mut Vec<String>) {
        let mut by_life: BTreeMap<&str, Vec<(&Run, Needs)>> = BTreeMap::new();
        for run in &self.history.runs {
            if let Some(step) = self.step_of(run) {
                by_life.entry(&run.life).or_default().push((run, step.needs));
            }
        }
        for runs in by_life.into_values() {
            for (run, _) in &runs {
                let at = run.start_ms;
                let present = runs.iter().filter(|(other, _)| other.start_ms <= at && at < other.end_ms());
                let sum = present.fold((0, 0, 0), |sum: Needs, (_, needs)| {
                    (sum.0 + needs.0, sum.1 + needs.1, sum.2 + needs.2)
                });
                let capacity = self.capacity;
                if sum.0 > capacity.0 || sum.1 > capacity.1 || sum.2 > capacity.2 {
                    broken.push(format!("LIMIT: {} brings its worker to {sum:?} of {capacity:?}", name(run)));
                }
            }
        }
    }

    fn step_of(&self, run: &Run) -> Option<&Step> {
        let (job, step) = run.job_and_step()?;
        self.ledger.get(job)?.job.steps.get(step as usize)
    }

    /// Checks that nothing starts on a draining worker, as far as its agent is in touch.
    fn check_draining(&self, broken: &mut Vec<String>) {
        for run in &self.history.runs {
            let agent = [Machine::Agent(run.worker).to_string()];
            if let Some(draining_ms) = self.history.draining_ms.get(&run.life)
                && run.start_ms > draining_ms + DRAIN_MS
                && self.impairments.is_in_touch(&agent, run.start_ms, run.start_ms)
            {
                broken.push(format!("DRAIN: {}, acknowledged as draining at {draining_ms}", name(run)));
            }
        }
    }

    /// Checks the states that callers were shown. An answer 410 counts only from an entry in touch.
    fn check_states(&self, record: &Record, runs: &[&Run], broken: &mut Vec<String>) {
        let id = &record.job.id;
        let ended_ms =
            ["completed", "failed", "cancelled"].iter().filter_map(|state| record.shown_ms(state)).min();
        if let Some(accepted_ms) = record.accepted_ms()
            && record.cancels.is_empty()
        {
            let expired_ms = ended_ms.map_or(u64::MAX, |at| at + STATUS_MS);
            let unknown = record.polls.iter().find(|call| {
                let entry = [Machine::Entry(call.entry).to_string()];
                call.status == 410
                    && (accepted_ms + VISIBLE_MS..expired_ms).contains(&call.sent_ms)
                    && self.impairments.is_in_touch(&entry, call.sent_ms, call.answered_ms)
            });
            if let Some(call) = unknown {
                let (entry, at) = (call.entry, call.answered_ms);
                broken.push(format!(
                    "LOST: {id} accepted at {accepted_ms} is unknown to entry-{entry} at {at}"
                ));
            }
        }
        if let Some(shown_ms) = record.shown_ms("completed") {
            if let Some(missing) = unfinished(&record.job.steps, runs, shown_ms) {
                broken.push(format!("MIXED: {id} is shown as completed at {shown_ms}, but {missing}"));
            }
            let other = |state: &str| !state.is_empty() && state != "completed";
            if let Some(call) =
                record.polls.iter().find(|call| call.sent_ms >= shown_ms && other(&call.state))
            {
                let (state, at) = (&call.state, call.answered_ms);
                broken.push(format!("MIXED: {id} was completed at {shown_ms} and is {state} at {at}"));
            }
            let late = |run: &&&Run| run.start_ms > shown_ms + SHOWN_MS && self.starts_in_touch(run);
            if let Some(run) = runs.iter().find(late) {
                broken.push(format!("TWICE: {}, shown as completed at {shown_ms}", name(run)));
            }
        }
        if let Some(shown_ms) = record.shown_ms("failed")
            && !has_failed(&record.job.steps, runs, shown_ms)
        {
            broken.push(format!("LOST: {id} is shown as failed at {shown_ms} without cause"));
        }
        if let Some(shown_ms) = record.shown_ms("cancelled")
            && record.cancels.is_empty()
        {
            broken.push(format!("LOST: {id} is shown as cancelled at {shown_ms} without cause"));
        }
    }

    /// Checks that a cancelled job starts nothing later than [`CANCEL_MS`] on a worker in touch, and that nothing of it
    /// is left after a stretch of [`CANCEL_MS`] and [`STOP_MS`] without an impairment anywhere.
    fn check_cancel(&self, record: &Record, runs: &[&Run], broken: &mut Vec<String>) {
        let Some(cancelled_ms) = record.cancelled_ms() else { return };
        for run in runs {
            if run.start_ms > cancelled_ms + CANCEL_MS && self.starts_in_touch(run) {
                broken.push(format!("UNASKED: {}, cancelled at {cancelled_ms}", name(run)));
            }
            let stretch_ms = CANCEL_MS + STOP_MS;
            let first = cancelled_ms.max(run.start_ms);
            // A run without an end was there at the last call of a caller.
            let last_seen_ms = record.polls.last().map_or(first, |call| call.answered_ms);
            let last = run.end_ms().min(last_seen_ms).saturating_sub(stretch_ms);
            let mut stretches = (first..last).step_by(STRETCH_STEP_MS as usize);
            if let Some(at) = stretches.find(|at| self.impairments.is_calm_everywhere(*at, at + stretch_ms)) {
                let until = at + stretch_ms;
                broken.push(format!(
                    "UNASKED: {}, cancelled at {cancelled_ms}, still runs at {until} and {}",
                    name(run),
                    end(run)
                ));
            }
        }
    }

    /// Checks the order of steps, the number of attempts and, without an impairment near, that no member of a gang
    /// waits in vain.
    fn check_order(&self, record: &Record, runs: &[&Run], broken: &mut Vec<String>) {
        for run in runs {
            let Some((step, number)) = self.step_of(run).zip(run.job_and_step().map(|(_, step)| step)) else {
                continue;
            };
            for earlier in &step.after {
                let earlier = *earlier as usize;
                let steps = record.job.steps.get(earlier..=earlier).unwrap_or_default();
                let of_step =
                    runs.iter().filter(|run| run.job_and_step().is_some_and(|(_, s)| s == earlier as u64));
                let of_step: Vec<&Run> = of_step.copied().collect();
                if let Some(missing) = unfinished_step(earlier as u64, &steps[0], &of_step, run.start_ms) {
                    broken.push(format!("ORDER: {}, but {missing}", name(run)));
                }
            }
            let failed = runs.iter().filter(|other| {
                let same = if step.gang {
                    other.job_and_step().is_some_and(|(_, s)| s == number)
                } else {
                    other.task == run.task
                };
                let noted_fail = |end: &crate::history::End| end.how == "failed" && end.noted;
                same && other.end_ms() <= run.start_ms && other.end.as_ref().is_some_and(noted_fail)
            });
            let attempts: BTreeSet<u64> = failed.map(|other| other.run).collect();
            if attempts.len() >= MAX_ATTEMPTS {
                broken.push(format!("BUDGET: {} after the failed runs {attempts:?}", name(run)));
            }
            if run.ended("alone")
                && record.cancels.is_empty()
                && self.impairments.is_calm_everywhere(run.start_ms, run.end_ms())
            {
                broken.push(format!("GANG: {} ended alone at {}", name(run), run.end_ms()));
            }
        }
    }
}

fn name(run: &Run) -> String {
    format!("{} run {} started at {} on {}", run.task, run.run, run.start_ms, run.life)
}

fn end(run: &Run) -> String {
    run.end.as_ref().map_or("runs on".to_owned(), |end| format!("ended {} at {}", end.how, end.at_ms))
}

/// Returns what isn't done of the steps at a time, if anything.
fn unfinished(steps: &[Step], runs: &[&Run], at_ms: u64) -> Option<String> {
    steps.iter().zip(0..).find_map(|(step, number)| {
        let of_step = runs.iter().filter(|run| run.job_and_step().is_some_and(|(_, s)| s == number));
        unfinished_step(number, step, &of_step.copied().collect::<Vec<_>>(), at_ms)
    })
}

/// Returns what isn't done of a step; the end of one member of a gang represents all.
fn unfinished_step(number: u64, step: &Step, runs: &[&Run], at_ms: u64) -> Option<String> {
    let done = runs.iter().filter(|run| run.ended("done") && run.end_ms() <= at_ms);
    let done: BTreeSet<&str> = done.filter_map(|run| run.task.rsplit('.').next()).collect();
    if step.gang && !done.is_empty() {
        return None;
    }
    let missing: Vec<u64> =
        (0..step.count).filter(|index| !done.contains(index.to_string().as_str())).collect();
    (!missing.is_empty()).then(|| format!("subtasks {missing:?} of step {number} aren't done"))
}

/// Returns whether a subtask, or a gang, has failed so often that the job may fail.
fn has_failed(steps: &[Step], runs: &[&Run], at_ms: u64) -> bool {
    let mut attempts: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.ended("failed") && run.end_ms() <= at_ms) {
        let step = run.job_and_step().and_then(|(_, step)| steps.get(step as usize));
        let key = match step {
            Some(step) if step.gang => run.task.rsplit_once('.').map_or(run.task.as_str(), |(gang, _)| gang),
            _ => run.task.as_str(),
        };
        attempts.entry(key).or_default().insert(run.run);
    }
    attempts.values().any(|attempts| attempts.len() >= MAX_ATTEMPTS)
}
