//! Command line of `sorrelland-load`.

use derive_more::{Display, Error, From};
use lexopt::{Arg, ValueExt};

/// Result of parsing the command line.
pub type Result<T> = std::result::Result<T, Error>;

/// Help text of the program.
pub const HELP: &str = "\
sorrelland-load - measures short requests through an entry, compared with direct calls to an upstream

Usage:
  sorrelland-load --entry IP:PORT --key KEY [--upstream IP:PORT] [options]

Options:
  --entry IP:PORT      entry to send to
  --upstream IP:PORT   upstream to call directly during the same run
  --key KEY            key of an account
  --rate N             requests per second to the entry, and as many to the upstream [1000]
  --seconds N          length of the run in seconds [10]
  --cost-ms N          work of one request in milliseconds [0]
  --keyed              create an idempotency key for each request
  --pid NAME=PID       process whose CPU time and memory are reported; may be given more than once
  --help               print this text

  sorrelland-load --agents N --rpc IP:PORT --process-key KEY [--seconds N] [--pid NAME=PID]

  --agents N           simulated agents, which send heartbeats to an entry instead of requests
  --rpc IP:PORT        the entry's RPC address
  --process-key KEY    key that the processes of the site share
";

/// Parsed command line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Args {
    /// Whether to print only the help text.
    pub help: bool,
    /// Address of the entry.
    pub entry: String,
    /// Address of the upstream for direct requests.
    pub upstream: Option<String>,
    /// Key of an account.
    pub key: String,
    /// Requests per second to each of entry and upstream.
    pub rate: u64,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Work of one request in milliseconds.
    pub cost_ms: u64,
    /// Whether an idempotency key is created for each request.
    pub keyed: bool,
    /// Number of simulated agents; if not 0, heartbeats are sent instead of requests.
    pub agents: usize,
    /// RPC address of the entry.
    pub rpc: String,
    /// Key that the processes of the site share.
    pub process_key: String,
    /// Names and process IDs of the processes whose CPU time and memory are reported.
    pub processes: Vec<(String, u32)>,
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
/// Returns an error if an option or value is malformed, or if a required one is missing or 0.
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
            Arg::Long("pid") => args.processes.push(parse_process(&parser.value()?.string()?)?),
            other => return Err(other.unexpected().into()),
        }
    }
    let target = if args.agents > 0 { &args.rpc } else { &args.entry };
    if !args.help && (target.is_empty() || args.rate == 0 || args.seconds == 0) {
        return Err(usage_error(
            "--entry, or --rpc with --agents, is required, and --rate and --seconds must be at least 1",
        ));
    }
    Ok(args)
}

fn parse_process(text: &str) -> Result<(String, u32)> {
    let parsed = text.split_once('=').and_then(|(name, pid)| Some((name.to_owned(), pid.parse().ok()?)));
    parsed.ok_or_else(|| usage_error("--pid takes NAME=PID"))
}

fn usage_error(message: &str) -> Error {
    lexopt::Error::Custom(message.into()).into()
}
