//! Checks what the policy service is asked about, and how often.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::{Fleet, reply, step};
use sorrelland_fleet::approvals::{PolicyReply, StepKey};
use sorrelland_fleet::desired::{Desired, Queue};
use sorrelland_fleet::incarnation::{self, WorkerId};
use sorrelland_fleet::job::{JobState, Step};

const JOB: &str = "00000000000000a1";

/// Time between two passes of these tests, in milliseconds.
const PASS_MS: u64 = 100;

/// Time that the service takes for a call in these tests, in milliseconds.
const CALL_MS: u64 = 1_000;

/// Time after which a call without a reply is repeated at the latest, in milliseconds.
const REPEAT_MS: u64 = 4_000;

type Request = (StepKey, Vec<String>);

/// Advances, starting whatever is assigned.
fn run(fleet: &mut Fleet, ms: u64) {
    for _ in 0..ms / PASS_MS {
        let assignments = fleet.advance(PASS_MS);
        fleet.mark_running(&assignments);
    }
}

/// Advances until there is a request, for at most `ms`.
fn next_request(fleet: &mut Fleet, ms: u64) -> Option<Request> {
    (0..ms / PASS_MS).find_map(|_| {
        run(fleet, PASS_MS);
        fleet.planner.next_approval_request(fleet.now)
    })
}

/// Replies to a request that only one worker is approved.
fn admit(fleet: &mut Fleet, (key, asked): &Request, worker: &str) {
    let admitted = [(worker.to_owned(), "ticket".to_owned())];
    fleet.planner.record_approvals(fleet.now, key, asked, &reply(&admitted, 600_000));
}

/// Submits a job of two subtasks that need a worker each, and has the first worker asked about approved.
fn fleet_with_full_worker(workers: usize) -> (Fleet, Request) {
    let mut fleet = Fleet::new(workers);
    fleet.submit(JOB, "advised", vec![step(2, 8)]);
    let first = next_request(&mut fleet, PASS_MS).unwrap();
    admit(&mut fleet, &first, &first.1[0]);
    (fleet, first)
}

#[test]
fn next_approval_request_names_each_worker_once() {
    let (mut fleet, first) = fleet_with_full_worker(70);
    let mut asked: BTreeSet<String> = first.1.into_iter().collect();
    while let Some(request) = next_request(&mut fleet, REPEAT_MS) {
        assert!(request.1.iter().all(|worker| asked.insert(worker.clone())), "asked twice: {request:?}");
        fleet.planner.record_approvals(fleet.now, &request.0, &request.1, &reply(&[], 600_000));
    }
    assert_eq!(asked.len(), 70);
}

#[test]
fn next_approval_request_is_repeated_without_a_reply() {
    let (mut fleet, _) = fleet_with_full_worker(40);
    let lost = next_request(&mut fleet, REPEAT_MS).unwrap();
    assert_eq!(next_request(&mut fleet, REPEAT_MS), Some(lost));
}

#[test]
fn next_approval_request_asks_nothing_while_no_worker_has_room() {
    let mut fleet = Fleet::new(40);
    fleet.submit("00000000000000ff", "plain", vec![step(39, 8)]);
    run(&mut fleet, 2 * PASS_MS);
    fleet.submit(JOB, "advised", vec![step(2, 8)]);
    let first = next_request(&mut fleet, PASS_MS).unwrap();
    // The only worker with room is named first.
    admit(&mut fleet, &first, &first.1[0]);
    assert_eq!(next_request(&mut fleet, 2 * REPEAT_MS), None);
}

