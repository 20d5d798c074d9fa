//! Emulated workers and the agents next to them.

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::report::{End, EndReason, NotStarted, Report, Running, WorkerInfo};
use sorrelland_fleet::{Resources, Task};

use crate::check::{History, WorkerRoom};
use crate::load::{HiddenProperties, JobGenerator, Load};

/// Time after which a member of an incomplete gang ends.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// Interval at which runs save their progress.
const SAVE_INTERVAL_MS: f64 = 500.0;

/// Interval at which a run reports its progress to its worker.
const PROGRESS_INTERVAL_MS: u64 = 500;

/// Slowdown of a step that prefers one rack while its subtasks run on several.
const CROSS_RACK_SLOWDOWN: f64 = 3.0;

type RunKey = (Task, u64);

/// Job, occurrence, step and run number of a unit.
type UnitRun = (String, u32, u32, u64);

#[derive(Clone, Debug)]
struct Run {
    started_ms: u64,
    /// Completed work, in milliseconds at speed 1.
    done_ms: f64,
    /// Saved part of it.
    saved_ms: f64,
    /// Time at which a requested stop takes effect.
    stop_at_ms: Option<u64>,
    /// Work of the run as a multiple of its step's.
    work_factor: f64,
    /// Reported progress.
    percent: u64,
}

/// A worker with its agent.
pub struct Node {
    pub agent: String,
    incarnation_number: u64,
    position: usize,
    rack: String,
    speed: f64,
    capacity: Resources,
    /// Time until which the agent is cut off from the planner, in milliseconds.
    pub cut_off_until_ms: u64,
    /// Whether every run on the worker fails.
    pub broken: bool,
    /// Whether the worker accepts no new runs.
    pub draining: bool,
    /// Time at which the worker shuts down and a new incarnation starts, in milliseconds.
    leaves_at_ms: Option<u64>,
    seq: u64,
    lease_end_ms: u64,
    runs: BTreeMap<RunKey, Run>,
    ended: Vec<End>,
    last_end: u64,
    /// Highest run number of each subtask that was started or stopped; lower ones are rejected.
    highest_run: BTreeMap<Task, u64>,
    /// Runs that will never start, with the reason.
    rejected: BTreeMap<RunKey, String>,
}

impl Node {
    fn incarnation_name(&self) -> String {
        format!("w{}-{}", self.position, self.incarnation_number)
    }

    /// Returns the resources of its runs.
    fn used(&self, jobs: &JobTable<'_>) -> Resources {
        self.runs.keys().fold(Resources::default(), |mut used, (task, _)| {
            if let Some(step) = jobs.step(task) {
                used += step.reserved();
            }
            used
        })
    }
}

/// All emulated workers.
pub struct Cluster {
    pub nodes: Vec<Node>,
    stop_ms: u64,
    gangs_at_slowest: bool,
    reports_progress: bool,
}

/// Workers of a unit's runs.
#[derive(Default)]
struct UnitWorkers {
    members: u32,
    racks: Vec<String>,
    /// Speed of the slowest.
    speed: f64,
}

/// Properties of the jobs that the emulation of runs needs.
pub struct JobTable<'a> {
    pub hidden: &'a BTreeMap<String, HiddenProperties>,
    pub steps: &'a BTreeMap<String, Vec<sorrelland_fleet::Step>>,
}

impl JobTable<'_> {
    pub(crate) fn step(&self, task: &Task) -> Option<&sorrelland_fleet::Step> {
        self.steps.get(&task.job)?.get(task.step as usize)
    }

    /// Returns the queue of a subtask's job.
    pub(crate) fn queue(&self, task: &Task) -> String {
        self.hidden.get(&task.job).map(|properties| format!("q{}", properties.kind)).unwrap_or_default()
    }

    /// Returns the work of a run of a subtask, in milliseconds at speed 1.
    fn work_ms(&self, task: &Task, work_factor: f64) -> Option<f64> {
        let properties = self.hidden.get(&task.job)?;
        properties.work_ms.get(task.step as usize).map(|work_ms| *work_ms as f64 * work_factor)
    }
}

