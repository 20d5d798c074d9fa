//! Execution of short requests on this worker's upstream.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use sorrelland_core::id::WorkerId;
use sorrelland_core::policy::Millis;
use sorrelland_core::route::NotRun;
use sorrelland_lease::{Key, KeyStatus, KeyTable, KeyWindow};
use sorrelland_wire::agent::{Exec, Outcome};
use tokio::sync::Notify;

use crate::agent::Agent;
use crate::sync::lock;

/// Length of a key window.
pub const KEY_WINDOW_DURATION: Duration = Duration::from_secs(600);

/// Delay that a refused caller should wait before it retries.
const RETRY_MS: Millis = 200;

/// Weight of the latest sample in the moving average of the service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Idempotency keys, load and service time of short requests.
pub struct ShortRequests {
    keys: Mutex<KeyTable<Outcome>>,
    /// Notified when the outcome of a keyed request is recorded.
    key_ended: Notify,
    in_flight: AtomicU32,
    service_us: AtomicU32,
    slots: u32,
    connections: u32,
}

#[derive(Deserialize)]
struct Identity {
    request: String,
}

impl ShortRequests {
    pub fn new(worker: &WorkerId, incarnation: u64, slots: u32, connections: u32) -> Self {
        Self {
            keys: Mutex::new(KeyTable::new(worker, incarnation)),
            key_ended: Notify::new(),
            in_flight: AtomicU32::new(0),
            service_us: AtomicU32::new(0),
            slots,
            connections,
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the moving average of the service time in microseconds; 0 before the first request has ended.
    pub fn service_us(&self) -> u32 {
        self.service_us.load(Ordering::Relaxed)
    }

    /// Returns the window in which keys are issued now.
    pub fn window(&self) -> KeyWindow {
        lock(&self.keys).window().clone()
    }

    /// Opens the next key window; the keys of the oldest one expire.
    pub fn open_next_window(&self) {
        lock(&self.keys).open_next_window();
    }

    fn record_service_time(&self, service: Duration) {
        let sample = service.as_micros() as f64;
        let mean = f64::from(self.service_us());
        let average = if mean == 0.0 { sample } else { mean + SAMPLE_WEIGHT * (sample - mean) };
        self.service_us.store(average as u32, Ordering::Relaxed);
    }

    /// Claims one of the upstream's connections, unless all are in use or the deadline cannot be met.
    fn acquire_connection(&self, remaining_ms: Millis) -> Result<InFlightGuard<'_>, Outcome> {
        let guard = InFlightGuard(self);
        let ahead = self.in_flight.fetch_add(1, Ordering::Relaxed);
        if ahead >= self.connections {
            return Err(Outcome::NotRun { reason: NotRun::Busy, retry_ms: RETRY_MS });
        }
        let service_ms = f64::from(self.service_us()) / 1_000.0;
        let batches = f64::from(ahead / self.slots.max(1));
        let delay_ms = service_ms * (batches + 1.0);
        match sorrelland_core::route::admit(delay_ms, remaining_ms) {
            Ok(()) => Ok(guard),
            Err(retry_ms) => Err(Outcome::NotRun { reason: NotRun::Deadline, retry_ms }),
        }
    }
}

/// Counts one request as in flight until it is dropped.
struct InFlightGuard<'a>(&'a ShortRequests);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Agent {
    pub(super) async fn key_window_loop(self: std::sync::Arc<Self>) {
        loop {
            tokio::time::sleep(KEY_WINDOW_DURATION).await;
            self.short_requests.open_next_window();
            lock(&self.authority).report_number += 1;
        }
    }

    /// Runs a short request, at most once per idempotency key.
    pub(super) async fn execute(&self, exec: Exec) -> Outcome {
        let Some(key) = exec.key.clone() else {
            return self.run_request(&exec).await;
        };
        let key_status = lock(&self.short_requests.keys).begin(&key);
        match known_outcome(key_status) {
            Some(Ok(outcome)) => outcome,
            Some(Err(())) => self.await_earlier(&exec, &key).await,
            None => {
                let outcome = self.run_request(&exec).await;
                lock(&self.short_requests.keys).record_outcome(&key, outcome.clone());
                self.short_requests.key_ended.notify_waiters();
                outcome
            }
        }
    }

