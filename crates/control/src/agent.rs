//! The agent beside a worker: the only process that gives it orders.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use futures::future::join_all;
use http::{Method, StatusCode};
use sorrelland_fleet::assignments::{Pace, Start, Stop};
use sorrelland_platform::serve::{self, Answer, Call};
use sorrelland_platform::worker::{Error, StartOutcome, StartRequest, decode_announcement};
use sorrelland_platform::{Settings, Store, WorkerClient};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::calls::{Links, Ping, Wish, call};
use crate::clock::now_ms;
use crate::duty::{CLAIMS, Office};
use crate::lease::Watched;
use crate::signals::{self, stopped};
use crate::{Error as RunError, Result, follow, lock, metrics, reload};

/// Wait of a read of the claims: agents hear of planners from entries as well, and there are many agents.
const FOLLOW_WAIT: Duration = Duration::from_secs(10);

/// Longest wait of a look for an end; also the longest time between two extensions of a lease.
const LOOK_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a call to the worker failed, and before an order without an answer is repeated.
const ORDER_PAUSE: Duration = Duration::from_millis(150);

/// Time between two looks at what is to be ordered when nothing causes one.
const ORDERS_EVERY: Duration = Duration::from_secs(1);

/// Wait for the planner to store ends before they are looked at again.
const CONFIRM_WAIT: Duration = Duration::from_millis(400);

/// Pause between checks for leases that have run out while there is nothing else to do.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// Time for a report and its answer; the planner answers within half of it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause after a report that failed.
const REPORT_PAUSE: Duration = Duration::from_millis(150);

/// Reports on their way at a time: one that waits, and newer ones that overtake it.
const REPORTS_AT_A_TIME: usize = 3;

/// Time for a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Path of announcements.
const INSTANCES: &str = "/instances/";

struct Agent {
    settings: Settings,
    life: u64,
    office: Office,
    links: Links,
    worker: WorkerClient,
    watched: Mutex<Watched>,
    entries: Mutex<Vec<String>>,
    /// Causes a report.
    news: Notify,
    /// Causes orders to be given.
    orders: Notify,
    /// Causes a look.
    look: Notify,
}

/// Runs an agent until it is asked to stop.
///
/// # Errors
///
/// Returns why it could not start.
pub async fn run(settings: Settings, path: PathBuf, metrics_port: Option<u16>) -> Result<()> {
    let listen = settings.announcement_address.ok_or(RunError::Missing("the address for announcements"))?;
    let worker = settings.worker_address.ok_or(RunError::Missing("the address of the worker"))?;
    let asked = signals::listen();
    tokio::spawn(reload::watch(path, settings.clone(), asked.clone()));
    let show = Arc::new(|_| async { metrics::text() }.boxed());
    crate::entry::serve_metrics(&settings, metrics_port, show)?;
    let store = Store::new(&settings.store_address);
    let agent = Arc::new(Agent {
        life: rand::random(),
        office: Office::default(),
        links: Links::new(&settings.store_address),
        worker: WorkerClient::new(&worker.to_string()),
        watched: Mutex::new(Watched::new(settings.bounds.max_lease_ms, settings.bounds.stop_ms)),
        entries: Mutex::default(),
        news: Notify::new(),
        orders: Notify::new(),
        look: Notify::new(),
        settings,
    });
    let handler = {
        let agent = agent.clone();
        Arc::new(move |call: Call| {
            let answer = agent.announced(&call);
            async move { answer }.boxed()
        })
    };
    let server = serve::start(listen, handler)?;
    log::info!("event=started role=agent instance={} life={}", agent.settings.instance, agent.life);
    let office = agent.office.clone();
    let take = move |key: &str, value: &[u8], offset: u64| office.take(key, value, offset);
    tokio::spawn(async move { follow::follow(&store, CLAIMS, FOLLOW_WAIT, take).await });
    tokio::spawn(agent.clone().run_orders());
    tokio::spawn(agent.clone().run_looks());
    tokio::spawn(agent.clone().run_reports());
    stopped(asked).await;
    // The worker keeps its leases until the next life of this agent extends them.
    log::info!("event=stopping role=agent instance={}", agent.settings.instance);
    if let Err(e) = server.close().await {
        log::warn!("event=server_failed cause=\"{e}\"");
    }
    Ok(())
}

