//! Follows a keyed topic of the store: reads the newest record of each key, then every change.

use std::time::Duration;

use sorrelland_platform::Store;
use sorrelland_platform::store::{Error, LatestRecord, decode_keyed};

/// Delay after a first failed call and maximum delay, in milliseconds; it doubles with each further failure.
const RETRY_DELAY_MS: (u64, u64) = (150, 1_000);

/// Passes key, value and offset of each record of a keyed topic to `apply`: first the newest of each key, then every
/// new one. `begin` gets the newest ones before, also when they are read again because records were missed: keys that
/// are not among them have been dropped. `wait` is the maximum wait of one read; a connection that has failed without an error is noticed only
/// after it.
pub async fn follow(
    store: &Store,
    topic: &str,
    wait: Duration,
    mut begin: impl FnMut(&[LatestRecord]),
    mut apply: impl FnMut(&str, &[u8], u64),
) {
    let mut from = None;
    let mut delay_ms = RETRY_DELAY_MS.0;
    loop {
        let failed = match from {
            None => match store.read_latest(topic).await {
                Ok((items, end)) => {
                    begin(&items);
                    for item in items {
                        apply(&item.key, &item.value, item.offset);
                    }
                    from = Some(end);
                    None
                }
                Err(e) => Some(e),
            },
            Some(offset) => match store.read(topic, offset, wait).await {
                Ok(read) => {
                    for (offset, raw) in (offset..).zip(&read.records) {
                        match decode_keyed(raw) {
                            Some((key, value)) => apply(key, value, offset),
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
                if delay_ms != RETRY_DELAY_MS.0 {
                    log::info!("event=store_regained topic={topic}");
                }
                delay_ms = RETRY_DELAY_MS.0;
            }
            Some(e) => {
                if delay_ms == RETRY_DELAY_MS.0 {
                    log::warn!("event=store_lost topic={topic} cause=\"{e}\"");
                }
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                delay_ms = (delay_ms * 2).min(RETRY_DELAY_MS.1);
            }
        }
    }
}
