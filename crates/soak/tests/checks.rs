//! Checks of the promises on histories of one worker or two, one broken promise each.

use std::collections::BTreeMap;
use std::fs;
use std::sync::atomic::{AtomicU32, Ordering};

use sorrelland_soak::checks::Evidence;
use sorrelland_soak::deployment::Life;
use sorrelland_soak::history::History;
use sorrelland_soak::impairments::{Impairments, STORE};
use sorrelland_soak::jobs::{Call, Job, Record, Step};
use sorrelland_soak::waits::late_starts;
use sorrelland_standin::clock::wall_ms;

const JOB: &str = "00000000000000a1";

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

fn call(at_ms: u64, status: u16, state: &str) -> Call {
    Call { entry: 1, sent_ms: at_ms, answered_ms: at_ms, status, state: state.to_owned() }
}

/// A job with two steps of one subtask each, the second after the first, accepted at 10,000 ms.
fn record() -> Record {
    let step = |after| Step { count: 1, needs: (1_000, 1_024, 2), after, gang: false, one_rack: false };
    let job = Job {
        id: JOB.to_owned(),
        queue: "/orders/",
        steps: vec![step(vec![]), step(vec![0])],
        run_ms: 100,
        spec: "run_ms=100".to_owned(),
        label: String::new(),
        cancelled_after_ms: None,
        changes_entries: false,
    };
    Record { submits: vec![call(10_000, 200, "")], ..Record::new(job) }
}

fn started(at_ms: u64, task: &str, run: u64) -> String {
    format!("at_ms={at_ms} worker=w event=started task={task} run={run} token=1 spec=\"run_ms=100\"\n")
}

fn ended(at_ms: u64, task: &str, run: u64, n: u64, how: &str) -> String {
    format!("at_ms={at_ms} worker=w event=ended task={task} run={run} n={n} how={how}\n")
}

/// Returns the history of what two workers printed.
fn history(first: &str, second: &str) -> History {
    let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("sorrelland-checks-{}-{number}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let lives = [(1, "w-1-1", first), (2, "w-2-1", second)].map(|(worker, name, log)| {
        fs::write(dir.join(format!("{name}.log")), log).unwrap();
        Life { worker, name: name.to_owned(), killed_ms: None }
    });
    let history = History::read(&dir, &lives).unwrap();
    fs::remove_dir_all(&dir).unwrap();
    history
}

fn names(lines: &[String]) -> Vec<String> {
    lines.iter().map(|line| line.split(':').next().unwrap_or_default().to_owned()).collect()
}

/// Returns the names of the promises that are broken by what two workers printed and the callers of `record` saw.
fn broken(first: &str, second: &str, record: Record) -> Vec<String> {
    let history = history(first, second);
    let ledger = BTreeMap::from([(record.job.id.clone(), record)]);
    let impairments = Impairments::default();
    let evidence = Evidence {
        history: &history,
        ledger: &ledger,
        impairments: &impairments,
        capacity: (4_000, 4_096, 2),
    };
    names(&evidence.broken_promises())
}

/// Returns the names of the promises that are broken by waits from `quiet_ms` on.
fn late(first: &str, records: &[Record], impairments: &Impairments, quiet_ms: u64) -> Vec<String> {
    let history = history(first, "");
    let ledger = records.iter().map(|record| (record.job.id.clone(), record.clone())).collect();
    let evidence = Evidence { history: &history, ledger: &ledger, impairments, capacity: (4_000, 4_096, 2) };
    names(&late_starts(&evidence, quiet_ms, 2))
}

fn subtask(step: u32) -> String {
    format!("{JOB}.0.{step}.0")
}

#[test]
fn history_of_a_completed_job_keeps_all_promises() {
    let log = started(10_100, &subtask(0), 1)
        + &ended(10_200, &subtask(0), 1, 1, "stopped")
        + &started(10_300, &subtask(0), 2)
        + &ended(10_400, &subtask(0), 2, 2, "done")
        + "at_ms=10450 worker=w event=acknowledged n=2\n"
        + &started(10_500, &subtask(1), 1)
        + &ended(10_600, &subtask(1), 1, 3, "done");
    let record = Record { polls: vec![call(10_600, 200, "completed")], ..record() };
    assert!(broken(&log, "", record).is_empty());
}

#[test]
fn twice_while_the_other_run_is_active() {
    let first = started(10_100, &subtask(0), 1) + &ended(10_300, &subtask(0), 1, 1, "stopped");
    assert_eq!(broken(&first, &started(10_200, &subtask(0), 2), record()), ["TWICE"]);
}

