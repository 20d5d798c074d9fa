//! Replays a scenario under a policy for a range of seeds.

use std::process::ExitCode;

use sorrelland_replay::{args, cost, report, sim};

fn main() -> ExitCode {
    match args::parse(lexopt::Parser::from_env()) {
        Ok(args) if args.help => print!("{}", args::HELP),
        Ok(args) if args.slopes => println!("{}", cost::scaling_table()),
        Ok(args) => replay(&args),
        Err(e) => {
            eprintln!("sorrelland-replay: {e}\n\n{}", args::HELP);
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

fn replay(args: &args::Args) {
    for seed in args.seed..args.seed + args.seeds {
        let (result, cost) = sim::run(args.scenario, args.policy, seed);
        match args.json {
            true => println!("{}", serde_json::json!(result)),
            false => println!("{}\n", report::to_text(&result)),
        }
        if args.cost {
            let mean = cost.total / cost.passes.max(1);
            eprintln!("{} passes, mean {mean:?}, longest {:?}", cost.passes, cost.longest);
        }
    }
}
