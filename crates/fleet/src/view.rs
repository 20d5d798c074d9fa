//! What operators are shown: jobs, workers, accounts, refusals and service levels, and why a job is where it is.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::admit::chain_ms;
use crate::job::{Job, JobState, Outcome};
use crate::place::{Candidate, accelerators_at_once, usable};
use crate::planner::{MAX_REPORT_AGE_MS, Planner};
use crate::unit::{Unit, UnitKey, UnitState};
use crate::worker::Worker;

/// Rows of one answer at most, so that it stays far below the limit of a message.
const MOST_ROWS: usize = 500;

/// Refusals that are remembered, newest last.
const MOST_REFUSALS: usize = 500;

/// Units of a job that are explained one by one.
const MOST_EXPLAINED: usize = 20;

/// Length of one point of the service levels over time, in milliseconds.
const POINT_MS: u64 = 10_000;

/// Share of jobs that should end in time, in thousandths; the users ask for 90%.
pub const OBJECTIVE_MILLI: u64 = 900;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Jobs that have not ended, or of which something still takes room.
    Jobs,
    /// Workers that are known.
    Workers,
    /// Client accounts with their guarantees and what they use.
    Accounts,
    /// Newest refusals.
    Refused,
    /// Service levels of the jobs that ended lately, by account and queue.
    Burn,
    /// Why a job is where it is.
    Why(String),
}

/// A submission that was refused.
#[derive(Clone, Debug)]
pub struct RefusedJob {
    job: String,
    queue: String,
    account: String,
    why: String,
    retry_after_ms: u64,
    /// When, in milliseconds since 1970.
    at_ms: u64,
}

impl Planner {
    /// Remembers a refusal for operators; the oldest is forgotten.
    pub(crate) fn remember_refusal(
        &mut self,
        wall: u64,
        sub: &crate::Submission,
        why: &str,
        retry_after_ms: u64,
    ) {
        if self.refusals.len() >= MOST_REFUSALS {
            self.refusals.pop_front();
        }
        self.refusals.push_back(RefusedJob {
            job: sub.job.clone(),
            queue: sub.queue.clone(),
            account: sub.account.clone(),
            why: why.to_owned(),
            retry_after_ms,
            at_ms: wall,
        });
    }

    /// Returns what an operator asks for: an object with `columns` and `rows`, or with the fields of one job.
    pub fn view(&self, query: &Query, now: u64, wall: u64) -> Value {
        match query {
            Query::Jobs => self.view_jobs(wall),
            Query::Workers => self.view_workers(now),
            Query::Accounts => self.view_accounts(),
            Query::Refused => self.view_refused(wall),
            Query::Burn => self.view_burn(wall),
            Query::Why(job) => self.view_why(job, now, wall),
        }
    }

    fn view_jobs(&self, wall: u64) -> Value {
        let row = |job: &Job| {
            let units = |at: UnitState| job.units.values().filter(|unit| unit.state == at).count();
            json!({
                "job": job.sub.job,
                "queue": job.sub.queue,
                "account": job.sub.account,
                "state": state(job),
                "age_ms": wall.saturating_sub(job.accepted_ms),
                "target_ms": self.target_ms(job),
                "waiting": units(UnitState::Waiting),
                "placed": units(UnitState::Placed),
                "ending": units(UnitState::Ending),
                "done": units(UnitState::Done),
                "fails": job.units.values().map(|unit| unit.failures).sum::<u32>(),
            })
        };
        let jobs = self.live.iter().filter_map(|name| self.jobs.get(name));
        let columns = [
            "job",
            "queue",
            "account",
            "state",
            "age_ms",
            "target_ms",
            "waiting",
            "placed",
            "ending",
            "done",
            "fails",
        ];
        table(&columns, jobs.map(row))
    }

    fn view_workers(&self, now: u64) -> Value {
        let row = |worker: &Worker| {
            json!({
                "worker": worker.info.incarnation,
                "agent": worker.agent,
                "service": worker.info.service,
                "rack": worker.rack(),
                "standing": standing(worker, now),
                "accelerators": format!("{}/{}", worker.used.accelerators, worker.info.capacity.accelerators),
                "cores": format!("{}/{}", worker.used.millicores / 1_000, worker.info.capacity.millicores / 1_000),
                "runs": worker.placed.len(),
                "heard_ms_ago": now.saturating_sub(worker.last_report_at),
            })
        };
        let columns = [
            "worker",
            "agent",
            "service",
            "rack",
            "standing",
            "accelerators",
            "cores",
            "runs",
            "heard_ms_ago",
        ];
        table(&columns, self.workers.values().map(row))
    }

