//! Weights and bounds of the scheduling policy.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A duration in milliseconds, or a real or simulated time in milliseconds since an arbitrary origin.
pub type Millis = u64;

pub const SECOND_MS: Millis = 1_000;

pub const MINUTE_MS: Millis = 60 * SECOND_MS;

pub const HOUR_MS: Millis = 60 * MINUTE_MS;

/// Weights and bounds of the scheduling policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Policy {
    /// Weight of short completion times, from 0 to 1.
    pub completion_weight: f64,
    /// Weight of low fragmentation, which favours wide gangs, from 0 to 1.
    pub fragmentation_weight: f64,
    /// Wait after which a job gets a reservation, in milliseconds.
    pub reserve_after_ms: Millis,
    /// Wait after which a job may preempt narrower or younger work that is not on its own backing, in
    /// milliseconds.
    pub preempt_after_ms: Millis,
    /// Grace period for a checkpoint before a stop, in milliseconds.
    pub checkpoint_grace_ms: Millis,
    /// Maximum number of concurrent reservations.
    pub reservations: usize,
    /// Whether wider gangs precede narrower ones among jobs that waited past a bound.
    pub wide_first: bool,
    /// Whether small and large jobs use separate parts of the fleet under heavy load.
    pub size_areas: bool,
}

impl Policy {
    /// Creates the policy that favours short completion times.
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

    /// Returns the policy changed to favour low fragmentation.
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
