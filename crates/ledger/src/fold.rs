//! State derived by folding the log's records in order; it depends on nothing else, so all readers agree.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::{Display, Error};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::plan::Plan;
use sorrelland_lease::Epoch;

use crate::job::{Job, JobOutcome, RecordedAttempt, Stage};
use crate::record::{Command, CommandRecord, Record, Subject};

/// Maximum number of commands that the fold retains with their outcomes.
pub const MAX_HISTORY_ROWS: usize = 2_048;

/// Maximum number of ended jobs that the fold retains.
pub const MAX_ENDED_JOBS: usize = 4_096;

/// A record was applied out of order: records before it are missing.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("log record {found} arrived where {expected} was expected")]
pub struct OffsetGap {
    /// Offset of the next record to apply.
    pub expected: u64,
    /// Offset of the record that was passed.
    pub found: u64,
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum CommandOutcome {
    /// The command was applied to the configuration.
    Accepted {
        /// Version of the configuration and of the subject.
        version: u64,
    },
    /// The command was not applied: its subject had another version than `base`, or is an unknown job.
    Void {
        /// Version that the command was based on.
        base: u64,
        /// Version that the subject had.
        current: u64,
    },
}

/// Effect of a record on the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record changed the state.
    Changed,
    /// The record had no effect: it repeats an earlier one, is out of date or does not fit the state.
    Void,
    /// The record had been applied before.
    AlreadyApplied,
}

/// A command in the history of the configuration, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HistoryRow {
    /// Offset of the record.
    pub offset: u64,
    pub record: CommandRecord,
    #[serde(rename = "verdict")]
    pub outcome: CommandOutcome,
}

