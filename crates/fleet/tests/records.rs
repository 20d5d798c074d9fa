//! Tests that the stored records of jobs can be read back.

use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::record::{self, new_job};
use sorrelland_fleet::unit::{UnitKey, UnitState};

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
