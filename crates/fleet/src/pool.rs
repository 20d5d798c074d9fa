//! The workers as one placement pass sees them, and which of them have room for a step.
//!
//! Designed for hundreds of workers and long queues: a pass tries many units on the same workers, so it reads the
//! workers once and then applies its own placements and claims.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::Step;
use crate::planner::MAX_REPORT_AGE_MS;
use crate::resources::Resources;
use crate::unit::UnitKey;
use crate::worker::Worker;

/// Jobs with runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Occupants {
    Nobody,
    Job(String),
    Several,
}

impl Occupants {
    fn add(&mut self, job: &str) {
        match self {
            Self::Nobody => *self = Self::Job(job.to_owned()),
            Self::Job(known) if known != job => *self = Self::Several,
            Self::Job(_) | Self::Several => (),
        }
    }
}

/// Resources of a worker that are kept for a unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    pub job: String,
    pub key: UnitKey,
    /// When the unit is expected to start, on the monotonic clock.
    pub due_at: u64,
    /// What is left for runs that end later; negative where runs that are there already end later.
    pub spare: Resources,
}

/// A worker during a pass.
#[derive(Clone, Debug)]
pub struct PoolWorker {
    pub incarnation: String,
    pub service: String,
    pub labels: Vec<String>,
    /// Index of its rack in the order of the racks' names.
    pub rack: usize,
    pub capacity: Resources,
    /// Measured speed, in thousandths of the fleet's mean.
    pub speed_milli: u64,
    /// Capacity that no run uses; negative amounts mean overcommitment.
    pub free: Resources,
    /// Whether nothing is placed on it.
    pub is_idle: bool,
    occupants: Occupants,
    /// Job that runs here apart from others.
    isolated_for: Option<String>,
    /// Whether runs may be placed on it.
    pub is_usable: bool,
    /// Whether they may but for failed runs there.
    pub is_ejected: bool,
    /// What is kept for a wide unit.
    pub held: Option<Held>,
    /// Resources that waiting units claim.
    claimed: Resources,
    /// The part of it that guaranteed units claim.
    claimed_by_guaranteed: Resources,
}

impl PoolWorker {
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }

    /// Returns whether a step may be placed on it, apart from free resources.
    pub fn accepts(&self, step: &Step) -> bool {
        self.is_usable && self.suits(step)
    }

    /// Returns whether it has the label that a step requires.
    pub fn suits(&self, step: &Step) -> bool {
        step.label.as_deref().is_none_or(|label| self.has_label(label))
    }

    /// Returns whether a job may run on it beside what runs there.
    pub fn admits(&self, job: &str) -> bool {
        self.isolated_for.as_deref().is_none_or(|isolated| isolated == job)
    }

    /// Returns whether nothing but runs of a job are on it.
    pub fn has_no_other_job(&self, job: &str) -> bool {
        match &self.occupants {
            Occupants::Nobody => true,
            Occupants::Job(occupant) => occupant == job,
            Occupants::Several => false,
        }
    }

    /// Returns whether a waiting unit claims any of its resources.
    pub fn is_claimed(&self) -> bool {
        self.claimed != Resources::default()
    }

    /// Returns the resources that no run uses and no other unit claims.
    pub fn unclaimed(&self, is_guaranteed: bool) -> Resources {
        let mut free = self.free;
        free -= if is_guaranteed { self.claimed_by_guaranteed } else { self.claimed };
        free
    }
}

/// Capacity of a service, and what runs use of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub capacity: Resources,
    pub used: Resources,
}

impl Usage {
    /// Returns whether less than half of the CPU and accelerators is in use, by their weight in costs. Memory doesn't count:
    /// a unit that is short of it fits nowhere in any case.
    pub fn is_half_idle(&self) -> bool {
        self.used.weight() < self.capacity.weight() - self.used.weight()
    }

    /// Returns whether less than half of each resource is in use.
    pub fn is_half_idle_throughout(&self) -> bool {
        const HALF_MILLI: i64 = 500;
        self.used.share_of(&self.capacity) < HALF_MILLI
    }
}

