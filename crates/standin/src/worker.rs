//! Tasks of a worker and their leases. There is no timer: each call that reads or changes tasks, except
//! [`Tasks::usage`], first advances all of them to the given time.

use std::collections::{BTreeMap, VecDeque};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum number of events in a worker's history; older ones are dropped.
pub const MAX_HISTORY_EVENTS: usize = 100_000;

/// Delay with which a started task shows in the reported usage.
pub const USAGE_LAG_MS: u64 = 500;

/// Size of a worker and its upstream.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Sizes {
    pub name: String,
    /// Number of task slots, and of requests that the upstream runs at a time.
    pub slots: u32,
    pub accelerators: u32,
    /// Number of requests that the upstream accepts at a time.
    pub connections: u32,
    pub processors: u32,
    pub memory_gb: u32,
}

/// Parameters of a new task.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct TaskSpec {
    /// Name of the task, unique on the worker.
    pub task: String,
    pub job: String,
    /// Attempt of the job; the worker starts no task of an older attempt.
    pub epoch: u64,
    /// Number of accelerators that the task occupies.
    pub accelerators: u32,
    /// Time for which the task may run without a renewal of its lease, in milliseconds.
    pub lease_ms: u64,
    /// Run time preserved by a checkpoint, in milliseconds.
    #[serde(default)]
    pub done_ms: u64,
    /// Work description: `run_ms` is the run time in milliseconds; the task fails at once if `fail` is true.
    #[serde(default)]
    pub work: Value,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Running,
    /// The task ended by itself, without failing.
    Done,
    Failed,
    /// The task was stopped by a request.
    Stopped,
    /// The worker stopped the task because its lease ended.
    Lapsed,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Task {
    pub spec: TaskSpec,
    pub state: TaskState,
    /// Run time so far, earlier attempts included, in milliseconds.
    pub done_ms: u64,
    /// Speed in percent of full speed.
    pub speed_percent: u64,
    started_ms: u64,
    /// Time up to which `done_ms` is computed.
    #[serde(rename = "settled_ms")]
    updated_ms: u64,
    lease_end_ms: u64,
}

/// Event in the history of a worker.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Event {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// One of `start`, `done`, `failed`, `stopped`, `lapsed` and `request`.
    #[serde(rename = "what")]
    pub kind: String,
    /// Job of the task, or request ID.
    #[serde(rename = "of")]
    pub subject: String,
    /// Name of the task, or idempotency key of the request.
    pub id: String,
    /// Attempt of the job; 0 for a request.
    pub epoch: u64,
}

/// Why a worker refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Not enough slots or accelerators are free.
    Full,
    /// A newer attempt of the job is known.
    StaleEpoch,
    /// No such task is running.
    NoTask,
}

/// The tasks of a worker.
pub struct Tasks {
    sizes: Sizes,
    tasks: BTreeMap<String, Task>,
    /// Newest epoch of each job.
    epochs: BTreeMap<String, u64>,
    history: VecDeque<Event>,
    origin_ms: u64,
    /// Whether each task fails when it starts, and each request fails.
    pub fail_everything: bool,
}

impl Tasks {
    /// Creates an empty table; `origin_ms` is the wall-clock time at which the monotonic clock was zero.
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

    pub fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    pub fn list(&mut self, now_ms: u64) -> Vec<Task> {
        self.advance(now_ms);
        self.tasks.values().cloned().collect()
    }

    pub fn history(&mut self, now_ms: u64) -> Vec<Event> {
        self.advance(now_ms);
        self.history.iter().cloned().collect()
    }

