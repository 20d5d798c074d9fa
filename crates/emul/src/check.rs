//! Checks of the scheduler's invariants against the history of runs on the workers.

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::{Resources, Task};

/// History of the runs on all workers, with the violations found in it.
#[derive(Debug, Default)]
pub struct History {
    running: BTreeMap<Task, BTreeSet<u64>>,
    /// Ends that the planner has not acknowledged, by incarnation of the worker: number, subtask and reason.
    unacknowledged: BTreeMap<String, Vec<(u64, Task, EndReason)>>,
    /// Subtasks for which a worker listed an end as done, acknowledged or not.
    ever_done: BTreeSet<Task>,
    /// Subtasks whose end as done was acknowledged.
    acknowledged_done: BTreeSet<Task>,
    /// Acknowledged ends as failed.
    failed: BTreeMap<Task, u32>,
    /// Violated invariants, each with its time.
    pub violations: Vec<String>,
    /// Total number of starts.
    pub starts: u64,
}

impl History {
    /// Records a start. A subtask must not start while it has another run or after it is acknowledged as done.
    pub fn record_start(&mut self, now_ms: u64, task: &Task, run: u64) {
        self.starts += 1;
        let running = self.running.entry(task.clone()).or_default();
        if !running.is_empty() {
            self.violations
                .push(format!("{now_ms} ms: {task} run {run} started while {running:?} was running"));
        }
        running.insert(run);
        if self.acknowledged_done.contains(task) {
            self.violations.push(format!(
                "{now_ms} ms: {task} run {run} started after the subtask was acknowledged as done"
            ));
        }
    }

    /// Records that a run no longer exists, whether or not an end is listed for it.
    pub fn record_removal(&mut self, _now_ms: u64, task: &Task, run: u64) {
        if let Some(running) = self.running.get_mut(task) {
            running.remove(&run);
        }
    }

    /// Records the end numbered `number` in the list of a worker incarnation.
    pub fn record_end(
        &mut self,
        now_ms: u64,
        incarnation: &str,
        number: u64,
        task: &Task,
        run: u64,
        reason: EndReason,
    ) {
        self.record_removal(now_ms, task, run);
        if reason == EndReason::Done {
            self.ever_done.insert(task.clone());
        }
        self.unacknowledged.entry(incarnation.to_owned()).or_default().push((number, task.clone(), reason));
    }

    /// Records that the planner has acknowledged a worker's ends up to `number`.
    pub fn record_acknowledgement(&mut self, incarnation: &str, number: u64) {
        let ends = self.unacknowledged.entry(incarnation.to_owned()).or_default();
        let (acknowledged, rest) = std::mem::take(ends).into_iter().partition(|(end, _, _)| *end <= number);
        *ends = rest;
        for (_, task, reason) in acknowledged {
            match reason {
                EndReason::Done => {
                    self.acknowledged_done.insert(task);
                }
                EndReason::Failed => *self.failed.entry(task).or_default() += 1,
                _ => (),
            }
        }
    }

    /// Records that a worker's lease expired: ends that are not acknowledged by then do not count.
    pub fn record_lapse(&mut self, incarnation: &str) {
        self.unacknowledged.remove(incarnation);
    }

    /// Checks that the resources used by runs do not exceed the capacity of a worker.
    pub fn check_capacity(&mut self, now_ms: u64, incarnation: &str, capacity: &Resources, used: &Resources) {
        let exceeded = used.millicores > capacity.millicores
            || used.memory_mb > capacity.memory_mb
            || used.accelerators > capacity.accelerators;
        if exceeded {
            self.violations.push(format!("{now_ms} ms: runs on {incarnation} use {used:?} of {capacity:?}"));
        }
    }

    /// Checks that every subtask of a job reported as completed has a listed end as done.
    pub fn check_completion(&mut self, now_ms: u64, job: &str, subtasks: impl Iterator<Item = Task>) {
        for task in subtasks {
            if !self.ever_done.contains(&task) {
                self.violations.push(format!(
                    "{now_ms} ms: {job} reported as completed, but {task} never ended as done"
                ));
            }
        }
    }
}
