//! Confirms with the store that this process still leads, for final answers that are given from memory.
//!
//! A leader that was suspended or cut off doesn't know of a successor and of what that has accepted. A successor accepts
//! nothing before its claim is stored, so a read of the claims that begins after a request shows whether there is one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sorrelland_platform::Store;
use tokio::sync::{Notify, watch};

use crate::active_planner::ActivePlanner;
use crate::election::{CLAIMS, newest_epoch};
use crate::stored::APPEND_RETRY_DELAY;

/// Reads of the claims. Requests that wait at the same time share one.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    requested: Notify,
    /// Number of reads begun.
    begun: AtomicU64,
    /// Number of the newest read that showed no later claim.
    confirmed: watch::Sender<u64>,
}

impl ActivePlanner {
    /// Waits at most `wait` until a read of the claims that began after this call shows that no other process has claimed
    /// the leadership; returns whether one has shown that.
    pub(crate) async fn confirm_leadership(&self, wait: Duration) -> bool {
        let mut confirmed = self.confirmations.confirmed.subscribe();
        let needed = self.confirmations.begun.load(Ordering::SeqCst) + 1;
        self.confirmations.requested.notify_one();
        tokio::select! {
            // The sender exists as long as this planner.
            _ = confirmed.wait_for(|number| *number >= needed) => true,
            () = self.wait_for_step_down() => false,
            () = tokio::time::sleep(wait) => false,
        }
    }

    /// Reads the claims whenever that is requested, until the leadership ends.
    pub(crate) async fn run_confirmations(self: Arc<Self>, store: Store) {
        loop {
            tokio::select! {
                () = self.confirmations.requested.notified() => (),
                () = self.wait_for_step_down() => return,
            }
            let number = self.confirmations.begun.fetch_add(1, Ordering::SeqCst) + 1;
            match store.read_latest(CLAIMS).await {
                Ok((items, _)) if newest_epoch(&items) > self.leader.epoch => {
                    self.step_down("another entry has claimed the leadership");
                }
                Ok(_) => _ = self.confirmations.confirmed.send_replace(number),
                Err(e) => {
                    log::debug!("event=leadership_unconfirmed epoch={} cause=\"{e}\"", self.leader.epoch);
                    tokio::time::sleep(APPEND_RETRY_DELAY).await;
                    if self.confirmations.confirmed.receiver_count() > 0 {
                        self.confirmations.requested.notify_one();
                    }
                }
            }
        }
    }
}
