//! Stored form of jobs: two keyed records for each job, so that no snapshots are needed, and one for each cancel of a job
//! that was not known.

use std::collections::BTreeMap;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::bounds::MAX_WALL_MS;
use crate::caller::Caller;
use crate::cancels::{CancelKey, StoredCancel};
use crate::desired::Address;
use crate::job::{Job, Outcome, Submission};
use crate::run_progress::RunProgress;
use crate::terms::Terms;
use crate::unit::{Unit, UnitKey};
use crate::wait::Waits;

/// Result of encoding a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a record could not be encoded.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// JSON serialization failed.
    #[display("job record could not be encoded: {_0}")]
    Json(serde_json::Error),
}

/// Fields of a stored record that this build doesn't know. They are written again, so that a build that knows them finds
/// them after this one has led.
pub type UnknownFields = BTreeMap<String, Value>;

/// Key prefix of submissions; written once for each job.
const SUBMISSION_PREFIX: &str = "j/";

/// Key prefix of progress records; written whenever a job changes.
const PROGRESS_PREFIX: &str = "s/";

/// Key prefix of cancels of unknown jobs; written once for each. Builds before landing 13 ignore them.
const CANCEL_PREFIX: &str = "c/";

/// Key prefix of cancels of names that stand for a job of another caller, or that another caller has cancelled, too. Builds
/// before landing 16, which know no callers, ignore them.
const APART_PREFIX: &str = "n/";

/// A record for the store; an empty value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub key: String,
    pub value: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Submitted {
    sub: Submission,
    accepted_ms: u64,
    /// Terms at the acceptance; builds before landing 18 write none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    terms: Option<Value>,
}

#[derive(Serialize, Deserialize)]
struct Cancelled {
    /// When the cancel arrived, in milliseconds since 1970.
    at_ms: u64,
    /// Who sent it; builds before landing 16 write none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    caller: Option<Caller>,
    /// Address of the queue that it was sent to; builds before landing 18 write none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    address: Option<Address>,
}

#[derive(Default, Serialize, Deserialize)]
struct Progress {
    outcome: Option<Outcome>,
    ended_ms: u64,
    #[serde(rename = "begun")]
    started: bool,
    /// Units that differ from a newly created one.
    units: Vec<(UnitKey, Unit)>,
    /// Terms that have changed since the acceptance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    terms: Option<Value>,
    /// Fields of a later build.
    #[serde(flatten)]
    unknown: UnknownFields,
}

/// Encodes the submission of a job.
///
/// # Errors
///
/// Returns an error if the submission can't be serialized.
pub fn submission(job: &Job) -> Result<Record> {
    let terms = job.sub.terms.as_ref().map(serde_json::to_value).transpose()?;
    let value = Submitted { sub: job.sub.clone(), accepted_ms: job.accepted_ms, terms };
    Ok(Record { key: format!("{SUBMISSION_PREFIX}{}", job.sub.job), value: serde_json::to_vec(&value)? })
}

/// Encodes the progress of a job.
///
/// # Errors
///
/// Returns an error if the progress can't be serialized.
pub fn progress(job: &Job) -> Result<Record> {
    let default = Unit::default();
    let changed = |unit: &Unit| {
        let stored = Unit {
            since: 0,
            crashed_at: 0,
            placed_in: 0,
            placed_at: None,
            waits: Waits::default(),
            progress: RunProgress::default(),
            ..unit.clone()
        };
        stored != default
    };
    let units = job.units.iter().filter(|(_, unit)| changed(unit));
    let newer_terms = job.sub.terms.as_ref().filter(|_| job.has_newer_terms);
    let value = Progress {
        outcome: job.outcome,
        ended_ms: job.ended_ms,
        started: job.started,
        units: units.map(|(key, unit)| (*key, unit.clone())).collect(),
        terms: newer_terms.map(serde_json::to_value).transpose()?,
        unknown: job.unknown.clone(),
    };
    Ok(Record { key: format!("{PROGRESS_PREFIX}{}", job.sub.job), value: serde_json::to_vec(&value)? })
}

fn cancel_record_key((job, caller): &CancelKey, is_apart: bool) -> String {
    match caller {
        _ if !is_apart => format!("{CANCEL_PREFIX}{job}"),
        // The length keeps apart what contains the separator.
        Some(Caller { queue, account, .. }) => {
            format!("{APART_PREFIX}{job}/{}/{queue}/{account}", queue.len())
        }
        None => format!("{APART_PREFIX}{job}"),
    }
}

/// Encodes the cancel of an unknown job.
///
/// # Errors
///
/// Returns an error if the cancel can't be serialized.
pub fn cancel(key: &CancelKey, stored: &StoredCancel) -> Result<Record> {
    let StoredCancel { at_ms, address, is_apart } = stored.clone();
    let value = serde_json::to_vec(&Cancelled { at_ms, caller: key.1.clone(), address })?;
    Ok(Record { key: cancel_record_key(key, is_apart), value })
}

/// Returns the record that deletes the cancel of an unknown job from the store.
pub fn cancel_deletion(key: &CancelKey, is_apart: bool) -> Record {
    Record { key: cancel_record_key(key, is_apart), value: Vec::new() }
}

