//! Model of submissions while appends are stored, rejected or lost: a job that was withdrawn is in no later append.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use sorrelland_fleet::planner::{Admission, Planner};
use sorrelland_fleet::record::{self, Record};

const SEEDS: u64 = 300;

const STEPS: u64 = 80;

/// Seeded sequence of random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (x ^ (x >> 31)) % bound
    }
}

fn apply(store: &mut BTreeMap<String, Vec<u8>>, records: &[Record]) {
    for record in records {
        match record.value.is_empty() {
            true => _ = store.remove(&record.key),
            false => _ = store.insert(record.key.clone(), record.value.clone()),
        }
    }
}

fn is_stored(store: &BTreeMap<String, Vec<u8>>, job: &str) -> bool {
    store.contains_key(&format!("j/{job}"))
}

/// Plays one sequence of submissions, appends and takeovers.
fn play(seed: u64) {
    let mut random = Random(seed);
    let mut fleet = Fleet::new(3);
    let mut store = BTreeMap::new();
    let mut in_flight: Option<(Vec<Record>, u64)> = None;
    let mut not_run = BTreeSet::new();
    for _ in 0..STEPS {
        let job = format!("{:016x}", random.below(6));
        match random.below(8) {
            0..=2 => {
                let admission = fleet.submit(&job, "plain", vec![step(2, 1)]);
                assert!(matches!(admission, Admission::Accepted { .. }));
                not_run.remove(&job);
            }
            3 => {
                if fleet.planner.withdraw(&job) {
                    assert!(
                        !is_stored(&store, &job),
                        "seed {seed}: {job} was withdrawn although it is stored"
                    );
                    assert_eq!(fleet.planner.state(&job), None);
                    not_run.insert(job);
                }
            }
            4 => in_flight = in_flight.or_else(|| fleet.planner.take_changes()),
            5 => {
                if let Some((records, change)) = in_flight.take() {
                    apply(&mut store, &records);
                    fleet.planner.record_stored(change);
                }
            }
            6 if in_flight.take().is_some() => fleet.planner.return_changes(),
            6 => (),
            _ => {
                // The leader is lost; its append may have been carried out.
                let may_be_stored = in_flight.take().filter(|_| random.below(2) == 0);
                if random.below(4) == 0 {
                    if let Some((records, _)) = may_be_stored {
                        apply(&mut store, &records);
                    }
                    let records = store.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
                    let jobs = record::read(records).0;
                    fleet.planner = Planner::new(TIMING, Arc::new(desired()), jobs, fleet.now);
                } else if let Some((records, change)) = may_be_stored {
                    apply(&mut store, &records);
                    fleet.planner.record_stored(change);
                } else {
                    fleet.planner.return_changes();
                }
            }
        }
        fleet.now += 20;
        fleet.seq += 1;
        for report in &mut fleet.reports {
            report.seq = fleet.seq;
            fleet.planner.apply_report(fleet.now, fleet.now, fleet.now, report);
        }
        fleet.planner.tick(fleet.now, fleet.now);
        for job in &not_run {
            assert!(!is_stored(&store, job), "seed {seed}: {job} has not run but is stored");
        }
        for report in &fleet.reports {
            let starts = fleet.planner.assignments(fleet.now, &report.agent).unwrap_or_default().starts;
            let is_wrong = |job: &String| not_run.contains(job) || !is_stored(&store, job);
            let wrong: Vec<_> = starts.iter().filter(|start| is_wrong(&start.task.job)).collect();
            assert!(wrong.is_empty(), "seed {seed}: starts of jobs that aren't stored: {wrong:?}");
        }
    }
}

/// Guards against a run of a job whose caller was told that it hasn't run.
#[test]
fn withdraw_is_never_followed_by_a_record_or_a_start() {
    (0..SEEDS).for_each(play);
}

/// Guards against room that stays reserved for a job that was withdrawn.
#[test]
fn withdraw_frees_the_room_of_a_placed_job() {
    let mut fleet = Fleet::new(1);
    fleet.submit("00000000000000a1", "plain", vec![step(8, 1)]);
    fleet.planner.tick(fleet.now, fleet.now);
    assert!(fleet.planner.withdraw("00000000000000a1"));
    fleet.submit("00000000000000a2", "plain", vec![step(8, 1)]);
    let starts: usize = fleet.advance(10).iter().map(|assigned| assigned.starts.len()).sum();
    assert_eq!(starts, 8);
}
