//! Stand-in for a worker of the users' platform, with leases, fencing and numbered reports of ended runs.
//!
//! The text of a job sets the run time of its subtasks, as in `run_ms=300`; if it contains `fails`, the runs fail
//! at their end, if it contains `fails_first`, only those with run number 1. Members of a gang proceed by
//! themselves, unless the text names its size, as in `gang=3`, and the worker has a directory for gangs. If the text
//! contains `crashes`, the process ends shortly after the start of a run. If it contains `needs_ticket`, starts need a ticket
//! of the policy service's stand-in.
//!
//! Each event is also a line on standard output, with the wall clock in milliseconds, so that the history outlives
//! the process. SIGTERM makes the worker drain, deregister and exit.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseOk, HttpServer, RequestContext, TypedBody, UntypedBody,
    endpoint,
};
use http::{Method, Response, StatusCode};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::{Value, json};
use sorrelland_web::{Client, server};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

use crate::clock::wall_ms;
use crate::gang::Gang;
use crate::ticket::{self, NEEDS_TICKET};

pub type Result<T, E = HttpError> = std::result::Result<T, E>;

const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

const MAX_LEASE_MS: u64 = 6_000;

/// Time that a run takes to stop.
const STOP_DURATION_MS: u64 = 100;

/// Time for which a draining worker goes on after the acknowledgement, and, without one, after SIGTERM.
const DRAIN_MS: u64 = 2_000;
const UNACKNOWLEDGED_DRAIN_MS: u64 = 5_000;

/// Time-out of an announcement, and of the notice that the worker leaves.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Ends listed at a time; the others follow once these are acknowledged.
const MAX_LISTED_ENDS: usize = 500;

/// Time between two checks for ended runs. After a much longer one, the process was suspended.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);
const SUSPENSION_MS: u64 = 200;

/// Time from the start of a run that crashes the worker until the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

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
    /// Speed of the worker's clock in percent of real time.
    pub clock_percent: u64,
    /// Directory in which the members of gangs find each other.
    pub gang_dir: Option<PathBuf>,
    /// Whether it tells when it started, as workers do that keep their name when they restart.
    pub tells_start: bool,
}

struct Run {
    run_ms: u64,
    end_ms: u64,
    stopped: bool,
    fails: bool,
    gang: Option<Gang>,
}

impl Run {
    /// Returns the progress in percent; 0 for a member of a gang, whose progress depends on the others.
    fn percent(&self, clock_ms: u64) -> u64 {
        match self.gang {
            Some(_) => 0,
            None => 100 - (self.end_ms.saturating_sub(clock_ms) * 100 / self.run_ms.max(1)).min(100),
        }
    }
}

#[derive(Default)]
struct State {
    /// Highest fencing token received.
    token: u64,
    lease_end_ms: u64,
    lease_active: bool,
    /// When the runs were last advanced.
    advanced_ms: u64,
    /// Active runs by task and run number.
    running: BTreeMap<(String, u64), Run>,
    /// Ended runs that the agent has not acknowledged.
    finished: Vec<Value>,
    /// Number of runs that have ended; numbers the entries of `finished`.
    end_count: u64,
    /// Highest run number started or stopped, by task.
    highest_run: BTreeMap<String, u64>,
    /// Highest end number acknowledged by the agent.
    acknowledged: u64,
    /// As in [`Setup::capacity`]; it may change while the worker runs.
    capacity: (i64, i64, i64),
    faults: Faults,
    history: Vec<Value>,
}

