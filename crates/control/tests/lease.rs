//! Tests an agent's state of its worker, without a network.

use sorrelland_control::lease::WorkerState;
use sorrelland_control::presence::{AnnouncementEffect, Presence};
use sorrelland_fleet::assignments::{Assignments, Start, Stop};
use sorrelland_fleet::report::{Running, WORKER_CRASHED, WorkerInfo};
use sorrelland_fleet::{Resources, Task};
use sorrelland_platform::worker::{Announcement, Listing};

const INCARNATION: &str = "w-1";
const MAX_LEASE_MS: u64 = 6_000;
const STOP_MS: u64 = 400;

/// Time from an answered cancel until none of its job's subtasks starts any more.
const CANCEL_MS: u64 = 3_000;

fn announcement(sequence: u64) -> Announcement {
    let info = WorkerInfo {
        incarnation: INCARNATION.to_owned(),
        service: "svc".to_owned(),
        ..WorkerInfo::default()
    };
    Announcement { info, sequence, ..Announcement::default() }
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
    state.adopt_incarnation(10_000, announcement(7));
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
    state.adopt_incarnation(0, announcement(1));
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
    assert!(state.build_report("agent", 1, 1).worker.unwrap().draining, "work is placed on a lost worker");
    let poll = state.begin_poll();
    state.apply_listing(30_000, poll, INCARNATION, listing(600));
    assert!(!state.build_report("agent", 1, 2).worker.unwrap().draining);
}

#[test]
fn due_stops_leaves_out_a_stop_in_progress() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
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

fn other_announcement(sequence: u64) -> Announcement {
    let mut other = announcement(sequence);
    other.info.incarnation = "w-2".to_owned();
    other
}

#[test]
fn apply_announcement_names_its_effect() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    assert_eq!(state.apply_announcement(0, &announcement(2)), AnnouncementEffect::Unconfirmed);
    state.adopt_incarnation(0, announcement(2));
    assert_eq!(state.apply_announcement(0, &announcement(3)), AnnouncementEffect::Unchanged);
    assert_eq!(state.apply_announcement(0, &announcement(3)), AnnouncementEffect::RepeatedSequence);
    assert_eq!(state.apply_announcement(0, &announcement(2)), AnnouncementEffect::OlderSequence);
    let mut draining = announcement(4);
    draining.info.draining = true;
    assert_eq!(state.apply_announcement(0, &draining), AnnouncementEffect::Updated);
    assert!(state.end_incarnation(INCARNATION));
    assert!(!state.end_incarnation(INCARNATION));
    assert_eq!(state.apply_announcement(0, &announcement(5)), AnnouncementEffect::Unconfirmed);
}

#[test]
fn apply_announcement_keeps_runs_until_another_incarnation_answers() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, listing(500));
    assert_eq!(state.apply_announcement(0, &other_announcement(9)), AnnouncementEffect::Unconfirmed);
    assert_eq!((state.incarnation(), state.summary(20).runs), (Some(INCARNATION), 1));
    state.adopt_incarnation(30, other_announcement(9));
    assert_eq!((state.incarnation(), state.summary(30).runs), (Some("w-2"), 0));
}

#[test]
fn summary_shows_what_an_agent_gives_up() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    assert_eq!(
        state.summary(0).to_string(),
        "current=\"\" current_seq=0 runs=0 lease_left_ms=0 grant_left_ms=0 presence=present"
    );
    state.adopt_incarnation(1_000, announcement(7));
    let poll = state.begin_poll();
    state.apply_listing(1_000, poll, INCARNATION, listing(500));
    state.apply_assignments(1_000, 1, Some(stop_assignments(1)));
    let summary = state.summary(2_000);
    assert_eq!((summary.current.as_str(), summary.sequence, summary.runs), (INCARNATION, 7, 1));
    assert_eq!((summary.lease_left_ms, summary.grant_left_ms), (MAX_LEASE_MS - 1_000, 4_000));
    assert!(state.record_departure_notice(INCARNATION));
    assert!(!state.record_departure_notice("w-2"));
    assert_eq!((state.summary(2_000).runs, state.summary(2_000).presence), (1, Presence::Leaving));
    assert!(state.record_refused_connection(0, INCARNATION));
    assert_eq!((state.summary(2_000).runs, state.summary(2_000).presence), (0, Presence::Left));
}

