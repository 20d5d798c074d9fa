//! HTTP for all programs of the system: a pooled client, a server and typed errors.

pub mod client;
pub mod connection;
pub mod error;
pub mod server;

pub use client::{Client, HttpResponse};
pub use connection::Connection;
pub use error::ApiError;
