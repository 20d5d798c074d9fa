//! HTTP client of the platform's log service.

use std::time::Duration;

use derive_more::{Display, Error};
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sorrelland_conf::settings::Log;
use sorrelland_ledger::Record;
use sorrelland_web::Client;

pub type Result<T> = std::result::Result<T, Error>;

/// Maximum time for which the log holds a read open until there are new records.
const READ_WAIT_MS: u64 = 1_000;

/// Why a call to the log failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The request was not sent, so nothing was appended.
    #[display("cannot reach the log: {_0}")]
    NotSent(sorrelland_web::client::Error),
    /// The request may have taken effect.
    #[display("no valid reply from the log: {_0}")]
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

/// Reply to an append.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct AppendReply {
    /// Offset after the last appended record.
    pub next: u64,
}

/// Record as read, kept as raw JSON because the log may also hold records of other software.
#[derive(Clone, Debug, Deserialize)]
pub struct RawRecord {
    pub offset: u64,
    pub record: Value,
}

/// Reply to a read.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that the log retains.
    pub first: u64,
    /// Offset after the latest record of the log.
    pub next: u64,
    #[serde(rename = "entries")]
    pub records: Vec<RawRecord>,
}

#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    /// Client whose time-out includes the wait of a read.
    read_client: Client,
    url: String,
}

impl LogClient {
    pub fn new(log: &Log) -> Self {
        let wait = Duration::from_millis(READ_WAIT_MS);
        Self {
            client: Client::new(log.timeout),
            read_client: Client::new(log.timeout + wait),
            url: format!("{}/v1/records", log.url.trim_end_matches('/')),
        }
    }

    /// Appends records in one call.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if nothing was appended, [`Error::Unknown`] if the records may have been.
    pub async fn append(&self, records: &[Record]) -> Result<AppendReply> {
        Ok(self.client.call(Method::POST, &self.url, &Append { records }).await?)
    }

    /// Reads records from offset `from` on; the log waits up to `READ_WAIT_MS` for new ones.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or the reply is not valid.
    pub async fn read(&self, from: u64) -> Result<Page> {
        Ok(self.read_client.get(&format!("{}?from={from}&wait_ms={READ_WAIT_MS}", self.url)).await?)
    }
}
