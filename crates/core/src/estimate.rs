//! Run-time estimates, corrected by each account's history.

use crate::policy::Millis;

/// Moving averages of the declared and actual run times of an account's finished jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimator {
    log_ratio: f64,
    log_actual: f64,
    samples: u32,
}

/// Weight of the newest sample in the moving averages; the first samples weigh more.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// Number of samples at which the history and the declaration weigh the same.
const HALF_TRUST_SAMPLES: f64 = 8.0;

impl Estimator {
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finished job to the history.
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
    /// The declaration is scaled by the account's mean ratio and blended with its mean run time, because a
    /// single declaration may be off by a factor of ten in either direction.
    pub fn estimate_ms(&self, declared_ms: Millis) -> Millis {
        let declared = (declared_ms.max(1) as f64).ln();
        let trust = f64::from(self.samples) / (f64::from(self.samples) + HALF_TRUST_SAMPLES);
        let corrected = declared + self.log_ratio;
        let blended = 0.7 * corrected + 0.3 * self.log_actual;
        ((1.0 - trust) * declared + trust * blended).exp().max(1.0) as Millis
    }
}
