//! Views that an entry serves to operators, on the address of its metrics.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::{Display, Error, From};
use http::{Method, StatusCode};
use serde_json::{Map, Value, json};
use sorrelland_fleet::desired::Desired;
use sorrelland_fleet::job::Submission;
use sorrelland_fleet::view::Query;
use sorrelland_platform::jobs;
use sorrelland_platform::serve::{Request, Response};

use crate::callers::RequestResult;
use crate::calls::{PlannerReply as Reply, PlannerRequest};
use crate::entry::Entry;
use crate::metrics;

const VIEW_PATH_PREFIX: &str = "/show/";

/// View of where a job would be placed, with the job in the body of the request.
const EXPLAIN_VIEW: &str = "explain";

pub type Result<T> = std::result::Result<T, Error>;

/// What is wrong with a job for a trial.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The text is not a JSON object.
    #[display("not a JSON object: {_0}")]
    Json(serde_json::Error),
    /// A field that every job has is missing.
    #[display("{_0} is missing")]
    #[from(skip)]
    Missing(#[error(not(source))] &'static str),
    /// A name is not a string.
    #[from(skip)]
    #[display("{name}: {value} is not a string")]
    NotText { name: &'static str, value: String },
    /// A name is not in the desired state.
    #[display("unknown {field} {name:?}; known: {known}")]
    #[from(skip)]
    Unknown { field: &'static str, name: String, known: String },
    /// The rest is not a job as a caller submits it.
    #[display("{_0}")]
    Job(jobs::Error),
}

impl Entry {
    /// Responds to an operator with a view of the planner, or with this process's metrics on any other path.
    pub(crate) async fn answer_operator(self: Arc<Self>, request: Request) -> Response {
        let Some(view) = request.path.strip_prefix(VIEW_PATH_PREFIX) else { return metrics::render() };
        let is_trial = view.trim_end_matches('/') == EXPLAIN_VIEW;
        if request.method != if is_trial { Method::POST } else { Method::GET } {
            return Response::new(StatusCode::METHOD_NOT_ALLOWED);
        }
        let planner_request = if is_trial {
            match decode_trial(&request.body, &self.desired.borrow()) {
                Ok(sub) => PlannerRequest::Explain(sub),
                Err(e) => {
                    let body = json!({"error": e.to_string()});
                    return Response::new(StatusCode::BAD_REQUEST).json(&body);
                }
            }
        } else if let Some(query) = parse_query(view) {
            PlannerRequest::View(query)
        } else {
            let available = "jobs, workers, accounts, refused, burn, why/JOB";
            let body = json!({"error": format!("unknown view {view:?}; available views: {available}")});
            return Response::new(StatusCode::NOT_FOUND).json(&body);
        };
        match self.request_planner(planner_request, &request).await.0 {
            RequestResult::Reply(Reply::View(body)) => Response { body, ..Response::new(StatusCode::OK) },
            result => {
                log::info!("event=unanswered what=show view={view} asked={result:?}");
                let body = json!({"error": "the planner did not answer"});
                Response::new(StatusCode::SERVICE_UNAVAILABLE).json(&body)
            }
        }
    }
}

/// Decodes a job as a caller would submit it, with the name of its `queue` and `account`, for a trial.
///
/// # Errors
///
/// Returns what is wrong with the job.
pub fn decode_trial(body: &[u8], desired: &Desired) -> Result<Submission> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body)?;
    let queue = take_text(&mut fields, "queue")?.ok_or(Error::Missing("queue"))?;
    let known: Vec<&str> = desired.queues.iter().map(|queue| queue.name.as_str()).collect();
    let Some(queue) = desired.queue_named(&queue) else {
        return Err(Error::Unknown { field: "queue", name: queue, known: known.join(", ") });
    };
    let account = match take_text(&mut fields, "account")? {
        Some(account) => account,
        None if queue.public => String::new(),
        None => return Err(Error::Missing("account")),
    };
    if !queue.public || !account.is_empty() {
        let known: BTreeSet<&str> =
            desired.accounts.keys().chain(desired.keys.values()).map(String::as_str).collect();
        if !known.contains(account.as_str()) {
            let known = known.into_iter().collect::<Vec<_>>().join(", ");
            return Err(Error::Unknown { field: "account", name: account, known });
        }
    }
    // No subtask starts, so its text doesn't matter.
    fields.entry("task_spec").or_insert_with(|| Value::from(""));
    Ok(jobs::decode(Value::Object(fields).to_string().as_bytes(), "trial", &queue.name, &account)?)
}

fn take_text(fields: &mut Map<String, Value>, name: &'static str) -> Result<Option<String>> {
    match fields.remove(name) {
        None => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(other) => Err(Error::NotText { name, value: other.to_string() }),
    }
}

/// Parses the part of a path after [`VIEW_PATH_PREFIX`]; `None` if there is no such view.
fn parse_query(view: &str) -> Option<Query> {
    match view.trim_end_matches('/').split_once('/') {
        Some(("why", job)) if !job.is_empty() && !job.contains('/') => Some(Query::Explain(job.to_owned())),
        Some(_) => None,
        None => match view.trim_end_matches('/') {
            "jobs" => Some(Query::Jobs),
            "workers" => Some(Query::Workers),
            "accounts" => Some(Query::Accounts),
            "refused" => Some(Query::Refused),
            "burn" => Some(Query::ServiceLevels),
            _ => None,
        },
    }
}
