//! Stand-ins for the platform: its log service, and a worker with its upstream.

pub mod clock;
pub mod command;
pub mod log;
pub mod upstream;
pub mod worker;
pub mod worker_api;
