//! Answering callers: queues, keys and names first, then the planner is asked on their behalf.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::json;
use sorrelland_fleet::desired::Queue;
use sorrelland_fleet::job::{JobState, Outcome};
use sorrelland_platform::jobs;
use sorrelland_platform::serve::{Answer, Call};
use sorrelland_wire::connect::CallError;

use crate::calls::{Ask, Told, call};
use crate::entry::Entry;
use crate::metrics;

/// Time for one try at the planner: long enough for a slow store, short enough for a second try.
const TRY_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Pause before the next try.
const TRY_PAUSE: Duration = Duration::from_millis(60);

/// Wait of a caller that names none, in milliseconds.
const WAIT_MS: u64 = 3_000;

/// Part of a caller's wait that is left for the way back, in milliseconds.
const WAY_BACK_MS: u64 = 150;

/// Shortest wait for the planner, in milliseconds: an append to the store and the way there and back.
const LEAST_WAIT_MS: u64 = 60;

/// When callers come back to a system without a planner, in milliseconds: a takeover's time.
const TAKEOVER_RETRY_MS: u64 = 2_000;

impl Entry {
    /// Answers a caller and records how long it took.
    pub(crate) async fn answer(self: Arc<Self>, call: Call) -> Answer {
        let began = Instant::now();
        let answer = self.answer_plain(&call).await;
        let what = match call.method {
            Method::POST => "submit",
            Method::DELETE => "cancel",
            _ => "ask",
        };
        metrics::record_request(what, answer.status, began);
        answer
    }

    async fn answer_plain(&self, call: &Call) -> Answer {
        let desired = self.desired.borrow().clone();
        if desired.version == 0 {
            return Answer::new(StatusCode::SERVICE_UNAVAILABLE).with_retry_after_ms(TAKEOVER_RETRY_MS);
        }
        let Some(queue) = desired.queue_for(&call.host, &call.path) else {
            return refuse(StatusCode::NOT_FOUND, "no such queue");
        };
        let account = match (&call.key, queue.public) {
            (Some(key), _) if desired.keys.contains_key(key) => desired.keys[key].clone(),
            (None, true) => String::new(),
            (Some(_), true) => String::new(),
            _ => return refuse(StatusCode::UNAUTHORIZED, "unknown key"),
        };
        let job = &call.path[queue.path_prefix.len()..];
        match (&call.method, job) {
            (&Method::GET, "") => self.pending(queue, call).await,
            (_, "") => refuse(StatusCode::METHOD_NOT_ALLOWED, "a job's name is needed"),
            (_, job) if !is_job(job) => {
                refuse(StatusCode::BAD_REQUEST, "a job's name has 16 hexadecimal digits")
            }
            (&Method::POST, job) => self.submit(queue, &account, job, call).await,
            (&Method::GET, job) => self.state(job, call).await,
            (&Method::DELETE, job) => self.cancel(job, call).await,
            _ => refuse(StatusCode::METHOD_NOT_ALLOWED, "not possible here"),
        }
    }

    async fn submit(&self, queue: &Queue, account: &str, job: &str, call: &Call) -> Answer {
        let sub = match jobs::decode(&call.body, job, &queue.name, account) {
            Ok(sub) => sub,
            Err(e) => {
                log::info!("event=malformed job={job} queue={} cause=\"{e}\"", queue.name);
                return refuse(StatusCode::BAD_REQUEST, &e.to_string());
            }
        };
        match self.ask(Ask::Submit(sub), call).await {
            Asked::Told(Told::Accepted) => Answer::new(StatusCode::OK).with_json(&json!({})),
            Asked::Told(Told::Refused { why, retry_after_ms }) => {
                refuse(StatusCode::TOO_MANY_REQUESTS, &why).with_retry_after_ms(retry_after_ms)
            }
            other => unanswered("submit", job, &other),
        }
    }

    async fn state(&self, job: &str, call: &Call) -> Answer {
        match self.ask(Ask::State(job.to_owned()), call).await {
            Asked::Told(Told::State(Some(state))) => {
                let text = match state {
                    JobState::Queued => "queued",
                    JobState::Running => "running",
                    JobState::Ended(Outcome::Completed) => "completed",
                    JobState::Ended(Outcome::Failed) => "failed",
                    JobState::Ended(Outcome::Cancelled) => "cancelled",
                };
                Answer::new(StatusCode::OK).with_json(&json!({"state": text}))
            }
            Asked::Told(Told::State(None)) => refuse(StatusCode::GONE, "no such job"),
            other => unanswered("state", job, &other),
        }
    }

