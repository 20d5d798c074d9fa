//! Checks that accepted units start while other workers have room, whatever keeps them off some workers.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::sync::Arc;

use common::{Fleet, desired, step};
use sorrelland_fleet::Resources;
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::job::Step;
use sorrelland_fleet::report::{End, EndReason, NotStarted, Report, Running};
use sorrelland_fleet::view::Query;

const JOB: &str = "00000000000000a1";

/// Longest time that a unit may wait beside room for two of it while less than half of the service is in use.
const START_BOUND_MS: u64 = 3_000;

/// Time between two passes of these tests.
const PASS_MS: u64 = 100;

/// Creates a fleet whose queues allow that many failed runs of a unit.
fn fleet_with_attempts(workers: usize, max_attempts: u32) -> Fleet {
    let mut fleet = Fleet::new(workers);
    let mut desired = desired();
    for queue in &mut desired.queues {
        queue.max_attempts = max_attempts;
    }
    desired.version += 1;
    fleet.planner.set_desired(Arc::new(desired));
    fleet
}

/// Returns the workers that have to start a run of a job, in order.
fn starts(assignments: &[Assignments], job: &str) -> Vec<String> {
    let assigned = assignments.iter().flat_map(|assigned| {
        let of_job = assigned.starts.iter().filter(|start| start.task.job == job);
        of_job.map(|_| assigned.incarnation.clone())
    });
    assigned.collect()
}

/// Advances until a job has starts and returns their workers; empty if it takes longer than the bound.
fn start_within_bound(fleet: &mut Fleet, job: &str) -> Vec<String> {
    let mut found = Vec::new();
    for _ in 0..=START_BOUND_MS / PASS_MS {
        found = starts(&fleet.advance(PASS_MS), job);
        if !found.is_empty() {
            break;
        }
    }
    found
}

/// Lets a job's run on the first worker fail, and those on the others break.
fn fail_first_run(fleet: &mut Fleet, job: &str) {
    let mut is_first = true;
    for report in &mut fleet.reports {
        end_on(report, job, &mut is_first);
    }
}

fn end_on(report: &mut Report, job: &str, is_first: &mut bool) {
    let (ended, rest): (Vec<Running>, _) = report.running.drain(..).partition(|run| run.task.job == job);
    report.running = rest;
    for run in ended {
        let reason = if std::mem::take(is_first) { EndReason::Failed } else { EndReason::Broken };
        let number = report.ended.len() as u64 + 1;
        report.ended.push(End { number, task: run.task, run: run.run, reason, saved: String::new() });
    }
}

/// Guards against a gang that is kept off the workers on which it failed though it doesn't fit on the others.
#[test]
fn gang_that_failed_twice_starts_on_workers_that_it_needs() {
    let mut fleet = fleet_with_attempts(6, 8);
    let gang = Step { gang: true, max_per_worker: Some(1), ..step(5, 1) };
    fleet.submit(JOB, "plain", vec![gang]);
    for _ in 0..2 {
        let assignments = fleet.advance(PASS_MS);
        assert_eq!(starts(&assignments, JOB).len(), 5);
        fleet.mark_running(&assignments);
        fleet.advance(PASS_MS);
        // Each run fails on another worker.
        fail_first_run(&mut fleet, JOB);
        fleet.reports.rotate_left(1);
        fleet.advance(0);
    }
    assert_eq!(start_within_bound(&mut fleet, JOB).len(), 5);
}

/// Guards against a subtask that is kept off the only worker that is large enough because it failed there once.
#[test]
fn subtask_that_failed_starts_on_the_only_worker_that_is_large_enough() {
    let mut fleet = fleet_with_attempts(4, 8);
    fleet.reports[0].worker.as_mut().unwrap().capacity = Resources::new(128_000, 262_144, 32);
    fleet.advance(PASS_MS);
    fleet.submit(JOB, "plain", vec![step(1, 16)]);
    let assignments = fleet.advance(PASS_MS);
    assert_eq!(starts(&assignments, JOB), ["w0"]);
    fleet.mark_running(&assignments);
    fleet.advance(PASS_MS);
    fail_first_run(&mut fleet, JOB);
    fleet.advance(0);
    assert_eq!(start_within_bound(&mut fleet, JOB), ["w0"]);
}

