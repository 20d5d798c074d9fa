//! Tests cancels that arrive before the submission of their job.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use sorrelland_fleet::cancels::{Cancellation, MAX_CANCELS, StoredCancel};
use sorrelland_fleet::job::{JobState, Outcome};
use sorrelland_fleet::planner::{Admission, Planner};
use sorrelland_fleet::record;

const JOB: &str = "00000000000000a1";

fn cancel(fleet: &mut Fleet, job: &str) -> Cancellation {
    fleet.planner.cancel(fleet.now, fleet.wall(), job)
}

/// Replaces the planner by one that knows what is stored.
fn take_over(fleet: &mut Fleet) {
    let records = fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let (jobs, findings) = record::read(records.clone());
    let (cancels, unreadable) = record::read_cancels(records, fleet.wall());
    assert!(findings.is_empty() && unreadable.is_empty(), "{findings:?} {unreadable:?}");
    fleet.planner = Planner::new(TIMING, Arc::new(desired()), jobs, fleet.now).with_cancels(cancels);
}

fn submit(fleet: &mut Fleet) {
    let admission = fleet.submit(JOB, "plain", vec![step(1, 1)]);
    assert!(matches!(admission, Admission::Accepted { .. }), "{admission:?}");
    fleet.store();
}

/// Guards against a job that runs though its cancel was answered before its submission arrived.
#[yare::parameterized(
    same_leader = { false },
    next_leader = { true },
)]
fn submit_after_cancel_starts_nothing(is_taken_over: bool) {
    let mut fleet = Fleet::new(1);
    assert!(matches!(cancel(&mut fleet, JOB), Cancellation::Unknown { .. }));
    fleet.store();
    if is_taken_over {
        take_over(&mut fleet);
    }
    assert_eq!(fleet.planner.state(JOB), None, "a job that nobody submitted is shown");
    submit(&mut fleet);
    let assignments = fleet.advance(2_000);
    assert!(assignments.iter().all(|assigned| assigned.starts.is_empty()), "{assignments:?}");
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Cancelled)));
    assert!(matches!(cancel(&mut fleet, JOB), Cancellation::Known { .. }));
    assert_eq!(fleet.planner.live_jobs(), 0);
    // The next leader may be of a build that knows no cancels of unknown jobs.
    take_over(&mut fleet);
    fleet.planner = fleet.planner.with_cancels(Default::default());
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Cancelled)));
}

/// Guards against a job that runs on after its cancel was answered, since a leader of an earlier build, which ignores stored
/// cancels of unknown jobs, has accepted it in between.
#[test]
fn job_that_an_earlier_build_accepted_after_its_cancel_ends_at_the_next_leader() {
    let mut fleet = Fleet::new(1);
    cancel(&mut fleet, JOB);
    fleet.store();
    take_over(&mut fleet);
    fleet.planner = fleet.planner.with_cancels(Default::default());
    submit(&mut fleet);
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Queued));
    take_over(&mut fleet);
    let assignments = fleet.advance(2_000);
    assert!(assignments.iter().all(|assigned| assigned.starts.is_empty()), "{assignments:?}");
    fleet.store();
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Cancelled)));
    assert_eq!(fleet.planner.live_jobs(), 0);
}

/// Guards against a job that can't be submitted any more since its name was cancelled long before.
#[test]
fn tick_forgets_cancels_and_deletes_their_records() {
    let mut fleet = Fleet::new(1);
    cancel(&mut fleet, JOB);
    fleet.store();
    assert_eq!(fleet.stored.len(), 1);
    fleet.advance(TIMING.ended_retention_ms + 1);
    assert!(fleet.stored.keys().all(|key| !key.contains(JOB)), "{:?}", fleet.stored.keys());
    submit(&mut fleet);
    assert_ne!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Cancelled)));
}

/// Guards against callers that fill the store by cancelling names at will, and thereby keep others from cancelling jobs.
#[test]
fn cancel_keeps_a_limited_number_of_unknown_names() {
    let mut fleet = Fleet::new(1);
    submit(&mut fleet);
    for number in 0..MAX_CANCELS + 100 {
        cancel(&mut fleet, &format!("{:016x}", 0xb000 + number));
    }
    fleet.store();
    let kept = fleet.stored.keys().filter(|key| key.starts_with("c/")).count();
    assert_eq!(kept, MAX_CANCELS);
    let refused = cancel(&mut fleet, "00000000000000ff");
    assert!(matches!(refused, Cancellation::TooMany { retry_after_ms: 1.. }), "{refused:?}");
    // What is kept is answered as before.
    assert!(matches!(cancel(&mut fleet, &format!("{:016x}", 0xb000)), Cancellation::Unknown { .. }));
    assert!(matches!(cancel(&mut fleet, JOB), Cancellation::Known { .. }));
}

