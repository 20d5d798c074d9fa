//! One attempt to run a gang: reserve, record, commit, watch and end.

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

/// Time for one call to an agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two looks at a gang behind the barrier.
const BARRIER_POLL: Duration = Duration::from_millis(20);

/// Time between two looks at a running gang.
const RUNNING_POLL: Duration = Duration::from_millis(250);

/// Time between two tries of a reservation while others yield.
const YIELD_POLL: Duration = Duration::from_millis(50);

/// Margin on top of the time within which others yield.
const YIELD_MARGIN: Duration = Duration::from_millis(2_000);

/// Time between two tries to record an outcome while the log is down.
const RECORD_RETRY: Duration = Duration::from_millis(500);

/// Time without a word of the claimant after which a recorded job's gang stops, in milliseconds.
const LOGGED_CLAIM_LEASE_MS: Millis = 60_000;

/// Time without a word of the entry after which an attached job's gang stops, in milliseconds.
const ATTACHED_CLAIM_LEASE_MS: Millis = 5_000;

/// Leases after which a gang with a fenced member has stopped everywhere.
const LEASES_TO_SETTLE: u32 = 2;

/// Failed attempts after which an idempotent job fails for good.
const ATTEMPTS: u16 = 3;

/// Where a job comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The log, claimed at an offset.
    Logged {
        /// Offset of the claim.
        claim: u64,
        /// The greatest epoch recorded.
        last_epoch: Epoch,
    },
    /// A caller that waits for it.
    Attached,
}

/// A job whose caller waits for it; it is not on the log.
pub struct Attached {
    /// What was asked for.
    pub spec: JobSpec,
    /// When the caller came, in milliseconds since 1970.
    pub since_ms: Millis,
    /// Whether an attempt got past its reservation.
    pub started: bool,
    /// Where the final outcome goes; `None` once it was sent.
    pub answered: Option<oneshot::Sender<JobOutcome>>,
}

impl Attached {
    /// Returns whether the job still waits for its gang.
    pub fn waits(&self) -> bool {
        !self.started && self.answered.is_some()
    }
}

/// How an attempt ended.
enum End {
    /// Every task finished.
    Done,
    /// A task failed.
    Failed(String),
    /// The gang was stopped; what ran is kept.
    Stopped {
        done_ms: Millis,
        /// Whether some member may have started.
        may_have_run: bool,
        /// Whether somebody asked to cancel it.
        cancelled: bool,
    },
}

/// A gang at its members.
struct Gang<'a> {
    job: &'a JobId,
    epoch: Epoch,
    members: Vec<Peer>,
    commit_point: Peer,
    source: Source,
}

impl Entry {
    /// Tries once to run a waiting job on `placement`.
    pub(super) async fn attempt(
        &self,
        job: &JobId,
        spec: &JobSpec,
        source: Source,
        placement: &Placement,
        cause: Option<Cause>,
        done_ms: Millis,
    ) {
        let Some(gang) = self.gang(job, source, placement) else { return };
        log::info!(job = job.as_str(); "reserves epoch {} on {} workers", gang.epoch, gang.members.len());
        if !self.reserve_all(&gang, spec, placement, cause, done_ms).await {
            self.stop_all(&gang).await;
            return;
        }
        if !self.record_placed(&gang, placement).await {
            log::warn!(job = job.as_str(); "epoch {} is not on the log and is given up", gang.epoch);
            self.stop_all(&gang).await;
            return;
        }
        self.metrics.count_job_event("placed");
        let end = match self.commit(&gang).await {
            true => self.watch(&gang).await,
            false => self.settle(&gang).await,
        };
        self.conclude(&gang, spec, end).await;
    }

    /// Looks after a gang that another entry, or an earlier life of this one, recorded.
    pub(super) async fn watch_adopted(&self, job: &JobId, spec: &JobSpec, placed: &RecordedAttempt) {
        let peer = |worker: &WorkerId| Peer { worker: worker.clone(), address: self.agent_address(worker) };
        let gang = Gang {
            job,
            epoch: placed.epoch,
            members: placed.placement.keys().map(peer).collect(),
            commit_point: peer(&placed.commit_point),
            source: Source::Logged { claim: 0, last_epoch: placed.epoch },
        };
        log::info!(job = job.as_str(); "takes over epoch {}", gang.epoch);
        let end = self.watch(&gang).await;
        self.conclude(&gang, spec, end).await;
    }

