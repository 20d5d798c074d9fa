//! Following a keyed topic of the store: the newest records first, then every change.

use std::time::Duration;

use sorrelland_platform::Store;
use sorrelland_platform::store::{Error, decode_keyed};

/// Pauses after a failed call, in milliseconds, growing from the first to the last.
const PAUSE_MS: (u64, u64) = (150, 1_000);

/// Hands every record of a keyed topic to `take`, the newest of each key first: key, value and offset.
/// `wait` is the wait of one read; a read that went silent is noticed only after it.
pub async fn follow(store: &Store, topic: &str, wait: Duration, mut take: impl FnMut(&str, &[u8], u64)) {
    let mut from = None;
    let mut pause_ms = PAUSE_MS.0;
    loop {
        let failed = match from {
            None => match store.read_latest(topic).await {
                Ok((items, end)) => {
                    for item in items {
                        take(&item.key, &item.value, item.offset);
                    }
                    from = Some(end);
                    None
                }
                Err(e) => Some(e),
            },
            Some(at) => match store.read(topic, at, wait).await {
                Ok(read) => {
                    for (offset, raw) in (at..).zip(&read.records) {
                        match decode_keyed(raw) {
                            Some((key, value)) => take(key, value, offset),
                            None => log::warn!("event=record_skipped topic={topic} offset={offset}"),
                        }
                    }
                    from = Some(read.next);
                    None
                }
                Err(Error::Compacted { .. }) => {
                    from = None;
                    None
                }
                Err(e) => Some(e),
            },
        };
        match failed {
            None => {
                if pause_ms != PAUSE_MS.0 {
                    log::info!("event=store_regained topic={topic}");
                }
                pause_ms = PAUSE_MS.0;
            }
            Some(e) => {
                if pause_ms == PAUSE_MS.0 {
                    log::warn!("event=store_lost topic={topic} cause=\"{e}\"");
                }
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                pause_ms = (pause_ms * 2).min(PAUSE_MS.1);
            }
        }
    }
}
