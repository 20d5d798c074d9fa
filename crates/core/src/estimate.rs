//! Run-time estimates corrected from each account's history.

use crate::policy::Millis;

/// Declared and actual run times of an account's finished jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimator {
    log_ratio: f64,
    log_actual: f64,
    samples: u32,
}

/// Weight of the newest sample once the history is filled.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// Samples before the history is trusted over the declaration.
const HALF_TRUST_SAMPLES: f64 = 8.0;

impl Estimator {
    /// Creates an estimator without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a finished job.
    pub fn record(&mut self, declared_ms: Millis, actual_ms: Millis) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let actual = (actual_ms.max(1) as f64).ln();
        let ratio = actual - (declared_ms.max(1) as f64).ln();
        self.log_ratio += weight * (ratio - self.log_ratio);
        self.log_actual += weight * (actual - self.log_actual);
    }

    /// Returns the estimated run time of a job declared at `declared_ms`.
    ///
    /// The declaration is scaled by the account's mean ratio and drawn half way to its mean run time,
    /// because a single declaration may be off by a factor of ten in either direction.
    pub fn estimate_ms(&self, declared_ms: Millis) -> Millis {
        let declared = (declared_ms.max(1) as f64).ln();
        let trust = f64::from(self.samples) / (f64::from(self.samples) + HALF_TRUST_SAMPLES);
        let corrected = declared + self.log_ratio;
        let blended = 0.7 * corrected + 0.3 * self.log_actual;
        ((1.0 - trust) * declared + trust * blended).exp().max(1.0) as Millis
    }
}