#[test]
fn twice_after_an_end_that_was_noted() {
    let done = started(10_100, &subtask(0), 1) + &ended(10_200, &subtask(0), 1, 1, "done");
    let noted = "at_ms=10400 worker=w event=acknowledged n=1\n";
    let lapsed = "at_ms=10250 worker=w event=lease_lapsed\n";
    let again = started(10_300, &subtask(0), 2);
    assert_eq!(broken(&format!("{done}{noted}"), &again, record()), ["TWICE"]);
    assert!(broken(&done, &again, record()).is_empty());
    // An end can't be noted any more once the lease has lapsed.
    assert!(broken(&format!("{done}{lapsed}{noted}"), &again, record()).is_empty());
}

#[test]
fn run_ends_with_its_lease_on_a_worker_that_left() {
    let first = "at_ms=10090 worker=w event=leased until_ms=10150\n".to_owned()
        + &started(10_100, &subtask(0), 1)
        + "at_ms=10300 worker=w event=left\n";
    assert!(broken(&first, &started(10_160, &subtask(0), 2), record()).is_empty());
    assert_eq!(broken(&first, &started(10_140, &subtask(0), 2), record()), ["TWICE"]);
}

#[test]
fn run_numbers_must_rise() {
    let log = started(10_100, &subtask(0), 2)
        + &ended(10_200, &subtask(0), 2, 1, "stopped")
        + &started(10_300, &subtask(0), 1);
    assert_eq!(broken(&log, "", record()), ["NUMBER"]);
}

#[test]
fn start_beyond_capacity_order_and_submission() {
    let both = started(10_100, &subtask(0), 1) + &started(10_200, &subtask(1), 1);
    let mut found = broken(&both, "", record());
    found.sort();
    assert_eq!(found, ["LIMIT", "ORDER"]);
    assert_eq!(broken(&started(10_100, &subtask(2), 1), "", record()), ["UNASKED"]);
    assert_eq!(broken(&started(10_100, "00000000000000b2.0.0.0", 1), "", record()), ["UNASKED"]);
    let rejected = Record { submits: vec![call(10_000, 429, ""), call(10_050, 503, "")], ..record() };
    assert_eq!(broken(&started(10_100, &subtask(0), 1), "", rejected), ["REFUSED"]);
}

#[test]
fn foreign_account_that_reaches_a_job() {
    let refused = Record { foreign: vec![call(10_100, 410, ""), call(10_200, 429, "")], ..record() };
    assert!(broken("", "", refused.clone()).is_empty());
    let mut reached = refused;
    reached.foreign.push(call(10_300, 200, ""));
    assert_eq!(broken("", "", reached), ["FOREIGN"]);
}

#[test]
fn start_on_a_worker_without_the_label() {
    let mut labelled = record();
    labelled.job.label = "r1".to_owned();
    assert!(broken(&started(10_100, &subtask(0), 1), "", labelled.clone()).is_empty());
    assert_eq!(broken("", &started(10_100, &subtask(0), 1), labelled), ["ROUTE"]);
}

#[test]
fn start_after_the_last_attempt() {
    let mut log = String::new();
    for run in 1..=3 {
        let at_ms = 10_000 + 200 * run;
        log += &started(at_ms, &subtask(0), run);
        log += &ended(at_ms + 100, &subtask(0), run, run, "failed");
        log += &format!("at_ms={} worker=w event=acknowledged n={run}\n", at_ms + 110);
    }
    let failed = Record { polls: vec![call(11_000, 200, "failed")], ..record() };
    assert!(broken(&log, "", failed.clone()).is_empty());
    assert_eq!(broken(&(log + &started(10_900, &subtask(0), 4)), "", failed), ["BUDGET"]);
}

#[test]
fn cancelled_job_must_not_start_or_run_on() {
    let cancelled = Record {
        cancels: vec![call(11_000, 200, "")],
        polls: vec![call(20_000, 200, "cancelled")],
        ..record()
    };
    let late = started(14_001, &subtask(0), 1) + &ended(14_101, &subtask(0), 1, 1, "done");
    assert_eq!(broken(&late, "", cancelled.clone()), ["UNASKED"]);
    let runs_on = started(10_500, &subtask(0), 1);
    assert_eq!(broken(&runs_on, "", cancelled.clone()), ["UNASKED"]);
    let stopped = started(10_500, &subtask(0), 1) + &ended(14_000, &subtask(0), 1, 1, "stopped");
    assert!(broken(&stopped, "", cancelled).is_empty());
}

