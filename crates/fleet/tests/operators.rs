//! Tests what operators see of the planner, in virtual time.

mod common;

use common::{Fleet, step};
use serde_json::Value;
use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::view::Query;

/// Work of a subtask on a worker of the fleet's mean speed, in milliseconds.
const WORK_MS: u64 = 2_000;

/// Time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;

fn view(fleet: &Fleet, query: Query) -> Value {
    fleet.planner.view(&query, fleet.now, fleet.now)
}

/// Returns the row whose first column has the given name.
fn row(view: &Value, name: &str) -> Value {
    let column = view["columns"][0].as_str().unwrap();
    let rows = view["rows"].as_array().unwrap();
    rows.iter().find(|row| row[column] == name).unwrap_or_else(|| panic!("no {name} in {view:#}")).clone()
}

/// Starts a job with one whole-worker subtask for each speed, and reports the progress of each by the speed of its
/// worker until the last one ends.
fn run_at_speeds(fleet: &mut Fleet, job: &str, speeds: &[u64]) {
    fleet.submit(job, "plain", vec![step(speeds.len() as u32, 8)]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    let started_at = fleet.now;
    for _ in 0..200 {
        for (report, speed) in fleet.reports.iter_mut().zip(speeds) {
            for run in &mut report.running {
                run.percent = ((fleet.now - started_at) * speed / 10 / WORK_MS).min(100);
            }
        }
        for at in 0..fleet.reports.len() {
            if fleet.reports[at].running.iter().any(|run| run.percent == 100) {
                end_run(fleet, at);
            }
        }
        fleet.advance(REPORT_INTERVAL_MS);
    }
    assert!(fleet.reports.iter().all(|report| report.running.is_empty()), "{job} has not ended");
}

/// Reports the result of the runs on the worker of one agent.
fn end_run(fleet: &mut Fleet, agent: usize) {
    let others: Vec<_> = (0..fleet.reports.len()).filter(|at| *at != agent).collect();
    let kept: Vec<_> = others.iter().map(|at| std::mem::take(&mut fleet.reports[*at].running)).collect();
    let jobs: Vec<String> = fleet.reports[agent].running.iter().map(|run| run.task.job.clone()).collect();
    jobs.iter().for_each(|job| fleet.end_runs(job, EndReason::Done));
    for (at, running) in others.into_iter().zip(kept) {
        fleet.reports[at].running = running;
    }
}

fn lines_of(log: &[String], event: &str) -> Vec<String> {
    let prefix = format!("event={event} ");
    log.iter().filter(|line| line.starts_with(&prefix)).cloned().collect()
}

// Guards against speeds that operators can't see, or that are shown as known without evidence.
#[test]
fn view_workers_shows_speeds() {
    let mut fleet = Fleet::new(6);
    let unknown = row(&view(&fleet, Query::Workers), "w0");
    assert_eq!((&unknown["speed"], &unknown["speed_steps"]), (&Value::from(1_000), &Value::from(0)));
    assert_eq!(fleet.planner.speed_summary(), None, "speeds are known without a run");
    for job in ["a", "b", "c"] {
        run_at_speeds(&mut fleet, job, &[600, 600, 1_000, 1_000, 1_600, 1_600]);
    }
    let workers = view(&fleet, Query::Workers);
    let speed = |name: &str| row(&workers, name)["speed"].as_u64().unwrap();
    assert!((500..750).contains(&speed("w0")), "{workers:#}");
    assert!((1_400..1_800).contains(&speed("w5")), "{workers:#}");
    assert_eq!(row(&workers, "w0")["speed_steps"], 3);
    let summary = fleet.planner.speed_summary().unwrap();
    assert_eq!(summary.known, 6);
    assert_eq!(summary.slowest_milli, speed("w0").min(speed("w1")));
    assert_eq!(summary.fastest_milli, speed("w4").max(speed("w5")));
    assert!(summary.slowest_milli < summary.median_milli && summary.median_milli < summary.fastest_milli);
}

// Guards against a line for each tick.
#[test]
fn tick_logs_speeds_at_most_every_10_s() {
    let mut fleet = Fleet::new(3);
    let began = fleet.now;
    for job in ["a", "b"] {
        run_at_speeds(&mut fleet, job, &[600, 1_000, 1_600]);
    }
    let lines = lines_of(&fleet.planner.take_log(), "worker_speeds");
    let expected = (fleet.now - began) / 10_000;
    assert!((1..=expected as usize).contains(&lines.len()), "{expected} expected: {lines:#?}");
    assert!(lines[0].contains("workers=3 known=3 slowest_milli="), "{}", lines[0]);
    assert!(lines[0].contains(" median_milli=") && lines[0].contains(" fastest_milli="), "{}", lines[0]);
}
