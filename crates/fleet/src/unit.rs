//! Units of placement: a whole gang, or a single subtask.

use serde::{Deserialize, Serialize};

use crate::crash::Crash;
use crate::record::UnknownFields;
use crate::run_progress::RunProgress;
use crate::task::Task;
use crate::wait::Waits;

/// Identifies a unit within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnitKey {
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Step of the job, counted from 0.
    pub step: u32,
    /// Index of the unit's first subtask.
    pub index: u32,
}

impl UnitKey {
    /// Returns the subtask at `offset` within the unit.
    pub fn task(&self, job: &str, offset: usize) -> Task {
        let index = self.index + offset as u32;
        Task { job: job.to_owned(), occurrence: self.occurrence, step: self.step, index }
    }
}

/// Lifecycle state of a unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnitState {
    /// Waits for resources, its due time, or the steps it depends on.
    #[default]
    Waiting,
    /// Placed; every member should run.
    Placed,
    /// Its run is being ended; the unit waits again once the last member is released.
    Ending,
    /// Ended with its result.
    Done,
}

/// A member of a placed unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Worker incarnation that the member was placed on.
    pub worker: String,
    /// Agent that manages the worker.
    pub agent: String,
    /// Whether the run certainly no longer occupies resources on the worker.
    #[serde(rename = "gone")]
    pub released: bool,
    /// Whether the worker has ever reported the run as running.
    #[serde(skip)]
    pub seen: bool,
    /// Last reported progress of the run, in percent.
    #[serde(skip)]
    pub percent: u64,
}

/// What the number of a unit's failed runs covers. Builds that count each failed member leave it as it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountedFailures {
    /// Number of the newest run that counts as failed; 0 for none.
    pub run: u64,
    /// Length of the unit's `failed_on`.
    pub members: usize,
}

impl CountedFailures {
    fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// A gang, or a subtask that does not belong to a gang.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    #[serde(rename = "at")]
    pub state: UnitState,
    /// Number of the newest run; 0 before the first.
    pub run: u64,
    /// Members of the newest run by offset; unreleased members occupy resources.
    pub members: Vec<Member>,
    /// Number of runs that failed through their own fault or the worker's, however many members failed in each.
    #[serde(rename = "fails")]
    pub failures: u32,
    /// What `failures` covers.
    #[serde(default, skip_serializing_if = "CountedFailures::is_none")]
    pub counted_failures: CountedFailures,
    /// Newest saved progress; empty if there is none.
    pub saved: String,
    /// Worker incarnations on which it failed, newest last.
    pub failed_on: Vec<String>,
    /// Crashes of workers that its runs may have caused.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Runs lost with their worker since the first crash that don't count as crashes: the worker was leaving, or its loss
    /// was known only by the end of its lease.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub uncounted_losses: u32,
    /// When a crash was last counted, on the monotonic clock; 0 if an earlier planner did.
    #[serde(skip)]
    pub crashed_at: u64,
    /// When `state` last changed, on the monotonic clock; 0 until the unit is ready to be placed.
    #[serde(skip)]
    pub since: u64,
    /// Number of the change that placed the newest run.
    #[serde(skip)]
    pub placed_in: u64,
    /// When the newest run was placed, on the monotonic clock; `None` if an earlier planner placed it and its agent has not
    /// told its age.
    #[serde(skip)]
    pub placed_at: Option<u64>,
    /// Work of the run that ended with a result, as its duration in milliseconds on a worker of the fleet's mean speed; 0
    /// if it was not measured.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    pub measured_work_ms: u64,
    /// Waiting times since the unit became ready.
    #[serde(skip)]
    pub waits: Waits,
    /// Measured progress of the newest run; a new planner relearns it from the reports.
    #[serde(skip)]
    pub progress: RunProgress,
    /// Stored fields that this build doesn't know.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl Unit {
    /// Returns whether no member occupies resources.
    pub fn all_released(&self) -> bool {
        self.members.iter().all(|member| member.released)
    }

    /// Records that a member of the newest run has failed on a worker.
    pub(crate) fn record_failure(&mut self, worker: &str) {
        if self.counted_failures.run != self.run {
            self.failures += 1;
        }
        self.failed_on.push(worker.to_owned());
        self.counted_failures = CountedFailures { run: self.run, members: self.failed_on.len() };
    }

    /// Corrects the failures of a stored unit, to which a build may have added that counts each failed member.
    pub(crate) fn count_failures_by_run(&mut self) {
        self.failures = self.failures.min(u32::try_from(self.run).unwrap_or(u32::MAX));
        if self.state != UnitState::Ending {
            return;
        }
        let added = self.failed_on.get(self.counted_failures.members..).unwrap_or_default();
        if self.members.iter().any(|member| member.released && added.contains(&member.worker)) {
            self.counted_failures = CountedFailures { run: self.run, members: self.failed_on.len() };
        }
    }
}

fn is_zero_ms(ms: &u64) -> bool {
    *ms == 0
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}
