//! Set-up of structured logging.

use derive_more::{Display, Error, From};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use sorrelland_conf::settings::{Format, Logging};

pub type Result<T> = std::result::Result<T, Error>;

/// Why logging could not be set up.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// log4rs rejected the configuration.
    #[display("{_0}")]
    Config(log4rs::config::runtime::ConfigErrors),
    /// A logger is already set.
    #[display("{_0}")]
    Set(log::SetLoggerError),
}

/// Line of the text format: time, level, module, request, job and message.
const LINE_PATTERN: &str =
    "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} request={K(request)(-)} job={K(job)(-)} {m}{n}";

/// Sets up logging to standard error.
///
/// # Errors
///
/// Fails if the configuration is rejected or a logger is already set.
pub fn init(logging: &Logging) -> Result<()> {
    let level: LevelFilter = logging.level.parse().unwrap_or(LevelFilter::Info);
    let encoder: Box<dyn Encode> = match logging.format {
        Format::Text => Box::new(PatternEncoder::new(LINE_PATTERN)),
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
