//! Short requests: routing, limits, retries and the three outcomes.

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

/// Attempts of one request at most.
const ATTEMPTS: usize = 3;

/// When to come back after a refusal, in milliseconds.
const RETRY_MS: Millis = 500;

/// Margin for the way back to the caller, in milliseconds.
const RETURN_MS: Millis = 5;

/// Longest deadline of a short request, in milliseconds.
pub const DEADLINE_LIMIT_MS: Millis = 120_000;

/// A short request on its way.
struct Call<'a> {
    request: &'a str,
    account: &'a AccountId,
    key: Option<Key>,
    body: Vec<u8>,
    deadline: Instant,
}

impl Call<'_> {
    fn left_ms(&self) -> Millis {
        let left = self.deadline.saturating_duration_since(Instant::now());
        (left.as_millis() as Millis).saturating_sub(RETURN_MS)
    }
}

/// How one attempt ended.
enum Attempt {
    /// The agent told the outcome.
    Told(Outcome),
    /// The request was never handed over.
    NotSent,
    /// The request may have been handed over.
    Broken(String),
}

impl Entry {
    /// Mints a key whose home is one of the ready agents.
    pub(super) fn mint_key(&self) -> Option<Key> {
        let fleet = lock(&self.fleet);
        let (workers, candidates): (Vec<_>, Vec<_>) = fleet.candidates(&[]).into_iter().unzip();
        let at = pick_of_two(&candidates, &mut rand::rng())?;
        let window = fleet.rows().get(&workers[at])?.report.window.clone();
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
        let deadline_ms = body.deadline_ms.min(DEADLINE_LIMIT_MS);
        let call = Call {
            request,
            account,
            key,
            body: body.body.to_string().into_bytes(),
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
        };
        let outcome = match self.enter_account(account) {
            Err(reason) => Outcome::NotRun { reason, retry_ms: RETRY_MS },
            Ok(()) => {
                let outcome = match &call.key {
                    Some(key) => self.run_keyed(&call, key).await,
                    None => self.run_anywhere(&call).await,
                };
                self.exit_account(account);
                outcome
            }
        };
        answer(request, outcome)
    }

    fn enter_account(&self, account: &AccountId) -> Result<(), NotRun> {
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

    fn exit_account(&self, account: &AccountId) {
        if let Some(in_flight) = lock(&self.accounts_in_flight).get_mut(account) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    /// Runs a non-idempotent request at its key's home and nowhere else.
    async fn run_keyed(&self, call: &Call<'_>, key: &Key) -> Outcome {
        let worker = &key.window.worker;
        lock(&self.retries).deposit();
        for attempt in 0..ATTEMPTS {
            if attempt > 0 && !self.may_retry(call).await {
                break;
            }
            let home = self.home_address(key);
            let Some(address) = home else { break };
            match self.try_at(call, worker, &address).await {
                // The home remembers its outcome under the key, so asking again is safe.
                Attempt::Told(outcome) => return outcome,
                Attempt::NotSent => {}
                Attempt::Broken(e) => {
                    log::debug!(request = call.request; "home {worker} broke off: {e}");
                }
            }
        }
        // Even if this entry never handed it over, another may have: only the home could deny that.
        Outcome::Unknown { reason: "the key's home does not answer".to_owned() }
    }

    fn home_address(&self, key: &Key) -> Option<String> {
        let fleet = lock(&self.fleet);
        let row = fleet.rows().get(&key.window.worker)?;
        (row.incarnation == key.window.incarnation).then(|| row.report.address.clone())
    }

    /// Runs an idempotent request at the better of two agents, and elsewhere if that fails.
    async fn run_anywhere(&self, call: &Call<'_>) -> Outcome {
        let mut tried: Vec<WorkerId> = Vec::new();
        let mut last = Outcome::NotRun { reason: NotRun::NoUpstream, retry_ms: RETRY_MS };
        lock(&self.retries).deposit();
        for attempt in 0..ATTEMPTS {
            if attempt > 0 && !self.may_retry(call).await {
                break;
            }
            let (worker, address) = match self.choose(call, &tried) {
                Ok(chosen) => chosen,
                Err(refusal) if attempt == 0 => return refusal,
                Err(_) => break,
            };
            let result = self.try_at(call, &worker, &address).await;
            tried.push(worker);
            match result {
                Attempt::Told(outcome @ Outcome::Done { status: ..500, .. }) => return outcome,
                Attempt::Told(outcome) => last = outcome,
                Attempt::NotSent => {}
                Attempt::Broken(reason) => last = Outcome::Unknown { reason },
            }
        }
        last
    }

    /// Takes a token of the retry budget if there is time left.
    async fn may_retry(&self, call: &Call<'_>) -> bool {
        if call.left_ms() == 0 || !lock(&self.retries).withdraw() {
            return false;
        }
        self.metrics.count_retry();
        tokio::time::sleep(Duration::from_millis(rand::random_range(1..20))).await;
        true
    }

    fn choose(&self, call: &Call<'_>, tried: &[WorkerId]) -> Result<(WorkerId, String), Outcome> {
        let fleet = lock(&self.fleet);
        let (workers, candidates): (Vec<_>, Vec<_>) = fleet.candidates(tried).into_iter().unzip();
        let Some(at) = pick_of_two(&candidates, &mut rand::rng()) else {
            return Err(Outcome::NotRun { reason: NotRun::NoUpstream, retry_ms: RETRY_MS });
        };
        if let Err(retry_ms) = admit(candidates[at].expected_delay_ms(), call.left_ms()) {
            return Err(Outcome::NotRun { reason: NotRun::Deadline, retry_ms });
        }
        let address = fleet.rows()[&workers[at]].report.address.clone();
        Ok((workers[at].clone(), address))
    }

    async fn try_at(&self, call: &Call<'_>, worker: &WorkerId, address: &str) -> Attempt {
        let left_ms = call.left_ms();
        let exec = Exec {
            request: call.request.to_owned(),
            account: call.account.clone(),
            key: call.key.clone(),
            body: call.body.clone(),
            remaining_ms: left_ms,
        };
        let timeout = Duration::from_millis(left_ms);
        lock(&self.fleet).enter(worker);
        let result = self
            .agents
            .call(address, |agent| async move { agent.execute(call_context(timeout), exec).await })
            .await;
        let mut fleet = lock(&self.fleet);
        fleet.exit(worker);
        let attempt = self.read_reply(call, result);
        match &attempt {
            Attempt::Told(Outcome::Done { status, .. }) => fleet.judge(worker, *status < 500),
            Attempt::Told(Outcome::NotRun { .. }) => {}
            _ => fleet.judge(worker, false),
        }
        attempt
    }

    fn read_reply(&self, call: &Call<'_>, result: Result<ExecReply, CallError>) -> Attempt {
        match result {
            Ok(reply) if reply.request == call.request => Attempt::Told(reply.outcome),
            Ok(reply) => {
                self.metrics.count_mismatched();
                log::error!(request = call.request; "an agent answered request {}", reply.request);
                Attempt::Broken("the answer was another request's".to_owned())
            }
            Err(CallError::Connect(e)) => {
                log::debug!(request = call.request; "request is not handed over: {e}");
                Attempt::NotSent
            }
            Err(e) => Attempt::Broken(e.to_string()),
        }
    }
}

fn answer(request: &str, outcome: Outcome) -> Answer {
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
