//! Bounds of the memory of the forecasts.

mod common;

use sorrelland_forecast::{Forecasts, RunId, Settings};

fn run_id(job: u64, index: u32) -> RunId {
    RunId { step: (format!("job-{job}"), 0, 0), index, run: 1 }
}

/// Guards against runs that never report an end and are kept for ever.
#[test]
fn update_forgets_runs_that_are_no_longer_reported() {
    let mut forecasts = Forecasts::default();
    for job in 0..50_000 {
        let now = job * 100;
        forecasts.record_progress(now, &format!("w{}", job % 55), &run_id(job, 0), 10);
        // This one goes on without progress and is kept.
        forecasts.record_progress(now, "w", &run_id(u64::MAX, 0), 10);
        forecasts.update(now);
        // 60 s of retention, and a quarter of it between two checks, at ten runs a second.
        assert!(forecasts.runs() <= 752, "{}", forecasts.runs());
    }
    assert!(forecasts.runs() > 500);
    forecasts.update(50_000 * 100 + 80_000);
    assert_eq!(forecasts.runs(), 0);
}

/// Guards against a worker that reports ever new runs within the retention.
#[test]
fn record_progress_bounds_the_runs_of_a_worker() {
    let mut forecasts = Forecasts::new(Settings { tracks_per_worker: 8, ..Settings::default() });
    for job in 0..1_000 {
        for worker in ["a", "b"] {
            let id = RunId { index: u32::from(worker == "b"), ..run_id(job, 0) };
            forecasts.record_progress(job, worker, &id, 10);
        }
    }
    assert_eq!(forecasts.runs(), 16);
    forecasts.remove_worker("a");
    assert_eq!(forecasts.runs(), 8);
    forecasts.record_end("b", &RunId { index: 1, ..run_id(999, 0) }, "queue", 1, None);
    forecasts.remove_run(&RunId { index: 1, ..run_id(998, 0) });
    assert_eq!(forecasts.runs(), 6);
}

/// Guards against corrections of queues that no longer exist.
#[test]
fn record_end_bounds_queues_and_steps() {
    let settings = Settings { queues: 4, steps_per_queue: 3, ..Settings::default() };
    let mut forecasts = Forecasts::new(settings);
    for job in 0..100 {
        for index in 0..100 {
            forecasts.record_end("w", &run_id(job, index), &format!("q{job}"), 1_000, Some(2_000));
            forecasts.record_end("w", &run_id(job, index), "last", 1_000, Some(500));
        }
    }
    let kept = (0..100).filter(|job| forecasts.correction(&format!("q{job}")).steps > 0).count();
    assert_eq!(kept, 3);
    assert_eq!(forecasts.correction("last").steps, 3);
    assert_eq!(forecasts.correction("last").median_milli, 500);
    assert_eq!(forecasts.correction("q99").median_milli, 2_000);
}

/// Guards against a run that gave way to newer ones and comes back as the newest with its next report.
#[test]
fn record_progress_keeps_old_runs_out() {
    let mut forecasts = Forecasts::new(Settings { runs_per_worker: 2, ..Settings::default() });
    let workers = ["a", "b", "c"];
    let report = |forecasts: &mut Forecasts, now: u64, job: u64, percents: [u64; 3]| {
        for (index, (worker, percent)) in (0..).zip(workers.iter().zip(percents)) {
            forecasts.record_progress(now, worker, &run_id(job, index), percent);
        }
    };
    // Worker a is slow in the first step only, and that step is reported to the end.
    for now in [0, 500, 1_000] {
        report(&mut forecasts, now, 0, [now / 100, now / 25, now / 25]);
    }
    for now in [1_500, 2_000, 2_500] {
        for job in [1, 2] {
            report(&mut forecasts, now, job, [(now - 1_500) / 25; 3]);
        }
        report(&mut forecasts, now, 0, [now / 100, now / 25, now / 25]);
    }
    forecasts.update(2_500);
    assert_eq!(forecasts.speed("a").milli, 1_000);
    assert_eq!(forecasts.speed("a").steps, 2);
}

/// Guards against updates of a large fleet that take more than a small share of a core.
#[test]
fn update_is_rarer_with_many_runs() {
    let mut forecasts = Forecasts::default();
    let report = |forecasts: &mut Forecasts, now: u64, workers: u64| {
        for worker in 0..workers {
            for run in 0..24 {
                let id = RunId { run, ..run_id(worker / 20, worker as u32) };
                forecasts.record_progress(now, &format!("w{worker}"), &id, now / 100);
            }
        }
    };
    report(&mut forecasts, 0, 40);
    report(&mut forecasts, 500, 40);
    assert!(forecasts.update(500));
    report(&mut forecasts, 750, 40);
    assert!(forecasts.update(750));
    // 730 workers with 24 runs each have more than four times the runs of one interval.
    report(&mut forecasts, 1_000, 730);
    report(&mut forecasts, 1_500, 730);
    assert!(forecasts.update(2_000));
    report(&mut forecasts, 2_250, 730);
    assert!(!forecasts.update(2_250) && !forecasts.update(3_249));
    assert!(forecasts.update(3_250));
}
