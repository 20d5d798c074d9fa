//! The active planner: connects the planning decisions with real clocks, the store and the agents.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sorrelland_fleet::Resources;
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::desired::Desired;
use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::planner::{Admission, Planner, Timing};
use sorrelland_fleet::report::Report;
use sorrelland_platform::store::{Error, Writer, encode_keyed};
use sorrelland_platform::{PolicyClient, Store};
use tokio::sync::{Notify, watch};

use crate::absence::{AnsweredCalls, outage_rest_ms, spread_retry_ms};
use crate::adaptive_timeout::AdaptiveTimeout;
use crate::calls::{Leader, PlannerReply as Reply, PlannerRequest};
use crate::clock::{now_ms, wall_ms};
use crate::election::{MAX_STORE_OUTAGE_MS, RENEWAL_INTERVAL, renew};
use crate::planner_load::PlannerLoad;
use crate::store_failures::StoreFailures;
use crate::stored::{
    APPEND_RETRY_DELAY, JOBS, PRODUCER, Snapshot, append_outcome, load_jobs, split_into_appends,
};
use crate::{lock, metrics};

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

/// Time for which appends have to fail before submissions are answered with "not run", in milliseconds: longer than a slow
/// store or a few lost replies take.
const STORE_PATIENCE_MS: u64 = 1_000;

/// Failed tries of an append per log line: about one line a second.
const TRIES_PER_LOG_LINE: u32 = 10;

/// Maximum wait for an approval request before the leadership is checked again.
const APPROVAL_REQUEST_WAIT: Duration = Duration::from_secs(2);

/// The planner that a leader runs, with its background tasks.
pub struct ActivePlanner {
    /// This process as the leader, with the epoch of its claim.
    pub leader: Leader,
    planner: Mutex<Planner>,
    /// Triggers a planning pass once the pause after the last one is over.
    pass: Notify,
    /// Triggers a planning pass at once, for a caller who waits for it.
    urgent_pass: Notify,
    load: Mutex<PlannerLoad>,
    store_failures: Mutex<StoreFailures>,
    /// When the first of the failed tries of the append in progress began, on the monotonic clock.
    append_failing_since: Mutex<Option<u64>>,
    /// Whether appends have failed for [`STORE_PATIENCE_MS`].
    store_unavailable: watch::Sender<bool>,
    answered_calls: Mutex<AnsweredCalls>,
    /// Triggers an append of the changes.
    append: Notify,
    /// Triggers requests to the policy service.
    approval_requests: Notify,
    /// Number of the newest stored change.
    stored: watch::Sender<u64>,
    stepped_down: watch::Sender<bool>,
    agents: Mutex<BTreeMap<String, AgentSlot>>,
}

