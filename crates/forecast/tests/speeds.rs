//! Speeds of workers from the progress of their runs.

mod common;

use common::{Fleet, rank, uneven};
use sorrelland_forecast::{Forecasts, Progress, RunId, Settings, Speed};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

/// Returns the share of the workers whose forecast is nearer to their own speed than to the others of the fleet.
fn told_apart(fleet: &Fleet, forecasts: &Forecasts) -> f64 {
    let expected = fleet.expected_milli();
    let nearest = |milli: f64| {
        let distance = |kind: &&f64| (milli / **kind).ln().abs();
        expected.iter().min_by(|a, b| distance(a).total_cmp(&distance(b))).copied()
    };
    let found = fleet.forecast_milli(forecasts);
    let right = found.iter().zip(&expected).filter(|(found, own)| nearest(**found) == Some(**own)).count();
    right as f64 / expected.len() as f64
}

/// Guards against speeds that follow the work of single runs: a slow worker taken for a fast one makes an urgent gang late.
#[test]
fn speed_tells_uneven_workers_apart() {
    let (mut early, mut late, mut errors) = (Vec::new(), Vec::new(), Vec::new());
    for seed in SEEDS {
        let (mut fleet, mut forecasts) = (Fleet::new(seed, &uneven(55)), Forecasts::default());
        fleet.play(20_000, &mut [&mut forecasts]);
        let steps: Vec<f64> = fleet.names.iter().map(|name| f64::from(forecasts.speed(name).steps)).collect();
        early.push(told_apart(&fleet, &forecasts));
        assert!(rank(&steps, 0.5) <= 8.0, "seed {seed}: {} steps are not a few", rank(&steps, 0.5));
        fleet.play(40_000, &mut [&mut forecasts]);
        late.push(told_apart(&fleet, &forecasts));
        let found = fleet.forecast_milli(&forecasts);
        errors.extend(found.iter().zip(fleet.expected_milli()).map(|(found, own)| (found / own).ln().abs()));
        assert!(
            (500..=700).contains(&forecasts.slowest_milli()),
            "seed {seed}: {}",
            forecasts.slowest_milli()
        );
    }
    println!(
        "told apart after 20 s: {:.3}, least {:.3}; after 60 s: {:.3}, least {:.3}; relative error: median {:.3}, nine in ten {:.3}",
        early.iter().sum::<f64>() / early.len() as f64,
        rank(&early, 0.0),
        late.iter().sum::<f64>() / late.len() as f64,
        rank(&late, 0.0),
        rank(&errors, 0.5),
        rank(&errors, 0.9),
    );
    assert!(rank(&early, 0.0) >= 0.9, "{early:?}");
    assert!(rank(&late, 0.0) >= 0.96, "{late:?}");
}

/// Guards against differences found by chance: they would make placement prefer workers for no reason.
#[test]
fn speed_of_equal_workers_is_about_the_mean() {
    for seed in SEEDS {
        let (mut fleet, mut forecasts) = (Fleet::new(seed, &[1.3; 55]), Forecasts::default());
        for _ in 0..6 {
            fleet.play(10_000, &mut [&mut forecasts]);
            let found = fleet.forecast_milli(&forecasts);
            let (low, high) = (rank(&found, 0.0), rank(&found, 1.0));
            assert!(low >= 880.0 && high <= 1_120.0, "seed {seed}, {} ms: {low} to {high}", fleet.now);
        }
    }
}

/// Guards against one bad worker that shifts or spreads the speeds of the others.
#[test]
fn speed_of_a_frozen_worker_leaves_the_others() {
    for seed in SEEDS {
        let mut speeds = [1.0; 20];
        speeds[3] = 0.0001;
        let (mut fleet, mut forecasts) = (Fleet::new(seed, &[1.0; 20]), Forecasts::default());
        fleet.play(15_000, &mut [&mut forecasts]);
        fleet.speeds = speeds.to_vec();
        fleet.play(45_000, &mut [&mut forecasts]);
        let mut found = fleet.forecast_milli(&forecasts);
        found.remove(3);
        let (low, middle, high) = (rank(&found, 0.0), rank(&found, 0.5), rank(&found, 1.0));
        assert!((950.0..=1_120.0).contains(&middle), "seed {seed}: {middle}");
        assert!(low >= 850.0 && high <= 1_250.0, "seed {seed}: {low} to {high}");
    }
}

