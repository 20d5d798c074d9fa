//! The guarantee plan, which binds guaranteed shapes to workers.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::account::Account;
use crate::id::{AccountId, WorkerId};
use crate::place::find;
use crate::shape::{Amount, Shape};
use crate::table::Placement;
use crate::topology::Worker;
use crate::view::View;

/// One guaranteed shape and the workers that back it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Binding {
    pub shape: Shape,
    /// Tasks of the shape on each worker.
    pub placement: Placement,
}

/// Backing of every account's guarantee.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Plan {
    /// Bound shapes of each account.
    pub bindings: BTreeMap<AccountId, Vec<Binding>>,
    /// Guaranteed shapes for which there was too little free capacity.
    pub shortfall: BTreeMap<AccountId, Vec<Shape>>,
}

impl Plan {
    /// Returns the resources that back each account on `worker`.
    pub fn backing_on(&self, worker: &WorkerId) -> BTreeMap<AccountId, Amount> {
        let mut backing: BTreeMap<AccountId, Amount> = BTreeMap::new();
        for (account, bindings) in &self.bindings {
            for binding in bindings {
                if let Some(&tasks) = binding.placement.get(worker) {
                    *backing.entry(account.clone()).or_default() += binding.shape.per_task().times(tasks);
                }
            }
        }
        backing
    }

    /// Returns the resources that back each account on each worker.
    pub fn backing(&self) -> BTreeMap<WorkerId, BTreeMap<AccountId, Amount>> {
        let mut by_worker: BTreeMap<WorkerId, BTreeMap<AccountId, Amount>> = BTreeMap::new();
        for (account, bindings) in &self.bindings {
            for binding in bindings {
                for (worker, &tasks) in &binding.placement {
                    let on_worker = by_worker.entry(worker.clone()).or_default();
                    *on_worker.entry(account.clone()).or_default() += binding.shape.per_task().times(tasks);
                }
            }
        }
        by_worker
    }
}

/// Binds every guarantee to workers, keeping each binding of `previous` that is still valid.
///
/// The result depends only on the arguments, so every caller with the same data proposes the same plan.
/// Larger shapes are bound first, because they fit in the fewest places.
pub fn propose(
    accounts: &BTreeMap<AccountId, Account>,
    workers: &BTreeMap<WorkerId, Worker>,
    previous: &Plan,
) -> Plan {
    let mut view = View::with_full_capacity(workers);
    let mut plan = Plan::default();
    let mut unbound: Vec<(AccountId, Shape)> = Vec::new();
    for (account, config) in accounts {
        let mut kept = previous.bindings.get(account).cloned().unwrap_or_default();
        for shape in &config.guarantee {
            let still_valid = kept
                .iter()
                .position(|binding| binding.shape == *shape && view.fits(&binding.shape, &binding.placement));
            match still_valid {
                Some(index) => bind(&mut plan, &mut view, account, kept.swap_remove(index)),
                None => unbound.push((account.clone(), *shape)),
            }
        }
    }
    unbound.sort_by_key(|(account, shape)| {
        let total = shape.total();
        (std::cmp::Reverse((total.accelerators, total.slots)), shape.span, account.clone())
    });
    for (account, shape) in unbound {
        match find(&view, &shape, &view.free()) {
            Some(placement) => bind(&mut plan, &mut view, &account, Binding { shape, placement }),
            None => plan.shortfall.entry(account).or_default().push(shape),
        }
    }
    plan
}

fn bind(plan: &mut Plan, view: &mut View, account: &AccountId, binding: Binding) {
    view.allocate(&binding.shape, &binding.placement);
    plan.bindings.entry(account.clone()).or_default().push(binding);
}
