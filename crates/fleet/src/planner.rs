//! State of the planner and the operations that change it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use sorrelland_forecast::Forecasts;

use crate::account_counts::{AccountCounts, AccountEvent};
use crate::admit;
use crate::approvals::Approvals;
use crate::cancels::Cancels;
use crate::changes::Changes;
use crate::claims::Claims;
use crate::crash::Crashes;
use crate::desired::{Desired, Queue};
use crate::forecast_errors::ForecastErrors;
use crate::hold::Holds;
use crate::job::{Job, JobState, Outcome, Step, Submission};
use crate::line_limit::LineLimit;
use crate::place::peak_accelerators;
use crate::record::{self, Record};
use crate::reserve::UrgentArrivals;
use crate::resources::Resources;
use crate::task::Task;
use crate::timing::SpeedClasses;
use crate::unit::{Unit, UnitKey, UnitState};
use crate::value::{MeanWork, PreemptionOutcomes, Timeliness, attainable_value, estimated_work_core_s};
use crate::view::Refusals;
use crate::wait::format_waits;
use crate::worker::Worker;

/// Maximum age of an agent's last report for new placements on its worker, in milliseconds.
pub const MAX_REPORT_AGE_MS: u64 = 1_600;

/// Time between two ticks from which the planner counts as delayed itself, in milliseconds: it ticks several times as
/// often.
const DELAYED_AFTER_MS: u64 = 500;

/// Ended jobs of earlier planners above which those are forgotten that are older than the retention by this leader's wall
/// clock: hand-overs that are more frequent than the retention is long would keep them for ever.
pub const MAX_ENDED_JOBS: usize = 4_096;

/// Deployment-specific durations, in milliseconds, and factors.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time for which an agent may renew its worker's lease after sending a report.
    pub grant_ms: u64,
    /// Maximum time that it takes to stop a run.
    pub stop_ms: u64,
    /// Time after which a worker that has not reported to a new planner no longer holds a lease.
    pub unreported_ms: u64,
    /// Retention period of ended jobs.
    pub ended_retention_ms: u64,
    /// Maximum time until an urgent job covered by a guarantee starts.
    pub reclaim_ms: u64,
    /// Factor by which runs take longer on other racks than the preferred ones, in thousandths.
    pub remote_factor_milli: u64,
}

