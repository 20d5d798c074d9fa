//! One attempt to run a gang: reserve its workers, record the placement, commit, watch, and record the end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::table::Placement;
use sorrelland_core::tick::Cause;
use sorrelland_lease::{Epoch, GangState};
use sorrelland_ledger::{JobOutcome, JobSpec, Record, RecordedAttempt, Stage};
use sorrelland_wire::agent::{GangStatus, Peer, Reserve, ReserveReply};
use sorrelland_wire::connect::call_context;
use tokio::sync::oneshot;

use crate::entry::Entry;
use crate::sync::lock;

/// Time-out of one call to an agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between commit calls while the members of a gang are still gathering.
const COMMIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between status calls for a running gang.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Delay between reserve calls while other jobs are being preempted on the worker.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Margin added to the time within which, by the agent's reply, the preempted jobs yield.
const YIELD_MARGIN: Duration = Duration::from_millis(2_000);

/// Delay before an outcome is written again after a failed write.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Claim lease of a job on the log: its gang stops after this time without a call from the claimant.
const LOGGED_CLAIM_LEASE_MS: Millis = 60_000;

/// Claim lease of an attached job: its gang stops after this time without a call from the entry.
const ATTACHED_CLAIM_LEASE_MS: Millis = 5_000;

/// Lease durations after which a gang with a fenced member has stopped on every worker.
const LEASES_UNTIL_STOPPED: u32 = 2;

/// Failed attempts after which an idempotent job fails permanently.
const MAX_ATTEMPTS: u16 = 3;

/// Where a job comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The job is on the log and claimed by this entry.
    Logged {
        /// Offset of the claim.
        claim: u64,
        /// Greatest epoch recorded for the job.
        last_epoch: Epoch,
    },
    /// The caller waits for the outcome; the job is not on the log.
    Attached,
}

/// A job whose caller waits for the outcome; it is not on the log.
pub struct Attached {
    /// Submitted specification.
    pub spec: JobSpec,
    /// Time of submission, in milliseconds since 1970.
    pub since_ms: Millis,
    /// Whether an attempt has reserved all its workers.
    pub started: bool,
    /// Channel to the caller for the final outcome; `None` once it was sent.
    pub outcome_tx: Option<oneshot::Sender<JobOutcome>>,
}

impl Attached {
    /// Returns whether no attempt has reserved the workers yet and no outcome was sent.
    pub fn is_waiting(&self) -> bool {
        !self.started && self.outcome_tx.is_some()
    }
}

/// How an attempt ended.
enum End {
    /// Every task finished.
    Done,
    /// A task failed.
    Failed(String),
    /// The gang was stopped before every task finished.
    Stopped {
        /// Run time that every member has preserved, in milliseconds; 0 if some member did not reply.
        done_ms: Millis,
        /// Whether some member may have started its tasks.
        may_have_run: bool,
        /// Whether the job was cancelled.
        cancelled: bool,
    },
}

/// The gang of one attempt.
struct Gang<'a> {
    job: &'a JobId,
    epoch: Epoch,
    members: Vec<Peer>,
    commit_point: Peer,
    source: Source,
}

impl Entry {
    /// Makes one attempt to run a waiting job on `placement`, and records its end.
    pub(super) async fn attempt(
        &self,
        job: &JobId,
        spec: &JobSpec,
        source: Source,
        placement: &Placement,
        cause: Option<Cause>,
        done_ms: Millis,
    ) {
        let Some(gang) = self.next_gang(job, source, placement) else { return };
        log::info!(job = job.as_str(); "reserving epoch {} on {} workers", gang.epoch, gang.members.len());
        if !self.reserve_all(&gang, spec, placement, cause, done_ms).await {
            self.stop_all(&gang).await;
            return;
        }
        if !self.record_placed(&gang, placement).await {
            log::warn!(job = job.as_str(); "epoch {} was not recorded; stopping the attempt", gang.epoch);
            self.stop_all(&gang).await;
            return;
        }
        self.metrics.count_job_event("placed");
        let end = match self.commit(&gang).await {
            true => self.watch(&gang).await,
            false => self.fence_gang(&gang).await,
        };
        self.record_end(&gang, spec, end).await;
    }

