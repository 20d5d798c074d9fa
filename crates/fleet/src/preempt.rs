//! Preemption: selects the runs to stop for an urgent unit, at the lowest cost.
//!
//! Designed for bursts of urgent gangs on a full fleet: resources have to be free within the bound of a guarantee, and
//! every stop loses the work since the last checkpoint.

use std::collections::BTreeSet;

use crate::job::Job;
use crate::pass::Pass;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::{Need, Pool, Room};
use crate::resources::Resources;
use crate::unit::{Unit, UnitKey, UnitState};
use crate::value::{Timeliness, attainable_value};

/// Progress from which a run is not stopped: that would free its resources hardly earlier than its end.
const NEARLY_DONE_PERCENT: u64 = 85;

/// Runs are preempted once the latest start is no further away than this time plus the duration of a stop; before
/// that, resources may still become free by themselves.
const PREEMPTION_LEAD_MS: u64 = 500;

/// A placed unit that may be preempted.
#[derive(Clone, Debug)]
pub struct Victim {
    job: String,
    key: UnitKey,
    /// Priority of its queue.
    priority: u32,
    /// Whether its account's guarantee covers its job.
    is_covered: bool,
    is_nearly_done: bool,
    /// Cost of stopping its run, in the unit of a job's value.
    stop_cost: f64,
    /// Resources that it holds, by the worker's index in the pool.
    resources: Vec<(usize, Resources)>,
}

/// Runs to stop, and where the unit that needs their resources fits then.
struct Plan {
    cost: f64,
    /// Indices of the victims.
    victims: Vec<usize>,
    /// Resources with those of the victims.
    rooms: Vec<Room>,
}

/// Stops less urgent runs until a unit fits, and claims the freed resources for it. A job ends in time only with all
/// its subtasks, so either all waiting units of a step get resources or none does, except where the bound of a
/// guarantee is near.
pub fn preempt_for(planner: &mut Planner, pass: &mut Pass, candidate: &Candidate) {
    let Some(max_cost) = max_cost(planner, pass.wall, candidate) else { return };
    let Some(job) = planner.jobs.get(&candidate.job) else { return };
    let Some(step) = job.sub.steps.get(candidate.key.step as usize).cloned() else { return };
    let is_single = step.gang || candidate.must_start;
    if !is_single && pass.is_step_unpreemptable(candidate) {
        return;
    }
    let units = match is_single {
        true => vec![candidate.key],
        false => waiting_units_of_step(planner, candidate),
    };
    let members = if step.gang { step.count } else { units.len() as u32 };
    let need = Need::new(&step, members);
    let victims = pass.victims.take().unwrap_or_else(|| victims(planner, pass));
    let rooms = planner.available_rooms(&pass.pool, pass.now, candidate, &step);
    let eligible = eligible_victims(&victims, candidate);
    let mut best = best_plan(&pass.pool, &rooms, &victims, &eligible, &need, step.prefers_one_rack);
    if best.is_none() && candidate.must_start && step.prefers_one_rack {
        // No rack can be freed for it. Running slower over several racks is better than missing the bound.
        best = best_plan(&pass.pool, &rooms, &victims, &eligible, &need, false);
    }
    pass.victims = Some(victims);
    let workers =
        best.as_ref().filter(|plan| plan.cost <= max_cost).and_then(|plan| need.assign(&plan.rooms));
    let (Some(plan), Some(workers)) = (best, workers) else {
        if !is_single {
            pass.mark_step_unpreemptable(candidate);
        }
        return;
    };
    let incarnations = pass.pool.incarnations(&workers);
    if step.gang {
        let key = candidate.key;
        planner.claims.insert(&mut pass.pool, candidate, key, incarnations, need.per_member, pass.now);
    } else {
        for (key, incarnation) in units.into_iter().zip(incarnations) {
            let worker = vec![incarnation];
            planner.claims.insert(&mut pass.pool, candidate, key, worker, need.per_member, pass.now);
        }
    }
    if let Some(job) = planner.jobs.get_mut(&candidate.job).filter(|_| !plan.victims.is_empty()) {
        job.preempted_others = true;
    }
    let reason = format!("resources needed for {}", candidate.job);
    for victim in plan.victims {
        let Some(victim) = pass.victims.as_mut().and_then(|victims| victims.get_mut(victim)) else {
            continue;
        };
        // From now on it is being stopped, which costs nothing more.
        (victim.stop_cost, victim.is_nearly_done) = (0.0, false);
        planner.evict(pass.now, &victim.job, victim.key, &reason);
    }
}

/// Returns the waiting units of a candidate's step that have no claim, including its own.
fn waiting_units_of_step(planner: &Planner, candidate: &Candidate) -> Vec<UnitKey> {
    let Some(job) = planner.jobs.get(&candidate.job) else { return Vec::new() };
    let is_unclaimed = |key: &UnitKey| {
        (key.occurrence, key.step) == (candidate.key.occurrence, candidate.key.step)
            && !planner.claims.contains(&candidate.job, *key)
    };
    let waiting =
        job.units.iter().filter(|(key, unit)| unit.state == UnitState::Waiting && is_unclaimed(key));
    waiting.map(|(key, _)| *key).collect()
}

