//! Admission control: refuses jobs on arrival and tells their callers when to retry.
//!
//! Under overload a job that cannot end while its result has a value is refused when it arrives, so that the caller can
//! go elsewhere, and resources go to jobs that can be served.

use std::collections::{BTreeMap, BTreeSet};

use crate::bounds::MAX_DURATION_MS;
use crate::desired::Queue;
use crate::forecast::run_id;
use crate::job::{Job, Step, Submission};
use crate::overload::{
    self, Cause, Decision, FairShares, Forecast, Rank, Ratio, Request, ServiceDemand, Share, Supply, Work,
};
use crate::place::{Candidate, latest_start, peak_accelerators};
use crate::planner::{MAX_REPORT_AGE_MS, Planner};
use crate::pool::{Need, is_usable};
use crate::resources::Resources;
use crate::unit::{Unit, UnitKey, UnitState};
use crate::value::{LatestStarts, Timeliness, attainable_value, estimated_work_core_s};
use crate::worker::Worker;

/// Retry-After of a job that needs a larger fleet.
const NEVER_FITS_RETRY_AFTER_MS: u64 = 60_000;

/// Refusal of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub cause: Cause,
    /// Reason for the caller.
    pub reason: String,
    /// What decided, as fields of a log line.
    pub inputs: String,
    pub retry_after_ms: u64,
}

impl Job {
    /// Returns the estimated duration of the longest chain of dependent steps.
    pub fn critical_path_ms(&self) -> u64 {
        critical_path_ms(&self.sub)
    }

    /// Returns the estimated duration of the longest chain of dependent steps that begins with `step`, at most
    /// [`MAX_DURATION_MS`].
    pub fn critical_path_from_ms(&self, step: u32) -> u64 {
        let steps = &self.sub.steps;
        let first = step as usize;
        // Longest chain after each step. A step depends on earlier ones only, so backwards each is final when it is read.
        let mut after_ms = vec![0; steps.len()];
        for (at, step) in steps.iter().enumerate().skip(first).rev() {
            let chain_ms = add_durations(after_ms[at], step.estimate_ms);
            for before in step.depends_on.iter().map(|before| *before as usize) {
                if (first..at).contains(&before) {
                    after_ms[before] = chain_ms.max(after_ms[before]);
                }
            }
            after_ms[at] = chain_ms;
        }
        after_ms.get(first).copied().unwrap_or(0)
    }
}

fn add_durations(one_ms: u64, other_ms: u64) -> u64 {
    one_ms.saturating_add(other_ms).min(MAX_DURATION_MS)
}

