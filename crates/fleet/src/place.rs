//! Placement: which waiting unit goes where.
//!
//! Answers the load of the heaviest days: bursts of urgent narrow gangs, wide gangs with whole workers for each
//! member, and broad steps of single subtasks, all at once on a fleet that is nearly full.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::{Step, Submission};
use crate::planner::{MAX_REPORT_AGE_MS, Planner};
use crate::preempt;
use crate::resources::Resources;
use crate::unit::{UnitKey, UnitState};
use crate::value::{Prospect, Times, earnable, work_core_s};
use crate::worker::Worker;

/// Time for which room that is being vacated is kept for the unit it was vacated for, in milliseconds: a stop, its
/// report, and a lost answer on the way.
const CLAIM_MS: u64 = 2_500;

/// Share of a unit's estimate for which it waits for room near its data or on one rack, in thousandths; away from
/// there it takes several times as long.
const NEAR_WAIT_MILLI: u64 = 1_000;

/// Part of the bound of a guarantee that is kept for storing, orders and a lost answer, in milliseconds.
const RECLAIM_MARGIN_MS: u64 = 900;

/// Share of a service's accelerators that is kept free for urgent jobs while others can wait, in thousandths: a stop
/// takes most of the time that an urgent job has to spare.
const RESERVE_MILLI: i64 = 150;

/// Time since the newest urgent job for which a reserve is kept, in milliseconds: without urgent work there is
/// nothing to keep it for.
const URGENT_WITHIN_MS: u64 = 30_000;

/// Time before its latest start from which a unit may use the reserve, in milliseconds.
const RESERVE_SLACK_MS: u64 = 1_000;

/// Room that is kept for units while it is being vacated.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    by_unit: BTreeMap<(String, UnitKey), Claim>,
}

#[derive(Clone, Debug)]
struct Claim {
    workers: Vec<String>,
    each: Resources,
    /// Whether a guarantee covers the unit; only such a claim holds against another that is covered.
    guaranteed: bool,
    until: u64,
}

impl Claims {
    /// Keeps room on `workers`, one entry a member, for a unit of a candidate's step.
    pub fn insert(
        &mut self,
        candidate: &Candidate,
        key: UnitKey,
        workers: Vec<String>,
        each: Resources,
        now: u64,
    ) {
        let claim = Claim { workers, each, guaranteed: candidate.guaranteed, until: now + CLAIM_MS };
        self.by_unit.insert((candidate.job.clone(), key), claim);
    }

    /// Returns whether a unit has a claim.
    pub fn has(&self, name: &str, key: UnitKey) -> bool {
        self.by_unit.contains_key(&(name.to_owned(), key))
    }

    fn remove(&mut self, name: &str, key: UnitKey) {
        self.by_unit.remove(&(name.to_owned(), key));
    }

    fn expire(&mut self, now: u64, waits: impl Fn(&str, UnitKey) -> bool) {
        self.by_unit.retain(|(name, key), claim| claim.until > now && waits(name, *key));
    }
}

/// A unit that waits, with what its order depends on.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Job of the unit.
    pub job: String,
    /// Place in the job.
    pub key: UnitKey,
    /// Urgency of its queue; 0 comes first.
    pub priority: u32,
    /// Whether a guarantee covers the job, so that it has to begin within a bound.
    pub guaranteed: bool,
    /// What can still be earned.
    pub prospect: Prospect,
    /// Worth of the job when it ends in time.
    pub worth: f64,
    /// Worth that can still be earned, for each core-second of the job.
    pub density: f64,
    /// Latest start that keeps the prospect, on the wall clock in milliseconds.
    pub start_by: u64,
    /// Whether a guarantee's bound is so near that it has to begin now, wherever there is room.
    pub must_begin: bool,
}

/// Room left on the workers that may be used, while a pass goes on.
pub struct Offer<'a> {
    /// Workers by life with the room that is left.
    pub left: BTreeMap<&'a str, (&'a Worker, Resources)>,
}

