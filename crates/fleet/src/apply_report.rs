//! Applies agents' reports: running and ended runs, and worker incarnations that were replaced.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;

use crate::bounds::OutOfBounds;
use crate::forecast::run_id;
use crate::incarnation;
use crate::job::{Job, Outcome, Step};
use crate::leaving::Departure;
use crate::planner::{Agent, Planner, mark_ending, set_state};
use crate::report::{End, EndReason, FirstMark, NotStarted, Report, Running, WORKER_CRASHED};
use crate::resources::Resources;
use crate::task::Task;
use crate::unit::{Unit, UnitKey, UnitState};
use crate::worker::Worker;

/// Reason of a start that was refused because its approval was not accepted.
pub const APPROVAL_REFUSED: &str = "ticket";

/// Time within which an agent reports a start that it had sent when its worker began to drain, in milliseconds.
const START_REPORT_MS: u64 = 700;

/// Time within which agents list the runs that an earlier planner placed, in milliseconds.
const FIRST_LISTING_MS: u64 = 3_000;

/// Age from which a run that an agent reports is an error, in milliseconds: one day.
const MAX_RUN_AGE_MS: u64 = 24 * 3_600_000;

/// Runs of a lost worker that its line in the logs names.
const MAX_LOGGED_RUNS: usize = 16;

/// Longest part of a name out of bounds that is logged, in characters.
const MAX_LOGGED_CHARS: usize = 80;

/// Time within which lost workers count as lost together, in milliseconds.
const LOST_TOGETHER_MS: u64 = 1_000;

/// The report that a change is based on, displayed as keys of a log line.
#[derive(Clone, Debug, Default, Display)]
#[display("agent={agent} agent_incarnation={agent_incarnation} seq={seq} replaced_by={replaced_by:?}")]
pub(crate) struct Source {
    agent: String,
    agent_incarnation: u64,
    /// Sequence number of the report; of the newest one if it is the lack of reports that led to the change.
    seq: u64,
    /// The worker incarnation that it names instead; empty for none.
    replaced_by: String,
}

/// Why an incarnation of a worker is removed.
pub(crate) struct RemovalCause {
    reason: &'static str,
    /// Whether the worker has crashed, unless it was about to leave.
    is_crash: bool,
    /// Time for which it had not answered before, in milliseconds.
    silent_ms: Option<u64>,
    source: Source,
}

impl Source {
    fn new(report: &Report) -> Self {
        Self {
            agent: report.agent.clone(),
            agent_incarnation: report.agent_incarnation,
            seq: report.seq,
            replaced_by: String::new(),
        }
    }
}

impl RemovalCause {
    fn replacement(report: &Report, replaced_by: &str) -> Self {
        Self {
            reason: "its worker was replaced by a new incarnation",
            is_crash: true,
            silent_ms: report.silent_before_ms,
            source: Source { replaced_by: replaced_by.to_owned(), ..Source::new(report) },
        }
    }
}

impl Planner {
    /// Applies the report of an agent; returns whether it is current. `connected_at` is when the connection that
    /// delivered it was accepted, on the monotonic clock.
    ///
    /// An agent was alive when its connection was accepted, so a report of another incarnation than the known one is
    /// newer only if its connection is. Otherwise it changes nothing, like a report that arrives out of order.
    ///
    /// What is out of bounds in it counts as not reported: another writer's announcement or another build may be the cause.
    pub fn apply_report(&mut self, now: u64, wall: u64, connected_at: u64, report: &Report) -> bool {
        let known_info = |incarnation: &str| Some(self.workers.get(incarnation)?.info.clone());
        match report.bounded(known_info) {
            Some((bounded, finding)) => {
                self.record_finding(now, report, &finding);
                self.apply_bounded_report(now, wall, connected_at, &bounded)
            }
            None => self.apply_bounded_report(now, wall, connected_at, report),
        }
    }

