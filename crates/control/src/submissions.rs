//! Submits jobs to the planner and waits until they are stored, or answers with "not run" while the store is away.

use std::time::Duration;

use sorrelland_fleet::Resources;
use sorrelland_fleet::job::{Step, Submission};

use crate::absence::{outage_rest_ms, spread_retry_ms};
use crate::active_planner::ActivePlanner;
use crate::calls::PlannerReply as Reply;
use crate::clock::{now_ms, wall_ms};
use crate::decisions::{self, Settled, Standing, Submitted};
use crate::{lock, metrics};

/// Time after which a caller may submit a job again that a cancel may have preceded, in milliseconds: by then all entries
/// know the new leader.
const RESUBMIT_MS: u64 = 500;

/// Reason in logs and metrics of a "not run" while the store doesn't answer.
const STORE_UNAVAILABLE: &str = "store_unavailable";

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
        let standing = self.standing();
        let submitted = {
            // Taken together, and in this order, so that no copy of a call comes between a decision and its record.
            let mut answered_calls = lock(&self.answered_calls);
            let mut planner = lock(&self.planner);
            decisions::submit(&mut planner, &mut answered_calls, &standing, sub, call, known_epoch)
        };
        let change = match submitted {
            Submitted::OlderThanCancels => {
                return self.reject_older_than_cancels(sub, known_epoch, wait).await;
            }
            Submitted::NotRun if standing.store_unavailable => return self.not_run(sub, STORE_UNAVAILABLE),
            Submitted::NotRun => return self.not_run(sub, "answered_before"),
            Submitted::Refused { reason, retry_after_ms } => {
                return self.confirm_refusal(sub, call, reason, retry_after_ms, wait).await;
            }
            Submitted::Accepted { change } => change,
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
        let settled = {
            let mut answered_calls = lock(&self.answered_calls);
            let mut planner = lock(&self.planner);
            let has_stepped_down = self.has_stepped_down();
            let (planner, answered_calls) = (&mut planner, &mut answered_calls);
            decisions::settle(planner, answered_calls, now_ms(), sub, call, is_stored, has_stepped_down)
        };
        let settled = match settled {
            Settled::Appended => {
                let left = deadline.saturating_duration_since(tokio::time::Instant::now());
                let is_stored = self.wait_stored(change, left).await;
                decisions::settle_appended(&lock(&self.planner), sub, is_stored)
            }
            settled => settled,
        };
        match settled {
            Settled::Accepted => self.accept(sub),
            Settled::NotRun => self.not_run(sub, "withdrawn"),
            Settled::NotPlanner => Reply::NotPlanner(None),
            Settled::Unresolved | Settled::Appended => Reply::Unresolved,
        }
    }

    /// Returns what this leader knows of itself and the store.
    pub(crate) fn standing(&self) -> Standing {
        Standing {
            now: now_ms(),
            wall: wall_ms(),
            cancels_stored: *lock(&self.cancels_stored),
            store_unavailable: *self.store_unavailable.borrow(),
        }
    }

    /// Answers that a job has not run and will not, since a cancel of it may have been answered without being stored. Waits at
    /// most `wait` until it is certain that no later leader has accepted the job.
    async fn reject_older_than_cancels(
        &self,
        sub: &Submission,
        known_epoch: Option<u64>,
        wait: Duration,
    ) -> Reply {
        const REASON: &str = "older_than_cancels";
        if !self.confirm_leadership(wait).await {
            return if self.has_stepped_down() { Reply::NotPlanner(None) } else { Reply::Unresolved };
        }
        metrics::count_not_run(REASON);
        log::info!(
            "event=not_run job={} epoch={} reason={REASON} known_epoch={known_epoch:?} retry_after_ms={RESUBMIT_MS} \
             why=\"it may have been cancelled at a leader of an earlier build\"",
            sub.job,
            self.leader.epoch
        );
        Reply::NotRun { retry_after_ms: RESUBMIT_MS }
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
            is_confirmed = self.confirm_leadership(wait) => Some(is_confirmed),
            // The sender exists as long as this planner.
            Ok(_) = unavailable.wait_for(|unavailable| *unavailable) => None,
        };
        if is_confirmed == Some(false) {
            return if self.has_stepped_down() { Reply::NotPlanner(None) } else { Reply::Unresolved };
        }
        let is_refused = {
            let mut answered_calls = lock(&self.answered_calls);
            decisions::refuse(&lock(&self.planner), &mut answered_calls, now_ms(), sub, call)
        };
        match is_confirmed {
            _ if !is_refused => Reply::Unresolved,
            Some(_) => self.refuse(sub, why, retry_after_ms),
            None => self.not_run(sub, STORE_UNAVAILABLE),
        }
    }

    fn refuse(&self, sub: &Submission, why: String, retry_after_ms: u64) -> Reply {
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
    fn not_run(&self, sub: &Submission, reason: &'static str) -> Reply {
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
        lock(&self.planner).priority(sub)
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
