//! Tests the report on the runs of a subtask with the log lines of several processes.

use sorrelland_ctl::runs::{Log, Report, report};

/// Joins lines, each with a time in milliseconds after midnight, into a log.
fn log(lines: &[(u64, &str)]) -> String {
    let line = |(ms, text): &(u64, &str)| {
        format!("ts=2026-01-31T00:00:{:02}.{:03}Z level=INFO {text}\n", ms / 1_000, ms % 1_000)
    };
    lines.iter().map(line).collect()
}

const ENTRY: [(u64, &str); 7] = [
    (0, "event=started role=entry instance=front-1 life=1"),
    (100, "event=worker_joined worker=w1 agent=side-1 agent_incarnation=11 seq=1"),
    (100, "event=worker_joined worker=w2 agent=side-2 agent_incarnation=12 seq=1"),
    (100, "event=worker_joined worker=w3 agent=side-3 agent_incarnation=13 seq=1"),
    (1_000, "event=placed job=a task=a.0.0.7 run=1 waited_ms=0 waits=\"\" workers=w1"),
    (1_000, "event=placed job=a task=a.0.0.8 run=1 waited_ms=0 waits=\"\" workers=w3"),
    (2_000, "event=placed job=a task=a.0.0.7 run=2 waited_ms=0 waits=\"\" workers=w2"),
];
const FIRST_AGENT: [(u64, &str); 3] = [
    (0, "event=started role=agent instance=side-1 life=11"),
    (1_010, "event=started job=a task=a.0.0.7 run=1 worker=w1 token=1"),
    (1_010, "event=worker_announced worker=w1 draining=false effect=updated"),
];
const SECOND_AGENT: [(u64, &str); 3] = [
    (0, "event=started role=agent instance=side-2 life=12"),
    (50, "event=worker_announced worker=w2 draining=false effect=adopted"),
    (2_010, "event=started job=a task=a.0.0.7 run=2 worker=w2 token=1"),
];
const THIRD_AGENT: [(u64, &str); 3] = [
    (0, "event=started role=agent instance=side-3 life=13"),
    (50, "event=worker_announced worker=w3 draining=false effect=adopted"),
    (1_010, "event=started job=a task=a.0.0.8 run=1 worker=w3 token=1"),
];

const FOREIGN: &str = "event=incarnation_ended worker=w1 cause=announcement replaced_by=\"w9\" service=\"other\" \
                       address=\"10.0.0.9:80\" seq=4 from=10.0.0.9:555 current=\"w1\" runs=1 lease_left_ms=4000";
const LAST_LEASE: &str = "event=incarnation_ended worker=w1 cause=announcement replaced_by=\"w9\" service=\"svc\" \
                          address=\"10.0.0.1:80\" seq=1 from=10.0.0.1:555 current=\"w1\" runs=1 lease_left_ms=300";
const CONFIRMED: &str = "event=incarnation_ended worker=w1 cause=replaced replaced_by=\"w9\" service=\"svc\" \
                         address=\"10.0.0.1:80\" seq=1 from=10.0.0.1:555 current=\"w1\" runs=1 lease_left_ms=4000";
const OTHER_REPLIED: &str = "event=incarnation_ended worker=w1 cause=call call=poll token=1 current=\"w1\" runs=1 \
                             lease_left_ms=4000";
const LAPSED: &str = "event=incarnation_ended worker=w1 cause=lease_expiry lease_over_ms=900 margin_ms=800 \
                      current=\"w1\" runs=1 lease_left_ms=0";
const DEPARTED: &str = "event=incarnation_ended worker=w1 cause=departure call=refused current=\"w1\" runs=1 \
                        lease_left_ms=4000";
const IGNORED: &str = "event=announcement_ignored worker=w1 reason=other_incarnation seq=9 count=1";
const REPLACED: &str = "event=run_gone job=a task=a.0.0.7 run=1 worker=w1 ran_ms=600 why=\"its worker was replaced \
                        by a new incarnation\" agent=side-1 agent_incarnation=11 seq=21 replaced_by=\"w9\"";
const LEFT: &str = "event=run_gone job=a task=a.0.0.7 run=1 worker=w1 ran_ms=600 why=\"the worker has left\" \
                    agent=side-1 agent_incarnation=11 seq=21 replaced_by=\"\"";
const LEASE_OVER: &str = "event=run_gone job=a task=a.0.0.7 run=1 worker=w1 ran_ms=600 why=\"its lease has run \
                          out\" agent=side-1 agent_incarnation=11 seq=21 replaced_by=\"\"";
const NO_REPORT: &str = "event=run_gone job=a task=a.0.0.7 run=1 worker=w1 ran_ms=600 why=\"no report from its \
                         agent before the grant expired\" agent=side-1 agent_incarnation=11 seq=9 replaced_by=\"\"";
const NO_SOURCE: &str = "event=run_gone job=a task=a.0.0.7 run=1 worker=w1 ran_ms=600 why=\"its worker was replaced \
                         by a new incarnation\"";
const FAILED: &str = "event=run_ended job=a task=a.0.0.7 run=1 how=Failed worker=w1 ran_ms=600 fails=1";

