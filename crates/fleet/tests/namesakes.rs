//! Tests jobs of several callers under one name.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use sorrelland_fleet::cancels::{Cancellation, MAX_CANCELS, MAX_SHARED_CANCELS};
use sorrelland_fleet::desired::Desired;
use sorrelland_fleet::job::{JobState, Outcome, Submission};
use sorrelland_fleet::planner::{Admission, Planner};
use sorrelland_fleet::{Caller, record};

const JOB: &str = "00000000000000a1";

fn submission(queue: &str, account: &str, spec: &str) -> Submission {
    Submission {
        job: JOB.to_owned(),
        queue: queue.to_owned(),
        account: account.to_owned(),
        spec: spec.to_owned(),
        steps: vec![step(1, 1)],
        ..Submission::default()
    }
}

fn submit(fleet: &mut Fleet, queue: &str, account: &str) -> Admission {
    let admission = fleet.planner.submit(fleet.now, fleet.wall(), &submission(queue, account, "a"));
    fleet.store();
    admission
}

fn cancel(fleet: &mut Fleet, queue: &str, account: &str) -> Cancellation {
    let caller = Caller::new(queue, account);
    fleet.planner.cancel_for(fleet.now, fleet.wall(), JOB, Some(&caller))
}

fn state(fleet: &Fleet, queue: &str, account: &str) -> Option<JobState> {
    fleet.planner.state_for(JOB, Some(&Caller::new(queue, account)))
}

/// Replaces the planner by one that knows what is stored.
fn take_over(fleet: &mut Fleet, desired: Desired) {
    let records = fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let (jobs, findings) = record::read(records.clone());
    let (cancels, unreadable) = record::read_cancels(records, fleet.wall());
    assert!(findings.is_empty() && unreadable.is_empty(), "{findings:?} {unreadable:?}");
    fleet.planner = Planner::new(TIMING, Arc::new(desired), jobs, fleet.now).with_cancels(cancels);
}

fn is_accepted(admission: &Admission) -> bool {
    matches!(admission, Admission::Accepted { .. })
}

/// Guards against a refusal that ends before the name is free, or that names no time.
#[test]
fn submit_refuses_a_name_until_its_job_is_forgotten() {
    let mut fleet = Fleet::new(1);
    assert!(is_accepted(&submit(&mut fleet, "plain", "museum")));
    let Admission::Refused { reason, retry_after_ms } = submit(&mut fleet, "plain", "guest") else {
        panic!("the name has two jobs")
    };
    assert!(reason.contains("has not run"), "{reason}");
    assert_eq!(retry_after_ms, TIMING.ended_retention_ms);
    assert!(matches!(cancel(&mut fleet, "plain", "museum"), Cancellation::Known { .. }));
    fleet.advance(1_000);
    let Admission::Refused { retry_after_ms, .. } = submit(&mut fleet, "plain", "guest") else {
        panic!("the name has two jobs")
    };
    assert_eq!(retry_after_ms, TIMING.ended_retention_ms - 1_000);
    fleet.advance(retry_after_ms + 1);
    assert!(is_accepted(&submit(&mut fleet, "plain", "guest")));
    assert_eq!(state(&fleet, "plain", "museum"), None);
}

/// Guards against callers who are taken for one another, or a caller who is taken for another one.
#[yare::parameterized(
    repeat = { ("plain", "museum"), true },
    other_account = { ("plain", "guest"), false },
    other_queue = { ("low", "museum"), false },
    queue_that_is_new_to_the_planner = { ("plain-2", "museum"), true },
    other_account_on_a_new_queue = { ("plain-2", "guest"), false },
    no_account = { ("plain", ""), true },
    no_account_on_another_queue = { ("low", ""), false },
)]
fn job_belongs_to_its_caller(caller: (&str, &str), is_own: bool) {
    let (queue, account) = caller;
    let mut fleet = Fleet::new(1);
    submit(&mut fleet, "plain", "museum");
    assert_eq!(is_accepted(&submit(&mut fleet.clone(), queue, account)), is_own);
    assert_eq!(state(&fleet, queue, account).is_some(), is_own);
    assert_eq!(matches!(cancel(&mut fleet, queue, account), Cancellation::Known { .. }), is_own);
    let open = if is_own { JobState::Ended(Outcome::Cancelled) } else { JobState::Queued };
    fleet.store();
    assert_eq!(state(&fleet, "plain", "museum"), Some(open));
}