/// Returns the maximum cost of preempting for a unit now, in the unit of a job's value; `None` while it can wait.
fn max_cost(planner: &Planner, wall: u64, candidate: &Candidate) -> Option<f64> {
    if candidate.must_start {
        // A guarantee that is due is met at any cost; before that, only the value that waiting would lose counts.
        return Some(f64::INFINITY);
    }
    let is_due = wall + planner.timing.stop_ms + PREEMPTION_LEAD_MS >= candidate.latest_start;
    let current_value = attainable_value(candidate.value, candidate.timeliness);
    let later_value = match candidate.timeliness {
        Timeliness::InTime => attainable_value(candidate.value, Timeliness::Late),
        Timeliness::Late | Timeliness::Missed => 0.0,
    };
    let queue = planner.jobs.get(&candidate.job).map(|job| &job.sub.queue);
    let outcomes =
        queue.and_then(|queue| planner.preemption_outcomes.get(queue)).copied().unwrap_or_default();
    (is_due && current_value > later_value)
        .then_some((current_value - later_value) * outcomes.expected_in_time_share())
}

/// Returns the placed units that may be preempted for some unit.
fn victims(planner: &Planner, pass: &Pass) -> Vec<Victim> {
    let covered = planner.jobs_within_guarantees();
    let mut victims = Vec::new();
    for name in &planner.live {
        let Some(job) = planner.jobs.get(name) else { continue };
        let priority = planner.desired.queue(&job.sub.queue).map_or(u32::MAX, |queue| queue.priority);
        let is_covered = covered.contains(name.as_str());
        for (key, unit) in &job.units {
            if unit.state == UnitState::Placed || unit.state == UnitState::Ending {
                victims.extend(victim(planner, pass, (job, *key, unit), priority, is_covered));
            }
        }
    }
    victims
}

fn victim(
    planner: &Planner,
    pass: &Pass,
    (job, key, unit): (&Job, UnitKey, &Unit),
    priority: u32,
    is_covered: bool,
) -> Option<Victim> {
    let step = job.sub.steps.get(key.step as usize)?;
    if step.max_unavailable.is_some() {
        // The step limits how many of its subtasks may be down, so none is preempted.
        return None;
    }
    let percent = unit.members.iter().map(|member| member.percent).max().unwrap_or(0);
    let is_nearly_done =
        unit.state == UnitState::Placed && percent >= NEARLY_DONE_PERCENT && !step.long_running;
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
        is_nearly_done,
        stop_cost: planner.stop_cost(pass.now, pass.wall, job, key, unit),
        resources,
    })
}

/// Returns the indices of the units that may be preempted for a candidate.
fn eligible_victims(victims: &[Victim], candidate: &Candidate) -> Vec<usize> {
    let is_eligible = |victim: &Victim| {
        // Work of the same priority is preempted only for a guaranteed unit, and only if no guarantee covers it.
        let is_less_urgent =
            victim.priority > candidate.priority || (candidate.guaranteed && !victim.is_covered);
        is_less_urgent && (candidate.must_start || !victim.is_nearly_done)
    };
    victims.iter().enumerate().filter(|(_, victim)| is_eligible(victim)).map(|(at, _)| at).collect()
}

/// Returns the cheapest plan over all groups of workers: the racks if `by_rack`, otherwise all of them together.
fn best_plan(
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
        choose_victims(rooms, victims, held_by, need, position)
    });
    plans.min_by(|one, other| one.cost.total_cmp(&other.cost))
}

/// Returns the cheapest plan found in a group of workers. `held_by` has the victims that hold resources there, `position`
/// gives the position of a worker in `rooms`. The search is greedy and may miss the optimum.
fn choose_victims(
    mut rooms: Vec<Room>,
    victims: &[Victim],
    held_by: Vec<usize>,
    need: &Need,
    position: impl Fn(usize) -> Option<usize>,
) -> Option<Plan> {
    let held_here = |victim: usize| {
        let held = victims[victim].resources.iter();
        held.filter_map(|(worker, held)| Some((position(*worker)?, *held)))
    };
    // Members that fit in the group; changed with the rooms.
    let mut fitting: i64 = rooms.iter().map(|room| need.members_in(&room.free)).sum();
    let free_or_take = |rooms: &mut [Room], fitting: &mut i64, victim: usize, free: bool| {
        for (at, held) in held_here(victim) {
            let room = &mut rooms[at].free;
            *fitting -= need.members_in(room);
            if free {
                *room += held;
            } else {
                *room -= held;
            }
            *fitting += need.members_in(room);
        }
    };
    // Cost per core freed in this group. A gang that also runs elsewhere counts with its whole cost.
    let per_core = |victim: usize| {
        let freed: i64 = held_here(victim).map(|(_, held)| held.weight()).sum();
        victims[victim].stop_cost / freed.max(1) as f64
    };
    let mut order: Vec<(f64, usize)> = held_by.into_iter().map(|victim| (per_core(victim), victim)).collect();
    order.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let mut chosen = Vec::new();
    for (_, victim) in order {
        if fitting >= need.members {
            break;
        }
        free_or_take(&mut rooms, &mut fitting, victim, true);
        chosen.push(victim);
    }
    if fitting < need.members {
        return None;
    }
    // Drops the victims that are not needed, the most expensive first.
    let mut by_cost = chosen.clone();
    by_cost.sort_by(|one, other| victims[*other].stop_cost.total_cmp(&victims[*one].stop_cost));
    for victim in by_cost {
        free_or_take(&mut rooms, &mut fitting, victim, false);
        if fitting >= need.members {
            chosen.retain(|other| *other != victim);
        } else {
            free_or_take(&mut rooms, &mut fitting, victim, true);
        }
    }
    let cost = chosen.iter().map(|victim| victims[*victim].stop_cost).sum();
    Some(Plan { cost, victims: chosen, rooms })
}