/// Guards against sound workers that are taken out of use since one job fails wherever it runs.
#[test]
fn job_starts_after_another_one_has_failed_on_every_worker() {
    let mut fleet = fleet_with_attempts(4, 8);
    let poison = "00000000000000ff";
    fleet.submit(poison, "plain", vec![step(32, 1)]);
    for _ in 0..5 {
        let assignments = fleet.advance(PASS_MS);
        fleet.mark_running(&assignments);
        fleet.advance(PASS_MS);
        fleet.end_runs(poison, EndReason::Failed);
        fleet.advance(0);
    }
    fleet.planner.cancel(fleet.now, fleet.now, poison);
    fleet.submit(JOB, "plain", vec![step(1, 1)]);
    assert_eq!(start_within_bound(&mut fleet, JOB).len(), 1);
}

/// Guards against a unit that stays placed on a worker that drains before it was started: agents start nothing there.
#[yare::parameterized(
    without_a_time = { None },
    for_a_minute = { Some(60_000) },
)]
fn unit_whose_worker_drains_before_its_start_moves_on(remaining_ms: Option<u64>) {
    let mut fleet = Fleet::new(4);
    fleet.submit(JOB, "plain", vec![step(1, 1)]);
    let first = starts(&fleet.advance(PASS_MS), JOB);
    let agent = fleet
        .reports
        .iter_mut()
        .find(|report| report.worker.as_ref().is_some_and(|worker| worker.incarnation == first[0]));
    let worker = agent.unwrap().worker.as_mut().unwrap();
    (worker.draining, worker.remaining_ms) = (true, remaining_ms);
    let mut second = Vec::new();
    for _ in 0..=START_BOUND_MS / PASS_MS {
        let assignments = fleet.advance(PASS_MS);
        second = starts(&assignments, JOB).into_iter().filter(|worker| *worker != first[0]).collect();
        if !second.is_empty() {
            break;
        }
        report_stops_of_runs_that_never_started(&mut fleet, &assignments);
    }
    assert_eq!(second.len(), 1, "still placed on {first:?}, which drains");
}

fn report_stops_of_runs_that_never_started(fleet: &mut Fleet, assignments: &[Assignments]) {
    for assigned in assignments {
        let of_worker = |report: &&mut Report| {
            report.worker.as_ref().is_some_and(|worker| worker.incarnation == assigned.incarnation)
        };
        let Some(report) = fleet.reports.iter_mut().find(of_worker) else { continue };
        report.not_started = assigned
            .stops
            .iter()
            .map(|stop| NotStarted { task: stop.task.clone(), run: stop.run, reason: "stopped".to_owned() })
            .collect();
    }
}

/// Guards against a subtask that waits for its rack for as long as its own estimate, beside idle workers.
#[test]
fn subtask_leaves_its_rack_while_the_service_is_idle() {
    let mut fleet = Fleet::new(12);
    let on_first_rack = |step: Step| Step { label: Some("r0".to_owned()), estimate_ms: 600_000, ..step };
    fleet.submit("00000000000000ff", "plain", vec![on_first_rack(step(3, 8))]);
    let assignments = fleet.advance(PASS_MS);
    fleet.mark_running(&assignments);
    fleet.advance(PASS_MS);
    let near = Step { preferred_rack: Some("r0".to_owned()), estimate_ms: 600_000, ..step(1, 8) };
    fleet.submit(JOB, "plain", vec![near]);
    assert_eq!(start_within_bound(&mut fleet, JOB).len(), 1);
}

