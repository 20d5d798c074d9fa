//! End-to-end tests of requests, jobs and settings with real processes.

mod common;

use std::time::Duration;

use common::{ACCOUNT_KEYS, TestEnv, eventually};
use http::Method;
use serde_json::{Value, json};

const CHANDLER: &str = ACCOUNT_KEYS[0].1;
const MUSEUM: &str = ACCOUNT_KEYS[1].1;

#[tokio::test(flavor = "multi_thread")]
async fn path_short_request() {
    let env = TestEnv::start(2, 2).await;
    let body = json!({ "request": "r-1", "idempotent": true, "body": { "cost_ms": 3 } });
    let response = env.call(1, CHANDLER, Method::POST, "/v1/requests", body).await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body["outcome"], "done");
    assert_eq!(response.body["request"], "r-1");
    assert_eq!(response.body["answer"]["request"], "r-1");
}

#[tokio::test(flavor = "multi_thread")]
async fn path_keyed_request_runs_once() {
    let env = TestEnv::start(2, 2).await;
    let key = env.call(1, CHANDLER, Method::POST, "/v1/keys", Value::Null).await.unwrap();
    let body = json!({ "request": "order-1", "key": key.body["key"], "body": { "cost_ms": 50 } });
    let calls: Vec<_> = (0..8)
        .map(|index| {
            let client = sorrelland_web::Client::new(Duration::from_secs(5)).with_bearer(CHANDLER);
            let url = format!("http://{}/v1/requests", env.entry_address(1 + index % 2));
            let body = body.clone();
            tokio::spawn(async move { client.call::<Value>(Method::POST, &url, &body).await.unwrap() })
        })
        .collect();
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await.unwrap());
    }
    assert!(responses.iter().all(|response| response["outcome"] == "done"), "{responses:?}");
    let runs = env.history(2).await.into_iter().filter(|event| event.kind == "request").count();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn path_gang_waits_runs_and_ends() {
    let env = TestEnv::start(2, 3).await;
    let long =
        json!({ "shape": { "tasks": 3, "accelerators": 8, "span": "rack" }, "work": { "run_ms": 1_200 } });
    let first = env.submit(1, "reprice", long.clone()).await.unwrap();
    assert_eq!(first.status, 202, "{first:?}");
    eventually(Duration::from_secs(5), "first gang runs", async || {
        env.job_status(1, "reprice").await["state"] == "running"
    })
    .await;
    let second = env.submit(1, "match", long).await.unwrap();
    assert_eq!(second.body["state"], "waiting");
    assert_eq!(env.await_outcome(2, "reprice", Duration::from_secs(10)).await["outcome"], "done");
    assert_eq!(env.await_outcome(2, "match", Duration::from_secs(10)).await["outcome"], "done");
    let starts = env.history(3).await.into_iter().filter(|event| event.kind == "start").count();
    assert_eq!(starts, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn path_bad_input() {
    let env = TestEnv::start(1, 2).await;
    let request =
        async |key: &str, body: Value| env.call(1, key, Method::POST, "/v1/requests", body).await.unwrap();
    let job = async |body: Value| env.call(1, CHANDLER, Method::POST, "/v1/jobs", body).await.unwrap();
    let wide = json!({ "tasks": 1, "accelerators": 9, "span": "worker" });
    env.apply("remove account museum").await;
    let cases = [
        (request(MUSEUM, json!({ "idempotent": true, "body": 1 })).await, 404, "unknown_account"),
        (request("no-such-key", json!({ "body": 1 })).await, 401, "bad_account_key"),
        (request(CHANDLER, json!("text")).await, 400, "malformed"),
        (request(CHANDLER, json!({ "body": 1, "bodi": 2 })).await, 400, "malformed"),
        (request(CHANDLER, json!({ "body": "x".repeat(300_000) })).await, 400, "body_too_large"),
        (request(CHANDLER, json!({ "body": 1 })).await, 428, "key_required"),
        (request(CHANDLER, json!({ "body": 1, "key": "mine" })).await, 400, "bad_key"),
        (job(json!({ "name": "a/b", "shape": wide, "declared_ms": 1 })).await, 400, "bad_name"),
        (job(json!({ "name": "wide", "shape": wide, "declared_ms": 1 })).await, 422, "never_fits"),
        (
            env.call(1, CHANDLER, Method::GET, "/v1/requests", Value::Null).await.unwrap(),
            405,
            "method_not_allowed",
        ),
        (
            env.call(1, CHANDLER, Method::PUT, "/v1/jobs/x", Value::Null).await.unwrap(),
            405,
            "method_not_allowed",
        ),
        (
            env.call(1, CHANDLER, Method::POST, "/v1/query", json!({ "text": "show jobs" })).await.unwrap(),
            401,
            "bad_operator_key",
        ),
        (env.query(1, "show jbos").await, 400, "syntax"),
        (env.query(1, "set account x guarantee 40x8@region").await, 422, "never_fits"),
    ];
    for (response, status, code) in &cases {
        assert_eq!(
            (response.status, response.body["error_code"].as_str()),
            (*status, Some(*code)),
            "{response:?}"
        );
    }
    let jobs = env.query(1, "show jobs").await;
    assert_eq!(jobs.body["rows"], json!([]), "a rejected job was recorded");
    assert!(env.history(2).await.is_empty(), "a rejected request ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn path_accounts_do_not_see_each_other() {
    let env = TestEnv::start(1, 1).await;
    let shape =
        json!({ "shape": { "tasks": 1, "accelerators": 1, "span": "worker" }, "work": { "run_ms": 10 } });
    env.submit(1, "secret", shape.clone()).await.unwrap();
    let other = env.call(1, MUSEUM, Method::GET, "/v1/jobs/secret", Value::Null).await.unwrap();
    assert_eq!(other.status, 404);
    let other = env.call(1, MUSEUM, Method::DELETE, "/v1/jobs/secret", Value::Null).await.unwrap();
    assert_eq!(other.status, 404);
    let metrics = env.call(1, MUSEUM, Method::GET, "/metrics", Value::Null).await.unwrap();
    assert_eq!(metrics.status, 401);
    let mut same_name = shape;
    same_name
        .as_object_mut()
        .unwrap()
        .extend([("name".to_owned(), json!("secret")), ("declared_ms".to_owned(), json!(1))]);
    let own = env.call(1, MUSEUM, Method::POST, "/v1/jobs", same_name).await.unwrap();
    assert_eq!(own.status, 202, "job names of different accounts collide: {own:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn path_graceful_stop_completes_requests() {
    let mut env = TestEnv::start(2, 3).await;
    let body = json!({ "idempotent": true, "body": { "cost_ms": 400 } });
    let key = env.call(1, CHANDLER, Method::POST, "/v1/keys", Value::Null).await.unwrap();
    let keyed = json!({ "key": key.body["key"], "body": { "cost_ms": 400 } });
    let clients: Vec<_> = [body.clone(), keyed, body]
        .into_iter()
        .map(|body| {
            let client = sorrelland_web::Client::new(Duration::from_secs(5)).with_bearer(CHANDLER);
            let url = format!("http://{}/v1/requests", env.entry_address(1));
            tokio::spawn(async move { client.call::<Value>(Method::POST, &url, &body).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert!(env.stop("agent-1", Duration::from_secs(10)).await);
    assert!(env.stop("entry-1", Duration::from_secs(10)).await);
    for client in clients {
        let response = client.await.unwrap().unwrap();
        assert_eq!(response["outcome"], "done", "{response}");
    }
    let after =
        env.call(2, CHANDLER, Method::POST, "/v1/requests", json!({ "idempotent": true, "body": {} })).await;
    assert_eq!(after.unwrap().body["outcome"], "done", "the other entry does not serve requests");
    for name in ["agent-2", "agent-3", "entry-2"] {
        assert!(env.stop(name, Duration::from_secs(10)).await, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn path_check_settings() {
    let file = std::env::temp_dir().join(format!("sorrelland-settings-{}.ini", std::process::id()));
    std::fs::write(&file, "[daemon]\nrole = agnt\nnmae = x\n[agnet]\n").unwrap();
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_sorrellandd"))
        .arg("--check-settings")
        .arg(&file)
        .output();
    std::fs::remove_file(&file).unwrap();
    let run = run.unwrap();
    let text = String::from_utf8(run.stderr).unwrap();
    assert_eq!(run.status.code(), Some(2));
    assert!(text.contains(":2: [daemon] role:"), "{text}");
    assert!(text.contains(":3: [daemon] nmae: key is not known; did you mean \"name\"?"), "{text}");
    assert!(text.contains(":4: [agnet] : section is not known; did you mean \"agent\"?"), "{text}");
}
