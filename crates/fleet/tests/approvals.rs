//! Checks what the policy service is asked about, and how often.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::BTreeSet;

use common::{Fleet, step};
use sorrelland_fleet::approvals::StepKey;

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
    fleet.planner.record_approvals(fleet.now, key, asked, &admitted, 600_000);
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
        fleet.planner.record_approvals(fleet.now, &request.0, &request.1, &[], 600_000);
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
    fleet.planner.record_approvals(fleet.now, &further.0, &further.1, &[], 600_000);
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
