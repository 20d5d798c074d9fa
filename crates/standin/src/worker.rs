//! Tasks of a worker under leases, in a table that settles with time.

use std::collections::{BTreeMap, VecDeque};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Events that a worker's history keeps.
pub const HISTORY_LIMIT: usize = 100_000;

/// Lag of the usage report, in milliseconds.
pub const USAGE_LAG_MS: u64 = 500;

/// Sizes of a worker.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Sizes {
    /// Name of the worker.
    pub name: String,
    /// Task slots; also requests that its upstream runs at a time.
    pub slots: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Connections that its upstream takes.
    pub connections: u32,
    /// Processors.
    pub processors: u32,
    /// Memory in gigabytes.
    pub memory_gb: u32,
}

/// What a task is started with.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct TaskSpec {
    /// Name of the task, unique on the worker.
    pub task: String,
    /// Job that the task belongs to.
    pub job: String,
    /// Attempt; a worker starts nothing of an older attempt.
    pub epoch: u64,
    /// Accelerators that the task takes.
    pub accelerators: u32,
    /// Time for which the task may run without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Run time that a checkpoint kept, in milliseconds.
    #[serde(default)]
    pub done_ms: u64,
    /// What to do; `run_ms` and `fail` are understood.
    #[serde(default)]
    pub work: Value,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task ended by itself.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped.
    Stopped,
    /// The lease ended and the worker stopped the task.
    Lapsed,
}

/// A task on the worker.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Task {
    /// What it was started with.
    pub spec: TaskSpec,
    /// How far it has come.
    pub state: TaskState,
    /// Run time so far, earlier attempts included, in milliseconds.
    pub done_ms: u64,
    /// Share of full speed, in percent.
    pub speed_percent: u64,
    started_ms: u64,
    settled_ms: u64,
    lease_end_ms: u64,
}

/// One event of the history.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Event {
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// What happened: `start`, `done`, `failed`, `stopped`, `lapsed` or `request`.
    pub what: String,
    /// Job of the task, or identity of the request.
    pub of: String,
    /// Task, or key of the request.
    pub id: String,
    /// Attempt.
    pub epoch: u64,
}

/// Why a worker did not do as asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No slot or accelerator is free.
    Full,
    /// A newer attempt was seen.
    OldEpoch,
    /// There is no such running task.
    NoTask,
}

/// The tasks of a worker.
pub struct Tasks {
    sizes: Sizes,
    tasks: BTreeMap<String, Task>,
    epochs: BTreeMap<String, u64>,
    history: VecDeque<Event>,
    origin_ms: u64,
    /// Whether everything that starts fails.
    pub fail_everything: bool,
}

impl Tasks {
    /// Creates a worker without tasks; `origin_ms` is the wall time at monotonic zero.
    pub fn new(sizes: Sizes, origin_ms: u64) -> Self {
        Self {
            sizes,
            tasks: BTreeMap::new(),
            epochs: BTreeMap::new(),
            history: VecDeque::new(),
            origin_ms,
            fail_everything: false,
        }
    }

    /// Returns the sizes.
    pub fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// Returns the tasks as they stand at `now_ms`.
    pub fn list(&mut self, now_ms: u64) -> Vec<Task> {
        self.settle(now_ms);
        self.tasks.values().cloned().collect()
    }

    /// Returns the history.
    pub fn history(&mut self, now_ms: u64) -> Vec<Event> {
        self.settle(now_ms);
        self.history.iter().cloned().collect()
    }

    /// Starts a task; asking again for the same task changes nothing.
    ///
    /// # Errors
    ///
    /// Refuses an older attempt, and a task for which there is no room.
    pub fn start(&mut self, spec: TaskSpec, now_ms: u64) -> Result<Task, Refusal> {
        self.settle(now_ms);
        if let Some(task) = self.tasks.get(&spec.task) {
            return Ok(task.clone());
        }
        let newest = self.epochs.entry(spec.job.clone()).or_default();
        if spec.epoch < *newest {
            return Err(Refusal::OldEpoch);
        }
        *newest = spec.epoch;
        let running = self.tasks.values().filter(|t| t.state == TaskState::Running);
        let (slots, used) = running.fold((0, 0), |(s, a), t| (s + 1, a + t.spec.accelerators));
        if slots >= self.sizes.slots || used + spec.accelerators > self.sizes.accelerators {
            return Err(Refusal::Full);
        }
        let fails = self.fail_everything || spec.work.get("fail").and_then(Value::as_bool) == Some(true);
        let task = Task {
            state: if fails { TaskState::Failed } else { TaskState::Running },
            done_ms: spec.done_ms,
            speed_percent: 100,
            started_ms: now_ms,
            settled_ms: now_ms,
            lease_end_ms: now_ms + spec.lease_ms,
            spec,
        };
        self.record(now_ms, "start", &task);
        if fails {
            self.record(now_ms, "failed", &task);
        }
        self.tasks.insert(task.spec.task.clone(), task.clone());
        Ok(task)
    }