impl Agent {
    /// Answers an announcement of the worker.
    fn announced(&self, call: &Call) -> Answer {
        let Some(life) = call.path.strip_prefix(INSTANCES).filter(|life| !life.is_empty()) else {
            return Answer::new(StatusCode::NOT_FOUND);
        };
        match call.method {
            Method::PUT => match decode_announcement(life, &call.body) {
                Ok(announcement) => {
                    let draining = announcement.info.draining;
                    if lock(&self.watched).announce(now_ms(), announcement) {
                        log::info!("event=worker_announced worker={life} draining={draining}");
                        self.news.notify_one();
                        self.look.notify_one();
                    }
                    Answer::new(StatusCode::OK).with_json(&serde_json::json!({}))
                }
                Err(e) => {
                    log::warn!("event=announcement_skipped worker={life} cause=\"{e}\"");
                    Answer::new(StatusCode::BAD_REQUEST)
                }
            },
            Method::DELETE => {
                lock(&self.watched).leave(life);
                log::info!("event=worker_left worker={life}");
                self.news.notify_one();
                Answer::new(StatusCode::OK)
            }
            _ => Answer::new(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Keeps one report waiting at the planner, and sends another at once when there is news.
    async fn run_reports(self: Arc<Self>) {
        let mut under_way = JoinSet::new();
        let mut seq = 0;
        loop {
            seq += 1;
            let agent = self.clone();
            under_way.spawn(async move { agent.report_once(seq).await });
            loop {
                let may_send = under_way.len() < REPORTS_AT_A_TIME;
                tokio::select! {
                    Some(done) = under_way.join_next() => {
                        if let Err(e) = done {
                            log::error!("event=report_task_failed cause=\"{e}\"");
                        }
                        if under_way.is_empty() {
                            break;
                        }
                    }
                    () = self.news.notified(), if may_send => break,
                }
            }
        }
    }

    async fn report_once(&self, seq: u64) {
        let Some(holder) = self.office.holder() else {
            tokio::time::sleep(REPORT_PAUSE).await;
            return;
        };
        let report = lock(&self.watched).report(&self.settings.instance, self.life, seq);
        let sent = now_ms();
        let answer =
            call(&self.links, &holder.address, REPORT_TIMEOUT, async |rpc, cx| rpc.report(cx, report).await);
        match answer.await {
            Ok(Wish::Orders { epoch, orders, entries }) => {
                if !entries.is_empty() {
                    *lock(&self.entries) = entries;
                }
                let (taken, confirmed) = {
                    let mut watched = lock(&self.watched);
                    let before = watched.seen();
                    (watched.take_orders(sent, epoch, orders), watched.seen() > before)
                };
                if taken {
                    self.orders.notify_one();
                }
                if confirmed {
                    self.look.notify_one();
                }
            }
            Ok(Wish::NotPlanner(known)) => {
                self.office.learn(known);
                tokio::time::sleep(REPORT_PAUSE).await;
            }
            Err(e) => {
                log::debug!("event=report_failed planner={} cause=\"{e}\"", holder.address);
                self.ask_entries(&holder.address).await;
                tokio::time::sleep(REPORT_PAUSE).await;
            }
        }
    }

    /// Asks the entries who plans, since the one that was thought to is silent.
    async fn ask_entries(&self, silent: &str) {
        let entries = lock(&self.entries).clone();
        let pings = entries.iter().filter(|address| *address != silent).map(|address| async move {
            let ping = Ping { address: String::new(), holder: self.office.holder(), version: u64::MAX };
            call(&self.links, address, PING_TIMEOUT, async |rpc, cx| rpc.ping(cx, ping).await).await
        });
        for pong in join_all(pings).await.into_iter().flatten() {
            self.office.learn(pong.holder);
        }
    }

    async fn run_orders(self: Arc<Self>) {
        loop {
            let (life, starts, stops, paces, clocked) = {
                let watched = lock(&self.watched);
                let life = watched.life().map(str::to_owned);
                let now = now_ms();
                (life, watched.starts(now), watched.stops(now), watched.paces(), watched.has_clock())
            };
            let Some(life) = life.filter(|_| !starts.is_empty() || !stops.is_empty() || !paces.is_empty())
            else {
                // Orders, or the time to repeat one that was answered and shows no effect.
                let _ = tokio::time::timeout(ORDERS_EVERY, self.orders.notified()).await;
                continue;
            };
            if !clocked && !starts.is_empty() {
                self.look_once(&life, Duration::ZERO).await;
            }
            // Stops first: what they free may be what the starts need.
            let stops = join_all(stops.iter().map(|stop| self.stop_once(&life, stop))).await;
            let starts = join_all(starts.iter().map(|start| self.start_once(&life, start))).await;
            let paces = join_all(paces.iter().map(|pace| self.pace_once(&life, pace))).await;
            let final_answers = stops.iter().chain(&starts).any(|answered| *answered);
            if final_answers {
                self.look.notify_one();
                self.news.notify_one();
                self.look_once(&life, Duration::ZERO).await;
            }
            if stops.iter().chain(&starts).chain(&paces).any(|answered| !*answered) {
                tokio::time::sleep(ORDER_PAUSE).await;
            }
        }
    }

    /// Orders a start; returns whether the answer was final.
    async fn start_once(&self, life: &str, start: &Start) -> bool {
        let (token, lease_end_ms) = {
            let mut watched = lock(&self.watched);
            // The wish may have changed while earlier orders were on their way.
            if !watched.starts(now_ms()).contains(start) {
                return true;
            }
            let Some(lease_end_ms) = watched.extend(now_ms()) else { return false };
            watched.note_tried(start);
            (watched.epoch(), lease_end_ms)
        };
        let order = StartRequest {
            task: &start.task,
            run: start.run,
            spec: &start.spec,
            saved: &start.saved,
            ticket: start.ticket.as_deref(),
            lease_end_ms,
            token,
        };
        let (job, task, run) = (&start.task.job, &start.task, start.run);
        match self.worker.start(life, &order).await {
            Ok((StartOutcome::Running, clock_ms)) => {
                log::info!("event=started job={job} task={task} run={run} worker={life} token={token}");
                let mut watched = lock(&self.watched);
                if let Some(clock_ms) = clock_ms {
                    watched.note_clock(now_ms(), clock_ms);
                }
                watched.note_started(life, start, clock_ms.unwrap_or_default());
                true
            }
            Ok((StartOutcome::Rejected(why), _)) => {
                log::warn!("event=start_refused job={job} task={task} run={run} worker={life} why={why}");
                lock(&self.watched).note_final(life, task, run, &why);
                true
            }
            Ok((StartOutcome::Deferred(why), clock_ms)) => {
                log::warn!("event=start_delayed job={job} task={task} run={run} worker={life} why=\"{why}\"");
                if let Some(clock_ms) = clock_ms {
                    lock(&self.watched).note_clock(now_ms(), clock_ms);
                }
                false
            }
            Err(e) => {
                log::warn!(
                    "event=start_unanswered job={job} task={task} run={run} worker={life} cause=\"{e}\""
                );
                self.note_error(life, &e);
                false
            }
        }
    }

    /// Orders a stop; returns whether it was answered.
    async fn stop_once(&self, life: &str, stop: &Stop) -> bool {
        let token = lock(&self.watched).epoch();
        let (job, task, run) = (&stop.task.job, &stop.task, stop.run);
        match self.worker.stop(life, task, run, token).await {
            Ok(()) => {
                log::info!("event=stop_ordered job={job} task={task} run={run} worker={life} token={token}");
                let mut watched = lock(&self.watched);
                watched.note_stopped(life, stop, now_ms());
                watched.note_final(life, task, run, "stopped before it was there");
                true
            }
            Err(e) => {
                log::warn!(
                    "event=stop_unanswered job={job} task={task} run={run} worker={life} cause=\"{e}\""
                );
                self.note_error(life, &e);
                false
            }
        }
    }

    /// Orders a speed share; returns whether it was answered.
    async fn pace_once(&self, life: &str, pace: &Pace) -> bool {
        let token = lock(&self.watched).epoch();
        let Pace { task, run, percent } = pace;
        match self.worker.set_speed(life, task, *run, *percent, token).await {
            Ok(()) => {
                lock(&self.watched).note_paced(life, pace);
                true
            }
            Err(e) => {
                log::warn!(
                    "event=pace_unanswered job={} task={task} run={run} worker={life} cause=\"{e}\"",
                    task.job
                );
                self.note_error(life, &e);
                false
            }
        }
    }

    fn note_error(&self, life: &str, error: &Error) {
        if matches!(error, Error::OtherIncarnation) {
            log::warn!("event=worker_replaced worker={life}");
            lock(&self.watched).drop_current(life);
        }
    }

    async fn run_looks(self: Arc<Self>) {
        loop {
            let (life, needed, resolves) = {
                let mut watched = lock(&self.watched);
                if watched.lapse(now_ms()) {
                    log::warn!("event=leases_lapsed worker={}", watched.life().unwrap_or_default());
                    self.news.notify_one();
                }
                (watched.life().map(str::to_owned), watched.needs_look(), watched.resolves())
            };
            let Some(life) = life.filter(|_| needed) else {
                let _ = tokio::time::timeout(IDLE_PAUSE, self.look.notified()).await;
                continue;
            };
            let wait = if resolves { Duration::ZERO } else { LOOK_WAIT };
            let done = tokio::select! {
                done = self.look_once(&life, wait) => done,
                // Something happened that the look on its way can't show.
                () = self.look.notified() => true,
            };
            if lock(&self.watched).has_unconfirmed() {
                // A look would return at once until the planner has stored the ends.
                let _ = tokio::time::timeout(CONFIRM_WAIT, self.look.notified()).await;
            } else if !done || resolves {
                tokio::time::sleep(ORDER_PAUSE).await;
            }
        }
    }

    /// Looks at the worker and extends its leases; returns whether it answered.
    async fn look_once(&self, life: &str, wait: Duration) -> bool {
        let (look, token, seen, lease_end_ms) = {
            let mut watched = lock(&self.watched);
            (watched.begin_look(), watched.epoch(), watched.seen(), watched.extend(now_ms()))
        };
        match self.worker.poll(life, token, seen, lease_end_ms, wait).await {
            Ok(listing) => {
                if lock(&self.watched).take_listing(now_ms(), look, life, listing) {
                    self.news.notify_one();
                    self.orders.notify_one();
                }
                true
            }
            Err(e) => {
                log::warn!("event=look_failed worker={life} token={token} cause=\"{e}\"");
                self.note_error(life, &e);
                false
            }
        }
    }
}
