//! Accepted jobs go on whatever later desired states say of their queues. With separate processes on loopback.

mod common;

use std::time::Duration;

use common::eventually;
use common::platform::{HOST, KEY, PREFIX, Platform, present_build, step};
use http::Method;
use serde_json::{Value, json};
use sorrelland_standin::clock::wall_ms;
use yare::parameterized as cases;

const OTHER_PREFIX: &str = "/proofs/";
const THIRD_PREFIX: &str = "/third/";
const OTHER_KEY: &str = "key-2";

/// Jobs of the queues `orders` and `proofs`.
const JOBS: [(&str, &str); 2] = [(PREFIX, "00000000000000a1"), (OTHER_PREFIX, "00000000000000b1")];

/// Within this a desired state is in force, a new leader knows all workers, and a job of a few seconds has ended.
const BOUND: Duration = Duration::from_secs(15);

/// Duration of a subtask, which outlasts the change of the desired state.
const SPEC: &str = "run_ms=2500";

fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": prefix, "service": "svc", "priority": 1, "max_attempts": 2,
        "stretch": 3.0, "full_credit_ms": 1_000})
}

fn urgent(name: &str, prefix: &str) -> Value {
    with(route(name, prefix), &[("priority", json!(0))])
}

fn with(mut route: Value, fields: &[(&str, Value)]) -> Value {
    for (name, value) in fields {
        route[*name] = value.clone();
    }
    route
}

fn routes_before() -> Value {
    json!([route("orders", PREFIX), route("proofs", OTHER_PREFIX)])
}

/// Returns a desired state with these routes.
fn desired(version: u64, routes: &Value) -> Value {
    let tenants = json!([{"name": "museum", "api_keys": [KEY], "guaranteed": {"gpu": 4}},
        {"name": "guest", "api_keys": [OTHER_KEY]}]);
    let services = json!([{"name": "svc"}, {"name": "svc-2"}]);
    json!({"version": version, "routes": routes, "services": services, "tenants": tenants,
        "limits": {"header_bytes": 16_384, "body_bytes": 262_144}})
}

async fn publish(platform: &Platform, version: u64, routes: &Value) {
    publish_desired(platform, &desired(version, routes)).await;
}

/// Publishes a desired state and waits until it is in force at all entries.
async fn publish_desired(platform: &Platform, desired: &Value) {
    platform.publish_desired(desired).await;
    let line = format!("event=desired_in_force version={} ", desired["version"]);
    eventually(BOUND, "the desired state is in force", async || {
        (1..=platform.entries()).all(|index| {
            let path = platform.env.dir().join(format!("entry-{index}.log"));
            std::fs::read_to_string(path).unwrap_or_default().contains(&line)
        })
    })
    .await;
}

async fn start(routes: &Value) -> Platform {
    let platform = Platform::start(2, 2).await;
    publish(&platform, 2, routes).await;
    platform
}

async fn replace_leader(platform: &mut Platform) {
    let leader = platform.leader();
    platform.env.kill(&format!("entry-{leader}"));
    platform.set_build(present_build());
    platform.start_entry(leader);
    for index in 1..=platform.entries() {
        platform.await_ready(index).await;
    }
}

async fn submit(platform: &Platform, prefix: &str, job: &str, steps: &Value, spec: &str) -> u16 {
    let body = json!({"task_spec": spec, "steps": steps});
    platform.call(1, Method::POST, &format!("{prefix}{job}"), KEY, &body).await.0
}

/// Returns the state of a job at an entry, or the status.
async fn state_at(platform: &Platform, index: usize, prefix: &str, job: &str) -> String {
    let (status, body) =
        platform.call(index, Method::GET, &format!("{prefix}{job}"), KEY, &Value::Null).await;
    body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned)
}

async fn await_state(platform: &Platform, prefix: &str, job: &str, expected: &str) {
    for index in 1..=platform.entries() {
        let what = format!("{prefix}{job} is {expected}");
        eventually(BOUND, &what, async || state_at(platform, index, prefix, job).await == expected).await;
    }
}

/// Two steps of one subtask, one after the other.
fn two_steps() -> Value {
    let mut second = step(1);
    second["after"] = json!([0]);
    json!([step(1), second])
}

async fn count(platform: &Platform, job: &str, kind: &str) -> usize {
    platform.history().await.iter().filter(|event| event.0 == kind && event.1.starts_with(job)).count()
}

/// Waits until both steps of a job are done.
async fn await_done(platform: &Platform, job: &str) {
    let what = format!("both steps of {job} are done");
    eventually(BOUND, &what, async || count(platform, job, "done").await == 2).await;
}

async fn pending(platform: &Platform, index: usize, prefix: &str) -> Value {
    platform.call(index, Method::GET, prefix, KEY, &Value::Null).await.1["pending"].clone()
}

