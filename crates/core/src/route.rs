//! Routing of short requests to agents, with a retry budget and admission by deadline.

use rand::{Rng, RngExt};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::policy::Millis;

/// An agent to which an entry may route a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that this entry has in flight at the agent.
    pub in_flight: u32,
    /// Requests in flight from all entries, as the agent last reported.
    pub reported_in_flight: u32,
    /// Slots of the upstream.
    pub slots: u32,
    /// Mean service time of the upstream's requests, in milliseconds.
    pub service_ms: f64,
    /// Whether the agent is in the entry's own failure domain.
    pub same_domain: bool,
}

/// One-way network latency between failure domains.
pub const CROSS_DOMAIN_ONE_WAY_MS: f64 = 1.5;

impl Candidate {
    /// Returns the expected time until the response, in milliseconds.
    pub fn expected_delay_ms(&self) -> f64 {
        let queued = f64::from(self.in_flight.max(self.reported_in_flight));
        let slots = f64::from(self.slots.max(1));
        let waves = (queued + 1.0) / slots;
        let network_ms = if self.same_domain { 0.0 } else { 2.0 * CROSS_DOMAIN_ONE_WAY_MS };
        network_ms + self.service_ms.max(0.1) * waves.max(1.0)
    }
}

/// Samples two candidates and picks the one with the lower expected delay.
pub fn pick_of_two(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    match candidates.len() {
        0 => None,
        1 => Some(0),
        len => {
            let first = rng.random_range(0..len);
            let second = (first + 1 + rng.random_range(0..len - 1)) % len;
            let better = candidates[second].expected_delay_ms() < candidates[first].expected_delay_ms();
            Some(if better { second } else { first })
        }
    }
}

/// Tokens that each first attempt adds to the retry budget.
const RETRY_TOKENS_PER_ATTEMPT: f64 = 0.1;

const MAX_RETRY_TOKENS: f64 = 20.0;

/// A token bucket that limits retries to a tenth of first attempts, even if all attempts fail.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget with all of its tokens.
    pub fn new() -> Self {
        Self { tokens: MAX_RETRY_TOKENS }
    }

    /// Adds tokens for a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_TOKENS_PER_ATTEMPT).min(MAX_RETRY_TOKENS);
    }

    /// Takes a token for a retry; returns `false` if there is none.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// No agent is ready.
    NoUpstream,
    /// The deadline cannot be met.
    Deadline,
    /// The account has too many requests in flight.
    AccountLimit,
    /// The upstream is at its limit of concurrent requests, or the agent cannot record more idempotency keys.
    Busy,
    /// The process is stopping.
    Draining,
    /// The account is paused.
    Paused,
    /// The agent to which the idempotency key is bound is no longer available and never got the request.
    HomeGone,
}

/// Admits a request if its expected delay meets its deadline.
///
/// # Errors
///
/// Returns the number of milliseconds after which the caller should retry.
pub fn admit(best_delay_ms: f64, remaining_ms: Millis) -> std::result::Result<(), Millis> {
    if best_delay_ms <= remaining_ms as f64 {
        return Ok(());
    }
    Err((best_delay_ms - remaining_ms as f64).ceil().clamp(1.0, 60_000.0) as Millis)
}
