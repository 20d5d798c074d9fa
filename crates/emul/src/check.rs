//! Checks of the scheduler's invariants against the history of runs on the workers.

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::{Resources, Step, Task};

/// Longest time that an accepted job may have nothing running beside ample free room, in milliseconds: the users' bound.
pub const START_BOUND_MS: u64 = 3_000;

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
    /// Time of the first start of each job, in milliseconds.
    pub first_starts: BTreeMap<String, u64>,
}

impl History {
    /// Records a start. A subtask must not start while it has another run or after it is acknowledged as done.
    pub fn record_start(&mut self, now_ms: u64, task: &Task, run: u64) {
        self.starts += 1;
        self.first_starts.entry(task.job.clone()).or_insert(now_ms);
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

    /// Returns the first step of a job with a subtask whose turn has come and that has not ended as done.
    pub fn startable_step<'a>(&self, job: &str, steps: &'a [Step]) -> Option<(u32, &'a Step)> {
        let task = |step: u32, index: u32| Task { job: job.to_owned(), occurrence: 0, step, index };
        let listed_done = |task: &Task| {
            let mut ends = self.unacknowledged.values().flatten();
            ends.any(|(_, ended, reason)| ended == task && *reason == EndReason::Done)
        };
        let is_done = |step: u32| {
            let count = steps.get(step as usize).map_or(0, |params| params.count);
            (0..count).all(|index| self.acknowledged_done.contains(&task(step, index)))
        };
        let is_wanted = |step: u32, index: u32| {
            let task = task(step, index);
            !self.acknowledged_done.contains(&task) && !listed_done(&task)
        };
        (0..).zip(steps).find(|(step, params)| {
            params.depends_on.iter().all(|before| is_done(*before))
                && (0..params.count).any(|index| is_wanted(*step, index))
        })
    }
}

/// Resources of a worker that can run subtasks.
#[derive(Clone, Copy, Debug)]
pub struct WorkerRoom {
    pub capacity: Resources,
    /// Capacity that no run uses; what is being stopped still counts as used.
    pub free: Resources,
}

/// Checks that no accepted job waits with nothing running beside ample free room.
///
/// Room is ample if the unit fits twice on workers that can run it while less than half of each resource of these workers
/// is in use. Racks don't matter: a unit that prefers one may run on several.
#[derive(Debug, Default)]
pub struct StartBound {
    /// Time since which each job has waited beside ample room, in milliseconds, and whether that was reported.
    waiting: BTreeMap<String, (u64, bool)>,
    /// End of the last fault, in milliseconds.
    calm_from_ms: u64,
    /// Jobs that waited for longer than the bound, each with its time.
    pub violations: Vec<String>,
}

impl StartBound {
    /// Records a fault that lasts until `until_ms`. All waits are counted anew from its end.
    pub fn record_fault(&mut self, until_ms: u64) {
        self.calm_from_ms = self.calm_from_ms.max(until_ms);
        self.waiting.clear();
    }

    /// Returns whether waits count at `now_ms`: no fault lasts, and less than half of each resource is in use.
    pub fn is_due(&mut self, now_ms: u64, rooms: &[WorkerRoom]) -> bool {
        let (mut capacity, mut free) = (Resources::default(), Resources::default());
        for room in rooms {
            capacity += room.capacity;
            free += room.free;
        }
        let is_half_idle = 2 * free.millicores > capacity.millicores
            && 2 * free.memory_mb > capacity.memory_mb
            && 2 * free.accelerators > capacity.accelerators;
        let is_due = now_ms >= self.calm_from_ms && is_half_idle;
        if !is_due {
            self.waiting.clear();
        }
        is_due
    }

    /// Checks the jobs with nothing running and the step of each whose turn has come. `explain` returns what the planner
    /// says about a job.
    pub fn check<'a>(
        &mut self,
        now_ms: u64,
        rooms: &[WorkerRoom],
        jobs: impl Iterator<Item = (&'a str, u32, &'a Step)>,
        explain: impl Fn(&str) -> String,
    ) {
        let mut waiting = BTreeMap::new();
        for (job, number, step) in jobs {
            let need = step.reserved();
            let members = if step.gang { i64::from(step.count) } else { 1 };
            let per_worker = step.max_per_worker.map_or(members, |most| members.min(i64::from(most)));
            // The second copy of the unit is another one, with a limit per worker of its own.
            let fitting: i64 =
                rooms.iter().map(|room| room.free.copies_of(&need).clamp(0, 2 * per_worker)).sum();
            if fitting < 2 * members {
                continue;
            }
            let (since_ms, mut reported) = self.waiting.remove(job).unwrap_or((now_ms, false));
            if !reported && now_ms >= since_ms + START_BOUND_MS {
                reported = true;
                let mut free = Resources::default();
                rooms.iter().for_each(|room| free += room.free);
                let (gang, one_rack) = (step.gang, step.prefers_one_rack);
                self.violations.push(format!(
                    "{now_ms} ms: {job} has had nothing running since {since_ms} ms; step {number} needs {members} x {need} \
                     (gang {gang}, one rack {one_rack}), room for {fitting} in {free} on {} workers; {}",
                    rooms.len(),
                    explain(job),
                ));
            }
            waiting.insert(job.to_owned(), (since_ms, reported));
        }
        self.waiting = waiting;
    }
}