/// Returns the estimated duration of the longest chain of dependent steps, at most [`MAX_DURATION_MS`].
pub fn critical_path_ms(sub: &Submission) -> u64 {
    let mut ends: Vec<u64> = Vec::new();
    for step in &sub.steps {
        let start_ms = step.depends_on.iter().filter_map(|before| ends.get(*before as usize)).max();
        ends.push(add_durations(start_ms.copied().unwrap_or(0), step.estimate_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Checks whether a job can be accepted in a queue; of an unknown queue nothing can be said.
///
/// # Errors
///
/// Returns the reason of a refusal and the time after which to retry.
pub fn check_admission(
    planner: &Planner,
    now: u64,
    wall: u64,
    sub: &Submission,
    queue: Option<&Queue>,
) -> Result<(), Refusal> {
    check_bounds(sub)?;
    let Some(queue) = queue else { return Ok(()) };
    check_fits_fleet(planner, sub, queue)?;
    if sub.schedule.is_some() || sub.steps.iter().any(|step| step.long_running) {
        return Ok(());
    }
    if is_guaranteed(planner, sub, queue) {
        // Others are preempted for it, regardless of the work that is queued.
        return Ok(());
    }
    check_attains_value(planner, now, wall, sub, queue)
}

/// Checks a job that an entry of another build may have passed on.
fn check_bounds(sub: &Submission) -> Result<(), Refusal> {
    sub.check().map_err(|e| Refusal {
        cause: Cause::NeverFits,
        reason: e.to_string(),
        inputs: format!("cause=\"{e}\""),
        retry_after_ms: NEVER_FITS_RETRY_AFTER_MS,
    })
}

/// Returns whether a job is urgent and its account's guarantee covers it together with the account's other urgent jobs.
fn is_guaranteed(planner: &Planner, sub: &Submission, queue: &Queue) -> bool {
    let is_urgent = |queue: &Queue| queue.priority == 0;
    let Some(account) = planner.desired.accounts.get(&sub.account).filter(|_| is_urgent(queue)) else {
        return false;
    };
    let jobs = planner.live.iter().filter_map(|name| planner.jobs.get(name));
    let others = jobs.filter(|job| {
        job.outcome.is_none() && job.sub.account == sub.account && job.queue().is_some_and(is_urgent)
    });
    let others_peak: i64 = others.map(|job| peak_accelerators(&job.sub)).sum();
    others_peak + peak_accelerators(sub) <= account.guaranteed_accelerators
}

/// Checks that each step fits on the known workers when they are empty.
fn check_fits_fleet(planner: &Planner, sub: &Submission, queue: &Queue) -> Result<(), Refusal> {
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
            return Err(Refusal {
                cause: Cause::NeverFits,
                reason,
                inputs: format!("step={at} required={required} slots={slots} needs={need}"),
                retry_after_ms: NEVER_FITS_RETRY_AFTER_MS,
            });
        }
    }
    Ok(())
}

/// Checks that the job can end before its result loses its value, given the work that would be placed before it.
fn check_attains_value(
    planner: &Planner,
    now: u64,
    wall: u64,
    sub: &Submission,
    queue: &Queue,
) -> Result<(), Refusal> {
    let workers: Vec<&Worker> =
        planner.workers.values().filter(|worker| worker.info.service == queue.service).collect();
    let label = required_label(&workers, sub);
    let supply = supply(planner, now, sub, &workers, label);
    if supply.has_room || !supply.is_known {
        return Ok(());
    }
    let mut work = work_of_service(planner, now, wall, queue, &workers, label);
    let mut share = Share::Under;
    let waiting = planner.unranked_candidates(now, wall);
    let mut demand = demands(planner, &waiting).remove(queue.service.as_str()).unwrap_or_default();
    let own = demand.accounts.entry(&sub.account).or_default();
    for step in sub.steps.iter().filter(|step| step.depends_on.is_empty()) {
        own.queued += step.reserved() * i64::from(step.count);
    }
    if let Some(fair) = FairShares::new(&demand, &planner.capacity_of(&queue.service)) {
        overload::assign_shares(&fair, &mut work);
        share = fair.best_share(&sub.account);
    }
    let work: Vec<Work> = work.into_iter().map(|(_, work)| work).collect();
    let request = request(planner, wall, sub, queue, share);
    let Decision::Refuse { forecast, retry_after_ms } = overload::decide(&request, &supply, &work) else {
        return Ok(());
    };
    let Forecast { low_wait_ms, drain_ms, max_wait_ms } = forecast;
    let inputs = format!(
        "low_wait_ms={low_wait_ms} drain_ms={drain_ms} max_wait_ms={max_wait_ms} chain_ms={} \
         ratio_milli={}..{} share={share:?} needs={} capacity={}",
        request.chain_ms, request.ratio.low_milli, request.ratio.high_milli, request.needs, supply.capacity,
    );
    let reason =
        format!("at least {low_wait_ms} ms of work ahead, no value after a wait of {max_wait_ms} ms");
    Err(Refusal { cause: Cause::NoValue, reason, inputs, retry_after_ms })
}

/// Returns the label that all labelled steps of a job require, unless all workers of its service carry it.
fn required_label<'a>(workers: &[&Worker], sub: &'a Submission) -> Option<&'a str> {
    let mut labels = sub.steps.iter().filter_map(|step| step.label.as_deref());
    let label = labels.next()?;
    let restricts = workers.iter().any(|worker| !worker.has_label(label));
    (restricts && labels.all(|other| other == label)).then_some(label)
}

