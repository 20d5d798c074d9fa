//! The command line of the stand-ins.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use lexopt::{Arg, ValueExt};

use crate::platform_worker::Setup;
use crate::worker::Sizes;

pub type Result<T> = std::result::Result<T, Error>;

pub const HELP: &str = "\
sorrelland-standin - stand-ins for the platform

Usage:
  sorrelland-standin log [--listen IP:PORT]
  sorrelland-standin worker [--listen IP:PORT] [--name NAME] [--slots N] [--accelerators N]
  sorrelland-standin platform-store [--listen IP:PORT]
  sorrelland-standin platform-policy [--listen IP:PORT] [--refuses NAME]...
  sorrelland-standin platform-worker --announce IP:PORT [--listen IP:PORT] [--name NAME] [--rack NAME]
    [--accelerators N] [--clock-percent N] [--gang-dir DIR] [--tells-start]

Options:
  --listen IP:PORT   address to listen on; port 0 takes a free one [127.0.0.1:0]
  --name NAME        name of the worker [worker-1]
  --slots N          task slots [8]
  --accelerators N   accelerators [8]
  --announce IP:PORT address of the agent that a platform worker announces itself to
  --rack NAME        rack of a platform worker [r1]
  --clock-percent N  speed of a platform worker's clock, in percent [100]
  --gang-dir DIR     directory in which the members of gangs on platform workers find each other
  --tells-start      a platform worker tells when it started, so that it may keep its name when it restarts
  --refuses NAME     worker that the policy service refuses for each step
  --connections N    connections of the upstream [64]
  --help             print this text

The address is printed on the first line, as: listening IP:PORT
";

/// What the program should run.
#[derive(Clone, Debug)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Run the log service.
    Log { listen: SocketAddr },
    /// Run a worker with its upstream.
    Worker { listen: SocketAddr, sizes: Sizes },
    /// Run the store of the users' platform.
    PlatformStore { listen: SocketAddr },
    /// Run the policy service of the users' platform.
    PlatformPolicy { listen: SocketAddr, refused: Vec<String> },
    /// Run a worker of the users' platform.
    PlatformWorker { listen: SocketAddr, setup: Setup },
}

/// Failure of the command line or of a server.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The command line was malformed.
    #[display("{_0}")]
    Usage(lexopt::Error),
    /// The server could not be started.
    #[display("{_0}")]
    Start(dropshot::BuildError),
}

/// Returns the size of the workers that the first users run.
pub fn default_sizes() -> Sizes {
    Sizes {
        name: "worker-1".to_owned(),
        slots: 8,
        accelerators: 8,
        connections: 64,
        processors: 130,
        memory_gb: 256,
    }
}

/// Parses the command line.
///
/// # Errors
///
/// Fails on an unknown or malformed argument, and if the command or a required option is missing.
pub fn parse(mut parser: lexopt::Parser) -> Result<Command> {
    let mut kind = None;
    let mut listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut sizes = default_sizes();
    let (mut agent_address, mut rack) = (String::new(), "r1".to_owned());
    let mut refused = Vec::new();
    let (mut clock_percent, mut gang_dir, mut tells_start) = (100, None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("listen") => listen = parser.value()?.parse()?,
            Arg::Long("announce") => agent_address = parser.value()?.string()?,
            Arg::Long("rack") => rack = parser.value()?.string()?,
            Arg::Long("name") => sizes.name = parser.value()?.string()?,
            Arg::Long("clock-percent") => clock_percent = parser.value()?.parse()?,
            Arg::Long("gang-dir") => gang_dir = Some(parser.value()?.into()),
            Arg::Long("tells-start") => tells_start = true,
            Arg::Long("refuses") => refused.push(parser.value()?.string()?),
            Arg::Long("slots") => sizes.slots = parser.value()?.parse()?,
            Arg::Long("accelerators") => sizes.accelerators = parser.value()?.parse()?,
            Arg::Long("connections") => sizes.connections = parser.value()?.parse()?,
            Arg::Value(value) if kind.is_none() => kind = Some(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    match kind.as_deref() {
        Some("log") => Ok(Command::Log { listen }),
        Some("worker") => Ok(Command::Worker { listen, sizes }),
        Some("platform-store") => Ok(Command::PlatformStore { listen }),
        Some("platform-policy") => Ok(Command::PlatformPolicy { listen, refused }),
        Some("platform-worker") if !agent_address.is_empty() => {
            let capacity = (
                i64::from(sizes.processors) * 1_000,
                i64::from(sizes.memory_gb) * 1_024,
                i64::from(sizes.accelerators),
            );
            let setup = Setup {
                incarnation: sizes.name,
                agent_address,
                rack,
                capacity,
                clock_percent,
                gang_dir,
                tells_start,
            };
            Ok(Command::PlatformWorker { listen, setup })
        }
        Some("platform-worker") => Err(lexopt::Error::Custom("--announce is required".into()).into()),
        _ => {
            let kinds = "log, worker, platform-store, platform-policy or platform-worker";
            Err(lexopt::Error::Custom(format!("expected {kinds}").into()).into())
        }
    }
}
