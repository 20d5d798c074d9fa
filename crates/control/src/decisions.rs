//! Decisions on submissions, cancels and appends, apart from the clocks, calls and tasks around them.

use sorrelland_fleet::Caller;
use sorrelland_fleet::cancels::Cancellation;
use sorrelland_fleet::job::Submission;
use sorrelland_fleet::planner::{Admission, Planner};
use sorrelland_platform::store::{Error, Result, Writer};

use crate::absence::AnsweredCalls;
use crate::callers::MAX_WAIT_MS;
use crate::election::CancelsStored;

/// What a leader knows of itself and the store when a request arrives. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Monotonic time.
    pub now: u64,
    /// Time since 1970.
    pub wall: u64,
    /// Since when every leader has stored the cancels of unknown jobs.
    pub cancels_stored: CancelsStored,
    /// Whether appends have failed for so long that nothing more is accepted.
    pub store_unavailable: bool,
}

impl Standing {
    /// Returns whether a submission may have arrived while a leader of an earlier build led, which answers the cancel of a
    /// job that it doesn't know and stores nothing.
    fn may_have_lost_cancel(&self, known_epoch: Option<u64>) -> bool {
        let CancelsStored { since, known_at } = self.cancels_stored;
        match known_epoch {
            Some(epoch) => epoch < since,
            // An entry of an earlier build; it retries a submission for as long as a caller waits.
            None => since > 0 && self.now < known_at + MAX_WAIT_MS,
        }
    }
}

/// First decision on a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It has not run and will not, since a cancel of it may have been answered without being stored.
    OlderThanCancels,
    /// It has not run and will not, since the store doesn't answer, or another attempt was told so.
    NotRun,
    /// It is refused once the leadership is confirmed.
    Refused {
        /// Reason for the caller and the logs.
        reason: String,
        /// Delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// It is accepted once the change is stored.
    Accepted {
        /// Number of the change that must be stored.
        change: u64,
    },
}

/// Submits a job of a call to the planner, unless it must not be accepted now.
pub fn submit(
    planner: &mut Planner,
    answered_calls: &mut AnsweredCalls,
    standing: &Standing,
    sub: &Submission,
    call: u64,
    known_epoch: Option<u64>,
) -> Submitted {
    let is_known = planner.knows_submission(sub);
    if standing.may_have_lost_cancel(known_epoch) && !is_known {
        answered_calls.record(standing.now, call);
        return Submitted::OlderThanCancels;
    }
    if answered_calls.contains(call) || (standing.store_unavailable && !is_known) {
        answered_calls.record(standing.now, call);
        return Submitted::NotRun;
    }
    match planner.submit(standing.now, standing.wall, sub) {
        Admission::Refused { reason, retry_after_ms } => Submitted::Refused { reason, retry_after_ms },
        Admission::Accepted { change } => Submitted::Accepted { change },
    }
}

/// Decision on a submission after a wait for the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    Accepted,
    /// It has not run and will not.
    NotRun,
    /// Nothing of it is stored or will be, but the next leader may accept it at once.
    NotPlanner,
    /// It may be stored.
    Unresolved,
    /// An append contains it; [`settle_appended`] decides once that is over.
    Appended,
}

/// Decides on a submission of a call whose change is stored (`is_stored`), or for which the wait was given up. A job that
/// no append contains is withdrawn.
pub fn settle(
    planner: &mut Planner,
    answered_calls: &mut AnsweredCalls,
    now: u64,
    sub: &Submission,
    call: u64,
    is_stored: bool,
    has_stepped_down: bool,
) -> Settled {
    // Another attempt of the caller may have withdrawn the job.
    if is_stored && planner.has_stored(sub) {
        return Settled::Accepted;
    }
    if is_stored && planner.knows_submission(sub) {
        // It was submitted anew, and that is not stored yet.
        return Settled::Unresolved;
    }
    if is_stored || planner.withdraw_submission(sub) {
        if has_stepped_down {
            return Settled::NotPlanner;
        }
        answered_calls.record(now, call);
        return Settled::NotRun;
    }
    // The append may have been carried out even if the leadership has ended.
    if has_stepped_down { Settled::Unresolved } else { Settled::Appended }
}

