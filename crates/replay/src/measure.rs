//! Measurements of a replay and the report made from them.

use std::collections::BTreeMap;

use serde::Serialize;
use sorrelland_core::id::JobId;
use sorrelland_core::policy::Millis;
use sorrelland_core::shape::Shape;
use sorrelland_core::table::{Tables, Waiting};
use sorrelland_core::view::View;

/// Size class of a gang, by its total number of accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum GangSize {
    /// At most 2 accelerators.
    Small,
    /// 3 to 8 accelerators.
    Medium,
    /// More than 8 accelerators.
    Large,
}

impl GangSize {
    pub fn of(shape: &Shape) -> Self {
        match shape.total().accelerators {
            0..=2 => Self::Small,
            3..=8 => Self::Medium,
            _ => Self::Large,
        }
    }
}

/// Times of the completed jobs in a group.
#[derive(Clone, Debug, Default)]
pub struct JobTimes {
    completion_ms: Vec<Millis>,
    slowdown: Vec<f64>,
    wait_ms: Vec<Millis>,
}

/// Summary of the times of a group of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of completed jobs.
    pub jobs: usize,
    /// Mean time from arrival to completion.
    pub mean_s: f64,
    /// Median time from arrival to completion.
    pub p50_s: f64,
    /// 99th percentile of the time from arrival to completion.
    pub p99_s: f64,
    /// Mean ratio of completion time to run time.
    pub slowdown: f64,
    /// Longest time from arrival to the first start.
    pub longest_wait_s: f64,
}

impl JobTimes {
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
        let value_at =
            |quantile: f64| ms_to_seconds(sorted[((count - 1) as f64 * quantile).round() as usize]);
        Summary {
            jobs: count,
            mean_s: round_to_thousandths(sorted.iter().sum::<Millis>() as f64 / count as f64 / 1e3),
            p50_s: value_at(0.5),
            p99_s: value_at(0.99),
            slowdown: round_to_thousandths(self.slowdown.iter().sum::<f64>() / count as f64),
            longest_wait_s: ms_to_seconds(self.wait_ms.iter().max().copied().unwrap_or_default()),
        }
    }
}

fn ms_to_seconds(ms: Millis) -> f64 {
    round_to_thousandths(ms as f64 / 1e3)
}

fn round_to_thousandths(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// Values recorded during a replay.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    times: BTreeMap<GangSize, JobTimes>,
    largest: JobTimes,
    fragmented_ms: f64,
    stranded_ms: f64,
    total_ms: f64,
    reclaim_ms: Vec<Millis>,
    urgent_wait_ms: Vec<Millis>,
    /// Breaches of guarantees: one per pass and worker on which other work pins the resources, and one per job
    /// whose guarantee was not returned in time.
    pub breaches: u64,
    /// Running gangs that were asked to yield their resources.
    pub preemptions: u64,
    /// Failed attempts.
    pub failures: u64,
    /// Number of refused jobs by reason.
    pub refused: BTreeMap<String, u64>,
    /// Jobs cancelled while they waited.
    pub cancelled: u64,
}

/// Result of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    pub scenario: String,
    pub policy: String,
    pub seed: u64,
    /// All completed jobs.
    pub all: Summary,
    /// Completed jobs by size class.
    pub sizes: BTreeMap<GangSize, Summary>,
    /// Completed jobs with as many accelerators as the largest job of the scenario.
    pub largest: Summary,
    /// Time average of the fraction of free accelerators that gangs of the largest waiting shape cannot use.
    pub fragmentation: f64,
    /// Time average of the same accelerators as a fraction of all accelerators.
    pub stranded: f64,
    /// Breaches of guarantees: one per pass and worker on which other work pins the resources, and one per job
    /// whose guarantee was not returned in time.
    pub breaches: u64,
    /// Longest time from when a waiting job fits its account's unused guarantee to its start, in seconds.
    pub longest_reclaim_s: f64,
    /// Longest time from arrival to the first start of an urgent job, in seconds.
    pub longest_urgent_wait_s: f64,
    /// Running gangs that were asked to yield their resources.
    pub preemptions: u64,
    /// Failed attempts.
    pub failures: u64,
    /// Number of refused jobs by reason.
    pub refused: BTreeMap<String, u64>,
    /// Jobs cancelled while they waited.
    pub cancelled: u64,
}

impl Measurements {
    /// Records a completed job; `largest` is whether its accelerators equal those of the largest job.
    pub fn record_completion(
        &mut self,
        shape: &Shape,
        largest: bool,
        completion_ms: Millis,
        run_ms: Millis,
        wait_ms: Millis,
    ) {
        self.times.entry(GangSize::of(shape)).or_default().record(completion_ms, run_ms, wait_ms);
        if largest {
            self.largest.record(completion_ms, run_ms, wait_ms);
        }
    }

    /// Records the time from when a waiting job fits its account's unused guarantee to its start.
    pub fn record_reclaim(&mut self, time_ms: Millis) {
        self.reclaim_ms.push(time_ms);
    }

    /// Records the time from arrival to the first start of an urgent job.
    pub fn record_urgent_wait(&mut self, wait_ms: Millis) {
        self.urgent_wait_ms.push(wait_ms);
    }

    /// Adds an interval in which the tables did not change to the time averages.
    pub fn record_interval(&mut self, tables: &Tables, interval_ms: Millis) {
        let interval = interval_ms as f64;
        self.total_ms += interval;
        let Some(largest) = largest_waiting(&tables.waiting) else { return };
        let view = View::with_free_capacity(tables);
        let free: u32 = view.worker_rows.iter().map(|row| row.free.accelerators).sum();
        let all: u32 = tables.workers.values().map(|worker| worker.capacity.accelerators).sum();
        if free == 0 {
            return;
        }
        let unusable = free - usable_accelerators(&view, &largest).min(free);
        self.fragmented_ms += interval * f64::from(unusable) / f64::from(free);
        self.stranded_ms += interval * f64::from(unusable) / f64::from(all.max(1));
    }

    pub fn report(&self, scenario: &str, policy: &str, seed: u64) -> Report {
        let mut all = JobTimes::default();
        self.times.values().for_each(|times| all.extend(times));
        let longest = |times: &[Millis]| ms_to_seconds(times.iter().max().copied().unwrap_or_default());
        Report {
            scenario: scenario.to_owned(),
            policy: policy.to_owned(),
            seed,
            all: all.summary(),
            sizes: self.times.iter().map(|(size, times)| (*size, times.summary())).collect(),
            largest: self.largest.summary(),
            fragmentation: round_to_thousandths(self.fragmented_ms / self.total_ms.max(1.0)),
            stranded: round_to_thousandths(self.stranded_ms / self.total_ms.max(1.0)),
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

/// Returns the number of free accelerators that complete gangs of `shape` can use.
fn usable_accelerators(view: &View, shape: &Shape) -> u32 {
    let task_amount = shape.per_task();
    let groups = view.groups(shape.span).iter().map(|group| {
        let tasks: u32 = view.worker_rows[group.clone()].iter().map(|row| row.free.tasks(task_amount)).sum();
        tasks / shape.tasks.max(1)
    });
    groups.sum::<u32>() * shape.total().accelerators
}
