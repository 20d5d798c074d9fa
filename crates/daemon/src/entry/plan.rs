//! Proposing the guarantee plan on the log.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, WorkerId};
use sorrelland_core::plan::{Plan, propose};
use sorrelland_core::shape::Shape;
use sorrelland_core::topology::Worker;
use sorrelland_ledger::Record;

use crate::entry::Entry;
use crate::sync::lock;

/// Time between two looks at whether the plan still fits.
const PLAN_TICK: Duration = Duration::from_millis(1_000);

/// Time for which a worker may be silent before its backing moves, as looks at the plan.
const STABLE_LOOKS: u32 = 3;

/// Time after the start in which an entry may not have heard of every worker yet.
const SETTLE: Duration = Duration::from_secs(10);

impl Entry {
    /// Proposes a plan whenever accounts or workers changed; the first on the log wins.
    pub(super) async fn plan_loop(self: Arc<Self>) {
        let started = Instant::now();
        let mut candidate: Option<(Plan, u32)> = None;
        let mut settled = None;
        loop {
            tokio::time::sleep(PLAN_TICK).await;
            if lock(&self.fleet).rows().is_empty() || !lock(&self.peers).is_first(&self.claimant) {
                continue;
            }
            let Some((plan, version, accounts)) =
                self.with_fold(|fold| (fold.plan.clone(), fold.plan_version, fold.accounts.clone()))
            else {
                continue;
            };
            let workers = lock(&self.fleet).workers();
            let inputs = fingerprint(&accounts, &workers, version);
            if settled == Some(inputs) {
                continue;
            }
            let proposal = propose(&accounts, &workers, &plan);
            if proposal == plan {
                candidate = None;
                settled = Some(inputs);
                continue;
            }
            // A change of accounts is planned at once; lost workers may only have been late.
            let shrinks = loses_backing(&plan, &proposal);
            let looks = candidate.as_ref().filter(|(p, _)| *p == proposal).map_or(1, |(_, looks)| looks + 1);
            candidate = Some((proposal.clone(), looks));
            if shrinks && (looks < STABLE_LOOKS || started.elapsed() < SETTLE) {
                continue;
            }
            let short: usize = proposal.shortfall.values().map(Vec::len).sum();
            match self.write(vec![Record::Plan { base: version, plan: proposal }]).await {
                Ok(()) if short > 0 => log::warn!("guarantee plan leaves {short} shapes without backing"),
                Ok(()) => log::info!("guarantee plan is on the log"),
                Err(e) => log::debug!("guarantee plan is not on the log: {e}"),
            }
        }
    }

    /// Returns the shapes of a changed account that the fleet cannot back beside all the others.
    pub(super) fn unbacked(&self, account: &AccountId, config: &Account) -> Vec<Shape> {
        let Some((plan, mut accounts)) = self.with_fold(|fold| (fold.plan.clone(), fold.accounts.clone()))
        else {
            return Vec::new();
        };
        accounts.insert(account.clone(), config.clone());
        let workers = lock(&self.fleet).workers();
        let proposal = propose(&accounts, &workers, &plan);
        let before: usize = plan.shortfall.values().map(Vec::len).sum();
        let after: usize = proposal.shortfall.values().map(Vec::len).sum();
        match proposal.shortfall.get(account) {
            Some(shapes) => shapes.clone(),
            None if after > before => config.guarantee.clone(),
            None => Vec::new(),
        }
    }
}

/// Returns a number that changes with whatever the plan depends on.
fn fingerprint(
    accounts: &BTreeMap<AccountId, Account>,
    workers: &BTreeMap<WorkerId, Worker>,
    plan_version: u64,
) -> u64 {
    let mut hasher = DefaultHasher::new();
    plan_version.hash(&mut hasher);
    for (id, account) in accounts {
        (id, &account.guarantee).hash(&mut hasher);
    }
    for (id, worker) in workers {
        (id, worker.capacity, worker.backs_guarantees()).hash(&mut hasher);
    }
    hasher.finish()
}

/// Returns whether a worker that backs a guarantee in `old` backs it no more in `new`.
fn loses_backing(old: &Plan, new: &Plan) -> bool {
    old.bindings.iter().any(|(account, bindings)| {
        let kept = new.bindings.get(account);
        bindings.iter().any(|binding| !kept.is_some_and(|kept| kept.contains(binding)))
    })
}
