//! Report on late jobs: reads the log lines of all processes and shows where the time of each late job went.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use sorrelland_fleet::wait::WaitReason;

use crate::log_line::LogLine;

/// Share of its excess that the longest delay of a job must explain to count as the cause, in percent.
const MIN_EXPLAINED_PERCENT: i64 = 50;

/// Part of a job's time that was not spent on the runs that gave its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delay {
    /// From the caller's first attempt until the job was accepted, refusals included, if it was refused.
    Refused,
    /// From the caller's first attempt until the planner had the job, if it was never refused: no leader, a slow
    /// or unreachable store, or a busy entry.
    NoAnswer,
    /// Waiting, by the reason that the planner logged.
    Wait(WaitReason),
    /// From a placement until the worker confirmed the start: the store, the agent and the worker.
    Start,
    /// Runs that failed.
    FailedRun,
    /// Runs that were stopped in favor of others.
    Preempted,
    /// Runs that were lost with their worker, its agent or its lease.
    WorkerLost,
}

/// Every delay with its name in the report.
const DELAYS: [(Delay, &str); 14] = [
    (Delay::Refused, "refused"),
    (Delay::NoAnswer, "no answer"),
    (Delay::Wait(WaitReason::Workers), "no worker"),
    (Delay::Wait(WaitReason::Resources), "resources"),
    (Delay::Wait(WaitReason::Speed), "slow workers"),
    (Delay::Wait(WaitReason::Stops), "stops"),
    (Delay::Wait(WaitReason::Rack), "rack"),
    (Delay::Wait(WaitReason::Reserve), "reserve"),
    (Delay::Wait(WaitReason::Approval), "approval"),
    (Delay::Wait(WaitReason::Isolation), "isolation"),
    (Delay::Start, "start"),
    (Delay::FailedRun, "failed run"),
    (Delay::Preempted, "preempted"),
    (Delay::WorkerLost, "worker lost"),
];

/// Causes beside the delays: the runs themselves took too long, or the job has no result.
const LONG_RUN: &str = "long run";
const FAILED: &str = "failed";
const NOT_ACCEPTED: &str = "not accepted";
const NOT_ENDED: &str = "not ended";

/// One run of a subtask, or of a gang's first member.
#[derive(Clone, Debug, Default)]
struct Run {
    placed_ms: i64,
    started_ms: Option<i64>,
    ended_ms: Option<i64>,
    /// How it ended; empty while it runs.
    how: String,
    was_preempted: bool,
    waits: Vec<(Delay, i64)>,
}

/// What the logs say about a job.
#[derive(Clone, Debug, Default)]
struct Job {
    queue: String,
    account: String,
    priority: String,
    /// Estimate of the first step, in milliseconds.
    declared_ms: i64,
    /// When the caller's first attempt arrived.
    submitted_ms: Option<i64>,
    refusals: u64,
    accepted_ms: Option<i64>,
    value: f64,
    value_lost: f64,
    outcome: String,
    ended_ms: i64,
    target_ms: i64,
    cancelled: bool,
    held: String,
    /// Runs by subtask, then by run number.
    runs: BTreeMap<String, BTreeMap<u64, Run>>,
}

/// Late jobs, their causes, and the totals.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of jobs that were not cancelled.
    pub jobs: usize,
    pub late: Vec<LateJob>,
}

/// A job that ended late, failed, was not accepted, or had not ended when the logs did.
#[derive(Clone, Debug)]
pub struct LateJob {
    pub name: String,
    pub queue: String,
    pub account: String,
    pub priority: String,
    pub cause: &'static str,
    /// Time from the caller's first attempt to the end, in milliseconds.
    pub age_ms: i64,
    /// Target by the measured work, in milliseconds.
    pub target_ms: i64,
    pub declared_ms: i64,
    /// Longest chain of runs that gave the result, in milliseconds.
    pub ran_ms: i64,
    /// Delays along the chain of steps, in milliseconds.
    pub delays: BTreeMap<Delay, i64>,
    /// What held the accelerators when the job began to wait.
    pub held: String,
    pub value_lost: f64,
}

/// Builds the report from the lines of all processes, in any order. `from_ms` leaves out jobs submitted earlier.
pub fn report<'a>(lines: impl Iterator<Item = &'a str>, from_ms: i64) -> Report {
    let mut lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    lines.sort_by_key(|line| line.at_ms);
    let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
    for line in &lines {
        let name = line.field("job");
        if !name.is_empty() {
            jobs.entry(name.to_owned()).or_default().apply(line);
        }
    }
    let last_ms = lines.last().map_or(0, |line| line.at_ms);
    let submitted = jobs.into_iter().filter_map(|(name, job)| {
        let submitted_ms = job.submitted_ms.or(job.accepted_ms)?;
        (!job.cancelled && submitted_ms >= from_ms).then_some((name, submitted_ms, job))
    });
    let submitted: Vec<_> = submitted.collect();
    let mut late: Vec<LateJob> = submitted
        .iter()
        .filter_map(|(name, submitted_ms, job)| job.late(name, *submitted_ms, last_ms))
        .collect();
    late.sort_by(|one, other| other.value_lost.total_cmp(&one.value_lost).then(one.name.cmp(&other.name)));
    Report { jobs: submitted.len(), late }
}