    fn gang<'a>(&self, job: &'a JobId, source: Source, placement: &Placement) -> Option<Gang<'a>> {
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

    /// Returns where a worker's agent listens now; empty if it is not known.
    fn agent_address(&self, worker: &WorkerId) -> String {
        let fleet = lock(&self.fleet);
        fleet.rows().get(worker).map(|row| row.report.address.clone()).unwrap_or_default()
    }

    /// Returns the life of a worker's agent that this entry knows.
    fn agent_life(&self, worker: &WorkerId) -> u64 {
        lock(&self.fleet).rows().get(worker).map_or(0, |row| row.incarnation)
    }

    /// Reserves the members in order of name, so that competing gangs cannot hold each other up in a circle.
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
                incarnation: self.agent_life(&member.worker),
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
            let asked = reserve.clone();
            let call = self.agents.call(&member.address, |agent| async move {
                agent.reserve(call_context(CALL_TIMEOUT), asked).await
            });
            match call.await {
                Ok(ReserveReply::Held) => return true,
                Ok(ReserveReply::Yielding { within_ms }) => {
                    if deadline <= Instant::now() {
                        deadline = Instant::now() + Duration::from_millis(within_ms) + YIELD_MARGIN;
                    }
                }
                Ok(reply) => {
                    log::debug!(job = reserve.job.as_str(); "{} answers {reply:?}", member.worker);
                    // Room that is being vacated may be free a moment later.
                    if !matches!(reply, ReserveReply::Busy { .. }) || deadline <= Instant::now() {
                        return false;
                    }
                }
                Err(e) => {
                    log::debug!(job = reserve.job.as_str(); "{} is not reserved: {e}", member.worker);
                    return false;
                }
            }
            tokio::time::sleep(YIELD_POLL).await;
        }
    }

    /// Records the attempt, so that whoever adopts the job knows where to ask.
    async fn record_placed(&self, gang: &Gang<'_>, placement: &Placement) -> bool {
        if gang.source == Source::Attached {
            return match lock(&self.attached).get_mut(gang.job) {
                Some(attached) if attached.waits() => {
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
            log::warn!(job = gang.job.as_str(); "attempt is not recorded: {e}");
            return false;
        }
        let placed = self.with_fold(|fold| match fold.jobs.get(gang.job).map(|job| &job.stage) {
            Some(Stage::Placed(placed)) => placed.epoch == gang.epoch,
            _ => false,
        });
        placed == Some(true)
    }

    /// Asks the commit point until the gang goes; false once it cannot go any more.
    async fn commit(&self, gang: &Gang<'_>) -> bool {
        let deadline = Instant::now() + self.settings.agent.lease * LEASES_TO_SETTLE;
        while Instant::now() < deadline {
            let (job, epoch) = (gang.job.clone(), gang.epoch);
            let call = self.agents.call(&gang.commit_point.address, |agent| async move {
                agent.commit(call_context(CALL_TIMEOUT), job, epoch).await
            });
            match call.await {
                Ok(Some(GangState::Committed | GangState::Done)) => return true,
                Ok(Some(GangState::Stopped) | None) => return false,
                Ok(Some(GangState::Gathering)) => {}
                Err(e) => log::debug!(job = gang.job.as_str(); "commit is not answered: {e}"),
            }
            tokio::time::sleep(BARRIER_POLL).await;
        }
        // It may have gone meanwhile: the watch finds out.
        true
    }

    /// Watches a gang to its end.
    async fn watch(&self, gang: &Gang<'_>) -> End {
        let mut answered = Instant::now();
        loop {
            if self.is_cancelled(gang) {
                let end = self.settle(gang).await;
                return match end {
                    End::Stopped { done_ms, may_have_run, .. } => {
                        End::Stopped { done_ms, may_have_run, cancelled: true }
                    }
                    other => other,
                };
            }
            match self.ask_status(gang).await {
                Some(status) => {
                    answered = Instant::now();
                    match status.gang.filter(|(epoch, _)| *epoch == gang.epoch).map(|(_, state)| state) {
                        Some(GangState::Done) => return End::Done,
                        Some(GangState::Committed) => {}
                        Some(GangState::Gathering | GangState::Stopped) | None => {
                            return self.settle(gang).await;
                        }
                    }
                }
                None if answered.elapsed() > self.silence_bound(gang) => return self.settle(gang).await,
                None => {}
            }
            tokio::time::sleep(RUNNING_POLL).await;
        }
    }

    /// Returns the silence of the commit point after which the gang has stopped, or another member may tell.
    fn silence_bound(&self, gang: &Gang<'_>) -> Duration {
        if gang.members.len() > 1 {
            return self.settings.agent.lease * LEASES_TO_SETTLE;
        }
        let claim_lease_ms = match gang.source {
            Source::Logged { .. } => LOGGED_CLAIM_LEASE_MS,
            Source::Attached => ATTACHED_CLAIM_LEASE_MS,
        };
        Duration::from_millis(claim_lease_ms) + self.settings.agent.lease
    }

    async fn ask_status(&self, gang: &Gang<'_>) -> Option<GangStatus> {
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

    /// Fences the gang at every member that answers, until no member can be running it any more.
    async fn settle(&self, gang: &Gang<'_>) -> End {
        let mut statuses = self.stop_all(gang).await;
        let commit_status = statuses.get(&gang.commit_point.worker).cloned();
        if statuses.len() < gang.members.len() {
            // Silent members stop when their lease ends: a fenced member breaks the gang.
            let bound = match statuses.is_empty() {
                true => self.silence_bound(gang),
                false => self.settings.agent.lease * LEASES_TO_SETTLE,
            };
            tokio::time::sleep(bound).await;
            statuses.extend(self.stop_all(gang).await);
        }
        let own = commit_status.as_ref().filter(|status| status.gang.map(|(e, _)| e) == Some(gang.epoch));
        if let Some(status) = own {
            if status.gang.map(|(_, state)| state) == Some(GangState::Done) {
                return End::Done;
            }
            if let Some(reason) = &status.failed {
                return End::Failed(reason.clone());
            }
        }
        let may_have_run = own.is_none_or(|status| status.ever_committed);
        let all = statuses.len() == gang.members.len();
        let least = statuses.values().map(|status| status.done_ms).min();
        let done_ms = least.filter(|_| all).unwrap_or_default();
        End::Stopped { done_ms, may_have_run, cancelled: false }
    }

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

    /// Records how the attempt ended, again and again while the log is down.
    async fn conclude(&self, gang: &Gang<'_>, spec: &JobSpec, end: End) {
        self.judge_members(gang, &end);
        let attempts = lock(&self.epochs).attempts(gang.job);
        let outcome = outcome_of(&end, spec, attempts);
        match &outcome {
            Some(outcome) => log::info!(job = gang.job.as_str(); "epoch {} ends: {outcome:?}", gang.epoch),
            None => log::info!(job = gang.job.as_str(); "epoch {} stops and the job waits again", gang.epoch),
        }
        self.metrics.count_job_event(if outcome.is_some() { "ended" } else { "requeued" });
        if gang.source == Source::Attached {
            self.answer_attached(gang.job, outcome);
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

    async fn record_until_folded(&self, gang: &Gang<'_>, record: Record) {
        loop {
            let open = self.with_fold(|fold| match fold.jobs.get(gang.job).map(|job| &job.stage) {
                Some(Stage::Placed(placed)) => placed.epoch == gang.epoch,
                _ => false,
            });
            if open != Some(true) {
                return;
            }
            if let Err(e) = self.write(vec![record.clone()]).await {
                log::debug!(job = gang.job.as_str(); "outcome is not recorded yet: {e}");
                tokio::time::sleep(RECORD_RETRY).await;
            }
        }
    }

    fn judge_members(&self, gang: &Gang<'_>, end: &End) {
        let mut fleet = lock(&self.fleet);
        match end {
            End::Done => gang.members.iter().for_each(|member| fleet.judge(&member.worker, true)),
            End::Failed(reason) => {
                // The reason names the worker; the others did not fail anything.
                let failed = gang.members.iter().filter(|m| reason.contains(m.worker.as_str()));
                failed.for_each(|member| fleet.judge(&member.worker, false));
            }
            End::Stopped { .. } => {}
        }
    }

    fn answer_attached(&self, job: &JobId, outcome: Option<JobOutcome>) {
        let mut table = lock(&self.attached);
        let Some(attached) = table.get_mut(job) else { return };
        match outcome {
            None => attached.started = false,
            Some(outcome) => {
                if let Some(answer) = attached.answered.take() {
                    // A caller that went away needs no answer.
                    let _ = answer.send(outcome);
                }
                table.remove(job);
            }
        }
    }

    /// Ends waiting jobs that were cancelled before they ran.
    pub(super) async fn write_cancelled(&self, jobs: &[JobId]) {
        let ended = |job: &JobId| Record::Ended {
            job: job.clone(),
            epoch: Epoch::default(),
            outcome: JobOutcome::NotRun { reason: "cancelled".to_owned() },
        };
        match self.write(jobs.iter().map(ended).collect()).await {
            Ok(()) => log::info!("{} cancelled jobs ended before they ran", jobs.len()),
            Err(e) => log::debug!("cancelled jobs are not ended yet: {e}"),
        }
    }
}

/// Returns the final outcome that an end means, or `None` when the job waits again.
fn outcome_of(end: &End, spec: &JobSpec, attempts: u16) -> Option<JobOutcome> {
    match end {
        End::Done => Some(JobOutcome::Done),
        End::Failed(_) if spec.idempotent && attempts < ATTEMPTS => None,
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
