//! Gangs on this worker: reservation, lease renewal, and start, polling and stop of their tasks.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sorrelland_core::id::JobId;
use sorrelland_core::policy::Millis;
use sorrelland_lease::{Epoch, Phase, RenewalReply};
use sorrelland_web::client::Error;
use sorrelland_wire::agent::{AgentConfig, Renew, Reserve, ReserveReply};
use sorrelland_wire::connect::call_context;

use crate::agent::Agent;
use crate::agent::authority::Grant;
use crate::agent::worker::{Task, TaskSpec, TaskState};
use crate::sync::lock;

/// Interval of the check for expired holds and due renewals; reservations, commits and ends wake it earlier.
const GANG_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of renewals behind the barrier; their replies tell the member that the gang is committed.
const HELD_RENEWAL_INTERVAL_MS: Millis = 100;

/// Renewals in one lease period after the barrier.
const RENEWALS_PER_LEASE: Millis = 3;

const TASK_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time-out of a call to another agent, and of the checkpoint before a stop.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Agent {
    pub(super) fn reserve(self: &Arc<Self>, reserve: Reserve) -> ReserveReply {
        if reserve.incarnation != self.incarnation {
            return ReserveReply::OtherLife;
        }
        let now_ms = self.now_ms();
        let (reply, yielding) = lock(&self.authority).reserve(&reserve, now_ms);
        for job in yielding {
            log::info!(job = job.as_str(); "yielding to {}", reserve.job);
            let agent = self.clone();
            tokio::spawn(async move { agent.yield_resources(&job).await });
        }
        self.gang_wake.notify_one();
        reply
    }

    pub(super) fn configure(&self, config: AgentConfig) -> u64 {
        let drained = config.drained;
        let offset = lock(&self.authority).configure(config);
        log::debug!("configuration {offset} is in force, drained: {drained}");
        offset
    }

    /// Stops running tasks that an earlier incarnation of this agent started, and fences their epochs.
    pub(super) async fn stop_orphaned_tasks(&self) {
        let Ok(tasks) = self.worker.tasks().await else { return };
        for task in tasks.iter().filter(|task| task.state == TaskState::Running) {
            log::warn!(job = task.spec.job.as_str(); "stopping a task of an earlier incarnation: {}", task.spec.task);
            let job = JobId::new(&task.spec.job);
            lock(&self.authority).fence(&job, Epoch(task.spec.epoch));
            self.stop_task(&job, &task.spec.task).await;
        }
    }

    /// Renews holds at their commit points and stops the tasks of expired ones.
    pub(super) async fn gang_loop(self: Arc<Self>) {
        let mut ticks: u64 = 0;
        loop {
            let _ = tokio::time::timeout(GANG_CHECK_INTERVAL, self.gang_wake.notified()).await;
            let now_ms = self.now_ms();
            let expired = lock(&self.authority).expire(now_ms);
            for grant in expired {
                log::warn!(job = grant.reserve.job.as_str(); "lease of epoch {} has expired", grant.reserve.epoch);
                let agent = self.clone();
                tokio::spawn(async move { agent.stop_tasks(&grant).await });
            }
            for renew in self.collect_due_renewals(now_ms) {
                let agent = self.clone();
                tokio::spawn(async move { agent.renew_hold(renew).await });
            }
            ticks += 1;
            if ticks.is_multiple_of(1_000) {
                lock(&self.authority).remove_old_records(now_ms);
            }
        }
    }

    fn collect_due_renewals(&self, now_ms: Millis) -> Vec<Renew> {
        let lease_ms = self.settings.agent.lease.as_millis() as Millis;
        let mut authority = lock(&self.authority);
        let phases: Vec<(JobId, Phase)> =
            authority.member.holds().iter().map(|(job, hold)| (job.clone(), hold.phase)).collect();
        let mut due = Vec::new();
        for (job, phase) in phases {
            let Some(grant) = authority.grants.get_mut(&job) else { continue };
            if now_ms < grant.renewal_due_ms {
                continue;
            }
            let held = phase == Phase::Held;
            grant.renewal_due_ms =
                now_ms + if held { HELD_RENEWAL_INTERVAL_MS } else { lease_ms / RENEWALS_PER_LEASE };
            due.push(Renew {
                job,
                epoch: grant.reserve.epoch,
                member: self.worker_id.clone(),
                finished: phase == Phase::Finished,
                failed: grant.failed.clone(),
            });
        }
        due
    }

    async fn renew_hold(self: Arc<Self>, renew: Renew) {
        let sent_ms = self.now_ms();
        let Some(reply) = self.call_commit_point(&renew).await else { return };
        let lease_ms = self.settings.agent.lease.as_millis() as Millis;
        let now_ms = self.now_ms();
        let (job, epoch) = (&renew.job, renew.epoch);
        match reply {
            RenewalReply::Stop => self.fence(job, epoch).await,
            RenewalReply::Wait => {
                // An error means that the hold has ended; the gang loop stops the tasks of an expired one.
                let _ = lock(&self.authority).member.extend_lease(job, epoch, sent_ms, lease_ms, now_ms);
            }
            RenewalReply::Go if renew.finished => lock(&self.authority).release(job, epoch),
            RenewalReply::Go => {
                let must_start = {
                    let mut authority = lock(&self.authority);
                    let renewed = authority.member.extend_lease(job, epoch, sent_ms, lease_ms, now_ms);
                    renewed.and_then(|()| authority.member.pass_barrier(job, epoch, now_ms))
                };
                match must_start {
                    Ok(true) => self.start_tasks(job, epoch).await,
                    Ok(false) => self.renew_task_leases(job, epoch, sent_ms + lease_ms).await,
                    Err(refusal) => log::warn!(job = job.as_str(); "tasks must not run: {refusal}"),
                }
            }
        }
    }

    async fn call_commit_point(&self, renew: &Renew) -> Option<RenewalReply> {
        let address = {
            let mut authority = lock(&self.authority);
            let grant = authority.grants.get(&renew.job)?;
            let commit_point = grant.reserve.commit_point.clone();
            if commit_point == self.worker_id {
                let now_ms = self.now_ms();
                return Some(authority.renew(renew, now_ms));
            }
            let members = &grant.reserve.members;
            members.iter().find(|member| member.worker == commit_point)?.address.clone()
        };
        let renew = renew.clone();
        let call = self
            .peers
            .call(&address, |peer| async move { peer.renew(call_context(CALL_TIMEOUT), renew).await });
        match call.await {
            Ok(reply) => Some(reply),
            Err(e) => {
                log::debug!("no reply from the commit point at {address}: {e}");
                None
            }
        }
    }

    async fn start_tasks(&self, job: &JobId, epoch: Epoch) {
        let Some((grant, lease_end_ms)) = self.current_grant(job, epoch) else { return };
        log::info!(job = job.as_str(); "starting {} tasks of epoch {epoch}", grant.reserve.tasks);
        let work = serde_json::from_str(&grant.reserve.work).unwrap_or_default();
        for task in grant.tasks() {
            let spec = TaskSpec {
                task,
                job: job.as_str().to_owned(),
                epoch: epoch.0,
                accelerators: grant.reserve.per_task.accelerators,
                lease_ms: lease_end_ms.saturating_sub(self.now_ms()),
                done_ms: grant.reserve.done_ms,
                work: serde_json::Value::clone(&work),
            };
            if let Err(e) = self.worker.start(&spec).await {
                self.record_failure(
                    job,
                    epoch,
                    format!("worker {} did not start a task: {e}", self.worker_id),
                );
                return;
            }
        }
        let mut authority = lock(&self.authority);
        if let Some(grant) = authority.grants.get_mut(job).filter(|grant| grant.reserve.epoch == epoch) {
            grant.started = true;
            authority.report_number += 1;
        }
    }

    fn current_grant(&self, job: &JobId, epoch: Epoch) -> Option<(Grant, Millis)> {
        let authority = lock(&self.authority);
        let hold = authority.member.holds().get(job).filter(|hold| hold.epoch == epoch)?;
        let grant = authority.grants.get(job)?;
        Some((grant.clone(), hold.lease_end_ms))
    }

    async fn renew_task_leases(&self, job: &JobId, epoch: Epoch, lease_end_ms: Millis) {
        let Some((grant, _)) = self.current_grant(job, epoch) else { return };
        if !grant.started {
            return;
        }
        for task in grant.tasks() {
            let lease_ms = lease_end_ms.saturating_sub(self.now_ms());
            if let Err(e) = self.worker.renew(&task, lease_ms).await {
                log::debug!(job = job.as_str(); "lease of task {task} was not renewed: {e}");
            }
        }
    }

    fn record_failure(&self, job: &JobId, epoch: Epoch, reason: String) {
        log::warn!(job = job.as_str(); "{reason}");
        let mut authority = lock(&self.authority);
        if let Some(grant) = authority.grants.get_mut(job).filter(|grant| grant.reserve.epoch == epoch) {
            grant.failed.get_or_insert(reason);
            grant.renewal_due_ms = 0;
        }
        drop(authority);
        self.gang_wake.notify_one();
    }

    /// Polls the worker's tasks while gangs run.
    pub(super) async fn task_poll_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TASK_POLL_INTERVAL).await;
            let started: Vec<Grant> = {
                let authority = lock(&self.authority);
                authority.grants.values().filter(|grant| grant.started).cloned().collect()
            };
            if started.is_empty() {
                continue;
            }
            match self.worker.tasks().await {
                Ok(tasks) => started.iter().for_each(|grant| self.apply_task_states(grant, &tasks)),
                Err(e) => log::warn!("cannot fetch the worker's tasks: {e}"),
            }
        }
    }

    fn apply_task_states(&self, grant: &Grant, tasks: &[Task]) {
        let (job, epoch) = (&grant.reserve.job, grant.reserve.epoch);
        let names = grant.tasks();
        let gang_tasks: Vec<&Task> = tasks.iter().filter(|task| names.contains(&task.spec.task)).collect();
        let any_in = |state| gang_tasks.iter().any(|task| task.state == state);
        if any_in(TaskState::Failed) {
            self.record_failure(job, epoch, format!("a task failed on worker {}", self.worker_id));
        } else if any_in(TaskState::Lapsed) || any_in(TaskState::Stopped) {
            self.record_failure(job, epoch, format!("a task was stopped on worker {}", self.worker_id));
        } else if gang_tasks.len() == names.len()
            && gang_tasks.iter().all(|task| task.state == TaskState::Done)
        {
            let now_ms = self.now_ms();
            let mut authority = lock(&self.authority);
            let finished = authority.member.mark_finished(job, epoch, now_ms);
            if finished.is_ok()
                && let Some(grant) = authority.grants.get_mut(job)
            {
                grant.started = false;
                grant.renewal_due_ms = 0;
            }
            drop(authority);
            self.gang_wake.notify_one();
        }
    }

    /// Checkpoints a gang within its grace period, stops its tasks here and stops it at its commit point.
    async fn yield_resources(&self, job: &JobId) {
        let Some(grant) = lock(&self.authority).grants.get(job).cloned() else { return };
        let remaining_ms = grant.yield_deadline_ms.unwrap_or_default().saturating_sub(self.now_ms());
        self.checkpoint(&grant, Duration::from_millis(remaining_ms)).await;
        let commit_point = &grant.reserve.commit_point;
        let epoch = grant.reserve.epoch;
        let address =
            grant.reserve.members.iter().find(|m| m.worker == *commit_point).map(|m| m.address.clone());
        let notify_commit_point = async {
            let Some(address) = address.filter(|_| *commit_point != self.worker_id) else { return };
            let job = job.clone();
            let call = self.peers.call(&address, |peer| async move {
                peer.stop(call_context(CALL_TIMEOUT), job, epoch).await
            });
            if let Err(e) = call.await {
                log::debug!(
                    "commit point at {address} was not notified and stops the gang when the lease expires: {e}"
                );
            }
        };
        // The stop takes as long as the lease if the worker does not answer.
        tokio::join!(self.fence(job, epoch), notify_commit_point);
    }

    /// Fences an epoch and all older ones, and stops their tasks on this worker.
    pub(super) async fn fence(&self, job: &JobId, epoch: Epoch) {
        let grant = lock(&self.authority).fence(job, epoch);
        if let Some(grant) = grant {
            log::info!(job = job.as_str(); "stopping epoch {epoch}");
            self.stop_tasks(&grant).await;
            lock(&self.authority).record_stopped(job, grant.reserve.epoch);
        }
    }

    /// Stops the tasks of a fenced gang; returns once the worker has confirmed it or their lease is over.
    async fn stop_tasks(&self, grant: &Grant) {
        if grant.reserve.preemptible {
            self.checkpoint(grant, CALL_TIMEOUT).await;
        }
        let (job, epoch) = (&grant.reserve.job, grant.reserve.epoch);
        for task in grant.tasks() {
            while !self.stop_task(job, &task).await && lock(&self.authority).is_stopping(job, epoch) {
                tokio::time::sleep(TASK_POLL_INTERVAL).await;
            }
        }
    }

    /// Stops a task; returns whether the worker no longer runs it.
    async fn stop_task(&self, job: &JobId, task: &str) -> bool {
        match self.worker.stop(task).await {
            Ok(()) | Err(Error::Status { status: StatusCode::NOT_FOUND, .. }) => true,
            Err(e) => {
                log::warn!(job = job.as_str(); "task {task} was not stopped and runs until its lease expires: {e}");
                false
            }
        }
    }

    /// Checkpoints the tasks of a gang and records the least run time preserved, if all succeed within `grace`.
    async fn checkpoint(&self, grant: &Grant, grace: Duration) {
        if !grant.started {
            return;
        }
        let checkpoints = tokio::time::timeout(grace, async {
            let mut min_done_ms = Millis::MAX;
            for task in grant.tasks() {
                min_done_ms = min_done_ms.min(self.worker.checkpoint(&task).await.ok()?);
            }
            Some(min_done_ms)
        });
        if let Ok(Some(done_ms)) = checkpoints.await {
            let now_ms = self.now_ms();
            lock(&self.authority).record_checkpoint(&grant.reserve.job, done_ms, now_ms);
        }
    }
}
