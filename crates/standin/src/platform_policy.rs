//! Stand-in for the policy service of the users' platform, which says which workers may run a step. It processes one call at
//! a time for each calling machine, and knows workers by the names that they announce, which have no `@` here.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, HttpError, HttpResponseOk, HttpServer, RequestContext, TypedBody, endpoint,
};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sorrelland_web::server;

use crate::ticket;

pub type Result<T, E = HttpError> = std::result::Result<T, E>;

const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Waiting calls above which further ones are refused.
const MAX_WAITING_CALLS: usize = 32;

/// Workers of a call that are looked at.
const MAX_WORKERS: usize = 100;

/// Time for a call, and for each worker in it, in milliseconds.
const DECIDE_MS: u64 = 20;
const EACH_MS: u64 = 2;

/// How the service behaves, and faults that a test injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Faults {
    /// Validity of the tickets in milliseconds [3000].
    #[serde(default)]
    pub valid_ms: Option<u64>,
    /// Names of the workers that may run no step.
    #[serde(default)]
    pub refused: Vec<String>,
    /// Names of workers whose rows can't be read.
    #[serde(default)]
    pub unreadable: Vec<String>,
    /// Calls are not answered while this is set.
    #[serde(default)]
    pub silent: bool,
    /// Each call is answered with 429.
    #[serde(default)]
    pub busy: bool,
    /// Further time for a call, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
}

/// A call as it is listed to tests.
#[derive(Clone, Debug, Serialize, JsonSchema)]
struct Asked {
    step: String,
    workers: Vec<String>,
    admitted: Vec<String>,
}

#[derive(Default)]
pub struct Policy {
    faults: Mutex<Faults>,
    /// One for each calling machine.
    turns: Mutex<BTreeMap<IpAddr, Arc<tokio::sync::Mutex<()>>>>,
    asked: Mutex<Vec<Asked>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the service on `listen`; the workers in `refused` may run no step.
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
    refused: Vec<String>,
) -> std::result::Result<HttpServer<Policy>, dropshot::BuildError> {
    let mut api = ApiDescription::new();
    api.register(advise).expect("registered once");
    api.register(asked).expect("registered once");
    api.register(set_faults).expect("registered once");
    let faults = Mutex::new(Faults { refused, ..Faults::default() });
    server::start(api, Policy { faults, ..Policy::default() }, listen, MAX_REQUEST_BYTES)
}

#[derive(Deserialize, JsonSchema)]
struct Question {
    step: String,
    workers: Vec<String>,
}

fn respond(status: StatusCode, body: &Value) -> Result<Response<Body>> {
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(Body::from(body.to_string())).map_err(|e| HttpError::for_internal_error(e.to_string()))
}

#[endpoint { method = POST, path = "/advise" }]
async fn advise(cx: RequestContext<Policy>, body: TypedBody<Question>) -> Result<Response<Body>> {
    let policy = cx.context();
    let Question { step, workers } = body.into_inner();
    let turn = lock(&policy.turns).entry(cx.request.remote_addr().ip()).or_default().clone();
    // The map has one reference, this call another, and each call that waits or is under way one more.
    if lock(&policy.faults).busy || Arc::strong_count(&turn) > MAX_WAITING_CALLS + 2 {
        return respond(StatusCode::TOO_MANY_REQUESTS, &json!({}));
    }
    let _turn = turn.lock().await;
    while lock(&policy.faults).silent {
        tokio::time::sleep(Duration::from_millis(EACH_MS)).await;
    }
    let faults = lock(&policy.faults).clone();
    let took_ms = DECIDE_MS + EACH_MS * workers.len() as u64 + faults.slow_ms;
    tokio::time::sleep(Duration::from_millis(took_ms)).await;
    let valid_ms = faults.valid_ms.unwrap_or(3_000);
    let may_run = |worker: &&String| !worker.contains('@') && !faults.refused.contains(worker);
    let admitted: Vec<&String> = workers.iter().take(MAX_WORKERS).filter(may_run).collect();
    let row = |worker: &&String| match faults.unreadable.contains(worker) {
        true => json!({"id": worker}),
        false => json!([worker, ticket::issue(&step, worker, valid_ms)]),
    };
    let rows: Vec<Value> = admitted.iter().map(row).collect();
    let admitted = admitted.into_iter().cloned().collect();
    lock(&policy.asked).push(Asked { step, workers, admitted });
    respond(StatusCode::OK, &json!({"admitted": rows, "valid_ms": valid_ms}))
}

/// Lists the calls that were answered.
#[endpoint { method = GET, path = "/v1/asked" }]
async fn asked(cx: RequestContext<Policy>) -> Result<HttpResponseOk<Vec<Asked>>> {
    Ok(HttpResponseOk(lock(&cx.context().asked).clone()))
}

#[endpoint { method = PUT, path = "/v1/faults" }]
async fn set_faults(cx: RequestContext<Policy>, body: TypedBody<Faults>) -> Result<HttpResponseOk<()>> {
    *lock(&cx.context().faults) = body.into_inner();
    Ok(HttpResponseOk(()))
}
