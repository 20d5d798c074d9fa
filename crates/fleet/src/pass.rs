//! What one placement pass reads once and what it has found out so far.
//!
//! During a pass free resources only decrease and stopped runs keep theirs, so what doesn't fit for one subtask of a
//! step doesn't fit for the others either.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use crate::approvals::StepKey;
use crate::outlook::Releases;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::Pool;
use crate::victims::Victim;

/// State of one placement pass.
#[derive(Debug)]
pub struct Pass {
    /// Time of the pass on the monotonic clock.
    pub now: u64,
    /// Time of the pass since 1970.
    pub wall: u64,
    pub pool: Pool,
    /// Placed units that may be preempted; `None` until the first search.
    pub victims: Option<Vec<Victim>>,
    /// Accelerators held by the jobs of each priority, by service; filled on demand.
    held_accelerators: BTreeMap<String, String>,
    /// Expected ends of what runs; filled on demand.
    releases: OnceCell<Releases>,
    /// Steps of which a long wait was logged in this pass.
    pub logged_waits: BTreeSet<StepKey>,
    /// Steps whose subtasks fit on no worker, by whether these have waited for long.
    unplaceable: BTreeSet<(StepKey, bool)>,
    /// Steps for whose waiting subtasks no preemption pays.
    unpreemptable: BTreeSet<StepKey>,
}

impl Pass {
    pub fn new(planner: &Planner, now: u64, wall: u64) -> Self {
        let isolated = planner.isolated_workers();
        let speeds = |incarnation: &str| planner.forecasts.speed(incarnation).milli;
        let mut pool = Pool::new(&planner.workers, &planner.evacuated, &isolated, speeds, now);
        planner.claims.add_to(&mut pool);
        Self {
            now,
            wall,
            pool,
            victims: None,
            held_accelerators: BTreeMap::new(),
            releases: OnceCell::new(),
            logged_waits: BTreeSet::new(),
            unplaceable: BTreeSet::new(),
            unpreemptable: BTreeSet::new(),
        }
    }

    /// Returns the expected ends of what ran when they were first asked for.
    pub fn releases(&self, planner: &Planner) -> &Releases {
        self.releases.get_or_init(|| Releases::new(planner, &self.pool, self.now))
    }

    /// Records that a subtask of a step fits nowhere; those that have waited for long may take more than others.
    pub fn mark_step_unplaceable(&mut self, candidate: &Candidate, has_waited: bool) {
        self.unplaceable.insert((step_key(candidate), has_waited));
    }

    pub fn is_step_unplaceable(&self, candidate: &Candidate, has_waited: bool) -> bool {
        !self.unplaceable.is_empty() && self.unplaceable.contains(&(step_key(candidate), has_waited))
    }

    pub fn mark_step_unpreemptable(&mut self, candidate: &Candidate) {
        self.unpreemptable.insert(step_key(candidate));
    }

    pub fn is_step_unpreemptable(&self, candidate: &Candidate) -> bool {
        !self.unpreemptable.is_empty() && self.unpreemptable.contains(&step_key(candidate))
    }

    /// Returns the free accelerators of a service, and those held at the pass's first wait by priority, for the logs.
    pub fn accelerators(&mut self, planner: &Planner, service: &str) -> (i64, &str) {
        let workers = self.pool.workers.iter().filter(|worker| worker.service == service);
        let free = workers.map(|worker| worker.free.accelerators.max(0)).sum();
        if !self.held_accelerators.contains_key(service) {
            self.held_accelerators.insert(service.to_owned(), held_accelerators(planner, service));
        }
        (free, &self.held_accelerators[service])
    }
}

pub(crate) fn step_key(candidate: &Candidate) -> StepKey {
    (candidate.job.clone(), candidate.key.occurrence, candidate.key.step)
}

/// Returns the accelerators that the jobs of each priority hold on a service's workers, such as `p0:16,p1:40`.
fn held_accelerators(planner: &Planner, service: &str) -> String {
    let mut held: BTreeMap<u32, i64> = BTreeMap::new();
    for job in planner.live.iter().filter_map(|name| planner.jobs.get(name)) {
        let queue = job.queue().filter(|queue| queue.service == service);
        let Some(queue) = queue else { continue };
        for (key, unit) in &job.units {
            let members = unit.members.iter().filter(|member| !member.released).count() as i64;
            let step = job.sub.steps.get(key.step as usize);
            let held = held.entry(queue.priority).or_default();
            *held += step.map_or(0, |step| step.resources.accelerators) * members;
        }
    }
    let held = held.iter().filter(|(_, held)| **held > 0);
    held.map(|(priority, held)| format!("p{priority}:{held}")).collect::<Vec<_>>().join(",")
}