/// Result of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted once the change is stored.
    Accepted {
        /// Number of the change that must be stored.
        change: u64,
    },
    /// The job was rejected and nothing of it ran.
    Refused {
        /// Reason for the caller and the logs.
        reason: String,
        /// Delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Last report and worker of an agent.
#[derive(Clone, Debug)]
pub(crate) struct Agent {
    pub(crate) incarnation: u64,
    pub(crate) seq: u64,
    /// When the newest connection that delivered a report was accepted, on the monotonic clock.
    pub(crate) connected_at: u64,
    /// Worker that a report named last.
    pub(crate) worker: Option<String>,
    /// Whether the newest report names the worker.
    pub(crate) knows_worker: bool,
}

/// In-memory state of the planner.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) timing: Timing,
    /// Epoch of the leader that runs this planner, for its log lines; 0 if it has none.
    pub(crate) epoch: u64,
    /// When this planner was created, on the monotonic clock.
    pub(crate) created_at: u64,
    /// When the last tick ran, on the monotonic clock; 0 before the first.
    last_tick_at: u64,
    pub(crate) desired: Arc<Desired>,
    /// Version of the desired state by which the jobs' attempts were last checked; 0 for none.
    attempts_checked: u64,
    /// Failure domains that the operators evacuate.
    pub(crate) evacuated: BTreeSet<String>,
    pub(crate) jobs: BTreeMap<String, Job>,
    pub(crate) cancels: Cancels,
    pub(crate) workers: BTreeMap<String, Worker>,
    pub(crate) claims: Claims,
    pub(crate) holds: Holds,
    pub(crate) approvals: Approvals,
    pub(crate) mean_work: BTreeMap<String, MeanWork>,
    /// Outcomes of jobs that preempted others, by queue.
    pub(crate) preemption_outcomes: BTreeMap<String, PreemptionOutcomes>,
    pub(crate) agents: BTreeMap<String, Agent>,
    /// Worker incarnations that may still run members of stored jobs but have not reported to this planner, with the
    /// time at which their runs are considered lost.
    pub(crate) unreported: BTreeMap<String, u64>,
    /// Runs given up on worker incarnations that were removed. Their starts may still arrive if the worker comes back.
    pub(crate) given_up: BTreeMap<String, BTreeSet<(Task, u64)>>,
    pub(crate) crashes: Crashes,
    pub(crate) forecasts: Forecasts,
    /// Classes of the workers' speeds by service, for those services where speeds count.
    pub(crate) speed_classes: BTreeMap<String, SpeedClasses>,
    pub(crate) forecast_errors: ForecastErrors,
    /// When the speeds of workers were last logged, on the monotonic clock.
    pub(crate) speeds_logged_at: Option<u64>,
    /// When workers were lost recently, on the monotonic clock.
    pub(crate) lost_at: Vec<u64>,
    /// Jobs that have not ended or whose members still occupy resources.
    pub(crate) live: BTreeSet<String>,
    /// Recent urgent jobs by service.
    pub(crate) urgent_arrivals: BTreeMap<String, UrgentArrivals>,
    /// Number of the change that is being collected.
    pub(crate) change: u64,
    /// Number of the newest stored change.
    pub(crate) stored: u64,
    /// When a record of what was learned was last made, on the monotonic clock.
    pub(crate) digest_at: Option<u64>,
    /// The newest such record that is not stored yet.
    pub(crate) digest_record: Option<Record>,
    pub(crate) untaken: Changes,
    /// Changes that are being stored.
    pub(crate) taken: Changes,
    pub(crate) assignments_number: u64,
    /// Agents whose assignments changed, independent of pending writes.
    pub(crate) agents_to_wake: BTreeSet<String>,
    /// Agents whose assignments change once the given change is stored.
    pub(crate) agents_to_wake_by_change: BTreeSet<(u64, String)>,
    pub(crate) log: Vec<String>,
    /// Lines on the ends of jobs, with the change that has to be stored before: another planner logs an end that isn't.
    pub(crate) end_log: VecDeque<(u64, String)>,
    pub(crate) line_limit: LineLimit,
    /// Ignored reports since the last call of [`Self::take_ignored_reports`], by reason.
    pub(crate) ignored_reports: BTreeMap<&'static str, u64>,
    pub(crate) refusals: Refusals,
    pub(crate) account_counts: AccountCounts,
    /// Longest wait of a unit that the last pass left waiting, in milliseconds.
    pub(crate) longest_wait_ms: u64,
    /// Refusals since the last call of [`Self::take_refusals`], by cause.
    refusals_by_cause: BTreeMap<&'static str, u64>,
}

impl Planner {
    /// Creates a planner from the stored jobs.
    pub fn new(timing: Timing, desired: Arc<Desired>, mut jobs: Vec<Job>, now: u64) -> Self {
        jobs.iter_mut().for_each(|job| job.ended_at = now);
        let crashes = Crashes::new(&jobs);
        let mut unreported = BTreeMap::new();
        let mut live = BTreeSet::new();
        for job in &jobs {
            let members = job.units.values().flat_map(|unit| &unit.members).filter(|member| !member.released);
            let mut occupies_resources = false;
            for member in members {
                occupies_resources = true;
                unreported.insert(member.worker.clone(), now + timing.unreported_ms);
            }
            if occupies_resources || job.outcome.is_none() {
                live.insert(job.sub.job.clone());
            }
        }
        let mut planner = Self {
            timing,
            epoch: 0,
            created_at: now,
            last_tick_at: 0,
            desired,
            attempts_checked: 0,
            evacuated: BTreeSet::new(),
            jobs: jobs.into_iter().map(|job| (job.sub.job.clone(), job)).collect(),
            cancels: Cancels::new(),
            workers: BTreeMap::new(),
            claims: Claims::default(),
            holds: Holds::default(),
            approvals: Approvals::default(),
            mean_work: BTreeMap::new(),
            preemption_outcomes: BTreeMap::new(),
            agents: BTreeMap::new(),
            unreported,
            given_up: BTreeMap::new(),
            crashes,
            forecasts: Forecasts::default(),
            speed_classes: BTreeMap::new(),
            forecast_errors: ForecastErrors::default(),
            speeds_logged_at: None,
            lost_at: Vec::new(),
            live,
            urgent_arrivals: BTreeMap::new(),
            change: 1,
            stored: 0,
            digest_at: None,
            digest_record: None,
            untaken: Changes::default(),
            taken: Changes::default(),
            assignments_number: 0,
            agents_to_wake: BTreeSet::new(),
            agents_to_wake_by_change: BTreeSet::new(),
            log: Vec::new(),
            end_log: VecDeque::new(),
            line_limit: LineLimit::default(),
            ignored_reports: BTreeMap::new(),
            refusals: Refusals::new(),
            account_counts: AccountCounts::default(),
            longest_wait_ms: 0,
            refusals_by_cause: BTreeMap::new(),
        };
        planner.follow_queues();
        planner
    }