    fn apply_bounded_report(&mut self, now: u64, wall: u64, connected_at: u64, report: &Report) -> bool {
        let known = self.agents.get(&report.agent).cloned();
        if let Some(known) = &known {
            if known.incarnation != report.agent_incarnation && connected_at <= known.connected_at {
                self.record_ignored(now, report, "older_connection");
                return false;
            }
            if known.incarnation == report.agent_incarnation && known.seq >= report.seq {
                self.record_ignored(now, report, "older_seq");
                return true;
            }
        }
        let older = self.unreported_workers(report);
        if !older.is_empty() && connected_at <= self.created_at {
            // An earlier planner may have heard of a newer worker.
            self.record_ignored(now, report, "connected_before_planner");
            return false;
        }
        if let Some(known) = known.as_ref().filter(|known| known.incarnation != report.agent_incarnation) {
            self.log_restarted_agent(report, known);
        }
        let newest_connection = known.as_ref().map_or(0, |known| known.connected_at).max(connected_at);
        let mut worker = known.and_then(|known| known.worker);
        if let Some(info) = &report.worker {
            let replaced = worker.replace(info.incarnation.clone()).filter(|old| {
                *old != info.incarnation
                    && self.workers.get(old).is_some_and(|worker| worker.agent == report.agent)
            });
            for old in replaced.into_iter().chain(older) {
                self.remove_incarnation(
                    now,
                    wall,
                    &old,
                    &RemovalCause::replacement(report, &info.incarnation),
                );
            }
            self.unreported.remove(&info.incarnation);
            self.apply_worker_report(now, wall, report);
        }
        let (incarnation, seq) = (report.agent_incarnation, report.seq);
        let knows_worker = report.worker.is_some();
        let agent = Agent { incarnation, seq, connected_at: newest_connection, worker, knows_worker };
        self.agents.insert(report.agent.clone(), agent);
        true
    }

    fn log_restarted_agent(&mut self, report: &Report, known: &Agent) {
        self.log_line(format!(
            "event=agent_restarted agent={} agent_incarnation={} seq={} known_incarnation={} known_seq={} worker={:?}",
            report.agent,
            report.agent_incarnation,
            report.seq,
            known.incarnation,
            known.seq,
            reported_worker(report)
        ));
    }

    /// Returns the other workers than the reported one that an earlier planner placed runs on through the same agent,
    /// and that have not reported to this planner.
    fn unreported_workers(&self, report: &Report) -> BTreeSet<String> {
        let Some(info) = &report.worker else { return BTreeSet::new() };
        if self.unreported.is_empty() {
            return BTreeSet::new();
        }
        let members = self.live.iter().filter_map(|name| self.jobs.get(name));
        let members = members.flat_map(|job| job.units.values()).flat_map(|unit| &unit.members);
        members
            .filter(|member| {
                !member.released && member.agent == report.agent && member.worker != info.incarnation
            })
            .filter(|member| self.unreported.contains_key(&member.worker))
            .map(|member| member.worker.clone())
            .collect()
    }

    /// Counts a report with a value out of bounds, and logs it if a line is due.
    fn record_finding(&mut self, now: u64, report: &Report, finding: &OutOfBounds) {
        const REASON: &str = "out_of_bounds";
        *self.ignored_reports.entry(REASON).or_default() += 1;
        let Some(count) = self.line_limit.record(now, REASON) else { return };
        self.log_line(format!(
            "event=report_ignored agent={:?} agent_incarnation={} seq={} reason={REASON} cause=\"{finding}\" worker={:?} \
             count={count}",
            excerpt(&report.agent),
            report.agent_incarnation,
            report.seq,
            excerpt(reported_worker(report)),
        ));
    }

    /// Counts a report that is ignored, and logs it if a line is due.
    fn record_ignored(&mut self, now: u64, report: &Report, reason: &'static str) {
        *self.ignored_reports.entry(reason).or_default() += 1;
        let Some(count) = self.line_limit.record(now, reason) else { return };
        let known = self.agents.get(&report.agent);
        let (known_incarnation, known_seq) = known.map_or((0, 0), |agent| (agent.incarnation, agent.seq));
        self.log_line(format!(
            "event=report_ignored agent={} agent_incarnation={} seq={} reason={reason} worker={:?} \
             known_incarnation={known_incarnation} known_seq={known_seq} known_worker={:?} count={count}",
            report.agent,
            report.agent_incarnation,
            report.seq,
            reported_worker(report),
            known.and_then(|agent| agent.worker.as_deref()).unwrap_or_default(),
        ));
    }

    /// Returns the cause of the removal of an incarnation whose agent hasn't reported in time.
    pub(crate) fn expiry_cause(&self, reason: &'static str, incarnation: &str) -> RemovalCause {
        let members = self.live.iter().filter_map(|name| self.jobs.get(name));
        let mut members = members.flat_map(|job| job.units.values()).flat_map(|unit| &unit.members);
        let agent = match self.workers.get(incarnation) {
            Some(worker) => Some(&worker.agent),
            None => members.find(|member| member.worker == incarnation).map(|member| &member.agent),
        };
        let agent = agent.cloned().unwrap_or_default();
        let known = self.agents.get(&agent);
        let (agent_incarnation, seq) = known.map_or((0, 0), |known| (known.incarnation, known.seq));
        let source = Source { agent, agent_incarnation, seq, replaced_by: String::new() };
        RemovalCause { reason, is_crash: false, silent_ms: None, source }
    }

