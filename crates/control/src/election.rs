//! Leader election among the entries: claims, renewals, and when another entry may claim the leadership.
//!
//! The store orders the claims: a claim is appended only if no other came first, and its offset gives the fencing
//! token. Renewals have a topic of their own, so that they wake only entries, not agents.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sorrelland_fleet::record::Record;
use sorrelland_platform::Store;
use sorrelland_platform::store::{Error, LatestRecord, encode_keyed};
use tokio::sync::watch;

use crate::calls::Leader;
use crate::clock::now_ms;
use crate::versions;

/// Topic of the claims to the leadership.
pub const CLAIMS: &str = "keyed.duty";

/// Topic of the leader's renewals.
pub const RENEWALS: &str = "renewals";

/// Key of the newest claim.
const KEY: &str = "planner";

/// Time between two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(600);

/// Time without a renewal in the store after which the leadership may be claimed, in milliseconds: three renewal
/// intervals.
pub const LEADER_TIMEOUT_MS: u64 = 1_800;

/// Time without a renewal after which the leadership may be claimed if the leader's address also refuses connections,
/// in milliseconds: a live leader renews within this time.
pub const REFUSING_LEADER_TIMEOUT_MS: u64 = 900;

/// Time without a renewal in the store after which the leadership may be claimed if the leader says that the store
/// rejects its calls, in milliseconds.
pub const REJECTED_LEADER_TIMEOUT_MS: u64 = 400;

/// Time for which the store has to reject a leader's calls before others may claim early, in milliseconds: a few
/// tries.
pub const MIN_REJECTED_MS: u64 = 200;

/// Maximum time for which a planner goes on while the store is unreachable, in milliseconds. A new planner waits until
/// the grants that such a planner may have given have ended.
pub const MAX_STORE_OUTAGE_MS: u64 = 6_000;

/// Maximum wait of one read of the renewals.
const READ_WAIT: Duration = Duration::from_millis(700);

/// Time for which an entry that defers to others waits for their claim, in milliseconds. It covers the delays that
/// spread their claims, and a claim's way through the store.
pub(crate) const DEFER_MS: u64 = 400;

/// Maximum wait of one read of the renewals while the leadership may soon be claimed.
const REFUSING_READ_WAIT: Duration = Duration::from_millis(200);

const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Attempts to find out whether a claim without an answer was stored.
const MAX_RESOLVE_ATTEMPTS: u32 = 10;

#[derive(Serialize, Deserialize)]
struct Claim {
    instance: String,
    address: String,
    #[serde(rename = "life")]
    incarnation: u64,
    /// Epoch since which every leader has stored the cancels of unknown jobs, 0 if there was no leader before; earlier builds
    /// write none.
    #[serde(default)]
    cancels_stored_since: Option<u64>,
    /// Newest version of the calls that the claimant speaks; builds before landing 16 write none.
    #[serde(default)]
    calls: u16,
}

/// Since when every leader has stored the cancels of unknown jobs, as this process knows it. The default is "since ever".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelsStored {
    /// Epoch of the first of these leaders; 0 if there was none before.
    pub since: u64,
    /// When this process first knew that, in milliseconds on the monotonic clock.
    pub known_at: u64,
}

/// What the newest claim in the store says beside who leads.
#[derive(Clone, Copy, Debug, Default)]
struct NewestClaim {
    epoch: u64,
    /// `None` for a leader of a build before landing 14.
    cancels_stored: Option<CancelsStored>,
    /// Newest version of the calls that the leader speaks; 0 before landing 16.
    calls: u16,
}

impl NewestClaim {
    /// Returns whether the leader tells queues by their names, so that it starts nothing of a job whose queue has another name
    /// or is gone. The builds that don't store the cancels of unknown jobs, or know no callers, are among these.
    fn is_of_earlier_build(&self) -> bool {
        self.cancels_stored.is_none() || self.calls < versions::ADDRESSES
    }
}

#[derive(Serialize, Deserialize)]
struct Renewal {
    epoch: u64,
    #[serde(rename = "resigns")]
    stepping_down: bool,
}

/// What a process knows about the leadership.
#[derive(Clone, Debug)]
pub struct Leadership {
    tx: watch::Sender<Option<Leader>>,
    /// Highest epoch whose leader's address has refused a connection.
    refused: Arc<AtomicU64>,
    /// Whether this process lets other entries claim first.
    defers: Arc<AtomicBool>,
    /// Epoch of the leader whose calls the store rejects; 0 for none.
    rejected: watch::Sender<u64>,
    newest_claim: watch::Sender<NewestClaim>,
}

impl Default for Leadership {
    fn default() -> Self {
        Self {
            tx: watch::Sender::new(None),
            refused: Arc::default(),
            defers: Arc::default(),
            rejected: watch::Sender::new(0),
            newest_claim: watch::Sender::new(NewestClaim::default()),
        }
    }
}

