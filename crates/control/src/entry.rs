//! An entry: answers callers, and plans while it is the leader.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use sorrelland_fleet::desired::Desired;
use sorrelland_fleet::planner::Timing;
use sorrelland_platform::serve::{self, Handler, Response};
use sorrelland_platform::store::LatestRecord;
use sorrelland_platform::{Settings, Store, desired};
use sorrelland_wire::connect::{self, CallError};
use tarpc::context::Context;
use tarpc::server::InFlightRequest;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::active_planner::ActivePlanner;
use crate::calls::{
    EntryPool, Leader, OfferReply, Ping, PlanRpc, PlannerReply as Reply, PlannerRequest, Pong, ReportReply,
    call,
};
use crate::clock::now_ms;
use crate::election::{CLAIMS, Leadership, MAX_STORE_OUTAGE_MS};
use crate::handover::Offer;
use crate::peers::{FailedHandovers, Listed, Peers, Pinging};
use crate::signals::{self, wait_for_stop};
use crate::{Error, Result, build, follow, lock, metrics, reload, versions};

/// Topic and key of the desired state.
const DESIRED: (&str, &str) = ("keyed.op", "config");

/// Maximum wait of a read of the desired state or the claims. Together with the margin that a read adds, it stays below
/// the 2 s within which a new desired state must be in force, even if a connection has failed without an error.
const FOLLOW_WAIT: Duration = Duration::from_millis(800);

/// Share of the platform's maximum lease that a grant covers, in percent. The rest allows for clock differences and
/// for stopping runs.
const GRANT_PERCENT: u64 = 80;

/// Maximum grant, in milliseconds. The runs of a lost instance are started elsewhere soon after its grant ends.
const MAX_GRANT_MS: u64 = 5_000;

/// Time between two pings to the leader.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a failed ping to the leader: a second attempt distinguishes a lost connection from a lost process.
const PING_RETRY_DELAY: Duration = Duration::from_millis(100);

const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the leader's last reply to a ping from which this entry is not ready for new callers, in milliseconds.
const READINESS_TIMEOUT_MS: u64 = 2_500;

/// Maximum time for open calls and the step-down when the process stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(4_500);

/// An entry's state.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) store: Store,
    pub(crate) me: Leader,
    pub(crate) leadership: Leadership,
    pub(crate) pool: EntryPool,
    pub(crate) desired: watch::Sender<Arc<Desired>>,
    /// The desired state as stored, for entries that cannot reach the store.
    raw_desired: Mutex<Vec<u8>>,
    /// Failure domains that the operators evacuate.
    pub(crate) evacuated: Mutex<BTreeSet<String>>,
    pub(crate) active_planner: Mutex<Option<Arc<ActivePlanner>>>,
    pub(crate) peers: Mutex<Peers>,
    /// Offers of the leadership by the leader.
    pub(crate) offers: mpsc::Sender<Offer>,
    pub(crate) failed_handovers: Mutex<FailedHandovers>,
    planner_replied_at: Mutex<u64>,
    /// When this entry started, last led, or last heard of a leader, on the monotonic clock.
    pub(crate) led_at: Mutex<u64>,
    pub(crate) stopping: watch::Sender<bool>,
}

