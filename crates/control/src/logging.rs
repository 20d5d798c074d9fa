//! Structured logs on standard output, through a bounded queue that never blocks the caller.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

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

/// Time, level, then `key=value` pairs that begin with the event.
const LINE_PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Longest queue for standard output: one second of output of the busiest process.
const MAX_QUEUED_LINES: usize = 2_000;

/// Time that a process waits at its end until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writing thread receives.
enum Message {
    Line(Vec<u8>),
    /// Receives a reply once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Why the logs could not be set up.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The configuration is invalid.
    Config(log4rs::config::runtime::ConfigErrors),
    /// Another logger is already set.
    SetLogger(log::SetLoggerError),
    /// The writing thread could not be started.
    Thread(std::io::Error),
}

/// Queues lines for a thread that writes them. Lines that don't fit are dropped and counted; the next line that
/// fits carries the count.
#[derive(Debug)]
struct BoundedAppender {
    encoder: PatternEncoder,
    tx: SyncSender<Message>,
    suppressed: AtomicU64,
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Vec::with_capacity(200);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        if let Some(name) = event_name(&line) {
            metrics::count_event(name);
        }
        let suppressed = self.suppressed.swap(0, Ordering::Relaxed);
        if suppressed > 0 {
            line.extend_from_slice(
                format!("level=WARN event=lines_suppressed count={suppressed}\n").as_bytes(),
            );
        }
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Message::Line(line)) {
            self.suppressed.fetch_add(suppressed + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(tx)).is_ok() {
            // A reader that is too slow loses the lines.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Returns the value of `event=` in a line.
fn event_name(line: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(line).ok()?;
    text.split(" event=").nth(1)?.split_whitespace().next()
}

/// Sends logs to standard output, and counts each line by its event.
///
/// # Errors
///
/// Fails if the configuration is invalid, a logger is already set or the thread can't be started.
pub fn init(level: LevelFilter) -> Result<()> {
    let (tx, rx) = sync_channel::<Message>(MAX_QUEUED_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || {
        let mut stdout = std::io::stdout();
        for message in rx {
            match message {
                // Write errors can't be reported anywhere once standard output is closed.
                Message::Line(line) => _ = stdout.write_all(&line).and_then(|()| stdout.flush()),
                // The waiting thread may have given up.
                Message::Flush(tx) => _ = tx.try_send(()),
            }
        }
    })?;
    let appender =
        BoundedAppender { encoder: PatternEncoder::new(LINE_PATTERN), tx, suppressed: AtomicU64::new(0) };
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .logger(log4rs::config::Logger::builder().build("tarpc", LevelFilter::Error))
        .build(Root::builder().appender("stdout").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
