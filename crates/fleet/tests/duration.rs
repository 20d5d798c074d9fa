//! Durations learned from runs that were done.

use sorrelland_fleet::duration::{Slowness, Usual};

#[test]
fn expect_trusts_estimates_that_are_right() {
    let mut usual = Usual::default();
    (1..=60_u64).for_each(|at| usual.note(at * 100, at * 100));
    let expected = usual.expect(500);
    assert!((450..=600).contains(&expected), "{expected}");
}

#[test]
fn expect_trusts_the_usual_duration_when_estimates_are_far_off() {
    let mut usual = Usual::default();
    for at in 0..60_u64 {
        usual.note(if at % 2 == 0 { 800 } else { 40_000 }, 8_000 + at % 7 * 100);
    }
    for estimate in [800, 40_000] {
        let expected = usual.expect(estimate);
        assert!((6_000..=11_000).contains(&expected), "{estimate}: {expected}");
    }
}

#[test]
fn expect_takes_the_estimate_while_little_is_known() {
    let mut usual = Usual::default();
    usual.note(100, 9_000);
    assert_eq!(usual.expect(700), 700);
}

#[test]
fn is_slow_tells_workers_apart() {
    let (mut slow, mut fast) = (Slowness::default(), Slowness::default());
    for _ in 0..20 {
        slow.note(1_000, 1_250);
        fast.note(1_000, 800);
    }
    assert!(slow.is_slow() && !fast.is_slow());
}
