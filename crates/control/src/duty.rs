//! The planner's office: who holds it, renewals, and when another entry may claim it.
//!
//! The store orders the claims: a claim is appended only if no other came first, and its offset is the fencing
//! token. Renewals lie in a topic of their own, so that only entries are woken by them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sorrelland_fleet::record::Record;
use sorrelland_platform::Store;
use sorrelland_platform::store::{Error, encode_keyed};
use tokio::sync::watch;

use crate::calls::Holder;
use crate::clock::now_ms;

/// Topic of the claims.
pub const CLAIMS: &str = "keyed.duty";

/// Topic of the renewals.
pub const RENEWALS: &str = "renewals";

/// Key of the newest claim.
const KEY: &str = "planner";

/// Time between two renewals.
pub const RENEW_EVERY: Duration = Duration::from_millis(600);

/// Silence in the store after which the office may be claimed, in milliseconds: three renewals.
pub const SILENT_MS: u64 = 1_800;

/// Silence after which the office may be claimed when the holder's instance also refuses connections, in
/// milliseconds: a holder that lives renews within this time.
pub const SILENT_AND_REFUSING_MS: u64 = 900;

/// Time for which a planner goes on without the store, in milliseconds; a new one waits for what such a planner
/// may have granted.
pub const ALONE_MS: u64 = 6_000;

/// Wait of one read of the renewals.
const READ_WAIT: Duration = Duration::from_millis(700);

/// Wait of one read of the renewals while the holder refuses connections.
const REFUSING_READ_WAIT: Duration = Duration::from_millis(200);

/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(200);

/// Tries to find out what became of a claim whose answer was lost.
const RESOLVE_TRIES: u32 = 10;

#[derive(Serialize, Deserialize)]
struct Claim {
    instance: String,
    address: String,
    life: u64,
}

#[derive(Serialize, Deserialize)]
struct Renewal {
    epoch: u64,
    resigns: bool,
}

/// What a process knows of the office.
#[derive(Clone, Debug)]
pub struct Office {
    tx: watch::Sender<Option<Holder>>,
    /// Highest epoch whose holder's address has refused a connection.
    refused: Arc<AtomicU64>,
}

impl Default for Office {
    fn default() -> Self {
        Self { tx: watch::Sender::new(None), refused: Arc::default() }
    }
}

impl Office {
    /// Returns the holder with the highest epoch heard of.
    pub fn holder(&self) -> Option<Holder> {
        self.tx.borrow().clone()
    }

    /// Returns the highest epoch heard of; 0 for none.
    pub fn epoch(&self) -> u64 {
        self.tx.borrow().as_ref().map_or(0, |holder| holder.epoch)
    }

    /// Takes in a holder that was heard of; an older one is ignored.
    pub fn learn(&self, holder: Option<Holder>) {
        let Some(holder) = holder else { return };
        self.tx.send_if_modified(|known| {
            let newer = known.as_ref().is_none_or(|known| known.epoch < holder.epoch);
            if newer {
                log::info!(
                    "event=planner_known epoch={} instance={} address={}",
                    holder.epoch,
                    holder.instance,
                    holder.address
                );
                *known = Some(holder);
            }
            newer
        });
    }

    /// Returns whether the holder is a former life of `me`: the process before on the same instance, which is gone.
    pub fn is_former_life_of(&self, me: &Holder) -> bool {
        let same = |holder: &Holder| holder.instance == me.instance && holder.address == me.address;
        self.tx.borrow().as_ref().is_some_and(|holder| same(holder) && holder.life != me.life)
    }

    /// Notes that nobody listens at the address of the holder of `epoch`.
    pub fn note_refused(&self, epoch: u64) {
        self.refused.fetch_max(epoch, Ordering::Relaxed);
    }

    /// Notes that the holder of `epoch` has answered after all: what refused was on the way.
    pub fn note_answered(&self, epoch: u64) {
        // Another epoch may have been noted since, which stays.
        let _ = self.refused.compare_exchange(epoch, 0, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Returns whether nobody listens at the holder's address.
    pub fn refuses(&self) -> bool {
        let epoch = self.epoch();
        epoch > 0 && self.refused.load(Ordering::Relaxed) >= epoch
    }

    /// Takes in a claim as it lies in the store.
    pub fn take(&self, key: &str, value: &[u8], offset: u64) {
        if key != KEY {
            return;
        }
        match serde_json::from_slice::<Claim>(value) {
            Ok(Claim { instance, address, life }) => {
                self.learn(Some(Holder { epoch: offset + 1, instance, address, life }));
            }
            Err(e) => log::warn!("event=record_skipped topic={CLAIMS} offset={offset} cause=\"{e}\""),
        }
    }

    /// Returns a receiver that is told of every new holder.
    pub fn subscribe(&self) -> watch::Receiver<Option<Holder>> {
        self.tx.subscribe()
    }
}

/// Judges from what was seen in the store whether the office may be claimed.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    /// Since when every read succeeded and showed no renewal.
    since: Option<u64>,
    resigned: bool,
}

impl Silence {
    /// Notes a read that failed: nothing is known about renewals meanwhile.
    pub fn note_lost(&mut self) {
        self.since = None;
    }

    /// Notes a read that began at `began` and showed no renewal.
    pub fn note_quiet(&mut self, began: u64) {
        self.since.get_or_insert(began);
    }

