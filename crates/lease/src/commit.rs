//! The single commit point of a gang: all members hold, then all go.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;

use crate::epoch::Epoch;

/// What the commit point answers a member's renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Hold on behind the barrier.
    Wait,
    /// The gang is committed: run.
    Go,
    /// The epoch is over: stop.
    Stop,
}

/// How far a gang has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum GangState {
    /// Some member has not confirmed its hold, or the claimant has not asked to commit.
    Gathering,
    /// All members held and the claimant asked: the gang goes.
    Committed,
    /// Every member finished.
    Done,
    /// The epoch ended before every member finished.
    Stopped,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Gang {
    epoch: Epoch,
    state: GangState,
    asked: bool,
    ever_committed: bool,
    members: BTreeMap<WorkerId, Option<Millis>>,
    finished: BTreeSet<WorkerId>,
    opened_ms: Millis,
}

/// Gangs for which one agent is the commit point.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitPoint {
    lease_ms: Millis,
    gangs: BTreeMap<JobId, Gang>,
}

impl CommitPoint {
    /// Creates a commit point whose members renew within `lease_ms`.
    pub fn new(lease_ms: Millis) -> Self {
        Self { lease_ms, gangs: BTreeMap::new() }
    }

    /// Opens an epoch of a gang; an older epoch of the job is replaced, a newer one stays.
    pub fn open(
        &mut self,
        job: &JobId,
        epoch: Epoch,
        members: impl IntoIterator<Item = WorkerId>,
        now_ms: Millis,
    ) {
        if self.gangs.get(job).is_some_and(|gang| gang.epoch >= epoch) {
            return;
        }
        let gang = Gang {
            epoch,
            state: GangState::Gathering,
            asked: false,
            ever_committed: false,
            members: members.into_iter().map(|member| (member, None)).collect(),
            finished: BTreeSet::new(),
            opened_ms: now_ms,
        };
        self.gangs.insert(job.clone(), gang);
    }

    /// Records that the claimant asks to commit.
    pub fn ask(&mut self, job: &JobId, epoch: Epoch, now_ms: Millis) -> Option<GangState> {
        let lease_ms = self.lease_ms;
        let gang = self.gangs.get_mut(job).filter(|gang| gang.epoch == epoch)?;
        gang.asked = true;
        gang.commit_if_complete(now_ms, lease_ms);
        Some(gang.state)
    }

    /// Records a member's renewal and answers it.
    pub fn renew(
        &mut self,
        job: &JobId,
        epoch: Epoch,
        member: &WorkerId,
        finished: bool,
        now_ms: Millis,
    ) -> Verdict {
        let lease_ms = self.lease_ms;
        let Some(gang) = self.gangs.get_mut(job).filter(|gang| gang.epoch == epoch) else {
            return Verdict::Stop;
        };
        let Some(seen_ms) = gang.members.get_mut(member) else {
            return Verdict::Stop;
        };
        if matches!(gang.state, GangState::Gathering | GangState::Committed) {
            *seen_ms = Some(now_ms);
        }
        gang.commit_if_complete(now_ms, lease_ms);
        if finished && gang.state == GangState::Committed {
            gang.finished.insert(member.clone());
            if gang.finished.len() == gang.members.len() {
                gang.state = GangState::Done;
            }
        }
        match gang.state {
            GangState::Gathering => Verdict::Wait,
            GangState::Committed | GangState::Done => Verdict::Go,
            GangState::Stopped => Verdict::Stop,
        }
    }

    /// Stops an epoch and everything before it; a gang that is done stays done.
    pub fn stop(&mut self, job: &JobId, epoch: Epoch) -> Option<GangState> {
        let gang = self.gangs.get_mut(job).filter(|gang| gang.epoch <= epoch)?;
        if gang.state != GangState::Done {
            gang.state = GangState::Stopped;
        }
        Some(gang.state)
    }

    /// Stops the gangs with a member that has not renewed within the lease; returns them.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<(JobId, Epoch)> {
        let lease_ms = self.lease_ms;
        let mut stopped = Vec::new();
        for (job, gang) in &mut self.gangs {
            if !matches!(gang.state, GangState::Gathering | GangState::Committed) {
                continue;
            }
            let opened_ms = gang.opened_ms;
            let late = |seen_ms: &Option<Millis>| now_ms >= seen_ms.unwrap_or(opened_ms) + lease_ms;
            let lapsed =
                gang.members.iter().any(|(member, seen_ms)| !gang.finished.contains(member) && late(seen_ms));
            if lapsed {
                gang.state = GangState::Stopped;
                stopped.push((job.clone(), gang.epoch));
            }
        }
        stopped
    }

    /// Returns the epoch and state of a job's latest gang.
    pub fn state(&self, job: &JobId) -> Option<(Epoch, GangState)> {
        self.gangs.get(job).map(|gang| (gang.epoch, gang.state))
    }

    /// Returns whether the job's latest gang ever went past the barrier.
    pub fn ever_committed(&self, job: &JobId) -> bool {
        self.gangs.get(job).is_some_and(|gang| gang.ever_committed)
    }

    /// Forgets ended gangs for which `keep` returns false.
    pub fn retain_ended(&mut self, keep: impl Fn(&JobId) -> bool) {
        self.gangs.retain(|job, gang| {
            matches!(gang.state, GangState::Gathering | GangState::Committed) || keep(job)
        });
    }
}

impl Gang {
    fn commit_if_complete(&mut self, now_ms: Millis, lease_ms: Millis) {
        let fresh = |seen_ms: &Option<Millis>| seen_ms.is_some_and(|seen_ms| now_ms < seen_ms + lease_ms);
        let complete = self.members.values().all(fresh);
        if self.state == GangState::Gathering && self.asked && complete {
            self.state = GangState::Committed;
            self.ever_committed = true;
        }
    }
}
