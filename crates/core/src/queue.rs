//! Admission to the queue and the order in which waiting jobs are scheduled.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{AccountId, JobId};
use crate::place::fits_empty;
use crate::policy::{Millis, Policy};
use crate::shape::{Amount, Shape};
use crate::table::{Class, Demand, Tables, Waiting};
use crate::view::View;

/// Result of an admission check.
pub type Result<T> = std::result::Result<T, Refusal>;

pub const MAX_GANG_TASKS: u32 = 64;

/// Why a job was not admitted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum Refusal {
    /// The account is not configured.
    #[display("client account {account} is not known")]
    UnknownAccount {
        /// Account of the demand.
        account: AccountId,
    },
    /// The account is paused.
    #[display("client account {account} is paused")]
    Paused {
        /// Account of the demand.
        account: AccountId,
    },
    /// The account's queue is full.
    #[display("client account {account} has {limit} jobs waiting, its limit")]
    QueueFull {
        /// Account of the demand.
        account: AccountId,
        /// Maximum number of waiting jobs.
        limit: u32,
    },
    /// The shape is malformed.
    #[display("shape {shape} must have 1 to {limit} tasks")]
    BadShape {
        /// Shape of the demand.
        shape: Shape,
        /// Maximum number of tasks of a gang.
        limit: u32,
    },
    /// The shape does not fit even an idle fleet.
    #[display(
        "shape {shape} fits nowhere: the fleet has {accelerators} accelerators, {widest} on one worker"
    )]
    NeverFits {
        /// Shape of the demand.
        shape: Shape,
        /// Total accelerators of the fleet.
        accelerators: u32,
        /// Accelerators of the largest worker.
        widest: u32,
    },
}

/// Checks whether a demand may be queued.
///
/// # Errors
///
/// Returns the refusal when the account is unknown or paused, its queue is full, or the shape can never run.
pub fn admit(tables: &Tables, demand: &Demand) -> Result<()> {
    let account = demand.account.clone();
    let Some(config) = tables.accounts.get(&account) else {
        return Err(Refusal::UnknownAccount { account });
    };
    if config.paused {
        return Err(Refusal::Paused { account });
    }
    let queued = tables.waiting.values().filter(|w| w.demand.account == account).count();
    if queued >= config.queue_limit as usize {
        return Err(Refusal::QueueFull { account, limit: config.queue_limit });
    }
    check_shape(tables, &demand.shape)
}

/// Checks whether `shape` would fit an idle fleet.
///
/// # Errors
///
/// Returns the refusal when the shape is malformed or fits nowhere.
pub fn check_shape(tables: &Tables, shape: &Shape) -> Result<()> {
    if shape.tasks == 0 || shape.tasks > MAX_GANG_TASKS {
        return Err(Refusal::BadShape { shape: *shape, limit: MAX_GANG_TASKS });
    }
    let view = View::with_full_capacity(&tables.workers);
    if fits_empty(&view, shape) {
        return Ok(());
    }
    let accelerators = view.worker_rows.iter().map(|row| row.total.accelerators).sum();
    let widest = view.worker_rows.iter().map(|row| row.total.accelerators).max().unwrap_or_default();
    Err(Refusal::NeverFits { shape: *shape, accelerators, widest })
}

/// Rank of a waiting job; the smallest is scheduled first.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
struct Rank {
    tier: u8,
    score: f64,
    since_ms: Millis,
}

/// Returns the waiting jobs in scheduling order.
///
/// Urgent jobs come first, then jobs that waited for `Policy::reserve_after_ms`, by width if
/// `Policy::wide_first` is set and then by age. The rest follow by estimated remaining run time and width,
/// scaled by how far their account is beyond its guarantee.
pub fn scheduling_order<'a>(
    tables: &'a Tables,
    policy: &Policy,
    usage: &BTreeMap<AccountId, Amount>,
    now_ms: Millis,
) -> Vec<(&'a JobId, &'a Waiting)> {
    let mut ranked: Vec<(Rank, &JobId, &Waiting)> = tables
        .waiting
        .iter()
        .map(|(id, waiting)| (rank(tables, policy, usage, waiting, now_ms), id, waiting))
        .collect();
    ranked.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal).then(a.1.cmp(b.1)));
    ranked.into_iter().map(|(_, id, waiting)| (id, waiting)).collect()
}

fn rank(
    tables: &Tables,
    policy: &Policy,
    usage: &BTreeMap<AccountId, Amount>,
    waiting: &Waiting,
    now_ms: Millis,
) -> Rank {
    let waited_ms = now_ms.saturating_sub(waiting.since_ms);
    let tier = match waiting.demand.class {
        Class::Urgent => 0,
        _ if waited_ms >= policy.reserve_after_ms => 1,
        _ => 2,
    };
    let score = match tier {
        1 if policy.wide_first => -f64::from(waiting.demand.shape.total().accelerators),
        2 => size_score(tables, policy, usage, waiting),
        _ => 0.0,
    };
    Rank { tier, score, since_ms: waiting.since_ms }
}

fn size_score(
    tables: &Tables,
    policy: &Policy,
    usage: &BTreeMap<AccountId, Amount>,
    waiting: &Waiting,
) -> f64 {
    let demand = &waiting.demand;
    let time_ms = tables.remaining_ms(waiting) as f64;
    let width = f64::from(demand.shape.total().accelerators.max(1));
    let usage_penalty = tables.accounts.get(&demand.account).map_or(1.0, |account| {
        let used = usage.get(&demand.account).copied().unwrap_or_default();
        let over_guarantee = used.saturating_sub(account.guaranteed()).accelerators;
        1.0 + f64::from(over_guarantee) / f64::from(account.weight.max(1)) / 16.0
    });
    // Short jobs first lowers completion times; wide jobs first avoids fragmentation of large shapes.
    let time_term = time_ms.ln() * policy.completion_weight;
    let width_term = width.ln() * (policy.completion_weight - policy.fragmentation_weight);
    time_term + width_term + usage_penalty.ln()
}
