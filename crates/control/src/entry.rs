//! An entry: answers callers, and plans when it holds the office.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use http::{Method, StatusCode};
use serde_json::json;
use sorrelland_fleet::desired::{Desired, Queue};
use sorrelland_fleet::job::{JobState, Outcome};
use sorrelland_fleet::planner::Timing;
use sorrelland_platform::serve::{self, Answer, Call};
use sorrelland_platform::{Policy, Settings, Store, desired, jobs};
use sorrelland_wire::connect::{self, CallError};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::calls::{Ask, Holder, Links, Ping, PlanRpc, Pong, Told, Wish, call};
use crate::clock::now_ms;
use crate::duty::{self, ALONE_MS, CLAIMS, Office};
use crate::seat::Seat;
use crate::signals::{self, stopped};
use crate::{Error, Result, follow, lock, metrics, reload};

/// Topic and key of the desired state.
const DESIRED: (&str, &str) = ("keyed.op", "config");

/// Wait of a read of the desired state or the claims. With the slack of a read it stays below the 2 s within which a
/// desired state has to be in force, so that a connection that has gone silent does not break the bound.
const FOLLOW_WAIT: Duration = Duration::from_millis(800);

/// Share of the platform's longest lease that a grant covers, in percent; the rest is for clocks and stops.
const GRANT_PERCENT: u64 = 80;

/// Longest grant, in milliseconds: what a lost machine held is started elsewhere soon after it.
const GRANT_MOST_MS: u64 = 5_000;

/// Time between two pings to the planner.
const PING_EVERY: Duration = Duration::from_millis(500);

/// Time for a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence of the planner after which this entry is not ready for new callers, in milliseconds.
const READY_WITHIN_MS: u64 = 2_500;

/// Time for one try at the planner: long enough for a slow store, short enough for a second try.
const TRY_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Pause before the next try.
const TRY_PAUSE: Duration = Duration::from_millis(60);

/// Wait of a caller that names none, in milliseconds.
const WAIT_MS: u64 = 3_000;

/// Part of a caller's wait that is left for the way back, in milliseconds.
const WAY_BACK_MS: u64 = 150;

/// Shortest wait for the planner, in milliseconds: an append to the store and the way there and back.
const LEAST_WAIT_MS: u64 = 60;

/// When callers come back to a system without a planner, in milliseconds: a takeover's time.
const TAKEOVER_RETRY_MS: u64 = 2_000;

/// Longest time by which entries spread their claims, in milliseconds.
const RANK_MOST_MS: u64 = 300;

/// Time for which an entry that was heard counts as there, in milliseconds.
const ENTRY_HEARD_MS: u64 = 5_000;

/// Time that calls get to end after the servers were told to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// An entry's state.
struct Entry {
    settings: Settings,
    me: Holder,
    office: Office,
    links: Links,
    desired: watch::Sender<Arc<Desired>>,
    /// The desired state as it lies in the store, for entries that the store turns away.
    raw_desired: Mutex<Vec<u8>>,
    seat: Mutex<Option<Arc<Seat>>>,
    /// Addresses of entries with the time they were last heard.
    entries: Mutex<BTreeMap<String, u64>>,
    planner_heard: Mutex<u64>,
    leaving: watch::Sender<bool>,
}

