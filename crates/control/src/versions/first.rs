//! The first version of the calls, as landings 8 and 9 encode it. The order of the variants and fields is the encoding.
//!
//! Types that are not here are the same in all versions.

use serde::{Deserialize, Serialize};
use sorrelland_fleet::job::{JobState, Submission};
use sorrelland_fleet::report::{End, NotStarted, Report as NewReport, Running, WorkerInfo};
use sorrelland_fleet::view::Query;

use crate::calls::{
    Leader, Ping as NewPing, PlanRpcRequest, PlanRpcResponse, PlannerReply as NewPlannerReply,
    PlannerRequest as NewPlannerRequest, Pong as NewPong, ReportReply,
};
use crate::peers::Listed as NewListed;
use crate::versions::second::from_memory;

/// Reason of a refusal in place of [`NewPlannerReply::NotRun`].
const NOT_RUN: &str = "the store does not answer; the job has not run";

#[derive(Serialize, Deserialize)]
pub(super) enum Call {
    Report { report: Report },
    Request { req: PlannerRequest, wait_ms: u64 },
    Ping { ping: Ping },
}

#[derive(Serialize, Deserialize)]
pub(super) struct Report {
    agent: String,
    agent_incarnation: u64,
    seq: u64,
    worker: Option<WorkerInfo>,
    silent_before_ms: Option<u64>,
    running: Vec<Running>,
    ended: Vec<End>,
    not_started: Vec<NotStarted>,
}

#[derive(Serialize, Deserialize)]
pub(super) enum PlannerRequest {
    Submit(Submission),
    State(String),
    Cancel(String),
    Pending(String),
    View(Query),
    /// Unknown to landing 8.
    Explain(Submission),
}

#[derive(Serialize, Deserialize)]
pub(super) struct Ping {
    address: String,
    millicores: u64,
    leader: Option<Leader>,
    version: u64,
}

#[derive(Serialize, Deserialize)]
pub(super) enum Response {
    Report(ReportReply),
    Request(PlannerReply),
    Ping(Pong),
}

