//! Calls of earlier landings, as their own builds encoded them, and odd messages. The fixtures are bare messages in
//! hexadecimal digits, by name.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use sorrelland_control::calls::{
    Leader, OfferReply, Ping, PlanRpcRequest, PlanRpcResponse, PlannerReply, PlannerRequest, Pong,
    QueueRequest, ReportReply,
};
use sorrelland_control::peers::Listed;
use sorrelland_control::versions::{ClientCodec, ServerCodec, Version, new_server_codecs};
use sorrelland_fleet::assignments::{Assignments, Pace, Start, Stop};
use sorrelland_fleet::desired::{Address, Queue};
use sorrelland_fleet::job::{JobState, Outcome, Schedule, Step, Submission};
use sorrelland_fleet::report::{End, EndReason, FirstMark, NotStarted, Report, Running, WorkerInfo};
use sorrelland_fleet::view::Query;
use sorrelland_fleet::{Caller, Resources, Task, Terms};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::{ClientMessage, Request, Response, context};

const LANDING_8: &str = include_str!("fixtures/calls-landing-8.txt");
const LANDING_9: &str = include_str!("fixtures/calls-landing-9.txt");
const LANDING_10: &str = include_str!("fixtures/calls-landing-10.txt");
const LANDING_16: &str = include_str!("fixtures/calls-landing-16.txt");

const REQUEST: u64 = 300;

const VERSIONS: [Version; 5] =
    [Version::First, Version::Second, Version::Third, Version::Fourth, Version::Fifth];

fn task() -> Task {
    Task { job: "5c0e7a21d94b36f8".to_owned(), occurrence: 1, step: 2, index: 300 }
}

fn leader() -> Leader {
    let (instance, address) = ("entry-1".to_owned(), "127.0.0.9:8524".to_owned());
    Leader { epoch: 70_000, instance, address, incarnation: 1 << 60 }
}

fn submission() -> Submission {
    let step = Step {
        count: 300,
        resources: Resources::new(52_000, 140_000, 1),
        estimate_ms: 6_900,
        depends_on: vec![0, 1],
        saves_progress: true,
        gang: true,
        prefers_one_rack: true,
        label: Some("a".to_owned()),
        preferred_rack: Some("r1".to_owned()),
        max_per_worker: Some(1),
        speculative: true,
        long_running: true,
        image: Some("i".to_owned()),
        target_ms: Some(250),
        uses_idle_cpu: true,
        max_unavailable: Some(2),
    };
    Submission {
        job: "5c0e7a21d94b36f8".to_owned(),
        queue: "orders".to_owned(),
        account: "museum".to_owned(),
        spec: "run_ms=5".to_owned(),
        steps: vec![Step { count: 1, ..Step::default() }, step],
        schedule: Some(Schedule { occurrences: 3, first_ms: 1_700_000_000_000, interval_ms: 60_000 }),
        terms: None,
    }
}

fn terms() -> Terms {
    let address = Address { host: "shop.example".to_owned(), path_prefix: "/orders/".to_owned() };
    let queue = Queue { name: "orders".to_owned(), address, max_attempts: 4, ..Queue::default() };
    Terms { version: 300, queue }
}

fn report(version: Version) -> Report {
    let mark = FirstMark { task: task(), run: 2, age_ms: 1_500, percent: 7, is_start: true };
    Report {
        agent: "agent-1".to_owned(),
        agent_incarnation: 1 << 61,
        seq: 300,
        worker: Some(WorkerInfo {
            incarnation: "w-1-1".to_owned(),
            service: "svc".to_owned(),
            domain: "haiphong-a".to_owned(),
            labels: vec!["a".to_owned(), "r1".to_owned()],
            capacity: Resources::new(130_000, 262_144, 8),
            draining: true,
            remaining_ms: Some(4_500),
        }),
        silent_before_ms: Some(250),
        running: vec![Running {
            task: task(),
            run: 2,
            saved: "s1".to_owned(),
            percent: 41,
            measurement: 900,
        }],
        ended: vec![End {
            number: 58,
            task: task(),
            run: 1,
            reason: EndReason::Lapsed,
            saved: "s0".to_owned(),
        }],
        not_started: vec![NotStarted { task: task(), run: 3, reason: "fence".to_owned() }],
        first_marks: if version == Version::Second { vec![mark] } else { Vec::new() },
    }
}

