//! Log lines and metrics that tell apart why an agent or the planner gave up a worker, with separate processes.

mod common;

use std::fs;
use std::time::Duration;

use bytes::Bytes;
use common::eventually;
use common::platform::{Platform, step};
use http::Method;
use serde_json::{Value, json};
use sorrelland_ctl::log_line::LogLine;
use sorrelland_web::Client;

const LOG_DELAY: Duration = Duration::from_secs(10);

fn announcement(sequence: u64) -> Value {
    json!({
        "service": "svc", "address": "127.0.0.9:8000", "zone": "z", "version": "v1", "state": "ready",
        "cold_remaining_ms": 0, "capacity": {"cpu": 1000, "memory_request_mb": 1024, "gpu": 0},
        "labels": ["a", "r1"], "sequence": sequence,
    })
}

/// Returns the log lines of the processes whose name begins with `name`.
fn lines(platform: &Platform, name: &str) -> Vec<LogLine> {
    let files = fs::read_dir(platform.env.dir()).unwrap().flatten().map(|entry| entry.path());
    let is_log = |path: &std::path::PathBuf| {
        let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        file.starts_with(name) && file.ends_with(".log")
    };
    let texts = files.filter(is_log).map(|path| fs::read_to_string(path).unwrap_or_default());
    texts.flat_map(|text| text.lines().filter_map(LogLine::parse).collect::<Vec<_>>()).collect()
}

/// Waits for a line with an event and these fields, and returns it.
async fn await_line(platform: &Platform, name: &str, event: &str, fields: &[(&str, &str)]) -> LogLine {
    let find = || {
        let matches = |line: &LogLine| {
            line.event() == event && fields.iter().all(|(key, value)| line.field(key) == *value)
        };
        lines(platform, name).into_iter().find(matches)
    };
    eventually(LOG_DELAY, &format!("{event} {fields:?} in the log of {name}"), async || find().is_some())
        .await;
    find().unwrap()
}