    /// Sets the epoch that the log lines name.
    pub fn with_epoch(self, epoch: u64) -> Self {
        Self { epoch, ..self }
    }

    /// Replaces the desired state; a version that is not newer is ignored.
    pub fn set_desired(&mut self, desired: Arc<Desired>) {
        if desired.version > self.desired.version {
            self.desired = desired;
            self.follow_queues();
        }
    }

    /// Sets the failure domains on whose workers nothing is placed. What runs there goes on.
    pub fn set_evacuated(&mut self, domains: BTreeSet<String>) {
        self.evacuated = domains;
    }

    /// Drains the log lines written since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Drains the numbers of ignored reports, by reason.
    pub fn take_ignored_reports(&mut self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut self.ignored_reports)
    }

    /// Drains the numbers of refused submissions, by cause.
    pub fn take_refusals(&mut self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut self.refusals_by_cause)
    }

    /// Drains the agents whose assignments changed, independent of what is stored.
    pub fn take_agents_to_wake(&mut self) -> Vec<String> {
        std::mem::take(&mut self.agents_to_wake).into_iter().collect()
    }

    /// Drains the agents whose assignments changed because a change is now stored.
    pub fn take_agents_to_wake_after_store(&mut self) -> Vec<String> {
        let later = self.agents_to_wake_by_change.split_off(&(self.stored + 1, String::new()));
        let due = std::mem::replace(&mut self.agents_to_wake_by_change, later);
        due.into_iter().map(|(_, agent)| agent).collect()
    }

    /// Schedules a wake-up of the agents that have unreleased members of a unit, so that they fetch their assignments.
    pub(crate) fn wake_member_agents(&mut self, name: &str, key: UnitKey) {
        let unit = self.jobs.get(name).and_then(|job| job.units.get(&key));
        let members = unit.into_iter().flat_map(|unit| &unit.members).filter(|member| !member.released);
        let agents: Vec<String> = members.map(|member| member.agent.clone()).collect();
        self.agents_to_wake.extend(agents);
    }

    pub(crate) fn log_line(&mut self, line: String) {
        self.log.push(line);
    }

    /// Accepts or refuses a job. Submitting a known job again is idempotent; its name is refused to other callers.
    pub fn submit(&mut self, now: u64, wall: u64, sub: &Submission) -> Admission {
        if let Some(job) = self.repeated_job(sub) {
            return Admission::Accepted { change: job.accepted_in };
        }
        if let Some(refusal) = self.check_name(now, sub) {
            return self.refuse(now, wall, sub, refusal);
        }
        if let Some(admission) = self.submit_cancelled(now, wall, sub) {
            return admission;
        }
        let job = self.new_job(sub, wall);
        if let Err(refusal) = admit::check_admission(self, now, wall, sub, job.queue()) {
            return self.refuse(now, wall, sub, refusal);
        }
        self.set_cancels_apart(&sub.job);
        if let Some(queue) = job.queue().filter(|queue| queue.priority == 0) {
            let arrivals = self.urgent_arrivals.entry(queue.service.clone()).or_default();
            arrivals.record(now, peak_accelerators(sub));
        }
        self.mean_work.entry(sub.queue.clone()).or_default().record(estimated_work_core_s(sub));
        self.jobs.insert(sub.job.clone(), job);
        self.live.insert(sub.job.clone());
        self.untaken.new_jobs.insert(sub.job.clone());
        Admission::Accepted { change: self.change }
    }

    /// Records the refusal of a submission, and returns it.
    fn refuse(&mut self, now: u64, wall: u64, sub: &Submission, refusal: admit::Refusal) -> Admission {
        let admit::Refusal { cause, reason, inputs, retry_after_ms } = refusal;
        self.account_counts.record(now, &sub.account, AccountEvent::Refused);
        self.record_refusal(wall, sub, &reason, retry_after_ms);
        let cause = cause.name();
        *self.refusals_by_cause.entry(cause).or_default() += 1;
        self.log_line(format!(
            "event=admission_refused job={} queue={} account={} cause={cause} retry_after_ms={retry_after_ms} {inputs}",
            sub.job, sub.queue, sub.account
        ));
        Admission::Refused { reason, retry_after_ms }
    }

    /// Returns whether a job is known, stored or not.
    pub fn knows(&self, name: &str) -> bool {
        self.jobs.contains_key(name)
    }

    /// Returns the state of a job as callers may see it: acceptance and outcome become visible once they are stored.
    pub fn state(&self, name: &str) -> Option<JobState> {
        let job = self.jobs.get(name).filter(|job| job.accepted_in <= self.stored)?;
        match job.outcome {
            Some(outcome) if job.ended_in <= self.stored => Some(JobState::Ended(outcome)),
            _ if job.started => Some(JobState::Running),
            _ => Some(JobState::Queued),
        }
    }

    /// Returns the number of jobs that have not ended or still occupy resources.
    pub fn live_jobs(&self) -> usize {
        self.live.len()
    }

    /// Returns the longest wait of a unit that the last pass left waiting, in milliseconds.
    pub fn longest_wait_ms(&self) -> u64 {
        self.longest_wait_ms
    }

    /// Returns the number of workers whose agent reported within [`MAX_REPORT_AGE_MS`], and the number of all known
    /// workers.
    pub fn reporting_workers(&self, now: u64) -> (usize, usize) {
        let recent = |worker: &&Worker| worker.last_report_at + MAX_REPORT_AGE_MS >= now;
        (self.workers.values().filter(recent).count(), self.workers.len())
    }

    /// Returns the priority of a submission's queue; one that is not known has the lowest.
    pub fn priority(&self, sub: &Submission) -> u32 {
        let known = self.queue_of(&sub.job).or(sub.terms.as_ref().map(|terms| &terms.queue));
        let queue = known.or_else(|| self.desired.queue_named(&sub.queue));
        queue.map_or(u32::MAX, |queue| queue.priority)
    }

    /// Returns the queue by which a job is planned.
    pub(crate) fn queue_of(&self, job: &str) -> Option<&Queue> {
        self.jobs.get(job).and_then(Job::queue)
    }

    /// Returns the attempts of a subtask that may fail; `None` while the terms of the job's queue are unknown.
    fn max_attempts(&self, job: &str) -> Option<u32> {
        self.queue_of(job).map(|queue| queue.max_attempts.max(1))
    }

    /// Returns whether a subtask of a job, or a gang, has used up its attempts. Lasting ones have no limit.
    pub(crate) fn has_no_attempt_left(&self, job: &Job) -> bool {
        let Some(max_attempts) = self.max_attempts(&job.sub.job) else { return false };
        let is_lasting =
            |key: &UnitKey| job.sub.steps.get(key.step as usize).is_some_and(|step| step.long_running);
        job.units.iter().any(|(key, unit)| {
            unit.state != UnitState::Done && unit.failures >= max_attempts && !is_lasting(key)
        })
    }

    /// Ends the jobs that have no attempt left by a desired state that is new to this planner: they had more before, or
    /// their last attempt failed while the terms of their queue were unknown.
    fn end_jobs_without_attempts(&mut self, now: u64, wall: u64) {
        if std::mem::replace(&mut self.attempts_checked, self.desired.version) == self.desired.version {
            return;
        }
        let is_over = |job: &&Job| job.outcome.is_none() && self.has_no_attempt_left(job);
        let jobs = self.live.iter().filter_map(|name| self.jobs.get(name)).filter(is_over);
        for name in jobs.map(|job| job.sub.job.clone()).collect::<Vec<_>>() {
            self.log_line(format!("event=attempts_used_up job={name} version={}", self.desired.version));
            self.end_job(now, wall, &name, Outcome::Failed);
        }
    }

    pub(crate) fn end_job(&mut self, now: u64, wall: u64, name: &str, outcome: Outcome) {
        let change = self.change;
        let Some(job) = self.jobs.get_mut(name).filter(|job| job.outcome.is_none()) else { return };
        job.outcome = Some(outcome);
        (job.ended_ms, job.ended_at) = (wall, now);
        job.ended_in = change;
        for unit in job.units.values_mut() {
            mark_ending(unit, now);
        }
        let keys: Vec<UnitKey> = job.units.keys().copied().collect();
        for key in keys {
            self.wake_member_agents(name, key);
        }
        if let Some(job) = self.jobs.get(name).filter(|job| self.is_late(job, wall)) {
            self.account_counts.record(now, &job.sub.account, AccountEvent::Late);
        }
        self.log_job_end(name, outcome);
        self.mark_changed(name);
        self.approvals.remove_job(name);
        self.record_preemption_result(name);
        self.retire(name);
    }

    /// Logs the end of a job with the value that its caller got and lost; a cancelled job has no value to lose.
    fn log_job_end(&mut self, name: &str, outcome: Outcome) {
        let Some(job) = self.jobs.get(name) else { return };
        let age_ms = job.ended_ms.saturating_sub(job.accepted_ms);
        let target_ms = self.target_ms(job).unwrap_or_default();
        let measured_target_ms = self.measured_target_ms(job).unwrap_or_default();
        let late = self.is_late(job, job.ended_ms);
        let value = self.value_in_time(&job.sub);
        let kept = match outcome {
            Outcome::Cancelled => value,
            Outcome::Completed if job.sub.schedule.is_some() || age_ms <= measured_target_ms => value,
            Outcome::Completed if age_ms <= 3 * measured_target_ms => {
                attainable_value(value, Timeliness::Late)
            }
            Outcome::Completed | Outcome::Failed => 0.0,
        };
        let lost = value - kept;
        let line = format!(
            "event=job_ended job={name} outcome={outcome:?} age_ms={age_ms} target_ms={target_ms} \
             measured_target_ms={measured_target_ms} late={late} value={value:.2} value_lost={lost:.2}"
        );
        self.end_log.push_back((self.change, line));
    }

    /// Returns the value of a job that ends in time, in the unit of `MeanWork::value`.
    pub fn value_in_time(&self, sub: &Submission) -> f64 {
        self.mean_work(&sub.queue).value(self.priority(sub), estimated_work_core_s(sub))
    }

    /// Records whether a job that preempted others ended in time by its declared estimates, on which its preemptions were
    /// decided.
    fn record_preemption_result(&mut self, name: &str) {
        let Some(job) = self.jobs.get(name).filter(|job| job.preempted_others) else { return };
        if let Some(in_time) = self.ended_in_declared_time(job) {
            let queue = job.sub.queue.clone();
            self.preemption_outcomes.entry(queue).or_default().record(in_time);
        }
    }

    pub(crate) fn complete_if_done(&mut self, now: u64, wall: u64, name: &str) {
        let Some(job) = self.jobs.get(name).filter(|job| job.outcome.is_none()) else { return };
        let all_done = job.units.values().all(|unit| unit.state == UnitState::Done);
        let created = job.units.keys().map(|key| key.occurrence.saturating_add(1)).max().unwrap_or(0);
        if all_done && created == job.occurrences() && !job.is_long_running() {
            self.end_job(now, wall, name, Outcome::Completed);
        }
    }

    /// Runs the periodic work: lease expiry, due occurrences, retention, speed shares, then placement.
    pub fn tick(&mut self, now: u64, wall: u64) {
        self.discount_own_delay(now);
        self.expire_leases(now, wall);
        self.end_jobs_without_attempts(now, wall);
        self.create_due_occurrences(now, wall);
        self.remove_old_jobs(now, wall);
        self.remove_old_cancels(now);
        self.judge_suspects(now, wall);
        self.set_paces(now);
        self.update_forecasts(now);
        self.stop_leaving_runs(now);
        self.place_waiting_units(now, wall);
        self.update_digest(now, wall);
    }

    /// Takes a time in which this planner did not run off the age of the workers' reports: it may have heard none. The
    /// ends of their grants stay.
    fn discount_own_delay(&mut self, now: u64) {
        let last = std::mem::replace(&mut self.last_tick_at, now);
        let delay_ms = now.saturating_sub(last);
        if last == 0 || delay_ms < DELAYED_AFTER_MS {
            return;
        }
        for worker in self.workers.values_mut() {
            if worker.last_report_at + MAX_REPORT_AGE_MS >= last {
                worker.last_report_at = (worker.last_report_at + delay_ms).min(now);
            }
        }
        self.log_line(format!("event=planner_delayed delay_ms={delay_ms}"));
    }

    fn expire_leases(&mut self, now: u64, wall: u64) {
        let timing = self.timing;
        // Leases are timed by the worker's clock, which may be 2% slow, and a stop may be in progress when one ends.
        let margin_ms = timing.grant_ms / 50 + timing.stop_ms;
        let expired = |worker: &&Worker| now > worker.granted_until + margin_ms;
        let incarnations: Vec<String> =
            self.workers.values().filter(expired).map(|w| w.info.incarnation.clone()).collect();
        for incarnation in incarnations {
            let cause = self.expiry_cause("no report from its agent before the grant expired", &incarnation);
            self.remove_incarnation(now, wall, &incarnation, &cause);
        }
        let overdue: Vec<String> = self
            .unreported
            .iter()
            .filter(|(_, until)| now > **until)
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        for incarnation in overdue {
            let cause = self.expiry_cause("no report since this planner started", &incarnation);
            self.remove_incarnation(now, wall, &incarnation, &cause);
        }
    }

    fn create_due_occurrences(&mut self, now: u64, wall: u64) {
        let mut changed = Vec::new();
        for name in &self.live {
            let Some(job) = self.jobs.get_mut(name).filter(|job| job.outcome.is_none()) else { continue };
            if job.create_due(wall) {
                changed.push(name.clone());
            }
            let not_ready: Vec<UnitKey> =
                job.units.iter().filter(|(_, unit)| unit.since == 0).map(|(key, _)| *key).collect();
            for key in not_ready {
                let ready = job.is_ready(key, wall);
                if let Some(unit) = job.units.get_mut(&key).filter(|_| ready) {
                    unit.since = now.max(1);
                }
            }
        }
        self.untaken.changed_jobs.extend(changed);
    }

    /// Forgets the jobs that this planner has kept for the retention since it learned of their ends: the clocks of two leaders
    /// may differ. A hand-over begins the time anew, so the number of those that earlier planners have kept is limited.
    fn remove_old_jobs(&mut self, now: u64, wall: u64) {
        let retention_ms = self.timing.ended_retention_ms;
        let ended = |job: &&Job| job.outcome.is_some() && !self.live.contains(&job.sub.job);
        let is_old = |job: &&Job| now > job.ended_at + retention_ms;
        let name = |job: &Job| job.sub.job.clone();
        let mut old: Vec<String> = self.jobs.values().filter(is_old).filter(ended).map(name).collect();
        let excess = self.jobs.len().saturating_sub(self.live.len() + old.len() + MAX_ENDED_JOBS);
        if excess > 0 {
            // Only the jobs that this planner has read have no change in which they ended.
            let is_inherited = |job: &&Job| job.ended_in == 0 && wall > job.ended_ms + retention_ms;
            let mut inherited: Vec<&Job> =
                self.jobs.values().filter(|job| !is_old(job)).filter(ended).filter(is_inherited).collect();
            inherited.sort_by_key(|job| job.ended_ms);
            old.extend(inherited.into_iter().take(excess).map(name));
        }
        for name in old {
            self.jobs.remove(&name);
            self.untaken.changed_jobs.remove(&name);
            self.untaken.removals.extend(record::deletions(&name));
        }
        self.given_up.retain(|_, runs| {
            runs.retain(|(task, _)| self.jobs.contains_key(&task.job));
            !runs.is_empty()
        });
    }

    /// Starts a new run of a unit on the given worker incarnations, whose resources are reserved from now on.
    pub(crate) fn place_unit(&mut self, now: u64, name: &str, key: UnitKey, incarnations: &[String]) {
        let change = self.change;
        let agents: Vec<String> = incarnations
            .iter()
            .map(|id| self.workers.get(id).map(|worker| worker.agent.clone()).unwrap_or_default())
            .collect();
        let Some(job) = self.jobs.get_mut(name) else { return };
        let reserved = job.sub.steps.get(key.step as usize).map(Step::reserved).unwrap_or_default();
        let Some(unit) = job.units.get_mut(&key) else { return };
        unit.run += 1;
        let member = |(incarnation, agent): (&String, String)| crate::unit::Member {
            worker: incarnation.clone(),
            agent,
            released: false,
            seen: false,
            percent: 0,
        };
        unit.members = incarnations.iter().zip(agents).map(member).collect();
        unit.placed_in = change;
        let (run, waited_ms) = (unit.run, now.saturating_sub(unit.since));
        let waits = format_waits(&unit.waits.end(now));
        unit.placed_at = Some(now);
        set_state(unit, UnitState::Placed, now);
        self.agents_to_wake_by_change
            .extend(unit.members.iter().map(|member| (change, member.agent.clone())));
        for (offset, incarnation) in incarnations.iter().enumerate() {
            if let Some(worker) = self.workers.get_mut(incarnation) {
                worker.used += reserved;
                worker.placed.insert((key.task(name, offset), run));
            }
        }
        let (workers, first) = (incarnations.join(","), key.task(name, 0));
        self.log_line(format!(
            "event=placed job={name} task={first} run={run} waited_ms={waited_ms} waits=\"{waits}\" workers={workers}"
        ));
        self.mark_changed(name);
    }

    /// Ends the run of a placed unit; the unit waits again once all members are released.
    pub(crate) fn evict(&mut self, now: u64, name: &str, key: UnitKey, reason: &str) {
        let unit = self.jobs.get_mut(name).and_then(|job| job.units.get_mut(&key));
        let Some(unit) = unit.filter(|unit| unit.state == UnitState::Placed) else { return };
        let run = unit.run;
        set_state(unit, UnitState::Ending, now);
        self.wake_member_agents(name, key);
        self.log_line(format!(
            "event=preempted job={name} task={} run={run} why={reason:?}",
            key.task(name, 0)
        ));
    }

    /// Counts a run of a job that is stopped in favor of another job, for operators.
    pub(crate) fn record_stopped_for_other(&mut self, now: u64, name: &str) {
        if let Some(job) = self.jobs.get(name) {
            self.account_counts.record(now, &job.sub.account, AccountEvent::Stopped);
        }
    }

    /// Returns the total capacity of the known workers of a service.
    pub fn capacity_of(&self, service: &str) -> Resources {
        let mut total = Resources::default();
        for worker in self.workers.values().filter(|worker| worker.info.service == service) {
            total += worker.info.capacity;
        }
        total
    }
}

pub(crate) fn set_state(unit: &mut Unit, state: UnitState, now: u64) {
    unit.state = state;
    unit.since = now.max(1);
}

pub(crate) fn mark_ending(unit: &mut Unit, now: u64) {
    if unit.state == UnitState::Placed {
        set_state(unit, UnitState::Ending, now);
    }
}
