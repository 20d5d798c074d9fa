//! The durable form of jobs: two keyed records a job, so that no snapshots are needed.

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use crate::job::{Job, Outcome, Submission};
use crate::unit::{Unit, UnitKey};

/// Result of reading records.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a record could not be read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The value is not as expected.
    #[display("record is not as expected: {_0}")]
    Json(serde_json::Error),
}

/// Start of the keys of what was handed in; written once a job.
const SUBMITTED: &str = "j/";

/// Start of the keys of progress; written whenever a job changes.
const PROGRESS: &str = "s/";

/// A record for the store; an empty value drops the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Submitted {
    sub: Submission,
    accepted_ms: u64,
}

#[derive(Default, Serialize, Deserialize)]
struct Progress {
    outcome: Option<Outcome>,
    ended_ms: u64,
    begun: bool,
    /// Units that differ from a new one.
    units: Vec<(UnitKey, Unit)>,
}

/// Returns the record of what was handed in.
///
/// # Errors
///
/// Returns why the job has no durable form.
pub fn submitted(job: &Job) -> Result<Record> {
    let value = Submitted { sub: job.sub.clone(), accepted_ms: job.accepted_ms };
    Ok(Record { key: format!("{SUBMITTED}{}", job.sub.job), value: serde_json::to_vec(&value)? })
}

/// Returns the record of a job's progress.
///
/// # Errors
///
/// Returns why the progress has no durable form.
pub fn progress(job: &Job) -> Result<Record> {
    let fresh = Unit::default();
    let changed = |unit: &Unit| Unit { since: 0, placed_in: 0, ..unit.clone() } != fresh;
    let units = job.units.iter().filter(|(_, unit)| changed(unit));
    let value = Progress {
        outcome: job.outcome,
        ended_ms: job.ended_ms,
        begun: job.begun,
        units: units.map(|(key, unit)| (*key, unit.clone())).collect(),
    };
    Ok(Record { key: format!("{PROGRESS}{}", job.sub.job), value: serde_json::to_vec(&value)? })
}

/// Returns the records that drop a job.
pub fn dropped(job: &str) -> [Record; 2] {
    [SUBMITTED, PROGRESS].map(|prefix| Record { key: format!("{prefix}{job}"), value: Vec::new() })
}

/// Returns the jobs of a set of newest records, and the findings on records that could not be read.
pub fn read<'a>(records: impl Iterator<Item = (&'a str, &'a [u8])> + Clone) -> (Vec<Job>, Vec<String>) {
    let (mut jobs, mut findings) = (std::collections::BTreeMap::new(), Vec::new());
    for (key, value) in records.clone() {
        let Some(name) = key.strip_prefix(SUBMITTED) else { continue };
        match serde_json::from_slice::<Submitted>(value) {
            Ok(read) => {
                jobs.insert(name.to_owned(), new_job(read.sub, read.accepted_ms));
            }
            Err(e) => findings.push(format!("{key}: {e}")),
        }
    }
    for (key, value) in records {
        let Some(name) = key.strip_prefix(PROGRESS) else { continue };
        let Some(job) = jobs.get_mut(name) else {
            findings.push(format!("{key}: progress of a job that was not stored"));
            continue;
        };
        match serde_json::from_slice::<Progress>(value) {
            Ok(read) => {
                job.outcome = read.outcome;
                job.ended_ms = read.ended_ms;
                job.begun = read.begun;
                job.units = read.units.into_iter().collect();
                // Units like new ones were left out of the record.
                let opened = job.units.keys().map(|key| key.occurrence + 1).max().unwrap_or(0);
                (0..opened).for_each(|occurrence| job.open(occurrence));
            }
            Err(e) => findings.push(format!("{key}: {e}")),
        }
    }
    (jobs.into_values().collect(), findings)
}

/// Creates a job that was just accepted.
pub fn new_job(sub: Submission, accepted_ms: u64) -> Job {
    Job {
        sub,
        accepted_ms,
        units: Default::default(),
        outcome: None,
        ended_ms: 0,
        begun: false,
        ended_in: 0,
        accepted_in: 0,
        room_made: false,
    }
}
