//! What a planner has learned, in a record of the store, so that the next planner doesn't have to learn it anew.
//!
//! The record travels with other changes and is small: it leaves out what the first reports of the agents tell.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sorrelland_forecast::Speed;

use crate::planner::Planner;
use crate::record::Record;
use crate::value::{MeanWork, PreemptionOutcomes};

/// Key of the record.
const KEY: &str = "learned";

/// Minimum time between two records, in milliseconds.
const INTERVAL_MS: u64 = 5_000;

/// Age from which a record is ignored, in milliseconds. The work and the workers may have changed.
const MAX_AGE_MS: u64 = 600_000;

/// Range of credible speeds, in thousandths of the fleet's mean.
const SPEEDS_MILLI: std::ops::RangeInclusive<u64> = 100..=10_000;

/// Maximum number of steps that a speed is taken to follow from.
const MAX_STEPS: u32 = 1_000;

/// Largest credible number of accelerators that a job needs at the same time.
const MAX_ACCELERATORS: i64 = 1_000_000;

/// Largest credible number of a queue's jobs that preempted others.
const MAX_PREEMPTIONS: u32 = 1_000_000_000;

/// Largest credible ratio of work to estimate, as a natural logarithm.
const MAX_LOG_RATIO: f64 = 7.0;

/// What a planner has learned. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// When it was made, since 1970.
    made_at: u64,
    /// Speed of each worker in thousandths of the fleet's mean, and the number of steps that it follows from.
    speeds: Vec<(String, u64, u32)>,
    /// Ratios of work to estimate of the newest steps of each queue, as natural logarithms, oldest first.
    ratios: BTreeMap<String, Vec<f64>>,
    /// Recent urgent jobs of each service: age and accelerators.
    arrivals: BTreeMap<String, Vec<(u64, i64)>>,
    /// Mean work of each queue's jobs, in core-seconds.
    mean_work: BTreeMap<String, f64>,
    /// Jobs of each queue that preempted others, and how many of them were in time.
    preemptions: BTreeMap<String, (u32, u32)>,
}

impl Digest {
    /// Reads the newest digest from the stored records, and what is wrong with it. Entries that can't be true are left
    /// out.
    pub fn read<'a>(
        mut records: impl Iterator<Item = (&'a str, &'a [u8])>,
        wall: u64,
    ) -> (Option<Self>, Option<String>) {
        let Some((_, value)) = records.find(|(key, _)| *key == KEY) else { return (None, None) };
        let mut digest: Self = match serde_json::from_slice(value) {
            Ok(digest) => digest,
            Err(e) => return (None, Some(format!("{KEY}: {e}"))),
        };
        if wall > digest.made_at.saturating_add(MAX_AGE_MS) {
            return (None, None);
        }
        let before = digest.entries();
        digest.speeds.retain(|(_, milli, steps)| SPEEDS_MILLI.contains(milli) && *steps <= MAX_STEPS);
        // JSON has no infinite numbers, but a comparison also excludes what another decoder might let through.
        digest.ratios.values_mut().for_each(|logs| logs.retain(|log| log.abs() <= MAX_LOG_RATIO));
        digest
            .arrivals
            .values_mut()
            .for_each(|jobs| jobs.retain(|(_, accelerators)| (0..=MAX_ACCELERATORS).contains(accelerators)));
        digest.mean_work.retain(|_, core_s| core_s.is_finite() && *core_s > 0.0);
        digest.preemptions.retain(|_, (total, in_time)| in_time <= total && *total <= MAX_PREEMPTIONS);
        let dropped = before - digest.entries();
        let finding = (dropped > 0).then(|| format!("{KEY}: {dropped} entries can't be true"));
        (Some(digest), finding)
    }

    fn entries(&self) -> usize {
        let ratios: usize = self.ratios.values().map(Vec::len).sum();
        let arrivals: usize = self.arrivals.values().map(Vec::len).sum();
        self.speeds.len() + ratios + arrivals + self.mean_work.len() + self.preemptions.len()
    }
}

impl Planner {
    /// Returns what this planner has learned.
    pub fn digest(&self, now: u64, wall: u64) -> Digest {
        let thousandths = |log: f64| (log * 1_000.0).round() / 1_000.0;
        let speeds = self.forecasts.speeds().iter();
        let ratios = self.forecasts.step_ratios().into_iter();
        Digest {
            made_at: wall,
            speeds: speeds.map(|(worker, speed)| (worker.clone(), speed.milli, speed.steps)).collect(),
            ratios: ratios
                .map(|(queue, logs)| (queue.to_owned(), logs.into_iter().map(thousandths).collect()))
                .collect(),
            arrivals: self
                .urgent_arrivals
                .iter()
                .map(|(name, jobs)| (name.clone(), jobs.ages(now)))
                .collect(),
            mean_work: self
                .mean_work
                .iter()
                .map(|(name, mean)| (name.clone(), mean.core_s().round()))
                .collect(),
            preemptions: self
                .preemption_outcomes
                .iter()
                .map(|(name, of)| (name.clone(), of.counts()))
                .collect(),
        }
    }

    /// Makes a record of what this planner has learned if one is due; the next changes carry it.
    pub(crate) fn update_digest(&mut self, now: u64, wall: u64) {
        if self.digest_at.is_some_and(|at| now < at + INTERVAL_MS) {
            return;
        }
        // A new planner first hears the reports.
        let is_first = self.digest_at.replace(now).is_none();
        let digest = self.digest(now, wall);
        if is_first || digest.entries() == 0 {
            return;
        }
        match serde_json::to_vec(&digest) {
            Ok(value) => self.digest_record = Some(Record { key: KEY.to_owned(), value }),
            Err(e) => self.log_line(format!("event=record_failed cause=\"{e}\"")),
        }
    }

    /// Takes over what an earlier planner had learned.
    pub fn restore(&mut self, now: u64, wall: u64, digest: Digest) {
        let Digest { made_at, speeds, ratios, arrivals, mean_work, preemptions } = digest;
        let elapsed_ms = wall.saturating_sub(made_at);
        self.log_line(format!(
            "event=learned_restored age_ms={elapsed_ms} speeds={} queues={} services={}",
            speeds.len(),
            ratios.len(),
            arrivals.len()
        ));
        let speed = |(worker, milli, steps)| (worker, Speed { milli, steps });
        self.forecasts.inherit(speeds.into_iter().map(speed).collect(), ratios);
        for (service, jobs) in arrivals {
            let known = self.urgent_arrivals.entry(service).or_default();
            for (age_ms, accelerators) in jobs {
                known.record(now.saturating_sub(age_ms.saturating_add(elapsed_ms)), accelerators);
            }
        }
        let mean = |(queue, core_s)| (queue, MeanWork::with_core_s(core_s));
        self.mean_work.extend(mean_work.into_iter().map(mean));
        let outcomes = |(queue, (total, in_time))| (queue, PreemptionOutcomes::new(total, in_time));
        self.preemption_outcomes.extend(preemptions.into_iter().map(outcomes));
    }
}