/// Runs an entry until it is asked to stop.
///
/// # Errors
///
/// Returns why it could not start.
pub async fn run(settings: Settings, path: PathBuf, metrics_port: Option<u16>) -> Result<()> {
    let callers = settings.caller_address.ok_or(Error::Missing("the address for callers"))?;
    let readiness = settings.readiness_address.ok_or(Error::Missing("the address for readiness checks"))?;
    let signal_state = signals::listen();
    tokio::spawn(reload::watch_settings(path, settings.clone(), signal_state.clone()));
    let store = Store::new(&settings.store_address);
    let address = settings.peer_address();
    let listener = TcpListener::bind(&address).await?;
    let (offers, offer_rx) = mpsc::channel(1);
    let me = Leader { epoch: 0, instance: settings.instance.clone(), address, incarnation: rand::random() };
    let entry = Arc::new(Entry {
        pool: EntryPool::new(&settings.store_address),
        settings,
        store: store.clone(),
        me,
        leadership: Leadership::default(),
        desired: watch::Sender::new(Arc::default()),
        raw_desired: Mutex::default(),
        evacuated: Mutex::default(),
        active_planner: Mutex::default(),
        peers: Mutex::default(),
        offers,
        failed_handovers: Mutex::default(),
        planner_replied_at: Mutex::default(),
        led_at: Mutex::new(now_ms()),
        stopping: watch::Sender::new(false),
    });
    let operator_entry = entry.clone();
    let handle_operator = Arc::new(move |request| operator_entry.clone().answer_operator(request).boxed());
    serve_metrics(&entry.settings, metrics_port, handle_operator)?;
    let readiness_server = {
        let entry = entry.clone();
        serve::start(
            readiness,
            Arc::new(move |_| {
                let status = if entry.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                async move { Response::new(status) }.boxed()
            }),
        )?
    };
    let caller_server = {
        let entry = entry.clone();
        serve::start(callers, Arc::new(move |request| entry.clone().answer(request).boxed()))?
    };
    log::info!(
        "event=started role=entry instance={} life={} {}",
        entry.me.instance,
        entry.me.incarnation,
        build::THIS
    );
    tokio::spawn(entry.clone().serve_peers(listener));
    tokio::spawn(entry.clone().follow_desired(store.clone()));
    tokio::spawn(entry.clone().follow_claims(store.clone()));
    tokio::spawn(entry.clone().run_pings());
    tokio::spawn(entry.clone().run_leadership(offer_rx));
    wait_for_stop(signal_state).await;
    log::info!("event=stopping role=entry instance={}", entry.me.instance);
    entry.stopping.send_replace(true);
    let closing = async {
        if let Err(e) = caller_server.close().await {
            log::warn!("event=server_failed cause=\"{e}\"");
        }
        entry.release_leadership().await;
        if let Err(e) = readiness_server.close().await {
            log::warn!("event=server_failed cause=\"{e}\"");
        }
    };
    if tokio::time::timeout(SHUTDOWN_TIMEOUT, closing).await.is_err() {
        log::warn!("event=close_cut_short");
    }
    log::info!("event=stopped role=entry instance={}", entry.me.instance);
    log::logger().flush();
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

/// Service of one connection.
#[derive(Clone)]
struct Service {
    entry: Arc<Entry>,
    /// When the connection was accepted, on the monotonic clock.
    connected_at: u64,
}

impl PlanRpc for Service {
    async fn report(self, _: Context, report: sorrelland_fleet::report::Report) -> ReportReply {
        let Self { entry, connected_at } = self;
        let Some(active) = entry.planner() else { return ReportReply::NotPlanner(entry.leadership.leader()) };
        match active.report(report, connected_at).await {
            Some(assignments) => ReportReply::Assignments {
                epoch: active.leader.epoch,
                assignments,
                entries: entry.known_entries(),
            },
            None => ReportReply::NotPlanner(entry.leadership.leader()),
        }
    }

    async fn request(self, _: Context, req: PlannerRequest, wait_ms: u64) -> Reply {
        let entry = self.entry;
        let Some(active) = entry.planner() else { return Reply::NotPlanner(entry.leadership.leader()) };
        match active.handle_request(req, Duration::from_millis(wait_ms)).await {
            Reply::NotPlanner(None) => Reply::NotPlanner(entry.leadership.leader()),
            reply => reply,
        }
    }

    async fn ping(self, _: Context, ping: Ping) -> Pong {
        let entry = self.entry;
        entry.leadership.update_leader(ping.leader);
        if !ping.address.is_empty() {
            let sender = Pinging { millicores: ping.millicores, can_lead: ping.can_lead, calls: ping.calls };
            lock(&entry.peers).record_ping(now_ms(), ping.address, sender);
        }
        let newer = entry.desired.borrow().version > ping.version;
        Pong {
            store_failing_ms: entry.planner().map_or(0, |active| active.store_failing_ms()),
            leader: entry.leadership.leader(),
            desired: newer.then(|| lock(&entry.raw_desired).clone()),
            entries: entry.listed_entries(),
        }
    }

    async fn take_over(self, _: Context, epoch: u64) -> OfferReply {
        self.entry.consider_offer(epoch).await
    }
}

impl Entry {
    async fn serve_peers(self: Arc<Self>, listener: TcpListener) {
        let key = self.settings.store_address.as_str().into();
        let new_handler = || {
            let service = Service { entry: self.clone(), connected_at: now_ms() };
            move |call: InFlightRequest<_, _>| {
                tokio::spawn(call.execute(service.clone().serve()));
            }
        };
        let new_codec = versions::new_server_codecs();
        connect::serve_versions(listener, key, Some(versions::NEWEST), new_codec, new_handler).await;
    }

    /// Returns the active planner if this entry leads.
    pub(crate) fn planner(&self) -> Option<Arc<ActivePlanner>> {
        lock(&self.active_planner).clone().filter(|active| !active.has_stepped_down())
    }

    /// Returns the live entries, this one among them.
    fn listed_entries(&self) -> Vec<Listed> {
        let me = Listed {
            address: self.me.address.clone(),
            millicores: self.settings.millicores,
            age_ms: 0,
            can_lead: self.can_lead(),
        };
        let mut listed = lock(&self.peers).live(now_ms());
        listed.push(me);
        listed
    }

    fn known_entries(&self) -> Vec<String> {
        self.listed_entries().into_iter().map(|entry| entry.address).collect()
    }

    fn is_ready(&self) -> bool {
        let has_planner =
            self.planner().is_some() || now_ms() <= *lock(&self.planner_replied_at) + READINESS_TIMEOUT_MS;
        has_planner && self.desired.borrow().version > 0 && !*self.stopping.borrow()
    }

    async fn follow_desired(self: Arc<Self>, store: Store) {
        let begin = |newest: &[LatestRecord]| {
            let domains = newest.iter().filter(|record| !record.value.is_empty());
            let domains = domains.filter_map(|record| desired::evacuated_domain(&record.key));
            let domains: BTreeSet<String> = domains.map(str::to_owned).collect();
            self.change_evacuated(|known| *known = domains);
        };
        let apply = |key: &str, value: &[u8], offset: u64| {
            if key == DESIRED.1 {
                self.apply_desired(value, &format!("offset {offset}"));
            } else if let Some(domain) = desired::evacuated_domain(key) {
                self.change_evacuated(|known| match value.is_empty() {
                    true => _ = known.remove(domain),
                    false => _ = known.insert(domain.to_owned()),
                });
            }
        };
        follow::follow(&store, DESIRED.0, FOLLOW_WAIT, begin, apply).await;
    }

    /// Changes the failure domains that are being evacuated, and tells the planner if this entry leads.
    fn change_evacuated(&self, change: impl FnOnce(&mut BTreeSet<String>)) {
        let changed = {
            let mut known = lock(&self.evacuated);
            let before = known.clone();
            change(&mut known);
            (*known != before).then(|| known.clone())
        };
        let Some(evacuated) = changed else { return };
        log::info!("event=evacuations_in_force domains={evacuated:?}");
        if let Some(active) = self.planner() {
            active.set_evacuated(evacuated);
        }
    }

    /// Applies a desired state, unless it is malformed or not newer than the current one.
    fn apply_desired(&self, value: &[u8], from: &str) {
        let (desired, findings) = match desired::decode(value) {
            Ok(decoded) => decoded,
            Err(e) => return log::warn!("event=desired_skipped from=\"{from}\" cause=\"{e}\""),
        };
        for finding in findings {
            log::warn!("event=desired_entry_skipped version={} cause=\"{finding}\"", desired.version);
        }
        let desired = Arc::new(desired);
        let applied = self.desired.send_if_modified(|known| {
            let newer = known.version < desired.version;
            if newer {
                *known = desired.clone();
            }
            newer
        });
        if applied {
            *lock(&self.raw_desired) = value.to_vec();
            metrics::set_gauge("desired_version", desired.version);
            log::info!(
                "event=desired_in_force version={} queues={} accounts={} from=\"{from}\"",
                desired.version,
                desired.queues.len(),
                desired.accounts.len()
            );
            if let Some(active) = self.planner() {
                active.set_desired(desired);
            }
        }
    }

    async fn follow_claims(self: Arc<Self>, store: Store) {
        let apply = |key: &str, value: &[u8], offset: u64| self.leadership.apply_claim(key, value, offset);
        follow::follow(&store, CLAIMS, FOLLOW_WAIT, |_| (), apply).await;
    }

    async fn run_pings(self: Arc<Self>) {
        let mut delay = PING_INTERVAL;
        loop {
            tokio::time::sleep(delay).await;
            delay = PING_INTERVAL;
            let planner = self.leadership.leader().filter(|leader| leader.incarnation != self.me.incarnation);
            if let Some(leader) = planner
                && !self.ping(&leader.address, Some(leader.epoch)).await
            {
                delay = PING_RETRY_DELAY;
            }
        }
    }

    /// Exchanges the known leader, desired state and entries with another entry; `planner` is its epoch if it leads.
    /// Returns whether it replied.
    pub(crate) async fn ping(&self, address: &str, planner: Option<u64>) -> bool {
        let version = self.desired.borrow().version;
        let ping = Ping {
            address: self.me.address.clone(),
            millicores: self.settings.millicores,
            leader: self.leadership.leader(),
            version,
            can_lead: self.can_lead(),
            calls: versions::NEWEST,
        };
        let pong = call(&self.pool, address, PING_TIMEOUT, async |rpc, cx| rpc.ping(cx, ping).await).await;
        match pong {
            Ok(pong) => {
                if let Some(epoch) = planner {
                    self.leadership.record_answered(epoch);
                    self.leadership.record_store_failing(epoch, pong.store_failing_ms);
                    *lock(&self.planner_replied_at) = now_ms();
                    *lock(&self.led_at) = now_ms();
                }
                let now = now_ms();
                let others = pong.entries.into_iter().filter(|entry| entry.address != self.me.address);
                let mut peers = lock(&self.peers);
                for listed in others {
                    peers.record_listed(now, listed);
                }
                peers.prune(now);
                self.leadership.set_deferring(peers.has_larger(now, self.settings.millicores));
                drop(peers);
                self.leadership.update_leader(pong.leader);
                if let Some(raw) = pong.desired {
                    self.apply_desired(&raw, address);
                }
                true
            }
            Err(e) => {
                log::debug!("event=ping_failed address={address} cause=\"{e}\"");
                if let (Some(epoch), CallError::Connect(e)) = (planner, &e)
                    && e.kind() == io::ErrorKind::ConnectionRefused
                {
                    self.leadership.record_refused(epoch);
                }
                false
            }
        }
    }

    pub(crate) fn timing(&self) -> Timing {
        let bounds = self.settings.bounds;
        let grant_ms = (bounds.max_lease_ms * GRANT_PERCENT / 100).min(MAX_GRANT_MS);
        Timing {
            grant_ms,
            stop_ms: bounds.stop_ms,
            unreported_ms: MAX_STORE_OUTAGE_MS + grant_ms + grant_ms / 50 + bounds.stop_ms,
            ended_retention_ms: 2 * bounds.ended_retention_ms,
            reclaim_ms: bounds.reclaim_ms,
            remote_factor_milli: bounds.remote_factor_milli,
        }
    }
}
