//! Calls between entries, and from agents to entries.
//!
//! The encoding doesn't name its fields: a change of a type here, or of a type that it contains, is a new version of the
//! calls (see docs/design/upgrades.md).

use std::time::Duration;

use crate::peers::Listed;
use serde::{Deserialize, Serialize};
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::desired::Address;
use sorrelland_fleet::job::{JobState, Submission};
use sorrelland_fleet::report::Report;
use sorrelland_fleet::view::Query;
use sorrelland_fleet::{Caller, Terms};
use sorrelland_wire::connect::{CallError, Pool, call_context};
use tarpc::client::RpcError;

/// An entry that leads or has led according to its claim in the store; its epoch is 0 if it has claimed nothing yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Fencing token: rises with every claim and is never used twice.
    pub epoch: u64,
    /// Name of the leader's instance.
    pub instance: String,
    /// Address of the leader for calls.
    pub address: String,
    /// Random number that identifies the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Request of an entry to the planner on behalf of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlannerRequest {
    /// Submits a job.
    Submit {
        sub: Submission,
        /// Number that all attempts of one call have in common. Once one of them is answered with "not run", a copy that
        /// arrives later is, too.
        call: u64,
        /// Epoch of the newest leader that the entry knew when the caller's request arrived; `None` from an earlier build.
        known_epoch: Option<u64>,
    },
    /// Reads the state of a job, whoever's it is; from an earlier build.
    State(String),
    /// Cancels a job, whoever's it is; from an earlier build.
    Cancel(String),
    /// Counts the jobs of a queue that have not started.
    Pending(String),
    /// Reads a view for an operator.
    #[serde(rename = "Show")]
    View(Query),
    /// Shows where a job would be placed, without submitting it; the reply is a view.
    Explain(Submission),
    /// Reads the state of a caller's job.
    StateFor { job: String, caller: Caller },
    /// Cancels a caller's job.
    CancelFor { job: String, caller: Caller },
    /// Submits a job on a queue as the entry knows it; the other fields are those of `Submit`.
    SubmitTo { sub: Submission, call: u64, known_epoch: Option<u64>, terms: Terms },
    /// A request with the address of the queue that it is sent to.
    At {
        address: Address,
        /// Version of the desired state in which the entry has found the queue.
        version: u64,
        req: QueueRequest,
    },
}

/// A request that depends on where the queue is that it is sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QueueRequest {
    /// Reads the state of a caller's job.
    State { job: String, caller: Caller },
    /// Cancels a caller's job.
    Cancel { job: String, caller: Caller },
    /// Counts the jobs of a queue that have not started.
    Pending(String),
}

impl PlannerRequest {
    /// Creates a request to a queue as the entry knows it.
    pub fn at(Terms { version, queue }: &Terms, req: QueueRequest) -> Self {
        Self::At { address: queue.address.clone(), version: *version, req }
    }

    /// Returns the request as builds know it that tell queues by their names alone.
    pub(crate) fn without_address(self) -> Self {
        match self {
            Self::SubmitTo { sub, call, known_epoch, .. } => Self::Submit { sub, call, known_epoch },
            Self::At { req: QueueRequest::State { job, caller }, .. } => Self::StateFor { job, caller },
            Self::At { req: QueueRequest::Cancel { job, caller }, .. } => Self::CancelFor { job, caller },
            Self::At { req: QueueRequest::Pending(queue), .. } => Self::Pending(queue),
            req => req,
        }
    }

    /// Returns the request as earlier builds know it, which name no caller. A cancel would end the job of another caller, so
    /// that they are asked for something that changes nothing in its place; the reply shows the build.
    pub(crate) fn without_caller(self) -> Self {
        match self.without_address() {
            Self::StateFor { job, .. } => Self::State(job),
            Self::CancelFor { caller, .. } => Self::Pending(caller.queue),
            req => req,
        }
    }
}

