//! Command line of the emulator.

use lexopt::{Arg, ValueExt};

use crate::load::{Load, by_name};

/// Help text.
pub const HELP: &str = "\
sorrelland-emul - runs a deployment's load on emulated workers in virtual time

Usage:
  sorrelland-emul [OPTIONS]

Options:
  --load NAME       hpms, cmsc, uneven, bursty, wide or steady (default hpms)
  --seed N          first seed (default 1)
  --seeds N         number of seeds (default 20)
  --workers N       workers (default 11; uneven 55, bursty 66, wide and steady 48)
  --seconds N       time with arrivals (default 60)
  --rate X          multiple of the load's rates (default 1)
  --faults X        faults a minute (default 0)
  --help            print this text

Exit status: 0 no violations, 1 violations, 2 wrong usage
";

/// Action that the command line requests.
pub enum Command {
    Help,
    /// Run the load with each seed.
    Run(Box<Options>),
}

pub struct Options {
    pub load: Load,
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Number of workers.
    pub workers: usize,
    /// Time during which jobs arrive, in seconds.
    pub seconds: u64,
    /// Multiple of the load's rates.
    pub rate: f64,
    /// Faults per minute.
    pub faults: f64,
}

/// Parses the command line.
///
/// # Errors
///
/// Returns an error if an option or its value is invalid.
pub fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut load, mut seed, mut seeds, mut workers) = ("hpms".to_owned(), 1, 20, None);
    let (mut seconds, mut rate, mut faults) = (60, 1.0, 0.0);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("load") => load = parser.value()?.string()?,
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            Arg::Long("workers") => workers = Some(parser.value()?.parse()?),
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            Arg::Long("rate") => rate = parser.value()?.parse()?,
            Arg::Long("faults") => faults = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    let found = by_name(&load);
    let load = found.ok_or_else(|| lexopt::Error::Custom(format!("--load: unknown load {load:?}").into()))?;
    let workers = workers.unwrap_or(load.workers);
    if workers == 0 || seeds == 0 {
        return Err(lexopt::Error::Custom("--workers and --seeds: must be at least 1".into()));
    }
    Ok(Command::Run(Box::new(Options { load, seed, seeds, workers, seconds, rate, faults })))
}
