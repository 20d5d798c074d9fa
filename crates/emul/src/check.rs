//! Checks of what must always hold, from what the workers saw.

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::{Resources, Task};

/// What the workers saw, and what of it must not have been.
#[derive(Debug, Default)]
pub struct History {
    running: BTreeMap<Task, BTreeSet<u64>>,
    /// Ends as done that the planner has not confirmed, by worker's life.
    unconfirmed: BTreeMap<String, Vec<(u64, Task, EndReason)>>,
    /// Subtasks with an end as done that was listed, confirmed or not.
    ever_done: BTreeSet<Task>,
    done: BTreeSet<Task>,
    failed: BTreeMap<Task, u32>,
    /// What was wrong, each with its time.
    pub violations: Vec<String>,
    /// Starts in all.
    pub starts: u64,
}

impl History {
    /// Notes a start.
    pub fn started(&mut self, now: u64, task: &Task, run: u64) {
        self.starts += 1;
        let running = self.running.entry(task.clone()).or_default();
        if !running.is_empty() {
            self.violations.push(format!("{now} ms: {task} run {run} started while {running:?} was running"));
        }
        running.insert(run);
        if self.done.contains(task) {
            self.violations
                .push(format!("{now} ms: {task} run {run} started after it was confirmed as done"));
        }
    }

    /// Notes that a run is over without an end that anyone lists.
    pub fn over(&mut self, _now: u64, task: &Task, run: u64) {
        if let Some(running) = self.running.get_mut(task) {
            running.remove(&run);
        }
    }

    /// Notes an end as a worker lists it.
    pub fn ended(&mut self, now: u64, life: &str, n: u64, task: &Task, run: u64, how: EndReason) {
        self.over(now, task, run);
        if how == EndReason::Done {
            self.ever_done.insert(task.clone());
        }
        self.unconfirmed.entry(life.to_owned()).or_default().push((n, task.clone(), how));
    }

    /// Notes that the planner has confirmed a worker's ends up to `n`.
    pub fn confirmed(&mut self, life: &str, n: u64) {
        let ends = self.unconfirmed.entry(life.to_owned()).or_default();
        let (confirmed, rest) = std::mem::take(ends).into_iter().partition(|(end, _, _)| *end <= n);
        *ends = rest;
        for (_, task, how) in confirmed {
            match how {
                EndReason::Done => {
                    self.done.insert(task);
                }
                EndReason::Failed => *self.failed.entry(task).or_default() += 1,
                _ => (),
            }
        }
    }

    /// Notes that a worker's lease ran out: ends that were not confirmed by then do not count.
    pub fn lapsed(&mut self, life: &str) {
        self.unconfirmed.remove(life);
    }

    /// Notes the room that runs take on a worker.
    pub fn room(&mut self, now: u64, life: &str, capacity: &Resources, used: &Resources) {
        let over = used.millicores > capacity.millicores
            || used.memory_mb > capacity.memory_mb
            || used.accelerators > capacity.accelerators;
        if over {
            self.violations.push(format!("{now} ms: {life} has {capacity:?} and runs {used:?}"));
        }
    }

    /// Checks that every subtask of a job that is shown as completed has a listed end as done.
    pub fn completed(&mut self, now: u64, job: &str, subtasks: impl Iterator<Item = Task>) {
        for task in subtasks {
            if !self.ever_done.contains(&task) {
                self.violations
                    .push(format!("{now} ms: {job} shown as completed, {task} never ended as done"));
            }
        }
    }
}
