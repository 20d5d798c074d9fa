//! Queues whose steps need the approval of the policy service. With separate processes on loopback.

mod common;

use std::collections::BTreeSet;
use std::fs;
use std::time::Duration;

use common::eventually;
use common::platform::{HOST, KEY, PREFIX, Platform, step};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use sorrelland_web::Client;

const ADVISED_PREFIX: &str = "/advised/";

/// Bound of the platform for the end of jobs that have room (`finish_s`).
const FINISH_BOUND: Duration = Duration::from_secs(14);

const BOUND: Duration = Duration::from_secs(10);

/// Starts a platform with an advised queue, on workers that tell when they started.
async fn start(workers: usize) -> Platform {
    let mut platform = Platform::start_with_policy(2, workers).await;
    let route = |name: &str, prefix: &str| {
        json!({"name": name, "host": HOST, "path_prefix": prefix, "service": "svc", "priority": 1,
            "max_attempts": 2, "stretch": 3.0, "full_credit_ms": 1_000})
    };
    let mut advised = route("advised", ADVISED_PREFIX);
    advised["advice"] = json!({"decide_ms": 20, "each_ms": 2, "valid_ms": 3_000});
    let desired = json!({
        "version": 2, "routes": [route("orders", PREFIX), advised], "services": [{"name": "svc"}],
        "tenants": [{"name": "museum", "api_keys": [KEY], "guaranteed": {"gpu": 4}}],
    });
    platform.publish_desired(&desired).await;
    for index in 1..=workers {
        platform.env.kill(&format!("worker-{index}"));
        platform.start_telling_worker(index, &format!("t-{index}"));
    }
    platform.await_workers().await;
    for index in 1..=platform.entries() {
        eventually(BOUND, "the advised queue is known", async || {
            platform.call(index, Method::GET, ADVISED_PREFIX, KEY, &Value::Null).await.0 == 200
        })
        .await;
    }
    platform
}

fn job(number: u32) -> String {
    format!("{number:016x}")
}

async fn submit(platform: &Platform, number: u32, count: u32) {
    let path = format!("{ADVISED_PREFIX}{}", job(number));
    let body = json!({"task_spec": "run_ms=100 needs_ticket", "steps": [step(count)]});
    assert_eq!(platform.call(1, Method::POST, &path, KEY, &body).await.0, 200);
}

async fn state(platform: &Platform, number: u32) -> String {
    let path = format!("{ADVISED_PREFIX}{}", job(number));
    let (status, body) = platform.call(1, Method::GET, &path, KEY, &Value::Null).await;
    body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned)
}

async fn await_completed(platform: &Platform, number: u32) {
    let what = format!("job {number} completes; logs in {}", platform.env.dir().display());
    eventually(FINISH_BOUND, &what, async || state(platform, number).await == "completed").await;
}

async fn asked(platform: &Platform) -> Vec<Value> {
    let url = format!("http://{}/v1/asked", platform.policy_address());
    Client::new(BOUND).get(&url).await.unwrap()
}

async fn asked_workers(platform: &Platform) -> BTreeSet<String> {
    let calls = asked(platform).await;
    let names = calls.iter().flat_map(|call| call["workers"].as_array().unwrap().clone());
    names.map(|name| name.as_str().unwrap().to_owned()).collect()
}

/// Returns the workers' output on starts that they refused for want of a ticket.
fn refused_starts(platform: &Platform) -> Vec<String> {
    let workers = (1..=platform.workers()).map(|index| format!("worker-{index}.log"));
    let logs = workers.map(|name| fs::read_to_string(platform.env.dir().join(name)).unwrap_or_default());
    logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>())
        .filter(|line| line.contains("event=ticket_refused"))
        .collect()
}