    /// Extends a running task's lease.
    ///
    /// # Errors
    ///
    /// Refuses when the task does not run any more.
    pub fn renew(&mut self, name: &str, lease_ms: u64, now_ms: u64) -> Result<(), Refusal> {
        self.settle(now_ms);
        let task = self.running(name)?;
        task.lease_end_ms = task.lease_end_ms.max(now_ms + lease_ms);
        Ok(())
    }

    /// Sets a running task's speed.
    ///
    /// # Errors
    ///
    /// Refuses when the task does not run any more.
    pub fn throttle(&mut self, name: &str, percent: u64, now_ms: u64) -> Result<(), Refusal> {
        self.settle(now_ms);
        self.running(name)?.speed_percent = percent.min(100);
        Ok(())
    }

    /// Returns the run time that a checkpoint of a running task keeps.
    ///
    /// # Errors
    ///
    /// Refuses when the task does not run any more.
    pub fn checkpoint(&mut self, name: &str, now_ms: u64) -> Result<u64, Refusal> {
        self.settle(now_ms);
        Ok(self.running(name)?.done_ms)
    }

    /// Stops a task.
    pub fn stop(&mut self, name: &str, now_ms: u64) {
        self.settle(now_ms);
        let Ok(task) = self.running(name) else { return };
        task.state = TaskState::Stopped;
        let task = task.clone();
        self.record(now_ms, "stopped", &task);
    }

    /// Records a request that the upstream began.
    pub fn request(&mut self, request: &str, key: &str, now_ms: u64) {
        let event = Event {
            at_ms: self.origin_ms + now_ms,
            what: "request".to_owned(),
            of: request.to_owned(),
            id: key.to_owned(),
            epoch: 0,
        };
        self.push(event);
    }

    /// Returns slots and accelerators in use, as they stood a lag ago.
    pub fn usage(&self, now_ms: u64) -> (u32, u32) {
        let then_ms = now_ms.saturating_sub(USAGE_LAG_MS);
        let running =
            self.tasks.values().filter(|t| t.state == TaskState::Running && t.started_ms <= then_ms);
        running.fold((0, 0), |(s, a), t| (s + 1, a + t.spec.accelerators))
    }

    fn running(&mut self, name: &str) -> Result<&mut Task, Refusal> {
        let task = self.tasks.get_mut(name).filter(|t| t.state == TaskState::Running);
        task.ok_or(Refusal::NoTask)
    }

    fn settle(&mut self, now_ms: u64) {
        let mut ended = Vec::new();
        for task in self.tasks.values_mut().filter(|t| t.state == TaskState::Running) {
            let run_ms = task.spec.work.get("run_ms").and_then(Value::as_u64).unwrap_or_default();
            let left_ms = run_ms.saturating_sub(task.done_ms);
            let end_ms = match task.speed_percent {
                0 => u64::MAX,
                percent => task.settled_ms + left_ms * 100 / percent,
            };
            let until_ms = now_ms.min(task.lease_end_ms);
            let elapsed_ms = until_ms.saturating_sub(task.settled_ms);
            task.done_ms += (elapsed_ms * task.speed_percent / 100).min(left_ms);
            task.settled_ms = task.settled_ms.max(until_ms);
            if end_ms <= now_ms && end_ms <= task.lease_end_ms {
                task.state = TaskState::Done;
                ended.push((end_ms, "done", task.clone()));
            } else if task.lease_end_ms <= now_ms {
                task.state = TaskState::Lapsed;
                ended.push((task.lease_end_ms, "lapsed", task.clone()));
            }
        }
        for (at_ms, what, task) in ended {
            self.record(at_ms, what, &task);
        }
    }

    fn record(&mut self, now_ms: u64, what: &str, task: &Task) {
        let event = Event {
            at_ms: self.origin_ms + now_ms,
            what: what.to_owned(),
            of: task.spec.job.clone(),
            id: task.spec.task.clone(),
            epoch: task.spec.epoch,
        };
        self.push(event);
    }

    fn push(&mut self, event: Event) {
        if self.history.len() >= HISTORY_LIMIT {
            self.history.pop_front();
        }
        self.history.push_back(event);
    }
}
