//! Scheduling passes over the jobs that this entry has claimed, and the tasks that drive them.

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelland_core::id::JobId;
use sorrelland_core::policy::Millis;
use sorrelland_core::table::{Class, Placement, Running, Tables, Waiting};
use sorrelland_core::tick::{Action, Cause};
use sorrelland_ledger::{Fold, JobSpec, RecordedAttempt, Stage};

use crate::entry::attempt::Source;
use crate::entry::burn::{Event, Objective};
use crate::entry::{Entry, unix_ms};
use crate::sync::lock;

/// Delay after an attempt before the job is tried again, for instance when agents had too few free resources.
const RETRY_DELAY_MS: Millis = 250;

/// Start objective of urgent jobs.
const URGENT_START_LIMIT_MS: Millis = 2_300;

/// Start objective of other jobs.
const START_LIMIT_MS: Millis = 2 * 60 * 60 * 1_000;

/// State of a job that a task of this process drives, or drove until recently.
#[derive(Clone, Debug)]
pub struct Driver {
    /// What the attempt holds or is reserving; `None` for an adopted job and after the end.
    pub running: Option<Running>,
    /// Earliest time of the next attempt; `None` while the task runs.
    pub retry_at_ms: Option<Millis>,
}

/// A job that this entry may try to start.
struct Candidate {
    spec: JobSpec,
    since_ms: Millis,
    done_ms: Millis,
    source: Source,
}

impl Entry {
    pub(super) async fn schedule_loop(self: Arc<Self>) {
        loop {
            let _ = tokio::time::timeout(self.settings.entry.tick, self.schedule_wake.notified()).await;
            self.run_pass();
            // Batches the wake-ups of the next few milliseconds into one pass.
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    fn run_pass(self: &Arc<Self>) {
        let now_ms = unix_ms();
        lock(&self.drivers).retain(|_, driver| driver.retry_at_ms.is_none_or(|retry_at| now_ms < retry_at));
        self.drive_placed(now_ms);
        let candidates = self.candidates();
        if candidates.is_empty() {
            return;
        }
        let mut tables = self.tables(now_ms);
        for (job, candidate) in &candidates {
            let demand = candidate.spec.demand.clone();
            let waiting = Waiting { demand, since_ms: candidate.since_ms, done_ms: candidate.done_ms };
            tables.waiting.insert(job.clone(), waiting);
        }
        let started = std::time::Instant::now();
        let starts = self.decide_starts(&tables, now_ms);
        log::trace!(
            "scheduling pass over {} jobs took {} us",
            tables.waiting.len(),
            started.elapsed().as_micros()
        );
        for (job, placement, cause) in starts {
            let Some(candidate) = candidates.get(&job) else { continue };
            self.start_attempt(&job, candidate, placement, cause, now_ms);
        }
    }

    /// Runs one scheduler tick and returns the jobs to start.
    ///
    /// A job that claims resources of preempted jobs is started at once: its reservation makes them yield.
    fn decide_starts(&self, tables: &Tables, now_ms: Millis) -> Vec<(JobId, Placement, Option<Cause>)> {
        let mut scheduler = lock(&self.scheduler);
        let actions = scheduler.tick(tables, now_ms);
        let mut causes: BTreeMap<JobId, Cause> = BTreeMap::new();
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Start { job, placement } => starts.push((job, placement, None)),
                Action::Preempt { for_job, cause, .. } => {
                    causes.insert(for_job, cause);
                }
            }
        }
        for (job, claim) in std::mem::take(&mut scheduler.claims) {
            let cause = causes.get(&job).copied().unwrap_or(Cause::Guarantee);
            starts.push((job, claim.placement, Some(cause)));
        }
        starts
    }

    /// Drives placed jobs that have no driver yet: adopted ones, and those placed before a restart.
    fn drive_placed(self: &Arc<Self>, now_ms: Millis) {
        let driven = self.driven_jobs();
        let placed = self.with_fold(|fold| {
            let own = fold.jobs.iter().filter(|(name, job)| self.is_own(job) && !driven.contains(*name));
            let placed = own.filter_map(|(name, job)| match &job.stage {
                Stage::Placed(placed) => Some((name.clone(), job.spec.clone(), placed.clone())),
                _ => None,
            });
            placed.collect::<Vec<(JobId, JobSpec, RecordedAttempt)>>()
        });
        for (job, spec, placed) in placed.unwrap_or_default() {
            let driver = Driver { running: None, retry_at_ms: None };
            lock(&self.drivers).insert(job.clone(), driver);
            let entry = self.clone();
            tokio::spawn(async move {
                entry.watch_adopted(&job, &spec, &placed).await;
                entry.finish_driver(&job, now_ms);
            });
        }
        self.end_cancelled(&driven, now_ms);
    }

