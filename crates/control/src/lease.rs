//! State of a worker as its agent knows it: announcements, leases, runs and their ends. Does no I/O; the caller
//! passes the time in.

mod listing;

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_fleet::assignments::{Assignments, Pace, Start, Stop};
use sorrelland_fleet::report::{End, FirstMark, NotStarted, Report, Running, WORKER_CRASHED, WorkerInfo};
use sorrelland_fleet::{Task, incarnation};
use sorrelland_platform::settings::DEFAULT_CANCEL_MS;
use sorrelland_platform::worker::Announcement;

use crate::announced_service::AnnouncedService;
use crate::announcement_order::{AnnouncementOrder, Position};
use crate::presence::{AnnouncementEffect, Presence, Summary};

/// Remaining time of a grant below which nothing is started: a shorter lease would end before the next report.
const MIN_START_GRANT_MS: u64 = 1_000;

/// Time that is left of `cancel_ms` after the end of a start's call, in milliseconds: for a start that is on its way to the
/// worker when the call ends, and for clocks that run at different speeds.
const START_MARGIN_MS: u64 = 300;

/// Shortest time for the call of a start, in milliseconds: with less, calls would end before a worker can answer.
const MIN_START_CALL_MS: u64 = 200;

/// Lower limit of the time after a report in which starts may be sent, in milliseconds: a healthy leader answers within
/// 500 ms, and the next report takes as long again.
const MIN_START_WINDOW_MS: u64 = 1_500;

/// A worker's clock may run slow by up to this percentage.
const CLOCK_LAG_PERCENT: u64 = 2;

/// Time after which an answered stop is repeated if the run is still listed: longer than the longest `stop_ms` of
/// the users' deployments.
const STOP_RETRY_DELAY_MS: u64 = 1_500;

/// Why a run was not started that the planner has stopped.
const STOPPED: &str = "stopped before it was there";

/// Margin on top of all bounds before a lease counts as expired.
const LAPSE_MARGIN_MS: u64 = 300;

type RunKey = (Task, u64);

/// What an agent first saw of a run.
#[derive(Clone, Copy, Debug)]
struct FirstSeen {
    /// On the monotonic clock, in milliseconds.
    at: u64,
    percent: u64,
    /// Whether the agent had just started it.
    is_start: bool,
}

/// State of one worker as its agent knows it. All times are in milliseconds.
#[derive(Debug, Default)]
pub struct WorkerState {
    /// Longest remaining time that a lease on the worker may have.
    max_lease_ms: u64,
    /// Longest time that a stop takes.
    stop_ms: u64,
    /// Time from an answered cancel until none of its job's subtasks starts any more.
    cancel_ms: u64,
    announced: Option<Announcement>,
    /// Numbers of the current incarnation's announcements.
    order: AnnouncementOrder,
    /// Services that they name.
    service: AnnouncedService,
    presence: Presence,
    epoch: u64,
    assignments: Option<Assignments>,
    /// When the newest report was sent that the leader of `epoch` has answered with assignments, on the agent's clock. They
    /// reflect every cancel that was answered before.
    reported_at: u64,
    /// When the newest grant ends, on the agent's clock.
    granted_until: u64,
    /// Latest end that any lease on the worker may have, on the agent's clock.
    leased_until: u64,
    /// When the first call was sent that has no answer yet and may have extended a lease.
    unanswered_since: Option<u64>,
    /// When the first call failed since the last answer.
    failing_since: Option<u64>,
    /// Whether nothing listened at the worker's address at the last call.
    is_refused: bool,
    /// Time for which calls had failed when the current incarnation was adopted.
    silent_before_ms: Option<u64>,
    /// The worker's clock, and when it was read.
    clock_reading: Option<(u64, u64)>,
    running: BTreeMap<RunKey, Running>,
    /// Runs that have ended, as they were last known, while the worker's list doesn't reach their ends.
    unlisted: BTreeMap<RunKey, Running>,
    /// Whether the newest list may lack ends.
    lacks_ends: bool,
    /// Whether a list of the current incarnation was complete, so that all runs that ran there before are known.
    knows_earlier_runs: bool,
    /// What was first seen of the listed runs.
    first_seen: BTreeMap<RunKey, FirstSeen>,
    /// Runs whose start was confirmed, with the worker's clock at the confirmation.
    started: BTreeMap<RunKey, u64>,
    /// Runs for which a start was sent and no final answer has arrived.
    start_attempts: BTreeSet<RunKey>,
    /// Runs whose start the worker has refused, with the reason. An earlier start may still arrive, so they are stopped
    /// before they count as not started.
    refused: BTreeMap<RunKey, String>,
    /// Runs that the planner may have placed elsewhere and whose start may still arrive. No lease is extended before the
    /// worker has answered their stops.
    given_up: BTreeSet<RunKey>,
    /// Runs that were not known to have started on earlier incarnations of the worker's name, and that name. A call may
    /// be executed late, so the next incarnation of the name may still start them.
    earlier_starts: (String, BTreeSet<RunKey>),
    ended: Vec<End>,
    /// Runs of `ended`.
    ended_runs: BTreeSet<RunKey>,
    /// Runs that the worker will not start from now on, with the reason and the number of polls begun by then. The
    /// first poll begun later shows whether the run is present.
    absence_checks: BTreeMap<RunKey, (String, u64)>,
    /// Number of polls begun. Clocks are too coarse to tell whether a poll began before an answer arrived.
    polls_begun: u64,
    not_started: BTreeMap<RunKey, String>,
    /// Runs whose stop the worker has answered, with the time of the answer.
    answered_stops: BTreeMap<RunKey, u64>,
    /// Speed shares that the worker has confirmed.
    confirmed_paces: BTreeMap<RunKey, u64>,
    listing_clock_ms: u64,
}

