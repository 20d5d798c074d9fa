//! The other entries that an entry knows, and their shares of a processor.
//!
//! Designed for fleets whose entries differ in size: the planner's passes and reports need most of a small entry's
//! processor, so the entries with the most lead.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Time for which an entry counts as live after its last ping, in milliseconds.
const EXPIRY_MS: u64 = 5_000;

/// Time after its last ping to the leader within which an entry may take over from it, in milliseconds: two pings.
const SUCCESSOR_AGE_MS: u64 = 1_000;

/// Ratio of processor shares from which a hand-over is worth the time without a planner that it costs.
const HANDOVER_RATIO: u64 = 2;

/// An entry as another one lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    pub address: String,
    /// Its share of a processor, in thousandths of a core.
    pub millicores: u64,
    /// Time since its last ping to any entry, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    millicores: u64,
    /// When it last pinged any entry, on the monotonic clock.
    seen_at: u64,
    /// When it last pinged this entry; `None` if it never did.
    pinged_at: Option<u64>,
}

/// Other entries by address. Times are in milliseconds on the monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_address: BTreeMap<String, Peer>,
}

impl Peers {
    /// Records a ping of another entry.
    pub fn record_ping(&mut self, now: u64, address: String, millicores: u64) {
        self.by_address.insert(address, Peer { millicores, seen_at: now, pinged_at: Some(now) });
    }

    /// Records that another entry lists a third one.
    pub fn record_listed(&mut self, now: u64, listed: Listed) {
        let Listed { address, millicores, age_ms } = listed;
        let seen_at = now.saturating_sub(age_ms);
        let peer = self.by_address.entry(address).or_insert(Peer { millicores, seen_at, pinged_at: None });
        if seen_at >= peer.seen_at {
            (peer.millicores, peer.seen_at) = (millicores, seen_at);
        }
    }

    /// Removes the entries that are no longer live.
    pub fn prune(&mut self, now: u64) {
        self.by_address.retain(|_, peer| peer.seen_at + EXPIRY_MS >= now);
    }

    /// Returns the live entries.
    pub fn live(&self, now: u64) -> Vec<Listed> {
        let live = self.by_address.iter().filter(|(_, peer)| peer.seen_at + EXPIRY_MS >= now);
        let listed = |(address, peer): (&String, &Peer)| Listed {
            address: address.clone(),
            millicores: peer.millicores,
            age_ms: now.saturating_sub(peer.seen_at),
        };
        live.map(listed).collect()
    }

    /// Returns whether a live entry has a larger share of a processor than `millicores`.
    pub fn has_larger(&self, now: u64, millicores: u64) -> bool {
        self.by_address.values().any(|peer| peer.seen_at + EXPIRY_MS >= now && peer.millicores > millicores)
    }

    /// Returns the address of an entry that a leader with `millicores` should hand over to: it has just pinged this entry
    /// and has a much larger share of a processor.
    pub fn successor(&self, now: u64, millicores: u64) -> Option<&str> {
        let is_live = |peer: &Peer| peer.pinged_at.is_some_and(|at| at + SUCCESSOR_AGE_MS >= now);
        let mut larger = self
            .by_address
            .iter()
            .filter(|(_, peer)| is_live(peer) && peer.millicores >= millicores.max(1) * HANDOVER_RATIO);
        larger.next().map(|(address, _)| address.as_str())
    }
}