fn assignments() -> Assignments {
    let start = Start {
        task: task(),
        run: 4,
        spec: "run_ms=5".to_owned(),
        saved: "s1".to_owned(),
        ticket: Some("t".to_owned()),
    };
    Assignments {
        incarnation: "w-1-1".to_owned(),
        number: 9,
        capacity: Resources::new(130_000, 262_144, 8),
        grant_ms: 3_000,
        starts: vec![start],
        stops: vec![Stop { task: task(), run: 2 }],
        paces: vec![Pace { task: task(), run: 4, percent: 50 }],
        acknowledged: 58,
    }
}

/// Returns the value that a request of a fixture stands for.
fn expected_request(version: Version, name: &str) -> PlanRpcRequest {
    let job = || "5c0e7a21d94b36f8".to_owned();
    let req = match name {
        "report" => return PlanRpcRequest::Report { report: report(version) },
        "ping" => {
            let (address, can_lead) = ("127.0.0.9:8524".to_owned(), version == Version::Second);
            let calls = version as u16 + 1;
            let ping =
                Ping { address, millicores: 250, leader: Some(leader()), version: 300, can_lead, calls };
            return PlanRpcRequest::Ping { ping };
        }
        "take_over" => return PlanRpcRequest::TakeOver { epoch: 70_000 },
        "submit" => {
            let known_epoch = (version == Version::Fourth).then_some(70_000);
            PlannerRequest::Submit { sub: submission(), call: 1 << 62, known_epoch }
        }
        "state_for" => PlannerRequest::StateFor { job: job(), caller: Caller::new("orders", "museum") },
        "cancel_for" => PlannerRequest::CancelFor { job: job(), caller: Caller::new("orders", "museum") },
        "state" => PlannerRequest::State(job()),
        "cancel" => PlannerRequest::Cancel(job()),
        "pending" => PlannerRequest::Pending("orders".to_owned()),
        "why" => PlannerRequest::View(Query::Explain(job())),
        "explain" => PlannerRequest::Explain(submission()),
        _ => panic!("{name}"),
    };
    PlanRpcRequest::Request { req, wait_ms: 2_500 }
}

/// Returns the value that a response of a fixture stands for.
fn expected_response(version: Version, name: &str) -> PlanRpcResponse {
    let reply = match name {
        "assignments" => {
            let (assignments, entries) = (Some(assignments()), vec!["127.0.0.9:8524".to_owned()]);
            return PlanRpcResponse::Report(ReportReply::Assignments { epoch: 70_000, assignments, entries });
        }
        "not_leading" => return PlanRpcResponse::Report(ReportReply::NotPlanner(Some(leader()))),
        "pong" => {
            let (address, can_lead) = ("127.0.0.9:8524".to_owned(), version == Version::Second);
            let listed = Listed { address, millicores: 250, age_ms: 400, can_lead };
            let (desired, entries) = (Some(b"{}".to_vec()), vec![listed.clone(), listed]);
            let pong = Pong { leader: Some(leader()), store_failing_ms: 300, desired, entries };
            return PlanRpcResponse::Ping(pong);
        }
        "claimed" => return PlanRpcResponse::TakeOver(OfferReply::Claimed(leader())),
        "declined" => return PlanRpcResponse::TakeOver(OfferReply::Declined("full".to_owned())),
        "not_planner" => PlannerReply::NotPlanner(Some(leader())),
        "accepted" => PlannerReply::Accepted,
        "refused" => PlannerReply::Refused { why: "full".to_owned(), retry_after_ms: 1_200 },
        "not_run" => PlannerReply::NotRun { retry_after_ms: 1_200 },
        "state" => PlannerReply::State(Some(JobState::Ended(Outcome::Cancelled))),
        "no_state" => PlannerReply::State(None),
        "cancelled" => PlannerReply::Cancelled(true),
        "not_cancelled" => PlannerReply::Cancelled(false),
        "pending" => PlannerReply::Pending(300),
        "view" => PlannerReply::View("{}".to_owned()),
        "unresolved" => PlannerReply::Unresolved,
        _ => panic!("{name}"),
    };
    PlanRpcResponse::Request(reply)
}

