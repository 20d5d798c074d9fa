//! Command line of `sorrellandctl`.

use std::time::Duration;

use derive_more::{Display, Error, From};
use lexopt::{Arg, ValueExt};
use serde_json::Value;
use sorrelland_core::shape::Shape;
use winnow::Parser;

/// Result of parsing the command line.
pub type Result<T> = std::result::Result<T, Error>;

/// Help text of the program.
pub const HELP: &str = "\
sorrellandctl - sends requests, jobs and operator statements to sorrelland entries

Usage:
  sorrellandctl [options] request JSON [--idempotent] [--deadline-ms N]
  sorrellandctl [options] submit NAME --shape SHAPE [--class CLASS] [--declared-ms N]
                          [--work JSON] [--attached] [--pinned] [--once]
  sorrellandctl [options] job NAME
  sorrellandctl [options] cancel-job NAME
  sorrellandctl [options] platform VIEW
  sorrellandctl [options] platform why JOB
  sorrellandctl [options] platform explain FILE
  sorrellandctl [--json] late FILE... [--since TIME]
  sorrellandctl [--json] runs SUBTASK FILE...
  sorrellandctl [options] STATEMENT...
  sorrellandctl [options] --file FILE
  sorrellandctl [options]

The first four are for callers and need an account's key. On the users' platform, --entry is the metrics
address of any entry, and a VIEW is one of jobs, workers, accounts, refused and burn; `explain` shows
where the job in a JSON file (queue, account, steps) would be placed now, and why, without submitting it. A STATEMENT is in the
operators' language (docs/LANGUAGE.md) and needs an operator's key. `late` reads the log lines of all processes
on the users' platform and shows where the time of each late job went; `runs` shows which runs of a subtask may
have overlapped, and why. Without a command, statements are read from standard input, with a prompt and history
on a terminal.

Options:
  --entry IP:PORT     entry to talk to; may be given more than once [127.0.0.1:8080]
  --key KEY           key of an account or operator [SORRELLAND_KEY]
  --timeout-ms N      time limit for a response [30000]
  --json              print responses as JSON
  --help              print this text
  --version           print the version

Options of request and submit:
  --idempotent        the request may run more than once; otherwise an idempotency key is created first
  --deadline-ms N     time until the response is needed [10000]
  --shape SHAPE       tasks x accelerators @ level, such as 2x8@rack
  --class CLASS       batch, normal or urgent [normal]
  --declared-ms N     declared run time [60000]
  --work JSON         work for the upstream [{}]
  --attached          wait for the outcome; works without the log
  --pinned            never checkpoint or stop the job in favour of others
  --once              never restart the job after a failure

Option of late:
  --since TIME        leave out jobs submitted earlier, such as 2026-01-31T08:00:00Z

Option of platform burn:
  --svg FILE          also write a chart of the error budget burn over time

Exit status: 0 done, 1 refused or not run, 2 wrong usage, 3 outcome unknown or not known yet, 4 no entry answers
";

/// Command to run.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a short request.
    Request {
        /// Work for the upstream, as JSON.
        body: Value,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Time until the response is needed, in milliseconds.
        deadline_ms: u64,
    },
    /// Submit a job.
    Submit {
        /// Request body in the format of the entry's `/v1/jobs`.
        body: Value,
    },
    /// Show the state or outcome of a job.
    Job {
        /// Name of the job.
        name: String,
    },
    /// Cancel a job.
    CancelJob {
        /// Name of the job.
        name: String,
    },
    /// Show a view of an entry on the users' platform.
    Platform {
        /// Path of the view below `/show/`.
        view: String,
        /// File for a chart of the error budget burn.
        svg: Option<String>,
    },
    /// Show where a job would be placed on the users' platform, without submitting it.
    Explain {
        /// File with the job as JSON.
        path: String,
    },
    /// Report on late jobs from log files.
    Late {
        /// Log files of all processes.
        files: Vec<String>,
        /// Time before which submitted jobs are left out, in milliseconds since 1970.
        since_ms: i64,
    },
    /// Report on the runs of a subtask from log files.
    Runs {
        /// The subtask, such as `JOB.0.0.17`.
        task: String,
        /// Log files, one for each process.
        files: Vec<String>,
    },
    /// Send one statement.
    Statement { text: String },
    /// Send the statements of a file, one per line.
    File { path: String },
    /// Read statements from standard input.
    Interactive,
}

/// Parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Args {
    /// Addresses of entries, in the order in which they are tried.
    pub entries: Vec<String>,
    /// Key of an account or operator.
    pub key: String,
    /// Time limit for a response.
    pub timeout: Duration,
    /// Whether to print responses as JSON.
    pub json: bool,
    pub command: Command,
}

