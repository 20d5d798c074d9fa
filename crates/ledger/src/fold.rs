//! The fold of the log, the same for every reader.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::{Display, Error};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::plan::Plan;
use sorrelland_lease::Epoch;

use crate::job::{Final, Job, Placed, Stage};
use crate::record::{Command, CommandRecord, Record, Subject};

/// Verdicts on commands that the fold remembers.
pub const VERDICTS_KEPT: usize = 2_048;

/// Ended jobs that the fold remembers.
pub const ENDED_KEPT: usize = 4_096;

/// A record arrived whose offset is past the next one.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("log record {found} arrived where {expected} was expected")]
pub struct Gap {
    /// Offset that the fold needs next.
    pub expected: u64,
    /// Offset that arrived.
    pub found: u64,
}

/// What the fold decided on a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The command is in the configuration.
    Accepted {
        /// Version of the configuration and of the subject.
        version: u64,
    },
    /// The command changed nothing, because its subject had changed before.
    Void {
        /// Version that the command was written against.
        base: u64,
        /// Version that the subject had.
        current: u64,
    },
}

/// Whether a record had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The record changed the state.
    Changed,
    /// The record was void by the fold's rules.
    Void,
    /// The record was folded before.
    Old,
}

/// A command in the history of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HistoryRow {
    /// Offset of the record.
    pub offset: u64,
    /// The command.
    pub record: CommandRecord,
    /// What was decided.
    pub verdict: Verdict,
}

/// The state that follows from the records up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fold {
    /// Offset of the next record.
    pub next: u64,
    /// Version of the configuration: one past the offset of the last accepted command.
    pub version: u64,
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Workers that take nothing new.
    pub drained: BTreeSet<WorkerId>,
    /// Version of each subject: one past the offset of its last change.
    pub versions: BTreeMap<Subject, u64>,
    /// The guarantee plan.
    pub plan: Plan,
    /// Version of the plan: one past its offset; 0 for none.
    pub plan_version: u64,
    /// Jobs by name.
    pub jobs: BTreeMap<JobId, Job>,
    /// Ended jobs, the oldest first.
    pub ended: VecDeque<JobId>,
    /// Addresses of entries by name.
    pub entries: BTreeMap<String, String>,
    /// Offset of the newest snapshot.
    pub snapshot: u64,
    /// Commands and verdicts, the oldest first.
    pub history: VecDeque<HistoryRow>,
}

