//! The leadership of an entry: claims it, runs the planner, and hands over without a time in which nobody leads.
//!
//! A leader goes on until its successor has claimed: the successor first shows that it reads the jobs from the store, and
//! its stored claim shows that it writes to the store. A hand-over that fails changes nothing.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sorrelland_platform::PolicyClient;
use sorrelland_wire::connect::CallError;
use tarpc::client::RpcError;
use tokio::sync::{mpsc, oneshot};

use crate::active_planner::ActivePlanner;
use crate::calls::{Leader, OfferReply, call};
use crate::clock::now_ms;
use crate::election::{self, CancelsStored, DEFER_MS, MIN_REJECTED_MS};
use crate::entry::Entry;
use crate::lock;
use crate::peers::HANDOVER_RATIO;
use crate::stored::Snapshot;
use crate::versions::NEWEST;

/// Delay after which an entry that is stopping or lacks the desired state checks again whether it may claim.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Delay after which an entry that can't lead in place of an earlier build checks again whether it can.
const SUPERSEDE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after the end of its own leadership in which an entry doesn't take one from an earlier build: what ended it, such as a
/// store that rejects this entry now and then, may happen again.
const SUPERSEDE_PAUSE: Duration = Duration::from_secs(5);

/// Upper bound of the delays that spread the claims of the entries, in milliseconds.
const MAX_CLAIM_DELAY_MS: u64 = 300;

/// Minimum time between the start of a planner and its hand-over to an entry with more processor.
const MIN_TENURE: Duration = Duration::from_secs(2);

/// Time between two checks for an entry to hand over to.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time since the store's last answer within which an entry can lead. Reads that wait for records end sooner.
const MAX_STORE_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a leader waits until another entry has claimed.
const OFFER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time within which an entry that is offered the leadership has to read the jobs, and then to claim. Both together stay
/// below [`OFFER_TIMEOUT`].
const PREPARE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time that a stopping leader spends on the search for a successor.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Offer of the leadership that this entry has accepted.
pub(crate) struct Offer {
    /// Epoch of the leader.
    epoch: u64,
    jobs: Snapshot,
    /// Receives the claim once it is stored.
    claimed: oneshot::Sender<Leader>,
}

impl Entry {
    /// Returns whether this entry can lead: it knows the desired state, reaches the store, and is neither stopping nor in
    /// an evacuated failure domain.
    pub(crate) fn can_lead(&self) -> bool {
        self.desired.borrow().version > 0
            && !*self.stopping.borrow()
            && !lock(&self.evacuated).contains(&self.settings.domain)
            && self.store.health().is_reachable(Instant::now(), MAX_STORE_AGE)
    }

    /// Claims the leadership whenever it may be claimed or is offered, and runs the planner until the leadership ends.
    pub(crate) async fn run_leadership(self: Arc<Self>, mut offers: mpsc::Receiver<Offer>) {
        let mut hasher = DefaultHasher::new();
        self.me.instance.hash(&mut hasher);
        let claim_delay_ms = hasher.finish() % MAX_CLAIM_DELAY_MS;
        let mut last_epoch = 0;
        // When this entry last led.
        let mut ended_at = None;
        loop {
            let own_claim = self
                .leadership
                .leader()
                .filter(|leader| leader.incarnation == self.me.incarnation && leader.epoch > last_epoch);
            let (leader, jobs) = match own_claim {
                Some(leader) => (Some(leader), None),
                None => self.claim(&mut offers, claim_delay_ms, ended_at).await,
            };
            let Some(leader) = leader else { continue };
            last_epoch = leader.epoch;
            let desired = self.desired.borrow().clone();
            let policy = self.settings.policy_address.as_deref().map(PolicyClient::new);
            let started = ActivePlanner::start(&self.store, policy, leader, self.timing(), desired, jobs);
            let Some(active) = started.await else { continue };
            let unknown = CancelsStored { since: active.leader.epoch, known_at: now_ms() };
            active.set_cancels_stored(self.leadership.cancels_stored().unwrap_or(unknown));
            *lock(&self.active_planner) = Some(active.clone());
            // A newer version may have arrived while the jobs were read.
            active.set_desired(self.desired.borrow().clone());
            active.set_evacuated(lock(&self.evacuated).clone());
            self.notify_entries().await;
            tokio::select! {
                () = self.wait_for_end_of_leadership(&active) => (),
                () = self.run_handovers(&active) => (),
            }
            *lock(&self.active_planner) = None;
            *lock(&self.led_at) = now_ms();
            ended_at = Some(tokio::time::Instant::now());
        }
    }

