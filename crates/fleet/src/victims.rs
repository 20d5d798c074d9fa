//! Runs that may be preempted, and the cheapest of them whose resources a unit needs.
//!
//! Designed for members that need most of a worker each, on workers that mix single subtasks with members of wide gangs:
//! what counts is the cost of freeing whole workers, not that of each run.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::job::Job;
use crate::pass::Pass;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::{Need, Pool, Room};
use crate::resources::Resources;
use crate::stops::{Cause, StopCost, StoppableRun};
use crate::unit::{Unit, UnitKey, UnitState};
use crate::value::JobProgress;

/// A placed unit that may be preempted.
#[derive(Clone, Debug)]
pub struct Victim {
    pub job: String,
    pub key: UnitKey,
    /// Priority of its queue.
    priority: u32,
    /// Whether its account's guarantee covers its job.
    is_covered: bool,
    is_nearly_done: bool,
    /// Cost of stopping its run, in the unit of a job's value.
    stop_cost: f64,
    /// What that cost follows from; `None` for a run that is being stopped already.
    judged: Option<(StoppableRun, StopCost)>,
    /// Resources that it holds, by the worker's index in the pool.
    resources: Vec<(usize, Resources)>,
}

impl Victim {
    /// Formats the cost of stopping its run and what it follows from, for the logs.
    pub fn describe_stop(&self) -> String {
        let judged = self.judged.map(|(run, cost)| format!("{cost}, {run}"));
        judged.unwrap_or_else(|| "already stopping".to_owned())
    }

    /// Records that its run is being stopped, which costs nothing more.
    pub fn mark_stopping(&mut self) {
        (self.stop_cost, self.is_nearly_done) = (0.0, false);
    }
}

/// Runs to stop, and the resources that a unit has then.
#[derive(Clone, Debug)]
pub struct Plan {
    /// In the unit of a job's value.
    pub cost: f64,
    /// Indices of the victims.
    pub victims: Vec<usize>,
    pub rooms: Vec<Room>,
}

impl Plan {
    fn compare_costs(one: &Self, other: &Self) -> Ordering {
        one.cost.total_cmp(&other.cost)
    }
}

/// Returns the placed units that may be preempted for some unit.
pub fn find_victims(planner: &Planner, pass: &Pass) -> Vec<Victim> {
    let covered = planner.jobs_within_guarantees();
    let mut victims = Vec::new();
    for name in &planner.live {
        let Some(job) = planner.jobs.get(name) else { continue };
        let priority = job.queue().map_or(u32::MAX, |queue| queue.priority);
        let is_covered = covered.contains(name.as_str());
        let holds_resources =
            |unit: &Unit| unit.state == UnitState::Placed || unit.state == UnitState::Ending;
        if !job.units.values().any(holds_resources) {
            continue;
        }
        let progress = planner.job_progress(pass.now, job);
        for (key, unit) in &job.units {
            if holds_resources(unit) {
                let unit = (job, progress.as_ref(), *key, unit);
                victims.extend(victim(planner, pass, unit, priority, is_covered));
            }
        }
    }
    victims
}

fn victim(
    planner: &Planner,
    pass: &Pass,
    (job, progress, key, unit): (&Job, Option<&JobProgress>, UnitKey, &Unit),
    priority: u32,
    is_covered: bool,
) -> Option<Victim> {
    let step = job.sub.steps.get(key.step as usize)?;
    if step.max_unavailable.is_some() {
        // The step limits how many of its subtasks may be down, so none is preempted.
        return None;
    }
    // A run that is being stopped already costs nothing, nor does one of which nothing is known.
    let progress = progress.filter(|_| unit.state == UnitState::Placed);
    let run = progress.and_then(|job| planner.stoppable_run(pass.now, pass.wall, job, key, unit));
    let judged = run.map(|run| (run, run.stop_cost()));
    let mut resources: Vec<(usize, Resources)> = Vec::new();
    for member in unit.members.iter().filter(|member| !member.released) {
        let Some(worker) = pass.pool.index_of(&member.worker) else { continue };
        match resources.iter_mut().find(|(other, _)| *other == worker) {
            Some((_, held)) => *held += step.reserved(),
            None => resources.push((worker, step.reserved())),
        }
    }
    Some(Victim {
        job: job.sub.job.clone(),
        key,
        priority,
        is_covered,
        is_nearly_done: judged.is_some_and(|(_, cost)| cost.cause == Cause::NearlyDone),
        stop_cost: judged.map_or(0.0, |(_, cost)| cost.cost),
        judged,
        resources,
    })
}

