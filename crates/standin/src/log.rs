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

/// Result of a request to the log.
pub type Result<T, E = ApiError> = std::result::Result<T, E>;

/// Bytes of one append at most.
pub const APPEND_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Records of one read at most.
pub const READ_LIMIT_RECORDS: usize = 1_000;

/// Longest wait of a read for new records, in milliseconds.
pub const WAIT_LIMIT_MS: u64 = 10_000;

/// How the log behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Everything works.
    #[default]
    Up,
    /// Every request fails and nothing is appended.
    Down,
    /// Appends take effect, but their answers are lost.
    AnswerLost,
}

/// Faults that a test switches on.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Faults {
    /// How the log behaves.
    #[serde(default)]
    pub mode: Mode,
    /// Delay before every answer, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// Records that are kept; `None` keeps all.
    #[serde(default)]
    pub retain: Option<usize>,
}

/// Records to append.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Append {
    /// The records, in order.
    pub records: Vec<Value>,
}

/// Where an append went.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Appended {
    /// Offset of the first appended record.
    pub first: u64,
    /// Offset after the last appended record.
    pub next: u64,
}

/// What to read.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Read {
    /// Offset of the first record wanted.
    pub from: u64,
    /// Wait for new records, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// A record with its offset.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// When it was appended, in milliseconds since 1970.
    pub at_ms: u64,
    /// The record.
    pub record: Value,
}

/// Records from an offset on.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Page {
    /// Offset of the oldest record that is kept.
    pub first: u64,
    /// Offset after the newest record.
    pub next: u64,
    /// The records.
    pub entries: Vec<Entry>,
}

#[derive(Default)]
struct State {
    entries: VecDeque<Entry>,
    next: u64,
    faults: Faults,
    appends: u64,
}

/// The log with its faults.
#[derive(Default)]
pub struct Log {
    state: Mutex<State>,
    grown: Notify,
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
        let keep = state.faults.retain.unwrap_or(usize::MAX);
        while state.entries.len() > keep {
            state.entries.pop_front();
        }
        self.grown.notify_waiters();
        Appended { first, next: state.next }
    }

    fn page(&self, from: u64) -> Page {
        let state = self.state();
        let first = state.entries.front().map_or(state.next, |entry| entry.offset);
        let skip = from.saturating_sub(first) as usize;
        let entries = state.entries.iter().skip(skip).take(READ_LIMIT_RECORDS).cloned().collect();
        Page { first, next: state.next, entries }
    }

    async fn fault_delay(&self) -> Mode {
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

/// Appends records.
#[endpoint { method = POST, path = "/v1/records" }]
async fn append(cx: RequestContext<Log>, body: TypedBody<Append>) -> Result<HttpResponseOk<Appended>> {
    let log = cx.context();
    let mode = log.fault_delay().await;
    if mode == Mode::Down {
        return Err(unavailable());
    }
    let appended = log.append(body.into_inner().records);
    match mode {
        Mode::AnswerLost => Err(unavailable()),
        _ => Ok(HttpResponseOk(appended)),
    }
}

/// Reads records from an offset on.
#[endpoint { method = GET, path = "/v1/records" }]
async fn read(cx: RequestContext<Log>, query: Query<Read>) -> Result<HttpResponseOk<Page>> {
    let log = cx.context();
    let read = query.into_inner();
    let wait = Duration::from_millis(read.wait_ms.min(WAIT_LIMIT_MS));
    let grown = log.grown.notified();
    if log.fault_delay().await == Mode::Down {
        return Err(unavailable());
    }
    let page = log.page(read.from);
    if !page.entries.is_empty() || wait.is_zero() {
        return Ok(HttpResponseOk(page));
    }
    let _ = tokio::time::timeout(wait, grown).await;
    if log.state().faults.mode == Mode::Down {
        return Err(unavailable());
    }
    Ok(HttpResponseOk(log.page(read.from)))
}

/// Switches faults.
#[endpoint { method = PUT, path = "/v1/faults" }]
async fn set_faults(
    cx: RequestContext<Log>,
    body: TypedBody<Faults>,
) -> Result<HttpResponseUpdatedNoContent> {
    let log = cx.context();
    log.state().faults = body.into_inner();
    log.grown.notify_waiters();
    Ok(HttpResponseUpdatedNoContent())
}

/// Counts since the start.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Counts {
    /// Append calls that took effect.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
}

/// Tells how much was appended.
#[endpoint { method = GET, path = "/v1/counts" }]
async fn counts(cx: RequestContext<Log>) -> Result<HttpResponseOk<Counts>> {
    let state = cx.context().state();
    Ok(HttpResponseOk(Counts { appends: state.appends, records: state.next }))
}

/// Starts a log on `address`.
///
/// # Errors
///
/// Returns why the address could not be bound.
pub fn start(address: SocketAddr) -> server::Result<HttpServer<Log>> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(append)
        .and_then(|()| api.register(read))
        .and_then(|()| api.register(set_faults))
        .and_then(|()| api.register(counts));
    registered.expect("paths are registered once");
    server::start(api, Log::default(), address, APPEND_LIMIT_BYTES)
}
