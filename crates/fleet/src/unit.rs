//! Units of placement: a gang as a whole, or a single subtask.

use serde::{Deserialize, Serialize};

use crate::task::Task;

/// Place of a unit within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnitKey {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step of the job.
    pub step: u32,
    /// First subtask of the unit.
    pub index: u32,
}

impl UnitKey {
    /// Returns the subtask at `offset` within the unit.
    pub fn task(&self, job: &str, offset: usize) -> Task {
        let index = self.index + offset as u32;
        Task { job: job.to_owned(), occurrence: self.occurrence, step: self.step, index }
    }
}

/// Where a unit is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Where {
    /// It waits for room, or for its turn.
    #[default]
    Waiting,
    /// It was placed, and every member is meant to run.
    Placed,
    /// Its run is being ended; it is placed again when the last member is gone.
    Ending,
    /// It has ended as done.
    Done,
}

/// A member of a placed unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Worker's life that the member was placed on.
    pub worker: String,
    /// Agent beside that worker.
    pub agent: String,
    /// Whether the run is certainly over there.
    pub gone: bool,
    /// Whether the worker was ever seen running it.
    #[serde(skip)]
    pub seen: bool,
    /// Progress of the run in percent, as last seen.
    #[serde(skip)]
    pub percent: u64,
}

/// A gang, or a subtask that is not in one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    /// Where it is in its life.
    pub at: Where,
    /// Number of the newest run; 0 before the first.
    pub run: u64,
    /// Members of the newest run by offset; those not gone take room.
    pub members: Vec<Member>,
    /// Runs that failed by their own fault or the worker's.
    pub fails: u32,
    /// Newest saved progress; empty for none.
    pub saved: String,
    /// Workers on which it failed, newest last.
    pub failed_on: Vec<String>,
    #[serde(skip)]
    /// When `at` last changed, on the steady clock; 0 before the unit's turn.
    pub since: u64,
    #[serde(skip)]
    /// Change of the planner with which the newest run was placed.
    pub placed_in: u64,
}

impl Unit {
    /// Returns whether no member takes room any more.
    pub fn all_gone(&self) -> bool {
        self.members.iter().all(|member| member.gone)
    }
}
