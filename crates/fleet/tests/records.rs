//! Tests that the stored records of jobs can be read back.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::sync::Arc;

use common::Fleet;
use serde_json::{Value, json};
use sorrelland_fleet::crash::Crash;
use sorrelland_fleet::digest::Digest;
use sorrelland_fleet::job::{Outcome, Schedule, Step, Submission};
use sorrelland_fleet::planner::Admission;
use sorrelland_fleet::record::{self, new_job};
use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::unit::{Member, UnitKey, UnitState};
use sorrelland_fleet::view::Query;
use sorrelland_fleet::{Job, Planner, Resources};

/// Records as the landings' own builds wrote them: keys and values.
const LANDING_8: &str = include_str!("fixtures/records-landing-8.txt");
const LANDING_9: &str = include_str!("fixtures/records-landing-9.txt");
const LANDING_10: &str = include_str!("fixtures/records-landing-10.txt");

fn job_of_two() -> sorrelland_fleet::Job {
    let step = Step { count: 2, ..Step::default() };
    let sub = Submission { job: "00000000000000a1".to_owned(), steps: vec![step], ..Submission::default() };
    let mut job = new_job(sub, 7);
    job.create_units(0);
    job
}

fn read_back(job: &sorrelland_fleet::Job) -> sorrelland_fleet::Job {
    let records = [record::submission(job).unwrap(), record::progress(job).unwrap()];
    let rows: Vec<(&str, &[u8])> = records.iter().map(|r| (r.key.as_str(), r.value.as_slice())).collect();
    let (jobs, unreadable) = record::read(rows.into_iter());
    assert!(unreadable.is_empty(), "{unreadable:?}");
    jobs.into_iter().next().unwrap()
}

#[test]
fn read_keeps_units_that_never_started() {
    let mut job = job_of_two();
    let first = UnitKey { occurrence: 0, step: 0, index: 0 };
    job.units.get_mut(&first).unwrap().state = UnitState::Done;
    job.units.get_mut(&first).unwrap().run = 1;
    let read = read_back(&job);
    assert_eq!(read.units.len(), 2);
    assert!(!read.step_done(0, 0));
}

#[test]
fn read_reports_records_that_cannot_be_read() {
    let rows: [(&str, &[u8]); 2] = [("j/00000000000000a1", b"{"), ("s/00000000000000a2", b"{}")];
    let (jobs, unreadable) = record::read(rows.into_iter());
    assert!(jobs.is_empty());
    assert_eq!(unreadable.len(), 2);
}

/// Brackets of a value that is nested too deeply for any reader.
const DEPTH: usize = 100_000;

fn limits() -> Vec<String> {
    let numbers = ["0", "1", "-1", "-9223372036854775808", "9223372036854775807", "18446744073709551615"];
    let others = ["4294967295", "9007199254740992", "1e308", "1e999", "\"\"", "null", "[]", "{}", "true"];
    let mut limits: Vec<String> = numbers.iter().chain(&others).map(|text| (*text).to_owned()).collect();
    limits.push("[".repeat(DEPTH) + &"]".repeat(DEPTH));
    limits
}

/// Returns the JSON pointers of all values within a value.
fn pointers(value: &Value, at: &str) -> Vec<String> {
    let within: Vec<String> = match value {
        Value::Object(fields) => fields.iter().flat_map(|(k, v)| pointers(v, &format!("{at}/{k}"))).collect(),
        Value::Array(rows) => {
            (0..).zip(rows).flat_map(|(i, v): (usize, _)| pointers(v, &format!("{at}/{i}"))).collect()
        }
        _ => Vec::new(),
    };
    within.into_iter().chain((!at.is_empty()).then(|| at.to_owned())).collect()
}

fn with_text(value: &Value, pointer: &str, text: &str) -> Vec<u8> {
    let mut value = value.clone();
    *value.pointer_mut(pointer).unwrap() = json!("@value@");
    value.to_string().replace("\"@value@\"", text).into_bytes()
}

