//! RPC interface of an entry, called by agents and other entries.

use serde::{Deserialize, Serialize};
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::shape::Amount;
use sorrelland_core::table::Class;
use sorrelland_core::topology::Place;
use sorrelland_lease::{Epoch, KeyWindow, Phase};

use crate::agent::AgentConfig;

/// Tasks of one gang on a worker, as reported by the worker's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    pub job: JobId,
    /// Attempt of the job.
    pub epoch: Epoch,
    pub account: AccountId,
    /// Resources of one task.
    #[serde(rename = "each")]
    pub per_task: Amount,
    /// Number of tasks on the worker.
    pub tasks: u32,
    /// Urgency.
    pub class: Class,
    /// Whether the tasks may be preempted.
    pub preemptible: bool,
    /// State of the gang's hold on the worker.
    pub phase: Phase,
    /// Time since the hold began, in milliseconds.
    pub age_ms: Millis,
}

/// State of an agent that changes rarely, and so is sent only when it has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Location of the worker.
    pub place: Place,
    /// Address of the agent, as `ip:port`.
    pub address: String,
    /// Total slots and accelerators.
    pub capacity: Amount,
    /// Whether the agent accepts no new work.
    pub draining: bool,
    /// Window in which this agent issues idempotency keys.
    pub window: KeyWindow,
    /// Gangs on the worker.
    pub shares: Vec<ShareReport>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub worker: WorkerId,
    /// Incarnation of the agent; each start of the process has a new one.
    pub incarnation: u64,
    /// Number of the current report within the incarnation.
    pub report_number: u64,
    /// Short requests in flight.
    pub in_flight: u32,
    /// Mean service time of short requests, in microseconds.
    pub service_us: u32,
    /// One past the version of the configuration in force; 0 for none.
    #[serde(rename = "offset")]
    pub config_offset: u64,
    /// Present only if the entry has not yet acknowledged the current report.
    pub report: Option<Report>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Number of the report that the entry has; 0 for none.
    pub report_number: u64,
    /// Time until the next heartbeat to this entry, in milliseconds.
    pub next_ms: u32,
    /// Configuration for the agent, if the agent's own is older.
    pub config: Option<AgentConfig>,
    /// Addresses of all known entries; empty unless the heartbeat carried a report.
    pub entries: Vec<String>,
}

/// State that two entries exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Name of the sender.
    pub name: String,
    /// Address of the sender, as `ip:port`.
    pub address: String,
    /// Log offset up to which the sender has applied the records.
    pub offset: u64,
    /// Whether the sender is shutting down.
    #[serde(rename = "leaving")]
    pub stopping: bool,
}

#[tarpc::service]
pub trait EntryRpc {
    /// Records an agent's heartbeat.
    async fn heartbeat(heartbeat: Heartbeat) -> HeartbeatReply;
    /// Records the calling entry's state and returns that of the called one.
    async fn ping(ping: Ping) -> Ping;
    /// Returns the state folded from the log, as JSON; `None` while the entry has none.
    async fn fold() -> Option<Vec<u8>>;
}
