//! Views for operators: jobs, workers, accounts, refusals, service levels, and the explanation of a job's state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::account_counts::Counts;
use crate::admit::critical_path_ms;
use crate::job::{Job, JobState, Outcome};
use crate::pass::Pass;
use crate::place::{Candidate, peak_accelerators};
use crate::planner::{MAX_REPORT_AGE_MS, Planner};
use crate::unit::{Unit, UnitKey, UnitState};
use crate::worker::Worker;

/// Maximum rows of a reply, which keeps it far below the size limit of a message.
const MAX_ROWS: usize = 500;

const MAX_REFUSALS: usize = 500;

/// Maximum units in the explanation of a job.
const MAX_EXPLAINED_UNITS: usize = 20;

/// Interval of one point in the time series of service levels.
const POINT_INTERVAL_MS: u64 = 10_000;

/// Share of jobs that should end in time, in thousandths; the users require 90%.
pub const IN_TIME_OBJECTIVE_MILLI: u64 = 900;

/// View that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Jobs that have not ended, or whose runs still hold resources.
    Jobs,
    /// Known workers.
    Workers,
    /// Client accounts with their guarantees and their usage.
    Accounts,
    /// Refusals, newest first.
    Refused,
    /// Service levels of the jobs that ended recently, by account and queue.
    #[serde(rename = "Burn")]
    ServiceLevels,
    /// Explanation of a job's state.
    #[serde(rename = "Why")]
    Explain(String),
}

/// A submission that was refused.
#[derive(Clone, Debug)]
pub struct RefusedJob {
    job: String,
    queue: String,
    account: String,
    reason: String,
    retry_after_ms: u64,
    /// Milliseconds since 1970.
    refused_at_ms: u64,
}

