//! Calls to the first entry that can be reached.

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use sorrelland_web::Client;

use crate::args::Args;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a call has no response.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No entry could be reached, and the call was not sent.
    #[display("no entry answers: {_0}")]
    NoEntry(#[error(not(source))] String),
    /// The call may have been sent and may have taken effect.
    #[display("no answer: {_0}; the outcome is not known")]
    OutcomeUnknown(#[error(not(source))] String),
}

/// Response of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: StatusCode,
    /// Body; one that is not JSON is held as a string.
    pub body: Value,
}

/// Client that tries the configured entries in order.
pub struct EntryClient {
    client: Client,
    addresses: Vec<String>,
}

impl EntryClient {
    /// Creates a client from the addresses, key and time limit of a command line.
    pub fn new(args: &Args) -> Self {
        let client = Client::new(args.timeout).with_bearer(&args.key);
        Self { client, addresses: args.entries.clone() }
    }

    /// Calls the first entry that can be reached.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the call may have taken effect.
    pub async fn call(&self, method: Method, path: &str, body: Option<&Value>) -> Result<Response> {
        let bytes = body.map(|body| Bytes::from(body.to_string())).unwrap_or_default();
        let mut last_error = String::new();
        for address in &self.addresses {
            let url = format!("http://{address}{path}");
            match self.client.send(method.clone(), &url, &[], bytes.clone()).await {
                Ok(reply) => {
                    let text = || Value::String(String::from_utf8_lossy(&reply.body).into_owned());
                    let body = serde_json::from_slice(&reply.body).unwrap_or_else(|_| text());
                    return Ok(Response { status: reply.status, body });
                }
                // Only a call that was never sent goes to the next entry; any other could take effect twice.
                Err(e) if e.never_sent() => last_error = format!("{address}: {e}"),
                Err(e) => return Err(Error::OutcomeUnknown(format!("{address}: {e}"))),
            }
        }
        Err(Error::NoEntry(last_error))
    }

    /// Sends a short request. If it is not idempotent, an idempotency key is created first.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the call may have taken effect.
    pub async fn request(&self, body: &Value, idempotent: bool, deadline_ms: u64) -> Result<Response> {
        let mut call = json!({ "idempotent": idempotent, "deadline_ms": deadline_ms, "body": body });
        if !idempotent {
            let key_response = self.call(Method::POST, "/v1/keys", None).await?;
            if !key_response.status.is_success() {
                return Ok(key_response);
            }
            call["key"] = key_response.body["key"].clone();
        }
        self.call(Method::POST, "/v1/requests", Some(&call)).await
    }
}
