//! Tests the report on late jobs with the log lines of several processes.

use serde_json::Value;
use sorrelland_ctl::late::{Report, report};

/// Joins lines, each with a time in milliseconds after midnight, into logs.
fn logs(lines: &[(u64, &str)]) -> String {
    let line = |(ms, text): &(u64, &str)| {
        format!("ts=2026-01-31T00:00:{:02}.{:03}Z level=INFO {text}\n", ms / 1_000, ms % 1_000)
    };
    lines.iter().map(line).collect()
}

fn report_of(lines: &[(u64, &str)]) -> Report {
    report(logs(lines).lines(), i64::MIN)
}

const REFUSED: &str = "event=refused job=a queue=q account=c priority=0 value=4.00 epoch=1 retry_after_ms=3000 \
                       why=\"2000 ms of work ahead\"";
const REFUSAL_ANSWERED: &str = "event=submit_answered job=a queue=q status=429 took_ms=1";
const ACCEPTED: &str =
    "event=accepted job=a queue=q account=c priority=0 occurrences=1 shape=\"2x1m/1MB/1acc~900ms:gang\"";
const WAITING: &str = "event=waiting job=a task=a.0.0.0 why=resources free_accelerators=1 held=\"p0:6,p1:9\"";
const PLACED: &str = "event=placed job=a task=a.0.0.0 run=1 waited_ms=0 waits=\"\" workers=w1,w2";
const PLACED_AGAIN: &str = "event=placed job=a task=a.0.0.0 run=2 waited_ms=0 waits=\"\" workers=w1,w2";
const STARTED: &str = "event=started job=a task=a.0.0.1 run=1 worker=w2 token=1";
const STARTED_AGAIN: &str = "event=started job=a task=a.0.0.1 run=2 worker=w2 token=1";
const DONE: &str = "event=run_ended job=a task=a.0.0.0 run=1 how=Done worker=w1 ran_ms=1000 fails=0";
const DONE_AGAIN: &str = "event=run_ended job=a task=a.0.0.0 run=2 how=Done worker=w1 ran_ms=1000 fails=0";
const ENDED: &str =
    "event=job_ended job=a outcome=Completed age_ms=5000 target_ms=2000 value=4.00 value_lost=2.80";

/// Lines of a first run that ends after 2.5 s as `end` says, and of a second one with the result.
fn two_runs<'a>(end: &[(u64, &'a str)]) -> Vec<(u64, &'a str)> {
    let again = [(2_510, PLACED_AGAIN), (2_520, STARTED_AGAIN), (3_520, DONE_AGAIN), (3_520, ENDED)];
    [&[(0, ACCEPTED), (0, PLACED), (10, STARTED)], end, &again].concat()
}

#[yare::parameterized(
    refused = {
        "refused",
        &[
            (0, REFUSED),
            (1, REFUSAL_ANSWERED),
            (3_000, PLACED),
            (3_010, ACCEPTED),
            (3_020, STARTED),
            (4_020, DONE),
            (4_020, ENDED),
        ],
    },
    no_answer = {
        "no answer",
        &[
            (2_500, "event=submit_answered job=a queue=q status=504 took_ms=2500"),
            (3_000, PLACED),
            (3_010, ACCEPTED),
            (3_020, STARTED),
            (4_020, DONE),
            (4_020, ENDED),
        ],
    },
    resources = {
        "resources",
        &[
            (0, ACCEPTED),
            (0, WAITING),
            (
                4_000,
                "event=placed job=a task=a.0.0.0 run=1 waited_ms=4000 waits=\"resources:3800,stops:200\" workers=w1,w2",
            ),
            (4_020, STARTED),
            (5_020, DONE),
            (5_020, ENDED),
        ],
    },
    start = { "start", &[(0, ACCEPTED), (0, PLACED), (3_000, STARTED), (4_000, DONE), (4_000, ENDED)] },
    failed_run = {
        "failed run",
        &two_runs(&[(
            2_500,
            "event=run_ended job=a task=a.0.0.1 run=1 how=Failed worker=w2 ran_ms=2500 fails=1",
        )]),
    },
    preempted = {
        "preempted",
        &two_runs(&[
            (2_400, "event=preempted job=a task=a.0.0.0 run=1 why=\"resources needed for b\""),
            (2_500, "event=run_ended job=a task=a.0.0.1 run=1 how=Stopped worker=w2 ran_ms=2500 fails=0"),
        ]),
    },
    worker_lost = {
        "worker lost",
        &two_runs(&[(
            2_500,
            "event=run_gone job=a task=a.0.0.1 run=1 worker=w2 ran_ms=2500 why=\"its lease has run out\"",
        )]),
    },
    long_run = { "long run", &[(0, ACCEPTED), (0, PLACED), (10, STARTED), (5_000, DONE), (5_000, ENDED)] },
    failed = {
        "failed",
        &[
            (0, ACCEPTED),
            (
                5_000,
                "event=job_ended job=a outcome=Failed age_ms=5000 target_ms=2000 value=4.00 value_lost=4.00",
            ),
        ],
    },
    not_accepted = { "not accepted", &[(0, REFUSED), (1, REFUSAL_ANSWERED)] },
    not_ended = { "not ended", &[(0, ACCEPTED), (9_000, PLACED)] },
)]
fn report_names_cause(cause: &str, lines: &[(u64, &str)]) {
    let found = report_of(lines);
    assert_eq!(found.late.len(), 1, "{found:#?}");
    assert_eq!(found.late[0].cause, cause, "{found:#?}");
}

