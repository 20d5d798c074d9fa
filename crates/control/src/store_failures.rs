//! How long the store has rejected a process's calls.

use sorrelland_platform::store::{Error, Result};

/// Tracks calls to the store. Times are in milliseconds on the monotonic clock.
///
/// Only errors that come at once count: they may concern this process alone, so that another entry could lead. A store
/// that is slow or loses its replies is so for all.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFailures {
    since: Option<u64>,
}

impl StoreFailures {
    /// Records the result of a call that returned at `now`.
    pub fn record<T>(&mut self, now: u64, result: &Result<T>) {
        match result {
            Err(e) if e.is_timeout() => (),
            Err(Error::NoReply(_) | Error::Refused { .. }) => _ = self.since.get_or_insert(now),
            _ => self.since = None,
        }
    }

    /// Returns the time since the first of the rejected calls; 0 if the last call was answered.
    pub fn lasting_ms(&self, now: u64) -> u64 {
        self.since.map_or(0, |since| now.saturating_sub(since))
    }
}