/// Guards against another job on a queue that has replaced a removed one, told to be accepted as a repeat.
#[test]
fn submit_tells_a_repeat_on_a_renamed_queue_by_its_contents() {
    let mut fleet = Fleet::new(1);
    submit(&mut fleet, "plain", "museum");
    let mut renamed = desired();
    renamed.queues.retain(|queue| queue.name != "plain");
    renamed.queues.push(common::queue("plain-2", 1));
    take_over(&mut fleet, renamed);
    assert!(is_accepted(&submit(&mut fleet, "plain-2", "museum")));
    let other = submission("plain-2", "museum", "b");
    assert!(!is_accepted(&fleet.planner.submit(fleet.now, fleet.wall(), &other)));
    assert!(state(&fleet, "plain-2", "museum").is_some());
}

/// Guards against a caller's submission that takes back the job of another one.
#[test]
fn withdraw_submission_leaves_the_job_of_another_caller() {
    let mut fleet = Fleet::new(1);
    let sub = submission("plain", "museum", "a");
    fleet.planner.submit(fleet.now, fleet.wall(), &sub);
    assert!(!fleet.planner.withdraw_submission(&submission("plain", "guest", "a")));
    assert!(fleet.planner.knows_submission(&sub));
    assert!(fleet.planner.withdraw_submission(&sub));
    assert!(!fleet.planner.knows(JOB));
}

/// Guards against an early cancel that ends another caller's job, at this leader or a later one, also of an earlier build,
/// which reads the records under `c/` alone.
#[yare::parameterized(
    cancel_first = { true },
    job_first = { false },
)]
fn cancel_of_another_caller_leaves_the_job(is_cancel_first: bool) {
    let mut fleet = Fleet::new(1);
    for step in [is_cancel_first, !is_cancel_first] {
        if step {
            assert!(matches!(cancel(&mut fleet, "plain", "guest"), Cancellation::Unknown { .. }));
            fleet.store();
        } else {
            assert!(is_accepted(&submit(&mut fleet, "plain", "museum")));
        }
    }
    assert!(fleet.stored.keys().all(|key| !key.starts_with("c/")), "{:?}", fleet.stored.keys());
    take_over(&mut fleet, desired());
    fleet.store();
    assert_eq!(state(&fleet, "plain", "museum"), Some(JobState::Queued));
    assert_eq!(state(&fleet, "plain", "guest"), None);
    // A repeated cancel is answered as the first one.
    assert!(matches!(cancel(&mut fleet, "plain", "guest"), Cancellation::Unknown { change: 0 }));
    // Once the job is forgotten, the cancel holds for its caller as long as it is kept itself.
    assert!(matches!(cancel(&mut fleet, "plain", "museum"), Cancellation::Known { .. }));
    fleet.advance(TIMING.ended_retention_ms + 1);
    assert!(fleet.stored.keys().all(|key| !key.contains(JOB)), "{:?}", fleet.stored.keys());
}