/// Returns the records of a repeating job that runs, as JSON.
fn records_of_running_job() -> [(String, Value); 2] {
    let step = Step {
        count: 2,
        resources: Resources::new(1_000, 1_024, 1),
        estimate_ms: 300,
        target_ms: Some(100),
        max_per_worker: Some(1),
        ..Step::default()
    };
    let second = Step { depends_on: vec![0], gang: true, ..step.clone() };
    let schedule = Some(Schedule { occurrences: 3, first_ms: 1, interval_ms: 60_000 });
    let (queue, account) = ("plain".to_owned(), "museum".to_owned());
    let sub = Submission {
        job: "00000000000000a1".to_owned(),
        queue,
        account,
        steps: vec![step, second],
        schedule,
        ..Submission::default()
    };
    let mut job = new_job(sub, 7);
    job.create_units(0);
    for unit in job.units.values_mut() {
        (unit.run, unit.failures, unit.uncounted_losses, unit.measured_work_ms) = (1, 1, 1, 200);
        unit.state = UnitState::Placed;
        unit.crashes =
            vec![Crash { run: 1, workers: vec!["w9".to_owned()], ran_ms: 5, alone: true, is_common: false }];
        unit.members = vec![Member {
            worker: "w0".to_owned(),
            agent: "agent-0".to_owned(),
            released: false,
            seen: false,
            percent: 0,
        }];
    }
    [record::submission(&job).unwrap(), record::progress(&job).unwrap()]
        .map(|record| (record.key, serde_json::from_slice(&record.value).unwrap()))
}

/// Plays a leader that reads the records: its workers report, their runs fail or end, it places units again and stores.
fn play_leader(jobs: Vec<Job>, digest: Option<Digest>) -> Fleet {
    let mut fleet = Fleet::new(4);
    fleet.planner = Planner::new(common::TIMING, Arc::new(common::desired()), jobs, fleet.now);
    if let Some(digest) = digest {
        fleet.planner.restore(fleet.now, fleet.now, digest);
    }
    for _ in 0..6 {
        let assigned = fleet.advance(300);
        fleet.mark_running(&assigned);
        fleet.planner.view(&Query::Jobs, fleet.now, fleet.now);
    }
    fleet.end_runs("00000000000000a1", EndReason::Failed);
    for _ in 0..50 {
        fleet.advance(300);
    }
    fleet
}

#[test]
fn read_of_absurd_records_ends_no_leader_and_loses_no_job() {
    let records = records_of_running_job();
    let mut read_jobs = 0;
    for (changed, (_, value)) in records.iter().enumerate() {
        for pointer in pointers(value, "") {
            for text in limits() {
                let odd = with_text(value, &pointer, &text);
                let values = [0, 1].map(|at| {
                    if at == changed { odd.clone() } else { records[at].1.to_string().into_bytes() }
                });
                let rows = [0, 1].map(|at| (records[at].0.as_str(), values[at].as_slice()));
                let (jobs, findings) = record::read(rows.into_iter());
                let case =
                    format!("{}{pointer}={}: {findings:?}", records[changed].0, &text[..text.len().min(40)]);
                // A submission that is no submission names no job; a job that is known keeps what can be read of it.
                assert!(changed == 0 || jobs.len() == 1, "{case}");
                for job in &jobs {
                    let units = job.units.len();
                    assert!(units <= 120_000, "{units} units, {case}");
                }
                read_jobs += jobs.len();
                let mut fleet = play_leader(jobs, None);
                let admission = fleet.submit("00000000000000b1", "plain", vec![common::step(1, 1)]);
                assert!(matches!(admission, Admission::Accepted { .. }), "{case}: {admission:?}");
            }
        }
    }
    assert!(read_jobs > 300, "{read_jobs} jobs were read");
}

#[test]
fn read_keeps_what_is_within_its_bounds() {
    let records = records_of_running_job();
    let values = records.clone().map(|(_, value)| value.to_string().into_bytes());
    let rows = [0, 1].map(|at| (records[at].0.as_str(), values[at].as_slice()));
    let (jobs, findings) = record::read(rows.into_iter());
    assert_eq!(findings, Vec::<String>::new());
    let again = [record::submission(&jobs[0]).unwrap(), record::progress(&jobs[0]).unwrap()];
    let again = again.map(|record| serde_json::from_slice::<Value>(&record.value).unwrap());
    assert_eq!(again, records.map(|(_, value)| value));
}

