//! Answers callers: checks queue, key and job name, then calls the planner on their behalf.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::json;
use sorrelland_fleet::job::{JobState, Outcome};
use sorrelland_fleet::{Caller, Terms, record};
use sorrelland_platform::jobs;
use sorrelland_platform::serve::{Request, Response};
use sorrelland_wire::connect::CallError;

use crate::absence::{Absence, TAKEOVER_MS, spread_retry_ms};
use crate::calls::{Leader, PlannerReply as Reply, PlannerRequest, QueueRequest, call};
use crate::clock::now_ms;
use crate::election::{CLAIMS, newest_epoch};
use crate::entry::Entry;
use crate::origin::{Asked, Evidence, Origin};
use crate::stored::JOBS;
use crate::{lock, metrics};

/// Time-out of one attempt: long enough for a slow store, and short enough for a second attempt within the caller's
/// wait.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);

const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Further delay after a leader of an earlier build has stored nothing: an entry of this build takes its place soon.
const EARLIER_BUILD_DELAY: Duration = Duration::from_millis(100);

/// Default and maximum wait of a caller, in milliseconds.
pub(crate) const MAX_WAIT_MS: u64 = 3_000;

/// Part of a caller's wait that is reserved for the delivery of the reply, in milliseconds.
const REPLY_MARGIN_MS: u64 = 150;

/// Minimum wait for the planner, in milliseconds: an append to the store and a round trip to the planner.
const MIN_PLANNER_WAIT_MS: u64 = 60;

impl Entry {
    /// Responds to a caller and records the latency.
    pub(crate) async fn answer(self: Arc<Self>, http_request: Request) -> Response {
        let began = Instant::now();
        let response = self.route(&http_request).await;
        let operation = match http_request.method {
            Method::POST => "submit",
            Method::DELETE => "cancel",
            _ => "ask",
        };
        metrics::record_request(operation, response.status, began);
        response
    }