impl WorkerState {
    /// Creates the state of a worker that has not announced itself yet.
    pub fn new(max_lease_ms: u64, stop_ms: u64) -> Self {
        Self { max_lease_ms, stop_ms, cancel_ms: DEFAULT_CANCEL_MS, ..Self::default() }
    }

    /// Sets the time from an answered cancel until none of its job's subtasks starts any more.
    pub fn with_cancel_ms(mut self, cancel_ms: u64) -> Self {
        self.cancel_ms = cancel_ms;
        self
    }

    /// Applies an announcement that arrives at `now` and returns its effect. Only the current incarnation can change: an announcement may
    /// arrive late or come from another writer, so the worker has to confirm any other one, and the return of one that
    /// leaves or is silent.
    pub fn apply_announcement(&mut self, now: u64, announcement: &Announcement) -> AnnouncementEffect {
        let incarnation = &announcement.info.incarnation;
        let current = self.announced.as_mut().filter(|known| known.info.incarnation == *incarnation);
        let Some(known) = current else { return AnnouncementEffect::Unconfirmed };
        if announcement.info.service != known.info.service {
            if !self.service.record_other(now, &announcement.info.service, announcement.sequence) {
                return AnnouncementEffect::OtherService;
            }
            *known = announcement.clone();
            (self.order, self.service) =
                (AnnouncementOrder::new(announcement.sequence), AnnouncedService::new());
            return self.effect(AnnouncementEffect::Updated);
        }
        match self.order.record(now, announcement.sequence) {
            Position::Newest => (),
            Position::Repeated => return AnnouncementEffect::RepeatedSequence,
            Position::Older => return AnnouncementEffect::OlderSequence,
            Position::Jump => return AnnouncementEffect::SequenceJump,
        }
        self.service.record_known();
        let changed = known.info != announcement.info;
        *known = announcement.clone();
        self.effect(if changed { AnnouncementEffect::Updated } else { AnnouncementEffect::Unchanged })
    }

    /// Returns the effect of an announcement that was applied: the return of a worker that leaves or is silent has to be
    /// confirmed.
    fn effect(&self, applied: AnnouncementEffect) -> AnnouncementEffect {
        if self.presence == Presence::Present { applied } else { AnnouncementEffect::Unconfirmed }
    }