#[test]
fn cancel_answered_with_410_before_the_submission_counts() {
    let cancelled =
        Record { submits: vec![call(10_000, 0, "")], cancels: vec![call(9_000, 410, "")], ..record() };
    let late = started(12_001, &subtask(0), 1) + &ended(12_101, &subtask(0), 1, 1, "done");
    assert_eq!(broken(&late, "", cancelled.clone()), ["UNASKED"]);
    let runs_on = started(10_500, &subtask(0), 1) + &ended(20_000, &subtask(0), 1, 1, "done");
    assert_eq!(broken(&runs_on, "", cancelled.clone()), ["UNASKED"]);
    // Without an end, it was there at the last call of any caller.
    let other_job = "00000000000000b2".to_owned();
    let mut other = Record { polls: vec![call(20_000, 200, "queued")], ..record() };
    other.job.id.clone_from(&other_job);
    let history = history(&started(10_500, &subtask(0), 1), "");
    let ledger = BTreeMap::from([(JOB.to_owned(), cancelled), (other_job, other)]);
    let impairments = Impairments::default();
    let capacity = (4_000, 4_096, 2);
    let evidence = Evidence { history: &history, ledger: &ledger, impairments: &impairments, capacity };
    assert_eq!(names(&evidence.broken_promises()), ["UNASKED"]);
}

#[test]
fn cancel_counts_once_it_has_waited_for_too_long_in_calm() {
    let waiting = |last_ms| Record {
        cancels: vec![call(11_000, 0, ""), call(last_ms, 503, "")],
        polls: vec![call(20_000, 200, "completed")],
        ..record()
    };
    let log = started(18_001, &subtask(0), 1)
        + &ended(18_101, &subtask(0), 1, 1, "done")
        + &started(18_102, &subtask(1), 1)
        + &ended(18_200, &subtask(1), 1, 2, "done");
    assert!(broken(&log, "", waiting(14_900)).is_empty());
    assert_eq!(broken(&log, "", waiting(15_100)), ["UNASKED", "UNASKED"]);
}

#[test]
fn states_before_a_cancel_count() {
    let seen = |status, state| {
        let polls = vec![call(13_001, status, state)];
        broken("", "", Record { polls, cancels: vec![call(13_002, 200, "")], ..record() })
    };
    assert_eq!(seen(410, ""), ["LOST"]);
    assert_eq!(seen(200, "cancelled"), ["LOST"]);
    let after = Record { polls: vec![call(13_003, 410, "")], cancels: vec![call(13_002, 0, "")], ..record() };
    assert!(broken("", "", after).is_empty());
}

#[test]
fn start_after_every_attempt_was_refused_as_not_allowed() {
    let submits = vec![call(10_000, 404, ""), call(10_050, 503, "")];
    assert_eq!(broken(&started(10_100, &subtask(0), 1), "", Record { submits, ..record() }), ["REFUSED"]);
}

#[test]
fn states_that_callers_must_not_see() {
    let seen = |polls| broken("", "", Record { polls, ..record() });
    assert_eq!(seen(vec![call(13_001, 410, "")]), ["LOST"]);
    assert!(seen(vec![call(12_999, 410, "")]).is_empty());
    assert_eq!(seen(vec![call(13_000, 200, "completed")]), ["MIXED"]);
    assert_eq!(seen(vec![call(13_000, 200, "failed")]), ["LOST"]);
    assert_eq!(seen(vec![call(13_000, 200, "cancelled")]), ["LOST"]);
}

#[test]
fn gang_member_must_not_wait_in_vain() {
    let log = started(10_100, &subtask(0), 1) + &ended(13_200, &subtask(0), 1, 1, "alone");
    assert_eq!(broken(&log, "", record()), ["GANG"]);
}

#[test]
fn nothing_starts_on_a_draining_worker() {
    let drains = "at_ms=10050 worker=w event=draining_acknowledged\n".to_owned();
    assert!(broken(&(drains.clone() + &started(12_050, &subtask(0), 1)), "", record()).is_empty());
    assert_eq!(broken(&(drains + &started(12_051, &subtask(0), 1)), "", record()), ["DRAIN"]);
}

