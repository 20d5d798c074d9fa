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
use crate::job::{Final, JobSpec};

/// What a command changes; each subject has a version of its own.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(into = "String", try_from = "String")]
pub enum Subject {
    /// A client account.
    #[display("account:{_0}")]
    Account(AccountId),
    /// A worker.
    #[display("worker:{_0}")]
    Worker(WorkerId),
    /// A job.
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

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Creates or replaces a client account.
    SetAccount {
        /// Name of the account.
        account: AccountId,
        /// Its whole configuration.
        config: Account,
    },
    /// Removes a client account.
    RemoveAccount {
        /// Name of the account.
        account: AccountId,
    },
    /// Stops new work on a worker.
    Drain {
        /// Name of the worker.
        worker: WorkerId,
    },
    /// Lets a worker take work again.
    Undrain {
        /// Name of the worker.
        worker: WorkerId,
    },
    /// Cancels a job.
    Cancel {
        /// Name of the job.
        job: JobId,
    },
}

impl Command {
    /// Returns what the command changes.
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

/// A command with its identity and the version it was written against.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CommandRecord {
    /// Unique name of the command, chosen by whoever sends it.
    pub id: String,
    /// Version of the subject that the sender saw; 0 for one that does not exist.
    pub base: u64,
    /// Operator who sent it.
    pub operator: String,
    /// The change.
    pub command: Command,
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// An operator's command.
    Command(CommandRecord),
    /// A guarantee plan, valid only on top of the plan at version `base`.
    Plan {
        /// Version of the plan it replaces.
        base: u64,
        /// The new plan.
        plan: Plan,
    },
    /// A job that was accepted from a caller.
    Accepted {
        /// Name of the job.
        job: JobId,
        /// What was asked for.
        spec: JobSpec,
        /// Wall-clock time of the acceptance, in milliseconds since 1970.
        at_ms: Millis,
    },
    /// An entry takes charge of a job, valid only on top of the claim at version `base`.
    Claim {
        /// Name of the job.
        job: JobId,
        /// Name of the entry.
        entry: String,
        /// Offset of the claim it replaces; 0 for none.
        base: u64,
    },
    /// A gang holds its workers and is about to be committed.
    Placed {
        /// Name of the job.
        job: JobId,
        /// Attempt that holds.
        epoch: Epoch,
        /// Tasks on each worker.
        placement: Placement,
        /// Worker whose agent commits.
        commit_point: WorkerId,
    },
    /// An attempt was stopped and the job waits again.
    Requeued {
        /// Name of the job.
        job: JobId,
        /// Attempt that stopped.
        epoch: Epoch,
        /// Run time that a checkpoint keeps, in milliseconds.
        done_ms: Millis,
    },
    /// A job reached its final outcome.
    Ended {
        /// Name of the job.
        job: JobId,
        /// Attempt that ended; the default if it never started.
        epoch: Epoch,
        /// The outcome.
        outcome: Final,
    },
    /// An entry tells its address.
    Entry {
        /// Name of the entry.
        name: String,
        /// Address for the other processes of the system, as `ip:port`.
        address: String,
    },
    /// The whole fold up to an offset, so that older records may be dropped.
    Snapshot {
        /// The fold; its own offset tells up to where.
        fold: Box<Fold>,
    },
}