fn bytes<T: Serialize + Unpin>(value: &T) -> Bytes {
    Pin::new(&mut Bincode::<(), T>::default()).serialize(value).unwrap()
}

/// Frames of the fixtures of a kind: names, and messages.
fn messages(fixture: &str, kind: &str) -> Vec<(String, Vec<u8>)> {
    let rows = fixture.lines().filter_map(|line| line.strip_prefix(kind)?.trim().split_once(' '));
    let byte = |digits: &str, at: usize| u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).unwrap();
    rows.map(|(name, digits)| (name.to_owned(), (0..digits.len() / 2).map(|at| byte(digits, at)).collect()))
        .collect()
}

/// Returns the frame of a request: the message comes last.
fn request_frame(message: &[u8]) -> BytesMut {
    let envelope = ClientMessage::Request(Request { context: context::current(), id: REQUEST, message: () });
    BytesMut::from([bytes(&envelope).as_ref(), message].concat().as_slice())
}

fn response_frame(message: &[u8]) -> BytesMut {
    let envelope = Response { request_id: REQUEST, message: Ok(()) };
    BytesMut::from([bytes(&envelope).as_ref(), message].concat().as_slice())
}

fn receive(codec: &mut ServerCodec, frame: &BytesMut) -> Option<PlanRpcRequest> {
    match Pin::new(codec).deserialize(frame).ok()? {
        ClientMessage::Request(Request { id: REQUEST, message, .. }) => Some(message),
        other => panic!("{other:?}"),
    }
}

fn reply(codec: &mut ServerCodec, message: PlanRpcResponse) -> Bytes {
    Pin::new(codec).serialize(&Response { request_id: REQUEST, message: Ok(message) }).unwrap()
}

/// Makes the numbers of calls equal, which the first version doesn't have.
fn without_call(req: PlanRpcRequest) -> PlanRpcRequest {
    match req {
        PlanRpcRequest::Request { req: PlannerRequest::Submit { sub, known_epoch, .. }, wait_ms } => {
            PlanRpcRequest::Request { req: PlannerRequest::Submit { sub, call: 0, known_epoch }, wait_ms }
        }
        req => req,
    }
}

fn text(req: PlanRpcRequest) -> String {
    format!("{:?}", without_call(req))
}

/// Guards against a change of a type that is part of a call without a new version of the calls.
#[yare::parameterized(
    landing_8 = { LANDING_8, Version::First, 7 },
    landing_9 = { LANDING_9, Version::First, 8 },
    landing_10 = { LANDING_10, Version::Second, 9 },
    landing_16 = { LANDING_16, Version::Fourth, 11 },
)]
fn requests_of_landing_are_read_and_written(fixture: &str, version: Version, count: usize) {
    let requests = messages(fixture, "request");
    assert_eq!(requests.len(), count);
    for (name, message) in requests {
        let frame = request_frame(&message);
        let expected = || expected_request(version, &name);
        // A client that announces its version, and one that shows it, as builds before landing 12 do.
        let shown = (version != Version::Fourth).then_some(None);
        for announced in [Some(Some(version as u16 + 1)), shown].into_iter().flatten() {
            let mut codec = new_server_codecs()(announced);
            let received = receive(&mut codec, &frame).unwrap_or_else(|| panic!("{name} is not read"));
            assert_eq!(text(received), text(expected()), "{name}");
        }
        let is_sent = version != Version::First || name != "explain";
        let req =
            ClientMessage::Request(Request { context: context::current(), id: REQUEST, message: expected() });
        match Pin::new(&mut ClientCodec(version)).serialize(&req) {
            Ok(frame) => assert!(is_sent && frame.ends_with(&message), "{name} is written otherwise"),
            Err(e) => assert!(!is_sent, "{name}: {e}"),
        }
    }
}

