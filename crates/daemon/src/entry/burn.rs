//! Burn rates: how fast each account uses up the error budgets of its service-level objectives.

use std::collections::{BTreeMap, VecDeque};

use sorrelland_core::id::AccountId;

/// Length of one bucket of counts, in milliseconds.
const BUCKET_MS: u64 = 60_000;

/// A service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Objective {
    /// Short requests are answered completely within their deadline.
    Answers,
    /// Jobs start within the time limit of their class.
    Starts,
}

impl Objective {
    pub fn name(self) -> &'static str {
        match self {
            Self::Answers => "answers",
            Self::Starts => "starts",
        }
    }

    /// Returns the share of events that must be good.
    pub fn target(self) -> f64 {
        match self {
            Self::Answers => 0.999,
            Self::Starts => 0.95,
        }
    }
}

/// Time window over which events are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Window {
    /// Five minutes: shows a burn that has just begun.
    Short,
    /// Six hours: shows a sustained burn.
    Long,
}

impl Window {
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "5m",
            Self::Long => "6h",
        }
    }

    fn buckets(self) -> u64 {
        match self {
            Self::Short => 5,
            Self::Long => 360,
        }
    }
}

/// Outcome of a request or job start, as counted for an objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It met the objective.
    Good,
    /// It was refused and did not run.
    Refused,
    /// It completed, but later than the objective allows.
    Late,
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
}

/// Counts of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Events that met the objective.
    pub good: u64,
    /// Events refused without running.
    pub refused: u64,
    /// Events that completed too late.
    pub late: u64,
    /// Events that may have run.
    pub unknown: u64,
    /// Events that ran and failed.
    pub failed: u64,
}

impl Counts {
    pub fn total(&self) -> u64 {
        self.good + self.refused + self.late + self.unknown + self.failed
    }

    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.refused += other.refused;
        self.late += other.late;
        self.unknown += other.unknown;
        self.failed += other.failed;
    }

    fn increment(&mut self, event: Event) {
        match event {
            Event::Good => self.good += 1,
            Event::Refused => self.refused += 1,
            Event::Late => self.late += 1,
            Event::Unknown => self.unknown += 1,
            Event::Failed => self.failed += 1,
        }
    }
}

/// Counts of one account, objective and window.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnLine {
    pub account: AccountId,
    pub objective: Objective,
    pub window: Window,
    pub counts: Counts,
}

impl BurnLine {
    /// Returns the share of bad events as a multiple of the share that the objective allows.
    pub fn burn_rate(&self) -> f64 {
        let total = self.counts.total();
        if total == 0 {
            return 0.0;
        }
        let bad = (total - self.counts.good) as f64 / total as f64;
        bad / (1.0 - self.objective.target())
    }
}

/// Counts of each account and objective in buckets of one minute, for the length of the long window.
#[derive(Clone, Debug, Default)]
pub struct BurnCounts {
    buckets: BTreeMap<(AccountId, Objective), VecDeque<(u64, Counts)>>,
}

impl BurnCounts {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn record(&mut self, account: &AccountId, objective: Objective, event: Event, now_ms: u64) {
        let bucket = now_ms / BUCKET_MS;
        let buckets = self.buckets.entry((account.clone(), objective)).or_default();
        if buckets.back().is_none_or(|(newest, _)| *newest < bucket) {
            buckets.push_back((bucket, Counts::default()));
        }
        while buckets.len() as u64 > Window::Long.buckets() {
            buckets.pop_front();
        }
        if let Some((_, counts)) = buckets.back_mut() {
            counts.increment(event);
        }
    }

    /// Returns a line for each account, objective and window.
    pub fn report(&self, now_ms: u64) -> Vec<BurnLine> {
        let newest = now_ms / BUCKET_MS;
        let mut lines = Vec::new();
        for ((account, objective), buckets) in &self.buckets {
            for window in [Window::Short, Window::Long] {
                let mut counts = Counts::default();
                for (bucket, bucket_counts) in buckets {
                    if *bucket + window.buckets() > newest {
                        counts.add(bucket_counts);
                    }
                }
                let (account, objective) = (account.clone(), *objective);
                lines.push(BurnLine { account, objective, window, counts });
            }
        }
        lines
    }
}
