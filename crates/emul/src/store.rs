//! The emulated store: what a planner wrote, and what a successor reads.

use std::collections::{BTreeMap, VecDeque};

use sorrelland_fleet::Job;
use sorrelland_fleet::planner::Planner;
use sorrelland_fleet::record::{self, Record};

/// Newest records by key, with appends on their way.
#[derive(Debug, Default)]
pub struct Store {
    records: BTreeMap<String, Vec<u8>>,
    on_the_way: VecDeque<(u64, Vec<Record>, u64)>,
    /// Until when nothing is stored, in virtual milliseconds.
    pub down_until: u64,
}

/// Time of an append, in milliseconds.
const APPEND_MS: u64 = 8;

impl Store {
    /// Takes the planner's changes, and completes the appends that are due.
    pub fn step(&mut self, now: u64, planner: &mut Planner) {
        if let Some((records, change)) = planner.take_changes() {
            self.on_the_way.push_back((now + APPEND_MS, records, change));
        }
        while now >= self.down_until && self.on_the_way.front().is_some_and(|(due, _, _)| *due <= now) {
            let Some((_, records, change)) = self.on_the_way.pop_front() else { break };
            for Record { key, value } in records {
                match value.is_empty() {
                    true => self.records.remove(&key),
                    false => self.records.insert(key, value),
                };
            }
            planner.record_stored(change);
        }
    }

    /// Forgets appends on their way, as a fence does, and returns the jobs that are stored.
    ///
    /// # Panics
    ///
    /// Panics if a record can't be read back.
    pub fn take_over(&mut self) -> Vec<Job> {
        self.on_the_way.clear();
        let rows = self.records.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
        let (jobs, findings) = record::read(rows);
        assert!(findings.is_empty(), "records can't be read back: {findings:?}");
        jobs
    }
}
