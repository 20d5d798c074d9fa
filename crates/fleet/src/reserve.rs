//! Accelerators that are kept free for urgent jobs while others can wait.
//!
//! Designed for bursts of urgent gangs on a fleet that is nearly full: to free accelerators on demand takes most of the
//! slack that an urgent job has, so what a burst needs has to be free when it begins. How much that is follows from the
//! urgent jobs that arrived together lately.

use std::collections::VecDeque;

/// Smallest share of a service's accelerators that is kept free, in thousandths.
const MIN_RESERVE_MILLI: i64 = 150;

/// Largest share that is kept free, in thousandths: beyond it other work waits for longer than its slack.
const MAX_RESERVE_MILLI: i64 = 400;

/// Time after an urgent job for which a reserve is kept, in milliseconds; without urgent work it serves no purpose.
const RETENTION_MS: u64 = 30_000;

/// Time from the arrival of an urgent job until runs that are stopped for it have freed their accelerators, in
/// milliseconds: a stop, the report of its end and storing the placement.
const FREEING_MS: u64 = 2_000;

/// Urgent jobs from which an arrival together is a burst. For fewer, runs can be stopped without delay; those of a burst
/// compete for the same runs.
const MIN_JOBS_OF_BURST: usize = 4;

/// Recent urgent jobs of a service.
#[derive(Clone, Debug, Default)]
pub struct UrgentArrivals {
    /// Times on the monotonic clock and accelerators that the jobs need at the same time, oldest first.
    recent: VecDeque<(u64, i64)>,
}

impl UrgentArrivals {
    /// Records an urgent job that needs `accelerators` at the same time.
    pub fn record(&mut self, now: u64, accelerators: i64) {
        self.forget_old(now);
        self.recent.push_back((now, accelerators));
    }

    /// Returns the recent jobs, oldest first: the time since each in milliseconds, and the accelerators that it needs.
    pub fn ages(&self, now: u64) -> Vec<(u64, i64)> {
        let age = |(at, accelerators): &(u64, i64)| (now.saturating_sub(*at), *accelerators);
        self.recent.iter().map(age).filter(|(age_ms, _)| *age_ms <= RETENTION_MS).collect()
    }

    /// Returns whether an urgent job arrived within the last `ms` milliseconds.
    pub fn is_any_within(&self, now: u64, ms: u64) -> bool {
        self.recent.back().is_some_and(|(at, _)| at + ms >= now)
    }

    fn forget_old(&mut self, now: u64) {
        while self.recent.front().is_some_and(|(at, _)| at + RETENTION_MS < now) {
            self.recent.pop_front();
        }
    }

    /// Returns how many of `all` accelerators are kept free in any case; 0 without recent urgent jobs.
    pub fn min_reserve(&self, now: u64, all: i64) -> i64 {
        if self.is_any_within(now, RETENTION_MS) { all * MIN_RESERVE_MILLI / 1_000 } else { 0 }
    }

    /// Returns how many of `all` accelerators to keep free from work with enough slack; 0 without recent urgent jobs.
    pub fn reserve(&self, now: u64, all: i64) -> i64 {
        let recent = || self.recent.iter().filter(|(at, _)| at + RETENTION_MS >= now);
        if recent().next().is_none() {
            return 0;
        }
        let (mut jobs, mut together, mut peak) = (0_usize, 0, 0);
        let mut oldest = recent().peekable();
        for (at, accelerators) in recent() {
            (jobs, together) = (jobs + 1, together + accelerators);
            while let Some((_, accelerators)) = oldest.next_if(|(from, _)| from + FREEING_MS < *at) {
                (jobs, together) = (jobs - 1, together - accelerators);
            }
            if jobs >= MIN_JOBS_OF_BURST {
                peak = peak.max(together);
            }
        }
        peak.clamp(all * MIN_RESERVE_MILLI / 1_000, all * MAX_RESERVE_MILLI / 1_000)
    }
}
