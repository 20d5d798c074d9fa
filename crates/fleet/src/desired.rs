//! The operators' desired state, as the decisions use it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Queues, services and client accounts in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Desired {
    /// Version of the operators, rising in uneven steps.
    pub version: u64,
    /// Queues, longest path prefix first.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Account of each key.
    pub keys: BTreeMap<String, String>,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path that callers use.
    pub path_prefix: String,
    /// Service whose workers run the jobs.
    pub service: String,
    /// Urgency; 0 comes first and may preempt the others.
    pub priority: u32,
    /// Failed runs after which a subtask or a gang is given up.
    pub max_attempts: u32,
    /// Multiple of the longest chain of work within which a job should end, in thousandths.
    pub stretch_milli: u64,
    /// Time that is added to the multiple, in milliseconds.
    pub full_value_ms: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a start needs the approval of the policy service.
    pub advised: bool,
}

/// A service and its pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether its workers refuse what does not fit.
    pub guards_capacity: bool,
    /// Whether its machines are meant to be off.
    pub standby: bool,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Accelerators that belong to the account's most urgent jobs at all times.
    pub guaranteed_accelerators: i64,
}

impl Desired {
    /// Returns the queue of `host` whose prefix `path` begins with, the longest first.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.host == host && path.starts_with(&queue.path_prefix))
    }

    /// Returns the queue with `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