fn supply(planner: &Planner, now: u64, sub: &Submission, workers: &[&Worker], label: Option<&str>) -> Supply {
    let mut capacity = Resources::default();
    for worker in workers.iter().filter(|worker| label.is_none_or(|label| worker.has_label(label))) {
        let speed_milli = planner.forecasts.speed(&worker.info.incarnation).milli as i64;
        let own = worker.info.capacity * speed_milli;
        capacity += Resources::new(own.millicores / 1_000, own.memory_mb / 1_000, own.accelerators / 1_000);
    }
    // Each agent reports within the maximum age of a report.
    let is_known = now >= planner.created_at + MAX_REPORT_AGE_MS && planner.unreported.is_empty();
    let usable: Vec<&Worker> = workers
        .iter()
        .copied()
        .filter(|worker| is_usable(worker, now) && !planner.evacuated.contains(&worker.info.domain))
        .collect();
    let fits = |step: &Step| {
        let required = if step.gang { i64::from(step.count) } else { 1 };
        let need = Need::new(step, required as u32);
        let allowed = usable.iter().filter(|w| step.label.as_deref().is_none_or(|label| w.has_label(label)));
        allowed.map(|worker| need.members_in(&worker.free())).sum::<i64>() >= required
    };
    let has_room = sub.steps.iter().filter(|step| step.depends_on.is_empty()).any(fits);
    Supply { capacity, is_known, has_room }
}

fn request<'a>(
    planner: &Planner,
    wall: u64,
    sub: &'a Submission,
    queue: &Queue,
    share: Share,
) -> Request<'a> {
    let work = estimated_work_core_s(sub).max(1.0);
    let value = planner.mean_work(&sub.queue).value(queue.priority, work);
    let priorities: BTreeSet<u32> = planner
        .desired
        .queues
        .iter()
        .filter(|other| other.service == queue.service)
        .map(|other| other.priority)
        .chain([queue.priority])
        .collect();
    let mut needs = Resources::default();
    for step in &sub.steps {
        needs += step.reserved();
    }
    Request {
        job: &sub.job,
        rank: Rank {
            guaranteed: false,
            timeliness: Timeliness::InTime,
            priority: priority(queue, sub.steps.iter().any(|step| step.uses_idle_cpu)),
            share,
            value_density: attainable_value(value, Timeliness::InTime) / work,
            latest_start: wall,
        },
        late_value_density: attainable_value(value, Timeliness::Late) / work,
        priority_level: (
            priorities.iter().filter(|other| **other < queue.priority).count() as u32,
            priorities.len() as u32,
        ),
        needs,
        chain_ms: critical_path_ms(sub),
        ratio: Ratio::new(&planner.forecasts.correction(&sub.queue)),
        stretch_milli: queue.stretch_milli,
        full_value_ms: queue.full_value_ms,
    }
}

/// Returns the priority of a step's units: what uses only idle CPU comes last.
pub(crate) fn priority(queue: &Queue, uses_idle_cpu: bool) -> u32 {
    if uses_idle_cpu { u32::MAX } else { queue.priority }
}

/// Returns the accepted work of a queue's service that can only run on the workers with `label`, with its account.
fn work_of_service<'a>(
    planner: &'a Planner,
    now: u64,
    wall: u64,
    queue: &Queue,
    workers: &[&Worker],
    label: Option<&str>,
) -> Vec<(&'a str, Work)> {
    let covered = planner.jobs_within_guarantees();
    let restricts = |own: &str| workers.iter().any(|worker| !worker.has_label(own));
    let mut all = Vec::new();
    for name in &planner.live {
        let Some(job) = planner.jobs.get(name).filter(|job| job.outcome.is_none()) else { continue };
        let Some(own_queue) = job.queue().filter(|other| other.service == queue.service) else { continue };
        let work = estimated_work_core_s(&job.sub).max(1.0);
        let value = planner.mean_work(&job.sub.queue).value(own_queue.priority, work);
        let ratio = Ratio::new(&planner.forecasts.correction(&job.sub.queue));
        let guaranteed = own_queue.priority == 0 && covered.contains(name.as_str());
        // The units of a step of an occurrence follow each other and share their rank.
        let mut shared: Option<((u32, u32), Rank)> = None;
        for (key, unit) in &job.units {
            let Some(step) = job.sub.steps.get(key.step as usize).filter(|step| !step.long_running) else {
                continue;
            };
            let not_due = job.due_ms(key.occurrence).is_some_and(|due| due > wall);
            let elsewhere = step.label.as_deref().filter(|own| restricts(own)) != label;
            if unit.state == UnitState::Done || unit.is_given_up() || not_due || elsewhere {
                continue;
            }
            let at = (key.occurrence, key.step);
            let rank = shared.filter(|(step, _)| *step == at).map_or_else(
                || {
                    let latest_starts = LatestStarts::new(job, own_queue, *key);
                    let timeliness = latest_starts.timeliness(wall);
                    Rank {
                        guaranteed,
                        timeliness,
                        priority: priority(own_queue, step.uses_idle_cpu),
                        share: Share::Under,
                        value_density: attainable_value(value, timeliness) / work,
                        latest_start: latest_start(&latest_starts, timeliness),
                    }
                },
                |(_, rank)| rank,
            );
            shared = Some((at, rank));
            let is_placed = unit.state == UnitState::Placed;
            let (low_ms, median_ms) = remaining_ms(planner, now, job, *key, unit, &ratio);
            let need = unit_need(step);
            all.push((job.sub.account.as_str(), Work { rank, is_placed, need, low_ms, median_ms }));
        }
    }
    all
}