    /// Waits until the leadership may be claimed or is offered, and claims it. Returns the leader if it is now this
    /// process, and the jobs that it has read already.
    async fn claim(
        &self,
        offers: &mut mpsc::Receiver<Offer>,
        claim_delay_ms: u64,
        ended_at: Option<tokio::time::Instant>,
    ) -> (Option<Leader>, Option<Snapshot>) {
        let claimable =
            election::wait_until_claimable(&self.store, &self.leadership, &self.me, claim_delay_ms);
        tokio::select! {
            epoch = claimable => {
                if *self.stopping.borrow() {
                    tokio::time::sleep(CLAIM_RETRY_DELAY).await;
                    return (None, None);
                }
                if self.desired.borrow().version == 0 {
                    let mut desired = self.desired.subscribe();
                    let known = desired.wait_for(|desired| desired.version > 0);
                    // The claim is checked again in any case: another entry may lead by then.
                    let _ = tokio::time::timeout(CLAIM_RETRY_DELAY, known).await;
                    return (None, None);
                }
                (election::claim(&self.store, &self.leadership, &self.me, epoch).await, None)
            }
            (epoch, jobs) = self.wait_to_supersede_earlier_build(claim_delay_ms, ended_at) => {
                log::info!("event=superseding_earlier_build epoch={epoch}");
                (election::claim(&self.store, &self.leadership, &self.me, epoch).await, Some(jobs))
            }
            // The sender exists as long as this entry.
            Some(offer) = offers.recv() => {
                let leader = election::claim(&self.store, &self.leadership, &self.me, offer.epoch).await;
                if let Some(leader) = &leader {
                    // The old leader learns of the claim from the store if it no longer waits.
                    let _ = offer.claimed.send(leader.clone());
                }
                (leader, Some(offer.jobs))
            }
        }
    }

    /// Waits until a leader of an earlier build is known, which answers cancels of unknown jobs without storing them, and this
    /// entry can lead in its place. Returns that leader's epoch, and the jobs. An entry that led until `ended_at` waits longer.
    async fn wait_to_supersede_earlier_build(
        &self,
        claim_delay_ms: u64,
        ended_at: Option<tokio::time::Instant>,
    ) -> (u64, Snapshot) {
        if let Some(ended_at) = ended_at {
            tokio::time::sleep_until(ended_at + SUPERSEDE_PAUSE).await;
        }
        loop {
            let epoch = self.leadership.wait_for_leader_of_earlier_build().await;
            let delay_ms = if self.leadership.defers() { claim_delay_ms + DEFER_MS } else { claim_delay_ms };
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            if self.can_lead() && self.leadership.epoch() == epoch {
                match tokio::time::timeout(PREPARE_TIMEOUT, Snapshot::read(&self.store)).await {
                    // The process may have begun to stop meanwhile.
                    Ok(Ok(jobs)) if self.can_lead() => return (epoch, jobs),
                    Ok(Ok(_)) => (),
                    Ok(Err(e)) => log::warn!("event=jobs_unread epoch={epoch} cause=\"{e}\""),
                    Err(_) => log::warn!("event=jobs_unread epoch={epoch} cause=\"the store is too slow\""),
                }
            }
            tokio::time::sleep(SUPERSEDE_RETRY_DELAY).await;
        }
    }

    /// Claims the leadership that the leader with `epoch` offers, unless this entry can't lead.
    pub(crate) async fn consider_offer(&self, epoch: u64) -> OfferReply {
        let declined = |why: &str| {
            log::info!("event=offer_declined epoch={epoch} why=\"{why}\"");
            OfferReply::Declined(why.to_owned())
        };
        if !self.can_lead() || self.planner().is_some() {
            return declined("this entry can't lead now");
        }
        let jobs = match tokio::time::timeout(PREPARE_TIMEOUT, Snapshot::read(&self.store)).await {
            Ok(Ok(jobs)) => jobs,
            Ok(Err(e)) => return declined(&format!("the jobs can't be read: {e}")),
            Err(_) => return declined("the store is too slow"),
        };
        let (claimed, claim) = oneshot::channel();
        if self.offers.try_send(Offer { epoch, jobs, claimed }).is_err() {
            return declined("another offer is being considered");
        }
        match tokio::time::timeout(PREPARE_TIMEOUT, claim).await {
            Ok(Ok(leader)) => OfferReply::Claimed(leader),
            _ => declined("the claim was not confirmed"),
        }
    }

