//! Preemption: which runs give way to an urgent unit, so that the least work is thrown away.
//!
//! Answers a burst of urgent gangs while others fill the fleet: room has to be there within the bound of a
//! guarantee, and every stop throws away what was not saved.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::Step;
use crate::place::{Candidate, fill};
use crate::planner::Planner;
use crate::resources::Resources;
use crate::unit::{UnitKey, UnitState};
use crate::value::{Prospect, earnable};
use crate::worker::Worker;

/// Part of a run in percent after which it is left to end: stopping it frees the room hardly earlier.
const NEARLY_DONE_PERCENT: u64 = 85;

/// Time before the latest start at which room is made, in milliseconds; before that it may come free by itself.
const DECIDE_BEFORE_MS: u64 = 500;

/// A placed unit that may give way.
struct Victim {
    job: String,
    key: UnitKey,
    /// What ending its run costs, in worth.
    lost: f64,
    /// Room that it takes on each worker.
    on: BTreeMap<String, Resources>,
}

/// Ends runs that are less urgent than a unit until it fits, and keeps the room for it. A job is in time only with
/// all its subtasks, so room is made for all units of a step that wait, or for none; only a guarantee that is due
/// takes what it can get.
pub fn make_room(planner: &mut Planner, now: u64, wall: u64, candidate: &Candidate) {
    let Some(gain) = gain(planner, wall, candidate) else { return };
    let Some(job) = planner.jobs.get(&candidate.job) else { return };
    let Some(step) = job.sub.steps.get(candidate.key.step as usize).cloned() else { return };
    let units = match step.gang || candidate.must_begin {
        true => vec![candidate.key],
        false => waiting_beside(planner, candidate),
    };
    let members = if step.gang { step.count } else { units.len() as u32 };
    let wanted = Step { count: members, ..step.clone() };
    let victims = victims(planner, now, wall, candidate);
    let offer = planner.offer(now, candidate, &step);
    let mut groups: BTreeMap<&str, Vec<(&Worker, Resources)>> = BTreeMap::new();
    for (worker, room) in offer.left.values() {
        let group = if step.prefers_one_rack { worker.rack() } else { "" };
        groups.entry(group).or_default().push((worker, *room));
    }
    let plans = groups.values().filter_map(|workers| choose(workers, &victims, &wanted));
    let mut best = plans.min_by(|one, other| one.0.total_cmp(&other.0));
    if best.is_none() && candidate.must_begin {
        // No rack can be vacated for it: better slow over several racks than not within the bound.
        let all: Vec<(&Worker, Resources)> = offer.left.values().copied().collect();
        best = choose(&all, &victims, &wanted);
    }
    let Some((cost, chosen, lives)) = best else { return };
    if cost > gain {
        return;
    }
    let ends: Vec<(String, UnitKey)> =
        chosen.iter().map(|at| (victims[*at].job.clone(), victims[*at].key)).collect();
    if step.gang {
        planner.claims.insert(candidate, candidate.key, lives, step.reserved(), now);
    } else {
        for (key, life) in units.into_iter().zip(lives) {
            planner.claims.insert(candidate, key, vec![life], step.reserved(), now);
        }
    }
    if let Some(job) = planner.jobs.get_mut(&candidate.job).filter(|_| !ends.is_empty()) {
        job.preempted_others = true;
    }
    let why = format!("room for {}", candidate.job);
    for (name, key) in ends {
        planner.evict(now, &name, key, &why);
    }
}

/// Returns the units of a candidate's step that wait and have no claim, itself among them.
fn waiting_beside(planner: &Planner, candidate: &Candidate) -> Vec<UnitKey> {
    let Some(job) = planner.jobs.get(&candidate.job) else { return Vec::new() };
    let same = |key: &UnitKey| {
        (key.occurrence, key.step) == (candidate.key.occurrence, candidate.key.step)
            && !planner.claims.has(&candidate.job, *key)
    };
    let waiting = job.units.iter().filter(|(key, unit)| unit.state == UnitState::Waiting && same(key));
    waiting.map(|(key, _)| *key).collect()
}

