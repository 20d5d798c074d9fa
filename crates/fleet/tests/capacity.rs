//! Tests what follows when the capacity of a worker shrinks under what is placed there, in virtual time.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::sync::Arc;

use common::{Fleet, TIMING, desired, step};
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::job::Step;
use sorrelland_fleet::planner::Planner;
use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::{Resources, record};

fn started<'a>(assignments: &'a [Assignments], worker: &str) -> Vec<&'a str> {
    let of_worker = assignments.iter().filter(|assigned| assigned.incarnation == worker);
    of_worker.flat_map(|assigned| &assigned.starts).map(|start| start.task.job.as_str()).collect()
}

fn stopped<'a>(assignments: &'a [Assignments], worker: &str) -> Vec<&'a str> {
    let of_worker = assignments.iter().filter(|assigned| assigned.incarnation == worker);
    of_worker.flat_map(|assigned| &assigned.stops).map(|stop| stop.task.job.as_str()).collect()
}

fn shrink(fleet: &mut Fleet, at: usize, capacity: Resources) {
    fleet.reports[at].worker.as_mut().unwrap().capacity = capacity;
}

/// A fleet of one worker on which "running" runs and "next" is about to start; both need half of it.
fn fleet_with_start_under_way(next: Step) -> Fleet {
    let mut fleet = Fleet::new(1);
    fleet.submit("running", "plain", vec![step(1, 4)]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    fleet.submit("next", "plain", vec![next]);
    assert!(started(&fleet.advance(10), "w0").contains(&"next"));
    fleet
}

#[yare::parameterized(
    single = { step(1, 4) },
    several = { step(4, 1) },
    gang = { Step { gang: true, ..step(2, 2) } },
)]
fn report_of_shrunk_capacity_withdraws_starts_that_no_longer_fit(next: Step) {
    let mut fleet = fleet_with_start_under_way(next);
    shrink(&mut fleet, 0, Resources::new(128_000, 262_144, 4));
    let assignments = fleet.advance(10);
    assert_eq!(started(&assignments, "w0"), Vec::<&str>::new());
    assert!(stopped(&assignments, "w0").contains(&"next"), "its start may be on its way");
    assert!(!stopped(&assignments, "w0").contains(&"running"), "work in progress is stopped");
}

#[test]
fn report_of_shrunk_capacity_keeps_starts_that_still_fit() {
    let mut fleet = fleet_with_start_under_way(step(4, 1));
    shrink(&mut fleet, 0, Resources::new(128_000, 262_144, 6));
    assert_eq!(started(&fleet.advance(10), "w0").len(), 2);
}

#[test]
fn report_of_shrunk_capacity_withdraws_starts_of_the_planner_before() {
    let mut fleet = fleet_with_start_under_way(step(1, 4));
    let rows = fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let (jobs, _) = record::read(rows);
    fleet.planner = Planner::new(TIMING, Arc::new(desired()), jobs, fleet.now);
    shrink(&mut fleet, 0, Resources::new(128_000, 262_144, 4));
    let assignments = fleet.advance(10);
    assert_eq!(started(&assignments, "w0"), Vec::<&str>::new());
    assert!(!stopped(&assignments, "w0").contains(&"running"));
}

#[test]
fn place_starts_nothing_on_a_worker_over_its_capacity() {
    let mut fleet = Fleet::new(1);
    fleet.submit("running", "plain", vec![step(1, 4)]);
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    shrink(&mut fleet, 0, Resources::new(128_000, 262_144, 2));
    fleet.submit("without-accelerators", "plain", vec![step(1, 0)]);
    assert_eq!(started(&fleet.advance(10), "w0"), Vec::<&str>::new());
    fleet.end_runs("running", EndReason::Done);
    assert_eq!(started(&fleet.advance(10), "w0"), ["without-accelerators"]);
}
