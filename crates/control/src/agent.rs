//! The agent beside a worker: the only process that sends it starts, stops and speed shares.

mod announcements;

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use futures::future::join_all;
use sorrelland_fleet::LineLimit;
use sorrelland_fleet::assignments::{Pace, Start, Stop};
use sorrelland_platform::serve::{self, Request};
use sorrelland_platform::worker::{Error, Listing, StartOutcome, StartRequest};
use sorrelland_platform::{Settings, Store, WorkerClient};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;

use self::announcements::Received;
use crate::calls::{EntryPool, Ping, ReportReply, call};
use crate::clock::now_ms;
use crate::election::{CLAIMS, Leadership};
use crate::lease::WorkerState;
use crate::presence::Summary;
use crate::signals::{self, wait_for_stop};
use crate::{Error as RunError, Result, build, follow, lock, metrics, reload, versions};

/// Wait of one read of the claims. Long, because there are many agents and they also learn of the leader from
/// entries.
const CLAIMS_READ_WAIT: Duration = Duration::from_secs(10);

/// Longest time that a poll waits for an end; also the longest time between two extensions of a lease.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a failed call to the worker, and before an unanswered start, stop or speed share is repeated.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time between two checks for due starts, stops and speed shares when nothing triggers one.
const DISPATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Time that the planner gets to store ends before the worker is polled again.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_millis(400);

/// Time between checks for expired leases while the worker needs no poll.
const LAPSE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time-out of a report; the planner replies within half of it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_200);

const REPORT_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reports in flight at a time: one that waits at the planner, and newer ones that overtake it.
const MAX_CONCURRENT_REPORTS: usize = 3;

const PING_TIMEOUT: Duration = Duration::from_millis(500);

struct Agent {
    settings: Settings,
    incarnation: u64,
    leadership: Leadership,
    pool: EntryPool,
    worker: WorkerClient,
    worker_state: Mutex<WorkerState>,
    entries: Mutex<Vec<String>>,
    /// Epoch of the planner that replied to the last report.
    replied_epoch: AtomicU64,
    /// Announcements that the worker has to confirm.
    unconfirmed: mpsc::Sender<Received>,
    /// Limits lines on messages that have no effect.
    line_limit: Mutex<LineLimit>,
    /// Triggers a report.
    report_due: Notify,
    /// Triggers a check for due starts, stops and speed shares.
    dispatch_due: Notify,
    /// Triggers a poll of the worker.
    poll_due: Notify,
}

/// Runs an agent until it is asked to stop.
///
/// # Errors
///
/// Fails if a setting is missing or an address can't be used.
pub async fn run(settings: Settings, path: PathBuf, metrics_port: Option<u16>) -> Result<()> {
    let listen = settings.announcement_address.ok_or(RunError::Missing("the address for announcements"))?;
    let worker = settings.worker_address.ok_or(RunError::Missing("the address of the worker"))?;
    let signal_state = signals::listen();
    tokio::spawn(reload::watch_settings(path, settings.clone(), signal_state.clone()));
    let handle_metrics = Arc::new(|_| async { metrics::render() }.boxed());
    crate::entry::serve_metrics(&settings, metrics_port, handle_metrics)?;
    let store = Store::new(&settings.store_address);
    let (unconfirmed, waiting) = mpsc::channel(announcements::MAX_WAITING);
    let agent = Arc::new(Agent {
        incarnation: rand::random(),
        leadership: Leadership::default(),
        pool: EntryPool::new(&settings.store_address),
        worker: WorkerClient::new(&worker.to_string()),
        worker_state: Mutex::new(
            WorkerState::new(settings.bounds.max_lease_ms, settings.bounds.stop_ms)
                .with_cancel_ms(settings.bounds.cancel_ms),
        ),
        entries: Mutex::default(),
        replied_epoch: AtomicU64::default(),
        unconfirmed,
        line_limit: Mutex::default(),
        report_due: Notify::new(),
        dispatch_due: Notify::new(),
        poll_due: Notify::new(),
        settings,
    });
    let handler = {
        let agent = agent.clone();
        Arc::new(move |request: Request| {
            let response = agent.handle_announcement(&request);
            async move { response }.boxed()
        })
    };
    let server = serve::start(listen, handler)?;
    log::info!(
        "event=started role=agent instance={} life={} {}",
        agent.settings.instance,
        agent.incarnation,
        build::THIS
    );
    let leadership = agent.leadership.clone();
    let apply_claim = move |key: &str, value: &[u8], offset: u64| leadership.apply_claim(key, value, offset);
    tokio::spawn(async move { follow::follow(&store, CLAIMS, CLAIMS_READ_WAIT, |_| (), apply_claim).await });
    tokio::spawn(agent.clone().run_confirmations(waiting));
    tokio::spawn(agent.clone().run_dispatch());
    tokio::spawn(agent.clone().run_polls());
    tokio::spawn(agent.clone().run_reports());
    wait_for_stop(signal_state).await;
    // The worker keeps its leases until the next incarnation of this agent extends them.
    log::info!("event=stopping role=agent instance={}", agent.settings.instance);
    if let Err(e) = server.close().await {
        log::warn!("event=server_failed cause=\"{e}\"");
    }
    Ok(())
}