/// State that results from folding the records before `next_offset`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fold {
    /// Offset of the next record.
    #[serde(rename = "next")]
    pub next_offset: u64,
    /// Version of the configuration: one past the offset of the last accepted command.
    pub version: u64,
    pub accounts: BTreeMap<AccountId, Account>,
    /// Workers that accept no new work.
    pub drained: BTreeSet<WorkerId>,
    /// Version of each subject: one past the offset of its last change.
    pub versions: BTreeMap<Subject, u64>,
    /// Guarantee plan in force.
    pub plan: Plan,
    /// Version of the plan: one past its offset; 0 if there is none.
    pub plan_version: u64,
    /// Jobs by name: all that have not ended, and the latest that have.
    pub jobs: BTreeMap<JobId, Job>,
    /// Ended jobs in `jobs`, in the order of their ends.
    pub ended: VecDeque<JobId>,
    /// Addresses of entries (`ip:port`) by name.
    pub entries: BTreeMap<String, String>,
    /// Offset of the newest snapshot.
    #[serde(rename = "snapshot")]
    pub snapshot_offset: u64,
    /// Latest commands with their outcomes, the oldest first.
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
    /// Returns the expected offset when records before `offset` are missing; the fold is unchanged.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Result<ApplyOutcome, OffsetGap> {
        if offset < self.next_offset {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        if offset > self.next_offset {
            return Err(OffsetGap { expected: self.next_offset, found: offset });
        }
        let changed = self.apply_next(offset, record);
        self.next_offset = offset + 1;
        Ok(if changed { ApplyOutcome::Changed } else { ApplyOutcome::Void })
    }

    /// Skips a record that cannot be parsed; every reader skips it, so that their folds stay the same.
    pub fn skip_record(&mut self, offset: u64) {
        if offset == self.next_offset {
            self.next_offset = offset + 1;
        }
    }

    /// Replaces this fold with `other` if that one covers more records; returns whether it does.
    pub fn replace_if_newer(&mut self, other: &Self) -> bool {
        let newer = other.next_offset > self.next_offset;
        if newer {
            *self = other.clone();
        }
        newer
    }

    /// Returns the version of what agents apply: the newer of the configuration's and the plan's.
    pub fn agent_version(&self) -> u64 {
        self.version.max(self.plan_version)
    }

    /// Returns the outcome of a command, if it was folded and is still retained.
    pub fn command_outcome(&self, id: &str) -> Option<&CommandOutcome> {
        self.history.iter().rev().find(|row| row.record.id == id).map(|row| &row.outcome)
    }

    /// Returns the version of a subject; 0 if it has not changed. A job has version 1 once it is cancelled.
    pub fn version_of(&self, subject: &Subject) -> u64 {
        match subject {
            Subject::Job(job) => self.jobs.get(job).map_or(0, |job| u64::from(job.cancelled)),
            _ => self.versions.get(subject).copied().unwrap_or_default(),
        }
    }

    fn apply_next(&mut self, offset: u64, record: &Record) -> bool {
        match record {
            Record::Command(command) => self.apply_command(offset, command),
            Record::Plan { base, plan } => self.apply_plan(offset, *base, plan),
            Record::Accepted { job, spec, accepted_ms } => {
                if self.jobs.contains_key(job) {
                    return false;
                }
                let new_job = Job {
                    spec: spec.clone(),
                    accepted_ms: *accepted_ms,
                    claimant: None,
                    claim: 0,
                    cancelled: false,
                    done_ms: 0,
                    last_epoch: Epoch::default(),
                    stage: Stage::Waiting,
                };
                self.jobs.insert(job.clone(), new_job);
                true
            }
            Record::Claim { job, entry, base } => self.apply_claim(offset, job, entry, *base),
            Record::Placed { job, epoch, placement, commit_point } => {
                let placed = RecordedAttempt {
                    epoch: *epoch,
                    placement: placement.clone(),
                    commit_point: commit_point.clone(),
                };
                self.apply_placed(job, placed)
            }
            Record::Requeued { job, epoch, done_ms } => self.apply_requeued(job, *epoch, *done_ms),
            Record::Ended { job, epoch, outcome } => self.apply_ended(job, *epoch, outcome),
            Record::Entry { name, address } => {
                self.entries.insert(name.clone(), address.clone()).as_ref() != Some(address)
            }
            Record::Snapshot { .. } => {
                self.snapshot_offset = offset;
                true
            }
        }
    }

    fn apply_command(&mut self, offset: u64, record: &CommandRecord) -> bool {
        if self.command_outcome(&record.id).is_some() {
            return false;
        }
        let subject = record.command.subject();
        let current = self.version_of(&subject);
        let valid_subject = !matches!(&subject, Subject::Job(job) if !self.jobs.contains_key(job));
        let accepted = record.base == current && valid_subject;
        let outcome = if accepted {
            self.apply_to_config(&record.command);
            self.version = offset + 1;
            if !matches!(subject, Subject::Job(_)) {
                self.versions.insert(subject, offset + 1);
            }
            CommandOutcome::Accepted { version: offset + 1 }
        } else {
            CommandOutcome::Void { base: record.base, current }
        };
        self.history.push_back(HistoryRow { offset, record: record.clone(), outcome });
        if self.history.len() > MAX_HISTORY_ROWS {
            self.history.pop_front();
        }
        accepted
    }

    fn apply_to_config(&mut self, command: &Command) {
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

    fn apply_plan(&mut self, offset: u64, base: u64, plan: &Plan) -> bool {
        if base != self.plan_version {
            return false;
        }
        self.plan = plan.clone();
        self.plan_version = offset + 1;
        true
    }

    fn apply_claim(&mut self, offset: u64, job: &JobId, entry: &str, base: u64) -> bool {
        let Some(job) = self.jobs.get_mut(job) else { return false };
        if job.claim != base || matches!(job.stage, Stage::Ended(_)) {
            return false;
        }
        job.claimant = Some(entry.to_owned());
        job.claim = offset;
        true
    }

    fn apply_placed(&mut self, job: &JobId, placed: RecordedAttempt) -> bool {
        let Some(job) = self.jobs.get_mut(job) else { return false };
        let current = placed.epoch.claim() == Some(job.claim) && placed.epoch > job.last_epoch;
        if !current || job.cancelled || job.stage != Stage::Waiting {
            return false;
        }
        job.last_epoch = placed.epoch;
        job.stage = Stage::Placed(placed);
        true
    }

    fn apply_requeued(&mut self, job: &JobId, epoch: Epoch, done_ms: u64) -> bool {
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

    fn apply_ended(&mut self, name: &JobId, epoch: Epoch, outcome: &JobOutcome) -> bool {
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
        if self.ended.len() > MAX_ENDED_JOBS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        true
    }
}
