//! Announcements and departures that reach an agent. They may arrive late or come from another writer, so an
//! incarnation becomes the current one only once the worker has answered a call that names it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use futures::future::join_all;
use http::{Method, StatusCode};
use sorrelland_platform::serve::{Request, Response};
use sorrelland_platform::worker::{self, Announcement, Error, Listing, decode_announcement};
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::error::TrySendError;

use super::{Agent, CALL_RETRY_DELAY, record_end};
use crate::clock::now_ms;
use crate::presence::{AnnouncementEffect, Presence, Summary};
use crate::{lock, metrics};

const PATH_PREFIX: &str = "/instances/";

/// Longest part of an announced text that is logged, in characters.
const MAX_LOGGED_CHARS: usize = 80;

/// Announcements that may wait for confirmation. The worker repeats its own.
pub(super) const MAX_WAITING: usize = 8;

/// Calls to the worker for one announcement: it may announce itself shortly before it accepts calls.
const MAX_ATTEMPTS: u32 = 3;

/// An announcement and the address of its sender, displayed as keys of a log line.
#[derive(Debug, Display)]
#[display(
    "service={:?} address={:?} seq={} from={peer}",
    excerpt(&announcement.info.service),
    excerpt(&announcement.address),
    announcement.sequence
)]
pub(super) struct Received {
    announcement: Announcement,
    peer: SocketAddr,
}

