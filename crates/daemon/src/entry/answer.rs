//! Bodies of the callers' requests and answers.

use dropshot::Body;
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sorrelland_core::policy::Millis;
use sorrelland_core::route::NotRun;
use sorrelland_core::shape::Shape;
use sorrelland_core::table::Class;
use sorrelland_ledger::JobOutcome;
use sorrelland_web::ApiError;

use crate::entry::burn::Event;

/// Body of a short request.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// Identifier of the request; a random one is assigned if it is missing.
    #[serde(default)]
    pub request: Option<String>,
    /// Whether the work may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Idempotency key from `POST /v1/keys`; required unless the request is idempotent.
    #[serde(default)]
    pub key: Option<String>,
    /// Time until the caller needs the answer, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
    /// Work for the upstream.
    pub body: Value,
}

fn default_deadline() -> Millis {
    10_000
}

/// The answer to a short request.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Answer {
    /// The upstream answered; holds its complete answer.
    Done {
        /// Identifier of the request.
        request: String,
        /// HTTP status of the upstream.
        status: u16,
        /// The upstream's answer.
        answer: Value,
    },
    /// The work did not run.
    NotRun {
        /// Identifier of the request.
        request: String,
        /// Reason of the refusal.
        reason: NotRun,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: Millis,
    },
    /// The work may have run and will not be run again.
    Unknown {
        /// Identifier of the request.
        request: String,
        /// Reason why the outcome is unknown.
        reason: String,
    },
}

impl Answer {
    /// Returns the outcome's name for metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::NotRun { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Returns how the answer counts against the error budget.
    pub fn event(&self, late: bool) -> Event {
        match self {
            Self::Done { status, .. } if *status >= 500 => Event::Failed,
            Self::Done { .. } if late => Event::Late,
            Self::Done { .. } => Event::Good,
            Self::NotRun { .. } => Event::Refused,
            Self::Unknown { .. } => Event::Unknown,
        }
    }

    /// Returns the answer as an HTTP response.
    ///
    /// # Errors
    ///
    /// Returns an internal error when the answer cannot be serialized.
    pub fn into_response(self) -> Result<Response<Body>, ApiError> {
        let (status, retry_ms) = match &self {
            Self::Done { .. } => (StatusCode::OK, None),
            Self::NotRun { retry_after_ms, .. } => (StatusCode::SERVICE_UNAVAILABLE, Some(*retry_after_ms)),
            Self::Unknown { .. } => (StatusCode::GATEWAY_TIMEOUT, None),
        };
        respond(status, retry_ms, &self)
    }
}

/// Returns a JSON response; `retry_ms` becomes the `Retry-After` header, in seconds rounded up.
///
/// # Errors
///
/// Returns an internal error when the answer cannot be serialized.
pub fn respond(
    status: StatusCode,
    retry_ms: Option<Millis>,
    body: &impl Serialize,
) -> Result<Response<Body>, ApiError> {
    let internal = |e: &dyn std::fmt::Display| ApiError::new(500, "internal", e);
    let text = serde_json::to_string(body).map_err(|e| internal(&e))?;
    let mut response =
        Response::builder().status(status).header(http::header::CONTENT_TYPE, "application/json");
    if let Some(retry_ms) = retry_ms {
        response = response.header(http::header::RETRY_AFTER, retry_ms.div_ceil(1_000).max(1));
    }
    response.body(Body::from(text)).map_err(|e| internal(&e))
}

/// Body of a job submission.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// Name of the job, unique within the account; sending it again changes nothing.
    pub name: String,
    /// Resources that the gang needs at the same time.
    pub shape: Shape,
    /// Scheduling class.
    #[serde(default)]
    pub class: Class,
    /// Declared run time in milliseconds; only a hint.
    pub declared_ms: Millis,
    /// Whether the job may be checkpointed or stopped and run again.
    #[serde(default = "default_true")]
    pub preemptible: bool,
    /// Whether the job may be started again after a failure.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Whether the caller waits for the outcome; such a job is not on the log.
    #[serde(default)]
    pub attached: bool,
    /// Time within which an attached job has to start, in milliseconds.
    #[serde(default = "default_start_within")]
    pub start_within_ms: Millis,
    /// Work for the upstream.
    #[serde(default)]
    pub work: Value,
}

fn default_true() -> bool {
    true
}

fn default_start_within() -> Millis {
    2_300
}

/// State of a job as reported to callers.
#[derive(Clone, Debug, Serialize, JsonSchema)]
pub struct JobAnswer {
    /// Name of the job.
    pub name: String,
    /// `waiting`, `running` or `ended`.
    pub state: &'static str,
    /// Final outcome, once there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<JobOutcome>,
    /// Workers that the job holds.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<String>,
    /// Time since the job was accepted, in milliseconds.
    pub age_ms: Millis,
    /// Time since the log last confirmed the entry's state, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_ms_ago: Option<Millis>,
}
