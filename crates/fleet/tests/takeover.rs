//! Tests what a new planner knows of the runs that an earlier one placed.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use sorrelland_fleet::digest::Digest;
use sorrelland_fleet::job::Step;
use sorrelland_fleet::planner::Planner;
use sorrelland_fleet::record;
use sorrelland_fleet::report::{EndReason, FirstMark};

const JOB: &str = "00000000000000a1";

/// Work of the job's runs, five times what it declares, in milliseconds.
const RUN_MS: u64 = 10_000;

/// Replaces the planner by one that knows what is stored.
fn take_over(fleet: &mut Fleet) {
    let records = fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let (jobs, findings) = record::read(records);
    assert!(findings.is_empty(), "{findings:?}");
    fleet.planner = Planner::new(TIMING, Arc::new(desired()), jobs, fleet.now);
}

fn report_progress(fleet: &mut Fleet, started_at: u64) {
    let percent = (fleet.now - started_at) * 100 / RUN_MS;
    for report in &mut fleet.reports {
        report.running.iter_mut().for_each(|run| run.percent = percent);
    }
}

/// Sets what the agents first saw of their runs, as of the next report.
fn set_first_marks(fleet: &mut Fleet, started_at: u64, next_ms: u64) {
    let age_ms = fleet.now + next_ms - started_at;
    for report in &mut fleet.reports {
        let marks = report.running.iter().map(|run| FirstMark {
            task: run.task.clone(),
            run: run.run,
            age_ms,
            percent: 0,
            is_start: true,
        });
        report.first_marks = marks.collect();
    }
}

fn drain_log(fleet: &mut Fleet, event: &str) -> Vec<String> {
    fleet.planner.tick(fleet.now, fleet.now);
    fleet.planner.take_log().into_iter().filter(|line| line.starts_with(event)).collect()
}

/// Starts the job's runs and lets them work until 40%; returns when they started.
fn start(fleet: &mut Fleet, gang: bool) -> u64 {
    let step = Step { gang, ..step(4, 1) };
    fleet.submit(JOB, "urgent", vec![step]);
    let assignments = fleet.advance(50);
    fleet.mark_running(&assignments);
    let started_at = fleet.now;
    for _ in 0..40 {
        fleet.advance(100);
        report_progress(fleet, started_at);
    }
    started_at
}

/// Guards against figures of a run that begin anew with each leader.
#[yare::parameterized(gang = { true }, singles = { false })]
fn run_keeps_its_age_and_its_job_the_measured_target(gang: bool) {
    let mut fleet = Fleet::new(2);
    let started_at = start(&mut fleet, gang);
    take_over(&mut fleet);
    set_first_marks(&mut fleet, started_at, 100);
    fleet.advance(100);
    fleet.reports.iter_mut().for_each(|report| report.first_marks.clear());
    while fleet.now < started_at + RUN_MS {
        report_progress(&mut fleet, started_at);
        fleet.advance(100);
    }
    fleet.end_runs(JOB, EndReason::Done);
    fleet.advance(100);
    let log = fleet.planner.take_log();
    let ran_ms = |line: &&String| line.split("ran_ms=").nth(1)?.split(' ').next()?.parse::<u64>().ok();
    let ran: Vec<u64> = log
        .iter()
        .filter(|line| line.starts_with("event=run_ended"))
        .filter_map(|line| ran_ms(&line))
        .collect();
    assert!(!ran.is_empty() && ran.iter().all(|ms| ms.abs_diff(RUN_MS) <= 300), "{ran:?}");
    let ended = drain_log(&mut fleet, "event=job_ended");
    let ended =
        log.iter().filter(|line| line.starts_with("event=job_ended")).chain(&ended).collect::<Vec<_>>();
    assert_eq!(ended.len(), 1, "{ended:?}");
    assert!(
        ended[0].contains("late=false"),
        "a long job within three times its work is in time: {}",
        ended[0]
    );
}

/// Guards against remaining times that are unknown for seconds after a takeover.
#[test]
fn remaining_time_is_known_with_the_first_report() {
    let mut fleet = Fleet::new(2);
    let started_at = start(&mut fleet, false);
    take_over(&mut fleet);
    set_first_marks(&mut fleet, started_at, 100);
    fleet.advance(100);
    let view = fleet.planner.take_forecast_errors();
    assert!(view.is_empty(), "no run has ended");
    let remaining_ms = fleet.planner.remaining_ms(fleet.now, JOB);
    let true_ms = started_at + RUN_MS - fleet.now;
    assert_eq!(remaining_ms.len(), 4);
    assert!(remaining_ms.iter().all(|ms| ms.abs_diff(true_ms) <= 600), "{remaining_ms:?}, not {true_ms}");
}

/// Guards against an end that each leader logs anew although none has stored it.
#[test]
fn end_of_job_is_logged_once_it_is_stored() {
    let mut fleet = Fleet::new(2);
    start(&mut fleet, false);
    fleet.end_runs(JOB, EndReason::Done);
    fleet.now += 100;
    fleet.seq += 1;
    for report in &mut fleet.reports {
        report.seq = fleet.seq;
        fleet.planner.apply_report(fleet.now, fleet.now, fleet.now, report);
    }
    assert!(drain_log(&mut fleet, "event=job_ended").is_empty(), "the end isn't stored yet");
    take_over(&mut fleet);
    fleet.advance(100);
    assert_eq!(drain_log(&mut fleet, "event=job_ended").len(), 1);
}

