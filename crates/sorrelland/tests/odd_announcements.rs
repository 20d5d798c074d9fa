//! Announcements of another writer with values that no worker sends, with separate processes.

mod common;

use std::fs;
use std::time::Duration;

use bytes::Bytes;
use common::eventually;
use common::platform::{Platform, step};
use http::{Method, header};
use serde_json::{Value, json};
use sorrelland_web::Client;

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

/// Returns the workers as the planner knows them.
async fn workers(platform: &Platform) -> String {
    let url = format!("http://{}/show/workers", platform.env.address(11, 9_464));
    let reply = Client::new(Duration::from_secs(2)).send(Method::GET, &url, &[], Bytes::new()).await;
    reply.map_or_else(|_| String::new(), |reply| String::from_utf8_lossy(&reply.body).into_owned())
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

#[tokio::test(flavor = "multi_thread")]
async fn odd_sequence_leaves_worker_able_to_change_and_drain() {
    let mut platform = Platform::start(1, 2).await;
    for sequence in [u64::MAX, 1 << 60, (1 << 53) - 1, 1_000_000, 500] {
        let status = platform.announce(1, WORKER, &announcement(sequence)).await;
        assert!([200, 400].contains(&status), "sequence {sequence}: {status}");
    }
    let capacity = json!({"cpu": 9_000, "memory_mb": 4_096, "gpu": 2});
    let url = format!("http://{}/v1/capacity", platform.env.address(101, 8_000));
    let headers = [(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"))];
    let client = Client::new(Duration::from_secs(2));
    let reply = client.send(Method::PUT, &url, &headers, Bytes::from(capacity.to_string())).await.unwrap();
    assert!(reply.status.is_success(), "{}", reply.status);
    eventually(Duration::from_secs(8), "the planner knows the worker's new capacity", async || {
        workers(&platform).await.contains("\"cores\":\"0/9\"")
    })
    .await;
    // Its machine has no time for more than this after SIGTERM.
    assert!(platform.env.stop("worker-1", Duration::from_secs(15)).await, "the worker exits");
    let log = fs::read_to_string(platform.env.dir().join("entry-1.log")).unwrap();
    let draining = format!("event=worker_draining worker={WORKER}");
    assert!(log.contains(&draining), "the planner never learned that the worker drains");
    platform.submit_until_accepted(&job(1), &json!([step(1)]), "run_ms=200").await;
    platform.await_state(&job(1), "completed", Duration::from_secs(10)).await;
    assert_eq!(panics(&platform), Vec::<String>::new());
}

/// Guards against a worker that is hidden by an announcement for an unknown service, until its agent starts again.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_for_an_unknown_service_before_the_workers_own_hides_no_worker() {
    let mut platform = Platform::start(1, 1).await;
    platform.env.kill("agent-1");
    platform.start_agent(1);
    let mut odd = announcement(1);
    odd["service"] = json!("inventory");
    platform.announce_once_up(1, WORKER, &odd).await;
    // The planner learns of it, so that it places nothing by what it knew before.
    eventually(Duration::from_secs(2), "the announcement is reported", async || {
        workers(&platform).await.contains("inventory")
    })
    .await;
    platform.submit_until_accepted(&job(1), &json!([step(2)]), "run_ms=100").await;
    // Two announcements of the worker, and the job.
    platform.await_state(&job(1), "completed", Duration::from_secs(6)).await;
}