    /// Makes an incarnation the current one and ends the one before. The worker has answered a call that names it.
    pub fn adopt_incarnation(&mut self, now: u64, announcement: Announcement) {
        if self.incarnation() == Some(&announcement.info.incarnation) {
            self.presence = Presence::Present;
            self.unanswered_since = None;
            return;
        }
        self.end_current_incarnation();
        self.earlier_starts = Default::default();
        self.silent_before_ms = self.failing_since.take().map(|since| now.saturating_sub(since));
        // An earlier incarnation of this agent may have extended leases that are unknown to this one.
        self.leased_until = now + self.max_lease_ms;
        self.order = AnnouncementOrder::new(announcement.sequence);
        self.service = AnnouncedService::new();
        self.announced = Some(announcement);
    }

    /// Records that an incarnation of the worker has ended; returns whether it was the current one.
    pub fn end_incarnation(&mut self, incarnation: &str) -> bool {
        let is_current = self.incarnation() == Some(incarnation);
        if is_current {
            self.end_current_incarnation();
        }
        is_current
    }

    fn end_current_incarnation(&mut self) {
        let earlier_starts = match self.incarnation() {
            Some(current) => {
                let name = incarnation::split(current).0.to_owned();
                let mut starts = self.unresolved_starts();
                if self.earlier_starts.0 == name {
                    starts.append(&mut self.earlier_starts.1);
                }
                (name, starts)
            }
            None => std::mem::take(&mut self.earlier_starts),
        };
        *self = Self {
            earlier_starts,
            epoch: self.epoch,
            granted_until: self.granted_until,
            polls_begun: self.polls_begun,
            failing_since: self.failing_since,
            ..Self::new(self.max_lease_ms, self.stop_ms).with_cancel_ms(self.cancel_ms)
        };
    }

    /// Returns the runs that the worker may still start, as far as it is known.
    fn unresolved_starts(&self) -> BTreeSet<RunKey> {
        let runs = self.start_attempts.iter().chain(&self.given_up).chain(self.refused.keys());
        runs.filter(|run| !self.is_ended(run)).cloned().collect()
    }

    /// Returns the stops that an incarnation has to answer before the runs of an earlier one with the same name may
    /// start elsewhere.
    pub fn stops_before_adoption(&self, incarnation: &str) -> Vec<Stop> {
        let name = incarnation::split(incarnation).0;
        let mut runs = match self.incarnation() {
            Some(current) if current == incarnation => return Vec::new(),
            Some(current) if incarnation::split(current).0 == name => self.unresolved_starts(),
            _ => BTreeSet::new(),
        };
        if self.earlier_starts.0 == name {
            runs.extend(self.earlier_starts.1.iter().cloned());
        }
        runs.into_iter().map(|(task, run)| Stop { task, run }).collect()
    }

    /// Records a departure notice; returns whether it names the current worker. Its runs count until its end is
    /// confirmed, but nothing is started and no lease extended. A later announcement that the worker confirms revokes the
    /// notice.
    pub fn record_departure_notice(&mut self, worker: &str) -> bool {
        // A notice doesn't tell which incarnation of the worker sent it.
        let is_current = self.incarnation().is_some_and(|current| incarnation::split(current).0 == worker);
        if is_current && self.presence == Presence::Present {
            self.presence = Presence::Leaving;
            self.reject_assigned_starts();
        }
        is_current
    }

    /// Records that a call had no answer, though something may listen at the worker's address.
    pub fn record_unanswered_call(&mut self, now: u64, incarnation: &str) {
        if self.incarnation() == Some(incarnation) {
            self.failing_since.get_or_insert(now);
            self.is_refused = false;
        }
    }

    /// Records that nothing listens at the worker's address; returns whether this confirms a departure, so that
    /// everything that ran there has ended.
    pub fn record_refused_connection(&mut self, now: u64, incarnation: &str) -> bool {
        if self.incarnation() != Some(incarnation) {
            return false;
        }
        self.failing_since.get_or_insert(now);
        self.is_refused = true;
        if self.presence != Presence::Leaving {
            return false;
        }
        self.presence = Presence::Left;
        self.mark_runs_not_started("the worker has left");
        self.reject_assigned_starts();
        true
    }

