//! Checks the scheduler's invariants under random loads and faults.

use sorrelland_emul::load::by_name;
use sorrelland_emul::{Setup, run};

fn setup(load: &str, seed: u64, rate: f64, faults_per_min: f64) -> Setup {
    Setup { load: by_name(load).unwrap(), seed, workers: 11, length_ms: 40_000, rate, faults_per_min }
}

#[yare::parameterized(
    hpms_no_faults = { "hpms", 0.6, 0.0 },
    cmsc_no_faults = { "cmsc", 0.6, 0.0 },
    hpms_burst = { "hpms", 2.0, 0.0 },
    hpms_faults = { "hpms", 1.0, 20.0 },
    cmsc_faults = { "cmsc", 1.0, 20.0 },
    cmsc_many_faults = { "cmsc", 1.5, 60.0 },
)]
fn run_keeps_invariants(load: &str, rate: f64, faults_per_min: f64) {
    for seed in 1..=12 {
        let outcomes = run(&setup(load, seed, rate, faults_per_min));
        assert!(outcomes.violations.is_empty(), "seed {seed}: {:#?}", outcomes.violations);
        assert!(outcomes.starts > 0, "seed {seed}: nothing started");
    }
}

#[test]
fn run_ends_every_accepted_job_without_faults() {
    for seed in 1..=8 {
        let outcomes = run(&setup("hpms", seed, 0.6, 0.0));
        assert!(outcomes.unended.is_empty(), "seed {seed}: {:?}", outcomes.unended);
    }
}

#[test]
fn run_repeats_with_its_seed() {
    let (first, second) = (run(&setup("hpms", 3, 1.0, 20.0)), run(&setup("hpms", 3, 1.0, 20.0)));
    assert_eq!(first.starts, second.starts);
    assert_eq!(first.measure.served_share().to_bits(), second.measure.served_share().to_bits());
}
