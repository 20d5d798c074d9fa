//! Shows where a job would be placed if it were submitted now, without submitting it.
//!
//! The job is submitted to a copy of the planner, which then runs one tick. So the answer is the planner's own decision,
//! and nothing in the planner changes. A copy takes time and memory in proportion to the known jobs, for one request of an
//! operator at a time.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::job::{Job, Step, Submission};
use crate::planner::{Admission, Planner};
use crate::unit::{UnitKey, UnitState};
use crate::view::table;

/// Name of the job on trial. Callers can't use it: the names of their jobs are hexadecimal.
const TRIAL_JOB: &str = "trial";

/// Maximum number of named runs that would be stopped.
const MAX_NAMED_RUNS: usize = 20;

/// A copy of the planner.
pub struct Trial(Planner);

impl Planner {
    /// Copies the planner for a trial.
    pub fn trial(&self) -> Trial {
        Trial(self.clone())
    }
}

impl Trial {
    /// Returns whether a job would be admitted now, and for each step where its subtasks would be placed or why they would
    /// wait, as JSON.
    pub fn explain(self, now: u64, wall: u64, sub: &Submission) -> Value {
        let Self(mut planner) = self;
        let sub = Submission { job: TRIAL_JOB.to_owned(), ..sub.clone() };
        if let Admission::Refused { reason, retry_after_ms } = planner.submit(now, wall, &sub) {
            return json!({
                "queue": sub.queue,
                "account": sub.account,
                "admitted": false,
                "why": reason,
                "retry_after_ms": retry_after_ms,
            });
        }
        planner.take_log();
        planner.tick(now, wall);
        let reason = format!(" why=\"resources needed for {TRIAL_JOB}:");
        let log = planner.take_log();
        let preempted =
            log.iter().filter(|line| line.starts_with("event=preempted ") && line.contains(&reason));
        let task =
            |line: &String| line.split(' ').find_map(|pair| pair.strip_prefix("task=").map(str::to_owned));
        let stopped: Vec<String> = preempted.filter_map(task).collect();
        let Some(job) = planner.jobs.get(TRIAL_JOB) else { return json!({"admitted": true}) };
        let steps =
            (0..).zip(&sub.steps).map(|(number, step)| step_row(&planner, now, wall, job, (number, step)));
        let mut body = table(&["step", "subtasks", "placed", "waiting", "why"], steps);
        body["queue"] = json!(sub.queue);
        body["account"] = json!(sub.account);
        body["admitted"] = json!(true);
        body["target_ms"] = json!(planner.target_ms(job));
        body["stops"] = json!(stopped.len());
        if !stopped.is_empty() {
            body["stopped_runs"] = json!(stopped[..stopped.len().min(MAX_NAMED_RUNS)].join(", "));
        }
        body
    }
}

/// Returns where the subtasks of a step of the first occurrence would be placed, and why the others would wait.
fn step_row(planner: &Planner, now: u64, wall: u64, job: &Job, (number, step): (u32, &Step)) -> Value {
    let mut workers: BTreeMap<&str, u32> = BTreeMap::new();
    let mut waiting: Vec<UnitKey> = Vec::new();
    for (key, unit) in job.units_of(0, number) {
        match unit.state {
            UnitState::Placed => {
                unit.members.iter().for_each(|m| *workers.entry(&m.worker).or_default() += 1)
            }
            _ => waiting.push(*key),
        }
    }
    let placed: u32 = workers.values().sum();
    let mut why = Vec::new();
    if placed > 0 {
        let worker = |(name, count): (&&str, &u32)| match count {
            1 => (*name).to_owned(),
            count => format!("{name} ({count})"),
        };
        why.push(format!("placed on {}", workers.iter().map(worker).collect::<Vec<_>>().join(", ")));
    }
    if let Some((key, unit)) = waiting.first().and_then(|key| Some((*key, job.units.get(key)?))) {
        let candidates = planner.candidates(now, wall);
        let candidate = candidates.iter().find(|c| c.job == job.sub.job && c.key == key);
        let reason = unit.waits.reason().map_or_else(String::new, |reason| format!("{reason}: "));
        why.push(reason + &planner.explain_unit(now, wall, job, (key, unit), candidate));
    } else if placed == 0 {
        // The units of an occurrence that is not due don't exist yet.
        let due_in_ms = job.due_ms(0).map_or(0, |due| due.saturating_sub(wall));
        why.push(format!("due in {due_in_ms} ms"));
    }
    json!({
        "step": number,
        "subtasks": step.count,
        "placed": placed,
        "waiting": step.count.saturating_sub(placed),
        "workers": workers,
        "why": why.join("; "),
    })
}
