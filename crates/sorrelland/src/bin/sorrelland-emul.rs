//! Runs the emulator for a range of seeds and prints its measures.

use std::process::ExitCode;

use sorrelland_emul::args::{Command, HELP, parse};
use sorrelland_emul::forecast::Errors;
use sorrelland_emul::measure::table;
use sorrelland_emul::{Setup, run};

fn main() -> ExitCode {
    let options = match parse(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Ok(Command::Run(options)) => options,
        Err(e) => {
            eprintln!("sorrelland-emul: {e}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let mut measures = Vec::new();
    let mut forecast_errors: Option<Errors> = None;
    let mut violated = false;
    for seed in options.seed..options.seed + options.seeds {
        let outcomes = run(&Setup {
            load: options.load.clone(),
            seed,
            workers: options.workers,
            length_ms: options.seconds * 1_000,
            rate: options.rate,
            faults_per_min: options.faults,
        });
        for violation in outcomes.violations.iter().chain(&outcomes.late_starts) {
            violated = true;
            println!("seed {seed}: {violation}");
        }
        measures.push(outcomes.measure);
        if let Some(errors) = &outcomes.forecast_errors {
            forecast_errors.get_or_insert_default().extend(errors);
        }
    }
    print!("{}", table(&options.load, &measures));
    if let Some(errors) = forecast_errors {
        print!("{}", errors.text());
    }
    if violated { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
