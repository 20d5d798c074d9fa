//! Placement: selects workers for waiting units.
//!
//! Designed for peak load: bursts of urgent narrow gangs, wide gangs whose members each need a whole worker, and
//! steps of many single subtasks, all at the same time on a fleet that is nearly full.

use std::collections::{BTreeMap, BTreeSet};

use crate::admit;
use crate::choose::{Result, can_ever_fit, find_worker_for_subtask, find_workers_for_gang};
use crate::desired::Queue;
use crate::job::{Job, Step, Submission};
use crate::overload::{FairShares, Rank, Share};
use crate::pass::Pass;
use crate::patience::IDLE_WAIT_MS;
use crate::planner::Planner;
use crate::pool::Room;
use crate::preempt;
use crate::resources::Resources;
use crate::rooms::Search;
use crate::timing::JobTiming;
use crate::unit::{Unit, UnitKey, UnitState};
use crate::value::{LatestStarts, Timeliness, attainable_value, estimated_work_core_s};
use crate::wait::WaitReason;

/// Share of a unit's estimate for which it waits for resources on its preferred rack or within a single rack, in
/// thousandths. Elsewhere it takes several times as long.
const LOCALITY_WAIT_MILLI: u64 = 1_000;

/// Part of a guarantee's bound that is left for storing the placement, delivering the assignments, and one lost
/// reply.
const GUARANTEE_MARGIN_MS: u64 = 900;

/// Time for which a unit waits for workers on which it has not failed, in milliseconds.
const MAX_AVOIDANCE_MS: u64 = 15_000;

/// A waiting unit with the values that determine its rank.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub job: String,
    pub key: UnitKey,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Whether a guarantee covers the job, which then has to start within a bound.
    pub guaranteed: bool,
    /// Timeliness of the job if the unit starts now.
    pub timeliness: Timeliness,
    /// Part of its account's fair share that the unit falls into.
    pub share: Share,
    /// Value of the job if it ends in time.
    pub value: f64,
    /// Value that the job can still attain, per core-second of its work.
    pub value_density: f64,
    /// Latest start that preserves the timeliness, in milliseconds since 1970.
    pub latest_start: u64,
    /// Estimated times of its job.
    pub timing: JobTiming,
    /// Whether the guarantee's bound is so near that the unit has to start now, on any rack.
    pub must_start: bool,
}

impl Candidate {
    /// Returns the position in the order of placement.
    pub fn rank(&self) -> Rank {
        Rank {
            guaranteed: self.guaranteed,
            timeliness: self.timeliness,
            priority: self.priority,
            share: self.share,
            value_density: self.value_density,
            latest_start: self.latest_start,
        }
    }

    /// Returns whether a quarter of the time in which it has to start is over. Estimates are off, so a unit that
    /// waits for longer may end too late.
    pub(crate) fn has_waited_long(&self, wall: u64) -> bool {
        let ready_at = wall.saturating_sub(self.timing.age_ms);
        4 * self.timing.age_ms >= self.latest_start.saturating_sub(ready_at)
    }
}

impl Planner {
    /// Places waiting units in order of rank, and preempts others for a unit that doesn't fit if that gains more value
    /// than it costs.
    pub fn place_waiting_units(&mut self, now: u64, wall: u64) {
        let jobs = &self.jobs;
        self.claims.expire(now, |name, key| {
            let unit = jobs.get(name).filter(|job| job.outcome.is_none()).and_then(|job| job.units.get(&key));
            unit.is_some_and(|unit| unit.state == UnitState::Waiting)
        });
        self.longest_wait_ms = 0;
        let candidates = self.candidates(now, wall);
        self.request_approvals(now, &candidates);
        if candidates.is_empty() {
            return;
        }
        let mut pass = Pass::new(self, now, wall);
        self.renew_holds(&mut pass, &candidates);
        for candidate in &candidates {
            let (name, key) = (&candidate.job, candidate.key);
            match self.find_workers(&mut pass, candidate) {
                Ok(workers) => self.place_on(&mut pass, candidate, &workers),
                Err(reason) => {
                    if !self.claims.contains(name, key) {
                        match reason {
                            WaitReason::Isolation => self.claim_empty_workers(&mut pass, candidate),
                            _ => preempt::preempt_for(self, &mut pass, candidate),
                        }
                    }
                    self.record_wait(&mut pass, candidate, reason);
                }
            }
        }
    }

