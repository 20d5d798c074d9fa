//! Proposals of the guarantee plan, written to the log.

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

/// Interval between checks whether the plan still fits.
const PLAN_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Consecutive checks that must give the same proposal before backing moves away from a worker, which may only be
/// unresponsive for a short time.
const MIN_STABLE_CHECKS: u32 = 3;

/// Time after the start within which some workers may not have sent a heartbeat yet.
const STARTUP_GRACE: Duration = Duration::from_secs(10);

impl Entry {
    /// Proposes a plan whenever accounts or workers changed; the first proposal on the log takes effect.
    ///
    /// Only the first of the responsive entries proposes.
    pub(super) async fn plan_loop(self: Arc<Self>) {
        let started = Instant::now();
        let mut candidate: Option<(Plan, u32)> = None;
        let mut planned_inputs = None;
        loop {
            tokio::time::sleep(PLAN_CHECK_INTERVAL).await;
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
            if planned_inputs == Some(inputs) {
                continue;
            }
            let proposal = propose(&accounts, &workers, &plan);
            if proposal == plan {
                candidate = None;
                planned_inputs = Some(inputs);
                continue;
            }
            // Account changes are planned at once; a lost worker's heartbeats may only be late.
            let removes_backing = loses_backing(&plan, &proposal);
            let checks =
                candidate.as_ref().filter(|(p, _)| *p == proposal).map_or(1, |(_, checks)| checks + 1);
            candidate = Some((proposal.clone(), checks));
            if removes_backing && (checks < MIN_STABLE_CHECKS || started.elapsed() < STARTUP_GRACE) {
                continue;
            }
            let unbacked: usize = proposal.shortfall.values().map(Vec::len).sum();
            match self.write(vec![Record::Plan { base: version, plan: proposal }]).await {
                Ok(()) if unbacked > 0 => log::warn!("guarantee plan leaves {unbacked} shapes unbacked"),
                Ok(()) => log::info!("recorded guarantee plan"),
                Err(e) => log::debug!("guarantee plan was not recorded: {e}"),
            }
        }
    }

    /// Returns the shapes of a changed account that the fleet cannot back in addition to all other guarantees.
    pub(super) fn unbacked_shapes(&self, account: &AccountId, config: &Account) -> Vec<Shape> {
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

/// Returns a hash of the inputs of the plan.
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

/// Returns whether `new` lacks a binding that `old` has.
fn loses_backing(old: &Plan, new: &Plan) -> bool {
    old.bindings.iter().any(|(account, bindings)| {
        let kept = new.bindings.get(account);
        bindings.iter().any(|binding| !kept.is_some_and(|kept| kept.contains(binding)))
    })
}