/// Result of an append.
enum Appended {
    Stored,
    /// Nothing of it is or will be stored.
    Rejected,
    /// The leadership has ended; the append may be stored.
    Ended,
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
        let (jobs, digest) = load_jobs(store, &mut writer, earlier).await?;
        let mut planner = Planner::new(timing, desired, jobs, now_ms());
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
        });
        log::info!("event=office_taken epoch={}", active.leader.epoch);
        tokio::spawn(active.clone().run_passes());
        tokio::spawn(active.clone().run_appends(store.clone(), writer));
        tokio::spawn(active.clone().run_renewals(store.clone()));
        if let Some(policy) = policy {
            tokio::spawn(active.clone().run_approval_requests(policy));
        }
        Some(active)
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
    fn request_pass(&self, change: u64) {
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

    fn wake_agents(&self, agents: Vec<String>) {
        let slots = lock(&self.agents);
        for agent in agents {
            if let Some(slot) = slots.get(&agent) {
                slot.wake.notify_waiters();
            }
        }
    }

    async fn run_appends(self: Arc<Self>, store: Store, mut writer: Writer) {
        let mut append_timeout = AdaptiveTimeout::default();
        while !self.has_stepped_down() {
            self.append.notified().await;
            loop {
                let Some((records, change)) = lock(&self.planner).take_changes() else { break };
                let raw: Vec<Vec<u8>> = records.iter().map(encode_keyed).collect();
                let parts = split_into_appends(raw);
                let mut is_rejected = false;
                for part in &parts {
                    // A rejected append changes nothing, but an earlier part may be stored.
                    let may_return = parts.len() == 1;
                    match self.append_part(&store, &mut writer, &mut append_timeout, part, may_return).await {
                        Appended::Stored => (),
                        Appended::Rejected => is_rejected = true,
                        Appended::Ended => return,
                    }
                }
                if is_rejected {
                    lock(&self.planner).return_changes();
                    tokio::time::sleep(APPEND_RETRY_DELAY).await;
                    continue;
                }
                let to_wake = {
                    let mut planner = lock(&self.planner);
                    planner.record_stored(change);
                    planner.take_agents_to_wake_after_store()
                };
                self.stored.send_replace(change);
                self.wake_agents(to_wake);
            }
        }
    }

    /// Repeats an append until it is stored, or if `may_return` until it is certain that it is not.
    async fn append_part(
        &self,
        store: &Store,
        writer: &mut Writer,
        append_timeout: &mut AdaptiveTimeout,
        part: &[Vec<u8>],
        may_return: bool,
    ) -> Appended {
        // Set once an append without an answer may have been carried out.
        let mut unanswered = false;
        let mut tries = 0_u32;
        while !self.has_stepped_down() {
            let (began, began_ms) = (Instant::now(), now_ms());
            let appended = store.append_as(JOBS, writer, part, append_timeout.wait()).await;
            metrics::record_append(append_outcome(&appended), began);
            lock(&self.store_failures).record(now_ms(), &appended);
            self.record_append(began_ms, appended.is_ok());
            match &appended {
                Err(e) if !e.not_applied() => append_timeout.record_timeout(),
                _ => append_timeout.record_reply(began.elapsed()),
            }
            match appended {
                Ok(_) => {
                    writer.sequence += 1;
                    return Appended::Stored;
                }
                Err(Error::Fenced) => {
                    self.step_down("a writer with a higher epoch has taken over");
                    return Appended::Ended;
                }
                Err(Error::Sequence { expected: Some(next) }) if !unanswered && next != writer.sequence => {
                    log::warn!("event=sequence_set from={} to={next}", writer.sequence);
                    writer.sequence = next;
                }
                Err(e @ Error::Sequence { .. }) => {
                    self.step_down(&format!("append sequence lost: {e}"));
                    return Appended::Ended;
                }
                Err(e) => {
                    unanswered |= !e.not_applied();
                    tries += 1;
                    if tries == 1 || tries.is_multiple_of(TRIES_PER_LOG_LINE) {
                        let sequence = writer.sequence;
                        log::warn!("event=append_retried sequence={sequence} tries={tries} cause=\"{e}\"");
                    }
                    if may_return && !unanswered {
                        return Appended::Rejected;
                    }
                    tokio::time::sleep(APPEND_RETRY_DELAY).await;
                }
            }
        }
        Appended::Ended
    }

    /// Records whether a try of an append that began at `began` succeeded, and whether appends fail for so long that nothing
    /// more is accepted.
    fn record_append(&self, began: u64, is_stored: bool) {
        let mut since = lock(&self.append_failing_since);
        *since = if is_stored { None } else { since.or(Some(began)) };
        let failing_ms = since.map_or(0, |since| now_ms().saturating_sub(since));
        let unavailable = failing_ms >= STORE_PATIENCE_MS;
        if self.store_unavailable.send_replace(unavailable) != unavailable {
            let epoch = self.leader.epoch;
            log::warn!(
                "event=store_unavailable epoch={epoch} unavailable={unavailable} failing_ms={failing_ms}"
            );
        }
    }

    /// Returns how long the store has rejected the planner's calls, in milliseconds; 0 if it answers.
    pub fn store_failing_ms(&self) -> u64 {
        lock(&self.store_failures).lasting_ms(now_ms())
    }

    async fn run_renewals(self: Arc<Self>, store: Store) {
        let mut renewed_at = now_ms();
        while !self.has_stepped_down() {
            let renewal = renew(&store, self.leader.epoch, false).await;
            lock(&self.store_failures).record(now_ms(), &renewal);
            match renewal {
                Ok(()) => {
                    renewed_at = now_ms();
                    // Without an append in progress nothing else would show that the store is back.
                    self.record_append(renewed_at, true);
                }
                Err(e) => log::warn!("event=renewal_failed epoch={} cause=\"{e}\"", self.leader.epoch),
            }
            if now_ms() > renewed_at + MAX_STORE_OUTAGE_MS {
                self.step_down("the store was unreachable for too long");
            }
            tokio::time::sleep(RENEWAL_INTERVAL).await;
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
            match policy.request_approvals(&name, &workers).await {
                Ok(approvals) => {
                    let mut planner = lock(&self.planner);
                    planner.record_approvals(
                        now_ms(),
                        &step,
                        &workers,
                        &approvals.admitted,
                        approvals.valid_ms,
                    );
                    drop(planner);
                    self.pass.notify_one();
                }
                Err(e) => log::warn!("event=policy_unanswered job={} step={name} cause=\"{e}\"", step.0),
            }
        }
    }

    /// Submits a job of a call and waits at most `wait` until it is stored. A job that can't be stored is withdrawn if no
    /// append contains it yet.
    async fn submit(&self, sub: &Submission, call: u64, wait: Duration) -> Reply {
        let priority = lock(&self.planner).priority(&sub.queue);
        let not_run = || {
            lock(&self.answered_calls).record(now_ms(), call);
            let failing_ms =
                lock(&self.append_failing_since).map_or(0, |since| now_ms().saturating_sub(since));
            let retry_after_ms = spread_retry_ms(outage_rest_ms(failing_ms), &sub.job, priority);
            log::info!(
                "event=not_run job={} failing_ms={failing_ms} retry_after_ms={retry_after_ms}",
                sub.job
            );
            Reply::NotRun { retry_after_ms }
        };
        if lock(&self.answered_calls).contains(call) {
            return not_run();
        }
        if *self.store_unavailable.borrow() && !lock(&self.planner).knows(&sub.job) {
            return not_run();
        }
        let (admission, value) = {
            let mut planner = lock(&self.planner);
            (planner.submit(now_ms(), wall_ms(), sub), planner.value_in_time(sub))
        };
        let change = match admission {
            Admission::Refused { reason: why, retry_after_ms } => {
                lock(&self.answered_calls).record(now_ms(), call);
                log::info!(
                    "event=refused job={} queue={} account={} priority={priority} value={value:.2} epoch={} \
                     retry_after_ms={retry_after_ms} why=\"{why}\"",
                    sub.job,
                    sub.queue,
                    sub.account,
                    self.leader.epoch
                );
                return Reply::Refused { why, retry_after_ms };
            }
            Admission::Accepted { change } => change,
        };
        // The pass places the job, so that one append stores both the job and its placement.
        self.request_pass(change);
        let deadline = tokio::time::Instant::now() + wait;
        let mut unavailable = self.store_unavailable.subscribe();
        let is_stored = tokio::select! {
            is_stored = self.wait_stored(change, wait) => is_stored,
            // The sender exists as long as this planner.
            Ok(_) = unavailable.wait_for(|unavailable| *unavailable) => false,
        };
        // Another attempt of the caller may have withdrawn the job.
        if is_stored && lock(&self.planner).knows(&sub.job) {
            log::info!(
                "event=accepted job={} queue={} account={} priority={priority} {}",
                sub.job,
                sub.queue,
                sub.account,
                shape(sub)
            );
            return Reply::Accepted;
        }
        if is_stored || lock(&self.planner).withdraw(&sub.job) {
            // The next leader may accept it at once.
            return if self.has_stepped_down() { Reply::NotPlanner(None) } else { not_run() };
        }
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        match !self.has_stepped_down() && self.wait_stored(change, left).await {
            true => Reply::Accepted,
            // The append may have been carried out even if the leadership has ended.
            false => Reply::Unresolved,
        }
    }

    /// Waits at most `wait` until a change is stored; returns whether it is.
    async fn wait_stored(&self, change: u64, wait: Duration) -> bool {
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
            PlannerRequest::Submit { sub, call } => self.submit(&sub, call, wait).await,
            PlannerRequest::State(job) => Reply::State(lock(&self.planner).state(&job)),
            PlannerRequest::Pending(queue) => Reply::Pending(lock(&self.planner).pending(&queue) as u64),
            PlannerRequest::View(query) => {
                Reply::View(lock(&self.planner).view(&query, now_ms(), wall_ms()).to_string())
            }
            PlannerRequest::Explain(sub) => {
                let trial = lock(&self.planner).trial();
                Reply::View(trial.explain(now_ms(), wall_ms(), &sub).to_string())
            }
            PlannerRequest::Cancel(job) => {
                let change = lock(&self.planner).cancel(now_ms(), wall_ms(), &job);
                let Some(change) = change else { return Reply::Cancelled(false) };
                self.request_pass(change);
                match self.wait_stored(change, wait).await {
                    true => Reply::Cancelled(true),
                    false => Reply::Unresolved,
                }
            }
        }
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

/// Formats the size and options of a job for the logs.
fn shape(sub: &Submission) -> String {
    let step = |step: &Step| {
        let flags = [
            (step.gang, "gang"),
            (step.prefers_one_rack, "one_rack"),
            (step.saves_progress, "saves"),
            (step.speculative, "speculative"),
            (step.long_running, "lasting"),
            (step.uses_idle_cpu, "fills"),
            (step.label.is_some(), "label"),
            (step.preferred_rack.is_some(), "near"),
            (step.max_per_worker.is_some(), "spread"),
            (step.target_ms.is_some(), "target"),
            (!step.depends_on.is_empty(), "after"),
        ];
        let flags: Vec<&str> = flags.iter().filter(|(on, _)| *on).map(|(_, name)| *name).collect();
        let Resources { millicores, memory_mb, accelerators } = step.resources;
        let (count, ms) = (step.count, step.estimate_ms);
        format!("{count}x{millicores}m/{memory_mb}MB/{accelerators}acc~{ms}ms:{}", flags.join("+"))
    };
    let steps: Vec<String> = sub.steps.iter().map(step).collect();
    let occurrences = sub.schedule.map_or(1, |schedule| schedule.occurrences);
    format!("occurrences={occurrences} shape=\"{}\"", steps.join(","))
}

/// Compares assignments without their number and grant.
fn same_assignments(one: &Assignments, other: &Assignments) -> bool {
    let plain = |assignments: &Assignments| Assignments { number: 0, grant_ms: 0, ..assignments.clone() };
    plain(one) == plain(other)
}
