//! Short requests on this worker's upstream.

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

/// Time for which a window of keys is open.
pub const WINDOW: Duration = Duration::from_secs(600);

/// When to come back to a full or leaving upstream, in milliseconds.
const RETRY_MS: Millis = 200;

/// Weight of the newest service time in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Keys, load and service time of short requests.
pub struct Shorts {
    keys: Mutex<KeyTable<Outcome>>,
    ended: Notify,
    in_flight: AtomicU32,
    service_us: AtomicU32,
    slots: u32,
    connections: u32,
}

#[derive(Deserialize)]
struct Identity {
    request: String,
}

impl Shorts {
    /// Creates the state of an upstream with `slots` slots and `connections` connections.
    pub fn new(worker: &WorkerId, incarnation: u64, slots: u32, connections: u32) -> Self {
        Self {
            keys: Mutex::new(KeyTable::new(worker, incarnation)),
            ended: Notify::new(),
            in_flight: AtomicU32::new(0),
            service_us: AtomicU32::new(0),
            slots,
            connections,
        }
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the mean service time in microseconds.
    pub fn service_us(&self) -> u32 {
        self.service_us.load(Ordering::Relaxed)
    }

    /// Returns the window in which keys are minted now.
    pub fn window(&self) -> KeyWindow {
        lock(&self.keys).window().clone()
    }

    /// Opens the next window of keys.
    pub fn advance(&self) {
        lock(&self.keys).open_next_window();
    }

    fn record(&self, service: Duration) {
        let newest = service.as_micros() as f64;
        let mean = f64::from(self.service_us());
        let next = if mean == 0.0 { newest } else { mean + NEWEST_WEIGHT * (newest - mean) };
        self.service_us.store(next as u32, Ordering::Relaxed);
    }

    /// Takes a place among the upstream's connections, if the deadline can be met.
    fn enter(&self, left_ms: Millis) -> Result<Place<'_>, Outcome> {
        let place = Place(self);
        let queued = self.in_flight.fetch_add(1, Ordering::Relaxed);
        if queued >= self.connections {
            return Err(Outcome::NotRun { reason: NotRun::Busy, retry_ms: RETRY_MS });
        }
        let service_ms = f64::from(self.service_us()) / 1_000.0;
        let waves = f64::from(queued / self.slots.max(1));
        let delay_ms = service_ms * (waves + 1.0);
        match sorrelland_core::route::admit(delay_ms, left_ms) {
            Ok(()) => Ok(place),
            Err(retry_ms) => Err(Outcome::NotRun { reason: NotRun::Deadline, retry_ms }),
        }
    }
}

/// A place among the requests in flight, given back when dropped.
struct Place<'a>(&'a Shorts);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Agent {
    pub(super) async fn window_loop(self: std::sync::Arc<Self>) {
        loop {
            tokio::time::sleep(WINDOW).await;
            self.shorts.advance();
            lock(&self.authority).report_number += 1;
        }
    }

    /// Runs a short request, at most once for each key.
    pub(super) async fn execute(&self, exec: Exec) -> Outcome {
        let Some(key) = exec.key.clone() else {
            return self.run_once(&exec).await;
        };
        let begun = lock(&self.shorts.keys).begin(&key);
        match begin_outcome(begun) {
            Some(Ok(outcome)) => outcome,
            Some(Err(())) => self.await_other(&exec, &key).await,
            None => {
                let outcome = self.run_once(&exec).await;
                lock(&self.shorts.keys).record_outcome(&key, outcome.clone());
                self.shorts.ended.notify_waiters();
                outcome
            }
        }
    }

    /// Waits for the outcome of a request that came earlier under the same key.
    async fn await_other(&self, exec: &Exec, key: &Key) -> Outcome {
        let deadline = Instant::now() + Duration::from_millis(exec.remaining_ms);
        loop {
            let ended = self.shorts.ended.notified();
            let begun = lock(&self.shorts.keys).begin(key);
            if let Some(Ok(outcome)) = begin_outcome(begun) {
                return outcome;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if tokio::time::timeout(left, ended).await.is_err() {
                return Outcome::Unknown { reason: "an earlier request with this key still runs".to_owned() };
            }
        }
    }

    async fn run_once(&self, exec: &Exec) -> Outcome {
        if let Some(reason) = self.closed(exec) {
            return Outcome::NotRun { reason, retry_ms: RETRY_MS };
        }
        let place = match self.shorts.enter(exec.remaining_ms) {
            Ok(place) => place,
            Err(outcome) => return outcome,
        };
        let started = Instant::now();
        let outcome = self.ask_upstream(exec).await;
        if matches!(outcome, Outcome::Done { .. }) {
            self.shorts.record(started.elapsed());
        }
        drop(place);
        outcome
    }

    fn closed(&self, exec: &Exec) -> Option<NotRun> {
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

    async fn ask_upstream(&self, exec: &Exec) -> Outcome {
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
                    self.metrics.mismatched();
                    return Outcome::Unknown { reason: "the upstream answered another request".to_owned() };
                }
                Outcome::Done { status, body: reply.body.to_vec() }
            }
            Err(e) if e.never_sent() => Outcome::NotRun { reason: NotRun::NoUpstream, retry_ms: RETRY_MS },
            Err(e) => Outcome::Unknown { reason: e.to_string() },
        }
    }
}

/// Returns the outcome that a key's record gives, an error while it runs, or `None` for fresh work.
fn begin_outcome(begun: KeyStatus<Outcome>) -> Option<Result<Outcome, ()>> {
    match begun {
        KeyStatus::New => None,
        KeyStatus::Running => Some(Err(())),
        KeyStatus::Ended(outcome) => Some(Ok(outcome)),
        KeyStatus::Unknown => {
            Some(Ok(Outcome::Unknown { reason: "the key's home does not remember it".to_owned() }))
        }
        KeyStatus::Full => Some(Ok(Outcome::NotRun { reason: NotRun::Busy, retry_ms: RETRY_MS })),
    }
}