#[test]
fn next_approval_request_leaves_half_of_the_time_to_first_requests() {
    let (mut fleet, _) = fleet_with_full_worker(100);
    let further = next_request(&mut fleet, REPEAT_MS).unwrap();
    run(&mut fleet, CALL_MS);
    fleet.planner.record_approvals(fleet.now, &further.0, &further.1, &reply(&[], 600_000));
    assert_eq!(next_request(&mut fleet, CALL_MS - PASS_MS), None);
    let other = "00000000000000a2";
    fleet.submit(other, "advised", vec![step(1, 1)]);
    assert_eq!(next_request(&mut fleet, PASS_MS).map(|(key, _)| key.0), Some(other.to_owned()));
}

#[test]
fn record_approvals_of_further_workers_starts_the_rest_of_the_step() {
    let (mut fleet, first) = fleet_with_full_worker(40);
    let further = next_request(&mut fleet, REPEAT_MS).unwrap();
    admit(&mut fleet, &further, &further.1[0]);
    run(&mut fleet, PASS_MS);
    let running = fleet.reports.iter().filter(|report| !report.running.is_empty());
    let workers: BTreeSet<_> =
        running.filter_map(|report| Some(report.worker.as_ref()?.incarnation.clone())).collect();
    assert_eq!(workers, BTreeSet::from([first.1[0].clone(), further.1[0].clone()]));
}

/// Lets the worker of an agent start again under its name, which it tells since.
fn restart(fleet: &mut Fleet, at: usize, started_ms: u64) {
    let worker = fleet.reports[at].worker.as_mut().unwrap();
    worker.incarnation = incarnation::name(WorkerId::of(&worker.incarnation).as_str(), Some(started_ms));
    fleet.reports[at].running.clear();
    fleet.advance(PASS_MS);
}

fn starts(fleet: &mut Fleet) -> usize {
    fleet.advance(PASS_MS).iter().map(|assigned| assigned.starts.len()).sum()
}

/// Guards against a step that never starts, since a worker that tells its start is known to the policy by its name alone.
#[test]
fn record_approvals_knows_workers_by_the_names_that_they_give() {
    let mut fleet = Fleet::new(1);
    restart(&mut fleet, 0, 5);
    fleet.submit(JOB, "advised", vec![step(1, 1)]);
    let (key, asked) = next_request(&mut fleet, PASS_MS).unwrap();
    assert_eq!(asked, ["w0@5"]);
    let reply = reply(&[("w0".to_owned(), "t".to_owned())], 3_000);
    assert_eq!(reply.admitted[0].0.as_str(), "w0");
    fleet.planner.record_approvals(fleet.now, &key, &asked, &reply);
    assert_eq!(starts(&mut fleet), 1);
}

/// Guards against a ticket or a refusal that is kept for another incarnation than the one that was asked about.
#[yare::parameterized(
    admitted = { true },
    refused = { false },
)]
fn record_approvals_leaves_out_a_worker_that_has_started_again(is_admitted: bool) {
    let mut fleet = Fleet::new(1);
    restart(&mut fleet, 0, 5);
    fleet.submit(JOB, "advised", vec![step(1, 1)]);
    let (key, asked) = next_request(&mut fleet, PASS_MS).unwrap();
    restart(&mut fleet, 0, 6);
    let admitted = [("w0".to_owned(), "t".to_owned())];
    let answer = reply(if is_admitted { &admitted } else { &[] }, 600_000);
    fleet.planner.record_approvals(fleet.now, &key, &asked, &answer);
    assert_eq!(starts(&mut fleet), 0);
    let (_, asked) = next_request(&mut fleet, REPEAT_MS).expect("the new incarnation is asked about");
    assert_eq!(asked, ["w0@6"]);
}

