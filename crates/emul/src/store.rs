//! The emulated store, from which a new planner reads the jobs of its predecessor.

use std::collections::{BTreeMap, VecDeque};

use sorrelland_fleet::Job;
use sorrelland_fleet::planner::Planner;
use sorrelland_fleet::record::{self, Record};

/// Latest record of each key, and the appends in flight.
#[derive(Debug, Default)]
pub struct Store {
    records: BTreeMap<String, Vec<u8>>,
    /// Time at which the append completes, its records, and the number of the planner's change.
    in_flight: VecDeque<(u64, Vec<Record>, u64)>,
    /// Virtual time until which no append completes, in milliseconds.
    pub unavailable_until_ms: u64,
}

/// Duration of an append, in milliseconds.
const APPEND_MS: u64 = 8;

impl Store {
    /// Starts an append of the planner's changes and completes the appends that are due.
    pub fn step(&mut self, now_ms: u64, planner: &mut Planner) {
        if let Some((records, change)) = planner.take_changes() {
            self.in_flight.push_back((now_ms + APPEND_MS, records, change));
        }
        while now_ms >= self.unavailable_until_ms
            && self.in_flight.front().is_some_and(|(due_ms, _, _)| *due_ms <= now_ms)
        {
            let Some((_, records, change)) = self.in_flight.pop_front() else { break };
            for Record { key, value } in records {
                match value.is_empty() {
                    true => self.records.remove(&key),
                    false => self.records.insert(key, value),
                };
            }
            planner.record_stored(change);
        }
    }

    /// Drops the appends in flight, as fencing the old planner does, and returns the stored jobs.
    ///
    /// # Panics
    ///
    /// Panics if a record cannot be decoded.
    pub fn fence_and_recover(&mut self) -> Vec<Job> {
        self.in_flight.clear();
        let rows = self.records.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
        let (jobs, unreadable) = record::read(rows);
        assert!(unreadable.is_empty(), "undecodable records: {unreadable:?}");
        jobs
    }
}
