//! The processes of the scheduler on a platform: entries, one of which is the leader and plans, and an agent beside
//! each worker.

pub mod absence;
pub mod active_planner;
pub mod adaptive_timeout;
pub mod agent;
mod announced_service;
mod announcement_order;
mod appends;
pub mod build;
pub mod callers;
pub mod calls;
mod cancels;
pub mod clock;
mod confirmation;
pub mod decisions;
pub mod election;
pub mod entry;
pub mod follow;
mod handover;
pub mod lease;
pub mod logging;
pub mod metrics;
pub mod operators;
mod origin;
pub mod peers;
pub mod planner_load;
pub mod presence;
pub mod reload;
pub mod signals;
pub mod store_failures;
pub mod stored;
mod submissions;
pub mod versions;

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error, From};

/// Result of running a process.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a process could not run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address could not be bound.
    #[display("cannot listen: {_0}")]
    Listen(io::Error),
    /// A server could not be started.
    #[display("cannot serve: {_0}")]
    Serve(dropshot::BuildError),
    /// The settings lack what the role needs.
    #[display("settings lack {_0}")]
    #[from(skip)]
    Missing(#[error(not(source))] &'static str),
}

/// Locks a mutex, ignoring poisoning: every critical section leaves the state consistent, so a panic elsewhere does not
/// have to spread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
