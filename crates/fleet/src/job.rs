//! Jobs, their steps and schedules.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::bounds::{MAX_OPEN_UNITS, MAX_WALL_MS};
use crate::record::UnknownFields;
use crate::resources::Resources;
use crate::terms::{QueueInForce, Terms};
use crate::unit::{Unit, UnitKey, UnitState};

/// A job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Name that the caller chose.
    pub job: String,
    /// Name that the queue had to which the job was submitted. [`Job::queue`] tells by which queue it is planned.
    pub queue: String,
    /// Client account of the caller; empty on a public queue without a key.
    pub account: String,
    /// Opaque job specification, passed unchanged with every start.
    pub spec: String,
    /// Steps; a step's number is its index.
    pub steps: Vec<Step>,
    /// When and how often the steps run; `None` runs them once, immediately.
    pub schedule: Option<Schedule>,
    /// That queue as of the newest desired state that has it, at the address that the job was submitted to; `None` if an
    /// earlier build has passed it on or accepted it. Calls and records have a field of their own for it.
    #[serde(skip)]
    pub terms: Option<Terms>,
}

/// Times at which a job runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences; 0 counts as 1.
    pub occurrences: u32,
    /// Time of the first occurrence, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// A group of identical subtasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of subtasks.
    pub count: u32,
    /// Resources that each subtask needs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Estimated duration of a subtask, in milliseconds.
    pub estimate_ms: u64,
    /// Numbers of the steps that must be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u32>,
    /// Whether subtasks save progress from which a later run can continue.
    #[serde(rename = "saves")]
    pub saves_progress: bool,
    /// Whether the subtasks must all run at the same time.
    pub gang: bool,
    /// Whether the subtasks run slower when spread over several racks.
    #[serde(rename = "one_rack")]
    pub prefers_one_rack: bool,
    /// Label that a worker must carry.
    pub label: Option<String>,
    /// Rack on which the subtasks run at full speed.
    #[serde(rename = "near")]
    pub preferred_rack: Option<String>,
    /// Maximum number of the step's subtasks on one worker.
    #[serde(rename = "most_per_worker")]
    pub max_per_worker: Option<u32>,
    /// Whether copies of a subtask may run concurrently.
    pub speculative: bool,
    /// Whether the subtasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that the subtasks run; subtasks of the same image behave alike.
    pub image: Option<String>,
    /// Target for the tail latency of a long-running subtask, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether the subtasks use only CPU time that other runs leave idle.
    #[serde(rename = "fills")]
    pub uses_idle_cpu: bool,
    /// Maximum number of subtasks of a long-running step that the system's own actions may make unavailable at a time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns the resources that a subtask reserves on a worker; idle CPU is not reserved.
    pub fn reserved(&self) -> Resources {
        match self.uses_idle_cpu {
            true => Resources { millicores: 0, ..self.resources },
            false => self.resources,
        }
    }
}

/// Final outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every subtask ended with its result.
    Completed,
    /// A subtask or gang exhausted its attempts.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No subtask has started yet.
    Queued,
    /// At least one subtask has started.
    Running,
    /// The job has ended with this outcome.
    Ended(Outcome),
}

/// An accepted job with its progress.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as submitted.
    pub sub: Submission,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Units by occurrence, step and index of their first subtask.
    pub units: BTreeMap<UnitKey, Unit>,
    /// Final outcome; `None` until the job has ended.
    pub outcome: Option<Outcome>,
    /// When it ended, in milliseconds since 1970 on the clock of the leader then.
    pub ended_ms: u64,
    /// When the planner learned of its end, in milliseconds on the monotonic clock.
    pub ended_at: u64,
    /// Whether any subtask has ever started.
    pub started: bool,
    /// Number of the change that must be stored before callers may see the outcome.
    pub ended_in: u64,
    /// Number of the change that must be stored before callers may see the job.
    pub accepted_in: u64,
    /// Whether runs of other jobs were preempted for it.
    pub preempted_others: bool,
    /// Whether its own terms differ from those in the stored record of the submission.
    pub has_newer_terms: bool,
    /// The queue by which it is planned; `None` while its terms are unknown.
    pub in_force: Option<QueueInForce>,
    /// Fields of its stored progress that this build doesn't know.
    pub unknown: UnknownFields,
}

impl Job {
    /// Returns the number of occurrences, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.sub.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns the earliest start of an occurrence in milliseconds since 1970; `None` if it may start immediately.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.sub.schedule?;
        let later_ms = schedule.interval_ms.saturating_mul(u64::from(occurrence));
        Some(schedule.first_ms.saturating_add(later_ms).min(MAX_WALL_MS))
    }

    /// Returns whether a step of an occurrence has units and all of them are done.
    pub fn step_done(&self, occurrence: u32, step: u32) -> bool {
        let mut units = self.units_of(occurrence, step).peekable();
        units.peek().is_some() && units.all(|(_, unit)| unit.state == UnitState::Done)
    }

    /// Returns the units of a step of an occurrence.
    pub fn units_of(&self, occurrence: u32, step: u32) -> impl Iterator<Item = (&UnitKey, &Unit)> {
        let from = UnitKey { occurrence, step, index: 0 };
        let to = UnitKey { occurrence, step, index: u32::MAX };
        self.units.range(from..=to)
    }

    /// Returns whether a unit's occurrence is due and the steps that its step depends on are done.
    pub fn is_ready(&self, key: UnitKey, wall: u64) -> bool {
        let Some(step) = self.sub.steps.get(key.step as usize) else { return false };
        self.due_ms(key.occurrence).is_none_or(|due| wall >= due)
            && step.depends_on.iter().all(|before| self.step_done(key.occurrence, *before))
    }

    /// Creates the missing units of an occurrence.
    pub fn create_units(&mut self, occurrence: u32) {
        for (number, step) in (0..).zip(&self.sub.steps) {
            let unit_count = if step.gang { 1 } else { step.count };
            for index in 0..unit_count {
                self.units.entry(UnitKey { occurrence, step: number, index }).or_default();
            }
        }
    }

    /// Returns the number of units of an occurrence.
    pub fn units_per_occurrence(&self) -> usize {
        self.sub.steps.iter().map(|step| if step.gang { 1 } else { step.count as usize }).sum()
    }

    /// Creates the units of the occurrences that are due, while less than [`MAX_OPEN_UNITS`] are not done; returns whether
    /// there are new ones.
    pub fn create_due(&mut self, wall: u64) -> bool {
        let next = self.units.keys().map(|key| key.occurrence.saturating_add(1)).max().unwrap_or(0);
        let each = self.units_per_occurrence();
        let is_due = |job: &Self, occurrence: u32| job.due_ms(occurrence).is_none_or(|due| due <= wall);
        if each == 0 || next >= self.occurrences() || !is_due(self, next) {
            return false;
        }
        let mut open = self.units.values().filter(|unit| unit.state != UnitState::Done).count();
        let mut created = false;
        for occurrence in next..self.occurrences() {
            if open >= MAX_OPEN_UNITS || !is_due(self, occurrence) {
                break;
            }
            self.create_units(occurrence);
            open += each;
            created = true;
        }
        created
    }

    /// Returns whether a step of the job runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.sub.steps.iter().any(|step| step.long_running)
    }
}
