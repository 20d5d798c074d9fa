//! What callers are told while no planner is in reach or the store doesn't answer.
//!
//! Designed for outages of the store and takeovers under load: a caller is held only for as long as a takeover is expected
//! to take, and those sent away come back spread over time, urgent ones first.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Time from the last reply of a leader until another one accepts jobs, in milliseconds: its time-out, the spread of the
/// claims and the start of a planner.
pub const TAKEOVER_MS: u64 = 2_300;

/// Time after which a takeover that was expected is not, in milliseconds: this entry alone is cut off from the leader.
const TAKEOVER_MARGIN_MS: u64 = 1_000;

/// Bounds of the expected rest of an outage of the store, in milliseconds. In between, an outage is expected to last for
/// as long again.
const MIN_OUTAGE_REST_MS: u64 = 1_000;
const MAX_OUTAGE_REST_MS: u64 = 3_000;

/// Time over which callers that were sent away come back, in milliseconds: first those of urgent queues, then the others.
const SPREAD_MS: u64 = 1_000;

/// Time for which an answered call is remembered, in milliseconds: longer than a caller waits.
const CALL_RETENTION_MS: u64 = 30_000;

/// Maximum number of remembered calls.
const MAX_CALLS: usize = 10_000;

/// What an entry knows when a request reaches no planner. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Time since the last reply of a leader, or since the start of this entry.
    pub leaderless_ms: u64,
    /// Time since the first of the failed calls to the store; `None` if it answers this entry.
    pub store_failing_ms: Option<u64>,
    /// Time that is left of the caller's wait.
    pub left_ms: u64,
}

impl Absence {
    /// Returns the time after which a caller should come back, in milliseconds, or `None` if the caller should be held: a
    /// planner is expected within the wait.
    pub fn retry_after_ms(&self) -> Option<u64> {
        if let Some(failing_ms) = self.store_failing_ms {
            // Nobody can claim, as far as this entry can tell.
            return Some(outage_rest_ms(failing_ms));
        }
        if self.leaderless_ms >= TAKEOVER_MS + TAKEOVER_MARGIN_MS {
            // Another entry may reach the leader.
            return Some(MIN_OUTAGE_REST_MS);
        }
        let rest_ms = TAKEOVER_MS.saturating_sub(self.leaderless_ms);
        (rest_ms >= self.left_ms).then_some(rest_ms.max(MIN_OUTAGE_REST_MS))
    }
}

/// Returns the expected rest of an outage that has lasted for `failing_ms`, in milliseconds.
pub fn outage_rest_ms(failing_ms: u64) -> u64 {
    failing_ms.clamp(MIN_OUTAGE_REST_MS, MAX_OUTAGE_REST_MS)
}

/// Adds a part of the spread that follows from the job's name: the first half for urgent jobs, the second for others.
pub fn spread_retry_ms(retry_after_ms: u64, job: &str, priority: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    job.hash(&mut hasher);
    let half = SPREAD_MS / 2;
    retry_after_ms + hasher.finish() % half + if priority == 0 { 0 } else { half }
}

/// Calls that were answered with "not run".
#[derive(Clone, Debug, Default)]
pub struct AnsweredCalls {
    /// When each was answered, on the monotonic clock.
    answered_at: BTreeMap<u64, u64>,
}

impl AnsweredCalls {
    pub fn record(&mut self, now: u64, call: u64) {
        self.answered_at.retain(|_, at| *at + CALL_RETENTION_MS >= now);
        if self.answered_at.len() >= MAX_CALLS
            && let Some(oldest) = self.answered_at.iter().min_by_key(|(_, at)| **at).map(|(call, _)| *call)
        {
            self.answered_at.remove(&oldest);
        }
        self.answered_at.insert(call, now);
    }

    pub fn contains(&self, call: u64) -> bool {
        self.answered_at.contains_key(&call)
    }
}
