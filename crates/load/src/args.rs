//! The command line of the load program.

use derive_more::{Display, Error, From};
use lexopt::{Arg, ValueExt};

/// Result of reading the command line.
pub type Result<T> = std::result::Result<T, Error>;

/// Help text of the program.
pub const HELP: &str = "\
sorrelland-load - measures short requests through an entry beside direct calls to an upstream

Usage:
  sorrelland-load --entry IP:PORT --key KEY [--upstream IP:PORT] [options]

Options:
  --entry IP:PORT      entry to send to
  --upstream IP:PORT   upstream to call directly in the same run
  --key KEY            key of an account
  --rate N             requests a second, each way [1000]
  --seconds N          length of the run [10]
  --cost-ms N          work of one request [0]
  --keyed              take a key for each request
  --pid NAME=PID       process whose processor time is told; may be given more than once
  --help               print this text

  sorrelland-load --agents N --rpc IP:PORT --process-key KEY [--seconds N] [--pid NAME=PID]

  --agents N           fake agents that beat at an entry instead of requests
  --rpc IP:PORT        the entry's address for other processes
  --process-key KEY    key that the processes share
";

/// The whole command line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Args {
    /// Whether only the help text is wanted.
    pub help: bool,
    /// Address of the entry.
    pub entry: String,
    /// Address of the upstream.
    pub upstream: Option<String>,
    /// Key of an account.
    pub key: String,
    /// Requests a second, each way.
    pub rate: u64,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Work of one request in milliseconds.
    pub cost_ms: u64,
    /// Whether each request takes a key.
    pub keyed: bool,
    /// Fake agents that beat instead of requests.
    pub agents: usize,
    /// The entry's address for other processes.
    pub rpc: String,
    /// Key that the processes share.
    pub process_key: String,
    /// Processes whose processor time is told.
    pub processes: Vec<(String, u32)>,
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
    let mut args = Args { rate: 1_000, seconds: 10, ..Args::default() };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => args.help = true,
            Arg::Long("entry") => args.entry = parser.value()?.string()?,
            Arg::Long("upstream") => args.upstream = Some(parser.value()?.string()?),
            Arg::Long("key") => args.key = parser.value()?.string()?,
            Arg::Long("rate") => args.rate = parser.value()?.parse()?,
            Arg::Long("seconds") => args.seconds = parser.value()?.parse()?,
            Arg::Long("cost-ms") => args.cost_ms = parser.value()?.parse()?,
            Arg::Long("keyed") => args.keyed = true,
            Arg::Long("agents") => args.agents = parser.value()?.parse()?,
            Arg::Long("rpc") => args.rpc = parser.value()?.string()?,
            Arg::Long("process-key") => args.process_key = parser.value()?.string()?,
            Arg::Long("pid") => args.processes.push(process(&parser.value()?.string()?)?),
            other => return Err(other.unexpected().into()),
        }
    }
    let target = if args.agents > 0 { &args.rpc } else { &args.entry };
    if !args.help && (target.is_empty() || args.rate == 0 || args.seconds == 0) {
        return Err(custom("--entry or --rpc is needed, and --rate and --seconds are at least 1"));
    }
    Ok(args)
}

fn process(text: &str) -> Result<(String, u32)> {
    let parsed = text.split_once('=').and_then(|(name, pid)| Some((name.to_owned(), pid.parse().ok()?)));
    parsed.ok_or_else(|| custom("--pid takes NAME=PID"))
}

fn custom(message: &str) -> Error {
    lexopt::Error::Custom(message.into()).into()
}
