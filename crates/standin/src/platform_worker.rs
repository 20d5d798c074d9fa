//! Stand-in for a worker of the users' platform: leases, fencing, numbered ends, gangs that wait for each other
//! are not played, every run works by itself. The text of a job says how long its subtasks run: `run_ms=300`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseOk, HttpServer, RequestContext, UntypedBody, endpoint,
};
use http::{Method, Response, StatusCode};
use serde_json::{Value, json};
use sorrelland_web::{Client, server};
use tokio::sync::Notify;

use crate::clock::wall_ms;

/// Result of a request.
pub type Result<T, E = HttpError> = std::result::Result<T, E>;

/// Time between two announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(300);

/// Longest lease, in milliseconds.
const LEASE_MOST_MS: u64 = 6_000;

/// Time of a stop, in milliseconds.
const STOP_MS: u64 = 100;

/// Time that a run takes whose text says nothing, in milliseconds.
const RUN_MS: u64 = 300;

/// Sizes of a worker.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of this life.
    pub life: String,
    /// Address of the agent that it announces itself to.
    pub announce: String,
    /// Rack.
    pub rack: String,
    /// Thousandths of cores, megabytes, accelerators.
    pub capacity: (i64, i64, i64),
}

struct Run {
    ends_at: u64,
    stopped: bool,
    fails: bool,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until: u64,
    running: BTreeMap<(String, u64), Run>,
    finished: Vec<Value>,
    ends: u64,
    highest: BTreeMap<String, u64>,
    history: Vec<Value>,
}

/// A worker.
pub struct Worker {
    setup: Setup,
    began: Instant,
    state: Mutex<State>,
    changed: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    /// Ends what is due.
    fn advance(&self, state: &mut State) {
        let now = self.clock_ms();
        let lapsed = now > state.lease_until;
        let over = |run: &Run| lapsed || now >= run.ends_at;
        let due: Vec<(String, u64)> =
            state.running.iter().filter(|(_, run)| over(run)).map(|(key, _)| key.clone()).collect();
        for key in due {
            let Some(run) = state.running.remove(&key) else { continue };
            let how = match run {
                Run { stopped: true, .. } => "stopped",
                Run { ends_at, .. } if now < ends_at => "lapsed",
                Run { fails: true, .. } => "failed",
                _ => "done",
            };
            state.ends += 1;
            state.finished.push(json!([state.ends, key.0, key.1, how, ""]));
            state.history.push(json!({"what": how, "task": key.0, "run": key.1, "at_ms": wall_ms()}));
        }
    }
}

/// Starts the stand-in; it announces itself until it ends.
///
/// # Errors
///
/// Returns why the address could not be bound.
///
/// # Panics
///
/// Panics if an endpoint is registered twice, which is a fault in this file.
pub fn start(
    listen: SocketAddr,
    setup: Setup,
) -> std::result::Result<HttpServer<Arc<Worker>>, dropshot::BuildError> {
    let mut api = ApiDescription::new();
    api.register(run_start).expect("registered once");
    api.register(run_stop).expect("registered once");
    api.register(hold).expect("registered once");
    api.register(history).expect("registered once");
    let worker =
        Arc::new(Worker { setup, began: Instant::now(), state: Mutex::default(), changed: Notify::new() });
    let server = server::start(api, worker.clone(), listen, 1024 * 1024)?;
    let address = server.local_addr().to_string();
    tokio::spawn(announce(worker.clone(), address));
    tokio::spawn(work(worker));
    Ok(server)
}

async fn work(worker: Arc<Worker>) {
    loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let ended = {
            let mut state = lock(&worker.state);
            let before = state.ends;
            worker.advance(&mut state);
            state.ends > before
        };
        if ended {
            worker.changed.notify_waiters();
        }
    }
}

async fn announce(worker: Arc<Worker>, address: String) {
    let client = Client::new(Duration::from_secs(1));
    let Setup { life, announce, rack, capacity } = &worker.setup;
    let url = format!("http://{announce}/instances/{life}");
    for sequence in 1.. {
        let body = json!({
            "service": "svc", "address": address, "zone": "haiphong-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "labels": ["a", rack], "sequence": sequence,
            "capacity": {"cpu": capacity.0, "memory_request_mb": capacity.1, "gpu": capacity.2},
            "clock_ms": worker.clock_ms(),
        });
        // An agent that is away hears of the worker later.
        let _ = client.send(Method::PUT, &url, &[], Bytes::from(body.to_string())).await;
        tokio::time::sleep(ANNOUNCE_EVERY).await;
    }
}