/// The planner's reply to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlannerReply {
    /// The called process does not plan; it may know the leader.
    NotPlanner(Option<Leader>),
    /// The job is stored.
    Accepted,
    /// The job is not accepted and has not run.
    Refused {
        /// Reason for the caller.
        why: String,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Nothing of the job is stored or will be: the store doesn't answer. It has not run. As the reply to a cancel: the job is
    /// unknown, and the cancel can't be stored.
    NotRun {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// State of the job; `None` if no such job exists.
    State(Option<JobState>),
    /// Whether such a job exists. Its cancellation is stored either way, so that a submission on its way finds it.
    Cancelled(bool),
    /// Number of jobs that have not started.
    Pending(u64),
    /// The view, as JSON.
    #[serde(rename = "Shown")]
    View(String),
    /// The change was not confirmed in time; it may be stored already or later.
    Unresolved,
    /// A leader of an earlier build doesn't know the job that it was asked to cancel. It has stored nothing, so a submission
    /// on its way may still be accepted. Never sent.
    #[serde(skip)]
    CancelNotStored,
    /// A final answer that a leader of an earlier build gives from memory, though it may have been superseded: that there is
    /// no such job, or a refusal. Never sent.
    #[serde(skip)]
    FromMemory(Box<PlannerReply>),
    /// What a leader of an earlier build replies of the job of a name. If it knows no callers, that is its state, or that it is
    /// stored, and it may be another caller's. If it tells queues by their names, that is that the caller has no such job, or
    /// that it has not run, and it may have one. Never sent.
    #[serde(skip)]
    ByName(Box<PlannerReply>),
}

impl PlannerReply {
    /// Marks the replies of a leader that knows no callers and are about the job of a name, whoever's it is.
    pub(crate) fn by_name(self) -> Self {
        match self {
            Self::Accepted | Self::State(Some(_)) => Self::ByName(Box::new(self)),
            reply => reply,
        }
    }

    /// Marks the replies of a leader that tells queues by their names, and says that the caller has no job of a name.
    pub(crate) fn by_queue_name(self) -> Self {
        match self {
            Self::State(None) | Self::Cancelled(false) | Self::Refused { .. } | Self::NotRun { .. } => {
                Self::ByName(Box::new(self))
            }
            reply => reply,
        }
    }
}

/// Reply to an agent's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportReply {
    /// The called process does not plan; it may know the leader.
    NotPlanner(Option<Leader>),
    /// The planner's assignments for the worker.
    #[serde(rename = "Orders")]
    Assignments {
        /// Epoch of the planner.
        epoch: u64,
        /// The assignments; `None` while the planner knows no worker of the agent.
        #[serde(rename = "orders")]
        assignments: Option<Assignments>,
        /// Addresses of the entries, which the agent asks for the leader when the planner does not answer.
        entries: Vec<String>,
    },
}

/// Update that an entry sends to another one, or an agent to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ping {
    /// Address of the sender; empty for an agent.
    pub address: String,
    /// The sender's share of a processor, in thousandths of a core.
    pub millicores: u64,
    /// Leader that the sender knows.
    #[serde(rename = "holder")]
    pub leader: Option<Leader>,
    /// Version of the sender's desired state.
    pub version: u64,
    /// Whether the sender can lead.
    pub can_lead: bool,
    /// Newest version of the calls that the sender speaks.
    pub calls: u16,
}

/// Reply to a ping.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pong {
    /// Leader that the called entry knows.
    #[serde(rename = "holder")]
    pub leader: Option<Leader>,
    /// How long the store has rejected the calls of the called entry if it leads, in milliseconds; 0 otherwise.
    pub store_failing_ms: u64,
    /// Desired state as stored, if the sender's is older.
    pub desired: Option<Vec<u8>>,
    /// The live entries that the called one knows, with itself.
    pub entries: Vec<Listed>,
}

/// Reply to a leader that offers the leadership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferReply {
    /// The called entry has claimed the leadership.
    Claimed(Leader),
    /// It hasn't, for the given reason; the leader goes on.
    Declined(String),
}

/// Calls that an entry serves.
#[tarpc::service]
pub trait PlanRpc {
    /// Applies an agent's report; the reply may wait until the assignments change.
    async fn report(report: Report) -> ReportReply;
    /// Handles the request of a caller, who waits for `wait_ms`.
    async fn request(req: PlannerRequest, wait_ms: u64) -> PlannerReply;
    /// Exchanges the known leader, desired state and entries.
    async fn ping(ping: Ping) -> Pong;
    /// Claims the leadership from the caller, who leads with `epoch` until the claim is stored.
    async fn take_over(epoch: u64) -> OfferReply;
}

/// Pool of connections to entries.
pub type EntryPool = Pool<PlanRpcClient>;

/// Makes a call, and discards the connection when the reply is late, since it may have failed without an error.
///
/// # Errors
///
/// Returns whether the call was never sent or may have been delivered.
pub async fn call<T, F>(
    pool: &EntryPool,
    address: &str,
    timeout: Duration,
    send: impl FnOnce(PlanRpcClient, tarpc::context::Context) -> F,
) -> Result<T, CallError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let cx = call_context(timeout);
    let result = tokio::time::timeout(timeout, pool.call(address, |client| send(client, cx))).await;
    match result {
        Ok(Err(CallError::Rpc(RpcError::DeadlineExceeded))) | Err(_) => {
            pool.discard(address);
            Err(CallError::Rpc(RpcError::DeadlineExceeded))
        }
        Ok(result) => result,
    }
}