    /// Places a candidate's unit on the workers with the given indices, one for each member.
    fn place_on(&mut self, pass: &mut Pass, candidate: &Candidate, workers: &[usize]) {
        let (name, key) = (&candidate.job, candidate.key);
        self.claims.remove(&mut pass.pool, name, key);
        let job = self.jobs.get(name);
        let reserved = job.and_then(|job| job.sub.steps.get(key.step as usize)).map(Step::reserved);
        let is_isolated = job.and_then(|job| job.units.get(&key)).is_some_and(Unit::must_run_alone);
        pass.pool.place(workers, reserved.unwrap_or_default(), name, is_isolated);
        if let Some(service) = self.queue_of(name).map(|queue| queue.service.clone()) {
            self.holds.remove(&service, name, key);
        }
        self.place_unit(pass.now, name, key, &pass.pool.incarnations(workers));
    }

    /// Records why a unit waits, and logs it once with what holds the accelerators of its service.
    fn record_wait(&mut self, pass: &mut Pass, candidate: &Candidate, reason: WaitReason) {
        let (name, key) = (&candidate.job, candidate.key);
        let is_freed = reason != WaitReason::Isolation && self.claims.contains(name, key);
        let reason = if is_freed { WaitReason::Stops } else { reason };
        let Some(unit) = self.jobs.get_mut(name).and_then(|job| job.units.get_mut(&key)) else { return };
        self.longest_wait_ms = self.longest_wait_ms.max(pass.now.saturating_sub(unit.since));
        if !unit.waits.record(pass.now, reason) {
            self.log_long_wait(pass, candidate, reason);
            return;
        }
        let Some(service) = self.queue_of(name).map(|queue| queue.service.clone()) else { return };
        let (free, held) = pass.accelerators(self, &service);
        self.log_line(format!(
            "event=waiting job={name} task={} why={reason} free_accelerators={free} held=\"{held}\"",
            key.task(name, 0),
        ));
    }

    /// Returns the waiting units whose dependencies are done and whose occurrence is due, in order of placement.
    pub fn candidates(&self, now: u64, wall: u64) -> Vec<Candidate> {
        let mut candidates = self.unranked_candidates(now, wall);
        sort_by_rank(&mut candidates);
        if self.rank_by_account(&mut candidates) {
            sort_by_rank(&mut candidates);
        }
        candidates
    }

