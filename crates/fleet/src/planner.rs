//! The planner: the jobs, the workers, and everything that changes them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::admit;
use crate::advice::Approvals;
use crate::desired::{Desired, Queue};
use crate::job::{Job, JobState, Outcome, Step, Submission};
use crate::orders::{Orders, Pace, Start, Stop};
use crate::place::Claims;
use crate::record::{self, Record, new_job};
use crate::report::{End, Gone, How, Report};
use crate::room::Room;
use crate::task::Task;
use crate::unit::{Unit, UnitKey, Where};
use crate::value::{MeanWork, work_core_s};
use crate::worker::Worker;

/// Lives of agents and workers that are remembered as over; enough for years of restarts in one reign.
const PAST_LIVES: usize = 20_000;

/// Reason of a start that was refused because its approval was not accepted.
pub const TICKET_REFUSED: &str = "ticket";

/// Time after which the rest of a gang that is done is stopped, in milliseconds; they end together by themselves.
const DONE_REST_MS: u64 = 2_000;

/// Time within which an agent must have been heard for new placements on its worker, in milliseconds.
pub const HEARD_WITHIN_MS: u64 = 1_600;

/// Figures of the deployment that the decisions use, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time for which an agent may keep a lease alive after a report.
    pub grant_ms: u64,
    /// Longest time that a stop takes.
    pub stop_ms: u64,
    /// Time after which a worker that a new planner has not heard of holds no lease any more.
    pub unheard_ms: u64,
    /// Time for which the state of an ended job is kept.
    pub keep_ended_ms: u64,
    /// Bound within which urgent jobs under a guarantee begin.
    pub reclaim_ms: u64,
    /// Slowdown of work away from its data or spread over racks.
    pub remote_factor: u64,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted once the change is stored.
    Accepted {
        /// Change to wait for.
        change: u64,
    },
    /// The job is not accepted and never ran.
    Refused {
        /// Why, for the caller and the logs.
        why: String,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// An agent as the planner knows it.
#[derive(Clone, Debug)]
struct Agent {
    life: u64,
    seq: u64,
    worker: Option<String>,
}

/// All that a planner knows.
pub struct Planner {
    pub(crate) timing: Timing,
    pub(crate) desired: Arc<Desired>,
    pub(crate) jobs: BTreeMap<String, Job>,
    pub(crate) workers: BTreeMap<String, Worker>,
    pub(crate) claims: Claims,
    pub(crate) approvals: Approvals,
    pub(crate) mean_work: BTreeMap<String, MeanWork>,
    agents: BTreeMap<String, Agent>,
    past_agents: BTreeSet<u64>,
    past_workers: BTreeSet<String>,
    /// Workers' lives that may still run something but were not heard of, with the time they are waited for.
    unheard: BTreeMap<String, u64>,
    /// Jobs that have not ended or whose members still take room.
    pub(crate) live: BTreeSet<String>,
    /// When the newest urgent job came, on the steady clock.
    pub(crate) urgent_at: Option<u64>,
    change: u64,
    stored: u64,
    fresh: BTreeSet<String>,
    dirty: BTreeSet<String>,
    drops: Vec<Record>,
    order_number: u64,
    /// Agents whose wish changed.
    pub(crate) poked: BTreeSet<String>,
    /// Agents whose wish changes once a change is stored.
    poked_by: BTreeSet<(u64, String)>,
    pub(crate) log: Vec<String>,
}

impl Planner {
    /// Creates a planner over the jobs that were stored.
    pub fn new(timing: Timing, desired: Arc<Desired>, jobs: Vec<Job>, now: u64) -> Self {
        let mut unheard = BTreeMap::new();
        let mut live = BTreeSet::new();
        for job in &jobs {
            let members = job.units.values().flat_map(|unit| &unit.members).filter(|member| !member.gone);
            let mut takes_room = false;
            for member in members {
                takes_room = true;
                unheard.insert(member.worker.clone(), now + timing.unheard_ms);
            }
            if takes_room || job.outcome.is_none() {
                live.insert(job.sub.job.clone());
            }
        }
        Self {
            timing,
            desired,
            jobs: jobs.into_iter().map(|job| (job.sub.job.clone(), job)).collect(),
            workers: BTreeMap::new(),
            claims: Claims::default(),
            approvals: Approvals::default(),
            mean_work: BTreeMap::new(),
            agents: BTreeMap::new(),
            past_agents: BTreeSet::new(),
            past_workers: BTreeSet::new(),
            unheard,
            live,
            urgent_at: None,
            change: 1,
            stored: 0,
            fresh: BTreeSet::new(),
            dirty: BTreeSet::new(),
            drops: Vec::new(),
            order_number: 0,
            poked: BTreeSet::new(),
            poked_by: BTreeSet::new(),
            log: Vec::new(),
        }
    }

    /// Replaces the desired state; an older version is ignored.
    pub fn set_desired(&mut self, desired: Arc<Desired>) {
        if desired.version > self.desired.version {
            self.desired = desired;
        }
    }

    /// Takes the lines that explain decisions since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Takes the agents whose wish has changed, whatever is stored.
    pub fn take_poked(&mut self) -> Vec<String> {
        std::mem::take(&mut self.poked).into_iter().collect()
    }

    /// Takes the agents whose wish has changed by what is stored now.
    pub fn take_poked_by_store(&mut self) -> Vec<String> {
        let later = self.poked_by.split_off(&(self.stored + 1, String::new()));
        let due = std::mem::replace(&mut self.poked_by, later);
        due.into_iter().map(|(_, agent)| agent).collect()
    }

    /// Notes that the members of a unit are to be stopped.
    fn poke_members(&mut self, name: &str, key: UnitKey) {
        let unit = self.jobs.get(name).and_then(|job| job.units.get(&key));
        let members = unit.into_iter().flat_map(|unit| &unit.members).filter(|member| !member.gone);
        let agents: Vec<String> = members.map(|member| member.agent.clone()).collect();
        self.poked.extend(agents);
    }

    pub(crate) fn note(&mut self, line: String) {
        self.log.push(line);
    }

    /// Takes what has to be stored, with the number of the change it belongs to.
    pub fn take_changes(&mut self) -> Option<(Vec<Record>, u64)> {
        if self.dirty.is_empty() && self.fresh.is_empty() && self.drops.is_empty() {
            return None;
        }
        let mut records = std::mem::take(&mut self.drops);
        for name in std::mem::take(&mut self.fresh) {
            records.extend(self.jobs.get(&name).map(record::submitted).and_then(|r| self.usable(&name, r)));
        }
        for name in std::mem::take(&mut self.dirty) {
            records.extend(self.jobs.get(&name).map(record::progress).and_then(|r| self.usable(&name, r)));
        }
        let change = self.change;
        self.change += 1;
        Some((records, change))
    }

    fn usable(&self, name: &str, record: record::Result<Record>) -> Option<Record> {
        // Plain structs always have a JSON form; a failure is told rather than hidden.
        record.inspect_err(|e| log_error(name, e)).ok()
    }

    /// Notes that all changes up to `change` are stored.
    pub fn note_stored(&mut self, change: u64) {
        self.stored = self.stored.max(change);
    }

    /// Returns the newest change that is stored.
    pub fn stored(&self) -> u64 {
        self.stored
    }

    fn touch(&mut self, name: &str) {
        self.dirty.insert(name.to_owned());
    }

    /// Takes a job in, or refuses it at once. A job that is known already stays one job.
    pub fn submit(&mut self, now: u64, wall: u64, sub: &Submission) -> Verdict {
        if let Some(job) = self.jobs.get(&sub.job) {
            return Verdict::Accepted { change: job.accepted_in };
        }
        if let Err(refusal) = admit::admit(self, now, sub) {
            return Verdict::Refused { why: refusal.why, retry_after_ms: refusal.retry_after_ms };
        }
        if self.desired.queue(&sub.queue).is_some_and(|queue| queue.priority == 0) {
            self.urgent_at = Some(now);
        }
        self.mean_work.entry(sub.queue.clone()).or_default().note(work_core_s(sub));
        let mut job = new_job(sub.clone(), wall);
        job.accepted_in = self.change;
        self.jobs.insert(sub.job.clone(), job);
        self.live.insert(sub.job.clone());
        self.fresh.insert(sub.job.clone());
        Verdict::Accepted { change: self.change }
    }

    /// Cancels a job and returns the change to wait for; `None` if no such job exists.
    pub fn cancel(&mut self, now: u64, wall: u64, name: &str) -> Option<u64> {
        let job = self.jobs.get(name)?;
        if job.outcome.is_some() {
            return Some(job.ended_in);
        }
        self.end_job(now, wall, name, Outcome::Cancelled);
        Some(self.change)
    }

    /// Returns what a caller is told of a job; an end is told once it is stored.
    pub fn state(&self, name: &str) -> Option<JobState> {
        let job = self.jobs.get(name).filter(|job| job.accepted_in <= self.stored)?;
        match job.outcome {
            Some(outcome) if job.ended_in <= self.stored => Some(JobState::Ended(outcome)),
            _ if job.begun => Some(JobState::Running),
            _ => Some(JobState::Queued),
        }
    }

    /// Returns the number of a queue's accepted jobs of which nothing has started.
    pub fn pending(&self, queue: &str) -> usize {
        let waiting = |job: &&Job| job.sub.queue == queue && job.outcome.is_none() && !job.begun;
        self.live.iter().filter_map(|name| self.jobs.get(name)).filter(waiting).count()
    }

    /// Returns the number of jobs that have not ended, or of which something still takes room.
    pub fn live_jobs(&self) -> usize {
        self.live.len()
    }

    /// Returns the number of agents heard within [`HEARD_WITHIN_MS`] and of all that were heard in this reign.
    pub fn agents_heard(&self, now: u64) -> (usize, usize) {
        let fresh = |worker: &&Worker| worker.heard_at + HEARD_WITHIN_MS >= now;
        (self.workers.values().filter(fresh).count(), self.workers.len())
    }

    /// Takes in the report of an agent; a report that a newer one has overtaken is ignored.
    pub fn report(&mut self, now: u64, wall: u64, report: &Report) {
        if self.past_agents.contains(&report.agent_life) {
            return;
        }
        let known = self.agents.get(&report.agent);
        if known.is_some_and(|agent| agent.life == report.agent_life && agent.seq >= report.seq) {
            return;
        }
        let before = known.cloned();
        if let Some(agent) = &before
            && agent.life != report.agent_life
        {
            bounded_insert(&mut self.past_agents, agent.life);
        }
        let mut worker = before.and_then(|agent| agent.worker);
        if let Some(info) = &report.worker {
            if self.past_workers.contains(&info.life) {
                return;
            }
            if let Some(old) = worker.replace(info.life.clone()).filter(|old| *old != info.life) {
                self.end_life(now, wall, &old, "its worker was replaced by a new life");
            }
            self.end_older_lives(now, wall, &report.agent, &info.life);
            self.take_in(now, wall, report);
        }
        let agent = Agent { life: report.agent_life, seq: report.seq, worker };
        self.agents.insert(report.agent.clone(), agent);
    }

    /// Ends what stored jobs still have on an older life of the same agent's worker.
    fn end_older_lives(&mut self, now: u64, wall: u64, agent: &str, life: &str) {
        if self.unheard.is_empty() {
            return;
        }
        self.unheard.remove(life);
        let members = self.live.iter().filter_map(|name| self.jobs.get(name));
        let members = members.flat_map(|job| job.units.values()).flat_map(|unit| &unit.members);
        let older: BTreeSet<String> = members
            .filter(|member| !member.gone && member.agent == agent && member.worker != life)
            .map(|member| member.worker.clone())
            .collect();
        for old in older {
            self.end_life(now, wall, &old, "its worker was replaced by a new life");
        }
    }

    fn take_in(&mut self, now: u64, wall: u64, report: &Report) {
        let Some(info) = &report.worker else { return };
        let life = info.life.clone();
        if !self.workers.contains_key(&life) {
            let mut worker = Worker::new(info.clone(), report.agent.clone(), now);
            self.adopt_members(&mut worker);
            self.note(format!("event=worker_joined worker={life} agent={}", report.agent));
            self.workers.insert(life.clone(), worker);
        }
        let running = report.running.iter().map(|run| ((run.task.clone(), run.run), run.clone())).collect();
        let Some(worker) = self.workers.get_mut(&life) else { return };
        if info.draining && !worker.info.draining {
            let left = info.remaining_ms.unwrap_or(0);
            self.log.push(format!("event=worker_draining worker={life} remaining_ms={left}"));
        }
        worker.info = info.clone();
        worker.heard_at = now;
        worker.running = running;
        let seen_ends = worker.ends.0;
        for run in &report.running {
            self.note_running(&life, &run.task, run.run, run.percent, &run.saved);
        }
        for end in report.ended.iter().filter(|end| end.n > seen_ends) {
            let changed = self.note_end(now, wall, &life, end);
            let change = self.change;
            if let Some(worker) = self.workers.get_mut(&life) {
                worker.ends = (end.n, if changed { change } else { worker.ends.1 });
                self.poked_by.insert((worker.ends.1, worker.agent.clone()));
            }
        }
        for gone in &report.gone {
            self.note_gone(now, wall, &life, gone);
        }
    }

    /// Counts the members that stored jobs have on a worker that was just heard of.
    fn adopt_members(&self, worker: &mut Worker) {
        for name in &self.live {
            let Some(job) = self.jobs.get(name) else { continue };
            for (key, unit) in &job.units {
                let Some(step) = job.sub.steps.get(key.step as usize) else { continue };
                for (offset, member) in unit.members.iter().enumerate() {
                    if !member.gone && member.worker == worker.info.life {
                        worker.used += step.counted();
                        worker.placed.insert((key.task(name, offset), unit.run));
                    }
                }
            }
        }
    }

    /// Returns the key of the unit that a subtask belongs to, and its offset there.
    fn locate(&self, task: &Task) -> Option<(UnitKey, usize)> {
        let step = self.jobs.get(&task.job)?.sub.steps.get(task.step as usize)?;
        let (index, offset) = if step.gang { (0, task.index as usize) } else { (task.index, 0) };
        Some((UnitKey { occurrence: task.occurrence, step: task.step, index }, offset))
    }

    /// Returns the unit of a run that takes room on a worker.
    fn member_mut(&mut self, life: &str, task: &Task, run: u64) -> Option<(&mut Job, UnitKey, usize)> {
        let (key, offset) = self.locate(task)?;
        let job = self.jobs.get_mut(&task.job)?;
        let unit = job.units.get(&key).filter(|unit| unit.run == run)?;
        let member = unit.members.get(offset)?;
        (member.worker == life && !member.gone).then_some((job, key, offset))
    }

    fn note_running(&mut self, life: &str, task: &Task, run: u64, percent: u64, saved: &str) {
        let Some((job, key, offset)) = self.member_mut(life, task, run) else { return };
        let begins = !job.begun;
        job.begun = true;
        if let Some(unit) = job.units.get_mut(&key) {
            if !saved.is_empty() {
                unit.saved = saved.to_owned();
            }
            if let Some(member) = unit.members.get_mut(offset) {
                member.seen = true;
                member.percent = percent;
            }
        }
        if begins {
            self.touch(&task.job);
        }
    }

    /// Takes an end into account; returns whether anything changed.
    fn note_end(&mut self, now: u64, wall: u64, life: &str, end: &End) -> bool {
        let queue_limit = self.max_attempts(&end.task.job);
        let Some((job, key, _)) = self.member_mut(life, &end.task, end.run) else { return false };
        job.begun = true;
        let lasts = job.sub.steps.get(key.step as usize).is_some_and(|step| step.lasting);
        let Some(unit) = job.units.get_mut(&key) else { return false };
        if !end.saved.is_empty() {
            unit.saved = end.saved.clone();
        }
        let mut failed = false;
        match end.how {
            How::Done if !lasts => set(unit, Where::Done, now),
            How::Failed => {
                unit.fails += 1;
                unit.failed_on.push(life.to_owned());
                failed = !lasts && unit.fails >= queue_limit;
                set_ending(unit, now);
            }
            How::Done | How::Stopped | How::Lapsed | How::Broken | How::Alone => set_ending(unit, now),
        }
        let fails = unit.fails;
        self.note(format!(
            "event=run_ended job={} task={} run={} how={:?} worker={life} fails={fails}",
            end.task.job, end.task, end.run, end.how
        ));
        if let Some(worker) = self.workers.get_mut(life) {
            match end.how {
                How::Done => worker.note_done(),
                How::Failed => worker.note_failed(now),
                _ => (),
            }
        }
        self.release(now, life, &end.task, end.run);
        if failed {
            self.end_job(now, wall, &end.task.job, Outcome::Failed);
        }
        self.complete_if_done(now, wall, &end.task.job);
        true
    }

    fn note_gone(&mut self, now: u64, wall: u64, life: &str, gone: &Gone) {
        let Some((job, key, _)) = self.member_mut(life, &gone.task, gone.run) else { return };
        if let Some(unit) = job.units.get_mut(&key) {
            set_ending(unit, now);
        }
        if gone.why == TICKET_REFUSED {
            self.approvals.spoil(&Self::step_of(&gone.task), life);
        }
        let (task, run, why) = (&gone.task, gone.run, &gone.why);
        self.note(format!("event=run_gone job={} task={task} run={run} worker={life} why={why:?}", task.job));
        self.release(now, life, task, run);
        self.complete_if_done(now, wall, &task.job);
    }

    /// Frees the room of a member, and lets the unit wait again when all of them are gone.
    fn release(&mut self, now: u64, life: &str, task: &Task, run: u64) {
        let Some((key, offset)) = self.locate(task) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let counted = job.sub.steps.get(key.step as usize).map(Step::counted);
        let Some(unit) = job.units.get_mut(&key) else { return };
        if let Some(member) = unit.members.get_mut(offset) {
            member.gone = true;
        }
        let ending = unit.at == Where::Ending;
        if unit.all_gone() {
            unit.members.clear();
            if unit.at == Where::Ending {
                set(unit, Where::Waiting, now);
            }
        }
        if let Some(worker) = self.workers.get_mut(life)
            && worker.placed.remove(&(task.clone(), run))
        {
            worker.used -= counted.unwrap_or_default();
            worker.paces.remove(&(task.clone(), run));
        }
        if ending {
            self.poke_members(&task.job, key);
        }
        self.touch(&task.job);
        self.retire(&task.job);
    }

    /// Takes an ended job off the live ones once nothing of it takes room.
    fn retire(&mut self, name: &str) {
        let over = |job: &Job| job.outcome.is_some() && job.units.values().all(Unit::all_gone);
        if self.jobs.get(name).is_some_and(over) {
            self.live.remove(name);
        }
    }

    /// Ends all that was placed on a worker's life.
    fn end_life(&mut self, now: u64, wall: u64, life: &str, why: &str) {
        self.forget_life(now, wall, life, why);
        bounded_insert(&mut self.past_workers, life.to_owned());
    }

    fn forget_life(&mut self, now: u64, wall: u64, life: &str, why: &str) {
        self.unheard.remove(life);
        let mut lost = Vec::new();
        for name in &self.live {
            let Some(job) = self.jobs.get(name) else { continue };
            for (key, unit) in &job.units {
                for (offset, member) in unit.members.iter().enumerate() {
                    if !member.gone && member.worker == life {
                        lost.push(Gone { task: key.task(name, offset), run: unit.run, why: why.to_owned() });
                    }
                }
            }
        }
        for gone in &lost {
            self.note_gone(now, wall, life, gone);
        }
        self.workers.remove(life);
        self.note(format!("event=worker_lost worker={life} runs_lost={} why={why:?}", lost.len()));
    }

    pub(crate) fn queue_of(&self, job: &str) -> Option<&Queue> {
        self.jobs.get(job).and_then(|job| self.desired.queue(&job.sub.queue))
    }

    fn max_attempts(&self, job: &str) -> u32 {
        // A queue that was removed gives its running jobs one more attempt, no more.
        self.queue_of(job).map_or(1, |queue| queue.max_attempts.max(1))
    }

    fn end_job(&mut self, now: u64, wall: u64, name: &str, outcome: Outcome) {
        let change = self.change;
        let Some(job) = self.jobs.get_mut(name).filter(|job| job.outcome.is_none()) else { return };
        job.outcome = Some(outcome);
        job.ended_ms = wall;
        job.ended_in = change;
        for unit in job.units.values_mut() {
            set_ending(unit, now);
        }
        let age = wall.saturating_sub(job.accepted_ms);
        let keys: Vec<UnitKey> = job.units.keys().copied().collect();
        for key in keys {
            self.poke_members(name, key);
        }
        self.note(format!("event=job_ended job={name} outcome={outcome:?} age_ms={age}"));
        self.touch(name);
        self.approvals.forget(name);
        self.retire(name);
    }

    fn complete_if_done(&mut self, now: u64, wall: u64, name: &str) {
        let Some(job) = self.jobs.get(name).filter(|job| job.outcome.is_none()) else { return };
        let all = job.units.values().all(|unit| unit.at == Where::Done);
        let opened = job.units.keys().map(|key| key.occurrence + 1).max().unwrap_or(0);
        if all && opened == job.occurrences() && !job.lasts() {
            self.end_job(now, wall, name, Outcome::Completed);
        }
    }

    /// Moves time on: leases that ran out, occurrences that are due, then placement.
    pub fn tick(&mut self, now: u64, wall: u64) {
        self.expire(now, wall);
        self.open_due(now, wall);
        self.drop_old(wall);
        self.set_paces(now);
        self.place_all(now, wall);
    }

    fn expire(&mut self, now: u64, wall: u64) {
        let timing = self.timing;
        // Leases run on the worker's clock, which may be 2% slow; a stop may still be in progress at the end.
        let after = timing.grant_ms / 50 + timing.stop_ms;
        let over = |worker: &&Worker| now > worker.granted_until + after;
        let lives: Vec<String> = self.workers.values().filter(over).map(|w| w.info.life.clone()).collect();
        for life in lives {
            self.forget_life(now, wall, &life, "its agent was silent until the grant had run out");
        }
        let over: Vec<String> =
            self.unheard.iter().filter(|(_, until)| now > **until).map(|(life, _)| life.clone()).collect();
        for life in over {
            self.forget_life(now, wall, &life, "not heard of since this planner began");
        }
    }

    fn open_due(&mut self, now: u64, wall: u64) {
        let mut opened = Vec::new();
        for name in &self.live {
            let Some(job) = self.jobs.get_mut(name).filter(|job| job.outcome.is_none()) else { continue };
            let next = job.units.keys().map(|key| key.occurrence + 1).max().unwrap_or(0);
            for occurrence in next..job.occurrences() {
                if job.due_ms(occurrence).is_some_and(|due| due > wall) {
                    break;
                }
                job.open(occurrence);
                opened.push(name.clone());
            }
            let turns: Vec<UnitKey> =
                job.units.iter().filter(|(_, unit)| unit.since == 0).map(|(key, _)| *key).collect();
            for key in turns {
                let come = job.turn_has_come(key, wall);
                if let Some(unit) = job.units.get_mut(&key).filter(|_| come) {
                    unit.since = now.max(1);
                }
            }
        }
        self.dirty.extend(opened);
    }

    fn drop_old(&mut self, wall: u64) {
        let keep = self.timing.keep_ended_ms;
        let old = |job: &&Job| job.outcome.is_some() && wall > job.ended_ms + keep;
        let old: Vec<String> = self.jobs.values().filter(old).map(|job| job.sub.job.clone()).collect();
        for name in old.into_iter().filter(|name| !self.live.contains(name)) {
            self.jobs.remove(&name);
            self.dirty.remove(&name);
            self.drops.extend(record::dropped(&name));
        }
    }

    /// Places a unit; the members take their room from now on.
    pub(crate) fn place(&mut self, now: u64, name: &str, key: UnitKey, lives: &[String]) {
        let change = self.change;
        let agents: Vec<String> = lives
            .iter()
            .map(|life| self.workers.get(life).map(|worker| worker.agent.clone()).unwrap_or_default())
            .collect();
        let Some(job) = self.jobs.get_mut(name) else { return };
        let counted = job.sub.steps.get(key.step as usize).map(Step::counted).unwrap_or_default();
        let Some(unit) = job.units.get_mut(&key) else { return };
        unit.run += 1;
        let member = |(life, agent): (&String, String)| crate::unit::Member {
            worker: life.clone(),
            agent,
            gone: false,
            seen: false,
            percent: 0,
        };
        unit.members = lives.iter().zip(agents).map(member).collect();
        unit.placed_in = change;
        let (run, waited) = (unit.run, now.saturating_sub(unit.since));
        set(unit, Where::Placed, now);
        self.poked_by.extend(unit.members.iter().map(|member| (change, member.agent.clone())));
        for (offset, life) in lives.iter().enumerate() {
            if let Some(worker) = self.workers.get_mut(life) {
                worker.used += counted;
                worker.placed.insert((key.task(name, offset), run));
            }
        }
        let (on, first) = (lives.join(","), key.task(name, 0));
        self.note(format!("event=placed job={name} task={first} run={run} waited_ms={waited} workers={on}"));
        self.touch(name);
    }

    /// Ends the run of a placed unit, so that it waits again.
    pub(crate) fn vacate(&mut self, now: u64, name: &str, key: UnitKey, why: &str) {
        let unit = self.jobs.get_mut(name).and_then(|job| job.units.get_mut(&key));
        let Some(unit) = unit.filter(|unit| unit.at == Where::Placed) else { return };
        let run = unit.run;
        set(unit, Where::Ending, now);
        self.poke_members(name, key);
        self.note(format!("event=preempted job={name} task={} run={run} why={why:?}", key.task(name, 0)));
    }

    /// Returns the whole wish for an agent's worker and extends its grant; `None` while it has no worker.
    pub fn orders(&mut self, now: u64, agent: &str) -> Option<Orders> {
        let life = self.agents.get(agent)?.worker.clone()?;
        let (stored, grant_ms) = (self.stored, self.timing.grant_ms);
        let worker = self.workers.get_mut(&life)?;
        if worker.ends.1 <= stored {
            worker.seen = worker.ends.0;
        }
        worker.granted_until = worker.granted_until.max(now + grant_ms);
        self.order_number += 1;
        let mut orders =
            Orders { life: life.clone(), number: self.order_number, grant_ms, ..Orders::default() };
        orders.seen = worker.seen;
        let (placed, running) = (worker.placed.clone(), worker.running.keys().cloned().collect::<Vec<_>>());
        for (task, run) in &placed {
            let Some((key, _)) = self.locate(task) else { continue };
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let Some(unit) = job.units.get(&key) else { continue };
            let shown = running.contains(&(task.clone(), *run));
            match unit.at {
                Where::Placed if !shown && unit.placed_in <= stored => orders.starts.push(Start {
                    task: task.clone(),
                    run: *run,
                    spec: job.sub.spec.clone(),
                    saved: unit.saved.clone(),
                    ticket: self.approvals.ticket(&Self::step_of(task), &life),
                }),
                Where::Ending | Where::Waiting => orders.stops.push(Stop { task: task.clone(), run: *run }),
                Where::Done if now > unit.since + DONE_REST_MS => {
                    orders.stops.push(Stop { task: task.clone(), run: *run });
                }
                Where::Placed | Where::Done => (),
            }
        }
        let pace = |((task, run), percent): (&(Task, u64), &u64)| Pace {
            task: task.clone(),
            run: *run,
            percent: *percent,
        };
        orders.paces =
            self.workers.get(&life).map(|worker| worker.paces.iter().map(pace).collect()).unwrap_or_default();
        // What nobody planned here was carried out late, or belongs to a run that was given up.
        let strays = running.into_iter().filter(|run| !placed.contains(run));
        orders.stops.extend(strays.map(|(task, run)| Stop { task, run }));
        Some(orders)
    }

    /// Returns the capacity of all workers of a service that are known, and their number.
    pub fn capacity_of(&self, service: &str) -> (Room, i64) {
        let mut all = Room::default();
        let mut count = 0;
        for worker in self.workers.values().filter(|worker| worker.info.service == service) {
            all += worker.info.capacity;
            count += 1;
        }
        (all, count)
    }
}

fn set(unit: &mut Unit, at: Where, now: u64) {
    unit.at = at;
    unit.since = now.max(1);
}

fn set_ending(unit: &mut Unit, now: u64) {
    if unit.at == Where::Placed {
        set(unit, Where::Ending, now);
    }
}

fn log_error(name: &str, error: &record::Error) {
    eprintln!("job {name} has no durable form: {error}");
}

fn bounded_insert<T: Ord>(set: &mut BTreeSet<T>, item: T) {
    if set.len() >= PAST_LIVES {
        set.pop_first();
    }
    set.insert(item);
}
