//! Commit point of a gang: no member starts its tasks before every member holds its slots.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;

use crate::epoch::Epoch;

/// Reply of the commit point to a member's renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RenewalReply {
    /// Keep holding the slots behind the barrier.
    Wait,
    /// The gang is committed: run the tasks.
    Go,
    /// The epoch has ended: stop the tasks.
    Stop,
}

/// State of a gang in one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum GangState {
    /// Some member has not confirmed its hold, or the claimant has not requested the commit.
    Gathering,
    /// All members held their slots when the claimant had requested the commit; the tasks run.
    Committed,
    /// Every member has finished.
    Done,
    /// The epoch ended before every member finished.
    Stopped,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Gang {
    epoch: Epoch,
    state: GangState,
    commit_requested: bool,
    ever_committed: bool,
    /// Time of each member's last renewal, if there was one.
    members: BTreeMap<WorkerId, Option<Millis>>,
    finished: BTreeSet<WorkerId>,
    opened_ms: Millis,
}

/// Gangs whose commit point is this agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitPoint {
    lease_ms: Millis,
    gangs: BTreeMap<JobId, Gang>,
}

impl CommitPoint {
    /// Creates a commit point whose members must renew within `lease_ms`.
    pub fn new(lease_ms: Millis) -> Self {
        Self { lease_ms, gangs: BTreeMap::new() }
    }

    /// Opens an epoch of a gang. It replaces an older epoch of the job; with an equal or newer one, it does nothing.
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
            commit_requested: false,
            ever_committed: false,
            members: members.into_iter().map(|member| (member, None)).collect(),
            finished: BTreeSet::new(),
            opened_ms: now_ms,
        };
        self.gangs.insert(job.clone(), gang);
    }

    /// Records that the claimant requests the commit; returns `None` if the epoch is not the job's latest.
    pub fn request_commit(&mut self, job: &JobId, epoch: Epoch, now_ms: Millis) -> Option<GangState> {
        let lease_ms = self.lease_ms;
        let gang = self.gangs.get_mut(job).filter(|gang| gang.epoch == epoch)?;
        gang.commit_requested = true;
        gang.commit_if_all_held(now_ms, lease_ms);
        Some(gang.state)
    }

    /// Records a member's renewal and returns the reply to it.
    pub fn renew(
        &mut self,
        job: &JobId,
        epoch: Epoch,
        member: &WorkerId,
        finished: bool,
        now_ms: Millis,
    ) -> RenewalReply {
        let lease_ms = self.lease_ms;
        let Some(gang) = self.gangs.get_mut(job).filter(|gang| gang.epoch == epoch) else {
            return RenewalReply::Stop;
        };
        let Some(renewed_ms) = gang.members.get_mut(member) else {
            return RenewalReply::Stop;
        };
        if matches!(gang.state, GangState::Gathering | GangState::Committed) {
            *renewed_ms = Some(now_ms);
        }
        gang.commit_if_all_held(now_ms, lease_ms);
        if finished && gang.state == GangState::Committed {
            gang.finished.insert(member.clone());
            if gang.finished.len() == gang.members.len() {
                gang.state = GangState::Done;
            }
        }
        match gang.state {
            GangState::Gathering => RenewalReply::Wait,
            GangState::Committed | GangState::Done => RenewalReply::Go,
            GangState::Stopped => RenewalReply::Stop,
        }
    }

    /// Stops the job's gang if its epoch is `epoch` or older; a gang that is done stays done.
    pub fn stop(&mut self, job: &JobId, epoch: Epoch) -> Option<GangState> {
        let gang = self.gangs.get_mut(job).filter(|gang| gang.epoch <= epoch)?;
        if gang.state != GangState::Done {
            gang.state = GangState::Stopped;
        }
        Some(gang.state)
    }

    /// Stops and returns the gangs with an unfinished member that has not renewed within the lease.
    ///
    /// For a member that has never renewed, the lease counts from the opening of the epoch.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<(JobId, Epoch)> {
        let lease_ms = self.lease_ms;
        let mut stopped = Vec::new();
        for (job, gang) in &mut self.gangs {
            if !matches!(gang.state, GangState::Gathering | GangState::Committed) {
                continue;
            }
            let opened_ms = gang.opened_ms;
            let expired = |renewed_ms: &Option<Millis>| now_ms >= renewed_ms.unwrap_or(opened_ms) + lease_ms;
            let lapsed = gang
                .members
                .iter()
                .any(|(member, renewed_ms)| !gang.finished.contains(member) && expired(renewed_ms));
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

    /// Returns whether the job's latest gang was ever committed, even if it has stopped since.
    pub fn ever_committed(&self, job: &JobId) -> bool {
        self.gangs.get(job).is_some_and(|gang| gang.ever_committed)
    }

    /// Removes ended gangs for which `keep` returns false.
    pub fn retain_ended(&mut self, keep: impl Fn(&JobId) -> bool) {
        self.gangs.retain(|job, gang| {
            matches!(gang.state, GangState::Gathering | GangState::Committed) || keep(job)
        });
    }
}

impl Gang {
    fn commit_if_all_held(&mut self, now_ms: Millis, lease_ms: Millis) {
        let unexpired =
            |renewed_ms: &Option<Millis>| renewed_ms.is_some_and(|renewed_ms| now_ms < renewed_ms + lease_ms);
        let all_held = self.members.values().all(unexpired);
        if self.state == GangState::Gathering && self.commit_requested && all_held {
            self.state = GangState::Committed;
            self.ever_committed = true;
        }
    }
}
