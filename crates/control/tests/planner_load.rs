use std::time::{Duration, Instant};

use sorrelland_control::planner_load::PlannerLoad;

const MS: Duration = Duration::from_millis(1);

#[test]
fn take_line_sums_up_since_last_line() {
    let start = Instant::now();
    let mut load = PlannerLoad::new(start);
    assert_eq!(load.record_pass(start + 30 * MS, start + 40 * MS), (10 * MS, 30 * MS));
    assert_eq!(load.record_pass(start + 45 * MS, start + 65 * MS), (20 * MS, 5 * MS));
    load.record_report(2 * MS);
    load.record_reply(3 * MS);
    load.record_reply(4 * MS);
    assert_eq!(load.take_line(start + 9_999 * MS), None);
    let line = load.take_line(start + 10_000 * MS).unwrap();
    assert_eq!(
        line,
        "event=planner_load over_ms=10000 passes=2 pass_ms=30 longest_pass_ms=20 longest_gap_ms=30 reports=1 \
         report_ms=2 replies=2 reply_ms=7"
    );
    let line = load.take_line(start + 20_000 * MS).unwrap();
    assert!(line.contains("over_ms=10000 passes=0 pass_ms=0 longest_pass_ms=0 longest_gap_ms=0"), "{line}");
}

#[test]
fn record_pass_counts_gap_over_a_line() {
    let start = Instant::now();
    let mut load = PlannerLoad::new(start);
    load.record_pass(start + 9_990 * MS, start + 9_995 * MS);
    load.take_line(start + 10_000 * MS);
    assert_eq!(load.record_pass(start + 10_095 * MS, start + 10_096 * MS), (MS, 100 * MS));
}
