//! Admission control: refuses jobs on arrival and tells their callers when to retry.
//!
//! Under overload a job that cannot end while its result has a value is refused when it arrives, so that the caller can
//! go elsewhere, and resources go to jobs that can be served.

use crate::job::{Job, Submission};
use crate::place::peak_accelerators;
use crate::planner::Planner;
use crate::resources::Resources;
use crate::unit::UnitState;

/// Retry-After of a job that needs a larger fleet.
const NEVER_FITS_RETRY_AFTER_MS: u64 = 60_000;

/// The Retry-After header has whole seconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum Retry-After of a forecast; longer forecasts are not reliable.
const MAX_RETRY_AFTER_MS: u64 = 20_000;

/// Share of the fleet's capacity that can be used in practice, in thousandths: gangs leave gaps.
const USABLE_CAPACITY_MILLI: i64 = 750;

/// Refusal of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub reason: String,
    pub retry_after_ms: u64,
}

impl Job {
    /// Returns the estimated duration of the longest chain of dependent steps.
    pub fn critical_path_ms(&self) -> u64 {
        critical_path_ms(&self.sub)
    }

    /// Returns the estimated duration of the longest chain of dependent steps that begins with `step`.
    pub fn critical_path_from_ms(&self, step: u32) -> u64 {
        let steps = &self.sub.steps;
        let own_ms = steps.get(step as usize).map_or(0, |step| step.estimate_ms);
        let next = (0..).zip(steps).filter(|(at, next)| *at > step && next.depends_on.contains(&step));
        own_ms + next.map(|(at, _)| self.critical_path_from_ms(at)).max().unwrap_or(0)
    }
}

/// Returns the estimated duration of the longest chain of dependent steps.
pub fn critical_path_ms(sub: &Submission) -> u64 {
    let mut ends: Vec<u64> = Vec::new();
    for step in &sub.steps {
        let start_ms = step.depends_on.iter().filter_map(|before| ends.get(*before as usize)).max();
        ends.push(start_ms.copied().unwrap_or(0) + step.estimate_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Checks whether a job can be accepted.
///
/// # Errors
///
/// Returns the reason of a refusal and the time after which to retry.
pub fn check_admission(planner: &Planner, now: u64, sub: &Submission) -> Result<(), Refusal> {
    check_fits_fleet(planner, sub)?;
    if sub.schedule.is_some() || sub.steps.iter().any(|step| step.long_running) {
        return Ok(());
    }
    if is_guaranteed(planner, sub) {
        // Others are preempted for it, regardless of the work that is queued.
        return Ok(());
    }
    check_attains_value(planner, now, sub)
}

/// Returns whether a job is urgent and its account's guarantee covers it together with the account's other urgent jobs.
fn is_guaranteed(planner: &Planner, sub: &Submission) -> bool {
    let urgent = |queue: &str| planner.desired.queue(queue).is_some_and(|queue| queue.priority == 0);
    let Some(account) = planner.desired.accounts.get(&sub.account).filter(|_| urgent(&sub.queue)) else {
        return false;
    };
    let jobs = planner.live.iter().filter_map(|name| planner.jobs.get(name));
    let others =
        jobs.filter(|job| job.outcome.is_none() && job.sub.account == sub.account && urgent(&job.sub.queue));
    let others_peak: i64 = others.map(|job| peak_accelerators(&job.sub)).sum();
    others_peak + peak_accelerators(sub) <= account.guaranteed_accelerators
}

/// Checks that each step fits on the known workers when they are empty.
fn check_fits_fleet(planner: &Planner, sub: &Submission) -> Result<(), Refusal> {
    let Some(queue) = planner.desired.queue(&sub.queue) else { return Ok(()) };
    let workers = || planner.workers.values().filter(|worker| worker.info.service == queue.service);
    if workers().next().is_none() {
        // No worker of the service has reported yet; the job may wait for one.
        return Ok(());
    }
    for (at, step) in sub.steps.iter().enumerate() {
        let need = step.reserved();
        let max_per_worker = step.max_per_worker.map_or(i64::MAX, i64::from);
        let allowed = workers().filter(|worker| step.label.as_deref().is_none_or(|l| worker.has_label(l)));
        let slots: i64 =
            allowed.map(|worker| worker.info.capacity.copies_of(&need).min(max_per_worker)).sum();
        let required = if step.gang { i64::from(step.count) } else { 1 };
        if slots < required {
            let reason =
                format!("step {at} needs {required} places of its shape at once, the fleet has {slots}");
            return Err(Refusal { reason, retry_after_ms: NEVER_FITS_RETRY_AFTER_MS });
        }
    }
    Ok(())
}

/// Checks that the job can end before its result loses its value, given the queued work of the same or higher priority.
fn check_attains_value(planner: &Planner, now: u64, sub: &Submission) -> Result<(), Refusal> {
    let Some(queue) = planner.desired.queue(&sub.queue) else { return Ok(()) };
    let capacity = planner.capacity_of(&queue.service);
    let usable_capacity = |all: i64| (all * USABLE_CAPACITY_MILLI / 1_000).max(1);
    // Amount times milliseconds, per resource; the resource with the longest wait decides.
    let mut queued_work = Resources::default();
    for name in &planner.live {
        let Some(job) = planner.jobs.get(name).filter(|job| job.outcome.is_none()) else { continue };
        let other_queue = planner.desired.queue(&job.sub.queue);
        if other_queue.is_none_or(|other| other.service != queue.service || other.priority > queue.priority) {
            continue;
        }
        for (key, unit) in &job.units {
            let Some(step) = job.sub.steps.get(key.step as usize) else { continue };
            let members = if step.gang { i64::from(step.count) } else { 1 };
            let remaining_ms = match unit.state {
                UnitState::Done => continue,
                UnitState::Placed => step.estimate_ms.saturating_sub(now.saturating_sub(unit.since)),
                UnitState::Waiting | UnitState::Ending => step.estimate_ms,
            };
            if !step.long_running {
                queued_work += step.reserved() * members * remaining_ms as i64;
            }
        }
    }
    let wait_ms = [
        (queued_work.millicores, capacity.millicores),
        (queued_work.memory_mb, capacity.memory_mb),
        (queued_work.accelerators, capacity.accelerators),
    ]
    .into_iter()
    .map(|(work, all)| if work == 0 { 0 } else { (work / usable_capacity(all)) as u64 })
    .max()
    .unwrap_or(0);
    let duration_ms = critical_path_ms(sub);
    let target_ms = duration_ms * queue.stretch_milli / 1_000 + queue.full_value_ms;
    let no_value_after_ms = 3 * target_ms;
    if wait_ms + duration_ms <= no_value_after_ms {
        return Ok(());
    }
    let excess_ms = (wait_ms + duration_ms - no_value_after_ms).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let reason = format!("{wait_ms} ms of work ahead, worthless after {no_value_after_ms} ms");
    Err(Refusal { reason, retry_after_ms: excess_ms })
}
