//! Records of the platform's log.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::plan::Plan;
use sorrelland_core::policy::Millis;
use sorrelland_core::table::Placement;
use sorrelland_lease::Epoch;

use crate::fold::Fold;
use crate::job::{JobOutcome, JobSpec};

/// Object that a command changes; each has a version of its own.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(into = "String", try_from = "String")]
pub enum Subject {
    #[display("account:{_0}")]
    Account(AccountId),
    #[display("worker:{_0}")]
    Worker(WorkerId),
    #[display("job:{_0}")]
    Job(JobId),
}

impl From<Subject> for String {
    fn from(subject: Subject) -> Self {
        subject.to_string()
    }
}

impl TryFrom<String> for Subject {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        match text.split_once(':') {
            Some(("account", name)) => Ok(Self::Account(name.into())),
            Some(("worker", name)) => Ok(Self::Worker(name.into())),
            Some(("job", name)) => Ok(Self::Job(name.into())),
            _ => Err(format!("subject {text:?} is not account:, worker: or job: and a name")),
        }
    }
}

/// Change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Creates or replaces a client account.
    SetAccount {
        account: AccountId,
        /// Complete configuration of the account.
        config: Account,
    },
    /// Removes a client account.
    RemoveAccount {
        account: AccountId,
    },
    /// Stops the placement of new work on a worker.
    Drain {
        worker: WorkerId,
    },
    /// Allows the placement of work on a worker again.
    Undrain {
        worker: WorkerId,
    },
    Cancel {
        job: JobId,
    },
}

impl Command {
    /// Returns the object that the command changes.
    pub fn subject(&self) -> Subject {
        match self {
            Self::SetAccount { account, .. } | Self::RemoveAccount { account } => {
                Subject::Account(account.clone())
            }
            Self::Drain { worker } | Self::Undrain { worker } => Subject::Worker(worker.clone()),
            Self::Cancel { job } => Subject::Job(job.clone()),
        }
    }
}

/// Command with a unique name and the version of its subject that it was based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CommandRecord {
    /// Unique name of the command, chosen by the sender; a command that is sent again keeps it and is applied once.
    pub id: String,
    /// Version of the subject that the command is based on; 0 for one that does not exist.
    pub base: u64,
    /// Name of the operator who sent it.
    pub operator: String,
    pub command: Command,
}

/// Record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Command of an operator.
    Command(CommandRecord),
    /// New guarantee plan, ignored unless the current plan has version `base`.
    Plan {
        /// Version of the plan it replaces.
        base: u64,
        plan: Plan,
    },
    /// A job was accepted from a caller.
    Accepted {
        job: JobId,
        /// Job as submitted.
        spec: JobSpec,
        /// Wall-clock time of the acceptance, in milliseconds since 1970.
        #[serde(rename = "at_ms")]
        accepted_ms: Millis,
    },
    /// An entry claims a job; ignored unless the current claim has offset `base`.
    Claim {
        job: JobId,
        /// Name of the claiming entry.
        entry: String,
        /// Log offset of the claim that it replaces; 0 if there is none.
        base: u64,
    },
    /// A gang holds its workers and is about to be committed.
    Placed {
        job: JobId,
        /// Epoch of the attempt.
        epoch: Epoch,
        /// Number of tasks on each worker.
        placement: Placement,
        /// Worker whose agent is the commit point.
        commit_point: WorkerId,
    },
    /// An attempt was stopped and the job waits again.
    Requeued {
        job: JobId,
        /// Epoch of the stopped attempt.
        epoch: Epoch,
        /// Run time saved by checkpoints, in milliseconds.
        done_ms: Millis,
    },
    /// A job reached its final outcome.
    Ended {
        job: JobId,
        /// Epoch of the attempt that ended; the default epoch if the job was not placed.
        epoch: Epoch,
        outcome: JobOutcome,
    },
    /// An entry announces its address.
    Entry {
        /// Name of the entry.
        name: String,
        /// Address for the other processes of the system, as `ip:port`.
        address: String,
    },
    /// Complete fold up to an offset, so that older records may be deleted.
    Snapshot {
        /// Covers the records before its `next_offset`.
        fold: Box<Fold>,
    },
}