/// Guards against a refusal that was never given, since a row of the reply could not be read.
#[test]
fn record_approvals_refuses_no_worker_by_a_reply_that_is_partly_unreadable() {
    let mut fleet = Fleet::new(2);
    fleet.submit(JOB, "advised", vec![step(2, 8)]);
    let (key, asked) = next_request(&mut fleet, PASS_MS).unwrap();
    let answer = PolicyReply { unreadable_rows: 1, ..reply(&[("w0".to_owned(), "t".to_owned())], 600_000) };
    fleet.planner.record_approvals(fleet.now, &key, &asked, &answer);
    let log = fleet.planner.take_log().join("\n");
    assert!(log.contains(r#"admitted="w0" refused="" undecided="w1" unreadable_rows=1"#), "{log}");
    let again = next_request(&mut fleet, REPEAT_MS).expect("the other worker is asked about again");
    assert_eq!(again.1, ["w1"]);
}

/// Guards against a service that is asked again and again, as its replies are of no use.
#[yare::parameterized(
    unreadable = { 1, 600_000 },
    no_validity = { 0, 0 },
)]
fn useless_replies_are_asked_for_once_in_a_while(unreadable_rows: usize, valid_ms: u64) {
    let mut fleet = Fleet::new(1);
    fleet.submit(JOB, "advised", vec![step(1, 1)]);
    let mut asked = 0;
    for _ in 0..10_000 / PASS_MS {
        if let Some(request) = next_request(&mut fleet, PASS_MS) {
            asked += 1;
            let rows = [("w0".to_owned(), "t".to_owned())];
            let admitted = if unreadable_rows == 0 { &rows[..] } else { &[] };
            let answer = PolicyReply { unreadable_rows, ..reply(admitted, valid_ms) };
            fleet.planner.record_approvals(fleet.now, &request.0, &request.1, &answer);
        }
    }
    assert!((2..=4).contains(&asked), "asked {asked} times in 10 s");
}

/// Guards against a job that waits without end, since the service didn't know its worker yet when it was asked.
#[test]
fn refusal_is_asked_about_again_after_a_while() {
    let mut fleet = Fleet::new(1);
    fleet.submit(JOB, "advised", vec![step(1, 1)]);
    let (key, asked) = next_request(&mut fleet, PASS_MS).unwrap();
    fleet.planner.record_approvals(fleet.now, &key, &asked, &reply(&[], 3_000));
    assert_eq!(next_request(&mut fleet, 50_000), None, "a refusal holds for a while");
    let again = next_request(&mut fleet, 15_000).expect("the worker is asked about again");
    admit(&mut fleet, &again, "w0");
    assert_eq!(starts(&mut fleet), 1);
}

/// Guards against a request that names a worker twice, for the incarnation before its restart and the one since.
#[test]
fn next_approval_request_names_the_newest_incarnation_of_a_worker() {
    let mut fleet = Fleet::new(2);
    restart(&mut fleet, 0, 5);
    // The agent of the other worker reports the same name, as for a worker that has moved.
    restart(&mut fleet, 1, 9);
    fleet.reports[1].worker.as_mut().unwrap().incarnation = "w0@9".to_owned();
    fleet.advance(PASS_MS);
    fleet.submit(JOB, "advised", vec![step(1, 1)]);
    let (_, asked) = next_request(&mut fleet, PASS_MS).unwrap();
    assert_eq!(asked.iter().filter(|worker| WorkerId::of(worker).as_str() == "w0").count(), 1, "{asked:?}");
    assert!(asked.contains(&"w0@9".to_owned()), "{asked:?}");
}

/// A policy service that handles one request at a time and admits every worker that it is asked about.
struct Service {
    call_ms: u64,
    valid_ms: u64,
    /// The request in progress, and when it ends.
    current: Option<(Request, u64)>,
}

impl Service {
    /// Advances the fleet and the service; returns the steps that the planner has asked about in this time.
    fn run(&mut self, fleet: &mut Fleet, ms: u64) -> Vec<StepKey> {
        let mut asked = Vec::new();
        for _ in 0..ms / PASS_MS {
            run(fleet, PASS_MS);
            if let Some(((key, workers), _)) = self.current.take_if(|(_, until)| fleet.now >= *until) {
                let admitted: Vec<_> =
                    workers.iter().map(|worker| (worker.clone(), "t".to_owned())).collect();
                fleet.planner.record_approvals(fleet.now, &key, &workers, &reply(&admitted, self.valid_ms));
            }
            if self.current.is_none()
                && let Some(request) = fleet.planner.next_approval_request(fleet.now)
            {
                asked.push(request.0.clone());
                self.current = Some((request, fleet.now + self.call_ms));
            }
        }
        asked
    }
}