/// Guards against a step that is approved for too few workers and never asks about those that joined later.
#[test]
fn step_asks_about_workers_that_joined_after_its_approval() {
    let later = Fleet::new(5).reports.split_off(2);
    let mut fleet = Fleet::new(2);
    let gang = Step { gang: true, max_per_worker: Some(1), ..step(2, 1) };
    fleet.submit(JOB, "advised", vec![gang]);
    fleet.advance(PASS_MS);
    let (key, asked) = fleet.planner.next_approval_request(fleet.now).unwrap();
    assert_eq!(asked, ["w0", "w1"]);
    let admitted = [("w0".to_owned(), "ticket".to_owned())];
    fleet.planner.record_approvals(fleet.now, &key, &asked, &common::reply(&admitted, 600_000));
    fleet.reports.extend(later);
    for _ in 0..=START_BOUND_MS / PASS_MS {
        fleet.advance(PASS_MS);
    }
    let asked = fleet.planner.next_approval_request(fleet.now);
    assert!(asked.is_some_and(|(_, workers)| workers.contains(&"w2".to_owned())));
}

/// Guards against a queue whose steps can't start since one of its workers, the only approved one, is full.
#[test]
fn step_asks_about_other_workers_while_the_approved_one_is_full() {
    let mut fleet = Fleet::new(40);
    fleet.submit(JOB, "advised", vec![step(2, 8)]);
    fleet.advance(PASS_MS);
    let (key, asked) = fleet.planner.next_approval_request(fleet.now).unwrap();
    let admitted = [(asked[0].clone(), "ticket".to_owned())];
    fleet.planner.record_approvals(fleet.now, &key, &asked, &common::reply(&admitted, 600_000));
    let mut asked_again = None;
    for _ in 0..=START_BOUND_MS / PASS_MS {
        let assignments = fleet.advance(PASS_MS);
        fleet.mark_running(&assignments);
        asked_again = asked_again.or_else(|| fleet.planner.next_approval_request(fleet.now));
    }
    let is_new = |(_, workers): (_, Vec<String>)| workers.iter().any(|worker| !asked.contains(worker));
    assert!(asked_again.is_some_and(is_new), "ten workers were never asked about");
}

/// Guards against a unit that has to run apart from other jobs and never does, since each worker serves for good.
#[test]
fn suspect_starts_though_every_worker_has_a_lasting_run() {
    let mut fleet = Fleet::new(4);
    fleet.submit(JOB, "plain", vec![Step { estimate_ms: 60_000, ..step(1, 1) }]);
    let crashed = crash_worker_of(&mut fleet, JOB);
    let serving = Step { long_running: true, max_per_worker: Some(1), ..step(4, 1) };
    fleet.submit("00000000000000ff", "urgent", vec![serving]);
    let again = crash_worker_of(&mut fleet, JOB);
    assert_ne!(crashed, again);
    let mut found = Vec::new();
    for _ in 0..=2 * START_BOUND_MS / PASS_MS {
        let assignments = fleet.advance(PASS_MS);
        fleet.mark_running(&assignments);
        found.extend(starts(&assignments, JOB));
    }
    assert_eq!(
        found.len(),
        1,
        "{}",
        fleet.planner.view(&Query::Explain(JOB.to_owned()), fleet.now, fleet.now)
    );
}

/// Lets a job run, then replaces its worker by another incarnation that holds nothing; returns the name of the first.
fn crash_worker_of(fleet: &mut Fleet, job: &str) -> String {
    let mut worker = None;
    for _ in 0..10 {
        let assignments = fleet.advance(PASS_MS);
        worker = worker.or(starts(&assignments, job).pop());
        fleet.mark_running(&assignments);
    }
    let worker = worker.unwrap();
    for report in &mut fleet.reports {
        let info = report.worker.as_mut().unwrap();
        if info.incarnation == worker {
            info.incarnation += "x";
            report.running.clear();
            report.ended.clear();
        }
    }
    worker
}
