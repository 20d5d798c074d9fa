//! Submits jobs to the planner and waits until they are stored, or answers with "not run" while the store is away.

use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelland_fleet::Resources;
use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::planner::Admission;

use crate::absence::{outage_rest_ms, spread_retry_ms};
use crate::active_planner::ActivePlanner;
use crate::callers::MAX_WAIT_MS;
use crate::calls::PlannerReply as Reply;
use crate::clock::{now_ms, wall_ms};
use crate::{lock, metrics};

/// Time after which a caller may submit a job again that a cancel may have preceded, in milliseconds: by then all entries
/// know the new leader.
const RESUBMIT_MS: u64 = 500;

impl ActivePlanner {
    /// Submits a job of a call and waits at most `wait` until it is stored. A job that can't be stored is withdrawn if no
    /// append contains it yet.
    pub(crate) async fn submit(
        &self,
        sub: &Submission,
        call: u64,
        known_epoch: Option<u64>,
        wait: Duration,
    ) -> Reply {
        if self.may_have_lost_cancel(known_epoch) && !lock(&self.planner).knows(&sub.job) {
            return self.reject_older_than_cancels(sub, call, known_epoch);
        }
        let is_answered = lock(&self.answered_calls).contains(call);
        if is_answered {
            return self.not_run(sub, call, "answered_before");
        }
        if *self.store_unavailable.borrow() && !lock(&self.planner).knows(&sub.job) {
            return self.not_run(sub, call, "store_unavailable");
        }
        let admission = lock(&self.planner).submit(now_ms(), wall_ms(), sub);
        let change = match admission {
            Admission::Refused { reason, retry_after_ms } => {
                return self.confirm_refusal(sub, call, reason, retry_after_ms, wait).await;
            }
            Admission::Accepted { change } => change,
        };
        // The pass places the job, so that one append stores both the job and its placement.
        self.request_pass(change);
        let deadline = tokio::time::Instant::now() + wait;
        let mut unavailable = self.store_unavailable.subscribe();
        let is_stored = tokio::select! {
            is_stored = self.wait_stored(change, wait) => is_stored,
            // The sender exists as long as this planner.
            Ok(_) = unavailable.wait_for(|unavailable| *unavailable) => false,
        };
        // Another attempt of the caller may have withdrawn the job.
        if is_stored && self.is_job_stored(sub) {
            return self.accept(sub);
        }
        if is_stored && lock(&self.planner).knows(&sub.job) {
            // It was submitted anew, and that is not stored yet.
            return Reply::Unresolved;
        }
        if is_stored || lock(&self.planner).withdraw(&sub.job) {
            // The next leader may accept it at once.
            return if self.has_stepped_down() {
                Reply::NotPlanner(None)
            } else {
                self.not_run(sub, call, "withdrawn")
            };
        }
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        if self.has_stepped_down() || !self.wait_stored(change, left).await {
            // The append may have been carried out even if the leadership has ended.
            return Reply::Unresolved;
        }
        match self.is_job_stored(sub) {
            true => self.accept(sub),
            // Another attempt has withdrawn it meanwhile, and may have submitted it anew.
            false => Reply::Unresolved,
        }
    }

    /// Returns whether a submission may have arrived while a leader of an earlier build led, which answers the cancel of a job
    /// that it doesn't know and stores nothing.
    fn may_have_lost_cancel(&self, known_epoch: Option<u64>) -> bool {
        let since = self.cancels_stored_since.load(Ordering::Relaxed);
        match known_epoch {
            Some(epoch) => epoch < since,
            // An entry of an earlier build; it retries a submission for as long as a caller waits.
            None => since == self.leader.epoch && now_ms() < self.started_at + MAX_WAIT_MS,
        }
    }

    /// Answers that a job has not run and will not, since a cancel of it may have been answered without being stored.
    fn reject_older_than_cancels(&self, sub: &Submission, call: u64, known_epoch: Option<u64>) -> Reply {
        const REASON: &str = "older_than_cancels";
        lock(&self.answered_calls).record(now_ms(), call);
        metrics::count_not_run(REASON);
        log::info!(
            "event=not_run job={} epoch={} reason={REASON} known_epoch={known_epoch:?} retry_after_ms={RESUBMIT_MS} \
             why=\"it may have been cancelled at a leader of an earlier build\"",
            sub.job,
            self.leader.epoch
        );
        Reply::NotRun { retry_after_ms: RESUBMIT_MS }
    }

