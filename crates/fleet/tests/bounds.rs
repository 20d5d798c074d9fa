//! Tests that no value that another process writes ends the planner or the service.

mod common;

use common::{Fleet, step};
use sorrelland_fleet::job::{JobState, Step};
use sorrelland_fleet::planner::Admission;
use sorrelland_fleet::report::{End, EndReason, FirstMark, Running};
use sorrelland_fleet::{Resources, Task};

const JOB: &str = "00000000000000a1";
const AMOUNTS: [i64; 7] = [0, 1, -1, i64::MIN, i64::MAX, 1 << 53, -(1 << 53)];
const NUMBERS: [u64; 5] = [0, 1, 1 << 53, i64::MAX as u64, u64::MAX];

fn end(task: Task, run: u64) -> End {
    End { number: 1, task, run, reason: EndReason::Done, saved: String::new() }
}

/// Submits a job, lets it run to its end, and asserts that its caller sees it completed.
fn assert_serves(fleet: &mut Fleet, job: &str, case: &str) {
    let admission = fleet.submit(job, "plain", vec![step(1, 1)]);
    assert!(matches!(admission, Admission::Accepted { .. }), "{case}: {admission:?}");
    let assigned = fleet.advance(100);
    fleet.mark_running(&assigned);
    fleet.advance(100);
    for report in &mut fleet.reports {
        let ended = report.running.iter().filter(|run| run.task.job == job).cloned();
        report.ended.extend(ended.map(|Running { task, run, .. }| End { number: 900, ..end(task, run) }));
    }
    fleet.advance(100);
    assert!(matches!(fleet.planner.state(job), Some(JobState::Ended(_))), "{case}");
}

#[test]
fn apply_report_with_absurd_capacity_keeps_service() {
    for amount in AMOUNTS {
        let capacities =
            [Resources::new(amount, 1, 1), Resources::new(1, amount, 1), Resources::new(1, 1, amount)];
        for capacity in capacities.into_iter().chain([Resources::new(amount, amount, amount)]) {
            let case = format!("capacity {capacity}");
            let mut fleet = Fleet::new(4);
            fleet.reports[0].worker.as_mut().unwrap().capacity = capacity;
            fleet.advance(100);
            assert_serves(&mut fleet, JOB, &case);
            assert!(fleet.planner.capacity_of("svc").is_non_negative(), "{case}");
        }
    }
}

#[test]
fn apply_report_with_absurd_capacity_keeps_the_known_one_and_its_runs() {
    let mut fleet = Fleet::new(1);
    fleet.submit(JOB, "plain", vec![step(1, 1)]);
    let assigned = fleet.advance(100);
    fleet.mark_running(&assigned);
    fleet.advance(100);
    fleet.reports[0].worker.as_mut().unwrap().capacity = Resources::new(i64::MIN, 1, 1);
    for _ in 0..100 {
        fleet.advance(100);
    }
    assert_eq!(fleet.planner.capacity_of("svc"), Resources::new(128_000, 262_144, 8));
    let ignored = fleet.planner.take_ignored_reports();
    assert!(ignored.get("out_of_bounds").is_some_and(|count| *count >= 100), "{ignored:?}");
    let lines = fleet.planner.take_log();
    let line = lines.iter().find(|line| line.contains("reason=out_of_bounds"));
    assert!(line.is_some_and(|line| line.contains("millicores")), "{lines:?}");
    fleet.end_runs(JOB, EndReason::Done);
    fleet.advance(100);
    assert!(matches!(fleet.planner.state(JOB), Some(JobState::Ended(_))), "the end of its run was lost");
}

#[test]
fn apply_report_with_absurd_numbers_keeps_service() {
    for number in NUMBERS {
        for field in ["remaining_ms", "silent_before_ms", "percent", "measurement", "end", "first_mark"] {
            let case = format!("{field} {number}");
            let mut fleet = Fleet::new(4);
            let serving = Step { target_ms: Some(100), long_running: true, ..step(1, 1) };
            let idle = Step { uses_idle_cpu: true, long_running: true, ..step(4, 1) };
            fleet.submit("00000000000000b1", "plain", vec![serving, idle]);
            let assigned = fleet.advance(100);
            fleet.mark_running(&assigned);
            for report in &mut fleet.reports {
                let worker = report.worker.as_mut().unwrap();
                match field {
                    "remaining_ms" => (worker.draining, worker.remaining_ms) = (true, Some(number)),
                    "silent_before_ms" => report.silent_before_ms = Some(number),
                    "percent" => report.running.iter_mut().for_each(|run| run.percent = number),
                    "measurement" => report.running.iter_mut().for_each(|run| run.measurement = number),
                    "end" => {
                        let ended = report.running.iter().map(|run| (run.task.clone(), run.run));
                        report.ended = ended.map(|(task, run)| End { number, ..end(task, run) }).collect();
                    }
                    _ => {
                        let marks = report.running.iter().map(|run| FirstMark {
                            task: run.task.clone(),
                            run: run.run,
                            age_ms: number,
                            percent: number,
                            is_start: true,
                        });
                        report.first_marks = marks.collect();
                    }
                }
            }
            for _ in 0..30 {
                fleet.advance(100);
            }
            for report in &mut fleet.reports {
                let worker = report.worker.as_mut().unwrap();
                (worker.draining, worker.remaining_ms) = (false, None);
                report.ended.clear();
            }
            fleet.advance(100);
            assert_serves(&mut fleet, JOB, &case);
        }
    }
}