/// Guards against a reply that is read as another one.
#[yare::parameterized(
    landing_8 = { LANDING_8, Version::First, 12 },
    landing_9 = { LANDING_9, Version::First, 12 },
    landing_10 = { LANDING_10, Version::Second, 15 },
    landing_16 = { LANDING_16, Version::Fourth, 16 },
)]
fn responses_of_landing_are_read_and_written(fixture: &str, version: Version, count: usize) {
    let responses = messages(fixture, "response");
    assert_eq!(responses.len(), count);
    for (name, message) in responses {
        let expected = expected_response(version, &name);
        let frame = response_frame(&message);
        let received = Pin::new(&mut ClientCodec(version)).deserialize(&frame).unwrap();
        let as_read = match (expected_response(version, &name), name.as_str()) {
            (PlanRpcResponse::Request(reply), "no_state" | "refused" | "not_run" | "not_cancelled")
                if version == Version::Fourth =>
            {
                PlanRpcResponse::Request(PlannerReply::ByName(Box::new(reply)))
            }
            (response, _) if version == Version::Fourth => response,
            (PlanRpcResponse::Request(reply), "no_state" | "refused") => {
                PlanRpcResponse::Request(PlannerReply::FromMemory(Box::new(reply)))
            }
            (PlanRpcResponse::Request(reply), "accepted" | "state") => {
                PlanRpcResponse::Request(PlannerReply::ByName(Box::new(reply)))
            }
            (response, _) => response,
        };
        assert_eq!(format!("{:?}", received.message.unwrap()), format!("{as_read:?}"), "{name}");
        let mut codec = new_server_codecs()(Some(version as u16 + 1));
        assert_eq!(reply(&mut codec, expected), frame.freeze(), "{name} is written otherwise");
    }
}

#[test]
fn not_run_is_a_refusal_for_a_client_of_the_first_version() {
    let mut codec = new_server_codecs()(Some(1));
    let message = PlanRpcResponse::Request(PlannerReply::NotRun { retry_after_ms: 1_200 });
    let frame = BytesMut::from(reply(&mut codec, message).as_ref());
    let read = Pin::new(&mut ClientCodec(Version::First)).deserialize(&frame).unwrap().message.unwrap();
    let PlanRpcResponse::Request(PlannerReply::FromMemory(read)) = read else { panic!("{read:?}") };
    let PlannerReply::Refused { why, retry_after_ms: 1_200 } = *read else { panic!("{read:?}") };
    assert!(why.contains("has not run"), "{why}");
}

/// Guards against two submissions that count as one call, of which the second would be answered with "not run".
#[test]
fn submissions_of_the_first_version_are_calls_of_their_own() {
    let requests = messages(LANDING_9, "request");
    let frame = request_frame(&requests.iter().find(|(name, _)| name == "submit").unwrap().1);
    let mut codec = new_server_codecs()(None);
    let mut call = || match receive(&mut codec, &frame) {
        Some(PlanRpcRequest::Request { req: PlannerRequest::Submit { call, .. }, .. }) => call,
        other => panic!("{other:?}"),
    };
    assert_ne!(call(), call());
}

/// Guards against a reply in the wrong version to a request that is the same in all versions.
#[yare::parameterized(
    landing_9 = { LANDING_9, Version::First },
    landing_10 = { LANDING_10, Version::Second },
)]
fn reply_to_first_request_of_connection_has_the_version_of_earlier_clients(fixture: &str, version: Version) {
    let requests = messages(fixture, "request");
    let frame = |name: &str| request_frame(&requests.iter().find(|(found, _)| found == name).unwrap().1);
    let new_codec = new_server_codecs();
    receive(&mut new_codec(None), &frame("report")).unwrap();
    let mut codec = new_codec(None);
    receive(&mut codec, &frame("state")).unwrap();
    let written = reply(&mut codec, PlanRpcResponse::Request(PlannerReply::Pending(300)));
    let expected = messages(fixture, "response").into_iter().find(|(name, _)| name == "pending").unwrap().1;
    assert!(written.ends_with(&expected));
    // A client of this build announces its version.
    let mut present = new_codec(Some(2));
    let newest = messages(LANDING_10, "response").into_iter().find(|(name, _)| name == "pending").unwrap().1;
    assert!(reply(&mut present, PlanRpcResponse::Request(PlannerReply::Pending(300))).ends_with(&newest));
    assert_eq!(Version::negotiated(2), Version::Second);
    assert_eq!(Version::negotiated(u16::MAX), Version::Fifth, "a later build");
    assert_eq!(version == Version::Second, written.ends_with(&newest));
}

