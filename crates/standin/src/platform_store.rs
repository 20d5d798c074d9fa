//! Stand-in for the store of the users' platform: partitions with offsets, keyed topics, conditional appends,
//! producers with epochs, long polls, and faults that a test switches on. Consumer groups are not played: the
//! project does not use them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::prelude::{BASE64_STANDARD, Engine};
use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseOk, HttpServer, Query, RequestContext, TypedBody,
    UntypedBody, endpoint,
};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sorrelland_web::server;
use tokio::sync::Notify;

/// Result of a request.
pub type Result<T, E = HttpError> = std::result::Result<T, E>;

/// Bytes of one call at most.
const CALL_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// Items of a page of newest records at most; small, so that tests reach a second page.
const PAGE_ITEMS: usize = 50;

/// Longest wait of a read, in milliseconds.
const WAIT_LIMIT_MS: u64 = 30_000;

/// Answers of a producer's newest appends that are given again.
const REPEATS: usize = 5;

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Faults {
    /// Every call is refused with 503.
    #[serde(default)]
    pub down: bool,
    /// Every call that arrives or waits is never answered, even when the store is back.
    #[serde(default)]
    pub silent: bool,
    /// Appends are carried out and the answers withheld, one in this many; 0 for none.
    #[serde(default)]
    pub lose_every: u64,
    /// Delay of every answer, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
}

#[derive(Default)]
struct Partition {
    first: u64,
    records: VecDeque<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    answered: VecDeque<(u64, Value)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, keyed: bool, records: Vec<Vec<u8>>) -> Value {
        let offset = self.end();
        for record in records {
            if keyed && let Some((length, rest)) = record.split_first() {
                let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
                let key = String::from_utf8_lossy(key).into_owned();
                match value.is_empty() {
                    true => self.newest.remove(&key),
                    false => self.newest.insert(key, (value.to_vec(), self.end())),
                };
            }
            self.records.push_back(record);
        }
        json!({"offset": offset, "end": self.end()})
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    partitions: Mutex<BTreeMap<(String, u64), Partition>>,
    faults: Mutex<Faults>,
    appends: Mutex<u64>,
    /// Times that the store has gone silent.
    silences: Mutex<u64>,
    changed: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Deserialize, JsonSchema)]
