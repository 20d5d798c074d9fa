//! An agent as a member of gangs: what it holds, until when, and what it refuses.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;

use crate::epoch::Epoch;

/// Result of a member's decision.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Why a member refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// A greater or equal epoch was fenced.
    #[display("epoch is fenced; the least that may run is {least}")]
    Fenced {
        /// The least epoch that is not fenced.
        least: Epoch,
    },
    /// The member holds another epoch of the job.
    #[display("another epoch, {held}, holds the job")]
    OtherEpoch {
        /// Epoch that holds.
        held: Epoch,
    },
    /// The member holds nothing for the job.
    #[display("nothing is held for the job")]
    NotHeld,
    /// The lease ended.
    #[display("the lease has ended")]
    Lapsed,
}

/// How far a hold has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The slots are held and the tasks wait behind the barrier.
    Held,
    /// The gang is committed and the tasks run.
    Running,
    /// The tasks ended by themselves.
    Finished,
}

/// What a member holds for one epoch of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hold {
    /// Attempt for which the slots are held.
    pub epoch: Epoch,
    /// Worker whose agent decides when the gang goes.
    pub commit_point: WorkerId,
    /// How far the hold has come.
    pub phase: Phase,
    /// Time at which the hold ends unless it is renewed.
    pub lease_end_ms: Millis,
}

/// Holds and fences of one agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    holds: BTreeMap<JobId, Hold>,
    fences: BTreeMap<JobId, Epoch>,
}

impl Member {
    /// Creates a member that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the holds by job.
    pub fn holds(&self) -> &BTreeMap<JobId, Hold> {
        &self.holds
    }

    /// Returns the least epoch of `job` that is not fenced.
    pub fn least_epoch(&self, job: &JobId) -> Epoch {
        self.fences.get(job).copied().unwrap_or_default()
    }

    /// Holds the job's slots until `lease_end_ms`; asking again for the same epoch changes nothing.
    ///
    /// # Errors
    ///
    /// Refuses a fenced epoch, and any epoch while another holds the job.
    pub fn reserve(
        &mut self,
        job: &JobId,
        epoch: Epoch,
        commit_point: &WorkerId,
        lease_end_ms: Millis,
    ) -> Result<()> {
        self.check_fence(job, epoch)?;
        if let Some(hold) = self.holds.get(job) {
            return match hold.epoch == epoch {
                true => Ok(()),
                false => Err(Refusal::OtherEpoch { held: hold.epoch }),
            };
        }
        let hold = Hold { epoch, commit_point: commit_point.clone(), phase: Phase::Held, lease_end_ms };
        self.holds.insert(job.clone(), hold);
        Ok(())
    }

    /// Checks whether a hold may be renewed at `now_ms`.
    ///
    /// # Errors
    ///
    /// Refuses when the hold is gone, lapsed, fenced or of another epoch.
    pub fn may_renew(&self, job: &JobId, epoch: Epoch, now_ms: Millis) -> Result<&Hold> {
        self.check_fence(job, epoch)?;
        let hold = self.holds.get(job).ok_or(Refusal::NotHeld)?;
        if hold.epoch != epoch {
            return Err(Refusal::OtherEpoch { held: hold.epoch });
        }
        if now_ms >= hold.lease_end_ms {
            return Err(Refusal::Lapsed);
        }
        Ok(hold)
    }

    /// Extends a hold after the commit point answered a renewal sent at `sent_ms`.
    ///
    /// The lease counts from the sending, so it never outlives the commit point's record of it.
    ///
    /// # Errors
    ///
    /// Refuses as [`Member::may_renew`] does.
    pub fn renewed(
        &mut self,
        job: &JobId,
        epoch: Epoch,
        sent_ms: Millis,
        lease_ms: Millis,
        now_ms: Millis,
    ) -> Result<()> {
        self.may_renew(job, epoch, now_ms)?;
        if let Some(hold) = self.holds.get_mut(job) {
            hold.lease_end_ms = hold.lease_end_ms.max(sent_ms + lease_ms);
        }
        Ok(())
    }

    /// Passes the barrier; returns whether the tasks have to be started now.
    ///
    /// # Errors
    ///
    /// Refuses as [`Member::may_renew`] does.
    pub fn go(&mut self, job: &JobId, epoch: Epoch, now_ms: Millis) -> Result<bool> {
        self.may_renew(job, epoch, now_ms)?;
        match self.holds.get_mut(job) {
            Some(hold) if hold.phase == Phase::Held => {
                hold.phase = Phase::Running;
                Ok(true)
            }
            _ => Ok(false),
        }
    }

    /// Records that the tasks ended by themselves.
    ///
    /// # Errors
    ///
    /// Refuses as [`Member::may_renew`] does, so a late result of an old epoch is not accepted.
    pub fn finish(&mut self, job: &JobId, epoch: Epoch, now_ms: Millis) -> Result<()> {
        self.may_renew(job, epoch, now_ms)?;
        if let Some(hold) = self.holds.get_mut(job) {
            hold.phase = Phase::Finished;
        }
        Ok(())
    }

    /// Refuses `epoch` and everything before it from now on; returns the hold that has to stop.
    pub fn fence(&mut self, job: &JobId, epoch: Epoch) -> Option<Hold> {
        let least = self.fences.entry(job.clone()).or_default();
        *least = (*least).max(epoch.next());
        let stops = self.holds.get(job).is_some_and(|hold| hold.epoch <= epoch);
        if stops { self.holds.remove(job) } else { None }
    }

    /// Ends the holds whose lease is over, fences their epochs and returns them.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<(JobId, Hold)> {
        let lapsed: Vec<(JobId, Epoch)> = self
            .holds
            .iter()
            .filter(|(_, hold)| now_ms >= hold.lease_end_ms)
            .map(|(job, hold)| (job.clone(), hold.epoch))
            .collect();
        lapsed.into_iter().filter_map(|(job, epoch)| Some((job.clone(), self.fence(&job, epoch)?))).collect()
    }

    /// Forgets fences of jobs for which `keep` returns false.
    pub fn retain_fences(&mut self, keep: impl Fn(&JobId) -> bool) {
        self.fences.retain(|job, _| keep(job));
    }

    fn check_fence(&self, job: &JobId, epoch: Epoch) -> Result<()> {
        let least = self.least_epoch(job);
        if epoch < least { Err(Refusal::Fenced { least }) } else { Ok(()) }
    }
}
