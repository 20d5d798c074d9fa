//! Subtasks that crash their workers.
//!
//! Every run on a crashed worker may have brought it down, and a worker may crash for reasons of its own. So a crash
//! counts for all of these runs. A unit under which several workers have crashed runs apart from other jobs, until it has
//! outlived its earlier runs or another unit is found to be the cause. It is given up if workers go on crashing on which
//! nothing else ran, unless others are lost with them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::job::{Job, Outcome};
use crate::pass::Pass;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::{Need, PoolWorker, Room};
use crate::resources::Resources;
use crate::task::Task;
use crate::unit::{Unit, UnitKey, UnitState};

/// Crashes from which a unit runs apart from other jobs.
const CRASHES_TO_ISOLATE: usize = 2;

/// Crashes while it ran apart from others from which a unit is given up: a single one may be a coincidence.
const LONE_CRASHES_TO_GIVE_UP: usize = 2;

/// Crashes from which a unit is given up in any case: the users allow two more starts after three crashes.
const MAX_CRASHES: usize = 5;

/// Crashes without a common cause from which a unit is given up once [`MAX_CRASHES`] of its runs are lost for any cause.
/// Under two crashes the users allow that.
const OWN_CRASHES_TO_GIVE_UP: usize = 2;

/// Time within which workers with a common cause of their loss stop answering, such as their rack's power, in
/// milliseconds.
const LOST_TOGETHER_MS: u64 = 250;

/// The same for the times at which their losses are known: they restart at different times.
const KNOWN_TOGETHER_MS: u64 = 1_000;

/// Time for which another loss may turn out to have the same cause, in milliseconds.
const ATTRIBUTION_MS: u64 = 5_000;

/// Crashes that are compared with each other.
const MAX_RECENT_CRASHES: usize = 16;

/// Age of a run from which it isn't suspected, in milliseconds: one that runs for long on every worker costs little.
const MAX_SUSPECT_AGE_MS: u64 = 600_000;

/// Difference between the ages of two runs that crash at the same point, in milliseconds: the loss of a worker is known
/// once its next incarnation reports.
const MAX_RESTART_DIFFERENCE_MS: u64 = 5_000;

/// A run that ended with the crash of a worker and may have caused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    pub run: u64,
    /// Incarnations that crashed; members of a gang may crash one each.
    pub workers: Vec<String>,
    /// Time from the placement until the loss was known, in milliseconds.
    pub ran_ms: u64,
    /// Whether the unit ran apart from other jobs, and none was on these workers.
    pub alone: bool,
    /// Whether they were lost together with others on which it had no part.
    #[serde(rename = "common")]
    pub is_common: bool,
}

impl Crash {
    /// Returns whether a run of this age would have crashed its worker before, had it caused this crash.
    fn is_outlived_by(&self, ran_ms: u64) -> bool {
        ran_ms > self.ran_ms * 3 / 2 + MAX_RESTART_DIFFERENCE_MS
    }
}

/// Recent crashes, and the units that may have caused some.
#[derive(Clone, Debug, Default)]
pub(crate) struct Crashes {
    /// Workers that crashed within [`ATTRIBUTION_MS`].
    recent: Vec<CrashedWorker>,
    /// Units with crashes.
    suspects: BTreeSet<(String, UnitKey)>,
}

/// A worker that crashed.
#[derive(Clone, Debug)]
struct CrashedWorker {
    /// When its loss was known, on the monotonic clock.
    known_at: u64,
    /// When it stopped answering, if its agent noticed.
    lost_at: Option<u64>,
    incarnation: String,
    runs: Vec<LostRun>,
    /// Whether all runs on it were of one job.
    one_job: bool,
}

impl CrashedWorker {
    /// Returns whether it ran a unit apart from other jobs.
    fn is_isolated(&self) -> bool {
        self.one_job && self.runs.iter().any(|lost| lost.must_run_alone)
    }

    fn was_lost_with(&self, other: &Self) -> bool {
        match (self.lost_at, other.lost_at) {
            (Some(one), Some(other)) => one.abs_diff(other) <= LOST_TOGETHER_MS,
            _ => self.known_at.abs_diff(other.known_at) <= KNOWN_TOGETHER_MS,
        }
    }

