//! Stand-in for the store of the users' platform: partitions with offsets, keyed topics, conditional appends,
//! producers with epochs, long polls, and faults that a test injects. Consumer groups are not implemented,
//! since the scheduler does not use them.

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

pub type Result<T, E = HttpError> = std::result::Result<T, E>;

const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of items on a page of `/log-newest`; small, so that tests reach a second page.
const MAX_PAGE_ITEMS: usize = 50;

/// Longest wait of a read for new records.
const MAX_WAIT_MS: u64 = 30_000;

/// Number of replies remembered per producer; a repeated append among them gets the same reply again.
const MAX_REMEMBERED_REPLIES: usize = 5;

/// Faults that a test injects.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Faults {
    /// Each call is answered with 503.
    #[serde(default)]
    pub down: bool,
    /// Calls that arrive or wait while this is set are never answered, not even after it is cleared.
    #[serde(default)]
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// One in this many appends is never answered, though carried out; 0 for none.
    #[serde(default)]
    #[serde(rename = "lose_every")]
    pub lose_reply_every: u64,
    /// Delay of each answer, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
}

#[derive(Default)]
struct Partition {
    /// Offset of the first record in `records`.
    first: u64,
    records: VecDeque<Vec<u8>>,
    /// Newest value of each key, and its offset; survives a compaction.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next_sequence: Option<u64>,
    /// Replies to the newest appends, by sequence number.
    replies: VecDeque<(u64, Value)>,
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

#[derive(Default)]
pub struct Store {
    partitions: Mutex<BTreeMap<(String, u64), Partition>>,
    faults: Mutex<Faults>,
    appends: Mutex<u64>,
    /// Number of times that the store became unresponsive; a waiting read compares it to notice such a fault.
    outages: Mutex<u64>,
    appended: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Deserialize, JsonSchema)]
struct AppendQuery {
    topic: String,
    part: u64,
    /// Required end offset; the append is refused if the partition ends at another one.
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
    /// Key after which the page starts.
    after: Option<String>,
}

#[derive(Deserialize, JsonSchema)]
struct CompactQuery {
    topic: String,
}

/// Starts a store on `listen`.
///
/// # Errors
///
/// Fails if the server cannot be started, for example because the address is in use.
///
/// # Panics
///
/// Panics if two endpoints have the same method and path, which is a programming error.
pub fn start(listen: SocketAddr) -> std::result::Result<HttpServer<Store>, dropshot::BuildError> {
    let mut api = ApiDescription::new();
    api.register(log_append).expect("registered once");
    api.register(log_read).expect("registered once");
    api.register(log_newest).expect("registered once");
    api.register(set_faults).expect("registered once");
    api.register(compact).expect("registered once");
    server::start(api, Store::default(), listen, MAX_REQUEST_BYTES)
}

fn respond(status: StatusCode, body: &Value) -> Result<Response<Body>> {
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(Body::from(body.to_string())).map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Applies the faults that delay or withhold the answer; returns whether the store is down.
async fn apply_faults(store: &Store) -> bool {
    let faults = *lock(&store.faults);
    if faults.unresponsive {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    faults.down
}

/// Decodes records, each preceded by its length as a big-endian `u32`; `None` if the body is truncated.
fn decode(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
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
    if apply_faults(store).await {
        return respond(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    let Some(records) = decode(body.as_bytes()) else { return respond(StatusCode::BAD_REQUEST, &json!({})) };
    let (status, reply) = append(store, query.into_inner(), records);
    store.appended.notify_waiters();
    let reply_lost = {
        let mut appends = lock(&store.appends);
        *appends += 1;
        let every = lock(&store.faults).lose_reply_every;
        status == StatusCode::OK && every > 0 && appends.is_multiple_of(every)
    };
    if reply_lost {
        std::future::pending::<()>().await;
    }
    respond(status, &reply)
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
    if let Some((_, reply)) = producer.replies.iter().find(|(number, _)| *number == sequence) {
        return (StatusCode::OK, reply.clone());
    }
    if producer.next_sequence.is_some_and(|next| next != sequence) {
        return (StatusCode::CONFLICT, json!({"reason": "seq", "sequence": producer.next_sequence}));
    }
    if records.is_empty() {
        return (StatusCode::OK, json!({"offset": partition.end(), "end": partition.end()}));
    }
    let reply = partition.append(keyed, records);
    let producer = partition.producers.entry(name).or_default();
    producer.next_sequence = Some(sequence + 1);
    producer.replies.push_back((sequence, reply.clone()));
    if producer.replies.len() > MAX_REMEMBERED_REPLIES {
        producer.replies.pop_front();
    }
    (StatusCode::OK, reply)
}

#[endpoint { method = GET, path = "/log-read" }]
async fn log_read(cx: RequestContext<Store>, query: Query<ReadQuery>) -> Result<Response<Body>> {
    let (store, query) = (cx.context(), query.into_inner());
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0).min(MAX_WAIT_MS));
    let deadline = tokio::time::Instant::now() + wait;
    let outages = *lock(&store.outages);
    loop {
        if *lock(&store.outages) != outages {
            std::future::pending::<()>().await;
        }
        if apply_faults(store).await {
            return respond(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let appended = store.appended.notified();
        let timed_out = tokio::time::Instant::now() >= deadline;
        let page = {
            let mut partitions = lock(&store.partitions);
            let partition = partitions.entry((query.topic.clone(), query.part)).or_default();
            if query.from < partition.first {
                return respond(StatusCode::GONE, &json!({"first_offset": partition.first}));
            }
            (partition.end() > query.from || timed_out).then(|| {
                let mut body = partition.end().to_be_bytes().to_vec();
                body.extend(partition.first.to_be_bytes());
                for record in partition.records.iter().skip((query.from - partition.first) as usize) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                body
            })
        };
        if let Some(page) = page {
            let response = Response::builder().status(StatusCode::OK).body(Body::from(page));
            return response.map_err(|e| HttpError::for_internal_error(e.to_string()));
        }
        // The loop checks both for new records and for the end of the wait.
        let _ = tokio::time::timeout_at(deadline, appended).await;
    }
}

#[endpoint { method = GET, path = "/log-newest" }]
async fn log_newest(cx: RequestContext<Store>, query: Query<NewestQuery>) -> Result<Response<Body>> {
    let (store, query) = (cx.context(), query.into_inner());
    if apply_faults(store).await {
        return respond(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    let mut partitions = lock(&store.partitions);
    let partition = partitions.entry((query.topic, query.part)).or_default();
    let after = query.after.unwrap_or_default();
    let mut items_after = partition.newest.iter().filter(|(key, _)| **key > after || after.is_empty());
    let items: Vec<Value> = items_after
        .by_ref()
        .take(MAX_PAGE_ITEMS)
        .map(|(key, (value, offset))| {
            json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": offset})
        })
        .collect();
    let has_more = items_after.next().is_some();
    respond(StatusCode::OK, &json!({"items": items, "has_more": has_more, "end": partition.end()}))
}

#[endpoint { method = PUT, path = "/v1/faults" }]
async fn set_faults(cx: RequestContext<Store>, body: TypedBody<Faults>) -> Result<HttpResponseOk<Faults>> {
    let faults = body.into_inner();
    *lock(&cx.context().faults) = faults;
    *lock(&cx.context().outages) += u64::from(faults.unresponsive);
    Ok(HttpResponseOk(faults))
}

/// Drops all records of a topic from the log; the newest value of each key remains readable by `/log-newest`.
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
