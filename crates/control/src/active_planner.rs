//! The active planner: connects the planning decisions with real clocks, the store and the agents.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::desired::{Address, Desired};
use sorrelland_fleet::incarnation::WorkerId;
use sorrelland_fleet::planner::{Planner, Timing};
use sorrelland_fleet::report::Report;
use sorrelland_fleet::{Caller, Submission};
use sorrelland_platform::store::Writer;
use sorrelland_platform::{PolicyClient, Store};
use tokio::sync::{Notify, watch};

use crate::absence::AnsweredCalls;
use crate::calls::{Leader, PlannerReply as Reply, PlannerRequest, QueueRequest};
use crate::clock::{now_ms, wall_ms};
use crate::confirmation::Confirmations;
use crate::election::CancelsStored;
use crate::planner_load::PlannerLoad;
use crate::store_failures::StoreFailures;
use crate::stored::{Loaded, PRODUCER, Snapshot, load_jobs};
use crate::{build, lock, metrics};

/// Time between two planning passes when nothing else triggers one; an occurrence of a scheduled job starts at most
/// this late.
const PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum pause after a pass. Passes pause for as long as they took, so that they use at most half of the processor and
/// the reports in between are handled together.
const MAX_PASS_PAUSE: Duration = Duration::from_millis(100);

/// Duration of a pass from which it is logged.
const SLOW_PASS: Duration = Duration::from_millis(50);

/// Maximum time for which an agent's report waits for new assignments.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(500);

/// Maximum wait for an approval request before the leadership is checked again.
const APPROVAL_REQUEST_WAIT: Duration = Duration::from_secs(2);

/// The planner that a leader runs, with its background tasks.
pub struct ActivePlanner {
    /// This process as the leader, with the epoch of its claim.
    pub leader: Leader,
    pub(crate) planner: Mutex<Planner>,
    /// Triggers a planning pass once the pause after the last one is over.
    pass: Notify,
    /// Triggers a planning pass at once, for a caller who waits for it.
    urgent_pass: Notify,
    load: Mutex<PlannerLoad>,
    pub(crate) store_failures: Mutex<StoreFailures>,
    /// When the first of the failed tries of the append in progress began, on the monotonic clock.
    pub(crate) append_failing_since: Mutex<Option<u64>>,
    /// Whether appends have failed for so long that nothing more is accepted.
    pub(crate) store_unavailable: watch::Sender<bool>,
    pub(crate) answered_calls: Mutex<AnsweredCalls>,
    /// Triggers an append of the changes.
    pub(crate) append: Notify,
    /// Triggers requests to the policy service.
    approval_requests: Notify,
    /// Number of the newest stored change.
    pub(crate) stored: watch::Sender<u64>,
    stepped_down: watch::Sender<bool>,
    agents: Mutex<BTreeMap<String, AgentSlot>>,
    pub(crate) confirmations: Confirmations,
    /// Since when every leader has stored the cancels of unknown jobs.
    pub(crate) cancels_stored: Mutex<CancelsStored>,
}

/// Newest report number and last assignments of an agent, and how to wake its waiting call.
#[derive(Default)]
struct AgentSlot {
    wake: Arc<Notify>,
    /// Incarnation of the agent and number of its newest report.
    newest: (u64, u64),
    /// Assignments last sent, with the incarnation of the agent that received them.
    sent: Option<(u64, Assignments)>,
}

impl ActivePlanner {
    /// Fences every earlier writer, reads the jobs and spawns the tasks of the planner. Of the jobs it reads only what is
    /// newer than `earlier`, if there is one.
    pub async fn start(
        store: &Store,
        policy: Option<PolicyClient>,
        leader: Leader,
        timing: Timing,
        desired: Arc<Desired>,
        earlier: Option<Snapshot>,
    ) -> Option<Arc<Self>> {
        let mut writer = Writer { producer: PRODUCER.to_owned(), epoch: leader.epoch, sequence: 0 };
        let Loaded { jobs, cancels, digest } = load_jobs(store, &mut writer, earlier).await?;
        let mut planner =
            Planner::new(timing, desired, jobs, now_ms()).with_cancels(cancels).with_epoch(leader.epoch);
        if let Some(digest) = digest {
            planner.restore(now_ms(), wall_ms(), digest);
        }
        let active = Arc::new(Self {
            leader,
            planner: Mutex::new(planner),
            pass: Notify::new(),
            urgent_pass: Notify::new(),
            load: Mutex::new(PlannerLoad::new(Instant::now())),
            store_failures: Mutex::default(),
            append_failing_since: Mutex::default(),
            store_unavailable: watch::Sender::new(false),
            answered_calls: Mutex::default(),
            append: Notify::new(),
            approval_requests: Notify::new(),
            stored: watch::Sender::new(0),
            stepped_down: watch::Sender::new(false),
            agents: Mutex::default(),
            confirmations: Confirmations::default(),
            cancels_stored: Mutex::default(),
        });
        let (epoch, instance) = (active.leader.epoch, &active.leader.instance);
        log::info!("event=office_taken epoch={epoch} instance={instance} {}", build::THIS);
        tokio::spawn(active.clone().run_passes());
        tokio::spawn(active.clone().run_appends(store.clone(), writer));
        tokio::spawn(active.clone().run_renewals(store.clone()));
        tokio::spawn(active.clone().run_confirmations(store.clone()));
        if let Some(policy) = policy {
            tokio::spawn(active.clone().run_approval_requests(policy));
        }
        Some(active)
    }