    fn has_job(&self, name: &str) -> bool {
        self.runs.iter().any(|lost| lost.job == name)
    }
}

/// A run that was on a crashed worker.
#[derive(Clone, Debug)]
struct LostRun {
    job: String,
    key: UnitKey,
    run: u64,
    ran_ms: u64,
    /// Whether its unit had to run apart from other jobs.
    must_run_alone: bool,
    /// Workers with runs of its job, or with those that had to run apart if it had to.
    workers: usize,
}

impl Crashes {
    pub fn new(jobs: &[Job]) -> Self {
        let running = jobs.iter().filter(|job| job.outcome.is_none());
        let suspects = running.flat_map(|job| {
            let suspects = job.units.iter().filter(|(_, unit)| !unit.crashes.is_empty());
            suspects.map(|(key, _)| (job.sub.job.clone(), *key))
        });
        Self { recent: Vec::new(), suspects: suspects.collect() }
    }
}

impl Unit {
    /// Returns whether it may only run apart from other jobs.
    pub fn must_run_alone(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_ISOLATE
    }

    /// Returns whether so many workers have crashed under it that it isn't started again.
    pub fn is_given_up(&self) -> bool {
        let own = self.crashes.iter().filter(|crash| !crash.is_common);
        let lone = own.clone().filter(|crash| crash.alone).count();
        let own = own.count();
        // A crash beside others, or under a worker that was leaving, may have been its own as well.
        let lost_runs = self.crashes.len() + self.uncounted_losses as usize;
        lone >= LONE_CRASHES_TO_GIVE_UP
            || own >= MAX_CRASHES
            || (own >= OWN_CRASHES_TO_GIVE_UP && lost_runs >= MAX_CRASHES)
    }

    /// Returns whether a run of this age has outlived all those that ended with a crash.
    fn has_outlived_crashes(&self, ran_ms: u64) -> bool {
        self.crashes.iter().all(|crash| crash.is_outlived_by(ran_ms))
    }

    fn clear_crashes(&mut self) {
        self.crashes.clear();
        self.uncounted_losses = 0;
    }

    /// Records the crash of a worker for a run; returns whether that changes anything.
    fn record_crash(&mut self, worker: &CrashedWorker, lost: &LostRun, is_common: bool) -> bool {
        if lost.ran_ms > MAX_SUSPECT_AGE_MS {
            self.clear_crashes();
            return false;
        }
        self.crashes.retain(|crash| crash.run == lost.run || !crash.is_outlived_by(lost.ran_ms));
        let alone = worker.one_job && lost.must_run_alone;
        let Some(crash) = self.crashes.iter_mut().find(|crash| crash.run == lost.run) else {
            self.crashes.push(Crash {
                run: lost.run,
                workers: vec![worker.incarnation.clone()],
                ran_ms: lost.ran_ms,
                alone,
                is_common,
            });
            return true;
        };
        let is_known = crash.workers.contains(&worker.incarnation);
        if is_known && crash.is_common == is_common {
            return false;
        }
        if !is_known {
            crash.workers.push(worker.incarnation.clone());
            crash.ran_ms = crash.ran_ms.max(lost.ran_ms);
            crash.alone &= alone;
        }
        crash.is_common = is_common;
        true
    }
}

