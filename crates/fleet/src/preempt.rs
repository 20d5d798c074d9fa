//! Preemption: selects the runs to stop for an urgent unit, at the lowest cost.
//!
//! Designed for bursts of urgent gangs on a full fleet: resources have to be free within the bound of a guarantee, and
//! every stop loses the work since the last checkpoint.

use crate::pass::Pass;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::{Need, Room};
use crate::timing::JobTiming;
use crate::unit::{UnitKey, UnitState};
use crate::value::{Timeliness, attainable_value};
use crate::victims::{best_plan, eligible_victims, find_victims};

/// Runs are preempted once the latest start is no further away than this time plus the duration of a stop; before
/// that, resources may still become free by themselves.
const PREEMPTION_LEAD_MS: u64 = 500;

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
    let victims = pass.victims.take().unwrap_or_else(|| find_victims(planner, pass));
    let mut rooms = planner.available_rooms(&pass.pool, pass.now, candidate, &step);
    drop_slow_workers(planner, pass, candidate, &mut rooms);
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
        let reason = format!("{reason}: {}", victim.describe_stop());
        victim.mark_stopping();
        planner.record_stopped_for_other(pass.now, &victim.job);
        planner.evict(pass.now, &victim.job, victim.key, &reason);
    }
}

/// Removes the workers on which a unit would not be as timely as it still can be once runs have been stopped for it.
fn drop_slow_workers(planner: &Planner, pass: &Pass, candidate: &Candidate, rooms: &mut Vec<Room>) {
    let queue = planner.queue_of(&candidate.job);
    if candidate.must_start || queue.is_none_or(|queue| planner.speed_classes_of(queue).is_none()) {
        return;
    }
    // Runs end anywhere between the order to stop and the bound of a stop.
    let age_ms = candidate.timing.age_ms + planner.timing.stop_ms / 2;
    let timing = JobTiming { age_ms, ..candidate.timing };
    if let Some(required) = timing.required_speed(candidate.timeliness) {
        rooms.retain(|room| pass.pool.workers[room.worker].speed_milli >= required);
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
