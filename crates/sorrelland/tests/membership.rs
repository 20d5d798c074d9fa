//! What an agent believes of its worker, with separate processes: announcements and departures that are not the worker's
//! own must not end its runs.

mod common;

use std::time::Duration;

use common::platform::{Platform, step};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

const JOB: &str = "00000000000000a1";

/// Run time of the job's subtasks: longer than a lease, so that a worker that its agent has given up is noticed.
const RUN_TIME: Duration = Duration::from_millis(7_500);

/// Time for the job beyond one run of its subtasks.
const COMPLETION_BOUND: Duration = Duration::from_secs(10);

fn announcement(service: &str, state: &str, sequence: u64) -> Value {
    json!({
        "service": service, "address": "127.0.0.1:9", "zone": "elsewhere", "version": "v1", "slots": 8,
        "state": state, "cold_remaining_ms": 0, "labels": ["a", "r9"], "sequence": sequence,
        "capacity": {"cpu": 130_000, "memory_request_mb": 262_144, "gpu": 8}, "clock_ms": 1_000,
    })
}

/// Number of the job's subtasks: each worker has some, and some could run twice.
fn subtasks(platform: &Platform) -> usize {
    6 * platform.workers()
}

/// Submits a job and waits until it runs on all workers.
async fn start_job(platform: &Platform) {
    let subtasks = subtasks(platform) as u32;
    let spec = format!("run_ms={}", RUN_TIME.as_millis());
    assert_eq!(platform.submit(1, JOB, json!([step(subtasks)]), &spec).await, 200);
    platform.await_state(JOB, "running", Duration::from_secs(5)).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Checks that each subtask has run once, and that the workers take work again.
async fn check_runs_and_workers(platform: &Platform) {
    platform.await_state(JOB, "completed", RUN_TIME + COMPLETION_BOUND).await;
    platform.assert_run_once().await;
    let starts = platform.history().await.into_iter().filter(|event| event.0 == "start");
    let starts = starts.filter(|event| event.1.starts_with(JOB)).count();
    assert_eq!(starts, subtasks(platform), "each subtask is started once");
    platform.await_workers().await;
}

#[tokio::test]
async fn announcement_of_unknown_service_starts_no_run_twice() {
    let platform = Platform::start(2, 3).await;
    start_job(&platform).await;
    for sequence in 1..=4 {
        platform.announce(1, "i-other", &announcement("elsewhere", "ready", sequence)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    check_runs_and_workers(&platform).await;
}

#[tokio::test]
async fn announcement_of_unknown_worker_starts_no_run_twice() {
    let platform = Platform::start(2, 3).await;
    start_job(&platform).await;
    platform.announce(1, "i-other", &announcement("svc", "ready", 1)).await;
    check_runs_and_workers(&platform).await;
}

#[tokio::test]
async fn announcement_at_restarted_agent_starts_no_run_twice() {
    let mut platform = Platform::start(2, 3).await;
    start_job(&platform).await;
    // Without announcements of its worker, the new process hears the other writer first.
    platform.env.signal("worker-1", Signal::SIGSTOP);
    assert!(platform.env.stop("agent-1", Duration::from_secs(6)).await);
    platform.start_agent(1);
    platform.announce_once_up(1, "i-other", &announcement("elsewhere", "ready", 1)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.env.signal("worker-1", Signal::SIGCONT);
    check_runs_and_workers(&platform).await;
}

#[tokio::test]
async fn departure_of_running_worker_starts_no_run_twice() {
    let platform = Platform::start(2, 3).await;
    start_job(&platform).await;
    platform.depart(1, "w-1-1").await;
    check_runs_and_workers(&platform).await;
}

#[tokio::test]
async fn departure_of_ended_worker_frees_its_runs() {
    let mut platform = Platform::start(2, 3).await;
    start_job(&platform).await;
    platform.env.kill("worker-1");
    platform.depart(1, "w-1-1").await;
    // Without the departure the runs would count until their leases have ended.
    platform.await_event("run_gone", JOB, Duration::from_secs(2)).await;
}

#[tokio::test]
async fn frequent_announcements_of_running_worker_keep_its_leases() {
    const LONG_RUN: Duration = Duration::from_secs(14);
    let platform = Platform::start(1, 1).await;
    let spec = format!("run_ms={}", LONG_RUN.as_millis());
    assert_eq!(platform.submit(1, JOB, json!([step(1)]), &spec).await, 200);
    platform.await_state(JOB, "running", Duration::from_secs(5)).await;
    // Each announcement has a change, like those of a worker that drains.
    for sequence in 0..20 {
        let mut body = announcement("svc", "draining", 1_000 + sequence);
        body["remaining_ms"] = json!(60_000 - 700 * sequence);
        platform.announce(1, "w-1-1", &body).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    let events = platform.history().await;
    assert!(!events.iter().any(|event| event.0 == "lapsed"), "the lease has ended: {events:?}");
}