/// Guards against a cancel that is lost when another caller cancels the same name.
#[yare::parameterized(
    same_leader = { false },
    next_leader = { true },
)]
fn cancels_of_one_name_hold_for_each_of_their_callers(is_taken_over: bool) {
    let mut fleet = Fleet::new(1);
    cancel(&mut fleet, "plain", "museum");
    cancel(&mut fleet, "plain", "guest");
    cancel(&mut fleet, "low", "guest");
    fleet.store();
    assert_eq!(fleet.stored.keys().filter(|key| key.contains(JOB)).count(), 3);
    if is_taken_over {
        take_over(&mut fleet, desired());
    }
    for (queue, account) in [("plain", "museum"), ("plain", "guest"), ("low", "guest")] {
        let mut fleet = fleet.clone();
        assert!(is_accepted(&submit(&mut fleet, queue, account)));
        assert_eq!(state(&fleet, queue, account), Some(JobState::Ended(Outcome::Cancelled)));
    }
    assert!(is_accepted(&submit(&mut fleet, "low", "museum")));
    assert_eq!(state(&fleet, "low", "museum"), Some(JobState::Queued));
    assert!(fleet.stored.keys().all(|key| !key.starts_with("c/")), "{:?}", fleet.stored.keys());
}

/// Guards against a cancel of an earlier build, which names no caller, that no longer holds.
#[test]
fn cancel_without_a_caller_holds_for_all() {
    for account in ["museum", "guest"] {
        let mut fleet = Fleet::new(1);
        fleet.stored.insert(format!("c/{JOB}"), br#"{"at_ms":1}"#.to_vec());
        take_over(&mut fleet, desired());
        assert!(is_accepted(&submit(&mut fleet, "plain", account)));
        assert_eq!(state(&fleet, "plain", account), Some(JobState::Ended(Outcome::Cancelled)));
    }
}

/// Guards against a record that can't be read and ends a job, or keeps the leader from reading the others.
#[test]
fn read_cancels_skips_unreadable_records_of_other_callers() {
    let key = format!("n/{JOB}/5/plain/guest");
    let rows: [(&str, &[u8]); 2] = [(&key, b"{"), ("n/", b"{\"at_ms\":7,\"caller\":{\"queue\":\"q\"}}")];
    let (cancels, unreadable) = record::read_cancels(rows.into_iter(), 5_000);
    assert!(cancels.is_empty(), "{cancels:?}");
    assert_eq!(unreadable.len(), 2);
}

/// Guards against an account that cancels names at will, and thereby keeps another one from cancelling its submissions on
/// their way.
#[test]
fn cancels_of_one_account_leave_room_for_those_of_the_others() {
    let mut fleet = Fleet::new(1);
    let cancel = |fleet: &mut Fleet, account: &str, number: usize| {
        let caller = Caller::new("plain", account);
        fleet.planner.cancel_for(fleet.now, fleet.wall(), &format!("{number:016x}"), Some(&caller))
    };
    let is_kept = |cancellation| matches!(cancellation, Cancellation::Unknown { .. });
    let flood = (0..2 * MAX_CANCELS).filter(|number| is_kept(cancel(&mut fleet, "guest", *number))).count();
    assert_eq!(flood, MAX_SHARED_CANCELS);
    let refused = cancel(&mut fleet, "guest", 3 * MAX_CANCELS);
    assert!(matches!(refused, Cancellation::TooMany { retry_after_ms: 1.. }), "{refused:?}");
    // Two accounts and the callers without one.
    let share = (MAX_CANCELS - MAX_SHARED_CANCELS) / 3;
    for account in ["museum", ""] {
        let kept = (0..MAX_CANCELS).filter(|number| is_kept(cancel(&mut fleet, account, *number))).count();
        assert_eq!(kept, share, "{account}");
    }
    // What is kept is answered as before, and holds.
    assert!(is_kept(cancel(&mut fleet, "guest", 1)));
    fleet.store();
    take_over(&mut fleet, desired());
    assert!(is_kept(cancel(&mut fleet, "museum", 1)));
    assert!(!is_kept(cancel(&mut fleet, "museum", MAX_CANCELS)));
    fleet.advance(TIMING.ended_retention_ms + 1);
    assert!(is_kept(cancel(&mut fleet, "guest", MAX_CANCELS)));
}
