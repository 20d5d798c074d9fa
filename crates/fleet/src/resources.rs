//! Amounts of CPU, memory and accelerators.

use std::ops::{AddAssign, Mul, SubAssign};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Cores that one accelerator counts as in cost comparisons, as in the users' price list.
pub const CORES_PER_ACCELERATOR: i64 = 8;

/// Maximum number of copies that [`Resources::copies_of`] counts, so that the sum over all workers fits into 64 bits.
const MAX_COPIES: i64 = u32::MAX as i64;

/// Resources of a worker or needed by a subtask; negative where a worker is overcommitted. Amounts that
/// don't fit into 64 bits are cut to the nearest that do.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{millicores}m/{memory_mb}MB/{accelerators}acc")]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub millicores: i64,
    /// Memory in megabytes.
    pub memory_mb: i64,
    /// Whole accelerators.
    pub accelerators: i64,
}

impl Resources {
    pub fn new(millicores: i64, memory_mb: i64, accelerators: i64) -> Self {
        Self { millicores, memory_mb, accelerators }
    }

    /// Returns whether `other` fits into this amount.
    pub fn can_fit(&self, other: &Self) -> bool {
        self.copies_of(other) >= 1
    }

    /// Returns how many copies of `other` fit into this amount, [`MAX_COPIES`] at most.
    pub fn copies_of(&self, other: &Self) -> i64 {
        let each = |have: i64, need: i64| match need {
            // What is overcommitted takes nothing more, even without need of it.
            _ if have < 0 => 0,
            0 => MAX_COPIES,
            need => have.saturating_div(need).min(MAX_COPIES),
        };
        each(self.millicores, other.millicores)
            .min(each(self.memory_mb, other.memory_mb))
            .min(each(self.accelerators, other.accelerators))
    }

    /// Returns the smaller amount of each resource.
    pub fn min_each(&self, other: &Self) -> Self {
        Self::new(
            self.millicores.min(other.millicores),
            self.memory_mb.min(other.memory_mb),
            self.accelerators.min(other.accelerators),
        )
    }

    /// Returns the larger amount of each resource.
    pub fn max_each(&self, other: &Self) -> Self {
        Self::new(
            self.millicores.max(other.millicores),
            self.memory_mb.max(other.memory_mb),
            self.accelerators.max(other.accelerators),
        )
    }

    /// Returns whether no resource is negative.
    pub fn is_non_negative(&self) -> bool {
        self.millicores >= 0 && self.memory_mb >= 0 && self.accelerators >= 0
    }

    /// Returns whether this amount has at least as much of each resource as `other`.
    pub fn covers(&self, other: &Self) -> bool {
        let mut rest = *self;
        rest -= *other;
        rest.is_non_negative()
    }

    /// Returns the cost weight of the CPU and accelerators, in thousandths of a core.
    pub fn weight(&self) -> i64 {
        self.millicores.saturating_add(self.accelerators.saturating_mul(CORES_PER_ACCELERATOR * 1_000))
    }

    /// Returns the largest share of `capacity` that this amount takes of any one resource, in thousandths.
    pub fn share_of(&self, capacity: &Self) -> i64 {
        let each = |have: i64, of: i64| if of > 0 { have.saturating_mul(1_000) / of } else { 0 };
        each(self.millicores, capacity.millicores)
            .max(each(self.memory_mb, capacity.memory_mb))
            .max(each(self.accelerators, capacity.accelerators))
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.millicores = self.millicores.saturating_add(other.millicores);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        self.millicores = self.millicores.saturating_sub(other.millicores);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

impl Mul<i64> for Resources {
    type Output = Self;

    fn mul(self, factor: i64) -> Self {
        let each = |amount: i64| amount.saturating_mul(factor);
        Self::new(each(self.millicores), each(self.memory_mb), each(self.accelerators))
    }
}
