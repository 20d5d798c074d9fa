//! What a replay measures.

use std::collections::BTreeMap;

use serde::Serialize;
use sorrelland_core::id::JobId;
use sorrelland_core::policy::Millis;
use sorrelland_core::shape::Shape;
use sorrelland_core::table::{Tables, Waiting};
use sorrelland_core::view::View;

/// Size of a gang among those of its scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Size {
    /// Up to 2 accelerators.
    Small,
    /// Up to 8 accelerators.
    Medium,
    /// More.
    Large,
}

impl Size {
    /// Returns the size of a shape.
    pub fn of(shape: &Shape) -> Self {
        match shape.total().accelerators {
            0..=2 => Self::Small,
            3..=8 => Self::Medium,
            _ => Self::Large,
        }
    }
}

/// Times of the jobs of one size.
#[derive(Clone, Debug, Default)]
pub struct Times {
    completion_ms: Vec<Millis>,
    slowdown: Vec<f64>,
    wait_ms: Vec<Millis>,
}

/// Times in seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Jobs that completed.
    pub jobs: usize,
    /// Mean completion time.
    pub mean_s: f64,
    /// Median completion time.
    pub p50_s: f64,
    /// 99th percentile of the completion time.
    pub p99_s: f64,
    /// Mean of completion time over run time.
    pub slowdown: f64,
    /// Longest wait for the first start.
    pub longest_wait_s: f64,
}

impl Times {
    /// Records a completed job.
    pub fn record(&mut self, completion_ms: Millis, run_ms: Millis, wait_ms: Millis) {
        self.completion_ms.push(completion_ms);
        self.slowdown.push(completion_ms as f64 / run_ms.max(1) as f64);
        self.wait_ms.push(wait_ms);
    }

    fn extend(&mut self, other: &Self) {
        self.completion_ms.extend(&other.completion_ms);
        self.slowdown.extend(&other.slowdown);
        self.wait_ms.extend(&other.wait_ms);
    }

    fn summary(&self) -> Summary {
        let mut sorted = self.completion_ms.clone();
        sorted.sort_unstable();
        let count = sorted.len();
        if count == 0 {
            return Summary::default();
        }
        let at = |quantile: f64| seconds(sorted[((count - 1) as f64 * quantile).round() as usize]);
        Summary {
            jobs: count,
            mean_s: round(sorted.iter().sum::<Millis>() as f64 / count as f64 / 1e3),
            p50_s: at(0.5),
            p99_s: at(0.99),
            slowdown: round(self.slowdown.iter().sum::<f64>() / count as f64),
            longest_wait_s: seconds(self.wait_ms.iter().max().copied().unwrap_or_default()),
        }
    }
}

fn seconds(ms: Millis) -> f64 {
    round(ms as f64 / 1e3)
}

fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// Everything that a replay measures on its way.
#[derive(Clone, Debug, Default)]
pub struct Measure {
    times: BTreeMap<Size, Times>,
    largest: Times,
    fragmented_ms: f64,
    stranded: f64,
    total_ms: f64,
    reclaim_ms: Vec<Millis>,
    urgent_wait_ms: Vec<Millis>,
    /// Guarantees that were not given back in time, or could not have been.
    pub breaches: u64,
    /// Gangs that were asked to yield.
    pub preemptions: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Jobs that were refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Jobs that were cancelled before they ran.
    pub cancelled: u64,
}

/// The result of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// All jobs.
    pub all: Summary,
    /// Jobs by size.
    pub sizes: BTreeMap<Size, Summary>,
    /// The jobs with the largest shape of the scenario.
    pub largest: Summary,
    /// Time average of the share of free accelerators that the largest waiting shape cannot use.
    pub fragmentation: f64,
    /// Time average of those accelerators over all accelerators.
    pub stranded: f64,
    /// Guarantees that were not given back in time, or could not have been.
    pub breaches: u64,
    /// Longest time until a reclaimed guarantee was given back.
    pub longest_reclaim_s: f64,
    /// Longest wait of an urgent job.
    pub longest_urgent_wait_s: f64,
    /// Gangs that were asked to yield.
    pub preemptions: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Jobs that were refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Jobs that were cancelled before they ran.
    pub cancelled: u64,
}

impl Measure {
    /// Records a completed job.
    pub fn complete(
        &mut self,
        shape: &Shape,
        largest: bool,
        completion_ms: Millis,
        run_ms: Millis,
        wait_ms: Millis,
    ) {
        self.times.entry(Size::of(shape)).or_default().record(completion_ms, run_ms, wait_ms);
        if largest {
            self.largest.record(completion_ms, run_ms, wait_ms);
        }
    }

    /// Records the time from an account's claim on its guarantee to the start.
    pub fn reclaimed(&mut self, time_ms: Millis) {
        self.reclaim_ms.push(time_ms);
    }

    /// Records the wait of an urgent job.
    pub fn urgent(&mut self, wait_ms: Millis) {
        self.urgent_wait_ms.push(wait_ms);
    }

    /// Adds a span of time in which the tables did not change.
    pub fn span(&mut self, tables: &Tables, span_ms: Millis) {
        let span = span_ms as f64;
        self.total_ms += span;
        let Some(largest) = largest_waiting(&tables.waiting) else { return };
        let view = View::with_free_capacity(tables);
        let free: u32 = view.worker_rows.iter().map(|row| row.free.accelerators).sum();
        let all: u32 = tables.workers.values().map(|worker| worker.capacity.accelerators).sum();
        if free == 0 {
            return;
        }
        let unusable = free - usable(&view, &largest).min(free);
        self.fragmented_ms += span * f64::from(unusable) / f64::from(free);
        self.stranded += span * f64::from(unusable) / f64::from(all.max(1));
    }

    /// Returns the report.
    pub fn report(&self, scenario: &str, policy: &str, seed: u64) -> Report {
        let mut all = Times::default();
        self.times.values().for_each(|times| all.extend(times));
        let longest = |times: &[Millis]| seconds(times.iter().max().copied().unwrap_or_default());
        Report {
            scenario: scenario.to_owned(),
            policy: policy.to_owned(),
            seed,
            all: all.summary(),
            sizes: self.times.iter().map(|(size, times)| (*size, times.summary())).collect(),
            largest: self.largest.summary(),
            fragmentation: round(self.fragmented_ms / self.total_ms.max(1.0)),
            stranded: round(self.stranded / self.total_ms.max(1.0)),
            breaches: self.breaches,
            longest_reclaim_s: longest(&self.reclaim_ms),
            longest_urgent_wait_s: longest(&self.urgent_wait_ms),
            preemptions: self.preemptions,
            failures: self.failures,
            refused: self.refused.clone(),
            cancelled: self.cancelled,
        }
    }
}

fn largest_waiting(waiting: &BTreeMap<JobId, Waiting>) -> Option<Shape> {
    let shapes = waiting.values().map(|w| w.demand.shape).filter(|shape| shape.accelerators > 0);
    shapes.max_by_key(|shape| (shape.total().accelerators, std::cmp::Reverse(shape.span)))
}

/// Returns how many free accelerators whole gangs of `shape` could take.
fn usable(view: &View, shape: &Shape) -> u32 {
    let each = shape.per_task();
    let groups = view.groups(shape.span).iter().map(|group| {
        let tasks: u32 = view.worker_rows[group.clone()].iter().map(|row| row.free.tasks(each)).sum();
        tasks / shape.tasks.max(1)
    });
    groups.sum::<u32>() * shape.total().accelerators
}