    /// Starts a task. If the task exists already, returns it unchanged.
    ///
    /// # Errors
    ///
    /// Refuses a task of an older attempt, and one for which not enough slots or accelerators are free.
    pub fn start(&mut self, spec: TaskSpec, now_ms: u64) -> Result<Task, Refusal> {
        self.advance(now_ms);
        if let Some(task) = self.tasks.get(&spec.task) {
            return Ok(task.clone());
        }
        let newest_epoch = self.epochs.entry(spec.job.clone()).or_default();
        if spec.epoch < *newest_epoch {
            return Err(Refusal::StaleEpoch);
        }
        *newest_epoch = spec.epoch;
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
            updated_ms: now_ms,
            lease_end_ms: now_ms + spec.lease_ms,
            spec,
        };
        self.record_task_event(now_ms, "start", &task);
        if fails {
            self.record_task_event(now_ms, "failed", &task);
        }
        self.tasks.insert(task.spec.task.clone(), task.clone());
        Ok(task)
    }

    /// Extends a running task's lease.
    ///
    /// # Errors
    ///
    /// Refuses if the task is not running.
    pub fn renew(&mut self, name: &str, lease_ms: u64, now_ms: u64) -> Result<(), Refusal> {
        self.advance(now_ms);
        let task = self.running_task(name)?;
        task.lease_end_ms = task.lease_end_ms.max(now_ms + lease_ms);
        Ok(())
    }

    /// Sets a running task's speed, in percent of full speed.
    ///
    /// # Errors
    ///
    /// Refuses if the task is not running.
    pub fn throttle(&mut self, name: &str, percent: u64, now_ms: u64) -> Result<(), Refusal> {
        self.advance(now_ms);
        self.running_task(name)?.speed_percent = percent.min(100);
        Ok(())
    }

    /// Returns the run time that a checkpoint of a running task preserves, in milliseconds.
    ///
    /// # Errors
    ///
    /// Refuses if the task is not running.
    pub fn checkpoint(&mut self, name: &str, now_ms: u64) -> Result<u64, Refusal> {
        self.advance(now_ms);
        Ok(self.running_task(name)?.done_ms)
    }

    /// Stops a task if it is running.
    pub fn stop(&mut self, name: &str, now_ms: u64) {
        self.advance(now_ms);
        let Ok(task) = self.running_task(name) else { return };
        task.state = TaskState::Stopped;
        let task = task.clone();
        self.record_task_event(now_ms, "stopped", &task);
    }

    /// Records that the upstream has started a request.
    pub fn record_request(&mut self, request: &str, key: &str, now_ms: u64) {
        let event = Event {
            at_ms: self.origin_ms + now_ms,
            kind: "request".to_owned(),
            subject: request.to_owned(),
            id: key.to_owned(),
            epoch: 0,
        };
        self.push_event(event);
    }

    /// Returns slots and accelerators in use. Tasks started within the last [`USAGE_LAG_MS`] are not counted.
    pub fn usage(&self, now_ms: u64) -> (u32, u32) {
        let cutoff_ms = now_ms.saturating_sub(USAGE_LAG_MS);
        let running =
            self.tasks.values().filter(|t| t.state == TaskState::Running && t.started_ms <= cutoff_ms);
        running.fold((0, 0), |(s, a), t| (s + 1, a + t.spec.accelerators))
    }

    fn running_task(&mut self, name: &str) -> Result<&mut Task, Refusal> {
        let task = self.tasks.get_mut(name).filter(|t| t.state == TaskState::Running);
        task.ok_or(Refusal::NoTask)
    }

    /// Brings all running tasks up to `now_ms`, and ends those that have finished or whose lease has ended.
    fn advance(&mut self, now_ms: u64) {
        let mut ended = Vec::new();
        for task in self.tasks.values_mut().filter(|t| t.state == TaskState::Running) {
            let run_ms = task.spec.work.get("run_ms").and_then(Value::as_u64).unwrap_or_default();
            let remaining_ms = run_ms.saturating_sub(task.done_ms);
            let end_ms = match task.speed_percent {
                0 => u64::MAX,
                percent => task.updated_ms + remaining_ms * 100 / percent,
            };
            let until_ms = now_ms.min(task.lease_end_ms);
            let elapsed_ms = until_ms.saturating_sub(task.updated_ms);
            task.done_ms += (elapsed_ms * task.speed_percent / 100).min(remaining_ms);
            task.updated_ms = task.updated_ms.max(until_ms);
            if end_ms <= now_ms && end_ms <= task.lease_end_ms {
                task.state = TaskState::Done;
                ended.push((end_ms, "done", task.clone()));
            } else if task.lease_end_ms <= now_ms {
                task.state = TaskState::Lapsed;
                ended.push((task.lease_end_ms, "lapsed", task.clone()));
            }
        }
        for (at_ms, kind, task) in ended {
            self.record_task_event(at_ms, kind, &task);
        }
    }

    fn record_task_event(&mut self, now_ms: u64, kind: &str, task: &Task) {
        let event = Event {
            at_ms: self.origin_ms + now_ms,
            kind: kind.to_owned(),
            subject: task.spec.job.clone(),
            id: task.spec.task.clone(),
            epoch: task.spec.epoch,
        };
        self.push_event(event);
    }

    fn push_event(&mut self, event: Event) {
        if self.history.len() >= MAX_HISTORY_EVENTS {
            self.history.pop_front();
        }
        self.history.push_back(event);
    }
}
