//! Workers that are kept for a wide unit until what runs there has ended.
//!
//! Designed for gangs whose members each need most of a worker, under steady narrow work: what comes free goes to narrower
//! units before enough of it is free at the same time. One unit of each service, the one that has waited longest, gets
//! workers with the time at which they are expected to fit it. Until then only runs that end before go there.

use std::collections::{BTreeMap, BTreeSet};

use crate::outlook::Outlook;
use crate::pass::Pass;
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::{Held, Need};
use crate::resources::Resources;
use crate::unit::UnitKey;
use crate::value::Timeliness;
use crate::wait::WaitReason;

/// Minimum wait before workers are held for a unit, in milliseconds.
const MIN_PATIENCE_MS: u64 = 3_000;

/// Maximum wait before that, in milliseconds; also the wait of a unit whose job is too late to be of value.
const MAX_PATIENCE_MS: u64 = 60_000;

/// Time after which workers that didn't come free as expected are no longer held, in milliseconds.
const OVERDUE_MS: u64 = 2_000;

/// Time within which a unit has to fit so that no other one is preferred to it, in milliseconds.
const MAX_DUE_MS: u64 = 600_000;

/// Units that are tried in one pass, since some may never fit.
const MAX_TRIED: usize = 16;

/// Share of a worker from which a single subtask counts as wide, in thousandths.
const WIDE_SHARE_MILLI: i64 = 750;

/// Workers held for a unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    pub job: String,
    pub key: UnitKey,
    per_member: Resources,
    /// Incarnation of the worker for each member.
    workers: Vec<String>,
    /// When the unit is expected to fit, on the monotonic clock.
    due_at: u64,
}

impl Hold {
    pub fn is_for(&self, job: &str, key: UnitKey) -> bool {
        self.job == job && self.key == key
    }
}

/// Holds by service.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    by_service: BTreeMap<String, Hold>,
}

impl Holds {
    /// Returns whether the workers held for a unit were expected to fit it by now.
    pub fn is_due(&self, service: &str, job: &str, key: UnitKey, now: u64) -> bool {
        self.by_service.get(service).is_some_and(|hold| hold.is_for(job, key) && hold.due_at <= now)
    }

    /// Removes the hold of a unit that has been placed.
    pub fn remove(&mut self, service: &str, job: &str, key: UnitKey) {
        if self.by_service.get(service).is_some_and(|hold| hold.is_for(job, key)) {
            self.by_service.remove(service);
        }
    }
}

impl Planner {
    /// Drops the holds that are over, chooses workers for the services without one, and adds them to the pass.
    pub(crate) fn renew_holds(&mut self, pass: &mut Pass, candidates: &[Candidate]) {
        let mut holds = std::mem::take(&mut self.holds);
        holds.by_service.retain(|_, hold| {
            let waits = candidates.iter().any(|candidate| hold.is_for(&candidate.job, candidate.key));
            let is_usable = |id: &String| {
                pass.pool.index_of(id).is_some_and(|worker| pass.pool.workers[worker].is_usable)
            };
            let is_current = pass.now <= hold.due_at + OVERDUE_MS && hold.due_at <= pass.now + MAX_DUE_MS;
            waits && is_current && hold.workers.iter().all(is_usable)
        });
        let mut lines = Vec::new();
        for (service, starving) in self.starving_units(pass.now, candidates) {
            if holds.by_service.contains_key(service) {
                continue;
            }
            let Some((candidate, hold)) = self.choose_hold(pass, &starving) else { continue };
            lines.push(format!(
                "event=workers_held job={} task={} waited_ms={} due_ms={} workers={}",
                hold.job,
                hold.key.task(&hold.job, 0),
                self.waited_ms(pass.now, candidate),
                hold.due_at.saturating_sub(pass.now),
                hold.workers.join(",")
            ));
            holds.by_service.insert(service.to_owned(), hold);
        }
        lines.into_iter().for_each(|line| self.log_line(line));
        for hold in holds.by_service.values() {
            self.add_hold(pass, hold);
        }
        self.holds = holds;
    }

