//! Which work stands on whose backing, and what yields when a guarantee is reclaimed.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{AccountId, JobId, WorkerId};
use crate::policy::Millis;
use crate::shape::Amount;
use crate::table::Class;

/// One gang's share of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Job that holds the share.
    pub job: JobId,
    /// Account of the job.
    pub account: AccountId,
    /// Resources held.
    pub held: Amount,
    /// Urgency of the job.
    pub class: Class,
    /// When the attempt started.
    pub started_ms: Millis,
    /// Whether the job may be checkpointed or stopped and run again.
    pub preemptible: bool,
}

/// The shares of one worker split by whose backing they stand on.
#[derive(Clone, Debug, Default)]
pub struct BackingUse {
    /// Backing of each account on the worker.
    pub backing: BTreeMap<AccountId, Amount>,
    /// Amount of its own backing that each account uses.
    pub own_used: BTreeMap<AccountId, Amount>,
    /// Jobs that stand on their own account's backing.
    pub on_own_backing: BTreeSet<JobId>,
    /// Amount beyond the own account's backing that work which cannot be preempted holds.
    pub pinned: Amount,
    non_preemptible_held: BTreeMap<AccountId, Amount>,
}

impl BackingUse {
    /// Splits `shares` by backing, the oldest first.
    ///
    /// Work that cannot be preempted takes the account's own backing first, and in part if need be: nothing
    /// else may hold it. Work that can yield stands on its own backing as a whole or not at all.
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

    /// Returns the backing of `account` that it does not use itself.
    pub fn unused_backing(&self, account: &AccountId) -> Amount {
        let backing = self.backing.get(account).copied().unwrap_or_default();
        backing.saturating_sub(self.own_used.get(account).copied().unwrap_or_default())
    }

    /// Returns the capacity that backs nobody and that no pinned work holds.
    pub fn spare(&self, capacity: Amount) -> Amount {
        let mut planned = self.pinned;
        for amount in self.backing.values() {
            planned += *amount;
        }
        capacity.saturating_sub(planned)
    }

    /// Returns what `account` may take so that every guarantee stays reclaimable.
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

/// Chooses the shares that yield until `need` is free, hurting the least work first.
///
/// The lowest class yields first, then the youngest. Returns `None` when not even all of them suffice.
pub fn select_victims(
    shares: &[Share],
    backing_use: &BackingUse,
    free: Amount,
    required: Amount,
) -> Option<Vec<JobId>> {
    let mut by_age: Vec<&Share> =
        shares.iter().filter(|s| s.preemptible && !backing_use.on_own_backing.contains(&s.job)).collect();
    by_age.sort_by_key(|s| (s.class, std::cmp::Reverse(s.started_ms), s.job.clone()));
    let mut freed = free;
    let mut chosen = Vec::new();
    for share in by_age {
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

/// A guarantee that could not be reclaimed on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Worker whose backing is held by work that cannot yield.
    pub worker: WorkerId,
    /// Backing in all.
    pub planned: Amount,
    /// Amount that work outside its own backing pins.
    pub pinned: Amount,
}

/// Returns the breach on `worker`, if its pinned work stands on somebody's backing.
pub fn find_breach(worker: &WorkerId, capacity: Amount, backing_use: &BackingUse) -> Option<Breach> {
    let mut planned = Amount::default();
    for amount in backing_use.backing.values() {
        planned += *amount;
    }
    let mut held = planned;
    held += backing_use.pinned;
    (!capacity.covers(held)).then(|| Breach { worker: worker.clone(), planned, pinned: backing_use.pinned })
}