/// Guards against old evidence that keeps a worker's speed when it slows down or freezes.
#[yare::parameterized(slow = { 0.4, 700 }, frozen = { 0.0, 700 })]
fn speed_falls_with_newer_runs(speed: f64, at_most: u64) {
    for seed in SEEDS {
        let (mut fleet, mut forecasts) = (Fleet::new(seed, &[1.0; 20]), Forecasts::default());
        fleet.play(60_000, &mut [&mut forecasts]);
        assert!(forecasts.speed("w7-1").milli > 880, "seed {seed}");
        fleet.speeds[7] = speed;
        // The runs on a frozen worker end by its removal or by preemption.
        for _ in 0..12 {
            fleet.play(10_000, &mut [&mut forecasts]);
            if speed == 0.0 {
                let stuck: Vec<RunId> =
                    fleet.runs.iter().filter(|(_, run)| run.worker == 7).map(|(id, _)| id.clone()).collect();
                for id in &stuck {
                    forecasts.remove_run(id);
                    fleet.runs.remove(id);
                }
            }
        }
        let found = forecasts.speed("w7-1").milli;
        assert!(found <= at_most, "seed {seed}: {found}");
    }
}

/// Guards against a new incarnation that takes over the speed of the last one: its kind may differ.
#[test]
fn remove_worker_makes_the_next_incarnation_unknown() {
    let (mut fleet, mut forecasts) = (Fleet::new(1, &uneven(30)), Forecasts::default());
    fleet.play(30_000, &mut [&mut forecasts]);
    assert!(forecasts.speed("w0-1").milli < 850 && forecasts.speed("w0-1").steps > 2);
    forecasts.remove_worker("w0-1");
    assert_eq!(forecasts.speed("w0-1"), Speed { milli: 1_000, steps: 0 });
    fleet.runs.retain(|_, run| run.worker != 0);
    fleet.names[0] = "w0-2".to_owned();
    fleet.speeds[0] = 1.6;
    assert_eq!(forecasts.speed("w0-2"), Speed { milli: 1_000, steps: 0 });
    fleet.play(40_000, &mut [&mut forecasts]);
    let found = forecasts.speed("w0-2").milli;
    assert!(found > 1_300, "{found}");
    assert_eq!(forecasts.speed("w0-1").steps, 0, "runs of the old incarnation count again");
}

/// Guards against invalid reports that become evidence.
#[test]
fn record_progress_ignores_invalid_reports() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, &uneven(30));
        let (mut clean, mut disturbed) = (Forecasts::default(), Forecasts::default());
        for round in 0..60 {
            fleet.play(500, &mut [&mut clean, &mut disturbed]);
            for (id, run) in fleet.runs.iter().filter(|(_, run)| run.done_ms < run.work_ms) {
                let (worker, percent) = (&fleet.names[run.worker], run.percent());
                let over = disturbed.record_progress(fleet.now, worker, id, 101 + round);
                assert!(matches!(over, Progress::Invalid(_)), "{over:?}");
                // A report without progress arrives as 0.
                let Some(before) = clean.remaining(id, fleet.now).filter(|_| percent > 4) else { continue };
                for back in [0, 1] {
                    let back = disturbed.record_progress(fleet.now, worker, id, back);
                    assert!(matches!(back, Progress::Invalid(_)), "{back:?}");
                }
                assert_eq!(disturbed.remaining(id, fleet.now), Some(before));
            }
            disturbed.update(fleet.now);
            clean.update(fleet.now);
            assert_eq!(clean.speeds(), disturbed.speeds(), "seed {seed}");
            assert_eq!(clean.correction(common::QUEUE), disturbed.correction(common::QUEUE));
        }
    }
}

/// Guards against workers without progress in their reports that are taken for frozen.
#[test]
fn record_progress_without_any_progress_is_no_evidence() {
    let (mut fleet, mut forecasts) = (Fleet::new(1, &[1.0; 20]), Forecasts::default());
    for _ in 0..120 {
        fleet.play(500, &mut [&mut forecasts]);
        for index in 0..4 {
            let id = RunId { step: ("job-00001".to_owned(), 0, 0), index, run: 7 };
            forecasts.record_progress(fleet.now, "mute", &id, 0);
        }
    }
    assert_eq!(forecasts.speed("mute"), Speed::default());
}