    /// Returns the wide units of each service that have waited long for resources, the longest first.
    fn starving_units<'a>(
        &self,
        now: u64,
        candidates: &'a [Candidate],
    ) -> BTreeMap<&str, Vec<&'a Candidate>> {
        let mut starving: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
        for candidate in candidates.iter().filter(|candidate| self.is_starving(now, candidate)) {
            if let Some(queue) = self.queue_of(&candidate.job) {
                starving.entry(&queue.service).or_default().push(candidate);
            }
        }
        for units in starving.values_mut() {
            units.sort_by_key(|candidate| std::cmp::Reverse(self.waited_ms(now, candidate)));
            units.truncate(MAX_TRIED);
        }
        starving
    }

    fn is_starving(&self, now: u64, candidate: &Candidate) -> bool {
        let Some(job) = self.jobs.get(&candidate.job) else { return false };
        let Some(unit) = job.units.get(&candidate.key) else { return false };
        let Some(step) = job.sub.steps.get(candidate.key.step as usize) else { return false };
        let patience_ms = match candidate.timeliness {
            Timeliness::InTime | Timeliness::Late => step.estimate_ms.clamp(MIN_PATIENCE_MS, MAX_PATIENCE_MS),
            Timeliness::Missed => MAX_PATIENCE_MS,
        };
        let waits_for_room =
            matches!(unit.waits.reason(), Some(WaitReason::Resources | WaitReason::Rack | WaitReason::Stops));
        let is_wide = || {
            let largest = self.workers.values().map(|worker| step.reserved().share_of(&worker.info.capacity));
            (step.gang && step.count > 1) || largest.min().is_some_and(|share| share > WIDE_SHARE_MILLI)
        };
        waits_for_room && !unit.must_run_alone() && now.saturating_sub(unit.since) >= patience_ms && is_wide()
    }

    fn waited_ms(&self, now: u64, candidate: &Candidate) -> u64 {
        let unit = self.jobs.get(&candidate.job).and_then(|job| job.units.get(&candidate.key));
        unit.map_or(0, |unit| now.saturating_sub(unit.since))
    }

    /// Returns the first of the units that fits in the foreseeable future, or else the first that ever fits, with its hold.
    fn choose_hold<'a>(&self, pass: &Pass, starving: &[&'a Candidate]) -> Option<(&'a Candidate, Hold)> {
        let mut first = None;
        for candidate in starving {
            let Some(hold) = self.hold_for(pass, candidate) else { continue };
            if hold.due_at <= pass.now + MAX_DUE_MS {
                return Some((candidate, hold));
            }
            first = first.or(Some((*candidate, hold)));
        }
        first
    }

    /// Returns the workers that fit a unit first, on one rack if it is worth the wait; `None` if it fits now, so that it
    /// waits for something else than room.
    fn hold_for(&self, pass: &Pass, candidate: &Candidate) -> Option<Hold> {
        let step = self.jobs.get(&candidate.job)?.sub.steps.get(candidate.key.step as usize)?;
        let need = Need::new(step, if step.gang { step.count } else { 1 });
        let rooms = self.available_rooms(&pass.pool, pass.now, candidate, step);
        let releases = pass.releases(self);
        let anywhere = releases.earliest_fit(&rooms, &need)?;
        let spread_cost_ms = self.spread_cost_ms(step);
        let is_worth = |outlook: &Outlook| outlook.due_ms < anywhere.due_ms + spread_cost_ms;
        let rack = Some(step).filter(|step| step.gang && step.prefers_one_rack).and_then(|_| {
            let (_, outlook) = releases.earliest_rack(&pass.pool, &rooms, &need)?;
            Some(outlook).filter(is_worth)
        });
        let outlook = Some(rack.unwrap_or(anywhere)).filter(|outlook| outlook.due_ms > 0)?;
        Some(Hold {
            job: candidate.job.clone(),
            key: candidate.key,
            per_member: need.per_member,
            workers: pass.pool.incarnations(&outlook.workers),
            due_at: pass.now + outlook.due_ms,
        })
    }

    /// Adds a hold to the workers of a pass, with what is left there for others beyond the time at which it is due.
    fn add_hold(&self, pass: &mut Pass, hold: &Hold) {
        let due_ms = hold.due_at.saturating_sub(pass.now);
        let workers: BTreeSet<usize> = hold.workers.iter().filter_map(|id| pass.pool.index_of(id)).collect();
        for worker in workers {
            let members = hold.workers.iter().filter(|id| pass.pool.index_of(id) == Some(worker)).count();
            let mut spare = pass.pool.workers[worker].free;
            spare += pass.releases(self).released_within(worker, due_ms);
            spare -= hold.per_member * members as i64;
            let held = Held { job: hold.job.clone(), key: hold.key, due_at: hold.due_at, spare };
            pass.pool.workers[worker].held = Some(held);
        }
    }
}
