//! What an agent tells the planner about its worker.

use serde::{Deserialize, Serialize};

use crate::room::Room;
use crate::task::Task;

/// State of one worker as its agent knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the agent's instance.
    pub agent: String,
    /// Random number of the agent's life.
    pub agent_life: u64,
    /// Rises with every report of an agent's life.
    pub seq: u64,
    /// The worker; `None` while the agent knows of none.
    pub worker: Option<WorkerInfo>,
    /// Runs that the worker lists as running.
    pub running: Vec<Running>,
    /// Ends that the worker lists and that were not yet confirmed, in order.
    pub ended: Vec<End>,
    /// Runs that will never take room on the worker: refused, or stopped before they arrived.
    pub gone: Vec<Gone>,
}

/// A worker as it announced itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Name of this life of the worker.
    pub life: String,
    /// Service whose jobs it runs.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Its whole capacity.
    pub capacity: Room,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Time left before it goes, in milliseconds, while it drains.
    pub remaining_ms: Option<u64>,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Newest saved progress; empty for none.
    pub saved: String,
    /// Progress in percent.
    pub percent: u64,
    /// Tail latency in milliseconds of a serving subtask, otherwise the processor in use.
    pub figure: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// With its result.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members.
    Alone,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Number of the end in the worker's life.
    pub n: u64,
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// How it ended.
    pub how: How,
    /// Saved progress; empty for none.
    pub saved: String,
}

/// Why a run takes no room on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Reason for the logs.
    pub why: String,
}
