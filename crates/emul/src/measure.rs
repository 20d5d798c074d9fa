//! What callers got.

use crate::load::Load;

/// Outcomes of one kind of job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Jobs that callers handed in and did not cancel.
    pub owed: u32,
    /// Jobs that ended in time.
    pub in_time: u32,
    /// Jobs that ended late.
    pub late: u32,
    /// Jobs that were refused to the end.
    pub refused: u32,
    /// Worth that was earned and owed.
    pub worth: (f64, f64),
}

/// Outcomes of a run.
#[derive(Clone, Debug, Default)]
pub struct Measure {
    /// Tallies in the order of the load's kinds.
    pub kinds: Vec<Tally>,
    /// Core-seconds of runs that ended without being done or saved; an accelerator counts as several cores.
    pub wasted_core_s: f64,
}

impl Measure {
    /// Creates a measure for a load.
    pub fn new(load: &Load) -> Self {
        Self { kinds: vec![Tally::default(); load.kinds.len()], ..Self::default() }
    }

    /// Returns the share of the worth owed that was earned.
    pub fn served(&self) -> f64 {
        let (earned, owed) =
            self.kinds.iter().fold((0.0, 0.0), |sum, kind| (sum.0 + kind.worth.0, sum.1 + kind.worth.1));
        if owed > 0.0 { earned / owed } else { 1.0 }
    }
}

/// Returns a table of the outcomes.
pub fn table(load: &Load, measures: &[Measure]) -> String {
    let mut text =
        format!("{:<10}{:>8}{:>9}{:>7}{:>9}{:>8}\n", "kind", "owed", "in time", "late", "refused", "served");
    for (at, kind) in load.kinds.iter().enumerate() {
        let sum =
            measures.iter().map(|measure| measure.kinds[at]).fold(Tally::default(), |sum, kind| Tally {
                owed: sum.owed + kind.owed,
                in_time: sum.in_time + kind.in_time,
                late: sum.late + kind.late,
                refused: sum.refused + kind.refused,
                worth: (sum.worth.0 + kind.worth.0, sum.worth.1 + kind.worth.1),
            });
        let served = sum.worth.0 / sum.worth.1.max(1e-9);
        text += &format!(
            "{:<10}{:>8}{:>9}{:>7}{:>9}{served:>8.3}\n",
            kind.name, sum.owed, sum.in_time, sum.late, sum.refused
        );
    }
    let mean = measures.iter().map(Measure::served).sum::<f64>() / measures.len().max(1) as f64;
    text + &format!("mean share of worth served: {mean:.3} over {} seeds\n", measures.len())
}
