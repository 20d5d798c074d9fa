//! Speeds of workers from the rates of the runs on them.
//!
//! The rate of a run is the speed of its worker over the work of its subtask. Subtasks of a step have about the same work,
//! so runs of one step on several workers tell these apart. How much a single run says follows from how far runs on the
//! same worker agree; a fleet whose workers are alike gets the same speed for all.

use std::collections::BTreeMap;

use crate::progress::{RunId, StepId};
use crate::stats::{median, robust_deviation};

/// Workers with runs of a step from which these are compared with each other.
const MIN_WORKERS_OF_STEP: usize = 3;

/// Alternations between the work of steps and the speeds of workers.
const ROUNDS: usize = 3;

/// Natural logarithms of a speed further away from the fleet's mean are taken for errors of measurement.
const MAX_LOG_SPEED: f64 = 1.4;

/// Smallest standard deviation of a worker's rate within a step, as a natural logarithm: few steps may agree by chance.
const MIN_STEP_DEVIATION: f64 = 0.15;

/// Speed of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// Thousandths of the fleet's mean speed.
    pub milli: u64,
    /// Number of steps that it follows from.
    pub steps: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self { milli: 1_000, steps: 0 }
    }
}

/// Rate of one run on a worker.
#[derive(Clone, Debug)]
pub struct Observation {
    pub run: RunId,
    /// Natural logarithm of the rate.
    pub log_rate: f64,
}

/// Computes the speeds of workers from the rates of their runs.
pub fn compute(observations: &BTreeMap<String, Vec<Observation>>) -> BTreeMap<String, Speed> {
    let steps = rates_by_step(observations);
    let mut logs: BTreeMap<&str, f64> = BTreeMap::new();
    let mut by_worker: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for _ in 0..ROUNDS {
        by_worker = deviations_by_worker(&steps, &logs);
        logs = by_worker.iter().map(|(worker, values)| (*worker, median(&mut values.clone()))).collect();
        let mean = logs.values().sum::<f64>() / logs.len().max(1) as f64;
        logs.values_mut().for_each(|log| *log -= mean);
    }
    let step_variance = variance_within(&by_worker);
    let variance_of = |steps: usize| step_variance / steps.max(1) as f64;
    let count = logs.len().max(1) as f64;
    let observed = logs.values().map(|log| log * log).sum::<f64>() / count;
    let by_chance = by_worker.values().map(|values| variance_of(values.len())).sum::<f64>() / count;
    let between = (observed - by_chance).max(0.0);
    let speed = |(worker, log): (&str, f64)| {
        let steps = by_worker.get(worker).map_or(0, Vec::len);
        let weight = between / (between + variance_of(steps)).max(f64::MIN_POSITIVE);
        let log = (log * weight).clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
        (worker.to_owned(), Speed { milli: (log.exp() * 1_000.0).round() as u64, steps: steps as u32 })
    };
    logs.into_iter().map(speed).collect()
}

/// Median logarithm of the rate of a step's runs on each worker, by step.
type Steps<'a> = BTreeMap<&'a StepId, BTreeMap<&'a str, f64>>;

/// Returns the rates of the steps that ran on several workers. Runs of a step on one worker slow each other down alike,
/// so they count as one.
fn rates_by_step(observations: &BTreeMap<String, Vec<Observation>>) -> Steps<'_> {
    let mut rates: BTreeMap<&StepId, BTreeMap<&str, Vec<f64>>> = BTreeMap::new();
    for (worker, runs) in observations {
        for run in runs {
            rates.entry(&run.run.step).or_default().entry(worker).or_default().push(run.log_rate);
        }
    }
    rates.retain(|_, workers| workers.len() >= MIN_WORKERS_OF_STEP);
    let median_of = |(worker, mut rates): (_, Vec<f64>)| (worker, median(&mut rates));
    rates.into_iter().map(|(step, workers)| (step, workers.into_iter().map(median_of).collect())).collect()
}

/// Returns how far the rates on each worker are from those that its steps have at the fleet's mean speed, for the given
/// logarithms of the speeds.
fn deviations_by_worker<'a>(steps: &Steps<'a>, logs: &BTreeMap<&str, f64>) -> BTreeMap<&'a str, Vec<f64>> {
    let mut deviations: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for workers in steps.values() {
        let speed = |worker: &str| logs.get(worker).copied().unwrap_or(0.0);
        let mut at_mean_speed: Vec<f64> = workers.iter().map(|(worker, rate)| rate - speed(worker)).collect();
        let of_step = median(&mut at_mean_speed);
        for (worker, rate) in workers {
            deviations.entry(worker).or_default().push(rate - of_step);
        }
    }
    deviations
}

/// Returns the variance of a single step's deviation on a worker.
fn variance_within(by_worker: &BTreeMap<&str, Vec<f64>>) -> f64 {
    let mut residuals = Vec::new();
    for values in by_worker.values().filter(|values| values.len() > 1) {
        let own = median(&mut values.clone());
        residuals.extend(values.iter().map(|value| value - own));
    }
    robust_deviation(&residuals).max(MIN_STEP_DEVIATION).powi(2)
}
