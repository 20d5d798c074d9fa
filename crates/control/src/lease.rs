//! What an agent knows of its worker: announcements, leases, runs and their ends. No network; time is passed in.

use std::collections::{BTreeMap, BTreeSet};

use sorrelland_fleet::Task;
use sorrelland_fleet::assignments::{Assignments, Pace, Start, Stop};
use sorrelland_fleet::report::{End, NotStarted, Report, Running, WorkerInfo};
use sorrelland_platform::worker::{Announcement, Listing};

/// Time of a grant that must be left for a start, in milliseconds: less would end before the next report.
const START_NEEDS_MS: u64 = 1_000;

/// Parts in a hundred by which a worker's clock may be slow.
const SLOW_PERCENT: u64 = 2;

/// Time after which a stop that was answered is ordered again if the run is still listed, in milliseconds: beyond
/// the longest `stop_ms` of the users' sheets.
const STOP_AGAIN_MS: u64 = 1_500;

/// Time beyond every bound after which a lease counts as run out, in milliseconds.
const LAPSE_SLACK_MS: u64 = 300;

type RunKey = (Task, u64);

/// State of one worker as its agent knows it.
#[derive(Debug, Default)]
pub struct Watched {
    /// Longest time that a lease on the worker may have left, in milliseconds.
    longest_lease_ms: u64,
    /// Longest time that a stop takes, in milliseconds.
    stop_ms: u64,
    announced: Option<Announcement>,
    left: bool,
    past_lives: BTreeSet<String>,
    epoch: u64,
    orders: Option<Assignments>,
    /// When the newest grant ends, on the agent's clock.
    granted_until: u64,
    /// Latest end that any lease on the worker may have, on the agent's clock.
    leased_until: u64,
    /// The worker's clock, and when it was read.
    clock: Option<(u64, u64)>,
    running: BTreeMap<RunKey, Running>,
    /// Runs whose start was confirmed, with the worker's clock at the confirmation.
    started: BTreeMap<RunKey, u64>,
    /// Runs whose start was ordered and not yet answered for good.
    tried: BTreeSet<RunKey>,
    ended: Vec<End>,
    /// Runs that can't arrive any more unless a look begun later shows them, with the looks begun before.
    resolving: BTreeMap<RunKey, (String, u64)>,
    /// Looks begun; clocks are too coarse to tell whether a look began before an answer.
    looks: u64,
    gone: BTreeMap<RunKey, String>,
    /// Stops that the worker has answered, with the time of the answer.
    stopped: BTreeMap<RunKey, u64>,
    /// Speed shares that the worker has confirmed.
    paced: BTreeMap<RunKey, u64>,
    listed_clock: u64,
}

impl Watched {
    /// Creates the state of a worker that has not announced itself yet; times are in milliseconds.
    pub fn new(longest_lease_ms: u64, stop_ms: u64) -> Self {
        Self { longest_lease_ms, stop_ms, ..Self::default() }
    }

    /// Takes in an announcement; returns whether anything changed that the planner should hear at once.
    pub fn announce(&mut self, now: u64, announcement: Announcement) -> bool {
        let life = &announcement.info.incarnation;
        if self.past_lives.contains(life) {
            return false;
        }
        match &self.announced {
            Some(known) if known.info.incarnation == *life => {
                if announcement.sequence <= known.sequence {
                    return false;
                }
                let changed = known.info != announcement.info;
                self.announced = Some(announcement);
                changed
            }
            Some(_) => {
                self.drop_life();
                self.announced = Some(announcement);
                true
            }
            None => {
                // A former life of this agent may have extended leases that this one knows nothing of.
                self.leased_until = self.leased_until.max(now + self.longest_lease_ms);
                self.announced = Some(announcement);
                true
            }
        }
    }

    /// Notes that a life of the worker is over.
    pub fn drop_current(&mut self, life: &str) {
        if self.life() == Some(life) {
            self.drop_life();
        }
    }

    fn drop_life(&mut self) {
        if let Some(known) = self.announced.take() {
            self.past_lives.insert(known.info.incarnation);
        }
        let past_lives = std::mem::take(&mut self.past_lives);
        *self = Self {
            past_lives,
            epoch: self.epoch,
            granted_until: self.granted_until,
            looks: self.looks,
            ..Self::new(self.longest_lease_ms, self.stop_ms)
        };
    }

    /// Notes that the worker has said that it is gone: whatever ran there has ended.
    pub fn leave(&mut self, life: &str) {
        if self.life() != Some(life) {
            return;
        }
        self.left = true;
        self.give_up("the worker has left");
    }

