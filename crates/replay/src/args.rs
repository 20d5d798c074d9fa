//! The command line of the replay program.

use derive_more::{Display, Error, From};
use lexopt::{Arg, ValueExt};

use crate::scenario::ScenarioName;
use crate::sim::SchedulerPolicy;

/// Result of parsing the command line.
pub type Result<T> = std::result::Result<T, Error>;

/// Help text of the program.
pub const HELP: &str = "\
sorrelland-replay - replays a generated workload through the scheduling core in virtual time

Usage:
  sorrelland-replay --scenario NAME --policy NAME --seed N [--seeds N] [--json] [--cost]
  sorrelland-replay --slopes

Options:
  --scenario NAME   haiphong, consortium or fleet
  --policy NAME     core, naive, areas, patient or greedy [core]
  --seed N          first seed [1]
  --seeds N         number of consecutive seeds to replay [1]
  --json            print one JSON object per line instead of text
  --cost            print the scheduling pass times on standard error
  --slopes          measure the time of a scheduling pass for growing numbers of workers, running tasks and
                    waiting jobs
  --help            print this text

The same scenario, policy and seed give byte-identical standard output, except with --slopes.
";

/// Parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Args {
    /// Whether to print only the help text.
    pub help: bool,
    /// Whether to measure how the pass time grows with the table sizes.
    pub slopes: bool,
    pub scenario: ScenarioName,
    pub policy: SchedulerPolicy,
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds.
    pub seeds: u64,
    /// Whether to print reports as JSON lines.
    pub json: bool,
    /// Whether to print the pass times on standard error.
    pub cost: bool,
}

/// Command line error.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An option or value is malformed, unknown or missing.
    #[display("{_0}")]
    Usage(lexopt::Error),
}

/// Parses the command line.
///
/// # Errors
///
/// Returns an error if an option or value is malformed, or if `--scenario` is required but missing.
pub fn parse(mut parser: lexopt::Parser) -> Result<Args> {
    let mut args = Args {
        help: false,
        slopes: false,
        scenario: ScenarioName::Haiphong,
        policy: SchedulerPolicy::Core,
        seed: 1,
        seeds: 1,
        json: false,
        cost: false,
    };
    let mut scenario_given = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => args.help = true,
            Arg::Long("slopes") => args.slopes = true,
            Arg::Long("scenario") => {
                args.scenario = parser.value()?.parse()?;
                scenario_given = true;
            }
            Arg::Long("policy") => args.policy = parser.value()?.parse()?,
            Arg::Long("seed") => args.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => args.seeds = parser.value()?.parse()?,
            Arg::Long("json") => args.json = true,
            Arg::Long("cost") => args.cost = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if !scenario_given && !args.help && !args.slopes {
        return Err(lexopt::Error::Custom("--scenario is required".into()).into());
    }
    Ok(args)
}