impl Cluster {
    /// Creates `count` workers of a load.
    pub fn new(count: usize, load: &Load) -> Self {
        let node = |position: usize| Node {
            agent: format!("agent-{position}"),
            incarnation_number: 1,
            position,
            rack: format!("r{}", position / load.workers_per_rack),
            speed: load.speeds[position % load.speeds.len()],
            capacity: load.capacity,
            cut_off_until_ms: 0,
            broken: false,
            draining: false,
            leaves_at_ms: None,
            seq: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest_run: BTreeMap::new(),
            rejected: BTreeMap::new(),
        };
        Self {
            nodes: (0..count).map(node).collect(),
            stop_ms: load.stop_ms,
            gangs_at_slowest: load.gangs_at_slowest,
            reports_progress: load.reports_progress,
        }
    }

    /// Returns the incarnation and the speed of each worker.
    pub fn speeds(&self) -> Vec<(String, f64)> {
        self.nodes.iter().map(|node| (node.incarnation_name(), node.speed)).collect()
    }

    /// Crashes a worker: its runs and unacknowledged ends are lost, and a new incarnation starts.
    pub fn crash(&mut self, now_ms: u64, position: usize, history: &mut History) {
        let node = &mut self.nodes[position];
        for (task, run) in node.runs.keys() {
            history.record_removal(now_ms, task, *run);
        }
        node.incarnation_number += 1;
        node.runs.clear();
        node.ended.clear();
        node.highest_run.clear();
        node.rejected.clear();
        node.last_end = 0;
    }

    /// Lets a worker drain and shut down after `notice_ms`; a new incarnation follows at once.
    pub fn announce_departure(&mut self, now_ms: u64, position: usize, notice_ms: u64) {
        let node = &mut self.nodes[position];
        node.draining = true;
        node.leaves_at_ms.get_or_insert(now_ms + notice_ms);
    }

