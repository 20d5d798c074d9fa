//! Jobs as the log knows them.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::id::WorkerId;
use sorrelland_core::policy::Millis;
use sorrelland_core::table::{Demand, Placement};
use sorrelland_lease::Epoch;

/// What a caller submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct JobSpec {
    /// Resources, class and declared time.
    #[serde(flatten)]
    pub demand: Demand,
    /// Whether the job may be started again after a failure.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Work for the upstream; passed on as it is.
    #[serde(default)]
    pub work: serde_json::Value,
}

fn default_idempotent() -> bool {
    true
}

/// The final outcome of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Final {
    /// Every task of the gang finished.
    Done,
    /// The work truly did not run.
    NotRun {
        /// Why.
        reason: String,
    },
    /// The work was stopped after it had started.
    Cancelled,
    /// The work may have run and will not be run again.
    Unknown {
        /// Why.
        reason: String,
    },
    /// The work ran and failed.
    Failed {
        /// Why.
        reason: String,
    },
}

/// A recorded attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Placed {
    /// The attempt.
    pub epoch: Epoch,
    /// Tasks on each worker.
    pub placement: Placement,
    /// Worker whose agent commits.
    pub commit_point: WorkerId,
}

/// How far a job has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "stage", rename_all = "snake_case")]
pub enum Stage {
    /// The job waits for its gang.
    Waiting,
    /// An attempt holds its workers; it may run.
    Placed(Placed),
    /// The job has its final outcome.
    Ended(Final),
}

/// A job as the log knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Job {
    /// What was asked for.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since 1970.
    pub at_ms: Millis,
    /// Entry in charge.
    pub claimant: Option<String>,
    /// Offset of the claim; 0 for none.
    pub claim: u64,
    /// Whether an operator or caller asked to cancel it.
    pub cancelled: bool,
    /// Run time that checkpoints kept, in milliseconds.
    pub done_ms: Millis,
    /// The greatest epoch recorded.
    pub last_epoch: Epoch,
    /// How far it has come.
    pub stage: Stage,
}