impl Planner {
    /// Records a refusal for operators, and drops the oldest beyond `MAX_REFUSALS`.
    pub(crate) fn record_refusal(
        &mut self,
        wall: u64,
        sub: &crate::Submission,
        reason: &str,
        retry_after_ms: u64,
    ) {
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.pop_front();
        }
        self.refusals.push_back(RefusedJob {
            job: sub.job.clone(),
            queue: sub.queue.clone(),
            account: sub.account.clone(),
            reason: reason.to_owned(),
            retry_after_ms,
            refused_at_ms: wall,
        });
    }

    /// Returns a view as JSON: a table with `columns` and `rows`, or the fields of one job.
    pub fn view(&self, query: &Query, now: u64, wall: u64) -> Value {
        match query {
            Query::Jobs => self.view_jobs(wall),
            Query::Workers => self.view_workers(now),
            Query::Accounts => self.view_accounts(now, wall),
            Query::Refused => self.view_refused(wall),
            Query::ServiceLevels => self.view_service_levels(wall),
            Query::Explain(job) => self.explain_job(job, now, wall),
        }
    }

    fn view_jobs(&self, wall: u64) -> Value {
        let row = |job: &Job| {
            let units = |at: UnitState| job.units.values().filter(|unit| unit.state == at).count();
            json!({
                "job": job.sub.job,
                "queue": job.queue().map_or(&job.sub.queue, |queue| &queue.name),
                "account": job.sub.account,
                "state": state_name(job),
                "age_ms": wall.saturating_sub(job.accepted_ms),
                "target_ms": self.target_ms(job),
                "waiting": units(UnitState::Waiting),
                "placed": units(UnitState::Placed),
                "ending": units(UnitState::Ending),
                "done": units(UnitState::Done),
                "fails": job.units.values().map(|unit| unit.failures).sum::<u32>(),
                "crashes": job.units.values().map(|unit| unit.crashes.len()).sum::<usize>(),
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
            "crashes",
        ];
        table(&columns, jobs.map(row))
    }

    fn view_workers(&self, now: u64) -> Value {
        let row = |worker: &Worker| {
            let speed = self.forecasts.speed(&worker.info.incarnation);
            json!({
                "worker": worker.info.incarnation,
                "agent": worker.agent,
                "service": worker.info.service,
                "rack": worker.rack(),
                "standing": self.availability(worker, now),
                "accelerators": format!("{}/{}", worker.used.accelerators, worker.info.capacity.accelerators),
                "cores": format!("{}/{}", worker.used.millicores / 1_000, worker.info.capacity.millicores / 1_000),
                "runs": worker.placed.len(),
                "speed": speed.milli,
                "speed_steps": speed.steps,
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
            "speed",
            "speed_steps",
            "heard_ms_ago",
        ];
        table(&columns, self.workers.values().map(row))
    }

    fn availability(&self, worker: &Worker, now: u64) -> &'static str {
        match worker {
            worker if worker.info.draining => "draining",
            worker if self.evacuated.contains(&worker.info.domain) => "evacuated",
            worker if worker.last_report_at + MAX_REPORT_AGE_MS < now => "not heard",
            worker if worker.ejected_until > now => "out of use",
            _ => "usable",
        }
    }

    fn view_accounts(&self, now: u64, wall: u64) -> Value {
        let live = || self.live.iter().filter_map(|job| self.jobs.get(job));
        let mut names: BTreeSet<&str> = self.desired.accounts.keys().map(String::as_str).collect();
        names.extend(self.account_counts.accounts());
        names.extend(live().map(|job| job.sub.account.as_str()));
        let row = |name: &str| {
            let jobs = live().filter(|job| job.sub.account == name);
            let (mut urgent, mut used, mut waiting, mut running, mut longest_wait_ms) = (0, 0, 0, 0, None);
            for job in jobs.filter(|job| job.outcome.is_none()) {
                let is_urgent = job.queue().is_some_and(|queue| queue.priority == 0);
                urgent += if is_urgent { peak_accelerators(&job.sub) } else { 0 };
                if job.started {
                    running += 1;
                } else {
                    waiting += 1;
                    longest_wait_ms = longest_wait_ms.max(Some(wall.saturating_sub(job.accepted_ms)));
                }
                for (key, unit) in &job.units {
                    let per_member =
                        job.sub.steps.get(key.step as usize).map_or(0, |step| step.resources.accelerators);
                    used += per_member * unit.members.iter().filter(|member| !member.released).count() as i64;
                }
            }
            let guaranteed =
                self.desired.accounts.get(name).map_or(0, |account| account.guaranteed_accelerators);
            let Counts { stopped, refused, late } = self.account_counts.get(name);
            json!({
                "account": name,
                "guaranteed": guaranteed,
                "urgent": urgent,
                "accelerators": used,
                "waiting": waiting,
                "longest_wait_ms": longest_wait_ms,
                "running": running,
                "stopped": stopped.count,
                "stopped_ms_ago": stopped.ms_ago(now),
                "refused": refused.count,
                "refused_ms_ago": refused.ms_ago(now),
                "late": late.count,
                "late_ms_ago": late.ms_ago(now),
            })
        };
        let columns = [
            "account",
            "guaranteed",
            "urgent",
            "accelerators",
            "waiting",
            "longest_wait_ms",
            "running",
            "stopped",
            "stopped_ms_ago",
            "refused",
            "refused_ms_ago",
            "late",
            "late_ms_ago",
        ];
        table(&columns, names.into_iter().map(row))
    }

    fn view_refused(&self, wall: u64) -> Value {
        let row = |refused: &RefusedJob| {
            json!({
                "ms_ago": wall.saturating_sub(refused.refused_at_ms),
                "job": refused.job,
                "queue": refused.queue,
                "account": refused.account,
                "retry_after_ms": refused.retry_after_ms,
                "why": refused.reason,
            })
        };
        let columns = ["ms_ago", "job", "queue", "account", "retry_after_ms", "why"];
        table(&columns, self.refusals.iter().rev().map(row))
    }

    fn view_service_levels(&self, wall: u64) -> Value {
        let mut levels: BTreeMap<(&str, &str), ServiceLevel> = BTreeMap::new();
        let mut points: BTreeMap<u64, ServiceLevel> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(in_time) = self.ended_in_time(job) else { continue };
            let failed = job.outcome == Some(Outcome::Failed);
            for level in [
                levels.entry((&job.sub.account, &job.sub.queue)).or_default(),
                points.entry(job.ended_ms / POINT_INTERVAL_MS * POINT_INTERVAL_MS).or_default(),
            ] {
                level.record(in_time, failed);
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
                "burn": level.burn_rate(),
            })
        });
        let columns = ["account", "queue", "ended", "in_time", "late", "failed", "refused", "burn"];
        let mut body = table(&columns, rows);
        let point = |(at, level): (&u64, &ServiceLevel)| json!({"ms_ago": wall.saturating_sub(*at), "ended": level.ended, "burn": level.burn_rate()});
        body["points"] = points.iter().map(point).collect();
        body["objective"] = json!(IN_TIME_OBJECTIVE_MILLI as f64 / 1_000.0);
        body
    }

    /// Returns whether an ended job completed within the target by its measured work; `None` for a job that has not ended
    /// or was cancelled, and for scheduled and long-running jobs, which the objective does not cover.
    pub(crate) fn ended_in_time(&self, job: &Job) -> Option<bool> {
        self.ended_within(job, self.measured_target_ms(job))
    }

    /// Returns whether an ended job completed within the target by its declared estimates; otherwise like
    /// [`Self::ended_in_time`].
    pub(crate) fn ended_in_declared_time(&self, job: &Job) -> Option<bool> {
        self.ended_within(job, self.target_ms(job))
    }

    fn ended_within(&self, job: &Job, target_ms: Option<u64>) -> Option<bool> {
        let outcome = job.outcome.filter(|outcome| *outcome != Outcome::Cancelled)?;
        if job.sub.schedule.is_some() || job.is_long_running() {
            return None;
        }
        let duration_ms = job.ended_ms.saturating_sub(job.accepted_ms);
        Some(outcome == Outcome::Completed && target_ms.is_none_or(|target_ms| duration_ms <= target_ms))
    }

    /// Returns whether a job completed late by its measured work, or has not ended and is already late.
    pub(crate) fn is_late(&self, job: &Job, wall: u64) -> bool {
        match job.outcome {
            Some(Outcome::Completed) => self.ended_in_time(job) == Some(false),
            Some(Outcome::Failed | Outcome::Cancelled) => false,
            None if job.sub.schedule.is_some() || job.is_long_running() => false,
            None => {
                let age_ms = wall.saturating_sub(job.accepted_ms);
                self.measured_target_ms(job).is_some_and(|target_ms| age_ms > target_ms)
            }
        }
    }

    /// Returns the target of a job by the measured work of its steps, since declared estimates may be far off and a slow
    /// worker takes longer than the work; a step without measured work counts with its declared estimate.
    pub(crate) fn measured_target_ms(&self, job: &Job) -> Option<u64> {
        let queue = job.queue()?;
        let mut sub = job.sub.clone();
        for (number, step) in (0..).zip(&mut sub.steps) {
            let measured = job.units_of(0, number).map(|(_, unit)| unit.measured_work_ms).max();
            step.estimate_ms = measured.filter(|ms| *ms > 0).unwrap_or(step.estimate_ms);
        }
        Some(critical_path_ms(&sub) * queue.stretch_milli / 1_000 + queue.full_value_ms)
    }

    /// Returns the target of a job by the declared estimates of its steps.
    pub(crate) fn target_ms(&self, job: &Job) -> Option<u64> {
        let queue = job.queue()?;
        Some(critical_path_ms(&job.sub) * queue.stretch_milli / 1_000 + queue.full_value_ms)
    }

    fn explain_job(&self, name: &str, now: u64, wall: u64) -> Value {
        let refused = |refused: &&RefusedJob| refused.job == name;
        let Some(job) = self.jobs.get(name) else {
            return match self.refusals.iter().rev().find(refused) {
                Some(refused) => json!({
                    "job": name,
                    "state": "refused",
                    "ms_ago": wall.saturating_sub(refused.refused_at_ms),
                    "why": refused.reason,
                    "retry_after_ms": refused.retry_after_ms,
                }),
                None => {
                    json!({"job": name, "state": "unknown", "why": "no such job, and no recent refusal of it"})
                }
            };
        };
        let waiting_units = self.candidates(now, wall);
        let not_done = job.units.iter().filter(|(_, unit)| unit.state != UnitState::Done);
        let units = not_done.take(MAX_EXPLAINED_UNITS).map(|(key, unit)| {
            let ahead = waiting_units.iter().position(|c| c.job == name && c.key == *key);
            let candidate = ahead.and_then(|at| waiting_units.get(at));
            json!({
                "subtask": key.task(name, 0).to_string(),
                "run": unit.run,
                "fails": unit.failures,
                "crashes": unit.crashes.len(),
                "ahead": ahead,
                "why": self.explain_unit(now, wall, job, (*key, unit), candidate),
            })
        });
        let columns = ["subtask", "run", "fails", "crashes", "ahead", "why"];
        let mut body = table(&columns, units);
        body["job"] = json!(name);
        body["queue"] = json!(job.queue().map_or(&job.sub.queue, |queue| &queue.name));
        body["submitted_to"] = json!(job.sub.queue);
        body["queue_standing"] = json!(job.queue_standing().to_string());
        body["state"] = json!(state_name(job));
        body["age_ms"] = json!(wall.saturating_sub(job.accepted_ms));
        body["target_ms"] = json!(self.target_ms(job));
        body["measured_target_ms"] = json!(self.measured_target_ms(job));
        body["late"] = json!(self.is_late(job, wall));
        body
    }

    /// Returns an explanation of a unit's state, as text for operators.
    pub(crate) fn explain_unit(
        &self,
        now: u64,
        wall: u64,
        job: &Job,
        (key, unit): (UnitKey, &Unit),
        candidate: Option<&Candidate>,
    ) -> String {
        let workers = || {
            let current = unit.members.iter().filter(|member| !member.released);
            current.map(|member| member.worker.as_str()).collect::<Vec<_>>().join(",")
        };
        let age_ms = now.saturating_sub(unit.since);
        match unit.state {
            UnitState::Done => return "done".to_owned(),
            UnitState::Placed => return format!("placed {age_ms} ms ago on {}", workers()),
            UnitState::Ending => return format!("stopping for {age_ms} ms on {}", workers()),
            UnitState::Waiting => (),
        }
        if unit.is_given_up() {
            return format!("given up: {} workers have crashed under it", unit.crashes.len());
        }
        if job.outcome.is_some() {
            return "the job has ended".to_owned();
        }
        if let Some(due) = job.due_ms(key.occurrence).filter(|due| *due > wall) {
            return format!("due in {} ms", due - wall);
        }
        let Some(queue) = job.queue() else {
            return "its queue is not in the desired state, and its terms are not known".to_owned();
        };
        let (Some(step), Some(candidate)) = (job.sub.steps.get(key.step as usize), candidate) else {
            return "a step that it depends on is not done".to_owned();
        };
        let until_latest_start_ms = candidate.latest_start.saturating_sub(wall);
        let mut workers_by_category: BTreeMap<&str, usize> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.info.service == queue.service) {
            let availability = self.availability(worker, now);
            let category = match availability {
                "usable" if step.label.as_deref().is_some_and(|label| !worker.has_label(label)) => {
                    "without its label"
                }
                "usable" if !worker.free().can_fit(&step.reserved()) => "without room",
                "usable" => "with room",
                other => other,
            };
            *workers_by_category.entry(category).or_default() += 1;
        }
        if workers_by_category.is_empty() {
            return format!("waiting for {age_ms} ms, no worker of the service {} is known", queue.service);
        }
        let counts: Vec<String> =
            workers_by_category.iter().map(|(category, count)| format!("{count} {category}")).collect();
        let reserve = if self.would_use_reserve(&Pass::new(self, now, wall), candidate, step) {
            "; the free accelerators are reserved for urgent jobs"
        } else {
            ""
        };
        let isolation = if unit.must_run_alone() {
            "; it runs apart from other jobs since workers have crashed under it"
        } else {
            ""
        };
        let claim =
            if self.claims.contains(&job.sub.job, key) { "; resources are being freed for it" } else { "" };
        format!(
            "waiting for {age_ms} ms, workers: {}; {until_latest_start_ms} ms until its latest start{reserve}{isolation}{claim}",
            counts.join(", ")
        )
    }
}

