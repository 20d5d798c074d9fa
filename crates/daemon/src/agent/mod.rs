//! The agent: the only authority over its worker's slots and accelerators.

pub mod authority;
mod beat;
mod gang;
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
use crate::agent::beat::Beats;
use crate::agent::short::Shorts;
use crate::agent::worker::{Sizes, WorkerClient};
use crate::metrics::Metrics;
use crate::stop::Stop;
use crate::sync::lock;

/// Time between two attempts to reach a worker that has not answered yet.
const WORKER_RETRY: Duration = Duration::from_millis(250);

/// Attempts to reach a worker at the start.
const WORKER_ATTEMPTS: u32 = 40;

/// An agent process.
pub struct Agent {
    settings: Settings,
    place: Place,
    worker_id: WorkerId,
    incarnation: u64,
    address: String,
    sizes: Sizes,
    worker: WorkerClient,
    authority: Mutex<Authority>,
    shorts: Shorts,
    beats: Mutex<Beats>,
    peers: Pool<AgentRpcClient>,
    entries: Pool<EntryRpcClient>,
    wake: Notify,
    beat_now: Notify,
    origin: Instant,
    stop: Stop,
    metrics: Metrics,
    listener: Mutex<Option<TcpListener>>,
}

impl Agent {
    /// Binds the address and asks the worker for its sizes.
    ///
    /// # Errors
    ///
    /// Returns why the address could not be bound or the worker did not answer.
    pub async fn start(settings: Settings, stop: Stop) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.daemon.rpc).await?;
        let address = listener.local_addr()?.to_string();
        let worker = WorkerClient::new(&settings.agent.worker);
        let sizes = reach(&worker).await?;
        let worker_id = WorkerId::new(&settings.daemon.name);
        let incarnation = rand::random();
        let daemon = &settings.daemon;
        let agent = Arc::new(Self {
            place: Place::new(&daemon.region, &daemon.domain, &daemon.rack),
            authority: Mutex::new(Authority::new(
                &worker_id,
                sizes.amount(),
                settings.agent.lease.as_millis() as Millis,
                settings.agent.grace.as_millis() as Millis,
            )),
            shorts: Shorts::new(&worker_id, incarnation, sizes.slots, sizes.connections),
            beats: Mutex::new(Beats::new(&settings.agent.entries)),
            peers: Pool::new(&daemon.process_key),
            entries: Pool::new(&daemon.process_key),
            metrics: Metrics::new(&daemon.name),
            worker_id,
            incarnation,
            address,
            sizes,
            worker,
            wake: Notify::new(),
            beat_now: Notify::new(),
            origin: Instant::now(),
            stop,
            listener: Mutex::new(Some(listener)),
            settings,
        });
        agent.fence_leftovers().await;
        log::info!("agent of {} listens on {}", agent.worker_id, agent.address);
        Ok(agent)
    }

    /// Runs until asked to stop, then finishes what is in flight.
    pub async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        if let Some(listener) = lock(&self.listener).take() {
            tasks.spawn(self.clone().serve(listener));
        }
        tasks.spawn(self.clone().gang_loop());
        tasks.spawn(self.clone().task_loop());
        tasks.spawn(self.clone().beat_loop());
        tasks.spawn(self.clone().window_loop());
        self.stop.raised().await;
        self.leave().await;
        log::info!("agent of {} has stopped", self.worker_id);
    }

    /// Refuses new work, tells the entries, and waits for what is in flight.
    async fn leave(&self) {
        {
            let mut authority = lock(&self.authority);
            authority.leaving = true;
            authority.report_number += 1;
        }
        log::info!("agent of {} leaves: it takes nothing new", self.worker_id);
        self.beat_now.notify_waiters();
        let deadline = Instant::now() + self.settings.daemon.drain;
        while Instant::now() < deadline && !self.is_idle() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // One more beat, so that the entries do not wait for the silence.
        self.beat_now.notify_waiters();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    fn is_idle(&self) -> bool {
        self.shorts.in_flight() == 0 && lock(&self.authority).grants.is_empty()
    }

    fn now_ms(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }
}

async fn reach(worker: &WorkerClient) -> Result<Sizes> {
    let mut attempt = 1;
    loop {
        match worker.sizes().await {
            Ok(sizes) => return Ok(sizes),
            Err(e) if attempt == WORKER_ATTEMPTS => return Err(e.into()),
            Err(_) => tokio::time::sleep(WORKER_RETRY).await,
        }
        attempt += 1;
    }
}
