//! Where the answer to a caller came from, for the logs.

use std::fmt;

use derive_more::Display;

use crate::callers::RequestResult;
use crate::calls::{Leader, PlannerReply as Reply};

/// Address in the logs of a leader that is this process.
const SELF: &str = "self";

/// Leader that a request was passed to.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("leader={instance} epoch={epoch} at={address}")]
pub(crate) struct Asked {
    instance: String,
    /// Epoch under which this process knew the leader when it passed the request on.
    epoch: u64,
    address: String,
}

impl Asked {
    /// This process, which leads.
    pub(crate) fn this(leader: &Leader) -> Self {
        Self { address: SELF.to_owned(), ..Self::other(leader) }
    }

    /// Another entry, which leads as far as this one knows.
    pub(crate) fn other(leader: &Leader) -> Self {
        let Leader { epoch, instance, address, .. } = leader.clone();
        Self { instance, epoch, address }
    }
}

/// Where the reply to a caller's request came from.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    /// Leader that the last attempt went to.
    pub(crate) asked: Option<Asked>,
    /// Leader that has given the last reply, or that may have carried the request out without one.
    replied: Option<Asked>,
    /// Whether that is a leader of an earlier build, which has not stored a cancel.
    not_stored: bool,
    /// Attempts to pass the request on, also those without a leader to ask.
    attempts: u32,
    /// Newest epoch that was known when the request arrived.
    arrival_epoch: u64,
}

impl Origin {
    pub(crate) fn new(arrival_epoch: u64) -> Self {
        Self { asked: None, replied: None, not_stored: false, attempts: 0, arrival_epoch }
    }

    /// Records the result of an attempt.
    pub(crate) fn record(&mut self, result: &RequestResult) {
        self.attempts += 1;
        let asked = self.asked.take();
        match result {
            // Nothing was carried out there, but it may have been by an earlier attempt.
            RequestResult::NeverSent { .. } | RequestResult::Reply(Reply::NotPlanner(_)) => (),
            // The caller's wait mostly ends within an attempt; the leader is the one that has replied before.
            RequestResult::Unresolved if self.not_stored && self.replied == asked => (),
            _ => {
                self.replied = asked;
                self.not_stored = matches!(result, RequestResult::Reply(Reply::CancelNotStored));
            }
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.replied {
            Some(replied) => write!(f, "{replied}")?,
            None => write!(f, "leader=none epoch=0 at=none")?,
        }
        write!(f, " attempts={} arrival_epoch={}", self.attempts, self.arrival_epoch)
    }
}

/// What an answer follows from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// The leader knows the job.
    #[display("known")]
    Known,
    /// The leader has stored the job, or the cancel of a job that it doesn't know.
    #[display("stored")]
    Stored,
    /// The leader doesn't know the job that was asked for.
    #[display("unknown")]
    Unknown,
    /// The leader, of an earlier build, doesn't know the job and has not stored its cancel.
    #[display("not_stored_by_earlier_build")]
    NotStoredByEarlierBuild,
    /// The leader has decided that nothing is carried out.
    #[display("refused")]
    Refused,
    /// No leader was reached.
    #[display("never_sent")]
    NeverSent,
    /// The request may have been carried out.
    #[display("unresolved")]
    Unresolved,
}

impl Evidence {
    pub(crate) fn new(result: &RequestResult, origin: &Origin) -> Self {
        match result {
            RequestResult::Reply(Reply::Accepted | Reply::Cancelled(false)) => Self::Stored,
            RequestResult::Reply(Reply::State(None)) => Self::Unknown,
            RequestResult::Reply(Reply::Refused { .. } | Reply::NotRun { .. }) => Self::Refused,
            RequestResult::NeverSent { .. } => Self::NeverSent,
            RequestResult::Unresolved if origin.not_stored => Self::NotStoredByEarlierBuild,
            RequestResult::Unresolved => Self::Unresolved,
            RequestResult::Reply(_) => Self::Known,
        }
    }

    /// Returns the metrics label of a cancel that is answered on this evidence.
    pub(crate) fn cancel_reason(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Stored | Self::Unknown => "unknown_stored",
            Self::NotStoredByEarlierBuild => "not_stored",
            Self::Refused => "refused",
            Self::NeverSent => "never_sent",
            Self::Unresolved => "unresolved",
        }
    }
}
