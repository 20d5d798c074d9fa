//! The planner: the jobs, the workers, and everything that changes them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::admit;
use crate::approvals::Approvals;
use crate::desired::{Desired, Queue};
use crate::job::{Job, JobState, Outcome, Step, Submission};
use crate::place::Claims;
use crate::record::{self, Record, new_job};
use crate::room::Room;
use crate::unit::{Unit, UnitKey, Where};
use crate::value::{MeanWork, PreemptionOutcomes, estimated_work_core_s};
use crate::view::Refusals;
use crate::worker::Worker;

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
pub(crate) struct Agent {
    pub(crate) life: u64,
    pub(crate) seq: u64,
    pub(crate) worker: Option<String>,
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
    /// By queue.
    pub(crate) successes: BTreeMap<String, PreemptionOutcomes>,
    pub(crate) agents: BTreeMap<String, Agent>,
    pub(crate) past_agents: BTreeSet<u64>,
    pub(crate) past_workers: BTreeSet<String>,
    /// Workers' lives that may still run something but were not heard of, with the time they are waited for.
    pub(crate) unheard: BTreeMap<String, u64>,
    /// Jobs that have not ended or whose members still take room.
    pub(crate) live: BTreeSet<String>,
    /// When the newest urgent job came, on the steady clock.
    pub(crate) urgent_at: Option<u64>,
    pub(crate) change: u64,
    pub(crate) stored: u64,
    fresh: BTreeSet<String>,
    dirty: BTreeSet<String>,
    drops: Vec<Record>,
    pub(crate) order_number: u64,
    /// Agents whose wish changed.
    pub(crate) poked: BTreeSet<String>,
    /// Agents whose wish changes once a change is stored.
    pub(crate) poked_by: BTreeSet<(u64, String)>,
    pub(crate) log: Vec<String>,
    pub(crate) refusals: Refusals,
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
            successes: BTreeMap::new(),
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
            refusals: Refusals::new(),
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
    pub(crate) fn poke_members(&mut self, name: &str, key: UnitKey) {
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
        let fresh = std::mem::take(&mut self.fresh);
        let dirty = std::mem::take(&mut self.dirty);
        let jobs = |names: &BTreeSet<String>| {
            names.iter().filter_map(|name| self.jobs.get(name)).collect::<Vec<_>>()
        };
        let read = jobs(&fresh).into_iter().map(record::submitted);
        let read = read.chain(jobs(&dirty).into_iter().map(record::progress)).collect::<Vec<_>>();
        for record in read {
            match record {
                Ok(record) => records.push(record),
                // Plain structs always have a JSON form; a failure would be a fault of the code.
                Err(e) => self.log.push(format!("event=record_failed cause=\"{e}\"")),
            }
        }
        let change = self.change;
        self.change += 1;
        Some((records, change))
    }

    /// Notes that all changes up to `change` are stored.
    pub fn note_stored(&mut self, change: u64) {
        self.stored = self.stored.max(change);
    }

    /// Returns the newest change that is stored.
    pub fn stored(&self) -> u64 {
        self.stored
    }

    pub(crate) fn touch(&mut self, name: &str) {
        self.dirty.insert(name.to_owned());
    }

    /// Takes a job in, or refuses it at once. A job that is known already stays one job.
    pub fn submit(&mut self, now: u64, wall: u64, sub: &Submission) -> Verdict {
        if let Some(job) = self.jobs.get(&sub.job) {
            return Verdict::Accepted { change: job.accepted_in };
        }
        if let Err(refusal) = admit::check_admission(self, now, sub) {
            self.record_refusal(wall, sub, &refusal.reason, refusal.retry_after_ms);
            return Verdict::Refused { why: refusal.reason, retry_after_ms: refusal.retry_after_ms };
        }
        if self.desired.queue(&sub.queue).is_some_and(|queue| queue.priority == 0) {
            self.urgent_at = Some(now);
        }
        self.mean_work.entry(sub.queue.clone()).or_default().record(estimated_work_core_s(sub));
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

    pub(crate) fn queue_of(&self, job: &str) -> Option<&Queue> {
        self.jobs.get(job).and_then(|job| self.desired.queue(&job.sub.queue))
    }

    pub(crate) fn max_attempts(&self, job: &str) -> u32 {
        // A queue that was removed gives its running jobs one more attempt, no more.
        self.queue_of(job).map_or(1, |queue| queue.max_attempts.max(1))
    }

    pub(crate) fn end_job(&mut self, now: u64, wall: u64, name: &str, outcome: Outcome) {
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
        self.approvals.remove_job(name);
        self.learn_from(name);
        self.retire(name);
    }

    /// Notes whether a job that room was made for has ended in time.
    fn learn_from(&mut self, name: &str) {
        let Some(job) = self.jobs.get(name).filter(|job| job.room_made) else { return };
        if let Some(in_time) = self.ended_in_time(job) {
            let queue = job.sub.queue.clone();
            self.successes.entry(queue).or_default().record(in_time);
        }
    }

    pub(crate) fn complete_if_done(&mut self, now: u64, wall: u64, name: &str) {
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
        self.place_waiting_units(now, wall);
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

    /// Returns the capacity of all workers of a service that are known.
    pub fn capacity_of(&self, service: &str) -> Room {
        let mut all = Room::default();
        for worker in self.workers.values().filter(|worker| worker.info.service == service) {
            all += worker.info.capacity;
        }
        all
    }
}

pub(crate) fn set(unit: &mut Unit, at: Where, now: u64) {
    unit.at = at;
    unit.since = now.max(1);
}

pub(crate) fn set_ending(unit: &mut Unit, now: u64) {
    if unit.at == Where::Placed {
        set(unit, Where::Ending, now);
    }
}
