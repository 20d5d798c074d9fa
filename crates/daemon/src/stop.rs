//! Request to stop the process, made by a signal or by code such as a test.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Flag that asks tasks to stop; clones share it, and it is never cleared.
#[derive(Clone, Debug)]
pub struct Stop {
    tx: watch::Sender<bool>,
}

impl Stop {
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

    pub fn raise(&self) {
        self.tx.send_replace(true);
    }

    pub fn is_raised(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the flag is raised.
    pub async fn raised(&self) {
        let mut rx = self.tx.subscribe();
        // The channel cannot close during the wait, since `self` holds its sender.
        let _ = rx.wait_for(|raised| *raised).await;
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}
