//! Idempotency keys that name their home, and the home's record of them.

use std::collections::BTreeMap;
use std::str::FromStr;

use derive_more::{Display, Error};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::id::WorkerId;

/// Windows of keys that a home remembers, the current one included.
pub const WINDOWS_KEPT: u32 = 3;

/// Keys that a home remembers at a time.
pub const KEYS_KEPT: usize = 50_000;

/// A span of a home's life in which keys are minted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Window {
    /// Worker whose agent is the home.
    pub worker: WorkerId,
    /// Life of that agent; each start of the process has its own.
    pub incarnation: u64,
    /// Number of the window within that life.
    pub number: u32,
}

/// An idempotency key; only the home named in it ever runs the request.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{}~{:x}~{:x}~{nonce:032x}", window.worker, window.incarnation, window.number)]
pub struct Key {
    /// Window in which the key was minted.
    pub window: Window,
    /// Random number that tells keys of one window apart.
    pub nonce: u128,
}

/// The text is not a key that this system minted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a key of this system; take one with POST /v1/keys")]
pub struct BadKey;

impl FromStr for Key {
    type Err = BadKey;

    fn from_str(text: &str) -> Result<Self, BadKey> {
        let mut parts = text.rsplitn(4, '~');
        let nonce = parts.next().and_then(|p| u128::from_str_radix(p, 16).ok()).ok_or(BadKey)?;
        let number = parts.next().and_then(|p| u32::from_str_radix(p, 16).ok()).ok_or(BadKey)?;
        let incarnation = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok()).ok_or(BadKey)?;
        let worker = parts.next().filter(|p| !p.is_empty()).ok_or(BadKey)?;
        Ok(Self { window: Window { worker: worker.into(), incarnation, number }, nonce })
    }
}

/// What the home decides when a keyed request arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin<A> {
    /// The key is recorded; the work may start, once.
    Fresh,
    /// The work started and has no outcome yet.
    Running,
    /// The work ended with this outcome.
    Ended(A),
    /// The home cannot vouch for the key: the work may have run and will not be run.
    Unknown,
    /// The home's record is full; nothing ran, and nothing will run under a key of this window.
    Full,
}

/// The keys of one home, with the outcome of each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyTable<A> {
    window: Window,
    records: BTreeMap<(u32, u128), Option<A>>,
    capacity: usize,
    sealed: Option<u32>,
}

impl<A: Clone> KeyTable<A> {
    /// Creates the record of a new life of a home.
    pub fn new(worker: &WorkerId, incarnation: u64) -> Self {
        let window = Window { worker: worker.clone(), incarnation, number: 0 };
        Self { window, records: BTreeMap::new(), capacity: KEYS_KEPT, sealed: None }
    }

    /// Returns the record with room for `capacity` keys.
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }

    /// Returns the window in which keys are minted now.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Records a key before its work starts.
    pub fn begin(&mut self, key: &Key) -> Begin<A> {
        if !self.vouches(key) {
            return Begin::Unknown;
        }
        let at = (key.window.number, key.nonce);
        if let Some(record) = self.records.get(&at) {
            return match record {
                Some(answer) => Begin::Ended(answer.clone()),
                None => Begin::Running,
            };
        }
        if self.refuses_fresh(key.window.number) {
            return Begin::Full;
        }
        self.records.insert(at, None);
        Begin::Fresh
    }

    /// Records the outcome of a key's work; the first outcome stays.
    pub fn end(&mut self, key: &Key, answer: A) {
        if let Some(record) = self.records.get_mut(&(key.window.number, key.nonce)) {
            record.get_or_insert(answer);
        }
    }

    /// Opens the next window and forgets the oldest.
    pub fn advance(&mut self) {
        self.window.number += 1;
        let oldest = (self.window.number + 1).saturating_sub(WINDOWS_KEPT);
        self.records = self.records.split_off(&(oldest, 0));
    }

    /// Seals the current window once the record is full, so that a refusal stays true for late duplicates.
    fn refuses_fresh(&mut self, number: u32) -> bool {
        if self.records.len() >= self.capacity {
            self.sealed = Some(self.window.number);
        }
        self.sealed.is_some_and(|sealed| number <= sealed)
    }

    fn vouches(&self, key: &Key) -> bool {
        let same =
            key.window.worker == self.window.worker && key.window.incarnation == self.window.incarnation;
        let oldest = (self.window.number + 1).saturating_sub(WINDOWS_KEPT);
        same && (oldest..=self.window.number).contains(&key.window.number)
    }
}
