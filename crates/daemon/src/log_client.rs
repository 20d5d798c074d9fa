//! Client of the platform's log service.

use std::time::Duration;

use derive_more::{Display, Error};
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sorrelland_conf::settings::Log;
use sorrelland_ledger::Record;
use sorrelland_web::Client;

/// Result of a call to the log.
pub type Result<T> = std::result::Result<T, Error>;

/// Wait of a read for new records, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;

/// Why the log gave no usable answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The call was never sent: nothing was appended.
    #[display("log not reached: {_0}")]
    NotSent(sorrelland_web::client::Error),
    /// The call may have taken effect.
    #[display("log gave no answer: {_0}")]
    Unknown(sorrelland_web::client::Error),
}

impl From<sorrelland_web::client::Error> for Error {
    fn from(error: sorrelland_web::client::Error) -> Self {
        match error.never_sent() {
            true => Self::NotSent(error),
            false => Self::Unknown(error),
        }
    }
}

#[derive(Serialize)]
struct Append<'a> {
    records: &'a [Record],
}

/// Where an append went.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Appended {
    /// Offset after the last appended record.
    pub next: u64,
}

/// A record as it was read; one that is not ours stays raw.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    /// Offset of the record.
    pub offset: u64,
    /// The record.
    pub record: Value,
}

/// Records from an offset on.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that is kept.
    pub first: u64,
    /// Offset after the newest record.
    pub next: u64,
    /// The records.
    pub entries: Vec<Row>,
}

/// A client of one log.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    reader: Client,
    url: String,
}

impl LogClient {
    /// Creates a client.
    pub fn new(log: &Log) -> Self {
        let wait = Duration::from_millis(READ_WAIT_MS);
        Self {
            client: Client::new(log.timeout),
            reader: Client::new(log.timeout + wait),
            url: format!("{}/v1/records", log.url.trim_end_matches('/')),
        }
    }

    /// Appends records in one call.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have taken effect.
    pub async fn append(&self, records: &[Record]) -> Result<Appended> {
        Ok(self.client.call(Method::POST, &self.url, &Append { records }).await?)
    }

    /// Reads records from an offset on, waiting a while for new ones.
    ///
    /// # Errors
    ///
    /// Returns why there was no answer.
    pub async fn read(&self, from: u64) -> Result<Page> {
        Ok(self.reader.get(&format!("{}?from={from}&wait_ms={READ_WAIT_MS}", self.url)).await?)
    }
}
