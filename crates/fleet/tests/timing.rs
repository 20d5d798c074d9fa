//! Tests which workers are fast enough for a unit.

use sorrelland_fleet::timing::{JobTiming, SpeedClass, SpeedClasses};
use sorrelland_fleet::value::Timeliness;

/// An urgent job of 2 s of work whose target is 1.5 times its work and 250 ms.
fn urgent(age_ms: u64) -> JobTiming {
    JobTiming { age_ms, target_ms: 3_250, remaining_ms: 2_000 }
}

/// Guards against urgent jobs on workers on which they are late although they never waited.
#[yare::parameterized(
    at_once = { 0, Some(738) },
    after_a_wait = { 1_000, Some(1_066) },
    after_its_target = { 3_250, None },
)]
fn required_speed_grows_with_age(age_ms: u64, expected: Option<u64>) {
    assert_eq!(urgent(age_ms).required_speed(Timeliness::InTime), expected);
}

/// Guards against jobs that wait for a fast worker that no longer helps them.
#[test]
fn required_speed_of_missed_job_is_any() {
    assert_eq!(urgent(20_000).required_speed(Timeliness::Missed), Some(0));
}

/// Guards against speeds that count where urgent jobs are in time on nearly all workers.
#[yare::parameterized(
    uneven = { &[600, 1_000, 1_600], false, true },
    a_quarter = { &[800, 1_000, 1_250], false, false },
    alike = { &[1_000, 1_000, 1_000], false, false },
    less_uneven_than_before = { &[720, 1_000, 1_600], true, true },
    not_uneven_enough = { &[720, 1_000, 1_600], false, false },
)]
fn new_where_slow_workers_make_urgent_jobs_late(kinds: &[u64], counted: bool, expected: bool) {
    let speeds: Vec<u64> = (0..60).map(|at| kinds[at % kinds.len()]).collect();
    assert_eq!(SpeedClasses::new(speeds, 1_500, counted).is_some(), expected);
}

/// Guards against decisions on a handful of measurements.
#[test]
fn new_with_few_known_workers_has_no_classes() {
    assert_eq!(SpeedClasses::new(vec![600, 1_600, 600], 1_500, false), None);
}

/// Guards against other work on the workers that urgent jobs need.
#[test]
fn rank_prefers_fast_workers_for_urgent_jobs_only() {
    let classes = SpeedClasses::new([600, 1_000, 1_600].repeat(4), 1_500, false).unwrap();
    assert_eq!(
        [600, 1_000, 1_600].map(|speed| classes.class(speed)),
        [SpeedClass::Slow, SpeedClass::Sufficient, SpeedClass::Fast]
    );
    let order = |is_urgent: bool| {
        let mut speeds = [600, 1_000, 1_600];
        speeds.sort_by_key(|speed| classes.rank(*speed, is_urgent));
        speeds
    };
    assert_eq!(order(true), [1_600, 1_000, 600]);
    assert_eq!(order(false), [600, 1_000, 1_600]);
}
