//! Errors of the forecasts of remaining times, known when the runs end.

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_forecast::RunId;

use crate::forecast::SUMMARY_INTERVAL_MS;

/// Times after the placement of a run at which its forecast is kept, in milliseconds.
pub const AGES_MS: [u64; 3] = [500, 1_000, 2_000];

/// Maximum delay of a tick, in milliseconds, after which a forecast still counts for its age.
const MAX_SAMPLE_DELAY_MS: u64 = 200;

/// Remaining times from which an error in percent is meaningful, in milliseconds; below, the delays of reports
/// dominate.
const MIN_REMAINING_MS: u64 = 100;

/// Maximum number of runs whose forecasts are kept at a time.
const MAX_RUNS: usize = 4_096;

/// Maximum number of errors of an age in a line of the log, and of errors that wait for the metrics.
const MAX_ERRORS: usize = 1_024;

/// Error of a forecast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForecastError {
    /// Age of the run at the forecast, one of [`AGES_MS`].
    pub age_ms: u64,
    /// Difference of the forecast remaining time from the true one, in percent of the true one; negative if the run took
    /// longer than forecast.
    pub percent: i64,
}

/// A forecast that a run had at an age.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Index of the age in [`AGES_MS`].
    age: usize,
    at: u64,
    /// Forecast remaining time; `None` if there was no forecast.
    median_ms: Option<u64>,
}

/// A run whose forecasts are judged at its end.
#[derive(Clone, Debug)]
struct Watched {
    placed_at: u64,
    samples: Vec<Sample>,
}

/// Errors of one age since the last line in the log.
#[derive(Clone, Debug, Default)]
struct Unlogged {
    percents: Vec<i64>,
    /// Number of runs that had a forecast at this age.
    forecasts: u64,
    /// Number of runs that had none.
    without: u64,
}

/// Keeps the forecasts of runs until they end.
#[derive(Clone, Debug, Default)]
pub struct ForecastErrors {
    runs: BTreeMap<RunId, Watched>,
    /// When forecasts are to be kept, by time.
    due: BTreeSet<(u64, RunId, usize)>,
    untaken: Vec<ForecastError>,
    unlogged: [Unlogged; AGES_MS.len()],
    /// When the first of the unlogged errors was known; `None` without one.
    unlogged_since: Option<u64>,
}

impl ForecastErrors {
    /// Watches a run that was placed at `placed_at`, unless too many are watched.
    pub fn watch(&mut self, run: &RunId, placed_at: u64) {
        if self.runs.len() >= MAX_RUNS || self.runs.contains_key(run) {
            return;
        }
        self.runs.insert(run.clone(), Watched { placed_at, samples: Vec::new() });
        self.due.extend((0..).zip(AGES_MS).map(|(age, ms)| (placed_at + ms, run.clone(), age)));
    }

    /// Keeps the forecasts that are due. `remaining_ms` returns the forecast remaining time of a run.
    pub fn sample(&mut self, now: u64, remaining_ms: impl Fn(&RunId) -> Option<u64>) {
        while self.due.first().is_some_and(|(at, ..)| *at <= now) {
            let Some((due_at, run, age)) = self.due.pop_first() else { return };
            if now <= due_at + MAX_SAMPLE_DELAY_MS
                && let Some(watched) = self.runs.get_mut(&run)
            {
                watched.samples.push(Sample { age, at: now, median_ms: remaining_ms(&run) });
            }
        }
    }

    /// Records that a run ended with its result.
    pub fn record_end(&mut self, now: u64, run: &RunId) {
        for Sample { age, at, median_ms } in self.remove(run) {
            let true_ms = now.saturating_sub(at);
            if true_ms < MIN_REMAINING_MS {
                continue;
            }
            self.unlogged_since.get_or_insert(now);
            let unlogged = &mut self.unlogged[age];
            let Some(median_ms) = median_ms else {
                unlogged.without += 1;
                continue;
            };
            unlogged.forecasts += 1;
            let percent = ((median_ms as f64 / true_ms as f64 - 1.0) * 100.0).round() as i64;
            if unlogged.percents.len() < MAX_ERRORS {
                unlogged.percents.push(percent);
            }
            if self.untaken.len() < MAX_ERRORS {
                self.untaken.push(ForecastError { age_ms: AGES_MS[age], percent });
            }
        }
    }

    /// Forgets a run and returns its forecasts.
    fn remove(&mut self, run: &RunId) -> Vec<Sample> {
        let Some(Watched { placed_at, samples }) = self.runs.remove(run) else { return Vec::new() };
        for (age, ms) in (0..).zip(AGES_MS) {
            self.due.remove(&(placed_at + ms, run.clone(), age));
        }
        samples
    }

    /// Forgets a run that ended without its result.
    pub fn remove_run(&mut self, run: &RunId) {
        self.remove(run);
    }

    /// Returns the number of watched runs.
    pub fn watched(&self) -> usize {
        self.runs.len()
    }

    /// Drains the errors that became known since the last call.
    pub fn take(&mut self) -> Vec<ForecastError> {
        std::mem::take(&mut self.untaken)
    }

    /// Returns a summary of the errors since the last one for the logs if it is due.
    pub fn take_line(&mut self, now: u64) -> Option<String> {
        self.unlogged_since.filter(|since| now >= since + SUMMARY_INTERVAL_MS)?;
        self.unlogged_since = None;
        let mut line = "event=forecast_error".to_owned();
        for (unlogged, age_ms) in std::mem::take(&mut self.unlogged).into_iter().zip(AGES_MS) {
            let Unlogged { mut percents, forecasts, without } = unlogged;
            line += &format!(" forecasts_{age_ms}ms={forecasts} without_{age_ms}ms={without}");
            if percents.is_empty() {
                continue;
            }
            let at_rank = |sorted: &[i64], milli: usize| sorted[(sorted.len() - 1) * milli / 1_000];
            percents.sort_unstable();
            let median = at_rank(&percents, 500);
            percents.iter_mut().for_each(|percent| *percent = percent.abs());
            percents.sort_unstable();
            let (abs_median, abs_p90) = (at_rank(&percents, 500), at_rank(&percents, 900));
            line += &format!(
                " median_percent_{age_ms}ms={median} abs_median_percent_{age_ms}ms={abs_median} \
                 abs_p90_percent_{age_ms}ms={abs_p90}"
            );
        }
        Some(line)
    }
}