/// All known workers during a pass, in the order of their incarnations' names.
#[derive(Clone, Debug)]
pub struct Pool {
    pub workers: Vec<PoolWorker>,
    racks: Vec<String>,
    by_incarnation: BTreeMap<String, usize>,
    /// By service.
    usage: BTreeMap<String, Usage>,
}

impl Pool {
    /// Reads the workers. Nothing may be placed on those in the failure domains `evacuated`, and nothing of other jobs
    /// on those in `isolated`.
    pub fn new(
        workers: &BTreeMap<String, Worker>,
        evacuated: &BTreeSet<String>,
        isolated: &BTreeMap<&str, &str>,
        speed_milli: impl Fn(&str) -> u64,
        now: u64,
    ) -> Self {
        let names: BTreeSet<&str> = workers.values().map(Worker::rack).collect();
        let racks: Vec<String> = names.into_iter().map(str::to_owned).collect();
        let pool_worker = |worker: &Worker| PoolWorker {
            incarnation: worker.info.incarnation.clone(),
            service: worker.info.service.clone(),
            labels: worker.info.labels.clone(),
            rack: racks.binary_search_by(|rack| rack.as_str().cmp(worker.rack())).unwrap_or_default(),
            capacity: worker.info.capacity,
            speed_milli: speed_milli(&worker.info.incarnation),
            free: worker.free(),
            is_idle: worker.used == Resources::default(),
            occupants: occupants(worker),
            isolated_for: isolated.get(worker.info.incarnation.as_str()).map(|job| (*job).to_owned()),
            is_usable: is_usable(worker, now) && !evacuated.contains(&worker.info.domain),
            is_ejected: is_ejected(worker, now) && !evacuated.contains(&worker.info.domain),
            held: None,
            claimed: Resources::default(),
            claimed_by_guaranteed: Resources::default(),
        };
        let by_incarnation = workers.keys().cloned().zip(0..).collect();
        let mut usage: BTreeMap<String, Usage> = BTreeMap::new();
        for worker in workers.values() {
            let usage = usage.entry(worker.info.service.clone()).or_default();
            usage.capacity += worker.info.capacity;
            usage.used += worker.used;
        }
        Self { workers: workers.values().map(pool_worker).collect(), racks, by_incarnation, usage }
    }

    /// Returns the capacity of a service's known workers and what their runs use of it.
    pub fn usage(&self, service: &str) -> Usage {
        self.usage.get(service).copied().unwrap_or_default()
    }

    pub fn index_of(&self, incarnation: &str) -> Option<usize> {
        self.by_incarnation.get(incarnation).copied()
    }

    pub fn rack_count(&self) -> usize {
        self.racks.len()
    }

    pub fn rack_name(&self, rack: usize) -> &str {
        &self.racks[rack]
    }

    /// Returns the names of workers given by their indices.
    pub fn incarnations(&self, workers: &[usize]) -> Vec<String> {
        workers.iter().map(|worker| self.workers[*worker].incarnation.clone()).collect()
    }

    /// Reserves resources on each of the given workers for a member of a job's unit that is placed there.
    pub fn place(&mut self, workers: &[usize], per_member: Resources, job: &str, is_isolated: bool) {
        for worker in workers {
            let worker = &mut self.workers[*worker];
            worker.free -= per_member;
            if let Some(usage) = self.usage.get_mut(&worker.service) {
                usage.used += per_member;
            }
            if let Some(held) = &mut worker.held {
                held.spare -= per_member;
            }
            worker.is_idle = false;
            worker.occupants.add(job);
            if is_isolated {
                worker.isolated_for = Some(job.to_owned());
            }
        }
    }

    /// Adds a claim of `per_member` for every entry of `workers`.
    pub fn claim(&mut self, workers: &[String], per_member: Resources, is_guaranteed: bool) {
        self.change_claims(workers, is_guaranteed, |claimed| *claimed += per_member);
    }

    /// Removes a claim that was added before.
    pub fn unclaim(&mut self, workers: &[String], per_member: Resources, is_guaranteed: bool) {
        self.change_claims(workers, is_guaranteed, |claimed| *claimed -= per_member);
    }

