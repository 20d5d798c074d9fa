//! Calls between the project's own processes on the platform.

use std::io;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::job::{JobState, Submission};
use sorrelland_fleet::report::Report;
use sorrelland_fleet::view::Query;
use sorrelland_wire::connect::{CallError, Connect, Pool, call_context, connect_authenticated};
use tarpc::client::{Config, RpcError};
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;

/// The planner in office, as the store ordered it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Fencing token: rises with every planner and is never shared.
    pub epoch: u64,
    /// Name of the planner's instance.
    pub instance: String,
    /// Address of the planner for calls.
    pub address: String,
    /// Random number of the process that holds the office.
    pub life: u64,
}

/// What an entry asks the planner on behalf of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// To take in a job.
    Submit(Submission),
    /// The state of a job.
    State(String),
    /// To cancel a job.
    Cancel(String),
    /// The number of jobs of a queue that nothing has started of.
    Pending(String),
    /// What an operator wants to see.
    Show(Query),
}

/// The planner's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// The asked process does not plan; it may know who does.
    NotPlanner(Option<Holder>),
    /// The job is stored.
    Accepted,
    /// The job is not accepted and never ran.
    Refused {
        /// Why.
        why: String,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// State of the job; `None` if no such job exists.
    State(Option<JobState>),
    /// Whether such a job exists; if so, its cancelling is stored.
    Cancelled(bool),
    /// Number of jobs.
    Pending(u64),
    /// What the operator asked for, as JSON.
    Shown(String),
    /// The change could not be stored in time; it may be stored yet.
    Unresolved,
}

/// The planner's answer to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wish {
    /// The asked process does not plan; it may know who does.
    NotPlanner(Option<Holder>),
    /// The planner's wish for the worker; `None` while it knows no worker of the agent.
    Orders {
        /// Epoch of the planner.
        epoch: u64,
        /// The wish.
        orders: Option<Assignments>,
        /// Addresses of the entries, to ask when the planner is silent.
        entries: Vec<String>,
    },
}

/// One entry's word to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ping {
    /// Address of the sender.
    pub address: String,
    /// Planner that the sender knows.
    pub holder: Option<Holder>,
    /// Version of the desired state that the sender has.
    pub version: u64,
}

/// The answer to a ping.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pong {
    /// Planner that the asked entry knows.
    pub holder: Option<Holder>,
    /// Desired state as it lies in the store, if the sender's is older.
    pub desired: Option<Vec<u8>>,
    /// Addresses of the entries that the asked one knows.
    pub entries: Vec<String>,
}

/// The calls that an entry answers.
#[tarpc::service]
pub trait PlanRpc {
    /// Takes an agent's report; the answer may wait until there is something to do.
    async fn report(report: Report) -> Wish;
    /// Answers on behalf of a caller, who waits for `wait_ms`.
    async fn ask(ask: Ask, wait_ms: u64) -> Told;
    /// Exchanges what two entries know.
    async fn ping(ping: Ping) -> Pong;
}

impl Connect for PlanRpcClient {
    async fn connect(address: &str, key: &str) -> io::Result<Self> {
        let transport = serde_transport::new(connect_authenticated(address, key).await?, Bincode::default());
        Ok(Self::new(Config::default(), transport).spawn())
    }
}

/// Connections to entries.
pub type Links = Pool<PlanRpcClient>;

/// Makes a call and gives the connection up when the answer is late: a connection may have gone silent for good.
///
/// # Errors
///
/// Returns whether the call was never sent or may have been delivered.
pub async fn call<T, F>(
    links: &Links,
    address: &str,
    timeout: Duration,
    make: impl FnOnce(PlanRpcClient, tarpc::context::Context) -> F,
) -> Result<T, CallError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let cx = call_context(timeout);
    let result = tokio::time::timeout(timeout, links.call(address, |client| make(client, cx))).await;
    match result {
        Ok(Err(CallError::Rpc(RpcError::DeadlineExceeded))) | Err(_) => {
            links.discard(address);
            Err(CallError::Rpc(RpcError::DeadlineExceeded))
        }
        Ok(result) => result,
    }
}