    /// Replaces the workers whose time to shut down has come.
    pub fn replace_departed(&mut self, now_ms: u64, history: &mut History) {
        for position in 0..self.nodes.len() {
            if self.nodes[position].leaves_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                self.nodes[position].leaves_at_ms = None;
                self.nodes[position].draining = false;
                self.crash(now_ms, position, history);
            }
        }
    }

    /// Returns the resources of the workers that can run subtasks: reachable, not draining and not broken.
    pub fn rooms(&self, now_ms: u64, jobs: &JobTable<'_>) -> Vec<WorkerRoom> {
        let is_usable = |node: &&Node| node.cut_off_until_ms <= now_ms && !node.draining && !node.broken;
        let room = |node: &Node| {
            let mut free = node.capacity;
            free -= node.used(jobs);
            WorkerRoom { capacity: node.capacity, free }
        };
        self.nodes.iter().filter(is_usable).map(room).collect()
    }

    /// Returns the jobs with runs on any worker.
    pub fn running_jobs(&self) -> BTreeSet<&str> {
        self.nodes.iter().flat_map(|node| node.runs.keys()).map(|(task, _)| task.job.as_str()).collect()
    }

    /// Returns the next report of an agent; `None` while it is cut off.
    pub fn report(&mut self, now_ms: u64, position: usize) -> Option<Report> {
        let node = &mut self.nodes[position];
        if node.cut_off_until_ms > now_ms {
            return None;
        }
        node.seq += 1;
        let running = node.runs.iter().map(|((task, run), state)| Running {
            task: task.clone(),
            run: *run,
            saved: if state.saved_ms > 0.0 { format!("{:.0}", state.saved_ms) } else { String::new() },
            percent: state.percent,
            measurement: 0,
        });
        let rejected = node.rejected.iter().map(|((task, run), reason)| NotStarted {
            task: task.clone(),
            run: *run,
            reason: reason.clone(),
        });
        Some(Report {
            agent: node.agent.clone(),
            agent_incarnation: 1 + position as u64,
            seq: node.seq,
            silent_before_ms: None,
            worker: Some(WorkerInfo {
                incarnation: node.incarnation_name(),
                service: "service".to_owned(),
                domain: "domain".to_owned(),
                labels: vec!["a".to_owned(), node.rack.clone()],
                capacity: node.capacity,
                draining: node.draining,
                remaining_ms: node.leaves_at_ms.map(|at_ms| at_ms.saturating_sub(now_ms)),
            }),
            running: running.collect(),
            ended: node.ended.clone(),
            not_started: rejected.collect(),
            first_marks: Vec::new(),
        })
    }

    /// Applies the planner's assignments to a worker.
    pub fn apply_assignments(
        &mut self,
        now_ms: u64,
        position: usize,
        assignments: &Assignments,
        jobs: &JobTable<'_>,
        history: &mut History,
    ) {
        let node = &mut self.nodes[position];
        if assignments.incarnation != node.incarnation_name() {
            return;
        }
        node.lease_end_ms = node.lease_end_ms.max(now_ms + assignments.grant_ms);
        node.ended.retain(|end| end.number > assignments.acknowledged);
        history.record_acknowledgement(&node.incarnation_name(), assignments.acknowledged);
        let required: Vec<RunKey> = assignments
            .starts
            .iter()
            .map(|start| (start.task.clone(), start.run))
            .chain(assignments.stops.iter().map(|stop| (stop.task.clone(), stop.run)))
            .collect();
        node.rejected.retain(|run, _| required.contains(run));
        for stop in &assignments.stops {
            let key = (stop.task.clone(), stop.run);
            let highest_run = node.highest_run.entry(stop.task.clone()).or_default();
            *highest_run = (*highest_run).max(stop.run);
            match node.runs.get_mut(&key) {
                Some(run) => {
                    run.stop_at_ms.get_or_insert(now_ms + self.stop_ms);
                }
                None if !node.ended.iter().any(|end| end.task == stop.task && end.run == stop.run) => {
                    node.rejected.insert(key, "stopped before it was there".to_owned());
                }
                None => (),
            }
        }
        for start in &assignments.starts {
            let key = (start.task.clone(), start.run);
            if node.draining || node.runs.contains_key(&key) || node.rejected.contains_key(&key) {
                continue;
            }
            if node.highest_run.get(&start.task).is_some_and(|highest_run| *highest_run >= start.run) {
                if !node.ended.iter().any(|end| end.task == start.task && end.run == start.run) {
                    node.rejected.insert(key, "old".to_owned());
                }
                continue;
            }
            node.highest_run.insert(start.task.clone(), start.run);
            let saved_ms = start.saved.parse().unwrap_or(0.0);
            let gang = jobs.step(&start.task).is_some_and(|step| step.gang);
            let index = if gang { 0 } else { start.task.index };
            let work_factor = jobs
                .hidden
                .get(&start.task.job)
                .map_or(1.0, |properties| properties.work_factor(start.task.step, index, start.run));
            let run = Run {
                started_ms: now_ms,
                done_ms: saved_ms,
                saved_ms,
                stop_at_ms: None,
                work_factor,
                percent: 0,
            };
            node.runs.insert(key, run);
            history.record_start(now_ms, &start.task, start.run);
        }
        let used = node.used(jobs);
        history.check_capacity(now_ms, &node.incarnation_name(), &node.capacity, &used);
    }

    /// Advances all runs by `step_ms`.
    pub fn step(
        &mut self,
        now_ms: u64,
        step_ms: u64,
        jobs: &JobTable<'_>,
        generator: &mut JobGenerator,
        history: &mut History,
        failure_shares: &[f64],
    ) {
        let running_units = self.running_units();
        let mut ended_gangs = Vec::new();
        let done_gangs = self.gangs_done_in_step(step_ms, jobs, &running_units);
        for node in &mut self.nodes {
            let lapsed = now_ms > node.lease_end_ms;
            if lapsed {
                history.record_lapse(&node.incarnation_name());
            }
            let mut ending: Vec<(RunKey, EndReason)> = Vec::new();
            for (key, run) in &mut node.runs {
                let (task, run_number) = key;
                let Some(step) = jobs.steps.get(&task.job).and_then(|steps| steps.get(task.step as usize))
                else {
                    continue;
                };
                let Some(properties) = jobs.hidden.get(&task.job) else { continue };
                let unit = (task.job.clone(), task.occurrence, task.step, *run_number);
                let unit = running_units.get(&unit);
                let (members, racks) = unit.map_or((0, 0), |unit| (unit.members, unit.racks.len()));
                let speed =
                    unit.filter(|_| step.gang && self.gangs_at_slowest).map_or(node.speed, |unit| unit.speed);
                if lapsed {
                    ending.push((key.clone(), EndReason::Lapsed));
                    continue;
                }
                if run.stop_at_ms.is_some_and(|stop_at| now_ms >= stop_at) {
                    if step.saves_progress {
                        run.saved_ms = run.done_ms;
                    }
                    ending.push((key.clone(), EndReason::Stopped));
                    continue;
                }
                if step.gang && members < step.count {
                    if now_ms > run.started_ms + GANG_TIMEOUT_MS {
                        ending.push((key.clone(), EndReason::Alone));
                    }
                    continue;
                }
                if step.gang && task.index != 0 {
                    // Only the first member's progress counts, since the members end together.
                    continue;
                }
                let slowdown = if step.prefers_one_rack && racks > 1 { CROSS_RACK_SLOWDOWN } else { 1.0 };
                run.done_ms += step_ms as f64 * speed / slowdown;
                if step.saves_progress {
                    run.saved_ms = (run.done_ms / SAVE_INTERVAL_MS).floor() * SAVE_INTERVAL_MS;
                }
                let work_ms = jobs.work_ms(task, run.work_factor).unwrap_or(1_000.0);
                let fails = properties.always_fails || node.broken;
                if fails && run.done_ms >= work_ms / 4.0 {
                    ending.push((key.clone(), EndReason::Failed));
                } else if run.done_ms >= work_ms {
                    let random_failure = generator.draw_uniform()
                        < failure_shares.get(properties.kind).copied().unwrap_or(0.0);
                    ending.push((
                        key.clone(),
                        if random_failure { EndReason::Failed } else { EndReason::Done },
                    ));
                }
            }
            for (key, reason) in ending {
                let first_member = key.0.index == 0;
                if first_member || !done_gangs.contains(&(key.0.job.clone(), key.0.step, key.1)) {
                    end_run(node, now_ms, &key, reason, history);
                }
                if jobs
                    .steps
                    .get(&key.0.job)
                    .and_then(|steps| steps.get(key.0.step as usize))
                    .is_some_and(|step| step.gang)
                {
                    ended_gangs.push((key.0.job.clone(), key.0.occurrence, key.0.step, key.1, reason));
                }
            }
        }
        // The end of one member of a gang ends the others.
        for (job, occurrence, step, run, reason) in ended_gangs {
            let reason = if reason == EndReason::Done { EndReason::Done } else { EndReason::Broken };
            for node in &mut self.nodes {
                let members: Vec<RunKey> = node
                    .runs
                    .keys()
                    .filter(|(task, run_number)| {
                        task.job == job
                            && task.occurrence == occurrence
                            && task.step == step
                            && *run_number == run
                    })
                    .cloned()
                    .collect();
                for key in members {
                    end_run(node, now_ms, &key, reason, history);
                }
            }
        }
        if self.reports_progress {
            self.update_percents(now_ms, step_ms, jobs);
        }
    }

    /// Returns the workers of each unit with runs.
    fn running_units(&self) -> BTreeMap<UnitRun, UnitWorkers> {
        let mut units: BTreeMap<UnitRun, UnitWorkers> = BTreeMap::new();
        for node in &self.nodes {
            for (task, run) in node.runs.keys() {
                let key = (task.job.clone(), task.occurrence, task.step, *run);
                let unit =
                    units.entry(key).or_insert(UnitWorkers { speed: node.speed, ..UnitWorkers::default() });
                unit.members += 1;
                unit.speed = unit.speed.min(node.speed);
                if !unit.racks.contains(&node.rack) {
                    unit.racks.push(node.rack.clone());
                }
            }
        }
        units
    }

    /// Updates the reported progress of the runs for which it is due. Members of a gang report that of the first one.
    fn update_percents(&mut self, now_ms: u64, step_ms: u64, jobs: &JobTable<'_>) {
        let percent = |task: &Task, run: &Run| {
            let work_ms = jobs.work_ms(task, run.work_factor).unwrap_or(1_000.0);
            ((100.0 * run.done_ms / work_ms) as u64).min(100)
        };
        let mut gangs: BTreeMap<UnitRun, u64> = BTreeMap::new();
        for ((task, number), run) in self.nodes.iter().flat_map(|node| &node.runs) {
            if task.index == 0 && jobs.step(task).is_some_and(|step| step.gang) {
                let key = (task.job.clone(), task.occurrence, task.step, *number);
                gangs.insert(key, percent(task, run));
            }
        }
        for ((task, number), run) in self.nodes.iter_mut().flat_map(|node| &mut node.runs) {
            if (now_ms - run.started_ms) % PROGRESS_INTERVAL_MS >= step_ms {
                continue;
            }
            let gang = gangs.get(&(task.job.clone(), task.occurrence, task.step, *number));
            run.percent = run.percent.max(gang.copied().unwrap_or_else(|| percent(task, run)));
        }
    }
}