impl Agent {
    /// Handles an announcement of the worker, or its notice that it leaves.
    pub(super) fn handle_announcement(&self, request: &Request) -> Response {
        let Some(worker) = request.path.strip_prefix(PATH_PREFIX).filter(|worker| !worker.is_empty()) else {
            return Response::new(StatusCode::NOT_FOUND);
        };
        let peer = request.peer;
        match request.method {
            Method::PUT => match decode_announcement(worker, &request.body) {
                Ok(announcement) => {
                    self.apply_announcement(Received { announcement, peer });
                    Response::new(StatusCode::OK).json(&serde_json::json!({}))
                }
                Err(e) => {
                    metrics::count_announcement("malformed");
                    if let Some(count) = self.due_line("malformed") {
                        log::warn!(
                            "event=announcement_skipped worker={worker} cause=\"{e}\" from={peer} count={count}"
                        );
                    }
                    Response::new(StatusCode::BAD_REQUEST)
                }
            },
            Method::DELETE => {
                self.record_departure(peer, worker);
                Response::new(StatusCode::OK)
            }
            _ => Response::new(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn apply_announcement(&self, received: Received) {
        let (before, effect, after) = {
            let mut state = lock(&self.worker_state);
            let before = state.summary(now_ms());
            let effect = state.apply_announcement(now_ms(), &received.announcement);
            (before, effect, state.summary(now_ms()))
        };
        metrics::count_announcement(effect.name());
        if after.sequence < before.sequence {
            log::warn!("event=sequence_lowered worker={} {received} {before}", after.current);
        }
        match effect {
            AnnouncementEffect::Updated => {
                log_announced(&received, "updated", "", &after);
                self.report_due.notify_one();
            }
            AnnouncementEffect::Unchanged => (),
            AnnouncementEffect::Unconfirmed => {
                // The worker repeats its announcement, so one that finds the queue full is not lost.
                if let Err(TrySendError::Full(received)) = self.unconfirmed.try_send(received) {
                    self.log_ignored(&received, "queue_full");
                }
            }
            AnnouncementEffect::OtherService
            | AnnouncementEffect::OlderSequence
            | AnnouncementEffect::RepeatedSequence
            | AnnouncementEffect::SequenceJump => {
                self.log_ignored(&received, effect.name());
            }
        }
    }

    /// Confirms announcements one at a time, so that incarnations are adopted in the order in which they answered.
    pub(super) async fn run_confirmations(self: Arc<Self>, mut waiting: Receiver<Received>) {
        while let Some(received) = waiting.recv().await {
            self.confirm(received).await;
        }
    }

    /// Adopts the announced incarnation if the worker confirms that it is the one that accepts calls.
    async fn confirm(&self, received: Received) {
        let incarnation = &received.announcement.info.incarnation;
        for attempt in 1..=MAX_ATTEMPTS {
            // An earlier announcement of this incarnation may have been confirmed meanwhile.
            if lock(&self.worker_state).is_confirmed(incarnation) {
                return self.apply_announcement(received);
            }
            let poll = lock(&self.worker_state).begin_poll();
            match self.call_announced(incarnation).await {
                Ok(listing) => {
                    if self.stop_earlier_starts(incarnation).await {
                        return self.adopt(&received, poll, listing);
                    }
                    tokio::time::sleep(CALL_RETRY_DELAY).await;
                }
                Err(Error::OtherIncarnation) => return self.log_ignored(&received, "other_incarnation"),
                Err(e) => {
                    log::warn!(
                        "event=announcement_unconfirmed worker={incarnation} {received} attempt={attempt} cause=\"{e}\""
                    );
                    tokio::time::sleep(CALL_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Stops the runs that an incarnation may still start for an earlier one with its name; returns whether it has
    /// answered all of these stops.
    async fn stop_earlier_starts(&self, incarnation: &str) -> bool {
        let stops = lock(&self.worker_state).stops_before_adoption(incarnation);
        let answers = join_all(stops.iter().map(|stop| self.send_stop(incarnation, stop))).await;
        answers.into_iter().all(|answered| answered)
    }

    /// Calls an announced incarnation without extending its leases; returns its runs, if it lists them.
    async fn call_announced(&self, incarnation: &str) -> worker::Result<Option<Listing>> {
        // A new process of the agent knows the leader before it has received assignments.
        let token = lock(&self.worker_state).epoch().max(self.leadership.epoch());
        match self.worker.poll(incarnation, token, 0, None, Duration::ZERO).await {
            Ok(listing) => Ok(Some(listing)),
            // Only the named incarnation compares tokens.
            Err(Error::Fenced) => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn adopt(&self, received: &Received, poll: u64, listing: Option<Listing>) {
        let incarnation = &received.announcement.info.incarnation;
        let (before, after) = {
            let now = now_ms();
            let mut state = lock(&self.worker_state);
            let before = state.summary(now);
            state.adopt_incarnation(now, received.announcement.clone());
            drop(state);
            if let Some(listing) = listing {
                self.apply_listing(poll, incarnation, listing);
            }
            (before, lock(&self.worker_state).summary(now))
        };
        let effect = match before.current.as_str() {
            "" => "adopted",
            current if current == incarnation => "confirmed",
            _ => "replaced",
        };
        metrics::count_announcement(effect);
        let replaced = if effect == "replaced" { before.current.as_str() } else { "" };
        log_announced(received, effect, replaced, &after);
        if !replaced.is_empty() {
            record_end("replaced", &format!("replaced_by={incarnation:?} {received}"), &before);
        }
        self.report_due.notify_one();
        self.poll_due.notify_one();
    }

    /// Records a departure notice, which takes effect once nothing listens at the worker's address.
    fn record_departure(&self, peer: SocketAddr, worker: &str) {
        let (before, is_current) = {
            let mut state = lock(&self.worker_state);
            (state.summary(now_ms()), state.record_departure_notice(worker))
        };
        let has_effect = is_current && before.presence == Presence::Present;
        let count = if has_effect { Some(1) } else { self.due_line("departure") };
        if let Some(count) = count {
            log::info!(
                "event=worker_left worker={worker} is_current={is_current} from={peer} {before} count={count}"
            );
        }
        if has_effect {
            self.report_due.notify_one();
            self.poll_due.notify_one();
        }
    }

    /// Records that the connection of a call to the worker was refused.
    pub(super) fn record_refused_connection(&self, incarnation: &str) {
        let (before, has_left) = {
            let mut state = lock(&self.worker_state);
            (state.summary(now_ms()), state.record_refused_connection(now_ms(), incarnation))
        };
        if has_left {
            record_end("departure", "call=refused", &before);
            self.report_due.notify_one();
        }
    }

    /// Logs an announcement without effect, unless lines with the same reason are too frequent.
    fn log_ignored(&self, received: &Received, reason: &'static str) {
        let Some(count) = self.due_line(reason) else { return };
        let worker = &received.announcement.info.incarnation;
        let current = lock(&self.worker_state).summary(now_ms());
        log::warn!(
            "event=announcement_ignored worker={worker} reason={reason} {received} {current} count={count}"
        );
    }

    /// Returns whether a line on a message without effect is due, as the number of messages that it stands for.
    fn due_line(&self, kind: &'static str) -> Option<u64> {
        lock(&self.line_limit).record(now_ms(), kind)
    }
}

fn log_announced(received: &Received, effect: &str, replaced: &str, after: &Summary) {
    let info = &received.announcement.info;
    log::info!(
        "event=worker_announced worker={} draining={} effect={effect} {received} replaced={replaced:?} {after}",
        info.incarnation,
        info.draining
    );
}

/// Returns the beginning of a text from another process.
fn excerpt(text: &str) -> &str {
    text.char_indices().nth(MAX_LOGGED_CHARS).map_or(text, |(end, _)| &text[..end])
}