/// Guards against jobs of a queue with approvals that never start, since the policy service is asked about workers by names
/// of our own.
#[yare::parameterized(
    first_incarnations = { "" },
    restarts_under_the_same_names = { "restart" },
    replacements = { "replace" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn steps_start_on_workers_that_tell_their_start(change: &str) {
    let mut platform = start(2).await;
    submit(&platform, 1, 3).await;
    await_completed(&platform, 1).await;
    if !change.is_empty() {
        for index in 1..=2 {
            platform.env.kill(&format!("worker-{index}"));
            let name = if change == "restart" { format!("t-{index}") } else { format!("t-{index}-2") };
            platform.start_telling_worker(index, &name);
        }
        platform.await_workers().await;
        submit(&platform, 2, 3).await;
        await_completed(&platform, 2).await;
    }
    let asked = asked_workers(&platform).await;
    assert!(asked.iter().all(|name| !name.contains('@')), "{asked:?}");
    assert_eq!(refused_starts(&platform), [""; 0]);
    platform.assert_run_once().await;
}

/// Guards against a ticket of the incarnation before a restart that is used for the one since, again and again.
#[tokio::test(flavor = "multi_thread")]
async fn step_moves_on_when_its_worker_starts_again_during_a_call() {
    let mut platform = start(1).await;
    platform.set_policy_faults(json!({"slow_ms": 600, "valid_ms": 60_000})).await;
    submit(&platform, 1, 1).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    platform.env.kill("worker-1");
    platform.start_telling_worker(1, "t-1");
    await_completed(&platform, 1).await;
    assert!(refused_starts(&platform).len() <= 1, "{:?}", refused_starts(&platform));
}

/// Guards against a worker that is refused and used, and against one that is refused by a row that can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn refused_workers_are_not_used_and_unreadable_rows_refuse_none() {
    let platform = start(2).await;
    platform.set_policy_faults(json!({"refused": ["t-1"]})).await;
    submit(&platform, 1, 3).await;
    await_completed(&platform, 1).await;
    let events = platform.job_events(&job(1));
    let approved = events.iter().find(|(event, _)| event == "approved").unwrap();
    assert!(approved.1.contains(r#"admitted="t-2" refused="t-1" undecided="""#), "{}", approved.1);
    let started = events.iter().filter(|(event, _)| event == "started");
    assert!(started.clone().all(|(_, line)| line.contains("worker=t-2@")), "{events:?}");
    assert_eq!(started.count(), 3);
    // The row of the only worker that may run the step can't be read for a while.
    platform.set_policy_faults(json!({"refused": ["t-1"], "unreadable": ["t-2"]})).await;
    submit(&platform, 2, 1).await;
    platform.await_event("approved", &job(2), BOUND).await;
    platform.set_policy_faults(json!({"refused": ["t-1"]})).await;
    await_completed(&platform, 2).await;
    assert_eq!(refused_starts(&platform), [""; 0]);
}

/// Guards against jobs that wait for ever after the service was away, busy or silent, or its tickets expired.
#[yare::parameterized(
    busy = { json!({"busy": true}) },
    silent = { json!({"silent": true}) },
    useless_tickets = { json!({"valid_ms": 0}) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn steps_start_once_the_policy_service_is_back(faults: Value) {
    let mut platform = start(2).await;
    platform.set_policy_faults(faults).await;
    for number in 1..=3 {
        submit(&platform, number, 2).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(state(&platform, 1).await, "queued");
    platform.set_policy_faults(json!({})).await;
    for number in 1..=3 {
        await_completed(&platform, number).await;
    }
    // The service may end and start again, and so may the leader.
    platform.env.kill("policy");
    submit(&platform, 4, 2).await;
    let leader = platform.leader();
    platform.env.signal(&format!("entry-{leader}"), Signal::SIGKILL);
    platform.start_policy();
    platform.env.kill(&format!("entry-{leader}"));
    platform.start_entry(leader);
    platform.await_ready(1).await;
    await_completed(&platform, 4).await;
    platform.assert_run_once().await;
}
