//! Plays of cancels with any builds and seeds, by hand:
//!
//!     SORRELLAND_PLAYS="StopInTurn 48 6" cargo test -p sorrelland --test cancel_plays -- --ignored --nocapture
//!
//! `SORRELLAND_PLAYS` is the trouble, the seed and the number of stops; `SORRELLAND_FROM` and `SORRELLAND_TO` are the daemons
//! before and after the stops, this build by default.

mod common;

use std::env;
use std::path::PathBuf;

use common::cancel_play::{Play, Trouble};
use common::platform::present_build;

#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes its builds and seeds from the environment"]
async fn answers_of_a_play_hold() {
    let text = env::var("SORRELLAND_PLAYS").unwrap();
    let [trouble, seed, rounds] = text.split(' ').collect::<Vec<_>>()[..] else { panic!("{text}") };
    let troubles = [
        Trouble::StopInTurn,
        Trouble::StopLeader,
        Trouble::StopTwoThenLeader,
        Trouble::KillLeader,
        Trouble::FreezeLeader,
    ];
    let trouble = *troubles.iter().find(|known| format!("{known:?}") == trouble).unwrap();
    let build = |name: &str| env::var_os(name).map_or_else(|| present_build().to_owned(), PathBuf::from);
    let play = Play::new(seed.parse().unwrap(), trouble, rounds.parse().unwrap())
        .with_builds(&build("SORRELLAND_FROM"), &build("SORRELLAND_TO"));
    let (platform, record) = play.run().await;
    println!("{record}");
    let violations = record.violations();
    for violation in &violations {
        println!("{violation}");
        platform.job_events(&violation.job).iter().for_each(|(_, line)| println!("    {line}"));
    }
    let dir = platform.env.dir().display();
    assert!(violations.is_empty(), "seed {}: {} answers; logs in {dir}", play.seed, violations.len());
}
