//! A pooled HTTP client for JSON.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Bytes of an answer at most.
pub const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Why a call has no usable answer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The request could not be built.
    #[display("bad request: {_0}")]
    Request(http::Error),
    /// No connection could be made, so the request was not sent.
    #[display("cannot connect: {_0}")]
    #[from(skip)]
    Connect(hyper_util::client::legacy::Error),
    /// The exchange broke after the request may have been sent.
    #[display("exchange broke: {_0}")]
    #[from(skip)]
    Exchange(hyper_util::client::legacy::Error),
    /// The answer's body could not be read.
    #[display("answer broke: {_0}")]
    #[from(skip)]
    Body(#[error(not(source))] String),
    /// No answer came in time.
    #[display("no answer within {} ms", _0.as_millis())]
    #[from(skip)]
    Timeout(#[error(not(source))] Duration),
    /// The answer was not the expected JSON.
    #[display("answer is not as expected: {_0}")]
    Json(serde_json::Error),
    /// The answer was an error.
    #[display("{status}: {body}")]
    #[from(skip)]
    Status {
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer as text.
        body: String,
    },
}

impl Error {
    /// Returns whether the request certainly never reached the server.
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Request(_) | Self::Connect(_))
    }
}

/// An answer with its status and headers.
#[derive(Debug)]
pub struct Reply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: http::HeaderMap,
    /// Whole body of the answer.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body of a successful answer as JSON.
    ///
    /// # Errors
    ///
    /// Returns the status and body of an error answer, or why the JSON is not as expected.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.status.is_success() {
            let body = String::from_utf8_lossy(&self.body).into_owned();
            return Err(Error::Status { status: self.status, body });
        }
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// A client with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    bearer: Option<HeaderValue>,
}

impl Client {
    /// Creates a client that waits at most `timeout` for an answer.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner, timeout, bearer: None }
    }

    /// Returns the client with a bearer key on every request; an unusable key is left out.
    pub fn with_bearer(mut self, key: &str) -> Self {
        self.bearer = HeaderValue::from_str(&format!("Bearer {key}")).ok();
        self
    }

    /// Returns the client with another timeout.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a request and returns the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(HeaderName, HeaderValue)],
        body: Bytes,
    ) -> Result<Reply> {
        let mut request = Request::builder().method(method).uri(url);
        if let Some(bearer) = &self.bearer {
            request = request.header(http::header::AUTHORIZATION, bearer);
        }
        if !body.is_empty() {
            request = request.header(http::header::CONTENT_TYPE, "application/json");
        }
        for (name, value) in headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(body))?;
        tokio::time::timeout(self.timeout, self.exchange(request))
            .await
            .unwrap_or(Err(Error::Timeout(self.timeout)))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply> {
        let answer = self.inner.request(request).await.map_err(|e| match e.is_connect() {
            true => Error::Connect(e),
            false => Error::Exchange(e),
        })?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
        let body = body.map_err(|e| Error::Body(e.to_string()))?.to_bytes();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// Gets JSON.
    ///
    /// # Errors
    ///
    /// Returns why there is no such answer.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        self.send(Method::GET, url, &[], Bytes::new()).await?.json()
    }

    /// Sends JSON and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no such answer.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        self.send(method, url, &[], body).await?.json()
    }
}
