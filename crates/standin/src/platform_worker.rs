//! Stand-in for a worker of the users' platform, with leases, fencing and numbered reports of ended runs.
//! Gangs whose members wait for each other are not simulated: each run proceeds by itself. The text of a job
//! sets the run time of its subtasks, as in `run_ms=300`; if it contains `fails`, the runs fail at their end.

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

pub type Result<T, E = HttpError> = std::result::Result<T, E>;

const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

const MAX_LEASE_MS: u64 = 6_000;

/// Time that a run takes to stop.
const STOP_DURATION_MS: u64 = 100;

/// Run time if the text of the job sets none.
const DEFAULT_RUN_MS: u64 = 300;

/// Identity and size of a worker.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of this incarnation of the worker.
    pub incarnation: String,
    /// Address of the agent that the worker announces itself to.
    pub agent_address: String,
    pub rack: String,
    /// CPU in thousandths of a core, memory in megabytes, number of accelerators.
    pub capacity: (i64, i64, i64),
}

struct Run {
    end_ms: u64,
    stopped: bool,
    fails: bool,
}

#[derive(Default)]
struct State {
    /// Highest fencing token received.
    token: u64,
    lease_end_ms: u64,
    /// Active runs by task and run number.
    running: BTreeMap<(String, u64), Run>,
    /// Ended runs that the agent has not acknowledged.
    finished: Vec<Value>,
    /// Number of runs that have ended; numbers the entries of `finished`.
    end_count: u64,
    /// Highest run number started or stopped, by task.
    highest_run: BTreeMap<String, u64>,
    history: Vec<Value>,
}

pub struct Worker {
    setup: Setup,
    started: Instant,
    state: Mutex<State>,
    /// Notified when a run has ended.
    run_ended: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    /// Ends the runs that are complete, and all runs if the lease has ended.
    fn advance(&self, state: &mut State) {
        let now = self.clock_ms();
        let lapsed = now > state.lease_end_ms;
        let is_due = |run: &Run| lapsed || now >= run.end_ms;
        let due: Vec<(String, u64)> =
            state.running.iter().filter(|(_, run)| is_due(run)).map(|(key, _)| key.clone()).collect();
        for key in due {
            let Some(run) = state.running.remove(&key) else { continue };
            let reason = match run {
                Run { stopped: true, .. } => "stopped",
                Run { end_ms, .. } if now < end_ms => "lapsed",
                Run { fails: true, .. } => "failed",
                _ => "done",
            };
            state.end_count += 1;
            state.finished.push(json!([state.end_count, key.0, key.1, reason, ""]));
            state.history.push(json!({"what": reason, "task": key.0, "run": key.1, "at_ms": wall_ms()}));
        }
    }
}

/// Starts a worker on `listen`, which announces itself to its agent for as long as the process runs.
///
/// # Errors
///
/// Fails if the server cannot be started, for example because the address is in use.
///
/// # Panics
///
/// Panics if two endpoints have the same method and path, which is a programming error.
pub fn start(
    listen: SocketAddr,
    setup: Setup,
) -> std::result::Result<HttpServer<Arc<Worker>>, dropshot::BuildError> {
    let mut api = ApiDescription::new();
    api.register(run_start).expect("registered once");
    api.register(run_stop).expect("registered once");
    api.register(hold).expect("registered once");
    api.register(history).expect("registered once");
    let worker = Arc::new(Worker {
        setup,
        started: Instant::now(),
        state: Mutex::default(),
        run_ended: Notify::new(),
    });
    let server = server::start(api, worker.clone(), listen, 1024 * 1024)?;
    let address = server.local_addr().to_string();
    tokio::spawn(announce_loop(worker.clone(), address));
    tokio::spawn(advance_loop(worker));
    Ok(server)
}

async fn advance_loop(worker: Arc<Worker>) {
    loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let any_ended = {
            let mut state = lock(&worker.state);
            let count_before = state.end_count;
            worker.advance(&mut state);
            state.end_count > count_before
        };
        if any_ended {
            worker.run_ended.notify_waiters();
        }
    }
}

async fn announce_loop(worker: Arc<Worker>, address: String) {
    let client = Client::new(Duration::from_secs(1));
    let Setup { incarnation, agent_address, rack, capacity } = &worker.setup;
    let url = format!("http://{agent_address}/instances/{incarnation}");
    for sequence in 1.. {
        let body = json!({
            "service": "svc", "address": address, "zone": "haiphong-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "labels": ["a", rack], "sequence": sequence,
            "capacity": {"cpu": capacity.0, "memory_request_mb": capacity.1, "gpu": capacity.2},
            "clock_ms": worker.clock_ms(),
        });
        // A lost announcement needs no handling: the next one follows after the interval.
        let _ = client.send(Method::PUT, &url, &[], Bytes::from(body.to_string())).await;
        tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
    }
}

