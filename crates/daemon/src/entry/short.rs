//! Short requests: routing, account limits, retries and outcomes.

use std::time::{Duration, Instant};

use sorrelland_core::id::{AccountId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::route::{NotRun, admit, pick_of_two};
use sorrelland_lease::Key;
use sorrelland_wire::agent::{Exec, ExecReply, Outcome};
use sorrelland_wire::connect::{CallError, call_context};

use crate::entry::Entry;
use crate::entry::answer::{Answer, RequestBody};
use crate::sync::lock;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 3;

/// Time after which a caller should retry a refused request.
const RETRY_AFTER_MS: Millis = 500;

/// Part of the deadline reserved for sending the answer to the caller.
const ANSWER_MARGIN_MS: Millis = 5;

/// Longest deadline of a short request; longer ones are cut to it.
pub const MAX_DEADLINE_MS: Millis = 120_000;

/// A short request that is being executed.
struct Call<'a> {
    request: &'a str,
    account: &'a AccountId,
    key: Option<Key>,
    body: Vec<u8>,
    deadline: Instant,
}

impl Call<'_> {
    /// Returns the time that an agent has for the request.
    fn remaining_ms(&self) -> Millis {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        (remaining.as_millis() as Millis).saturating_sub(ANSWER_MARGIN_MS)
    }
}

/// How one attempt ended.
enum Attempt {
    /// The agent reported the outcome.
    Answered(Outcome),
    /// The request was not sent to the agent.
    NotSent,
    /// The request may have been sent; the outcome is unknown, for the reason given.
    Unresolved(String),
}

impl Entry {
    /// Creates an idempotency key for one of the ready agents, chosen by load; that agent is the key's home.
    pub(super) fn create_key(&self) -> Option<Key> {
        let fleet = lock(&self.fleet);
        let (workers, candidates): (Vec<_>, Vec<_>) = fleet.candidates(&[]).into_iter().unzip();
        let index = pick_of_two(&candidates, &mut rand::rng())?;
        let window = fleet.rows().get(&workers[index])?.report.window.clone();
        Some(Key { window, nonce: rand::random() })
    }

    /// Runs a short request and returns its final answer.
    pub(super) async fn run_short(
        &self,
        request: &str,
        account: &AccountId,
        key: Option<Key>,
        body: &RequestBody,
    ) -> Answer {
        let deadline_ms = body.deadline_ms.min(MAX_DEADLINE_MS);
        let call = Call {
            request,
            account,
            key,
            body: body.body.to_string().into_bytes(),
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
        };
        let outcome = match self.begin_account_request(account) {
            Err(reason) => Outcome::NotRun { reason, retry_ms: RETRY_AFTER_MS },
            Ok(()) => {
                let outcome = match &call.key {
                    Some(key) => self.run_keyed(&call, key).await,
                    None => self.run_anywhere(&call).await,
                };
                self.end_account_request(account);
                outcome
            }
        };
        to_answer(request, outcome)
    }

    /// Counts a request of the account, unless it is paused or at its limit.
    fn begin_account_request(&self, account: &AccountId) -> Result<(), NotRun> {
        let limits = self.with_fold(|fold| fold.accounts.get(account).map(|a| (a.paused, a.request_limit)));
        let Some(Some((paused, limit))) = limits else { return Err(NotRun::NoUpstream) };
        if paused {
            return Err(NotRun::Paused);
        }
        let mut table = lock(&self.accounts_in_flight);
        let in_flight = table.entry(account.clone()).or_default();
        if *in_flight >= limit {
            return Err(NotRun::AccountLimit);
        }
        *in_flight += 1;
        Ok(())
    }

    /// Counts the end of a request of the account.
    fn end_account_request(&self, account: &AccountId) {
        if let Some(in_flight) = lock(&self.accounts_in_flight).get_mut(account) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    /// Runs a request with a key at the key's home agent, and at no other.
    async fn run_keyed(&self, call: &Call<'_>, key: &Key) -> Outcome {
        let worker = &key.window.worker;
        lock(&self.retries).deposit();
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && !self.may_retry(call).await {
                break;
            }
            let home = self.home_address(key);
            let Some(address) = home else { break };
            match self.send_to(call, worker, &address).await {
                // The home stores the outcome under the key, so a retry does not run the work again.
                Attempt::Answered(outcome) => return outcome,
                Attempt::NotSent => {}
                Attempt::Unresolved(e) => {
                    log::debug!(request = call.request; "call to home {worker} failed: {e}");
                }
            }
        }
        // Another entry may have sent the request even if this one did not: only the home has a record of it.
        Outcome::Unknown { reason: "the key's home does not answer".to_owned() }
    }

    /// Returns the address of the key's home; `None` if it is unknown or has restarted since the key was created.
    fn home_address(&self, key: &Key) -> Option<String> {
        let fleet = lock(&self.fleet);
        let row = fleet.rows().get(&key.window.worker)?;
        (row.incarnation == key.window.incarnation).then(|| row.report.address.clone())
    }