/// Returns a counter of an agent by the value of its label.
async fn counter(platform: &Platform, agent: usize, name: &str, label: &str) -> f64 {
    let url = format!("http://{}/metrics", platform.env.address(100 + agent, 9_464));
    let reply = Client::new(Duration::from_secs(2)).send(Method::GET, &url, &[], Bytes::new()).await.unwrap();
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    let value = text.lines().find(|line| line.starts_with(name) && line.contains(label));
    value.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_tell_ignored_announcements_apart() {
    let platform = Platform::start(1, 2).await;
    let adopted = await_line(&platform, "agent-1", "worker_announced", &[("worker", "w-1-1")]).await;
    assert_eq!((adopted.field("effect"), adopted.field("replaced")), ("adopted", ""));
    assert_eq!(platform.announce(1, "w-1-1", &announcement(0)).await, 200);
    let older = [("worker", "w-1-1"), ("reason", "older_sequence"), ("seq", "0")];
    let older = await_line(&platform, "agent-1", "announcement_ignored", &older).await;
    assert_eq!((older.field("current"), older.field("address")), ("w-1-1", "127.0.0.9:8000"));
    assert!(older.field("from").starts_with("127."), "{older:?}");
    let mut malformed = announcement(1);
    malformed["service"] = json!(1);
    for _ in 0..20 {
        assert_eq!(platform.announce(1, "w-9-1", &malformed).await, 400);
    }
    let skipped = await_line(&platform, "agent-1", "announcement_skipped", &[("worker", "w-9-1")]).await;
    assert_eq!(skipped.field("count"), "1");
    assert!(skipped.field("from").starts_with("127."), "{skipped:?}");
    let skipped = lines(&platform, "agent-1").into_iter().filter(|l| l.event() == "announcement_skipped");
    assert!(skipped.count() < 5, "a repeated message fills the log");
    assert!(counter(&platform, 1, "sorrelland_announcements", "\"malformed\"").await >= 20.0);
    assert!(counter(&platform, 1, "sorrelland_announcements", "\"older_sequence\"").await >= 1.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_tell_departures_apart() {
    let mut platform = Platform::start(1, 2).await;
    platform.depart(1, "w-9-1").await;
    let other = [("worker", "w-9-1"), ("is_current", "false"), ("current", "w-1-1")];
    await_line(&platform, "agent-1", "worker_left", &other).await;
    platform.env.kill("worker-2");
    platform.depart(2, "w-2-1").await;
    let own = [("worker", "w-2-1"), ("is_current", "true"), ("current", "w-2-1")];
    let own = await_line(&platform, "agent-2", "worker_left", &own).await;
    assert!(own.field("from").starts_with("127."), "{own:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_tell_replaced_worker_from_restarted_agent() {
    let mut platform = Platform::start(1, 2).await;
    let joined = [("worker", "w-1-1"), ("agent", "agent-1")];
    let joined = await_line(&platform, "entry-1", "worker_joined", &joined).await;
    let started = await_line(&platform, "agent-1", "started", &[]).await;
    assert_eq!(joined.field("agent_incarnation"), started.field("life"));

    platform.env.kill("worker-1");
    platform.start_worker(1, 2);
    let next = [("worker", "w-1-2"), ("draining", "false")];
    await_line(&platform, "agent-1", "worker_announced", &next).await;
    let ended = await_line(&platform, "agent-1", "incarnation_ended", &[("worker", "w-1-1")]).await;
    assert!(["replaced", "call"].contains(&ended.field("cause")), "{ended:?}");
    let lost = [("worker", "w-1-1"), ("agent", "agent-1"), ("replaced_by", "w-1-2")];
    let lost = await_line(&platform, "entry-1", "worker_lost", &lost).await;
    assert_eq!(lost.field("agent_incarnation"), started.field("life"));
    assert!(lost.number::<u64>("seq") > joined.number("seq"), "{lost:?}");
    assert_eq!(platform.announce(1, "w-1-1", &announcement(1_000)).await, 200);
    let late = [("worker", "w-1-1"), ("reason", "other_incarnation"), ("current", "w-1-2")];
    await_line(&platform, "agent-1", "announcement_ignored", &late).await;
    let ended = counter(&platform, 1, "sorrelland_incarnations_ended", ended.field("cause")).await;
    assert!((ended - 1.0).abs() < f64::EPSILON, "{ended}");

    platform.env.kill("agent-2");
    platform.start_agent(2);
    let restarted = await_line(&platform, "entry-1", "agent_restarted", &[("agent", "agent-2")]).await;
    assert_ne!(restarted.field("agent_incarnation"), restarted.field("known_incarnation"));
    let worker_lost = lines(&platform, "entry-1").into_iter().filter(|line| line.event() == "worker_lost");
    assert_eq!(worker_lost.map(|line| line.field("worker").to_owned()).collect::<Vec<_>>(), ["w-1-1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_reports_runs_around_restart_of_worker() {
    const JOB: &str = "0000000000000001";
    let mut platform = Platform::start(1, 1).await;
    assert_eq!(platform.submit(1, JOB, json!([step(1)]), "run_ms=1500").await, 200);
    let task = format!("{JOB}.0.0.0");
    await_line(&platform, "agent-1", "started", &[("task", &task)]).await;
    platform.env.kill("worker-1");
    platform.start_worker(1, 2);
    platform.await_state(JOB, "completed", Duration::from_secs(20)).await;
    let ended = [("task", task.as_str()), ("how", "Done")];
    await_line(&platform, "entry-1", "run_ended", &ended).await;
    let (status, text) = platform.run_runs_report(&task, &["--json"]);
    let report: Value = serde_json::from_str(&text).unwrap();
    let rows = report["runs"]["rows"].as_array().unwrap();
    let runs: Vec<_> = rows.iter().map(|row| (&row["run"], &row["worker"], &row["agent"])).collect();
    let (agent, numbers, workers) =
        (json!("agent-1"), [json!(1), json!(2)], [json!("w-1-1"), json!("w-1-2")]);
    let expected = [(&numbers[0], &workers[0], &agent), (&numbers[1], &workers[1], &agent)];
    assert_eq!((status, runs), (0, expected.to_vec()), "{text}");
    assert_eq!((&rows[1]["confirmed"], &rows[1]["why"]), (&json!(true), &json!("Done")), "{text}");
    let (_, text) = platform.run_runs_report(&task, &[]);
    for part in ["agent-1/agent", "event=incarnation_ended worker=w-1-1", "event=worker_lost worker=w-1-1"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert_eq!(platform.run_runs_report("0000000000000009.0.0.0", &[]).0, 1);
}