/// A fleet of six workers, two of them with the label `b` and full, with jobs that wait for room there.
fn fleet_with_waiting_steps(service: &mut Service, waiting: usize) -> Fleet {
    let mut fleet = Fleet::new(6);
    for report in &mut fleet.reports[4..] {
        report.worker.as_mut().unwrap().labels.push("b".to_owned());
    }
    let lasting = |count| Step { label: Some("b".to_owned()), long_running: true, ..step(count, 8) };
    fleet.submit("0000000000000000", "advised", vec![lasting(2)]);
    service.run(&mut fleet, 5_000);
    for number in 0..waiting {
        fleet.submit(&format!("1{number:015x}"), "advised", vec![lasting(1)]);
    }
    service.run(&mut fleet, 10_000);
    fleet
}

/// Guards against a step that never starts on idle workers, since the service is asked again and again about others that
/// have no room and lower names.
#[yare::parameterized(
    short_calls = { 200, 3_000 },
    long_calls = { 1_000, 3_000 },
    short_tickets = { 400, 1_000 },
)]
fn step_with_room_is_approved_before_those_without(call_ms: u64, valid_ms: u64) {
    let mut service = Service { call_ms, valid_ms, current: None };
    let mut fleet = fleet_with_waiting_steps(&mut service, 40);
    let wanted = ["f000000000000001", "f000000000000002"];
    for job in wanted {
        fleet.submit(job, "advised", vec![step(2, 1)]);
    }
    // The request in progress, one for each of the jobs, and a pass after each.
    let asked = service.run(&mut fleet, 3 * (call_ms + 2 * PASS_MS));
    for job in wanted {
        assert!(asked.iter().any(|(asked, ..)| asked == job), "{asked:?}");
        assert_eq!(fleet.planner.state(job), Some(JobState::Running), "{job}");
    }
}

/// Guards against a step with room that waits for others with room, which are asked about again and again and can't start:
/// all are served in turn, whatever their names.
#[test]
fn steps_with_room_are_asked_about_in_turn() {
    let mut service = Service { call_ms: 500, valid_ms: 0, current: None };
    let mut fleet = Fleet::new(4);
    let jobs: Vec<String> = (0..8).map(|number| format!("{number:016x}")).collect();
    for job in &jobs {
        fleet.submit(job, "advised", vec![step(1, 1)]);
    }
    let asked = service.run(&mut fleet, 16 * 600);
    for job in &jobs {
        let count = asked.iter().filter(|(asked, ..)| asked == job).count();
        assert!((1..=3).contains(&count), "{job} is asked about {count} times: {asked:?}");
    }
}

/// Guards against a guaranteed job that gets no approval in time, since no worker has room for it before others are stopped.
#[test]
fn guaranteed_step_without_room_is_approved_first() {
    let mut service = Service { call_ms: 300, valid_ms: 3_000, current: None };
    let mut fleet = fleet_with_waiting_steps(&mut service, 40);
    let urgent = Queue { needs_approval: true, ..common::queue("urgent", 0) };
    let mut queues = common::desired().queues;
    queues.retain(|queue| queue.name != "urgent");
    queues.push(urgent);
    fleet.planner.set_desired(Arc::new(Desired { version: 2, queues, ..common::desired() }));
    fleet.submit(JOB, "urgent", vec![Step { label: Some("b".to_owned()), ..step(1, 8) }]);
    let asked = service.run(&mut fleet, 2 * (300 + PASS_MS));
    assert!(asked.iter().any(|(job, ..)| job == JOB), "{asked:?}");
}
