//! Ejection of workers that fail what they start, with a cap and a slow return.

use std::collections::BTreeMap;

use crate::id::WorkerId;
use crate::policy::{MINUTE_MS, Millis, SECOND_MS};

/// Failures in a row that eject a worker.
pub const EJECTION_FAILURES: u32 = 5;

/// Share of the workers that may be ejected at the same time, as one in so many.
pub const MIN_WORKERS_PER_EJECTION: usize = 4;

/// First time out, in milliseconds; it doubles with each ejection.
pub const MIN_EJECTION_MS: Millis = 10 * SECOND_MS;

/// Longest time out, in milliseconds.
pub const MAX_EJECTION_MS: Millis = 10 * MINUTE_MS;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Record {
    failures: u32,
    ejections: u32,
    ejected_until_ms: Millis,
}

/// Outcomes of each worker, in a row.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    records: BTreeMap<WorkerId, Record>,
}

impl Outcomes {
    /// Creates an empty record of outcomes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a success, which ends a row of failures.
    pub fn record_success(&mut self, worker: &WorkerId) {
        if let Some(record) = self.records.get_mut(worker) {
            record.failures = 0;
            record.ejections = record.ejections.saturating_sub(1);
        }
    }

    /// Records a failure and ejects the worker at the end of a row, unless too many are out already.
    pub fn record_failure(&mut self, worker: &WorkerId, workers: usize, now_ms: Millis) -> bool {
        let ejected = self.records.values().filter(|r| r.ejected_until_ms > now_ms).count();
        let record = self.records.entry(worker.clone()).or_default();
        record.failures += 1;
        let may_eject = (ejected + 1) * MIN_WORKERS_PER_EJECTION <= workers.max(MIN_WORKERS_PER_EJECTION);
        if record.failures < EJECTION_FAILURES || record.ejected_until_ms > now_ms || !may_eject {
            return false;
        }
        let ejection_ms = (MIN_EJECTION_MS << record.ejections.min(6)).min(MAX_EJECTION_MS);
        record.ejected_until_ms = now_ms + ejection_ms;
        record.ejections += 1;
        // One more failure after the return ejects again; one success clears the row.
        record.failures = EJECTION_FAILURES - 1;
        true
    }

    /// Returns whether the worker is out.
    pub fn is_ejected(&self, worker: &WorkerId, now_ms: Millis) -> bool {
        self.records.get(worker).is_some_and(|r| r.ejected_until_ms > now_ms)
    }
}
