//! The second version of the calls, as landings 10 to 13 encode it. The order of the variants and fields is the encoding.
//!
//! Types that are not here are the same in the second and the newest version.

use serde::{Deserialize, Serialize};
use sorrelland_fleet::job::Submission;
use sorrelland_fleet::report::Report;
use sorrelland_fleet::view::Query;

use crate::calls::{
    Leader, OfferReply, Ping as NewPing, PlanRpcRequest, PlanRpcResponse, PlannerReply,
    PlannerRequest as NewPlannerRequest, Pong, ReportReply,
};

#[derive(Serialize, Deserialize)]
pub(super) enum Call {
    Report { report: Report },
    Request { req: PlannerRequest, wait_ms: u64 },
    Ping { ping: Ping },
    TakeOver { epoch: u64 },
}

#[derive(Serialize, Deserialize)]
pub(super) enum PlannerRequest {
    Submit { sub: Submission, call: u64 },
    State(String),
    Cancel(String),
    Pending(String),
    View(Query),
    Explain(Submission),
}

#[derive(Serialize, Deserialize)]
pub(super) struct Ping {
    address: String,
    millicores: u64,
    leader: Option<Leader>,
    version: u64,
    can_lead: bool,
}

#[derive(Serialize, Deserialize)]
pub(super) enum Response {
    Report(ReportReply),
    Request(PlannerReply),
    Ping(Pong),
    TakeOver(OfferReply),
}

/// Returns the request in the second version; `None` if that can't express it.
pub(super) fn encode_request(req: &PlanRpcRequest) -> Option<Call> {
    Some(match req {
        PlanRpcRequest::Report { report } => Call::Report { report: report.clone() },
        PlanRpcRequest::Request { req, wait_ms } => {
            Call::Request { req: encode_planner_request(req.clone())?, wait_ms: *wait_ms }
        }
        PlanRpcRequest::Ping { ping } => Call::Ping { ping: ping.clone().into() },
        PlanRpcRequest::TakeOver { epoch } => Call::TakeOver { epoch: *epoch },
    })
}

impl From<Call> for PlanRpcRequest {
    fn from(req: Call) -> Self {
        match req {
            Call::Report { report } => Self::Report { report },
            Call::Request { req, wait_ms } => Self::Request { req: req.into(), wait_ms },
            Call::Ping { ping } => Self::Ping { ping: ping.into() },
            Call::TakeOver { epoch } => Self::TakeOver { epoch },
        }
    }
}

/// Returns the request in the second version; `None` if that can't express it.
fn encode_planner_request(req: NewPlannerRequest) -> Option<PlannerRequest> {
    Some(match req.without_caller() {
        NewPlannerRequest::Submit { sub, call, known_epoch: _ } => PlannerRequest::Submit { sub, call },
        NewPlannerRequest::State(job) => PlannerRequest::State(job),
        NewPlannerRequest::Cancel(job) => PlannerRequest::Cancel(job),
        NewPlannerRequest::Pending(queue) => PlannerRequest::Pending(queue),
        NewPlannerRequest::View(query) => PlannerRequest::View(query),
        NewPlannerRequest::Explain(sub) => PlannerRequest::Explain(sub),
        // `without_caller` leaves none.
        NewPlannerRequest::StateFor { .. }
        | NewPlannerRequest::CancelFor { .. }
        | NewPlannerRequest::SubmitTo { .. }
        | NewPlannerRequest::At { .. } => return None,
    })
}

impl From<PlannerRequest> for NewPlannerRequest {
    fn from(req: PlannerRequest) -> Self {
        match req {
            PlannerRequest::Submit { sub, call } => Self::Submit { sub, call, known_epoch: None },
            PlannerRequest::State(job) => Self::State(job),
            PlannerRequest::Cancel(job) => Self::Cancel(job),
            PlannerRequest::Pending(queue) => Self::Pending(queue),
            PlannerRequest::View(query) => Self::View(query),
            PlannerRequest::Explain(sub) => Self::Explain(sub),
        }
    }
}

impl From<NewPing> for Ping {
    fn from(ping: NewPing) -> Self {
        let NewPing { address, millicores, leader, version, can_lead, calls: _ } = ping;
        Self { address, millicores, leader, version, can_lead }
    }
}

impl From<Ping> for NewPing {
    fn from(ping: Ping) -> Self {
        let Ping { address, millicores, leader, version, can_lead } = ping;
        Self { address, millicores, leader, version, can_lead, calls: 2 }
    }
}

/// Marks the final answers that leaders of landings 8 to 12 give from memory.
pub(super) fn from_memory(reply: PlannerReply) -> PlannerReply {
    match reply {
        PlannerReply::State(None) | PlannerReply::Refused { .. } => PlannerReply::FromMemory(Box::new(reply)),
        reply => reply,
    }
}

impl From<Response> for PlanRpcResponse {
    fn from(response: Response) -> Self {
        match response {
            Response::Report(reply) => Self::Report(reply),
            // Landings 10 to 12 don't store it, and landing 13 can't be told from them.
            Response::Request(PlannerReply::Cancelled(false)) => Self::Request(PlannerReply::CancelNotStored),
            Response::Request(reply) => Self::Request(from_memory(reply).by_name()),
            Response::Ping(pong) => Self::Ping(pong),
            Response::TakeOver(reply) => Self::TakeOver(reply),
        }
    }
}
