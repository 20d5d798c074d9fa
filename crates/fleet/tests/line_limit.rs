//! Tests the limit of log lines on repeated events.

use sorrelland_fleet::LineLimit;

#[test]
fn record_passes_first_event_of_each_kind() {
    let mut limit = LineLimit::default();
    assert_eq!(limit.record(100, "a"), Some(1));
    assert_eq!(limit.record(100, "b"), Some(1));
    assert_eq!(limit.record(101, "a"), None);
}

#[test]
fn record_counts_events_between_lines() {
    let mut limit = LineLimit::default();
    let lines: Vec<u64> = (0..=120).filter_map(|at| limit.record(at * 100, "a")).collect();
    assert_eq!(lines, [1, 50, 50]);
}
