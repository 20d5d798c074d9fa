//! Other entries: who is there, and the adoption of jobs whose entry is gone.

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

/// Time between two pings to each entry.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time for an answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(800);

/// Silence after which an entry counts as gone.
const GONE_AFTER: Duration = Duration::from_millis(3_000);

/// Silence after which an entry is not missed any more: it was replaced.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Silence after which the jobs of an entry are adopted.
const ADOPT_AFTER: Duration = Duration::from_secs(5);

/// Jobs that are adopted in one append.
const ADOPT_BATCH: usize = 500;

#[derive(Clone, Debug)]
struct Row {
    name: String,
    offset: u64,
    leaving: bool,
    seen: Instant,
}

/// The other entries.
#[derive(Debug)]
pub struct Peers {
    rows: BTreeMap<String, Option<Row>>,
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

    /// Adds an address.
    pub fn add(&mut self, address: &str) {
        self.rows.entry(address.to_owned()).or_default();
    }

    /// Takes another entry's word.
    pub fn take(&mut self, ping: &Ping) {
        let now = Instant::now();
        let row = Row { name: ping.name.clone(), offset: ping.offset, leaving: ping.leaving, seen: now };
        self.rows.insert(ping.address.clone(), Some(row));
        if ping.leaving {
            // Its jobs are free at once.
            self.claimants.remove(&ping.name);
        } else {
            self.claimants.insert(ping.name.clone(), now);
        }
    }

    /// Returns all addresses.
    pub fn addresses(&self) -> Vec<String> {
        self.rows.keys().cloned().collect()
    }

    /// Returns name and folded offset of the entries that are there.
    pub fn live(&self) -> Vec<(String, u64)> {
        let here = |row: &&Row| row.seen.elapsed() < GONE_AFTER && !row.leaving;
        self.rows.values().flatten().filter(here).map(|row| (row.name.clone(), row.offset)).collect()
    }

    /// Returns the names of entries that were there and are silent now.
    pub fn silent(&self) -> Vec<String> {
        let silent = |row: &&Row| (GONE_AFTER..FORGET_AFTER).contains(&row.seen.elapsed()) && !row.leaving;
        self.rows.values().flatten().filter(silent).map(|row| row.name.clone()).collect()
    }

    /// Returns whether `own` comes first among the entries that are there.
    pub fn is_first(&self, own: &str) -> bool {
        self.live().iter().all(|(name, _)| own <= name.as_str())
    }

    /// Returns whether a claimant has been silent for so long that its jobs are adopted.
    fn is_gone(&self, claimant: &str) -> bool {
        match self.claimants.get(claimant) {
            Some(seen) => seen.elapsed() > ADOPT_AFTER,
            None => self.started.elapsed() > ADOPT_AFTER,
        }
    }
}

impl Entry {
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

    pub(super) fn own_ping(&self, leaving: bool) -> Ping {
        Ping {
            name: self.claimant.clone(),
            address: self.address.clone(),
            offset: lock(&self.ledger).fold.next_offset,
            leaving,
        }
    }

    async fn ping(&self, address: &str) {
        let ping = self.own_ping(self.stop.is_raised());
        let call = self
            .entries
            .call(address, |peer| async move { peer.ping(call_context(PING_TIMEOUT), ping).await });
        match call.await {
            Ok(pong) => lock(&self.peers).take(&pong),
            Err(e) => log::trace!("entry at {address} does not answer: {e}"),
        }
    }

    pub(super) async fn tell_leaving(&self) {
        let addresses = lock(&self.peers).addresses();
        for address in addresses.iter().filter(|address| **address != self.address) {
            let ping = self.own_ping(true);
            let call = self
                .entries
                .call(address, |peer| async move { peer.ping(call_context(PING_TIMEOUT), ping).await });
            if let Err(e) = call.await {
                log::debug!("entry at {address} learns of the stop by silence: {e}");
            }
        }
    }

    /// Claims the jobs of entries that are gone, if this entry comes first among those that are there.
    async fn adopt_orphans(&self) {
        if self.stop.is_raised() || !lock(&self.peers).is_first(&self.claimant) {
            return;
        }
        let orphans = self.with_fold(|fold| {
            let peers = lock(&self.peers);
            let orphaned = |(name, job): (&JobId, &sorrelland_ledger::Job)| {
                let claimant = job.claimant.as_deref().unwrap_or_default();
                let open = !matches!(job.stage, Stage::Ended(_));
                let orphan = open && claimant != self.claimant && peers.is_gone(claimant);
                orphan.then(|| Record::Claim {
                    job: name.clone(),
                    entry: self.claimant.clone(),
                    base: job.claim,
                })
            };
            fold.jobs.iter().filter_map(orphaned).take(ADOPT_BATCH).collect::<Vec<_>>()
        });
        let orphans = orphans.unwrap_or_default();
        if orphans.is_empty() {
            return;
        }
        let count = orphans.len();
        match self.write(orphans).await {
            Ok(()) => log::info!("adopts {count} jobs of entries that are gone"),
            Err(e) => log::debug!("jobs are not adopted yet: {e}"),
        }
    }
}
