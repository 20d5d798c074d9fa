//! For how long a unit waits for a better placement than the one it could have.
//!
//! Designed for wide gangs beside narrow work: each preference delays a unit, and none may delay it for longer than it gains.

use crate::job::Step;
use crate::pass::Pass;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::{Need, Pool, PoolWorker, Room};
use crate::reserve::UrgentArrivals;
use crate::unit::Unit;
use crate::value::Timeliness;

/// Time for which a unit waits for a better placement while half of its service is idle, in milliseconds: the platform's
/// bound of 3 s for a start beside idle workers, less the time to store and deliver the placement.
pub const IDLE_WAIT_MS: u64 = 2_200;

/// Time for which a unit waits for the reserve while half of its service is idle, in milliseconds.
const IDLE_RESERVE_WAIT_MS: u64 = 1_500;

/// Time without urgent jobs after which the reserve waits no longer for more of the same burst, in milliseconds.
const URGENT_PAUSE_MS: u64 = 5_000;

/// Time before its latest start from which a unit that is not urgent may use the reserve.
const RESERVE_ACCESS_LEAD_MS: u64 = 1_000;

impl Planner {
    /// Returns whether a unit has waited for so long beside free workers that no better placement is worth more waiting.
    pub(crate) fn takes_any_placement(
        &self,
        pass: &Pass,
        candidate: &Candidate,
        step: &Step,
        rooms: &[Room],
    ) -> bool {
        let need = Need::new(step, if step.gang { step.count } else { 1 });
        self.has_waited_beside_idle_workers(&pass.pool, pass.now, candidate, step)
            && need.fitting(rooms) >= 2 * need.members
    }

    /// Returns whether a unit has waited for long on a service that is half idle. A subtask without an end serves from its
    /// start on, so it waits for nothing better however full the service is.
    pub(crate) fn has_waited_beside_idle_workers(
        &self,
        pool: &Pool,
        now: u64,
        candidate: &Candidate,
        step: &Step,
    ) -> bool {
        let unit = self.jobs.get(&candidate.job).and_then(|job| job.units.get(&candidate.key));
        let has_waited = unit.is_some_and(|unit| now >= unit.since + IDLE_WAIT_MS);
        let is_half_idle = || {
            let queue = self.queue_of(&candidate.job);
            queue.is_some_and(|queue| pool.usage(&queue.service).is_half_idle())
        };
        has_waited && (step.long_running || is_half_idle())
    }

    /// Returns how much longer a gang that prefers one rack takes on several, in milliseconds.
    pub(crate) fn spread_cost_ms(&self, step: &Step) -> u64 {
        step.estimate_ms.saturating_mul(self.timing.remote_factor_milli.saturating_sub(1_000)) / 1_000
    }

    /// Returns whether a gang that fits on several racks is done sooner on one that has room later. Expected ends are
    /// often exceeded, so it never waits for longer than running on several racks costs. An urgent job that would be late
    /// on several waits while it can be in time: runs are stopped for it before its latest start.
    pub(crate) fn is_rack_worth_waiting(
        &self,
        pass: &Pass,
        candidate: &Candidate,
        (step, unit): (&Step, &Unit),
        rooms: &[Room],
    ) -> bool {
        let spread_cost_ms = self.spread_cost_ms(step);
        if candidate.priority == 0 && candidate.timeliness == Timeliness::InTime {
            let timing = candidate.timing;
            let spread_ms = timing.remaining_ms.saturating_add(spread_cost_ms);
            if timing.age_ms.saturating_add(spread_ms) > timing.target_ms {
                return true;
            }
        }
        let left_ms = spread_cost_ms.saturating_sub(pass.now.saturating_sub(unit.since));
        if left_ms == 0 {
            return false;
        }
        let nearest = pass.releases(self).earliest_rack(&pass.pool, rooms, &Need::new(step, step.count));
        nearest.is_some_and(|(_, outlook)| outlook.due_ms < left_ms)
    }

    /// Returns whether a unit that can still wait would use accelerators that are reserved for urgent jobs.
    pub(crate) fn would_use_reserve(&self, pass: &Pass, candidate: &Candidate, step: &Step) -> bool {
        if candidate.priority == 0 || pass.wall + RESERVE_ACCESS_LEAD_MS >= candidate.latest_start {
            return false;
        }
        let Some(queue) = self.queue_of(&candidate.job) else { return false };
        let Some(arrivals) = self.urgent_arrivals.get(&queue.service) else { return false };
        if self.holds.is_due(&queue.service, &candidate.job, candidate.key, pass.now) {
            return false;
        }
        if self.may_use_idle_reserve(pass, candidate, step, arrivals) {
            return false;
        }
        let classes = self.speed_classes_of(queue);
        let suits = |worker: &&PoolWorker| {
            worker.service == queue.service
                && classes.is_none_or(|classes| classes.suits_urgent(worker.speed_milli))
        };
        let workers = || pass.pool.workers.iter().filter(suits);
        let all: i64 = workers().map(|worker| worker.capacity.accelerators).sum();
        let usable = workers().filter(|worker| worker.is_usable);
        let free: i64 = usable.map(|worker| worker.free.accelerators.max(0)).sum();
        let members = if step.gang { i64::from(step.count) } else { 1 };
        let reserve = match candidate.has_waited_long(pass.wall) {
            true => arrivals.min_reserve(pass.now, all),
            false => arrivals.reserve(pass.now, all),
        };
        free - step.reserved().accelerators * members < reserve
    }

    /// Returns whether a unit has waited for long enough to use the reserve of an idle service. While urgent jobs arrive,
    /// the accelerators that the reserve consists of have to be idle.
    fn may_use_idle_reserve(
        &self,
        pass: &Pass,
        candidate: &Candidate,
        step: &Step,
        arrivals: &UrgentArrivals,
    ) -> bool {
        let unit = self.jobs.get(&candidate.job).and_then(|job| job.units.get(&candidate.key));
        let Some(queue) = self.queue_of(&candidate.job) else { return false };
        if unit.is_none_or(|unit| pass.now < unit.since + IDLE_RESERVE_WAIT_MS) {
            return false;
        }
        let usage = pass.pool.usage(&queue.service);
        if usage.used.accelerators < usage.capacity.accelerators - usage.used.accelerators {
            return true;
        }
        let is_open =
            step.long_running || (usage.is_half_idle() && !arrivals.is_any_within(pass.now, URGENT_PAUSE_MS));
        is_open && {
            let rooms = self.available_rooms(&pass.pool, pass.now, candidate, step);
            self.takes_any_placement(pass, candidate, step, &rooms)
        }
    }
}
