//! The command line of the replay program.

use derive_more::{Display, Error, From};
use lexopt::{Arg, ValueExt};

use crate::scenario::Name;
use crate::sim::Policy;

/// Result of reading the command line.
pub type Result<T> = std::result::Result<T, Error>;

/// Help text of the program.
pub const HELP: &str = "\
sorrelland-replay - replays generated work through the decision core in virtual time

Usage:
  sorrelland-replay --scenario NAME --policy NAME --seed N [--seeds N] [--json] [--cost]
  sorrelland-replay --slopes

Options:
  --scenario NAME   haiphong, consortium or fleet
  --policy NAME     core, naive, areas, patient or greedy [core]
  --seed N          first seed [1]
  --seeds N         how many seeds, counting up [1]
  --json            one JSON object a line instead of text
  --cost            tell the cost of the passes on standard error
  --slopes          measure the cost of one pass against workers, running jobs and queue length
  --help            print this text

The same scenario, policy and seed give the same bytes on standard output, but for --slopes.
";

/// The whole command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Args {
    /// Whether only the help text is wanted.
    pub help: bool,
    /// Whether the slopes are measured.
    pub slopes: bool,
    /// Scenario.
    pub scenario: Name,
    /// Policy.
    pub policy: Policy,
    /// First seed.
    pub seed: u64,
    /// How many seeds.
    pub seeds: u64,
    /// Whether reports are JSON lines.
    pub json: bool,
    /// Whether the cost of the passes is told.
    pub cost: bool,
}

/// What is wrong with the command line.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// It was malformed.
    #[display("{_0}")]
    Usage(lexopt::Error),
}

/// Reads the command line.
///
/// # Errors
///
/// Returns what was malformed.
pub fn parse(mut parser: lexopt::Parser) -> Result<Args> {
    let mut args = Args {
        help: false,
        slopes: false,
        scenario: Name::Haiphong,
        policy: Policy::Core,
        seed: 1,
        seeds: 1,
        json: false,
        cost: false,
    };
    let mut named = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => args.help = true,
            Arg::Long("slopes") => args.slopes = true,
            Arg::Long("scenario") => {
                args.scenario = parser.value()?.parse()?;
                named = true;
            }
            Arg::Long("policy") => args.policy = parser.value()?.parse()?,
            Arg::Long("seed") => args.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => args.seeds = parser.value()?.parse()?,
            Arg::Long("json") => args.json = true,
            Arg::Long("cost") => args.cost = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if !named && !args.help && !args.slopes {
        return Err(lexopt::Error::Custom("--scenario is needed".into()).into());
    }
    Ok(args)
}
