//! What the planner wants of a worker, told to its agent.

use serde::{Deserialize, Serialize};

use crate::task::Task;

/// The planner's wish for one worker. It is the whole wish each time, so a lost answer loses nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Life of the worker that is meant.
    pub life: String,
    /// Rises with every answer of a planner; an agent ignores older ones.
    pub number: u64,
    /// Time that the agent may keep the worker's lease alive, in milliseconds from the sending of its report.
    pub grant_ms: u64,
    /// Runs to start that the report did not show.
    pub starts: Vec<Start>,
    /// Runs to stop.
    pub stops: Vec<Stop>,
    /// Shares of speed to set for runs.
    pub paces: Vec<Pace>,
    /// Ends up to this number are stored and may be forgotten by the worker.
    pub seen: u64,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Text that the caller handed in.
    pub spec: String,
    /// Saved progress to continue from; empty for none.
    pub saved: String,
    /// Approval of the policy service, where one is needed.
    pub ticket: Option<String>,
}

/// A run to stop.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stop {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
}

/// A share of speed for a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Share in percent.
    pub percent: u64,
}
