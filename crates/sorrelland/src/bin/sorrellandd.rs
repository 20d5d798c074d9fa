//! Daemon of the entry and agent roles.

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
  sorrellandd --platform ROLE [--metrics-port PORT]
  sorrellandd --platform ROLE --check-settings FILE

Options:
  --settings FILE         run the role set in FILE
  --check-settings FILE   report all errors in FILE without starting anything
  --platform ROLE         run ROLE, entry or agent, on the users' platform, with the settings file named by
                          the environment variable SORRELLANDING_SETTINGS
  --metrics-port PORT     port of the instance on which a platform role serves its metrics
  --help                  print this text
  --version               print the version

Exit status: 0 stopped on request or settings valid, 1 could not start, 2 wrong usage or settings
";

enum Command {
    Help,
    Version,
    Run(PathBuf),
    Check(PathBuf),
    Platform(Role, Option<u16>),
    CheckPlatform(PathBuf),
}

/// A role on the users' platform.
#[derive(Clone, Copy)]
enum Role {
    Entry,
    Agent,
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
            let build = sorrelland_control::build::THIS;
            println!("sorrellandd {} (calls {}, commit {})", build.version, build.calls, build.commit);
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
        Command::Platform(role, metrics_port) => run_on_platform(role, metrics_port),
        Command::CheckPlatform(path) => match sorrelland_platform::Settings::load(&path) {
            Ok(_) => {
                println!("{}: in order", path.display());
                ExitCode::SUCCESS
            }
            Err(findings) => {
                eprintln!("{findings}");
                ExitCode::from(2)
            }
        },
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut command, mut platform, mut metrics_port) = (None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Version),
            Arg::Long("platform") => platform = Some(role(&parser.value()?.string()?)?),
            Arg::Long("metrics-port") => metrics_port = Some(parser.value()?.parse()?),
            Arg::Long("settings") => command = Some(Command::Run(parser.value()?.parse()?)),
            Arg::Long("check-settings") => command = Some(Command::Check(parser.value()?.parse()?)),
            other => return Err(other.unexpected()),
        }
    }
    if let Some(role) = platform {
        return match command {
            None => Ok(Command::Platform(role, metrics_port)),
            Some(Command::Check(path)) => Ok(Command::CheckPlatform(path)),
            Some(_) => Err(lexopt::Error::Custom(
                "--platform reads the settings that SORRELLANDING_SETTINGS names, not --settings".into(),
            )),
        };
    }
    command
        .ok_or_else(|| lexopt::Error::Custom("--settings, --check-settings or --platform is required".into()))
}

fn role(name: &str) -> Result<Role, lexopt::Error> {
    match name {
        "entry" => Ok(Role::Entry),
        "agent" => Ok(Role::Agent),
        other => {
            Err(lexopt::Error::Custom(format!("--platform: {other:?} is neither entry nor agent").into()))
        }
    }
}

fn run_on_platform(role: Role, metrics_port: Option<u16>) -> ExitCode {
    let path = match std::env::var_os(sorrelland_platform::settings::PATH_VARIABLE) {
        Some(path) => PathBuf::from(path),
        None => {
            eprintln!("sorrellandd: {} is not set", sorrelland_platform::settings::PATH_VARIABLE);
            return ExitCode::from(2);
        }
    };
    let settings = match sorrelland_platform::Settings::load(&path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(2);
        }
    };
    if let Err(e) = sorrelland_control::logging::init(log::LevelFilter::Info) {
        eprintln!("sorrellandd: {e}");
        return ExitCode::FAILURE;
    }
    // An instance of the platform has a fraction of a core, so more threads would not run in parallel.
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("event=no_runtime cause=\"{e}\"");
            return ExitCode::FAILURE;
        }
    };
    let result = match role {
        Role::Entry => runtime.block_on(sorrelland_control::entry::run(settings, path, metrics_port)),
        Role::Agent => runtime.block_on(sorrelland_control::agent::run(settings, path, metrics_port)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("event=failed cause=\"{e}\"");
            ExitCode::FAILURE
        }
    }
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
            log::error!("cannot create the async runtime: {e}");
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
