//! Settings that change while a process runs.

use std::path::PathBuf;
use std::time::Duration;

use sorrelland_platform::Settings;
use tokio::sync::watch;

use crate::signals::Asked;

/// Time between two looks at the settings file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// Tells of every change of the settings file. Addresses and bounds are used from the start of a process on, so a
/// change of them is told as one that takes a restart; nothing else in the file is used.
pub async fn watch(path: PathBuf, settings: Settings, mut asked: watch::Receiver<Asked>) {
    let mut known = settings.clone();
    loop {
        let signalled = match tokio::time::timeout(LOOK_EVERY, asked.changed()).await {
            Ok(Ok(())) => true,
            Ok(Err(_)) => return,
            Err(_) => false,
        };
        match Settings::load(&path) {
            Ok(read) if read != known => {
                log::warn!("event=settings_changed signalled={signalled} in_force=\"after the next start\"");
                known = read;
            }
            Ok(_) if signalled => log::info!("event=settings_reloaded signalled=true changed=false"),
            Ok(_) => (),
            Err(findings) => log::error!("event=settings_refused signalled={signalled} cause=\"{findings}\""),
        }
    }
}
