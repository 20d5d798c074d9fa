//! Errors of forecasts that are fed with the reports of the emulated workers.
//!
//! The planner keeps its own forecasts to itself; these get the same reports.

use std::collections::BTreeMap;

use sorrelland_fleet::forecast::run_id;
use sorrelland_fleet::report::{EndReason, Report};
use sorrelland_forecast::{Forecasts, RunId};

use crate::cluster::JobTable;

/// Times after a run's first report at which its remaining time is compared with the real one, in milliseconds.
pub const SAMPLED_AT_MS: [u64; 3] = [500, 1_000, 2_000];

/// Shortest real remaining time that an error is relative to, in milliseconds: agents report every 100 ms.
const MIN_REMAINING_MS: u64 = 500;

/// Relative errors of forecasts.
#[derive(Clone, Debug, Default)]
pub struct Errors {
    /// Of the speeds of workers, at the end of the arrivals.
    pub speeds: Vec<f64>,
    /// Number of workers of which nothing was known then.
    pub unknown_workers: usize,
    /// Of the remaining time of runs that ended with their result, by [`SAMPLED_AT_MS`].
    pub remaining: [Vec<f64>; 3],
    /// Number of such runs without a forecast.
    pub unknown_runs: [usize; 3],
}

impl Errors {
    /// Adds the errors of another run.
    pub fn extend(&mut self, other: &Self) {
        self.speeds.extend(&other.speeds);
        self.unknown_workers += other.unknown_workers;
        for (index, errors) in other.remaining.iter().enumerate() {
            self.remaining[index].extend(errors);
            self.unknown_runs[index] += other.unknown_runs[index];
        }
    }

    /// Returns lines with the median and the ninth decile of each error.
    pub fn text(&self) -> String {
        let ranks = |errors: &[f64]| {
            let mut errors = errors.to_vec();
            errors.sort_by(f64::total_cmp);
            let rank =
                |rank: f64| errors.get((errors.len() as f64 * rank) as usize).copied().unwrap_or(f64::NAN);
            format!("median {:.3}, nine in ten {:.3}", rank(0.5), rank(0.9))
        };
        let known = self.speeds.len();
        let mut text = format!(
            "error of speeds: {}; {known} of {} workers known\n",
            ranks(&self.speeds),
            known + self.unknown_workers
        );
        for (index, errors) in self.remaining.iter().enumerate() {
            text += &format!(
                "error of the remaining time {} ms after a start: {}; {} of {} runs known\n",
                SAMPLED_AT_MS[index],
                ranks(errors),
                errors.len(),
                errors.len() + self.unknown_runs[index]
            );
        }
        text
    }
}

/// A run in progress.
#[derive(Debug)]
struct Sampled {
    first_at: u64,
    /// Time and forecast of the remaining time of each sample.
    samples: Vec<(u64, Option<u64>)>,
}

/// Feeds forecasts and measures their errors.
#[derive(Debug, Default)]
pub struct Observer {
    forecasts: Forecasts,
    /// Newest incarnation of each agent's worker.
    incarnations: BTreeMap<String, String>,
    runs: BTreeMap<RunId, Sampled>,
    pub errors: Errors,
}

impl Observer {
    /// Forgets what is known, as a new planner does.
    pub fn restart(&mut self) {
        self.forecasts = Forecasts::default();
    }

    /// Takes in a report of an agent.
    pub fn record_report(&mut self, now_ms: u64, report: &Report, jobs: &JobTable<'_>) {
        let Some(worker) = report.worker.as_ref().map(|worker| &worker.incarnation) else { return };
        let last = self.incarnations.insert(report.agent.clone(), worker.clone());
        if let Some(last) = last.filter(|last| last != worker) {
            self.forecasts.remove_worker(&last);
        }
        // Members of a gang advance together, so only other runs are evidence.
        for run in report.running.iter().filter(|run| jobs.step(&run.task).is_some_and(|step| !step.gang)) {
            let id = run_id(&run.task, run.run);
            self.forecasts.record_progress(now_ms, worker, &id, run.percent);
            let sampled = self.runs.entry(id.clone());
            let sampled = sampled.or_insert(Sampled { first_at: now_ms, samples: Vec::new() });
            let next = SAMPLED_AT_MS.get(sampled.samples.len());
            if next.is_some_and(|after_ms| now_ms - sampled.first_at >= *after_ms) {
                let left = self.forecasts.remaining(&id, now_ms);
                sampled.samples.push((now_ms, left.map(|left| left.median_ms)));
            }
        }
        for end in &report.ended {
            let id = run_id(&end.task, end.run);
            // Ends are listed until the planner has acknowledged them.
            let Some((step, sampled)) = jobs.step(&end.task).zip(self.runs.remove(&id)) else { continue };
            let is_done = end.reason == EndReason::Done;
            let ran_ms = (is_done && end.run == 1).then_some(now_ms - sampled.first_at);
            self.forecasts.record_end(worker, &id, &jobs.queue(&end.task), step.estimate_ms, ran_ms);
            if is_done {
                self.record_errors(now_ms, &sampled);
            }
        }
        self.forecasts.update(now_ms);
    }

    fn record_errors(&mut self, now_ms: u64, sampled: &Sampled) {
        for (index, (at, left)) in sampled.samples.iter().enumerate() {
            let real = now_ms - at;
            match left {
                _ if real < MIN_REMAINING_MS => (),
                Some(left) => self.errors.remaining[index].push(left.abs_diff(real) as f64 / real as f64),
                None => self.errors.unknown_runs[index] += 1,
            }
        }
    }

    /// Compares the speeds of workers, given by incarnation, with their real ones.
    pub fn record_speeds(&mut self, real: &[(String, f64)]) {
        // Forecasts are relative to the mean of the known workers.
        let known = || real.iter().filter(|(worker, _)| self.forecasts.speed(worker).steps > 0);
        let mean = known().map(|(_, speed)| speed.ln()).sum::<f64>() / known().count().max(1) as f64;
        for (worker, real) in real {
            let speed = self.forecasts.speed(worker);
            match speed.steps {
                0 => self.errors.unknown_workers += 1,
                _ => self
                    .errors
                    .speeds
                    .push((speed.milli as f64 / 1_000.0 / (real.ln() - mean).exp() - 1.0).abs()),
            }
        }
    }
}
