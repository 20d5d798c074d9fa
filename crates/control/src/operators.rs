//! What an entry shows to operators, on the address of its metrics.

use std::sync::Arc;

use http::{Method, StatusCode};
use sorrelland_fleet::view::Query;
use sorrelland_platform::serve::{Answer, Call};

use crate::callers::RequestResult;
use crate::calls::{PlannerReply as Reply, PlannerRequest};
use crate::entry::Entry;
use crate::metrics;

/// Path below which the views lie.
const VIEWS: &str = "/show/";

impl Entry {
    /// Answers an operator: a view from the planner, or else this process's metrics.
    pub(crate) async fn show(self: Arc<Self>, call: Call) -> Answer {
        let Some(view) = call.path.strip_prefix(VIEWS) else { return metrics::text() };
        if call.method != Method::GET {
            return Answer::new(StatusCode::METHOD_NOT_ALLOWED);
        }
        let Some(query) = query(view) else {
            let known = "jobs, workers, accounts, refused, burn, why/JOB";
            let body = serde_json::json!({"error": format!("no view {view:?}; known are {known}")});
            return Answer::new(StatusCode::NOT_FOUND).with_json(&body);
        };
        match self.request_planner(PlannerRequest::View(query), &call).await {
            RequestResult::Reply(Reply::View(body)) => Answer { body, ..Answer::new(StatusCode::OK) },
            asked => {
                log::info!("event=unanswered what=show view={view} asked={asked:?}");
                let body = serde_json::json!({"error": "no planner answers"});
                Answer::new(StatusCode::SERVICE_UNAVAILABLE).with_json(&body)
            }
        }
    }
}

/// Returns what a path below [`VIEWS`] asks for.
fn query(view: &str) -> Option<Query> {
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
