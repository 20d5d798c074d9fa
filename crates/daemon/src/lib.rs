//! The daemon: an entry, an agent, or everything in one process.

pub mod agent;
pub mod entry;
pub mod log_client;
pub mod logging;
pub mod metrics;
pub mod standalone;
pub mod stop;
pub mod sync;

use derive_more::{Display, Error, From};
use sorrelland_conf::Settings;
use sorrelland_conf::settings::Role;

use crate::stop::Stop;

/// Result of running a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a daemon ended.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address could not be bound for HTTP.
    #[display("{_0}")]
    Http(dropshot::BuildError),
    /// An address could not be bound for other processes.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
    /// The worker did not tell its sizes.
    #[display("worker does not answer: {_0}")]
    Worker(sorrelland_web::client::Error),
}

/// Runs the role that the settings name, until a signal asks to stop.
///
/// # Errors
///
/// Returns why the daemon could not start.
pub async fn run(settings: Settings) -> Result<()> {
    let stop = Stop::on_signals();
    match settings.daemon.role {
        Role::Entry => entry::Entry::start(settings, stop.clone()).await?.run().await,
        Role::Agent => agent::Agent::start(settings, stop.clone()).await?.run().await,
        Role::Standalone => standalone::run(settings, stop).await?,
    }
    Ok(())
}