    /// Offers the leadership to an entry with much more processor whenever one can lead, and to any entry that can lead if
    /// the store rejects this one. Returns once one has claimed.
    async fn run_handovers(&self, active: &ActivePlanner) {
        let began = Instant::now();
        let larger = self.settings.millicores.max(1) * HANDOVER_RATIO;
        loop {
            tokio::time::sleep(HANDOVER_CHECK_INTERVAL).await;
            let (min_millicores, min_calls, why) = match active.store_failing_ms() {
                ms if ms >= MIN_REJECTED_MS => (0, 0, "the store rejects this entry"),
                // An entry of this build would take the leadership back from one of an earlier build.
                _ if began.elapsed() >= MIN_TENURE => (larger, NEWEST, "it has more processor"),
                _ => continue,
            };
            let now = now_ms();
            let successors = lock(&self.peers).successors(now, min_millicores, min_calls);
            let may_try = |address: &String| lock(&self.failed_handovers).may_try(now, address);
            if let Some(address) = successors.into_iter().find(may_try)
                && self.offer_leadership(active, &address, why).await
            {
                return;
            }
        }
    }

    /// Offers the leadership to another entry, and steps down once that has claimed it; returns whether it has.
    async fn offer_leadership(&self, active: &ActivePlanner, address: &str, why: &str) -> bool {
        let (epoch, began) = (active.leader.epoch, Instant::now());
        log::info!("event=handing_over epoch={epoch} to={address} why=\"{why}\"");
        let offer =
            || call(&self.pool, address, OFFER_TIMEOUT, async |rpc, cx| rpc.take_over(cx, epoch).await);
        let mut reply = offer().await;
        if let Err(CallError::Rpc(RpcError::Shutdown)) = reply {
            // The other entry has restarted since the last call to it, so the offer was not sent.
            reply = offer().await;
        }
        let cause = match reply {
            Ok(OfferReply::Claimed(leader)) if leader.epoch > epoch => {
                let took_ms = began.elapsed().as_millis();
                log::info!("event=handed_over epoch={epoch} to={address} took_ms={took_ms}");
                self.leadership.update_leader(Some(leader));
                active.step_down("another entry has taken over");
                return true;
            }
            Ok(OfferReply::Claimed(leader)) => format!("it claims the older epoch {}", leader.epoch),
            Ok(OfferReply::Declined(why)) => why,
            Err(e) => e.to_string(),
        };
        log::warn!("event=handover_failed epoch={epoch} to={address} cause=\"{cause}\"");
        lock(&self.failed_handovers).record(now_ms(), address);
        false
    }

    /// Pings the other entries, so that those that cannot reach the store learn of the new leader as well.
    async fn notify_entries(&self) {
        let peers = lock(&self.peers).live(now_ms());
        futures::future::join_all(peers.iter().map(|peer| self.ping(&peer.address, None))).await;
    }

    /// Waits until the planner steps down, and makes it step down once a leader with a higher epoch is known.
    async fn wait_for_end_of_leadership(&self, active: &ActivePlanner) {
        let mut leader_changes = self.leadership.subscribe();
        let epoch = active.leader.epoch;
        let newer =
            leader_changes.wait_for(|leader| leader.as_ref().is_some_and(|leader| leader.epoch > epoch));
        let superseded = tokio::select! {
            superseded = newer => superseded.is_ok(),
            () = active.wait_for_step_down() => false,
        };
        if superseded {
            active.step_down("superseded");
        }
    }

    /// Hands over the leadership before this process stops. Without a successor it resigns, so that another entry claims
    /// as soon as it notices.
    pub(crate) async fn release_leadership(&self) {
        let Some(active) = self.planner() else { return };
        let successors = lock(&self.peers).successors(now_ms(), 0, 0);
        let search = async {
            for address in successors {
                if self.offer_leadership(&active, &address, "the process is stopping").await {
                    return true;
                }
            }
            false
        };
        if tokio::time::timeout(RELEASE_TIMEOUT, search).await.unwrap_or(false) {
            return;
        }
        active.step_down("the process is stopping");
        if let Err(e) = election::renew(&self.store, active.leader.epoch, true).await {
            log::warn!("event=resign_failed cause=\"{e}\"");
        }
    }
}