/// Guards against a process that ends on a message that it can't read.
#[test]
fn unreadable_messages_are_errors() {
    for frame in [&[][..], &[0; 40], &[255; 40], b"GET / HTTP/1.1\r\n"] {
        assert!(receive(&mut new_server_codecs()(None), &BytesMut::from(frame)).is_none());
        for version in VERSIONS {
            assert!(Pin::new(&mut ClientCodec(version)).deserialize(&BytesMut::from(frame)).is_err());
        }
    }
    // A call of a later version: the fields end too late for both known versions.
    let mut report = messages(LANDING_10, "request").remove(0).1;
    report.push(0);
    assert!(receive(&mut new_server_codecs()(None), &request_frame(&report)).is_none());
}

/// Guards against a "no such job" that a leader of an earlier build gives from memory, taken for one that is stored.
#[yare::parameterized(
    first = { Version::First, PlannerReply::CancelNotStored },
    second = { Version::Second, PlannerReply::CancelNotStored },
    third = { Version::Third, PlannerReply::Cancelled(false) },
    fourth = { Version::Fourth, PlannerReply::ByName(Box::new(PlannerReply::Cancelled(false))) },
    fifth = { Version::Fifth, PlannerReply::Cancelled(false) },
)]
fn cancel_of_an_unknown_job_is_final_only_from_a_leader_that_stores_it(
    version: Version,
    expected: PlannerReply,
) {
    let mut codec = new_server_codecs()(Some(version as u16 + 1));
    let message = PlanRpcResponse::Request(PlannerReply::Cancelled(false));
    let frame = BytesMut::from(reply(&mut codec, message).as_ref());
    let read = Pin::new(&mut ClientCodec(version)).deserialize(&frame).unwrap().message.unwrap();
    let PlanRpcResponse::Request(read) = read else { panic!("{read:?}") };
    assert_eq!(read, expected);
}

/// Guards against a submission whose age is lost between processes of this build.
#[test]
fn submission_keeps_the_epoch_that_its_entry_knew() {
    for version in [Version::Third, Version::Fourth, Version::Fifth] {
        let req = PlannerRequest::Submit { sub: submission(), call: 1 << 62, known_epoch: Some(70_000) };
        assert_eq!(pass_on(version, req.clone()), req);
    }
}

/// Returns a request as a server of a version reads it.
fn pass_on(version: Version, req: PlannerRequest) -> PlannerRequest {
    let message = PlanRpcRequest::Request { req, wait_ms: 2_500 };
    let request = ClientMessage::Request(Request { context: context::current(), id: REQUEST, message });
    let frame = Pin::new(&mut ClientCodec(version)).serialize(&request).unwrap();
    let mut codec = new_server_codecs()(Some(version as u16 + 1));
    match receive(&mut codec, &BytesMut::from(frame.as_ref())).unwrap() {
        PlanRpcRequest::Request { req, wait_ms: 2_500 } => req,
        received => panic!("{received:?}"),
    }
}

/// Guards against a cancel that a leader of an earlier build, which knows no callers, carries out on another caller's job.
#[test]
fn calls_with_a_caller_change_nothing_at_a_leader_that_knows_none() {
    let (job, caller) = ("5c0e7a21d94b36f8".to_owned(), Caller::new("orders", "museum"));
    let state = PlannerRequest::StateFor { job: job.clone(), caller: caller.clone() };
    let cancel = PlannerRequest::CancelFor { job: job.clone(), caller };
    for version in [Version::First, Version::Second, Version::Third] {
        assert_eq!(pass_on(version, state.clone()), PlannerRequest::State(job.clone()));
        assert_eq!(pass_on(version, cancel.clone()), PlannerRequest::Pending("orders".to_owned()));
        assert_eq!(
            pass_on(version, PlannerRequest::Cancel(job.clone())),
            PlannerRequest::Cancel(job.clone())
        );
    }
    for version in [Version::Fourth, Version::Fifth] {
        assert_eq!(pass_on(version, state.clone()), state);
        assert_eq!(pass_on(version, cancel.clone()), cancel);
    }
}

