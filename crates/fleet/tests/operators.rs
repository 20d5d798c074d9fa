//! Tests what operators see of the planner, in virtual time.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{Fleet, desired, queue, step};
use serde_json::{Value, json};
use sorrelland_fleet::account_counts::{AccountCounts, AccountEvent};
use sorrelland_fleet::desired::{Desired, Queue};
use sorrelland_fleet::forecast_errors::{AGES_MS, ForecastErrors};
use sorrelland_fleet::job::Schedule;
use sorrelland_fleet::planner::Admission;
use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::view::Query;
use sorrelland_fleet::{Step, Submission};
use sorrelland_forecast::RunId;

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

// Guards against errors of forecasts that operators can't see, or that are judged by another time than the run's end.
#[test]
fn end_of_run_tells_errors_of_its_forecasts() {
    let mut fleet = Fleet::new(3);
    run_at_speeds(&mut fleet, "a", &[500, 500, 500]);
    let errors = fleet.planner.take_forecast_errors();
    for age_ms in AGES_MS {
        let of_age: Vec<i64> =
            errors.iter().filter(|error| error.age_ms == age_ms).map(|error| error.percent).collect();
        // Progress that is reported evenly every 100 ms is forecast to within a report and a percent. The progress of a
        // run without a forecast at 0.5 s counts as such in the line only.
        assert!(of_age.iter().all(|percent| percent.abs() <= 15), "age {age_ms}: {of_age:?}");
        assert!(age_ms == 500 || of_age.len() == 3, "age {age_ms}: {of_age:?}");
    }
    assert!(fleet.planner.take_forecast_errors().is_empty(), "errors are counted twice");
    let lines = lines_of(&fleet.planner.take_log(), "forecast_error");
    assert_eq!(lines.len(), 1, "{lines:#?}");
    for field in [" forecasts_1000ms=3 without_1000ms=0 median_percent_1000ms=", " abs_p90_percent_2000ms="] {
        assert!(lines[0].contains(field), "{field:?} missing in {}", lines[0]);
    }
}

fn run_id(index: u32) -> RunId {
    RunId { step: ("a".to_owned(), 0, 0), index, run: 1 }
}

// Guards against an error with the wrong sign or base.
#[test]
fn record_end_compares_forecast_with_true_remaining_time() {
    let mut errors = ForecastErrors::default();
    errors.watch(&run_id(0), 10_000);
    errors.sample(10_500, |_| None);
    errors.sample(11_000, |_| Some(500));
    errors.sample(12_000, |_| Some(2_000));
    errors.record_end(13_000, &run_id(0));
    let found: Vec<(u64, i64)> = errors.take().iter().map(|error| (error.age_ms, error.percent)).collect();
    assert_eq!(found, [(1_000, -75), (2_000, 100)]);
    assert_eq!(errors.take_line(22_999), None, "a line before 10 s have passed");
    let line = errors.take_line(23_000).unwrap();
    assert!(
        line.starts_with("event=forecast_error forecasts_500ms=0 without_500ms=1 forecasts_1000ms=1 "),
        "{line}"
    );
    assert!(line.contains(" median_percent_1000ms=-75 abs_median_percent_1000ms=75 "), "{line}");
    assert_eq!(errors.take_line(60_000), None, "a line without errors");
}

// Guards against errors from late ticks, from runs without a result, and from the last moments of a run.
#[test]
fn record_end_leaves_out_what_cannot_be_compared() {
    let mut errors = ForecastErrors::default();
    errors.watch(&run_id(0), 0);
    errors.sample(900, |_| Some(0));
    errors.record_end(5_000, &run_id(0));
    errors.watch(&run_id(1), 0);
    errors.sample(500, |_| Some(0));
    errors.remove_run(&run_id(1));
    errors.record_end(5_000, &run_id(1));
    errors.watch(&run_id(2), 0);
    errors.sample(500, |_| Some(0));
    errors.record_end(550, &run_id(2));
    assert_eq!(errors.take(), []);
    assert_eq!(errors.watched(), 0);
}

// Guards against memory that grows with the number of runs.
#[test]
fn watch_is_bounded() {
    let mut errors = ForecastErrors::default();
    for index in 0..10_000 {
        errors.watch(&run_id(index), 0);
    }
    let watched = errors.watched();
    assert!(watched < 5_000, "{watched} runs are watched");
    errors.sample(500, |_| Some(1_000));
    (0..10_000).for_each(|index| errors.record_end(2_000, &run_id(index)));
    assert_eq!(errors.watched(), 0);
    assert!(errors.take().len() <= watched.min(2_000), "errors pile up for metrics that nobody takes");
}