/// Runs an entry until it is asked to stop.
///
/// # Errors
///
/// Returns why it could not start.
pub async fn run(settings: Settings, path: PathBuf, metrics_port: Option<u16>) -> Result<()> {
    let callers = settings.callers.ok_or(Error::Missing("the address for callers"))?;
    let readiness = settings.readiness.ok_or(Error::Missing("the address for readiness checks"))?;
    let asked = signals::listen();
    tokio::spawn(reload::watch(path, settings.clone(), asked.clone()));
    serve_metrics(&settings, metrics_port)?;
    let store = Store::new(&settings.store);
    let address = settings.peer_address();
    let listener = TcpListener::bind(&address).await?;
    let me = Holder { epoch: 0, instance: settings.instance.clone(), address, life: rand::random() };
    let entry = Arc::new(Entry {
        links: Links::new(&settings.store),
        settings,
        me,
        office: Office::default(),
        desired: watch::Sender::new(Arc::default()),
        raw_desired: Mutex::default(),
        seat: Mutex::default(),
        entries: Mutex::default(),
        planner_heard: Mutex::default(),
        leaving: watch::Sender::new(false),
    });
    let ready = {
        let entry = entry.clone();
        serve::start(
            readiness,
            Arc::new(move |_| {
                let status = if entry.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                async move { Answer::new(status) }.boxed()
            }),
        )?
    };
    let server = {
        let entry = entry.clone();
        serve::start(callers, Arc::new(move |call| entry.clone().answer(call).boxed()))?
    };
    log::info!("event=started role=entry instance={} life={}", entry.me.instance, entry.me.life);
    tokio::spawn(entry.clone().serve_peers(listener));
    tokio::spawn(entry.clone().follow_desired(store.clone()));
    tokio::spawn(entry.clone().follow_claims(store.clone()));
    tokio::spawn(entry.clone().run_pings());
    tokio::spawn(entry.clone().run_office(store.clone()));
    stopped(asked).await;
    log::info!("event=stopping role=entry instance={}", entry.me.instance);
    entry.leaving.send_replace(true);
    let closing = async {
        if let Err(e) = server.close().await {
            log::warn!("event=server_failed cause=\"{e}\"");
        }
        entry.resign(&store).await;
        if let Err(e) = ready.close().await {
            log::warn!("event=server_failed cause=\"{e}\"");
        }
    };
    if tokio::time::timeout(CLOSE_TIMEOUT, closing).await.is_err() {
        log::warn!("event=close_cut_short");
    }
    log::info!("event=stopped role=entry instance={}", entry.me.instance);
    Ok(())
}

/// Serves the metrics of a process on a port of its instance.
///
/// # Errors
///
/// Returns why the address could not be used.
pub(crate) fn serve_metrics(settings: &Settings, port: Option<u16>) -> Result<()> {
    let Some(port) = port else { return Ok(()) };
    let ip = settings.ip.parse().map_err(|_| Error::Missing("an address of the instance"))?;
    metrics::serve(std::net::SocketAddr::new(ip, port))?;
    Ok(())
}

#[derive(Clone)]
struct Service(Arc<Entry>);

impl PlanRpc for Service {
    async fn report(self, _: Context, report: sorrelland_fleet::report::Report) -> Wish {
        let entry = self.0;
        let Some(seat) = entry.seat() else { return Wish::NotPlanner(entry.office.holder()) };
        match seat.report(report).await {
            Some(orders) => Wish::Orders { epoch: seat.holder.epoch, orders, entries: entry.known_entries() },
            None => Wish::NotPlanner(entry.office.holder()),
        }
    }

    async fn ask(self, _: Context, ask: Ask, wait_ms: u64) -> Told {
        let entry = self.0;
        let Some(seat) = entry.seat() else { return Told::NotPlanner(entry.office.holder()) };
        match seat.ask(ask, Duration::from_millis(wait_ms)).await {
            Told::NotPlanner(None) => Told::NotPlanner(entry.office.holder()),
            told => told,
        }
    }

    async fn ping(self, _: Context, ping: Ping) -> Pong {
        let entry = self.0;
        entry.office.learn(ping.holder);
        if !ping.address.is_empty() {
            lock(&entry.entries).insert(ping.address, now_ms());
        }
        let newer = entry.desired.borrow().version > ping.version;
        Pong {
            holder: entry.office.holder(),
            desired: newer.then(|| lock(&entry.raw_desired).clone()),
            entries: entry.known_entries(),
        }
    }
}

impl Entry {
    async fn serve_peers(self: Arc<Self>, listener: TcpListener) {
        let key = self.settings.store.as_str().into();
        let service = Service(self);
        connect::serve(listener, key, move |call| {
            tokio::spawn(call.execute(service.clone().serve()));
        })
        .await;
    }

    /// Returns the office's seat if this entry plans.
    fn seat(&self) -> Option<Arc<Seat>> {
        lock(&self.seat).clone().filter(|seat| !seat.is_over())
    }

    fn known_entries(&self) -> Vec<String> {
        let after = now_ms().saturating_sub(ENTRY_HEARD_MS);
        let entries = lock(&self.entries);
        let heard = entries.iter().filter(|(_, at)| **at >= after).map(|(address, _)| address.clone());
        heard.chain([self.me.address.clone()]).collect()
    }

    fn is_ready(&self) -> bool {
        let planned = self.seat().is_some() || now_ms() <= *lock(&self.planner_heard) + READY_WITHIN_MS;
        planned && self.desired.borrow().version > 0 && !*self.leaving.borrow()
    }

