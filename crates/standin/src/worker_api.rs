//! HTTP API of a worker and its upstream.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use dropshot::{
    ApiDescription, HttpResponseDeleted, HttpResponseOk, HttpResponseUpdatedNoContent, HttpServer, Path,
    RequestContext, TypedBody, endpoint,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sorrelland_web::{ApiError, server};

use crate::clock::{Clock, wall_ms};
use crate::upstream::{ShortAnswer, ShortRequest, Upstream};
use crate::worker::{Event, Refusal, Sizes, Task, TaskSpec, Tasks};

pub type Result<T, E = ApiError> = std::result::Result<T, E>;

pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// State shared by the request handlers.
pub struct WorkerServer {
    tasks: Mutex<Tasks>,
    upstream: Upstream,
    clock: Clock,
}

impl WorkerServer {
    fn tasks(&self) -> MutexGuard<'_, Tasks> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Full => Self::new(409, "full", "not enough slots or accelerators are free"),
            Refusal::StaleEpoch => Self::new(409, "old_epoch", "a newer attempt of the job is known"),
            Refusal::NoTask => Self::new(404, "no_task", "no such task is running"),
        }
    }
}

#[derive(Deserialize, JsonSchema)]
struct TaskPath {
    task: String,
}

/// Body of a lease renewal.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Lease {
    /// Time until the lease ends, counted from the request, in milliseconds.
    pub lease_ms: u64,
}

/// Body of a change of speed.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Throttle {
    /// Speed in percent of full speed.
    pub percent: u64,
}

/// Result of a checkpoint.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Checkpoint {
    /// Run time that the checkpoint preserves, in milliseconds.
    pub done_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct WorkerInfo {
    pub sizes: Sizes,
    /// Slots in use; new tasks are counted after [`crate::worker::USAGE_LAG_MS`].
    pub slots_used: u32,
    /// Accelerators in use, with the same delay.
    pub accelerators_used: u32,
}

/// Faults that a test injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct WorkerFaults {
    /// Whether each new task and each request fails.
    #[serde(default)]
    pub fail_everything: bool,
}

/// Returns size and usage.
#[endpoint { method = GET, path = "/v1/worker" }]
async fn info(cx: RequestContext<WorkerServer>) -> Result<HttpResponseOk<WorkerInfo>> {
    let server = cx.context();
    let tasks = server.tasks();
    let (slots_used, accelerators_used) = tasks.usage(server.clock.now_ms());
    Ok(HttpResponseOk(WorkerInfo { sizes: tasks.sizes().clone(), slots_used, accelerators_used }))
}

#[endpoint { method = GET, path = "/v1/tasks" }]
async fn list(cx: RequestContext<WorkerServer>) -> Result<HttpResponseOk<Vec<Task>>> {
    let server = cx.context();
    Ok(HttpResponseOk(server.tasks().list(server.clock.now_ms())))
}

#[endpoint { method = POST, path = "/v1/tasks" }]
async fn start_task(
    cx: RequestContext<WorkerServer>,
    body: TypedBody<TaskSpec>,
) -> Result<HttpResponseOk<Task>> {
    let server = cx.context();
    Ok(HttpResponseOk(server.tasks().start(body.into_inner(), server.clock.now_ms())?))
}

/// Extends the lease of a running task.
#[endpoint { method = PUT, path = "/v1/tasks/{task}/lease" }]
async fn renew(
    cx: RequestContext<WorkerServer>,
    path: Path<TaskPath>,
    body: TypedBody<Lease>,
) -> Result<HttpResponseUpdatedNoContent> {
    let server = cx.context();
    let lease_ms = body.into_inner().lease_ms;
    server.tasks().renew(&path.into_inner().task, lease_ms, server.clock.now_ms())?;
    Ok(HttpResponseUpdatedNoContent())
}