impl Agent {
    /// Keeps one report waiting at the planner, and sends another at once when one is triggered.
    async fn run_reports(self: Arc<Self>) {
        let mut in_flight = JoinSet::new();
        let mut seq = 0;
        loop {
            seq += 1;
            let agent = self.clone();
            in_flight.spawn(async move { agent.send_report(seq).await });
            loop {
                let may_send = in_flight.len() < MAX_CONCURRENT_REPORTS;
                tokio::select! {
                    Some(result) = in_flight.join_next() => {
                        if let Err(e) = result {
                            log::error!("event=report_task_failed cause=\"{e}\"");
                        }
                        if in_flight.is_empty() {
                            break;
                        }
                    }
                    () = self.report_due.notified(), if may_send => break,
                }
            }
        }
    }

    async fn send_report(&self, seq: u64) {
        let Some(leader) = self.leadership.leader() else {
            tokio::time::sleep(REPORT_RETRY_DELAY).await;
            return;
        };
        let sent = now_ms();
        let report = {
            let state = lock(&self.worker_state);
            let mut report = state.build_report(&self.settings.instance, self.incarnation, seq);
            if self.replied_epoch.load(Ordering::Relaxed) != leader.epoch {
                report.first_marks = state.first_marks(sent);
            }
            report
        };
        let reply =
            call(&self.pool, &leader.address, REPORT_TIMEOUT, async |rpc, cx| rpc.report(cx, report).await);
        match reply.await {
            Ok(ReportReply::Assignments { epoch, assignments, entries }) => {
                self.replied_epoch.store(epoch, Ordering::Relaxed);
                if !entries.is_empty() {
                    *lock(&self.entries) = entries;
                }
                let (applied, acknowledged) = {
                    let mut state = lock(&self.worker_state);
                    let before = state.acknowledged();
                    (state.apply_assignments(sent, epoch, assignments), state.acknowledged() > before)
                };
                if applied {
                    self.dispatch_due.notify_one();
                }
                if acknowledged {
                    self.poll_due.notify_one();
                }
            }
            Ok(ReportReply::NotPlanner(known)) => {
                self.leadership.update_leader(known);
                tokio::time::sleep(REPORT_RETRY_DELAY).await;
            }
            Err(e) => {
                log::debug!("event=report_failed planner={} cause=\"{e}\"", leader.address);
                self.ask_entries_for_leader(&leader.address).await;
                tokio::time::sleep(REPORT_RETRY_DELAY).await;
            }
        }
    }

    /// Asks the entries for the leader, since the last known one, at the address `unresponsive`, has not replied.
    async fn ask_entries_for_leader(&self, unresponsive: &str) {
        let entries = lock(&self.entries).clone();
        let pings = entries.iter().filter(|address| *address != unresponsive).map(|address| async move {
            let ping = Ping {
                address: String::new(),
                millicores: 0,
                leader: self.leadership.leader(),
                version: u64::MAX,
                can_lead: false,
                calls: versions::NEWEST,
            };
            call(&self.pool, address, PING_TIMEOUT, async |rpc, cx| rpc.ping(cx, ping).await).await
        });
        for pong in join_all(pings).await.into_iter().flatten() {
            self.leadership.update_leader(pong.leader);
        }
    }