/// Guards against an accepted job that never goes on, or is hidden from its callers, since its queue has another name or is
/// gone.
#[cases(
    renamed = { json!([route("orders", PREFIX), route("proofs-2", OTHER_PREFIX)]), Some(OTHER_PREFIX), 0 },
    renamed_then_takeover = { json!([route("orders", PREFIX), route("proofs-2", OTHER_PREFIX)]), Some(OTHER_PREFIX), 1 },
    names_swapped = { json!([route("proofs", PREFIX), route("orders", OTHER_PREFIX)]), Some(OTHER_PREFIX), 0 },
    names_swapped_then_takeover = { json!([route("proofs", PREFIX), route("orders", OTHER_PREFIX)]), Some(OTHER_PREFIX), 1 },
    name_goes_to_another_prefix = {
        json!([route("orders", PREFIX), route("proofs", THIRD_PREFIX), route("proofs-2", OTHER_PREFIX)]),
        Some(OTHER_PREFIX), 0
    },
    moved = { json!([route("orders", PREFIX), route("proofs", THIRD_PREFIX)]), Some(THIRD_PREFIX), 1 },
    removed = { json!([route("orders", PREFIX)]), None, 0 },
    removed_then_takeover = { json!([route("orders", PREFIX)]), None, 1 },
    all_removed = { json!([]), None, 2 },
    service_changed_with_the_name = {
        json!([route("orders", PREFIX), with(route("proofs-2", OTHER_PREFIX), &[("service", json!("svc-2"))])]),
        Some(OTHER_PREFIX), 1
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn accepted_job_goes_on_under_another_desired_state(
    routes: Value,
    prefix: Option<&str>,
    takeovers: usize,
) {
    let mut platform = start(&routes_before()).await;
    for (prefix, job) in JOBS {
        assert_eq!(submit(&platform, prefix, job, &two_steps(), SPEC).await, 200);
        await_state(&platform, prefix, job, "running").await;
    }
    publish(&platform, 3, &routes).await;
    for _ in 0..takeovers {
        replace_leader(&mut platform).await;
    }
    let (_, job) = JOBS[1];
    if let Some(prefix) = prefix {
        for index in 1..=platform.entries() {
            assert_eq!(state_at(&platform, index, prefix, job).await, "running");
        }
        // A repeat remains one job.
        assert_eq!(submit(&platform, prefix, job, &two_steps(), SPEC).await, 200);
    }
    await_done(&platform, job).await;
    await_done(&platform, JOBS[0].1).await;
    if let Some(prefix) = prefix {
        await_state(&platform, prefix, job, "completed").await;
    }
    platform.await_event("job_ended", job, BOUND).await;
    platform.assert_run_once().await;
}

/// Guards against an urgent job of an account's guarantee that is taken for one of the lowest priority without its route.
#[tokio::test(flavor = "multi_thread")]
async fn guaranteed_job_of_a_removed_route_starts_in_time() {
    let before = json!([route("orders", PREFIX), urgent("urgent", OTHER_PREFIX)]);
    let platform = start(&before).await;
    let urgent_job = JOBS[1].1;
    let mut steps = two_steps();
    steps[1]["gpu"] = json!(4);
    assert_eq!(submit(&platform, OTHER_PREFIX, urgent_job, &steps, SPEC).await, 200);
    publish(&platform, 3, &json!([route("orders", PREFIX)])).await;
    // Its second step finds the workers full of less urgent work.
    let wide =
        json!([{"count": 16, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 60_000}]);
    assert_eq!(submit(&platform, PREFIX, JOBS[0].1, &wide, "run_ms=60000").await, 200);
    await_done(&platform, urgent_job).await;
    platform.await_event("preempted", JOBS[0].1, BOUND).await;
}

/// Guards against jobs that wait and are missing from the count of their queue once that has another name.
#[cases(
    renamed = { json!([route("orders", PREFIX), route("proofs-2", OTHER_PREFIX)]) },
    swapped = { json!([route("proofs", PREFIX), route("orders", OTHER_PREFIX)]) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn pending_counts_jobs_accepted_under_another_name(routes: Value) {
    let mut platform = start(&routes_before()).await;
    // Nothing of these starts within the hour.
    let first_run_ms = wall_ms() + 3_600_000;
    for job in 0..3 {
        let path = format!("{OTHER_PREFIX}00000000000000c{job}");
        let body =
            json!({"task_spec": SPEC, "steps": [step(1)], "repetitions": 1, "first_run_ms": first_run_ms});
        assert_eq!(platform.call(1, Method::POST, &path, KEY, &body).await.0, 200);
    }
    publish(&platform, 3, &routes).await;
    for index in 1..=platform.entries() {
        assert_eq!(pending(&platform, index, OTHER_PREFIX).await, json!(3));
        assert_eq!(pending(&platform, index, PREFIX).await, json!(0));
    }
    replace_leader(&mut platform).await;
    for index in 1..=platform.entries() {
        assert_eq!(pending(&platform, index, OTHER_PREFIX).await, json!(3));
    }
}

/// Guards against a job whose cancel doesn't reach it, or reaches another account's, after its queue has another name.
#[cases(
    renamed = { json!([route("orders", PREFIX), route("proofs-2", OTHER_PREFIX)]) },
    swapped = { json!([route("proofs", PREFIX), route("orders", OTHER_PREFIX)]) },
    name_goes_to_another_prefix = {
        json!([route("orders", PREFIX), route("proofs", THIRD_PREFIX), route("proofs-2", OTHER_PREFIX)])
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn cancel_reaches_the_job_of_its_path_alone(routes: Value) {
    let platform = start(&routes_before()).await;
    let (prefix, job) = JOBS[1];
    assert_eq!(submit(&platform, prefix, job, &two_steps(), "run_ms=60000").await, 200);
    await_state(&platform, prefix, job, "running").await;
    publish(&platform, 3, &routes).await;
    let path = format!("{prefix}{job}");
    for index in 1..=platform.entries() {
        let (status, _) = platform.call(index, Method::GET, &path, OTHER_KEY, &Value::Null).await;
        assert_eq!(status, 410, "another account");
        let (status, _) = platform.call(index, Method::DELETE, &path, OTHER_KEY, &Value::Null).await;
        assert_eq!(status, 410, "another account");
    }
    await_state(&platform, prefix, job, "running").await;
    assert_eq!(platform.call(2, Method::DELETE, &path, KEY, &Value::Null).await.0, 200);
    await_state(&platform, prefix, job, "cancelled").await;
    assert_eq!(count(&platform, job, "start").await, 1);
}

/// Guards against a failing subtask of a removed or renamed route that starts more often than its terms allow, or fails its
/// job before.
#[cases(
    removed = { &[json!([route("orders", PREFIX)])], 2 },
    renamed_with_more = {
        &[json!([route("orders", PREFIX), with(route("proofs-2", OTHER_PREFIX), &[("max_attempts", json!(9))])])], 2
    },
    same_route_with_more = {
        &[json!([route("orders", PREFIX), with(route("proofs", OTHER_PREFIX), &[("max_attempts", json!(4))])])], 4
    },
    same_route_with_more_then_removed = {
        &[json!([with(route("proofs", OTHER_PREFIX), &[("max_attempts", json!(4))])]), json!([])], 4
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn failing_subtask_has_the_attempts_of_its_own_route(versions: &[Value], attempts: usize) {
    let mut platform = start(&routes_before()).await;
    let (prefix, job) = JOBS[1];
    assert_eq!(submit(&platform, prefix, job, &json!([step(1)]), "run_ms=1500 fails").await, 200);
    for (version, routes) in (3..).zip(versions) {
        publish(&platform, version, routes).await;
    }
    replace_leader(&mut platform).await;
    platform.await_event("job_ended", job, Duration::from_secs(30)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(count(&platform, job, "start").await, attempts);
    let lines = platform.job_events(job);
    assert!(lines.iter().any(|(event, line)| event == "job_ended" && line.contains("outcome=Failed")));
}

/// Guards against a job that is lost as a desired state changes something beside its route.
#[cases(
    account_removed = { &[("tenants", json!([{"name": "guest", "api_keys": [OTHER_KEY]}]))], 3 },
    guarantee_removed = { &[("tenants", json!([{"name": "museum", "api_keys": [KEY]}]))], 3 },
    service_and_route_removed = {
        &[("services", json!([{"name": "svc-2"}])), ("routes", json!([]))], 3
    },
    service_removed_alone = { &[("services", json!([]))], 3 },
    capacity_enforced = { &[("services", json!([{"name": "svc", "enforces_capacity": true}]))], 3 },
    service_on_standby = { &[("services", json!([{"name": "svc", "standby": true}]))], 3 },
    limits_shrunk = { &[("limits", json!({"header_bytes": 1, "body_bytes": 1}))], 3 },
    version_jumps = { &[], 9_007_199_254_740_991 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn accepted_job_outlives_a_change_beside_its_route(changes: &[(&str, Value)], version: u64) {
    let mut platform = start(&routes_before()).await;
    let (prefix, job) = JOBS[1];
    assert_eq!(submit(&platform, prefix, job, &two_steps(), SPEC).await, 200);
    await_state(&platform, prefix, job, "running").await;
    publish_desired(&platform, &with(desired(version, &routes_before()), changes)).await;
    replace_leader(&mut platform).await;
    await_done(&platform, job).await;
    publish(&platform, version + 7, &routes_before()).await;
    await_state(&platform, prefix, job, "completed").await;
    // An older version is none, though it is written last.
    platform.publish_desired(&desired(2, &json!([]))).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    await_state(&platform, prefix, job, "completed").await;
    platform.assert_run_once().await;
}
