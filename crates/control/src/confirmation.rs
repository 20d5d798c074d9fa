//! Confirms with the store that this process still leads, for final answers that are given from memory.
//!
//! A leader that was suspended or cut off doesn't know of a successor and of what that has accepted. A successor accepts
//! nothing before its claim is stored and earlier writers are fenced, so a read of the claims, or an append, that begins
//! after a request shows whether there is one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sorrelland_platform::Store;
use tokio::sync::{Notify, watch};

use crate::active_planner::ActivePlanner;
use crate::election::{CLAIMS, newest_epoch};
use crate::stored::APPEND_RETRY_DELAY;

/// Time that an append gets to confirm the leadership before the claims are read for it.
const READ_DELAY: Duration = Duration::from_millis(10);

/// Calls to the store that confirm the leadership. Requests that wait at the same time share one.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    requested: Notify,
    /// Number of calls begun.
    begun: AtomicU64,
    /// Number of the newest call that showed no successor.
    confirmed: watch::Sender<u64>,
}

impl Confirmations {
    /// Records that a call begins; returns its number.
    pub(crate) fn begin(&self) -> u64 {
        self.begun.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Records that a call has shown no successor.
    pub(crate) fn record(&self, number: u64) {
        self.confirmed.send_if_modified(|newest| {
            let is_newer = *newest < number;
            *newest = number.max(*newest);
            is_newer
        });
    }
}

impl ActivePlanner {
    /// Waits at most `wait` until a call to the store that began after this one shows that there is no successor; returns
    /// whether one has shown that.
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
            let begun = self.confirmations.begun.load(Ordering::SeqCst);
            tokio::time::sleep(READ_DELAY).await;
            if *self.confirmations.confirmed.borrow() > begun {
                continue;
            }
            let number = self.confirmations.begin();
            match store.read_latest(CLAIMS).await {
                Ok((items, _)) if newest_epoch(&items) > self.leader.epoch => {
                    self.step_down("another entry has claimed the leadership");
                }
                Ok(_) => self.confirmations.record(number),
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
