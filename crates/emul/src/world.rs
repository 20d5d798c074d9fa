//! Emulated workers and the agents beside them.

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::report::{End, EndReason, NotStarted, Report, Running, WorkerInfo};
use sorrelland_fleet::{Resources, Task};

use crate::check::History;
use crate::load::{Source, Truth};

/// Workers in a rack.
const RACK: usize = 3;

/// Time in which a gang waits for its members, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;

/// Time between two saves of progress, in milliseconds.
const SAVE_MS: f64 = 500.0;

/// Slowdown of a gang that wants one rack and has several.
const REMOTE: f64 = 3.0;

type RunKey = (Task, u64);

/// Job, occurrence, step and run of a unit.
type UnitRun = (String, u32, u32, u64);

#[derive(Clone, Debug)]
struct Run {
    began: u64,
    done_ms: f64,
    saved_ms: f64,
    stopping: Option<u64>,
}

/// A worker with its agent.
pub struct Node {
    /// Name of the agent.
    pub agent: String,
    life: u64,
    at: usize,
    rack: String,
    speed: f64,
    capacity: Resources,
    /// Until when its agent hears and says nothing.
    pub cut_until: u64,
    /// Whether every run on it fails.
    pub broken: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    seq: u64,
    lease_until: u64,
    runs: BTreeMap<RunKey, Run>,
    ended: Vec<End>,
    ends: u64,
    highest: BTreeMap<Task, u64>,
    gone: BTreeMap<RunKey, String>,
}

impl Node {
    fn life_name(&self) -> String {
        format!("w{}-{}", self.at, self.life)
    }
}

/// All workers.
pub struct World {
    /// Workers with their agents.
    pub nodes: Vec<Node>,
    stop_ms: u64,
}

/// What the world needs to know of the jobs.
pub struct Jobs<'a> {
    /// Truths by job.
    pub truths: &'a BTreeMap<String, Truth>,
    /// Steps by job.
    pub steps: &'a BTreeMap<String, Vec<sorrelland_fleet::Step>>,
}

impl World {
    /// Creates `count` workers after the users' sheets: three speeds, three to a rack.
    pub fn new(count: usize, stop_ms: u64) -> Self {
        let node = |at: usize| Node {
            agent: format!("agent-{at}"),
            life: 1,
            at,
            rack: format!("r{}", at / RACK),
            speed: [0.8, 1.0, 1.25][at % 3],
            capacity: Resources::new(128_000, 262_144, 8),
            cut_until: 0,
            broken: false,
            draining: false,
            seq: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            highest: BTreeMap::new(),
            gone: BTreeMap::new(),
        };
        Self { nodes: (0..count).map(node).collect(), stop_ms }
    }

    /// Ends a worker's life without a word; a new one begins.
    pub fn crash(&mut self, now: u64, at: usize, history: &mut History) {
        let node = &mut self.nodes[at];
        for (task, run) in node.runs.keys() {
            history.over(now, task, *run);
        }
        node.life += 1;
        node.runs.clear();
        node.ended.clear();
        node.highest.clear();
        node.gone.clear();
        node.ends = 0;
    }

    /// Returns the report of an agent; `None` while it is cut off.
    pub fn report(&mut self, now: u64, at: usize) -> Option<Report> {
        let node = &mut self.nodes[at];
        if node.cut_until > now {
            return None;
        }
        node.seq += 1;
        let running = node.runs.iter().map(|((task, run), state)| Running {
            task: task.clone(),
            run: *run,
            saved: if state.saved_ms > 0.0 { format!("{:.0}", state.saved_ms) } else { String::new() },
            percent: 0,
            measurement: 0,
        });
        let gone = node.gone.iter().map(|((task, run), why)| NotStarted {
            task: task.clone(),
            run: *run,
            reason: why.clone(),
        });
        Some(Report {
            agent: node.agent.clone(),
            agent_incarnation: 1 + at as u64,
            seq: node.seq,
            worker: Some(WorkerInfo {
                incarnation: node.life_name(),
                service: "service".to_owned(),
                domain: "domain".to_owned(),
                labels: vec!["a".to_owned(), node.rack.clone()],
                capacity: node.capacity,
                draining: node.draining,
                remaining_ms: None,
            }),
            running: running.collect(),
            ended: node.ended.clone(),
            not_started: gone.collect(),
        })
    }

