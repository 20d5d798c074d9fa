//! The command line of the tool.

use std::time::Duration;

use derive_more::{Display, Error, From};
use lexopt::{Arg, ValueExt};
use serde_json::Value;
use sorrelland_core::shape::Shape;
use winnow::Parser;

/// Result of reading the command line.
pub type Result<T> = std::result::Result<T, Error>;

/// Help text of the program.
pub const HELP: &str = "\
sorrellandctl - talks to the entries of sorrelland

Usage:
  sorrellandctl [options] request JSON [--idempotent] [--deadline-ms N]
  sorrellandctl [options] submit NAME --shape SHAPE [--class CLASS] [--declared-ms N]
                          [--work JSON] [--attached] [--pinned] [--once]
  sorrellandctl [options] job NAME
  sorrellandctl [options] cancel-job NAME
  sorrellandctl [options] platform VIEW
  sorrellandctl [options] platform why JOB
  sorrellandctl [options] STATEMENT...
  sorrellandctl [options] --file FILE
  sorrellandctl [options]

The first four are for callers and need an account's key. On the users' platform, --entry is the metrics address
of any entry, and a VIEW is one of jobs, workers, accounts, refused and burn. A STATEMENT is one of the operators' language
(docs/LANGUAGE.md) and needs an operator's key. Without a command, statements are read from standard input,
with a prompt and history on a terminal.

Options:
  --entry IP:PORT     entry to talk to; may be given more than once [127.0.0.1:8080]
  --key KEY           key of an account or operator [SORRELLAND_KEY]
  --timeout-ms N      time for an answer [30000]
  --json              print answers as JSON
  --help              print this text
  --version           print the version

Options of request and submit:
  --idempotent        the request may run more than once; otherwise a key is taken first
  --deadline-ms N     time until the answer is needed [10000]
  --shape SHAPE       tasks x accelerators @ level, such as 2x8@rack
  --class CLASS       batch, normal or urgent [normal]
  --declared-ms N     declared run time [60000]
  --work JSON         work for the upstream [{}]
  --attached          wait for the outcome; needs no log
  --pinned            never checkpoint or stop the job for others
  --once              never start the job again after a failure

Option of platform burn:
  --svg FILE          draw the use of the error budget over time as well

Exit status: 0 done, 1 refused or not run, 2 wrong usage, 3 outcome unknown or not known yet, 4 no entry answers
";

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a short request.
    Request {
        /// Work for the upstream.
        body: Value,
        /// Whether it may run more than once.
        idempotent: bool,
        /// Time until the answer is needed, in milliseconds.
        deadline_ms: u64,
    },
    /// Submit a job; the body is as the entry takes it.
    Submit {
        /// Body of the submission.
        body: Value,
    },
    /// Tell what has become of a job.
    Job {
        /// Name of the job.
        name: String,
    },
    /// Cancel a job.
    CancelJob {
        /// Name of the job.
        name: String,
    },
    /// Show what an entry on the platform knows.
    Platform {
        /// Path of the view.
        view: String,
        /// File for a picture.
        svg: Option<String>,
    },
    /// Send one statement.
    Statement {
        /// Text of the statement.
        text: String,
    },
    /// Send the statements of a file, one a line.
    File {
        /// Path of the file.
        path: String,
    },
    /// Read statements from standard input.
    Interactive,
}

/// The whole command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Args {
    /// Addresses of entries, in the order in which they are tried.
    pub entries: Vec<String>,
    /// Key of an account or operator.
    pub key: String,
    /// Time for an answer.
    pub timeout: Duration,
    /// Whether answers are printed as JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// What is wrong with the command line.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// It was malformed.
    #[display("{_0}")]
    Usage(lexopt::Error),
    /// A value was not JSON.
    #[display("not JSON: {_0}")]
    Json(serde_json::Error),
    /// A shape was malformed.
    #[from(skip)]
    #[display("{_0:?} is not a shape; expected one such as 2x8@rack")]
    Shape(#[error(not(source))] String),
}

#[derive(Default)]
struct Raw {
    words: Vec<String>,
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
}

/// Reads the command line; `key` is the key from the environment.
///
/// # Errors
///
/// Returns what was malformed.
pub fn parse(mut parser: lexopt::Parser, key: Option<String>) -> Result<Args> {
    let mut args = Args {
        entries: Vec::new(),
        key: key.unwrap_or_default(),
        timeout: Duration::from_secs(30),
        json: false,
        command: Command::Interactive,
    };
    let mut raw = Raw::default();
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
            Arg::Value(value) => raw.words.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if args.entries.is_empty() {
        args.entries.push("127.0.0.1:8080".to_owned());
    }
    args.command = command(raw)?;
    Ok(args)
}

fn command(raw: Raw) -> Result<Command> {
    if let Some(path) = raw.file {
        return Ok(Command::File { path });
    }
    let words: Vec<&str> = raw.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] => Ok(Command::Interactive),
        ["request", body] => Ok(Command::Request {
            body: serde_json::from_str(body)?,
            idempotent: raw.idempotent,
            deadline_ms: raw.deadline_ms.unwrap_or(10_000),
        }),
        ["submit", name] => Ok(Command::Submit { body: submission(name, &raw)? }),
        ["job", name] => Ok(Command::Job { name: (*name).to_owned() }),
        ["cancel-job", name] => Ok(Command::CancelJob { name: (*name).to_owned() }),
        ["platform", "why", job] => Ok(Command::Platform { view: format!("why/{job}"), svg: None }),
        ["platform", view] => Ok(Command::Platform { view: (*view).to_owned(), svg: raw.svg }),
        ["request" | "submit" | "job" | "cancel-job" | "platform", ..] => {
            Err(lexopt::Error::Custom(format!("{} takes one argument", words[0]).into()).into())
        }
        _ => Ok(Command::Statement { text: words.join(" ") }),
    }
}

fn submission(name: &str, raw: &Raw) -> Result<Value> {
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
