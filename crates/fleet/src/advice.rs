//! Approvals of the policy service: which workers may run a step, and for how long an approval can be used.

use std::collections::{BTreeMap, BTreeSet};

use crate::planner::Planner;
use crate::task::Task;

/// Workers that one question names at most: the policy service takes time for each.
const WORKERS_ASKED: usize = 30;

/// Time that an approval must still be valid at a placement, in milliseconds: storing it, orders, a lost answer.
const VALID_MARGIN_MS: u64 = 600;

/// Time after which an unanswered question is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 3_000;

/// A step of an occurrence of a job.
pub type StepKey = (String, u32, u32);

/// Approvals by step.
#[derive(Clone, Debug, Default)]
pub struct Approvals {
    by_step: BTreeMap<StepKey, BTreeMap<String, (String, u64)>>,
    refused: BTreeMap<StepKey, BTreeSet<String>>,
    asked_at: BTreeMap<StepKey, u64>,
    wanted: BTreeSet<StepKey>,
}

impl Approvals {
    /// Returns the approval of a step on a worker that can still be used for a placement.
    pub fn usable(&self, step: &StepKey, life: &str, now: u64) -> Option<&str> {
        let (ticket, until) = self.by_step.get(step)?.get(life)?;
        (*until > now + VALID_MARGIN_MS).then_some(ticket.as_str())
    }

    /// Returns the newest approval of a step on a worker, for a start that was placed with it.
    pub fn ticket(&self, step: &StepKey, life: &str) -> Option<String> {
        self.by_step.get(step)?.get(life).map(|(ticket, _)| ticket.clone())
    }

    /// Notes that a step needs approvals.
    pub fn want(&mut self, step: StepKey, now: u64) {
        if self.asked_at.get(&step).is_none_or(|at| now >= at + ASK_AGAIN_MS) {
            self.wanted.insert(step);
        }
    }

    /// Forgets an approval that a worker did not accept.
    pub fn spoil(&mut self, step: &StepKey, life: &str) {
        if let Some(tickets) = self.by_step.get_mut(step) {
            tickets.remove(life);
        }
    }

    /// Forgets a job.
    pub fn forget(&mut self, job: &str) {
        self.by_step.retain(|step, _| step.0 != job);
        self.refused.retain(|step, _| step.0 != job);
        self.asked_at.retain(|step, _| step.0 != job);
        self.wanted.retain(|step| step.0 != job);
    }
}

impl Planner {
    /// Returns whether there is a question for the policy service.
    pub fn has_questions(&self) -> bool {
        !self.approvals.wanted.is_empty()
    }

    /// Returns the next question for the policy service: a step and the workers to name, those with most room
    /// first and none that was refused before.
    pub fn next_question(&mut self, now: u64) -> Option<(StepKey, Vec<String>)> {
        let step = self.approvals.wanted.pop_first()?;
        self.approvals.asked_at.insert(step.clone(), now);
        let service = self.queue_of(&step.0)?.service.clone();
        let refused = self.approvals.refused.get(&step);
        let open = |life: &str| refused.is_none_or(|refused| !refused.contains(life));
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(|worker| {
                worker.info.service == service && !worker.info.draining && open(&worker.info.incarnation)
            })
            .collect();
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.free().weight()));
        let lives: Vec<String> =
            workers.iter().take(WORKERS_ASKED).map(|w| w.info.incarnation.clone()).collect();
        (!lives.is_empty()).then_some((step, lives))
    }

    /// Takes in the approvals of a step for the workers that were `asked` about.
    pub fn note_approvals(
        &mut self,
        now: u64,
        step: &StepKey,
        asked: &[String],
        admitted: &[(String, String)],
        valid_ms: u64,
    ) {
        let tickets = self.approvals.by_step.entry(step.clone()).or_default();
        for (life, ticket) in admitted {
            tickets.insert(life.clone(), (ticket.clone(), now + valid_ms));
        }
        // Whom the policy admits does not change.
        let refused = asked.iter().filter(|life| !admitted.iter().any(|(admitted, _)| admitted == *life));
        self.approvals.refused.entry(step.clone()).or_default().extend(refused.cloned());
        self.approvals.asked_at.remove(step);
        let (job, occurrence, number) = step;
        self.log_line(format!(
            "event=approved job={job} step={job}.{occurrence}.{number} asked={} admitted={}",
            asked.len(),
            admitted.len()
        ));
    }

    /// Returns the step that a subtask belongs to.
    pub(crate) fn step_of(task: &Task) -> StepKey {
        (task.job.clone(), task.occurrence, task.step)
    }
}
