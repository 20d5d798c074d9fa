//! Measures the service that callers get.

use crate::load::Load;

/// Outcomes of one kind of job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Jobs that callers submitted and did not cancel; the column `owed`.
    pub uncancelled: u32,
    /// Jobs that ended within their target.
    pub in_time: u32,
    /// Jobs that ended after their target, but within three times the target.
    pub late: u32,
    /// Jobs that were refused until the caller gave up.
    pub refused: u32,
    /// Longest time from the acceptance of a job to its first start, or to the end of the run if nothing of it started,
    /// in milliseconds.
    pub longest_wait_ms: u64,
    /// Value achieved, and value possible if every job ended in time.
    pub value: (f64, f64),
}

/// Outcomes of all jobs of a run.
#[derive(Clone, Debug, Default)]
pub struct Measure {
    /// Outcomes by kind, in the order of the load.
    pub kinds: Vec<Totals>,
    /// Core-seconds of runs that ended neither done nor with saved progress; an accelerator counts as several cores.
    pub wasted_core_s: f64,
}

impl Measure {
    pub fn new(load: &Load) -> Self {
        Self { kinds: vec![Totals::default(); load.kinds.len()], ..Self::default() }
    }

    /// Returns the achieved share of the possible value.
    pub fn served_share(&self) -> f64 {
        let (achieved, possible) =
            self.kinds.iter().fold((0.0, 0.0), |sum, kind| (sum.0 + kind.value.0, sum.1 + kind.value.1));
        if possible > 0.0 { achieved / possible } else { 1.0 }
    }
}

/// Returns a table of the outcomes of several runs of a load.
pub fn table(load: &Load, measures: &[Measure]) -> String {
    let mut text = format!(
        "{:<10}{:>8}{:>9}{:>7}{:>9}{:>8}{:>14}\n",
        "kind", "owed", "in time", "late", "refused", "served", "longest wait"
    );
    for (i, kind) in load.kinds.iter().enumerate() {
        let sum =
            measures.iter().map(|measure| measure.kinds[i]).fold(Totals::default(), |sum, kind| Totals {
                uncancelled: sum.uncancelled + kind.uncancelled,
                in_time: sum.in_time + kind.in_time,
                late: sum.late + kind.late,
                refused: sum.refused + kind.refused,
                longest_wait_ms: sum.longest_wait_ms.max(kind.longest_wait_ms),
                value: (sum.value.0 + kind.value.0, sum.value.1 + kind.value.1),
            });
        let served = sum.value.0 / sum.value.1.max(1e-9);
        text += &format!(
            "{:<10}{:>8}{:>9}{:>7}{:>9}{served:>8.3}{:>12.1} s\n",
            kind.name,
            sum.uncancelled,
            sum.in_time,
            sum.late,
            sum.refused,
            sum.longest_wait_ms as f64 / 1_000.0
        );
    }
    let mean = measures.iter().map(Measure::served_share).sum::<f64>() / measures.len().max(1) as f64;
    text + &format!("mean share of value served: {mean:.3} over {} seeds\n", measures.len())
}