#[test]
fn record_departure_notice_keeps_runs_until_the_worker_ends() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, listing(500));
    state.apply_assignments(20, 1, Some(stop_assignments(1)));
    // A refused connection alone doesn't show that the worker has ended.
    assert!(!state.record_refused_connection(0, INCARNATION));
    assert!(state.record_departure_notice(INCARNATION));
    assert_eq!(state.build_report("agent", 1, 1).not_started, Vec::new());
    assert_eq!(state.extend_lease(30), None);
    assert_eq!(state.apply_announcement(0, &announcement(2)), AnnouncementEffect::Unconfirmed);
    assert_eq!(state.extend_lease(35), None, "a check-in that came late brings a leaving worker back");
    state.adopt_incarnation(40, announcement(2));
    assert!(state.extend_lease(40).is_some());
    assert!(!state.record_refused_connection(0, INCARNATION));
    state.record_departure_notice(INCARNATION);
    assert!(state.record_refused_connection(0, INCARNATION));
    assert_eq!(state.build_report("agent", 1, 2).not_started.len(), 1);
    assert!(!state.needs_poll());
    assert_eq!(state.apply_announcement(0, &announcement(3)), AnnouncementEffect::Unconfirmed);
    assert!(state.build_report("agent", 1, 3).worker.unwrap().draining);
}

fn start_assignments(number: u64, runs: &[u64]) -> Assignments {
    let start = |run: &u64| Start {
        task: task(),
        run: *run,
        spec: String::new(),
        saved: String::new(),
        ticket: None,
    };
    Assignments {
        incarnation: INCARNATION.to_owned(),
        number,
        grant_ms: 5_000,
        starts: runs.iter().map(start).collect(),
        ..Assignments::default()
    }
}

/// Returns the state of a worker that has run 1 and answers nothing from time 10 on, and has been polled until all its
/// leases were over; run 2 is assigned shortly before.
fn silent_worker() -> (WorkerState, u64) {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, listing(500));
    let mut number = 0;
    for now in (10..4 * MAX_LEASE_MS).step_by(150) {
        number += 1;
        let runs: &[u64] = if now > MAX_LEASE_MS + 1_000 { &[2] } else { &[] };
        state.apply_assignments(now, 1, Some(start_assignments(number, runs)));
        for start in state.due_starts(now) {
            if state.extend_lease(now).is_some() {
                state.record_start_attempt(&start);
            }
        }
        state.begin_poll();
        state.extend_lease(now);
        if state.expire_leases(now) {
            return (state, now);
        }
    }
    panic!("the leases never end");
}

#[test]
fn expire_leases_reports_assigned_start_that_was_never_sent() {
    let (state, _) = silent_worker();
    let not_started = state.build_report("agent", 1, 1).not_started;
    assert!(not_started.iter().any(|entry| entry.run == 2), "run 2 waits for ever: {not_started:?}");
}

#[test]
fn record_refused_connection_reports_assigned_start_that_was_never_sent() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    state.record_departure_notice(INCARNATION);
    // The planner has placed the run before it hears of the notice.
    state.apply_assignments(20, 1, Some(start_assignments(1, &[2])));
    assert_eq!(state.due_starts(20), Vec::new());
    assert!(state.record_refused_connection(0, INCARNATION));
    let not_started = state.build_report("agent", 1, 1).not_started;
    assert!(not_started.iter().any(|entry| entry.run == 2), "run 2 waits for ever: {not_started:?}");
}

