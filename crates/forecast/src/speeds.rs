//! Speeds of workers from the rates of the runs on them.
//!
//! The rate of a run is the speed of its worker over the work of its subtask. Subtasks of a step have about the same work,
//! so runs of one step on several workers tell these apart. How much a single run says follows from how far runs on the
//! same worker agree; a fleet whose workers are alike gets the same speed for all.

use std::collections::BTreeMap;
use std::f64::consts::FRAC_1_SQRT_2;

use crate::progress::{RunId, StepId};
use crate::stats::{bounded_mean, median, robust_deviation};

/// Workers with runs of a step from which these are compared with each other.
const MIN_WORKERS_OF_STEP: usize = 3;

/// Alternations between the work of steps and the speeds of workers.
const ROUNDS: usize = 4;

/// Natural logarithms of a speed further away from the fleet's mean are taken for errors of measurement.
const MAX_LOG_SPEED: f64 = 1.4;

/// Smallest standard deviation of a worker's rate within a step, as a natural logarithm: few steps may agree by chance.
const MIN_STEP_DEVIATION: f64 = 0.15;

/// Standard deviations from the others at which a rate is limited: one run in thirty takes seven times as long.
const MAX_STEP_DEVIATIONS: f64 = 1.5;

/// Logarithms of a rate further away from the others are those of a long run or of a frozen worker.
const MAX_LOG_RATE: f64 = 1.2;

/// Newest steps of a worker whose rates all have to be that low to be its speed. Long runs stay so long that one in five
/// runs in progress is one, so two or three of them meet on a worker by chance.
const MIN_FROZEN_STEPS: usize = 4;

/// Share of the workers that say how much the speeds in the fleet differ. The others may be single broken ones.
const COMPARED_SHARE: f64 = 0.9;

/// Standard errors by which a worker has to deviate from the mean to count as different whatever the others are.
const DISTINCT_ERRORS: f64 = 3.0;

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

/// Combines earlier speeds of workers with new ones: by the number of steps that each follows from, until the new one
/// follows from as many as the earlier one.
pub fn combine(
    earlier: &BTreeMap<String, Speed>,
    mut new: BTreeMap<String, Speed>,
) -> BTreeMap<String, Speed> {
    for (worker, earlier) in earlier {
        let speed = new.entry(worker.clone()).or_insert(*earlier);
        if speed.steps < earlier.steps {
            let (old, fresh) = (f64::from(earlier.steps - speed.steps), f64::from(speed.steps));
            let log = |speed: &Speed| (speed.milli.max(1) as f64).ln();
            let mean = (old * log(earlier) + fresh * log(speed)) / (old + fresh);
            *speed = Speed { milli: mean.exp().round() as u64, steps: earlier.steps };
        }
    }
    new
}

/// Rate of one run on a worker.
#[derive(Clone, Debug)]
pub struct Observation {
    pub run: RunId,
    /// Natural logarithm of the rate.
    pub log_rate: f64,
    /// Whether the rate is only known to be at most this.
    pub is_bound: bool,
}

/// Computes the speeds of workers from the rates of their runs.
pub fn compute(observations: &BTreeMap<String, Vec<Observation>>) -> BTreeMap<String, Speed> {
    let steps = rates_by_step(observations);
    // Logarithm of the speed and deviations of each worker, in the order of the names.
    let mut logs = vec![0.0; observations.len()];
    let mut by_worker = vec![Vec::new(); observations.len()];
    let mut deviation = MIN_STEP_DEVIATION;
    for _ in 0..ROUNDS {
        by_worker = deviations_by_worker(&steps, &logs, deviation);
        deviation = deviation_within(&by_worker);
        let limit = MAX_STEP_DEVIATIONS * deviation;
        let log = |values: &Vec<f64>| bounded_mean(values, limit).clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
        logs = by_worker.iter().map(log).collect();
        let known = || by_worker.iter().filter(|values| !values.is_empty()).count();
        let mean = logs.iter().sum::<f64>() / known().max(1) as f64;
        logs.iter_mut().zip(&by_worker).filter(|(_, of)| !of.is_empty()).for_each(|(log, _)| *log -= mean);
    }
    let variance_of = |steps: usize| deviation.powi(2) / steps.max(1) as f64;
    let known = || logs.iter().zip(&by_worker).filter(|(_, values)| !values.is_empty());
    let mut excesses: Vec<f64> = known().map(|(log, values)| log * log - variance_of(values.len())).collect();
    excesses.sort_by(f64::total_cmp);
    excesses.truncate((excesses.len() as f64 * COMPARED_SHARE).ceil() as usize);
    let between = (excesses.iter().sum::<f64>() / excesses.len().max(1) as f64).max(0.0);
    let speed = |log: f64, steps: usize| {
        let of_fleet = between / (between + variance_of(steps));
        let of_worker =
            1.0 - DISTINCT_ERRORS.powi(2) * variance_of(steps) / (log * log).max(f64::MIN_POSITIVE);
        let log = (log * of_fleet.max(of_worker)).clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
        Speed { milli: (log.exp() * 1_000.0).round() as u64, steps: steps as u32 }
    };
    let workers = observations.keys().zip(logs.iter().zip(&by_worker));
    workers
        .filter(|(_, (_, values))| !values.is_empty())
        .map(|(worker, (log, values))| (worker.clone(), speed(*log, values.len())))
        .collect()
}