impl Planner {
    /// Places what waits, the most urgent first, and vacates room for what is worth it.
    pub fn place_all(&mut self, now: u64, wall: u64) {
        let jobs = &self.jobs;
        self.claims.expire(now, |name, key| {
            let unit = jobs.get(name).filter(|job| job.outcome.is_none()).and_then(|job| job.units.get(&key));
            unit.is_some_and(|unit| unit.state == UnitState::Waiting)
        });
        let candidates = self.candidates(now, wall);
        self.want_approvals(now, &candidates);
        for candidate in candidates {
            let (name, key) = (&candidate.job, candidate.key);
            if let Some(lives) = self.find(now, wall, &candidate) {
                self.claims.remove(name, key);
                self.place_unit(now, name, key, &lives);
            } else if !self.claims.has(name, key) {
                preempt::make_room(self, now, wall, &candidate);
            }
        }
    }

    /// Asks for approvals of the steps that need them and have none that can be used.
    fn want_approvals(&mut self, now: u64, candidates: &[Candidate]) {
        for candidate in candidates {
            if self.queue_of(&candidate.job).is_some_and(|queue| queue.needs_approval) {
                let step = (candidate.job.clone(), candidate.key.occurrence, candidate.key.step);
                let any = self.workers.keys().any(|life| self.approvals.usable(&step, life, now).is_some());
                if !any {
                    self.approvals.want(step, now);
                }
            }
        }
    }

    /// Returns the units that wait and whose turn has come, in the order in which they are placed.
    pub fn candidates(&self, now: u64, wall: u64) -> Vec<Candidate> {
        let covered = self.covered_by_guarantees();
        let bound_ms = self.timing.reclaim_ms.saturating_sub(self.timing.stop_ms + RECLAIM_MARGIN_MS);
        let mut candidates = Vec::new();
        for name in &self.live {
            let Some(job) = self.jobs.get(name).filter(|job| job.outcome.is_none()) else { continue };
            let Some(queue) = self.desired.queue(&job.sub.queue) else { continue };
            let work = work_core_s(&job.sub).max(1.0);
            let worth = self.mean_work(&job.sub.queue).worth(queue.priority, work);
            for (key, unit) in &job.units {
                if unit.state != UnitState::Waiting || !job.is_ready(*key, wall) {
                    continue;
                }
                let Some(step) = job.sub.steps.get(key.step as usize) else { continue };
                let times = Times::new(job, queue, *key);
                let prospect = times.prospect(wall);
                let guaranteed = queue.priority == 0 && covered.contains(name.as_str());
                candidates.push(Candidate {
                    job: name.clone(),
                    key: *key,
                    priority: if step.uses_idle_cpu { u32::MAX } else { queue.priority },
                    guaranteed,
                    prospect,
                    worth,
                    density: earnable(worth, prospect) / work,
                    start_by: if prospect == Prospect::InTime { times.in_time } else { times.late },
                    must_begin: guaranteed && now >= unit.since + bound_ms,
                });
            }
        }
        candidates.sort_by(|one, other| {
            let first =
                |c: &Candidate| (!c.guaranteed, c.prospect == Prospect::Worthless, c.priority, c.prospect);
            first(one)
                .cmp(&first(other))
                .then(other.density.total_cmp(&one.density))
                .then(one.start_by.cmp(&other.start_by))
                .then(one.key.cmp(&other.key))
        });
        candidates
    }

    /// Returns the urgent jobs whose account needs no more accelerators for all of them than its guarantee has.
    pub(crate) fn covered_by_guarantees(&self) -> BTreeSet<&str> {
        let mut by_account: BTreeMap<&str, (i64, Vec<&str>)> = BTreeMap::new();
        for name in &self.live {
            let Some(job) = self.jobs.get(name).filter(|job| job.outcome.is_none()) else { continue };
            if self.desired.queue(&job.sub.queue).is_none_or(|queue| queue.priority != 0) {
                continue;
            }
            let account = by_account.entry(&job.sub.account).or_default();
            account.0 += accelerators_at_once(&job.sub);
            account.1.push(name);
        }
        let within = |account: &&str, need: i64| {
            self.desired.accounts.get(*account).is_some_and(|own| need <= own.guaranteed_accelerators)
        };
        let covered = by_account.iter().filter(|(account, (need, _))| within(account, *need));
        covered.flat_map(|(_, (_, names))| names.iter().copied()).collect()
    }