    async fn run_dispatch(self: Arc<Self>) {
        loop {
            let (incarnation, starts, stops, paces, clock_known) = {
                let state = lock(&self.worker_state);
                let incarnation = state.incarnation().map(str::to_owned);
                let now = now_ms();
                (
                    incarnation,
                    state.due_starts(now),
                    state.due_stops(now),
                    state.due_paces(),
                    state.has_clock(),
                )
            };
            let Some(incarnation) =
                incarnation.filter(|_| !starts.is_empty() || !stops.is_empty() || !paces.is_empty())
            else {
                // Wakes for new assignments, or to repeat a call that was answered without taking effect.
                let _ = tokio::time::timeout(DISPATCH_INTERVAL, self.dispatch_due.notified()).await;
                continue;
            };
            if !clock_known && !starts.is_empty() {
                self.poll_worker(&incarnation, Duration::ZERO).await;
            }
            // Stops go first: the starts may need the resources that they free.
            let stops = join_all(stops.iter().map(|stop| self.send_stop(&incarnation, stop))).await;
            let starts = join_all(starts.iter().map(|start| self.send_start(&incarnation, start))).await;
            let paces = join_all(paces.iter().map(|pace| self.send_pace(&incarnation, pace))).await;
            let any_final = stops.iter().chain(&starts).any(|answered| *answered);
            if any_final {
                self.poll_due.notify_one();
                self.report_due.notify_one();
                self.poll_worker(&incarnation, Duration::ZERO).await;
            }
            if stops.iter().chain(&starts).chain(&paces).any(|answered| !*answered) {
                tokio::time::sleep(CALL_RETRY_DELAY).await;
            }
        }
    }

    /// Sends a start; returns whether the answer was final.
    async fn send_start(&self, incarnation: &str, start: &Start) -> bool {
        let (token, lease_end_ms, max_wait) = {
            let mut state = lock(&self.worker_state);
            let now = now_ms();
            // The assignments may have changed while earlier calls were in flight.
            if !state.is_due(now, start) {
                return true;
            }
            let Some(lease_end_ms) = state.extend_lease(now) else { return false };
            state.record_start_attempt(start);
            (state.epoch(), lease_end_ms, Duration::from_millis(state.start_time_left_ms(now)))
        };
        let request = StartRequest {
            task: &start.task,
            run: start.run,
            spec: &start.spec,
            saved: &start.saved,
            ticket: start.ticket.as_deref(),
            lease_end_ms,
            token,
        };
        let (job, task, run) = (&start.task.job, &start.task, start.run);
        match self.worker.start(incarnation, &request, max_wait).await {
            Ok((StartOutcome::Running, clock_ms)) => {
                log::info!(
                    "event=started job={job} task={task} run={run} worker={incarnation} token={token}"
                );
                let mut state = lock(&self.worker_state);
                if let Some(clock_ms) = clock_ms {
                    state.record_clock(now_ms(), clock_ms);
                }
                state.record_start(incarnation, start, clock_ms.unwrap_or_default());
                true
            }
            Ok((StartOutcome::Rejected(why), _)) => {
                log::warn!(
                    "event=start_refused job={job} task={task} run={run} worker={incarnation} why={why}"
                );
                lock(&self.worker_state).expect_absence(incarnation, task, run, &why);
                true
            }
            Ok((StartOutcome::Refused(why), _)) => {
                log::warn!(
                    "event=start_refused job={job} task={task} run={run} worker={incarnation} why={why}"
                );
                lock(&self.worker_state).record_start_refusal(incarnation, start, &why);
                true
            }
            Ok((StartOutcome::Deferred(why), clock_ms)) => {
                log::warn!(
                    "event=start_delayed job={job} task={task} run={run} worker={incarnation} why=\"{why}\""
                );
                if let Some(clock_ms) = clock_ms {
                    lock(&self.worker_state).record_clock(now_ms(), clock_ms);
                }
                false
            }
            Err(e) => {
                log::warn!(
                    "event=start_unanswered job={job} task={task} run={run} worker={incarnation} cause=\"{e}\""
                );
                self.record_call_error(incarnation, "start", token, &e);
                false
            }
        }
    }

    /// Sends a stop; returns whether it was answered.
    async fn send_stop(&self, incarnation: &str, stop: &Stop) -> bool {
        let token = lock(&self.worker_state).epoch();
        let (job, task, run) = (&stop.task.job, &stop.task, stop.run);
        match self.worker.stop(incarnation, task, run, token).await {
            Ok(()) => {
                log::info!(
                    "event=stop_ordered job={job} task={task} run={run} worker={incarnation} token={token}"
                );
                lock(&self.worker_state).record_stop_answer(incarnation, stop, now_ms());
                true
            }
            Err(e) => {
                log::warn!(
                    "event=stop_unanswered job={job} task={task} run={run} worker={incarnation} cause=\"{e}\""
                );
                self.record_call_error(incarnation, "stop", token, &e);
                false
            }
        }
    }

    /// Sends a speed share; returns whether it was answered.
    async fn send_pace(&self, incarnation: &str, pace: &Pace) -> bool {
        let token = lock(&self.worker_state).epoch();
        let Pace { task, run, percent } = pace;
        match self.worker.set_speed(incarnation, task, *run, *percent, token).await {
            Ok(()) => {
                lock(&self.worker_state).record_pace(incarnation, pace);
                true
            }
            Err(e) => {
                log::warn!(
                    "event=pace_unanswered job={} task={task} run={run} worker={incarnation} cause=\"{e}\"",
                    task.job
                );
                self.record_call_error(incarnation, "pace", token, &e);
                false
            }
        }
    }