    fn view_accounts(&self) -> Value {
        let row = |(name, account): (&String, &crate::desired::Account)| {
            let jobs =
                self.live.iter().filter_map(|job| self.jobs.get(job)).filter(|job| job.sub.account == *name);
            let (mut urgent, mut used, mut waiting, mut running) = (0, 0, 0, 0);
            for job in jobs.filter(|job| job.outcome.is_none()) {
                let is_urgent = self.desired.queue(&job.sub.queue).is_some_and(|queue| queue.priority == 0);
                urgent += if is_urgent { accelerators_at_once(&job.sub) } else { 0 };
                (waiting, running) =
                    if job.started { (waiting, running + 1) } else { (waiting + 1, running) };
                for (key, unit) in &job.units {
                    let each =
                        job.sub.steps.get(key.step as usize).map_or(0, |step| step.resources.accelerators);
                    used += each * unit.members.iter().filter(|member| !member.released).count() as i64;
                }
            }
            json!({
                "account": name,
                "guaranteed": account.guaranteed_accelerators,
                "urgent": urgent,
                "accelerators": used,
                "waiting": waiting,
                "running": running,
            })
        };
        let columns = ["account", "guaranteed", "urgent", "accelerators", "waiting", "running"];
        table(&columns, self.desired.accounts.iter().map(row))
    }

    fn view_refused(&self, wall: u64) -> Value {
        let row = |refused: &RefusedJob| {
            json!({
                "ms_ago": wall.saturating_sub(refused.at_ms),
                "job": refused.job,
                "queue": refused.queue,
                "account": refused.account,
                "retry_after_ms": refused.retry_after_ms,
                "why": refused.why,
            })
        };
        let columns = ["ms_ago", "job", "queue", "account", "retry_after_ms", "why"];
        table(&columns, self.refusals.iter().rev().map(row))
    }

    fn view_burn(&self, wall: u64) -> Value {
        let mut levels: BTreeMap<(&str, &str), Level> = BTreeMap::new();
        let mut points: BTreeMap<u64, Level> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(in_time) = self.ended_in_time(job) else { continue };
            let failed = job.outcome == Some(Outcome::Failed);
            for level in [
                levels.entry((&job.sub.account, &job.sub.queue)).or_default(),
                points.entry(job.ended_ms / POINT_MS * POINT_MS).or_default(),
            ] {
                level.note(in_time, failed);
            }
        }
        for refused in &self.refusals {
            levels.entry((&refused.account, &refused.queue)).or_default().refused += 1;
        }
        let rows = levels.iter().map(|((account, queue), level)| {
            json!({
                "account": account,
                "queue": queue,
                "ended": level.ended,
                "in_time": level.in_time,
                "late": level.ended - level.in_time - level.failed,
                "failed": level.failed,
                "refused": level.refused,
                "burn": level.burn(),
            })
        });
        let columns = ["account", "queue", "ended", "in_time", "late", "failed", "refused", "burn"];
        let mut body = table(&columns, rows);
        let point = |(at, level): (&u64, &Level)| json!({"ms_ago": wall.saturating_sub(*at), "ended": level.ended, "burn": level.burn()});
        body["points"] = points.iter().map(point).collect();
        body["objective"] = json!(OBJECTIVE_MILLI as f64 / 1_000.0);
        body
    }

    /// Returns whether an ended job ended within its target; `None` for one that is not judged.
    pub(crate) fn ended_in_time(&self, job: &Job) -> Option<bool> {
        let outcome = job.outcome.filter(|outcome| *outcome != Outcome::Cancelled)?;
        if job.sub.schedule.is_some() || job.is_long_running() {
            return None;
        }
        let took = job.ended_ms.saturating_sub(job.accepted_ms);
        Some(outcome == Outcome::Completed && self.target_ms(job).is_none_or(|target| took <= target))
    }

    fn target_ms(&self, job: &Job) -> Option<u64> {
        let queue = self.desired.queue(&job.sub.queue)?;
        Some(chain_ms(&job.sub) * queue.stretch_milli / 1_000 + queue.full_value_ms)
    }

    fn view_why(&self, name: &str, now: u64, wall: u64) -> Value {
        let refused = |refused: &&RefusedJob| refused.job == name;
        let Some(job) = self.jobs.get(name) else {
            return match self.refusals.iter().rev().find(refused) {
                Some(refused) => json!({
                    "job": name,
                    "state": "refused",
                    "ms_ago": wall.saturating_sub(refused.at_ms),
                    "why": refused.why,
                    "retry_after_ms": refused.retry_after_ms,
                }),
                None => {
                    json!({"job": name, "state": "unknown", "why": "no such job, nor a refusal that is remembered"})
                }
            };
        };
        let order = self.candidates(now, wall);
        let open = job.units.iter().filter(|(_, unit)| unit.state != UnitState::Done);
        let units = open.take(MOST_EXPLAINED).map(|(key, unit)| {
            let ahead = order.iter().position(|c| c.job == name && c.key == *key);
            let candidate = ahead.and_then(|at| order.get(at));
            json!({
                "subtask": key.task(name, 0).to_string(),
                "run": unit.run,
                "fails": unit.failures,
                "ahead": ahead,
                "why": self.why_unit(now, wall, job, (*key, unit), candidate),
            })
        });
        let columns = ["subtask", "run", "fails", "ahead", "why"];
        let mut body = table(&columns, units);
        body["job"] = json!(name);
        body["state"] = json!(state(job));
        body["age_ms"] = json!(wall.saturating_sub(job.accepted_ms));
        body["target_ms"] = json!(self.target_ms(job));
        body
    }

    /// Returns in words why a unit is where it is.
    fn why_unit(
        &self,
        now: u64,
        wall: u64,
        job: &Job,
        (key, unit): (UnitKey, &Unit),
        candidate: Option<&Candidate>,
    ) -> String {
        let workers = || {
            let left = unit.members.iter().filter(|member| !member.released);
            left.map(|member| member.worker.as_str()).collect::<Vec<_>>().join(",")
        };
        let for_ms = now.saturating_sub(unit.since);
        match unit.state {
            UnitState::Done => return "done".to_owned(),
            UnitState::Placed => return format!("placed {for_ms} ms ago on {}", workers()),
            UnitState::Ending => return format!("its run is being ended on {} since {for_ms} ms", workers()),
            UnitState::Waiting => (),
        }
        if job.outcome.is_some() {
            return "the job has ended".to_owned();
        }
        if let Some(due) = job.due_ms(key.occurrence).filter(|due| *due > wall) {
            return format!("due in {} ms", due - wall);
        }
        let (Some(step), Some(candidate)) = (job.sub.steps.get(key.step as usize), candidate) else {
            return match self.desired.queue(&job.sub.queue) {
                None => "its queue is not in the desired state".to_owned(),
                Some(_) => "a step before it is not done".to_owned(),
            };
        };
        let latest = candidate.start_by.saturating_sub(wall);
        let mut out: BTreeMap<&str, usize> = BTreeMap::new();
        let service = self.queue_of(&job.sub.job).map(|queue| queue.service.as_str());
        for worker in self.workers.values().filter(|worker| Some(worker.info.service.as_str()) == service) {
            let standing = standing(worker, now);
            let reason = match standing {
                "usable" if !usable(worker, step, now) => "without its label",
                "usable" if !worker.free().can_fit(&step.reserved()) => "without room",
                "usable" => "with room",
                other => other,
            };
            *out.entry(reason).or_default() += 1;
        }
        let counts: Vec<String> = out.iter().map(|(reason, count)| format!("{count} {reason}")).collect();
        let reserve = if self.leaves_no_reserve(now, wall, candidate, step) {
            "; what is free is kept for urgent jobs"
        } else {
            ""
        };
        let claim = if self.claims.has(&job.sub.job, key) { "; room is being vacated for it" } else { "" };
        format!(
            "waits for {for_ms} ms, workers: {}; {latest} ms to its latest start{reserve}{claim}",
            counts.join(", ")
        )
    }
}