/// Command line error.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An option or value is malformed or unknown, or a command has the wrong arguments.
    #[display("{_0}")]
    Usage(lexopt::Error),
    /// A value is not valid JSON.
    #[display("not JSON: {_0}")]
    Json(serde_json::Error),
    /// A time is malformed.
    #[from(skip)]
    #[display("{_0:?} is not a time; expected one such as 2026-01-31T08:00:00Z")]
    Time(#[error(not(source))] String),
    /// A shape is malformed.
    #[from(skip)]
    #[display("{_0:?} is not a shape; expected one such as 2x8@rack")]
    Shape(#[error(not(source))] String),
}

#[derive(Default)]
struct RawArgs {
    positional: Vec<String>,
    idempotent: bool,
    deadline_ms: Option<u64>,
    shape: Option<String>,
    class: Option<String>,
    declared_ms: Option<u64>,
    work: Option<String>,
    attached: bool,
    pinned: bool,
    once: bool,
    file: Option<String>,
    svg: Option<String>,
    since: Option<String>,
}

/// Parses the command line; `key` is the key from the environment, which `--key` overrides.
///
/// # Errors
///
/// Returns an error if an option, a value or the arguments of a command are malformed.
pub fn parse(mut parser: lexopt::Parser, key: Option<String>) -> Result<Args> {
    let mut args = Args {
        entries: Vec::new(),
        key: key.unwrap_or_default(),
        timeout: Duration::from_secs(30),
        json: false,
        command: Command::Interactive,
    };
    let mut raw = RawArgs::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                args.command = Command::Help;
                return Ok(args);
            }
            Arg::Long("version") | Arg::Short('V') => {
                args.command = Command::Version;
                return Ok(args);
            }
            Arg::Long("entry") => args.entries.push(parser.value()?.string()?),
            Arg::Long("key") => args.key = parser.value()?.string()?,
            Arg::Long("timeout-ms") => args.timeout = Duration::from_millis(parser.value()?.parse()?),
            Arg::Long("json") => args.json = true,
            Arg::Long("svg") => raw.svg = Some(parser.value()?.string()?),
            Arg::Long("since") => raw.since = Some(parser.value()?.string()?),
            Arg::Long("file") => raw.file = Some(parser.value()?.string()?),
            Arg::Long("idempotent") => raw.idempotent = true,
            Arg::Long("deadline-ms") => raw.deadline_ms = Some(parser.value()?.parse()?),
            Arg::Long("shape") => raw.shape = Some(parser.value()?.string()?),
            Arg::Long("class") => raw.class = Some(parser.value()?.string()?),
            Arg::Long("declared-ms") => raw.declared_ms = Some(parser.value()?.parse()?),
            Arg::Long("work") => raw.work = Some(parser.value()?.string()?),
            Arg::Long("attached") => raw.attached = true,
            Arg::Long("pinned") => raw.pinned = true,
            Arg::Long("once") => raw.once = true,
            Arg::Value(value) => raw.positional.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if args.entries.is_empty() {
        args.entries.push("127.0.0.1:8080".to_owned());
    }
    args.command = build_command(raw)?;
    Ok(args)
}

fn build_command(raw: RawArgs) -> Result<Command> {
    if let Some(path) = raw.file {
        return Ok(Command::File { path });
    }
    let positional: Vec<&str> = raw.positional.iter().map(String::as_str).collect();
    match positional.as_slice() {
        [] => Ok(Command::Interactive),
        ["request", body] => Ok(Command::Request {
            body: serde_json::from_str(body)?,
            idempotent: raw.idempotent,
            deadline_ms: raw.deadline_ms.unwrap_or(10_000),
        }),
        ["submit", name] => Ok(Command::Submit { body: submission_body(name, &raw)? }),
        ["job", name] => Ok(Command::Job { name: (*name).to_owned() }),
        ["cancel-job", name] => Ok(Command::CancelJob { name: (*name).to_owned() }),
        ["platform", "why", job] => Ok(Command::Platform { view: format!("why/{job}"), svg: None }),
        ["platform", "explain", path] => Ok(Command::Explain { path: (*path).to_owned() }),
        ["platform", "explain", ..] => {
            Err(lexopt::Error::Custom("platform explain takes one file".into()).into())
        }
        ["platform", view] => Ok(Command::Platform { view: (*view).to_owned(), svg: raw.svg }),
        ["late", first, others @ ..] => Ok(Command::Late {
            files: [*first].iter().chain(others).map(ToString::to_string).collect(),
            since_ms: raw.since.as_deref().map_or(Ok(i64::MIN), parse_time)?,
        }),
        ["late"] => Err(lexopt::Error::Custom("late takes at least one log file".into()).into()),
        ["runs", task, first, others @ ..] => Ok(Command::Runs {
            task: (*task).to_owned(),
            files: [*first].iter().chain(others).map(ToString::to_string).collect(),
        }),
        ["runs", ..] => {
            Err(lexopt::Error::Custom("runs takes a subtask and at least one log file".into()).into())
        }
        ["request" | "submit" | "job" | "cancel-job" | "platform", ..] => {
            Err(lexopt::Error::Custom(format!("{} takes one argument", positional[0]).into()).into())
        }
        _ => Ok(Command::Statement { text: positional.join(" ") }),
    }
}

/// Parses a time into milliseconds since 1970.
fn parse_time(text: &str) -> Result<i64> {
    let time = chrono::DateTime::parse_from_rfc3339(text).map_err(|_| Error::Time(text.to_owned()))?;
    Ok(time.timestamp_millis())
}

fn submission_body(name: &str, raw: &RawArgs) -> Result<Value> {
    let text = raw.shape.as_deref().unwrap_or("1x1@worker");
    let shape: Shape =
        sorrelland_lang::parse::shape.parse(text).map_err(|_| Error::Shape(text.to_owned()))?;
    let work: Value = serde_json::from_str(raw.work.as_deref().unwrap_or("{}"))?;
    Ok(serde_json::json!({
        "name": name,
        "shape": shape,
        "class": raw.class.as_deref().unwrap_or("normal"),
        "declared_ms": raw.declared_ms.unwrap_or(60_000),
        "preemptible": !raw.pinned,
        "idempotent": !raw.once,
        "attached": raw.attached,
        "work": work,
    }))
}
