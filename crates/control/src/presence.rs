//! Whether an agent's worker is there, what an announcement changes, and both as they are logged.

use derive_more::Display;

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// None: the worker has to confirm the incarnation first.
    Unconfirmed,
    /// The current incarnation announced a change.
    Updated,
    Unchanged,
    /// Ignored: an incarnation belongs to one service.
    OtherService,
    /// Ignored: a newer announcement of the incarnation is known.
    OlderSequence,
    /// Ignored: the same announcement is known.
    RepeatedSequence,
    /// Ignored until the next one follows it: its number is far above the known one.
    SequenceJump,
}

impl AnnouncementEffect {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unconfirmed => "unconfirmed",
            Self::Updated => "updated",
            Self::Unchanged => "unchanged",
            Self::OtherService => "other_service",
            Self::OlderSequence => "older_sequence",
            Self::RepeatedSequence => "repeated_sequence",
            Self::SequenceJump => "sequence_jump",
        }
    }
}

/// Whether the current incarnation of the worker is there.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Presence {
    #[default]
    #[display("present")]
    Present,
    /// It has announced its departure and may still run.
    #[display("leaving")]
    Leaving,
    /// It answered no call until all its leases had ended.
    #[display("silent")]
    Silent,
    /// It has ended.
    #[display("left")]
    Left,
}

/// What an agent knows of its worker at one time, displayed as keys of a log line. Durations are in milliseconds.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq)]
#[display(
    "current={current:?} current_seq={sequence} runs={runs} lease_left_ms={lease_left_ms} \
     grant_left_ms={grant_left_ms} presence={presence}"
)]
pub struct Summary {
    /// Name of the current incarnation; empty if there is none.
    pub current: String,
    /// Sequence number of its newest announcement.
    pub sequence: u64,
    /// Runs that it has or may have.
    pub runs: usize,
    /// Time until the latest end that any of its leases may have.
    pub lease_left_ms: u64,
    /// Time until the newest grant ends.
    pub grant_left_ms: u64,
    pub presence: Presence,
}