fn respond(status: StatusCode, body: &Value) -> Result<Response<Body>> {
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(Body::from(body.to_string())).map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Parses a request and extends the lease to the request's deadline, up to the longest lease.
///
/// Refuses a request for another incarnation, or whose fencing token is lower than the highest one received.
fn accept_request(
    cx: &RequestContext<Arc<Worker>>,
    body: &UntypedBody,
) -> std::result::Result<Value, (StatusCode, Value)> {
    let worker = cx.context();
    let expected = cx.request.headers().get("x-expected-instance").and_then(|value| value.to_str().ok());
    if expected.is_some_and(|expected| expected != worker.setup.incarnation) {
        return Err((StatusCode::MISDIRECTED_REQUEST, json!({})));
    }
    let request: Value =
        serde_json::from_slice(body.as_bytes()).map_err(|_| (StatusCode::BAD_REQUEST, json!({})))?;
    let clock_ms = worker.clock_ms();
    let mut state = lock(&worker.state);
    worker.advance(&mut state);
    let token = request["fencing_token"].as_u64().unwrap_or(0);
    if token < state.token {
        return Err((StatusCode::CONFLICT, json!({"clock_ms": clock_ms, "reason": "fence"})));
    }
    state.token = token;
    if let Some(deadline) = request["deadline_ms"].as_u64() {
        state.lease_end_ms = state.lease_end_ms.max(deadline.min(clock_ms + MAX_LEASE_MS));
    }
    Ok(request)
}

fn task_and_run(request: &Value) -> (String, u64) {
    (request["task"].as_str().unwrap_or_default().to_owned(), request["run"].as_u64().unwrap_or(0))
}

#[endpoint { method = POST, path = "/run-start" }]
async fn run_start(cx: RequestContext<Arc<Worker>>, body: UntypedBody) -> Result<Response<Body>> {
    let request = match accept_request(&cx, &body) {
        Ok(request) => request,
        Err((status, reply)) => return respond(status, &reply),
    };
    let worker = cx.context();
    let clock_ms = worker.clock_ms();
    let (task, run) = task_and_run(&request);
    let mut state = lock(&worker.state);
    if state.running.contains_key(&(task.clone(), run)) {
        return respond(StatusCode::OK, &json!({"clock_ms": clock_ms}));
    }
    if state.highest_run.get(&task).is_some_and(|highest| *highest >= run) {
        return respond(StatusCode::CONFLICT, &json!({"clock_ms": clock_ms, "reason": "old"}));
    }
    if clock_ms >= state.lease_end_ms {
        return respond(StatusCode::CONFLICT, &json!({"clock_ms": clock_ms, "reason": "late"}));
    }
    let spec = request["task_spec"].as_str().unwrap_or_default();
    let run_ms = spec.split("run_ms=").nth(1).and_then(|text| text.split(' ').next()?.parse().ok());
    let end_ms = clock_ms + run_ms.unwrap_or(DEFAULT_RUN_MS);
    state.highest_run.insert(task.clone(), run);
    state.history.push(json!({"what": "start", "task": task, "run": run, "at_ms": wall_ms()}));
    state.running.insert((task, run), Run { end_ms, stopped: false, fails: spec.contains("fails") });
    respond(StatusCode::OK, &json!({"clock_ms": clock_ms}))
}

#[endpoint { method = POST, path = "/run-stop" }]
async fn run_stop(cx: RequestContext<Arc<Worker>>, body: UntypedBody) -> Result<Response<Body>> {
    let request = match accept_request(&cx, &body) {
        Ok(request) => request,
        Err((status, reply)) => return respond(status, &reply),
    };
    let worker = cx.context();
    let clock_ms = worker.clock_ms();
    let (task, run) = task_and_run(&request);
    let mut state = lock(&worker.state);
    let highest = state.highest_run.entry(task.clone()).or_default();
    *highest = (*highest).max(run);
    if let Some(run) = state.running.get_mut(&(task, run)).filter(|run| !run.stopped) {
        run.stopped = true;
        run.end_ms = clock_ms + STOP_DURATION_MS;
    }
    respond(StatusCode::OK, &json!({"clock_ms": clock_ms}))
}

#[endpoint { method = POST, path = "/hold" }]
async fn hold(cx: RequestContext<Arc<Worker>>, body: UntypedBody) -> Result<Response<Body>> {
    let request = match accept_request(&cx, &body) {
        Ok(request) => request,
        Err((status, reply)) => return respond(status, &reply),
    };
    let worker = cx.context();
    let acknowledged = request["last_seen"].as_u64().unwrap_or(0);
    let wait = Duration::from_millis(request["wait_ms"].as_u64().unwrap_or(0).min(2_000));
    let run_ended = worker.run_ended.notified();
    let none_finished = {
        let mut state = lock(&worker.state);
        state.finished.retain(|end| end[0].as_u64().is_some_and(|n| n > acknowledged));
        state.finished.is_empty()
    };
    if none_finished {
        // The reply is the same, whether a run has ended or the wait has.
        let _ = tokio::time::timeout(wait, run_ended).await;
    }
    let state = lock(&worker.state);
    let running: Vec<Value> = state.running.keys().map(|(task, run)| json!([task, run, "", 0, 0])).collect();
    let reply = json!({"clock_ms": worker.clock_ms(), "running": running, "finished": state.finished});
    respond(StatusCode::OK, &reply)
}

#[endpoint { method = GET, path = "/v1/history" }]
async fn history(cx: RequestContext<Arc<Worker>>) -> Result<HttpResponseOk<Vec<Value>>> {
    Ok(HttpResponseOk(lock(&cx.context().state).history.clone()))
}
