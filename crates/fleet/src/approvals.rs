//! Approvals of the policy service: the workers that may run a step, and until when.

use std::collections::{BTreeMap, BTreeSet};

use crate::incarnation::{self, WorkerId};
use crate::pass::step_key;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool;
use crate::task::Task;
use crate::wait::WaitReason;
use crate::worker::Worker;

/// The policy service takes time for each worker in a request.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// Minimum remaining validity of an approval at a placement: covers storing the placement, delivering the assignments,
/// and one lost reply.
const MIN_REMAINING_VALIDITY_MS: u64 = 600;

/// Time after which a request without a reply is repeated.
const REQUEST_RETRY_DELAY_MS: u64 = 3_000;

/// Wait of a unit, and time since the last reply for its step, from which further workers are asked about, in
/// milliseconds: the pass that follows a reply places what the approved workers have room for.
const FURTHER_REQUEST_DELAY_MS: u64 = 500;

/// Time for which a refusal holds, in milliseconds. The service's decisions don't change, but a worker that it didn't know
/// yet, or any more, is missing from its reply like one that may not run the step.
const REFUSAL_HOLD_MS: u64 = 60_000;

/// Reply of the policy service for a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyReply {
    /// Workers that may run the step, each with the ticket to present when starting a run there.
    pub admitted: Vec<(WorkerId, String)>,
    /// Further rows that could not be read: each may admit a worker.
    pub unreadable_rows: usize,
    /// Validity of the tickets, in milliseconds.
    pub valid_ms: u64,
}

/// A step of a job's occurrence: the job, the occurrence, and the number of the step.
pub type StepKey = (String, u32, u32);

/// A step that waits for an approval.
#[derive(Clone, Copy, Debug)]
struct PendingStep {
    /// Position of its first unit in the order of placement.
    rank: usize,
    /// Whether a guarantee covers its job, so that others may be preempted for it.
    guaranteed: bool,
}

/// Approvals and refusals of the policy service, and the pending requests.
#[derive(Clone, Debug, Default)]
pub struct Approvals {
    /// Ticket and end of its validity, by step and worker incarnation, since a ticket is for one.
    by_step: BTreeMap<StepKey, BTreeMap<String, (String, u64)>>,
    /// Worker incarnations that may not run a step, and until when that holds.
    refused: BTreeMap<StepKey, BTreeMap<String, u64>>,
    requested_at: BTreeMap<StepKey, u64>,
    /// When the service last replied for a step.
    answered_at: BTreeMap<StepKey, u64>,
    /// Steps without a valid ticket, as of the last pass.
    pending: BTreeMap<StepKey, PendingStep>,
    /// A step whose approved workers have no room, though others have.
    pending_further: Option<StepKey>,
    /// Step of the last request about further workers, until its reply.
    further_requested: Option<StepKey>,
    /// When the next request about further workers may be sent. These take at most half of the service's time, so that
    /// first requests don't wait for them.
    further_allowed_at: u64,
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

    /// Returns whether a request may be sent for a step: none was within `REQUEST_RETRY_DELAY_MS`.
    fn is_due(&self, step: &StepKey, now: u64) -> bool {
        self.requested_at.get(step).is_none_or(|at| now >= at + REQUEST_RETRY_DELAY_MS)
    }

    /// Returns when the service was last asked about a step, or last answered; `None` if it never was.
    fn asked_at(&self, step: &StepKey) -> Option<u64> {
        self.requested_at.get(step).max(self.answered_at.get(step)).copied()
    }

    /// Returns whether a request about further workers may be sent for a step.
    fn is_further_due(&self, step: &StepKey, now: u64) -> bool {
        let is_over = |at: Option<&u64>, ms: u64| at.is_none_or(|at| now >= at + ms);
        !self.pending.contains_key(step)
            && is_over(self.requested_at.get(step), REQUEST_RETRY_DELAY_MS)
            && is_over(self.answered_at.get(step), FURTHER_REQUEST_DELAY_MS)
    }

    /// Returns whether the service has decided on a worker for a step and the decision still holds: an approval holds as long
    /// as its ticket.
    fn is_decided(&self, step: &StepKey, incarnation: &str, now: u64) -> bool {
        let refused_until = self.refused.get(step).and_then(|refused| refused.get(incarnation));
        refused_until.is_some_and(|until| *until > now) || self.valid_ticket(step, incarnation, now).is_some()
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
        self.answered_at.retain(|step, _| step.0 != job);
        self.pending.retain(|step, _| step.0 != job);
        self.pending_further.take_if(|step| step.0 == job);
        self.further_requested.take_if(|step| step.0 == job);
    }
}

impl Planner {
    /// Returns whether a request to the policy service is pending.
    pub fn has_approval_requests(&self) -> bool {
        !self.approvals.pending.is_empty() || self.approvals.pending_further.is_some()
    }

