//! Temporary ejection of workers that fail repeatedly.
//!
//! The share of ejected workers is limited, and each further ejection of a worker lasts longer.

use std::collections::BTreeMap;

use crate::id::WorkerId;
use crate::policy::{MINUTE_MS, Millis, SECOND_MS};

/// Consecutive failures after which a worker is ejected.
pub const FAILURES_TO_EJECT: u32 = 5;

/// At most one worker in this many may be ejected at the same time.
pub const MIN_WORKERS_PER_EJECTION: usize = 4;

/// Duration of the first ejection; it doubles with each further one.
pub const MIN_EJECTION_MS: Millis = 10 * SECOND_MS;

pub const MAX_EJECTION_MS: Millis = 10 * MINUTE_MS;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Record {
    failures: u32,
    ejections: u32,
    ejected_until_ms: Millis,
}

/// Consecutive failures and ejections of each worker.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    records: BTreeMap<WorkerId, Record>,
}

impl Outcomes {
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a success, which resets the consecutive failures and undoes one doubling of the ejection.
    pub fn record_success(&mut self, worker: &WorkerId) {
        if let Some(record) = self.records.get_mut(worker) {
            record.failures = 0;
            record.ejections = record.ejections.saturating_sub(1);
        }
    }

    /// Records a failure and returns whether it ejects the worker; `workers` is the size of the fleet.
    ///
    /// A worker is not ejected if too many are ejected already.
    pub fn record_failure(&mut self, worker: &WorkerId, workers: usize, now_ms: Millis) -> bool {
        let ejected = self.records.values().filter(|r| r.ejected_until_ms > now_ms).count();
        let record = self.records.entry(worker.clone()).or_default();
        record.failures += 1;
        let may_eject = (ejected + 1) * MIN_WORKERS_PER_EJECTION <= workers.max(MIN_WORKERS_PER_EJECTION);
        if record.failures < FAILURES_TO_EJECT || record.ejected_until_ms > now_ms || !may_eject {
            return false;
        }
        let ejection_ms = (MIN_EJECTION_MS << record.ejections.min(6)).min(MAX_EJECTION_MS);
        record.ejected_until_ms = now_ms + ejection_ms;
        record.ejections += 1;
        // After the ejection ends, one more failure ejects the worker again; a success resets the count.
        record.failures = FAILURES_TO_EJECT - 1;
        true
    }

    pub fn is_ejected(&self, worker: &WorkerId, now_ms: Millis) -> bool {
        self.records.get(worker).is_some_and(|r| r.ejected_until_ms > now_ms)
    }
}
