//! Jobs and their steps.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::room::Room;
use crate::unit::{Unit, UnitKey, Where};

/// What a caller hands in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Name that the caller chose.
    pub job: String,
    /// Queue that the job was sent to.
    pub queue: String,
    /// Client account of the caller; empty on a public queue without a key.
    pub account: String,
    /// Text that every start of the job carries unchanged.
    pub spec: String,
    /// Steps in the order of their numbers.
    pub steps: Vec<Step>,
    /// When and how often the steps run; `None` runs them once, now.
    pub schedule: Option<Schedule>,
}

/// Occurrences of a job on time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub occurrences: u32,
    /// Time of the first, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between two, in milliseconds.
    pub interval_ms: u64,
}

/// Subtasks of one shape.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of subtasks.
    pub count: u32,
    /// Room that each needs.
    pub room: Room,
    /// Rough duration of a subtask, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that have to be done before.
    pub after: Vec<u32>,
    /// Whether subtasks save their progress.
    pub saves: bool,
    /// Whether the subtasks work only all together.
    pub gang: bool,
    /// Whether the subtasks are slowed down when they are spread over racks.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Rack on which the subtasks run at full speed.
    pub near: Option<String>,
    /// Subtasks of the step on one worker at most.
    pub most_per_worker: Option<u32>,
    /// Whether copies may run side by side.
    pub speculative: bool,
    /// Whether the subtasks run until the job is cancelled.
    pub lasting: bool,
    /// What the subtasks run; the same image behaves alike.
    pub image: Option<String>,
    /// Bound of the tail latency that a lasting subtask should keep, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether the subtasks live on processor that others leave unused.
    pub fills: bool,
    /// Subtasks of a lasting step that may be away at a time by the system's own actions.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns the room that a subtask takes from a worker's capacity.
    pub fn counted(&self) -> Room {
        match self.fills {
            true => Room { millicores: 0, ..self.room },
            false => self.room,
        }
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every subtask has ended as done.
    Completed,
    /// A subtask or gang has used up its attempts.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// What a caller is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Nothing has started yet.
    Queued,
    /// Something has started.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// An accepted job with its progress.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was handed in.
    pub sub: Submission,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Units by occurrence, step and first index.
    pub units: BTreeMap<UnitKey, Unit>,
    /// How the job ended.
    pub outcome: Option<Outcome>,
    /// When it ended, in milliseconds since 1970.
    pub ended_ms: u64,
    /// Whether anything has ever started.
    pub begun: bool,
    /// Change of the planner with which the caller may see the outcome once it is stored.
    pub ended_in: u64,
    /// Change of the planner with which the job was accepted.
    pub accepted_in: u64,
    /// Whether runs of others were ended for it.
    pub room_made: bool,
}

impl Job {
    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.sub.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns when an occurrence may start, in milliseconds since 1970; `None` for at once.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.sub.schedule?;
        Some(schedule.first_ms.saturating_add(schedule.interval_ms.saturating_mul(u64::from(occurrence))))
    }

    /// Returns whether all units of a step of an occurrence are done.
    pub fn step_done(&self, occurrence: u32, step: u32) -> bool {
        let mut units = self.units_of(occurrence, step).peekable();
        units.peek().is_some() && units.all(|(_, unit)| unit.at == Where::Done)
    }

    /// Returns the units of a step of an occurrence.
    pub fn units_of(&self, occurrence: u32, step: u32) -> impl Iterator<Item = (&UnitKey, &Unit)> {
        let from = UnitKey { occurrence, step, index: 0 };
        let to = UnitKey { occurrence, step, index: u32::MAX };
        self.units.range(from..=to)
    }

    /// Returns whether the steps before a step are done, and its time has come.
    pub fn turn_has_come(&self, key: UnitKey, wall: u64) -> bool {
        let Some(step) = self.sub.steps.get(key.step as usize) else { return false };
        self.due_ms(key.occurrence).is_none_or(|due| wall >= due)
            && step.after.iter().all(|before| self.step_done(key.occurrence, *before))
    }

    /// Creates the units of an occurrence that do not exist yet.
    pub fn open(&mut self, occurrence: u32) {
        for (at, step) in (0..).zip(&self.sub.steps) {
            let firsts = if step.gang { 1 } else { step.count };
            for index in 0..firsts {
                self.units.entry(UnitKey { occurrence, step: at, index }).or_default();
            }
        }
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn lasts(&self) -> bool {
        self.sub.steps.iter().any(|step| step.lasting)
    }
}
