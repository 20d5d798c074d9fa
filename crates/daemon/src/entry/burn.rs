//! Service-level burn: how fast each account uses up its error budgets.

use std::collections::{BTreeMap, VecDeque};

use sorrelland_core::id::AccountId;

/// Length of one bucket of counts, in milliseconds.
const BUCKET_MS: u64 = 60_000;

/// What is promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Objective {
    /// Short requests are answered whole within their deadline.
    Answers,
    /// Jobs start within the bound of their class.
    Starts,
}

impl Objective {
    /// Returns the name of the objective.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answers => "answers",
            Self::Starts => "starts",
        }
    }

    /// Returns the share that has to be good.
    pub fn target(self) -> f64 {
        match self {
            Self::Answers => 0.999,
            Self::Starts => 0.95,
        }
    }
}

/// Span over which a budget is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Window {
    /// Five minutes: tells a burn that has just begun.
    Short,
    /// Six hours: tells a burn that goes on.
    Long,
}

impl Window {
    /// Returns the name of the window.
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

/// How one event counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// As promised.
    Good,
    /// Refused: it did not run.
    Refused,
    /// Done, but later than promised.
    Late,
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
}

/// Counts of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// As promised.
    pub good: u64,
    /// Refused.
    pub refused: u64,
    /// Later than promised.
    pub late: u64,
    /// May have run.
    pub unknown: u64,
    /// Ran and failed.
    pub failed: u64,
}

impl Counts {
    /// Returns all events.
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

    fn count(&mut self, event: Event) {
        match event {
            Event::Good => self.good += 1,
            Event::Refused => self.refused += 1,
            Event::Late => self.late += 1,
            Event::Unknown => self.unknown += 1,
            Event::Failed => self.failed += 1,
        }
    }
}

/// One line of the report.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Account.
    pub account: AccountId,
    /// What is promised.
    pub objective: Objective,
    /// Span of the counts.
    pub window: Window,
    /// The counts.
    pub counts: Counts,
}

impl Line {
    /// Returns how many times faster than allowed the error budget is used up.
    pub fn burn(&self) -> f64 {
        let total = self.counts.total();
        if total == 0 {
            return 0.0;
        }
        let bad = (total - self.counts.good) as f64 / total as f64;
        bad / (1.0 - self.objective.target())
    }
}

/// Counts of each account and objective by minute.
#[derive(Clone, Debug, Default)]
pub struct Burn {
    buckets: BTreeMap<(AccountId, Objective), VecDeque<(u64, Counts)>>,
}

impl Burn {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an event.
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
            counts.count(event);
        }
    }

    /// Returns a line for each account, objective and window.
    pub fn report(&self, now_ms: u64) -> Vec<Line> {
        let newest = now_ms / BUCKET_MS;
        let mut lines = Vec::new();
        for ((account, objective), buckets) in &self.buckets {
            for window in [Window::Short, Window::Long] {
                let mut counts = Counts::default();
                for (bucket, found) in buckets {
                    if *bucket + window.buckets() > newest {
                        counts.add(found);
                    }
                }
                let (account, objective) = (account.clone(), *objective);
                lines.push(Line { account, objective, window, counts });
            }
        }
        lines
    }
}