    fn give_up(&mut self, why: &str) {
        let runs =
            self.running.keys().chain(&self.tried).chain(self.started.keys()).chain(self.resolving.keys());
        let runs: Vec<RunKey> = runs.filter(|run| !self.is_ended(run)).cloned().collect();
        for run in runs {
            self.gone.insert(run, why.to_owned());
        }
        self.running.clear();
        self.started.clear();
        self.tried.clear();
        self.resolving.clear();
    }

    fn is_ended(&self, (task, run): &RunKey) -> bool {
        self.ended.iter().any(|end| end.task == *task && end.run == *run)
    }

    /// Returns the worker's life.
    pub fn life(&self) -> Option<&str> {
        self.announced.as_ref().map(|known| known.info.incarnation.as_str())
    }

    /// Returns the fencing token for calls to the worker.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes in a planner's wish that answers a report sent at `sent`; returns whether it counts.
    pub fn take_orders(&mut self, sent: u64, epoch: u64, orders: Option<Assignments>) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.orders = None;
        }
        let Some(orders) = orders else { return true };
        if self.life() != Some(&orders.incarnation) {
            return false;
        }
        if self.orders.as_ref().is_some_and(|known| known.number >= orders.number) {
            return false;
        }
        self.granted_until = self.granted_until.max(sent + orders.grant_ms);
        let wanted = |run: &RunKey| {
            orders.starts.iter().any(|start| start.task == run.0 && start.run == run.1)
                || orders.stops.iter().any(|stop| stop.task == run.0 && stop.run == run.1)
        };
        self.gone.retain(|run, _| wanted(run));
        self.stopped.retain(|run, _| wanted(run));
        self.orders = Some(orders);
        true
    }

    /// Returns the end of the lease on the worker's clock that the grant allows now, and notes it as given.
    pub fn extend(&mut self, now: u64) -> Option<u64> {
        let (clock, read_at) = self.clock?;
        let left = self.granted_until.checked_sub(now).filter(|left| *left > 0)?;
        self.leased_until = self.leased_until.max(self.granted_until);
        let slow = |ms: u64| ms * (100 - SLOW_PERCENT) / 100;
        Some(clock + slow(now.saturating_sub(read_at)) + slow(left))
    }

    /// Notes the worker's clock, read from an answer that arrived at `now`.
    pub fn note_clock(&mut self, now: u64, clock_ms: u64) {
        self.clock = Some((clock_ms, now));
    }

    /// Returns whether the worker's clock is known.
    pub fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns the starts to order now.
    pub fn starts(&self, now: u64) -> Vec<Start> {
        let draining = self.left || self.announced.as_ref().is_none_or(|known| known.info.draining);
        if draining || now + START_NEEDS_MS > self.granted_until {
            return Vec::new();
        }
        let open = |start: &&Start| {
            let run = (start.task.clone(), start.run);
            !self.running.contains_key(&run)
                && !self.started.contains_key(&run)
                && !self.gone.contains_key(&run)
                && !self.resolving.contains_key(&run)
                && !self.is_ended(&run)
        };
        self.orders.iter().flat_map(|orders| &orders.starts).filter(open).cloned().collect()
    }

    /// Returns the stops to order now.
    pub fn stops(&self, now: u64) -> Vec<Stop> {
        let open = |stop: &&Stop| {
            let run = (stop.task.clone(), stop.run);
            let repeat = self.stopped.get(&run).is_none_or(|at| now >= at + STOP_AGAIN_MS);
            repeat
                && !self.gone.contains_key(&run)
                && !self.resolving.contains_key(&run)
                && !self.is_ended(&run)
        };
        self.orders.iter().flat_map(|orders| &orders.stops).filter(open).cloned().collect()
    }

    /// Returns the speed shares to order now.
    pub fn paces(&self) -> Vec<Pace> {
        let open = |pace: &&Pace| {
            let run = (pace.task.clone(), pace.run);
            self.running.contains_key(&run) && self.paced.get(&run).copied().unwrap_or(100) != pace.percent
        };
        self.orders.iter().flat_map(|orders| &orders.paces).filter(open).cloned().collect()
    }

    /// Notes that the worker has confirmed a speed share.
    pub fn note_paced(&mut self, life: &str, pace: &Pace) {
        if self.life() == Some(life) {
            self.paced.insert((pace.task.clone(), pace.run), pace.percent);
        }
    }

    /// Returns the highest end that the planner has stored.
    pub fn seen(&self) -> u64 {
        self.orders.as_ref().map_or(0, |orders| orders.acknowledged)
    }

    /// Notes that a start is about to be ordered.
    pub fn note_tried(&mut self, start: &Start) {
        self.tried.insert((start.task.clone(), start.run));
    }

    /// Notes that the worker has confirmed a start.
    pub fn note_started(&mut self, life: &str, start: &Start, clock_ms: u64) {
        if self.life() == Some(life) {
            self.started.insert((start.task.clone(), start.run), clock_ms);
        }
    }

    /// Notes that the worker has answered a stop.
    pub fn note_stopped(&mut self, life: &str, stop: &Stop, now: u64) {
        if self.life() == Some(life) {
            self.stopped.insert((stop.task.clone(), stop.run), now);
        }
    }

    /// Begins a look and returns its number.
    pub fn begin_look(&mut self) -> u64 {
        self.looks += 1;
        self.looks
    }

    /// Notes that a run can't arrive any more; a look begun from now on tells whether it was there.
    pub fn note_final(&mut self, life: &str, task: &Task, run: u64, why: &str) {
        if self.life() == Some(life) {
            self.resolving.insert((task.clone(), run), (why.to_owned(), self.looks));
        }
    }

    /// Takes in the lists of a look with its number; returns whether the planner should hear of it at once.
    pub fn take_listing(&mut self, now: u64, look: u64, life: &str, listing: Listing) -> bool {
        if self.life() != Some(life) || listing.clock_ms < self.listed_clock {
            return false;
        }
        self.listed_clock = listing.clock_ms;
        self.note_clock(now, listing.clock_ms);
        let key = |run: &Running| (run.task.clone(), run.run);
        let running: BTreeMap<RunKey, Running> =
            listing.running.iter().map(|run| (key(run), run.clone())).collect();
        let news = listing.ended != self.ended || !running.keys().eq(self.running.keys());
        self.running = running;
        self.ended = listing.ended;
        self.started.retain(|run, at| *at >= listing.clock_ms && !self.running.contains_key(run));
        self.paced.retain(|run, _| self.running.contains_key(run));
        let ended = |run: &RunKey| self.ended.iter().any(|end| end.task == run.0 && end.run == run.1);
        let settled: Vec<RunKey> = self
            .resolving
            .iter()
            .filter(|(_, (_, before))| look > *before)
            .map(|(run, _)| run.clone())
            .collect();
        for run in &settled {
            if let Some((why, _)) = self.resolving.remove(run)
                && !self.running.contains_key(run)
                && !ended(run)
            {
                self.gone.insert(run.clone(), why);
            }
        }
        self.tried.retain(|run| !self.running.contains_key(run) && !self.gone.contains_key(run));
        news || !settled.is_empty()
    }

    /// Gives up what ran once every lease has certainly run out; returns whether anything was given up.
    pub fn lapse(&mut self, now: u64) -> bool {
        let slow_ms = self.longest_lease_ms * SLOW_PERCENT / 100;
        let over = self.leased_until + slow_ms + self.stop_ms + LAPSE_SLACK_MS;
        let any = !self.running.is_empty() || !self.tried.is_empty() || !self.started.is_empty();
        if now <= over || !any {
            return false;
        }
        self.give_up("its lease has run out");
        true
    }

    /// Returns whether the worker should be looked at.
    pub fn needs_look(&self) -> bool {
        !self.running.is_empty()
            || !self.started.is_empty()
            || !self.tried.is_empty()
            || !self.ended.is_empty()
            || !self.resolving.is_empty()
            || self.orders.as_ref().is_some_and(|orders| !orders.starts.is_empty())
    }

    /// Returns whether the worker lists ends that the planner has not stored yet; a look returns at once then.
    pub fn has_unconfirmed(&self) -> bool {
        let seen = self.seen();
        self.ended.iter().any(|end| end.number > seen)
    }

    /// Returns whether a run waits for a look that tells whether it was there.
    pub fn resolves(&self) -> bool {
        !self.resolving.is_empty()
    }

    /// Returns the report for the planner.
    pub fn report(&self, agent: &str, agent_life: u64, seq: u64) -> Report {
        let mut running: Vec<Running> = self.running.values().cloned().collect();
        running.extend(self.started.keys().filter(|run| !self.running.contains_key(run)).map(
            |(task, run)| Running {
                task: task.clone(),
                run: *run,
                saved: String::new(),
                percent: 0,
                measurement: 0,
            },
        ));
        let gone = |((task, run), why): (&RunKey, &String)| NotStarted {
            task: task.clone(),
            run: *run,
            reason: why.clone(),
        };
        Report {
            agent: agent.to_owned(),
            agent_incarnation: agent_life,
            seq,
            worker: self
                .announced
                .as_ref()
                .map(|known| WorkerInfo { draining: known.info.draining || self.left, ..known.info.clone() }),
            running,
            ended: self.ended.clone(),
            not_started: self.gone.iter().map(gone).collect(),
        }
    }
}
