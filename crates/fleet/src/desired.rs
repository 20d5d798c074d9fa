//! Desired state set by the operators, as far as planning uses it.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Queues, services and client accounts in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Desired {
    /// Version set by the operators; increases, with gaps.
    pub version: u64,
    /// Queues, longest path prefix first.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Client account of each API key.
    pub keys: BTreeMap<String, String>,
}

/// Where callers find a queue.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{host}{path_prefix}")]
pub struct Address {
    pub host: String,
    /// Prefix of the request path.
    pub path_prefix: String,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    pub name: String,
    pub address: Address,
    /// Service whose workers run the jobs.
    pub service: String,
    /// Priority; 0 is the most urgent and may preempt the others.
    pub priority: u32,
    /// Number of failed runs after which a subtask or gang fails its job.
    pub max_attempts: u32,
    /// Multiple of the duration of a job's longest chain of steps within which the job should end, in thousandths.
    pub stretch_milli: u64,
    /// Time added to that multiple, in milliseconds.
    pub full_value_ms: u64,
    /// Whether callers need no API key.
    pub public: bool,
    /// Whether a start needs the approval of the policy service.
    #[serde(rename = "advised")]
    pub needs_approval: bool,
}

/// A service and its pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether its workers refuse runs that exceed their capacity.
    #[serde(rename = "guards_capacity")]
    pub enforces_capacity: bool,
    /// Whether its machines should be off.
    pub standby: bool,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Number of accelerators guaranteed to the account's most urgent jobs at all times.
    pub guaranteed_accelerators: i64,
}

impl Desired {
    /// Returns the queue of `host` with the longest prefix of `path`.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let serves = |address: &Address| address.host == host && path.starts_with(&address.path_prefix);
        self.queues.iter().find(|queue| serves(&queue.address))
    }

    /// Returns the queue that callers find at exactly this address.
    pub fn queue_at(&self, address: &Address) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.address == *address)
    }

    /// Returns the queue that has a name now. An accepted job goes by [`Job::queue`](crate::Job::queue) instead.
    pub fn queue_named(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