impl Job {
    fn apply(&mut self, line: &LogLine) {
        match line.event() {
            "submit_answered" => {
                let arrived_ms = line.at_ms - line.number::<i64>("took_ms").unwrap_or_default();
                self.submitted_ms = Some(self.submitted_ms.map_or(arrived_ms, |known| known.min(arrived_ms)));
                self.queue = line.field("queue").to_owned();
            }
            "refused" => {
                self.refusals += 1;
                self.apply_shape(line);
                self.value_lost = line.number("value").unwrap_or_default();
            }
            "accepted" => {
                self.accepted_ms.get_or_insert(line.at_ms);
                self.apply_shape(line);
            }
            "waiting" if self.held.is_empty() => self.held = line.field("held").to_owned(),
            "placed" => {
                let run = self.run(line);
                run.placed_ms = line.at_ms;
                run.waits = parse_waits(line.field("waits"));
            }
            "started" => {
                // The last member of a gang starts the work.
                let at = line.at_ms;
                let run = self.run(line);
                run.started_ms = Some(run.started_ms.map_or(at, |known| known.max(at)));
            }
            "preempted" => self.run(line).was_preempted = true,
            "run_ended" | "run_gone" => {
                let how = if line.event() == "run_gone" { "gone" } else { line.field("how") };
                let (at, how) = (line.at_ms, how.to_owned());
                let run = self.run(line);
                run.ended_ms.get_or_insert(at);
                if run.how.is_empty() || how == "Done" {
                    run.how = how;
                }
            }
            "job_ended" => {
                self.ended_ms = line.at_ms;
                self.outcome = line.field("outcome").to_owned();
                self.cancelled = self.outcome == "Cancelled";
                // Versions before this one logged the target by measured durations as `target_ms`.
                let target_ms = line.number("measured_target_ms").or_else(|| line.number("target_ms"));
                self.target_ms = target_ms.unwrap_or_default();
                self.value = line.number("value").unwrap_or_default();
                self.value_lost = line.number("value_lost").unwrap_or_default();
            }
            _ => (),
        }
    }

    fn apply_shape(&mut self, line: &LogLine) {
        self.queue = line.field("queue").to_owned();
        self.account = line.field("account").to_owned();
        self.priority = line.field("priority").to_owned();
        let declared = line.field("shape").split('~').nth(1).and_then(|text| text.split("ms").next());
        self.declared_ms = declared.and_then(|ms| ms.parse().ok()).unwrap_or(self.declared_ms);
    }

    /// Returns the run that a line is about, by the subtask that the planner logs for it: a gang's first member.
    fn run(&mut self, line: &LogLine) -> &mut Run {
        let task = line.field("task");
        let number = line.number("run").unwrap_or_default();
        let placed = |task: &str| self.runs.get(task).is_some_and(|runs| runs.contains_key(&number));
        let first = task.rsplit_once('.').map(|(step, _)| format!("{step}.0"));
        let unit = match first {
            Some(first) if !placed(task) && line.event() != "placed" && placed(&first) => first,
            _ => task.to_owned(),
        };
        self.runs.entry(unit).or_default().entry(number).or_default()
    }

    /// Returns the entry of the job in the report; `None` if it ended in time.
    fn late(&self, name: &str, submitted_ms: i64, last_ms: i64) -> Option<LateJob> {
        let (delays, ran_ms) = self.delays(submitted_ms);
        let ended_ms = if self.outcome.is_empty() { last_ms } else { self.ended_ms };
        let age_ms = ended_ms - submitted_ms;
        let over_ms = age_ms - self.target_ms;
        let cause = match self.outcome.as_str() {
            "Completed" if over_ms <= 0 => return None,
            "Completed" => main_delay(&delays, over_ms),
            "Failed" => FAILED,
            _ if self.accepted_ms.is_none() => NOT_ACCEPTED,
            _ => NOT_ENDED,
        };
        Some(LateJob {
            name: name.to_owned(),
            queue: self.queue.clone(),
            account: self.account.clone(),
            priority: self.priority.clone(),
            cause,
            age_ms,
            target_ms: self.target_ms,
            declared_ms: self.declared_ms,
            ran_ms,
            delays,
            held: self.held.clone(),
            value_lost: self.value_lost,
        })
    }

