//! Structured logs on standard output: bounded, and never waited for.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use derive_more::{Display, Error, From};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

use crate::metrics;

/// Result of setting up the logs.
pub type Result<T> = std::result::Result<T, Error>;

/// Pattern of a line: time, level, then `key=value` pairs beginning with the event.
const PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Lines that wait for standard output at most: a second of the busiest process.
const LINES_WAITING: usize = 2_000;

/// Why the logs could not be set up.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The configuration was refused.
    Config(log4rs::config::runtime::ConfigErrors),
    /// A logger was set before.
    Set(log::SetLoggerError),
    /// The writing thread could not be started.
    Thread(std::io::Error),
}

/// Hands lines to a thread; what does not fit is counted, and told with the next line that does.
#[derive(Debug)]
struct Bounded {
    encoder: PatternEncoder,
    tx: SyncSender<Vec<u8>>,
    suppressed: AtomicU64,
}

impl Append for Bounded {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Vec::with_capacity(200);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        if let Some(name) = event_name(&line) {
            metrics::event(name);
        }
        let suppressed = self.suppressed.swap(0, Ordering::Relaxed);
        if suppressed > 0 {
            line.extend_from_slice(
                format!("level=WARN event=lines_suppressed count={suppressed}\n").as_bytes(),
            );
        }
        if let Err(TrySendError::Full(_)) = self.tx.try_send(line) {
            self.suppressed.fetch_add(suppressed + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Returns the name of the event that a line tells.
fn event_name(line: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(line).ok()?;
    text.split(" event=").nth(1)?.split_whitespace().next()
}

/// Sends logs to standard output, and counts each line by its event.
///
/// # Errors
///
/// Returns why the logs could not be set up.
pub fn init(level: LevelFilter) -> Result<()> {
    let (tx, rx) = sync_channel::<Vec<u8>>(LINES_WAITING);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || {
        let mut out = std::io::stdout();
        for line in rx {
            // Nobody is left to be told when standard output is closed.
            let _ = out.write_all(&line).and_then(|()| out.flush());
        }
    })?;
    let bounded = Bounded { encoder: PatternEncoder::new(PATTERN), tx, suppressed: AtomicU64::new(0) };
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(bounded)))
        .logger(log4rs::config::Logger::builder().build("tarpc", LevelFilter::Error))
        .build(Root::builder().appender("stdout").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