    /// Returns the workers that may take a step of a job now, with the room that no claim of others keeps.
    pub fn offer<'a>(&'a self, now: u64, candidate: &Candidate, step: &Step) -> Offer<'a> {
        let Some(queue) = self.queue_of(&candidate.job) else { return Offer { left: BTreeMap::new() } };
        let approved = (candidate.job.clone(), candidate.key.occurrence, candidate.key.step);
        let mut left: BTreeMap<&str, (&Worker, Resources)> = self
            .workers
            .values()
            .filter(|worker| worker.info.service == queue.service && usable(worker, step, now))
            .filter(|worker| {
                !queue.needs_approval
                    || self.approvals.usable(&approved, &worker.info.incarnation, now).is_some()
            })
            .map(|worker| (worker.info.incarnation.as_str(), (worker, worker.free())))
            .collect();
        for ((name, key), claim) in &self.claims.by_unit {
            let own = name == &candidate.job && *key == candidate.key;
            if own || (candidate.guaranteed && !claim.guaranteed) {
                continue;
            }
            for life in &claim.workers {
                if let Some((_, room)) = left.get_mut(life.as_str()) {
                    *room -= claim.each;
                }
            }
        }
        Offer { left }
    }

    /// Returns a worker for each member of a unit, or nothing while there is no room for all of them.
    fn find(&self, now: u64, wall: u64, candidate: &Candidate) -> Option<Vec<String>> {
        let job = self.jobs.get(&candidate.job)?;
        let step = job.sub.steps.get(candidate.key.step as usize)?;
        let unit = job.units.get(&candidate.key)?;
        if self.leaves_no_reserve(now, wall, candidate, step) {
            return None;
        }
        let mut offer = self.offer(now, candidate, step);
        self.limit_per_worker(&mut offer, candidate, step);
        let patience = step.estimate_ms * NEAR_WAIT_MILLI / 1_000;
        let patient = now < unit.since + patience;
        if unit.failed_on.len() > 1 || (!unit.failed_on.is_empty() && !step.gang) {
            let others = offer.left.keys().any(|life| !unit.failed_on.iter().any(|failed| failed == life));
            if others {
                offer.left.retain(|life, _| !unit.failed_on.iter().any(|failed| failed == life));
            }
        }
        match step.gang {
            true => find_gang(&offer, step, patient, candidate.must_begin),
            false => find_single(&offer, step, patient),
        }
    }

    /// Returns whether a unit that can still wait would take accelerators that are kept free for urgent jobs.
    pub(crate) fn leaves_no_reserve(&self, now: u64, wall: u64, candidate: &Candidate, step: &Step) -> bool {
        let urgent = self.last_urgent_at.is_some_and(|at| now <= at + URGENT_WITHIN_MS);
        if !urgent || candidate.priority == 0 || wall + RESERVE_SLACK_MS >= candidate.start_by {
            return false;
        }
        let Some(queue) = self.queue_of(&candidate.job) else { return false };
        let workers = || self.workers.values().filter(|worker| worker.info.service == queue.service);
        let all: i64 = workers().map(|worker| worker.info.capacity.accelerators).sum();
        let free = workers().filter(|worker| usable(worker, &Step::default(), now));
        let free: i64 = free.map(|worker| worker.free().accelerators.max(0)).sum();
        let members = if step.gang { i64::from(step.count) } else { 1 };
        free - step.reserved().accelerators * members < all * RESERVE_MILLI / 1_000
    }

    /// Leaves only room for as many more subtasks of a step as its limit per worker allows.
    fn limit_per_worker(&self, offer: &mut Offer<'_>, candidate: &Candidate, step: &Step) {
        let Some(most) = step.max_per_worker else { return };
        let (occurrence, number) = (candidate.key.occurrence, candidate.key.step);
        offer.left.retain(|_, (worker, _)| {
            let same = worker.placed.iter().filter(|(task, _)| {
                task.job == candidate.job && task.occurrence == occurrence && task.step == number
            });
            (same.count() as u32) < most
        });
    }
}

