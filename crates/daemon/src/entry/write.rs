//! Batched appends to the log, each answered once the own fold has read it back.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use sorrelland_ledger::Record;
use tokio::sync::{Mutex, mpsc, oneshot};

use crate::entry::Entry;
use crate::log_client;

/// Result of a write.
pub type Result<T> = std::result::Result<T, Error>;

/// Writes that may wait for the log.
const QUEUE_LIMIT: usize = 4_096;

/// Records of one append at most.
const BATCH_LIMIT: usize = 1_000;

/// Time until the own fold has read an append back.
const READ_BACK: Duration = Duration::from_secs(3);

/// Why it is not known that a record is on the log.
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
    done: oneshot::Sender<Result<()>>,
}

/// The queue of writes.
pub struct Writer {
    tx: mpsc::Sender<Write>,
    rx: Mutex<mpsc::Receiver<Write>>,
}

impl Writer {
    /// Creates an empty queue.
    pub fn new() -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LIMIT);
        Self { tx, rx: Mutex::new(rx) }
    }
}

impl Entry {
    /// Appends records and waits until the own fold has read them back.
    ///
    /// # Errors
    ///
    /// Returns whether nothing was appended or it is not known yet.
    pub(super) async fn write(&self, records: Vec<Record>) -> Result<()> {
        let (done, answer) = oneshot::channel();
        let write = Write { records, done };
        self.writer.tx.try_send(write).map_err(|_| Error::NotWritten)?;
        answer.await.unwrap_or(Err(Error::Unknown))
    }

    pub(super) async fn write_loop(self: Arc<Self>) {
        let mut rx = self.writer.rx.lock().await;
        while let Some(first) = rx.recv().await {
            let mut batch = vec![first];
            let mut records = batch[0].records.len();
            // Whatever came in while the append before was on its way goes into one call.
            while records < BATCH_LIMIT
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
                log::debug!("append is not answered: {e}");
                self.metrics.count_append("unknown");
                Err(Error::Unknown)
            }
        }
    }

    async fn read_back(&self, batch: Vec<Write>, result: Result<u64>) {
        let result = match result {
            Ok(next) => {
                let mut advanced = self.advanced.subscribe();
                let reached = tokio::time::timeout(READ_BACK, advanced.wait_for(|at| *at >= next)).await;
                if matches!(reached, Ok(Ok(_))) { Ok(()) } else { Err(Error::Unknown) }
            }
            Err(e) => Err(e),
        };
        for write in batch {
            // The writer may have gone away; its record stands all the same.
            let _ = write.done.send(result.clone());
        }
    }
}
