//! Load generator.

use std::process::ExitCode;

use sorrelland_load::{agents, args, drive};

#[tokio::main]
async fn main() -> ExitCode {
    match args::parse(lexopt::Parser::from_env()) {
        Ok(args) if args.help => print!("{}", args::HELP),
        Ok(args) if args.agents > 0 => println!("{}", agents::run(&args).await),
        Ok(args) => println!("{}", drive::run(&args).await),
        Err(e) => {
            eprintln!("sorrelland-load: {e}\n\n{}", args::HELP);
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
