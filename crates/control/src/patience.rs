//! How long an answer of the store is waited for.
//!
//! Answers load under a store that loses answers, and under one that is slow: a lost answer is asked for again soon
//! where answers are usually fast, and not before its time where they are slow.

use std::time::Duration;

/// Shortest wait: an answer usually takes a few milliseconds, the rest is the machine's own delay.
const LEAST: Duration = Duration::from_millis(350);

/// Longest wait: two tries fit into a caller's time.
const MOST: Duration = Duration::from_millis(1_400);

/// Multiple of the usual time that is waited.
const MULTIPLE: u32 = 4;

/// Weight of a new time in the usual one, in percent.
const GAIN_PERCENT: u32 = 25;

/// Times of answers, smoothed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Patience {
    usual: Duration,
    missed: u32,
}

impl Patience {
    /// Returns how long the next answer is waited for.
    pub fn wait(&self) -> Duration {
        let wait = (self.usual * MULTIPLE).max(LEAST);
        (wait * 2_u32.pow(self.missed.min(4))).min(MOST)
    }

    /// Notes the time of an answer.
    pub fn note(&mut self, time: Duration) {
        self.usual = (self.usual * (100 - GAIN_PERCENT) + time * GAIN_PERCENT) / 100;
        self.missed = 0;
    }

    /// Notes that no answer came in time; the next is waited for longer.
    pub fn note_missed(&mut self) {
        self.missed += 1;
    }
}
