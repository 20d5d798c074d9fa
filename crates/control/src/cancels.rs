//! Cancels jobs for callers. Every final answer is stored before it is given, so that it holds at later leaders and for
//! submissions on their way, and a superseded leader gives none.

use std::time::Duration;

use sorrelland_fleet::Caller;

use crate::absence::outage_rest_ms;
use crate::active_planner::ActivePlanner;
use crate::calls::PlannerReply as Reply;
use crate::decisions::{self, CancelDecision};
use crate::lock;

impl ActivePlanner {
    /// Cancels a caller's job, without a caller whoever's it is, and waits at most `wait` until that is stored.
    pub(crate) async fn cancel(&self, job: &str, caller: Option<&Caller>, wait: Duration) -> Reply {
        let standing = self.standing();
        let decision = decisions::cancel(&mut lock(&self.planner), &standing, job, caller);
        let (known, change, needs_confirmation) = match decision {
            CancelDecision::Recorded { change, is_known, needs_confirmation } => {
                (is_known, change, needs_confirmation)
            }
            CancelDecision::StoreUnavailable => {
                let retry_after_ms = outage_rest_ms(self.append_failing_ms());
                return self.refuse_cancel(job, retry_after_ms, "the store does not answer");
            }
            CancelDecision::TooMany { retry_after_ms } => {
                return self.refuse_cancel(job, retry_after_ms, "too many cancels of unknown jobs");
            }
        };
        self.request_pass(change);
        let is_stored = match needs_confirmation {
            true => self.confirm_leadership(wait).await,
            false => self.wait_stored(change, wait).await,
        };
        let epoch = self.leader.epoch;
        let (queue, account) =
            caller.map_or(("unknown", "unknown"), |caller| (&caller.queue, &caller.account));
        log::info!(
            "event=cancel_decided job={job} queue={queue} account={account} epoch={epoch} known={known} stored={is_stored}"
        );
        if is_stored { Reply::Cancelled(known) } else { Reply::Unresolved }
    }

    /// Answers that the cancel of an unknown job can't be stored, so that nothing is known of submissions on their way.
    fn refuse_cancel(&self, job: &str, retry_after_ms: u64, why: &str) -> Reply {
        let epoch = self.leader.epoch;
        log::warn!(
            "event=cancel_refused job={job} epoch={epoch} retry_after_ms={retry_after_ms} why=\"{why}\""
        );
        Reply::NotRun { retry_after_ms }
    }
}
