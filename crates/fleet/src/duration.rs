//! Durations that are to be expected, learned from runs that were done.
//!
//! Answers declared run times that are far off: a queue's usual duration often says more than an estimate, and
//! workers differ in speed.

use crate::job::Submission;
use crate::planner::Planner;

/// Weight of a new run in what is learned.
const GAIN: f64 = 0.08;

/// Squared error of logarithms that both predictions begin with: a factor of about 1.35 either way.
const FIRST_ERROR: f64 = 0.09;

/// Runs of a queue before its usual duration counts.
const LEAST_RUNS: u32 = 8;

/// Weight of a new run in what is learned of a worker's speed.
const SPEED_GAIN: f64 = 0.15;

/// Slowness of a worker, as a factor, above which urgent work goes elsewhere if it can.
const SLOW_FACTOR: f64 = 1.12;

/// What is learned of a queue's runs.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    runs: u32,
    /// Mean logarithm of durations in milliseconds.
    mean_ln: f64,
    /// Smoothed squared errors of the logarithm, of estimates and of the mean.
    errors: (f64, f64),
}

impl Default for Usual {
    fn default() -> Self {
        Self { runs: 0, mean_ln: 0.0, errors: (FIRST_ERROR, FIRST_ERROR) }
    }
}

impl Usual {
    /// Takes a run into account that was estimated at `estimate_ms` and took `took_ms`.
    pub fn note(&mut self, estimate_ms: u64, took_ms: u64) {
        let took = (took_ms.max(1) as f64).ln();
        self.runs += 1;
        if self.runs == 1 {
            self.mean_ln = took;
            return;
        }
        let off = |predicted: f64| (took - predicted).powi(2);
        let (estimate, mean) = (off((estimate_ms.max(1) as f64).ln()), off(self.mean_ln));
        self.errors.0 += (estimate - self.errors.0) * GAIN;
        self.errors.1 += (mean - self.errors.1) * GAIN;
        // The first runs count as much as they would in a plain mean.
        let gain = GAIN.max(1.0 / f64::from(self.runs));
        self.mean_ln += (took - self.mean_ln) * gain;
    }

    /// Returns the duration to expect of a run that is estimated at `estimate_ms`.
    pub fn expect(&self, estimate_ms: u64) -> u64 {
        if self.runs < LEAST_RUNS || estimate_ms == 0 {
            return estimate_ms;
        }
        let (estimate, mean) = self.errors;
        let share = mean / (estimate + mean).max(f64::EPSILON);
        let ln = share * (estimate_ms as f64).ln() + (1.0 - share) * self.mean_ln;
        ln.exp() as u64
    }
}

/// Slowness of a worker, as the mean logarithm of what its runs took beyond what was expected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness(f64);

impl Slowness {
    /// Takes a run into account.
    pub fn note(&mut self, expected_ms: u64, took_ms: u64) {
        let off = (took_ms.max(1) as f64 / expected_ms.max(1) as f64).ln().clamp(-1.0, 1.0);
        self.0 += (off - self.0) * SPEED_GAIN;
    }

    /// Returns whether urgent work should go elsewhere.
    pub fn is_slow(&self) -> bool {
        self.0.exp() > SLOW_FACTOR
    }
}

impl Planner {
    /// Returns the durations to expect of a submission's steps, in milliseconds.
    pub(crate) fn expected_ms(&self, sub: &Submission) -> Vec<u64> {
        let usual = self.usual.get(&sub.queue).copied().unwrap_or_default();
        sub.steps.iter().map(|step| usual.expect(step.estimate_ms)).collect()
    }

    /// Learns from a first run that was done without saved progress.
    pub(crate) fn learn(&mut self, job: &str, step: u32, life: &str, took_ms: u64) {
        let Some(job) = self.jobs.get(job) else { return };
        let Some(shape) = job.sub.steps.get(step as usize) else { return };
        let expected = job.expected_ms.get(step as usize).copied().unwrap_or(shape.estimate_ms);
        self.usual.entry(job.sub.queue.clone()).or_default().note(shape.estimate_ms, took_ms);
        if let Some(worker) = self.workers.get_mut(life) {
            worker.slowness.note(expected, took_ms);
        }
    }
}
