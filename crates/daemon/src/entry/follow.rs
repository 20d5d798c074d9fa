//! Following the log: the fold, snapshots, and peers' folds while the log is down.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sorrelland_ledger::{Fold, Record};
use sorrelland_wire::connect::call_context;

use crate::entry::Entry;
use crate::log_client::Page;
use crate::sync::lock;

/// Time between two tries to read the log.
const RETRY: Duration = Duration::from_millis(200);

/// Time for a peer's fold.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

impl Entry {
    /// Folds the log as it grows.
    pub(super) async fn follow_loop(self: Arc<Self>) {
        let mut snapshot_due = Instant::now();
        loop {
            let from = lock(&self.ledger).fold.next_offset;
            match self.log.read(from).await {
                Ok(page) => {
                    self.take(from, page).await;
                    if Instant::now() >= snapshot_due {
                        snapshot_due = Instant::now() + Duration::from_secs(1);
                        self.snapshot_if_due();
                    }
                }
                Err(e) => {
                    log::debug!("log is not read: {e}");
                    if !lock(&self.ledger).known {
                        self.ask_peers_for_fold().await;
                    }
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    async fn take(&self, from: u64, page: Page) {
        if page.first > from {
            self.catch_up(page).await;
            return;
        }
        let complete = {
            let mut ledger = lock(&self.ledger);
            fold_page(&mut ledger.fold, &page);
            let complete = ledger.fold.next_offset >= page.next;
            if complete {
                ledger.known = true;
                ledger.confirmed = Some(Instant::now());
            }
            complete
        };
        if complete || !page.entries.is_empty() {
            self.announce_advance();
        }
    }

    /// Starts from the newest snapshot when older records are gone.
    async fn catch_up(&self, first_page: Page) {
        let mut pages = vec![first_page];
        while let Some(page) = pages.last()
            && let Some(last) = page.entries.last()
            && last.offset + 1 < page.next
        {
            let Ok(page) = self.log.read(last.offset + 1).await else { return };
            pages.push(page);
        }
        let oldest = pages[0].first;
        let mut ledger = lock(&self.ledger);
        let newest = pages.iter().flat_map(|page| &page.entries).rev().find_map(|row| {
            match serde_json::from_value(row.record.clone()) {
                Ok(Record::Snapshot { fold }) if fold.next_offset >= oldest => Some(fold),
                _ => None,
            }
        });
        let Some(snapshot) = newest else {
            log::error!("records before {oldest} are gone and no snapshot covers them");
            return;
        };
        ledger.fold.replace_if_newer(&snapshot);
        for page in &pages {
            fold_page(&mut ledger.fold, page);
        }
        ledger.known = true;
        ledger.confirmed = Some(Instant::now());
        log::info!("configuration restored from a snapshot, now at offset {}", ledger.fold.next_offset);
        drop(ledger);
        self.announce_advance();
    }

    fn announce_advance(&self) {
        let next = lock(&self.ledger).fold.next_offset;
        self.advanced.send_replace(next);
        self.wake.notify_one();
    }

    fn snapshot_if_due(self: &Arc<Self>) {
        let due = self.with_fold(|fold| {
            let since = fold.next_offset.saturating_sub(fold.snapshot_offset);
            (since >= self.settings.log.snapshot_records).then(|| fold.clone())
        });
        if let Some(Some(fold)) = due
            && lock(&self.peers).is_first(&self.claimant)
        {
            let entry = self.clone();
            tokio::spawn(async move {
                let at = fold.next_offset;
                match entry.write(vec![Record::Snapshot { fold: Box::new(fold) }]).await {
                    Ok(()) => log::info!("snapshot up to offset {at} is on the log"),
                    Err(e) => log::warn!("snapshot up to offset {at} is not on the log: {e}"),
                }
            });
        }
    }

    /// Takes over a peer's fold; it is not confirmed by the log.
    async fn ask_peers_for_fold(&self) {
        let addresses = lock(&self.peers).addresses();
        for address in addresses {
            let call = self
                .entries
                .call(&address, |peer| async move { peer.fold(call_context(PEER_TIMEOUT)).await });
            let Ok(Some(bytes)) = call.await else { continue };
            let Ok(fold) = serde_json::from_slice::<Fold>(&bytes) else { continue };
            let mut ledger = lock(&self.ledger);
            if ledger.fold.replace_if_newer(&fold) || fold.next_offset > 0 {
                ledger.known = true;
                log::info!("configuration up to offset {} taken over from {address}", fold.next_offset);
                drop(ledger);
                self.announce_advance();
                return;
            }
        }
    }
}

/// Folds the records of a page; one that cannot be read is skipped by every reader alike.
fn fold_page(fold: &mut Fold, page: &Page) {
    for row in &page.entries {
        match serde_json::from_value::<Record>(row.record.clone()) {
            Ok(record) => {
                if let Err(gap) = fold.apply(row.offset, &record) {
                    log::warn!("{gap}");
                    return;
                }
            }
            Err(e) => {
                log::warn!("record {} is not ours: {e}", row.offset);
                fold.skip_record(row.offset);
            }
        }
    }
}