    /// Sets since when every leader has stored the cancels of unknown jobs.
    pub fn set_cancels_stored(&self, cancels_stored: CancelsStored) {
        *lock(&self.cancels_stored) = cancels_stored;
    }

    pub fn has_stepped_down(&self) -> bool {
        *self.stepped_down.borrow()
    }

    pub async fn wait_for_step_down(&self) {
        let mut stepped_down = self.stepped_down.subscribe();
        // The sender exists as long as this planner.
        let _ = stepped_down.wait_for(|stepped_down| *stepped_down).await;
    }

    /// Ends the leadership of this process; from now on every call is answered with a redirect.
    pub fn step_down(&self, why: &str) {
        if !self.stepped_down.send_replace(true) {
            log::info!("event=office_ended epoch={} why=\"{why}\"", self.leader.epoch);
        }
        for slot in lock(&self.agents).values() {
            slot.wake.notify_waiters();
        }
    }

    pub fn set_desired(&self, desired: Arc<Desired>) {
        lock(&self.planner).set_desired(desired);
        self.pass.notify_one();
    }

    /// Sets the failure domains on whose workers nothing is placed.
    pub fn set_evacuated(&self, domains: BTreeSet<String>) {
        lock(&self.planner).set_evacuated(domains);
        self.pass.notify_one();
    }

    async fn run_passes(self: Arc<Self>) {
        while !self.has_stepped_down() {
            let pass = self.run_pass();
            tokio::select! {
                () = self.urgent_pass.notified() => continue,
                () = tokio::time::sleep(pass.min(MAX_PASS_PAUSE)) => (),
            }
            tokio::select! {
                () = self.urgent_pass.notified() => (),
                () = self.pass.notified() => (),
                () = tokio::time::sleep(PASS_INTERVAL) => (),
            }
        }
    }

    /// Requests a pass at once for a caller who waits until `change` is stored.
    pub(crate) fn request_pass(&self, change: u64) {
        if *self.stored.borrow() < change {
            self.urgent_pass.notify_one();
        }
    }

    /// Runs a planning pass and returns how long it took.
    fn run_pass(&self) -> Duration {
        let began = Instant::now();
        let (lines, to_wake) = {
            let mut planner = lock(&self.planner);
            planner.tick(now_ms(), wall_ms());
            let (reporting, known) = planner.reporting_workers(now_ms());
            metrics::set_gauge("workers_heard", reporting as u64);
            metrics::set_gauge("workers_known", known as u64);
            metrics::set_gauge("jobs_live", planner.live_jobs() as u64);
            let (without_queue, of_removed_queues) = planner.jobs_without_queue();
            metrics::set_gauge("jobs_without_queue", without_queue as u64);
            metrics::set_gauge("jobs_of_removed_queues", of_removed_queues as u64);
            metrics::set_gauge("longest_wait_ms", planner.longest_wait_ms());
            let speeds = planner.speed_summary();
            metrics::set_gauge("worker_speeds_known", speeds.map_or(0, |speeds| speeds.known as u64));
            if let Some(speeds) = speeds {
                metrics::set_gauge("worker_speed_slowest_milli", speeds.slowest_milli);
                metrics::set_gauge("worker_speed_median_milli", speeds.median_milli);
                metrics::set_gauge("worker_speed_fastest_milli", speeds.fastest_milli);
            }
            for error in planner.take_forecast_errors() {
                metrics::record_forecast_error(error);
            }
            if planner.has_approval_requests() {
                self.approval_requests.notify_one();
            }
            for (reason, count) in planner.take_ignored_reports() {
                metrics::count_ignored_reports(reason, count);
            }
            for (cause, count) in planner.take_refusals() {
                metrics::count_refusals(cause, count);
            }
            (planner.take_log(), planner.take_agents_to_wake())
        };
        for line in lines {
            log::info!("{line}");
        }
        self.append.notify_one();
        self.wake_agents(to_wake);
        self.record_pass(began)
    }

