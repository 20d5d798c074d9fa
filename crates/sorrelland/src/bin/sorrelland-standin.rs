//! Stand-in servers for the log, the workers and the store of the platform.

use std::process::ExitCode;

use sorrelland_standin::command::{self, Command, Error, HELP};
use sorrelland_standin::{log, platform_policy, platform_store, platform_worker, worker_api};

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command::parse(lexopt::Parser::from_env()) {
        Ok(command) => run(command).await,
        Err(e) => Err(e),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sorrelland-standin: {e}\n\n{HELP}");
            ExitCode::from(2)
        }
    }
}

async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Log { listen } => {
            let server = log::start(listen)?;
            println!("listening {}", server.local_addr());
            wait(server.wait_for_shutdown()).await;
        }
        Command::Worker { listen, sizes } => {
            let server = worker_api::start(listen, sizes)?;
            println!("listening {}", server.local_addr());
            wait(server.wait_for_shutdown()).await;
        }
        Command::PlatformStore { listen } => {
            let server = platform_store::start(listen)?;
            println!("listening {}", server.local_addr());
            wait(server.wait_for_shutdown()).await;
        }
        Command::PlatformPolicy { listen, refused } => {
            let server = platform_policy::start(listen, refused)?;
            println!("listening {}", server.local_addr());
            wait(server.wait_for_shutdown()).await;
        }
        Command::PlatformWorker { listen, setup } => {
            let server = platform_worker::start(listen, setup)?;
            println!("listening {}", server.local_addr());
            wait(server.wait_for_shutdown()).await;
        }
    }
    Ok(())
}

async fn wait(shutdown: impl Future<Output = Result<(), String>>) {
    if let Err(e) = shutdown.await {
        eprintln!("sorrelland-standin: {e}");
    }
}
