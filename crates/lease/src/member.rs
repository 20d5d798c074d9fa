//! Holds and fences of an agent whose worker takes part in gangs.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;

use crate::epoch::Epoch;

/// Result of a request to a member.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Why a member refused a request.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The epoch is fenced: it is at or below the greatest fenced epoch of the job.
    #[display("epoch is fenced; the least that may run is {least}")]
    Fenced {
        /// Smallest epoch that is not fenced.
        least: Epoch,
    },
    /// The member holds another epoch of the job.
    #[display("another epoch, {held}, holds the job")]
    OtherEpoch {
        /// Epoch of the existing hold.
        held: Epoch,
    },
    /// The member has no hold for the job.
    #[display("nothing is held for the job")]
    NotHeld,
    /// The lease has expired.
    #[display("the lease has ended")]
    Lapsed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The slots are reserved and the tasks wait behind the barrier.
    Held,
    /// The gang is committed and the tasks run.
    Running,
    /// The tasks ended without being stopped.
    Finished,
}

/// Slots that a member reserves for one epoch of a job, under a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hold {
    /// Attempt for which the slots are reserved.
    pub epoch: Epoch,
    /// Worker whose agent is the commit point of the gang.
    pub commit_point: WorkerId,
    pub phase: Phase,
    /// Time at which the hold expires unless it is renewed.
    pub lease_end_ms: Millis,
}

/// Holds and fences of one agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    holds: BTreeMap<JobId, Hold>,
    fences: BTreeMap<JobId, Epoch>,
}

impl Member {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the holds by job.
    pub fn holds(&self) -> &BTreeMap<JobId, Hold> {
        &self.holds
    }

    /// Returns the smallest epoch of `job` that is not fenced.
    pub fn min_unfenced_epoch(&self, job: &JobId) -> Epoch {
        self.fences.get(job).copied().unwrap_or_default()
    }

    /// Reserves the job's slots until `lease_end_ms`; repeating the call for the same epoch changes nothing.
    ///
    /// # Errors
    ///
    /// Refuses a fenced epoch, and an epoch other than that of an existing hold of the job.
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

    /// Returns the hold if it may be renewed at `now_ms`.
    ///
    /// # Errors
    ///
    /// Refuses when there is no hold, its lease has expired, `epoch` is fenced, or the hold is of another epoch.
    pub fn check_renewal(&self, job: &JobId, epoch: Epoch, now_ms: Millis) -> Result<&Hold> {
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

    /// Extends a hold after the commit point's reply to a renewal sent at `sent_ms`.
    ///
    /// The lease counts from the time of sending, so that it never ends after the commit point's own record of it.
    ///
    /// # Errors
    ///
    /// Refuses as [`Member::check_renewal`] does.
    pub fn extend_lease(
        &mut self,
        job: &JobId,
        epoch: Epoch,
        sent_ms: Millis,
        lease_ms: Millis,
        now_ms: Millis,
    ) -> Result<()> {
        self.check_renewal(job, epoch, now_ms)?;
        if let Some(hold) = self.holds.get_mut(job) {
            hold.lease_end_ms = hold.lease_end_ms.max(sent_ms + lease_ms);
        }
        Ok(())
    }

    /// Records that the gang is committed; returns whether the tasks have yet to be started.
    ///
    /// # Errors
    ///
    /// Refuses as [`Member::check_renewal`] does.
    pub fn pass_barrier(&mut self, job: &JobId, epoch: Epoch, now_ms: Millis) -> Result<bool> {
        self.check_renewal(job, epoch, now_ms)?;
        match self.holds.get_mut(job) {
            Some(hold) if hold.phase == Phase::Held => {
                hold.phase = Phase::Running;
                Ok(true)
            }
            _ => Ok(false),
        }
    }

    /// Records that the tasks ended without being stopped.
    ///
    /// # Errors
    ///
    /// Refuses as [`Member::check_renewal`] does, so that a late result of an old epoch is not accepted.
    pub fn mark_finished(&mut self, job: &JobId, epoch: Epoch, now_ms: Millis) -> Result<()> {
        self.check_renewal(job, epoch, now_ms)?;
        if let Some(hold) = self.holds.get_mut(job) {
            hold.phase = Phase::Finished;
        }
        Ok(())
    }

    /// Fences `epoch` and all older epochs of the job; removes and returns their hold, whose tasks must be stopped.
    pub fn fence(&mut self, job: &JobId, epoch: Epoch) -> Option<Hold> {
        let min_epoch = self.fences.entry(job.clone()).or_default();
        *min_epoch = (*min_epoch).max(epoch.next());
        let fences_hold = self.holds.get(job).is_some_and(|hold| hold.epoch <= epoch);
        if fences_hold { self.holds.remove(job) } else { None }
    }

    /// Removes the holds whose lease has expired, fences their epochs and returns them.
    pub fn expire(&mut self, now_ms: Millis) -> Vec<(JobId, Hold)> {
        let expired: Vec<(JobId, Epoch)> = self
            .holds
            .iter()
            .filter(|(_, hold)| now_ms >= hold.lease_end_ms)
            .map(|(job, hold)| (job.clone(), hold.epoch))
            .collect();
        expired.into_iter().filter_map(|(job, epoch)| Some((job.clone(), self.fence(&job, epoch)?))).collect()
    }

    /// Removes the fences of jobs for which `keep` returns false.
    pub fn retain_fences(&mut self, keep: impl Fn(&JobId) -> bool) {
        self.fences.retain(|job, _| keep(job));
    }

    fn check_fence(&self, job: &JobId, epoch: Epoch) -> Result<()> {
        let min_unfenced = self.min_unfenced_epoch(job);
        if epoch < min_unfenced { Err(Refusal::Fenced { least: min_unfenced }) } else { Ok(()) }
    }
}
