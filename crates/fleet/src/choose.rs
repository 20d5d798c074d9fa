//! Chooses workers for a unit out of those that have room.

use crate::job::Step;
use crate::pool::{Need, Pool, Room};
use crate::resources::Resources;
use crate::wait::WaitReason;

pub type Result<T> = std::result::Result<T, WaitReason>;

/// Returns whether a step's unit would fit on the given workers if they were empty, within one rack if it prefers that.
pub fn can_ever_fit(pool: &Pool, rooms: &[Room], step: &Step) -> bool {
    let need = Need::new(step, if step.gang { step.count } else { 1 });
    let mut by_rack: Vec<Vec<Room>> =
        vec![Vec::new(); if step.prefers_one_rack { pool.rack_count() } else { 1 }];
    for room in rooms {
        let rack = if step.prefers_one_rack { pool.workers[room.worker].rack } else { 0 };
        by_rack[rack].push(Room { free: pool.workers[room.worker].capacity, ..*room });
    }
    by_rack.iter().any(|rooms| need.fits(rooms))
}

/// Returns the index of a worker for a subtask, on its preferred rack if there is one with room.
///
/// # Errors
///
/// Returns why the subtask has to wait; it waits for its preferred rack if `wait_for_locality`.
pub fn find_worker_for_subtask(
    pool: &Pool,
    rooms: &[Room],
    step: &Step,
    wait_for_locality: bool,
) -> Result<Vec<usize>> {
    let need = step.reserved();
    let near = |room: &Room| {
        step.preferred_rack.as_deref().is_none_or(|rack| pool.workers[room.worker].has_label(rack))
    };
    let fits = rooms.iter().filter(|room| room.free.can_fit(&need));
    let order =
        |room: &&Room| (!near(room), room.rank, fit_order(room, &need, pool.workers[room.worker].is_idle));
    let Some(best) = fits.min_by_key(order) else { return Err(WaitReason::Resources) };
    // Waiting is pointless if no available worker is on the preferred rack.
    if wait_for_locality && !near(best) && rooms.iter().any(near) {
        return Err(WaitReason::Rack);
    }
    Ok(vec![best.worker])
}

/// Returns a sort key: the resources that would remain free, accelerators first. The tightest fit leaves whole workers
/// free; a step without accelerators prefers workers that are in use.
fn fit_order(room: &Room, need: &Resources, is_idle: bool) -> (i64, i64) {
    let mut remaining = room.free;
    remaining -= *need;
    match need.accelerators {
        0 => (remaining.accelerators + i64::from(is_idle), remaining.millicores),
        _ => (remaining.accelerators, remaining.millicores),
    }
}

/// Returns the index of a worker for each member of a gang, on one rack if there is one with room.
///
/// # Errors
///
/// Returns why the gang has to wait; `waits_for_rack` says whether it waits for one rack although it fits on several.
pub fn find_workers_for_gang(
    pool: &Pool,
    rooms: &[Room],
    step: &Step,
    waits_for_rack: impl FnOnce(&[Room]) -> bool,
) -> Result<Vec<usize>> {
    let need = Need::new(step, step.count);
    if !need.fits(rooms) {
        return Err(WaitReason::Resources);
    }
    let mut racks: Vec<Vec<Room>> = vec![Vec::new(); pool.rack_count()];
    for room in rooms {
        racks[pool.workers[room.worker].rack].push(*room);
    }
    let near = |rack: usize| {
        step.preferred_rack.as_deref().is_none_or(|preferred| preferred == pool.rack_name(rack))
    };
    let fitting = racks.iter().enumerate().filter(|(_, rooms)| !rooms.is_empty() && need.fits(rooms));
    let best = fitting.min_by_key(|(rack, rooms)| {
        let rest: i64 = rooms.iter().map(|room| room.free.accelerators).sum();
        (!near(*rack), need.rank_of_assigned(rooms), rest)
    });
    if let Some(workers) = best.and_then(|(_, rooms)| need.assign(rooms)) {
        return Ok(workers);
    }
    if step.prefers_one_rack && waits_for_rack(rooms) {
        return Err(WaitReason::Rack);
    }
    need.assign(rooms).ok_or(WaitReason::Resources)
}