    async fn follow_desired(self: Arc<Self>, store: Store) {
        let take = |key: &str, value: &[u8], offset: u64| {
            if key == DESIRED.1 {
                self.take_desired(value, &format!("offset {offset}"));
            }
        };
        follow::follow(&store, DESIRED.0, FOLLOW_WAIT, take, |_| ()).await;
    }

    /// Takes in a desired state; an older one, or one that can't be read, is left out.
    fn take_desired(&self, value: &[u8], from: &str) {
        let (desired, findings) = match desired::decode(value) {
            Ok(decoded) => decoded,
            Err(e) => return log::warn!("event=desired_skipped from=\"{from}\" cause=\"{e}\""),
        };
        for finding in findings {
            log::warn!("event=desired_entry_skipped version={} cause=\"{finding}\"", desired.version);
        }
        let desired = Arc::new(desired);
        let taken = self.desired.send_if_modified(|known| {
            let newer = known.version < desired.version;
            if newer {
                *known = desired.clone();
            }
            newer
        });
        if taken {
            *lock(&self.raw_desired) = value.to_vec();
            metrics::level("desired_version", desired.version);
            log::info!(
                "event=desired_in_force version={} queues={} accounts={} from=\"{from}\"",
                desired.version,
                desired.queues.len(),
                desired.accounts.len()
            );
            if let Some(seat) = self.seat() {
                seat.set_desired(desired);
            }
        }
    }

    async fn follow_claims(self: Arc<Self>, store: Store) {
        let take = |key: &str, value: &[u8], offset: u64| self.office.take(key, value, offset);
        follow::follow(&store, CLAIMS, FOLLOW_WAIT, take, |_| ()).await;
    }