    fn apply_worker_report(&mut self, now: u64, wall: u64, report: &Report) {
        let Some(info) = &report.worker else { return };
        let incarnation = info.incarnation.clone();
        if !self.workers.contains_key(&incarnation) {
            let mut worker = Worker::new(info.clone(), report.agent.clone(), now);
            self.adopt_members(&mut worker);
            let name = incarnation::split(&incarnation).0;
            let differing =
                if name == incarnation { String::new() } else { format!(" incarnation={incarnation}") };
            self.log_line(format!(
                "event=worker_joined worker={name}{differing} agent={} agent_incarnation={} seq={}",
                report.agent, report.agent_incarnation, report.seq
            ));
            self.workers.insert(incarnation.clone(), worker);
        }
        let running = report.running.iter().map(|run| ((run.task.clone(), run.run), run.clone())).collect();
        let Some(worker) = self.workers.get_mut(&incarnation) else { return };
        if info.draining && !worker.info.draining {
            let remaining_ms = info.remaining_ms.unwrap_or(0);
            self.log.push(format!("event=worker_draining worker={incarnation} remaining_ms={remaining_ms}"));
        }
        if info.capacity != worker.info.capacity {
            let (from, to) = (worker.info.capacity, info.capacity);
            self.log.push(format!("event=capacity_changed worker={incarnation} from={from} to={to}"));
        }
        worker.draining_since = info.draining.then(|| worker.draining_since.unwrap_or(now));
        worker.departure = Departure::update(worker.departure, now, info);
        worker.info = info.clone();
        worker.agent.clone_from(&report.agent);
        worker.last_report_at = now;
        worker.running = running;
        let last_applied = worker.applied_end.0;
        for mark in &report.first_marks {
            self.apply_first_mark(now, &incarnation, mark);
        }
        for run in &report.running {
            self.record_running(now, &incarnation, run);
            self.forecast_progress(now, &incarnation, run);
        }
        let accounted = report.ended.iter().map(|end| (&end.task, end.run));
        let accounted = accounted.chain(report.not_started.iter().map(|entry| (&entry.task, entry.run)));
        if let Some(given_up) = self.given_up.get_mut(&incarnation) {
            accounted.for_each(|(task, run)| _ = given_up.remove(&(task.clone(), run)));
        }
        for end in report.ended.iter().filter(|end| end.number > last_applied) {
            let changed = self.record_end(now, wall, &incarnation, end);
            let change = self.change;
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.applied_end = (end.number, if changed { change } else { worker.applied_end.1 });
                self.agents_to_wake_by_change.insert((worker.applied_end.1, worker.agent.clone()));
            }
        }
        let crashed = report.not_started.iter().filter(|entry| entry.reason == WORKER_CRASHED);
        let crashed: Vec<_> = crashed
            .filter(|entry| self.member_mut(&incarnation, &entry.task, entry.run).is_some())
            .map(|entry| (entry.task.clone(), entry.run))
            .collect();
        if !crashed.is_empty() {
            self.record_crash(now, &incarnation, None, &crashed);
        }
        for entry in &report.not_started {
            self.record_not_started(now, wall, &incarnation, entry, &Source::new(report));
        }
        self.withdraw_starts(now, &incarnation);
    }

    /// Withdraws placements on a worker that has not reported their starts: the newest ones until the others fit into its
    /// capacity, which may have shrunk since they were made, and all of them if it drains, since its agent sends it no
    /// starts then. What runs there goes on.
    fn withdraw_starts(&mut self, now: u64, incarnation: &str) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let is_draining = worker.draining_since.is_some_and(|since| now >= since + START_REPORT_MS);
        let mut free = worker.free();
        if free.is_non_negative() && !is_draining {
            return;
        }
        let mut withdrawn = Vec::new();
        // An agent that has restarted may list what runs later than it reports.
        let may_be_listed = now < self.created_at + FIRST_LISTING_MS;
        for ((_, job, key), reserved) in self.unseen_starts(worker).into_iter().rev() {
            let fits = free.is_non_negative();
            let is_known = || {
                let unit = self.jobs.get(job).and_then(|job| job.units.get(&key));
                unit.is_some_and(|unit| unit.placed_at.is_some())
            };
            if fits && !is_draining {
                break;
            }
            if fits && may_be_listed && !is_known() {
                continue;
            }
            free += reserved;
            withdrawn.push((job.to_owned(), key));
        }
        let reason = if is_draining { "its worker drains" } else { "the capacity of its worker has shrunk" };
        for (job, key) in withdrawn {
            self.evict(now, &job, key, reason);
        }
    }

    /// Returns the units whose start on a worker has not been reported, by the change that placed them, with what they
    /// reserve there.
    fn unseen_starts(&self, worker: &Worker) -> BTreeMap<(u64, &str, UnitKey), Resources> {
        let mut unseen: BTreeMap<(u64, &str, UnitKey), Resources> = BTreeMap::new();
        for (task, run) in &worker.placed {
            let Some((key, offset)) = self.unit_of(task) else { continue };
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let Some(unit) = job.units.get(&key).filter(|unit| unit.state == UnitState::Placed) else {
                continue;
            };
            let is_seen = unit.members.get(offset).is_none_or(|member| member.seen);
            if unit.run == *run && !is_seen {
                let reserved = job.sub.steps.get(key.step as usize).map(Step::reserved);
                *unseen.entry((unit.placed_in, &job.sub.job, key)).or_default() +=
                    reserved.unwrap_or_default();
            }
        }
        unseen
    }

    /// Reserves resources for the members that stored jobs have on a newly reported worker.
    fn adopt_members(&self, worker: &mut Worker) {
        for name in &self.live {
            let Some(job) = self.jobs.get(name) else { continue };
            for (key, unit) in &job.units {
                let Some(step) = job.sub.steps.get(key.step as usize) else { continue };
                for (offset, member) in unit.members.iter().enumerate() {
                    if !member.released && member.worker == worker.info.incarnation {
                        worker.used += step.reserved();
                        worker.placed.insert((key.task(name, offset), unit.run));
                    }
                }
            }
        }
    }

    /// Returns the key of the unit that a subtask belongs to, and its offset within the unit.
    pub(crate) fn unit_of(&self, task: &Task) -> Option<(UnitKey, usize)> {
        let step = self.jobs.get(&task.job)?.sub.steps.get(task.step as usize)?;
        let (index, offset) = if step.gang { (0, task.index as usize) } else { (task.index, 0) };
        Some((UnitKey { occurrence: task.occurrence, step: task.step, index }, offset))
    }

    /// Returns the job, unit key and offset of a run that occupies resources on a worker incarnation.
    fn member_mut(&mut self, incarnation: &str, task: &Task, run: u64) -> Option<(&mut Job, UnitKey, usize)> {
        let (key, offset) = self.unit_of(task)?;
        let job = self.jobs.get_mut(&task.job)?;
        let unit = job.units.get(&key).filter(|unit| unit.run == run)?;
        let member = unit.members.get(offset)?;
        (member.worker == incarnation && !member.released).then_some((job, key, offset))
    }

    /// Takes over from an agent how old a run is that an earlier planner placed, and its first progress.
    fn apply_first_mark(&mut self, now: u64, incarnation: &str, mark: &FirstMark) {
        let FirstMark { task, run, age_ms, percent, is_start } = mark;
        if *percent > 100 || *age_ms > MAX_RUN_AGE_MS {
            if let Some(count) = self.line_limit.record(now, "absurd first mark") {
                self.log_line(format!(
                    "event=first_mark_ignored worker={incarnation} mark=\"{mark:?}\" count={count}"
                ));
            }
            return;
        }
        let at = now.saturating_sub(*age_ms);
        let Some((job, key, _)) = self.member_mut(incarnation, task, *run) else { return };
        // The members of a gang start together: the first that is heard of speaks for all.
        let is_unknown = |unit: &&mut Unit| unit.placed_at.is_none() && unit.state == UnitState::Placed;
        let Some(unit) = job.units.get_mut(&key).filter(is_unknown) else { return };
        if !is_start {
            return;
        }
        unit.placed_at = Some(at);
        unit.since = at.max(1);
        let is_seeded = unit.seed_progress(at, *percent);
        if is_seeded {
            self.forecast_start(at, incarnation, mark);
        }
    }

    fn record_running(&mut self, now: u64, incarnation: &str, running: &Running) {
        let Running { task, run, saved, percent, .. } = running;
        let Some((job, key, offset)) = self.member_mut(incarnation, task, *run) else { return };
        let first_start = !job.started;
        job.started = true;
        if let Some(unit) = job.units.get_mut(&key) {
            if let Some(member) = unit.members.get_mut(offset) {
                member.seen = true;
                member.percent = *percent;
            }
            unit.record_progress(now, offset, saved);
            if !saved.is_empty() {
                unit.saved.clone_from(saved);
            }
        }
        if first_start {
            self.mark_changed(&task.job);
        }
    }

    /// Applies the end of a run; returns whether anything changed.
    fn record_end(&mut self, now: u64, wall: u64, incarnation: &str, end: &End) -> bool {
        if self.member_mut(incarnation, &end.task, end.run).is_none() {
            return false;
        }
        self.forecast_end(now, incarnation, end);
        let speed_milli = self.slowest_member_milli(&end.task);
        let Some((job, key, _)) = self.member_mut(incarnation, &end.task, end.run) else { return false };
        job.started = true;
        let long_running = job.sub.steps.get(key.step as usize).is_some_and(|step| step.long_running);
        let Some(unit) = job.units.get_mut(&key) else { return false };
        let ran_ms = unit.placed_at.map_or(0, |at| now.saturating_sub(at));
        // A run that continued from saved progress was shorter than its work.
        let is_measured = unit.run == 1 || unit.saved.is_empty();
        if !end.saved.is_empty() {
            unit.saved = end.saved.clone();
        }
        let mut failed = false;
        match end.reason {
            EndReason::Done if !long_running => {
                if is_measured {
                    unit.measured_work_ms = unit.measured_work_ms.max(ran_ms * speed_milli / 1_000);
                }
                set_state(unit, UnitState::Done, now);
            }
            EndReason::Failed => {
                unit.record_failure(incarnation);
                failed = true;
                mark_ending(unit, now);
            }
            EndReason::Done
            | EndReason::Stopped
            | EndReason::Lapsed
            | EndReason::Broken
            | EndReason::Alone => mark_ending(unit, now),
        }
        let fails = unit.failures;
        self.log_line(format!(
            "event=run_ended job={} task={} run={} how={:?} worker={incarnation} ran_ms={ran_ms} fails={fails}",
            end.task.job, end.task, end.run, end.reason
        ));
        if let Some(worker) = self.workers.get_mut(incarnation) {
            match end.reason {
                EndReason::Done => worker.record_success(),
                EndReason::Failed => worker.record_failure(now),
                _ => (),
            }
        }
        self.release_member(now, incarnation, &end.task, end.run);
        if failed && self.jobs.get(&end.task.job).is_some_and(|job| self.has_no_attempt_left(job)) {
            self.end_job(now, wall, &end.task.job, Outcome::Failed);
        }
        self.complete_if_done(now, wall, &end.task.job);
        true
    }

    fn record_not_started(
        &mut self,
        now: u64,
        wall: u64,
        incarnation: &str,
        entry: &NotStarted,
        source: &Source,
    ) {
        let Some((job, key, _)) = self.member_mut(incarnation, &entry.task, entry.run) else { return };
        let mut ran_ms = 0;
        if let Some(unit) = job.units.get_mut(&key) {
            ran_ms = unit.placed_at.map_or(0, |at| now.saturating_sub(at));
            mark_ending(unit, now);
        }
        if entry.reason == APPROVAL_REFUSED {
            self.approvals.invalidate(&Self::step_key_of(&entry.task), incarnation);
        }
        self.remove_forecast(&run_id(&entry.task, entry.run));
        let (task, run, reason) = (&entry.task, entry.run, &entry.reason);
        self.log_line(format!(
            "event=run_gone job={} task={task} run={run} worker={incarnation} ran_ms={ran_ms} why={reason:?} {source}",
            task.job
        ));
        self.release_member(now, incarnation, task, run);
        self.complete_if_done(now, wall, &task.job);
    }

    /// Releases the resources of a member; a unit that is ending waits again once all members are released.
    fn release_member(&mut self, now: u64, incarnation: &str, task: &Task, run: u64) {
        let Some((key, offset)) = self.unit_of(task) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let reserved = job.sub.steps.get(key.step as usize).map(Step::reserved);
        let Some(unit) = job.units.get_mut(&key) else { return };
        if let Some(member) = unit.members.get_mut(offset) {
            member.released = true;
        }
        let ending = unit.state == UnitState::Ending;
        if unit.all_released() {
            unit.members.clear();
            if unit.state == UnitState::Ending {
                set_state(unit, UnitState::Waiting, now);
            }
        }
        if let Some(worker) = self.workers.get_mut(incarnation)
            && worker.placed.remove(&(task.clone(), run))
        {
            worker.used -= reserved.unwrap_or_default();
            worker.paces.remove(&(task.clone(), run));
        }
        if ending {
            self.wake_member_agents(&task.job, key);
        }
        self.mark_changed(&task.job);
        self.retire(&task.job);
    }

    /// Removes an ended job from the live jobs once it occupies no resources.
    pub(crate) fn retire(&mut self, name: &str) {
        let finished = |job: &Job| job.outcome.is_some() && job.units.values().all(Unit::all_released);
        if self.jobs.get(name).is_some_and(finished) {
            self.live.remove(name);
        }
    }

    pub(crate) fn remove_incarnation(
        &mut self,
        now: u64,
        wall: u64,
        incarnation: &str,
        cause: &RemovalCause,
    ) {
        let RemovalCause { reason, is_crash, silent_ms, source } = cause;
        self.unreported.remove(incarnation);
        let mut lost = Vec::new();
        for name in &self.live {
            let Some(job) = self.jobs.get(name) else { continue };
            for (key, unit) in &job.units {
                for (offset, member) in unit.members.iter().enumerate() {
                    if !member.released && member.worker == incarnation {
                        lost.push(NotStarted {
                            task: key.task(name, offset),
                            run: unit.run,
                            reason: (*reason).to_owned(),
                        });
                    }
                }
            }
        }
        let runs_on_it = self.runs_with_ages(now, &lost);
        let was_draining = self.workers.get(incarnation).is_some_and(|worker| worker.info.draining);
        let runs: Vec<_> = lost.iter().map(|entry| (entry.task.clone(), entry.run)).collect();
        if *is_crash && !was_draining {
            self.record_crash(now, incarnation, *silent_ms, &runs);
        } else {
            self.record_uncounted_losses(now, &runs);
        }
        for entry in &lost {
            self.record_not_started(now, wall, incarnation, entry, source);
        }
        self.workers.remove(incarnation);
        self.forecasts.remove_worker(incarnation);
        let mut given_up = self.given_up.remove(incarnation).unwrap_or_default();
        given_up.extend(runs);
        // The next incarnation of a name may still start what was sent to this one.
        let keeps_name = incarnation::split(&source.replaced_by).0 == incarnation::split(incarnation).0;
        let holder = if keeps_name { &source.replaced_by } else { incarnation };
        self.given_up.entry(holder.to_owned()).or_default().extend(given_up);
        let lost_together = self.count_lost_workers(now);
        self.log_line(format!(
            "event=worker_lost worker={incarnation} runs_lost={} draining={was_draining} lost_together={lost_together} \
             runs_with_ms=\"{runs_on_it}\" why={reason:?} {source}",
            lost.len()
        ));
    }

    /// Returns runs with the time since their placement in milliseconds, for the logs, such as `a.0.0.1/2:1500`.
    fn runs_with_ages(&self, now: u64, runs: &[NotStarted]) -> String {
        let age_ms = |entry: &NotStarted| {
            let (key, _) = self.unit_of(&entry.task)?;
            let placed_at = self.jobs.get(&entry.task.job)?.units.get(&key)?.placed_at?;
            Some(now.saturating_sub(placed_at))
        };
        // A run that an earlier planner placed has no age here.
        let age = |entry: &NotStarted| age_ms(entry).map_or_else(|| "-".to_owned(), |ms| ms.to_string());
        let text = |entry: &NotStarted| format!("{}/{}:{}", entry.task, entry.run, age(entry));
        runs.iter().take(MAX_LOGGED_RUNS).map(text).collect::<Vec<_>>().join(",")
    }

    /// Records the loss of a worker and returns the number of those lost within [`LOST_TOGETHER_MS`], this one included.
    fn count_lost_workers(&mut self, now: u64) -> usize {
        self.lost_at.retain(|at| at + LOST_TOGETHER_MS >= now);
        self.lost_at.push(now);
        self.lost_at.len()
    }
}

/// Returns the worker incarnation in a report; empty if there is none.
fn reported_worker(report: &Report) -> &str {
    report.worker.as_ref().map_or("", |info| &info.incarnation)
}

/// Returns the beginning of a text from another process.
fn excerpt(text: &str) -> &str {
    text.char_indices().nth(MAX_LOGGED_CHARS).map_or(text, |(end, _)| &text[..end])
}
