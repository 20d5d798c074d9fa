//! Callers who choose the same names for their jobs don't reach each other's. With separate processes on loopback.

mod common;

use std::time::Duration;

use common::eventually;
use common::platform::{HOST, KEY, PREFIX, Platform, present_build, step};
use http::Method;
use serde_json::{Value, json};
use yare::parameterized as cases;

const OTHER_KEY: &str = "key-2";
const THIRD_KEY: &str = "key-3";
const OTHER_PREFIX: &str = "/proofs/";
const JOB: &str = "00000000000000e1";

/// Within this a desired state is in force and a new leader knows all workers.
const BOUND: Duration = Duration::from_secs(10);

fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": prefix, "service": "svc", "priority": 1, "max_attempts": 2,
        "stretch": 3.0, "full_credit_ms": 1_000})
}

fn tenant(name: &str, key: &str) -> Value {
    json!({"name": name, "api_keys": [key], "guaranteed": {"gpu": 2}})
}

fn desired(version: u64, routes: Value, tenants: Value) -> Value {
    json!({"version": version, "routes": routes, "services": [{"name": "svc"}], "tenants": tenants})
}

fn two_routes() -> Value {
    json!([route("orders", PREFIX), route("proofs", OTHER_PREFIX)])
}

fn three_tenants() -> Value {
    json!([tenant("museum", KEY), tenant("guest", OTHER_KEY), tenant("third", THIRD_KEY)])
}

/// A caller: path prefix and key.
type Caller = (&'static str, &'static str);

async fn call(platform: &Platform, method: Method, (prefix, key): Caller) -> (u16, Value) {
    call_at(platform, 1, method, (prefix, key), &Value::Null).await
}

async fn call_at(
    platform: &Platform,
    index: usize,
    method: Method,
    (prefix, key): Caller,
    body: &Value,
) -> (u16, Value) {
    platform.call(index, method, &format!("{prefix}{JOB}"), key, body).await
}

async fn submit(platform: &Platform, caller: Caller, spec: &str) -> u16 {
    let body = json!({"task_spec": spec, "steps": [step(1)]});
    call_at(platform, 1, Method::POST, caller, &body).await.0
}

async fn state(platform: &Platform, caller: Caller) -> String {
    let (status, body) = call(platform, Method::GET, caller).await;
    body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned)
}

/// Waits until the entries answer a call of the caller with `expected`, the state or the status.
async fn await_answer(platform: &Platform, caller: Caller, expected: &str) {
    let what = format!("{caller:?} gets {expected}");
    eventually(BOUND, &what, async || state(platform, caller).await == expected).await;
}

/// Publishes a desired state and waits until it is in force at all entries.
async fn publish(platform: &Platform, desired: Value) {
    platform.publish_desired(&desired).await;
    let line = format!("event=desired_in_force version={} ", desired["version"]);
    eventually(BOUND, "the desired state is in force", async || {
        (1..=platform.entries()).all(|index| {
            let path = platform.env.dir().join(format!("entry-{index}.log"));
            std::fs::read_to_string(path).unwrap_or_default().contains(&line)
        })
    })
    .await;
}

async fn start(entries: usize) -> Platform {
    let platform = Platform::start(entries, 1).await;
    publish(&platform, desired(2, two_routes(), three_tenants())).await;
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
    platform.await_workers().await;
}

async fn starts(platform: &Platform) -> usize {
    let history = platform.history().await;
    history.iter().filter(|event| event.0 == "start" && event.1.starts_with(JOB)).count()
}

const OWNER: Caller = (PREFIX, KEY);

