//! The HTTP interface of a worker and its upstream.

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

/// Result of a request to a worker.
pub type Result<T, E = ApiError> = std::result::Result<T, E>;

/// Bytes of a request body at most.
pub const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// A worker that answers requests.
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
            Refusal::Full => Self::new(409, "full", "no slot or accelerator is free"),
            Refusal::OldEpoch => Self::new(409, "old_epoch", "a newer attempt was seen"),
            Refusal::NoTask => Self::new(404, "no_task", "no such running task"),
        }
    }
}

/// A task in a path.
#[derive(Deserialize, JsonSchema)]
struct TaskPath {
    task: String,
}

/// A renewed lease.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Lease {
    /// Time from now, in milliseconds.
    pub lease_ms: u64,
}

/// A share of full speed.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Throttle {
    /// Share in percent.
    pub percent: u64,
}

/// What a checkpoint kept.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Checkpoint {
    /// Run time kept, in milliseconds.
    pub done_ms: u64,
}

/// Sizes and usage of a worker.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct WorkerInfo {
    /// Sizes.
    pub sizes: Sizes,
    /// Slots in use, with a lag.
    pub slots_used: u32,
    /// Accelerators in use, with a lag.
    pub accelerators_used: u32,
}

/// Faults that a test switches on.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct WorkerFaults {
    /// Whether everything that starts fails.
    #[serde(default)]
    pub fail_everything: bool,
}

/// Tells sizes and usage.
#[endpoint { method = GET, path = "/v1/worker" }]
async fn info(cx: RequestContext<WorkerServer>) -> Result<HttpResponseOk<WorkerInfo>> {
    let server = cx.context();
    let tasks = server.tasks();
    let (slots_used, accelerators_used) = tasks.usage(server.clock.now_ms());
    Ok(HttpResponseOk(WorkerInfo { sizes: tasks.sizes().clone(), slots_used, accelerators_used }))
}

/// Lists the tasks.
#[endpoint { method = GET, path = "/v1/tasks" }]
async fn list(cx: RequestContext<WorkerServer>) -> Result<HttpResponseOk<Vec<Task>>> {
    let server = cx.context();
    Ok(HttpResponseOk(server.tasks().list(server.clock.now_ms())))
}

/// Starts a task.
#[endpoint { method = POST, path = "/v1/tasks" }]
async fn start_task(
    cx: RequestContext<WorkerServer>,
    body: TypedBody<TaskSpec>,
) -> Result<HttpResponseOk<Task>> {
    let server = cx.context();
    Ok(HttpResponseOk(server.tasks().start(body.into_inner(), server.clock.now_ms())?))
}

/// Extends a task's lease.
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

/// Sets a task's speed.
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

/// Checkpoints a task.
#[endpoint { method = POST, path = "/v1/tasks/{task}/checkpoint" }]
async fn checkpoint(
    cx: RequestContext<WorkerServer>,
    path: Path<TaskPath>,
) -> Result<HttpResponseOk<Checkpoint>> {
    let server = cx.context();
    let done_ms = server.tasks().checkpoint(&path.into_inner().task, server.clock.now_ms())?;
    Ok(HttpResponseOk(Checkpoint { done_ms }))
}

/// Stops a task.
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
    let begin = || server.tasks().request(&request.request, &request.key, server.clock.now_ms());
    if server.upstream.run(&request, begin).await.is_none() {
        return Err(ApiError::new(503, "no_connection", "all connections are in use"));
    }
    let fails = request.body.get("fail").and_then(Value::as_bool) == Some(true);
    if fails || server.tasks().fail_everything {
        return Err(ApiError::new(500, "failed", "the upstream failed the request"));
    }
    let worker = server.tasks().sizes().name.clone();
    Ok(HttpResponseOk(ShortAnswer { request: request.request, worker, echo: request.body }))
}

/// Switches faults.
#[endpoint { method = PUT, path = "/v1/faults" }]
async fn set_faults(
    cx: RequestContext<WorkerServer>,
    body: TypedBody<WorkerFaults>,
) -> Result<HttpResponseUpdatedNoContent> {
    cx.context().tasks().fail_everything = body.into_inner().fail_everything;
    Ok(HttpResponseUpdatedNoContent())
}

/// Tells everything that happened.
#[endpoint { method = GET, path = "/v1/history" }]
async fn history(cx: RequestContext<WorkerServer>) -> Result<HttpResponseOk<Vec<Event>>> {
    let server = cx.context();
    Ok(HttpResponseOk(server.tasks().history(server.clock.now_ms())))
}

/// Starts a worker on `address`.
///
/// # Errors
///
/// Returns why the address could not be bound.
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
    server::start(api, WorkerServer { tasks, upstream, clock }, address, BODY_LIMIT_BYTES)
}
