//! Tests how failed runs of a gang count as attempts.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use serde_json::{Value, json};
use sorrelland_fleet::job::{JobState, Outcome, Step};
use sorrelland_fleet::planner::Planner;
use sorrelland_fleet::record;
use sorrelland_fleet::report::{EndReason, Running};
use sorrelland_fleet::view::Query;

const JOB: &str = "00000000000000a1";

/// A fleet of two workers with a gang of two on them; the queue `plain` allows two attempts.
fn start_gang(queue: &str) -> Fleet {
    let mut fleet = Fleet::new(2);
    fleet.submit(JOB, queue, vec![Step { gang: true, ..step(2, 8) }]);
    start_next_run(&mut fleet);
    fleet
}

/// Starts the next run of the gang and returns its number.
fn start_next_run(fleet: &mut Fleet) -> u64 {
    let assignments = fleet.advance(2_000);
    let runs: Vec<u64> =
        assignments.iter().flat_map(|assigned| &assigned.starts).map(|start| start.run).collect();
    assert_eq!(runs.len(), 2, "both members start: {assignments:?}");
    assert_eq!(runs[0], runs[1]);
    fleet.mark_running(&assignments);
    fleet.advance(10);
    runs[0]
}

/// Lets the member on a worker end; its agent reports that from then on.
fn end_member(fleet: &mut Fleet, worker: usize, reason: EndReason) {
    let report = &mut fleet.reports[worker];
    let Running { task, run, .. } = report.running.remove(0);
    let number = report.ended.len() as u64 + 1;
    report.ended.push(sorrelland_fleet::report::End { number, task, run, reason, saved: String::new() });
    fleet.advance(10);
}

/// Replaces the planner by one that reads what is stored, as `edit` leaves it.
fn take_over(fleet: &mut Fleet, edit: impl FnOnce(&mut Value)) {
    let progress = fleet.stored.get_mut(&format!("s/{JOB}")).unwrap();
    let mut value: Value = serde_json::from_slice(progress).unwrap();
    edit(&mut value["units"][0][1]);
    *progress = value.to_string().into_bytes();
    let (jobs, findings) =
        record::read(fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice())));
    assert!(findings.is_empty(), "{findings:?}");
    fleet.planner = Planner::new(TIMING, Arc::new(desired()), jobs, fleet.now);
}

fn shown_fails(fleet: &Fleet) -> Value {
    let view = fleet.planner.view(&Query::Explain(JOB.to_owned()), fleet.now, fleet.now);
    view["rows"][0]["fails"].clone()
}

/// Guards against a job that is failed for good by one run of its gang, since each failed member counted.
#[yare::parameterized(
    first_before_second = { &[0, 1], false },
    second_before_first = { &[1, 0], false },
    through_two_leaders = { &[0, 1], true },
)]
fn report_counts_failed_members_of_a_run_once(order: &[usize], is_taken_over: bool) {
    let mut fleet = start_gang("plain");
    end_member(&mut fleet, order[0], EndReason::Failed);
    if is_taken_over {
        take_over(&mut fleet, |_| ());
    }
    end_member(&mut fleet, order[1], EndReason::Failed);
    fleet.advance(10);
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Running));
    assert_eq!(shown_fails(&fleet), json!(1));
    assert_eq!(start_next_run(&mut fleet), 2, "the second attempt is due");
    end_member(&mut fleet, 0, EndReason::Failed);
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Failed)), "it has had two attempts");
}

/// Guards against members that fail at one report being counted each.
#[test]
fn report_counts_members_that_fail_together_once() {
    let mut fleet = start_gang("plain");
    fleet.end_runs(JOB, EndReason::Failed);
    fleet.advance(10);
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Running));
    assert_eq!(start_next_run(&mut fleet), 2);
}

/// Guards against a run that is not counted since another member was released before.
#[test]
fn report_counts_a_run_whose_first_end_is_broken() {
    let mut fleet = start_gang("plain");
    for run in 1..=2 {
        end_member(&mut fleet, 0, EndReason::Broken);
        take_over(&mut fleet, |_| ());
        end_member(&mut fleet, 1, EndReason::Failed);
        if run == 1 {
            assert_eq!(start_next_run(&mut fleet), 2);
        }
    }
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Failed)));
}

