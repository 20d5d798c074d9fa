//! Idempotency keys, and the table of them that an agent keeps.
//!
//! The home of a key is the agent that issued it; a request runs only at the home of its key.

use std::collections::BTreeMap;
use std::str::FromStr;

use derive_more::{Display, Error};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelland_core::id::WorkerId;

/// Maximum number of windows whose keys a home retains, the current one included.
pub const MAX_WINDOWS: u32 = 3;

/// Maximum number of keys that a home retains.
pub const MAX_KEYS: usize = 50_000;

/// Period within an incarnation of a home in which it issues keys; keys expire a window at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
pub struct KeyWindow {
    /// Worker whose agent is the home.
    pub worker: WorkerId,
    /// Incarnation of that agent; each start of the process has its own.
    pub incarnation: u64,
    /// Number of the window within that incarnation.
    pub number: u32,
}

/// Idempotency key; it names its home, so that no other agent runs the request.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{}~{:x}~{:x}~{nonce:032x}", window.worker, window.incarnation, window.number)]
pub struct Key {
    /// Window in which the key was issued.
    pub window: KeyWindow,
    /// Random number that distinguishes the keys of one window.
    pub nonce: u128,
}

/// The text does not have the form of a key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a key of this system; take one with POST /v1/keys")]
pub struct InvalidKey;

impl FromStr for Key {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, InvalidKey> {
        let mut parts = text.rsplitn(4, '~');
        let nonce = parts.next().and_then(|p| u128::from_str_radix(p, 16).ok()).ok_or(InvalidKey)?;
        let number = parts.next().and_then(|p| u32::from_str_radix(p, 16).ok()).ok_or(InvalidKey)?;
        let incarnation = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok()).ok_or(InvalidKey)?;
        let worker = parts.next().filter(|p| !p.is_empty()).ok_or(InvalidKey)?;
        Ok(Self { window: KeyWindow { worker: worker.into(), incarnation, number }, nonce })
    }
}

/// Status of a key when a request with it arrives at its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus<A> {
    /// The key is recorded now; this request, and no other, may start the work.
    New,
    /// The work may have started and has no outcome yet.
    Running,
    /// The work ended with this outcome.
    Ended(A),
    /// The home has no record that covers the key: the work may have run and will not be run.
    Unknown,
    /// The table is full: the work did not run, and no key of this window that is not recorded yet will run.
    Full,
}

/// Keys of one home, with their outcomes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyTable<A> {
    window: KeyWindow,
    /// Outcome, once there is one, by window number and nonce.
    records: BTreeMap<(u32, u128), Option<A>>,
    capacity: usize,
    /// Greatest number of a window that takes no new keys.
    sealed_window: Option<u32>,
}

impl<A: Clone> KeyTable<A> {
    /// Creates the empty table of a new incarnation of a home.
    pub fn new(worker: &WorkerId, incarnation: u64) -> Self {
        let window = KeyWindow { worker: worker.clone(), incarnation, number: 0 };
        Self { window, records: BTreeMap::new(), capacity: MAX_KEYS, sealed_window: None }
    }

    /// Sets the number of keys at which the table refuses new ones.
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }

    /// Returns the window in which keys are issued now.
    pub fn window(&self) -> &KeyWindow {
        &self.window
    }

    /// Returns the status of a key and records it if it is new; called before the work starts.
    pub fn begin(&mut self, key: &Key) -> KeyStatus<A> {
        if !self.is_in_retained_window(key) {
            return KeyStatus::Unknown;
        }
        let id = (key.window.number, key.nonce);
        if let Some(record) = self.records.get(&id) {
            return match record {
                Some(outcome) => KeyStatus::Ended(outcome.clone()),
                None => KeyStatus::Running,
            };
        }
        if self.refuses_new_key(key.window.number) {
            return KeyStatus::Full;
        }
        self.records.insert(id, None);
        KeyStatus::New
    }

    /// Records the outcome of a key's work; later outcomes are ignored.
    pub fn record_outcome(&mut self, key: &Key, outcome: A) {
        if let Some(record) = self.records.get_mut(&(key.window.number, key.nonce)) {
            record.get_or_insert(outcome);
        }
    }

    /// Opens the next window and removes the keys of the oldest.
    pub fn open_next_window(&mut self) {
        self.window.number += 1;
        let oldest = (self.window.number + 1).saturating_sub(MAX_WINDOWS);
        self.records = self.records.split_off(&(oldest, 0));
    }

    /// Seals the current window, and all before it, once the table is full.
    ///
    /// Without the seal, a late duplicate of a refused request could run once the table has free capacity again,
    /// although its caller received the reply that the work did not run.
    fn refuses_new_key(&mut self, number: u32) -> bool {
        if self.records.len() >= self.capacity {
            self.sealed_window = Some(self.window.number);
        }
        self.sealed_window.is_some_and(|sealed| number <= sealed)
    }

    fn is_in_retained_window(&self, key: &Key) -> bool {
        let same_incarnation =
            key.window.worker == self.window.worker && key.window.incarnation == self.window.incarnation;
        let oldest = (self.window.number + 1).saturating_sub(MAX_WINDOWS);
        same_incarnation && (oldest..=self.window.number).contains(&key.window.number)
    }
}
