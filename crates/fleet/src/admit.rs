//! Admission: which jobs are refused at once, and when their callers should come back.
//!
//! Answers overload: a job that cannot end while its result is still worth something is refused when it arrives,
//! so that the caller can turn elsewhere, and room goes to jobs that will be served.

use crate::job::{Job, Submission};
use crate::place::accelerators_at_once;
use crate::planner::Planner;
use crate::resources::Resources;
use crate::unit::UnitState;

/// When to come back after a refusal that only a larger fleet would change, in milliseconds.
const NEVER_FITS_RETRY_MS: u64 = 60_000;

/// Shortest Retry-After, in milliseconds: the header has whole seconds.
const LEAST_RETRY_MS: u64 = 1_000;

/// Longest Retry-After of a forecast, in milliseconds; forecasts further ahead say little.
const MOST_RETRY_MS: u64 = 20_000;

/// Share of the fleet that work can fill in practice, in thousandths: gangs leave gaps.
const FILLABLE_MILLI: i64 = 750;

/// A job that is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub why: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
}

impl Job {
    /// Returns the time of the longest chain of steps by their estimates, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        chain_ms(&self.sub)
    }

    /// Returns the time of the longest chain that begins with a step, in milliseconds.
    pub fn chain_from_ms(&self, step: u32) -> u64 {
        let steps = &self.sub.steps;
        let own = steps.get(step as usize).map_or(0, |step| step.estimate_ms);
        let next = (0..).zip(steps).filter(|(at, next)| *at > step && next.depends_on.contains(&step));
        own + next.map(|(at, _)| self.chain_from_ms(at)).max().unwrap_or(0)
    }
}

/// Returns the time of the longest chain of steps by their estimates, in milliseconds.
pub fn chain_ms(sub: &Submission) -> u64 {
    let mut ends: Vec<u64> = Vec::new();
    for step in &sub.steps {
        let begin = step.depends_on.iter().filter_map(|before| ends.get(*before as usize)).max();
        ends.push(begin.copied().unwrap_or(0) + step.estimate_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Returns why a job is refused, if it is.
///
/// # Errors
///
/// Returns the reason, and when to come back.
pub fn admit(planner: &Planner, now: u64, sub: &Submission) -> Result<(), Refusal> {
    fits_at_all(planner, sub)?;
    if sub.schedule.is_some() || sub.steps.iter().any(|step| step.long_running) {
        return Ok(());
    }
    if is_guaranteed(planner, sub) {
        // Room is made for it, however much others have waiting.
        return Ok(());
    }
    in_time(planner, now, sub)
}

/// Returns whether the account's guarantee covers its urgent jobs and this one.
fn is_guaranteed(planner: &Planner, sub: &Submission) -> bool {
    let urgent = |queue: &str| planner.desired.queue(queue).is_some_and(|queue| queue.priority == 0);
    let Some(account) = planner.desired.accounts.get(&sub.account).filter(|_| urgent(&sub.queue)) else {
        return false;
    };
    let jobs = planner.live.iter().filter_map(|name| planner.jobs.get(name));
    let others =
        jobs.filter(|job| job.outcome.is_none() && job.sub.account == sub.account && urgent(&job.sub.queue));
    let held: i64 = others.map(|job| accelerators_at_once(&job.sub)).sum();
    held + accelerators_at_once(sub) <= account.guaranteed_accelerators
}

/// Checks that the fleet as it is known could ever run each step.
fn fits_at_all(planner: &Planner, sub: &Submission) -> Result<(), Refusal> {
    let Some(queue) = planner.desired.queue(&sub.queue) else { return Ok(()) };
    let workers = || planner.workers.values().filter(|worker| worker.info.service == queue.service);
    if workers().next().is_none() {
        // Nothing is known of the fleet yet: the job may wait for it.
        return Ok(());
    }
    for (at, step) in sub.steps.iter().enumerate() {
        let need = step.reserved();
        let most = step.max_per_worker.map_or(i64::MAX, i64::from);
        let allowed = workers().filter(|worker| step.label.as_deref().is_none_or(|l| worker.has_label(l)));
        let slots: i64 = allowed.map(|worker| worker.info.capacity.copies_of(&need).min(most)).sum();
        let wanted = if step.gang { i64::from(step.count) } else { 1 };
        if slots < wanted {
            let why = format!("step {at} needs {wanted} places of its shape at once, the fleet has {slots}");
            return Err(Refusal { why, retry_after_ms: NEVER_FITS_RETRY_MS });
        }
    }
    Ok(())
}

/// Checks that the work ahead leaves the job a chance to end before its result is worth nothing.
fn in_time(planner: &Planner, now: u64, sub: &Submission) -> Result<(), Refusal> {
    let Some(queue) = planner.desired.queue(&sub.queue) else { return Ok(()) };
    let capacity = planner.capacity_of(&queue.service);
    let fillable = |all: i64| (all * FILLABLE_MILLI / 1_000).max(1);
    // Room-milliseconds of work ahead, each resource by itself; the scarcest decides.
    let mut ahead = Resources::default();
    for name in &planner.live {
        let Some(job) = planner.jobs.get(name).filter(|job| job.outcome.is_none()) else { continue };
        let theirs = planner.desired.queue(&job.sub.queue);
        if theirs.is_none_or(|theirs| theirs.service != queue.service || theirs.priority > queue.priority) {
            continue;
        }
        for (key, unit) in &job.units {
            let Some(step) = job.sub.steps.get(key.step as usize) else { continue };
            let members = if step.gang { i64::from(step.count) } else { 1 };
            let rest = match unit.state {
                UnitState::Done => continue,
                UnitState::Placed => step.estimate_ms.saturating_sub(now.saturating_sub(unit.since)),
                UnitState::Waiting | UnitState::Ending => step.estimate_ms,
            };
            if !step.long_running {
                ahead += step.reserved() * members * rest as i64;
            }
        }
    }
    let wait_ms = [
        (ahead.millicores, capacity.millicores),
        (ahead.memory_mb, capacity.memory_mb),
        (ahead.accelerators, capacity.accelerators),
    ]
    .into_iter()
    .map(|(work, all)| if work == 0 { 0 } else { (work / fillable(all)) as u64 })
    .max()
    .unwrap_or(0);
    let chain = chain_ms(sub);
    let target = chain * queue.stretch_milli / 1_000 + queue.full_value_ms;
    let worthless = 3 * target;
    if wait_ms + chain <= worthless {
        return Ok(());
    }
    let excess = (wait_ms + chain - worthless).clamp(LEAST_RETRY_MS, MOST_RETRY_MS);
    let why = format!("{wait_ms} ms of work ahead, worthless after {worthless} ms");
    Err(Refusal { why, retry_after_ms: excess })
}