    /// Waits for the outcome of an earlier request with the same key.
    async fn await_earlier(&self, exec: &Exec, key: &Key) -> Outcome {
        let deadline = Instant::now() + Duration::from_millis(exec.remaining_ms);
        loop {
            let ended = self.short_requests.key_ended.notified();
            let key_status = lock(&self.short_requests.keys).begin(key);
            if let Some(Ok(outcome)) = known_outcome(key_status) {
                return outcome;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if tokio::time::timeout(remaining, ended).await.is_err() {
                return Outcome::Unknown { reason: "an earlier request with this key still runs".to_owned() };
            }
        }
    }

    async fn run_request(&self, exec: &Exec) -> Outcome {
        if let Some(reason) = self.refusal_reason(exec) {
            return Outcome::NotRun { reason, retry_ms: RETRY_MS };
        }
        let guard = match self.short_requests.acquire_connection(exec.remaining_ms) {
            Ok(guard) => guard,
            Err(outcome) => return outcome,
        };
        let started = Instant::now();
        let outcome = self.call_upstream(exec).await;
        if matches!(outcome, Outcome::Done { .. }) {
            self.short_requests.record_service_time(started.elapsed());
        }
        drop(guard);
        outcome
    }

    fn refusal_reason(&self, exec: &Exec) -> Option<NotRun> {
        let authority = lock(&self.authority);
        if authority.is_draining() {
            return Some(NotRun::Draining);
        }
        let config = authority.config.as_ref();
        match config {
            None => Some(NotRun::NoUpstream),
            Some(config) if config.paused.contains(&exec.account) => Some(NotRun::Paused),
            Some(_) => None,
        }
    }

    async fn call_upstream(&self, exec: &Exec) -> Outcome {
        let body: serde_json::Value = serde_json::from_slice(&exec.body).unwrap_or_default();
        let key = exec.key.as_ref().map(Key::to_string).unwrap_or_default();
        let call = json!({ "request": exec.request, "account": exec.account, "key": key, "body": body });
        let timeout = Duration::from_millis(exec.remaining_ms);
        match self.worker.request(Bytes::from(call.to_string()), timeout).await {
            Ok(reply) if reply.status.as_u16() == 503 => {
                Outcome::NotRun { reason: NotRun::Busy, retry_ms: RETRY_MS }
            }
            Ok(reply) => {
                let status = reply.status.as_u16();
                let identity = serde_json::from_slice::<Identity>(&reply.body).ok();
                if reply.status.is_success() && identity.is_none_or(|i| i.request != exec.request) {
                    self.metrics.count_mismatched();
                    return Outcome::Unknown { reason: "the upstream answered another request".to_owned() };
                }
                Outcome::Done { status, body: reply.body.to_vec() }
            }
            Err(e) if e.never_sent() => Outcome::NotRun { reason: NotRun::NoUpstream, retry_ms: RETRY_MS },
            Err(e) => Outcome::Unknown { reason: e.to_string() },
        }
    }
}

/// Returns the outcome of a known key, an error while its request runs, or `None` if the request must be run.
fn known_outcome(key_status: KeyStatus<Outcome>) -> Option<Result<Outcome, ()>> {
    match key_status {
        KeyStatus::New => None,
        KeyStatus::Running => Some(Err(())),
        KeyStatus::Ended(outcome) => Some(Ok(outcome)),
        KeyStatus::Unknown => {
            Some(Ok(Outcome::Unknown { reason: "the key's home does not remember it".to_owned() }))
        }
        KeyStatus::Full => Some(Ok(Outcome::NotRun { reason: NotRun::Busy, retry_ms: RETRY_MS })),
    }
}