#[yare::parameterized(
    in_time = {
        &[
            (0, ACCEPTED),
            (0, PLACED),
            (10, STARTED),
            (1_010, DONE),
            (
                1_010,
                "event=job_ended job=a outcome=Completed age_ms=1010 target_ms=2000 value=4.00 value_lost=0.00",
            ),
        ],
    },
    cancelled = {
        &[
            (0, ACCEPTED),
            (
                9_000,
                "event=job_ended job=a outcome=Cancelled age_ms=9000 target_ms=2000 value=4.00 value_lost=0.00",
            ),
        ],
    },
)]
fn report_leaves_out(lines: &[(u64, &str)]) {
    assert!(report_of(lines).late.is_empty());
}

#[test]
fn report_shows_what_held_resources_and_sums_lost_value() {
    let found = report_of(&[
        (0, ACCEPTED),
        (0, WAITING),
        (
            4_000,
            "event=placed job=a task=a.0.0.0 run=1 waited_ms=4000 waits=\"resources:4000\" workers=w1,w2",
        ),
        (5_000, DONE),
        (5_000, ENDED),
    ]);
    let (jobs, causes) = (found.jobs_json(), found.causes_json());
    assert_eq!(jobs["rows"][0]["held"], "p0:6,p1:9");
    assert_eq!(jobs["rows"][0]["declared_ms"], 900);
    assert_eq!(causes["rows"][0]["cause"], "resources");
    assert_eq!(causes["rows"][0]["value_lost"], 2.8);
    assert_eq!(causes["jobs"], Value::from(1));
}

#[test]
fn report_skips_prefixes_damaged_lines_and_earlier_jobs() {
    let text = logs(&[(0, ACCEPTED), (0, PLACED), (5_000, DONE), (5_000, ENDED)]);
    let prefixed: Vec<String> = text.lines().map(|line| format!("12.5 instance-1 {line}")).collect();
    let damaged =
        ["", "ts=never event=placed job=a", "event=placed job=a", "ts=2026-01-31T00:00:01.000Z noise"];
    let lines = || prefixed.iter().map(String::as_str).chain(damaged);
    let found = report(lines(), i64::MIN);
    assert_eq!(found.late.len(), 1, "{found:#?}");
    assert_eq!(found.late[0].age_ms, 5_000);
    let midnight_ms = 1_769_817_600_000;
    assert_eq!(report(lines(), midnight_ms + 1).jobs, 0);
}

// Guards against lateness judged by the declared estimates: the target of both jobs by these lies between.
#[yare::parameterized(
    late = { "target_ms=9000 measured_target_ms=2000 late=true", 1 },
    in_time = { "target_ms=2000 measured_target_ms=9000 late=false", 0 },
)]
fn report_judges_by_measured_target(targets: &str, late: usize) {
    let ended =
        format!("event=job_ended job=a outcome=Completed age_ms=5000 {targets} value=4.00 value_lost=2.80");
    let found = report_of(&[(0, ACCEPTED), (0, PLACED), (10, STARTED), (5_000, DONE), (5_000, &ended)]);
    assert_eq!(found.late.len(), late, "{found:#?}");
    assert!(found.late.iter().all(|job| job.target_ms == 2_000), "{found:#?}");
}