    fn mark_runs_not_started(&mut self, why: &str) {
        let runs = self
            .running
            .keys()
            .chain(&self.start_attempts)
            .chain(self.started.keys())
            .chain(self.unlisted.keys())
            .chain(self.absence_checks.keys())
            .chain(self.refused.keys());
        let runs: Vec<RunKey> = runs.filter(|run| !self.is_ended(run)).cloned().collect();
        for run in runs {
            self.not_started.insert(run, why.to_owned());
        }
        self.running.clear();
        self.unlisted.clear();
        self.first_seen.clear();
        self.started.clear();
        self.start_attempts.clear();
        self.refused.clear();
        self.absence_checks.clear();
    }

    /// Marks assigned starts as not started that have never been sent, if none is sent to the worker any more.
    fn reject_assigned_starts(&mut self) {
        let why = match self.presence {
            Presence::Present => return,
            // An earlier process of this agent may have sent them, and they may have ended.
            Presence::Leaving if self.may_have_unknown_ends() => return,
            Presence::Leaving | Presence::Left => "the worker leaves",
            Presence::Silent => "the worker does not answer",
        };
        let starts = self.assignments.iter().flat_map(|assignments| &assignments.starts);
        let starts = starts.map(|start| (start.task.clone(), start.run));
        let never_sent = starts
            .filter(|run| !self.start_attempts.contains(run) && !self.is_known(run))
            .collect::<Vec<_>>();
        for run in never_sent {
            self.not_started.insert(run, why.to_owned());
        }
    }

    /// Returns whether it is known, or is being found out, if a run is on the worker.
    fn is_known(&self, run: &RunKey) -> bool {
        self.running.contains_key(run)
            || self.started.contains_key(run)
            || self.unlisted.contains_key(run)
            || self.not_started.contains_key(run)
            || self.absence_checks.contains_key(run)
            || self.refused.contains_key(run)
            || self.is_ended(run)
    }

    fn is_ended(&self, run: &RunKey) -> bool {
        self.ended_runs.contains(run)
    }

    /// Returns what is known of the worker, for the logs.
    pub fn summary(&self, now: u64) -> Summary {
        let runs = self.running.keys().chain(&self.start_attempts).chain(self.started.keys());
        let known = self.announced.as_ref();
        Summary {
            current: known.map(|known| known.info.incarnation.clone()).unwrap_or_default(),
            sequence: known.map_or(0, |known| known.sequence),
            runs: runs.collect::<BTreeSet<_>>().len(),
            lease_left_ms: self.leased_until.saturating_sub(now),
            grant_left_ms: self.granted_until.saturating_sub(now),
            presence: self.presence,
        }
    }

    /// Returns whether an incarnation is the current one, and neither leaves nor is silent.
    pub fn is_confirmed(&self, incarnation: &str) -> bool {
        self.incarnation() == Some(incarnation) && self.presence == Presence::Present
    }

    pub fn incarnation(&self) -> Option<&str> {
        self.announced.as_ref().map(|known| known.info.incarnation.as_str())
    }

