//! The jobs as they lie in the store: their topic, their appends, and reading them back.

use std::time::Duration;

use sorrelland_fleet::{Job, record};
use sorrelland_platform::Store;
use sorrelland_platform::store::{CALL_TIMEOUT, Error, Result, Writer};

/// Topic of the jobs.
pub(crate) const JOBS: &str = "keyed.jobs";

/// Name under which planners write the jobs; epochs order them.
pub(crate) const PRODUCER: &str = "planner";

/// Pause after an append that was refused.
pub(crate) const APPEND_PAUSE: Duration = Duration::from_millis(100);

/// Bytes of one append at most, below the store's limit of a call.
pub(crate) const APPEND_BYTES: usize = 1_500_000;

/// Tries to read the jobs before the office is given back.
pub(crate) const LOAD_TRIES: u32 = 20;

/// Returns the outcome of an append for the metrics.
pub(crate) fn outcome<T>(result: &Result<T>) -> &'static str {
    match result {
        Ok(_) => "stored",
        Err(Error::Fenced) => "fenced",
        Err(e) if e.not_applied() => "refused",
        Err(_) => "unanswered",
    }
}

/// Splits records into appends that the store takes in one call.
pub(crate) fn parts(raw: Vec<Vec<u8>>) -> Vec<Vec<Vec<u8>>> {
    let mut parts: Vec<Vec<Vec<u8>>> = Vec::new();
    let mut bytes = usize::MAX;
    for record in raw {
        if bytes.saturating_add(record.len()) > APPEND_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += record.len() + 4;
        if let Some(part) = parts.last_mut() {
            part.push(record);
        }
    }
    parts
}

/// Sets the epoch of the jobs, which refuses every earlier writer from then on, and reads them.
pub(crate) async fn load(store: &Store, writer: &mut Writer) -> Option<Vec<Job>> {
    let mut fenced = false;
    for _ in 0..LOAD_TRIES {
        if !fenced {
            match store.append_as(JOBS, writer, &[], CALL_TIMEOUT).await {
                Ok(_) => fenced = true,
                Err(Error::Fenced) => {
                    log::warn!("event=office_lost epoch={} why=\"fenced while loading\"", writer.epoch);
                    return None;
                }
                Err(e) => log::warn!("event=load_retried cause=\"{e}\""),
            }
        }
        if fenced {
            match store.read_latest(JOBS).await {
                Ok((items, _)) => {
                    writer.sequence = 1;
                    let records = items.iter().map(|item| (item.key.as_str(), item.value.as_slice()));
                    let (jobs, findings) = record::read(records);
                    for finding in findings {
                        log::error!("event=record_skipped topic={JOBS} cause=\"{finding}\"");
                    }
                    log::info!("event=jobs_loaded epoch={} jobs={}", writer.epoch, jobs.len());
                    return Some(jobs);
                }
                Err(e) => log::warn!("event=load_retried cause=\"{e}\""),
            }
        }
        tokio::time::sleep(APPEND_PAUSE).await;
    }
    None
}
