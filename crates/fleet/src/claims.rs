//! Resources that are reserved for units while the runs that hold them are being stopped.

use std::collections::BTreeMap;

use crate::place::Candidate;
use crate::pool::Pool;
use crate::resources::Resources;
use crate::unit::UnitKey;

/// Covers a stop, the report of its end, and one lost reply.
const CLAIM_DURATION_MS: u64 = 2_500;

/// Claims of waiting units.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    by_unit: BTreeMap<(String, UnitKey), Claim>,
}

/// Resources that one unit claims.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Incarnation of the worker for each member.
    pub workers: Vec<String>,
    pub per_member: Resources,
    /// Whether a guarantee covers the unit. Guaranteed units ignore the claims of units that are not guaranteed.
    pub guaranteed: bool,
    expires_at: u64,
}

impl Claims {
    /// Reserves `per_member` on every entry of `workers`, one entry per member, for a unit of the candidate's step.
    pub fn insert(
        &mut self,
        pool: &mut Pool,
        candidate: &Candidate,
        key: UnitKey,
        workers: Vec<String>,
        per_member: Resources,
        now: u64,
    ) {
        let guaranteed = candidate.guaranteed;
        pool.claim(&workers, per_member, guaranteed);
        let claim = Claim { workers, per_member, guaranteed, expires_at: now + CLAIM_DURATION_MS };
        if let Some(replaced) = self.by_unit.insert((candidate.job.clone(), key), claim) {
            pool.unclaim(&replaced.workers, replaced.per_member, replaced.guaranteed);
        }
    }

    pub fn get(&self, name: &str, key: UnitKey) -> Option<&Claim> {
        if self.by_unit.is_empty() {
            return None;
        }
        self.by_unit.get(&(name.to_owned(), key))
    }

    pub fn contains(&self, name: &str, key: UnitKey) -> bool {
        self.get(name, key).is_some()
    }

    pub fn remove(&mut self, pool: &mut Pool, name: &str, key: UnitKey) {
        if self.by_unit.is_empty() {
            return;
        }
        if let Some(claim) = self.by_unit.remove(&(name.to_owned(), key)) {
            pool.unclaim(&claim.workers, claim.per_member, claim.guaranteed);
        }
    }

    /// Removes the claims that are over and those of units that no longer wait.
    pub fn expire(&mut self, now: u64, is_waiting: impl Fn(&str, UnitKey) -> bool) {
        self.by_unit.retain(|(name, key), claim| claim.expires_at > now && is_waiting(name, *key));
    }

    /// Adds all claims to a new pool.
    pub fn add_to(&self, pool: &mut Pool) {
        for claim in self.by_unit.values() {
            pool.claim(&claim.workers, claim.per_member, claim.guaranteed);
        }
    }
}