    fn record_call_error(&self, incarnation: &str, call: &'static str, token: u64, error: &Error) {
        if error.is_connection_refused() {
            self.record_refused_connection(incarnation);
        } else if matches!(error, Error::NoReply(_)) {
            lock(&self.worker_state).record_unanswered_call(now_ms(), incarnation);
        }
        if matches!(error, Error::OtherIncarnation) {
            let (before, acknowledged, is_current) = {
                let mut state = lock(&self.worker_state);
                (state.summary(now_ms()), state.acknowledged(), state.end_incarnation(incarnation))
            };
            log::warn!(
                "event=worker_replaced worker={incarnation} call={call} token={token} is_current={is_current} \
                 acknowledged={acknowledged} {before}"
            );
            if is_current {
                record_end("call", &format!("call={call} token={token}"), &before);
            }
        }
    }

    async fn run_polls(self: Arc<Self>) {
        loop {
            let (incarnation, needed, urgent) = {
                let mut state = lock(&self.worker_state);
                let now = now_ms();
                let before = state.summary(now);
                if state.expire_leases(now) {
                    let (over_ms, margin_ms) = state.lapse_bounds_ms(now);
                    let details = format!("lease_over_ms={over_ms} margin_ms={margin_ms}");
                    log::warn!("event=leases_lapsed worker={} {details} {before}", before.current);
                    record_end("lease_expiry", &details, &before);
                    self.report_due.notify_one();
                }
                // Starts wait for an answer.
                let urgent = state.has_absence_checks() || state.is_unresponsive(now);
                (state.incarnation().map(str::to_owned), state.needs_poll(), urgent)
            };
            let Some(incarnation) = incarnation.filter(|_| needed) else {
                let _ = tokio::time::timeout(LAPSE_CHECK_INTERVAL, self.poll_due.notified()).await;
                continue;
            };
            let wait = if urgent { Duration::ZERO } else { MAX_POLL_WAIT };
            let answered = tokio::select! {
                answered = self.poll_worker(&incarnation, wait) => answered,
                // A change that the poll in flight can't show.
                () = self.poll_due.notified() => true,
            };
            if lock(&self.worker_state).has_unacknowledged_ends() {
                // A poll would return at once until the planner has stored the ends.
                let _ = tokio::time::timeout(ACKNOWLEDGE_WAIT, self.poll_due.notified()).await;
            } else if !answered || urgent {
                tokio::time::sleep(CALL_RETRY_DELAY).await;
            }
        }
    }

    /// Applies the listing of a poll; returns whether it shows a change.
    fn apply_listing(&self, poll: u64, incarnation: &str, listing: Listing) -> bool {
        let mut state = lock(&self.worker_state);
        let lacked_ends = state.lacks_ends();
        let is_changed = state.apply_listing(now_ms(), poll, incarnation, listing);
        let (lacks_ends, unlisted, acknowledged) =
            (state.lacks_ends(), state.unlisted_runs(), state.acknowledged());
        drop(state);
        metrics::set_gauge("unlisted_runs", unlisted as u64);
        if lacks_ends != lacked_ends {
            let event = if lacks_ends { "ends_unlisted" } else { "ends_complete" };
            log::info!("event={event} worker={incarnation} runs={unlisted} acknowledged={acknowledged}");
        }
        is_changed
    }

    /// Polls the worker and extends its leases; returns whether it answered.
    async fn poll_worker(&self, incarnation: &str, wait: Duration) -> bool {
        let (poll, token, acknowledged, lease_end_ms) = {
            let mut state = lock(&self.worker_state);
            (state.begin_poll(), state.epoch(), state.acknowledged(), state.extend_lease(now_ms()))
        };
        match self.worker.poll(incarnation, token, acknowledged, lease_end_ms, wait).await {
            Ok(listing) => {
                if self.apply_listing(poll, incarnation, listing) {
                    self.report_due.notify_one();
                    self.dispatch_due.notify_one();
                }
                true
            }
            Err(e) => {
                log::warn!("event=look_failed worker={incarnation} token={token} cause=\"{e}\"");
                self.record_call_error(incarnation, "poll", token, &e);
                false
            }
        }
    }
}

/// Logs and counts that an agent gave up the runs of an incarnation; `before` is what it knew until then.
fn record_end(cause: &'static str, details: &str, before: &Summary) {
    metrics::count_incarnation_end(cause);
    log::warn!("event=incarnation_ended worker={} cause={cause} {details} {before}", before.current);
}