struct AppendQuery {
    topic: String,
    part: u64,
    at: Option<u64>,
    producer: Option<String>,
    epoch: Option<u64>,
    sequence: Option<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct ReadQuery {
    topic: String,
    part: u64,
    from: u64,
    wait_ms: Option<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct NewestQuery {
    topic: String,
    part: u64,
    after: Option<String>,
}

#[derive(Deserialize, JsonSchema)]
struct CompactQuery {
    topic: String,
}

/// Starts the stand-in.
///
/// # Errors
///
/// Returns why the address could not be bound.
///
/// # Panics
///
/// Panics if an endpoint is registered twice, which is a fault in this file.
pub fn start(listen: SocketAddr) -> std::result::Result<HttpServer<Store>, dropshot::BuildError> {
    let mut api = ApiDescription::new();
    api.register(log_append).expect("registered once");
    api.register(log_read).expect("registered once");
    api.register(log_newest).expect("registered once");
    api.register(set_faults).expect("registered once");
    api.register(compact).expect("registered once");
    server::start(api, Store::default(), listen, CALL_LIMIT_BYTES)
}

fn answer(status: StatusCode, body: &Value) -> Result<Response<Body>> {
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(Body::from(body.to_string())).map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Delays an answer; returns whether the store is down.
async fn is_down(store: &Store) -> bool {
    let faults = *lock(&store.faults);
    if faults.silent {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    faults.down
}

fn unframe(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(length.try_into().ok()?) as usize)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

#[endpoint { method = POST, path = "/log-append" }]
async fn log_append(
    cx: RequestContext<Store>,
    query: Query<AppendQuery>,
    body: UntypedBody,
) -> Result<Response<Body>> {
    let store = cx.context();
    if is_down(store).await {
        return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    let Some(records) = unframe(body.as_bytes()) else { return answer(StatusCode::BAD_REQUEST, &json!({})) };
    let (status, told) = append(store, query.into_inner(), records);
    store.changed.notify_waiters();
    let lost = {
        let mut appends = lock(&store.appends);
        *appends += 1;
        let every = lock(&store.faults).lose_every;
        status == StatusCode::OK && every > 0 && appends.is_multiple_of(every)
    };
    if lost {
        std::future::pending::<()>().await;
    }
    answer(status, &told)
}

fn append(store: &Store, query: AppendQuery, records: Vec<Vec<u8>>) -> (StatusCode, Value) {
    let keyed = query.topic.starts_with("keyed.");
    let mut partitions = lock(&store.partitions);
    let partition = partitions.entry((query.topic, query.part)).or_default();
    if query.at.is_some_and(|at| at != partition.end()) {
        return (StatusCode::PRECONDITION_FAILED, json!({"end": partition.end()}));
    }
    let (Some(name), Some(epoch), Some(sequence)) = (query.producer, query.epoch, query.sequence) else {
        return (StatusCode::OK, partition.append(keyed, records));
    };
    let producer = partition.producers.entry(name.clone()).or_default();
    if epoch < producer.epoch {
        return (StatusCode::CONFLICT, json!({"reason": "fenced"}));
    }
    if epoch > producer.epoch {
        *producer = Producer { epoch, ..Producer::default() };
    }
    if let Some((_, told)) = producer.answered.iter().find(|(number, _)| *number == sequence) {
        return (StatusCode::OK, told.clone());
    }
    if producer.next.is_some_and(|next| next != sequence) {
        return (StatusCode::CONFLICT, json!({"reason": "seq", "sequence": producer.next}));
    }
    if records.is_empty() {
        return (StatusCode::OK, json!({"offset": partition.end(), "end": partition.end()}));
    }
    let told = partition.append(keyed, records);
    let producer = partition.producers.entry(name).or_default();
    producer.next = Some(sequence + 1);
    producer.answered.push_back((sequence, told.clone()));
    if producer.answered.len() > REPEATS {
        producer.answered.pop_front();
    }
    (StatusCode::OK, told)
}

#[endpoint { method = GET, path = "/log-read" }]
async fn log_read(cx: RequestContext<Store>, query: Query<ReadQuery>) -> Result<Response<Body>> {
    let (store, query) = (cx.context(), query.into_inner());
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0).min(WAIT_LIMIT_MS));
    let until = tokio::time::Instant::now() + wait;
    let silences = *lock(&store.silences);
    loop {
        if *lock(&store.silences) != silences {
            std::future::pending::<()>().await;
        }
        if is_down(store).await {
            return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let changed = store.changed.notified();
        let late = tokio::time::Instant::now() >= until;
        let read = {
            let mut partitions = lock(&store.partitions);
            let partition = partitions.entry((query.topic.clone(), query.part)).or_default();
            if query.from < partition.first {
                return answer(StatusCode::GONE, &json!({"first_offset": partition.first}));
            }
            (partition.end() > query.from || late).then(|| {
                let mut raw = partition.end().to_be_bytes().to_vec();
                raw.extend(partition.first.to_be_bytes());
                for record in partition.records.iter().skip((query.from - partition.first) as usize) {
                    raw.extend((record.len() as u32).to_be_bytes());
                    raw.extend(record);
                }
                raw
            })
        };
        if let Some(raw) = read {
            let response = Response::builder().status(StatusCode::OK).body(Body::from(raw));
            return response.map_err(|e| HttpError::for_internal_error(e.to_string()));
        }
        // Either a change, or the end of the wait.
        let _ = tokio::time::timeout_at(until, changed).await;
    }
}

#[endpoint { method = GET, path = "/log-newest" }]
async fn log_newest(cx: RequestContext<Store>, query: Query<NewestQuery>) -> Result<Response<Body>> {
    let (store, query) = (cx.context(), query.into_inner());
    if is_down(store).await {
        return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    let mut partitions = lock(&store.partitions);
    let partition = partitions.entry((query.topic, query.part)).or_default();
    let after = query.after.unwrap_or_default();
    let mut rest = partition.newest.iter().filter(|(key, _)| **key > after || after.is_empty());
    let items: Vec<Value> = rest
        .by_ref()
        .take(PAGE_ITEMS)
        .map(|(key, (value, offset))| {
            json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": offset})
        })
        .collect();
    let has_more = rest.next().is_some();
    answer(StatusCode::OK, &json!({"items": items, "has_more": has_more, "end": partition.end()}))
}

#[endpoint { method = PUT, path = "/v1/faults" }]
async fn set_faults(cx: RequestContext<Store>, body: TypedBody<Faults>) -> Result<HttpResponseOk<Faults>> {
    let faults = body.into_inner();
    *lock(&cx.context().faults) = faults;
    *lock(&cx.context().silences) += u64::from(faults.silent);
    Ok(HttpResponseOk(faults))
}

/// Drops the records of a topic; the newest of each key stay.
#[endpoint { method = POST, path = "/v1/compact" }]
async fn compact(cx: RequestContext<Store>, query: Query<CompactQuery>) -> Result<HttpResponseOk<()>> {
    let topic = query.into_inner().topic;
    let mut partitions = lock(&cx.context().partitions);
    for (_, partition) in partitions.iter_mut().filter(|((name, _), _)| *name == topic) {
        partition.first = partition.end();
        partition.records.clear();
    }
    Ok(HttpResponseOk(()))
}