    /// Sets the share of the candidates of full services, given in order of rank; returns whether there are any.
    fn rank_by_account(&self, candidates: &mut [Candidate]) -> bool {
        let account_of = |candidate: &Candidate| self.jobs.get(&candidate.job).map(|job| &job.sub.account);
        let first = candidates.first().map(account_of);
        if candidates.iter().all(|candidate| Some(account_of(candidate)) == first) {
            return false;
        }
        let mut is_changed = false;
        for (service, demand) in admit::demands(self, candidates) {
            let Some(fair) = FairShares::new(&demand, &self.capacity_of(service)) else { continue };
            let shared: Vec<(usize, &str, Resources)> = candidates
                .iter()
                .enumerate()
                .filter(|(_, candidate)| !candidate.guaranteed && candidate.timeliness != Timeliness::Missed)
                .filter_map(|(at, candidate)| {
                    let job = self.jobs.get(&candidate.job)?;
                    let step = job.sub.steps.get(candidate.key.step as usize)?;
                    let queue = job.queue()?;
                    let need = admit::unit_need(step);
                    (queue.service == service).then_some((at, job.sub.account.as_str(), need))
                })
                .collect();
            let shares = fair.classify(shared.iter().map(|(_, account, need)| (*account, *need)));
            for ((at, _, _), share) in shared.into_iter().zip(shares) {
                candidates[at].share = share;
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns the waiting units whose dependencies are done and whose occurrence is due.
    pub(crate) fn unranked_candidates(&self, now: u64, wall: u64) -> Vec<Candidate> {
        let covered = self.jobs_within_guarantees();
        let start_within_ms =
            self.timing.reclaim_ms.saturating_sub(self.timing.stop_ms + GUARANTEE_MARGIN_MS);
        let mut candidates = Vec::new();
        for name in &self.live {
            let Some(job) = self.jobs.get(name).filter(|job| job.outcome.is_none()) else { continue };
            let Some(queue) = job.queue() else { continue };
            let guaranteed = queue.priority == 0 && covered.contains(name.as_str());
            // The units of a step of an occurrence follow each other and share everything but their age.
            let mut shared: Option<(UnitKey, Option<Candidate>)> = None;
            for (key, unit) in job.units.iter().filter(|(_, unit)| unit.state == UnitState::Waiting) {
                let is_same_step = |(other, _): &(UnitKey, Option<Candidate>)| {
                    (other.occurrence, other.step) == (key.occurrence, key.step)
                };
                if !shared.as_ref().is_some_and(is_same_step) {
                    shared = Some((*key, self.step_candidate(job, queue, *key, guaranteed, wall)));
                }
                let Some((_, Some(candidate))) = &shared else { continue };
                if unit.is_given_up() {
                    continue;
                }
                let must_start = guaranteed && now >= unit.since + start_within_ms;
                candidates.push(Candidate { key: *key, must_start, ..candidate.clone() });
            }
        }
        candidates
    }

    /// Returns what the waiting units of a step have in common; `None` if they can't start yet.
    fn step_candidate(
        &self,
        job: &Job,
        queue: &Queue,
        key: UnitKey,
        guaranteed: bool,
        wall: u64,
    ) -> Option<Candidate> {
        if !job.is_ready(key, wall) {
            return None;
        }
        let step = job.sub.steps.get(key.step as usize)?;
        let work = estimated_work_core_s(&job.sub).max(1.0);
        let value = self.mean_work(&job.sub.queue).value(queue.priority, work);
        let urgent_classes = self.speed_classes_of(queue).filter(|_| queue.priority == 0);
        let latest_starts = match urgent_classes {
            // It goes to fast workers first.
            Some(classes) => {
                LatestStarts::with_duration_factor(job, queue, key, classes.duration_factor_milli())
            }
            None => LatestStarts::new(job, queue, key),
        };
        let timeliness = latest_starts.timeliness(wall);
        let ready_ms = job.due_ms(key.occurrence).unwrap_or(job.accepted_ms);
        let timing = JobTiming {
            age_ms: wall.saturating_sub(ready_ms),
            target_ms: job.critical_path_ms() * queue.stretch_milli / 1_000 + queue.full_value_ms,
            remaining_ms: job.critical_path_from_ms(key.step),
        };
        Some(Candidate {
            job: job.sub.job.clone(),
            key,
            priority: admit::priority(queue, step.uses_idle_cpu),
            guaranteed,
            timeliness,
            share: Share::Under,
            value,
            value_density: attainable_value(value, timeliness) / work,
            latest_start: latest_start(&latest_starts, timeliness),
            timing,
            must_start: false,
        })
    }

    /// Returns the urgent jobs of the accounts whose guarantee covers all their urgent jobs together.
    pub(crate) fn jobs_within_guarantees(&self) -> BTreeSet<&str> {
        let mut by_account: BTreeMap<&str, (i64, Vec<&str>)> = BTreeMap::new();
        for name in &self.live {
            let Some(job) = self.jobs.get(name).filter(|job| job.outcome.is_none()) else { continue };
            if job.queue().is_none_or(|queue| queue.priority != 0) {
                continue;
            }
            let account = by_account.entry(&job.sub.account).or_default();
            account.0 += peak_accelerators(&job.sub);
            account.1.push(name);
        }
        let is_covered = |account: &&str, need: i64| {
            self.desired.accounts.get(*account).is_some_and(|own| need <= own.guaranteed_accelerators)
        };
        let covered = by_account.iter().filter(|(account, (need, _))| is_covered(account, *need));
        covered.flat_map(|(_, (_, names))| names.iter().copied()).collect()
    }

    /// Returns the index of a worker for each member of a unit.
    ///
    /// # Errors
    ///
    /// Returns why the unit has to wait: its members don't all fit, or should wait for a better placement.
    fn find_workers(&self, pass: &mut Pass, candidate: &Candidate) -> Result<Vec<usize>> {
        let job = self.jobs.get(&candidate.job);
        let step = job.and_then(|job| job.sub.steps.get(candidate.key.step as usize));
        let unit = job.and_then(|job| job.units.get(&candidate.key));
        let (Some(step), Some(unit)) = (step, unit) else { return Err(WaitReason::Workers) };
        let uses_reserve = self.would_use_reserve(pass, candidate, step);
        let classes = self.queue_of(&candidate.job).and_then(|queue| self.speed_classes_of(queue));
        if uses_reserve && classes.is_none() {
            return Err(WaitReason::Reserve);
        }
        let has_claim = self.claims.contains(&candidate.job, candidate.key);
        if unit.must_run_alone() {
            let found = self.find_rooms(pass, candidate, step, unit, uses_reserve);
            return found.map_err(|_| WaitReason::Isolation);
        }
        let has_waited = pass.now >= unit.since + IDLE_WAIT_MS;
        if !has_claim && pass.is_step_unplaceable(candidate, has_waited) {
            return Err(WaitReason::Resources);
        }
        let found = self.find_rooms(pass, candidate, step, unit, uses_reserve);
        if found == Err(WaitReason::Resources) && !step.gang && !has_claim && unit.failed_on.is_empty() {
            pass.mark_step_unplaceable(candidate, has_waited);
        }
        found
    }

    fn find_rooms(
        &self,
        pass: &Pass,
        candidate: &Candidate,
        step: &Step,
        unit: &Unit,
        uses_reserve: bool,
    ) -> Result<Vec<usize>> {
        let rooms = self.rooms_for(pass, candidate, (step, unit), Search::Usual);
        if rooms.is_empty() && self.queue_of(&candidate.job).is_some_and(|queue| queue.needs_approval) {
            return Err(WaitReason::Approval);
        }
        let found = self.choose_unfailed(pass, candidate, (step, unit), &rooms, uses_reserve);
        let lacks_room = matches!(found, Err(WaitReason::Resources | WaitReason::Workers));
        if lacks_room && self.has_waited_beside_idle_workers(&pass.pool, pass.now, candidate, step) {
            let all = self.rooms_for(pass, candidate, (step, unit), Search::Wide);
            if self.takes_any_placement(pass, candidate, step, &all) {
                return self.choose_unfailed(pass, candidate, (step, unit), &all, uses_reserve);
            }
        }
        found
    }

    /// Returns the index of a worker for each member of a unit, if possible without the workers on which it has failed.
    fn choose_unfailed(
        &self,
        pass: &Pass,
        candidate: &Candidate,
        (step, unit): (&Step, &Unit),
        rooms: &[Room],
        uses_reserve: bool,
    ) -> Result<Vec<usize>> {
        if rooms.is_empty() {
            return Err(WaitReason::Workers);
        }
        let takes_any = self.takes_any_placement(pass, candidate, step, rooms);
        let has_failed = |room: &Room| unit.failed_on.contains(&pass.pool.workers[room.worker].incarnation);
        let others: Vec<Room> = rooms.iter().filter(|room| !has_failed(room)).copied().collect();
        let avoids_failures = (unit.failed_on.len() > 1 || (!unit.failed_on.is_empty() && !step.gang))
            && pass.now < unit.since + MAX_AVOIDANCE_MS
            && can_ever_fit(&pass.pool, &others, step);
        if avoids_failures {
            let found = self.choose_workers(pass, candidate, (step, unit), others, uses_reserve, takes_any);
            if found.is_ok() || !takes_any {
                return found;
            }
        }
        self.choose_workers(pass, candidate, (step, unit), rooms.to_vec(), uses_reserve, takes_any)
    }

    /// Returns the index of a worker for each member of a unit, out of the given rooms.
    fn choose_workers(
        &self,
        pass: &Pass,
        candidate: &Candidate,
        (step, unit): (&Step, &Unit),
        mut rooms: Vec<Room>,
        uses_reserve: bool,
        takes_any: bool,
    ) -> Result<Vec<usize>> {
        let pool = &pass.pool;
        let is_patient = !takes_any && !candidate.must_start;
        let locality_wait_ms = step.estimate_ms * LOCALITY_WAIT_MILLI / 1_000;
        let wait_for_locality = !takes_any && pass.now < unit.since + locality_wait_ms;
        let waits_for_rack =
            |rooms: &[Room]| is_patient && self.is_rack_worth_waiting(pass, candidate, (step, unit), rooms);
        let choose = |rooms: &[Room]| match step.gang {
            true => find_workers_for_gang(pool, rooms, step, waits_for_rack),
            false => find_worker_for_subtask(pool, rooms, step, wait_for_locality),
        };
        let Some(classes) = self.queue_of(&candidate.job).and_then(|queue| self.speed_classes_of(queue))
        else {
            return choose(&rooms);
        };
        let speed = |room: &Room| pool.workers[room.worker].speed_milli;
        if uses_reserve {
            // Workers on which urgent jobs are late are no part of the reserve.
            rooms.retain(|room| !classes.suits_urgent(speed(room)));
            return choose(&rooms).map_err(|_| WaitReason::Reserve);
        }
        if let Some(required) = candidate.timing.required_speed(candidate.timeliness) {
            let sufficient: Vec<Room> =
                rooms.iter().filter(|room| speed(room) >= required).copied().collect();
            if let Ok(workers) = choose(&sufficient) {
                return Ok(workers);
            }
            let may_wait =
                candidate.priority == 0 && candidate.timeliness == Timeliness::InTime && is_patient;
            if may_wait && can_ever_fit(pool, &sufficient, step) {
                return Err(WaitReason::Speed);
            }
        }
        choose(&rooms)
    }
}

/// Returns the latest start that preserves a timeliness, in milliseconds since 1970.
pub(crate) fn latest_start(latest_starts: &LatestStarts, timeliness: Timeliness) -> u64 {
    match timeliness {
        Timeliness::InTime => latest_starts.in_time,
        Timeliness::Late | Timeliness::Missed => latest_starts.late,
    }
}

fn sort_by_rank(candidates: &mut [Candidate]) {
    candidates.sort_by(|one, other| one.rank().compare(&other.rank()).then(one.key.cmp(&other.key)));
}

/// Returns the accelerators that the widest step of a job uses when all its subtasks run at once.
pub fn peak_accelerators(sub: &Submission) -> i64 {
    sub.steps.iter().map(|step| step.resources.accelerators * i64::from(step.count)).max().unwrap_or(0)
}
