use sorrelland_fleet::incarnation::{name, split};
use yare::parameterized;

#[parameterized(
    without_start = { "w-1", None, "w-1" },
    with_start = { "w-1", Some(1_700_000_000_000), "w-1@1700000000000" },
    separator_in_name = { "w@1", None, "w@1@" },
    separator_in_name_and_start = { "w@1", Some(7), "w@1@7" },
)]
fn split_returns_what_name_was_given(worker: &str, started_ms: Option<u64>, expected: &str) {
    let incarnation = name(worker, started_ms);
    assert_eq!(incarnation, expected);
    assert_eq!(split(&incarnation), (worker, started_ms));
}
