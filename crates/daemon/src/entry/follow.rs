//! Reads the log into the fold, writes snapshots, and fetches the fold of a peer while the log is down.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sorrelland_ledger::{Fold, Record};
use sorrelland_wire::connect::call_context;

use crate::entry::Entry;
use crate::log_client::Page;
use crate::sync::lock;

/// Delay before the log is read again after a failure.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time-out of the call for a peer's fold.
const FOLD_TIMEOUT: Duration = Duration::from_secs(2);

impl Entry {
    /// Applies new records of the log to the fold.
    pub(super) async fn follow_loop(self: Arc<Self>) {
        let mut snapshot_due = Instant::now();
        loop {
            let from = lock(&self.ledger).fold.next_offset;
            match self.log.read(from).await {
                Ok(page) => {
                    self.apply_page(from, page).await;
                    if Instant::now() >= snapshot_due {
                        snapshot_due = Instant::now() + Duration::from_secs(1);
                        self.snapshot_if_due();
                    }
                }
                Err(e) => {
                    log::debug!("reading the log failed: {e}");
                    if !lock(&self.ledger).loaded {
                        self.fetch_fold_from_peers().await;
                    }
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn apply_page(&self, from: u64, page: Page) {
        if page.first > from {
            self.restore_from_snapshot(page).await;
            return;
        }
        let complete = {
            let mut ledger = lock(&self.ledger);
            fold_page(&mut ledger.fold, &page);
            let complete = ledger.fold.next_offset >= page.next;
            if complete {
                ledger.loaded = true;
                ledger.confirmed_at = Some(Instant::now());
            }
            complete
        };
        if complete || !page.records.is_empty() {
            self.publish_offset();
        }
    }

    /// Restores the fold from the newest snapshot when the log no longer holds the next record.
    async fn restore_from_snapshot(&self, first_page: Page) {
        let mut pages = vec![first_page];
        while let Some(page) = pages.last()
            && let Some(last) = page.records.last()
            && last.offset + 1 < page.next
        {
            let Ok(page) = self.log.read(last.offset + 1).await else { return };
            pages.push(page);
        }
        let oldest = pages[0].first;
        let mut ledger = lock(&self.ledger);
        let newest = pages.iter().flat_map(|page| &page.records).rev().find_map(|raw| {
            match serde_json::from_value(raw.record.clone()) {
                Ok(Record::Snapshot { fold }) if fold.next_offset >= oldest => Some(fold),
                _ => None,
            }
        });
        let Some(snapshot) = newest else {
            log::error!("the log no longer holds records before {oldest}, and no snapshot covers them");
            return;
        };
        ledger.fold.replace_if_newer(&snapshot);
        for page in &pages {
            fold_page(&mut ledger.fold, page);
        }
        ledger.loaded = true;
        ledger.confirmed_at = Some(Instant::now());
        log::info!("configuration restored from a snapshot, now at offset {}", ledger.fold.next_offset);
        drop(ledger);
        self.publish_offset();
    }

    /// Publishes the fold's next offset to waiting writes and wakes the scheduling loop.
    fn publish_offset(&self) {
        let next = lock(&self.ledger).fold.next_offset;
        self.advanced.send_replace(next);
        self.schedule_wake.notify_one();
    }

    /// Writes a snapshot if enough records follow the last one and this entry is the first responsive one.
    fn snapshot_if_due(self: &Arc<Self>) {
        let due = self.with_fold(|fold| {
            let records = fold.next_offset.saturating_sub(fold.snapshot_offset);
            (records >= self.settings.log.snapshot_records).then(|| fold.clone())
        });
        if let Some(Some(fold)) = due
            && lock(&self.peers).is_first(&self.claimant)
        {
            let entry = self.clone();
            tokio::spawn(async move {
                let offset = fold.next_offset;
                match entry.write(vec![Record::Snapshot { fold: Box::new(fold) }]).await {
                    Ok(()) => log::info!("wrote snapshot up to offset {offset}"),
                    Err(e) => log::warn!("snapshot up to offset {offset} was not written: {e}"),
                }
            });
        }
    }

    /// Starts from the fold of the first peer that has one; it counts as unconfirmed until the log can be read.
    async fn fetch_fold_from_peers(&self) {
        let addresses = lock(&self.peers).addresses();
        for address in addresses {
            let call = self
                .entries
                .call(&address, |peer| async move { peer.fold(call_context(FOLD_TIMEOUT)).await });
            let Ok(Some(bytes)) = call.await else { continue };
            let Ok(fold) = serde_json::from_slice::<Fold>(&bytes) else { continue };
            let mut ledger = lock(&self.ledger);
            if ledger.fold.replace_if_newer(&fold) || fold.next_offset > 0 {
                ledger.loaded = true;
                log::info!("configuration up to offset {} fetched from {address}", fold.next_offset);
                drop(ledger);
                self.publish_offset();
                return;
            }
        }
    }
}

/// Applies the records of a page to the fold.
///
/// A record that cannot be parsed is skipped; every reader skips it, so that all folds stay equal.
fn fold_page(fold: &mut Fold, page: &Page) {
    for raw in &page.records {
        match serde_json::from_value::<Record>(raw.record.clone()) {
            Ok(record) => {
                if let Err(gap) = fold.apply(raw.offset, &record) {
                    log::warn!("{gap}");
                    return;
                }
            }
            Err(e) => {
                log::warn!("skipping record {}, which cannot be parsed: {e}", raw.offset);
                fold.skip_record(raw.offset);
            }
        }
    }
}