    /// Records the end of all cancelled waiting jobs in one write.
    fn end_cancelled(self: &Arc<Self>, driven: &std::collections::BTreeSet<JobId>, now_ms: Millis) {
        let cancelled = self.with_fold(|fold| {
            let own = fold.jobs.iter().filter(|(name, job)| {
                job.cancelled && job.stage == Stage::Waiting && self.is_own(job) && !driven.contains(*name)
            });
            own.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        });
        let cancelled = cancelled.unwrap_or_default();
        if cancelled.is_empty() {
            return;
        }
        for job in &cancelled {
            lock(&self.drivers).insert(job.clone(), Driver { running: None, retry_at_ms: None });
        }
        let entry = self.clone();
        tokio::spawn(async move {
            entry.record_cancelled(&cancelled).await;
            cancelled.iter().for_each(|job| entry.finish_driver(job, now_ms));
        });
    }

    /// Returns whether this incarnation of the entry has claimed the job.
    pub(super) fn is_own(&self, job: &sorrelland_ledger::Job) -> bool {
        job.claimant.as_deref() == Some(&self.claimant)
    }

    /// Returns the waiting jobs that no task drives; on a stopping entry only attached ones.
    fn candidates(&self) -> BTreeMap<JobId, Candidate> {
        let driven = self.driven_jobs();
        let mut candidates = BTreeMap::new();
        if !self.stop.is_raised() {
            let waiting = self.with_fold(|fold| self.waiting_jobs(fold));
            candidates.extend(waiting.unwrap_or_default());
        }
        for (job, attached) in &*lock(&self.attached) {
            if attached.is_waiting() {
                let candidate = Candidate {
                    spec: attached.spec.clone(),
                    since_ms: attached.since_ms,
                    done_ms: 0,
                    source: Source::Attached,
                };
                candidates.insert(job.clone(), candidate);
            }
        }
        candidates.retain(|job, _| !driven.contains(job));
        candidates
    }

    fn waiting_jobs(&self, fold: &Fold) -> Vec<(JobId, Candidate)> {
        let waiting = fold
            .jobs
            .iter()
            .filter(|(_, job)| job.stage == Stage::Waiting && !job.cancelled && self.is_own(job));
        let candidate = |(name, job): (&JobId, &sorrelland_ledger::Job)| {
            let source = Source::Logged { claim: job.claim, last_epoch: job.last_epoch };
            let candidate =
                Candidate { spec: job.spec.clone(), since_ms: job.accepted_ms, done_ms: job.done_ms, source };
            (name.clone(), candidate)
        };
        waiting.map(candidate).collect()
    }

    /// Returns the scheduler's tables without waiting jobs: workers, accounts, plan, running and starting jobs.
    pub(super) fn tables(&self, now_ms: Millis) -> Tables {
        let mut tables = Tables::new();
        {
            let fleet = lock(&self.fleet);
            tables.workers = fleet.workers();
            tables.running = fleet.running(now_ms);
        }
        for (job, driver) in &*lock(&self.drivers) {
            if let Some(running) = &driver.running {
                tables.running.entry(job.clone()).or_insert_with(|| running.clone());
            }
        }
        self.with_fold(|fold| {
            tables.accounts = fold.accounts.clone();
            tables.plan = fold.plan.clone();
        });
        tables
    }

    fn start_attempt(
        self: &Arc<Self>,
        job: &JobId,
        candidate: &Candidate,
        placement: Placement,
        cause: Option<Cause>,
        now_ms: Millis,
    ) {
        let running = Running {
            demand: candidate.spec.demand.clone(),
            placement: placement.clone(),
            since_ms: candidate.since_ms,
            started_ms: now_ms,
            done_ms: candidate.done_ms,
        };
        let driver = Driver { running: Some(running), retry_at_ms: None };
        lock(&self.drivers).insert(job.clone(), driver);
        let entry = self.clone();
        self.record_start(candidate, now_ms);
        let (job, spec) = (job.clone(), candidate.spec.clone());
        let (source, done_ms) = (candidate.source, candidate.done_ms);
        tokio::spawn(async move {
            entry.attempt(&job, &spec, source, &placement, cause, done_ms).await;
            entry.finish_driver(&job, unix_ms());
        });
    }

    /// Counts the start of an attempt for the account's start objective, by the time since submission.
    fn record_start(&self, candidate: &Candidate, now_ms: Millis) {
        let demand = &candidate.spec.demand;
        let limit_ms = match demand.class {
            Class::Urgent => URGENT_START_LIMIT_MS,
            _ => START_LIMIT_MS,
        };
        let late = now_ms.saturating_sub(candidate.since_ms) > limit_ms;
        let event = if late { Event::Late } else { Event::Good };
        lock(&self.burn).record(&demand.account, Objective::Starts, event, now_ms);
    }

    /// Marks a job's task as ended; the job may be attempted again after a delay.
    fn finish_driver(&self, job: &JobId, now_ms: Millis) {
        let retry_at_ms = now_ms.max(unix_ms()) + RETRY_DELAY_MS;
        let driver = Driver { running: None, retry_at_ms: Some(retry_at_ms) };
        lock(&self.drivers).insert(job.clone(), driver);
        self.schedule_wake.notify_one();
    }
}
