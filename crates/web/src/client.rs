//! HTTP client for JSON with a connection pool.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum size of a response body.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a call has no usable response.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The request could not be built.
    #[display("cannot build the request: {_0}")]
    Request(http::Error),
    /// No connection could be made, so the request was not sent.
    #[display("cannot connect: {_0}")]
    #[from(skip)]
    Connect(hyper_util::client::legacy::Error),
    /// No connection of one's own could be made, so the request was not sent.
    #[display("cannot connect: {_0}")]
    Unreachable(io::Error),
    /// A connection of one's own failed after the request may have been sent.
    #[display("connection failed after the request may have been sent: {_0}")]
    Broken(hyper::Error),
    /// The exchange failed after the request may have been sent.
    #[display("exchange failed after the request may have been sent: {_0}")]
    #[from(skip)]
    Exchange(hyper_util::client::legacy::Error),
    /// The response body could not be read or is longer than [`MAX_RESPONSE_BYTES`].
    #[display("cannot read the response body: {_0}")]
    #[from(skip)]
    Body(#[error(not(source))] String),
    /// No response arrived in time.
    #[display("no response within {} ms", _0.as_millis())]
    #[from(skip)]
    Timeout(#[error(not(source))] Duration),
    /// The request could not be written as JSON, or the response is not the expected JSON.
    #[display("unexpected JSON: {_0}")]
    Json(serde_json::Error),
    /// The response has an error status.
    #[display("{status}: {body}")]
    #[from(skip)]
    Status {
        status: StatusCode,
        /// Body as text.
        body: String,
    },
}

impl Error {
    /// Returns whether the request certainly did not reach the server.
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Request(_) | Self::Connect(_) | Self::Unreachable(_))
    }

    /// Returns whether no response arrived in time.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Timeout(_))
    }

    /// Returns whether the server's host refused the connection: no process listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        let e = match self {
            Self::Unreachable(e) => return e.kind() == io::ErrorKind::ConnectionRefused,
            Self::Connect(e) => e,
            _ => return false,
        };
        let sources = std::iter::successors(std::error::Error::source(e), |e| e.source());
        let mut causes = sources.filter_map(|e| e.downcast_ref::<io::Error>());
        causes.any(|e| e.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Complete response.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl HttpResponse {
    /// Parses the body of a successful response as JSON.
    ///
    /// # Errors
    ///
    /// Returns the status and body of an error response, or why the body is not the expected JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.status.is_success() {
            let body = String::from_utf8_lossy(&self.body).into_owned();
            return Err(Error::Status { status: self.status, body });
        }
        Ok(serde_json::from_slice(&self.body)?)
    }
}

pub(crate) async fn read_response(response: http::Response<Incoming>) -> Result<HttpResponse> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|e| Error::Body(e.to_string()))?.to_bytes();
    Ok(HttpResponse { status: head.status, headers: head.headers, body })
}

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    bearer: Option<HeaderValue>,
}

impl Client {
    /// Creates a client that waits at most `timeout` for a connection and for a whole response.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner, timeout, bearer: None }
    }

    /// Sets the bearer key of every request; a key that is no valid header value is ignored.
    pub fn with_bearer(mut self, key: &str) -> Self {
        self.bearer = HeaderValue::from_str(&format!("Bearer {key}")).ok();
        self
    }

    /// Sets the time-out of a whole response; that of a connection is unchanged.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a request and returns the whole response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole response.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(HeaderName, HeaderValue)],
        body: Bytes,
    ) -> Result<HttpResponse> {
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

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse> {
        let response = self.inner.request(request).await.map_err(|e| match e.is_connect() {
            true => Error::Connect(e),
            false => Error::Exchange(e),
        })?;
        read_response(response).await
    }

    /// Sends a GET request and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Returns why there is no successful JSON response.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        self.send(Method::GET, url, &[], Bytes::new()).await?.json()
    }

    /// Sends a JSON request and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Returns why there is no successful JSON response.
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
