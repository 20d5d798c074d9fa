//! Daemon that runs as an entry, as an agent, or as a standalone process with entry, agents and stand-ins.

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

pub type Result<T> = std::result::Result<T, Error>;

/// Why a daemon could not start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The HTTP address could not be bound.
    #[display("{_0}")]
    Http(dropshot::BuildError),
    /// The RPC address could not be bound.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
    /// The worker did not report its sizes.
    #[display("worker does not answer: {_0}")]
    Worker(sorrelland_web::client::Error),
}

/// Runs the role from the settings until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the daemon cannot start.
pub async fn run(settings: Settings) -> Result<()> {
    let stop = Stop::on_signals();
    match settings.daemon.role {
        Role::Entry => entry::Entry::start(settings, stop.clone()).await?.run().await,
        Role::Agent => agent::Agent::start(settings, stop.clone()).await?.run().await,
        Role::Standalone => standalone::run(settings, stop).await?,
    }
    Ok(())
}
