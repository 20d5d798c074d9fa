//! What entries and other agents ask an agent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::route::NotRun;
use sorrelland_core::shape::Amount;
use sorrelland_core::table::Class;
use sorrelland_core::tick::Cause;
use sorrelland_lease::{Epoch, GangState, Key, Phase, Refusal, RenewalReply};

/// A short request handed to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exec {
    /// Identity of the request; the answer carries it back.
    pub request: String,
    /// Account on whose behalf it runs.
    pub account: AccountId,
    /// Idempotency key; present for every non-idempotent request.
    pub key: Option<Key>,
    /// Body for the upstream.
    pub body: Vec<u8>,
    /// Time left until the caller's deadline, in milliseconds.
    pub left_ms: Millis,
}

/// An agent's answer to a short request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecReply {
    /// Identity of the request.
    pub request: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of a short request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's whole answer.
    Done {
        /// HTTP status of the upstream.
        status: u16,
        /// Body of the upstream.
        body: Vec<u8>,
    },
    /// The work truly did not run and will not run under this key.
    NotRun {
        /// Why.
        reason: NotRun,
        /// When to come back, in milliseconds.
        retry_ms: Millis,
    },
    /// The work may have run and will not be run again.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// A member of a gang and where its agent listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Address of its agent, as `ip:port`.
    pub address: String,
}

/// Asks an agent to hold slots for one epoch of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Name of the job.
    pub job: JobId,
    /// Attempt.
    pub epoch: Epoch,
    /// Life of the agent that is meant; a later life refuses, for it has forgotten what it fenced.
    pub incarnation: u64,
    /// Account of the job.
    pub account: AccountId,
    /// What one task takes.
    pub each: Amount,
    /// Tasks on this worker.
    pub tasks: u32,
    /// Urgency.
    pub class: Class,
    /// Whether the tasks may be checkpointed or stopped and run again.
    pub preemptible: bool,
    /// Why others may have to yield; `None` takes free room only.
    pub cause: Option<Cause>,
    /// All members, in order of name.
    pub members: Vec<Peer>,
    /// Worker whose agent commits.
    pub commit_point: WorkerId,
    /// Time without a word of the claimant after which the gang stops, in milliseconds.
    pub claim_lease_ms: Millis,
    /// Work for the upstream, as JSON text.
    pub work: String,
    /// Run time that earlier attempts kept, in milliseconds.
    pub done_ms: Millis,
}

/// An agent's answer to a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The slots are held.
    Held,
    /// Others are yielding; ask again.
    Yielding {
        /// Longest time until the room is free, in milliseconds.
        within_ms: Millis,
    },
    /// The epoch may not hold.
    Refused(Refusal),
    /// There is no room; the amount that is free tells the truth.
    Busy {
        /// Free amount.
        free: Amount,
    },
    /// The reservation was meant for an earlier life of the agent.
    OtherLife,
    /// The agent takes nothing new.
    Draining,
    /// The agent knows no configuration.
    NoConfig,
}

/// A member's renewal at its commit point.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Name of the job.
    pub job: JobId,
    /// Attempt.
    pub epoch: Epoch,
    /// Member that renews.
    pub member: WorkerId,
    /// Whether its tasks ended by themselves.
    pub finished: bool,
    /// Why its tasks failed, if they did.
    pub failed: Option<String>,
}

/// What an agent knows about a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GangStatus {
    /// Latest epoch and state at this commit point.
    pub gang: Option<(Epoch, GangState)>,
    /// Whether that gang ever went past the barrier.
    pub ever_committed: bool,
    /// Why the gang failed.
    pub failed: Option<String>,
    /// Epoch and phase that this agent holds as a member.
    pub hold: Option<(Epoch, Phase)>,
    /// Least epoch that this agent has not fenced.
    pub least_epoch: Epoch,
    /// Run time that a checkpoint kept, in milliseconds.
    pub done_ms: Millis,
}

/// The part of the configuration that an agent needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// Version of the configuration or of the plan, whichever is greater.
    pub offset: u64,
    /// Whether the worker is drained.
    pub drained: bool,
    /// Accounts that take no new work.
    pub paused: Vec<AccountId>,
    /// Backing of each account on this worker.
    pub backing: BTreeMap<AccountId, Amount>,
}

/// The service of an agent.
#[tarpc::service]
pub trait AgentRpc {
    /// Runs a short request on the upstream.
    async fn execute(exec: Exec) -> ExecReply;
    /// Holds slots for a gang.
    async fn reserve(reserve: Reserve) -> ReserveReply;
    /// Asks the commit point to commit.
    async fn commit(job: JobId, epoch: Epoch) -> Option<GangState>;
    /// Renews a member's hold at the commit point.
    async fn renew(renew: Renew) -> RenewalReply;
    /// Fences an epoch and everything before it.
    async fn stop(job: JobId, epoch: Epoch) -> GangStatus;
    /// Tells what the agent knows about a job; counts as a word of the claimant.
    async fn status(job: JobId) -> GangStatus;
    /// Puts a configuration in force; returns the offset in force.
    async fn configure(config: AgentConfig) -> u64;
}