impl Fold {
    /// Creates the fold of an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the record at `offset`.
    ///
    /// # Errors
    ///
    /// Returns the gap when records are missing in between; the fold is unchanged.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Result<Applied, Gap> {
        if offset < self.next {
            return Ok(Applied::Old);
        }
        if offset > self.next {
            return Err(Gap { expected: self.next, found: offset });
        }
        let changed = self.apply_next(offset, record);
        self.next = offset + 1;
        Ok(if changed { Applied::Changed } else { Applied::Void })
    }

    /// Skips a record that cannot be read; every reader skips it alike.
    pub fn skip(&mut self, offset: u64) {
        if offset == self.next {
            self.next = offset + 1;
        }
    }

    /// Takes over another fold if it is ahead of this one.
    pub fn advance_to(&mut self, other: &Self) -> bool {
        let ahead = other.next > self.next;
        if ahead {
            *self = other.clone();
        }
        ahead
    }

    /// Returns the version that agents have to put in force.
    pub fn agent_version(&self) -> u64 {
        self.version.max(self.plan_version)
    }

    /// Returns the verdict on a command, if the fold has seen and still remembers it.
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.history.iter().rev().find(|row| row.record.id == id).map(|row| &row.verdict)
    }

    /// Returns the version of a subject; 0 if it never changed.
    pub fn version_of(&self, subject: &Subject) -> u64 {
        match subject {
            Subject::Job(job) => self.jobs.get(job).map_or(0, |job| u64::from(job.cancelled)),
            _ => self.versions.get(subject).copied().unwrap_or_default(),
        }
    }

    fn apply_next(&mut self, offset: u64, record: &Record) -> bool {
        match record {
            Record::Command(command) => self.command(offset, command),
            Record::Plan { base, plan } => self.plan(offset, *base, plan),
            Record::Accepted { job, spec, at_ms } => {
                if self.jobs.contains_key(job) {
                    return false;
                }
                let entity = Job {
                    spec: spec.clone(),
                    at_ms: *at_ms,
                    claimant: None,
                    claim: 0,
                    cancelled: false,
                    done_ms: 0,
                    last_epoch: Epoch::default(),
                    stage: Stage::Waiting,
                };
                self.jobs.insert(job.clone(), entity);
                true
            }
            Record::Claim { job, entry, base } => self.claim(offset, job, entry, *base),
            Record::Placed { job, epoch, placement, commit_point } => {
                let placed = Placed {
                    epoch: *epoch,
                    placement: placement.clone(),
                    commit_point: commit_point.clone(),
                };
                self.place(job, placed)
            }
            Record::Requeued { job, epoch, done_ms } => self.requeue(job, *epoch, *done_ms),
            Record::Ended { job, epoch, outcome } => self.end(job, *epoch, outcome),
            Record::Entry { name, address } => {
                self.entries.insert(name.clone(), address.clone()).as_ref() != Some(address)
            }
            Record::Snapshot { .. } => {
                self.snapshot = offset;
                true
            }
        }
    }

    fn command(&mut self, offset: u64, record: &CommandRecord) -> bool {
        if self.verdict(&record.id).is_some() {
            return false;
        }
        let subject = record.command.subject();
        let current = self.version_of(&subject);
        let known = !matches!(&subject, Subject::Job(job) if !self.jobs.contains_key(job));
        let accepted = record.base == current && known;
        let verdict = if accepted {
            self.change(&record.command);
            self.version = offset + 1;
            if !matches!(subject, Subject::Job(_)) {
                self.versions.insert(subject, offset + 1);
            }
            Verdict::Accepted { version: offset + 1 }
        } else {
            Verdict::Void { base: record.base, current }
        };
        self.history.push_back(HistoryRow { offset, record: record.clone(), verdict });
        if self.history.len() > VERDICTS_KEPT {
            self.history.pop_front();
        }
        accepted
    }

    fn change(&mut self, command: &Command) {
        match command {
            Command::SetAccount { account, config } => {
                self.accounts.insert(account.clone(), config.clone());
            }
            Command::RemoveAccount { account } => {
                self.accounts.remove(account);
            }
            Command::Drain { worker } => {
                self.drained.insert(worker.clone());
            }
            Command::Undrain { worker } => {
                self.drained.remove(worker);
            }
            Command::Cancel { job } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.cancelled = true;
                }
            }
        }
    }

    fn plan(&mut self, offset: u64, base: u64, plan: &Plan) -> bool {
        if base != self.plan_version {
            return false;
        }
        self.plan = plan.clone();
        self.plan_version = offset + 1;
        true
    }

    fn claim(&mut self, offset: u64, job: &JobId, entry: &str, base: u64) -> bool {
        let Some(job) = self.jobs.get_mut(job) else { return false };
        if job.claim != base || matches!(job.stage, Stage::Ended(_)) {
            return false;
        }
        job.claimant = Some(entry.to_owned());
        job.claim = offset;
        true
    }

    fn place(&mut self, job: &JobId, placed: Placed) -> bool {
        let Some(job) = self.jobs.get_mut(job) else { return false };
        let current = placed.epoch.claim() == Some(job.claim) && placed.epoch > job.last_epoch;
        if !current || job.cancelled || job.stage != Stage::Waiting {
            return false;
        }
        job.last_epoch = placed.epoch;
        job.stage = Stage::Placed(placed);
        true
    }

    fn requeue(&mut self, job: &JobId, epoch: Epoch, done_ms: u64) -> bool {
        let Some(job) = self.jobs.get_mut(job) else { return false };
        match &job.stage {
            Stage::Placed(placed) if placed.epoch == epoch => {
                job.stage = Stage::Waiting;
                job.done_ms = done_ms;
                true
            }
            _ => false,
        }
    }

    fn end(&mut self, name: &JobId, epoch: Epoch, outcome: &Final) -> bool {
        let Some(job) = self.jobs.get_mut(name) else { return false };
        let current = match &job.stage {
            Stage::Waiting => epoch == Epoch::default(),
            Stage::Placed(placed) => placed.epoch == epoch,
            Stage::Ended(_) => false,
        };
        if !current {
            return false;
        }
        job.stage = Stage::Ended(outcome.clone());
        self.ended.push_back(name.clone());
        if self.ended.len() > ENDED_KEPT
            && let Some(oldest) = self.ended.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        true
    }
}
