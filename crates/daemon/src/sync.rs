//! Locks whose data stays usable after a panic elsewhere.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; the critical sections of this crate are short and never wait.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
