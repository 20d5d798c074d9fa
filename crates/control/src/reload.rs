//! Detection of settings changes while a process runs.

use std::path::PathBuf;
use std::time::Duration;

use sorrelland_platform::Settings;
use tokio::sync::watch;

use crate::signals::SignalState;

/// Time between two checks of the settings file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Logs every change of the settings file. Addresses and bounds are read at the start of a process, so a change of
/// them is logged as one that requires a restart; nothing else in the file is used.
pub async fn watch_settings(
    path: PathBuf,
    settings: Settings,
    mut signal_state: watch::Receiver<SignalState>,
) {
    let mut current = settings.clone();
    loop {
        let signalled = match tokio::time::timeout(CHECK_INTERVAL, signal_state.changed()).await {
            Ok(Ok(())) => true,
            Ok(Err(_)) => return,
            Err(_) => false,
        };
        match Settings::load(&path) {
            Ok(loaded) if loaded != current => {
                log::warn!("event=settings_changed signalled={signalled} in_force=\"after the next start\"");
                current = loaded;
            }
            Ok(_) if signalled => log::info!("event=settings_reloaded signalled=true changed=false"),
            Ok(_) => (),
            Err(findings) => log::error!("event=settings_refused signalled={signalled} cause=\"{findings}\""),
        }
    }
}
