//! What agents and other entries ask an entry.

use serde::{Deserialize, Serialize};
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::shape::Amount;
use sorrelland_core::table::Class;
use sorrelland_core::topology::Place;
use sorrelland_lease::{Epoch, KeyWindow, Phase};

use crate::agent::AgentConfig;

/// One gang's share of a worker, as its agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Name of the job.
    pub job: JobId,
    /// Attempt.
    pub epoch: Epoch,
    /// Account of the job.
    pub account: AccountId,
    /// What one task takes.
    pub each: Amount,
    /// Tasks on the worker.
    pub tasks: u32,
    /// Urgency.
    pub class: Class,
    /// Whether the tasks may yield.
    pub preemptible: bool,
    /// How far the hold has come.
    pub phase: Phase,
    /// Time since the hold began, in milliseconds.
    pub age_ms: Millis,
}

/// The slowly changing part of what an agent tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Place of the worker.
    pub place: Place,
    /// Address of the agent, as `ip:port`.
    pub address: String,
    /// Slots and accelerators in all.
    pub capacity: Amount,
    /// Whether the agent takes nothing new.
    pub draining: bool,
    /// Window in which keys of this home are minted.
    pub window: KeyWindow,
    /// Gangs on the worker.
    pub shares: Vec<ShareReport>,
}

/// An agent's heartbeat; the report is present only when it changed since the entry last had it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Life of the agent; each start of the process has its own.
    pub incarnation: u64,
    /// Number of the report within that life.
    pub report_number: u64,
    /// Short requests in flight.
    pub in_flight: u32,
    /// Mean service time of short requests, in microseconds.
    pub service_us: u32,
    /// Offset of the configuration in force.
    pub offset: u64,
    /// The report, if the entry lacks it.
    pub report: Option<Report>,
}

/// An entry's answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatReply {
    /// Number of the report that the entry has; 0 for none.
    pub report_number: u64,
    /// Time until the next beat to this entry, in milliseconds.
    pub next_ms: u32,
    /// Configuration, if the agent's is older.
    pub config: Option<AgentConfig>,
    /// Addresses of all entries that this one knows, if the agent asked with a report.
    pub entries: Vec<String>,
}

/// One entry's word to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Name of the sender.
    pub name: String,
    /// Address of the sender, as `ip:port`.
    pub address: String,
    /// Offset up to which the sender has folded the log.
    pub offset: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
}

/// The service of an entry.
#[tarpc::service]
pub trait EntryRpc {
    /// Takes an agent's heartbeat.
    async fn beat(beat: Beat) -> BeatReply;
    /// Takes another entry's word and answers with its own.
    async fn ping(ping: Ping) -> Ping;
    /// Returns the fold of the log as JSON, if there is one.
    async fn fold() -> Option<Vec<u8>>;
}
