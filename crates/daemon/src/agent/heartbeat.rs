//! Heartbeats to the entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sorrelland_core::policy::Millis;
use sorrelland_wire::connect::call_context;
use sorrelland_wire::entry::{Heartbeat, HeartbeatReply, Report, ShareReport};

use crate::agent::Agent;
use crate::sync::lock;

/// Interval of the check for due heartbeats; the stop of the agent wakes it earlier.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay of the next heartbeat after one without a reply.
const RETRY_DELAY_MS: Millis = 500;

/// Consecutive heartbeats without a reply after which an entry that is not in the settings is removed.
const MAX_UNANSWERED_HEARTBEATS: u32 = 40;

#[derive(Clone, Debug, Default)]
struct Row {
    /// Whether the address is in the settings.
    in_settings: bool,
    due_ms: Millis,
    /// Number of the report that the entry has acknowledged.
    acknowledged: u64,
    unanswered: u32,
    /// Whether a heartbeat awaits its reply.
    in_flight: bool,
}

/// State of the heartbeats to each known entry, by address.
pub struct HeartbeatTable {
    rows: BTreeMap<String, Row>,
}

impl HeartbeatTable {
    /// Creates a table with the entries' addresses from the settings.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let row = |addr: &SocketAddr| (addr.to_string(), Row { in_settings: true, ..Row::default() });
        Self { rows: addresses.iter().map(row).collect() }
    }

    /// Marks the due heartbeats as in flight; returns their addresses and whether each needs the full report.
    fn start_due(&mut self, now_ms: Millis, report_number: u64) -> Vec<(String, bool)> {
        let mut due = Vec::new();
        for (address, row) in &mut self.rows {
            let changed = row.acknowledged != report_number && row.unanswered == 0;
            if !row.in_flight && (now_ms >= row.due_ms || changed) {
                row.in_flight = true;
                due.push((address.clone(), row.acknowledged != report_number));
            }
        }
        due
    }

    fn record_reply(&mut self, address: &str, reply: &HeartbeatReply, now_ms: Millis) {
        for entry in &reply.entries {
            self.rows.entry(entry.clone()).or_default();
        }
        if let Some(row) = self.rows.get_mut(address) {
            row.in_flight = false;
            row.unanswered = 0;
            row.acknowledged = reply.report_number;
            row.due_ms = now_ms + Millis::from(reply.next_ms);
        }
    }

    fn record_no_reply(&mut self, address: &str, now_ms: Millis) {
        let Some(row) = self.rows.get_mut(address) else { return };
        row.in_flight = false;
        row.unanswered += 1;
        row.acknowledged = 0;
        row.due_ms = now_ms + RETRY_DELAY_MS;
        if !row.in_settings && row.unanswered >= MAX_UNANSWERED_HEARTBEATS {
            self.rows.remove(address);
        }
    }
}

impl Agent {
    pub(super) async fn heartbeat_loop(self: Arc<Self>) {
        loop {
            let _ = tokio::time::timeout(HEARTBEAT_CHECK_INTERVAL, self.heartbeat_wake.notified()).await;
            let report_number = lock(&self.authority).report_number;
            let due = lock(&self.heartbeats).start_due(self.now_ms(), report_number);
            for (address, with_report) in due {
                let agent = self.clone();
                tokio::spawn(async move { agent.send_heartbeat(&address, with_report).await });
            }
        }
    }

    async fn send_heartbeat(&self, address: &str, with_report: bool) {
        let heartbeat = self.build_heartbeat(with_report);
        let call = self.entries.call(address, |entry| async move {
            entry.heartbeat(call_context(HEARTBEAT_TIMEOUT), heartbeat).await
        });
        let result = call.await;
        let now_ms = self.now_ms();
        match result {
            Ok(reply) => {
                self.metrics.count_heartbeat();
                lock(&self.heartbeats).record_reply(address, &reply, now_ms);
                if let Some(config) = reply.config {
                    self.configure(config);
                }
            }
            Err(e) => {
                log::debug!("no reply from the entry at {address}: {e}");
                lock(&self.heartbeats).record_no_reply(address, now_ms);
            }
        }
    }

    fn build_heartbeat(&self, with_report: bool) -> Heartbeat {
        let now_ms = self.now_ms();
        let authority = lock(&self.authority);
        let shares = || {
            let rows = authority.grants.values().map(|grant| ShareReport {
                job: grant.reserve.job.clone(),
                epoch: grant.reserve.epoch,
                account: grant.reserve.account.clone(),
                per_task: grant.reserve.per_task,
                tasks: grant.reserve.tasks,
                class: grant.reserve.class,
                preemptible: grant.reserve.preemptible,
                phase: authority
                    .member
                    .holds()
                    .get(&grant.reserve.job)
                    .map_or(sorrelland_lease::Phase::Finished, |hold| hold.phase),
                age_ms: now_ms.saturating_sub(grant.held_since_ms),
            });
            rows.collect()
        };
        let report = with_report.then(|| Report {
            place: self.place.clone(),
            address: self.address.clone(),
            capacity: self.sizes.capacity(),
            draining: authority.is_draining(),
            window: self.short_requests.window(),
            shares: shares(),
        });
        Heartbeat {
            worker: self.worker_id.clone(),
            incarnation: self.incarnation,
            report_number: authority.report_number,
            in_flight: self.short_requests.in_flight(),
            service_us: self.short_requests.service_us(),
            config_offset: authority.config.as_ref().map_or(0, |config| config.offset),
            report,
        }
    }
}