/// Guards against a job that is told to be accepted and never runs, and whose cancel ends another caller's job of the same
/// name.
#[cases(
    other_account_and_queue = { (OTHER_PREFIX, OTHER_KEY), 0 },
    other_account = { (PREFIX, OTHER_KEY), 0 },
    other_queue = { (OTHER_PREFIX, KEY), 0 },
    after_a_takeover = { (OTHER_PREFIX, OTHER_KEY), 1 },
    between_takeovers = { (PREFIX, OTHER_KEY), 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn namesake_is_refused_and_reaches_no_other_job(other: Caller, takeovers: usize) {
    let mut platform = start(if takeovers > 0 { 2 } else { 1 }).await;
    assert_eq!(submit(&platform, OWNER, "run_ms=60000").await, 200);
    await_answer(&platform, OWNER, "running").await;
    if takeovers > 0 {
        replace_leader(&mut platform).await;
    }
    let body = json!({"task_spec": "run_ms=10", "steps": [step(1)]});
    for index in 1..=platform.entries() {
        let (status, body) = call_at(&platform, index, Method::POST, other, &body).await;
        assert_eq!(status, 429, "{body}");
    }
    for caller in [other, (PREFIX, THIRD_KEY)] {
        assert_eq!(call(&platform, Method::GET, caller).await.0, 410);
        assert_eq!(call(&platform, Method::DELETE, caller).await.0, 410);
    }
    if takeovers > 1 {
        replace_leader(&mut platform).await;
        assert_eq!(submit(&platform, other, "run_ms=10").await, 429);
        assert_eq!(call(&platform, Method::DELETE, other).await.0, 410);
    }
    // A repeat of the owner's submission is none of another job.
    assert_eq!(submit(&platform, OWNER, "run_ms=60000").await, 200);
    assert_eq!(state(&platform, OWNER).await, "running");
    assert_eq!(call(&platform, Method::DELETE, OWNER).await.0, 200);
    assert_eq!(state(&platform, OWNER).await, "cancelled");
    assert_eq!(state(&platform, other).await, "410");
    assert_eq!(submit(&platform, other, "run_ms=10").await, 429);
    assert_eq!(starts(&platform).await, 1);
}

/// Guards against an early cancel that ends the job that another caller submits under the same name later.
#[cases(
    same_leader = { false },
    next_leader = { true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn early_cancel_holds_for_its_caller_alone(is_taken_over: bool) {
    let mut platform = start(2).await;
    let other = (PREFIX, OTHER_KEY);
    assert_eq!(call(&platform, Method::DELETE, other).await.0, 410);
    if is_taken_over {
        replace_leader(&mut platform).await;
    }
    assert_eq!(submit(&platform, OWNER, "run_ms=60000").await, 200);
    await_answer(&platform, OWNER, "running").await;
    replace_leader(&mut platform).await;
    await_answer(&platform, OWNER, "running").await;
    assert_eq!(submit(&platform, other, "run_ms=10").await, 429);
    assert_eq!(call(&platform, Method::DELETE, OWNER).await.0, 200);
    assert_eq!(starts(&platform).await, 1);
}

/// Guards against an accepted job that its caller no longer reaches once the desired state has changed.
#[cases(
    key_rotated = { (PREFIX, "key-9"), two_routes(), json!([tenant("museum", "key-9"), tenant("guest", OTHER_KEY)]) },
    route_renamed = { OWNER, json!([route("orders-2", PREFIX), route("proofs", OTHER_PREFIX)]), three_tenants() },
    route_moved = { ("/moved/", KEY), json!([route("orders", "/moved/"), route("proofs", OTHER_PREFIX)]), three_tenants() },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn job_stays_reachable_for_its_caller(owner: Caller, routes: Value, tenants: Value) {
    let platform = start(2).await;
    assert_eq!(submit(&platform, OWNER, "run_ms=60000").await, 200);
    await_answer(&platform, OWNER, "running").await;
    publish(&platform, desired(3, routes, tenants)).await;
    assert_eq!(state(&platform, owner).await, "running");
    // A repeat remains one job.
    assert_eq!(submit(&platform, owner, "run_ms=60000").await, 200);
    assert_eq!(state(&platform, (owner.0, OTHER_KEY)).await, "410");
    assert_eq!(call(&platform, Method::DELETE, (owner.0, OTHER_KEY)).await.0, 410);
    assert_eq!(submit(&platform, (owner.0, OTHER_KEY), "run_ms=60000").await, 429);
    assert_eq!(state(&platform, owner).await, "running");
    assert_eq!(call(&platform, Method::DELETE, owner).await.0, 200);
    assert_eq!(starts(&platform).await, 1);
}

/// Guards against a job that is lost to its caller when its route is removed for a while.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_reachable_again_once_its_route_is_back() {
    let platform = start(2).await;
    assert_eq!(submit(&platform, OWNER, "run_ms=60000").await, 200);
    await_answer(&platform, OWNER, "running").await;
    publish(&platform, desired(3, json!([route("proofs", OTHER_PREFIX)]), three_tenants())).await;
    assert_eq!(state(&platform, OWNER).await, "404");
    assert_eq!(state(&platform, (OTHER_PREFIX, OTHER_KEY)).await, "410");
    publish(&platform, desired(4, two_routes(), three_tenants())).await;
    assert_eq!(state(&platform, OWNER).await, "running");
    assert_eq!(call(&platform, Method::DELETE, OWNER).await.0, 200);
}

/// Guards against an account that gets the jobs of one that was removed, by its key or by its names.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_a_removed_account_belong_to_no_other() {
    let platform = start(2).await;
    assert_eq!(submit(&platform, OWNER, "run_ms=60000").await, 200);
    await_answer(&platform, OWNER, "running").await;
    publish(&platform, desired(3, two_routes(), json!([tenant("guest", OTHER_KEY)]))).await;
    assert_eq!(state(&platform, OWNER).await, "401");
    assert_eq!(state(&platform, (PREFIX, OTHER_KEY)).await, "410");
    // An account that is renamed is another one, though it keeps its key.
    publish(&platform, desired(4, two_routes(), json!([tenant("museum-2", KEY)]))).await;
    assert_eq!(state(&platform, OWNER).await, "410");
    assert_eq!(submit(&platform, OWNER, "run_ms=60000").await, 429);
    publish(&platform, desired(5, two_routes(), three_tenants())).await;
    assert_eq!(state(&platform, OWNER).await, "running");
    assert_eq!(call(&platform, Method::DELETE, OWNER).await.0, 200);
}

/// Guards against a job on a public queue that a call without a key doesn't reach, or a call with another account's key does.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_a_key_reach_the_jobs_of_a_public_queue() {
    let platform = start(2).await;
    let mut public = route("orders", PREFIX);
    public["public"] = json!(true);
    let routes = json!([public, route("proofs", OTHER_PREFIX)]);
    publish(&platform, desired(3, routes, three_tenants())).await;
    let anonymous = (PREFIX, "no-such-key");
    assert_eq!(submit(&platform, OWNER, "run_ms=60000").await, 200);
    await_answer(&platform, OWNER, "running").await;
    assert_eq!(state(&platform, anonymous).await, "running");
    assert_eq!(state(&platform, (PREFIX, OTHER_KEY)).await, "410");
    assert_eq!(submit(&platform, (PREFIX, OTHER_KEY), "run_ms=10").await, 429);
    // A caller whose key is gone repeats its submission.
    assert_eq!(submit(&platform, anonymous, "run_ms=60000").await, 200);
    assert_eq!(call(&platform, Method::DELETE, anonymous).await.0, 200);
    assert_eq!(state(&platform, OWNER).await, "cancelled");
    assert_eq!(starts(&platform).await, 1);
}