    /// Carries out a planner's wish.
    pub fn obey(
        &mut self,
        now: u64,
        at: usize,
        orders: &Assignments,
        jobs: &Jobs<'_>,
        history: &mut History,
    ) {
        let node = &mut self.nodes[at];
        if orders.incarnation != node.life_name() {
            return;
        }
        node.lease_until = node.lease_until.max(now + orders.grant_ms);
        node.ended.retain(|end| end.number > orders.acknowledged);
        history.confirmed(&node.life_name(), orders.acknowledged);
        let wanted: Vec<RunKey> = orders
            .starts
            .iter()
            .map(|start| (start.task.clone(), start.run))
            .chain(orders.stops.iter().map(|stop| (stop.task.clone(), stop.run)))
            .collect();
        node.gone.retain(|run, _| wanted.contains(run));
        for stop in &orders.stops {
            let key = (stop.task.clone(), stop.run);
            let highest = node.highest.entry(stop.task.clone()).or_default();
            *highest = (*highest).max(stop.run);
            match node.runs.get_mut(&key) {
                Some(run) => {
                    run.stopping.get_or_insert(now + self.stop_ms);
                }
                None if !node.ended.iter().any(|end| end.task == stop.task && end.run == stop.run) => {
                    node.gone.insert(key, "stopped before it was there".to_owned());
                }
                None => (),
            }
        }
        for start in &orders.starts {
            let key = (start.task.clone(), start.run);
            if node.draining || node.runs.contains_key(&key) || node.gone.contains_key(&key) {
                continue;
            }
            if node.highest.get(&start.task).is_some_and(|highest| *highest >= start.run) {
                if !node.ended.iter().any(|end| end.task == start.task && end.run == start.run) {
                    node.gone.insert(key, "old".to_owned());
                }
                continue;
            }
            node.highest.insert(start.task.clone(), start.run);
            let saved_ms = start.saved.parse().unwrap_or(0.0);
            let run = Run { began: now, done_ms: saved_ms, saved_ms, stopping: None };
            node.runs.insert(key, run);
            history.started(now, &start.task, start.run);
        }
        let used = node.runs.keys().fold(Resources::default(), |mut used, (task, _)| {
            if let Some(step) = jobs.steps.get(&task.job).and_then(|steps| steps.get(task.step as usize)) {
                used += step.reserved();
            }
            used
        });
        history.room(now, &node.life_name(), &node.capacity, &used);
    }