/// Guards against a cancel that is forgotten when the store has rejected its append.
#[test]
fn return_changes_keeps_cancels_for_the_next_append() {
    let mut fleet = Fleet::new(1);
    let Cancellation::Unknown { change } = cancel(&mut fleet, JOB) else { panic!("the job is unknown") };
    assert!(fleet.planner.take_changes().is_some());
    fleet.planner.return_changes();
    fleet.store();
    assert!(fleet.planner.stored() > change);
    assert!(fleet.stored.contains_key(&format!("c/{JOB}")));
}

/// Guards against an answered cancel that is dropped since its record can't be read.
#[test]
fn read_cancels_keeps_unreadable_ones() {
    let rows: [(&str, &[u8]); 2] =
        [("c/00000000000000a1", b"{"), ("c/00000000000000a2", b"{\"at_ms\":18446744073709551615,\"x\":[]}")];
    let (cancels, unreadable) = record::read_cancels(rows.into_iter(), 5_000);
    let kept: Vec<_> = cancels.iter().map(|((_, caller), cancel)| (caller.clone(), cancel.clone())).collect();
    let unknown = || (None, StoredCancel { at_ms: 5_000, address: None, is_apart: false });
    assert_eq!(kept, [unknown(), unknown()]);
    assert_eq!(unreadable.len(), 1);
    // Builds that don't know them read the jobs beside them.
    let (jobs, findings) = record::read(rows.into_iter());
    assert!(jobs.is_empty() && findings.is_empty(), "{findings:?}");
}

const HOUR_MS: i64 = 3_600_000;

/// Guards against a cancel that is forgotten at once, or kept for hours, since the clocks of two leaders differ or one steps.
#[yare::parameterized(
    next_leader_ahead = { HOUR_MS, true },
    next_leader_behind = { -HOUR_MS, true },
    step_ahead = { HOUR_MS, false },
    step_behind = { -HOUR_MS, false },
)]
fn tick_keeps_cancels_for_the_retention_whatever_the_wall_clock(ahead_ms: i64, is_taken_over: bool) {
    let mut fleet = Fleet::new(1);
    fleet.advance(2 * HOUR_MS as u64);
    cancel(&mut fleet, JOB);
    fleet.store();
    fleet.wall_ahead_ms = ahead_ms;
    if is_taken_over {
        take_over(&mut fleet);
    }
    fleet.advance(TIMING.ended_retention_ms - 1_000);
    let key = format!("c/{JOB}");
    assert!(fleet.stored.contains_key(&key), "the cancel is forgotten");
    let mut submitted = fleet.clone();
    submit(&mut submitted);
    assert_eq!(submitted.planner.state(JOB), Some(JobState::Ended(Outcome::Cancelled)));
    fleet.advance(1_001);
    assert!(!fleet.stored.contains_key(&key), "the cancel is kept");
}

/// Guards against callers whose cancels are refused for as long as hand-overs are more frequent than the retention is long.
#[test]
fn cancel_replaces_old_ones_of_earlier_leaders() {
    let mut fleet = Fleet::new(1);
    for number in 0..MAX_CANCELS {
        cancel(&mut fleet, &format!("{:016x}", 0xb000 + number));
    }
    fleet.store();
    take_over(&mut fleet);
    fleet.advance(TIMING.ended_retention_ms - 1_000);
    let refused = cancel(&mut fleet, JOB);
    assert!(matches!(refused, Cancellation::TooMany { .. }), "a cancel within the retention is forgotten");
    take_over(&mut fleet);
    fleet.advance(1_001);
    assert!(matches!(cancel(&mut fleet, JOB), Cancellation::Unknown { .. }));
    fleet.store();
    let kept = fleet.stored.keys().filter(|key| key.starts_with("c/")).count();
    assert!(kept <= MAX_CANCELS && fleet.stored.contains_key(&format!("c/{JOB}")), "{kept}");
}
