//! Tests for how long ended jobs are kept.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use sorrelland_fleet::job::{JobState, Outcome};
use sorrelland_fleet::planner::{Admission, MAX_ENDED_JOBS, Planner};
use sorrelland_fleet::record;
use sorrelland_fleet::report::EndReason;

const JOB: &str = "00000000000000a1";

const HOUR_MS: i64 = 3_600_000;

/// Replaces the planner by one that knows what is stored.
fn take_over(fleet: &mut Fleet) {
    let records = fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let (jobs, findings) = record::read(records);
    assert!(findings.is_empty(), "{findings:?}");
    fleet.planner = Planner::new(TIMING, Arc::new(desired()), jobs, fleet.now);
}

/// Submits a job and lets it end.
fn end_job(fleet: &mut Fleet, job: &str, outcome: Outcome) {
    fleet.submit(job, "plain", vec![step(1, 1)]);
    fleet.store();
    if outcome == Outcome::Cancelled {
        fleet.planner.cancel(fleet.now, fleet.wall(), job);
    } else {
        let assigned = fleet.advance(50);
        fleet.mark_running(&assigned);
        fleet.advance(50);
        fleet.end_runs(job, EndReason::Done);
    }
    fleet.advance(50);
    assert_eq!(fleet.planner.state(job), Some(JobState::Ended(outcome)));
}

/// Guards against a job that runs again, or is unknown to its caller, soon after its end, and against one that is kept for
/// hours, since the clocks of two leaders differ or one steps.
#[yare::parameterized(
    next_leader_ahead = { Outcome::Completed, HOUR_MS, true },
    next_leader_ahead_after_cancel = { Outcome::Cancelled, HOUR_MS, true },
    next_leader_behind = { Outcome::Completed, -HOUR_MS, true },
    step_ahead = { Outcome::Completed, HOUR_MS, false },
    step_ahead_after_cancel = { Outcome::Cancelled, HOUR_MS, false },
    step_behind = { Outcome::Completed, -HOUR_MS, false },
)]
fn tick_keeps_ended_jobs_for_the_retention_whatever_the_wall_clock(
    outcome: Outcome,
    ahead_ms: i64,
    is_taken_over: bool,
) {
    let mut fleet = Fleet::new(1);
    fleet.advance(2 * HOUR_MS as u64);
    end_job(&mut fleet, JOB, outcome);
    fleet.wall_ahead_ms = ahead_ms;
    if is_taken_over {
        take_over(&mut fleet);
    }
    fleet.advance(TIMING.ended_retention_ms - 1_000);
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(outcome)));
    let mut repeated = fleet.clone();
    let admission = repeated.submit(JOB, "plain", vec![step(1, 1)]);
    assert!(matches!(admission, Admission::Accepted { .. }), "{admission:?}");
    let assigned = repeated.advance(50);
    assert!(assigned.iter().all(|assigned| assigned.starts.is_empty()), "{assigned:?}");
    fleet.advance(1_001);
    assert!(fleet.stored.keys().all(|key| !key.contains(JOB)), "{:?}", fleet.stored.keys());
    assert_eq!(fleet.planner.state(JOB), None);
}

/// Guards against a job that a leader in office forgets earlier than its successors would.
#[test]
fn takeover_begins_the_retention_anew() {
    let mut fleet = Fleet::new(1);
    end_job(&mut fleet, JOB, Outcome::Completed);
    for _ in 0..3 {
        fleet.advance(TIMING.ended_retention_ms - 1_000);
        take_over(&mut fleet);
    }
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Completed)));
    fleet.advance(TIMING.ended_retention_ms + 1);
    assert!(fleet.stored.keys().all(|key| !key.contains(JOB)), "{:?}", fleet.stored.keys());
}

/// Guards against a store and takeovers that grow for as long as hand-overs are more frequent than the retention is long.
#[test]
fn frequent_takeovers_keep_a_limited_number_of_ended_jobs() {
    let mut fleet = Fleet::new(1);
    let ended = |fleet: &Fleet| fleet.stored.keys().filter(|key| key.starts_with("j/")).count();
    for number in 0..MAX_ENDED_JOBS + 10 {
        let job = format!("{:016x}", 0xb000 + number);
        fleet.submit(&job, "plain", vec![step(1, 1)]);
        fleet.store();
        fleet.planner.cancel(fleet.now, fleet.wall(), &job);
        fleet.store();
        fleet.now += 1;
    }
    for _ in 0..3 {
        take_over(&mut fleet);
        fleet.advance(60_000);
        assert_eq!(ended(&fleet), MAX_ENDED_JOBS + 10, "a job within the retention is forgotten");
    }
    end_job(&mut fleet, JOB, Outcome::Completed);
    fleet.advance(60_000);
    take_over(&mut fleet);
    fleet.advance(0);
    assert_eq!(ended(&fleet), MAX_ENDED_JOBS);
    let is_stored = |number: usize| fleet.stored.contains_key(&format!("j/{:016x}", 0xb000 + number));
    assert!(!is_stored(10) && is_stored(11), "the oldest ones go");
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Completed)));
}
