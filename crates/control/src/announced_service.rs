//! Which service an incarnation runs, where its announcements disagree.
//!
//! An announcement may come from another writer, and a worker's answer to a call doesn't tell its service. The worker goes
//! on announcing its own, so a service that is announced more often, and without the known one in between, is the worker's.

/// Announcements of a service that are counted; with as many it is confirmed.
const MAX_COUNTED: u32 = 2;

/// Time from the first to the last announcement of another service that replaces a confirmed one, in milliseconds: more than
/// a worker's interval of 1.5 s, so that an announcement of its own precedes the last.
const MIN_OTHER_MS: u64 = 2_500;

/// Announcements of another service since the last one of the known service.
#[derive(Clone, Debug)]
struct Other {
    service: String,
    count: u32,
    /// When the first arrived, on the monotonic clock, in milliseconds.
    since: u64,
    sequence: u64,
}

/// Announcements of an incarnation by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnnouncedService {
    /// Announcements of the known service, up to [`MAX_COUNTED`].
    count: u32,
    other: Option<Other>,
}

impl AnnouncedService {
    /// Creates the state after the first announcement of a service.
    pub(crate) fn new() -> Self {
        Self { count: 1, other: None }
    }

    /// Records a newer announcement of the known service.
    pub(crate) fn record_known(&mut self) {
        *self = Self { count: (self.count + 1).min(MAX_COUNTED), other: None };
    }

    /// Records an announcement of another service that arrives at `now`, in milliseconds on the monotonic clock; returns
    /// whether that service is the worker's.
    pub(crate) fn record_other(&mut self, now: u64, service: &str, sequence: u64) -> bool {
        let other = match &mut self.other {
            Some(other) if other.service == service => {
                // A copy of the same announcement says nothing new.
                if sequence > other.sequence {
                    (other.count, other.sequence) = (other.count + 1, sequence);
                }
                other
            }
            _ => self.other.insert(Other { service: service.to_owned(), count: 1, since: now, sequence }),
        };
        let is_confirmed = self.count >= MAX_COUNTED;
        other.count > self.count && (!is_confirmed || now >= other.since + MIN_OTHER_MS)
    }
}