impl Planner {
    /// Records that a worker has crashed with the given runs of units on it, `silent_ms` after it stopped answering.
    pub(crate) fn record_crash(
        &mut self,
        now: u64,
        incarnation: &str,
        silent_ms: Option<u64>,
        lost: &[(Task, u64)],
    ) {
        let lost_at = silent_ms.map(|silent_ms| now.saturating_sub(silent_ms));
        let (lost, late): (Vec<_>, Vec<_>) =
            lost.iter().partition(|(task, _)| !self.was_placed_on_lost_worker(task, incarnation, lost_at));
        if !late.is_empty() {
            let count = late.len();
            self.log_line(format!("event=runs_not_suspected worker={incarnation} runs={count}"));
        }
        let runs: Vec<LostRun> =
            lost.iter().filter_map(|(task, run)| self.lost_run(now, task, *run)).collect();
        let listed = self.workers.get(incarnation).into_iter().flat_map(|worker| worker.running.keys());
        let jobs: BTreeSet<&str> =
            lost.into_iter().chain(listed).map(|(task, _)| task.job.as_str()).collect();
        let one_job = jobs.len() == 1;
        let incarnation = incarnation.to_owned();
        let crashed = CrashedWorker { known_at: now, lost_at, incarnation, runs, one_job };
        let recent = &mut self.crashes.recent;
        recent.retain(|crashed| crashed.known_at + ATTRIBUTION_MS >= now);
        recent.drain(..recent.len().saturating_sub(MAX_RECENT_CRASHES - 1));
        recent.push(crashed);
        self.attribute_crashes(now);
    }

    /// Records runs of suspects that were lost with their worker for a cause that doesn't count as a crash.
    pub(crate) fn record_uncounted_losses(&mut self, now: u64, lost: &[(Task, u64)]) {
        // Members of a gang are lost together.
        let units: BTreeSet<(String, UnitKey)> = lost
            .iter()
            .filter_map(|(task, _)| Some((task.job.clone(), self.unit_of(task)?.0)))
            .filter(|suspect| self.crashes.suspects.contains(suspect))
            .collect();
        for (name, key) in units {
            let unit = self.jobs.get_mut(&name).and_then(|job| job.units.get_mut(&key));
            let Some(unit) = unit.filter(|unit| !unit.crashes.is_empty()) else { continue };
            unit.uncounted_losses += 1;
            unit.crashed_at = now;
            let (crashes, losses) = (unit.crashes.len(), unit.uncounted_losses);
            self.log_line(format!(
                "event=loss_of_suspect job={name} task={} crashes={crashes} uncounted_losses={losses}",
                key.task(&name, 0)
            ));
            self.mark_changed(&name);
        }
    }

    /// Returns whether a subtask was placed on a worker that had stopped answering by then, so that it can't have caused the
    /// loss. What was reported as running there is no such subtask.
    fn was_placed_on_lost_worker(&self, task: &Task, incarnation: &str, lost_at: Option<u64>) -> bool {
        let unit = self.unit_of(task).and_then(|(key, _)| self.jobs.get(&task.job)?.units.get(&key));
        let (Some(unit), Some(lost_at)) = (unit, lost_at) else { return false };
        let was_seen = unit.members.iter().any(|member| member.worker == incarnation && member.seen);
        !was_seen && unit.placed_at.is_some_and(|placed_at| placed_at > lost_at)
    }

    fn lost_run(&self, now: u64, task: &Task, run: u64) -> Option<LostRun> {
        let (key, _) = self.unit_of(task)?;
        let job = self.jobs.get(&task.job)?;
        let unit = job.units.get(&key)?;
        let must_run_alone = unit.must_run_alone();
        let units = job.units.values().filter(|unit| !must_run_alone || unit.must_run_alone());
        let members = units.flat_map(|unit| &unit.members).filter(|member| !member.released);
        let workers = members.map(|member| &member.worker).collect::<BTreeSet<_>>().len();
        let ran_ms = now.saturating_sub(unit.placed_at.unwrap_or(self.created_at));
        Some(LostRun { job: task.job.clone(), key, run, ran_ms, must_run_alone, workers })
    }

    /// Records the recent crashes for the units that had runs there. Where several workers were lost together, a job may
    /// have caused that only if it ran on all of them but one, or all but one ran suspects apart from others, and if none
    /// of its own workers is left.
    fn attribute_crashes(&mut self, now: u64) {
        let recent = std::mem::take(&mut self.crashes.recent);
        for crashed in &recent {
            let together: Vec<_> = recent.iter().filter(|other| other.was_lost_with(crashed)).collect();
            let isolated = together.iter().filter(|other| other.is_isolated()).count();
            for lost in &crashed.runs {
                let lost_of_job = together.iter().filter(|other| other.has_job(&lost.job)).count();
                let explained = if crashed.is_isolated() { isolated.max(lost_of_job) } else { lost_of_job };
                let others = together.iter().flat_map(|other| &other.runs);
                let of_job = others
                    .filter(|other| (&other.job, other.must_run_alone) == (&lost.job, lost.must_run_alone));
                // Its workers that were lost first are missing in what was counted later.
                let workers = of_job.map(|other| other.workers).max().unwrap_or(0);
                let is_common =
                    together.len() > 1 && (explained + 1 < together.len() || lost_of_job < workers);
                self.attribute_crash(now, crashed, lost, is_common, together.len());
            }
        }
        self.crashes.recent = recent;
    }

