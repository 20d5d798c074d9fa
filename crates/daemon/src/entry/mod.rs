//! The entry: serves callers and operators, and decides placement on state that it can lose and rebuild.

mod answer;
mod api;
mod attempt;
mod auth;
mod burn;
mod epochs;
pub mod fleet;
mod follow;
mod operator;
mod peers;
mod plan;
mod query;
mod rows;
mod schedule;
mod service;
mod short;
mod write;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dropshot::HttpServer;
use sorrelland_conf::Settings;
use sorrelland_conf::settings::Goal;
use sorrelland_core::id::{AccountId, JobId};
use sorrelland_core::policy::{Millis, Policy};
use sorrelland_core::route::RetryBudget;
use sorrelland_core::tick::Scheduler;
use sorrelland_ledger::{Fold, Record};
use sorrelland_wire::connect::Pool;
use sorrelland_wire::{AgentRpcClient, EntryRpcClient};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::Result;
use crate::entry::attempt::Attached;
use crate::entry::auth::Keys;
use crate::entry::burn::BurnCounts;
use crate::entry::epochs::Epochs;
use crate::entry::fleet::Fleet;
use crate::entry::peers::Peers;
use crate::entry::write::Writer;
use crate::log_client::LogClient;
use crate::metrics::Metrics;
use crate::stop::Stop;
use crate::sync::lock;

/// State folded from the log.
struct Ledger {
    fold: Fold,
    /// Whether a fold was ever read, from the log or a peer.
    loaded: bool,
    /// When the log last confirmed that the fold is complete.
    confirmed_at: Option<Instant>,
}

/// An entry process.
pub struct Entry {
    settings: Settings,
    /// Name and incarnation of the entry, as its claims on the log carry them.
    claimant: String,
    address: String,
    keys: Keys,
    ledger: Mutex<Ledger>,
    /// Next offset of the fold; signals that the fold has advanced.
    advanced: watch::Sender<u64>,
    fleet: Mutex<Fleet>,
    peers: Mutex<Peers>,
    scheduler: Mutex<Scheduler>,
    /// State of the jobs that tasks of this process drive.
    drivers: Mutex<BTreeMap<JobId, schedule::Driver>>,
    epochs: Mutex<Epochs>,
    attached: Mutex<BTreeMap<JobId, Attached>>,
    accounts_in_flight: Mutex<BTreeMap<AccountId, u32>>,
    retries: Mutex<RetryBudget>,
    burn: Mutex<BurnCounts>,
    open_requests: AtomicU32,
    agents: Pool<AgentRpcClient>,
    entries: Pool<EntryRpcClient>,
    log: LogClient,
    writer: Writer,
    schedule_wake: Notify,
    stop: Stop,
    metrics: Metrics,
    listener: Mutex<Option<TcpListener>>,
    http: Mutex<Option<HttpServer<Arc<Self>>>>,
    http_address: Mutex<String>,
}

