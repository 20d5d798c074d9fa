//! RPC interface of an agent, called by entries and other agents.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::route::NotRun;
use sorrelland_core::shape::Amount;
use sorrelland_core::table::Class;
use sorrelland_core::tick::Cause;
use sorrelland_lease::{Epoch, GangState, Key, Phase, Refusal, RenewalReply};

/// Call that runs a short request on the agent's upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exec {
    /// Request ID; the reply carries the same one.
    pub request: String,
    /// Account on whose behalf the request runs.
    pub account: AccountId,
    /// Idempotency key; present for every non-idempotent request.
    pub key: Option<Key>,
    /// Body for the upstream.
    pub body: Vec<u8>,
    /// Time until the caller's deadline, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Millis,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecReply {
    /// ID of the request that this reply belongs to.
    pub request: String,
    pub outcome: Outcome,
}

/// Result of a short request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered completely.
    Done {
        /// HTTP status from the upstream.
        status: u16,
        /// Response body from the upstream.
        body: Vec<u8>,
    },
    /// The request did not run and will not run under this key.
    NotRun {
        reason: NotRun,
        /// Time after which to retry, in milliseconds.
        retry_ms: Millis,
    },
    /// The request may have run and will not be run again.
    Unknown { reason: String },
}

/// Member of a gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    pub worker: WorkerId,
    /// Address of the worker's agent, as `ip:port`.
    pub address: String,
}

/// Call that reserves slots on an agent for one epoch of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    pub job: JobId,
    /// Attempt of the job.
    pub epoch: Epoch,
    /// Expected incarnation of the agent; a later one refuses the call, since it has lost the fenced epochs.
    pub incarnation: u64,
    pub account: AccountId,
    /// Resources of one task.
    #[serde(rename = "each")]
    pub per_task: Amount,
    /// Number of tasks on this worker.
    pub tasks: u32,
    /// Urgency.
    pub class: Class,
    /// Whether the tasks may be checkpointed or stopped, and run again.
    pub preemptible: bool,
    /// Why other gangs may have to yield; with `None` only free capacity is used.
    pub cause: Option<Cause>,
    /// All members, sorted by name.
    pub members: Vec<Peer>,
    /// Worker whose agent commits the gang.
    pub commit_point: WorkerId,
    /// Time without a call from the claimant after which the gang stops, in milliseconds.
    pub claim_lease_ms: Millis,
    /// Work for the upstream, as JSON text.
    pub work: String,
    /// Run time preserved from earlier attempts, in milliseconds.
    pub done_ms: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The slots are held.
    Held,
    /// Other gangs are yielding; the caller should retry.
    Yielding {
        /// Longest time until the resources are free, in milliseconds.
        within_ms: Millis,
    },
    /// The epoch may not hold the slots.
    Refused(Refusal),
    /// Not enough resources are free.
    Busy {
        /// Resources that are free now.
        free: Amount,
    },
    /// The reservation was for an earlier incarnation of the agent.
    OtherLife,
    /// The agent accepts no new work.
    Draining,
    /// The agent has no configuration yet.
    NoConfig,
}

/// Renewal of a member's hold at its commit point.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    pub job: JobId,
    /// Attempt of the job.
    pub epoch: Epoch,
    /// Member whose hold is renewed.
    pub member: WorkerId,
    /// Whether the member's tasks ended by themselves.
    pub finished: bool,
    /// Why the member's tasks failed, if they did.
    pub failed: Option<String>,
}

/// State of a job on an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GangStatus {
    /// Latest epoch and its state, if this agent is the commit point.
    pub gang: Option<(Epoch, GangState)>,
    /// Whether that gang has ever passed the barrier.
    pub ever_committed: bool,
    /// Why the gang failed.
    pub failed: Option<String>,
    /// Epoch and phase that this agent holds as a member; a fenced epoch stays until the worker has confirmed the stop of
    /// its tasks or their lease is over.
    pub hold: Option<(Epoch, Phase)>,
    /// Lowest epoch that this agent has not fenced.
    #[serde(rename = "least_epoch")]
    pub min_unfenced_epoch: Epoch,
    /// Run time preserved by a checkpoint, in milliseconds.
    pub done_ms: Millis,
}

/// The part of the configuration that an agent needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// One past the version of the configuration or of the plan, whichever is greater.
    pub offset: u64,
    /// Whether the worker is drained.
    pub drained: bool,
    /// Accounts that may start no new work.
    pub paused: Vec<AccountId>,
    /// Backing of each account on this worker.
    pub backing: BTreeMap<AccountId, Amount>,
}

#[tarpc::service]
pub trait AgentRpc {
    /// Runs a short request on the upstream.
    async fn execute(exec: Exec) -> ExecReply;
    /// Reserves slots for a gang.
    async fn reserve(reserve: Reserve) -> ReserveReply;
    /// Asks the commit point to commit.
    async fn commit(job: JobId, epoch: Epoch) -> Option<GangState>;
    /// Renews a member's hold at the commit point.
    async fn renew(renew: Renew) -> RenewalReply;
    /// Fences an epoch and all earlier ones.
    async fn stop(job: JobId, epoch: Epoch) -> GangStatus;
    /// Returns the state of a job; the call renews the claimant's lease on it.
    async fn status(job: JobId) -> GangStatus;
    /// Applies a configuration, unless the one in force is as new or newer; returns the offset of the one in force.
    async fn configure(config: AgentConfig) -> u64;
}
