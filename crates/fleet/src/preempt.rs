//! Preemption: selects the runs to stop for an urgent unit, at the lowest cost.
//!
//! Designed for bursts of urgent gangs on a full fleet: resources have to be free within the bound of a guarantee, and
//! every stop loses the work since the last checkpoint.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::Step;
use crate::place::{Candidate, assign_members};
use crate::planner::Planner;
use crate::resources::Resources;
use crate::unit::{UnitKey, UnitState};
use crate::value::{Timeliness, attainable_value};
use crate::worker::Worker;

/// Progress from which a run is not stopped: that would free its resources hardly earlier than its end.
const NEARLY_DONE_PERCENT: u64 = 85;

/// Runs are preempted once the latest start is no further away than this time plus the duration of a stop; before
/// that, resources may still become free by themselves.
const PREEMPTION_LEAD_MS: u64 = 500;

/// A placed unit that may be preempted.
struct Victim {
    job: String,
    key: UnitKey,
    /// Cost of stopping its run, in the unit of a job's value.
    stop_cost: f64,
    /// Resources that it holds, by worker.
    resources: BTreeMap<String, Resources>,
}

/// Stops less urgent runs until a unit fits, and claims the freed resources for it. A job ends in time only with all
/// its subtasks, so either all waiting units of a step get resources or none does, except where the bound of a
/// guarantee is near.
pub fn preempt_for(planner: &mut Planner, now: u64, wall: u64, candidate: &Candidate) {
    let Some(max_cost) = max_cost(planner, wall, candidate) else { return };
    let Some(job) = planner.jobs.get(&candidate.job) else { return };
    let Some(step) = job.sub.steps.get(candidate.key.step as usize).cloned() else { return };
    let units = match step.gang || candidate.must_start {
        true => vec![candidate.key],
        false => waiting_units_of_step(planner, candidate),
    };
    let members = if step.gang { step.count } else { units.len() as u32 };
    let required = Step { count: members, ..step.clone() };
    let victims = victims(planner, now, wall, candidate);
    let available = planner.available_workers(now, candidate, &step);
    let mut groups: BTreeMap<&str, Vec<(&Worker, Resources)>> = BTreeMap::new();
    for (worker, free) in available.by_id.values() {
        let group = if step.prefers_one_rack { worker.rack() } else { "" };
        groups.entry(group).or_default().push((worker, *free));
    }
    let plans = groups.values().filter_map(|workers| choose_victims(workers, &victims, &required));
    let mut best = plans.min_by(|one, other| one.0.total_cmp(&other.0));
    if best.is_none() && candidate.must_start {
        // No rack can be freed for it. Running slower over several racks is better than missing the bound.
        let all: Vec<(&Worker, Resources)> = available.by_id.values().copied().collect();
        best = choose_victims(&all, &victims, &required);
    }
    let Some((cost, chosen, incarnations)) = best else { return };
    if cost > max_cost {
        return;
    }
    let stopped_units: Vec<(String, UnitKey)> =
        chosen.iter().map(|index| (victims[*index].job.clone(), victims[*index].key)).collect();
    if step.gang {
        planner.claims.insert(candidate, candidate.key, incarnations, step.reserved(), now);
    } else {
        for (key, incarnation) in units.into_iter().zip(incarnations) {
            planner.claims.insert(candidate, key, vec![incarnation], step.reserved(), now);
        }
    }
    if let Some(job) = planner.jobs.get_mut(&candidate.job).filter(|_| !stopped_units.is_empty()) {
        job.preempted_others = true;
    }
    let reason = format!("resources needed for {}", candidate.job);
    for (name, key) in stopped_units {
        planner.evict(now, &name, key, &reason);
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

fn victims(planner: &Planner, now: u64, wall: u64, candidate: &Candidate) -> Vec<Victim> {
    let mut victims = Vec::new();
    let covered = if candidate.guaranteed { planner.jobs_within_guarantees() } else { BTreeSet::new() };
    for name in &planner.live {
        let Some(job) = planner.jobs.get(name) else { continue };
        let priority = planner.desired.queue(&job.sub.queue).map_or(u32::MAX, |queue| queue.priority);
        // Work of the same priority is preempted only for a guaranteed unit, and only if no guarantee covers it.
        let outside_guarantees = candidate.guaranteed && !covered.contains(name.as_str());
        if priority <= candidate.priority && !outside_guarantees {
            continue;
        }
        for (key, unit) in &job.units {
            let Some(step) = job.sub.steps.get(key.step as usize) else { continue };
            if unit.state != UnitState::Placed && unit.state != UnitState::Ending {
                continue;
            }
            if step.max_unavailable.is_some() {
                // The step limits how many of its subtasks may be down, so none is preempted.
                continue;
            }
            let percent = unit.members.iter().map(|member| member.percent).max().unwrap_or(0);
            if unit.state == UnitState::Placed
                && percent >= NEARLY_DONE_PERCENT
                && !step.long_running
                && !candidate.must_start
            {
                continue;
            }
            let mut resources: BTreeMap<String, Resources> = BTreeMap::new();
            for member in unit.members.iter().filter(|member| !member.released) {
                *resources.entry(member.worker.clone()).or_default() += step.reserved();
            }
            let stop_cost = planner.stop_cost(now, wall, job, *key, unit);
            victims.push(Victim { job: name.clone(), key: *key, stop_cost, resources });
        }
    }
    victims
}

/// Returns the cheapest set of victims found in a group of workers, as its cost, the victims' indices, and a worker
/// for each member. The search is greedy and may miss the optimum.
fn choose_victims(
    workers: &[(&Worker, Resources)],
    victims: &[Victim],
    step: &Step,
) -> Option<(f64, Vec<usize>, Vec<String>)> {
    let group: BTreeSet<&str> = workers.iter().map(|(worker, _)| worker.info.incarnation.as_str()).collect();
    let mut order: Vec<usize> = (0..victims.len())
        .filter(|index| victims[*index].resources.keys().any(|worker| group.contains(worker.as_str())))
        .collect();
    // Cost per core freed in this group. A gang that also runs elsewhere counts with its whole cost.
    let per_core = |index: &usize| {
        let victim = &victims[*index];
        let here = victim.resources.iter().filter(|(incarnation, _)| group.contains(incarnation.as_str()));
        let freed: i64 = here.map(|(_, resources)| resources.weight()).sum();
        victim.stop_cost / freed.max(1) as f64
    };
    order.sort_by(|one, other| per_core(one).total_cmp(&per_core(other)));
    let free_without = |chosen: &[usize]| -> Vec<(&Worker, Resources)> {
        let mut free = workers.to_vec();
        for (worker, resources) in &mut free {
            for index in chosen {
                if let Some(freed) = victims[*index].resources.get(&worker.info.incarnation) {
                    *resources += *freed;
                }
            }
        }
        free
    };
    let mut chosen = Vec::new();
    let mut assigned = assign_members(&free_without(&chosen), step);
    for index in order {
        if assigned.is_some() {
            break;
        }
        chosen.push(index);
        assigned = assign_members(&free_without(&chosen), step);
    }
    let mut incarnations = assigned?;
    // Drops the victims that are not needed, the most expensive first.
    let mut by_cost = chosen.clone();
    by_cost.sort_by(|one, other| victims[*other].stop_cost.total_cmp(&victims[*one].stop_cost));
    for index in by_cost {
        let fewer: Vec<usize> = chosen.iter().copied().filter(|other| *other != index).collect();
        if let Some(found) = assign_members(&free_without(&fewer), step) {
            (chosen, incarnations) = (fewer, found);
        }
    }
    let cost = chosen.iter().map(|index| victims[*index].stop_cost).sum();
    Some((cost, chosen, incarnations))
}
