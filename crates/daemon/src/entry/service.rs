//! The entry's RPC service, and the push of configuration to agents.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sorrelland_core::id::WorkerId;
use sorrelland_wire::agent::AgentConfig;
use sorrelland_wire::connect::{self, call_context};
use sorrelland_wire::entry::{EntryRpc, Heartbeat, HeartbeatReply, Ping};
use tarpc::context::Context;
use tarpc::server::InFlightRequest;
use tokio::net::TcpListener;

use crate::entry::Entry;
use crate::sync::lock;

/// Time-out of a call that sends an agent its configuration.
const CONFIGURE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without a heartbeat after which a worker is removed from the table.
const WORKER_RETENTION: Duration = Duration::from_secs(600);

/// Service of one connection.
#[derive(Clone)]
struct Service {
    entry: Arc<Entry>,
    /// When the connection was accepted.
    connected_at: Instant,
}

impl EntryRpc for Service {
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> HeartbeatReply {
        self.entry.handle_heartbeat(heartbeat, self.connected_at)
    }

    async fn ping(self, _: Context, ping: Ping) -> Ping {
        lock(&self.entry.peers).record_ping(&ping);
        self.entry.own_ping(self.entry.stop.is_raised())
    }

    async fn fold(self, _: Context) -> Option<Vec<u8>> {
        self.entry.with_fold(|fold| serde_json::to_vec(fold).ok()).flatten()
    }
}

impl Entry {
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let key = self.settings.daemon.process_key.as_str().into();
        let new_handler = || {
            let service = Service { entry: self.clone(), connected_at: Instant::now() };
            move |call: InFlightRequest<_, _>| {
                tokio::spawn(call.execute(service.clone().serve()));
            }
        };
        connect::serve(listener, key, new_handler).await;
    }

    /// Records an agent's heartbeat; the reply carries the configuration if the agent's is out of date.
    fn handle_heartbeat(&self, heartbeat: Heartbeat, connected_at: Instant) -> HeartbeatReply {
        self.metrics.count_heartbeat();
        let has_report = heartbeat.report.is_some();
        let (worker, config_offset) = (heartbeat.worker.clone(), heartbeat.config_offset);
        let (report_number, next_ms) = {
            let mut fleet = lock(&self.fleet);
            (fleet.record_heartbeat(heartbeat, connected_at), fleet.heartbeat_interval_ms())
        };
        if has_report {
            self.schedule_wake.notify_one();
        }
        let outdated = self.with_fold(|fold| fold.agent_version() + 1 > config_offset) == Some(true);
        let config = if outdated { self.agent_config(&worker) } else { None };
        let entries = if has_report { self.entry_addresses() } else { Vec::new() };
        HeartbeatReply { report_number, next_ms: next_ms as u32, config, entries }
    }

    /// Returns the addresses of the entries on the log, and this entry's own address.
    fn entry_addresses(&self) -> Vec<String> {
        let mut addresses = self.with_fold(|fold| fold.entries.values().cloned().collect::<Vec<_>>());
        let addresses = addresses.get_or_insert_default();
        if !addresses.contains(&self.address) {
            addresses.push(self.address.clone());
        }
        addresses.clone()
    }

    /// Returns the part of the configuration that an agent needs; `None` before a fold was loaded.
    fn agent_config(&self, worker: &WorkerId) -> Option<AgentConfig> {
        self.with_fold(|fold| AgentConfig {
            // One past the version: 0 means that the agent has no configuration.
            offset: fold.agent_version() + 1,
            drained: fold.drained.contains(worker),
            paused: fold.accounts.iter().filter(|(_, a)| a.paused).map(|(id, _)| id.clone()).collect(),
            backing: fold.plan.backing_on(worker),
        })
    }

    /// Sends each new configuration to every agent, so that it is in force before their next heartbeats.
    pub(super) async fn push_config_loop(self: Arc<Self>) {
        let mut pushed = 0;
        let mut advanced = self.advanced.subscribe();
        loop {
            let changed = tokio::time::timeout(Duration::from_secs(60), advanced.changed()).await;
            if changed.is_err() {
                lock(&self.fleet).remove_unresponsive(WORKER_RETENTION);
                continue;
            }
            let version = self.with_fold(|fold| fold.agent_version()).unwrap_or_default();
            if version <= pushed {
                continue;
            }
            pushed = version;
            let agents: Vec<(WorkerId, String)> = {
                let fleet = lock(&self.fleet);
                fleet.rows().iter().map(|(id, row)| (id.clone(), row.report.address.clone())).collect()
            };
            for (worker, address) in agents {
                let Some(config) = self.agent_config(&worker) else { continue };
                let entry = self.clone();
                tokio::spawn(async move { entry.push_config(&worker, &address, config).await });
            }
        }
    }

    async fn push_config(&self, worker: &WorkerId, address: &str, config: AgentConfig) {
        let call = self.agents.call(address, |agent| async move {
            agent.configure(call_context(CONFIGURE_TIMEOUT), config).await
        });
        match call.await {
            Ok(offset) => lock(&self.fleet).record_config_offset(worker, offset),
            Err(e) => log::debug!(
                "configuration not pushed to agent at {address}; its next heartbeat fetches it: {e}"
            ),
        }
    }
}