/// Returns the accelerators that the widest step of a job takes.
pub fn accelerators_at_once(sub: &Submission) -> i64 {
    sub.steps.iter().map(|step| step.resources.accelerators * i64::from(step.count)).max().unwrap_or(0)
}

/// Returns whether a worker may take new work of a step at all.
pub fn usable(worker: &Worker, step: &Step, now: u64) -> bool {
    !worker.info.draining
        && worker.ejected_until <= now
        && worker.last_report_at + MAX_REPORT_AGE_MS >= now
        && step.label.as_deref().is_none_or(|label| worker.has_label(label))
}

fn find_single(offer: &Offer<'_>, step: &Step, patient: bool) -> Option<Vec<String>> {
    let need = step.reserved();
    let fits = offer.left.iter().filter(|(_, (_, room))| room.can_fit(&need));
    let near = |worker: &Worker| step.preferred_rack.as_deref().is_none_or(|rack| worker.has_label(rack));
    let best = fits.min_by_key(|(_, (worker, room))| (!near(worker), left_over(room, &need, worker)))?;
    // Only a rack with workers of its own is worth waiting for.
    let near_exists = offer.left.values().any(|(worker, _)| near(worker));
    if patient && near_exists && !near(best.1.0) {
        return None;
    }
    Some(vec![(*best.0).to_owned()])
}

/// Returns the room that would be left, accelerators first: the tightest fit keeps whole workers whole.
fn left_over(room: &Resources, need: &Resources, worker: &Worker) -> (i64, i64) {
    let mut rest = *room;
    rest -= *need;
    let idle = i64::from(worker.used == Resources::default());
    match need.accelerators {
        0 => (rest.accelerators + idle, rest.millicores),
        _ => (rest.accelerators, rest.millicores),
    }
}

fn find_gang(offer: &Offer<'_>, step: &Step, patient: bool, must_begin: bool) -> Option<Vec<String>> {
    let mut racks: BTreeMap<&str, Vec<(&Worker, Resources)>> = BTreeMap::new();
    for (worker, room) in offer.left.values() {
        racks.entry(worker.rack()).or_default().push((worker, *room));
    }
    let near = |rack: &str| step.preferred_rack.as_deref().is_none_or(|wanted| wanted == rack);
    let within = racks.iter().filter_map(|(rack, workers)| {
        let lives = fill(workers, step)?;
        let rest: i64 = workers.iter().map(|(_, room)| room.accelerators).sum();
        Some(((!near(rack), rest), lives))
    });
    if let Some((_, lives)) = within.min_by_key(|(order, _)| *order) {
        return Some(lives);
    }
    let possible = |workers: &Vec<(&Worker, Resources)>| {
        let empty: Vec<_> = workers.iter().map(|(worker, _)| (*worker, worker.info.capacity)).collect();
        fill(&empty, step).is_some()
    };
    if step.prefers_one_rack && !must_begin && (patient || racks.values().any(possible)) {
        return None;
    }
    let all: Vec<(&Worker, Resources)> = offer.left.values().copied().collect();
    fill(&all, step)
}

/// Returns a worker for each member of a gang, the tightest fits first, or nothing if they don't all fit.
pub fn fill(workers: &[(&Worker, Resources)], step: &Step) -> Option<Vec<String>> {
    let need = step.reserved();
    let most = step.max_per_worker.map_or(i64::MAX, i64::from);
    let mut order: Vec<_> = workers.iter().filter(|(_, room)| room.can_fit(&need)).collect();
    order.sort_by_key(|(worker, room)| (room.accelerators, room.millicores, worker.info.incarnation.clone()));
    let mut lives = Vec::new();
    for (worker, room) in order {
        let wanted = i64::from(step.count) - lives.len() as i64;
        let here = room.copies_of(&need).min(most).min(wanted);
        lives.extend((0..here).map(|_| worker.info.incarnation.clone()));
    }
    (lives.len() == step.count as usize).then_some(lives)
}