/// Guards against a call that a build of landing 16 or 17 can't read, or whose queue it takes for another one.
#[test]
fn calls_with_an_address_name_their_queue_at_a_leader_that_knows_no_addresses() {
    let (job, caller) = ("5c0e7a21d94b36f8".to_owned(), Caller::new("orders", "museum"));
    let (sub, call, known_epoch) = (submission(), 1 << 62, Some(70_000));
    let cases = [
        (
            PlannerRequest::SubmitTo { sub: sub.clone(), call, known_epoch, terms: terms() },
            PlannerRequest::Submit { sub, call, known_epoch },
        ),
        (
            PlannerRequest::at(&terms(), QueueRequest::State { job: job.clone(), caller: caller.clone() }),
            PlannerRequest::StateFor { job: job.clone(), caller: caller.clone() },
        ),
        (
            PlannerRequest::at(&terms(), QueueRequest::Cancel { job: job.clone(), caller: caller.clone() }),
            PlannerRequest::CancelFor { job: job.clone(), caller },
        ),
        (
            PlannerRequest::at(&terms(), QueueRequest::Pending("orders".to_owned())),
            PlannerRequest::Pending("orders".to_owned()),
        ),
    ];
    for (req, by_name) in cases {
        assert_eq!(pass_on(Version::Fifth, req.clone()), req);
        assert_eq!(pass_on(Version::Fourth, req.clone()), by_name);
        let without_caller = match by_name {
            PlannerRequest::StateFor { job, .. } => PlannerRequest::State(job),
            PlannerRequest::CancelFor { caller, .. } => PlannerRequest::Pending(caller.queue),
            req => req,
        };
        assert_eq!(pass_on(Version::Third, req), without_caller);
    }
}

/// Guards against an answer about the job of a name, whoever's it is, taken for one about the caller's.
#[test]
fn replies_of_a_leader_that_knows_no_callers_are_by_name() {
    for expected in [PlannerReply::Accepted, PlannerReply::State(Some(JobState::Running))] {
        for version in VERSIONS {
            let mut codec = new_server_codecs()(Some(version as u16 + 1));
            let frame =
                BytesMut::from(reply(&mut codec, PlanRpcResponse::Request(expected.clone())).as_ref());
            let read = Pin::new(&mut ClientCodec(version)).deserialize(&frame).unwrap().message.unwrap();
            let PlanRpcResponse::Request(read) = read else { panic!("{read:?}") };
            match version {
                Version::Fourth | Version::Fifth => assert_eq!(read, expected),
                _ => assert_eq!(read, PlannerReply::ByName(Box::new(expected.clone()))),
            }
        }
    }
}

/// Guards against a "no such job" or a refusal of a superseded leader of an earlier build, taken for a final one.
#[test]
fn final_answers_are_from_memory_unless_their_leader_confirms_them() {
    let refused = PlannerReply::Refused { why: "full".to_owned(), retry_after_ms: 1_200 };
    for expected in [PlannerReply::State(None), refused] {
        for version in VERSIONS {
            let mut codec = new_server_codecs()(Some(version as u16 + 1));
            let frame =
                BytesMut::from(reply(&mut codec, PlanRpcResponse::Request(expected.clone())).as_ref());
            let read = Pin::new(&mut ClientCodec(version)).deserialize(&frame).unwrap().message.unwrap();
            let PlanRpcResponse::Request(read) = read else { panic!("{read:?}") };
            match version {
                Version::Third | Version::Fifth => assert_eq!(read, expected),
                // They may be wrong of a queue that has another name; the store tells.
                Version::Fourth => {
                    assert_eq!(read, PlannerReply::ByName(Box::new(expected.clone())))
                }
                _ => assert_eq!(read, PlannerReply::FromMemory(Box::new(expected.clone()))),
            }
        }
    }
}
