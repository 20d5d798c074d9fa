//! Stores the planner's changes and renews its leadership.

use std::sync::Arc;
use std::time::Instant;

use sorrelland_platform::Store;
use sorrelland_platform::store::{Writer, encode_keyed};

use crate::active_planner::ActivePlanner;
use crate::adaptive_timeout::AdaptiveTimeout;
use crate::clock::now_ms;
use crate::decisions::{Tried, Tries};
use crate::election::{MAX_STORE_OUTAGE_MS, RENEWAL_INTERVAL, renew};
use crate::stored::{APPEND_RETRY_DELAY, JOBS, append_outcome, split_into_appends};
use crate::{lock, metrics};

/// Time for which appends have to fail before submissions are answered with "not run", in milliseconds: longer than a slow
/// store or a few lost replies take.
const STORE_PATIENCE_MS: u64 = 1_000;

/// Failed tries of an append per log line: about one line a second.
const TRIES_PER_LOG_LINE: u32 = 10;

/// Result of an append.
enum Appended {
    Stored,
    /// Nothing of it is or will be stored.
    Rejected,
    /// The leadership has ended; the append may be stored.
    Ended,
}

impl ActivePlanner {
    pub(crate) async fn run_appends(self: Arc<Self>, store: Store, mut writer: Writer) {
        let mut append_timeout = AdaptiveTimeout::default();
        while !self.has_stepped_down() {
            self.append.notified().await;
            loop {
                let Some((records, change)) = lock(&self.planner).take_changes() else { break };
                let raw: Vec<Vec<u8>> = records.iter().map(encode_keyed).collect();
                let parts = split_into_appends(raw);
                let mut is_rejected = false;
                for part in &parts {
                    // A rejected append changes nothing, but an earlier part may be stored.
                    let may_return = parts.len() == 1;
                    match self.append_part(&store, &mut writer, &mut append_timeout, part, may_return).await {
                        Appended::Stored => (),
                        Appended::Rejected => is_rejected = true,
                        Appended::Ended => return,
                    }
                }
                if is_rejected {
                    lock(&self.planner).return_changes();
                    tokio::time::sleep(APPEND_RETRY_DELAY).await;
                    continue;
                }
                let to_wake = {
                    let mut planner = lock(&self.planner);
                    planner.record_stored(change);
                    planner.take_agents_to_wake_after_store()
                };
                self.stored.send_replace(change);
                self.wake_agents(to_wake);
            }
        }
    }

    /// Repeats an append until it is stored, or if `may_return` until it is certain that it is not.
    async fn append_part(
        &self,
        store: &Store,
        writer: &mut Writer,
        append_timeout: &mut AdaptiveTimeout,
        part: &[Vec<u8>],
        may_return: bool,
    ) -> Appended {
        let (mut tries, mut failed) = (Tries::default(), 0_u32);
        while !self.has_stepped_down() {
            let (began, began_ms) = (Instant::now(), now_ms());
            let number = self.confirmations.begin();
            let appended = store.append_as(JOBS, writer, part, append_timeout.wait()).await;
            metrics::record_append(append_outcome(&appended), began);
            lock(&self.store_failures).record(now_ms(), &appended);
            self.record_append(began_ms, appended.is_ok());
            match &appended {
                Err(e) if !e.not_applied() => append_timeout.record_timeout(),
                _ => append_timeout.record_reply(began.elapsed()),
            }
            match tries.record(writer, &appended, may_return) {
                Tried::Stored { confirms_leadership } => {
                    if confirms_leadership {
                        self.confirmations.record(number);
                    }
                    return Appended::Stored;
                }
                Tried::Ended(why) => {
                    self.step_down(&why);
                    return Appended::Ended;
                }
                Tried::Renumbered => (),
                tried @ (Tried::Rejected | Tried::Retry) => {
                    failed += 1;
                    if let Err(e) = &appended
                        && (failed == 1 || failed.is_multiple_of(TRIES_PER_LOG_LINE))
                    {
                        let sequence = writer.sequence;
                        log::warn!("event=append_retried sequence={sequence} tries={failed} cause=\"{e}\"");
                    }
                    if tried == Tried::Rejected {
                        return Appended::Rejected;
                    }
                    tokio::time::sleep(APPEND_RETRY_DELAY).await;
                }
            }
        }
        Appended::Ended
    }

    /// Records whether a try of an append that began at `began` succeeded, and whether appends fail for so long that nothing
    /// more is accepted.
    fn record_append(&self, began: u64, is_stored: bool) {
        let mut since = lock(&self.append_failing_since);
        *since = if is_stored { None } else { since.or(Some(began)) };
        let failing_ms = since.map_or(0, |since| now_ms().saturating_sub(since));
        let unavailable = failing_ms >= STORE_PATIENCE_MS;
        if self.store_unavailable.send_replace(unavailable) != unavailable {
            let epoch = self.leader.epoch;
            log::warn!(
                "event=store_unavailable epoch={epoch} unavailable={unavailable} failing_ms={failing_ms}"
            );
        }
    }

    /// Returns how long appends have failed, in milliseconds; 0 if the last one succeeded.
    pub(crate) fn append_failing_ms(&self) -> u64 {
        lock(&self.append_failing_since).map_or(0, |since| now_ms().saturating_sub(since))
    }

    /// Returns how long the store has rejected the planner's calls, in milliseconds; 0 if it answers.
    pub fn store_failing_ms(&self) -> u64 {
        lock(&self.store_failures).lasting_ms(now_ms())
    }

    pub(crate) async fn run_renewals(self: Arc<Self>, store: Store) {
        let mut renewed_at = now_ms();
        while !self.has_stepped_down() {
            let renewal = renew(&store, self.leader.epoch, false).await;
            lock(&self.store_failures).record(now_ms(), &renewal);
            match renewal {
                Ok(()) => {
                    renewed_at = now_ms();
                    // Without an append in progress nothing else would show that the store is back.
                    self.record_append(renewed_at, true);
                }
                Err(e) => log::warn!("event=renewal_failed epoch={} cause=\"{e}\"", self.leader.epoch),
            }
            if now_ms() > renewed_at + MAX_STORE_OUTAGE_MS {
                self.step_down("the store was unreachable for too long");
            }
            tokio::time::sleep(RENEWAL_INTERVAL).await;
        }
    }
}
