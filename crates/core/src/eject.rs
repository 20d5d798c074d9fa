//! Ejection of workers that fail what they start, with a cap and a slow return.

use std::collections::BTreeMap;

use crate::id::WorkerId;
use crate::policy::{MINUTE_MS, Millis, SECOND_MS};

/// Failures in a row that eject a worker.
pub const FAILURES_TO_EJECT: u32 = 5;

/// Share of the workers that may be ejected at the same time, as one in so many.
pub const EJECTED_ONE_IN: usize = 4;

/// First time out, in milliseconds; it doubles with each ejection.
pub const FIRST_OUT_MS: Millis = 10 * SECOND_MS;

/// Longest time out, in milliseconds.
pub const LONGEST_OUT_MS: Millis = 10 * MINUTE_MS;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Record {
    failures: u32,
    ejections: u32,
    out_until_ms: Millis,
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
    pub fn succeed(&mut self, worker: &WorkerId) {
        if let Some(record) = self.records.get_mut(worker) {
            record.failures = 0;
            record.ejections = record.ejections.saturating_sub(1);
        }
    }

    /// Records a failure and ejects the worker at the end of a row, unless too many are out already.
    pub fn fail(&mut self, worker: &WorkerId, workers: usize, now_ms: Millis) -> bool {
        let out = self.records.values().filter(|r| r.out_until_ms > now_ms).count();
        let record = self.records.entry(worker.clone()).or_default();
        record.failures += 1;
        let may_eject = (out + 1) * EJECTED_ONE_IN <= workers.max(EJECTED_ONE_IN);
        if record.failures < FAILURES_TO_EJECT || record.out_until_ms > now_ms || !may_eject {
            return false;
        }
        let out_ms = (FIRST_OUT_MS << record.ejections.min(6)).min(LONGEST_OUT_MS);
        record.out_until_ms = now_ms + out_ms;
        record.ejections += 1;
        // One more failure after the return ejects again; one success clears the row.
        record.failures = FAILURES_TO_EJECT - 1;
        true
    }

    /// Returns whether the worker is out.
    pub fn is_out(&self, worker: &WorkerId, now_ms: Millis) -> bool {
        self.records.get(worker).is_some_and(|r| r.out_until_ms > now_ms)
    }
}