impl Cluster {
    /// Returns the gangs (job, step and run) whose first member may end as done in this step. The other members end
    /// with it, even if they were about to end for another reason.
    fn gangs_done_in_step(
        &self,
        step_ms: u64,
        jobs: &JobTable<'_>,
        running_units: &BTreeMap<UnitRun, UnitWorkers>,
    ) -> BTreeSet<(String, u32, u64)> {
        let mut gangs = BTreeSet::new();
        for node in &self.nodes {
            for ((task, run_number), run) in node.runs.iter().filter(|((task, _), _)| task.index == 0) {
                let work_ms = jobs.work_ms(task, run.work_factor);
                let unit = (task.job.clone(), task.occurrence, task.step, *run_number);
                let slowest = running_units.get(&unit).filter(|_| self.gangs_at_slowest);
                let speed = slowest.map_or(node.speed, |unit| unit.speed);
                let next_done_ms = run.done_ms + step_ms as f64 * speed;
                if jobs.step(task).is_some_and(|step| step.gang)
                    && work_ms.is_some_and(|work_ms| next_done_ms >= work_ms)
                {
                    gangs.insert((task.job.clone(), task.step, *run_number));
                }
            }
        }
        gangs
    }
}

fn end_run(node: &mut Node, now_ms: u64, key: &RunKey, reason: EndReason, history: &mut History) {
    let Some(run) = node.runs.remove(key) else { return };
    node.last_end += 1;
    let saved = if run.saved_ms > 0.0 { format!("{:.0}", run.saved_ms) } else { String::new() };
    let (task, run_number) = key;
    node.ended.push(End { number: node.last_end, task: task.clone(), run: *run_number, reason, saved });
    history.record_end(now_ms, &node.incarnation_name(), node.last_end, task, *run_number, reason);
}
