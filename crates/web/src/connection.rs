//! A single HTTP connection, for calls that must all reach the same process.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::client::{Error, HttpResponse, Result, read_response};

/// Connection to one process: it ends with the process.
#[derive(Debug)]
pub struct Connection {
    requests: SendRequest<Full<Bytes>>,
    host: HeaderValue,
}

impl Connection {
    /// Opens a connection to an address such as `10.0.0.1:80`.
    ///
    /// # Errors
    ///
    /// Returns why no connection could be made.
    pub async fn open(address: &str) -> Result<Self> {
        let host = HeaderValue::from_str(address).map_err(|e| Error::Request(e.into()))?;
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (requests, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // An error of the connection fails the request in flight, which reports it.
        tokio::spawn(async move { _ = connection.await });
        Ok(Self { requests, host })
    }

    /// Returns whether it takes no further request.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Sends a POST request and returns the whole response, whatever its status. After an error, or if the future is
    /// dropped, the connection must not be used again.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole response.
    pub async fn post(
        &mut self,
        path: &str,
        headers: &[(HeaderName, HeaderValue)],
        body: Bytes,
    ) -> Result<HttpResponse> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, self.host.clone())
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(name, value);
        }
        self.requests.ready().await?;
        let response = self.requests.send_request(request.body(Full::new(body))?).await?;
        read_response(response).await
    }
}
