//! Batched appends to the log; a write completes once the entry's fold has read it back.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use sorrelland_ledger::Record;
use tokio::sync::{Mutex, mpsc, oneshot};

use crate::entry::Entry;
use crate::log_client;

pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of writes in the queue.
const MAX_QUEUED_WRITES: usize = 4_096;

/// Records in a batch after which no further write is added to it.
const MAX_BATCH_RECORDS: usize = 1_000;

/// Time within which this entry's fold must have read an append back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a record is not known to be on the log.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Nothing was appended.
    #[display("the log was not reached: nothing was recorded")]
    NotWritten,
    /// The append may have taken effect.
    #[display("the log gave no answer: it is not known yet whether the record stands")]
    Unknown,
}

struct Write {
    records: Vec<Record>,
    result_tx: oneshot::Sender<Result<()>>,
}

/// Queue of writes.
pub struct Writer {
    tx: mpsc::Sender<Write>,
    rx: Mutex<mpsc::Receiver<Write>>,
}

impl Writer {
    pub fn new() -> Self {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_WRITES);
        Self { tx, rx: Mutex::new(rx) }
    }
}

impl Entry {
    /// Appends records and waits until this entry's fold has read them back.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotWritten`] if nothing was appended, [`Error::Unknown`] if it is not known yet.
    pub(super) async fn write(&self, records: Vec<Record>) -> Result<()> {
        let (result_tx, result_rx) = oneshot::channel();
        let write = Write { records, result_tx };
        self.writer.tx.try_send(write).map_err(|_| Error::NotWritten)?;
        result_rx.await.unwrap_or(Err(Error::Unknown))
    }

    pub(super) async fn write_loop(self: Arc<Self>) {
        let mut rx = self.writer.rx.lock().await;
        while let Some(first) = rx.recv().await {
            let mut batch = vec![first];
            let mut records = batch[0].records.len();
            // Writes that arrived during the previous append go into one call.
            while records < MAX_BATCH_RECORDS
                && let Ok(next) = rx.try_recv()
            {
                records += next.records.len();
                batch.push(next);
            }
            let result = self.append(&batch).await;
            let entry = self.clone();
            tokio::spawn(async move { entry.read_back(batch, result).await });
        }
    }

    async fn append(&self, batch: &[Write]) -> Result<u64> {
        let records: Vec<Record> = batch.iter().flat_map(|write| write.records.clone()).collect();
        match self.log.append(&records).await {
            Ok(appended) => {
                self.metrics.count_append("done");
                Ok(appended.next)
            }
            Err(log_client::Error::NotSent(_)) => {
                self.metrics.count_append("not_sent");
                Err(Error::NotWritten)
            }
            Err(log_client::Error::Unknown(e)) => {
                log::debug!("result of an append is unknown: {e}");
                self.metrics.count_append("unknown");
                Err(Error::Unknown)
            }
        }
    }

    /// Waits until the fold has read an append back, and sends the result to the callers of its writes.
    async fn read_back(&self, batch: Vec<Write>, result: Result<u64>) {
        let result = match result {
            Ok(next) => {
                let mut advanced = self.advanced.subscribe();
                let reached =
                    tokio::time::timeout(READ_BACK_TIMEOUT, advanced.wait_for(|offset| *offset >= next))
                        .await;
                if matches!(reached, Ok(Ok(_))) { Ok(()) } else { Err(Error::Unknown) }
            }
            Err(e) => Err(e),
        };
        for write in batch {
            // Sending fails if the caller no longer waits; the record is appended nonetheless.
            let _ = write.result_tx.send(result.clone());
        }
    }
}
