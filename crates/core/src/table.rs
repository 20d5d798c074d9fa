//! The tables of entities on which the scheduler decides.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::account::Account;
use crate::estimate::Estimator;
use crate::id::{AccountId, JobId, WorkerId};
use crate::plan::Plan;
use crate::policy::Millis;
use crate::reclaim::Share;
use crate::shape::{Amount, Shape};
use crate::topology::Worker;

/// Number of tasks of a gang on each of its workers.
pub type Placement = BTreeMap<WorkerId, u32>;

/// The urgency of a job; lower classes are preempted first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work that may wait for hours.
    Batch,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that must start within the urgent bound or is refused.
    Urgent,
}

/// The resources that a client account requests for a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Demand {
    /// Account on whose behalf the job runs.
    pub account: AccountId,
    /// Resources that the gang needs at the same time.
    pub shape: Shape,
    #[serde(default)]
    pub class: Class,
    /// Declared run time in milliseconds; only a hint.
    pub declared_ms: Millis,
    /// Whether the job may be checkpointed or stopped and run again.
    #[serde(default = "default_preemptible")]
    pub preemptible: bool,
}

fn default_preemptible() -> bool {
    true
}

/// A job that waits for its gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    pub demand: Demand,
    /// When the job was queued; unchanged by a preemption.
    pub since_ms: Millis,
    /// Run time that earlier attempts completed, in milliseconds.
    pub done_ms: Millis,
}

/// A gang that is placed and holds resources on its workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    pub demand: Demand,
    /// Tasks on each worker.
    pub placement: Placement,
    /// When the job was queued.
    pub since_ms: Millis,
    /// When this attempt started.
    pub started_ms: Millis,
    /// Run time that earlier attempts completed, in milliseconds.
    pub done_ms: Millis,
}

impl Running {
    /// Returns the resources that the gang holds on `worker`.
    pub fn held(&self, worker: &WorkerId) -> Amount {
        let tasks = self.placement.get(worker).copied().unwrap_or_default();
        self.demand.shape.per_task().times(tasks)
    }

    /// Returns the gang's share of `worker`; `job` is the name of the gang's job.
    pub fn share_on(&self, job: &JobId, worker: &WorkerId) -> Share {
        Share {
            job: job.clone(),
            account: self.demand.account.clone(),
            held: self.held(worker),
            class: self.demand.class,
            started_ms: self.started_ms,
            preemptible: self.demand.preemptible,
        }
    }
}

/// All entities on which the scheduler decides.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Workers by name.
    pub workers: BTreeMap<WorkerId, Worker>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Backing of the guarantees.
    pub plan: Plan,
    /// Jobs that wait.
    pub waiting: BTreeMap<JobId, Waiting>,
    /// Jobs that run.
    pub running: BTreeMap<JobId, Running>,
    /// Run-time history of each account.
    pub history: BTreeMap<AccountId, Estimator>,
}

impl Tables {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the estimated remaining run time of a waiting job, at least one millisecond.
    pub fn remaining_ms(&self, waiting: &Waiting) -> Millis {
        self.estimate_ms(&waiting.demand).saturating_sub(waiting.done_ms).max(1)
    }

    /// Returns the estimated total run time of a demand.
    pub fn estimate_ms(&self, demand: &Demand) -> Millis {
        match self.history.get(&demand.account) {
            Some(estimator) => estimator.estimate_ms(demand.declared_ms),
            None => demand.declared_ms,
        }
    }

    /// Returns the resources that each account holds.
    pub fn usage(&self) -> BTreeMap<AccountId, Amount> {
        let mut usage: BTreeMap<AccountId, Amount> = BTreeMap::new();
        for running in self.running.values() {
            *usage.entry(running.demand.account.clone()).or_default() += running.demand.shape.total();
        }
        usage
    }
}