/// Returns the indices of the units that may be preempted for a candidate.
pub fn eligible_victims(victims: &[Victim], candidate: &Candidate) -> Vec<usize> {
    let is_eligible = |victim: &Victim| {
        // Work of the same priority is preempted only for a guaranteed unit, and only if no guarantee covers it.
        let is_less_urgent =
            victim.priority > candidate.priority || (candidate.guaranteed && !victim.is_covered);
        is_less_urgent && (candidate.must_start || !victim.is_nearly_done)
    };
    victims.iter().enumerate().filter(|(_, victim)| is_eligible(victim)).map(|(at, _)| at).collect()
}

/// Returns the cheapest plan over all groups of workers: the racks if `by_rack`, otherwise all of them together.
pub fn best_plan(
    pool: &Pool,
    rooms: &[Room],
    victims: &[Victim],
    eligible: &[usize],
    need: &Need,
    by_rack: bool,
) -> Option<Plan> {
    let groups = if by_rack { pool.rack_count() } else { 1 };
    let group_of = |worker: usize| if by_rack { pool.workers[worker].rack } else { 0 };
    let mut rooms_by_group: Vec<Vec<Room>> = vec![Vec::new(); groups];
    // Position of each worker within its group; `None` for one that doesn't accept the unit.
    let mut positions: Vec<Option<usize>> = vec![None; pool.workers.len()];
    for room in rooms {
        let group = &mut rooms_by_group[group_of(room.worker)];
        positions[room.worker] = Some(group.len());
        group.push(*room);
    }
    let mut victims_by_group: Vec<Vec<usize>> = vec![Vec::new(); groups];
    for index in eligible {
        let held = victims[*index].resources.iter().filter(|(worker, _)| positions[*worker].is_some());
        let held_in: BTreeSet<usize> = held.map(|(worker, _)| group_of(*worker)).collect();
        for group in held_in {
            victims_by_group[group].push(*index);
        }
    }
    let groups = (0..groups).zip(rooms_by_group).zip(victims_by_group);
    let plans = groups.filter_map(|((group, rooms), held_by)| {
        let position = |worker: usize| positions[worker].filter(|_| group_of(worker) == group);
        let search = Search::new(rooms, victims, &held_by, need, position);
        search
            .clone()
            .choose_by_core()
            .into_iter()
            .chain(search.choose_by_worker())
            .min_by(Plan::compare_costs)
    });
    plans.min_by(Plan::compare_costs)
}

/// Resources that a victim holds in a group of workers, by position in the group.
type Held = Vec<(usize, Resources)>;

/// A greedy search in one group of workers. It may miss the cheapest plan.
#[derive(Clone, Debug)]
struct Search<'a> {
    victims: &'a [Victim],
    need: &'a Need,
    /// Resources that are free once the chosen victims have stopped.
    rooms: Vec<Room>,
    /// Victims that hold resources in the group.
    held: BTreeMap<usize, Held>,
    /// Members that fit; changes with the rooms.
    fitting: i64,
    chosen: Vec<usize>,
}

/// Victims whose stop makes room for further members.
#[derive(Clone, Debug)]
struct Offer {
    victims: Vec<usize>,
    cost: f64,
    /// Members that fit in addition, on all workers of the group.
    gain: i64,
}

impl<'a> Search<'a> {
    /// Creates a search; `position` gives the position of a worker in `rooms`.
    fn new(
        rooms: Vec<Room>,
        victims: &'a [Victim],
        held_by: &[usize],
        need: &'a Need,
        position: impl Fn(usize) -> Option<usize>,
    ) -> Self {
        let held = |victim: &usize| {
            let held = victims[*victim].resources.iter();
            (*victim, held.filter_map(|(worker, held)| Some((position(*worker)?, *held))).collect())
        };
        let fitting = rooms.iter().map(|room| need.members_in(&room.free)).sum();
        let held = held_by.iter().map(held).collect();
        Self { victims, need, rooms, held, fitting, chosen: Vec::new() }
    }

    fn fits(&self) -> bool {
        self.fitting >= self.need.members
    }

    /// Adds a victim's resources to the rooms.
    fn free(&mut self, victim: usize) {
        self.change(victim, |free, held| *free += held);
    }

    /// Takes a victim's resources off the rooms again.
    fn take_back(&mut self, victim: usize) {
        self.change(victim, |free, held| *free -= held);
    }

    fn change(&mut self, victim: usize, change: impl Fn(&mut Resources, Resources)) {
        for (at, held) in self.held.get(&victim).into_iter().flatten() {
            let free = &mut self.rooms[*at].free;
            self.fitting -= self.need.members_in(free);
            change(free, *held);
            self.fitting += self.need.members_in(free);
        }
    }