/// Guards against decisions that follow from figures of another version or a broken agent.
#[yare::parameterized(
    too_much_progress = { FirstMark { percent: 400, ..mark(1_000) } },
    too_old = { mark(u64::MAX) },
    other_run = { FirstMark { run: 9, ..mark(1_000) } },
)]
fn absurd_first_mark_changes_nothing(first_mark: FirstMark) {
    let mut fleet = Fleet::new(1);
    let started_at = start(&mut fleet, false);
    take_over(&mut fleet);
    fleet.reports[0].first_marks = vec![first_mark];
    fleet.advance(100);
    report_progress(&mut fleet, started_at);
    assert!(fleet.planner.remaining_ms(fleet.now, JOB).is_empty());
}

fn mark(age_ms: u64) -> FirstMark {
    let task = sorrelland_fleet::Task { job: JOB.to_owned(), occurrence: 0, step: 0, index: 0 };
    FirstMark { task, run: 1, age_ms, percent: 0, is_start: true }
}

fn read_digest(value: &str) -> (Option<Digest>, Option<String>) {
    Digest::read([("learned", value.as_bytes())].into_iter(), 1_000)
}

/// Guards against speeds, estimates and a reserve that are learned anew with each leader.
#[test]
fn digest_is_the_same_after_a_takeover() {
    let mut fleet = Fleet::new(4);
    for job in 0..6 {
        let name = format!("{:016x}", 0xa0 + job);
        fleet.submit(&name, "urgent", vec![step(4, 1)]);
        let assignments = fleet.advance(50);
        fleet.mark_running(&assignments);
        let started_at = fleet.now;
        for _ in 0..10 {
            fleet.advance(100);
            report_progress(&mut fleet, started_at);
        }
        fleet.end_runs(&name, EndReason::Done);
        fleet.advance(50);
    }
    assert!(fleet.stored.contains_key("learned"), "it travels with other changes");
    let before = fleet.planner.digest(fleet.now, fleet.now);
    let value = serde_json::to_string(&before).unwrap();
    let (digest, finding) = Digest::read([("learned", value.as_bytes())].into_iter(), fleet.now);
    assert_eq!(finding, None);
    take_over(&mut fleet);
    fleet.planner.restore(fleet.now, fleet.now, digest.unwrap());
    assert_eq!(fleet.planner.digest(fleet.now, fleet.now), before);
    assert_ne!(before, Digest::default());
}

/// Guards against decisions that follow from a record of another version or a broken writer.
#[test]
fn read_leaves_out_what_cannot_be_true() {
    assert_eq!(read_digest(r#"{"made_at": 1000, "new_field": 7}"#).1, None, "fields may be missing or new");
    let (digest, finding) = read_digest("[1, 2");
    assert!(digest.is_none() && finding.is_some());
    let absurd = r#"{"made_at": 1000, "speeds": [["w0", 0, 3], ["w1", 900, 3]], "ratios": {"urgent": [99.0, 0.1]},
        "mean_work": {"urgent": -4.0}, "preemptions": {"urgent": [1, 5]}, "arrivals": {"svc": [[10, -8]]}}"#;
    let (digest, finding) = read_digest(absurd);
    let rest = r#"{"made_at": 1000, "speeds": [["w1", 900, 3]], "ratios": {"urgent": [0.1]}, "arrivals": {"svc": []}}"#;
    assert_eq!(digest, read_digest(rest).0);
    assert!(finding.is_some_and(|finding| finding.contains("5 entries")));
    let old = Digest::read([("learned", r#"{"made_at": 1000}"#.as_bytes())].into_iter(), 10_000_000);
    assert_eq!(old, (None, None), "the work may have changed since");
}

/// Guards against a planner that ends on the figures of another writer, and again with each next leader.
#[test]
fn digest_at_the_limits_of_its_types_ends_no_planner() {
    let limits = r#"{"made_at": 18446744073709551615, "speeds": [["w0", 10000, 1000]], "ratios": {"urgent": [7.0, -7.0]},
        "mean_work": {"urgent": 1e308}, "preemptions": {"urgent": [4294967295, 4294967295]},
        "arrivals": {"svc": [[0, 9223372036854775807], [0, 9223372036854775807], [0, 9223372036854775807],
            [18446744073709551615, 9223372036854775807]]}}"#;
    let (digest, finding) = read_digest(limits);
    assert!(finding.as_ref().is_some_and(|finding| finding.contains("5 entries")), "{finding:?}");
    let mut fleet = Fleet::new(4);
    fleet.planner.restore(fleet.now, fleet.now, digest.unwrap());
    // Work that leaves a reserve free, then urgent work that may preempt it.
    for (job, queue) in [("00000000000000b1", "low"), ("00000000000000b2", "low"), (JOB, "urgent")] {
        fleet.submit(job, queue, vec![step(32, 1)]);
        for _ in 0..5 {
            let assignments = fleet.advance(100);
            fleet.mark_running(&assignments);
        }
    }
    assert!(fleet.planner.state(JOB).is_some());
}
