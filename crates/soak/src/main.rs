//! Fault soak of the programs.

use std::process::ExitCode;

use sorrelland_soak::{args, run};

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
    if all_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