/// Counts of ended jobs.
#[derive(Default)]
struct Level {
    ended: u64,
    in_time: u64,
    failed: u64,
    refused: u64,
}

impl Level {
    fn note(&mut self, in_time: bool, failed: bool) {
        self.ended += 1;
        self.in_time += u64::from(in_time);
        self.failed += u64::from(failed);
    }

    /// Returns how many times faster than allowed the objective's budget is used up: 1 uses it up exactly.
    fn burn(&self) -> f64 {
        if self.ended == 0 {
            return 0.0;
        }
        let missed = (self.ended - self.in_time) as f64 / self.ended as f64;
        let burn = missed / (1.0 - OBJECTIVE_MILLI as f64 / 1_000.0);
        (burn * 100.0).round() / 100.0
    }
}

/// Refusals that are remembered, newest last.
pub(crate) type Refusals = VecDeque<RefusedJob>;

fn state(job: &Job) -> &'static str {
    let told = match job.outcome {
        Some(outcome) => JobState::Ended(outcome),
        None if job.started => JobState::Running,
        None => JobState::Queued,
    };
    match told {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Ended(Outcome::Completed) => "completed",
        JobState::Ended(Outcome::Failed) => "failed",
        JobState::Ended(Outcome::Cancelled) => "cancelled",
    }
}

fn standing(worker: &Worker, now: u64) -> &'static str {
    match worker {
        worker if worker.info.draining => "draining",
        worker if worker.last_report_at + MAX_REPORT_AGE_MS < now => "not heard",
        worker if worker.ejected_until > now => "out of use",
        _ => "usable",
    }
}

fn table(columns: &[&str], rows: impl Iterator<Item = Value>) -> Value {
    let mut rows: Vec<Value> = rows.take(MOST_ROWS + 1).collect();
    let more = rows.len() > MOST_ROWS;
    rows.truncate(MOST_ROWS);
    json!({"columns": columns, "rows": rows, "more": more})
}