    async fn run_pings(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PING_EVERY).await;
            if let Some(holder) = self.office.holder().filter(|holder| holder.life != self.me.life) {
                self.ping(&holder.address, true).await;
            }
        }
    }

    async fn ping(&self, address: &str, is_planner: bool) {
        let version = self.desired.borrow().version;
        let ping = Ping { address: self.me.address.clone(), holder: self.office.holder(), version };
        let pong = call(&self.links, address, PING_TIMEOUT, async |rpc, cx| rpc.ping(cx, ping).await).await;
        match pong {
            Ok(pong) => {
                if is_planner {
                    *lock(&self.planner_heard) = now_ms();
                }
                let now = now_ms();
                let others = pong.entries.into_iter().filter(|entry| *entry != self.me.address);
                let mut entries = lock(&self.entries);
                for entry in others {
                    entries.entry(entry).or_insert(now);
                }
                drop(entries);
                self.office.learn(pong.holder);
                if let Some(raw) = pong.desired {
                    self.take_desired(&raw, address);
                }
            }
            Err(e) => log::debug!("event=ping_failed address={address} cause=\"{e}\""),
        }
    }

    /// Claims the office whenever it is vacant, and sits in it.
    async fn run_office(self: Arc<Self>, store: Store) {
        let mut hasher = DefaultHasher::new();
        self.me.instance.hash(&mut hasher);
        let rank_ms = hasher.finish() % RANK_MOST_MS;
        let mut sat = 0;
        loop {
            let mine =
                self.office.holder().filter(|holder| holder.life == self.me.life && holder.epoch > sat);
            let holder = match mine {
                Some(holder) => Some(holder),
                None => {
                    let silent = duty::wait_for_silence(&store, &self.office, rank_ms).await;
                    if *self.leaving.borrow() || self.desired.borrow().version == 0 {
                        tokio::time::sleep(TRY_PAUSE).await;
                        continue;
                    }
                    duty::claim(&store, &self.office, &self.me, silent).await
                }
            };
            let Some(holder) = holder else { continue };
            sat = holder.epoch;
            let desired = self.desired.borrow().clone();
            let policy = self.settings.policy.as_deref().map(Policy::new);
            let Some(seat) = Seat::take(&store, policy, holder, self.timing(), desired).await else {
                continue;
            };
            *lock(&self.seat) = Some(seat.clone());
            // A version that came while the jobs were read.
            seat.set_desired(self.desired.borrow().clone());
            self.tell_entries().await;
            self.sit(&seat).await;
            *lock(&self.seat) = None;
        }
    }

    /// Tells the other entries who plans now, so that even those that the store turns away know.
    async fn tell_entries(&self) {
        let entries: Vec<String> = lock(&self.entries).keys().cloned().collect();
        futures::future::join_all(entries.iter().map(|address| self.ping(address, false))).await;
    }

    /// Waits until the office is over, or a holder with a higher epoch is heard of.
    async fn sit(&self, seat: &Seat) {
        let mut holders = self.office.subscribe();
        let epoch = seat.holder.epoch;
        let newer = holders.wait_for(|holder| holder.as_ref().is_some_and(|holder| holder.epoch > epoch));
        let superseded = tokio::select! {
            superseded = newer => superseded.is_ok(),
            () = seat.ended() => false,
        };
        if superseded {
            seat.end("superseded");
        }
    }

    fn timing(&self) -> Timing {
        let bounds = self.settings.bounds;
        let grant_ms = (bounds.longest_lease_ms * GRANT_PERCENT / 100).min(GRANT_MOST_MS);
        Timing {
            grant_ms,
            stop_ms: bounds.stop_ms,
            unheard_ms: ALONE_MS + grant_ms + grant_ms / 50 + bounds.stop_ms,
            keep_ended_ms: 2 * bounds.keep_ended_ms,
            reclaim_ms: bounds.reclaim_ms,
            remote_factor: bounds.remote_factor,
        }
    }

    async fn resign(&self, store: &Store) {
        let Some(seat) = self.seat() else { return };
        seat.end("the process is stopping");
        if let Err(e) = duty::renew(store, seat.holder.epoch, true).await {
            log::warn!("event=resign_failed cause=\"{e}\"");
        }
    }

    /// Answers a caller and records how long it took.
    async fn answer(self: Arc<Self>, call: Call) -> Answer {
        let began = std::time::Instant::now();
        let answer = self.answer_plain(&call).await;
        let what = match call.method {
            Method::POST => "submit",
            Method::DELETE => "cancel",
            _ => "ask",
        };
        metrics::request(what, answer.status, began);
        answer
    }

    async fn answer_plain(&self, call: &Call) -> Answer {
        let desired = self.desired.borrow().clone();
        if desired.version == 0 {
            return Answer::new(StatusCode::SERVICE_UNAVAILABLE).with_retry_after_ms(TAKEOVER_RETRY_MS);
        }
        let Some(queue) = desired.queue_for(&call.host, &call.path) else {
            return refuse(StatusCode::NOT_FOUND, "no such queue");
        };
        let account = match (&call.key, queue.public) {
            (Some(key), _) if desired.keys.contains_key(key) => desired.keys[key].clone(),
            (None, true) => String::new(),
            (Some(_), true) => String::new(),
            _ => return refuse(StatusCode::UNAUTHORIZED, "unknown key"),
        };
        let job = &call.path[queue.path_prefix.len()..];
        match (&call.method, job) {
            (&Method::GET, "") => self.pending(queue, call).await,
            (_, "") => refuse(StatusCode::METHOD_NOT_ALLOWED, "a job's name is needed"),
            (_, job) if !is_job(job) => {
                refuse(StatusCode::BAD_REQUEST, "a job's name has 16 hexadecimal digits")
            }
            (&Method::POST, job) => self.submit(queue, &account, job, call).await,
            (&Method::GET, job) => self.state(job, call).await,
            (&Method::DELETE, job) => self.cancel(job, call).await,
            _ => refuse(StatusCode::METHOD_NOT_ALLOWED, "not possible here"),
        }
    }

    async fn submit(&self, queue: &Queue, account: &str, job: &str, call: &Call) -> Answer {
        let sub = match jobs::decode(&call.body, job, &queue.name, account) {
            Ok(sub) => sub,
            Err(e) => {
                log::info!("event=malformed job={job} queue={} cause=\"{e}\"", queue.name);
                return refuse(StatusCode::BAD_REQUEST, &e.to_string());
            }
        };
        match self.ask(Ask::Submit(sub), call).await {
            Asked::Told(Told::Accepted) => Answer::new(StatusCode::OK).with_json(&json!({})),
            Asked::Told(Told::Refused { why, retry_after_ms }) => {
                refuse(StatusCode::TOO_MANY_REQUESTS, &why).with_retry_after_ms(retry_after_ms)
            }
            other => unanswered("submit", job, &other),
        }
    }

    async fn state(&self, job: &str, call: &Call) -> Answer {
        match self.ask(Ask::State(job.to_owned()), call).await {
            Asked::Told(Told::State(Some(state))) => {
                let text = match state {
                    JobState::Queued => "queued",
                    JobState::Running => "running",
                    JobState::Ended(Outcome::Completed) => "completed",
                    JobState::Ended(Outcome::Failed) => "failed",
                    JobState::Ended(Outcome::Cancelled) => "cancelled",
                };
                Answer::new(StatusCode::OK).with_json(&json!({"state": text}))
            }
            Asked::Told(Told::State(None)) => refuse(StatusCode::GONE, "no such job"),
            other => unanswered("state", job, &other),
        }
    }

    async fn cancel(&self, job: &str, call: &Call) -> Answer {
        match self.ask(Ask::Cancel(job.to_owned()), call).await {
            Asked::Told(Told::Cancelled(true)) => Answer::new(StatusCode::OK).with_json(&json!({})),
            Asked::Told(Told::Cancelled(false)) => refuse(StatusCode::GONE, "no such job"),
            other => unanswered("cancel", job, &other),
        }
    }

    async fn pending(&self, queue: &Queue, call: &Call) -> Answer {
        match self.ask(Ask::Pending(queue.name.clone()), call).await {
            Asked::Told(Told::Pending(count)) => {
                Answer::new(StatusCode::OK).with_json(&json!({"pending": count}))
            }
            other => unanswered("pending", &queue.name, &other),
        }
    }

    /// Asks the planner until it answers or the caller's time is nearly up.
    async fn ask(&self, ask: Ask, call: &Call) -> Asked {
        let wait = Duration::from_millis(wait_for_planner_ms(call.wait_ms));
        let until = tokio::time::Instant::now() + wait;
        let mut delivered = false;
        loop {
            let left = until.saturating_duration_since(tokio::time::Instant::now());
            if left.is_zero() {
                return if delivered { Asked::Unresolved } else { Asked::NeverSent };
            }
            match self.try_once(ask.clone(), left.min(TRY_TIMEOUT)).await {
                Asked::Told(Told::NotPlanner(holder)) => self.office.learn(holder),
                Asked::Told(Told::Unresolved) | Asked::Unresolved => delivered = true,
                Asked::NeverSent => (),
                told => return told,
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
    }

    async fn try_once(&self, ask: Ask, wait: Duration) -> Asked {
        if let Some(seat) = self.seat() {
            return Asked::Told(seat.ask(ask, wait).await);
        }
        let Some(holder) = self.office.holder().filter(|holder| holder.life != self.me.life) else {
            return Asked::NeverSent;
        };
        let wait_ms = wait.as_millis() as u64;
        let told = call(&self.links, &holder.address, wait, async |rpc, cx| rpc.ask(cx, ask, wait_ms).await);
        match told.await {
            Ok(told) => Asked::Told(told),
            Err(CallError::Connect(e)) => {
                log::debug!("event=planner_unreachable address={} cause=\"{e}\"", holder.address);
                Asked::NeverSent
            }
            Err(e) => {
                log::debug!("event=planner_unanswered address={} cause=\"{e}\"", holder.address);
                Asked::Unresolved
            }
        }
    }
}

/// Returns how long the planner is waited for on behalf of a caller, in milliseconds. A caller in a hurry is tried all
/// the same: the planner usually answers within a few milliseconds.
pub fn wait_for_planner_ms(caller_waits_ms: Option<u64>) -> u64 {
    let waits = caller_waits_ms.unwrap_or(WAIT_MS).min(WAIT_MS);
    (waits - WAY_BACK_MS.min(waits / 4)).max(LEAST_WAIT_MS)
}

/// What became of a question to the planner.
#[derive(Debug)]
enum Asked {
    /// The planner has answered.
    Told(Told),
    /// No planner was ever reached.
    NeverSent,
    /// The question may have been carried out.
    Unresolved,
}

fn is_job(name: &str) -> bool {
    name.len() == 16 && name.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn refuse(status: StatusCode, why: &str) -> Answer {
    Answer::new(status).with_json(&json!({"error": why}))
}

/// Answers a caller whose question has no answer: 503 only where certainly nothing was done.
fn unanswered(what: &str, name: &str, asked: &Asked) -> Answer {
    log::warn!("event=unanswered what={what} job={name} asked={asked:?}");
    match asked {
        Asked::NeverSent => refuse(StatusCode::SERVICE_UNAVAILABLE, "no planner is in reach")
            .with_retry_after_ms(TAKEOVER_RETRY_MS),
        _ => refuse(StatusCode::GATEWAY_TIMEOUT, "not known yet; ask again with the same name"),
    }
}
