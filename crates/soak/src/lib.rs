//! Randomized fault soak of the real programs as processes on loopback. A seed sets the faults and the load; what
//! callers and workers see is checked against the promises of the platform.

pub mod args;
pub mod checkins;
pub mod checks;
pub mod clients;
pub mod deployment;
pub mod faults;
pub mod history;
pub mod impairments;
pub mod jobs;
pub mod play;
pub mod processes;
pub mod proxy;
pub mod routes;
pub mod run;
pub mod waits;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; every critical section leaves the state consistent, so poisoning is ignored.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
