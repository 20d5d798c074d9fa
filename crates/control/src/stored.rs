//! Jobs in the store: their topic, the limits of appends, and loading them.

use std::collections::BTreeMap;
use std::time::Duration;

use sorrelland_fleet::cancels::{CancelKey, StoredCancel};
use sorrelland_fleet::digest::Digest;
use sorrelland_fleet::{Job, record};
use sorrelland_platform::Store;
use sorrelland_platform::store::{CALL_TIMEOUT, Error, Result, Writer, decode_keyed};

use crate::clock::wall_ms;

/// Topic of the jobs.
pub(crate) const JOBS: &str = "keyed.jobs";

/// Producer name of every planner; epochs order the planners.
pub(crate) const PRODUCER: &str = "planner";

/// Delay after a failed append or load.
pub(crate) const APPEND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum size of one append in bytes, below the store's limit of a call.
pub(crate) const MAX_APPEND_BYTES: usize = 1_500_000;

/// Attempts to load the jobs before the planner's start is abandoned.
pub(crate) const MAX_LOAD_ATTEMPTS: u32 = 20;

/// Returns the metrics label of an append's result.
pub(crate) fn append_outcome<T>(result: &Result<T>) -> &'static str {
    match result {
        Ok(_) => "stored",
        Err(Error::Fenced) => "fenced",
        Err(e) if e.not_applied() => "refused",
        Err(_) => "unanswered",
    }
}

/// Splits records into appends within the store's limit of a call.
pub(crate) fn split_into_appends(raw: Vec<Vec<u8>>) -> Vec<Vec<Vec<u8>>> {
    let mut parts: Vec<Vec<Vec<u8>>> = Vec::new();
    let mut bytes = usize::MAX;
    for record in raw {
        if bytes.saturating_add(record.len()) > MAX_APPEND_BYTES {
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

/// The newest record of each key, as of an offset of the topic.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    by_key: BTreeMap<String, Vec<u8>>,
    end: u64,
}

impl Snapshot {
    /// Reads the records of the jobs.
    ///
    /// # Errors
    ///
    /// Returns why the store did not answer.
    pub async fn read(store: &Store) -> Result<Self> {
        let (items, end) = store.read_latest(JOBS).await?;
        Ok(Self { by_key: items.into_iter().map(|item| (item.key, item.value)).collect(), end })
    }

    /// Applies the records that were appended since.
    ///
    /// # Errors
    ///
    /// Returns why the store did not answer, or that records in between have been compacted.
    pub async fn update(&mut self, store: &Store) -> Result<()> {
        loop {
            let batch = store.read(JOBS, self.end, Duration::ZERO).await?;
            for (key, value) in batch.records.iter().filter_map(|raw| decode_keyed(raw)) {
                match value.is_empty() {
                    true => _ = self.by_key.remove(key),
                    false => _ = self.by_key.insert(key.to_owned(), value.to_vec()),
                }
            }
            let is_last = batch.next >= batch.end || batch.records.is_empty();
            self.end = batch.next;
            if is_last {
                return Ok(());
            }
        }
    }

    fn records(&self) -> impl Iterator<Item = (&str, &[u8])> + Clone {
        self.by_key.iter().map(|(key, value)| (key.as_str(), value.as_slice()))
    }
}

/// What a new planner knows from the store.
#[derive(Debug)]
pub(crate) struct Loaded {
    pub(crate) jobs: Vec<Job>,
    pub(crate) cancels: BTreeMap<CancelKey, StoredCancel>,
    /// What the last planner had learned.
    pub(crate) digest: Option<Digest>,
}

/// Brings a snapshot up to date, or reads a new one.
async fn refresh(store: &Store, earlier: Option<Snapshot>) -> Result<Snapshot> {
    let Some(mut snapshot) = earlier else { return Snapshot::read(store).await };
    match snapshot.update(store).await {
        Ok(()) => Ok(snapshot),
        Err(Error::Compacted { .. }) => Snapshot::read(store).await,
        Err(e) => Err(e),
    }
}

/// Sets the epoch of the jobs' topic, which fences every earlier writer, and loads the jobs with what the last planner had
/// learned. Reads only what was appended
/// since `earlier` if there is one.
pub(crate) async fn load_jobs(
    store: &Store,
    writer: &mut Writer,
    mut earlier: Option<Snapshot>,
) -> Option<Loaded> {
    let mut fenced = false;
    for _ in 0..MAX_LOAD_ATTEMPTS {
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
            match refresh(store, earlier.take()).await {
                Ok(snapshot) => {
                    writer.sequence = 1;
                    let (jobs, findings) = record::read(snapshot.records());
                    let (cancels, unreadable) = record::read_cancels(snapshot.records(), wall_ms());
                    let (digest, finding) = Digest::read(snapshot.records(), wall_ms());
                    for finding in findings.into_iter().chain(unreadable).chain(finding) {
                        log::error!("event=record_skipped topic={JOBS} cause=\"{finding}\"");
                    }
                    let (epoch, job_count, cancel_count) = (writer.epoch, jobs.len(), cancels.len());
                    log::info!("event=jobs_loaded epoch={epoch} jobs={job_count} cancels={cancel_count}");
                    return Some(Loaded { jobs, cancels, digest });
                }
                Err(e) => log::warn!("event=load_retried cause=\"{e}\""),
            }
        }
        tokio::time::sleep(APPEND_RETRY_DELAY).await;
    }
    None
}
