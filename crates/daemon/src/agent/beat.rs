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

/// Time between two looks at which beats are due.
const BEAT_TICK: Duration = Duration::from_millis(50);

/// Time for the answer to a beat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time until the next beat after one that was not answered, in milliseconds.
const RETRY_MS: Millis = 500;

/// Beats without an answer after which an entry that is not in the settings is forgotten.
const FORGET_AFTER: u32 = 40;

#[derive(Clone, Debug, Default)]
struct Row {
    seed: bool,
    due_ms: Millis,
    acknowledged: u64,
    unanswered: u32,
    busy: bool,
}

/// The entries that this agent knows.
pub struct Beats {
    rows: BTreeMap<String, Row>,
}

impl Beats {
    /// Creates the table from the addresses in the settings.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        let seed = |address: &SocketAddr| (address.to_string(), Row { seed: true, ..Row::default() });
        Self { rows: seeds.iter().map(seed).collect() }
    }

    fn take_due(&mut self, now_ms: Millis, report_number: u64) -> Vec<(String, bool)> {
        let mut due = Vec::new();
        for (address, row) in &mut self.rows {
            let changed = row.acknowledged != report_number && row.unanswered == 0;
            if !row.busy && (now_ms >= row.due_ms || changed) {
                row.busy = true;
                due.push((address.clone(), row.acknowledged != report_number));
            }
        }
        due
    }

    fn answered(&mut self, address: &str, reply: &HeartbeatReply, now_ms: Millis) {
        for entry in &reply.entries {
            self.rows.entry(entry.clone()).or_default();
        }
        if let Some(row) = self.rows.get_mut(address) {
            row.busy = false;
            row.unanswered = 0;
            row.acknowledged = reply.report_number;
            row.due_ms = now_ms + Millis::from(reply.next_ms);
        }
    }

    fn unanswered(&mut self, address: &str, now_ms: Millis) {
        let Some(row) = self.rows.get_mut(address) else { return };
        row.busy = false;
        row.unanswered += 1;
        row.acknowledged = 0;
        row.due_ms = now_ms + RETRY_MS;
        if !row.seed && row.unanswered >= FORGET_AFTER {
            self.rows.remove(address);
        }
    }
}

impl Agent {
    pub(super) async fn beat_loop(self: Arc<Self>) {
        loop {
            let _ = tokio::time::timeout(BEAT_TICK, self.beat_now.notified()).await;
            let report_number = lock(&self.authority).report_number;
            let due = lock(&self.beats).take_due(self.now_ms(), report_number);
            for (address, with_report) in due {
                let agent = self.clone();
                tokio::spawn(async move { agent.send_beat(&address, with_report).await });
            }
        }
    }

    async fn send_beat(&self, address: &str, with_report: bool) {
        let beat = self.beat(with_report);
        let call = self
            .entries
            .call(address, |entry| async move { entry.heartbeat(call_context(BEAT_TIMEOUT), beat).await });
        let answer = call.await;
        let now_ms = self.now_ms();
        match answer {
            Ok(reply) => {
                self.metrics.beat();
                lock(&self.beats).answered(address, &reply, now_ms);
                if let Some(config) = reply.config {
                    self.configure(config);
                }
            }
            Err(e) => {
                log::debug!("entry at {address} does not answer: {e}");
                lock(&self.beats).unanswered(address, now_ms);
            }
        }
    }

    fn beat(&self, with_report: bool) -> Heartbeat {
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
                age_ms: now_ms.saturating_sub(grant.since_ms),
            });
            rows.collect()
        };
        let report = with_report.then(|| Report {
            place: self.place.clone(),
            address: self.address.clone(),
            capacity: self.sizes.amount(),
            draining: authority.is_draining(),
            window: self.shorts.window(),
            shares: shares(),
        });
        Heartbeat {
            worker: self.worker_id.clone(),
            incarnation: self.incarnation,
            report_number: authority.report_number,
            in_flight: self.shorts.in_flight(),
            service_us: self.shorts.service_us(),
            offset: authority.config.as_ref().map_or(0, |config| config.offset),
            report,
        }
    }
}