    /// Watches a gang that another entry, or an earlier incarnation of this one, recorded.
    pub(super) async fn watch_adopted(&self, job: &JobId, spec: &JobSpec, placed: &RecordedAttempt) {
        let peer = |worker: &WorkerId| Peer { worker: worker.clone(), address: self.agent_address(worker) };
        let gang = Gang {
            job,
            epoch: placed.epoch,
            members: placed.placement.keys().map(peer).collect(),
            commit_point: peer(&placed.commit_point),
            source: Source::Logged { claim: 0, last_epoch: placed.epoch },
        };
        log::info!(job = job.as_str(); "taking over epoch {}", gang.epoch);
        let end = self.watch(&gang).await;
        self.record_end(&gang, spec, end).await;
    }

    /// Returns the gang of the next epoch; `None` for an empty placement.
    fn next_gang<'a>(&self, job: &'a JobId, source: Source, placement: &Placement) -> Option<Gang<'a>> {
        let epoch = match source {
            Source::Logged { claim, last_epoch } => {
                let attempt = lock(&self.epochs).next(job, claim);
                Epoch::new(claim, attempt).max(last_epoch.next())
            }
            Source::Attached => Epoch::new(0, lock(&self.epochs).next(job, 0)),
        };
        let members: Vec<Peer> = placement
            .keys()
            .map(|worker| Peer { worker: worker.clone(), address: self.agent_address(worker) })
            .collect();
        let commit_point = members.first()?.clone();
        Some(Gang { job, epoch, members, commit_point, source })
    }

    /// Returns the address that the worker's agent last reported; empty if none is known.
    fn agent_address(&self, worker: &WorkerId) -> String {
        let fleet = lock(&self.fleet);
        fleet.rows().get(worker).map(|row| row.report.address.clone()).unwrap_or_default()
    }

    /// Returns the last reported incarnation of the worker's agent; 0 if none is known.
    fn agent_incarnation(&self, worker: &WorkerId) -> u64 {
        lock(&self.fleet).rows().get(worker).map_or(0, |row| row.incarnation)
    }

    /// Reserves the members in order of worker name, so that competing gangs cannot deadlock.
    async fn reserve_all(
        &self,
        gang: &Gang<'_>,
        spec: &JobSpec,
        placement: &Placement,
        cause: Option<Cause>,
        done_ms: Millis,
    ) -> bool {
        let claim_lease_ms = match gang.source {
            Source::Logged { .. } => LOGGED_CLAIM_LEASE_MS,
            Source::Attached => ATTACHED_CLAIM_LEASE_MS,
        };
        for member in &gang.members {
            let reserve = Reserve {
                job: gang.job.clone(),
                epoch: gang.epoch,
                incarnation: self.agent_incarnation(&member.worker),
                account: spec.demand.account.clone(),
                per_task: spec.demand.shape.per_task(),
                tasks: placement[&member.worker],
                class: spec.demand.class,
                preemptible: spec.demand.preemptible && spec.idempotent,
                cause,
                members: gang.members.clone(),
                commit_point: gang.commit_point.worker.clone(),
                claim_lease_ms,
                work: spec.work.to_string(),
                done_ms,
            };
            if !self.reserve_one(member, reserve).await {
                return false;
            }
        }
        true
    }

    async fn reserve_one(&self, member: &Peer, reserve: Reserve) -> bool {
        let mut deadline = Instant::now();
        loop {
            let request = reserve.clone();
            let call = self.agents.call(&member.address, |agent| async move {
                agent.reserve(call_context(CALL_TIMEOUT), request).await
            });
            match call.await {
                Ok(ReserveReply::Held) => return true,
                Ok(ReserveReply::Yielding { within_ms }) => {
                    if deadline <= Instant::now() {
                        deadline = Instant::now() + Duration::from_millis(within_ms) + YIELD_MARGIN;
                    }
                }
                Ok(reply) => {
                    log::debug!(job = reserve.job.as_str(); "{} replied {reply:?}", member.worker);
                    // Preempted jobs may free the resources shortly: retry `Busy` until the deadline.
                    if !matches!(reply, ReserveReply::Busy { .. }) || deadline <= Instant::now() {
                        return false;
                    }
                }
                Err(e) => {
                    log::debug!(job = reserve.job.as_str(); "reserve call to {} failed: {e}", member.worker);
                    return false;
                }
            }
            tokio::time::sleep(RESERVE_RETRY_DELAY).await;
        }
    }

    /// Records the attempt, so that an entry that adopts the job can query its members.
    ///
    /// Returns false if the write failed or the record did not take effect in the fold.
    async fn record_placed(&self, gang: &Gang<'_>, placement: &Placement) -> bool {
        if gang.source == Source::Attached {
            return match lock(&self.attached).get_mut(gang.job) {
                Some(attached) if attached.is_waiting() => {
                    attached.started = true;
                    true
                }
                _ => false,
            };
        }
        let record = Record::Placed {
            job: gang.job.clone(),
            epoch: gang.epoch,
            placement: placement.clone(),
            commit_point: gang.commit_point.worker.clone(),
        };
        if let Err(e) = self.write(vec![record]).await {
            log::warn!(job = gang.job.as_str(); "attempt was not recorded: {e}");
            return false;
        }
        let placed = self.with_fold(|fold| match fold.jobs.get(gang.job).map(|job| &job.stage) {
            Some(Stage::Placed(placed)) => placed.epoch == gang.epoch,
            _ => false,
        });
        placed == Some(true)
    }

    /// Sends commit calls until the gang is committed; returns false once it can no longer be.
    async fn commit(&self, gang: &Gang<'_>) -> bool {
        let deadline = Instant::now() + self.settings.agent.lease * LEASES_UNTIL_STOPPED;
        while Instant::now() < deadline {
            let (job, epoch) = (gang.job.clone(), gang.epoch);
            let call = self.agents.call(&gang.commit_point.address, |agent| async move {
                agent.commit(call_context(CALL_TIMEOUT), job, epoch).await
            });
            match call.await {
                Ok(Some(GangState::Committed | GangState::Done)) => return true,
                Ok(Some(GangState::Stopped) | None) => return false,
                Ok(Some(GangState::Gathering)) => {}
                Err(e) => log::debug!(job = gang.job.as_str(); "commit call failed: {e}"),
            }
            tokio::time::sleep(COMMIT_POLL_INTERVAL).await;
        }
        // The gang may have been committed meanwhile: polling it shows its state.
        true
    }

    /// Polls a gang until it ends or is cancelled.
    async fn watch(&self, gang: &Gang<'_>) -> End {
        let mut replied = Instant::now();
        loop {
            if self.is_cancelled(gang) {
                let end = self.fence_gang(gang).await;
                return match end {
                    End::Stopped { done_ms, may_have_run, .. } => {
                        End::Stopped { done_ms, may_have_run, cancelled: true }
                    }
                    other => other,
                };
            }
            match self.query_status(gang).await {
                Some(status) => {
                    replied = Instant::now();
                    match status.gang.filter(|(epoch, _)| *epoch == gang.epoch).map(|(_, state)| state) {
                        Some(GangState::Done) => return End::Done,
                        Some(GangState::Committed) => {}
                        Some(GangState::Gathering | GangState::Stopped) | None => {
                            return self.fence_gang(gang).await;
                        }
                    }
                }
                None if replied.elapsed() > self.reply_timeout(gang) => return self.fence_gang(gang).await,
                None => {}
            }
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// Returns the time without a reply of the commit point after which the gang has stopped, or another member
    /// may know how it ended.
    fn reply_timeout(&self, gang: &Gang<'_>) -> Duration {
        if gang.members.len() > 1 {
            return self.settings.agent.lease * LEASES_UNTIL_STOPPED;
        }
        let claim_lease_ms = match gang.source {
            Source::Logged { .. } => LOGGED_CLAIM_LEASE_MS,
            Source::Attached => ATTACHED_CLAIM_LEASE_MS,
        };
        Duration::from_millis(claim_lease_ms) + self.settings.agent.lease
    }

    async fn query_status(&self, gang: &Gang<'_>) -> Option<GangStatus> {
        let address = self.agent_address(&gang.commit_point.worker);
        if address.is_empty() {
            return None;
        }
        let job = gang.job.clone();
        let call = self
            .agents
            .call(&address, |agent| async move { agent.status(call_context(CALL_TIMEOUT), job).await });
        call.await.ok()
    }

    fn is_cancelled(&self, gang: &Gang<'_>) -> bool {
        match gang.source {
            Source::Attached => !lock(&self.attached).contains_key(gang.job),
            Source::Logged { .. } => {
                let cancelled = self.with_fold(|fold| fold.jobs.get(gang.job).map(|job| job.cancelled));
                cancelled.flatten().unwrap_or_default()
            }
        }
    }

    /// Fences the gang at every member that replies, and waits until no member can still be running it.
    async fn fence_gang(&self, gang: &Gang<'_>) -> End {
        let mut statuses = self.stop_all(gang).await;
        let commit_status = statuses.get(&gang.commit_point.worker).cloned();
        if statuses.len() < gang.members.len() {
            // Unreachable members stop when their lease ends: the gang cannot renew it with a fenced member.
            let delay = match statuses.is_empty() {
                true => self.reply_timeout(gang),
                false => self.settings.agent.lease * LEASES_UNTIL_STOPPED,
            };
            tokio::time::sleep(delay).await;
            statuses.extend(self.stop_all(gang).await);
        }
        // A member that has fenced the gang still holds it until its worker has stopped the tasks.
        let holds_gang = |status: &GangStatus| status.hold.is_some_and(|(epoch, _)| epoch <= gang.epoch);
        let stopped_by = Instant::now() + self.settings.agent.lease * LEASES_UNTIL_STOPPED + CALL_TIMEOUT;
        while statuses.values().any(holds_gang) && Instant::now() < stopped_by {
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            statuses.extend(self.stop_all(gang).await);
        }
        let own_status =
            commit_status.as_ref().filter(|status| status.gang.map(|(e, _)| e) == Some(gang.epoch));
        if let Some(status) = own_status {
            if status.gang.map(|(_, state)| state) == Some(GangState::Done) {
                return End::Done;
            }
            if let Some(reason) = &status.failed {
                return End::Failed(reason.clone());
            }
        }
        let may_have_run = own_status.is_none_or(|status| status.ever_committed);
        let all_replied = statuses.len() == gang.members.len();
        let min_done_ms = statuses.values().map(|status| status.done_ms).min();
        let done_ms = min_done_ms.filter(|_| all_replied).unwrap_or_default();
        End::Stopped { done_ms, may_have_run, cancelled: false }
    }

    /// Asks every member to stop the gang; returns the status of those that replied.
    async fn stop_all(&self, gang: &Gang<'_>) -> BTreeMap<WorkerId, GangStatus> {
        let stops = gang.members.iter().map(|member| async move {
            let (job, epoch) = (gang.job.clone(), gang.epoch);
            let address = self.agent_address(&member.worker);
            let call = self.agents.call(&address, |agent| async move {
                agent.stop(call_context(CALL_TIMEOUT), job, epoch).await
            });
            Some((member.worker.clone(), call.await.ok()?))
        });
        futures::future::join_all(stops).await.into_iter().flatten().collect()
    }

    /// Records the end of the attempt on the log, retrying while it is down, or reports it to the attached caller.
    async fn record_end(&self, gang: &Gang<'_>, spec: &JobSpec, end: End) {
        self.record_member_outcomes(gang, &end);
        let attempts = lock(&self.epochs).attempts(gang.job);
        let outcome = final_outcome(&end, spec, attempts);
        match &outcome {
            Some(outcome) => log::info!(job = gang.job.as_str(); "epoch {} ended: {outcome:?}", gang.epoch),
            None => log::info!(job = gang.job.as_str(); "epoch {} stopped; the job waits again", gang.epoch),
        }
        self.metrics.count_job_event(if outcome.is_some() { "ended" } else { "requeued" });
        if gang.source == Source::Attached {
            self.reply_to_attached(gang.job, outcome);
            return;
        }
        let (job, epoch) = (gang.job.clone(), gang.epoch);
        let record = match (&outcome, &end) {
            (Some(outcome), _) => Record::Ended { job, epoch, outcome: outcome.clone() },
            (None, End::Stopped { done_ms, .. }) => Record::Requeued { job, epoch, done_ms: *done_ms },
            (None, _) => Record::Requeued { job, epoch, done_ms: 0 },
        };
        self.record_until_folded(gang, record).await;
    }

    /// Writes `record` until the fold no longer holds this attempt as placed.
    async fn record_until_folded(&self, gang: &Gang<'_>, record: Record) {
        loop {
            let still_placed = self.with_fold(|fold| match fold.jobs.get(gang.job).map(|job| &job.stage) {
                Some(Stage::Placed(placed)) => placed.epoch == gang.epoch,
                _ => false,
            });
            if still_placed != Some(true) {
                return;
            }
            if let Err(e) = self.write(vec![record.clone()]).await {
                log::debug!(job = gang.job.as_str(); "outcome not recorded yet: {e}");
                tokio::time::sleep(RECORD_RETRY_DELAY).await;
            }
        }
    }

    fn record_member_outcomes(&self, gang: &Gang<'_>, end: &End) {
        let mut fleet = lock(&self.fleet);
        match end {
            End::Done => gang.members.iter().for_each(|member| fleet.record_outcome(&member.worker, true)),
            End::Failed(reason) => {
                // The reason names the worker that failed; the others did not cause the failure.
                let failed = gang.members.iter().filter(|m| reason.contains(m.worker.as_str()));
                failed.for_each(|member| fleet.record_outcome(&member.worker, false));
            }
            End::Stopped { .. } => {}
        }
    }

    fn reply_to_attached(&self, job: &JobId, outcome: Option<JobOutcome>) {
        let mut table = lock(&self.attached);
        let Some(attached) = table.get_mut(job) else { return };
        match outcome {
            None => attached.started = false,
            Some(outcome) => {
                if let Some(outcome_tx) = attached.outcome_tx.take() {
                    // Sending fails if the caller has disconnected; the outcome is then dropped.
                    let _ = outcome_tx.send(outcome);
                }
                table.remove(job);
            }
        }
    }

    /// Records the end of waiting jobs that were cancelled before they ran.
    pub(super) async fn record_cancelled(&self, jobs: &[JobId]) {
        let ended = |job: &JobId| Record::Ended {
            job: job.clone(),
            epoch: Epoch::default(),
            outcome: JobOutcome::NotRun { reason: "cancelled".to_owned() },
        };
        match self.write(jobs.iter().map(ended).collect()).await {
            Ok(()) => log::info!("recorded {} jobs as cancelled before they ran", jobs.len()),
            Err(e) => log::debug!("cancelled jobs not recorded as ended yet: {e}"),
        }
    }
}

/// Returns the final outcome of a job after an attempt, or `None` when the job waits again.
fn final_outcome(end: &End, spec: &JobSpec, attempts: u16) -> Option<JobOutcome> {
    match end {
        End::Done => Some(JobOutcome::Done),
        End::Failed(_) if spec.idempotent && attempts < MAX_ATTEMPTS => None,
        End::Failed(reason) => Some(JobOutcome::Failed { reason: reason.clone() }),
        End::Stopped { may_have_run: false, cancelled: true, .. } => {
            Some(JobOutcome::NotRun { reason: "cancelled".to_owned() })
        }
        End::Stopped { cancelled: true, .. } => Some(JobOutcome::Cancelled),
        End::Stopped { may_have_run: true, .. } if !spec.idempotent => {
            Some(JobOutcome::Unknown { reason: "it was stopped after it may have started".to_owned() })
        }
        End::Stopped { .. } => None,
    }
}