#[test]
fn extend_lease_waits_for_stop_of_start_that_may_still_be_executed() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    state.apply_listing(10, 1, INCARNATION, Listing { running: Vec::new(), ..listing(500) });
    state.apply_assignments(20, 1, Some(start_assignments(1, &[2])));
    assert!(state.extend_lease(30).is_some());
    // The start is not answered, and the planner is out of reach until it has given the run up.
    state.record_start_attempt(&start_assignments(1, &[2]).starts[0]);
    assert!((1_000..9_000).step_by(150).any(|now| state.expire_leases(now)));
    // The worker and the planner are back, less than twelve seconds after the start.
    state.apply_listing(9_000, 2, INCARNATION, Listing { running: Vec::new(), ..listing(9_500) });
    state.apply_assignments(9_010, 1, Some(start_assignments(2, &[])));
    let stops = state.due_stops(9_020);
    assert!(
        state.extend_lease(9_020).is_none() || stops.iter().any(|stop| stop.run == 2),
        "run 2 may start late under the new lease"
    );
}

#[test]
fn apply_announcement_of_another_service_keeps_the_workers_own_valid() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    let mut other = announcement(u64::MAX);
    other.info.service = "elsewhere".to_owned();
    other.info.draining = true;
    state.apply_announcement(0, &other);
    state.apply_announcement(0, &announcement(2));
    let worker = state.build_report("agent", 1, 1).worker.unwrap();
    assert_eq!((worker.service.as_str(), worker.draining), ("svc", false));
}

fn announce_service(state: &mut WorkerState, now: u64, sequence: u64, service: &str) -> String {
    let mut announced = announcement(sequence);
    announced.info.service = service.to_owned();
    state.apply_announcement(now, &announced);
    state.build_report("agent", 1, 1).worker.unwrap().service
}

/// Guards against a worker that is hidden for good by another writer's announcement that came before its own.
#[test]
fn apply_announcement_of_the_workers_own_service_replaces_that_of_another_writer() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    let mut other = announcement(1);
    other.info.service = "elsewhere".to_owned();
    state.adopt_incarnation(0, other);
    announce_service(&mut state, 1_500, 1, "svc");
    assert_eq!(announce_service(&mut state, 3_000, 2, "svc"), "svc");
    assert_eq!(announce_service(&mut state, 4_500, 3, "svc"), "svc");
}

/// Guards against the same if the other writer repeats its announcement before the worker sends one.
#[test]
fn apply_announcement_replaces_a_service_that_only_another_writer_has_repeated() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    let mut other = announcement(1);
    other.info.service = "elsewhere".to_owned();
    state.adopt_incarnation(0, other);
    announce_service(&mut state, 10, 2, "elsewhere");
    let services = [1_500, 3_000, 4_500].map(|now| announce_service(&mut state, now, now, "svc"));
    assert_eq!(services, ["elsewhere", "elsewhere", "svc"]);
}

/// Guards against a writer that takes a worker from its service by many announcements.
#[test]
fn apply_announcement_keeps_the_service_that_the_worker_goes_on_announcing() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    announce_service(&mut state, 1_500, 2, "svc");
    let mut sequence = 1_000;
    for now in (1_510..20_000).step_by(100) {
        sequence += 1;
        assert_eq!(announce_service(&mut state, now, sequence, "elsewhere"), "svc", "at {now}");
        if now % 1_500 == 10 {
            announce_service(&mut state, now + 1, now / 1_500 + 2, "svc");
        }
    }
}

#[test]
fn apply_announcement_of_silent_worker_takes_no_work() {
    let (mut state, now) = silent_worker();
    // The worker announces itself and still answers no call.
    state.apply_announcement(0, &announcement(2));
    assert_eq!(state.extend_lease(now), None);
    assert!(state.build_report("agent", 1, 1).worker.unwrap().draining, "work is placed that is never sent");
}

#[test]
fn build_report_tells_for_how_long_nothing_answered_before_an_incarnation() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    assert_eq!(state.build_report("agent", 1, 1).silent_before_ms, None);
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, listing(500));
    state.record_unanswered_call(1_000, INCARNATION);
    state.record_refused_connection(1_150, INCARNATION);
    state.end_incarnation(INCARNATION);
    state.adopt_incarnation(4_000, other_announcement(1));
    assert_eq!(state.build_report("agent", 1, 2).silent_before_ms, Some(3_000));
}