/// Rate of a step's runs on a worker.
struct StepRate {
    /// Position of the worker in the order of the names.
    worker: usize,
    /// Position of the first of the runs among those of the worker, oldest first.
    position: usize,
    /// Median logarithm.
    log_rate: f64,
}

/// Returns the rates of the steps that ran on several workers. Runs of a step on one worker slow each other down alike,
/// so they count as one.
fn rates_by_step(observations: &BTreeMap<String, Vec<Observation>>) -> Vec<Vec<StepRate>> {
    /// Worker, position and observation of a run.
    type Run<'a> = (usize, usize, &'a Observation);
    let mut runs_by_step: BTreeMap<&StepId, Vec<Run<'_>>> = BTreeMap::new();
    for (worker, runs) in observations.values().enumerate() {
        for (position, run) in runs.iter().enumerate() {
            runs_by_step.entry(&run.run.step).or_default().push((worker, position, run));
        }
    }
    let mut steps = Vec::new();
    for runs in runs_by_step.values() {
        let measured = || runs.iter().filter(|(_, _, run)| !run.is_bound);
        let slowest = measured().map(|(_, _, run)| run.log_rate).fold(f64::MAX, f64::min);
        let mut workers: Vec<usize> = measured().map(|(worker, _, _)| *worker).collect();
        workers.dedup();
        if workers.len() < MIN_WORKERS_OF_STEP {
            continue;
        }
        // A bound says something only where it is below all measured rates of the step.
        let counts = |run: &Observation| !run.is_bound || run.log_rate < slowest;
        let runs: Vec<&Run<'_>> = runs.iter().filter(|(_, _, run)| counts(run)).collect();
        let of_worker = |runs: &[&Run<'_>]| {
            let (worker, position, _) = runs[0];
            let mut rates: Vec<f64> = runs.iter().map(|(_, _, run)| run.log_rate).collect();
            StepRate { worker: *worker, position: *position, log_rate: median(&mut rates) }
        };
        steps.push(runs.chunk_by(|(one, _, _), (next, _, _)| one == next).map(of_worker).collect());
    }
    steps
}

/// Returns how far the rates on each worker are from those that its steps have at the fleet's mean speed, oldest first,
/// for the given logarithms of the speeds.
fn deviations_by_worker(steps: &[Vec<StepRate>], logs: &[f64], deviation: f64) -> Vec<Vec<f64>> {
    let mut deviations = vec![Vec::new(); logs.len()];
    for rates in steps {
        let at_mean_speed: Vec<f64> = rates.iter().map(|rate| rate.log_rate - logs[rate.worker]).collect();
        let of_step = bounded_mean(&at_mean_speed, MAX_STEP_DEVIATIONS * deviation);
        for rate in rates {
            deviations[rate.worker].push((rate.position, rate.log_rate - of_step));
        }
    }
    let usual = |mut values: Vec<(usize, f64)>| {
        values.sort_by_key(|(position, _)| *position);
        usual_rates(&values.into_iter().map(|(_, value)| value).collect::<Vec<f64>>())
    };
    deviations.into_iter().map(usual).collect()
}

/// Returns the deviations that a worker's speed follows from: those of its newest steps if all of them are far off, as on
/// a frozen worker, otherwise those that are not far off.
fn usual_rates(deviations: &[f64]) -> Vec<f64> {
    let is_usual = |value: &f64| value.abs() <= MAX_LOG_RATE;
    let newest = deviations.iter().rposition(is_usual).map_or(0, |last| last + 1);
    match deviations.len() - newest >= MIN_FROZEN_STEPS {
        true => deviations[newest..].to_vec(),
        false => deviations.iter().copied().filter(is_usual).collect(),
    }
}

/// Returns the standard deviation of a single step's rate on a worker, by the differences between steps: those from the
/// worker's own mean are too small after two or three steps.
fn deviation_within(by_worker: &[Vec<f64>]) -> f64 {
    let differences = |values: &Vec<f64>| {
        values.windows(2).map(|pair| (pair[1] - pair[0]) * FRAC_1_SQRT_2).collect::<Vec<f64>>()
    };
    let differences: Vec<f64> = by_worker.iter().flat_map(differences).collect();
    robust_deviation(&differences).max(MIN_STEP_DEVIATION)
}