#[derive(Serialize, Deserialize)]
pub(super) enum PlannerReply {
    NotPlanner(Option<Leader>),
    Accepted,
    Refused { why: String, retry_after_ms: u64 },
    State(Option<JobState>),
    Cancelled(bool),
    Pending(u64),
    View(String),
    Unresolved,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Pong {
    leader: Option<Leader>,
    store_failing_ms: u64,
    desired: Option<Vec<u8>>,
    entries: Vec<Listed>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Listed {
    address: String,
    millicores: u64,
    age_ms: u64,
}

/// Returns the request in the first version; `None` if that can't express it.
pub(super) fn encode_request(req: &PlanRpcRequest) -> Option<Call> {
    Some(match req {
        PlanRpcRequest::Report { report } => Call::Report { report: report.clone().into() },
        PlanRpcRequest::Request { req, wait_ms } => {
            Call::Request { req: encode_planner_request(req.clone())?, wait_ms: *wait_ms }
        }
        PlanRpcRequest::Ping { ping } => Call::Ping { ping: ping.clone().into() },
        PlanRpcRequest::TakeOver { .. } => return None,
    })
}

fn encode_planner_request(req: NewPlannerRequest) -> Option<PlannerRequest> {
    Some(match req.without_caller() {
        NewPlannerRequest::Submit { sub, .. } => PlannerRequest::Submit(sub),
        NewPlannerRequest::State(job) => PlannerRequest::State(job),
        NewPlannerRequest::Cancel(job) => PlannerRequest::Cancel(job),
        NewPlannerRequest::Pending(queue) => PlannerRequest::Pending(queue),
        NewPlannerRequest::View(query) => PlannerRequest::View(query),
        // Landing 8 would end the connection, and with it the calls in flight.
        NewPlannerRequest::Explain(_) => return None,
        // `without_caller` leaves none.
        NewPlannerRequest::StateFor { .. }
        | NewPlannerRequest::CancelFor { .. }
        | NewPlannerRequest::SubmitTo { .. }
        | NewPlannerRequest::At { .. } => return None,
    })
}

impl From<Call> for PlanRpcRequest {
    fn from(req: Call) -> Self {
        match req {
            Call::Report { report } => Self::Report { report: report.into() },
            Call::Request { req, wait_ms } => Self::Request { req: req.into(), wait_ms },
            Call::Ping { ping } => Self::Ping { ping: ping.into() },
        }
    }
}

impl From<PlannerRequest> for NewPlannerRequest {
    fn from(req: PlannerRequest) -> Self {
        match req {
            // Each attempt counts as a call of its own.
            PlannerRequest::Submit(sub) => Self::Submit { sub, call: rand::random(), known_epoch: None },
            PlannerRequest::State(job) => Self::State(job),
            PlannerRequest::Cancel(job) => Self::Cancel(job),
            PlannerRequest::Pending(queue) => Self::Pending(queue),
            PlannerRequest::View(query) => Self::View(query),
            PlannerRequest::Explain(sub) => Self::Explain(sub),
        }
    }
}

impl From<NewReport> for Report {
    fn from(report: NewReport) -> Self {
        let NewReport {
            agent,
            agent_incarnation,
            seq,
            worker,
            silent_before_ms,
            running,
            ended,
            not_started,
            // The planner measures the runs anew.
            first_marks: _,
        } = report;
        Self { agent, agent_incarnation, seq, worker, silent_before_ms, running, ended, not_started }
    }
}

impl From<Report> for NewReport {
    fn from(report: Report) -> Self {
        let Report { agent, agent_incarnation, seq, worker, silent_before_ms, running, ended, not_started } =
            report;
        let first_marks = Vec::new();
        Self {
            agent,
            agent_incarnation,
            seq,
            worker,
            silent_before_ms,
            running,
            ended,
            not_started,
            first_marks,
        }
    }
}

impl From<NewPing> for Ping {
    fn from(ping: NewPing) -> Self {
        let NewPing { address, millicores, leader, version, .. } = ping;
        Self { address, millicores, leader, version }
    }
}

impl From<Ping> for NewPing {
    fn from(ping: Ping) -> Self {
        let Ping { address, millicores, leader, version } = ping;
        // It can't be offered the leadership, only claim it once the leader has resigned.
        Self { address, millicores, leader, version, can_lead: false, calls: 1 }
    }
}

/// Returns the response in the first version; `None` if that can't express it.
pub(super) fn encode_response(response: &PlanRpcResponse) -> Option<Response> {
    Some(match response {
        PlanRpcResponse::Report(reply) => Response::Report(reply.clone()),
        PlanRpcResponse::Request(reply) => Response::Request(reply.clone().into()),
        PlanRpcResponse::Ping(pong) => Response::Ping(pong.clone().into()),
        PlanRpcResponse::TakeOver(_) => return None,
    })
}

impl From<Response> for PlanRpcResponse {
    fn from(response: Response) -> Self {
        match response {
            Response::Report(reply) => Self::Report(reply),
            Response::Request(reply) => Self::Request(from_memory(reply.into()).by_name()),
            Response::Ping(pong) => Self::Ping(pong.into()),
        }
    }
}

impl From<NewPlannerReply> for PlannerReply {
    fn from(reply: NewPlannerReply) -> Self {
        match reply {
            NewPlannerReply::NotPlanner(leader) => Self::NotPlanner(leader),
            NewPlannerReply::Accepted => Self::Accepted,
            NewPlannerReply::Refused { why, retry_after_ms } => Self::Refused { why, retry_after_ms },
            NewPlannerReply::NotRun { retry_after_ms } => {
                Self::Refused { why: NOT_RUN.to_owned(), retry_after_ms }
            }
            NewPlannerReply::State(state) => Self::State(state),
            NewPlannerReply::Cancelled(is_known) => Self::Cancelled(is_known),
            NewPlannerReply::Pending(count) => Self::Pending(count),
            NewPlannerReply::View(view) => Self::View(view),
            NewPlannerReply::Unresolved
            | NewPlannerReply::CancelNotStored
            | NewPlannerReply::FromMemory(_)
            | NewPlannerReply::ByName(_) => Self::Unresolved,
        }
    }
}

impl From<PlannerReply> for NewPlannerReply {
    fn from(reply: PlannerReply) -> Self {
        match reply {
            PlannerReply::NotPlanner(leader) => Self::NotPlanner(leader),
            PlannerReply::Accepted => Self::Accepted,
            PlannerReply::Refused { why, retry_after_ms } => Self::Refused { why, retry_after_ms },
            PlannerReply::State(state) => Self::State(state),
            PlannerReply::Cancelled(true) => Self::Cancelled(true),
            PlannerReply::Cancelled(false) => Self::CancelNotStored,
            PlannerReply::Pending(count) => Self::Pending(count),
            PlannerReply::View(view) => Self::View(view),
            PlannerReply::Unresolved => Self::Unresolved,
        }
    }
}

impl From<NewPong> for Pong {
    fn from(pong: NewPong) -> Self {
        let NewPong { leader, store_failing_ms, desired, entries } = pong;
        let listed =
            |NewListed { address, millicores, age_ms, can_lead: _ }| Listed { address, millicores, age_ms };
        Self { leader, store_failing_ms, desired, entries: entries.into_iter().map(listed).collect() }
    }
}

impl From<Pong> for NewPong {
    fn from(pong: Pong) -> Self {
        let Pong { leader, store_failing_ms, desired, entries } = pong;
        let listed = |Listed { address, millicores, age_ms }| NewListed {
            address,
            millicores,
            age_ms,
            can_lead: false,
        };
        Self { leader, store_failing_ms, desired, entries: entries.into_iter().map(listed).collect() }
    }
}