#[test]
fn read_of_absurd_digest_ends_no_leader() {
    let digest = json!({
        "made_at": 1_000, "speeds": [["w0", 900, 3]], "ratios": {"plain": [0.1, 0.2]},
        "arrivals": {"svc": [[5, 4]]}, "mean_work": {"plain": 900.0}, "preemptions": {"plain": [4, 2]},
    });
    let records = records_of_running_job();
    let values = records.clone().map(|(_, value)| value.to_string().into_bytes());
    let rows = || [0, 1].map(|at| (records[at].0.as_str(), values[at].as_slice())).into_iter();
    for pointer in pointers(&digest, "") {
        for text in limits() {
            let value = with_text(&digest, &pointer, &text);
            let (digest, _) = Digest::read([("learned", value.as_slice())].into_iter(), 1_000);
            let (jobs, _) = record::read(rows());
            let mut fleet = play_leader(jobs, digest);
            let admission = fleet.submit("00000000000000b1", "urgent", vec![common::step(1, 1)]);
            assert!(matches!(admission, Admission::Accepted { .. }), "{pointer}={text:.40}: {admission:?}");
        }
    }
}

/// Guards against jobs of an earlier landing that are lost, or run again.
#[yare::parameterized(
    landing_8 = { LANDING_8, 0, 0 },
    landing_9 = { LANDING_9, 2, 0 },
    landing_10 = { LANDING_10, 2, 450 },
)]
fn read_and_written_as_by_landing(fixture: &str, uncounted_losses: u32, measured_work_ms: u64) {
    let rows: Vec<(&str, &str)> = fixture.lines().filter_map(|line| line.split_once(' ')).collect();
    let (jobs, findings) = record::read(rows.iter().map(|(key, value)| (*key, value.as_bytes())));
    assert_eq!((jobs.len(), findings), (2, Vec::new()));

    let ended = &jobs[0];
    assert_eq!((ended.outcome, ended.ended_ms), (Some(Outcome::Completed), 1_700_000_009_999));
    let placed = &jobs[1];
    let schedule = Schedule { occurrences: 3, first_ms: 1_700_000_000_000, interval_ms: 60_000 };
    assert_eq!((placed.sub.schedule, placed.accepted_ms), (Some(schedule), 1_700_000_000_123));
    assert_eq!((placed.sub.queue.as_str(), placed.sub.steps[1].max_unavailable), ("orders", Some(2)));
    assert!(placed.started && placed.outcome.is_none());
    let unit = &placed.units[&UnitKey { occurrence: 0, step: 1, index: 0 }];
    assert_eq!((unit.state, unit.run, unit.saved.as_str()), (UnitState::Placed, 4, "s1"));
    let released: Vec<bool> = unit.members.iter().map(|member| member.released).collect();
    assert_eq!((released, unit.failures, unit.failed_on.len()), (vec![false, true], 1, 1));
    assert_eq!((unit.crashes[0].ran_ms, unit.crashes[0].alone), (900, true));
    assert_eq!((unit.uncounted_losses, unit.measured_work_ms), (uncounted_losses, measured_work_ms));

    let records =
        jobs.iter().flat_map(|job| [record::submission(job).unwrap(), record::progress(job).unwrap()]);
    let mut written: Vec<_> =
        records.map(|record| (record.key, String::from_utf8(record.value).unwrap())).collect();
    written.sort();
    let mut expected: Vec<_> =
        rows.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
    expected.sort();
    assert_eq!(written, expected);
}

/// Guards against fields of a later build that are lost when this build leads in between.
#[test]
fn progress_keeps_fields_of_a_later_build() {
    let mut value = serde_json::from_slice::<Value>(&record::progress(&job_of_two()).unwrap().value).unwrap();
    value["notes"] = json!(["x"]);
    let stored = json!({"at": "Placed", "run": 4, "members": [], "fails": 1, "saved": "", "failed_on": [],
        "moved": {"from": "w-1-1"}});
    value["units"] = json!([[{"occurrence": 0, "step": 0, "index": 0}, stored]]);
    let submission = record::submission(&job_of_two()).unwrap();
    let progress = value.to_string();
    let rows =
        [(submission.key.as_str(), submission.value.as_slice()), ("s/00000000000000a1", progress.as_bytes())];
    let (mut jobs, findings) = record::read(rows.into_iter());
    assert_eq!(findings, Vec::<String>::new());
    let first = UnitKey { occurrence: 0, step: 0, index: 0 };
    jobs[0].units.get_mut(&first).unwrap().run = 5;
    value["units"][0][1]["run"] = json!(5);
    let written: Value = serde_json::from_slice(&record::progress(&jobs[0]).unwrap().value).unwrap();
    assert_eq!(written, value);
}