fn answer(status: StatusCode, body: &Value) -> Result<Response<Body>> {
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(Body::from(body.to_string())).map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Reads an order; refuses one for another life, or with a token lower than one seen.
fn order(
    cx: &RequestContext<Arc<Worker>>,
    body: &UntypedBody,
) -> std::result::Result<Value, (StatusCode, Value)> {
    let worker = cx.context();
    let life = cx.request.headers().get("x-expected-instance").and_then(|life| life.to_str().ok());
    if life.is_some_and(|life| life != worker.setup.life) {
        return Err((StatusCode::MISDIRECTED_REQUEST, json!({})));
    }
    let order: Value =
        serde_json::from_slice(body.as_bytes()).map_err(|_| (StatusCode::BAD_REQUEST, json!({})))?;
    let clock_ms = worker.clock_ms();
    let mut state = lock(&worker.state);
    worker.advance(&mut state);
    let token = order["fencing_token"].as_u64().unwrap_or(0);
    if token < state.token {
        return Err((StatusCode::CONFLICT, json!({"clock_ms": clock_ms, "reason": "fence"})));
    }
    state.token = token;
    if let Some(deadline) = order["deadline_ms"].as_u64() {
        state.lease_until = state.lease_until.max(deadline.min(clock_ms + LEASE_MOST_MS));
    }
    Ok(order)
}

fn named(order: &Value) -> (String, u64) {
    (order["task"].as_str().unwrap_or_default().to_owned(), order["run"].as_u64().unwrap_or(0))
}

#[endpoint { method = POST, path = "/run-start" }]
async fn run_start(cx: RequestContext<Arc<Worker>>, body: UntypedBody) -> Result<Response<Body>> {
    let order = match order(&cx, &body) {
        Ok(order) => order,
        Err((status, told)) => return answer(status, &told),
    };
    let worker = cx.context();
    let clock_ms = worker.clock_ms();
    let (task, run) = named(&order);
    let mut state = lock(&worker.state);
    if state.running.contains_key(&(task.clone(), run)) {
        return answer(StatusCode::OK, &json!({"clock_ms": clock_ms}));
    }
    if state.highest.get(&task).is_some_and(|highest| *highest >= run) {
        return answer(StatusCode::CONFLICT, &json!({"clock_ms": clock_ms, "reason": "old"}));
    }
    if clock_ms >= state.lease_until {
        return answer(StatusCode::CONFLICT, &json!({"clock_ms": clock_ms, "reason": "late"}));
    }
    let spec = order["task_spec"].as_str().unwrap_or_default();
    let run_ms = spec.split("run_ms=").nth(1).and_then(|text| text.split(' ').next()?.parse().ok());
    let ends_at = clock_ms + run_ms.unwrap_or(RUN_MS);
    state.highest.insert(task.clone(), run);
    state.history.push(json!({"what": "start", "task": task, "run": run, "at_ms": wall_ms()}));
    state.running.insert((task, run), Run { ends_at, stopped: false, fails: spec.contains("fails") });
    answer(StatusCode::OK, &json!({"clock_ms": clock_ms}))
}

#[endpoint { method = POST, path = "/run-stop" }]
async fn run_stop(cx: RequestContext<Arc<Worker>>, body: UntypedBody) -> Result<Response<Body>> {
    let order = match order(&cx, &body) {
        Ok(order) => order,
        Err((status, told)) => return answer(status, &told),
    };
    let worker = cx.context();
    let clock_ms = worker.clock_ms();
    let (task, run) = named(&order);
    let mut state = lock(&worker.state);
    let highest = state.highest.entry(task.clone()).or_default();
    *highest = (*highest).max(run);
    if let Some(run) = state.running.get_mut(&(task, run)).filter(|run| !run.stopped) {
        run.stopped = true;
        run.ends_at = clock_ms + STOP_MS;
    }
    answer(StatusCode::OK, &json!({"clock_ms": clock_ms}))
}

#[endpoint { method = POST, path = "/hold" }]
async fn hold(cx: RequestContext<Arc<Worker>>, body: UntypedBody) -> Result<Response<Body>> {
    let order = match order(&cx, &body) {
        Ok(order) => order,
        Err((status, told)) => return answer(status, &told),
    };
    let worker = cx.context();
    let seen = order["last_seen"].as_u64().unwrap_or(0);
    let wait = Duration::from_millis(order["wait_ms"].as_u64().unwrap_or(0).min(2_000));
    let changed = worker.changed.notified();
    let nothing = {
        let mut state = lock(&worker.state);
        state.finished.retain(|end| end[0].as_u64().is_some_and(|n| n > seen));
        state.finished.is_empty()
    };
    if nothing {
        // Either an end, or the end of the wait.
        let _ = tokio::time::timeout(wait, changed).await;
    }
    let state = lock(&worker.state);
    let running: Vec<Value> = state.running.keys().map(|(task, run)| json!([task, run, "", 0, 0])).collect();
    let told = json!({"clock_ms": worker.clock_ms(), "running": running, "finished": state.finished});
    answer(StatusCode::OK, &told)
}

#[endpoint { method = GET, path = "/v1/history" }]
async fn history(cx: RequestContext<Arc<Worker>>) -> Result<HttpResponseOk<Vec<Value>>> {
    Ok(HttpResponseOk(lock(&cx.context().state).history.clone()))
}