    async fn cancel(&self, job: &str, call: &Call) -> Answer {
        match self.ask(Ask::Cancel(job.to_owned()), call).await {
            Asked::Told(Told::Cancelled(true)) => Answer::new(StatusCode::OK).with_json(&json!({})),
            Asked::Told(Told::Cancelled(false)) => refuse(StatusCode::GONE, "no such job"),
            other => unanswered("cancel", job, &other),
        }
    }

    async fn pending(&self, queue: &Queue, call: &Call) -> Answer {
        match self.ask(Ask::Pending(queue.name.clone()), call).await {
            Asked::Told(Told::Pending(count)) => {
                Answer::new(StatusCode::OK).with_json(&json!({"pending": count}))
            }
            other => unanswered("pending", &queue.name, &other),
        }
    }

    /// Asks the planner until it answers or the caller's time is nearly up.
    pub(crate) async fn ask(&self, ask: Ask, call: &Call) -> Asked {
        let wait = Duration::from_millis(wait_for_planner_ms(call.wait_ms));
        let until = tokio::time::Instant::now() + wait;
        let mut delivered = false;
        loop {
            let left = until.saturating_duration_since(tokio::time::Instant::now());
            if left.is_zero() {
                return if delivered { Asked::Unresolved } else { Asked::NeverSent };
            }
            match self.try_once(ask.clone(), left.min(TRY_TIMEOUT)).await {
                Asked::Told(Told::NotPlanner(holder)) => self.office.learn(holder),
                Asked::Told(Told::Unresolved) | Asked::Unresolved => delivered = true,
                Asked::NeverSent => (),
                told => return told,
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
    }

    async fn try_once(&self, ask: Ask, wait: Duration) -> Asked {
        if let Some(seat) = self.seat() {
            return Asked::Told(seat.ask(ask, wait).await);
        }
        let Some(holder) = self.office.holder().filter(|holder| holder.life != self.me.life) else {
            return Asked::NeverSent;
        };
        let wait_ms = wait.as_millis() as u64;
        let told = call(&self.links, &holder.address, wait, async |rpc, cx| rpc.ask(cx, ask, wait_ms).await);
        match told.await {
            Ok(told) => Asked::Told(told),
            Err(CallError::Connect(e)) => {
                log::debug!("event=planner_unreachable address={} cause=\"{e}\"", holder.address);
                Asked::NeverSent
            }
            Err(e) => {
                log::debug!("event=planner_unanswered address={} cause=\"{e}\"", holder.address);
                Asked::Unresolved
            }
        }
    }
}

/// Returns how long the planner is waited for on behalf of a caller, in milliseconds. A caller in a hurry is tried all
/// the same: the planner usually answers within a few milliseconds.
pub fn wait_for_planner_ms(caller_waits_ms: Option<u64>) -> u64 {
    let waits = caller_waits_ms.unwrap_or(WAIT_MS).min(WAIT_MS);
    (waits - WAY_BACK_MS.min(waits / 4)).max(LEAST_WAIT_MS)
}

/// What became of a question to the planner.
#[derive(Debug)]
pub(crate) enum Asked {
    /// The planner has answered.
    Told(Told),
    /// No planner was ever reached.
    NeverSent,
    /// The question may have been carried out.
    Unresolved,
}

fn is_job(name: &str) -> bool {
    name.len() == 16 && name.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn refuse(status: StatusCode, why: &str) -> Answer {
    Answer::new(status).with_json(&json!({"error": why}))
}

/// Answers a caller whose question has no answer: 503 only where certainly nothing was done.
fn unanswered(what: &str, name: &str, asked: &Asked) -> Answer {
    log::warn!("event=unanswered what={what} job={name} asked={asked:?}");
    match asked {
        Asked::NeverSent => refuse(StatusCode::SERVICE_UNAVAILABLE, "no planner is in reach")
            .with_retry_after_ms(TAKEOVER_RETRY_MS),
        _ => refuse(StatusCode::GATEWAY_TIMEOUT, "not known yet; ask again with the same name"),
    }
}
