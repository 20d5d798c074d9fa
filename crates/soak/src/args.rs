//! Command line of `sorrelland-soak`.

use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::{Arg, ValueExt};

use crate::run::Config;

pub type Result<T> = std::result::Result<T, lexopt::Error>;

pub const HELP: &str = "\
sorrelland-soak - runs the real programs on loopback under random faults and checks the platform's promises

Usage:
  sorrelland-soak [options]

Options:
  --seed N        seed to run [1]
  --seeds A..B    seeds to run one after the other, without B
  --seconds N     time in which faults begin [40]
  --entries N     entries [3]
  --workers N     workers, each with an agent [5]
  --without NAME  leave out faults whose name starts so, for example worker-kill; may be given more than once
  --bin-dir DIR   directory of sorrellandd and sorrelland-standin [that of this program]
  --logs DIR      directory of the log folders [the temporary directory]
  --keep-logs     keep the logs of seeds that broke no promise too
  --help          print this text

Exits with status 1 if a promise is broken.
";

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Args {
    /// Whether to print only the help text.
    pub help: bool,
    pub seeds: Range<u64>,
    pub cfg: Config,
}

/// Parses the command line.
///
/// # Errors
///
/// Fails on an unknown or malformed argument.
pub fn parse(mut parser: lexopt::Parser) -> Result<Args> {
    let bin_dir = std::env::current_exe().ok().and_then(|path| path.parent().map(PathBuf::from));
    let mut args = Args {
        help: false,
        seeds: 1..2,
        cfg: Config {
            bin_dir: bin_dir.unwrap_or_default(),
            entries: 3,
            workers: 5,
            faults: Duration::from_secs(40),
            without: Vec::new(),
            logs: std::env::temp_dir().join("sorrelland-soak"),
            keep_logs: false,
        },
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => args.help = true,
            Arg::Long("seed") => {
                let seed = parser.value()?.parse()?;
                args.seeds = seed..seed + 1;
            }
            Arg::Long("seeds") => args.seeds = parse_range(&parser.value()?.string()?)?,
            Arg::Long("seconds") => args.cfg.faults = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("entries") => args.cfg.entries = parser.value()?.parse()?,
            Arg::Long("workers") => args.cfg.workers = parser.value()?.parse()?,
            Arg::Long("without") => args.cfg.without.push(parser.value()?.string()?),
            Arg::Long("bin-dir") => args.cfg.bin_dir = parser.value()?.into(),
            Arg::Long("logs") => args.cfg.logs = parser.value()?.into(),
            Arg::Long("keep-logs") => args.cfg.keep_logs = true,
            other => return Err(other.unexpected()),
        }
    }
    if args.cfg.entries == 0 || !(1..=150).contains(&args.cfg.workers) {
        return Err("--entries must be at least 1, and --workers from 1 to 150".into());
    }
    Ok(args)
}

fn parse_range(text: &str) -> Result<Range<u64>> {
    let range = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.ok_or_else(|| "--seeds takes A..B".into())
}
