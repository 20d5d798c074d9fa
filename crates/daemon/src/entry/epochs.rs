//! Numbers of attempts under one claim.

use std::collections::BTreeMap;

use sorrelland_core::id::JobId;

/// Attempts of jobs in this life of the entry.
#[derive(Debug, Default)]
pub struct Epochs {
    attempts: BTreeMap<JobId, (u64, u16)>,
}

/// Jobs whose attempts are remembered.
const EPOCHS_KEPT: usize = 10_000;

impl Epochs {
    /// Returns the number of the next attempt under a claim.
    pub fn next(&mut self, job: &JobId, claim: u64) -> u16 {
        if self.attempts.len() >= EPOCHS_KEPT && !self.attempts.contains_key(job) {
            self.attempts.pop_first();
        }
        let (seen, attempt) = self.attempts.entry(job.clone()).or_default();
        if *seen != claim {
            *seen = claim;
            *attempt = 0;
        }
        *attempt = attempt.saturating_add(1);
        *attempt
    }

    /// Returns how many attempts a job had under its claim.
    pub fn attempts(&self, job: &JobId) -> u16 {
        self.attempts.get(job).map_or(0, |(_, attempt)| *attempt)
    }
}
