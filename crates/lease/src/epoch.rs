//! Epochs: fencing tokens that order the attempts to run a job.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Low bits of an epoch, which number the attempts under one claim.
const ATTEMPT_BITS: u32 = 16;

/// Number of an attempt to run a job; it grows with each claim and each attempt under a claim.
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

    /// Returns the log offset of the claim under which the attempt was made; `None` for the default epoch.
    pub fn claim(self) -> Option<u64> {
        (self.0 >> ATTEMPT_BITS).checked_sub(1)
    }

    /// Returns the epoch of the next attempt under the same claim.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