    /// Notes a renewal that was read at `now`.
    pub fn note_renewed(&mut self, now: u64) {
        *self = Self { since: Some(now), resigned: false };
    }

    /// Notes that the holder has resigned.
    pub fn note_resigned(&mut self) {
        self.resigned = true;
    }

    /// Returns whether the office may be claimed after the silence that is needed and a further `wait_ms`; less is
    /// needed of a holder that refuses connections.
    pub fn is_over(&self, now: u64, refuses: bool, wait_ms: u64) -> bool {
        let needed = if refuses { SILENT_AND_REFUSING_MS } else { SILENT_MS };
        self.resigned || self.since.is_some_and(|since| now >= since + needed + wait_ms)
    }
}

/// Follows the renewals and returns the epoch of the silent holder once `me` may claim the office; `rank_ms` spreads
/// the claimants.
pub async fn wait_for_silence(store: &Store, office: &Office, me: &Holder, rank_ms: u64) -> u64 {
    let mut silence = Silence::default();
    let mut holders = office.subscribe();
    let mut from = 0;
    let mut epoch = office.epoch();
    let mut vacant_since = None;
    loop {
        if office.is_former_life_of(me) {
            return office.epoch();
        }
        let began = now_ms();
        let wait = if office.refuses() { REFUSING_READ_WAIT } else { READ_WAIT };
        let read = tokio::select! {
            read = store.read(RENEWALS, from, wait) => read,
            // The sender lives as long as the office.
            Ok(()) = holders.changed() => continue,
        };
        match read {
            Ok(read) => {
                let renewals =
                    read.records.iter().filter_map(|raw| serde_json::from_slice::<Renewal>(raw).ok());
                let current: Vec<Renewal> =
                    renewals.filter(|renewal| renewal.epoch >= office.epoch()).collect();
                match current.last() {
                    Some(last) if last.resigns => silence.note_resigned(),
                    Some(_) => silence.note_renewed(now_ms()),
                    None => silence.note_quiet(began),
                }
                from = read.next.max(from);
            }
            Err(Error::Compacted { first }) => from = first,
            Err(Error::Refused { status }) if status == http::StatusCode::NOT_FOUND => {
                silence.note_quiet(began)
            }
            Err(e) => {
                log::debug!("event=renewals_unread cause=\"{e}\"");
                silence.note_lost();
                tokio::time::sleep(PAUSE).await;
            }
        }
        if office.epoch() != epoch {
            epoch = office.epoch();
            silence.note_renewed(now_ms());
        }
        // Before the first claim there is nobody to wait for.
        if epoch == 0 && silence.since.is_some() {
            vacant_since.get_or_insert(now_ms());
        }
        let vacant = epoch == 0 && vacant_since.is_some_and(|since| now_ms() >= since + rank_ms);
        if vacant || silence.is_over(now_ms(), office.refuses(), rank_ms) {
            return epoch;
        }
    }
}

/// Claims the office; returns the holder if this process has it now. Nothing is claimed if another claim came after
/// `epoch`, the one that was judged to be silent.
pub async fn claim(store: &Store, office: &Office, me: &Holder, epoch: u64) -> Option<Holder> {
    let end = match store.read_latest(CLAIMS).await {
        Ok((items, end)) => {
            for item in &items {
                office.take(&item.key, &item.value, item.offset);
            }
            end
        }
        Err(e) => {
            log::warn!("event=claim_failed cause=\"{e}\"");
            return None;
        }
    };
    if office.epoch() != epoch {
        return None;
    }
    let claim = Claim { instance: me.instance.clone(), address: me.address.clone(), life: me.life };
    let value = serde_json::to_vec(&claim).ok()?;
    let record = encode_keyed(&Record { key: KEY.to_owned(), value });
    let mine = Holder { epoch: end + 1, ..me.clone() };
    match store.append(CLAIMS, &[record], Some(end)).await {
        Ok(offset) => {
            let mine = Holder { epoch: offset + 1, ..mine };
            office.learn(Some(mine.clone()));
            Some(mine)
        }
        Err(e) if e.not_applied() => {
            log::info!("event=claim_refused cause=\"{e}\"");
            None
        }
        Err(e) => {
            log::warn!("event=claim_unanswered cause=\"{e}\"");
            resolve(store, office, &mine).await
        }
    }
}

/// Finds out whether a claim without an answer was carried out. A claim that is not there yet may still come; it
/// is then found by the follower, and nobody serves under it until another claim supersedes it.
async fn resolve(store: &Store, office: &Office, mine: &Holder) -> Option<Holder> {
    for _ in 0..RESOLVE_TRIES {
        tokio::time::sleep(PAUSE).await;
        if let Ok((items, end)) = store.read_latest(CLAIMS).await {
            for item in &items {
                office.take(&item.key, &item.value, item.offset);
            }
            if end >= mine.epoch {
                return office.holder().filter(|holder| holder.life == mine.life);
            }
        }
    }
    None
}

/// Renews the office, or resigns from it.
///
/// # Errors
///
/// Returns why the store did not take it.
pub async fn renew(store: &Store, epoch: u64, resigns: bool) -> sorrelland_platform::store::Result<()> {
    let renewal =
        serde_json::to_vec(&Renewal { epoch, resigns }).map_err(|e| Error::Malformed(e.to_string()))?;
    store.append(RENEWALS, &[renewal], None).await.map(|_| ())
}
