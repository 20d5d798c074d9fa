//! HTTP API for callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use dropshot::{ApiDescription, Body, HttpResponseOk, HttpServer, Path, RequestContext, TypedBody, endpoint};
use http::{Method, Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::id::{AccountId, JobId};
use sorrelland_core::queue::{Refusal, admit};
use sorrelland_core::table::{Demand, Waiting};
use sorrelland_lease::Key;
use sorrelland_ledger::{Command, CommandRecord, Job, JobOutcome, JobSpec, Record, Stage};
use sorrelland_web::{ApiError, server};
use tokio::sync::oneshot;

use crate::entry::answer::{JobAnswer, JobBody, RequestBody, respond};
use crate::entry::attempt::Attached;
use crate::entry::burn::Objective;
use crate::entry::{Entry, operator, unix_ms, write};
use crate::sync::lock;

pub type Result<T, E = ApiError> = std::result::Result<T, E>;

pub type Cx = RequestContext<Arc<Entry>>;

/// Maximum length of a name, in characters.
const MAX_NAME_LENGTH: usize = 128;

/// Time after which a caller should retry, for instance while the entry has no configuration or stops.
const RETRY_MS: u64 = 1_000;

/// Answer with a new idempotency key.
#[derive(Serialize, JsonSchema)]
struct KeyAnswer {
    key: String,
}

#[derive(Deserialize, JsonSchema)]
struct JobPath {
    name: String,
}

/// Guard that counts an open request of this entry until it is dropped.
pub(super) struct OpenRequest<'a>(&'a Entry);