/// Guards against a run that a leader of an earlier build has counted being counted anew.
#[test]
fn report_counts_no_run_anew_that_an_earlier_build_has_counted() {
    let mut fleet = start_gang("plain");
    end_member(&mut fleet, 0, EndReason::Failed);
    take_over(&mut fleet, |unit| _ = unit.as_object_mut().unwrap().remove("counted_failures"));
    end_member(&mut fleet, 1, EndReason::Failed);
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Running));
    assert_eq!(start_next_run(&mut fleet), 2);
}

/// Guards against attempts of a gang that an earlier build has counted by members.
#[test]
fn read_counts_no_more_failures_than_runs() {
    let mut fleet = start_gang("plain");
    fleet.end_runs(JOB, EndReason::Failed);
    fleet.advance(10);
    fleet.planner.take_log();
    take_over(&mut fleet, |unit| {
        unit.as_object_mut().unwrap().remove("counted_failures");
        unit["fails"] = json!(2);
        unit["at"] = json!("Waiting");
        unit["members"] = json!([]);
        unit["run"] = json!(1);
    });
    assert_eq!(shown_fails(&fleet), json!(1));
}

/// Guards against a run being counted anew after a leader that counts members and keeps the fields that it doesn't know.
#[test]
fn report_counts_no_later_run_anew_that_an_earlier_build_has_counted() {
    let mut fleet = start_gang("patient");
    fleet.end_runs(JOB, EndReason::Failed);
    assert_eq!(start_next_run(&mut fleet), 2);
    take_over(&mut fleet, |unit| {
        assert!(unit.get("counted_failures").is_some(), "{unit}");
        unit["at"] = json!("Ending");
        unit["fails"] = json!(2);
        unit["members"][0]["gone"] = json!(true);
        let worker = unit["members"][0]["worker"].clone();
        unit["failed_on"].as_array_mut().unwrap().push(worker);
    });
    let last = fleet.reports.iter().position(|report| report.worker.as_ref().unwrap().incarnation == "w1");
    end_member(&mut fleet, last.unwrap(), EndReason::Failed);
    assert_eq!(shown_fails(&fleet), json!(2));
}

/// Publishes a desired state without the queue `plain`, or with that many attempts on it.
fn publish(fleet: &mut Fleet, version: u64, max_attempts: Option<u32>) {
    let mut changed = desired();
    changed.version = version;
    changed.queues.retain(|queue| queue.name != "plain" || max_attempts.is_some());
    for queue in changed.queues.iter_mut().filter(|queue| queue.name == "plain") {
        queue.max_attempts = max_attempts.unwrap_or_default();
    }
    fleet.planner.set_desired(Arc::new(changed));
    fleet.advance(10);
}

/// Guards against a job that is failed by its first failed run, since its queue is away from the desired state then.
#[yare::parameterized(
    same_leader = { false },
    next_leader = { true },
)]
fn failed_run_counts_as_one_attempt_while_the_queue_is_away(is_taken_over: bool) {
    let mut fleet = start_gang("plain");
    publish(&mut fleet, 2, None);
    (0..2).for_each(|worker| end_member(&mut fleet, worker, EndReason::Failed));
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Running));
    fleet.advance(5_000);
    if is_taken_over {
        take_over(&mut fleet, |_| ());
    }
    publish(&mut fleet, 3, Some(2));
    assert_eq!(start_next_run(&mut fleet), 2);
    (0..2).for_each(|worker| end_member(&mut fleet, worker, EndReason::Failed));
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Failed)));
}

/// Guards against a start beyond the attempts of a queue that was away when the last of them failed, or that allowed more.
#[yare::parameterized(
    queue_is_back = { None, 1 },
    attempts_are_lowered = { Some(2), 1 },
)]
fn job_without_attempts_left_ends_by_the_next_desired_state(meanwhile: Option<u32>, max_attempts: u32) {
    let mut fleet = start_gang("plain");
    publish(&mut fleet, 2, meanwhile);
    (0..2).for_each(|worker| end_member(&mut fleet, worker, EndReason::Failed));
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Running));
    publish(&mut fleet, 3, Some(max_attempts));
    fleet.store();
    assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Failed)));
    let assignments = fleet.advance(2_000);
    assert!(assignments.iter().all(|assigned| assigned.starts.is_empty()), "{assignments:?}");
}
