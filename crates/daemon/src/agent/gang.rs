//! Gangs on this worker: reservation, renewal, start, end and stop.

use std::sync::Arc;
use std::time::Duration;

use sorrelland_core::id::JobId;
use sorrelland_core::policy::Millis;
use sorrelland_lease::{Epoch, Phase, RenewalReply};
use sorrelland_wire::agent::{AgentConfig, Renew, Reserve, ReserveReply};
use sorrelland_wire::connect::call_context;

use crate::agent::Agent;
use crate::agent::authority::Grant;
use crate::agent::worker::{Task, TaskSpec, TaskState};
use crate::sync::lock;

/// Time between two looks at the holds.
const GANG_TICK: Duration = Duration::from_millis(50);

/// Time between two renewals behind the barrier, in milliseconds.
const BARRIER_RENEW_MS: Millis = 100;

/// Renewals within one lease while the tasks run.
const RENEWALS_A_LEASE: Millis = 3;

/// Time between two looks at the worker's tasks.
const TASK_TICK: Duration = Duration::from_millis(200);

/// Time for a renewal's answer.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Agent {
    pub(super) fn reserve(self: &Arc<Self>, reserve: Reserve) -> ReserveReply {
        if reserve.incarnation != self.incarnation {
            return ReserveReply::OtherLife;
        }
        let now_ms = self.now_ms();
        let (reply, yielding) = lock(&self.authority).reserve(&reserve, now_ms);
        for job in yielding {
            log::info!(job = job.as_str(); "yields to {}", reserve.job);
            let agent = self.clone();
            tokio::spawn(async move { agent.yield_room(&job).await });
        }
        self.wake.notify_one();
        reply
    }

    pub(super) fn configure(&self, config: AgentConfig) -> u64 {
        let drained = config.drained;
        let offset = lock(&self.authority).configure(config);
        log::debug!("configuration {offset} is in force, drained: {drained}");
        offset
    }

    /// Stops tasks that an earlier life of this agent left on the worker.
    pub(super) async fn fence_leftovers(&self) {
        let Ok(tasks) = self.worker.tasks().await else { return };
        for task in tasks.iter().filter(|task| task.state == TaskState::Running) {
            log::warn!(job = task.spec.job.as_str(); "stops a task of an earlier life: {}", task.spec.task);
            let job = JobId::new(&task.spec.job);
            lock(&self.authority).fence(&job, Epoch(task.spec.epoch));
            self.stop_task(&job, &task.spec.task).await;
        }
    }

    /// Renews holds at their commit points and ends what has lapsed.
    pub(super) async fn gang_loop(self: Arc<Self>) {
        let mut ticks: u64 = 0;
        loop {
            let _ = tokio::time::timeout(GANG_TICK, self.wake.notified()).await;
            let now_ms = self.now_ms();
            let lapsed = lock(&self.authority).expire(now_ms);
            for grant in lapsed {
                log::warn!(job = grant.reserve.job.as_str(); "lease of epoch {} has ended", grant.reserve.epoch);
                let agent = self.clone();
                tokio::spawn(async move { agent.stop_tasks(&grant).await });
            }
            for renew in self.due_renewals(now_ms) {
                let agent = self.clone();
                tokio::spawn(async move { agent.renew_hold(renew).await });
            }
            ticks += 1;
            if ticks.is_multiple_of(1_000) {
                lock(&self.authority).forget(now_ms);
            }
        }
    }

    fn due_renewals(&self, now_ms: Millis) -> Vec<Renew> {
        let lease_ms = self.settings.agent.lease.as_millis() as Millis;
        let mut authority = lock(&self.authority);
        let phases: Vec<(JobId, Phase)> =
            authority.member.holds().iter().map(|(job, hold)| (job.clone(), hold.phase)).collect();
        let mut due = Vec::new();
        for (job, phase) in phases {
            let Some(grant) = authority.grants.get_mut(&job) else { continue };
            if now_ms < grant.renew_ms {
                continue;
            }
            let held = phase == Phase::Held;
            grant.renew_ms = now_ms + if held { BARRIER_RENEW_MS } else { lease_ms / RENEWALS_A_LEASE };
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
        let Some(verdict) = self.ask_commit_point(&renew).await else { return };
        let lease_ms = self.settings.agent.lease.as_millis() as Millis;
        let now_ms = self.now_ms();
        let (job, epoch) = (&renew.job, renew.epoch);
        match verdict {
            RenewalReply::Stop => self.fence(job, epoch).await,
            RenewalReply::Wait => {
                // A lapsed hold is ended by the loop; there is nothing to extend.
                let _ = lock(&self.authority).member.extend_lease(job, epoch, sent_ms, lease_ms, now_ms);
            }
            RenewalReply::Go if renew.finished => lock(&self.authority).release(job, epoch),
            RenewalReply::Go => {
                let starts = {
                    let mut authority = lock(&self.authority);
                    let renewed = authority.member.extend_lease(job, epoch, sent_ms, lease_ms, now_ms);
                    renewed.and_then(|()| authority.member.pass_barrier(job, epoch, now_ms))
                };
                match starts {
                    Ok(true) => self.start_tasks(job, epoch).await,
                    Ok(false) => self.extend_tasks(job, epoch, sent_ms + lease_ms).await,
                    Err(refusal) => log::warn!(job = job.as_str(); "may not go: {refusal}"),
                }
            }
        }
    }

    async fn ask_commit_point(&self, renew: &Renew) -> Option<RenewalReply> {
        let address = {
            let mut authority = lock(&self.authority);
            let grant = authority.grants.get(&renew.job)?;
            let point = grant.reserve.commit_point.clone();
            if point == self.worker_id {
                let now_ms = self.now_ms();
                return Some(authority.renew(renew, now_ms));
            }
            let members = &grant.reserve.members;
            members.iter().find(|member| member.worker == point)?.address.clone()
        };
        let renew = renew.clone();
        let call = self
            .peers
            .call(&address, |peer| async move { peer.renew(call_context(RENEW_TIMEOUT), renew).await });
        match call.await {
            Ok(verdict) => Some(verdict),
            Err(e) => {
                log::debug!("commit point at {address} does not answer: {e}");
                None
            }
        }
    }

    async fn start_tasks(&self, job: &JobId, epoch: Epoch) {
        let Some((grant, lease_end_ms)) = self.live_grant(job, epoch) else { return };
        log::info!(job = job.as_str(); "starts {} tasks of epoch {epoch}", grant.reserve.tasks);
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
                self.fail(job, epoch, format!("worker {} did not start a task: {e}", self.worker_id));
                return;
            }
        }
        let mut authority = lock(&self.authority);
        if let Some(grant) = authority.grants.get_mut(job).filter(|grant| grant.reserve.epoch == epoch) {
            grant.started = true;
            authority.report_number += 1;
        }
    }

    fn live_grant(&self, job: &JobId, epoch: Epoch) -> Option<(Grant, Millis)> {
        let authority = lock(&self.authority);
        let hold = authority.member.holds().get(job).filter(|hold| hold.epoch == epoch)?;
        let grant = authority.grants.get(job)?;
        Some((grant.clone(), hold.lease_end_ms))
    }

    async fn extend_tasks(&self, job: &JobId, epoch: Epoch, lease_end_ms: Millis) {
        let Some((grant, _)) = self.live_grant(job, epoch) else { return };
        if !grant.started {
            return;
        }
        for task in grant.tasks() {
            let lease_ms = lease_end_ms.saturating_sub(self.now_ms());
            if let Err(e) = self.worker.renew(&task, lease_ms).await {
                log::debug!(job = job.as_str(); "lease of {task} is not extended: {e}");
            }
        }
    }

    fn fail(&self, job: &JobId, epoch: Epoch, reason: String) {
        log::warn!(job = job.as_str(); "{reason}");
        let mut authority = lock(&self.authority);
        if let Some(grant) = authority.grants.get_mut(job).filter(|grant| grant.reserve.epoch == epoch) {
            grant.failed.get_or_insert(reason);
            grant.renew_ms = 0;
        }
        drop(authority);
        self.wake.notify_one();
    }

    /// Looks at the worker's tasks while gangs run.
    pub(super) async fn task_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TASK_TICK).await;
            let started: Vec<Grant> = {
                let authority = lock(&self.authority);
                authority.grants.values().filter(|grant| grant.started).cloned().collect()
            };
            if started.is_empty() {
                continue;
            }
            match self.worker.tasks().await {
                Ok(tasks) => started.iter().for_each(|grant| self.judge(grant, &tasks)),
                Err(e) => log::warn!("worker does not tell its tasks: {e}"),
            }
        }
    }

    fn judge(&self, grant: &Grant, tasks: &[Task]) {
        let (job, epoch) = (&grant.reserve.job, grant.reserve.epoch);
        let names = grant.tasks();
        let mine: Vec<&Task> = tasks.iter().filter(|task| names.contains(&task.spec.task)).collect();
        let ended = |state| mine.iter().any(|task| task.state == state);
        if ended(TaskState::Failed) {
            self.fail(job, epoch, format!("a task failed on worker {}", self.worker_id));
        } else if ended(TaskState::Lapsed) || ended(TaskState::Stopped) {
            self.fail(job, epoch, format!("a task was stopped on worker {}", self.worker_id));
        } else if mine.len() == names.len() && mine.iter().all(|task| task.state == TaskState::Done) {
            let now_ms = self.now_ms();
            let mut authority = lock(&self.authority);
            let finished = authority.member.mark_finished(job, epoch, now_ms);
            if finished.is_ok()
                && let Some(grant) = authority.grants.get_mut(job)
            {
                grant.started = false;
                grant.renew_ms = 0;
            }
            drop(authority);
            self.wake.notify_one();
        }
    }

    /// Gives the room of a gang back to whose guarantee it is.
    async fn yield_room(&self, job: &JobId) {
        let Some(grant) = lock(&self.authority).grants.get(job).cloned() else { return };
        let left_ms = grant.yield_ms.unwrap_or_default().saturating_sub(self.now_ms());
        self.checkpoint(&grant, Duration::from_millis(left_ms)).await;
        let point = &grant.reserve.commit_point;
        let epoch = grant.reserve.epoch;
        self.fence(job, epoch).await;
        let address = grant.reserve.members.iter().find(|m| m.worker == *point).map(|m| m.address.clone());
        if let Some(address) = address.filter(|_| *point != self.worker_id) {
            let job = job.clone();
            let call = self.peers.call(&address, |peer| async move {
                peer.stop(call_context(RENEW_TIMEOUT), job, epoch).await
            });
            if let Err(e) = call.await {
                log::debug!("commit point at {address} learns of the yield by its lease: {e}");
            }
        }
    }

    /// Fences an epoch and stops its tasks here.
    pub(super) async fn fence(&self, job: &JobId, epoch: Epoch) {
        let grant = lock(&self.authority).fence(job, epoch);
        if let Some(grant) = grant {
            log::info!(job = job.as_str(); "stops epoch {epoch}");
            self.stop_tasks(&grant).await;
        }
    }

    async fn stop_tasks(&self, grant: &Grant) {
        if grant.reserve.preemptible {
            self.checkpoint(grant, RENEW_TIMEOUT).await;
        }
        for task in grant.tasks() {
            self.stop_task(&grant.reserve.job, &task).await;
        }
    }

    async fn stop_task(&self, job: &JobId, task: &str) {
        if let Err(e) = self.worker.stop(task).await {
            log::warn!(job = job.as_str(); "stop of {task} is left to the worker's lease: {e}");
        }
    }

    /// Checkpoints the tasks of a gang and records the least run time kept.
    async fn checkpoint(&self, grant: &Grant, grace: Duration) {
        if !grant.started {
            return;
        }
        let kept = tokio::time::timeout(grace, async {
            let mut least = Millis::MAX;
            for task in grant.tasks() {
                least = least.min(self.worker.checkpoint(&task).await.ok()?);
            }
            Some(least)
        });
        if let Ok(Some(done_ms)) = kept.await {
            let now_ms = self.now_ms();
            lock(&self.authority).keep(&grant.reserve.job, done_ms, now_ms);
        }
    }
}
