//! An entry: answers callers, and plans when it holds the office.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use sorrelland_fleet::desired::Desired;
use sorrelland_fleet::planner::Timing;
use sorrelland_platform::serve::{self, Answer, Handler};
use sorrelland_platform::{PolicyClient, Settings, Store, desired};
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

/// Pause after a ping of the planner that failed: a second try tells a lost connection from a lost process.
const PING_AGAIN: Duration = Duration::from_millis(100);

/// Time for a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence of the planner after which this entry is not ready for new callers, in milliseconds.
const READY_WITHIN_MS: u64 = 2_500;

/// Pause before the next claim of an entry that may not claim yet.
const CLAIM_PAUSE: Duration = Duration::from_millis(60);

/// Longest time by which entries spread their claims, in milliseconds.
const RANK_MOST_MS: u64 = 300;

/// Time for which an entry that was heard counts as there, in milliseconds.
const ENTRY_HEARD_MS: u64 = 5_000;

/// Time that calls get to end after the servers were told to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// An entry's state.
pub(crate) struct Entry {
    settings: Settings,
    pub(crate) me: Holder,
    pub(crate) office: Office,
    pub(crate) links: Links,
    pub(crate) desired: watch::Sender<Arc<Desired>>,
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
    let callers = settings.caller_address.ok_or(Error::Missing("the address for callers"))?;
    let readiness = settings.readiness_address.ok_or(Error::Missing("the address for readiness checks"))?;
    let asked = signals::listen();
    tokio::spawn(reload::watch(path, settings.clone(), asked.clone()));
    let store = Store::new(&settings.store_address);
    let address = settings.peer_address();
    let listener = TcpListener::bind(&address).await?;
    let me = Holder { epoch: 0, instance: settings.instance.clone(), address, life: rand::random() };
    let entry = Arc::new(Entry {
        links: Links::new(&settings.store_address),
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
    let operators = entry.clone();
    let show = Arc::new(move |call| operators.clone().show(call).boxed());
    serve_metrics(&entry.settings, metrics_port, show)?;
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
pub(crate) fn serve_metrics(settings: &Settings, port: Option<u16>, handler: Handler) -> Result<()> {
    let Some(port) = port else { return Ok(()) };
    let ip = settings.ip.parse().map_err(|_| Error::Missing("an address of the instance"))?;
    metrics::serve(std::net::SocketAddr::new(ip, port), handler)?;
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
        let key = self.settings.store_address.as_str().into();
        let service = Service(self);
        connect::serve(listener, key, move |call| {
            tokio::spawn(call.execute(service.clone().serve()));
        })
        .await;
    }

    /// Returns the office's seat if this entry plans.
    pub(crate) fn seat(&self) -> Option<Arc<Seat>> {
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
        follow::follow(&store, DESIRED.0, FOLLOW_WAIT, take).await;
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
        follow::follow(&store, CLAIMS, FOLLOW_WAIT, take).await;
    }

    async fn run_pings(self: Arc<Self>) {
        let mut pause = PING_EVERY;
        loop {
            tokio::time::sleep(pause).await;
            pause = PING_EVERY;
            let planner = self.office.holder().filter(|holder| holder.life != self.me.life);
            if let Some(holder) = planner
                && !self.ping(&holder.address, Some(holder.epoch)).await
            {
                pause = PING_AGAIN;
            }
        }
    }

    /// Exchanges what is known with another entry; `planner` is its epoch if it holds the office. Returns whether it
    /// answered.
    async fn ping(&self, address: &str, planner: Option<u64>) -> bool {
        let version = self.desired.borrow().version;
        let ping = Ping { address: self.me.address.clone(), holder: self.office.holder(), version };
        let pong = call(&self.links, address, PING_TIMEOUT, async |rpc, cx| rpc.ping(cx, ping).await).await;
        match pong {
            Ok(pong) => {
                if let Some(epoch) = planner {
                    self.office.note_answered(epoch);
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
                true
            }
            Err(e) => {
                log::debug!("event=ping_failed address={address} cause=\"{e}\"");
                if let (Some(epoch), CallError::Connect(e)) = (planner, &e)
                    && e.kind() == io::ErrorKind::ConnectionRefused
                {
                    self.office.note_refused(epoch);
                }
                false
            }
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
                    let silent = duty::wait_for_silence(&store, &self.office, &self.me, rank_ms).await;
                    if *self.leaving.borrow() || self.desired.borrow().version == 0 {
                        tokio::time::sleep(CLAIM_PAUSE).await;
                        continue;
                    }
                    duty::claim(&store, &self.office, &self.me, silent).await
                }
            };
            let Some(holder) = holder else { continue };
            sat = holder.epoch;
            let desired = self.desired.borrow().clone();
            let policy = self.settings.policy_address.as_deref().map(PolicyClient::new);
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
        futures::future::join_all(entries.iter().map(|address| self.ping(address, None))).await;
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
        let grant_ms = (bounds.max_lease_ms * GRANT_PERCENT / 100).min(GRANT_MOST_MS);
        Timing {
            grant_ms,
            stop_ms: bounds.stop_ms,
            unreported_ms: ALONE_MS + grant_ms + grant_ms / 50 + bounds.stop_ms,
            ended_retention_ms: 2 * bounds.ended_retention_ms,
            reclaim_ms: bounds.reclaim_ms,
        }
    }

    async fn resign(&self, store: &Store) {
        let Some(seat) = self.seat() else { return };
        seat.end("the process is stopping");
        if let Err(e) = duty::renew(store, seat.holder.epoch, true).await {
            log::warn!("event=resign_failed cause=\"{e}\"");
        }
    }
}
