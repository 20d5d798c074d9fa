//! The planner's state of each worker.

use std::collections::{BTreeMap, BTreeSet};

use crate::leaving::Departure;
use crate::report::{Running, WorkerInfo};
use crate::resources::Resources;
use crate::task::Task;

/// Consecutive failures after which a worker is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of a worker's first ejection, in milliseconds; doubles with each ejection up to the limit.
const MIN_EJECTION_MS: u64 = 4_000;

/// Maximum duration of an ejection, in milliseconds, so that a recovered worker is soon tried again.
const MAX_EJECTION_MS: u64 = 15_000;

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Newest announcement of the worker.
    pub info: WorkerInfo,
    /// Agent that manages the worker.
    pub agent: String,
    /// When it shuts down, if it has announced that.
    pub departure: Option<Departure>,
    /// When it was first reported as draining, on the monotonic clock; `None` if it isn't.
    pub draining_since: Option<u64>,
    /// When its agent last reported, on the monotonic clock.
    pub last_report_at: u64,
    /// When the newest grant to its agent ends, on the monotonic clock.
    pub granted_until: u64,
    /// Runs listed in the newest report.
    pub running: BTreeMap<(Task, u64), Running>,
    /// Number of the newest end that was applied, and the change number it belongs to.
    pub applied_end: (u64, u64),
    /// Number of the newest end whose effects are stored.
    pub acknowledged_end: u64,
    pub consecutive_failures: u32,
    /// When the current or last ejection ends, on the monotonic clock.
    pub ejected_until: u64,
    /// Ejections since the last run that ended with a result.
    pub ejections: u32,
    /// Resources reserved by placed members.
    pub used: Resources,
    /// Members placed on it that are not released.
    pub placed: BTreeSet<(Task, u64)>,
    /// When a speed share was last changed, on the monotonic clock.
    pub pace_changed_at: u64,
    /// Required speed shares of runs, in percent.
    pub paces: BTreeMap<(Task, u64), u64>,
}

impl Worker {
    /// Creates the state of a worker that reported for the first time.
    pub fn new(info: WorkerInfo, agent: String, now: u64) -> Self {
        Self {
            info,
            agent,
            departure: None,
            draining_since: None,
            last_report_at: now,
            granted_until: now,
            running: BTreeMap::new(),
            applied_end: (0, 0),
            acknowledged_end: 0,
            consecutive_failures: 0,
            ejected_until: 0,
            ejections: 0,
            used: Resources::default(),
            placed: BTreeSet::new(),
            pace_changed_at: 0,
            paces: BTreeMap::new(),
        }
    }

    /// Returns the free capacity; negative amounts mean overcommitment.
    pub fn free(&self) -> Resources {
        let mut free = self.info.capacity;
        free -= self.used;
        free
    }

    /// Returns the rack, which is the last label.
    pub fn rack(&self) -> &str {
        self.info.labels.last().map_or("", String::as_str)
    }

    pub fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|own| own == label)
    }

    /// Records a run that ended with a result.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    /// Records a failed run, and ejects the worker after too many consecutive failures.
    pub fn record_failure(&mut self, now: u64) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            let ejection_ms = MIN_EJECTION_MS.saturating_mul(1 << self.ejections.min(4)).min(MAX_EJECTION_MS);
            self.ejected_until = now + ejection_ms;
            self.ejections += 1;
            // After an ejection, a single further failure ejects the worker again.
            self.consecutive_failures = FAILURES_TO_EJECT - 1;
        }
    }
}
