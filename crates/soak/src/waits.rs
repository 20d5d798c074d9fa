//! Checks that accepted jobs start once the faults and the submissions are over.
//!
//! The platform takes a job for lost that has nothing running for three seconds though a subtask's turn has come, its
//! unit fits twice into the free resources and less than half of each resource is in use. It counts calm times only.

use std::collections::BTreeSet;

use crate::checks::{Evidence, has_crashed, has_failed, unfinished_step};
use crate::deployment::{REFUSED_WORKER, rack};
use crate::history::Run;
use crate::impairments::CONTACT_MS;
use crate::jobs::{Job, Needs, Record};

/// Longest time that a job may have nothing running beside ample room.
const START_MS: u64 = 3_000;

/// Time without an impairment before such a wait counts.
const CALM_MS: u64 = 4_000;

/// Step between the times at which a calm stretch is looked for.
const STRETCH_STEP_MS: u64 = 100;

/// Returns a line for each job that had nothing running for longer than it may. Waits from `quiet_ms` on count, when the
/// last fault had ended and no caller submitted any more, on the workers numbered from 1 to `workers`.
pub fn late_starts(evidence: &Evidence<'_>, quiet_ms: u64, workers: usize) -> Vec<String> {
    let runs = &evidence.history.runs;
    let ends = runs.iter().filter_map(|run| run.end.as_ref()).map(|end| end.at_ms);
    let times = runs.iter().map(|run| run.start_ms).chain(ends).filter(|at_ms| *at_ms > quiet_ms);
    let times: BTreeSet<u64> = times.collect();
    let uncancelled = evidence.ledger.values().filter(|record| record.cancels.is_empty());
    uncancelled.filter_map(|record| late_start(evidence, record, quiet_ms, &times, workers)).collect()
}

/// Returns a line if a job had nothing running for too long; `times` are those at which any run started or ended.
fn late_start(
    evidence: &Evidence<'_>,
    record: &Record,
    quiet_ms: u64,
    times: &BTreeSet<u64>,
    workers: usize,
) -> Option<String> {
    let from_ms = record.accepted_ms()?.max(quiet_ms);
    let last_poll_ms = record.polls.last().map_or(from_ms, |call| call.answered_ms);
    let until_ms = record.ended_ms().unwrap_or(last_poll_ms);
    let own: Vec<&Run> = evidence.history.runs.iter().filter(|run| run.job == record.job.id).collect();
    let mut since_ms = None;
    // Nothing changes between two times.
    let times = times.iter().copied().filter(|at_ms| (from_ms + 1..until_ms).contains(at_ms));
    for at_ms in std::iter::once(from_ms).chain(times).chain([until_ms]) {
        if let Some(since_ms) = since_ms
            && let Some(calm_ms) = calm_start(evidence, since_ms, at_ms)
        {
            return Some(format!(
                "LOST: {} had nothing running from {since_ms} to {at_ms}, calm from {calm_ms}, beside room for two of it",
                record.job.id
            ));
        }
        match waits_beside_room(evidence, &record.job, &own, at_ms, workers) {
            true => since_ms = since_ms.or(Some(at_ms)),
            false => since_ms = None,
        }
    }
    None
}

/// Returns the first time from which a wait lasted for longer than it may, without an impairment then and before.
fn calm_start(evidence: &Evidence<'_>, since_ms: u64, until_ms: u64) -> Option<u64> {
    let mut starts = (since_ms..until_ms.saturating_sub(START_MS)).step_by(STRETCH_STEP_MS as usize);
    let before_ms = CALM_MS.saturating_sub(CONTACT_MS);
    starts.find(|at| evidence.impairments.is_calm_everywhere(at.saturating_sub(before_ms), at + START_MS))
}

/// Returns whether a job with these runs has nothing running at a time though a unit of it fits twice.
fn waits_beside_room(evidence: &Evidence<'_>, job: &Job, own: &[&Run], at_ms: u64, workers: usize) -> bool {
    let is_present = |run: &Run| run.start_ms <= at_ms && at_ms < run.end_ms();
    if own.iter().any(|run| is_present(run)) || has_failed(&job.steps, own, at_ms) || has_crashed(own, at_ms)
    {
        return false;
    }
    let is_done = |number: u64| {
        let number = number as usize;
        job.steps.get(number).is_none_or(|step| unfinished_step(number, step, own, at_ms).is_none())
    };
    let mut startable = (0..)
        .zip(&job.steps)
        .filter(|(number, step)| !is_done(*number) && step.after.iter().all(|n| is_done(*n)));
    let Some((_, step)) = startable.next() else { return false };
    let capacity = evidence.capacity;
    let mut free = vec![capacity; workers];
    for run in evidence.history.runs.iter().filter(|run| is_present(run)) {
        let step = evidence.ledger.get(&run.job).and_then(|record| record.job.steps.get(run.step));
        if let (Some(free), Some(step)) = (free.get_mut(run.worker.wrapping_sub(1)), step) {
            let (cpu, memory_mb, gpu) = step.needs;
            *free =
                (free.0.saturating_sub(cpu), free.1.saturating_sub(memory_mb), free.2.saturating_sub(gpu));
        }
    }
    let (cpu, memory_mb, gpu) =
        free.iter().fold((0, 0, 0), |sum: Needs, free| (sum.0 + free.0, sum.1 + free.1, sum.2 + free.2));
    let all = workers as u64;
    if 2 * cpu <= all * capacity.0 || 2 * memory_mb <= all * capacity.1 || 2 * gpu <= all * capacity.2 {
        return false;
    }
    let members = if step.gang { step.count } else { 1 };
    let may_use = |worker: usize| {
        (job.label.is_empty() || job.label == rack(worker)) && !(job.is_advised() && worker == REFUSED_WORKER)
    };
    let rooms = (1..).zip(&free).filter(|(worker, _)| may_use(*worker));
    rooms.map(|(_, free)| copies(free, &step.needs)).sum::<u64>() >= 2 * members
}

/// Returns how many subtasks fit into what is free on a worker.
fn copies(free: &Needs, needs: &Needs) -> u64 {
    let each = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::from(u32::MAX));
    each(free.0, needs.0).min(each(free.1, needs.1)).min(each(free.2, needs.2))
}
