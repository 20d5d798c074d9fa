//! Announcements of another writer with values that no worker sends, with separate processes.

mod common;

use std::fs;
use std::time::Duration;

use common::platform::{Platform, step};
use serde_json::{Value, json};

const WORKER: &str = "w-1-1";

fn job(number: u64) -> String {
    format!("{number:016x}")
}

fn announcement(sequence: u64) -> Value {
    json!({
        "service": "svc", "address": "127.0.0.9:8000", "zone": "haiphong-a", "version": "v1", "state": "ready",
        "cold_remaining_ms": 0, "capacity": {"cpu": 128_000, "memory_request_mb": 262_144, "gpu": 8},
        "labels": ["a", "r1"], "sequence": sequence,
    })
}

/// Returns the lines with which processes report that they panicked.
fn panics(platform: &Platform) -> Vec<String> {
    let files = fs::read_dir(platform.env.dir()).unwrap().flatten().map(|entry| entry.path());
    let logs = files.filter(|path| path.extension().is_some_and(|suffix| suffix == "log"));
    let texts = logs.map(|path| fs::read_to_string(path).unwrap_or_default());
    texts
        .flat_map(|text| {
            text.lines().filter(|line| line.contains("panicked")).map(str::to_owned).collect::<Vec<_>>()
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_capacity_stops_no_process_and_no_job() {
    let platform = Platform::start(1, 3).await;
    platform.submit_until_accepted(&job(1), &json!([step(6)]), "run_ms=4000").await;
    platform.await_state(&job(1), "running", Duration::from_secs(10)).await;
    let mut sequence = 1_000;
    for amount in [i64::MIN, i64::MAX, -1] {
        for field in ["cpu", "memory_request_mb", "gpu"] {
            sequence += 10;
            let mut odd = announcement(sequence);
            odd["capacity"][field] = json!(amount);
            assert_eq!(platform.announce(1, WORKER, &odd).await, 400, "{field}={amount}");
        }
    }
    platform.submit_until_accepted(&job(2), &json!([step(3)]), "run_ms=200").await;
    platform.await_state(&job(2), "completed", Duration::from_secs(10)).await;
    platform.await_state(&job(1), "completed", Duration::from_secs(15)).await;
    platform.assert_run_once().await;
    assert_eq!(panics(&platform), Vec::<String>::new());
    // All workers are still of use.
    platform.await_workers().await;
}