/// Decides on a submission that an append contains, after a further wait for the store.
pub fn settle_appended(planner: &Planner, sub: &Submission, is_stored: bool) -> Settled {
    // Another attempt may have withdrawn the job meanwhile, and submitted it anew.
    if is_stored && planner.has_stored(sub) { Settled::Accepted } else { Settled::Unresolved }
}

/// Returns whether a submission of a call may be refused, or answered with "not run", after a wait; if so, copies of the call
/// that arrive later are. It may not if another attempt of the caller has been accepted meanwhile.
pub fn refuse(
    planner: &Planner,
    answered_calls: &mut AnsweredCalls,
    now: u64,
    sub: &Submission,
    call: u64,
) -> bool {
    let is_refused = !planner.knows_submission(sub);
    if is_refused {
        answered_calls.record(now, call);
    }
    is_refused
}

/// First decision on a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelDecision {
    /// The job is unknown and its cancel can't be stored, since the store doesn't answer.
    StoreUnavailable,
    /// The job is unknown and too many cancels of such jobs are kept.
    TooMany {
        /// Delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The cancel may be answered once the change is stored.
    Recorded {
        /// Number of the change that must be stored.
        change: u64,
        /// Whether such a job exists.
        is_known: bool,
        /// Whether the leadership has to be confirmed: no append is left to show a successor, which may know the job.
        needs_confirmation: bool,
    },
}

/// Cancels a caller's job, unless that can't be stored; without a caller, whoever's it is.
pub fn cancel(
    planner: &mut Planner,
    standing: &Standing,
    job: &str,
    caller: Option<&Caller>,
) -> CancelDecision {
    if standing.store_unavailable && !planner.knows_for(job, caller) {
        return CancelDecision::StoreUnavailable;
    }
    match planner.cancel_for(standing.now, standing.wall, job, caller) {
        // The end of a stored job is final, whoever leads.
        Cancellation::Known { change } => {
            CancelDecision::Recorded { change, is_known: true, needs_confirmation: false }
        }
        Cancellation::Unknown { change } => {
            let needs_confirmation = change <= planner.stored();
            CancelDecision::Recorded { change, is_known: false, needs_confirmation }
        }
        Cancellation::TooMany { retry_after_ms } => CancelDecision::TooMany { retry_after_ms },
    }
}

/// Decision after a try of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tried {
    Stored {
        /// Whether the try shows that there is no successor: the answer can't be that to an earlier try.
        confirms_leadership: bool,
    },
    /// Nothing of it is or will be stored.
    Rejected,
    /// The leadership has ended; the append may be stored.
    Ended(String),
    /// The writer expects another sequence number, and the append is tried again at once.
    Renumbered,
    /// It is tried again after a delay.
    Retry,
}

/// Tries of one append.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tries {
    /// Whether a try without an answer may have been carried out.
    unanswered: bool,
}

impl Tries {
    /// Decides on a try's result. An append that is certainly not stored may be taken back if `may_return`.
    pub fn record<T>(&mut self, writer: &mut Writer, appended: &Result<T>, may_return: bool) -> Tried {
        match appended {
            Ok(_) => {
                writer.sequence += 1;
                Tried::Stored { confirms_leadership: !self.unanswered }
            }
            Err(Error::Fenced) => Tried::Ended("a writer with a higher epoch has taken over".to_owned()),
            Err(Error::Sequence { expected: Some(next) }) if !self.unanswered && *next != writer.sequence => {
                log::warn!("event=sequence_set from={} to={next}", writer.sequence);
                writer.sequence = *next;
                Tried::Renumbered
            }
            Err(e @ Error::Sequence { .. }) => Tried::Ended(format!("append sequence lost: {e}")),
            Err(e) => {
                self.unanswered |= !e.not_applied();
                if may_return && !self.unanswered { Tried::Rejected } else { Tried::Retry }
            }
        }
    }
}
