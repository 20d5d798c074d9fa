//! What an agent believes of its worker, without a network.

use sorrelland_control::lease::Watched;
use sorrelland_fleet::Task;
use sorrelland_fleet::assignments::{Assignments, Stop};
use sorrelland_fleet::report::{Running, WorkerInfo};
use sorrelland_platform::worker::{Announcement, Listing};

const LIFE: &str = "w-1";
const GRANT_MS: u64 = 6_000;
const STOP_MS: u64 = 400;

fn announcement(sequence: u64) -> Announcement {
    let info =
        WorkerInfo { incarnation: LIFE.to_owned(), service: "svc".to_owned(), ..WorkerInfo::default() };
    Announcement { info, sequence }
}

fn task() -> Task {
    Task { job: "00000000000000a1".to_owned(), occurrence: 0, step: 0, index: 0 }
}

fn listing(clock_ms: u64) -> Listing {
    let run = Running { task: task(), run: 1, saved: String::new(), percent: 10, measurement: 0 };
    Listing { clock_ms, running: vec![run], ended: Vec::new() }
}

fn stop_orders(number: u64) -> Assignments {
    let stops = vec![Stop { task: task(), run: 1 }];
    Assignments { incarnation: LIFE.to_owned(), number, grant_ms: 5_000, stops, ..Assignments::default() }
}

#[test]
fn lapse_waits_for_leases_of_a_former_life_of_the_agent() {
    let mut watched = Watched::new(GRANT_MS, STOP_MS);
    watched.announce(10_000, announcement(7));
    let look = watched.begin_look();
    watched.take_listing(10_010, look, LIFE, listing(500));
    // The life before may have extended the lease just before it ended.
    assert!(!watched.lapse(10_000 + GRANT_MS));
    assert_eq!(watched.report("agent", 1, 1).not_started, Vec::new());
    assert!(watched.lapse(10_000 + 2 * GRANT_MS));
    assert_eq!(watched.report("agent", 1, 2).not_started.len(), 1);
}

#[test]
fn stops_are_not_repeated_while_the_worker_carries_them_out() {
    let mut watched = Watched::new(GRANT_MS, STOP_MS);
    watched.announce(0, announcement(1));
    let look = watched.begin_look();
    watched.take_listing(10, look, LIFE, listing(500));
    watched.take_orders(20, 1, Some(stop_orders(1)));
    let stops = watched.stops(20);
    assert_eq!(stops, vec![Stop { task: task(), run: 1 }]);
    watched.note_stopped(LIFE, &stops[0], 30);
    watched.note_final(LIFE, &task(), 1, "stopped");
    // The run is still listed: its stop takes a while.
    let look = watched.begin_look();
    watched.take_listing(40, look, LIFE, listing(540));
    watched.take_orders(50, 1, Some(stop_orders(2)));
    assert_eq!(watched.stops(60), Vec::new());
    assert_eq!(watched.stops(30 + STOP_MS), Vec::new());
    // A worker that has forgotten it is told again.
    assert_eq!(watched.stops(5_000), stops);
}
