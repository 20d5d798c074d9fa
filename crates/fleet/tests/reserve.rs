//! Tests how many accelerators are kept free for urgent jobs.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use common::{Fleet, step};
use sorrelland_fleet::job::{JobState, Step};
use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::reserve::UrgentArrivals;

const ALL: i64 = 400;

fn arrivals(jobs: &[(u64, i64)]) -> UrgentArrivals {
    let mut arrivals = UrgentArrivals::default();
    jobs.iter().for_each(|(at, accelerators)| arrivals.record(*at, *accelerators));
    arrivals
}

/// Guards against accelerators that stand idle for urgent work that doesn't come.
#[test]
fn reserve_without_recent_urgent_jobs_is_empty() {
    assert_eq!(UrgentArrivals::default().reserve(1_000, ALL), 0);
    assert_eq!(arrivals(&[(1_000, 40), (1_500, 40)]).reserve(40_000, ALL), 0);
}

/// Guards against a reserve that a burst has used up when half of it has arrived.
#[yare::parameterized(
    burst = { &[(1_000, 40), (1_800, 50), (2_000, 10), (2_900, 20)], 120 },
    burst_then_single = { &[(1_000, 40), (1_800, 50), (2_000, 10), (2_100, 5), (9_000, 10)], 105 },
    two = { &[(1_000, 40), (1_800, 50)], 60 },
    spread_out = { &[(1_000, 40), (4_000, 50), (8_000, 20)], 60 },
    single = { &[(1_000, 120)], 60 },
    huge_burst = { &[(1_000, 300), (1_100, 300), (1_200, 300), (1_300, 300)], 160 },
)]
fn reserve_follows_jobs_that_arrive_together(jobs: &[(u64, i64)], expected: i64) {
    assert_eq!(arrivals(jobs).reserve(10_000, ALL), expected);
}

/// Guards against a wide gang that waits beside idle workers for urgent jobs that may come.
#[test]
fn wide_gang_uses_the_reserve_of_an_idle_fleet() {
    let mut fleet = Fleet::new(12);
    let gang = |count: u32, accelerators: i64| Step { gang: true, ..step(count, accelerators) };
    for job in 0..4 {
        fleet.submit(&format!("{job:016x}"), "urgent", vec![gang(2, 5)]);
    }
    let assignments = fleet.advance(10);
    fleet.mark_running(&assignments);
    fleet.advance(500);
    (0..4).for_each(|job| fleet.end_runs(&format!("{job:016x}"), EndReason::Done));
    fleet.advance(10);
    let wide = "00000000000000ff";
    let long = Step { estimate_ms: 60_000, ..gang(8, 8) };
    fleet.submit(wide, "plain", vec![long]);
    let assignments = fleet.advance(10);
    assert!(assignments.iter().all(|assigned| assigned.starts.is_empty()), "a burst may come back at once");
    let mut waited_ms = 0;
    while fleet.planner.state(wide) != Some(JobState::Running) {
        assert!(waited_ms <= 2_000, "waits although nothing else runs");
        let assignments = fleet.advance(100);
        fleet.mark_running(&assignments);
        waited_ms += 100;
    }
}