/// Decodes the cancels of unknown jobs. Also returns a message for each record that can't be read. Such a cancel counts as
/// one of `wall` by any caller, since it was answered, unless that could end the job of another caller.
pub fn read_cancels<'a>(
    records: impl Iterator<Item = (&'a str, &'a [u8])>,
    wall: u64,
) -> (BTreeMap<CancelKey, StoredCancel>, Vec<String>) {
    let (mut cancels, mut unreadable) = (BTreeMap::new(), Vec::new());
    for (key, value) in records {
        let (name, is_apart) = match (key.strip_prefix(CANCEL_PREFIX), key.strip_prefix(APART_PREFIX)) {
            (Some(name), _) => (name, false),
            (None, Some(rest)) => (rest.split('/').next().unwrap_or(rest), true),
            (None, None) => continue,
        };
        match serde_json::from_slice::<Cancelled>(value) {
            Ok(Cancelled { at_ms, caller, address }) => {
                let cancel = StoredCancel { at_ms: at_ms.min(wall), address, is_apart };
                cancels.insert((name.to_owned(), caller), cancel);
            }
            Err(e) => {
                unreadable.push(format!("{key}: {e}"));
                if !is_apart {
                    let cancel = StoredCancel { at_ms: wall, address: None, is_apart };
                    cancels.insert((name.to_owned(), None), cancel);
                }
            }
        }
    }
    (cancels, unreadable)
}

/// Decodes from the newest record of each key who a job belongs to; `None` if no such job is stored, or its record can't be
/// read.
pub fn read_caller<'a>(mut records: impl Iterator<Item = (&'a str, &'a [u8])>, job: &str) -> Option<Caller> {
    let (_, value) = records.find(|(key, _)| key.strip_prefix(SUBMISSION_PREFIX) == Some(job))?;
    let Submitted { sub, terms, .. } = serde_json::from_slice(value).ok()?;
    Some(Submission { terms: read_terms(terms).ok().flatten(), ..sub }.caller())
}

/// Decodes the terms of a job.
///
/// # Errors
///
/// Returns a message if they can't be read; the rest of the record is used.
fn read_terms(stored: Option<Value>) -> std::result::Result<Option<Terms>, String> {
    let Some(stored) = stored else { return Ok(None) };
    let mut terms: Terms = serde_json::from_value(stored).map_err(|e| format!("terms: {e}"))?;
    terms.clamp();
    Ok(Some(terms))
}

/// Returns the records that delete a job from the store.
pub fn deletions(job: &str) -> [Record; 2] {
    [SUBMISSION_PREFIX, PROGRESS_PREFIX]
        .map(|prefix| Record { key: format!("{prefix}{job}"), value: Vec::new() })
}

/// Decodes the jobs from the newest record of each key; also returns a message for each record that can't be read, or of
/// which a part is out of bounds. Such a part is cut or left out, since the job was accepted.
pub fn read<'a>(records: impl Iterator<Item = (&'a str, &'a [u8])> + Clone) -> (Vec<Job>, Vec<String>) {
    let (mut jobs, mut unreadable) = (BTreeMap::new(), Vec::new());
    for (key, value) in records.clone() {
        let Some(name) = key.strip_prefix(SUBMISSION_PREFIX) else { continue };
        match serde_json::from_slice::<Submitted>(value) {
            Ok(mut read) => {
                let finding = read.sub.clamp();
                unreadable.extend(finding.map(|finding| format!("{key}: {finding}, cut to its bounds")));
                match read_terms(read.terms) {
                    Ok(terms) => read.sub.terms = terms,
                    Err(finding) => unreadable.push(format!("{key}: {finding}")),
                }
                jobs.insert(name.to_owned(), new_job(read.sub, read.accepted_ms.min(MAX_WALL_MS)));
            }
            Err(e) => unreadable.push(format!("{key}: {e}")),
        }
    }
    for (key, value) in records {
        let Some(name) = key.strip_prefix(PROGRESS_PREFIX) else { continue };
        let Some(job) = jobs.get_mut(name) else {
            unreadable.push(format!("{key}: progress record of a job without a submission record"));
            continue;
        };
        match serde_json::from_slice::<Progress>(value) {
            Ok(read) => {
                job.outcome = read.outcome;
                job.ended_ms = read.ended_ms.min(MAX_WALL_MS);
                job.started = read.started;
                job.unknown = read.unknown;
                match read_terms(read.terms) {
                    Ok(Some(terms)) => (job.sub.terms, job.has_newer_terms) = (Some(terms), true),
                    Ok(None) => (),
                    Err(finding) => unreadable.push(format!("{key}: {finding}")),
                }
                let (own, others): (Vec<_>, Vec<_>) =
                    read.units.into_iter().partition(|(key, _)| job.may_have(*key));
                job.units = own.into_iter().collect();
                job.units.values_mut().for_each(Unit::count_failures_by_run);
                let cut = job.units.values_mut().filter_map(|unit| unit.clamp().then_some(())).count();
                if cut + others.len() > 0 {
                    let left_out = others.len();
                    unreadable.push(format!("{key}: {left_out} units out of bounds left out, {cut} cut"));
                }
                // The record omits units that equal a newly created one.
                let created = job.units.keys().map(|key| key.occurrence + 1).max().unwrap_or(0);
                (0..created).for_each(|occurrence| job.create_units(occurrence));
            }
            Err(e) => unreadable.push(format!("{key}: {e}")),
        }
    }
    (jobs.into_values().collect(), unreadable)
}

/// Creates a newly accepted job without progress.
pub fn new_job(sub: Submission, accepted_ms: u64) -> Job {
    Job {
        sub,
        accepted_ms,
        units: Default::default(),
        outcome: None,
        ended_ms: 0,
        ended_at: 0,
        started: false,
        ended_in: 0,
        accepted_in: 0,
        preempted_others: false,
        has_newer_terms: false,
        in_force: None,
        unknown: UnknownFields::new(),
    }
}
