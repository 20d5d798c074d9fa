//! Use of the backing of guarantees, and the choice of victims when a guarantee is reclaimed.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{AccountId, JobId, WorkerId};
use crate::policy::Millis;
use crate::shape::Amount;
use crate::table::Class;

/// Resources that one gang holds on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    pub job: JobId,
    pub account: AccountId,
    pub held: Amount,
    pub class: Class,
    /// Start of the current attempt.
    pub started_ms: Millis,
    /// Whether the job may be checkpointed or stopped and run again.
    pub preemptible: bool,
}

/// Which accounts' backing the shares of one worker use.
#[derive(Clone, Debug, Default)]
pub struct BackingUse {
    /// Backing of each account on the worker.
    pub backing: BTreeMap<AccountId, Amount>,
    /// Part of its own backing that each account uses.
    pub own_used: BTreeMap<AccountId, Amount>,
    /// Jobs that are covered by their own account's backing, and all non-preemptible jobs.
    pub on_own_backing: BTreeSet<JobId>,
    /// Resources that non-preemptible work holds beyond the backing of its own account.
    pub pinned: Amount,
    non_preemptible_held: BTreeMap<AccountId, Amount>,
}

impl BackingUse {
    /// Charges `shares` to the backing of their accounts.
    ///
    /// Non-preemptible work uses its account's backing first, and in part if it holds more, since nothing
    /// else may use that backing in the meantime. Preemptible work follows, oldest first, and is covered by its
    /// account's backing in full or not at all.
    pub fn new(backing: BTreeMap<AccountId, Amount>, shares: &[Share]) -> Self {
        let mut backing_use = Self { backing, ..Self::default() };
        for share in shares.iter().filter(|share| !share.preemptible) {
            *backing_use.non_preemptible_held.entry(share.account.clone()).or_default() += share.held;
            backing_use.on_own_backing.insert(share.job.clone());
        }
        for (account, held) in &backing_use.non_preemptible_held {
            let backing = backing_use.backing.get(account).copied().unwrap_or_default();
            backing_use.pinned += held.saturating_sub(backing);
            backing_use.own_used.insert(account.clone(), backing.min(*held));
        }
        let mut by_age: Vec<&Share> = shares.iter().filter(|share| share.preemptible).collect();
        by_age.sort_by_key(|share| (share.started_ms, share.job.clone()));
        for share in by_age {
            if backing_use.unused_backing(&share.account).covers(share.held) {
                *backing_use.own_used.entry(share.account.clone()).or_default() += share.held;
                backing_use.on_own_backing.insert(share.job.clone());
            }
        }
        backing_use
    }

    /// Returns the part of its backing that `account` does not use itself.
    pub fn unused_backing(&self, account: &AccountId) -> Amount {
        let backing = self.backing.get(account).copied().unwrap_or_default();
        backing.saturating_sub(self.own_used.get(account).copied().unwrap_or_default())
    }

    /// Returns the capacity that neither backs a guarantee nor is pinned.
    pub fn spare(&self, capacity: Amount) -> Amount {
        let mut committed = self.pinned;
        for amount in self.backing.values() {
            committed += *amount;
        }
        capacity.saturating_sub(committed)
    }

    /// Returns the part of `free` that `account` may use while every guarantee stays reclaimable.
    pub fn allocatable(
        &self,
        account: &AccountId,
        preemptible: bool,
        capacity: Amount,
        free: Amount,
    ) -> Amount {
        if preemptible {
            return free;
        }
        let backing = self.backing.get(account).copied().unwrap_or_default();
        let mut allocatable =
            backing.saturating_sub(self.non_preemptible_held.get(account).copied().unwrap_or_default());
        allocatable += self.spare(capacity);
        allocatable.min(free)
    }
}

/// Chooses preemptible, borrowing shares to preempt until `required` is free.
///
/// The lowest class is preempted first, and within a class the most recent start, which has the least work to
/// lose. Returns `None` if preempting all of them would not free enough.
pub fn select_victims(
    shares: &[Share],
    backing_use: &BackingUse,
    free: Amount,
    required: Amount,
) -> Option<Vec<JobId>> {
    let mut preemption_order: Vec<&Share> = shares
        .iter()
        .filter(|share| share.preemptible && !backing_use.on_own_backing.contains(&share.job))
        .collect();
    preemption_order
        .sort_by_key(|share| (share.class, std::cmp::Reverse(share.started_ms), share.job.clone()));
    let mut freed = free;
    let mut chosen = Vec::new();
    for share in preemption_order {
        if freed.covers(required) {
            break;
        }
        if reduces_shortfall(freed, required, share.held) {
            freed += share.held;
            chosen.push(share.job.clone());
        }
    }
    freed.covers(required).then_some(chosen)
}

fn reduces_shortfall(freed: Amount, required: Amount, held: Amount) -> bool {
    let shortfall = required.saturating_sub(freed);
    (shortfall.accelerators > 0 && held.accelerators > 0) || (shortfall.slots > 0 && held.slots > 0)
}

/// Backing that cannot be reclaimed on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Worker whose backing non-preemptible work holds.
    pub worker: WorkerId,
    /// Sum of the backing of all accounts.
    pub planned: Amount,
    /// Resources that non-preemptible work holds beyond its own backing.
    pub pinned: Amount,
}

/// Returns the breach on `worker`, if its backing and pinned resources together exceed its capacity.
pub fn find_breach(worker: &WorkerId, capacity: Amount, backing_use: &BackingUse) -> Option<Breach> {
    let mut planned = Amount::default();
    for amount in backing_use.backing.values() {
        planned += *amount;
    }
    let mut committed = planned;
    committed += backing_use.pinned;
    (!capacity.covers(committed)).then(|| Breach {
        worker: worker.clone(),
        planned,
        pinned: backing_use.pinned,
    })
}
