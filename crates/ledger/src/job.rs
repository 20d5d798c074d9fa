//! Jobs as recorded in the log.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::id::WorkerId;
use sorrelland_core::policy::Millis;
use sorrelland_core::table::{Demand, Placement};
use sorrelland_lease::Epoch;

/// Job as a caller submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct JobSpec {
    /// Resources, class and declared run time.
    #[serde(flatten)]
    pub demand: Demand,
    /// Whether the job may be started again after a failure.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Work for the upstream, passed on unchanged.
    #[serde(default)]
    pub work: serde_json::Value,
}

fn default_idempotent() -> bool {
    true
}

/// Final outcome of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum JobOutcome {
    /// Every task of the gang finished.
    Done,
    /// The work certainly did not run.
    NotRun {
        /// Cause, for the caller.
        reason: String,
    },
    /// The work was stopped after it had started.
    Cancelled,
    /// The work may have run and will not be run again.
    Unknown {
        /// Cause, for the caller.
        reason: String,
    },
    /// The work ran and failed.
    Failed {
        /// Cause, for the caller.
        reason: String,
    },
}

/// Attempt whose placement is recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RecordedAttempt {
    /// Epoch of the attempt.
    pub epoch: Epoch,
    /// Number of tasks on each worker.
    pub placement: Placement,
    /// Worker whose agent is the commit point.
    pub commit_point: WorkerId,
}

/// Stage of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "stage", rename_all = "snake_case")]
pub enum Stage {
    /// The job waits to be placed.
    Waiting,
    /// An attempt holds its workers; the tasks may be running.
    Placed(RecordedAttempt),
    /// The job has its final outcome.
    Ended(JobOutcome),
}

/// Job as recorded in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Job {
    /// Job as submitted.
    pub spec: JobSpec,
    /// Wall-clock time of the acceptance, in milliseconds since 1970.
    #[serde(rename = "at_ms")]
    pub accepted_ms: Millis,
    /// Entry that claimed the job and places it.
    pub claimant: Option<String>,
    /// Log offset of the latest claim; 0 if there is none.
    pub claim: u64,
    /// Whether its cancellation was requested.
    pub cancelled: bool,
    /// Run time saved by checkpoints, in milliseconds.
    pub done_ms: Millis,
    /// Greatest epoch recorded for the job.
    pub last_epoch: Epoch,
    pub stage: Stage,
}
