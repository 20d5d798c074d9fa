//! Time that an entry waits for the planner on behalf of a caller.

use sorrelland_control::callers::wait_for_planner_ms;

#[yare::parameterized(
    usual = { Some(3_000), 2_850 },
    unspecified = { None, 2_850 },
    longer_than_the_limit = { Some(60_000), 2_850 },
    short = { Some(140), 105 },
    below_the_minimum = { Some(5), 60 },
)]
fn wait_for_planner_ms_reserves_time_for_the_reply(caller_waits_ms: Option<u64>, expected: u64) {
    assert_eq!(wait_for_planner_ms(caller_waits_ms), expected);
}