    /// Records the times of a pass that began at `began`, and returns how long it took.
    fn record_pass(&self, began: Instant) -> Duration {
        let ended = Instant::now();
        let ((pass, gap), line) = {
            let mut load = lock(&self.load);
            (load.record_pass(began, ended), load.take_line(ended))
        };
        metrics::record_pass(pass, gap);
        if let Some(line) = line {
            log::info!("{line}");
        }
        if pass >= SLOW_PASS {
            let jobs = lock(&self.planner).live_jobs();
            log::warn!("event=slow_pass pass_ms={} gap_ms={} jobs={jobs}", pass.as_millis(), gap.as_millis());
        }
        pass
    }

    pub(crate) fn wake_agents(&self, agents: Vec<String>) {
        let slots = lock(&self.agents);
        for agent in agents {
            if let Some(slot) = slots.get(&agent) {
                slot.wake.notify_waiters();
            }
        }
    }

    /// Sends approval requests one at a time, as the policy service processes them.
    async fn run_approval_requests(self: Arc<Self>, policy: PolicyClient) {
        while !self.has_stepped_down() {
            let approval_request = lock(&self.planner).next_approval_request(now_ms());
            let Some((step, workers)) = approval_request else {
                // After a time-out the loop checks whether the leadership has ended.
                let _ = tokio::time::timeout(APPROVAL_REQUEST_WAIT, self.approval_requests.notified()).await;
                continue;
            };
            let name = format!("{}.{}.{}", step.0, step.1, step.2);
            let ids: Vec<WorkerId> = workers.iter().map(|incarnation| WorkerId::of(incarnation)).collect();
            match policy.request_approvals(&name, &ids).await {
                Ok(reply) => {
                    lock(&self.planner).record_approvals(now_ms(), &step, &workers, &reply);
                    self.pass.notify_one();
                }
                Err(e) => log::warn!(
                    "event=policy_unanswered job={} step={name} workers={} cause=\"{e}\"",
                    step.0,
                    workers.len()
                ),
            }
        }
    }

    /// Waits at most `wait` until a change is stored; returns whether it is.
    pub(crate) async fn wait_stored(&self, change: u64, wait: Duration) -> bool {
        let mut stored = self.stored.subscribe();
        let mut stepped_down = self.stepped_down.subscribe();
        let stored = async {
            // The sender exists as long as this planner.
            let _ = stored.wait_for(|stored| *stored >= change).await;
            true
        };
        tokio::select! {
            done = stored => done,
            _ = stepped_down.wait_for(|stepped_down| *stepped_down) => false,
            () = tokio::time::sleep(wait) => false,
        }
    }

    /// Handles the request of a caller, who waits for `wait`.
    pub async fn handle_request(&self, request: PlannerRequest, wait: Duration) -> Reply {
        if self.has_stepped_down() {
            return Reply::NotPlanner(None);
        }
        match request {
            PlannerRequest::Submit { sub, call, known_epoch } => {
                self.submit(&sub, call, known_epoch, wait).await
            }
            PlannerRequest::State(job) => self.job_state(&job, None, wait).await,
            PlannerRequest::StateFor { job, caller } => self.job_state(&job, Some(&caller), wait).await,
            PlannerRequest::Pending(queue) => self.pending(&queue, None),
            PlannerRequest::View(query) => {
                Reply::View(lock(&self.planner).view(&query, now_ms(), wall_ms()).to_string())
            }
            PlannerRequest::Explain(sub) => {
                let trial = lock(&self.planner).trial();
                Reply::View(trial.explain(now_ms(), wall_ms(), &sub).to_string())
            }
            PlannerRequest::Cancel(job) => self.cancel(&job, None, wait).await,
            PlannerRequest::CancelFor { job, caller } => self.cancel(&job, Some(&caller), wait).await,
            PlannerRequest::SubmitTo { sub, call, known_epoch, terms } => {
                let (version, sub) = (terms.version, Submission { terms: Some(terms), ..sub });
                if self.may_reach_later(&sub.job, &sub.caller(), version) {
                    return Reply::Unresolved;
                }
                self.submit(&sub, call, known_epoch, wait).await
            }
            PlannerRequest::At { address, version, req } => {
                self.handle_queue_request(address, version, req, wait).await
            }
        }
    }

    /// Handles a request to the queue at an address, which the entry has found in a version of the desired state.
    async fn handle_queue_request(
        &self,
        address: Address,
        version: u64,
        req: QueueRequest,
        wait: Duration,
    ) -> Reply {
        let (job, caller, is_cancel) = match req {
            QueueRequest::Pending(queue) => return self.pending(&queue, Some(&address)),
            QueueRequest::State { job, caller } => (job, caller, false),
            QueueRequest::Cancel { job, caller } => (job, caller, true),
        };
        let caller = caller.with_address(Some(address));
        if self.may_reach_later(&job, &caller, version) {
            return Reply::Unresolved;
        }
        match is_cancel {
            true => self.cancel(&job, Some(&caller), wait).await,
            false => self.job_state(&job, Some(&caller), wait).await,
        }
    }

