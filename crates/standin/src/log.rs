//! Stand-in for the platform's append-only log service.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dropshot::{
    ApiDescription, HttpResponseOk, HttpResponseUpdatedNoContent, HttpServer, Query, RequestContext,
    TypedBody, endpoint,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sorrelland_web::{ApiError, server};
use tokio::sync::Notify;

use crate::clock::wall_ms;

pub type Result<T, E = ApiError> = std::result::Result<T, E>;

pub const MAX_APPEND_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of records that one read returns.
pub const MAX_READ_RECORDS: usize = 1_000;

/// Longest wait of a read for new records.
pub const MAX_WAIT_MS: u64 = 10_000;

/// Availability of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Requests are carried out and answered.
    #[default]
    Up,
    /// Every request fails, and nothing is appended.
    Down,
    /// Appends take effect, but are answered with an error.
    AnswerLost,
}

/// Faults that a test injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Faults {
    #[serde(default)]
    pub mode: Mode,
    /// Delay of each append and read, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// Number of newest records to keep after an append; `None` keeps all.
    #[serde(default)]
    pub retain: Option<usize>,
}

/// Body of an append.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Append {
    pub records: Vec<Value>,
}

/// Offsets that an append occupies.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Appended {
    /// Offset of the first appended record.
    pub first: u64,
    /// Offset after the last appended record.
    pub next: u64,
}

/// Query of a read.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Read {
    /// Offset of the first record to return.
    pub from: u64,
    /// Time to wait if there are no new records, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// A record with its offset.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// Time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub record: Value,
}

/// Answer to a read.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Page {
    /// Offset of the oldest retained record.
    pub first: u64,
    /// Offset after the newest record.
    pub next: u64,
    pub entries: Vec<Entry>,
}

#[derive(Default)]
struct State {
    entries: VecDeque<Entry>,
    next: u64,
    faults: Faults,
    appends: u64,
}

#[derive(Default)]
pub struct Log {
    state: Mutex<State>,
    /// Notified on each append and each change of the faults.
    state_changed: Notify,
}

impl Log {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, records: Vec<Value>) -> Appended {
        let mut state = self.state();
        let first = state.next;
        let at_ms = wall_ms();
        for record in records {
            let offset = state.next;
            state.entries.push_back(Entry { offset, at_ms, record });
            state.next += 1;
        }
        state.appends += 1;
        let max_records = state.faults.retain.unwrap_or(usize::MAX);
        while state.entries.len() > max_records {
            state.entries.pop_front();
        }
        self.state_changed.notify_waiters();
        Appended { first, next: state.next }
    }

    fn page(&self, from: u64) -> Page {
        let state = self.state();
        let first = state.entries.front().map_or(state.next, |entry| entry.offset);
        let skip = from.saturating_sub(first) as usize;
        let entries = state.entries.iter().skip(skip).take(MAX_READ_RECORDS).cloned().collect();
        Page { first, next: state.next, entries }
    }

    async fn delay_by_fault(&self) -> Mode {
        let faults = self.state().faults.clone();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        faults.mode
    }
}

fn unavailable() -> ApiError {
    ApiError::new(503, "log_unavailable", "the log does not answer")
}

#[endpoint { method = POST, path = "/v1/records" }]
async fn append(cx: RequestContext<Log>, body: TypedBody<Append>) -> Result<HttpResponseOk<Appended>> {
    let log = cx.context();
    let mode = log.delay_by_fault().await;
    if mode == Mode::Down {
        return Err(unavailable());
    }
    let appended = log.append(body.into_inner().records);
    match mode {
        Mode::AnswerLost => Err(unavailable()),
        _ => Ok(HttpResponseOk(appended)),
    }
}

/// Reads records from an offset; if there are none, waits for an append first.
#[endpoint { method = GET, path = "/v1/records" }]
async fn read(cx: RequestContext<Log>, query: Query<Read>) -> Result<HttpResponseOk<Page>> {
    let log = cx.context();
    let read = query.into_inner();
    let wait = Duration::from_millis(read.wait_ms.min(MAX_WAIT_MS));
    let state_changed = log.state_changed.notified();
    if log.delay_by_fault().await == Mode::Down {
        return Err(unavailable());
    }
    let page = log.page(read.from);
    if !page.entries.is_empty() || wait.is_zero() {
        return Ok(HttpResponseOk(page));
    }
    let _ = tokio::time::timeout(wait, state_changed).await;
    if log.state().faults.mode == Mode::Down {
        return Err(unavailable());
    }
    Ok(HttpResponseOk(log.page(read.from)))
}

/// Replaces the faults in effect.
#[endpoint { method = PUT, path = "/v1/faults" }]
async fn set_faults(
    cx: RequestContext<Log>,
    body: TypedBody<Faults>,
) -> Result<HttpResponseUpdatedNoContent> {
    let log = cx.context();
    log.state().faults = body.into_inner();
    log.state_changed.notify_waiters();
    Ok(HttpResponseUpdatedNoContent())
}

/// Totals since the start.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Counts {
    /// Number of append calls that took effect.
    pub appends: u64,
    /// Number of records appended.
    pub records: u64,
}

/// Returns how much has been appended.
#[endpoint { method = GET, path = "/v1/counts" }]
async fn counts(cx: RequestContext<Log>) -> Result<HttpResponseOk<Counts>> {
    let state = cx.context().state();
    Ok(HttpResponseOk(Counts { appends: state.appends, records: state.next }))
}

/// Starts a log on `address`.
///
/// # Errors
///
/// Fails if the server cannot be started, for example because the address is in use.
///
/// # Panics
///
/// Panics if two endpoints have the same method and path, which is a programming error.
pub fn start(address: SocketAddr) -> server::Result<HttpServer<Log>> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(append)
        .and_then(|()| api.register(read))
        .and_then(|()| api.register(set_faults))
        .and_then(|()| api.register(counts));
    registered.expect("paths are registered once");
    server::start(api, Log::default(), address, MAX_APPEND_BYTES)
}
