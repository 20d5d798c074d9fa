//! Stand-ins for the platform: its log service, and a worker with its upstream; and for the users' platform: its
//! store and its workers.

pub mod clock;
pub mod command;
pub mod log;
pub mod platform_store;
pub mod platform_worker;
pub mod upstream;
pub mod worker;
pub mod worker_api;
