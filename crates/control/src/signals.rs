//! Signals that stop a process or announce new settings.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Requests received as signals from the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalState {
    /// Whether the process should stop.
    pub stop: bool,
    /// Number of requests to reload the settings.
    pub reload_count: u64,
}

/// Listens for signals until the process ends.
pub fn listen() -> watch::Receiver<SignalState> {
    let (tx, rx) = watch::channel(SignalState::default());
    for kind in [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()] {
        let tx = tx.clone();
        tokio::spawn(async move {
            let mut signals = match signal(kind) {
                Ok(signals) => signals,
                Err(e) => return log::error!("event=no_signals kind={kind:?} cause=\"{e}\""),
            };
            while signals.recv().await.is_some() {
                tx.send_modify(|state| match kind == SignalKind::hangup() {
                    true => state.reload_count += 1,
                    false => state.stop = true,
                });
            }
        });
    }
    rx
}

/// Waits for a request to stop.
pub async fn wait_for_stop(mut state: watch::Receiver<SignalState>) {
    if state.wait_for(|state| state.stop).await.is_err() {
        // All senders are dropped, so no signal can arrive any more.
        std::future::pending::<()>().await;
    }
}
