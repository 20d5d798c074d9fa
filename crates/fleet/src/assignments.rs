//! Assignments of a worker, sent by the planner to the worker's agent.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::task::Task;

/// Complete assignments of one worker. Every reply carries all of them, so the next reply makes up for a lost one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Assignments {
    /// Incarnation of the worker that the assignments apply to.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// Increases with every reply of a planner; agents ignore older replies.
    pub number: u64,
    /// Capacity of the worker that the starts were placed for.
    pub capacity: Resources,
    /// Time for which the agent may renew the worker's lease, in milliseconds from the sending of its report.
    pub grant_ms: u64,
    /// Runs to start that the last report did not list as running.
    pub starts: Vec<Start>,
    /// Runs to stop.
    pub stops: Vec<Stop>,
    /// Speed shares to set for runs.
    pub paces: Vec<Pace>,
    /// Ends up to this number are stored; the worker may discard them.
    #[serde(rename = "seen")]
    pub acknowledged: u64,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Job specification, as submitted.
    pub spec: String,
    /// Saved progress to continue from; empty if there is none.
    pub saved: String,
    /// Approval of the policy service, if one is needed.
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

/// Speed share of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The subtask.
    pub task: Task,
    /// Number of its run.
    pub run: u64,
    /// Share of full speed, in percent.
    pub percent: u64,
}
