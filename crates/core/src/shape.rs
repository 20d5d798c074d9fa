//! Resource amounts and the shapes of gangs.

use std::ops::{AddAssign, SubAssign};

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An amount of a worker's divisible resources.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct Amount {
    /// Task slots.
    pub slots: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Amount {
    pub const fn new(slots: u32, accelerators: u32) -> Self {
        Self { slots, accelerators }
    }

    /// Returns whether this amount is at least `other` in each resource.
    pub fn covers(self, other: Self) -> bool {
        self.slots >= other.slots && self.accelerators >= other.accelerators
    }

    /// Subtracts `other`, with a minimum of zero in each resource.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the minimum of the two amounts in each resource.
    pub fn min(self, other: Self) -> Self {
        Self { slots: self.slots.min(other.slots), accelerators: self.accelerators.min(other.accelerators) }
    }

    /// Returns how many tasks that need `per_task` fit into this amount.
    pub fn tasks(self, per_task: Self) -> u32 {
        let by_slots = self.slots.checked_div(per_task.slots).unwrap_or(u32::MAX);
        let by_accelerators = self.accelerators.checked_div(per_task.accelerators).unwrap_or(u32::MAX);
        by_slots.min(by_accelerators)
    }

    pub fn times(self, count: u32) -> Self {
        Self { slots: self.slots * count, accelerators: self.accelerators * count }
    }

    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Self) {
        self.slots += other.slots;
        self.accelerators += other.accelerators;
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(other);
    }
}

/// The widest level of the topology over which a gang may be spread.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Span {
    /// One worker.
    #[display("worker")]
    Worker,
    /// Workers of one rack.
    #[display("rack")]
    Rack,
    /// Workers of one failure domain.
    #[default]
    #[display("domain")]
    Domain,
    /// Workers of one region.
    #[display("region")]
    Region,
}

/// The resources that a gang needs at the same time, and how far it may be spread.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[display("{tasks}x{accelerators}@{span}")]
pub struct Shape {
    /// Number of tasks, each on one slot.
    pub tasks: u32,
    /// Accelerators that each task needs on its own worker.
    pub accelerators: u32,
    /// The widest level over which the tasks may be spread.
    #[serde(default)]
    pub span: Span,
}

impl Shape {
    pub const fn new(tasks: u32, accelerators: u32, span: Span) -> Self {
        Self { tasks, accelerators, span }
    }

    /// Returns the resources of one task.
    pub const fn per_task(&self) -> Amount {
        Amount::new(1, self.accelerators)
    }

    /// Returns the resources of the whole gang.
    pub fn total(&self) -> Amount {
        self.per_task().times(self.tasks)
    }
}
