//! Numbering of a job's attempts under one claim; the number is the low part of the epoch.

use std::collections::BTreeMap;

use sorrelland_core::id::JobId;

/// Claim and number of attempts by job, in this incarnation of the entry.
#[derive(Debug, Default)]
pub struct Epochs {
    attempts: BTreeMap<JobId, (u64, u16)>,
}

/// Maximum number of jobs whose attempts are counted.
const MAX_COUNTED_JOBS: usize = 10_000;

impl Epochs {
    /// Returns the number of the next attempt under a claim.
    pub fn next(&mut self, job: &JobId, claim: u64) -> u16 {
        if self.attempts.len() >= MAX_COUNTED_JOBS && !self.attempts.contains_key(job) {
            self.attempts.pop_first();
        }
        let (counted_claim, attempt) = self.attempts.entry(job.clone()).or_default();
        if *counted_claim != claim {
            *counted_claim = claim;
            *attempt = 0;
        }
        *attempt = attempt.saturating_add(1);
        *attempt
    }

    /// Returns the number of attempts of a job under its latest claim.
    pub fn attempts(&self, job: &JobId) -> u16 {
        self.attempts.get(job).map_or(0, |(_, attempt)| *attempt)
    }
}
