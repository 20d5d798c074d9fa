//! Approvals of the policy service: the workers that may run a step, and until when.

use std::collections::{BTreeMap, BTreeSet};

use crate::planner::Planner;
use crate::task::Task;

/// The policy service takes time for each worker in a request.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// Minimum remaining validity of an approval at a placement: covers storing the placement, delivering the assignments,
/// and one lost reply.
const MIN_REMAINING_VALIDITY_MS: u64 = 600;

/// Time after which a request without a reply is repeated.
const REQUEST_RETRY_DELAY_MS: u64 = 3_000;

/// A step of a job's occurrence: the job, the occurrence, and the number of the step.
pub type StepKey = (String, u32, u32);

/// Approvals and refusals of the policy service, and the pending requests.
#[derive(Clone, Debug, Default)]
pub struct Approvals {
    /// Ticket and end of its validity, by step and worker.
    by_step: BTreeMap<StepKey, BTreeMap<String, (String, u64)>>,
    refused: BTreeMap<StepKey, BTreeSet<String>>,
    requested_at: BTreeMap<StepKey, u64>,
    pending: BTreeSet<StepKey>,
}

impl Approvals {
    /// Returns the ticket of a step on a worker if it is valid long enough for a placement.
    pub fn valid_ticket(&self, step: &StepKey, incarnation: &str, now: u64) -> Option<&str> {
        let (ticket, valid_until) = self.by_step.get(step)?.get(incarnation)?;
        (*valid_until > now + MIN_REMAINING_VALIDITY_MS).then_some(ticket.as_str())
    }

    /// Returns the workers whose tickets for a step are valid long enough for a placement.
    pub fn approved_workers(&self, step: &StepKey, now: u64) -> BTreeSet<&str> {
        let tickets = self.by_step.get(step).into_iter().flatten();
        let valid = tickets.filter(|(_, (_, valid_until))| *valid_until > now + MIN_REMAINING_VALIDITY_MS);
        valid.map(|(incarnation, _)| incarnation.as_str()).collect()
    }

    /// Returns the newest ticket of a step on a worker for a start that was placed with it, even if it has expired.
    pub fn newest_ticket(&self, step: &StepKey, incarnation: &str) -> Option<String> {
        self.by_step.get(step)?.get(incarnation).map(|(ticket, _)| ticket.clone())
    }

    /// Requests approvals for a step, unless a request was sent within `REQUEST_RETRY_DELAY_MS`.
    pub fn request(&mut self, step: StepKey, now: u64) {
        if self.requested_at.get(&step).is_none_or(|at| now >= at + REQUEST_RETRY_DELAY_MS) {
            self.pending.insert(step);
        }
    }

    /// Removes an approval that a worker did not accept.
    pub fn invalidate(&mut self, step: &StepKey, incarnation: &str) {
        if let Some(tickets) = self.by_step.get_mut(step) {
            tickets.remove(incarnation);
        }
    }

    /// Removes everything about a job.
    pub fn remove_job(&mut self, job: &str) {
        self.by_step.retain(|step, _| step.0 != job);
        self.refused.retain(|step, _| step.0 != job);
        self.requested_at.retain(|step, _| step.0 != job);
        self.pending.retain(|step| step.0 != job);
    }
}

impl Planner {
    /// Returns whether a request to the policy service is pending.
    pub fn has_approval_requests(&self) -> bool {
        !self.approvals.pending.is_empty()
    }

    /// Returns the next request to the policy service: a step and the workers to ask about, those with the most free
    /// resources first, without those refused before.
    pub fn next_approval_request(&mut self, now: u64) -> Option<(StepKey, Vec<String>)> {
        let step = self.approvals.pending.pop_first()?;
        self.approvals.requested_at.insert(step.clone(), now);
        let service = self.queue_of(&step.0)?.service.clone();
        let refused = self.approvals.refused.get(&step);
        let is_allowed = |incarnation: &str| refused.is_none_or(|refused| !refused.contains(incarnation));
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(|worker| {
                worker.info.service == service
                    && !worker.info.draining
                    && is_allowed(&worker.info.incarnation)
            })
            .collect();
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.free().weight()));
        let incarnations: Vec<String> =
            workers.iter().take(MAX_WORKERS_PER_REQUEST).map(|w| w.info.incarnation.clone()).collect();
        (!incarnations.is_empty()).then_some((step, incarnations))
    }

    /// Records the policy service's reply for a step; the workers in `requested` but not in `admitted` are refused.
    pub fn record_approvals(
        &mut self,
        now: u64,
        step: &StepKey,
        requested: &[String],
        admitted: &[(String, String)],
        valid_ms: u64,
    ) {
        let tickets = self.approvals.by_step.entry(step.clone()).or_default();
        for (incarnation, ticket) in admitted {
            tickets.insert(incarnation.clone(), (ticket.clone(), now.saturating_add(valid_ms)));
        }
        // The policy's decision on a worker is final.
        let refused = requested
            .iter()
            .filter(|incarnation| !admitted.iter().any(|(admitted, _)| admitted == *incarnation));
        self.approvals.refused.entry(step.clone()).or_default().extend(refused.cloned());
        self.approvals.requested_at.remove(step);
        let (job, occurrence, number) = step;
        self.log_line(format!(
            "event=approved job={job} step={job}.{occurrence}.{number} asked={} admitted={}",
            requested.len(),
            admitted.len()
        ));
    }

    pub(crate) fn step_key_of(task: &Task) -> StepKey {
        (task.job.clone(), task.occurrence, task.step)
    }
}