impl Leadership {
    /// Returns the known leader with the highest epoch.
    pub fn leader(&self) -> Option<Leader> {
        self.tx.borrow().clone()
    }

    /// Returns the highest known epoch; 0 if no leader is known.
    pub fn epoch(&self) -> u64 {
        self.tx.borrow().as_ref().map_or(0, |leader| leader.epoch)
    }

    /// Records a leader, unless one with the same or a higher epoch is known.
    pub fn update_leader(&self, leader: Option<Leader>) {
        let Some(leader) = leader else { return };
        self.tx.send_if_modified(|known| {
            let newer = known.as_ref().is_none_or(|known| known.epoch < leader.epoch);
            if newer {
                let earlier = self.is_of_earlier_build(leader.epoch);
                log::info!(
                    "event=planner_known epoch={} instance={} address={} earlier_build={}",
                    leader.epoch,
                    leader.instance,
                    leader.address,
                    earlier.map_or("unknown", |earlier| if earlier { "true" } else { "false" })
                );
                *known = Some(leader);
            }
            newer
        });
    }

    /// Returns whether the leader is a previous incarnation of `me`: an earlier process on the same instance and
    /// address, which has ended.
    pub fn is_previous_incarnation_of(&self, me: &Leader) -> bool {
        let same = |leader: &Leader| leader.instance == me.instance && leader.address == me.address;
        self.tx.borrow().as_ref().is_some_and(|leader| same(leader) && leader.incarnation != me.incarnation)
    }

    /// Records that the address of the leader of `epoch` refuses connections.
    pub fn record_refused(&self, epoch: u64) {
        self.refused.fetch_max(epoch, Ordering::Relaxed);
    }