/// Returns the number in a field of a log line.
fn number(line: &str, field: &str) -> u64 {
    let value = line.split(' ').find_map(|pair| pair.strip_prefix(&format!("{field}=")));
    value.and_then(|text| text.parse().ok()).unwrap_or_else(|| panic!("no {field} in {line}"))
}

/// Returns a fleet of six workers with known speeds of about 0.6, 1.0 and 1.6, two of each.
fn fleet_with_speeds() -> Fleet {
    let mut fleet = Fleet::new(6);
    for job in ["a", "b", "c", "d"] {
        run_at_speeds(&mut fleet, job, &[600, 600, 1_000, 1_000, 1_600, 1_600]);
    }
    fleet.planner.take_log();
    fleet
}

/// Runs a gang of three, one on each of the first workers, for a time; returns the line on its end.
fn run_gang(fleet: &mut Fleet, estimate_ms: u64, ms: u64) -> String {
    let gang = Step { gang: true, estimate_ms, ..step(3, 8) };
    fleet.submit("gang", "plain", vec![gang]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    let on: Vec<bool> = fleet.reports.iter().map(|report| !report.running.is_empty()).collect();
    assert_eq!(on, [true, true, true, false, false, false]);
    for _ in 0..ms / REPORT_INTERVAL_MS {
        fleet.advance(REPORT_INTERVAL_MS);
    }
    fleet.end_runs("gang", EndReason::Done);
    fleet.advance(0);
    lines_of(&fleet.planner.take_log(), "job_ended").remove(0)
}

// Guards against a gang on a slow worker that counts as long instead of late: its caller's target is by its work.
#[test]
fn job_ended_judges_gang_by_work_on_slowest_member() {
    let mut fleet = fleet_with_speeds();
    let slowest = fleet.planner.speed_summary().unwrap().slowest_milli;
    let queue = Queue { stretch_milli: 1_500, full_value_ms: 250, ..queue("plain", 1) };
    let desired = Desired { version: 2, queues: vec![queue], ..desired() };
    fleet.planner.set_desired(Arc::new(desired));
    // By the declared estimate, and by the time that it ran, it would be in time.
    let line = run_gang(&mut fleet, 9_000, 10_000);
    assert_eq!(number(&line, "target_ms"), 13_750, "{line}");
    let expected_ms = 10_000 * slowest / 1_000 * 3 / 2 + 250;
    assert!(number(&line, "measured_target_ms").abs_diff(expected_ms) <= 300, "{expected_ms} in {line}");
    assert!(line.contains(" late=true "), "{line}");
}

// Guards against lateness judged by a declared estimate that is far off, and against views that disagree.
#[test]
fn views_judge_lateness_by_measured_work() {
    let mut fleet = Fleet::new(1);
    fleet.submit("first", "plain", vec![Step { estimate_ms: 20_000, ..step(1, 8) }]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    fleet.submit("late", "plain", vec![Step { estimate_ms: 20_000, ..step(1, 8) }]);
    for _ in 0..10 {
        fleet.advance(1_000);
    }
    fleet.end_runs("first", EndReason::Done);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    fleet.advance(1_000);
    assert_eq!(
        view(&fleet, Query::Explain("late".to_owned()))["late"],
        false,
        "late before its work is known"
    );
    fleet.end_runs("late", EndReason::Done);
    fleet.advance(0);
    let log = fleet.planner.take_log();
    let lines = lines_of(&log, "job_ended");
    assert!(lines[0].contains(" job=first ") && lines[0].contains(" late=false "), "{}", lines[0]);
    // It took 1 s but ended after 11 s: by its work it had 4 s, by the declared estimate 61 s.
    assert!(lines[1].contains(" job=late ") && lines[1].contains(" late=true "), "{}", lines[1]);
    assert_eq!(number(&lines[1], "target_ms"), 61_000);
    assert!((4_000..4_100).contains(&number(&lines[1], "measured_target_ms")), "{}", lines[1]);
    let why = view(&fleet, Query::Explain("late".to_owned()));
    assert_eq!((&why["late"], &why["target_ms"]), (&Value::from(true), &Value::from(61_000)));
    assert_eq!(why["measured_target_ms"], number(&lines[1], "measured_target_ms"));
    let burn = view(&fleet, Query::ServiceLevels);
    assert_eq!((&burn["rows"][0]["in_time"], &burn["rows"][0]["late"]), (&Value::from(1), &Value::from(1)));
}

// Guards against a target of 0 for work that no run measured, and against a resumed run that counts as short work.
#[test]
fn job_ended_falls_back_to_declared_estimate() {
    let mut fleet = Fleet::new(1);
    fleet.submit("a", "plain", vec![Step { saves_progress: true, estimate_ms: 5_000, ..step(1, 8) }]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    fleet.reports[0].running[0].saved = "half".to_owned();
    fleet.advance(1_000);
    fleet.end_runs("a", EndReason::Stopped);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    fleet.advance(1_000);
    fleet.end_runs("a", EndReason::Done);
    fleet.advance(0);
    let line = lines_of(&fleet.planner.take_log(), "job_ended").remove(0);
    assert_eq!(number(&line, "measured_target_ms"), 16_000, "{line}");
}

fn submit_for(fleet: &mut Fleet, account: &str, job: &str, queue: &str, steps: Vec<Step>) -> Admission {
    let sub = Submission {
        job: job.to_owned(),
        queue: queue.to_owned(),
        account: account.to_owned(),
        steps,
        ..Submission::default()
    };
    fleet.planner.submit(fleet.now, fleet.now, &sub)
}

// Guards against operators who can't see which account bears the cost of a shortage.
#[test]
fn view_accounts_counts_what_each_account_bears() {
    let mut fleet = Fleet::new(1);
    submit_for(&mut fleet, "guest", "first", "low", vec![step(1, 8)]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    fleet.advance(10);
    submit_for(&mut fleet, "museum", "urgent", "urgent", vec![step(1, 8)]);
    for _ in 0..30 {
        fleet.advance(100);
    }
    fleet.end_runs("first", EndReason::Stopped);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    for _ in 0..20 {
        fleet.advance(1_000);
    }
    let refused = submit_for(&mut fleet, "guest", "huge", "low", vec![step(1, 1_000)]);
    assert!(matches!(refused, Admission::Refused { .. }));
    fleet.advance(500);
    let accounts = view(&fleet, Query::Accounts);
    let guest = row(&accounts, "guest");
    assert_eq!((&guest["stopped"], &guest["refused"], &guest["late"]), (&1.into(), &1.into(), &0.into()));
    assert_eq!((&guest["refused_ms_ago"], &guest["late_ms_ago"]), (&500.into(), &Value::Null));
    assert!(guest["stopped_ms_ago"].as_u64().unwrap() > 20_000, "{guest:#}");
    // Its first job ran before, so it doesn't count as waiting.
    assert_eq!((&guest["waiting"], &guest["running"]), (&0.into(), &1.into()));
    let museum = row(&accounts, "museum");
    assert_eq!((&museum["stopped"], &museum["refused"], &museum["late"]), (&0.into(), &0.into(), &0.into()));

    // The urgent job ends, and the first one runs for a moment, long after its target.
    fleet.end_runs("urgent", EndReason::Done);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    submit_for(&mut fleet, "", "public", "low", vec![step(1, 8)]);
    fleet.advance(1_000);
    fleet.end_runs("first", EndReason::Done);
    fleet.advance(0);
    let accounts = view(&fleet, Query::Accounts);
    let guest = row(&accounts, "guest");
    assert_eq!((&guest["late"], &guest["late_ms_ago"]), (&1.into(), &0.into()), "{guest:#}");
    let public = row(&accounts, "");
    assert_eq!((&public["waiting"], &public["longest_wait_ms"]), (&1.into(), &1_000.into()), "{public:#}");
}

// Guards against memory that grows with the accounts that ever sent a job.
#[test]
fn record_drops_account_without_event_for_longest() {
    let mut counts = AccountCounts::default();
    for at in 0..5_000 {
        counts.record(at, &format!("account-{at}"), AccountEvent::Refused);
        counts.record(at, "busy", AccountEvent::Late);
    }
    assert_eq!(counts.accounts().count(), 1_000);
    assert_eq!(counts.get("busy").late.count, 5_000);
    assert_eq!(counts.get("account-4999").refused.count, 1);
    assert_eq!(counts.get("account-0").refused.count, 0);
}

fn submission(queue: &str, steps: Vec<Step>) -> Submission {
    Submission { queue: queue.to_owned(), account: "museum".to_owned(), steps, ..Submission::default() }
}

/// Returns a full fleet of three workers: one runs a job of low priority, and a job waits for all of them.
fn busy_fleet() -> Fleet {
    let mut fleet = Fleet::new(3);
    // An urgent job has so little time that runs are stopped for it at once.
    let urgent = Queue { stretch_milli: 1_500, full_value_ms: 250, ..queue("urgent", 0) };
    let queues = vec![urgent, queue("plain", 1), queue("low", 2)];
    fleet.planner.set_desired(Arc::new(Desired { version: 2, queues, ..desired() }));
    fleet.submit("low", "low", vec![Step { estimate_ms: 5_000, ..step(3, 8) }]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    assert!(matches!(fleet.submit("next", "low", vec![step(3, 8)]), Admission::Accepted { .. }));
    fleet.advance(10);
    fleet
}

// Guards against an answer that changes what it is about: state, records to store, agents to wake, lines and counts.
#[yare::parameterized(
    placed = { "plain", vec![step(1, 0)] },
    preempting = { "urgent", vec![Step { gang: true, estimate_ms: 100, ..step(2, 8) }] },
    waiting = { "low", vec![step(3, 8)] },
    refused = { "plain", vec![step(1, 1_000)] },
)]
fn explain_changes_nothing(queue: &str, steps: Vec<Step>) {
    let mut fleet = busy_fleet();
    fleet.planner.take_log();
    fleet.planner.take_agents_to_wake();
    fleet.planner.take_agents_to_wake_after_store();
    let (now, before) = (fleet.now + 5_000, format!("{:?}", fleet.planner));
    fleet.planner.trial().explain(now, now, &submission(queue, steps));
    assert_eq!(format!("{:?}", fleet.planner), before);
    assert!(fleet.planner.take_changes().is_none(), "there are records to store");
    assert!(fleet.planner.take_agents_to_wake().is_empty(), "agents are woken");
    assert!(fleet.planner.take_agents_to_wake_after_store().is_empty(), "agents are woken");
    assert!(fleet.planner.take_log().is_empty(), "lines are logged");
    assert_eq!(fleet.planner.state("trial"), None);
}

// Guards against an answer from other rules than those by which the same job is placed right after.
#[test]
fn explain_names_workers_that_submit_gets() {
    let mut fleet = Fleet::new(6);
    fleet.submit("other", "plain", vec![step(2, 5)]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    let gang = Step { gang: true, ..step(3, 4) };
    let after = Step { depends_on: vec![0], ..step(2, 1) };
    let steps = vec![gang, after, step(2, 6)];
    let answer = fleet.planner.trial().explain(fleet.now, fleet.now, &submission("plain", steps.clone()));
    assert_eq!(answer["admitted"], true, "{answer:#}");
    fleet.submit("real", "plain", steps);
    fleet.advance(0);
    let log = fleet.planner.take_log();
    for number in [0, 2] {
        let mut workers: BTreeMap<String, u64> = BTreeMap::new();
        for line in lines_of(&log, "placed") {
            if line.contains(&format!(" task=real.0.{number}.")) {
                let names = line.rsplit_once("workers=").unwrap().1;
                names.split(',').for_each(|name| *workers.entry(name.to_owned()).or_default() += 1);
            }
        }
        assert_eq!(answer["rows"][number]["workers"], json!(workers), "step {number} of {answer:#}");
    }
    let why = answer["rows"][1]["why"].as_str().unwrap();
    assert_eq!(why, "a step that it depends on is not done");
}

// Guards against a wait or refusal without its reason.
#[test]
fn explain_tells_reason_of_wait_and_refusal() {
    let fleet = busy_fleet();
    let explain = |queue: &str, steps: Vec<Step>| {
        fleet.planner.trial().explain(fleet.now, fleet.now, &submission(queue, steps))
    };
    let waits = explain("low", vec![step(1, 8)]);
    assert_eq!((&waits["admitted"], &waits["stops"]), (&json!(true), &json!(0)));
    assert_eq!((&waits["rows"][0]["placed"], &waits["rows"][0]["waiting"]), (&json!(0), &json!(1)));
    let why = waits["rows"][0]["why"].as_str().unwrap();
    assert!(why.starts_with("resources: waiting for 0 ms, workers: 3 without room"), "{why}");

    let refused = explain("plain", vec![step(1, 1_000)]);
    assert_eq!((&refused["admitted"], &refused["retry_after_ms"]), (&json!(false), &json!(60_000)));
    assert!(refused["why"].as_str().unwrap().contains("the fleet has 0"), "{refused:#}");

    let later = Schedule { occurrences: 2, first_ms: fleet.now + 700, interval_ms: 1_000 };
    let sub = Submission { schedule: Some(later), ..submission("plain", vec![step(1, 1)]) };
    let due = fleet.planner.trial().explain(fleet.now, fleet.now, &sub);
    assert_eq!(due["rows"][0]["why"], "due in 700 ms", "{due:#}");
}

// Guards against stops that operators aren't told about.
#[test]
fn explain_tells_runs_that_would_be_stopped() {
    let fleet = busy_fleet();
    let urgent = Step { gang: true, estimate_ms: 100, ..step(2, 8) };
    let now = fleet.now;
    let answer = fleet.planner.trial().explain(now, now, &submission("urgent", vec![urgent]));
    let stops = answer["stops"].as_u64().unwrap();
    assert_eq!(stops, 2, "{answer:#}");
    assert!(answer["stopped_runs"].as_str().unwrap().contains("low.0.0."), "{answer:#}");
    assert!(answer["rows"][0]["why"].as_str().unwrap().starts_with("stops: "), "{answer:#}");
}