/// Returns the most that room for a unit may cost now, in worth; `None` while it can wait.
fn gain(planner: &Planner, wall: u64, candidate: &Candidate) -> Option<f64> {
    if candidate.must_begin {
        // A guarantee holds whatever it costs; until its bound is near, only what waiting would lose counts.
        return Some(f64::INFINITY);
    }
    let near = wall + planner.timing.stop_ms + DECIDE_BEFORE_MS >= candidate.start_by;
    let now_worth = earnable(candidate.worth, candidate.prospect);
    let later = match candidate.prospect {
        Prospect::InTime => earnable(candidate.worth, Prospect::Late),
        Prospect::Late | Prospect::Worthless => 0.0,
    };
    let queue = planner.jobs.get(&candidate.job).map(|job| &job.sub.queue);
    let success = queue.and_then(|queue| planner.successes.get(queue)).copied().unwrap_or_default();
    (near && now_worth > later).then_some((now_worth - later) * success.share())
}

fn victims(planner: &Planner, now: u64, wall: u64, candidate: &Candidate) -> Vec<Victim> {
    let mut victims = Vec::new();
    let covered = if candidate.guaranteed { planner.covered_by_guarantees() } else { BTreeSet::new() };
    for name in &planner.live {
        let Some(job) = planner.jobs.get(name) else { continue };
        let priority = planner.desired.queue(&job.sub.queue).map_or(u32::MAX, |queue| queue.priority);
        // As urgent work gives way only where it lies on what a guarantee needs and has none of its own.
        let beyond = candidate.guaranteed && !covered.contains(name.as_str());
        if priority <= candidate.priority && !beyond {
            continue;
        }
        for (key, unit) in &job.units {
            let Some(step) = job.sub.steps.get(key.step as usize) else { continue };
            if unit.state != UnitState::Placed && unit.state != UnitState::Ending {
                continue;
            }
            if step.max_unavailable.is_some() {
                // The caller allows only so many to be away; they are left alone.
                continue;
            }
            let percent = unit.members.iter().map(|member| member.percent).max().unwrap_or(0);
            if unit.state == UnitState::Placed
                && percent >= NEARLY_DONE_PERCENT
                && !step.long_running
                && !candidate.must_begin
            {
                continue;
            }
            let mut on: BTreeMap<String, Resources> = BTreeMap::new();
            for member in unit.members.iter().filter(|member| !member.released) {
                *on.entry(member.worker.clone()).or_default() += step.reserved();
            }
            let lost = planner.cost_of_stop(now, wall, job, *key, unit);
            victims.push(Victim { job: name.clone(), key: *key, lost, on });
        }
    }
    victims
}

/// Returns the cheapest found set of victims in a group of workers, its cost, and the workers of the members.
fn choose(
    workers: &[(&Worker, Resources)],
    victims: &[Victim],
    step: &Step,
) -> Option<(f64, Vec<usize>, Vec<String>)> {
    let names: BTreeSet<&str> = workers.iter().map(|(worker, _)| worker.info.incarnation.as_str()).collect();
    let mut order: Vec<usize> = (0..victims.len())
        .filter(|at| victims[*at].on.keys().any(|life| names.contains(life.as_str())))
        .collect();
    // Loss for each core freed here; a gang that lies elsewhere too costs all of its work.
    let per_core = |at: &usize| {
        let victim = &victims[*at];
        let here = victim.on.iter().filter(|(life, _)| names.contains(life.as_str()));
        let freed: i64 = here.map(|(_, room)| room.weight()).sum();
        victim.lost / freed.max(1) as f64
    };
    order.sort_by(|one, other| per_core(one).total_cmp(&per_core(other)));
    let free_with = |chosen: &[usize]| -> Vec<(&Worker, Resources)> {
        let mut free = workers.to_vec();
        for (worker, room) in &mut free {
            for at in chosen {
                if let Some(more) = victims[*at].on.get(&worker.info.incarnation) {
                    *room += *more;
                }
            }
        }
        free
    };
    let mut chosen = Vec::new();
    let mut fits = fill(&free_with(&chosen), step);
    for at in order {
        if fits.is_some() {
            break;
        }
        chosen.push(at);
        fits = fill(&free_with(&chosen), step);
    }
    let mut lives = fits?;
    // The dearest that turned out not to be needed stay.
    let mut by_cost = chosen.clone();
    by_cost.sort_by(|one, other| victims[*other].lost.total_cmp(&victims[*one].lost));
    for at in by_cost {
        let fewer: Vec<usize> = chosen.iter().copied().filter(|other| *other != at).collect();
        if let Some(found) = fill(&free_with(&fewer), step) {
            (chosen, lives) = (fewer, found);
        }
    }
    let cost = chosen.iter().map(|at| victims[*at].lost).sum();
    Some((cost, chosen, lives))
}
