//! The other entries that an entry knows: their shares of a processor, and whether they can lead.
//!
//! Designed for fleets whose entries differ in size: the planner's passes and reports need most of a small entry's
//! processor, so the entries with the most lead.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Time for which an entry counts as live after its last ping, in milliseconds.
const EXPIRY_MS: u64 = 5_000;

/// Time after its last ping to the leader within which an entry may take over from it, in milliseconds: two pings.
const SUCCESSOR_AGE_MS: u64 = 1_000;

/// Ratio of processor shares from which a hand-over is worth its cost.
pub const HANDOVER_RATIO: u64 = 2;

/// Time after a failed hand-over to an entry in which it isn't tried again, in milliseconds; it doubles with each further
/// failure.
const MIN_HANDOVER_DELAY_MS: u64 = 5_000;

/// Longest such time, in milliseconds.
const MAX_HANDOVER_DELAY_MS: u64 = 60_000;

/// An entry as another one lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    pub address: String,
    /// Its share of a processor, in thousandths of a core.
    pub millicores: u64,
    /// Time since its last ping to any entry, in milliseconds.
    pub age_ms: u64,
    /// Whether it said then that it can lead.
    pub can_lead: bool,
}

/// An entry as its ping to this one shows it.
#[derive(Clone, Copy, Debug)]
pub struct Pinging {
    /// Its share of a processor, in thousandths of a core.
    pub millicores: u64,
    /// Whether it can lead.
    pub can_lead: bool,
    /// Newest version of the calls that it speaks.
    pub calls: u16,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    millicores: u64,
    can_lead: bool,
    /// When it last pinged any entry, on the monotonic clock.
    seen_at: u64,
    /// When it last pinged this entry, and the version of the calls that it spoke then; `None` if it never did.
    pinged_at: Option<(u64, u16)>,
}

/// Other entries by address. Times are in milliseconds on the monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_address: BTreeMap<String, Peer>,
}

impl Peers {
    /// Records a ping of another entry.
    pub fn record_ping(&mut self, now: u64, address: String, sender: Pinging) {
        let Pinging { millicores, can_lead, calls } = sender;
        let pinged_at = Some((now, calls));
        self.by_address.insert(address, Peer { millicores, can_lead, seen_at: now, pinged_at });
    }

    /// Records that another entry lists a third one.
    pub fn record_listed(&mut self, now: u64, listed: Listed) {
        let Listed { address, millicores, age_ms, can_lead } = listed;
        let seen_at = now.saturating_sub(age_ms);
        let new = Peer { millicores, can_lead, seen_at, pinged_at: None };
        let peer = self.by_address.entry(address).or_insert(new);
        if seen_at >= peer.seen_at {
            *peer = Peer { pinged_at: peer.pinged_at, ..new };
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
            can_lead: peer.can_lead,
        };
        live.map(listed).collect()
    }

    /// Returns whether a live entry that can lead has a larger share of a processor than `millicores`.
    pub fn has_larger(&self, now: u64, millicores: u64) -> bool {
        let is_live = |peer: &Peer| peer.seen_at + EXPIRY_MS >= now && peer.can_lead;
        self.by_address.values().any(|peer| is_live(peer) && peer.millicores > millicores)
    }

    /// Returns the addresses of the entries that may take over from this one: those with at least `min_millicores` that
    /// have just pinged this entry, speak at least the version `min_calls` of the calls and can lead. Those of the newest
    /// build come first, of these the largest.
    pub fn successors(&self, now: u64, min_millicores: u64, min_calls: u16) -> Vec<String> {
        let mut successors: Vec<_> = self
            .by_address
            .iter()
            .filter(|(_, peer)| peer.can_lead && peer.millicores >= min_millicores)
            .filter_map(|(address, peer)| Some((peer.pinged_at?, peer.millicores, address)))
            .filter(|((at, calls), ..)| at + SUCCESSOR_AGE_MS >= now && *calls >= min_calls)
            .collect();
        successors.sort_by_key(|((_, calls), millicores, _)| std::cmp::Reverse((*calls, *millicores)));
        successors.into_iter().map(|(.., address)| address.clone()).collect()
    }
}

/// Failed hand-overs by address of the other entry, so that they aren't repeated at once.
#[derive(Clone, Debug, Default)]
pub struct FailedHandovers {
    /// When each may be tried again, on the monotonic clock, and the delay before that, both in milliseconds.
    by_address: BTreeMap<String, (u64, u64)>,
}

impl FailedHandovers {
    pub fn record(&mut self, now: u64, address: &str) {
        // Entries that have long been replaced need no memory.
        self.by_address.retain(|_, (until, _)| *until + MAX_HANDOVER_DELAY_MS >= now);
        let delay_ms = match self.by_address.get(address) {
            Some((_, delay_ms)) => (delay_ms * 2).min(MAX_HANDOVER_DELAY_MS),
            None => MIN_HANDOVER_DELAY_MS,
        };
        self.by_address.insert(address.to_owned(), (now + delay_ms, delay_ms));
    }

    /// Returns whether a hand-over to an entry may be tried.
    pub fn may_try(&self, now: u64, address: &str) -> bool {
        self.by_address.get(address).is_none_or(|(until, _)| now >= *until)
    }
}