    /// Requests approvals of further workers for a step whose units wait since the approved workers have no room, if others
    /// have: for the step that was answered longest ago.
    fn request_further_approvals(&mut self, now: u64, candidates: &[Candidate]) {
        self.approvals.pending_further = None;
        if now < self.approvals.further_allowed_at {
            return;
        }
        let waiting = candidates.iter().filter(|candidate| {
            self.queue_of(&candidate.job).is_some_and(|queue| queue.needs_approval)
                && self.lacks_approved_room(now, candidate)
        });
        let steps: BTreeSet<StepKey> = waiting.map(step_key).collect();
        if steps.is_empty() {
            return;
        }
        let mut due: Vec<StepKey> =
            steps.into_iter().filter(|step| self.approvals.is_further_due(step, now)).collect();
        due.sort_by_key(|step| self.approvals.answered_at.get(step).copied());
        let found = due.into_iter().find(|step| !self.workers_with_room(step, now).is_empty());
        if found.is_none() {
            // Every search looks at all workers.
            self.approvals.further_allowed_at = now + FURTHER_REQUEST_DELAY_MS;
        }
        self.approvals.pending_further = found;
    }

    /// Returns whether a unit waits for room, not for a better placement or a stop.
    fn lacks_approved_room(&self, now: u64, candidate: &Candidate) -> bool {
        let job = self.jobs.get(&candidate.job);
        let Some(unit) = job.and_then(|job| job.units.get(&candidate.key)) else { return false };
        now >= unit.since + FURTHER_REQUEST_DELAY_MS
            && match unit.waits.reason() {
                Some(
                    WaitReason::Workers
                    | WaitReason::Resources
                    | WaitReason::Approval
                    | WaitReason::Isolation,
                ) => true,
                Some(WaitReason::Speed | WaitReason::Stops | WaitReason::Rack | WaitReason::Reserve)
                | None => false,
            }
    }

    /// Requests approvals for the candidates' steps that need one and have none that is valid, or no room where they have one.
    pub(crate) fn request_approvals(&mut self, now: u64, candidates: &[Candidate]) {
        self.approvals.pending.clear();
        for (rank, candidate) in candidates.iter().enumerate() {
            if !self.queue_of(&candidate.job).is_some_and(|queue| queue.needs_approval) {
                continue;
            }
            let step = step_key(candidate);
            if self.approvals.is_due(&step, now) && self.approvals.approved_workers(&step, now).is_empty() {
                let pending = PendingStep { rank, guaranteed: candidate.guaranteed };
                self.approvals.pending.entry(step).or_insert(pending);
            }
        }
        self.request_further_approvals(now, candidates);
    }

    /// Returns the next request to the policy service: a step and the worker incarnations to ask about, those with the most
    /// free resources first, without those decided before.
    ///
    /// The service handles one request after the other. Steps that could start with an approval come first, or that others
    /// may be preempted for; of these the one that was asked about longest ago, so that none waits for repeated requests.
    pub fn next_approval_request(&mut self, now: u64) -> Option<(StepKey, Vec<String>)> {
        while let Some((step, is_further)) = self.next_step_to_approve(now) {
            let workers = match is_further {
                true => self.workers_with_room(&step, now),
                false => self.undecided_workers(&step, now, |_| true),
            };
            let workers = freest(workers);
            match is_further {
                true => self.approvals.pending_further = None,
                false => _ = self.approvals.pending.remove(&step),
            }
            self.approvals.requested_at.insert(step.clone(), now);
            if workers.is_empty() {
                continue;
            }
            if is_further {
                self.approvals.further_requested = Some(step.clone());
                self.approvals.further_allowed_at = now + REQUEST_RETRY_DELAY_MS;
            }
            return Some((step, workers));
        }
        None
    }

    /// Returns the step to ask about next, and whether only further workers have to be asked about.
    fn next_step_to_approve(&self, now: u64) -> Option<(StepKey, bool)> {
        let approvals = &self.approvals;
        let order = |step: &StepKey, pending: &PendingStep| (approvals.asked_at(step), pending.rank);
        let can_start = |step: &StepKey, pending: &PendingStep| {
            pending.guaranteed || !self.workers_with_room(step, now).is_empty()
        };
        let mut steps: Vec<(&StepKey, &PendingStep)> = approvals.pending.iter().collect();
        steps.sort_by_key(|(step, pending)| order(step, pending));
        let startable = steps.iter().find(|(step, pending)| can_start(step, pending)).map(|(step, _)| *step);
        let further = approvals.pending_further.as_ref();
        let next = match (startable, further) {
            (Some(step), Some(further)) if approvals.asked_at(further) < approvals.asked_at(step) => {
                (further, true)
            }
            (Some(step), _) => (step, false),
            (None, Some(further)) => (further, true),
            (None, None) => (steps.first()?.0, false),
        };
        Some((next.0.clone(), next.1))
    }