/// Returns the lower quartile and the median of a unit's remaining time: measured where its progress is known, from its
/// corrected estimate otherwise.
fn remaining_ms(
    planner: &Planner,
    now: u64,
    job: &Job,
    key: UnitKey,
    unit: &Unit,
    ratio: &Ratio,
) -> (u64, u64) {
    let estimate_ms = job.sub.steps.get(key.step as usize).map_or(0, |step| step.estimate_ms);
    let corrected_ms = |ratio_milli: u64| estimate_ms.saturating_mul(ratio_milli) / 1_000;
    if unit.state != UnitState::Placed {
        // Saved progress leaves an unknown part of the work.
        let low_ms = if unit.saved.is_empty() { corrected_ms(ratio.low_milli) } else { 0 };
        return (low_ms, corrected_ms(ratio.median_milli));
    }
    let run = run_id(&key.task(&job.sub.job, 0), unit.run);
    if let Some(remaining) = planner.forecasts.remaining(&run, now) {
        return (remaining.low_ms, remaining.median_ms);
    }
    let ran_ms = now.saturating_sub(unit.since);
    (
        corrected_ms(ratio.low_milli).saturating_sub(ran_ms),
        corrected_ms(ratio.median_milli).saturating_sub(ran_ms),
    )
}

/// Returns what the accounts hold on each service, and queue there by the given candidates.
pub(crate) fn demands<'a>(
    planner: &'a Planner,
    candidates: &[Candidate],
) -> BTreeMap<&'a str, ServiceDemand<'a>> {
    let covered = planner.jobs_within_guarantees();
    let mut services: BTreeMap<&str, ServiceDemand<'_>> = BTreeMap::new();
    for name in &planner.live {
        let Some(job) = planner.jobs.get(name) else { continue };
        let Some(queue) = job.queue() else { continue };
        let mut held = Resources::default();
        for (key, unit) in &job.units {
            let Some(step) = job.sub.steps.get(key.step as usize) else { continue };
            let members = unit.members.iter().filter(|member| !member.released).count() as i64;
            held += step.reserved() * members;
        }
        let service = services.entry(&queue.service).or_default();
        match covered.contains(name.as_str()) {
            true => service.guaranteed += held,
            false => service.accounts.entry(&job.sub.account).or_default().held += held,
        }
    }
    for candidate in candidates {
        let Some(job) = planner.jobs.get(&candidate.job) else { continue };
        let Some(queue) = job.queue() else { continue };
        let need = job.sub.steps.get(candidate.key.step as usize).map(unit_need).unwrap_or_default();
        let service = services.entry(&queue.service).or_default();
        service.has_late |= candidate.timeliness != Timeliness::InTime;
        if candidate.timeliness == Timeliness::Missed {
            // It gives way in any case and takes nothing of its account's share.
            continue;
        }
        match candidate.guaranteed {
            true => service.guaranteed += need,
            false => service.accounts.entry(&job.sub.account).or_default().queued += need,
        }
    }
    services
}

/// Returns the resources that a unit of a step needs at the same time.
pub(crate) fn unit_need(step: &Step) -> Resources {
    step.reserved() * if step.gang { i64::from(step.count) } else { 1 }
}
