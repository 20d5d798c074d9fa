//! The daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::{Arg, ValueExt};
use sorrelland_conf::Settings;
use sorrelland_daemon::logging;

const HELP: &str = "\
sorrellandd - the daemon of sorrelland

Usage:
  sorrellandd --settings FILE
  sorrellandd --check-settings FILE

Options:
  --settings FILE         run the role that FILE names
  --check-settings FILE   report everything that is wrong with FILE and start nothing
  --help                  print this text
  --version               print the version

Exit status: 0 stopped as asked or settings in order, 1 could not start, 2 wrong usage or settings
";

enum Command {
    Help,
    Version,
    Run(PathBuf),
    Check(PathBuf),
}

fn main() -> ExitCode {
    let command = match parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(e) => {
            eprintln!("sorrellandd: {e}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match command {
        Command::Help => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Command::Version => {
            println!("sorrellandd {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(path) => match Settings::load(&path) {
            Ok(_) => {
                println!("{}: in order", path.display());
                ExitCode::SUCCESS
            }
            Err(findings) => {
                eprintln!("{findings}");
                ExitCode::from(2)
            }
        },
        Command::Run(path) => run(&path),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut command = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Version),
            Arg::Long("settings") => command = Some(Command::Run(parser.value()?.parse()?)),
            Arg::Long("check-settings") => command = Some(Command::Check(parser.value()?.parse()?)),
            other => return Err(other.unexpected()),
        }
    }
    command.ok_or_else(|| lexopt::Error::Custom("--settings or --check-settings is needed".into()))
}

fn run(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(2);
        }
    };
    if let Err(e) = logging::init(&settings.logging) {
        eprintln!("sorrellandd: {e}");
        return ExitCode::FAILURE;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("no runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(sorrelland_daemon::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