pub struct Worker {
    setup: Setup,
    started: Instant,
    /// When it started, in milliseconds since 1970.
    started_ms: u64,
    state: Mutex<State>,
    /// Notified when a run has ended.
    run_ended: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64 * self.setup.clock_percent / 100
    }

    /// Returns the wall time of a time on the worker's clock, in milliseconds.
    fn to_wall_ms(&self, clock_ms: u64) -> u64 {
        let offset = (clock_ms as i64 - self.clock_ms() as i64) * 100 / self.setup.clock_percent as i64;
        wall_ms().saturating_add_signed(offset)
    }

    fn print(&self, at_ms: u64, event: &str) {
        println!("at_ms={at_ms} worker={} {event}", self.setup.incarnation);
    }

    fn print_capacity(&self, event: &str) {
        let (cpu, memory_mb, gpu) = lock(&self.state).capacity;
        self.print(wall_ms(), &format!("event={event} cpu={cpu} memory_mb={memory_mb} gpu={gpu}"));
    }

    /// Adds the time of its start to what it says of itself.
    fn tell_start(&self, body: &mut Value) {
        if self.setup.tells_start {
            body["born"] = self.started_ms.into();
        }
    }

    /// Ends the runs that are complete, and all runs if the lease has ended.
    fn advance(&self, state: &mut State) {
        let now = self.clock_ms();
        let suspended_ms = now.saturating_sub(state.advanced_ms);
        state.advanced_ms = now;
        if suspended_ms > SUSPENSION_MS {
            // Runs don't proceed while the process is suspended.
            state.running.values_mut().for_each(|run| run.end_ms = run.end_ms.saturating_add(suspended_ms));
        }
        let lease_end_ms = state.lease_end_ms;
        let lapsed = now > lease_end_ms;
        if lapsed && std::mem::take(&mut state.lease_active) {
            self.print(self.to_wall_ms(lease_end_ms), "event=lease_lapsed");
        }
        let end_of = |run: &mut Run| {
            let gang_end = run.gang.as_mut().and_then(|gang| gang.advance(now, &mut run.end_ms));
            match run {
                _ if lapsed && lease_end_ms < run.end_ms => Some(("lapsed", lease_end_ms)),
                Run { stopped: true, end_ms, .. } => (now >= *end_ms).then_some(("stopped", *end_ms)),
                _ if gang_end.is_some() => gang_end.map(|reason| (reason, now)),
                Run { end_ms, fails, .. } if now >= *end_ms => {
                    Some((if *fails { "failed" } else { "done" }, *end_ms))
                }
                _ => None,
            }
        };
        let due: Vec<_> = state
            .running
            .iter_mut()
            .filter_map(|(key, run)| end_of(run).map(|(reason, at)| (key.clone(), reason, at)))
            .collect();
        for (key, reason, at) in due {
            let Some(run) = state.running.remove(&key) else { continue };
            if let Some(gang) = run.gang {
                gang.leave(reason);
            }
            state.end_count += 1;
            let (n, (task, run), at_ms) = (state.end_count, &key, self.to_wall_ms(at));
            self.print(at_ms, &format!("event=ended task={task} run={run} n={n} how={reason}"));
            state.finished.push(json!([n, task, run, reason, ""]));
            state.history.push(json!({"what": reason, "task": task, "run": run, "at_ms": at_ms}));
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
    api.register(set_capacity).expect("registered once");
    api.register(set_faults).expect("registered once");
    let capacity = setup.capacity;
    let worker = Arc::new(Worker {
        setup,
        started: Instant::now(),
        started_ms: wall_ms(),
        state: Mutex::new(State { capacity, ..State::default() }),
        run_ended: Notify::new(),
    });
    let server = server::start(api, worker.clone(), listen, 1024 * 1024)?;
    let address = server.local_addr().to_string();
    worker.print_capacity("born");
    tokio::spawn(announce_loop(worker.clone(), address));
    tokio::spawn(advance_loop(worker));
    Ok(server)
}

async fn advance_loop(worker: Arc<Worker>) {
    loop {
        tokio::time::sleep(ADVANCE_INTERVAL).await;
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
    let client = Client::new(NOTICE_TIMEOUT);
    let Setup { incarnation, agent_address, rack, .. } = &worker.setup;
    let url = format!("http://{agent_address}/instances/{incarnation}");
    let mut terminate = signal(SignalKind::terminate()).expect("handler for SIGTERM");
    let mut leave_at = None;
    let mut acknowledged = false;
    for sequence in 1.. {
        let draining = leave_at.is_some();
        let capacity = lock(&worker.state).capacity;
        let mut body = json!({
            "service": "svc", "address": address, "zone": "haiphong-a", "version": "v1", "slots": 8,
            "state": if draining { "draining" } else { "ready" }, "cold_remaining_ms": 0, "labels": ["a", rack],
            "sequence": sequence, "clock_ms": worker.clock_ms(),
            "capacity": {"cpu": capacity.0, "memory_request_mb": capacity.1, "gpu": capacity.2},
        });
        if draining {
            body["remaining_ms"] = DRAIN_MS.into();
        }
        worker.tell_start(&mut body);
        // A lost announcement needs no handling: the next one follows after the interval.
        let reply = client.send(Method::PUT, &url, &[], Bytes::from(body.to_string())).await;
        if draining && !acknowledged && reply.is_ok_and(|reply| reply.status.is_success()) {
            acknowledged = true;
            leave_at = Some(Instant::now() + Duration::from_millis(DRAIN_MS));
            worker.print(wall_ms(), "event=draining_acknowledged");
        }
        if leave_at.is_some_and(|at| Instant::now() >= at) {
            break;
        }
        tokio::select! {
            () = tokio::time::sleep(ANNOUNCEMENT_INTERVAL) => {}
            _ = terminate.recv(), if leave_at.is_none() => {
                leave_at = Some(Instant::now() + Duration::from_millis(UNACKNOWLEDGED_DRAIN_MS));
            }
        }
    }
    // The lock is held until the process exits, so that nothing starts after this line.
    let state = lock(&worker.state);
    worker.print(wall_ms(), "event=left");
    state.running.values().filter_map(|run| run.gang.as_ref()).for_each(|gang| gang.leave("lapsed"));
    // Handlers that wait for the lock may block all threads of this runtime, so the notice has one of its own.
    let exit = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        // The worker exits whether or not its notice arrives.
        if let Ok(runtime) = runtime {
            let client = Client::new(NOTICE_TIMEOUT);
            let _ = runtime.block_on(client.send(Method::DELETE, &url, &[], Bytes::new()));
        }
        std::process::exit(0);
    };
    let _ = std::thread::spawn(exit).join();
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
        let end_ms = deadline.min(clock_ms + MAX_LEASE_MS);
        if end_ms > state.lease_end_ms {
            state.lease_end_ms = end_ms;
            state.lease_active = end_ms > clock_ms;
            worker.print(wall_ms(), &format!("event=leased until_ms={}", worker.to_wall_ms(end_ms)));
        }
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
    let (task, run) = task_and_run(&request);
    let mut state = lock(&worker.state);
    // The lease may have ended while the lock was taken.
    let clock_ms = worker.clock_ms();
    if state.running.contains_key(&(task.clone(), run)) {
        return respond(StatusCode::OK, &json!({"clock_ms": clock_ms}));
    }
    if state.highest_run.get(&task).is_some_and(|highest| *highest >= run) {
        return respond(StatusCode::CONFLICT, &json!({"clock_ms": clock_ms, "reason": "old"}));
    }
    if state.faults.refuse_starts {
        return respond(StatusCode::SERVICE_UNAVAILABLE, &json!({"clock_ms": clock_ms}));
    }
    if clock_ms >= state.lease_end_ms {
        return respond(StatusCode::CONFLICT, &json!({"clock_ms": clock_ms, "reason": "late"}));
    }
    let spec = request["task_spec"].as_str().unwrap_or_default();
    let ticket = request["ticket"].as_str().unwrap_or_default();
    if spec.contains(NEEDS_TICKET)
        && !ticket::allows(ticket, &task, &worker.setup.incarnation, worker.started_ms)
    {
        worker.print(wall_ms(), &format!("event=ticket_refused task={task} run={run} ticket={ticket:?}"));
        return respond(StatusCode::CONFLICT, &json!({"clock_ms": clock_ms, "reason": "ticket"}));
    }
    let number = |name: &str| spec.split(name).nth(1)?.split(' ').next()?.parse().ok();
    let run_ms = number("run_ms=").unwrap_or(DEFAULT_RUN_MS);
    let fails = if spec.contains("fails_first") { run == 1 } else { spec.contains("fails") };
    let gang = number("gang=").zip(worker.setup.gang_dir.as_deref());
    let gang = gang.map(|(size, dir)| Gang::join(dir, &task, run, size, clock_ms, run_ms));
    state.highest_run.insert(task.clone(), run);
    let at_ms = wall_ms();
    let token = request["fencing_token"].as_u64().unwrap_or(0);
    worker.print(at_ms, &format!("event=started task={task} run={run} token={token} spec={spec:?}"));
    state.history.push(json!({"what": "start", "task": task, "run": run, "at_ms": at_ms}));
    // A member of a gang gets its end when all members are present.
    let end_ms = if gang.is_some() { u64::MAX } else { clock_ms + run_ms };
    state.running.insert((task, run), Run { run_ms, end_ms, stopped: false, fails, gang });
    if spec.contains("crashes") {
        tokio::spawn(crash(worker.clone()));
    }
    respond(StatusCode::OK, &json!({"clock_ms": clock_ms}))
}

/// Ends the process shortly after the start of a run that crashes it, like a machine that runs out of memory.
async fn crash(worker: Arc<Worker>) {
    tokio::time::sleep(CRASH_DELAY).await;
    // The lock is held until the process has ended, so that nothing starts after this line.
    let state = lock(&worker.state);
    worker.print(wall_ms(), "event=crashed");
    state.running.values().filter_map(|run| run.gang.as_ref()).for_each(|gang| gang.leave("lapsed"));
    std::process::exit(1);
}

/// Amounts of a worker's resources.
#[derive(Deserialize, JsonSchema)]
struct Capacity {
    /// In thousandths of a core.
    cpu: i64,
    memory_mb: i64,
    gpu: i64,
}

#[endpoint { method = PUT, path = "/v1/capacity" }]
async fn set_capacity(
    cx: RequestContext<Arc<Worker>>,
    body: TypedBody<Capacity>,
) -> Result<HttpResponseOk<()>> {
    let worker = cx.context();
    let Capacity { cpu, memory_mb, gpu } = body.into_inner();
    lock(&worker.state).capacity = (cpu, memory_mb, gpu);
    worker.print_capacity("capacity");
    Ok(HttpResponseOk(()))
}

/// Faults that a test injects.
#[derive(Clone, Copy, Default, Deserialize, JsonSchema)]
struct Faults {
    /// Starts are refused with 503, and nothing is done.
    #[serde(default)]
    refuse_starts: bool,
}

#[endpoint { method = PUT, path = "/v1/faults" }]
async fn set_faults(cx: RequestContext<Arc<Worker>>, body: TypedBody<Faults>) -> Result<HttpResponseOk<()>> {
    lock(&cx.context().state).faults = body.into_inner();
    Ok(HttpResponseOk(()))
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
        if acknowledged > state.acknowledged {
            state.acknowledged = acknowledged;
            worker.print(wall_ms(), &format!("event=acknowledged n={acknowledged}"));
        }
        state.finished.retain(|end| end[0].as_u64().is_some_and(|n| n > acknowledged));
        state.finished.is_empty()
    };
    if none_finished {
        // The reply is the same, whether a run has ended or the wait has.
        let _ = tokio::time::timeout(wait, run_ended).await;
    }
    let state = lock(&worker.state);
    let clock_ms = worker.clock_ms();
    let row =
        |((task, number), run): (&(String, u64), &Run)| json!([task, number, "", run.percent(clock_ms), 0]);
    let running: Vec<Value> = state.running.iter().map(row).collect();
    let finished: Vec<&Value> = state.finished.iter().take(MAX_LISTED_ENDS).collect();
    let mut reply = json!({"clock_ms": worker.clock_ms(), "running": running, "finished": finished});
    worker.tell_start(&mut reply);
    respond(StatusCode::OK, &reply)
}

#[endpoint { method = GET, path = "/v1/history" }]
async fn history(cx: RequestContext<Arc<Worker>>) -> Result<HttpResponseOk<Vec<Value>>> {
    Ok(HttpResponseOk(lock(&cx.context().state).history.clone()))
}
