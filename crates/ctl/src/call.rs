//! Calls to whichever entry answers.

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use sorrelland_web::Client;

use crate::args::Args;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call has no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No entry could be reached: nothing was sent.
    #[display("no entry answers: {_0}")]
    NoEntry(#[error(not(source))] String),
    /// The call may have taken effect.
    #[display("no answer: {_0}; the outcome is not known")]
    Unknown(#[error(not(source))] String),
}

/// An answer of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Body as JSON.
    pub body: Value,
}

/// The entries and how to reach them.
pub struct Entries {
    client: Client,
    addresses: Vec<String>,
}

impl Entries {
    /// Creates the calls of a command line.
    pub fn new(args: &Args) -> Self {
        let client = Client::new(args.timeout).with_bearer(&args.key);
        Self { client, addresses: args.entries.clone() }
    }

    /// Calls the first entry that can be reached.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have taken effect.
    pub async fn call(&self, method: Method, path: &str, body: Option<&Value>) -> Result<Answer> {
        let bytes = body.map(|body| Bytes::from(body.to_string())).unwrap_or_default();
        let mut last = String::new();
        for address in &self.addresses {
            let url = format!("http://{address}{path}");
            match self.client.send(method.clone(), &url, &[], bytes.clone()).await {
                Ok(reply) => {
                    let text = || Value::String(String::from_utf8_lossy(&reply.body).into_owned());
                    let body = serde_json::from_slice(&reply.body).unwrap_or_else(|_| text());
                    return Ok(Answer { status: reply.status, body });
                }
                // Only a call that was never sent may go to another entry.
                Err(e) if e.never_sent() => last = format!("{address}: {e}"),
                Err(e) => return Err(Error::Unknown(format!("{address}: {e}"))),
            }
        }
        Err(Error::NoEntry(last))
    }

    /// Runs a short request; one that is not idempotent takes a key first.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have taken effect.
    pub async fn request(&self, body: &Value, idempotent: bool, deadline_ms: u64) -> Result<Answer> {
        let mut call = json!({ "idempotent": idempotent, "deadline_ms": deadline_ms, "body": body });
        if !idempotent {
            let minted = self.call(Method::POST, "/v1/keys", None).await?;
            if !minted.status.is_success() {
                return Ok(minted);
            }
            call["key"] = minted.body["key"].clone();
        }
        self.call(Method::POST, "/v1/requests", Some(&call)).await
    }
}
