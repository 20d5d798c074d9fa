//! Fault soak of the programs.

use std::process::ExitCode;

use sorrelland_soak::args::{self, Args};
use sorrelland_soak::run;
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> ExitCode {
    let args = match args::parse(lexopt::Parser::from_env()) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("sorrelland-soak: {e}\n\n{}", args::HELP);
            return ExitCode::from(2);
        }
    };
    if args.help {
        print!("{}", args::HELP);
        return ExitCode::SUCCESS;
    }
    tokio::select! {
        kept = run_seeds(args) => if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE },
        // The processes end with the runtime.
        () = interrupted() => ExitCode::FAILURE,
    }
}

/// Runs the seeds and returns whether they all kept the promises.
async fn run_seeds(args: Args) -> bool {
    let mut all_kept = true;
    for seed in args.seeds {
        match run::run_seed(&args.cfg, seed).await {
            Ok(outcome) => {
                println!("{outcome}");
                all_kept &= outcome.broken.is_empty();
            }
            Err(e) => {
                println!("seed {seed} could not run: {e}");
                all_kept = false;
            }
        }
    }
    all_kept
}

/// Waits for SIGINT or SIGTERM.
async fn interrupted() {
    let mut terminate = signal(SignalKind::terminate()).expect("handler for SIGTERM");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