    /// Returns whether the job of a submission is stored and was not withdrawn.
    fn is_job_stored(&self, sub: &Submission) -> bool {
        lock(&self.planner).state(&sub.job).is_some()
    }

    fn accept(&self, sub: &Submission) -> Reply {
        log::info!(
            "event=accepted job={} queue={} account={} priority={} epoch={} {}",
            sub.job,
            sub.queue,
            sub.account,
            self.priority(sub),
            self.leader.epoch,
            shape(sub)
        );
        Reply::Accepted
    }

    /// Refuses a job once it is certain, at most `wait` from now, that no later leader has accepted it for an earlier
    /// attempt.
    async fn confirm_refusal(
        &self,
        sub: &Submission,
        call: u64,
        why: String,
        retry_after_ms: u64,
        wait: Duration,
    ) -> Reply {
        let mut unavailable = self.store_unavailable.subscribe();
        let is_confirmed = tokio::select! {
            is_confirmed = self.confirm_leadership(wait) => is_confirmed,
            // The sender exists as long as this planner.
            Ok(_) = unavailable.wait_for(|unavailable| *unavailable) => return self.not_run(sub, call, "store_unavailable"),
        };
        match is_confirmed {
            true => self.refuse(sub, call, why, retry_after_ms),
            false if self.has_stepped_down() => Reply::NotPlanner(None),
            false => Reply::Unresolved,
        }
    }

    fn refuse(&self, sub: &Submission, call: u64, why: String, retry_after_ms: u64) -> Reply {
        lock(&self.answered_calls).record(now_ms(), call);
        let value = lock(&self.planner).value_in_time(sub);
        log::info!(
            "event=refused job={} queue={} account={} priority={} value={value:.2} epoch={} \
             retry_after_ms={retry_after_ms} why=\"{why}\"",
            sub.job,
            sub.queue,
            sub.account,
            self.priority(sub),
            self.leader.epoch
        );
        Reply::Refused { why, retry_after_ms }
    }

    /// Answers that a job has not run and will not, since the store doesn't answer or an earlier attempt was answered so.
    fn not_run(&self, sub: &Submission, call: u64, reason: &'static str) -> Reply {
        lock(&self.answered_calls).record(now_ms(), call);
        metrics::count_not_run(reason);
        let failing_ms = self.append_failing_ms();
        let retry_after_ms = spread_retry_ms(outage_rest_ms(failing_ms), &sub.job, self.priority(sub));
        log::info!(
            "event=not_run job={} epoch={} reason={reason} failing_ms={failing_ms} retry_after_ms={retry_after_ms}",
            sub.job,
            self.leader.epoch
        );
        Reply::NotRun { retry_after_ms }
    }

    fn priority(&self, sub: &Submission) -> u32 {
        lock(&self.planner).priority(&sub.queue)
    }
}

/// Formats the size and options of a job for the logs.
fn shape(sub: &Submission) -> String {
    let step = |step: &Step| {
        let flags = [
            (step.gang, "gang"),
            (step.prefers_one_rack, "one_rack"),
            (step.saves_progress, "saves"),
            (step.speculative, "speculative"),
            (step.long_running, "lasting"),
            (step.uses_idle_cpu, "fills"),
            (step.label.is_some(), "label"),
            (step.preferred_rack.is_some(), "near"),
            (step.max_per_worker.is_some(), "spread"),
            (step.target_ms.is_some(), "target"),
            (!step.depends_on.is_empty(), "after"),
        ];
        let flags: Vec<&str> = flags.iter().filter(|(on, _)| *on).map(|(_, name)| *name).collect();
        let Resources { millicores, memory_mb, accelerators } = step.resources;
        let (count, ms) = (step.count, step.estimate_ms);
        format!("{count}x{millicores}m/{memory_mb}MB/{accelerators}acc~{ms}ms:{}", flags.join("+"))
    };
    let steps: Vec<String> = sub.steps.iter().map(step).collect();
    let occurrences = sub.schedule.map_or(1, |schedule| schedule.occurrences);
    format!("occurrences={occurrences} shape=\"{}\"", steps.join(","))
}
