//! Weights and bounds of the scheduling policy.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Milliseconds of virtual or real time since an arbitrary origin.
pub type Millis = u64;

/// One second in milliseconds.
pub const SECOND_MS: Millis = 1_000;

/// One minute in milliseconds.
pub const MINUTE_MS: Millis = 60 * SECOND_MS;

/// One hour in milliseconds.
pub const HOUR_MS: Millis = 60 * MINUTE_MS;

/// Weights and bounds that a site sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Policy {
    /// Weight of short completion times, from 0 to 1.
    pub completion_weight: f64,
    /// Weight of large shapes that stay whole, from 0 to 1.
    pub fragmentation_weight: f64,
    /// Wait after which a job gets a reservation, in milliseconds.
    pub reserve_after_ms: Millis,
    /// Wait after which a reserved job may have younger borrowed work checkpointed, in milliseconds.
    pub preempt_after_ms: Millis,
    /// Grace for a checkpoint before a stop, in milliseconds.
    pub checkpoint_grace_ms: Millis,
    /// Reservations held at the same time.
    pub reservations: usize,
    /// Whether wider gangs go before narrower ones once both are past a bound on their wait.
    pub wide_first: bool,
    /// Whether heavy load separates job sizes into areas of the fleet.
    pub size_areas: bool,
}

impl Policy {
    /// Creates the policy that puts completion time first.
    pub fn new() -> Self {
        Self {
            completion_weight: 1.0,
            fragmentation_weight: 0.3,
            reserve_after_ms: 20 * MINUTE_MS,
            preempt_after_ms: HOUR_MS,
            checkpoint_grace_ms: 30 * SECOND_MS,
            reservations: 2,
            wide_first: true,
            size_areas: false,
        }
    }

    /// Returns the policy that puts whole large shapes first.
    pub fn with_fragmentation_first(mut self) -> Self {
        self.completion_weight = 0.4;
        self.fragmentation_weight = 1.0;
        self.wide_first = true;
        self.reserve_after_ms = MINUTE_MS;
        self.preempt_after_ms = MINUTE_MS;
        self
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::new()
    }
}
