//! Error responses of the HTTP servers, each with a typed code.

use std::fmt;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::Serialize;

/// Error response with a code for programs and a message for people.
#[derive(Clone, Debug, Serialize, JsonSchema)]
pub struct ApiError {
    /// Code for programs.
    pub error_code: String,
    /// Cause, for people.
    pub message: String,
    /// Time after which to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    #[serde(skip)]
    status: u16,
}

impl ApiError {
    /// Creates an error with a status in 400 to 599, a code and a message.
    pub fn new(status: u16, code: &str, message: impl fmt::Display) -> Self {
        Self { error_code: code.to_owned(), message: message.to_string(), retry_after_ms: None, status }
    }

    /// Sets the time after which to retry.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.error_code, self.message)
    }
}

impl HttpResponseError for ApiError {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

impl From<HttpError> for ApiError {
    fn from(error: HttpError) -> Self {
        let status = error.status_code.as_u16();
        let code = match status {
            400 if error.external_message.contains("exceeded maximum size") => "body_too_large",
            400 => "malformed",
            404 => "not_found",
            405 => "method_not_allowed",
            413 => "body_too_large",
            415 => "unsupported_media_type",
            _ => "internal",
        };
        Self::new(status, code, error.external_message)
    }
}