#[test]
fn start_after_capacity_has_shrunk() {
    let born = "at_ms=9000 worker=w event=born cpu=4000 memory_mb=4096 gpu=2\n".to_owned();
    let shrunk = born + "at_ms=10000 worker=w event=capacity cpu=4000 memory_mb=4096 gpu=1\n";
    let within_bound = shrunk.clone() + &started(13_200, &subtask(0), 1);
    assert!(broken(&within_bound, "", record()).is_empty());
    let grown = shrunk.clone()
        + "at_ms=14000 worker=w event=capacity cpu=4000 memory_mb=4096 gpu=2\n"
        + &started(14_100, &subtask(0), 1);
    assert!(broken(&grown, "", record()).is_empty());
    assert_eq!(broken(&(shrunk + &started(13_400, &subtask(0), 1)), "", record()), ["LIMIT"]);
}

#[test]
fn starts_after_three_workers_have_crashed() {
    let mut record = record();
    record.job.spec = "run_ms=100 crashes".to_owned();
    let mut log = String::new();
    for run in 1..=6 {
        let crash = format!("at_ms={} worker=w event=crashed\n", 10_000 + 1_000 * run + 10);
        let start = started(10_000 + 1_000 * run, &subtask(0), run);
        log += &start.replace("run_ms=100", "run_ms=100 crashes");
        log += &crash;
        let expected: &[&str] = if run < 6 { &[] } else { &["BUDGET"] };
        assert_eq!(broken(&log, "", record.clone()), expected, "run {run}");
    }
}

/// A job that waits or runs until its last poll at 30,000 ms.
fn polled() -> Record {
    Record { polls: vec![call(30_000, 200, "running")], ..record() }
}

fn both_steps(first_at_ms: u64, second_at_ms: u64) -> String {
    started(first_at_ms, &subtask(0), 1)
        + &ended(first_at_ms + 1_000, &subtask(0), 1, 1, "done")
        + &started(second_at_ms, &subtask(1), 1)
        + &ended(30_000, &subtask(1), 1, 2, "done")
}

#[test]
fn job_must_not_wait_beside_idle_workers() {
    let calm = Impairments::default();
    assert_eq!(late("", &[polled()], &calm, 9_000), ["LOST"]);
    assert!(late(&both_steps(13_000, 17_000), &[polled()], &calm, 9_000).is_empty());
    assert_eq!(late(&both_steps(13_001, 17_000), &[polled()], &calm, 9_000), ["LOST"]);
    assert_eq!(late(&both_steps(13_000, 17_001), &[polled()], &calm, 9_000), ["LOST"]);
}

#[test]
fn wait_counts_only_after_the_last_fault() {
    let calm = Impairments::default();
    assert!(late(&both_steps(13_500, 17_400), &[polled()], &calm, 15_000).is_empty());
    assert_eq!(late(&both_steps(13_500, 18_001), &[polled()], &calm, 15_000), ["LOST"]);
}

#[test]
fn wait_counts_only_without_an_impairment_before() {
    let impairments = Impairments::default();
    impairments.end(impairments.begin(STORE));
    let base_ms = wall_ms();
    let accepted = |until_ms| Record {
        submits: vec![call(base_ms, 200, "")],
        polls: vec![call(until_ms, 200, "queued")],
        ..record()
    };
    assert!(late("", &[accepted(base_ms + 6_900)], &impairments, base_ms).is_empty());
    assert_eq!(late("", &[accepted(base_ms + 7_500)], &impairments, base_ms), ["LOST"]);
}

#[test]
fn job_may_wait_while_half_is_in_use_or_after_its_end() {
    let calm = Impairments::default();
    let other_id = "00000000000000b2";
    let mut other = polled();
    other.job.id = other_id.to_owned();
    let log = started(9_500, &format!("{other_id}.0.0.0"), 1);
    assert!(late(&log, &[polled(), other], &calm, 9_000).is_empty());
    let ended = Record { polls: vec![call(12_000, 200, "failed"), call(30_000, 200, "failed")], ..record() };
    assert!(late("", &[ended], &calm, 9_000).is_empty());
    let cancelled = Record { cancels: vec![call(12_000, 0, "")], ..polled() };
    assert!(late("", &[cancelled], &calm, 9_000).is_empty());
}

#[test]
fn gang_may_wait_unless_two_of_it_fit() {
    let gang = |count| {
        let mut record = polled();
        record.job.steps =
            vec![Step { count, gang: true, needs: (1_000, 1_024, 1), ..record.job.steps[0].clone() }];
        record
    };
    let calm = Impairments::default();
    assert_eq!(late("", &[gang(2)], &calm, 9_000), ["LOST"]);
    assert!(late("", &[gang(3)], &calm, 9_000).is_empty());
}
