//! Structured logs.

use derive_more::{Display, Error, From};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use sorrelland_conf::settings::{Format, Logging};

/// Result of setting up the logs.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the logs could not be set up.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The configuration was refused.
    #[display("{_0}")]
    Config(log4rs::config::runtime::ConfigErrors),
    /// A logger was set before.
    #[display("{_0}")]
    Set(log::SetLoggerError),
}

/// Pattern of a text line: time, level, module, request, job and message.
const PATTERN: &str =
    "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} request={K(request)(-)} job={K(job)(-)} {m}{n}";

/// Sends logs to standard error.
///
/// # Errors
///
/// Returns why the logs could not be set up.
pub fn init(logging: &Logging) -> Result<()> {
    let level: LevelFilter = logging.level.parse().unwrap_or(LevelFilter::Info);
    let encoder: Box<dyn Encode> = match logging.format {
        Format::Text => Box::new(PatternEncoder::new(PATTERN)),
        Format::Json => Box::new(JsonEncoder::new()),
    };
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .logger(log4rs::config::Logger::builder().build("tarpc", LevelFilter::Error))
        .build(Root::builder().appender("console").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