/// Guards against the jump from 0 to the saved progress of a run that continues, and to the real progress of a run whose
/// first report had none: taken for work, it makes a worker look many times as fast.
#[test]
fn record_progress_does_not_count_saved_progress() {
    let mut forecasts = Forecasts::default();
    let step = ("job".to_owned(), 0, 0);
    for (worker, first) in [("w0", 0), ("w1", 0), ("w2", 0), ("w3", 0), ("late", 60)] {
        let id = RunId { step: step.clone(), index: first as u32 + worker.len() as u32, run: 2 };
        for (now, percent) in [(0, 0), (500, first + 8), (1_000, first + 16), (1_500, first + 24)] {
            forecasts.record_progress(now, worker, &id, percent);
        }
    }
    forecasts.update(1_500);
    assert_eq!(forecasts.speed("late").milli, 1_000);
    let id = RunId { step, index: 64, run: 2 };
    let left = forecasts.remaining(&id, 1_500).map(|left| left.median_ms);
    assert_eq!(left, Some(1_000));
}

/// Guards against a planner that stays without speeds after it has replaced another one.
#[test]
fn speed_is_known_again_after_two_reports() {
    let (mut known, mut measurable, mut right, mut all) = (0, 0, 0.0, 0);
    for seed in SEEDS {
        let (mut fleet, mut old) = (Fleet::new(seed, &uneven(55)), Forecasts::default());
        fleet.play(30_000, &mut [&mut old]);
        let mut new = Forecasts::new(Settings { update_interval_ms: 50, ..Settings::default() });
        let running: Vec<RunId> = fleet.runs.keys().cloned().collect();
        // Within a second every worker has reported twice.
        fleet.play(1_000, &mut [&mut new]);
        let still: Vec<&RunId> = running.iter().filter(|id| fleet.runs.contains_key(id)).collect();
        for worker in 0..fleet.speeds.len() {
            let runs: Vec<&&RunId> = still.iter().filter(|id| fleet.runs[**id].worker == worker).collect();
            // Half a second is 4% of a run of 12.5 s, with one more for the rounding.
            let is_measurable = runs.iter().any(|id| {
                let run = &fleet.runs[**id];
                run.work_ms / fleet.speeds[worker] <= 10_000.0
                    && fleet.runs.keys().filter(|other| other.step == id.step).count() >= 6
            });
            all += usize::from(!runs.is_empty());
            let is_known = new.speed(&fleet.names[worker]).steps > 0;
            known += usize::from(is_known && !runs.is_empty());
            measurable += usize::from(is_measurable);
            assert!(
                is_known || !is_measurable,
                "seed {seed}: nothing known of {}: {:?}",
                fleet.names[worker],
                runs.iter().map(|id| fleet.runs[**id].work_ms / fleet.speeds[worker]).collect::<Vec<_>>()
            );
        }
        right += told_apart(&fleet, &new) / 20.0;
    }
    println!(
        "known after two reports: {known} of {all} with runs ({measurable} measurable); told apart: {right:.3}"
    );
}

/// Guards against forecasts that cost the planner's pass more than a small part of its interval.
#[test]
fn update_is_cheap_for_a_large_fleet() {
    let (mut fleet, mut forecasts) = (Fleet::new(1, &uneven(160)), Forecasts::default());
    fleet.runs_per_worker = 6;
    fleet.count = 24;
    fleet.play(60_000, &mut [&mut forecasts]);
    let mut times = Vec::new();
    for _ in 0..20 {
        fleet.play(500, &mut []);
        for (id, run) in &fleet.runs {
            forecasts.record_progress(fleet.now, &fleet.names[run.worker], id, run.percent().min(99));
        }
        let start = std::time::Instant::now();
        assert!(forecasts.update(fleet.now));
        times.push(start.elapsed().as_secs_f64() * 1_000.0);
    }
    println!("update of 160 workers: median {:.2} ms, least {:.2} ms", rank(&times, 0.5), rank(&times, 0.0));
    // 1% of a core, at an update every 250 ms. The least time is that without other load.
    assert!(rank(&times, 0.0) <= 2.5, "{times:?}");
}
