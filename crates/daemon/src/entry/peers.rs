//! Liveness of the other entries, and the adoption of jobs whose entry no longer responds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sorrelland_core::id::JobId;
use sorrelland_ledger::{Record, Stage};
use sorrelland_wire::connect::call_context;
use sorrelland_wire::entry::Ping;

use crate::entry::Entry;
use crate::sync::lock;

/// Interval between pings to each entry.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time-out of one ping.
const PING_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without a ping after which an entry counts as down.
const DOWN_AFTER: Duration = Duration::from_millis(3_000);

/// Time without a ping after which an entry that is down is no longer reported as missing: it was replaced.
const OMIT_AFTER: Duration = Duration::from_secs(600);

/// Time without a ping after which the jobs of an entry are adopted.
const ADOPT_AFTER: Duration = Duration::from_secs(5);

/// Maximum number of jobs adopted in one append.
const MAX_ADOPT_BATCH: usize = 500;

#[derive(Clone, Debug)]
struct PeerRow {
    name: String,
    offset: u64,
    stopping: bool,
    last_ping: Instant,
}

/// The other entries, by address, and the time of each claimant's last ping.
#[derive(Debug)]
pub struct Peers {
    rows: BTreeMap<String, Option<PeerRow>>,
    claimants: BTreeMap<String, Instant>,
    started: Instant,
}

impl Peers {
    /// Creates the table from the addresses in the settings.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self {
            rows: seeds.iter().map(|address| (address.to_string(), None)).collect(),
            claimants: BTreeMap::new(),
            started: Instant::now(),
        }
    }

    /// Adds the address of an entry.
    pub fn add(&mut self, address: &str) {
        self.rows.entry(address.to_owned()).or_default();
    }

    /// Records another entry's ping, or its reply to one.
    pub fn record_ping(&mut self, ping: &Ping) {
        let now = Instant::now();
        let row =
            PeerRow { name: ping.name.clone(), offset: ping.offset, stopping: ping.stopping, last_ping: now };
        self.rows.insert(ping.address.clone(), Some(row));
        if ping.stopping {
            // Its jobs may be adopted without waiting for `ADOPT_AFTER`.
            self.claimants.remove(&ping.name);
        } else {
            self.claimants.insert(ping.name.clone(), now);
        }
    }

    pub fn addresses(&self) -> Vec<String> {
        self.rows.keys().cloned().collect()
    }

    /// Returns the name and the folded offset of the responsive entries.
    pub fn live(&self) -> Vec<(String, u64)> {
        let live = |row: &&PeerRow| row.last_ping.elapsed() < DOWN_AFTER && !row.stopping;
        self.rows.values().flatten().filter(live).map(|row| (row.name.clone(), row.offset)).collect()
    }

    /// Returns the names of entries that no longer respond although they did not announce their stop.
    pub fn unresponsive(&self) -> Vec<String> {
        let down = |r: &&PeerRow| (DOWN_AFTER..OMIT_AFTER).contains(&r.last_ping.elapsed()) && !r.stopping;
        self.rows.values().flatten().filter(down).map(|row| row.name.clone()).collect()
    }

    /// Returns whether `own` is the first name among the responsive entries.
    pub fn is_first(&self, own: &str) -> bool {
        self.live().iter().all(|(name, _)| own <= name.as_str())
    }

    /// Returns whether the jobs of a claimant may be adopted: it stops, or has sent no ping for `ADOPT_AFTER`.
    fn is_adoptable(&self, claimant: &str) -> bool {
        match self.claimants.get(claimant) {
            Some(last_ping) => last_ping.elapsed() > ADOPT_AFTER,
            None => self.started.elapsed() > ADOPT_AFTER,
        }
    }
}

impl Entry {
    /// Pings the other entries and adopts orphaned jobs at each interval.
    pub(super) async fn peer_loop(self: Arc<Self>) {
        loop {
            let known = self.with_fold(|fold| fold.entries.values().cloned().collect::<Vec<_>>());
            let addresses = {
                let mut peers = lock(&self.peers);
                known.iter().flatten().for_each(|address| peers.add(address));
                peers.addresses()
            };
            for address in addresses.into_iter().filter(|address| *address != self.address) {
                let entry = self.clone();
                tokio::spawn(async move { entry.ping(&address).await });
            }
            self.adopt_orphans().await;
            tokio::time::sleep(PING_INTERVAL).await;
        }
    }

    pub(super) fn own_ping(&self, stopping: bool) -> Ping {
        Ping {
            name: self.claimant.clone(),
            address: self.address.clone(),
            offset: lock(&self.ledger).fold.next_offset,
            stopping,
        }
    }

    async fn ping(&self, address: &str) {
        let ping = self.own_ping(self.stop.is_raised());
        let call = self
            .entries
            .call(address, |peer| async move { peer.ping(call_context(PING_TIMEOUT), ping).await });
        match call.await {
            Ok(pong) => lock(&self.peers).record_ping(&pong),
            Err(e) => log::trace!("ping to entry at {address} failed: {e}"),
        }
    }

    /// Notifies the other entries that this one stops, so that they adopt its jobs at once.
    pub(super) async fn notify_stopping(&self) {
        let addresses = lock(&self.peers).addresses();
        for address in addresses.iter().filter(|address| **address != self.address) {
            let ping = self.own_ping(true);
            let call = self
                .entries
                .call(address, |peer| async move { peer.ping(call_context(PING_TIMEOUT), ping).await });
            if let Err(e) = call.await {
                log::debug!(
                    "entry at {address} was not notified of the stop and detects it by missing pings: {e}"
                );
            }
        }
    }

    /// Claims the jobs of entries that stop or no longer respond, if this entry is the first of the responsive ones.
    async fn adopt_orphans(&self) {
        if self.stop.is_raised() || !lock(&self.peers).is_first(&self.claimant) {
            return;
        }
        let orphans = self.with_fold(|fold| {
            let peers = lock(&self.peers);
            let orphaned = |(name, job): (&JobId, &sorrelland_ledger::Job)| {
                let claimant = job.claimant.as_deref().unwrap_or_default();
                let unended = !matches!(job.stage, Stage::Ended(_));
                let orphan = unended && claimant != self.claimant && peers.is_adoptable(claimant);
                orphan.then(|| Record::Claim {
                    job: name.clone(),
                    entry: self.claimant.clone(),
                    base: job.claim,
                })
            };
            fold.jobs.iter().filter_map(orphaned).take(MAX_ADOPT_BATCH).collect::<Vec<_>>()
        });
        let orphans = orphans.unwrap_or_default();
        if orphans.is_empty() {
            return;
        }
        let count = orphans.len();
        match self.write(orphans).await {
            Ok(()) => log::info!("adopted {count} jobs of entries that no longer respond"),
            Err(e) => log::debug!("orphaned jobs not adopted yet: {e}"),
        }
    }
}
