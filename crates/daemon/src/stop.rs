//! The request to stop, from a signal or from a test.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// A flag that is raised once and can be waited for.
#[derive(Clone, Debug)]
pub struct Stop {
    tx: watch::Sender<bool>,
}

impl Stop {
    /// Creates a flag that is not raised.
    pub fn new() -> Self {
        Self { tx: watch::Sender::new(false) }
    }

    /// Creates a flag that SIGTERM and SIGINT raise.
    pub fn on_signals() -> Self {
        let stop = Self::new();
        for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
            let stop = stop.clone();
            tokio::spawn(async move {
                match signal(kind) {
                    Ok(mut signals) => {
                        signals.recv().await;
                        stop.raise();
                    }
                    Err(e) => log::error!("cannot listen for signals: {e}"),
                }
            });
        }
        stop
    }

    /// Raises the flag.
    pub fn raise(&self) {
        self.tx.send_replace(true);
    }

    /// Returns whether the flag is raised.
    pub fn is_raised(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the flag is raised.
    pub async fn raised(&self) {
        let mut rx = self.tx.subscribe();
        // The sender is part of this flag, so the channel cannot close while it is awaited.
        let _ = rx.wait_for(|raised| *raised).await;
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}
