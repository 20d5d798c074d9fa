//! Signals of a process.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// What the platform asked for by signals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    /// Whether the process is to stop.
    pub stop: bool,
    /// Times that it was told of new settings.
    pub reloads: u64,
}

/// Listens for signals until the process ends.
pub fn listen() -> watch::Receiver<Asked> {
    let (tx, rx) = watch::channel(Asked::default());
    for kind in [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()] {
        let tx = tx.clone();
        tokio::spawn(async move {
            let mut signals = match signal(kind) {
                Ok(signals) => signals,
                Err(e) => return log::error!("event=no_signals kind={kind:?} cause=\"{e}\""),
            };
            while signals.recv().await.is_some() {
                tx.send_modify(|asked| match kind == SignalKind::hangup() {
                    true => asked.reloads += 1,
                    false => asked.stop = true,
                });
            }
        });
    }
    rx
}

/// Waits until the process is to stop.
pub async fn stopped(mut asked: watch::Receiver<Asked>) {
    if asked.wait_for(|asked| asked.stop).await.is_err() {
        // No sender is left, so no signal can come any more.
        std::future::pending::<()>().await;
    }
}