    fn pending(&self, queue: &str, address: Option<&Address>) -> Reply {
        Reply::Pending(lock(&self.planner).pending(queue, address) as u64)
    }

    /// Returns whether a call may turn out to be the job's own once this leader has the desired state of the entry, which then
    /// asks again.
    fn may_reach_later(&self, job: &str, caller: &Caller, version: u64) -> bool {
        let may = lock(&self.planner).may_reach_later(job, caller, version);
        if may {
            log::info!("event=desired_awaited job={job} queue={} version={version}", caller.queue);
        }
        may
    }

    /// Returns the state of a caller's job; without a caller, whoever's it is. That there is none is a final answer, so it is confirmed within `wait`.
    async fn job_state(&self, job: &str, caller: Option<&Caller>, wait: Duration) -> Reply {
        let state = lock(&self.planner).state_for(job, caller);
        if state.is_some() || self.confirm_leadership(wait).await {
            return Reply::State(state);
        }
        if self.has_stepped_down() { Reply::NotPlanner(None) } else { Reply::Unresolved }
    }

    /// Applies an agent's report and returns the assignments of its worker once they differ from those last sent, or
    /// after [`MAX_REPORT_WAIT`]. `connected_at` is when the connection that delivered the report was accepted, on the
    /// monotonic clock. Returns `None` if this process no longer leads.
    ///
    /// An outdated report gets no reply: its sender has ended, or connects anew and reports again.
    pub async fn report(&self, report: Report, connected_at: u64) -> Option<Option<Assignments>> {
        let (agent, incarnation, seq) = (report.agent.clone(), report.agent_incarnation, report.seq);
        let began = Instant::now();
        let has_results = !report.ended.is_empty() || !report.not_started.is_empty();
        let (current, joined) = {
            let mut planner = lock(&self.planner);
            let before = planner.reporting_workers(now_ms()).1;
            let current = planner.apply_report(now_ms(), wall_ms(), connected_at, &report);
            (current, planner.reporting_workers(now_ms()).1 != before)
        };
        lock(&self.load).record_report(began.elapsed());
        if !current {
            return std::future::pending().await;
        }
        let wake = {
            let mut slots = lock(&self.agents);
            let slot = slots.entry(agent.clone()).or_default();
            if slot.newest.0 != incarnation || slot.newest.1 < seq {
                slot.newest = (incarnation, seq);
                // Ends the wait of the older report, which this one replaces.
                slot.wake.notify_waiters();
            }
            slot.wake.clone()
        };
        if has_results || joined {
            self.pass.notify_one();
        }
        let deadline = tokio::time::Instant::now() + MAX_REPORT_WAIT;
        loop {
            if self.has_stepped_down() {
                return None;
            }
            // Registers before the check, so that a change between the two is not missed.
            let woken = wake.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            let began = Instant::now();
            let assignments = lock(&self.planner).assignments(now_ms(), &agent);
            let changed = self.record_if_changed(&agent, incarnation, assignments.as_ref());
            lock(&self.load).record_reply(began.elapsed());
            let timed_out = tokio::time::Instant::now() >= deadline;
            if timed_out || changed || self.is_superseded(&agent, incarnation, seq) {
                return Some(assignments);
            }
            // Returns on a change for this agent or at the deadline.
            let _ = tokio::time::timeout_at(deadline, woken).await;
        }
    }

    /// Returns whether a newer report of the agent has arrived.
    fn is_superseded(&self, agent: &str, incarnation: u64, seq: u64) -> bool {
        lock(&self.agents).get(agent).is_some_and(|slot| slot.newest.0 != incarnation || slot.newest.1 > seq)
    }

    /// Records assignments as sent to an incarnation of an agent, unless they equal the last ones sent to it; returns
    /// whether it did.
    fn record_if_changed(&self, agent: &str, incarnation: u64, assignments: Option<&Assignments>) -> bool {
        let mut slots = lock(&self.agents);
        let (Some(slot), Some(assignments)) = (slots.get_mut(agent), assignments) else { return false };
        let sent = slot.sent.as_ref();
        if sent.is_some_and(|(sent_to, sent)| *sent_to == incarnation && same_assignments(sent, assignments))
        {
            return false;
        }
        slot.sent = Some((incarnation, assignments.clone()));
        true
    }
}

/// Compares assignments without their number and grant.
fn same_assignments(one: &Assignments, other: &Assignments) -> bool {
    let plain = |assignments: &Assignments| Assignments { number: 0, grant_ms: 0, ..assignments.clone() };
    plain(one) == plain(other)
}
