//! Command-line tool for callers and operators.

use std::process::ExitCode;

use sorrelland_ctl::{args, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let key = std::env::var("SORRELLAND_KEY").ok();
    match args::parse(lexopt::Parser::from_env(), key) {
        Ok(args) => ExitCode::from(run::run(&args).await),
        Err(e) => {
            eprintln!("sorrellandctl: {e}\n\n{}", args::HELP);
            ExitCode::from(run::EXIT_USAGE)
        }
    }
}