    /// Chooses victims by their cost per core that they free in the group. A gang that also runs elsewhere counts with
    /// its whole cost.
    fn choose_by_core(mut self) -> Option<Plan> {
        let per_core = |(victim, held): (&usize, &Held)| {
            let freed: i64 = held.iter().map(|(_, held)| held.weight()).sum();
            (self.victims[*victim].stop_cost / freed.max(1) as f64, *victim)
        };
        let mut order: Vec<(f64, usize)> = self.held.iter().map(per_core).collect();
        order.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        for (_, victim) in order {
            if self.fits() {
                break;
            }
            self.free(victim);
            self.chosen.push(victim);
        }
        self.into_plan()
    }

    /// Chooses, again and again, the worker on which room for a further member costs least.
    fn choose_by_worker(mut self) -> Option<Plan> {
        let mut by_room: Vec<Vec<usize>> = vec![Vec::new(); self.rooms.len()];
        for (victim, held) in &self.held {
            for (at, _) in held {
                by_room[*at].push(*victim);
            }
        }
        let mut offers: Vec<Option<Offer>> =
            (0..self.rooms.len()).map(|at| self.offer(at, &by_room[at])).collect();
        while !self.fits() {
            let missing = self.need.members - self.fitting;
            // Room beyond what is missing is worth nothing.
            let cost = |offer: &Offer| offer.cost / offer.gain.clamp(1, missing) as f64;
            let best = offers.iter().flatten().min_by(|one, other| cost(one).total_cmp(&cost(other)));
            let chosen = best?.victims.clone();
            let mut changed = BTreeSet::new();
            for victim in chosen {
                self.free(victim);
                self.chosen.push(victim);
                changed.extend(self.held.get(&victim).into_iter().flatten().map(|(at, _)| *at));
            }
            for at in changed {
                offers[at] = self.offer(at, &by_room[at]);
            }
        }
        self.into_plan()
    }

    /// Returns the cheapest victims found whose stop makes room for a further member on the worker at a position.
    fn offer(&mut self, at: usize, victims: &[usize]) -> Option<Offer> {
        let victims = self.cheapest_for_member(at, victims)?;
        let fitting = self.fitting;
        victims.iter().for_each(|victim| self.free(*victim));
        let gain = self.fitting - fitting;
        victims.iter().for_each(|victim| self.take_back(*victim));
        let cost = victims.iter().map(|victim| self.victims[*victim].stop_cost).sum();
        Some(Offer { victims, cost, gain })
    }

    /// Returns the victims to stop, out of those that hold resources on the worker at a position, so that a further
    /// member fits there.
    fn cheapest_for_member(&self, at: usize, victims: &[usize]) -> Option<Vec<usize>> {
        let before = self.need.members_in(&self.rooms[at].free);
        let held_here = |victim: usize| -> Resources {
            let held = self.held.get(&victim).into_iter().flatten().find(|(position, _)| *position == at);
            held.map(|(_, held)| *held).unwrap_or_default()
        };
        let mut order: Vec<(f64, usize, Resources)> = victims
            .iter()
            .filter(|victim| !self.chosen.contains(victim))
            .map(|victim| {
                let held = held_here(*victim);
                (self.victims[*victim].stop_cost / held.weight().max(1) as f64, *victim, held)
            })
            .collect();
        order.sort_by(|(one, ..), (other, ..)| one.total_cmp(other));
        let mut free = self.rooms[at].free;
        let mut stopped: Vec<(usize, Resources)> = Vec::new();
        for (_, victim, held) in order {
            if self.need.members_in(&free) > before {
                break;
            }
            free += held;
            stopped.push((victim, held));
        }
        if self.need.members_in(&free) <= before {
            return None;
        }
        stopped.sort_by(|(one, _), (other, _)| {
            self.victims[*other].stop_cost.total_cmp(&self.victims[*one].stop_cost)
        });
        stopped.retain(|(_, held)| {
            let mut fewer = free;
            fewer -= *held;
            let is_needed = self.need.members_in(&fewer) <= before;
            if !is_needed {
                free = fewer;
            }
            is_needed
        });
        Some(stopped.into_iter().map(|(victim, _)| victim).collect())
    }

    /// Drops the victims that are not needed, the most expensive first, and returns the plan if all members fit.
    fn into_plan(mut self) -> Option<Plan> {
        if !self.fits() {
            return None;
        }
        let mut by_cost = self.chosen.clone();
        by_cost.sort_by(|one, other| self.victims[*other].stop_cost.total_cmp(&self.victims[*one].stop_cost));
        for victim in by_cost {
            self.take_back(victim);
            if self.fits() {
                self.chosen.retain(|other| *other != victim);
            } else {
                self.free(victim);
            }
        }
        let cost = self.chosen.iter().map(|victim| self.victims[*victim].stop_cost).sum();
        Some(Plan { cost, victims: self.chosen, rooms: self.rooms })
    }
}