impl<'a> OpenRequest<'a> {
    /// Counts a request unless the entry is stopping, at its limit or without configuration.
    ///
    /// # Errors
    ///
    /// Returns 503 with the time after which to retry.
    pub fn new(entry: &'a Entry) -> Result<Self> {
        let refuse =
            |code: &str, message: &str| Err(ApiError::new(503, code, message).with_retry_after_ms(RETRY_MS));
        let open = Self(entry);
        let already_open = entry.open_requests.fetch_add(1, Ordering::Relaxed);
        if entry.stop.is_raised() {
            return refuse("draining", "this entry stops; another one takes the request");
        }
        if already_open as usize >= entry.settings.entry.connection_limit {
            return refuse("busy", "this entry has too many requests open");
        }
        if entry.with_fold(|_| ()).is_none() {
            return refuse("no_configuration", "this entry knows no configuration yet");
        }
        Ok(open)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Creates an idempotency key.
#[endpoint { method = POST, path = "/v1/keys" }]
async fn post_key(cx: Cx) -> Result<HttpResponseOk<KeyAnswer>> {
    let entry = cx.context();
    entry.keys.account(&cx)?;
    let _open = OpenRequest::new(entry)?;
    let key = entry.create_key().ok_or_else(|| {
        ApiError::new(503, "no_upstream", "no agent is ready").with_retry_after_ms(RETRY_MS)
    })?;
    Ok(HttpResponseOk(KeyAnswer { key: key.to_string() }))
}

/// Runs a short request.
#[endpoint { method = POST, path = "/v1/requests" }]
async fn post_request(cx: Cx, body: TypedBody<RequestBody>) -> Result<Response<Body>> {
    let entry = cx.context();
    let account = entry.keys.account(&cx)?;
    let body = body.into_inner();
    let _open = OpenRequest::new(entry)?;
    check_account(entry, &account)?;
    let id = match &body.request {
        Some(id) => checked_name("request", id)?.to_owned(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let key = request_key(&body)?;
    let started = Instant::now();
    let answer = entry.run_short(&id, &account, key, &body).await;
    let elapsed = started.elapsed();
    entry.metrics.record_request(account.as_str(), answer.outcome(), elapsed.as_secs_f64());
    let late = elapsed > Duration::from_millis(body.deadline_ms);
    lock(&entry.burn).record(&account, Objective::Answers, answer.event(late), unix_ms());
    let outcome = answer.outcome();
    log::debug!(request = id.as_str(); "{outcome} for {account} in {} us", elapsed.as_micros());
    answer.into_response()
}

/// Returns the request's idempotency key; one is required unless the request is idempotent.
fn request_key(body: &RequestBody) -> Result<Option<Key>> {
    match &body.key {
        Some(key) => match key.parse() {
            Ok(key) => Ok(Some(key)),
            Err(e) => Err(ApiError::new(400, "bad_key", e)),
        },
        None if body.idempotent => Ok(None),
        None => {
            let message = "a request that is not idempotent needs a key: take one with POST /v1/keys";
            Err(ApiError::new(428, "key_required", message))
        }
    }
}

/// Returns `name` if it may be used as a name; `what` names the field in the error.
pub(super) fn checked_name<'a>(what: &str, name: &'a str) -> Result<&'a str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(allowed) {
        let message = format!("{what} must be 1 to {MAX_NAME_LENGTH} of letters, digits, '.', '_' and '-'");
        return Err(ApiError::new(400, "bad_name", message));
    }
    Ok(name)
}

fn check_account(entry: &Entry, account: &AccountId) -> Result<()> {
    match entry.with_fold(|fold| fold.accounts.contains_key(account)) {
        Some(true) => Ok(()),
        _ => {
            Err(ApiError::new(404, "unknown_account", format!("client account {account} is not configured")))
        }
    }
}

/// Submits a job.
#[endpoint { method = POST, path = "/v1/jobs" }]
async fn post_job(cx: Cx, body: TypedBody<JobBody>) -> Result<Response<Body>> {
    let entry = cx.context();
    let account = entry.keys.account(&cx)?;
    let body = body.into_inner();
    let _open = OpenRequest::new(entry)?;
    check_account(entry, &account)?;
    let id = job_id(&account, checked_name("name", &body.name)?);
    let spec = JobSpec {
        demand: Demand {
            account,
            shape: body.shape,
            class: body.class,
            declared_ms: body.declared_ms,
            preemptible: body.preemptible,
        },
        idempotent: body.idempotent,
        work: body.work.clone(),
    };
    if let Some(known) = entry.with_fold(|fold| fold.jobs.get(&id).cloned()).flatten() {
        return existing_job(entry, &body.name, &spec, &known);
    }
    entry.admit(&spec.demand)?;
    match body.attached {
        true => entry.run_attached(&body, id, spec).await,
        false => entry.accept(&body.name, id, spec).await,
    }
}

/// Returns the state of a job that exists under the submitted name, or 409 if its specification differs.
fn existing_job(entry: &Entry, name: &str, spec: &JobSpec, known: &Job) -> Result<Response<Body>> {
    if known.spec != *spec {
        let message = format!("job {name} was submitted before with other contents");
        return Err(ApiError::new(409, "job_differs", message));
    }
    respond(StatusCode::OK, None, &job_answer(entry, name, known))
}

fn job_id(account: &AccountId, name: &str) -> JobId {
    JobId::new(&format!("{account}/{name}"))
}

/// Returns the state of a job.
#[endpoint { method = GET, path = "/v1/jobs/{name}" }]
async fn get_job(cx: Cx, path: Path<JobPath>) -> Result<HttpResponseOk<JobAnswer>> {
    let entry = cx.context();
    let account = entry.keys.account(&cx)?;
    let _open = OpenRequest::new(entry)?;
    let name = path.into_inner().name;
    let known = entry.with_fold(|fold| fold.jobs.get(&job_id(&account, &name)).cloned()).flatten();
    match known {
        Some(known) => Ok(HttpResponseOk(job_answer(entry, &name, &known))),
        None => Err(ApiError::new(404, "unknown_job", format!("job {name} is not known"))),
    }
}

/// Cancels a job.
#[endpoint { method = DELETE, path = "/v1/jobs/{name}" }]
async fn delete_job(cx: Cx, path: Path<JobPath>) -> Result<Response<Body>> {
    let entry = cx.context();
    let account = entry.keys.account(&cx)?;
    let _open = OpenRequest::new(entry)?;
    let name = path.into_inner().name;
    let id = job_id(&account, &name);
    let known = entry.with_fold(|fold| fold.jobs.get(&id).cloned()).flatten();
    let Some(known) = known else {
        return Err(ApiError::new(404, "unknown_job", format!("job {name} is not known")));
    };
    if !known.cancelled && !matches!(known.stage, Stage::Ended(_)) {
        let record = CommandRecord {
            id: format!("cancel~{id}"),
            base: 0,
            operator: format!("account:{account}"),
            command: Command::Cancel { job: id.clone() },
        };
        entry.write(vec![Record::Command(record)]).await.map_err(write_error)?;
    }
    let known = entry.with_fold(|fold| fold.jobs.get(&id).cloned()).flatten().unwrap_or(known);
    respond(StatusCode::ACCEPTED, None, &job_answer(entry, &name, &known))
}

pub(super) fn write_error(error: write::Error) -> ApiError {
    let code = match error {
        write::Error::NotWritten => "not_recorded",
        write::Error::Unknown => "not_known_yet",
    };
    ApiError::new(503, code, error).with_retry_after_ms(RETRY_MS)
}

fn job_answer(entry: &Entry, name: &str, job: &Job) -> JobAnswer {
    let (state, outcome, workers) = match &job.stage {
        Stage::Waiting => ("waiting", None, Vec::new()),
        Stage::Placed(placed) => {
            ("running", None, placed.placement.keys().map(ToString::to_string).collect())
        }
        Stage::Ended(outcome) => ("ended", Some(outcome.clone()), Vec::new()),
    };
    JobAnswer {
        name: name.to_owned(),
        state,
        outcome,
        workers,
        age_ms: unix_ms().saturating_sub(job.accepted_ms),
        known_ms_ago: entry.config_age_ms(),
    }
}

impl Entry {
    /// Checks whether a job with this demand may be queued.
    fn admit(&self, demand: &Demand) -> Result<()> {
        let mut tables = self.tables(unix_ms());
        if tables.workers.is_empty() {
            let error = ApiError::new(503, "no_upstream", "no worker is known yet");
            return Err(error.with_retry_after_ms(RETRY_MS));
        }
        self.with_fold(|fold| {
            let waiting_jobs = fold
                .jobs
                .iter()
                .filter(|(_, job)| job.stage == Stage::Waiting && job.spec.demand.account == demand.account);
            let waiting = |(name, job): (&JobId, &Job)| {
                let demand = job.spec.demand.clone();
                (name.clone(), Waiting { demand, since_ms: job.accepted_ms, done_ms: job.done_ms })
            };
            tables.waiting = waiting_jobs.map(waiting).collect();
        });
        admit(&tables, demand).map_err(|refusal| {
            let (status, code) = match refusal {
                Refusal::UnknownAccount { .. } => (404, "unknown_account"),
                Refusal::Paused { .. } => (403, "paused"),
                Refusal::QueueFull { .. } => (429, "queue_full"),
                Refusal::BadShape { .. } => (422, "bad_shape"),
                Refusal::NeverFits { .. } => (422, "never_fits"),
            };
            ApiError::new(status, code, refusal)
        })
    }

