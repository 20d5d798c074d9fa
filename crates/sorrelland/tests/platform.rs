//! The whole path on the users' platform, as separate processes on loopback, and what must hold while they fail.

mod common;

use std::time::{Duration, Instant};

use common::eventually;
use common::platform::{CANCEL_BOUND, KEY, PREFIX, Platform, RECOVERY_BOUND, step};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

fn job(number: u32) -> String {
    format!("{number:016x}")
}

#[tokio::test]
async fn path_serves_steps_gangs_and_bad_input() {
    let platform = Platform::start(2, 3).await;
    let mut gang = step(2);
    gang["gang_scheduled"] = json!(true);
    let mut after = step(3);
    after["after"] = json!([0]);
    assert_eq!(platform.submit(1, &job(1), json!([gang, after]), "run_ms=200").await, 200);
    // The same name is the same job, at any entry.
    assert_eq!(platform.submit(2, &job(1), json!([step(1)]), "run_ms=200").await, 200);
    platform.await_state(&job(1), "completed", Duration::from_secs(10)).await;
    let starts = platform.history().await;
    let starts = starts.iter().filter(|event| event.0 == "start" && event.1.starts_with(&job(1)));
    assert_eq!(starts.count(), 5);
    platform.assert_run_once().await;

    let get = async |path: &str, key: &str| platform.call(1, Method::GET, path, key, &Value::Null).await;
    assert_eq!(get(&format!("{PREFIX}{}", job(9)), KEY).await.0, 410);
    assert_eq!(get(&format!("{PREFIX}{}", job(1)), "other").await.0, 401);
    assert_eq!(get("/elsewhere/", KEY).await.0, 404);
    assert_eq!(get(PREFIX, KEY).await, (200, json!({"pending": 0})));
    assert_eq!(platform.submit(1, "short", json!([step(1)]), "").await, 400);
    assert_eq!(platform.submit(1, &job(2), json!([]), "").await, 400);
    let mut huge = step(1);
    huge["gpu"] = json!(1_000);
    assert_eq!(platform.submit(1, &job(3), json!([huge]), "").await, 429);
}

#[tokio::test]
async fn path_serves_callers_in_a_hurry() {
    let platform = Platform::start(2, 1).await;
    let body = json!({"task_spec": "run_ms=50", "steps": [step(1)]});
    for (at, number) in [(1, 1), (2, 2)] {
        let path = format!("{PREFIX}{}", job(number));
        let answer = platform.call_within(140, at, Method::POST, &path, KEY, &body).await;
        assert_eq!(answer.0, 200, "entry {at}");
    }
}

#[tokio::test]
async fn path_tells_ends_at_once() {
    // An end counts as known 100 ms after a worker lists it, and storing it takes a few more.
    const KNOWN_WITHIN: Duration = Duration::from_millis(100 + 50);
    let platform = Platform::start(1, 1).await;
    let mut beyond = Duration::ZERO;
    let jobs = 10;
    for number in 1..=jobs {
        // Odd lengths, so that no period of the control hides a delay.
        let length = Duration::from_millis(330 + 37 * u64::from(number));
        let began = Instant::now();
        let spec = format!("run_ms={}", length.as_millis());
        assert_eq!(platform.submit(1, &job(number), json!([step(1)]), &spec).await, 200);
        platform.await_state(&job(number), "completed", Duration::from_secs(5)).await;
        beyond += began.elapsed().saturating_sub(length);
    }
    assert!(beyond / jobs < KNOWN_WITHIN, "{:?} beyond the work", beyond / jobs);
}

#[tokio::test]
async fn path_gives_up_a_job_after_its_attempts() {
    let platform = Platform::start(1, 2).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(1)]), "fails run_ms=50").await, 200);
    platform.await_state(&job(1), "failed", Duration::from_secs(10)).await;
    let failed = platform.history().await.into_iter().filter(|event| event.0 == "failed");
    assert_eq!(failed.count(), 2);
}

#[tokio::test]
async fn cancel_stops_what_runs_within_its_bound() {
    let platform = Platform::start(2, 2).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(4)]), "run_ms=60000").await, 200);
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    let path = format!("{PREFIX}{}", job(1));
    assert_eq!(platform.call(2, Method::DELETE, &path, KEY, &Value::Null).await.0, 200);
    platform.await_state(&job(1), "cancelled", Duration::from_secs(2)).await;
    eventually(CANCEL_BOUND, "everything is stopped", async || {
        let events = platform.history().await;
        let count = |what: &str| events.iter().filter(|e| e.0 == what && e.1.starts_with(&job(1))).count();
        count("start") == count("stopped")
    })
    .await;
}

