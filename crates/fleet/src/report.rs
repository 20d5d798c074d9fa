//! Reports of an agent to the planner about its worker.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::task::Task;

/// State of one worker, sent by its agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the agent's instance.
    pub agent: String,
    /// Random number of the agent's incarnation.
    #[serde(rename = "agent_life")]
    pub agent_incarnation: u64,
    /// Sequence number; increases with every report of an agent's incarnation.
    pub seq: u64,
    /// The worker; `None` while the agent knows of no worker.
    pub worker: Option<WorkerInfo>,
    /// Time for which nothing had answered at the worker's address when this incarnation was adopted, in milliseconds;
    /// `None` if the agent noticed no interruption.
    pub silent_before_ms: Option<u64>,
    /// Runs that the worker lists as running.
    pub running: Vec<Running>,
    /// Unacknowledged ends that the worker lists, in order.
    pub ended: Vec<End>,
    /// Runs that will never occupy resources on the worker: refused, or stopped before they arrived.
    #[serde(rename = "gone")]
    pub not_started: Vec<NotStarted>,
    /// What the agent first saw of the runs; only until the planner has replied to a report.
    pub first_marks: Vec<FirstMark>,
}

/// What an agent first saw of a run, so that a new planner can tell how old and how fast it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstMark {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
    /// Progress then, in percent.
    pub percent: u64,
    /// Whether the agent had just started the run.
    pub is_start: bool,
}

/// A worker's announcement of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Name of this incarnation of the worker.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// Service whose jobs it runs.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Labels: its kind and, last, its rack.
    pub labels: Vec<String>,
    /// Total capacity.
    pub capacity: Resources,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Time left before it shuts down, in milliseconds, while it drains.
    pub remaining_ms: Option<u64>,
}

/// Reason of a run that is gone because its worker's process has ended.
pub const WORKER_CRASHED: &str = "the worker has crashed";

/// A run in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Newest saved progress; empty if there is none.
    pub saved: String,
    /// Progress in percent.
    pub percent: u64,
    /// Tail latency in milliseconds of a serving subtask, otherwise the CPU in use.
    #[serde(rename = "figure")]
    pub measurement: u64,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// The run finished with its result.
    Done,
    /// The run failed through its own fault or the worker's.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The run waited for the other members of its gang without success.
    Alone,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Number of the end within the worker's incarnation.
    #[serde(rename = "n")]
    pub number: u64,
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    #[serde(rename = "how")]
    pub reason: EndReason,
    /// Saved progress; empty if there is none.
    pub saved: String,
}

/// A run that does not occupy resources on the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStarted {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Reason for the logs.
    #[serde(rename = "why")]
    pub reason: String,
}