/// Returns why the run of a worker is gone whose calls have failed until its leases ended.
fn reason_after_silence(refused: bool) -> String {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, listing(500));
    state.extend_lease(20);
    for now in (20..30_000).step_by(150) {
        if refused {
            state.record_refused_connection(now, INCARNATION);
        } else {
            state.record_unanswered_call(now, INCARNATION);
        }
        if state.expire_leases(now) {
            break;
        }
    }
    let report = state.build_report("agent", 1, 1);
    report.not_started.first().map(|entry| entry.reason.clone()).unwrap_or_default()
}

#[test]
fn expire_leases_tells_a_crashed_worker_from_one_that_is_cut_off() {
    assert_eq!(reason_after_silence(true), WORKER_CRASHED);
    assert_ne!(reason_after_silence(false), WORKER_CRASHED);
}

#[test]
fn due_starts_waits_for_assignments_that_know_of_a_shrunk_capacity() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    let of_size = |sequence: u64, accelerators: i64| {
        let mut announcement = announcement(sequence);
        announcement.info.capacity = Resources::new(128_000, 262_144, accelerators);
        announcement
    };
    state.adopt_incarnation(0, of_size(1, 8));
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, Listing { running: Vec::new(), ..listing(500) });
    let assigned = |number: u64, accelerators: i64| Assignments {
        incarnation: INCARNATION.to_owned(),
        number,
        grant_ms: 5_000,
        capacity: Resources::new(128_000, 262_144, accelerators),
        starts: vec![Start { task: task(), run: 1, spec: String::new(), saved: String::new(), ticket: None }],
        ..Assignments::default()
    };
    state.apply_assignments(20, 1, Some(assigned(1, 8)));
    assert_eq!(state.due_starts(20).len(), 1);
    assert_eq!(state.apply_announcement(0, &of_size(2, 4)), AnnouncementEffect::Updated);
    assert_eq!(state.due_starts(30), Vec::new());
    state.apply_assignments(40, 1, Some(assigned(2, 4)));
    assert_eq!(state.due_starts(40).len(), 1);
}

/// Returns an announcement with the given number of accelerators.
fn of_size(sequence: u64, accelerators: i64) -> Announcement {
    let mut announcement = announcement(sequence);
    announcement.info.capacity = Resources::new(128_000, 262_144, accelerators);
    announcement
}

fn accelerators(state: &WorkerState) -> i64 {
    state.build_report("agent", 1, 1).worker.unwrap().capacity.accelerators
}

#[test]
fn apply_announcement_with_an_odd_sequence_does_not_shut_the_worker_out() {
    const HEARTBEAT_MS: u64 = 1_500;
    let odd_sequences = [u64::MAX, u64::MAX - 1, i64::MAX as u64, (1 << 53) - 1, 1_000_000, 700, 104, 101];
    for odd in odd_sequences.into_iter().chain([0]) {
        let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
        // An agent that has just started may hear of the odd one first.
        let first = if odd == 0 { u64::MAX } else { 100 };
        state.adopt_incarnation(0, of_size(first, 8));
        if odd > 0 {
            state.apply_announcement(100, &of_size(odd, 1));
        }
        for (beat, sequence) in (1..).zip(101..105) {
            state.apply_announcement(beat * HEARTBEAT_MS, &of_size(sequence, 4));
        }
        assert_eq!(accelerators(&state), 4, "the worker's own announcements are ignored after {odd}");
        let mut draining = of_size(105, 4);
        draining.info.draining = true;
        assert_eq!(state.apply_announcement(8_000, &draining), AnnouncementEffect::Updated, "after {odd}");
    }
}

