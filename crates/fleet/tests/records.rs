//! Tests that the stored records of jobs can be read back.

use serde_json::{Value, json};
use sorrelland_fleet::job::{Outcome, Schedule, Step, Submission};
use sorrelland_fleet::record::{self, new_job};
use sorrelland_fleet::unit::{UnitKey, UnitState};

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