    /// Runs an idempotent request at the better of two random agents, and retries failures at others.
    async fn run_anywhere(&self, call: &Call<'_>) -> Outcome {
        let mut tried: Vec<WorkerId> = Vec::new();
        let mut last = Outcome::NotRun { reason: NotRun::NoUpstream, retry_ms: RETRY_AFTER_MS };
        lock(&self.retries).deposit();
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && !self.may_retry(call).await {
                break;
            }
            let (worker, address) = match self.choose_agent(call, &tried) {
                Ok(chosen) => chosen,
                Err(refusal) if attempt == 0 => return refusal,
                Err(_) => break,
            };
            let result = self.send_to(call, &worker, &address).await;
            tried.push(worker);
            match result {
                Attempt::Answered(outcome @ Outcome::Done { status: ..500, .. }) => return outcome,
                Attempt::Answered(outcome) => last = outcome,
                Attempt::NotSent => {}
                Attempt::Unresolved(reason) => last = Outcome::Unknown { reason },
            }
        }
        last
    }

    /// Returns whether time and retry budget allow a retry.
    ///
    /// Before it returns true, it takes a token from the budget and waits for a random delay.
    async fn may_retry(&self, call: &Call<'_>) -> bool {
        if call.remaining_ms() == 0 || !lock(&self.retries).withdraw() {
            return false;
        }
        self.metrics.count_retry();
        tokio::time::sleep(Duration::from_millis(rand::random_range(1..20))).await;
        true
    }

    /// Returns an agent that was not tried yet and can answer in time, or the refusal.
    fn choose_agent(&self, call: &Call<'_>, tried: &[WorkerId]) -> Result<(WorkerId, String), Outcome> {
        let fleet = lock(&self.fleet);
        let (workers, candidates): (Vec<_>, Vec<_>) = fleet.candidates(tried).into_iter().unzip();
        let Some(index) = pick_of_two(&candidates, &mut rand::rng()) else {
            return Err(Outcome::NotRun { reason: NotRun::NoUpstream, retry_ms: RETRY_AFTER_MS });
        };
        if let Err(retry_ms) = admit(candidates[index].expected_delay_ms(), call.remaining_ms()) {
            return Err(Outcome::NotRun { reason: NotRun::Deadline, retry_ms });
        }
        let address = fleet.rows()[&workers[index]].report.address.clone();
        Ok((workers[index].clone(), address))
    }

    /// Sends the request to one agent and records the outcome for ejection.
    async fn send_to(&self, call: &Call<'_>, worker: &WorkerId, address: &str) -> Attempt {
        let timeout_ms = call.remaining_ms();
        let exec = Exec {
            request: call.request.to_owned(),
            account: call.account.clone(),
            key: call.key.clone(),
            body: call.body.clone(),
            remaining_ms: timeout_ms,
        };
        let timeout = Duration::from_millis(timeout_ms);
        lock(&self.fleet).begin_request(worker);
        let result = self
            .agents
            .call(address, |agent| async move { agent.execute(call_context(timeout), exec).await })
            .await;
        let mut fleet = lock(&self.fleet);
        fleet.end_request(worker);
        let attempt = self.read_reply(call, result);
        match &attempt {
            Attempt::Answered(Outcome::Done { status, .. }) => fleet.record_outcome(worker, *status < 500),
            Attempt::Answered(Outcome::NotRun { .. }) => {}
            _ => fleet.record_outcome(worker, false),
        }
        attempt
    }

    fn read_reply(&self, call: &Call<'_>, result: Result<ExecReply, CallError>) -> Attempt {
        match result {
            Ok(reply) if reply.request == call.request => Attempt::Answered(reply.outcome),
            Ok(reply) => {
                self.metrics.count_mismatched();
                log::error!(request = call.request; "agent answered a different request: {}", reply.request);
                Attempt::Unresolved("the answer was another request's".to_owned())
            }
            Err(CallError::Connect(e)) => {
                log::debug!(request = call.request; "request was not sent: {e}");
                Attempt::NotSent
            }
            Err(e) => Attempt::Unresolved(e.to_string()),
        }
    }
}

/// Returns the answer to the caller; an upstream body that is not JSON becomes a string.
fn to_answer(request: &str, outcome: Outcome) -> Answer {
    let request = request.to_owned();
    match outcome {
        Outcome::Done { status, body } => {
            let text = || serde_json::Value::String(String::from_utf8_lossy(&body).into_owned());
            let answer = serde_json::from_slice(&body).unwrap_or_else(|_| text());
            Answer::Done { request, status, answer }
        }
        Outcome::NotRun { reason, retry_ms } => Answer::NotRun { request, reason, retry_after_ms: retry_ms },
        Outcome::Unknown { reason } => Answer::Unknown { request, reason },
    }
}