    /// Records a job and its claim in one append; the job is accepted only after that.
    async fn accept(&self, name: &str, id: JobId, spec: JobSpec) -> Result<Response<Body>> {
        let records = vec![
            Record::Accepted { job: id.clone(), spec: spec.clone(), accepted_ms: unix_ms() },
            Record::Claim { job: id.clone(), entry: self.claimant.clone(), base: 0 },
        ];
        self.write(records).await.map_err(write_error)?;
        self.metrics.count_job_event("accepted");
        self.schedule_wake.notify_one();
        let known = self.with_fold(|fold| fold.jobs.get(&id).cloned()).flatten();
        match known {
            Some(known) if known.spec == spec => {
                log::info!(job = id.as_str(); "accepted");
                respond(StatusCode::ACCEPTED, None, &job_answer(self, name, &known))
            }
            Some(_) => {
                Err(ApiError::new(409, "job_differs", format!("job {name} exists with other contents")))
            }
            None => Err(write_error(write::Error::Unknown)),
        }
    }

    /// Runs a job while its caller waits; it is not on the log and runs while the log is down.
    async fn run_attached(&self, body: &JobBody, id: JobId, spec: JobSpec) -> Result<Response<Body>> {
        let id = JobId::new(&format!("{id}~{:08x}", rand::random::<u32>()));
        let (tx, mut rx) = oneshot::channel();
        let attached = Attached { spec, since_ms: unix_ms(), started: false, outcome_tx: Some(tx) };
        lock(&self.attached).insert(id.clone(), attached);
        self.schedule_wake.notify_one();
        let start_by = Instant::now() + Duration::from_millis(body.start_within_ms);
        let outcome = loop {
            let tick = Duration::from_millis(50);
            match tokio::time::timeout(tick, &mut rx).await {
                Ok(Ok(outcome)) => break outcome,
                Ok(Err(_)) => break JobOutcome::Unknown { reason: "the attempt was lost".to_owned() },
                Err(_) if Instant::now() >= start_by && self.withdraw(&id) => {
                    let reason = format!("no room within {} ms", body.start_within_ms);
                    break JobOutcome::NotRun { reason };
                }
                Err(_) => {}
            }
        };
        lock(&self.attached).remove(&id);
        let not_run = matches!(outcome, JobOutcome::NotRun { .. });
        let status = if not_run { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
        let answer = JobAnswer {
            name: body.name.clone(),
            state: "ended",
            outcome: Some(outcome),
            workers: Vec::new(),
            age_ms: 0,
            known_ms_ago: None,
        };
        respond(status, not_run.then_some(RETRY_MS), &answer)
    }

    /// Removes an attached job unless an attempt has reserved its workers; returns whether it is removed.
    fn withdraw(&self, id: &JobId) -> bool {
        let mut table = lock(&self.attached);
        let is_waiting = table.get(id).is_none_or(Attached::is_waiting);
        if is_waiting {
            table.remove(id);
        }
        is_waiting
    }
}

/// Answers as long as the process serves requests.
#[endpoint { method = GET, path = "/v1/health" }]
async fn get_health(_cx: Cx) -> Result<HttpResponseOk<()>> {
    Ok(HttpResponseOk(()))
}

/// Whether an entry accepts work, and the state that this depends on.
#[derive(Serialize, JsonSchema)]
struct Readiness {
    ready: bool,
    offset: u64,
    config_age_ms: Option<u64>,
    workers: usize,
}

/// Returns whether the entry accepts work; 503 if it does not.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(cx: Cx) -> Result<Response<Body>> {
    let entry = cx.context();
    let offset = entry.with_fold(|fold| fold.next_offset);
    let workers = lock(&entry.fleet).rows().len();
    let ready = offset.is_some() && workers > 0 && !entry.stop.is_raised();
    let answer = Readiness {
        ready,
        offset: offset.unwrap_or_default(),
        config_age_ms: entry.config_age_ms(),
        workers,
    };
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    respond(status, None, &answer)
}

/// Returns the metrics in Prometheus text format; an operator key is required as they contain account names.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(cx: Cx) -> Result<Response<Body>> {
    let entry = cx.context();
    entry.keys.operator(&cx)?;
    let response = Response::builder().header(http::header::CONTENT_TYPE, "text/plain; version=0.0.4");
    let response = response.body(Body::from(entry.metrics.encode()));
    response.map_err(|e| ApiError::new(500, "internal", e))
}

/// Starts the HTTP server of an entry.
///
/// # Errors
///
/// Returns why the address could not be bound.
pub fn start(entry: Arc<Entry>) -> server::Result<HttpServer<Arc<Entry>>> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(post_key)
        .and_then(|()| api.register(post_request))
        .and_then(|()| api.register(post_job))
        .and_then(|()| api.register(get_job))
        .and_then(|()| api.register(delete_job))
        .and_then(|()| api.register(get_health))
        .and_then(|()| api.register(get_ready))
        .and_then(|()| api.register(get_metrics))
        .and_then(|()| operator::register(&mut api));
    registered.expect("paths are registered once");
    server::reject_other_methods(&mut api, "/v1/keys", &[Method::POST]);
    server::reject_other_methods(&mut api, "/v1/requests", &[Method::POST]);
    server::reject_other_methods(&mut api, "/v1/jobs", &[Method::POST]);
    server::reject_other_methods(&mut api, "/v1/jobs/{name}", &[Method::GET, Method::DELETE]);
    let (http, limit) = (entry.settings.daemon.http, entry.settings.entry.body_limit_bytes);
    server::start(api, entry, http, limit)
}
