//! When and where a waiting unit will fit, by the expected ends of what runs.
//!
//! Designed for gangs whose members each need most of a worker, on workers whose room narrow work takes as it comes free.

use crate::planner::Planner;
use crate::pool::{Need, Pool, PoolWorker, Room};
use crate::resources::Resources;
use crate::task::Task;
use crate::unit::UnitState;

/// Resources that a run will release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Expected time until then, in milliseconds.
    pub in_ms: u64,
    pub resources: Resources,
    pub task: Task,
}

/// Expected releases on the workers of a pool.
#[derive(Clone, Debug)]
pub struct Releases {
    /// By the worker's index in the pool. Subtasks without an end are left out.
    by_worker: Vec<Vec<Release>>,
}

/// When a unit fits on a group of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// Time until all its members fit, in milliseconds; 0 if they do now.
    pub due_ms: u64,
    /// Number of members that fit now.
    pub fitting: i64,
    /// Index of the worker for each member.
    pub workers: Vec<usize>,
    /// Runs that have to end before, in the order of their ends.
    pub held_by: Vec<Release>,
}

impl Releases {
    pub fn new(planner: &Planner, pool: &Pool, now: u64) -> Self {
        let releases = |worker: &PoolWorker| {
            let placed =
                planner.workers.get(&worker.incarnation).into_iter().flat_map(|worker| &worker.placed);
            placed.filter_map(|(task, _)| planner.expected_release(now, task)).collect()
        };
        Self { by_worker: pool.workers.iter().map(releases).collect() }
    }

    /// Returns what a worker's runs release within the next `ms` milliseconds.
    pub fn released_within(&self, worker: usize, ms: u64) -> Resources {
        let mut released = Resources::default();
        for release in self.by_worker[worker].iter().filter(|release| release.in_ms <= ms) {
            released += release.resources;
        }
        released
    }

    /// Returns when a need is first met by the given workers; `None` if it isn't even once all runs there have ended that
    /// have an end.
    pub fn earliest_fit(&self, rooms: &[Room], need: &Need) -> Option<Outlook> {
        let mut rooms = rooms.to_vec();
        let mut fitting: i64 = rooms.iter().map(|room| need.members_in(&room.free)).sum();
        let now_fitting = fitting;
        let releases = |(at, room): (usize, &Room)| {
            self.by_worker[room.worker].iter().map(move |release| (at, release)).collect::<Vec<_>>()
        };
        let mut order: Vec<(usize, &Release)> = rooms.iter().enumerate().flat_map(releases).collect();
        order.sort_by_key(|(at, release)| (release.in_ms, *at));
        let (mut due_ms, mut held_by) = (0, Vec::new());
        let mut order = order.into_iter();
        while fitting < need.members {
            let (at, release) = order.next()?;
            let free = &mut rooms[at].free;
            fitting -= need.members_in(free);
            *free += release.resources;
            fitting += need.members_in(free);
            due_ms = release.in_ms;
            held_by.push((rooms[at].worker, release));
        }
        let workers = need.assign(&rooms)?;
        let held_by = held_by.into_iter().filter(|(worker, _)| workers.contains(worker));
        let held_by = held_by.map(|(_, release)| release.clone()).collect();
        Some(Outlook { due_ms, fitting: now_fitting, workers, held_by })
    }

    /// Returns the first of the racks' outlooks by time, with the index of the rack.
    pub fn earliest_rack(&self, pool: &Pool, rooms: &[Room], need: &Need) -> Option<(usize, Outlook)> {
        let mut racks: Vec<Vec<Room>> = vec![Vec::new(); pool.rack_count()];
        for room in rooms {
            racks[pool.workers[room.worker].rack].push(*room);
        }
        let outlooks = racks.iter().enumerate().filter_map(|(rack, rooms)| {
            let outlook = self.earliest_fit(rooms, need)?;
            Some((rack, outlook))
        });
        outlooks.min_by_key(|(rack, outlook)| (outlook.due_ms, *rack))
    }
}

impl Planner {
    /// Returns what a run that occupies resources will release, and when; `None` for a subtask without an end.
    fn expected_release(&self, now: u64, task: &Task) -> Option<Release> {
        let (key, _) = self.unit_of(task)?;
        let job = self.jobs.get(&task.job)?;
        let step = job.sub.steps.get(key.step as usize)?;
        let unit = job.units.get(&key)?;
        let in_ms = match unit.state {
            UnitState::Placed if step.long_running => return None,
            UnitState::Placed => {
                let estimate = || {
                    let ran_ms = now.saturating_sub(unit.placed_at.unwrap_or(self.created_at));
                    step.estimate_ms.saturating_sub(ran_ms)
                };
                let measured = self.remaining_of_unit(now, &task.job, key, unit);
                measured.map_or_else(estimate, |remaining| remaining.median_ms)
            }
            // Its end is due at any moment.
            UnitState::Ending | UnitState::Waiting | UnitState::Done => self.timing.stop_ms,
        };
        Some(Release { in_ms, resources: step.reserved(), task: task.clone() })
    }
}
