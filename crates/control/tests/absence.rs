//! Tests what callers are told while no planner is in reach.

use sorrelland_control::absence::{Absence, AnsweredCalls, TAKEOVER_MS, outage_rest_ms, spread_retry_ms};

const HELD: Option<u64> = None;

/// Guards against callers who are held although no planner is expected within their wait.
#[yare::parameterized(
    takeover_soon = { 1_500, None, 2_500, HELD },
    takeover_after_the_wait = { 100, None, 800, Some(TAKEOVER_MS - 100) },
    store_fails_too = { 1_500, Some(700), 2_500, Some(1_000) },
    long_outage = { 1_500, Some(8_000), 2_500, Some(3_000) },
    this_entry_is_cut_off = { 9_000, None, 2_500, Some(1_000) },
)]
fn retry_after_by_what_is_known(
    leaderless_ms: u64,
    store_failing_ms: Option<u64>,
    left_ms: u64,
    expected: Option<u64>,
) {
    assert_eq!(Absence { leaderless_ms, store_failing_ms, left_ms }.retry_after_ms(), expected);
}

/// Guards against callers who all come back at the end of an outage at the same time.
#[test]
fn spread_retry_sends_urgent_callers_back_first() {
    let times = |priority: u32| {
        (0..200)
            .map(move |job| spread_retry_ms(1_000, &format!("{job:016x}"), priority))
            .collect::<Vec<u64>>()
    };
    let (urgent, others) = (times(0), times(1));
    assert!(urgent.iter().max() < others.iter().min());
    for times in [urgent, others] {
        let first = *times.iter().min().unwrap();
        let early = times.iter().filter(|ms| **ms < first + 125).count();
        assert!((20..=80).contains(&early), "{early} of 200 in the first quarter of the spread");
    }
}

#[test]
fn outage_rest_grows_with_the_outage() {
    assert_eq!([0, 1_500, 60_000].map(outage_rest_ms), [1_000, 1_500, 3_000]);
}

#[test]
fn answered_calls_are_bounded() {
    let mut calls = AnsweredCalls::default();
    (0..20_000).for_each(|call| calls.record(call, call));
    assert!(!calls.contains(0));
    assert!(calls.contains(19_999));
    calls.record(100_000, 1);
    assert!(!calls.contains(19_999), "kept for longer than any caller waits");
}