    /// Returns the delays along the chain of steps, by the unit of each step that ended last, and the total duration
    /// of the last runs of these units.
    fn delays(&self, submitted_ms: i64) -> (BTreeMap<Delay, i64>, i64) {
        let mut delays = BTreeMap::new();
        let mut add = |delay, ms: i64| *delays.entry(delay).or_default() += ms.max(0);
        if let Some(accepted_ms) = self.accepted_ms {
            let first_placed = self.runs.values().flat_map(BTreeMap::values).map(|run| run.placed_ms);
            let known_ms =
                first_placed.filter(|ms| *ms > 0).min().map_or(accepted_ms, |ms| ms.min(accepted_ms));
            add(if self.refusals > 0 { Delay::Refused } else { Delay::NoAnswer }, known_ms - submitted_ms);
        }
        let mut last_of_step: BTreeMap<&str, &BTreeMap<u64, Run>> = BTreeMap::new();
        let last_end = |runs: &BTreeMap<u64, Run>| runs.values().filter_map(|run| run.ended_ms).max();
        for (task, runs) in &self.runs {
            let step = task.rsplit_once('.').map_or("", |(step, _)| step);
            let known = last_of_step.entry(step).or_insert(runs);
            if last_end(runs) > last_end(known) {
                *known = runs;
            }
        }
        let mut ran_ms = 0;
        for runs in last_of_step.values() {
            for run in runs.values() {
                run.waits.iter().for_each(|(delay, ms)| add(*delay, *ms));
                let Some(ended_ms) = run.ended_ms else { continue };
                let started_ms = run.started_ms.unwrap_or(ended_ms);
                match run.how.as_str() {
                    "Done" => {
                        add(Delay::Start, started_ms - run.placed_ms);
                        ran_ms += ended_ms - started_ms;
                    }
                    _ if run.was_preempted => add(Delay::Preempted, ended_ms - run.placed_ms),
                    "Failed" => add(Delay::FailedRun, ended_ms - run.placed_ms),
                    _ => add(Delay::WorkerLost, ended_ms - run.placed_ms),
                }
            }
        }
        delays.retain(|_, ms| *ms > 0);
        (delays, ran_ms)
    }
}

/// Returns the name of the longest delay if it explains enough of the excess, otherwise that the runs took too long.
fn main_delay(delays: &BTreeMap<Delay, i64>, over_ms: i64) -> &'static str {
    let longest = delays.iter().max_by_key(|(_, ms)| **ms);
    match longest {
        Some((delay, ms)) if *ms * 100 >= over_ms * MIN_EXPLAINED_PERCENT => name_of(*delay),
        _ => LONG_RUN,
    }
}

fn name_of(delay: Delay) -> &'static str {
    DELAYS.iter().find(|(known, _)| *known == delay).map_or("", |(_, name)| name)
}

/// Parses the waits of a placement, such as `resources:1200,stops:210`.
fn parse_waits(text: &str) -> Vec<(Delay, i64)> {
    let waits = text.split(',').filter_map(|wait| wait.split_once(':'));
    waits.filter_map(|(reason, ms)| Some((Delay::Wait(reason.parse().ok()?), ms.parse().ok()?))).collect()
}

impl Report {
    /// Returns the late jobs as a table.
    pub fn jobs_json(&self) -> Value {
        let row = |job: &LateJob| {
            let mut delays: Vec<_> = job.delays.iter().collect();
            delays.sort_by_key(|(_, ms)| std::cmp::Reverse(**ms));
            let delays: Vec<String> =
                delays.into_iter().map(|(delay, ms)| format!("{}:{ms}", name_of(*delay))).collect();
            json!({
                "job": job.name,
                "queue": job.queue,
                "account": job.account,
                "priority": job.priority,
                "cause": job.cause,
                "age_ms": job.age_ms,
                "target_ms": job.target_ms,
                "ran_ms": job.ran_ms,
                "declared_ms": job.declared_ms,
                "held": job.held,
                "value_lost": round(job.value_lost),
                "why": delays.join(" "),
            })
        };
        let columns = [
            "job",
            "queue",
            "account",
            "priority",
            "cause",
            "age_ms",
            "target_ms",
            "ran_ms",
            "declared_ms",
            "held",
            "value_lost",
            "why",
        ];
        json!({"columns": columns, "rows": self.late.iter().map(row).collect::<Vec<_>>(), "jobs": self.jobs})
    }

    /// Returns the number of late jobs and the lost value by priority and cause, the greatest loss first.
    pub fn causes_json(&self) -> Value {
        let mut causes: BTreeMap<(&str, &str), (u64, f64)> = BTreeMap::new();
        for job in &self.late {
            let cause = causes.entry((job.priority.as_str(), job.cause)).or_default();
            *cause = (cause.0 + 1, cause.1 + job.value_lost);
        }
        let total: f64 = causes.values().map(|(_, lost)| lost).sum();
        let mut causes: Vec<_> = causes.into_iter().collect();
        causes.sort_by(|(_, one), (_, other)| other.1.total_cmp(&one.1));
        let row = |((priority, cause), (jobs, lost)): &((&str, &str), (u64, f64))| {
            let share = if total > 0.0 { 100.0 * lost / total } else { 0.0 };
            json!({
                "priority": priority,
                "cause": cause,
                "jobs": jobs,
                "value_lost": round(*lost),
                "percent": share.round() as i64,
            })
        };
        let columns = ["priority", "cause", "jobs", "value_lost", "percent"];
        json!({"columns": columns, "rows": causes.iter().map(row).collect::<Vec<_>>(), "jobs": self.jobs})
    }
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
