//! Short runs of the fault soak with fixed seeds; docs/DEVELOPERS.md shows how to run more.

use std::path::Path;
use std::time::Duration;

use sorrelland_soak::run::{self, Config};

/// Faults that the seeds below were chosen without.
const SILENT: &str = "silent-";
const POLICY: &str = "policy-";
const ROUTES: &str = "routes-";

async fn assert_promises_kept(seed: u64, without: &[&str]) {
    let cfg = Config {
        bin_dir: Path::new(env!("CARGO_BIN_EXE_sorrellandd")).parent().unwrap().to_owned(),
        entries: 3,
        workers: 5,
        faults: Duration::from_secs(30),
        without: without.iter().map(|name| (*name).to_owned()).collect(),
        logs: std::env::temp_dir().join("sorrelland-soak"),
        keep_logs: false,
    };
    let outcome = run::run_seed(&cfg, seed).await.unwrap();
    println!("{outcome}");
    assert!(outcome.broken.is_empty(), "{outcome}");
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_unexpected_checkins_keeps_promises() {
    assert_promises_kept(57, &[SILENT, POLICY, ROUTES]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_faults_of_processes_and_store_keeps_promises() {
    assert_promises_kept(12, &[SILENT, POLICY, ROUTES]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_crashing_subtasks_and_shrinking_workers_keeps_promises() {
    assert_promises_kept(7_001, &[SILENT, POLICY, ROUTES]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_stops_while_the_store_is_silent_keeps_promises() {
    assert_promises_kept(48_108, &[POLICY, ROUTES]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_a_failing_policy_service_keeps_promises() {
    assert_promises_kept(56_017, &[SILENT, ROUTES]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_changing_routes_keeps_promises() {
    assert_promises_kept(61_002, &[SILENT, POLICY]).await;
}
