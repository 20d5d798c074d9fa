//! Limits the log lines on events that a peer can repeat at will.

use std::collections::BTreeMap;

/// Minimum time between two lines of one kind, in milliseconds.
const LINE_INTERVAL_MS: u64 = 5_000;

/// Passes the first event of each kind at once, and later ones at most every [`LINE_INTERVAL_MS`].
#[derive(Clone, Debug, Default)]
pub struct LineLimit {
    /// When the newest line of a kind was due, and the number of events since then.
    kinds: BTreeMap<&'static str, (u64, u64)>,
}

impl LineLimit {
    /// Records an event; if a line is due, returns the number of events that it stands for. `now` is in milliseconds.
    pub fn record(&mut self, now: u64, kind: &'static str) -> Option<u64> {
        match self.kinds.get_mut(kind) {
            Some((last, skipped)) if now < *last + LINE_INTERVAL_MS => {
                *skipped += 1;
                None
            }
            known => {
                let skipped = known.map_or(0, |(_, skipped)| *skipped);
                self.kinds.insert(kind, (now, 0));
                Some(skipped + 1)
            }
        }
    }
}