    async fn route(&self, http_request: &Request) -> Response {
        let desired = self.desired.borrow().clone();
        if desired.version == 0 {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE).with_retry_after_ms(TAKEOVER_MS);
        }
        let Some(queue) = desired.queue_for(&http_request.host, &http_request.path) else {
            return refuse(StatusCode::NOT_FOUND, "no such queue");
        };
        let account = match (&http_request.key, queue.public) {
            (Some(key), _) if desired.keys.contains_key(key) => desired.keys[key].clone(),
            (None, true) => String::new(),
            (Some(_), true) => String::new(),
            _ => return refuse(StatusCode::UNAUTHORIZED, "unknown key"),
        };
        let terms = Terms::new(&desired, queue);
        let job = &http_request.path[queue.address.path_prefix.len()..];
        match (&http_request.method, job) {
            (&Method::GET, "") => self.pending(&terms, http_request).await,
            (_, "") => refuse(StatusCode::METHOD_NOT_ALLOWED, "a job's name is needed"),
            (_, job) if !is_job_name(job) => {
                refuse(StatusCode::BAD_REQUEST, "a job's name has 16 hexadecimal digits")
            }
            (&Method::POST, job) => self.submit(terms, &account, job, http_request).await,
            (&Method::GET, job) => self.state(&terms, &account, job, http_request).await,
            (&Method::DELETE, job) => self.cancel(&terms, &account, job, http_request).await,
            _ => refuse(StatusCode::METHOD_NOT_ALLOWED, "not possible here"),
        }
    }

    async fn submit(&self, terms: Terms, account: &str, job: &str, http_request: &Request) -> Response {
        let queue = terms.queue.clone();
        let sub = match jobs::decode(&http_request.body, job, &queue.name, account) {
            Ok(sub) => sub,
            Err(e) => {
                log::info!("event=malformed job={job} queue={} cause=\"{e}\"", queue.name);
                return refuse(StatusCode::BAD_REQUEST, &e.to_string());
            }
        };
        let began = Instant::now();
        let known_epoch = Some(self.leadership.epoch());
        let req = PlannerRequest::SubmitTo { sub, call: rand::random(), known_epoch, terms };
        let (result, origin) = self.request_planner(req, http_request).await;
        let evidence = Evidence::new(&result, &origin);
        let response = match result {
            RequestResult::Reply(Reply::Accepted) => Response::new(StatusCode::OK).json(&json!({})),
            RequestResult::Reply(Reply::Refused { why, retry_after_ms }) => {
                refuse(StatusCode::TOO_MANY_REQUESTS, &why).with_retry_after_ms(retry_after_ms)
            }
            RequestResult::Reply(Reply::NotRun { retry_after_ms }) => {
                refuse(StatusCode::SERVICE_UNAVAILABLE, "the job can't be stored now; it has not run")
                    .with_retry_after_ms(retry_after_ms)
            }
            RequestResult::NeverSent { retry_after_ms } => {
                let retry_after_ms = spread_retry_ms(retry_after_ms, job, queue.priority);
                let response = refuse(StatusCode::SERVICE_UNAVAILABLE, "no planner is in reach");
                response.with_retry_after_ms(retry_after_ms)
            }
            other => unanswered("submit", job, &other),
        };
        let (status, took_ms) = (response.status.as_u16(), began.elapsed().as_millis());
        let known_epoch = self.leadership.epoch();
        log::info!(
            "event=submit_answered job={job} queue={} account={account} status={status} evidence={evidence} {origin} \
             known_epoch={known_epoch} took_ms={took_ms}",
            queue.name
        );
        response
    }

    async fn state(&self, terms: &Terms, account: &str, job: &str, http_request: &Request) -> Response {
        let (began, caller) = (Instant::now(), Caller::new(&terms.queue.name, account));
        let req = QueueRequest::State { job: job.to_owned(), caller: caller.clone() };
        let req = PlannerRequest::at(terms, req);
        let (result, origin) = self.request_planner(req, http_request).await;
        let evidence = Evidence::new(&result, &origin);
        let response = match result {
            RequestResult::Reply(Reply::State(Some(state))) => {
                let text = match state {
                    JobState::Queued => "queued",
                    JobState::Running => "running",
                    JobState::Ended(Outcome::Completed) => "completed",
                    JobState::Ended(Outcome::Failed) => "failed",
                    JobState::Ended(Outcome::Cancelled) => "cancelled",
                };
                Response::new(StatusCode::OK).json(&json!({"state": text}))
            }
            RequestResult::Reply(Reply::State(None)) => refuse(StatusCode::GONE, "no such job"),
            other => unanswered("state", job, &other),
        };
        // Callers ask for the state of a job often; only these answers leave its fate open.
        if matches!(response.status, StatusCode::GONE | StatusCode::GATEWAY_TIMEOUT) {
            let (status, took_ms) = (response.status.as_u16(), began.elapsed().as_millis());
            let known_epoch = self.leadership.epoch();
            log::info!(
                "event=state_answered job={job} queue={} account={} status={status} evidence={evidence} {origin} \
                 known_epoch={known_epoch} took_ms={took_ms}",
                caller.queue,
                caller.account
            );
        }
        response
    }

    async fn cancel(&self, terms: &Terms, account: &str, job: &str, http_request: &Request) -> Response {
        let (began, caller) = (Instant::now(), Caller::new(&terms.queue.name, account));
        let req = QueueRequest::Cancel { job: job.to_owned(), caller: caller.clone() };
        let req = PlannerRequest::at(terms, req);
        let (result, origin) = self.request_planner(req, http_request).await;
        let evidence = Evidence::new(&result, &origin);
        metrics::count_cancel(evidence.cancel_reason());
        let response = match result {
            RequestResult::Reply(Reply::Cancelled(true)) => Response::new(StatusCode::OK).json(&json!({})),
            RequestResult::Reply(Reply::Cancelled(false)) => refuse(StatusCode::GONE, "no such job"),
            // A peer of an earlier version can't tell the two apart.
            RequestResult::Reply(
                Reply::NotRun { retry_after_ms } | Reply::Refused { retry_after_ms, .. },
            ) => refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "the job is not known, and its cancel can't be stored now",
            )
            .with_retry_after_ms(retry_after_ms),
            other => unanswered("cancel", job, &other),
        };
        let (status, took_ms) = (response.status.as_u16(), began.elapsed().as_millis());
        let known_epoch = self.leadership.epoch();
        log::info!(
            "event=cancel_answered job={job} queue={} account={} status={status} evidence={evidence} {origin} \
             known_epoch={known_epoch} took_ms={took_ms}",
            caller.queue,
            caller.account
        );
        response
    }

    async fn pending(&self, terms: &Terms, http_request: &Request) -> Response {
        let queue = &terms.queue;
        let req = PlannerRequest::at(terms, QueueRequest::Pending(queue.name.clone()));
        match self.request_planner(req, http_request).await.0 {
            RequestResult::Reply(Reply::Pending(count)) => {
                Response::new(StatusCode::OK).json(&json!({"pending": count}))
            }
            other => unanswered("pending", &queue.name, &other),
        }
    }

    /// Retries a request until the planner replies, none is expected in time, or the caller's wait, less the margin for the
    /// reply, has passed. Returns the result and where it came from.
    pub(crate) async fn request_planner(
        &self,
        request: PlannerRequest,
        http_request: &Request,
    ) -> (RequestResult, Origin) {
        let mut origin = Origin::new(self.leadership.epoch());
        let result = self.retry_request(request, http_request, &mut origin).await;
        (result, origin)
    }

    async fn retry_request(
        &self,
        request: PlannerRequest,
        http_request: &Request,
        origin: &mut Origin,
    ) -> RequestResult {
        let wait = Duration::from_millis(wait_for_planner_ms(http_request.wait_ms));
        let deadline = tokio::time::Instant::now() + wait;
        let mut unresolved = false;
        loop {
            let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
            if remaining.is_zero() {
                return if unresolved {
                    RequestResult::Unresolved
                } else {
                    RequestResult::NeverSent { retry_after_ms: TAKEOVER_MS }
                };
            }
            let result = self.request_once(request.clone(), remaining.min(ATTEMPT_TIMEOUT), origin).await;
            origin.record(&result);
            match result {
                RequestResult::Reply(Reply::NotPlanner(leader)) => self.leadership.update_leader(leader),
                RequestResult::Reply(Reply::Unresolved) | RequestResult::Unresolved => unresolved = true,
                RequestResult::Reply(Reply::CancelNotStored) => {
                    unresolved = true;
                    tokio::time::sleep(EARLIER_BUILD_DELAY).await;
                }
                RequestResult::NeverSent { .. } if !unresolved => {
                    let left_ms = deadline.saturating_duration_since(tokio::time::Instant::now()).as_millis();
                    if let Some(retry_after_ms) = self.absence(left_ms as u64).retry_after_ms() {
                        return RequestResult::NeverSent { retry_after_ms };
                    }
                }
                RequestResult::NeverSent { .. } => (),
                reply => return reply,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns what this entry knows while no planner is in reach; `left_ms` is what is left of a caller's wait.
    fn absence(&self, left_ms: u64) -> Absence {
        let health = self.store.health();
        Absence {
            leaderless_ms: now_ms().saturating_sub(*lock(&self.led_at)),
            store_failing_ms: health.failing_since.map(|since| since.elapsed().as_millis() as u64),
            left_ms,
        }
    }

    /// Passes a request to the leader; records in `origin` who that is.
    async fn request_once(&self, req: PlannerRequest, wait: Duration, origin: &mut Origin) -> RequestResult {
        if let Some(active) = self.planner() {
            origin.asked = Some(Asked::this(&active.leader));
            return RequestResult::Reply(active.handle_request(req, wait).await);
        }
        let Some(leader) =
            self.leadership.leader().filter(|leader| leader.incarnation != self.me.incarnation)
        else {
            return RequestResult::NeverSent { retry_after_ms: TAKEOVER_MS };
        };
        origin.asked = Some(Asked::other(&leader));
        match (self.call_leader(&leader, req.clone(), wait).await, addressed_job(&req)) {
            (RequestResult::Reply(reply), Some((job, caller))) if is_of_earlier_build(&req, &reply) => {
                self.request_by_name(&leader, reply, (job, &caller), wait).await
            }
            (result, _) => result,
        }
    }

    /// Calls the leader, which is another entry.
    async fn call_leader(&self, leader: &Leader, req: PlannerRequest, wait: Duration) -> RequestResult {
        let wait_ms = wait.as_millis() as u64;
        let reply =
            call(&self.pool, &leader.address, wait, async |rpc, cx| rpc.request(cx, req, wait_ms).await);
        match reply.await {
            Ok(Reply::FromMemory(reply)) => self.confirm_reply(leader.epoch, *reply, wait).await,
            Ok(reply) => RequestResult::Reply(reply),
            Err(CallError::Connect(e)) => {
                log::debug!("event=planner_unreachable address={} cause=\"{e}\"", leader.address);
                RequestResult::NeverSent { retry_after_ms: TAKEOVER_MS }
            }
            Err(e) => {
                log::debug!("event=planner_unanswered address={} cause=\"{e}\"", leader.address);
                RequestResult::Unresolved
            }
        }
    }

    /// Completes a request to a leader of an earlier build that has replied, for which a name is one job, whoever calls: the
    /// store tells whether that is the caller's. A cancel is sent only now, since it would end the job.
    async fn request_by_name(
        &self,
        leader: &Leader,
        reply: Reply,
        (job, caller): (&str, &Caller),
        wait: Duration,
    ) -> RequestResult {
        let began = tokio::time::Instant::now();
        let Some(holder) = self.holder_of(job, caller, wait).await else {
            return RequestResult::Unresolved;
        };
        let is_other = holder == Holder::Other;
        match reply {
            // The leader knows the job by the name that its queue had, and would say otherwise by the path.
            Reply::ByName(reply) if denies_job(&reply) && holder == Holder::Caller => {
                RequestResult::Unresolved
            }
            Reply::ByName(reply) if denies_job(&reply) => RequestResult::Reply(*reply),
            Reply::ByName(reply) if !is_other => RequestResult::Reply(*reply),
            Reply::ByName(reply) if *reply == Reply::Accepted => {
                let why = "the name stands for another job".to_owned();
                let retry_after_ms = self.timing().ended_retention_ms;
                RequestResult::Reply(Reply::Refused { why, retry_after_ms })
            }
            Reply::ByName(_) => RequestResult::Reply(Reply::State(None)),
            // A submission of the caller is refused while the name stands for that job.
            _ if is_other => RequestResult::Reply(Reply::Cancelled(false)),
            _ => {
                let left = wait.saturating_sub(began.elapsed());
                self.call_leader(leader, PlannerRequest::Cancel(job.to_owned()), left).await
            }
        }
    }

    /// Reads from the store within `wait` whose job a name stands for; `None` if the store doesn't answer.
    async fn holder_of(&self, job: &str, caller: &Caller, wait: Duration) -> Option<Holder> {
        let (records, _) = tokio::time::timeout(wait, self.store.read_latest(JOBS)).await.ok()?.ok()?;
        let records = records.iter().map(|record| (record.key.as_str(), record.value.as_slice()));
        let Some(holder) = record::read_caller(records, job) else { return Some(Holder::Nobody) };
        if caller.reaches(&holder, &self.desired.borrow()) {
            return Some(Holder::Caller);
        }
        log::info!(
            "event=foreign_job_hidden job={job} queue={} account={} holder_queue={} holder_account={}",
            caller.queue,
            caller.account,
            holder.queue,
            holder.account
        );
        Some(Holder::Other)
    }

    /// Returns a reply that the leader of `epoch` gave from memory if the store shows within `wait` that it had no successor.
    async fn confirm_reply(&self, epoch: u64, reply: Reply, wait: Duration) -> RequestResult {
        match tokio::time::timeout(wait, self.store.read_latest(CLAIMS)).await {
            Ok(Ok((claims, _))) if newest_epoch(&claims) <= epoch => RequestResult::Reply(reply),
            _ => RequestResult::Unresolved,
        }
    }
}

/// Returns how long to wait for the planner on behalf of a caller, in milliseconds. The planner is called even for a
/// very short wait, since it usually replies within a few milliseconds.
pub fn wait_for_planner_ms(caller_wait_ms: Option<u64>) -> u64 {
    let wait = caller_wait_ms.unwrap_or(MAX_WAIT_MS).min(MAX_WAIT_MS);
    (wait - REPLY_MARGIN_MS.min(wait / 4)).max(MIN_PLANNER_WAIT_MS)
}

/// Result of a request to the planner.
#[derive(Debug)]
pub(crate) enum RequestResult {
    /// The planner has replied.
    Reply(Reply),
    /// The request never reached a planner, so it was not carried out.
    NeverSent {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request may have been carried out.
    Unresolved,
}

/// Whose job a name stands for in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    Nobody,
    /// The caller who asks.
    Caller,
    Other,
}

/// Returns whether a reply says that the caller has no job of the name.
fn denies_job(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::State(None) | Reply::Cancelled(false) | Reply::Refused { .. } | Reply::NotRun { .. }
    )
}

/// Returns the name of the job that a request is about, and its caller; `None` for a request that names none.
fn addressed_job(req: &PlannerRequest) -> Option<(&str, Caller)> {
    match req {
        PlannerRequest::SubmitTo { sub, terms, .. } => {
            Some((&sub.job, sub.caller().with_address(Some(terms.queue.address.clone()))))
        }
        PlannerRequest::At {
            address,
            req: QueueRequest::State { job, caller } | QueueRequest::Cancel { job, caller },
            ..
        } => Some((job, caller.clone().with_address(Some(address.clone())))),
        _ => None,
    }
}

/// Returns whether the reply to a request about a job shows that the leader is of a build that knows no callers, or only
/// the names of their queues, and has to be checked.
fn is_of_earlier_build(req: &PlannerRequest, reply: &Reply) -> bool {
    match reply {
        Reply::ByName(_) => true,
        // A cancel is not expressible in its version of the calls.
        Reply::Pending(_) => matches!(req, PlannerRequest::At { req: QueueRequest::Cancel { .. }, .. }),
        _ => false,
    }
}

fn is_job_name(name: &str) -> bool {
    name.len() == 16 && name.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn refuse(status: StatusCode, why: &str) -> Response {
    Response::new(status).json(&json!({"error": why}))
}

/// Answers a caller whose request got no usable reply: with 503 only if the request was certainly not carried out.
fn unanswered(operation: &str, name: &str, result: &RequestResult) -> Response {
    log::warn!("event=unanswered what={operation} job={name} asked={result:?}");
    match result {
        RequestResult::NeverSent { retry_after_ms } => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, "no planner is in reach")
                .with_retry_after_ms(*retry_after_ms)
        }
        _ => refuse(StatusCode::GATEWAY_TIMEOUT, "not known yet; ask again with the same name"),
    }
}
