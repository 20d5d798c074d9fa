//! Agent process, which alone decides on the use of its worker's slots and accelerators.

pub mod authority;
mod gang;
mod heartbeat;
mod service;
mod short;
pub mod worker;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sorrelland_conf::Settings;
use sorrelland_core::id::WorkerId;
use sorrelland_core::policy::Millis;
use sorrelland_core::topology::Place;
use sorrelland_wire::connect::Pool;
use sorrelland_wire::{AgentRpcClient, EntryRpcClient};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::Result;
use crate::agent::authority::Authority;
use crate::agent::heartbeat::HeartbeatTable;
use crate::agent::short::ShortRequests;
use crate::agent::worker::{Sizes, WorkerClient};
use crate::metrics::Metrics;
use crate::stop::Stop;
use crate::sync::lock;

const WORKER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Attempts to contact the worker before the agent fails to start.
const MAX_WORKER_ATTEMPTS: u32 = 40;

pub struct Agent {
    settings: Settings,
    place: Place,
    worker_id: WorkerId,
    incarnation: u64,
    address: String,
    sizes: Sizes,
    worker: WorkerClient,
    authority: Mutex<Authority>,
    short_requests: ShortRequests,
    heartbeats: Mutex<HeartbeatTable>,
    peers: Pool<AgentRpcClient>,
    entries: Pool<EntryRpcClient>,
    gang_wake: Notify,
    heartbeat_wake: Notify,
    origin: Instant,
    stop: Stop,
    metrics: Metrics,
    listener: Mutex<Option<TcpListener>>,
}

impl Agent {
    /// Binds the address, fetches the worker's sizes and stops orphaned tasks.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the worker does not answer.
    pub async fn start(settings: Settings, stop: Stop) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.daemon.rpc).await?;
        let address = listener.local_addr()?.to_string();
        let worker = WorkerClient::new(&settings.agent.worker);
        let sizes = fetch_sizes(&worker).await?;
        let worker_id = WorkerId::new(&settings.daemon.name);
        let incarnation = rand::random();
        let daemon = &settings.daemon;
        let agent = Arc::new(Self {
            place: Place::new(&daemon.region, &daemon.domain, &daemon.rack),
            authority: Mutex::new(Authority::new(
                &worker_id,
                sizes.capacity(),
                settings.agent.lease.as_millis() as Millis,
                settings.agent.grace.as_millis() as Millis,
            )),
            short_requests: ShortRequests::new(&worker_id, incarnation, sizes.slots, sizes.connections),
            heartbeats: Mutex::new(HeartbeatTable::new(&settings.agent.entries)),
            peers: Pool::new(&daemon.process_key),
            entries: Pool::new(&daemon.process_key),
            metrics: Metrics::new(&daemon.name),
            worker_id,
            incarnation,
            address,
            sizes,
            worker,
            gang_wake: Notify::new(),
            heartbeat_wake: Notify::new(),
            origin: Instant::now(),
            stop,
            listener: Mutex::new(Some(listener)),
            settings,
        });
        agent.stop_orphaned_tasks().await;
        log::info!("agent of {} listens on {}", agent.worker_id, agent.address);
        Ok(agent)
    }

    /// Runs until asked to stop, then drains requests and gangs.
    pub async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        if let Some(listener) = lock(&self.listener).take() {
            tasks.spawn(self.clone().serve(listener));
        }
        tasks.spawn(self.clone().gang_loop());
        tasks.spawn(self.clone().task_poll_loop());
        tasks.spawn(self.clone().heartbeat_loop());
        tasks.spawn(self.clone().key_window_loop());
        self.stop.raised().await;
        self.shut_down().await;
        log::info!("agent of {} has stopped", self.worker_id);
    }

    /// Refuses new work, notifies the entries, and waits until no work is left or the drain time is over.
    async fn shut_down(&self) {
        {
            let mut authority = lock(&self.authority);
            authority.stopping = true;
            authority.report_number += 1;
        }
        log::info!("agent of {} is stopping and accepts no new work", self.worker_id);
        self.heartbeat_wake.notify_waiters();
        let deadline = Instant::now() + self.settings.daemon.drain;
        while Instant::now() < deadline && !self.is_idle() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Wakes the heartbeat loop to send the last report, so that the entries need not wait for missed heartbeats.
        self.heartbeat_wake.notify_waiters();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    fn is_idle(&self) -> bool {
        self.short_requests.in_flight() == 0 && lock(&self.authority).grants.is_empty()
    }

    fn now_ms(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }
}

async fn fetch_sizes(worker: &WorkerClient) -> Result<Sizes> {
    let mut attempt = 1;
    loop {
        match worker.sizes().await {
            Ok(sizes) => return Ok(sizes),
            Err(e) if attempt == MAX_WORKER_ATTEMPTS => return Err(e.into()),
            Err(_) => tokio::time::sleep(WORKER_RETRY_DELAY).await,
        }
        attempt += 1;
    }
}