    /// Moves all work on by `step_ms`.
    pub fn step(
        &mut self,
        now: u64,
        step_ms: u64,
        jobs: &Jobs<'_>,
        source: &mut Source,
        history: &mut History,
        errors: &[f64],
    ) {
        let mut present: BTreeMap<UnitRun, (u32, Vec<String>)> = BTreeMap::new();
        for node in &self.nodes {
            for (task, run) in node.runs.keys() {
                let unit = present.entry((task.job.clone(), task.occurrence, task.step, *run)).or_default();
                unit.0 += 1;
                if !unit.1.contains(&node.rack) {
                    unit.1.push(node.rack.clone());
                }
            }
        }
        let mut broken_units = Vec::new();
        let ends_together = self.done_this_step(step_ms, jobs);
        for node in &mut self.nodes {
            let lapsed = now > node.lease_until;
            if lapsed {
                history.lapsed(&node.life_name());
            }
            let mut over: Vec<(RunKey, EndReason)> = Vec::new();
            for (key, run) in &mut node.runs {
                let (task, number) = key;
                let Some(step) = jobs.steps.get(&task.job).and_then(|steps| steps.get(task.step as usize))
                else {
                    continue;
                };
                let Some(truth) = jobs.truths.get(&task.job) else { continue };
                let unit = (task.job.clone(), task.occurrence, task.step, *number);
                let (members, racks) =
                    present.get(&unit).map_or((0, 0), |(members, racks)| (*members, racks.len()));
                if lapsed {
                    over.push((key.clone(), EndReason::Lapsed));
                    continue;
                }
                if run.stopping.is_some_and(|until| now >= until) {
                    if step.saves_progress {
                        run.saved_ms = run.done_ms;
                    }
                    over.push((key.clone(), EndReason::Stopped));
                    continue;
                }
                if step.gang && members < step.count {
                    if now > run.began + GANG_WAIT_MS {
                        over.push((key.clone(), EndReason::Alone));
                    }
                    continue;
                }
                if step.gang && task.index != 0 {
                    // The first member's progress stands for all: they end together.
                    continue;
                }
                let slow = if step.prefers_one_rack && racks > 1 { REMOTE } else { 1.0 };
                run.done_ms += step_ms as f64 * node.speed / slow;
                if step.saves_progress {
                    run.saved_ms = (run.done_ms / SAVE_MS).floor() * SAVE_MS;
                }
                let work = truth.work_ms.get(task.step as usize).copied().unwrap_or(1_000) as f64;
                let fails = truth.poison || node.broken;
                if fails && run.done_ms >= work / 4.0 {
                    over.push((key.clone(), EndReason::Failed));
                } else if run.done_ms >= work {
                    let unlucky = source.chance() < errors.get(truth.kind).copied().unwrap_or(0.0);
                    over.push((key.clone(), if unlucky { EndReason::Failed } else { EndReason::Done }));
                }
            }
            for (key, how) in over {
                let leads = key.0.index == 0;
                if leads || !ends_together.contains(&(key.0.job.clone(), key.0.step, key.1)) {
                    end_run(node, now, &key, how, history);
                }
                if jobs
                    .steps
                    .get(&key.0.job)
                    .and_then(|steps| steps.get(key.0.step as usize))
                    .is_some_and(|s| s.gang)
                {
                    broken_units.push((key.0.job.clone(), key.0.occurrence, key.0.step, key.1, how));
                }
            }
        }
        // What ends one member of a gang ends the others.
        for (job, occurrence, step, run, how) in broken_units {
            let how = if how == EndReason::Done { EndReason::Done } else { EndReason::Broken };
            for node in &mut self.nodes {
                let members: Vec<RunKey> = node
                    .runs
                    .keys()
                    .filter(|(task, number)| {
                        task.job == job
                            && task.occurrence == occurrence
                            && task.step == step
                            && *number == run
                    })
                    .cloned()
                    .collect();
                for key in members {
                    end_run(node, now, &key, how, history);
                }
            }
        }
    }
}

impl World {
    /// Returns the gangs whose first member may end as done in this step; the others end with it, whatever else
    /// they were about to end of.
    fn done_this_step(&self, step_ms: u64, jobs: &Jobs<'_>) -> BTreeSet<(String, u32, u64)> {
        let mut ends = BTreeSet::new();
        for node in &self.nodes {
            for ((task, number), run) in node.runs.iter().filter(|((task, _), _)| task.index == 0) {
                let work = jobs.truths.get(&task.job).and_then(|truth| truth.work_ms.get(task.step as usize));
                let gang = jobs.steps.get(&task.job).and_then(|steps| steps.get(task.step as usize));
                let next = run.done_ms + step_ms as f64 * node.speed;
                if gang.is_some_and(|step| step.gang) && work.is_some_and(|work| next >= *work as f64) {
                    ends.insert((task.job.clone(), task.step, *number));
                }
            }
        }
        ends
    }
}

fn end_run(node: &mut Node, now: u64, key: &RunKey, how: EndReason, history: &mut History) {
    let Some(run) = node.runs.remove(key) else { return };
    node.ends += 1;
    let saved = if run.saved_ms > 0.0 { format!("{:.0}", run.saved_ms) } else { String::new() };
    let (task, number) = key;
    node.ended.push(End { number: node.ends, task: task.clone(), run: *number, reason: how, saved });
    history.ended(now, &node.life_name(), node.ends, task, *number, how);
}
