//! Remaining times of runs.

mod common;

use common::{Fleet, rank, uneven};
use sorrelland_forecast::{Forecasts, RunId};

/// Guards against remaining times that follow declared estimates or single reports: they decide preemption.
#[test]
fn remaining_is_close_soon_after_the_start() {
    for (after_ms, target) in [(500, 0.5), (1_000, 0.25), (2_000, 0.15)] {
        let (mut errors, mut inside, mut unknown) = (Vec::new(), 0, 0);
        for seed in 1..=20 {
            let (mut fleet, mut forecasts) = (Fleet::new(seed, &uneven(55)), Forecasts::default());
            for _ in 0..600 {
                fleet.play(50, &mut [&mut forecasts]);
                let is_due = |run: &common::Run| fleet.now - run.started_at == after_ms + 50;
                for (id, run) in fleet.runs.iter().filter(|(_, run)| is_due(run) && run.done_ms < run.work_ms)
                {
                    let real = (run.work_ms - run.done_ms) / fleet.speeds[run.worker];
                    match forecasts.remaining(id, fleet.now) {
                        Some(left) => {
                            errors.push((left.median_ms as f64 - real).abs() / real);
                            inside += usize::from((left.low_ms as f64..=left.high_ms as f64).contains(&real));
                        }
                        None => unknown += 1,
                    }
                }
            }
        }
        let total = errors.len() + unknown;
        println!(
            "{after_ms} ms after a start: {} of {total} known; relative error: median {:.3}, nine in ten {:.3}; {:.3} within the range",
            errors.len(),
            rank(&errors, 0.5),
            rank(&errors, 0.9),
            inside as f64 / errors.len() as f64
        );
        assert!(rank(&errors, 0.5) <= target, "{after_ms} ms: {:.3}", rank(&errors, 0.5));
        assert!(inside as f64 >= 0.8 * errors.len() as f64, "{after_ms} ms: {inside} of {}", errors.len());
    }
}

fn run_id(index: u32) -> RunId {
    RunId { step: ("job".to_owned(), 0, 0), index, run: 1 }
}

/// Guards against a frozen run whose remaining time stays short: its gang would wait for it.
#[test]
fn remaining_grows_while_a_run_is_frozen() {
    let mut forecasts = Forecasts::default();
    let mut last = 0;
    for report in 0..60 {
        forecasts.record_progress(report * 500, "w", &run_id(0), (report * 10).min(50));
        let left = forecasts.remaining(&run_id(0), report * 500).map(|left| left.median_ms);
        if report >= 10 {
            assert!(left.is_some_and(|left| left > last), "report {report}: {left:?} after {last}");
            last = left.unwrap_or(0);
        }
    }
    assert!(last > 20_000, "{last}");
}

/// Guards against a run that slows down but is still forecast by the rate of its past.
#[test]
fn remaining_follows_a_change_of_speed() {
    let mut forecasts = Forecasts::default();
    // 2% a report until half of the work is done, then 1%.
    for report in 0..=60_u64 {
        let percent = (report * 2).min(50) + report.saturating_sub(25);
        forecasts.record_progress(report * 500, "w", &run_id(0), percent);
    }
    let left = forecasts.remaining(&run_id(0), 30_000).map(|left| left.median_ms);
    assert!(left.is_some_and(|left| (6_500..=8_500).contains(&left)), "{left:?}");
}

/// Guards against a first mark that is older than the report that brings it, as when a planner is replaced: the time
/// since then is too short, and the run looks fast.
#[test]
fn remaining_does_not_follow_an_old_first_mark() {
    let mut forecasts = Forecasts::default();
    // 8% every 500 ms, reported every 100 ms; the first mark is 400 ms old.
    for report in 0..=12 {
        forecasts.record_progress(report * 100, "w", &run_id(0), 20 + report.div_ceil(5) * 8);
    }
    // 28% at 100 ms, 36% at 600 ms and 44% at 1,100 ms.
    let left = forecasts.remaining(&run_id(0), 1_200).map(|left| left.median_ms);
    assert_eq!(left, Some(3_400));
}

/// Guards against a run that saves its result at 100% and is taken for frozen.
#[test]
fn remaining_of_a_finished_run_is_none_left() {
    let mut forecasts = Forecasts::default();
    for report in 0..40 {
        forecasts.record_progress(report * 500, "w", &run_id(0), (report * 10).min(100));
    }
    assert_eq!(forecasts.remaining(&run_id(0), 20_000).map(|left| left.high_ms), Some(0));
}

/// Guards against corrections that follow the first of a step's runs to end, which is the shortest.
#[test]
fn correction_follows_the_median_run_of_a_step() {
    for seed in 1..=20 {
        let (mut fleet, mut forecasts) = (Fleet::new(seed, &uneven(55)), Forecasts::default());
        // Estimates are 6,000 ms.
        fleet.work_ms = (12_000.0, 12_001.0);
        fleet.play(120_000, &mut [&mut forecasts]);
        let correction = forecasts.correction(common::QUEUE);
        assert!((1_850..=2_250).contains(&correction.median_milli), "seed {seed}: {correction:?}");
        assert!(correction.lower_quartile_milli <= correction.median_milli);
        assert!(correction.median_milli <= correction.upper_quartile_milli);
    }
}
