//! Waits on behalf of callers.

use sorrelland_control::callers::wait_for_planner_ms;

#[yare::parameterized(
    usual = { Some(3_000), 2_850 },
    unnamed = { None, 2_850 },
    longer_than_the_limit = { Some(60_000), 2_850 },
    in_a_hurry = { Some(140), 105 },
    hardly_any = { Some(5), 60 },
)]
fn wait_for_planner_ms_leaves_the_way_back(caller_waits_ms: Option<u64>, expected: u64) {
    assert_eq!(wait_for_planner_ms(caller_waits_ms), expected);
}