    fn change_claims(&mut self, workers: &[String], is_guaranteed: bool, change: impl Fn(&mut Resources)) {
        for incarnation in workers {
            let Some(index) = self.index_of(incarnation) else { continue };
            change(&mut self.workers[index].claimed);
            if is_guaranteed {
                change(&mut self.workers[index].claimed_by_guaranteed);
            }
        }
    }
}

fn occupants(worker: &Worker) -> Occupants {
    let mut occupants = Occupants::Nobody;
    let runs = worker.placed.iter().chain(worker.running.keys());
    runs.for_each(|(task, _)| occupants.add(&task.job));
    occupants
}

/// Returns whether runs may be placed on a worker.
pub fn is_usable(worker: &Worker, now: u64) -> bool {
    is_available(worker, now) && worker.ejected_until <= now
}

/// Returns whether only failed runs keep others from being placed on a worker.
fn is_ejected(worker: &Worker, now: u64) -> bool {
    is_available(worker, now) && worker.ejected_until > now
}

fn is_available(worker: &Worker, now: u64) -> bool {
    !worker.info.draining && worker.last_report_at + MAX_REPORT_AGE_MS >= now
}

/// Resources that one unit may use on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Index of the worker in the pool.
    pub worker: usize,
    pub free: Resources,
    /// Order of preference by the worker's speed, the best first.
    pub rank: u8,
}

/// Number and size of the members that need room at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    pub per_member: Resources,
    pub members: i64,
    pub max_per_worker: i64,
}

impl Need {
    /// Returns the need of `members` subtasks of a step.
    pub fn new(step: &Step, members: u32) -> Self {
        Self {
            per_member: step.reserved(),
            members: i64::from(members),
            max_per_worker: step.max_per_worker.map_or(i64::MAX, i64::from),
        }
    }

    /// Returns how many members fit into `free` on one worker.
    pub fn members_in(&self, free: &Resources) -> i64 {
        free.copies_of(&self.per_member).min(self.max_per_worker).min(self.members)
    }

    /// Returns how many members fit, up to twice as many as there are.
    pub fn fitting(&self, rooms: &[Room]) -> i64 {
        let enough = 2 * self.members;
        let members_in =
            |room: &Room| room.free.copies_of(&self.per_member).min(self.max_per_worker).min(enough);
        rooms.iter().map(members_in).sum::<i64>().min(enough)
    }

    /// Returns whether all members fit.
    pub fn fits(&self, rooms: &[Room]) -> bool {
        let mut missing = self.members;
        for room in rooms {
            missing -= self.members_in(&room.free);
            if missing <= 0 {
                return true;
            }
        }
        missing <= 0
    }

    /// Returns the sum of the ranks of the workers that [`Self::assign`] chooses.
    pub fn rank_of_assigned(&self, rooms: &[Room]) -> u64 {
        let mut by_rank: BTreeMap<u8, i64> = BTreeMap::new();
        for room in rooms {
            *by_rank.entry(room.rank).or_default() += self.members_in(&room.free);
        }
        let mut missing = self.members;
        let mut sum = 0;
        for (rank, members) in by_rank {
            let chosen = members.min(missing);
            missing -= chosen;
            sum += u64::from(rank) * chosen as u64;
        }
        sum
    }

    /// Returns the index of a worker for each member, by rank and then the tightest fits first; `None` if they don't all fit.
    pub fn assign(&self, rooms: &[Room]) -> Option<Vec<usize>> {
        if !self.fits(rooms) {
            return None;
        }
        let mut order: Vec<&Room> = rooms.iter().filter(|room| room.free.can_fit(&self.per_member)).collect();
        order.sort_by_key(|room| (room.rank, room.free.accelerators, room.free.millicores, room.worker));
        let mut workers = Vec::new();
        for room in order {
            let missing = self.members - workers.len() as i64;
            let copies = self.members_in(&room.free).min(missing);
            workers.extend((0..copies).map(|_| room.worker));
        }
        Some(workers)
    }
}