    /// Records that the leader of `epoch` has answered: an intermediary had refused the connection.
    pub fn record_answered(&self, epoch: u64) {
        // A refusal by the leader of another epoch, recorded in the meantime, stays.
        let _ = self.refused.compare_exchange(epoch, 0, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Returns whether the leader's address refuses connections.
    pub fn is_refusing(&self) -> bool {
        let epoch = self.epoch();
        epoch > 0 && self.refused.load(Ordering::Relaxed) >= epoch
    }

    /// Records for how long the store has rejected the calls of the leader of `epoch`, as that leader says.
    pub fn record_store_failing(&self, epoch: u64, failing_ms: u64) {
        let rejected = if failing_ms >= MIN_REJECTED_MS { epoch } else { 0 };
        self.rejected.send_if_modified(|known| std::mem::replace(known, rejected) != rejected);
    }

    /// Returns whether the store rejects the leader's calls.
    pub fn is_rejected(&self) -> bool {
        let epoch = self.epoch();
        epoch > 0 && *self.rejected.borrow() == epoch
    }

    /// Sets whether this process lets other entries claim first, because a live one has more processor.
    pub fn set_deferring(&self, defers: bool) {
        self.defers.store(defers, Ordering::Relaxed);
    }

    /// Returns whether this process lets other entries claim first.
    pub(crate) fn defers(&self) -> bool {
        self.defers.load(Ordering::Relaxed)
    }

    /// Applies a claim from the store.
    pub fn apply_claim(&self, key: &str, value: &[u8], offset: u64) {
        if key != KEY {
            return;
        }
        match serde_json::from_slice::<Claim>(value) {
            Ok(Claim { instance, address, incarnation, cancels_stored_since, calls }) => {
                self.record_claim(offset + 1, cancels_stored_since, calls);
                self.update_leader(Some(Leader { epoch: offset + 1, instance, address, incarnation }));
            }
            Err(e) => log::warn!("event=record_skipped topic={CLAIMS} offset={offset} cause=\"{e}\""),
        }
    }

    fn record_claim(&self, epoch: u64, cancels_stored_since: Option<u64>, calls: u16) {
        let is_new = self.newest_claim.send_if_modified(|known| {
            let is_newer = known.epoch < epoch;
            if is_newer {
                // A later epoch than its own would shut out every submission.
                let since = cancels_stored_since.map(|since| since.min(epoch));
                let is_known = |known: &CancelsStored| Some(known.since) == since;
                let cancels_stored = known.cancels_stored.filter(is_known);
                let new = || since.map(|since| CancelsStored { since, known_at: now_ms() });
                *known = NewestClaim { epoch, cancels_stored: cancels_stored.or_else(new), calls };
            }
            is_newer
        });
        if is_new && self.epoch() == epoch {
            // The leader became known by a ping, which doesn't tell its build.
            let earlier = self.newest_claim.borrow().is_of_earlier_build();
            log::info!("event=planner_build_known epoch={epoch} earlier_build={earlier}");
        }
    }

    /// Returns whether the leader of `epoch` is of a build that tells queues by their names; `None` if its claim hasn't been read yet.
    fn is_of_earlier_build(&self, epoch: u64) -> Option<bool> {
        let claim = *self.newest_claim.borrow();
        (claim.epoch == epoch).then(|| claim.is_of_earlier_build())
    }

    /// Returns since when every leader has stored the cancels of unknown jobs, as the newest claim says; `None` if the leader
    /// doesn't.
    pub fn cancels_stored(&self) -> Option<CancelsStored> {
        self.newest_claim.borrow().cancels_stored
    }

    /// Returns the epoch since which every leader has stored the cancels of unknown jobs, for a claim that gets `epoch` and
    /// follows the newest known one; 0 if there was no leader before.
    pub fn cancels_stored_since_for_claim(&self, epoch: u64) -> u64 {
        if epoch <= 1 { 0 } else { self.cancels_stored().map_or(epoch, |stored| stored.since) }
    }

    /// Waits until the newest claim is that of a leader of an earlier build; returns its epoch.
    pub(crate) async fn wait_for_leader_of_earlier_build(&self) -> u64 {
        let mut claims = self.newest_claim.subscribe();
        let is_earlier = |claim: &NewestClaim| claim.epoch > 0 && claim.is_of_earlier_build();
        // The sender exists as long as `self`.
        claims.wait_for(is_earlier).await.map_or(0, |claim| claim.epoch)
    }

    /// Returns a receiver of every new leader.
    pub fn subscribe(&self) -> watch::Receiver<Option<Leader>> {
        self.tx.subscribe()
    }
}

/// Tracks reads of the renewals to decide whether the leadership may be claimed.
#[derive(Clone, Debug, Default)]
pub struct LeaderTimeout {
    /// Time since which every read has succeeded and shown no renewal.
    since: Option<u64>,
    stepped_down: bool,
}

impl LeaderTimeout {
    /// Records a failed read. It restarts the time without renewals, since the leader may have renewed unseen.
    pub fn record_read_failure(&mut self) {
        self.since = None;
    }

    /// Records a read that began at `began` and showed no renewal.
    pub fn record_no_renewal(&mut self, began: u64) {
        self.since.get_or_insert(began);
    }

    /// Records a renewal that was read at `now`.
    pub fn record_renewal(&mut self, now: u64) {
        *self = Self { since: Some(now), stepped_down: false };
    }

    pub fn record_step_down(&mut self) {
        self.stepped_down = true;
    }

    /// Returns whether the leadership may be claimed: the leader has stepped down, or has not renewed for the time-out
    /// and a further `wait_ms`. The time-out is shorter for a leader that refuses connections.
    pub fn has_expired(&self, now: u64, is_refusing: bool, wait_ms: u64) -> bool {
        let needed = if is_refusing { REFUSING_LEADER_TIMEOUT_MS } else { LEADER_TIMEOUT_MS };
        self.stepped_down || self.since.is_some_and(|since| now >= since + needed + wait_ms)
    }

    /// Returns whether the leadership may be claimed from a leader whose calls the store rejects. The claimant's own reads
    /// have to succeed.
    pub fn has_expired_for_rejected(&self, now: u64, wait_ms: u64) -> bool {
        self.since.is_some_and(|since| now >= since + REJECTED_LEADER_TIMEOUT_MS + wait_ms)
    }
}

/// Follows the renewals until `me` may claim the leadership, and returns the epoch of the leader to supersede.
/// `claim_delay_ms` differs between entries, so that they don't all claim at once.
pub async fn wait_until_claimable(
    store: &Store,
    leadership: &Leadership,
    me: &Leader,
    claim_delay_ms: u64,
) -> u64 {
    let mut leader_timeout = LeaderTimeout::default();
    let mut leader_changes = leadership.subscribe();
    let mut rejections = leadership.rejected.subscribe();
    let mut from = 0;
    let mut epoch = leadership.epoch();
    let mut no_leader_since = None;
    let mut claimable_since = None;
    loop {
        if leadership.is_previous_incarnation_of(me) {
            return leadership.epoch();
        }
        let began = now_ms();
        let is_urgent = leadership.is_refusing() || leadership.is_rejected() || claimable_since.is_some();
        let wait = if is_urgent { REFUSING_READ_WAIT } else { READ_WAIT };
        let read = tokio::select! {
            read = store.read(RENEWALS, from, wait) => read,
            // The sender exists as long as `leadership`.
            Ok(()) = leader_changes.changed() => continue,
            Ok(()) = rejections.changed() => continue,
        };
        match read {
            Ok(read) => {
                let renewals =
                    read.records.iter().filter_map(|raw| serde_json::from_slice::<Renewal>(raw).ok());
                let current: Vec<Renewal> =
                    renewals.filter(|renewal| renewal.epoch >= leadership.epoch()).collect();
                match current.last() {
                    Some(last) if last.stepping_down => leader_timeout.record_step_down(),
                    Some(_) => leader_timeout.record_renewal(now_ms()),
                    None => leader_timeout.record_no_renewal(began),
                }
                from = read.next.max(from);
            }
            Err(Error::Compacted { first }) => from = first,
            Err(Error::Refused { status }) if status == http::StatusCode::NOT_FOUND => {
                leader_timeout.record_no_renewal(began)
            }
            Err(e) => {
                log::debug!("event=renewals_unread cause=\"{e}\"");
                leader_timeout.record_read_failure();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        if leadership.epoch() != epoch {
            epoch = leadership.epoch();
            leader_timeout.record_renewal(now_ms());
        }
        // Before the first claim no leader's time-out has to pass.
        if epoch == 0 && leader_timeout.since.is_some() {
            no_leader_since.get_or_insert(now_ms());
        }
        let unclaimed = epoch == 0 && no_leader_since.is_some_and(|since| now_ms() >= since + claim_delay_ms);
        let rejected =
            leadership.is_rejected() && leader_timeout.has_expired_for_rejected(now_ms(), claim_delay_ms);
        let expired = leader_timeout.has_expired(now_ms(), leadership.is_refusing(), claim_delay_ms);
        if unclaimed || rejected || expired {
            let since = *claimable_since.get_or_insert(now_ms());
            if !leadership.defers() || now_ms() >= since + DEFER_MS {
                return epoch;
            }
        } else {
            claimable_since = None;
        }
    }
}

/// Returns the epoch of the newest claim; 0 if there is none.
pub(crate) fn newest_epoch(claims: &[LatestRecord]) -> u64 {
    claims.iter().filter(|item| item.key == KEY).map(|item| item.offset + 1).max().unwrap_or(0)
}

/// Claims the leadership; returns the leader if it is now this process. Appends no claim if another one came after
/// `epoch`, whose leader has timed out.
pub async fn claim(store: &Store, leadership: &Leadership, me: &Leader, epoch: u64) -> Option<Leader> {
    let end = match store.read_latest(CLAIMS).await {
        Ok((items, end)) => {
            for item in &items {
                leadership.apply_claim(&item.key, &item.value, item.offset);
            }
            end
        }
        Err(e) => {
            log::warn!("event=claim_failed cause=\"{e}\"");
            return None;
        }
    };
    if leadership.epoch() != epoch {
        return None;
    }
    let mine = Leader { epoch: end + 1, ..me.clone() };
    let cancels_stored_since = leadership.cancels_stored_since_for_claim(mine.epoch);
    let claim = Claim {
        instance: me.instance.clone(),
        address: me.address.clone(),
        incarnation: me.incarnation,
        cancels_stored_since: Some(cancels_stored_since),
        calls: versions::NEWEST,
    };
    let value = serde_json::to_vec(&claim).ok()?;
    let record = encode_keyed(&Record { key: KEY.to_owned(), value });
    match store.append(CLAIMS, &[record], Some(end)).await {
        Ok(offset) => {
            let mine = Leader { epoch: offset + 1, ..mine };
            leadership.record_claim(mine.epoch, Some(cancels_stored_since), versions::NEWEST);
            leadership.update_leader(Some(mine.clone()));
            Some(mine)
        }
        Err(e) if e.not_applied() => {
            log::info!("event=claim_refused cause=\"{e}\"");
            None
        }
        Err(e) => {
            log::warn!("event=claim_unanswered cause=\"{e}\"");
            resolve(store, leadership, &mine).await
        }
    }
}

/// Finds out whether a claim without an answer was stored. A claim that is not in the store yet may still be stored
/// later: the follower of the claims then finds it, and no process leads under it until another claim supersedes it.
async fn resolve(store: &Store, leadership: &Leadership, mine: &Leader) -> Option<Leader> {
    for _ in 0..MAX_RESOLVE_ATTEMPTS {
        tokio::time::sleep(RETRY_DELAY).await;
        if let Ok((items, end)) = store.read_latest(CLAIMS).await {
            for item in &items {
                leadership.apply_claim(&item.key, &item.value, item.offset);
            }
            if end >= mine.epoch {
                return leadership.leader().filter(|leader| leader.incarnation == mine.incarnation);
            }
        }
    }
    None
}

/// Renews the leadership, or gives it up if `stepping_down`.
///
/// # Errors
///
/// Returns why the store did not confirm the renewal.
pub async fn renew(store: &Store, epoch: u64, stepping_down: bool) -> sorrelland_platform::store::Result<()> {
    let renewal =
        serde_json::to_vec(&Renewal { epoch, stepping_down }).map_err(|e| Error::Malformed(e.to_string()))?;
    store.append(RENEWALS, &[renewal], None).await.map(|_| ())
}
