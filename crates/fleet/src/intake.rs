//! Taking in what agents report: what runs, what has ended, and which lives of workers are over.

use std::collections::BTreeSet;

use crate::job::{Job, Outcome, Step};
use crate::planner::{Agent, Planner, set, set_ending};
use crate::report::{End, Gone, How, Report};
use crate::task::Task;
use crate::unit::{Unit, UnitKey, Where};
use crate::worker::Worker;

/// Lives of agents and workers that are remembered as over; enough for years of restarts in one reign.
const PAST_LIVES: usize = 20_000;

/// Reason of a start that was refused because its approval was not accepted.
pub const TICKET_REFUSED: &str = "ticket";

impl Planner {
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
    pub(crate) fn locate(&self, task: &Task) -> Option<(UnitKey, usize)> {
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
            self.approvals.invalidate(&Self::step_key_of(&gone.task), life);
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
    pub(crate) fn retire(&mut self, name: &str) {
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

    pub(crate) fn forget_life(&mut self, now: u64, wall: u64, life: &str, why: &str) {
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
}

fn bounded_insert<T: Ord>(set: &mut BTreeSet<T>, item: T) {
    if set.len() >= PAST_LIVES {
        set.pop_first();
    }
    set.insert(item);
}
