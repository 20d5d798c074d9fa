//! Tests an agent's state of its worker, without a network.

use sorrelland_control::lease::WorkerState;
use sorrelland_fleet::Task;
use sorrelland_fleet::assignments::{Assignments, Stop};
use sorrelland_fleet::report::{Running, WorkerInfo};
use sorrelland_platform::worker::{Announcement, Listing};

const INCARNATION: &str = "w-1";
const MAX_LEASE_MS: u64 = 6_000;
const STOP_MS: u64 = 400;

fn announcement(sequence: u64) -> Announcement {
    let info = WorkerInfo {
        incarnation: INCARNATION.to_owned(),
        service: "svc".to_owned(),
        ..WorkerInfo::default()
    };
    Announcement { info, sequence }
}

fn task() -> Task {
    Task { job: "00000000000000a1".to_owned(), occurrence: 0, step: 0, index: 0 }
}

fn listing(clock_ms: u64) -> Listing {
    let run = Running { task: task(), run: 1, saved: String::new(), percent: 10, measurement: 0 };
    Listing { clock_ms, running: vec![run], ended: Vec::new() }
}

fn stop_assignments(number: u64) -> Assignments {
    let stops = vec![Stop { task: task(), run: 1 }];
    Assignments {
        incarnation: INCARNATION.to_owned(),
        number,
        grant_ms: 5_000,
        stops,
        ..Assignments::default()
    }
}

#[test]
fn expire_leases_waits_for_leases_of_an_earlier_agent_incarnation() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.apply_announcement(10_000, announcement(7));
    let poll = state.begin_poll();
    state.apply_listing(10_010, poll, INCARNATION, listing(500));
    // The earlier incarnation may have extended the lease just before it ended.
    assert!(!state.expire_leases(10_000 + MAX_LEASE_MS));
    assert_eq!(state.build_report("agent", 1, 1).not_started, Vec::new());
    assert!(state.expire_leases(10_000 + 2 * MAX_LEASE_MS));
    assert_eq!(state.build_report("agent", 1, 2).not_started.len(), 1);
}

#[test]
fn expire_leases_ends_runs_of_a_worker_that_no_longer_answers() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.apply_announcement(0, announcement(1));
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, listing(500));
    let silent_from = 10;
    let mut number = 0;
    let expired = (silent_from..silent_from + 4 * MAX_LEASE_MS).step_by(150).any(|now| {
        number += 1;
        let grant = Assignments {
            incarnation: INCARNATION.to_owned(),
            number,
            grant_ms: 5_000,
            ..Assignments::default()
        };
        state.apply_assignments(now, 1, Some(grant));
        // The poll that carries the lease is not answered.
        state.begin_poll();
        state.extend_lease(now);
        state.expire_leases(now)
    });
    assert!(expired, "the run of a lost worker is never given up");
}

#[test]
fn due_stops_leaves_out_a_stop_in_progress() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.apply_announcement(0, announcement(1));
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, listing(500));
    state.apply_assignments(20, 1, Some(stop_assignments(1)));
    let stops = state.due_stops(20);
    assert_eq!(stops, vec![Stop { task: task(), run: 1 }]);
    state.record_stop_answer(INCARNATION, &stops[0], 30);
    state.expect_absence(INCARNATION, &task(), 1, "stopped");
    // The run is still listed: its stop takes a while.
    let poll = state.begin_poll();
    state.apply_listing(40, poll, INCARNATION, listing(540));
    state.apply_assignments(50, 1, Some(stop_assignments(2)));
    assert_eq!(state.due_stops(60), Vec::new());
    assert_eq!(state.due_stops(30 + STOP_MS), Vec::new());
    // The stop is repeated in case the worker has lost it.
    assert_eq!(state.due_stops(5_000), stops);
}
