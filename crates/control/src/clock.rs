//! Monotonic and wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns a monotonic time in milliseconds. It advances while the machine is suspended, unlike the clock of timers.
pub fn now_ms() -> u64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
        .map(|time| time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000)
        .unwrap_or_default()
}

/// Returns the time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|time| time.as_millis() as u64).unwrap_or_default()
}
