//! Why a unit waits, and for how long: the planner logs both when it places the unit.

use std::collections::BTreeMap;

use derive_more::{Display, FromStr};

/// Wait from which it is logged with what the unit waits for, in milliseconds.
const LONG_WAIT_MS: u64 = 3_000;

/// Time between two such lines on one unit, in milliseconds.
const LONG_WAIT_LINE_INTERVAL_MS: u64 = 2_000;

/// Why a pass did not place a waiting unit; the logs have the name in lower case.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum WaitReason {
    /// No worker that may run it is usable.
    Workers,
    /// The usable workers have too few free resources.
    Resources,
    /// Resources are free, but only on workers on which it would be late.
    Speed,
    /// Runs are being stopped for it.
    Stops,
    /// Resources are free, but not on the rack that it prefers or within one rack.
    Rack,
    /// The free accelerators are reserved for urgent jobs.
    Reserve,
    /// The policy service has approved no worker.
    Approval,
    /// It has to run apart from other jobs, and no worker is empty.
    Isolation,
}

/// Waiting times of a unit since it became ready, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Reason found by the last pass, and the time of that pass.
    current: Option<(WaitReason, u64)>,
    by_reason: BTreeMap<WaitReason, u64>,
    /// When a long wait was last logged; `None` if it hasn't been.
    logged_at: Option<u64>,
}

impl Waits {
    /// Records that a pass at `now` did not place the unit; returns whether it is the first one.
    pub fn record(&mut self, now: u64, reason: WaitReason) -> bool {
        let first = self.current.is_none();
        self.close(now);
        self.current = Some((reason, now));
        first
    }

    /// Returns the reason that the last pass found; `None` if the unit doesn't wait.
    pub fn reason(&self) -> Option<WaitReason> {
        self.current.map(|(reason, _)| reason)
    }

    /// Ends the wait at `now` and returns the waiting times in milliseconds, by reason.
    pub fn end(&mut self, now: u64) -> BTreeMap<WaitReason, u64> {
        self.close(now);
        std::mem::take(self).by_reason
    }

    /// Returns whether a line is due on a unit that waits since `since`.
    pub fn is_line_due(&self, now: u64, since: u64) -> bool {
        let due_at =
            self.logged_at.map_or(since + LONG_WAIT_MS, |logged_at| logged_at + LONG_WAIT_LINE_INTERVAL_MS);
        now >= due_at
    }

    /// Records that a long wait is logged.
    pub fn record_line(&mut self, now: u64) {
        self.logged_at = Some(now);
    }

    /// Adds the time since the last pass to the reason found by that pass.
    fn close(&mut self, now: u64) {
        if let Some((reason, since)) = self.current.take() {
            *self.by_reason.entry(reason).or_default() += now.saturating_sub(since);
        }
    }
}

/// Formats waiting times for the logs, such as `resources:1200,stops:210`.
pub fn format_waits(waits: &BTreeMap<WaitReason, u64>) -> String {
    let waits = waits.iter().filter(|(_, ms)| **ms > 0);
    waits.map(|(reason, ms)| format!("{reason}:{ms}")).collect::<Vec<_>>().join(",")
}