    fn attribute_crash(
        &mut self,
        now: u64,
        crashed: &CrashedWorker,
        lost: &LostRun,
        is_common: bool,
        lost_together: usize,
    ) {
        let Some(job) = self.jobs.get_mut(&lost.job).filter(|job| job.outcome.is_none()) else { return };
        let Some(unit) = job.units.get_mut(&lost.key) else { return };
        if !unit.record_crash(crashed, lost, is_common) {
            return;
        }
        unit.crashed_at = now;
        let (crashes, task) = (unit.crashes.len(), lost.key.task(&lost.job, 0));
        self.log_line(format!(
            "event=crash_recorded job={} task={task} run={} worker={} ran_ms={} alone={} common={is_common} \
             crashes={crashes} lost_together={lost_together}",
            lost.job,
            lost.run,
            crashed.incarnation,
            lost.ran_ms,
            crashed.one_job && lost.must_run_alone
        ));
        self.crashes.suspects.insert((lost.job.clone(), lost.key));
        self.mark_changed(&lost.job);
    }

    /// Gives up the units that crash their workers, and clears those that have outlived their crashes.
    pub(crate) fn judge_suspects(&mut self, now: u64, wall: u64) {
        let suspects = std::mem::take(&mut self.crashes.suspects);
        for (name, key) in suspects {
            let Some(job) = self.jobs.get(&name).filter(|job| job.outcome.is_none()) else { continue };
            let Some(unit) = job.units.get(&key) else { continue };
            if unit.state == UnitState::Done || unit.crashes.is_empty() {
                continue;
            }
            // Another worker may turn out to have been lost together with the last one.
            if unit.is_given_up() && now > unit.crashed_at + KNOWN_TOGETHER_MS {
                self.give_up(now, wall, &name, key);
                continue;
            }
            if !self.clear_outlived_crashes(now, &name, key) {
                self.crashes.suspects.insert((name, key));
            }
        }
    }

    /// Ends the job of a unit that crashes its workers. Nothing else that ran there is suspected of these crashes.
    fn give_up(&mut self, now: u64, wall: u64, name: &str, key: UnitKey) {
        let Some(unit) = self.jobs.get(name).and_then(|job| job.units.get(&key)) else { return };
        let workers: BTreeSet<String> = unit.crashes.iter().flat_map(|crash| crash.workers.clone()).collect();
        let crashes = unit.crashes.len();
        let crashed = workers.iter().cloned().collect::<Vec<_>>().join(",");
        self.log_line(format!(
            "event=job_given_up job={name} task={} crashes={crashes} workers={crashed}",
            key.task(name, 0)
        ));
        self.end_job(now, wall, name, Outcome::Failed);
        let others: Vec<(String, UnitKey)> =
            self.live.iter().filter_map(|name| self.jobs.get(name)).flat_map(units_with_crashes).collect();
        for (other, key) in others.into_iter().filter(|(other, _)| other != name) {
            let unit = self.jobs.get_mut(&other).and_then(|job| job.units.get_mut(&key));
            let Some(unit) = unit else { continue };
            let before = unit.crashes.len();
            unit.crashes.retain(|crash| crash.workers.iter().all(|worker| !workers.contains(worker)));
            let crashes = unit.crashes.len();
            if crashes < before {
                let task = key.task(&other, 0);
                self.log_line(format!(
                    "event=crash_explained job={other} task={task} crashes={crashes} by={name}"
                ));
                self.mark_changed(&other);
            }
        }
    }