impl Entry {
    /// Creates an entry and binds its addresses.
    ///
    /// # Errors
    ///
    /// Returns why an address could not be bound.
    pub async fn start(settings: Settings, stop: Stop) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.daemon.rpc).await?;
        let address = listener.local_addr()?.to_string();
        let incarnation: u32 = rand::random();
        let log = LogClient::new(&settings.log);
        let entry = Arc::new(Self {
            claimant: format!("{}#{incarnation:08x}", settings.daemon.name),
            keys: Keys::new(&settings.account_keys, &settings.operator_keys),
            ledger: Mutex::new(Ledger { fold: Fold::new(), loaded: false, confirmed_at: None }),
            advanced: watch::Sender::new(0),
            fleet: Mutex::new(Fleet::new(&settings.daemon.domain)),
            peers: Mutex::new(Peers::new(&settings.entry.peers)),
            scheduler: Mutex::new(Scheduler::new(policy(settings.entry.goal))),
            drivers: Mutex::default(),
            epochs: Mutex::default(),
            attached: Mutex::default(),
            accounts_in_flight: Mutex::default(),
            retries: Mutex::new(RetryBudget::new()),
            burn: Mutex::new(BurnCounts::new()),
            open_requests: AtomicU32::new(0),
            agents: Pool::new(&settings.daemon.process_key),
            entries: Pool::new(&settings.daemon.process_key),
            writer: Writer::new(),
            log,
            schedule_wake: Notify::new(),
            stop,
            metrics: Metrics::new(&settings.daemon.name),
            listener: Mutex::new(Some(listener)),
            http: Mutex::new(None),
            http_address: Mutex::default(),
            address,
            settings,
        });
        let server = api::start(entry.clone())?;
        let http_address = server.local_addr().to_string();
        log::info!("entry {} listens on {http_address} (HTTP) and {} (RPC)", entry.claimant, entry.address);
        *lock(&entry.http_address) = http_address;
        *lock(&entry.http) = Some(server);
        Ok(entry)
    }

    /// Returns the HTTP address for callers and operators.
    pub fn http_address(&self) -> String {
        lock(&self.http_address).clone()
    }

    /// Returns the RPC address for agents and other entries.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Runs until asked to stop, then drains the open requests.
    pub async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        if let Some(listener) = lock(&self.listener).take() {
            tasks.spawn(self.clone().serve(listener));
        }
        tasks.spawn(self.clone().follow_loop());
        tasks.spawn(self.clone().write_loop());
        tasks.spawn(self.clone().announce_loop());
        tasks.spawn(self.clone().peer_loop());
        tasks.spawn(self.clone().schedule_loop());
        tasks.spawn(self.clone().plan_loop());
        tasks.spawn(self.clone().push_config_loop());
        self.stop.raised().await;
        self.shut_down().await;
        log::info!("entry {} has stopped", self.claimant);
    }

    /// Waits for open requests, notifies the other entries, and closes the HTTP server within the drain time.
    async fn shut_down(&self) {
        log::info!("entry {} is draining and refuses new requests", self.claimant);
        let deadline = Instant::now() + self.settings.daemon.drain;
        while Instant::now() < deadline && self.open_requests.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.notify_stopping().await;
        let server = lock(&self.http).take();
        if let Some(server) = server {
            let remaining =
                deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(500));
            match tokio::time::timeout(remaining, server.close()).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => log::warn!("HTTP server did not close: {e}"),
                Err(_) => log::warn!("HTTP connections were still open at the end of the drain"),
            }
        }
    }

    /// Records this entry's address on the log, and again whenever the log has another address for its name.
    async fn announce_loop(self: Arc<Self>) {
        let name = self.settings.daemon.name.clone();
        loop {
            let announced = {
                let ledger = lock(&self.ledger);
                ledger.loaded && ledger.fold.entries.get(&name) == Some(&self.address)
            };
            if !announced {
                let record = Record::Entry { name: name.clone(), address: self.address.clone() };
                if let Err(e) = self.write(vec![record]).await {
                    log::debug!("entry address not recorded yet: {e}");
                }
            }
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }

    /// Runs `read` on the fold; returns `None` if no fold was loaded yet.
    fn with_fold<T>(&self, read: impl FnOnce(&Fold) -> T) -> Option<T> {
        let ledger = lock(&self.ledger);
        ledger.loaded.then(|| read(&ledger.fold))
    }

    /// Returns the time since the log last confirmed that the fold is complete; `None` if it never did.
    fn config_age_ms(&self) -> Option<Millis> {
        lock(&self.ledger).confirmed_at.map(|at| at.elapsed().as_millis() as Millis)
    }

    /// Returns the jobs that a task of this process drives, or that wait for a retry.
    fn driven_jobs(&self) -> BTreeSet<JobId> {
        lock(&self.drivers).keys().cloned().collect()
    }
}

fn policy(goal: Goal) -> Policy {
    match goal {
        Goal::Completion => Policy::new(),
        Goal::Fragmentation => Policy::new().with_fragmentation_first(),
    }
}

/// Returns milliseconds since 1970 by the wall clock; used only for ages, delays and recorded times.
fn unix_ms() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as Millis)
}
