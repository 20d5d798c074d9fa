//! Stand-ins for the services around the scheduler, used by tests and by the daemon's standalone mode: the
//! log service, a worker with its upstream, and the store, workers and policy service of the users' platform.

pub mod clock;
pub mod command;
pub mod gang;
pub mod log;
pub mod platform_policy;
pub mod platform_store;
pub mod platform_worker;
pub mod ticket;
pub mod upstream;
pub mod worker;
pub mod worker_api;
