//! Views that an entry serves to operators, on the address of its metrics.

use std::sync::Arc;

use http::{Method, StatusCode};
use sorrelland_fleet::view::Query;
use sorrelland_platform::serve::{Request, Response};

use crate::callers::RequestResult;
use crate::calls::{PlannerReply as Reply, PlannerRequest};
use crate::entry::Entry;
use crate::metrics;

const VIEW_PATH_PREFIX: &str = "/show/";

impl Entry {
    /// Responds to an operator with a view of the planner, or with this process's metrics on any other path.
    pub(crate) async fn answer_operator(self: Arc<Self>, request: Request) -> Response {
        let Some(view) = request.path.strip_prefix(VIEW_PATH_PREFIX) else { return metrics::render() };
        if request.method != Method::GET {
            return Response::new(StatusCode::METHOD_NOT_ALLOWED);
        }
        let Some(query) = parse_query(view) else {
            let available = "jobs, workers, accounts, refused, burn, why/JOB";
            let body =
                serde_json::json!({"error": format!("unknown view {view:?}; available views: {available}")});
            return Response::new(StatusCode::NOT_FOUND).json(&body);
        };
        match self.request_planner(PlannerRequest::View(query), &request).await {
            RequestResult::Reply(Reply::View(body)) => Response { body, ..Response::new(StatusCode::OK) },
            result => {
                log::info!("event=unanswered what=show view={view} asked={result:?}");
                let body = serde_json::json!({"error": "the planner did not answer"});
                Response::new(StatusCode::SERVICE_UNAVAILABLE).json(&body)
            }
        }
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
