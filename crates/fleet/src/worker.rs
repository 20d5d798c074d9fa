//! Workers as the planner knows them.

use std::collections::{BTreeMap, BTreeSet};

use crate::report::{Running, WorkerInfo};
use crate::room::Room;
use crate::task::Task;

/// Starts after which a worker's outcomes are judged.
const JUDGED_STARTS: u32 = 3;

/// Time that a worker stays out of use after it failed everything, in milliseconds; doubles up to the limit.
const EJECT_MS: u64 = 4_000;

/// Longest time out of use, in milliseconds: a worker that recovered is tried again within it.
const EJECT_MOST_MS: u64 = 15_000;

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it announced.
    pub info: WorkerInfo,
    /// Agent beside it.
    pub agent: String,
    /// When its agent was last heard, on the steady clock.
    pub heard_at: u64,
    /// When the newest grant to its agent ends, on the steady clock.
    pub granted_until: u64,
    /// Runs that it listed in the newest report.
    pub running: BTreeMap<(Task, u64), Running>,
    /// Highest end that was processed, and the change of the planner it was processed with.
    pub ends: (u64, u64),
    /// Highest end that is stored.
    pub seen: u64,
    /// Failures in a row.
    pub failed_in_row: u32,
    /// When it may be used again, on the steady clock.
    pub out_until: u64,
    /// Times it was taken out of use.
    pub ejections: u32,
    /// Room that members take, kept by the planner.
    pub used: Room,
    /// Members placed on it that are not gone.
    pub placed: BTreeSet<(Task, u64)>,
    /// When a speed share was last changed, on the steady clock.
    pub raised_at: u64,
    /// Speed shares that were asked for, in percent.
    pub paces: BTreeMap<(Task, u64), u64>,
}

impl Worker {
    /// Creates a worker that was just heard of.
    pub fn new(info: WorkerInfo, agent: String, now: u64) -> Self {
        Self {
            info,
            agent,
            heard_at: now,
            granted_until: now,
            running: BTreeMap::new(),
            ends: (0, 0),
            seen: 0,
            failed_in_row: 0,
            out_until: 0,
            ejections: 0,
            used: Room::default(),
            placed: BTreeSet::new(),
            raised_at: 0,
            paces: BTreeMap::new(),
        }
    }

    /// Returns the room that is left.
    pub fn free(&self) -> Room {
        let mut free = self.info.capacity;
        free -= self.used;
        free
    }

    /// Returns the rack, the last label.
    pub fn rack(&self) -> &str {
        self.info.labels.last().map_or("", String::as_str)
    }

    /// Returns whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|own| own == label)
    }

    /// Counts an end with a result.
    pub fn note_done(&mut self) {
        self.failed_in_row = 0;
        self.ejections = 0;
    }

    /// Counts a failure, and takes the worker out of use when it fails all that it starts.
    pub fn note_failed(&mut self, now: u64) {
        self.failed_in_row += 1;
        if self.failed_in_row >= JUDGED_STARTS {
            let time = EJECT_MS.saturating_mul(1 << self.ejections.min(4)).min(EJECT_MOST_MS);
            self.out_until = now + time;
            self.ejections += 1;
            // One more failure after the time out of use is enough to be taken out again.
            self.failed_in_row = JUDGED_STARTS - 1;
        }
    }
}