/// Reports on `task` with further lines of the planner and of the first agent.
fn report_of(task: &str, planner: &[(u64, &str)], agent: &[(u64, &str)]) -> Report {
    let entry = log(&[&ENTRY, planner].concat());
    let first = log(&[&FIRST_AGENT, agent].concat());
    let (second, third) = (log(&SECOND_AGENT), log(&THIRD_AGENT));
    let texts = [("e.log", &entry), ("a1.log", &first), ("a2.log", &second), ("a3.log", &third)];
    let logs: Vec<Log<'_>> = texts.iter().map(|(path, text)| Log { path, text }).collect();
    report(&logs, task)
}

#[yare::parameterized(
    foreign_announcement = {
        &[(1_605, REPLACED)],
        &[(1_600, FOREIGN), (1_900, IGNORED)],
        &[
            "side-1/agent gave it up at 00:00:01.600Z: an announcement of w9 (service other, address 10.0.0.9:80, \
             seq 4, from 10.0.0.9:555) counted as its next incarnation",
            "its lease might last until 00:00:05.600Z",
            "its worker announced itself at 00:00:01.900Z again",
        ],
    },
    no_line_of_agent = {
        &[(1_605, REPLACED)],
        &[],
        &["the planner gave it up at 00:00:01.605Z", "report seq 21 of side-1, incarnation 11"],
    },
    no_source = { &[(1_605, NO_SOURCE)], &[], &["the planner gave it up", "no log shows its lease"] },
    no_end = { &[], &[], &["no log shows its end"] },
    later_end = { &[(2_500, FAILED)], &[], &["it ended at 00:00:02.500Z"] },
)]
fn report_names_cause_of_overlap(planner: &[(u64, &str)], agent: &[(u64, &str)], expected: &[&str]) {
    let found = report_of("a.0.0.7", planner, agent);
    assert_eq!(found.overlaps.len(), 1, "{found:#?}");
    let text = &found.overlaps[0].text;
    let runs = "run 1 on w1 may have been running when run 2 started on w2 at 00:00:02.010Z";
    for part in expected.iter().chain([&runs]) {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[yare::parameterized(
    departure = { true, &[(1_605, LEFT)], &[(1_600, DEPARTED)] },
    confirmed_replacement = { true, &[(1_605, REPLACED)], &[(1_600, CONFIRMED)] },
    another_incarnation_replied = { true, &[(1_605, REPLACED)], &[(1_600, OTHER_REPLIED)] },
    lease_expired = { true, &[(1_605, LEASE_OVER)], &[(1_600, LAPSED)] },
    lease_over_before_next_start = { false, &[(1_605, REPLACED)], &[(1_600, LAST_LEASE)] },
    grant_expired = { true, &[(1_605, NO_REPORT)], &[] },
    failed = { true, &[(1_605, FAILED)], &[] },
    failed_before_foreign_announcement = { true, &[(1_605, FAILED)], &[(1_600, FOREIGN)] },
)]
fn report_finds_no_overlap(confirmed: bool, planner: &[(u64, &str)], agent: &[(u64, &str)]) {
    let found = report_of("a.0.0.7", planner, agent);
    assert!(found.overlaps.is_empty(), "{found:#?}");
    assert!(found.overlaps_text().starts_with("no overlap"));
    assert_eq!(found.runs_json()["rows"][0]["confirmed"], confirmed);
}

#[test]
fn report_shows_lines_of_workers_and_their_agents() {
    let found = report_of("a.0.0.7", &[(1_605, REPLACED)], &[(1_600, FOREIGN), (1_900, IGNORED)]);
    let text = found.lines_text();
    assert!(!text.contains("w3") && !text.contains("side-3"), "{text}");
    let times: Vec<&str> =
        text.lines().filter_map(|line| line.split("ts=").nth(1)?.split(' ').next()).collect();
    assert!(times.is_sorted(), "{text}");
    let line = text.lines().find(|line| line.contains("incarnation_ended")).unwrap();
    assert!(line.starts_with("side-1/agent   ts=2026-01-31T00:00:01.600Z"), "{line}");
    let runs = found.runs_json();
    assert_eq!(runs["rows"][0]["agent"], "side-1");
    assert_eq!(runs["rows"][0]["started"], "00:00:01.010Z");
    assert_eq!(runs["rows"][0]["confirmed"], false);
    assert_eq!((&runs["rows"][1]["run"], &runs["rows"][1]["worker"]), (&2.into(), &"w2".into()));
    assert_eq!(found.overlaps_json()[0]["earlier"], 1);
    assert_eq!(found.lines_json().as_array().unwrap().len(), text.lines().count());
}

#[test]
fn report_finds_worker_of_gang_member() {
    let gang = [(3_000, "event=placed job=b task=b.0.0.0 run=1 waited_ms=0 waits=\"\" workers=w1,w3")];
    let found = report_of("b.0.0.1", &gang, &[]);
    assert_eq!(found.runs.len(), 1);
    assert_eq!(found.runs[0].worker, "w3");
    assert!(report_of("b.0.0.2", &gang, &[]).runs.is_empty());
}

#[test]
fn report_keeps_runs_of_one_number_on_two_workers_apart() {
    let again = [(4_000, "event=placed job=a task=a.0.0.7 run=2 waited_ms=0 waits=\"\" workers=w1")];
    let found = report_of("a.0.0.7", &[&[(1_605, FAILED)][..], &again].concat(), &[]);
    assert_eq!(found.runs.len(), 3);
    assert_eq!(found.overlaps.len(), 1, "{found:#?}");
    assert!(found.overlaps[0].text.starts_with("run 2 on w2 may have been running when run 2 started on w1"));
}
