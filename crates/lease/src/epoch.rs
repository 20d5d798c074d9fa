//! Epochs, which order the attempts to run a job.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Bits of an epoch that number the attempts under one claim.
const ATTEMPT_BITS: u32 = 16;

/// An attempt to run a job; later claims and later attempts are greater.
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
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Creates the epoch of an attempt under the claim at log offset `claim`.
    pub fn new(claim: u64, attempt: u16) -> Self {
        Self(((claim + 1) << ATTEMPT_BITS) | u64::from(attempt))
    }

    /// Returns the log offset of the claim under which the attempt was made.
    pub fn claim(self) -> Option<u64> {
        (self.0 >> ATTEMPT_BITS).checked_sub(1)
    }

    /// Returns the epoch of the next attempt under the same claim.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
