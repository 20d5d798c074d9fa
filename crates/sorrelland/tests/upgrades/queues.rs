//! Jobs whose queue is renamed or removed, with leaders and entries of earlier landings.

use std::fs;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};

use super::common::eventually;
use super::common::platform::{HOST, KEY, PREFIX, Platform, present_build, step};
use super::{CATCH_UP_BOUND, FINISH_BOUND, assert_rules_held, earlier_build};

const OTHER_PREFIX: &str = "/proofs/";
const JOB: &str = "00000000000000b1";

/// Duration of a subtask, which outlasts the change of the leader.
const SPEC: &str = "run_ms=8000";

fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": prefix, "service": "svc", "priority": 1, "max_attempts": 2,
        "stretch": 3.0, "full_credit_ms": 1_000})
}

/// Publishes a desired state and waits until it is in force at all entries.
async fn publish(platform: &Platform, version: u64, routes: &Value) {
    platform
        .publish_desired(&json!({"version": version, "routes": routes, "services": [{"name": "svc"}],
            "tenants": [{"name": "museum", "api_keys": [KEY]}]}))
        .await;
    let line = format!("event=desired_in_force version={version} ");
    eventually(CATCH_UP_BOUND, "the desired state is in force", async || {
        (1..=platform.entries()).all(|index| {
            let path = platform.env.dir().join(format!("entry-{index}.log"));
            fs::read_to_string(path).unwrap_or_default().contains(&line)
        })
    })
    .await;
}

/// Submits a job of two steps on the queue `proofs`, and waits until the first one runs.
async fn submit(platform: &Platform) {
    publish(platform, 2, &json!([route("orders", PREFIX), route("proofs", OTHER_PREFIX)])).await;
    let mut second = step(1);
    second["after"] = json!([0]);
    let body = json!({"task_spec": SPEC, "steps": [step(1), second]});
    let path = format!("{OTHER_PREFIX}{JOB}");
    assert_eq!(platform.call(1, Method::POST, &path, KEY, &body).await.0, 200);
    eventually(CATCH_UP_BOUND, "the first step runs", async || count(platform, "start").await == 1).await;
}

async fn count(platform: &Platform, kind: &str) -> usize {
    platform.history().await.iter().filter(|event| event.0 == kind && event.1.starts_with(JOB)).count()
}

async fn await_done(platform: &Platform, steps: usize) {
    let what = format!("{steps} steps are done");
    eventually(FINISH_BOUND + Duration::from_secs(8), &what, async || count(platform, "done").await == steps)
        .await;
}

async fn state_at(platform: &Platform, index: usize) -> String {
    let path = format!("{OTHER_PREFIX}{JOB}");
    let (status, body) = platform.call(index, Method::GET, &path, KEY, &Value::Null).await;
    body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned)
}

async fn restart_entries(platform: &mut Platform) {
    for index in 1..=platform.entries() {
        platform.env.kill(&format!("entry-{index}"));
        platform.start_entry(index);
        platform.await_ready(index).await;
    }
}

/// Guards against a job of an earlier build that is lost, since its route is removed once this build leads.
#[yare::parameterized(
    landing_8 = { "landing-8" },
    landing_9 = { "landing-9" },
    landing_10 = { "landing-10" },
    landing_12 = { "landing-12" },
    landing_13 = { "landing-13" },
    landing_14 = { "landing-14" },
    landing_16 = { "landing-16" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn job_of_an_earlier_build_outlives_its_route(landing: &str) {
    let mut platform = Platform::start_build(&earlier_build(landing), 2, 1).await;
    submit(&platform).await;
    platform.set_build(present_build());
    restart_entries(&mut platform).await;
    publish(&platform, 3, &json!([route("orders", PREFIX)])).await;
    // The next leader has only the store.
    restart_entries(&mut platform).await;
    await_done(&platform, 2).await;
    assert_rules_held(&platform).await;
}

/// Guards against a job that is ended, doubled or forgotten while an earlier build, which doesn't find its queue, leads in
/// between.
#[yare::parameterized(
    landing_8_renamed = { "landing-8", "proofs-2" },
    landing_9_renamed = { "landing-9", "proofs-2" },
    landing_10_renamed = { "landing-10", "proofs-2" },
    landing_12_renamed = { "landing-12", "proofs-2" },
    landing_13_renamed = { "landing-13", "proofs-2" },
    landing_14_renamed = { "landing-14", "proofs-2" },
    landing_16_renamed = { "landing-16", "proofs-2" },
    landing_16_swapped = { "landing-16", "orders" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn job_of_a_renamed_route_outlives_an_earlier_build_in_between(landing: &str, name: &str) {
    let mut platform = Platform::start(1, 1).await;
    submit(&platform).await;
    let other = if name == "orders" { "proofs" } else { "orders" };
    publish(&platform, 3, &json!([route(other, PREFIX), route(name, OTHER_PREFIX)])).await;
    platform.set_build(&earlier_build(landing));
    restart_entries(&mut platform).await;
    await_done(&platform, 1).await;
    // Time for the earlier build to do what it would do without the queue.
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.set_build(present_build());
    restart_entries(&mut platform).await;
    assert_eq!(state_at(&platform, 1).await, "running");
    await_done(&platform, 2).await;
    eventually(CATCH_UP_BOUND, "the job is completed", async || state_at(&platform, 1).await == "completed")
        .await;
    assert_rules_held(&platform).await;
}

/// Guards against a final "no such job" by a leader of an earlier build, which knows the queue by its name, that an entry of
/// this build passes on to the caller whose path it is.
#[yare::parameterized(
    landing_14 = { "landing-14" },
    landing_16 = { "landing-16" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn job_of_a_swapped_route_is_denied_to_no_caller_beside_an_earlier_leader(landing: &str) {
    let mut platform = Platform::start(2, 1).await;
    submit(&platform).await;
    platform.set_build(&earlier_build(landing));
    restart_entries(&mut platform).await;
    let leader = platform.leader();
    let entry = leader % 2 + 1;
    platform.env.kill(&format!("entry-{entry}"));
    platform.set_build(present_build());
    platform.start_entry_that_cannot_lead(entry).await;
    platform.await_ready(entry).await;
    publish(&platform, 3, &json!([route("proofs", PREFIX), route("orders", OTHER_PREFIX)])).await;
    assert_eq!(platform.leader(), leader);
    let path = format!("{OTHER_PREFIX}{JOB}");
    let body = json!({"task_spec": "run_ms=1", "steps": [step(1)]});
    for (method, body) in [(Method::GET, &Value::Null), (Method::POST, &body), (Method::DELETE, &Value::Null)]
    {
        let (status, answer) = platform.call(entry, method.clone(), &path, KEY, body).await;
        println!("{landing}: {method} {status} {answer}");
        assert!(matches!(status, 200 | 504), "{method} {status} {answer}");
    }
    assert_rules_held(&platform).await;
}