    /// Clears the crashes of a unit whose run has outlived them; returns whether it has.
    fn clear_outlived_crashes(&mut self, now: u64, name: &str, key: UnitKey) -> bool {
        let created_at = self.created_at;
        let unit = self.jobs.get_mut(name).and_then(|job| job.units.get_mut(&key));
        let Some(unit) = unit.filter(|unit| unit.state == UnitState::Placed) else { return false };
        let ran_ms = now.saturating_sub(unit.placed_at.unwrap_or(created_at));
        let is_running = unit.members.iter().all(|member| member.seen && !member.released);
        if !is_running || !unit.has_outlived_crashes(ran_ms) {
            return false;
        }
        unit.clear_crashes();
        let task = key.task(name, 0);
        self.log_line(format!("event=crashes_cleared job={name} task={task} ran_ms={ran_ms}"));
        self.mark_changed(name);
        true
    }

    /// Returns the workers with a unit that runs apart from other jobs, and its job.
    pub(crate) fn isolated_workers(&self) -> BTreeMap<&str, &str> {
        let mut isolated = BTreeMap::new();
        for (name, key) in &self.crashes.suspects {
            let unit = self.jobs.get(name).and_then(|job| job.units.get(key));
            for member in unit.filter(|unit| unit.must_run_alone()).into_iter().flat_map(|unit| &unit.members)
            {
                if !member.released {
                    isolated.insert(member.worker.as_str(), name.as_str());
                }
            }
        }
        isolated
    }

    /// Claims the workers that are empty soonest for a unit that has to run apart from other jobs.
    pub(crate) fn claim_empty_workers(&mut self, pass: &mut Pass, candidate: &Candidate) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let Some(step) = job.sub.steps.get(candidate.key.step as usize) else { return };
        let Some(queue) = self.queue_of(&candidate.job) else { return };
        let admits = |worker: &PoolWorker| {
            worker.service == queue.service
                && worker.accepts(step)
                && worker.admits(&candidate.job)
                && !worker.is_claimed()
        };
        let workers = pass.pool.workers.iter().enumerate().filter(|(_, worker)| admits(worker));
        let mut rooms: Vec<(u64, Room)> = workers
            .map(|(at, worker)| {
                (self.busy_ms(pass.now, worker), Room { worker: at, free: worker.capacity, rank: 0 })
            })
            .collect();
        rooms.sort_by_key(|(busy_ms, room)| (*busy_ms, room.worker));
        let need = Need::new(step, if step.gang { step.count } else { 1 });
        let rooms: Vec<Room> = rooms.into_iter().map(|(_, room)| room).collect();
        let Some(enough) = (1..=rooms.len()).find(|count| need.fits(&rooms[..*count])) else { return };
        let chosen: Vec<usize> = rooms[..enough].iter().map(|room| room.worker).collect();
        let whole = chosen
            .iter()
            .fold(Resources::default(), |whole, at| whole.max_each(&pass.pool.workers[*at].capacity));
        let workers = pass.pool.incarnations(&chosen);
        self.claims.insert(&mut pass.pool, candidate, candidate.key, workers, whole, pass.now);
    }

    /// Returns the estimated time until nothing runs on a worker, in milliseconds.
    fn busy_ms(&self, now: u64, worker: &PoolWorker) -> u64 {
        let placed = self.workers.get(&worker.incarnation).into_iter().flat_map(|worker| &worker.placed);
        let remaining_ms = placed.filter_map(|(task, _)| {
            let (key, _) = self.unit_of(task)?;
            let job = self.jobs.get(&task.job)?;
            let step = job.sub.steps.get(key.step as usize)?;
            let ran_ms = now.saturating_sub(job.units.get(&key)?.placed_at.unwrap_or(self.created_at));
            Some(if step.long_running { u64::MAX } else { step.estimate_ms.saturating_sub(ran_ms) })
        });
        remaining_ms.max().unwrap_or(0)
    }
}

fn units_with_crashes(job: &Job) -> impl Iterator<Item = (String, UnitKey)> {
    let suspects = job.units.iter().filter(|(_, unit)| !unit.crashes.is_empty());
    suspects.map(|(key, _)| (job.sub.job.clone(), *key))
}
