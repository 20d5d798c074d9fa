//! The workers on which a unit may start, and what it may use there.

use crate::job::Step;
use crate::pass::Pass;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::{Held, Pool, PoolWorker, Room};
use crate::resources::Resources;
use crate::unit::{Unit, UnitKey};

/// Added to the rank of a worker that is held for another unit: what ignores the hold uses it if no other has room.
const HELD_RANK: u8 = 100;

/// Time before it is due from which a hold also keeps off what waits beside idle workers, in milliseconds. A gang of most
/// of a service empties more than half of it before it starts.
const MAX_HOLD_WAIT_MS: u64 = 5_000;

/// Workers among which a search for room looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Search {
    /// Those that are usable, without what is held for other units.
    Usual,
    /// Also ejected workers, and what is held if less than half of each resource is in use.
    Wide,
}

impl Planner {
    /// Returns the workers on which a unit of a step may start now, with their resources that no other unit claims.
    pub(crate) fn available_rooms(
        &self,
        pool: &Pool,
        now: u64,
        candidate: &Candidate,
        step: &Step,
    ) -> Vec<Room> {
        self.rooms_on(pool, now, candidate, step, Search::Usual)
    }

    /// Returns the workers of a search, with their resources that a unit of a step may use.
    fn rooms_on(
        &self,
        pool: &Pool,
        now: u64,
        candidate: &Candidate,
        step: &Step,
        search: Search,
    ) -> Vec<Room> {
        let may_use = |worker: &PoolWorker| worker.is_usable || (search == Search::Wide && worker.is_ejected);
        let Some(queue) = self.queue_of(&candidate.job) else { return Vec::new() };
        let approved = queue.needs_approval.then(|| {
            let step_key = (candidate.job.clone(), candidate.key.occurrence, candidate.key.step);
            self.approvals.approved_workers(&step_key, now)
        });
        let is_approved = |worker: &PoolWorker| {
            approved.as_ref().is_none_or(|ids| ids.contains(worker.incarnation.as_str()))
        };
        let accepting = pool.workers.iter().enumerate().filter(|(_, worker)| {
            worker.service == queue.service
                && may_use(worker)
                && worker.suits(step)
                && worker.admits(&candidate.job)
                && is_approved(worker)
        });
        let classes = self.speed_classes_of(queue);
        let is_urgent = candidate.priority == 0;
        let is_kept_from_it = |held: &&Held| {
            let ends_before = !step.long_running && now.saturating_add(step.estimate_ms) <= held.due_at;
            !candidate.guaranteed && !ends_before && (&held.job, held.key) != (&candidate.job, candidate.key)
        };
        let is_idle = step.long_running || pool.usage(&queue.service).is_half_idle_throughout();
        let ignores_holds = search == Search::Wide && is_idle;
        let is_due_soon = |held: &Held| !step.long_running && held.due_at <= now + MAX_HOLD_WAIT_MS;
        let room = |(at, worker): (usize, &PoolWorker)| {
            let mut free = worker.unclaimed(candidate.guaranteed);
            let mut rank = classes.map_or(0, |classes| classes.rank(worker.speed_milli, is_urgent));
            match worker.held.as_ref().filter(is_kept_from_it) {
                Some(held) if is_urgent || (ignores_holds && !is_due_soon(held)) => rank += HELD_RANK,
                Some(held) => free = free.min_each(&held.spare.max_each(&Resources::default())),
                None => (),
            }
            Room { worker: at, free, rank }
        };
        let mut rooms: Vec<Room> = accepting.map(room).collect();
        // The unit's own claim doesn't count against it.
        if let Some(own) = self.claims.get(&candidate.job, candidate.key)
            && (own.guaranteed || !candidate.guaranteed)
        {
            for incarnation in &own.workers {
                let claimed = rooms.iter_mut().find(|room| pool.index_of(incarnation) == Some(room.worker));
                if let Some(room) = claimed {
                    room.free += own.per_member;
                }
            }
        }
        rooms
    }

    /// Returns the workers of a search on which a unit may start, with what it may use there.
    pub(crate) fn rooms_for(
        &self,
        pass: &Pass,
        candidate: &Candidate,
        (step, unit): (&Step, &Unit),
        search: Search,
    ) -> Vec<Room> {
        let pool = &pass.pool;
        let mut rooms = self.rooms_on(pool, pass.now, candidate, step, search);
        self.drop_workers_at_limit(pool, &mut rooms, candidate, step);
        if unit.must_run_alone() {
            rooms.retain(|room| pool.workers[room.worker].has_no_other_job(&candidate.job));
        }
        rooms
    }

    /// Removes the workers that already run as many subtasks of a step as its limit per worker allows.
    fn drop_workers_at_limit(&self, pool: &Pool, rooms: &mut Vec<Room>, candidate: &Candidate, step: &Step) {
        let Some(max_per_worker) = step.max_per_worker else { return };
        let first = UnitKey { index: 0, ..candidate.key }.task(&candidate.job, 0);
        let last = UnitKey { index: u32::MAX, ..candidate.key }.task(&candidate.job, 0);
        let of_step = (first, 0)..=(last, u64::MAX);
        rooms.retain(|room| {
            let worker = self.workers.get(&pool.workers[room.worker].incarnation);
            let placed = worker.map_or(0, |worker| worker.placed.range(of_step.clone()).count());
            (placed as u32) < max_per_worker
        });
    }
}
