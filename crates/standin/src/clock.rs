//! Time in milliseconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Returns milliseconds since 1970 by the wall clock.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that shows zero now.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// Returns milliseconds since the clock was created.
    pub fn now_ms(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