#[tokio::test]
async fn kill_planner_loses_and_doubles_nothing() {
    let mut platform = Platform::start(3, 3).await;
    for number in 1..=6 {
        platform.submit_until_accepted(&job(number), &json!([step(3)]), "run_ms=1500").await;
    }
    let planner = platform.planner();
    platform.site.kill(&format!("entry-{planner}"));
    let killed = Instant::now();
    platform.start_entry(planner);
    platform.submit_until_accepted(&job(7), &json!([step(1)]), "run_ms=100").await;
    assert!(killed.elapsed() < RECOVERY_BOUND, "accepted again after {:?}", killed.elapsed());
    for number in 1..=7 {
        platform.await_state(&job(number), "completed", Duration::from_secs(20)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn freeze_planner_is_superseded_and_orders_nothing_more() {
    let platform = Platform::start(3, 3).await;
    for number in 1..=4 {
        platform.submit_until_accepted(&job(number), &json!([step(3)]), "run_ms=2500").await;
    }
    let planner = format!("entry-{}", platform.planner());
    platform.site.signal(&planner, Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(4)).await;
    platform.site.signal(&planner, Signal::SIGCONT);
    for number in 1..=4 {
        platform.await_state(&job(number), "completed", Duration::from_secs(20)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn kill_agent_keeps_what_its_worker_runs() {
    let mut platform = Platform::start(2, 2).await;
    platform.submit_until_accepted(&job(1), &json!([step(6)]), "run_ms=3000").await;
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    for at in 1..=2 {
        platform.site.kill(&format!("agent-{at}"));
        platform.start_agent(at);
    }
    platform.await_state(&job(1), "completed", Duration::from_secs(15)).await;
    let starts = platform.history().await.into_iter();
    let starts = starts.filter(|event| event.0 == "start" && event.1.starts_with(&job(1))).count();
    assert_eq!(starts, 6, "a short absence of agents costs no work");
}

#[tokio::test]
async fn lose_worker_starts_its_work_elsewhere() {
    let mut platform = Platform::start(2, 3).await;
    platform.submit_until_accepted(&job(1), &json!([step(20)]), "run_ms=1500").await;
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    platform.site.kill("worker-1");
    platform.start_worker(1, 2);
    platform.await_state(&job(1), "completed", Duration::from_secs(20)).await;
}

#[tokio::test]
async fn store_down_refuses_nothing_falsely_and_recovers() {
    let platform = Platform::start(2, 2).await;
    platform.submit_until_accepted(&job(1), &json!([step(2)]), "run_ms=3000").await;
    platform.store_faults(json!({"down": true})).await;
    let status = platform.submit(1, &job(2), json!([step(1)]), "run_ms=100").await;
    // The job is with the planner and may be stored yet: only "unknown" is true.
    assert!(matches!(status, 504 | 0), "{status}");
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.store_faults(json!({})).await;
    platform.submit_until_accepted(&job(2), &json!([step(1)]), "run_ms=100").await;
    for number in 1..=2 {
        platform.await_state(&job(number), "completed", Duration::from_secs(15)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn lost_answers_of_the_store_double_nothing() {
    let platform = Platform::start(2, 2).await;
    platform.store_faults(json!({"lose_every": 3})).await;
    for number in 1..=5 {
        platform.submit_until_accepted(&job(number), &json!([step(2)]), "run_ms=100").await;
    }
    platform.store_faults(json!({})).await;
    for number in 1..=5 {
        platform.await_state(&job(number), "completed", Duration::from_secs(20)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn everything_killed_is_back_within_the_bound() {
    let mut platform = Platform::start(2, 2).await;
    platform.submit_until_accepted(&job(1), &json!([step(4)]), "run_ms=1000").await;
    for at in 1..=2 {
        platform.site.kill(&format!("entry-{at}"));
        platform.site.kill(&format!("agent-{at}"));
    }
    let killed = Instant::now();
    for at in 1..=2 {
        platform.start_entry(at);
        platform.start_agent(at);
    }
    platform.submit_until_accepted(&job(2), &json!([step(1)]), "run_ms=100").await;
    assert!(killed.elapsed() < RECOVERY_BOUND, "accepted again after {:?}", killed.elapsed());
    for number in 1..=2 {
        platform.await_state(&job(number), "completed", Duration::from_secs(20)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn desired_state_is_in_force_after_a_compaction() {
    let platform = Platform::start(2, 1).await;
    let url = format!("http://{}/v1/compact?topic=keyed.op", platform.store());
    let client = sorrelland_web::Client::new(Duration::from_secs(2));
    client.send(Method::POST, &url, &[], bytes::Bytes::new()).await.unwrap();
    platform.publish(5, &["key-2"]).await;
    // An older version that arrives later changes nothing.
    platform.publish(4, &[KEY]).await;
    let bound = Duration::from_secs(2);
    for at in 1..=2 {
        eventually(bound, "the new keys are in force", async || {
            platform.call(at, Method::GET, PREFIX, KEY, &Value::Null).await.0 == 401
                && platform.call(at, Method::GET, PREFIX, "key-2", &Value::Null).await.0 == 200
        })
        .await;
    }
}

#[tokio::test]
async fn desired_state_is_in_force_after_calls_went_silent() {
    let platform = Platform::start(2, 1).await;
    platform.store_faults(json!({"silent": true})).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.store_faults(json!({})).await;
    // The platform counts the store as stable after this time.
    tokio::time::sleep(Duration::from_secs(3)).await;
    platform.publish(3, &["key-2"]).await;
    for at in 1..=2 {
        eventually(Duration::from_secs(2), "the new keys are in force", async || {
            platform.call(at, Method::GET, PREFIX, KEY, &Value::Null).await.0 == 401
        })
        .await;
    }
}

#[tokio::test]
async fn sigterm_hands_the_office_over_without_a_cut_request() {
    let mut platform = Platform::start(3, 2).await;
    platform.submit_until_accepted(&job(1), &json!([step(2)]), "run_ms=1500").await;
    let planner = platform.planner();
    assert!(platform.site.stop(&format!("entry-{planner}"), Duration::from_secs(6)).await);
    let other = planner % 3 + 1;
    let begun = Instant::now();
    eventually(Duration::from_secs(3), "another entry plans", async || {
        platform.submit(other, &job(2), json!([step(1)]), "run_ms=100").await == 200
    })
    .await;
    assert!(begun.elapsed() < Duration::from_secs(3));
    for number in 1..=2 {
        eventually(Duration::from_secs(10), "job completes", async || {
            platform.state(other, &job(number)).await == "completed"
        })
        .await;
    }
    platform.assert_run_once().await;
}

/// Checks that the events come in this order among those of a job, and returns their lines.
fn assert_walk(platform: &Platform, job: &str, events: &[&str]) -> Vec<String> {
    let told = platform.events_of(job);
    let mut rest = told.iter();
    let found = events.iter().map(|event| {
        let line = rest.find(|(name, _)| name == event);
        line.unwrap_or_else(|| panic!("no {event} in its place: {told:#?}")).1.clone()
    });
    found.collect()
}

#[tokio::test]
async fn walk_from_a_refused_job_to_its_cause() {
    let platform = Platform::start(2, 2).await;
    let mut huge = step(1);
    huge["gpu"] = json!(64);
    assert_eq!(platform.submit(1, &job(1), json!([huge]), "").await, 429);
    eventually(Duration::from_secs(2), "the refusal is logged", async || {
        !platform.events_of(&job(1)).is_empty()
    })
    .await;
    let lines = assert_walk(&platform, &job(1), &["refused"]);
    assert!(lines[0].contains("needs 1 places of its shape at once, the fleet has 0"), "{}", lines[0]);
}

#[tokio::test]
async fn walk_from_a_failed_job_to_its_cause() {
    let platform = Platform::start(2, 2).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(1)]), "fails run_ms=50").await, 200);
    platform.await_state(&job(1), "failed", Duration::from_secs(10)).await;
    // The planner's own lines; those of the agents may come within the same millisecond.
    let events = ["placed", "run_ended", "placed", "run_ended", "job_ended"];
    eventually(Duration::from_secs(2), "the end is logged", async || {
        platform.events_of(&job(1)).iter().any(|(event, _)| event == "job_ended")
    })
    .await;
    let lines = assert_walk(&platform, &job(1), &events);
    assert!(lines[3].contains("how=Failed") && lines[3].contains("fails=2"), "{}", lines[3]);
    let told = platform.events_of(&job(1));
    let count = |event: &str| told.iter().filter(|(name, _)| name == event).count();
    assert_eq!((count("accepted"), count("started")), (1, 2), "{told:#?}");
}

#[tokio::test]
async fn walk_from_an_unknown_job_to_its_cause() {
    let platform = Platform::start(2, 2).await;
    platform.store_faults(json!({"down": true})).await;
    let status = platform.submit(1, &job(1), json!([step(1)]), "run_ms=50").await;
    assert!(matches!(status, 504 | 0), "{status}");
    platform.store_faults(json!({})).await;
    platform.submit_until_accepted(&job(1), &json!([step(1)]), "run_ms=50").await;
    platform.await_state(&job(1), "completed", Duration::from_secs(10)).await;
    eventually(Duration::from_secs(2), "the end is logged", async || {
        platform.events_of(&job(1)).iter().any(|(event, _)| event == "job_ended")
    })
    .await;
    let lines = assert_walk(&platform, &job(1), &["unanswered", "accepted", "job_ended"]);
    assert!(lines[0].contains("asked=Unresolved"), "{}", lines[0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_shows_from_any_entry_why_a_job_waits() {
    let platform = Platform::start(2, 1).await;
    let mut whole = step(1);
    whole["gpu"] = json!(8);
    assert_eq!(platform.submit(1, &job(1), json!([whole]), "run_ms=60000").await, 200);
    assert_eq!(platform.submit(1, &job(2), json!([whole]), "run_ms=50").await, 200);
    let mut huge = step(1);
    huge["gpu"] = json!(64);
    assert_eq!(platform.submit(1, &job(3), json!([huge]), "").await, 429);
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    for at in 1..=2 {
        let (status, text) = platform.operate(at, &["why", &job(2)]);
        assert_eq!(status, 0, "{text}");
        assert!(text.contains("workers: 1 without room"), "{text}");
        let (_, text) = platform.operate(at, &["why", &job(3)]);
        assert!(text.contains("state: refused") && text.contains("the fleet has 0"), "{text}");
        let (_, text) = platform.operate(at, &["why", &job(9)]);
        assert!(text.contains("state: unknown"), "{text}");
        let (_, text) = platform.operate(at, &["workers"]);
        assert!(text.contains("8/8") && text.contains("usable"), "{text}");
    }
    let (status, text) = platform.operate(1, &["jobs", "--json"]);
    let jobs: Value = serde_json::from_str(&text).unwrap();
    assert_eq!((status, jobs["rows"].as_array().unwrap().len()), (0, 2), "{text}");
    assert_eq!(platform.operate(1, &["accounts"]).0, 0);
    assert_eq!(platform.operate(1, &["refused"]).0, 0);
    assert_eq!(platform.operate(1, &["elsewhere"]).0, 1);
    assert_eq!(platform.operate(1, &[]).0, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_reports_the_burn_of_what_ended() {
    let platform = Platform::start(1, 1).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(1)]), "run_ms=50").await, 200);
    assert_eq!(platform.submit(1, &job(2), json!([step(1)]), "fails run_ms=50").await, 200);
    platform.await_state(&job(1), "completed", Duration::from_secs(5)).await;
    platform.await_state(&job(2), "failed", Duration::from_secs(5)).await;
    let picture = platform.site.dir().join("burn.svg");
    let (status, text) = platform.operate(1, &["burn", "--json", "--svg", &picture.display().to_string()]);
    let report: Value = serde_json::from_str(&text).unwrap();
    let row = &report["rows"][0];
    // The job of the start-up is among those that ended.
    assert_eq!((status, &row["failed"]), (0, &json!(1)), "{text}");
    let (ended, in_time) = (row["ended"].as_u64().unwrap(), row["in_time"].as_u64().unwrap());
    assert_eq!(ended - in_time, 1, "{text}");
    let burn = row["burn"].as_f64().unwrap();
    assert!((burn - 10.0 / ended as f64).abs() < 0.01, "{text}");
    let drawn = std::fs::read_to_string(picture).unwrap();
    assert!(drawn.starts_with("<svg") && drawn.contains("polyline"), "{drawn}");
}