/// Counts of ended and refused jobs.
#[derive(Default)]
struct ServiceLevel {
    ended: u64,
    in_time: u64,
    failed: u64,
    refused: u64,
}

impl ServiceLevel {
    fn record(&mut self, in_time: bool, failed: bool) {
        self.ended += 1;
        self.in_time += u64::from(in_time);
        self.failed += u64::from(failed);
    }

    /// Returns the burn rate of the objective's error budget: at 1 the budget is just used up.
    fn burn_rate(&self) -> f64 {
        if self.ended == 0 {
            return 0.0;
        }
        let missed = (self.ended - self.in_time) as f64 / self.ended as f64;
        let burn_rate = missed / (1.0 - IN_TIME_OBJECTIVE_MILLI as f64 / 1_000.0);
        (burn_rate * 100.0).round() / 100.0
    }
}

/// Recorded refusals, newest last.
pub(crate) type Refusals = VecDeque<RefusedJob>;

fn state_name(job: &Job) -> &'static str {
    let job_state = match job.outcome {
        Some(outcome) => JobState::Ended(outcome),
        None if job.started => JobState::Running,
        None => JobState::Queued,
    };
    match job_state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Ended(Outcome::Completed) => "completed",
        JobState::Ended(Outcome::Failed) => "failed",
        JobState::Ended(Outcome::Cancelled) => "cancelled",
    }
}

pub(crate) fn table(columns: &[&str], rows: impl Iterator<Item = Value>) -> Value {
    let mut rows: Vec<Value> = rows.take(MAX_ROWS + 1).collect();
    let has_more = rows.len() > MAX_ROWS;
    rows.truncate(MAX_ROWS);
    json!({"columns": columns, "rows": rows, "more": has_more})
}
