//! The scheduling pass over the jobs that this entry is in charge of.

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelland_core::id::JobId;
use sorrelland_core::policy::Millis;
use sorrelland_core::table::{Class, Placement, Running, Tables, Waiting};
use sorrelland_core::tick::{Action, Cause};
use sorrelland_ledger::{Fold, JobSpec, RecordedAttempt, Stage};

use crate::entry::attempt::Source;
use crate::entry::burn::{Event, Objective};
use crate::entry::{Entry, wall_ms};
use crate::sync::lock;

/// Pause before a job that found no room at the agents is tried again, in milliseconds.
const BACKOFF_MS: Millis = 250;

/// Time within which urgent jobs have to start, in milliseconds.
const URGENT_START_MS: Millis = 2_300;

/// Time within which other jobs have to start, in milliseconds.
const START_MS: Millis = 2 * 60 * 60 * 1_000;

/// A job that a task of this process looks after.
#[derive(Clone, Debug)]
pub struct Driver {
    /// What it holds or is about to hold.
    pub running: Option<Running>,
    /// Time before which the job is not tried again.
    pub rest_until_ms: Option<Millis>,
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
            let _ = tokio::time::timeout(self.settings.entry.tick, self.wake.notified()).await;
            self.pass();
            // One pass for all that woke it meanwhile.
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    fn pass(self: &Arc<Self>) {
        let now_ms = wall_ms();
        lock(&self.drivers).retain(|_, driver| driver.rest_until_ms.is_none_or(|until| now_ms < until));
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
        let starts = self.decide(&tables, now_ms);
        log::trace!("pass over {} jobs took {} us", tables.waiting.len(), started.elapsed().as_micros());
        for (job, placement, cause) in starts {
            let Some(candidate) = candidates.get(&job) else { continue };
            self.start_attempt(&job, candidate, placement, cause, now_ms);
        }
    }

    /// Runs the core's systems; a claim on room that others vacate is tried at the agents at once.
    fn decide(&self, tables: &Tables, now_ms: Millis) -> Vec<(JobId, Placement, Option<Cause>)> {
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

    /// Looks after jobs that hold workers but have no driver here: adopted or restarted ones.
    fn drive_placed(self: &Arc<Self>, now_ms: Millis) {
        let driven = self.driven();
        let placed = self.with_fold(|fold| {
            let mine = fold.jobs.iter().filter(|(name, job)| self.is_mine(job) && !driven.contains(*name));
            let placed = mine.filter_map(|(name, job)| match &job.stage {
                Stage::Placed(placed) => Some((name.clone(), job.spec.clone(), placed.clone())),
                _ => None,
            });
            placed.collect::<Vec<(JobId, JobSpec, RecordedAttempt)>>()
        });
        for (job, spec, placed) in placed.unwrap_or_default() {
            let driver = Driver { running: None, rest_until_ms: None };
            lock(&self.drivers).insert(job.clone(), driver);
            let entry = self.clone();
            tokio::spawn(async move {
                entry.watch_adopted(&job, &spec, &placed).await;
                entry.rest(&job, now_ms);
            });
        }
        self.end_cancelled(&driven, now_ms);
    }

    /// Ends waiting jobs that were cancelled, all of them in one write.
    fn end_cancelled(self: &Arc<Self>, driven: &std::collections::BTreeSet<JobId>, now_ms: Millis) {
        let cancelled = self.with_fold(|fold| {
            let mine = fold.jobs.iter().filter(|(name, job)| {
                job.cancelled && job.stage == Stage::Waiting && self.is_mine(job) && !driven.contains(*name)
            });
            mine.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        });
        let cancelled = cancelled.unwrap_or_default();
        if cancelled.is_empty() {
            return;
        }
        for job in &cancelled {
            lock(&self.drivers).insert(job.clone(), Driver { running: None, rest_until_ms: None });
        }
        let entry = self.clone();
        tokio::spawn(async move {
            entry.write_cancelled(&cancelled).await;
            cancelled.iter().for_each(|job| entry.rest(job, now_ms));
        });
    }

    pub(super) fn is_mine(&self, job: &sorrelland_ledger::Job) -> bool {
        job.claimant.as_deref() == Some(&self.claimant)
    }

    fn candidates(&self) -> BTreeMap<JobId, Candidate> {
        let driven = self.driven();
        let mut candidates = BTreeMap::new();
        if !self.stop.is_raised() {
            let mine = self.with_fold(|fold| self.waiting_jobs(fold));
            candidates.extend(mine.unwrap_or_default());
        }
        for (job, attached) in &*lock(&self.attached) {
            if attached.waits() {
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
        let waits = fold
            .jobs
            .iter()
            .filter(|(_, job)| job.stage == Stage::Waiting && !job.cancelled && self.is_mine(job));
        let candidate = |(name, job): (&JobId, &sorrelland_ledger::Job)| {
            let source = Source::Logged { claim: job.claim, last_epoch: job.last_epoch };
            let candidate =
                Candidate { spec: job.spec.clone(), since_ms: job.accepted_ms, done_ms: job.done_ms, source };
            (name.clone(), candidate)
        };
        waits.map(candidate).collect()
    }

    /// Returns the tables without waiting jobs: workers, accounts, plan, and what runs or is being started.
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
        let driver = Driver { running: Some(running), rest_until_ms: None };
        lock(&self.drivers).insert(job.clone(), driver);
        let entry = self.clone();
        self.judge_start(candidate, now_ms);
        let (job, spec) = (job.clone(), candidate.spec.clone());
        let (source, done_ms) = (candidate.source, candidate.done_ms);
        tokio::spawn(async move {
            entry.attempt(&job, &spec, source, &placement, cause, done_ms).await;
            entry.rest(&job, wall_ms());
        });
    }

    /// Counts a first start against the account's objective.
    fn judge_start(&self, candidate: &Candidate, now_ms: Millis) {
        let demand = &candidate.spec.demand;
        let bound_ms = match demand.class {
            Class::Urgent => URGENT_START_MS,
            _ => START_MS,
        };
        let late = now_ms.saturating_sub(candidate.since_ms) > bound_ms;
        let event = if late { Event::Late } else { Event::Good };
        lock(&self.burn).record(&demand.account, Objective::Starts, event, now_ms);
    }

    /// Ends a driver; the job may be tried again after a pause.
    fn rest(&self, job: &JobId, now_ms: Millis) {
        let until_ms = now_ms.max(wall_ms()) + BACKOFF_MS;
        let driver = Driver { running: None, rest_until_ms: Some(until_ms) };
        lock(&self.drivers).insert(job.clone(), driver);
        self.wake.notify_one();
    }
}
