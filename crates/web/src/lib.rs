//! HTTP as every program of the system uses it: a pooled client, a server and typed errors.

pub mod client;
pub mod error;
pub mod server;

pub use client::{Client, Reply};
pub use error::ApiError;