#[test]
fn apply_announcement_with_a_jump_changes_nothing_before_the_next_one() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, of_size(100, 8));
    let jump = 1 << 50;
    assert_eq!(state.apply_announcement(10, &of_size(jump, 1)), AnnouncementEffect::SequenceJump);
    assert_eq!(state.apply_announcement(20, &of_size(jump, 1)), AnnouncementEffect::SequenceJump);
    assert_eq!((accelerators(&state), state.summary(20).sequence), (8, 100));
    assert_eq!(state.apply_announcement(1_500, &of_size(jump + 1, 1)), AnnouncementEffect::Updated);
    assert_eq!(accelerators(&state), 1);
}

#[test]
fn apply_announcement_ignores_late_ones_of_a_worker_that_goes_on() {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, of_size(100, 8));
    // A connection that was cut delivers them in a burst, then one after each of the worker's own.
    for late in 50..60 {
        let effect = state.apply_announcement(1_000, &of_size(late, 1));
        assert_eq!(effect, AnnouncementEffect::OlderSequence);
    }
    for beat in 1..20 {
        let now = beat * 1_500;
        assert_eq!(state.apply_announcement(now, &of_size(60 + beat, 1)), AnnouncementEffect::OlderSequence);
        assert_eq!(state.apply_announcement(now, &of_size(100 + beat, 8)), AnnouncementEffect::Unchanged);
    }
    assert_eq!(accelerators(&state), 8);
}

#[test]
fn extend_lease_with_numbers_at_their_limits_ends_no_agent() {
    for number in [0, 1, 1 << 53, i64::MAX as u64, u64::MAX - 1, u64::MAX] {
        let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
        state.adopt_incarnation(1_000, announcement(1));
        let poll = state.begin_poll();
        state.apply_listing(1_000, poll, INCARNATION, listing(number));
        state.apply_assignments(
            1_000,
            1,
            Some(Assignments { grant_ms: number, acknowledged: number, ..stop_assignments(number) }),
        );
        state.record_clock(1_000, number);
        state.extend_lease(1_500);
        state.due_starts(1_500);
        state.due_stops(1_500);
        state.expire_leases(20_000);
        state.summary(20_000);
    }
}

/// Returns the state of a present worker without runs.
fn idle_worker() -> WorkerState {
    let mut state = WorkerState::new(MAX_LEASE_MS, STOP_MS);
    state.adopt_incarnation(0, announcement(1));
    let poll = state.begin_poll();
    state.apply_listing(10, poll, INCARNATION, Listing { running: Vec::new(), ..listing(500) });
    state
}

/// Guards against a start after a cancel of which the agent doesn't hear, since the leader ends once it has answered it.
#[test]
fn due_starts_ends_in_time_for_a_cancel_that_the_agent_does_not_hear_of() {
    let mut state = idle_worker();
    let sent = 1_000;
    state.apply_assignments(sent, 1, Some(start_assignments(1, &[2])));
    let start = &start_assignments(1, &[2]).starts[0];
    // A healthy leader answers the next report before this.
    assert!(state.is_due(sent + 1_500, start));
    for now in (sent + CANCEL_MS..sent + 8_000).step_by(50) {
        assert_eq!(state.due_starts(now), Vec::new(), "{} ms after the report", now - sent);
        assert!(!state.is_due(now, start), "{} ms after the report", now - sent);
    }
    // The next leader assigns it again.
    state.apply_assignments(sent + 5_000, 2, Some(start_assignments(1, &[2])));
    assert!(state.is_due(sent + 5_010, start));
}

/// Guards against assignments of a new leader that count as being as recent as the last reply of the one before.
#[test]
fn due_starts_ends_in_time_for_a_cancel_at_the_next_leader() {
    let mut state = idle_worker();
    state.apply_assignments(2_000, 1, Some(start_assignments(9, &[2])));
    // The report was sent first, but answered last.
    state.apply_assignments(1_000, 2, Some(start_assignments(1, &[2])));
    assert_eq!(state.due_starts(2_500).len(), 1);
    assert_eq!(state.due_starts(1_000 + CANCEL_MS), Vec::new());
}