    /// Returns the fencing token for calls to the worker.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Applies a planner's reply to a report sent at `sent`; returns whether the reply is valid and not outdated.
    pub fn apply_assignments(&mut self, sent: u64, epoch: u64, assignments: Option<Assignments>) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.assignments = None;
            self.reported_at = 0;
        }
        let Some(assignments) = assignments else { return true };
        if self.incarnation() != Some(&assignments.incarnation) {
            return false;
        }
        if self.assignments.as_ref().is_some_and(|known| known.number >= assignments.number) {
            return false;
        }
        self.reported_at = self.reported_at.max(sent);
        self.granted_until = self.granted_until.max(sent.saturating_add(assignments.grant_ms));
        let assigned = |run: &RunKey| {
            assignments.starts.iter().any(|start| start.task == run.0 && start.run == run.1)
                || assignments.stops.iter().any(|stop| stop.task == run.0 && stop.run == run.1)
        };
        self.not_started.retain(|run, _| assigned(run));
        let given_up: Vec<RunKey> =
            self.start_attempts.iter().filter(|run| !self.is_known(run) && !assigned(run)).cloned().collect();
        self.start_attempts.retain(|run| !given_up.contains(run));
        self.given_up.extend(given_up);
        self.answered_stops.retain(|run, _| assigned(run));
        self.assignments = Some(assignments);
        self.reject_assigned_starts();
        true
    }

    /// Returns the lease end, on the worker's clock, that the grant allows now, and records the lease as extended. Returns
    /// `None` as well if the worker has not answered for as long as a lease lasts, so that its leases end.
    pub fn extend_lease(&mut self, now: u64) -> Option<u64> {
        self.unanswered_since.get_or_insert(now);
        if self.presence != Presence::Present || !self.given_up.is_empty() || self.is_unresponsive(now) {
            return None;
        }
        let (clock, read_at) = self.clock_reading?;
        let remaining = self.granted_until.checked_sub(now).filter(|remaining| *remaining > 0)?;
        self.leased_until = self.leased_until.max(self.granted_until);
        let on_slow_clock = |ms: u64| ms.saturating_mul(100 - CLOCK_LAG_PERCENT) / 100;
        let now_on_clock = clock.saturating_add(on_slow_clock(now.saturating_sub(read_at)));
        Some(now_on_clock.saturating_add(on_slow_clock(remaining)))
    }

    /// Returns whether the worker has not answered for as long as a lease lasts.
    pub fn is_unresponsive(&self, now: u64) -> bool {
        self.unanswered_since.is_some_and(|since| now > since + self.max_lease_ms)
    }

    /// Records the worker's clock from an answer that arrived at `now`.
    pub fn record_clock(&mut self, now: u64, clock_ms: u64) {
        self.clock_reading = Some((clock_ms, now));
        self.unanswered_since = None;
        (self.is_refused, self.failing_since) = (false, None);
        if self.presence == Presence::Silent {
            self.presence = Presence::Present;
        }
    }

    pub fn has_clock(&self) -> bool {
        self.clock_reading.is_some()
    }

    /// Returns the time within which the call of a start has to end, in milliseconds. A leader that ends, or can't be reached
    /// any more, may have answered a cancel right after the newest report was sent.
    pub fn start_time_left_ms(&self, now: u64) -> u64 {
        let window_ms = self.cancel_ms.saturating_sub(START_MARGIN_MS).max(MIN_START_WINDOW_MS);
        self.reported_at.saturating_add(window_ms).saturating_sub(now)
    }

    /// Returns the starts to send now.
    pub fn due_starts(&self, now: u64) -> Vec<Start> {
        let Some(assignments) = self.assignments.as_ref().filter(|_| self.may_start(now)) else {
            return Vec::new();
        };
        assignments.starts.iter().filter(|start| self.is_unknown(start)).cloned().collect()
    }

    /// Returns whether a start is still to be sent.
    pub fn is_due(&self, now: u64, start: &Start) -> bool {
        let is_assigned = self.assignments.as_ref().is_some_and(|known| known.starts.contains(start));
        is_assigned && self.is_unknown(start) && self.may_start(now)
    }

    fn is_unknown(&self, start: &Start) -> bool {
        !self.is_known(&(start.task.clone(), start.run))
    }

    /// Returns whether starts may be sent to the worker.
    fn may_start(&self, now: u64) -> bool {
        let draining = self.announced.as_ref().is_none_or(|known| known.info.draining);
        if draining || self.presence != Presence::Present || now + MIN_START_GRANT_MS > self.granted_until {
            return false;
        }
        if self.may_have_unknown_ends() || self.start_time_left_ms(now) < MIN_START_CALL_MS {
            return false;
        }
        // The starts were placed before the planner knew that the worker's capacity has shrunk.
        let capacity = self.announced.as_ref().map(|known| known.info.capacity).unwrap_or_default();
        self.assignments.as_ref().is_some_and(|assignments| capacity.covers(&assignments.capacity))
    }

    /// Returns the stops to send now.
    pub fn due_stops(&self, now: u64) -> Vec<Stop> {
        let may_send =
            |run: &RunKey| self.answered_stops.get(run).is_none_or(|at| now >= at + STOP_RETRY_DELAY_MS);
        let is_due = |stop: &&Stop| {
            let run = (stop.task.clone(), stop.run);
            may_send(&run)
                && !self.not_started.contains_key(&run)
                && !self.absence_checks.contains_key(&run)
                && !self.is_ended(&run)
        };
        let assigned = self.assignments.iter().flat_map(|assignments| &assignments.stops).filter(is_due);
        let given_up = self.given_up.iter().filter(|_| self.presence == Presence::Present);
        let unresolved = self.refused.keys().chain(given_up).filter(|run| may_send(run));
        let unresolved = unresolved.map(|(task, run)| Stop { task: task.clone(), run: *run });
        let due: BTreeSet<Stop> = assigned.cloned().chain(unresolved).collect();
        due.into_iter().collect()
    }

    /// Returns the speed shares to send now.
    pub fn due_paces(&self) -> Vec<Pace> {
        let is_due = |pace: &&Pace| {
            let run = (pace.task.clone(), pace.run);
            self.running.contains_key(&run)
                && self.confirmed_paces.get(&run).copied().unwrap_or(100) != pace.percent
        };
        self.assignments.iter().flat_map(|assignments| &assignments.paces).filter(is_due).cloned().collect()
    }

    /// Records that the worker has confirmed a speed share.
    pub fn record_pace(&mut self, incarnation: &str, pace: &Pace) {
        if self.incarnation() == Some(incarnation) {
            self.confirmed_paces.insert((pace.task.clone(), pace.run), pace.percent);
        }
    }

    /// Returns the number of the newest end that the planner has stored.
    pub fn acknowledged(&self) -> u64 {
        self.assignments.as_ref().map_or(0, |assignments| assignments.acknowledged)
    }

    /// Records that a start is about to be sent.
    pub fn record_start_attempt(&mut self, start: &Start) {
        self.start_attempts.insert((start.task.clone(), start.run));
    }

    /// Records that the worker has confirmed a start.
    pub fn record_start(&mut self, incarnation: &str, start: &Start, clock_ms: u64) {
        if self.incarnation() == Some(incarnation) {
            self.started.insert((start.task.clone(), start.run), clock_ms);
        }
    }

    /// Records that the worker has refused a start, but may still execute an earlier one of the run.
    pub fn record_start_refusal(&mut self, incarnation: &str, start: &Start, why: &str) {
        if self.incarnation() == Some(incarnation) {
            self.refused.insert((start.task.clone(), start.run), why.to_owned());
        }
    }

    /// Records that the worker has answered a stop. From now on it rejects a start of the run.
    pub fn record_stop_answer(&mut self, incarnation: &str, stop: &Stop, now: u64) {
        if self.incarnation() != Some(incarnation) {
            return;
        }
        let run = (stop.task.clone(), stop.run);
        self.answered_stops.insert(run.clone(), now);
        if !self.given_up.remove(&run) {
            let why = self.refused.remove(&run).unwrap_or_else(|| STOPPED.to_owned());
            self.expect_absence(incarnation, &stop.task, stop.run, &why);
        }
    }

    /// Begins a poll and returns its number.
    pub fn begin_poll(&mut self) -> u64 {
        self.polls_begun += 1;
        self.polls_begun
    }

    /// Records that the worker will not start a run from now on; a poll begun from now on shows whether it is present.
    pub fn expect_absence(&mut self, incarnation: &str, task: &Task, run: u64, why: &str) {
        if self.incarnation() == Some(incarnation) {
            self.absence_checks.insert((task.clone(), run), (why.to_owned(), self.polls_begun));
        }
    }

    /// Marks all runs as not started once every lease has certainly expired; returns whether there were any. A worker that
    /// answers will list how they ended.
    pub fn expire_leases(&mut self, now: u64) -> bool {
        let expired_at = self.leased_until.saturating_add(self.lapse_margin_ms());
        // A stop that the worker doesn't answer keeps all starts back.
        let waits_for_stop = !self.given_up.is_empty() && self.is_unresponsive(now);
        let may_lose_runs = self.has_runs() || (self.presence == Presence::Present && waits_for_stop);
        let will_list_ends = self.lacks_ends && !self.is_unresponsive(now);
        if now <= expired_at || !may_lose_runs || will_list_ends {
            return false;
        }
        if self.unanswered_since.is_some() && self.presence == Presence::Present {
            self.presence = Presence::Silent;
        }
        // The worker may still execute these starts once its leases are extended again.
        let attempts = std::mem::take(&mut self.start_attempts);
        self.given_up.extend(attempts.iter().filter(|run| !self.started.contains_key(run)).cloned());
        self.start_attempts = attempts;
        // The leases may have ended on a worker that is cut off, too; that answers nothing, but refuses nothing either.
        let has_crashed = self.presence == Presence::Silent && self.is_refused;
        self.mark_runs_not_started(if has_crashed { WORKER_CRASHED } else { "its lease has run out" });
        self.reject_assigned_starts();
        true
    }

    /// Returns the time after the latest possible lease end until every lease has certainly expired.
    fn lapse_margin_ms(&self) -> u64 {
        self.max_lease_ms * CLOCK_LAG_PERCENT / 100 + self.stop_ms + LAPSE_MARGIN_MS
    }

    /// Returns the times on which [`Self::expire_leases`] decides: since the latest possible lease end, and the margin
    /// after it.
    pub fn lapse_bounds_ms(&self, now: u64) -> (u64, u64) {
        (now.saturating_sub(self.leased_until), self.lapse_margin_ms())
    }

    pub fn needs_poll(&self) -> bool {
        !matches!(self.presence, Presence::Silent | Presence::Left) && self.expects_changes()
    }

    /// Returns whether runs may be on the worker.
    fn has_runs(&self) -> bool {
        !self.running.is_empty()
            || !self.start_attempts.is_empty()
            || !self.started.is_empty()
            || !self.unlisted.is_empty()
    }

    /// Returns whether a poll may show a change.
    fn expects_changes(&self) -> bool {
        self.has_runs()
            || !self.ended.is_empty()
            || !self.absence_checks.is_empty()
            || !self.given_up.is_empty()
            || self.assignments.as_ref().is_some_and(|assignments| !assignments.starts.is_empty())
    }

    /// Returns whether the worker lists ends that the planner has not stored yet; a poll returns at once then.
    pub fn has_unacknowledged_ends(&self) -> bool {
        let acknowledged = self.acknowledged();
        self.ended.iter().any(|end| end.number > acknowledged)
    }

    /// Returns whether a run waits for a poll that shows whether it is present.
    pub fn has_absence_checks(&self) -> bool {
        !self.absence_checks.is_empty()
    }

    /// Returns what was first seen of the runs, for a planner that doesn't know them.
    pub fn first_marks(&self, now: u64) -> Vec<FirstMark> {
        let mark = |((task, run), seen): (&RunKey, &FirstSeen)| FirstMark {
            task: task.clone(),
            run: *run,
            age_ms: now.saturating_sub(seen.at),
            percent: seen.percent,
            is_start: seen.is_start,
        };
        self.first_seen.iter().map(mark).collect()
    }

    /// Builds the report for the planner; `agent` is the name of the agent's instance.
    pub fn build_report(&self, agent: &str, agent_incarnation: u64, seq: u64) -> Report {
        // The planner keeps a run until its end is listed, and sends no start for it.
        let mut running: Vec<Running> =
            self.running.values().chain(self.unlisted.values()).cloned().collect();
        let not_listed = self.started.keys().filter(|run| !self.running.contains_key(run));
        running.extend(not_listed.map(listing::new_run));
        let not_started = |((task, run), why): (&RunKey, &String)| NotStarted {
            task: task.clone(),
            run: *run,
            reason: why.clone(),
        };
        Report {
            agent: agent.to_owned(),
            agent_incarnation,
            seq,
            worker: self.announced.as_ref().map(|known| WorkerInfo {
                draining: known.info.draining || self.presence != Presence::Present,
                ..known.info.clone()
            }),
            silent_before_ms: self.silent_before_ms,
            running,
            ended: self.ended.clone(),
            not_started: self.not_started.iter().map(not_started).collect(),
            first_marks: Vec::new(),
        }
    }
}