    /// Returns the workers out of those that `may_use` names that may run a step and on which no decision holds.
    fn undecided_workers(&self, key: &StepKey, now: u64, may_use: impl Fn(&Worker) -> bool) -> Vec<&Worker> {
        let Some(job) = self.jobs.get(&key.0) else { return Vec::new() };
        let (Some(queue), Some(step)) = (job.queue(), job.sub.steps.get(key.2 as usize)) else {
            return Vec::new();
        };
        let is_undecided = |worker: &&Worker| {
            worker.info.service == queue.service
                && !worker.info.draining
                && step.label.as_deref().is_none_or(|label| worker.has_label(label))
                && may_use(worker)
                && !self.approvals.is_decided(key, &worker.info.incarnation, now)
        };
        self.workers.values().filter(is_undecided).collect()
    }

    /// Returns those of them on which a subtask of the step has room now.
    fn workers_with_room(&self, key: &StepKey, now: u64) -> Vec<&Worker> {
        let job = self.jobs.get(&key.0);
        let Some(step) = job.and_then(|job| job.sub.steps.get(key.2 as usize)) else { return Vec::new() };
        let reserved = step.reserved();
        self.undecided_workers(key, now, |worker| {
            worker.free().can_fit(&reserved)
                && pool::is_usable(worker, now)
                && !self.evacuated.contains(&worker.info.domain)
        })
    }

    /// Records the policy service's reply for a step on the worker incarnations in `requested`. Those that the reply doesn't
    /// admit are refused, unless a part of the reply could not be read. An incarnation that has ended since is left out: its
    /// worker may have started again, and a ticket is for one incarnation.
    pub fn record_approvals(&mut self, now: u64, step: &StepKey, requested: &[String], reply: &PolicyReply) {
        let valid_until = now.saturating_add(reply.valid_ms);
        let mut tickets = self.approvals.by_step.remove(step).unwrap_or_default();
        let mut refusals = self.approvals.refused.remove(step).unwrap_or_default();
        tickets.retain(|incarnation, _| self.workers.contains_key(incarnation));
        refusals.retain(|incarnation, _| self.workers.contains_key(incarnation));
        let (mut admitted, mut refused, mut undecided) = (Vec::new(), Vec::new(), Vec::new());
        for incarnation in requested {
            let worker = WorkerId::of(incarnation);
            let ticket = reply.admitted.iter().find(|(id, _)| *id == worker).map(|(_, ticket)| ticket);
            match ticket {
                _ if !self.workers.contains_key(incarnation) => undecided.push(worker),
                Some(ticket) => {
                    refusals.remove(incarnation);
                    tickets.insert(incarnation.clone(), (ticket.clone(), valid_until));
                    admitted.push(worker);
                }
                None if reply.unreadable_rows > 0 => undecided.push(worker),
                None => {
                    refusals.insert(incarnation.clone(), now + REFUSAL_HOLD_MS);
                    refused.push(worker);
                }
            }
        }
        self.approvals.by_step.insert(step.clone(), tickets);
        self.approvals.refused.insert(step.clone(), refusals);
        let requested_at = self.approvals.requested_at.remove(step);
        if reply.unreadable_rows > 0 || reply.valid_ms <= MIN_REMAINING_VALIDITY_MS {
            // The next reply may be as useless, so that it is not asked for at once.
            self.approvals.requested_at.insert(step.clone(), now);
        }
        self.approvals.answered_at.insert(step.clone(), now);
        let took_ms = requested_at.map_or(0, |at| now.saturating_sub(at));
        if self.approvals.further_requested.take_if(|further| further == step).is_some() {
            self.approvals.further_allowed_at = now + took_ms;
        }
        let (job, occurrence, number) = step;
        self.log_line(format!(
            "event=approved job={job} step={job}.{occurrence}.{number} admitted={} refused={} undecided={} \
             unreadable_rows={} valid_ms={} took_ms={took_ms}",
            format_workers(&admitted),
            format_workers(&refused),
            format_workers(&undecided),
            reply.unreadable_rows,
            reply.valid_ms
        ));
    }

    pub(crate) fn step_key_of(task: &Task) -> StepKey {
        (task.job.clone(), task.occurrence, task.step)
    }
}

/// Returns the workers with the most free resources, as many as one request names. Of a worker that has started again
/// only the newest incarnation counts.
fn freest(workers: Vec<&Worker>) -> Vec<String> {
    let mut newest: BTreeMap<WorkerId, &Worker> = BTreeMap::new();
    let started_ms = |worker: &Worker| incarnation::split(&worker.info.incarnation).1;
    for worker in workers {
        let known = newest.entry(WorkerId::of(&worker.info.incarnation)).or_insert(worker);
        if started_ms(known) < started_ms(worker) {
            *known = worker;
        }
    }
    let mut workers: Vec<&Worker> = newest.into_values().collect();
    workers.sort_by_key(|worker| std::cmp::Reverse(worker.free().weight()));
    let freest = workers.into_iter().take(MAX_WORKERS_PER_REQUEST);
    freest.map(|worker| worker.info.incarnation.clone()).collect()
}

fn format_workers(workers: &[WorkerId]) -> String {
    let names: Vec<&str> = workers.iter().map(WorkerId::as_str).collect();
    format!("\"{}\"", names.join(","))
}
