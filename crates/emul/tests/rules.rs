//! Checks the scheduler's invariants under random loads and faults.

use sorrelland_emul::load::{JobGenerator, by_name};
use sorrelland_emul::{Setup, run};

fn setup(load: &str, seed: u64, rate: f64, faults_per_min: f64) -> Setup {
    let load = by_name(load).unwrap();
    Setup { workers: load.workers, load, seed, length_ms: 40_000, rate, faults_per_min }
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

/// Guards against invariants that hold only with equal gangs, exact estimates and ample memory.
#[yare::parameterized(
    uneven_no_faults = { "uneven", 1.0, 0.0 },
    bursty_no_faults = { "bursty", 1.0, 0.0 },
    uneven_faults = { "uneven", 1.0, 20.0 },
    bursty_faults = { "bursty", 1.5, 20.0 },
)]
fn run_keeps_invariants_on_large_loads(load: &str, rate: f64, faults_per_min: f64) {
    for seed in 1..=3 {
        let outcomes = run(&setup(load, seed, rate, faults_per_min));
        assert!(outcomes.violations.is_empty(), "seed {seed}: {:#?}", outcomes.violations);
        assert!(outcomes.starts > 0, "seed {seed}: nothing started");
    }
}

/// Guards against progress on the earlier loads: results on them rest on workers that report none.
#[yare::parameterized(hpms = { "hpms" }, cmsc = { "cmsc" })]
fn run_reports_no_progress_on_earlier_loads(load: &str) {
    let outcomes = run(&setup(load, 1, 1.0, 0.0));
    assert!(outcomes.forecast_errors.is_none());
}

/// Guards against runs without long ones, and against forecasts that the emulator feeds with wrong times.
#[test]
fn run_measures_forecast_errors_of_uneven_workers() {
    let errors = run(&setup("uneven", 1, 1.0, 0.0)).forecast_errors.unwrap();
    let median = |errors: &[f64]| {
        let mut errors = errors.to_vec();
        errors.sort_by(f64::total_cmp);
        errors[errors.len() / 2]
    };
    assert!(errors.speeds.len() > errors.unknown_workers, "{errors:?}");
    assert!(median(&errors.speeds) < 0.2, "{errors:?}");
    assert!(median(&errors.remaining[1]) < 0.25 && median(&errors.remaining[2]) < 0.15, "{errors:?}");
    let load = by_name("uneven").unwrap();
    let (_, hidden) = JobGenerator::new(1).generate_job(&load, 2);
    let factors = (0..3_000).map(|index| hidden.work_factor(0, index, 1));
    let long = factors.filter(|factor| *factor > 4.0).count();
    assert!((70..130).contains(&long), "{long} of 3,000");
}

/// Guards against a load whose few large accounts are not large, or whose memory is not what runs out.
#[test]
fn bursty_is_skewed_and_short_of_memory() {
    let load = by_name("bursty").unwrap();
    let mut generator = JobGenerator::new(1);
    let (mut jobs, mut largest, mut needs) = (0.0, 0.0, [0.0; 3]);
    for _ in 0..2_000 {
        for (index, kind) in load.kinds.iter().enumerate() {
            let (submission, hidden) = generator.generate_job(&load, index);
            jobs += 1.0;
            largest += f64::from(u8::from(submission.account == "account-0"));
            for (step, work_ms) in submission.steps.iter().zip(&hidden.work_ms) {
                let weight = kind.arrivals_per_s * f64::from(step.count) * *work_ms as f64;
                let shares = [
                    step.resources.millicores as f64 / load.capacity.millicores as f64,
                    step.resources.memory_mb as f64 / load.capacity.memory_mb as f64,
                    step.resources.accelerators as f64 / load.capacity.accelerators as f64,
                ];
                needs.iter_mut().zip(shares).for_each(|(need, share)| *need += weight * share);
            }
        }
    }
    // 1 of 1 + 2^-1.2 + ... + 6^-1.2.
    assert!((0.41..0.47).contains(&(largest / jobs)), "{}", largest / jobs);
    assert!(needs[1] > 1.5 * needs[0] && needs[1] > 1.5 * needs[2], "{needs:?}");
}