/// Sets the speed of a running task.
#[endpoint { method = PUT, path = "/v1/tasks/{task}/speed" }]
async fn throttle(
    cx: RequestContext<WorkerServer>,
    path: Path<TaskPath>,
    body: TypedBody<Throttle>,
) -> Result<HttpResponseUpdatedNoContent> {
    let server = cx.context();
    let percent = body.into_inner().percent;
    server.tasks().throttle(&path.into_inner().task, percent, server.clock.now_ms())?;
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = POST, path = "/v1/tasks/{task}/checkpoint" }]
async fn checkpoint(
    cx: RequestContext<WorkerServer>,
    path: Path<TaskPath>,
) -> Result<HttpResponseOk<Checkpoint>> {
    let server = cx.context();
    let done_ms = server.tasks().checkpoint(&path.into_inner().task, server.clock.now_ms())?;
    Ok(HttpResponseOk(Checkpoint { done_ms }))
}

/// Stops a task; succeeds also if no such task is running.
#[endpoint { method = DELETE, path = "/v1/tasks/{task}" }]
async fn stop(cx: RequestContext<WorkerServer>, path: Path<TaskPath>) -> Result<HttpResponseDeleted> {
    let server = cx.context();
    server.tasks().stop(&path.into_inner().task, server.clock.now_ms());
    Ok(HttpResponseDeleted())
}

/// Runs a short request on the upstream.
#[endpoint { method = POST, path = "/v1/requests" }]
async fn request(
    cx: RequestContext<WorkerServer>,
    body: TypedBody<ShortRequest>,
) -> Result<HttpResponseOk<ShortAnswer>> {
    let server = cx.context();
    let request = body.into_inner();
    let on_start = || server.tasks().record_request(&request.request, &request.key, server.clock.now_ms());
    if server.upstream.run(&request, on_start).await.is_none() {
        return Err(ApiError::new(503, "no_connection", "all connections are in use"));
    }
    let fails = request.body.get("fail").and_then(Value::as_bool) == Some(true);
    if fails || server.tasks().fail_everything {
        return Err(ApiError::new(500, "failed", "the upstream failed the request"));
    }
    let worker = server.tasks().sizes().name.clone();
    Ok(HttpResponseOk(ShortAnswer { request: request.request, worker, echo: request.body }))
}

/// Replaces the faults in effect.
#[endpoint { method = PUT, path = "/v1/faults" }]
async fn set_faults(
    cx: RequestContext<WorkerServer>,
    body: TypedBody<WorkerFaults>,
) -> Result<HttpResponseUpdatedNoContent> {
    cx.context().tasks().fail_everything = body.into_inner().fail_everything;
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns the history of tasks and requests.
#[endpoint { method = GET, path = "/v1/history" }]
async fn history(cx: RequestContext<WorkerServer>) -> Result<HttpResponseOk<Vec<Event>>> {
    let server = cx.context();
    Ok(HttpResponseOk(server.tasks().history(server.clock.now_ms())))
}

/// Starts a worker on `address`.
///
/// # Errors
///
/// Fails if the server cannot be started, for example because the address is in use.
///
/// # Panics
///
/// Panics if two endpoints have the same method and path, which is a programming error.
pub fn start(address: SocketAddr, sizes: Sizes) -> server::Result<HttpServer<WorkerServer>> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(info)
        .and_then(|()| api.register(list))
        .and_then(|()| api.register(start_task))
        .and_then(|()| api.register(renew))
        .and_then(|()| api.register(throttle))
        .and_then(|()| api.register(checkpoint))
        .and_then(|()| api.register(stop))
        .and_then(|()| api.register(request))
        .and_then(|()| api.register(set_faults))
        .and_then(|()| api.register(history));
    registered.expect("paths are registered once");
    let upstream = Upstream::new(sizes.slots, sizes.connections);
    let clock = Clock::new();
    let tasks = Mutex::new(Tasks::new(sizes, wall_ms()));
    server::start(api, WorkerServer { tasks, upstream, clock }, address, MAX_BODY_BYTES)
}
