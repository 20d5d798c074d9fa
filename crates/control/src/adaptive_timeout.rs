//! Adaptive time-out for replies of the store.
//!
//! It suits a store that loses replies as well as one that is slow: a lost reply is followed by an early retry where
//! replies are usually fast, and a slow store gets no retry before it can reply.

use std::time::Duration;

/// Replies usually take a few milliseconds; the rest allows for delays of the instance itself.
const MIN_WAIT: Duration = Duration::from_millis(350);

/// Longest wait: two tries fit into a caller's time.
const MAX_WAIT: Duration = Duration::from_millis(1_400);

/// The time-out as a multiple of the usual reply time.
const MULTIPLE: u32 = 4;

/// Weight of a new time in the usual one, in percent.
const GAIN_PERCENT: u32 = 25;

/// Time-out that follows the usual reply time.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveTimeout {
    /// Exponentially smoothed reply time.
    usual: Duration,
    /// Time-outs since the last reply.
    missed: u32,
}

impl AdaptiveTimeout {
    /// Returns how long to wait for the next reply.
    pub fn wait(&self) -> Duration {
        let wait = (self.usual * MULTIPLE).max(MIN_WAIT);
        (wait * 2_u32.pow(self.missed.min(4))).min(MAX_WAIT)
    }

    pub fn record_reply(&mut self, time: Duration) {
        self.usual = (self.usual * (100 - GAIN_PERCENT) + time * GAIN_PERCENT) / 100;
        self.missed = 0;
    }

    /// Records that no reply came in time, which lengthens the next time-out.
    pub fn record_timeout(&mut self) {
        self.missed += 1;
    }
}
