//! End-to-end tests on the users' platform with separate processes on loopback, and the guarantees that hold
//! while processes fail.

mod common;

use std::time::{Duration, Instant};

use common::eventually;
use common::platform::{CANCEL_BOUND, KEY, PREFIX, Platform, RECOVERY_BOUND, step};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use sorrelland_control::calls::{EntryPool, ReportReply, call};
use sorrelland_web::Client;

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
    // Submitting a job name again, at any entry, refers to the same job.
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
async fn path_serves_short_deadlines() {
    let platform = Platform::start(2, 1).await;
    let body = json!({"task_spec": "run_ms=50", "steps": [step(1)]});
    for (index, number) in [(1, 1), (2, 2)] {
        let path = format!("{PREFIX}{}", job(number));
        let response = platform.call_within(140, index, Method::POST, &path, KEY, &body).await;
        assert_eq!(response.0, 200, "entry {index}");
    }
}

#[tokio::test]
async fn path_reports_end_within_bound() {
    // An end counts as known 100 ms after a worker lists it; storing it takes a few milliseconds more.
    const REPORT_BOUND: Duration = Duration::from_millis(100 + 50);
    let platform = Platform::start(1, 1).await;
    let mut delay = Duration::ZERO;
    let jobs = 10;
    for number in 1..=jobs {
        // Uneven run times, since a delay could be hidden by alignment with a period of the control loops.
        let run_time = Duration::from_millis(330 + 37 * u64::from(number));
        let submitted = Instant::now();
        let spec = format!("run_ms={}", run_time.as_millis());
        assert_eq!(platform.submit(1, &job(number), json!([step(1)]), &spec).await, 200);
        platform.await_state(&job(number), "completed", Duration::from_secs(5)).await;
        delay += submitted.elapsed().saturating_sub(run_time);
    }
    assert!(delay / jobs < REPORT_BOUND, "mean delay after the run time: {:?}", delay / jobs);
}

#[tokio::test]
async fn path_fails_job_after_its_attempts() {
    let platform = Platform::start(1, 2).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(1)]), "fails run_ms=50").await, 200);
    platform.await_state(&job(1), "failed", Duration::from_secs(10)).await;
    let failed = platform.history().await.into_iter().filter(|event| event.0 == "failed");
    assert_eq!(failed.count(), 2);
}

#[tokio::test]
async fn cancel_stops_runs_within_bound() {
    let platform = Platform::start(2, 2).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(4)]), "run_ms=60000").await, 200);
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    let path = format!("{PREFIX}{}", job(1));
    assert_eq!(platform.call(2, Method::DELETE, &path, KEY, &Value::Null).await.0, 200);
    platform.await_state(&job(1), "cancelled", Duration::from_secs(2)).await;
    eventually(CANCEL_BOUND, "all runs have stopped", async || {
        let events = platform.history().await;
        let count = |what: &str| events.iter().filter(|e| e.0 == what && e.1.starts_with(&job(1))).count();
        count("start") == count("stopped")
    })
    .await;
}

#[tokio::test]
async fn kill_planner_runs_every_job_once() {
    let mut platform = Platform::start(3, 3).await;
    for number in 1..=6 {
        platform.submit_until_accepted(&job(number), &json!([step(3)]), "run_ms=1500").await;
    }
    let leader = platform.leader();
    platform.env.kill(&format!("entry-{leader}"));
    let killed = Instant::now();
    platform.start_entry(leader);
    platform.submit_until_accepted(&job(7), &json!([step(1)]), "run_ms=100").await;
    assert!(killed.elapsed() < RECOVERY_BOUND, "accepted again after {:?}", killed.elapsed());
    for number in 1..=7 {
        platform.await_state(&job(number), "completed", Duration::from_secs(20)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn pause_planner_is_superseded_and_assigns_nothing_more() {
    let platform = Platform::start(3, 3).await;
    for number in 1..=4 {
        platform.submit_until_accepted(&job(number), &json!([step(3)]), "run_ms=2500").await;
    }
    let leader = format!("entry-{}", platform.leader());
    platform.env.signal(&leader, Signal::SIGSTOP);
    // Longer than `LEADER_TIMEOUT_MS`, so another entry becomes the leader.
    tokio::time::sleep(Duration::from_secs(4)).await;
    platform.env.signal(&leader, Signal::SIGCONT);
    for number in 1..=4 {
        platform.await_state(&job(number), "completed", Duration::from_secs(20)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn kill_agent_keeps_runs_of_its_worker() {
    let mut platform = Platform::start(2, 2).await;
    platform.submit_until_accepted(&job(1), &json!([step(6)]), "run_ms=3000").await;
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    for index in 1..=2 {
        platform.env.kill(&format!("agent-{index}"));
        platform.start_agent(index);
    }
    platform.await_state(&job(1), "completed", Duration::from_secs(15)).await;
    let starts = platform.history().await.into_iter();
    let starts = starts.filter(|event| event.0 == "start" && event.1.starts_with(&job(1))).count();
    assert_eq!(starts, 6, "runs were restarted after a short absence of the agents");
}

#[tokio::test]
async fn lose_worker_completes_its_job() {
    let mut platform = Platform::start(2, 3).await;
    platform.submit_until_accepted(&job(1), &json!([step(20)]), "run_ms=1500").await;
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    platform.env.kill("worker-1");
    platform.start_worker(1, 2);
    platform.await_state(&job(1), "completed", Duration::from_secs(20)).await;
}

#[tokio::test]
async fn store_down_answers_not_run_and_recovers() {
    let platform = Platform::start(2, 2).await;
    platform.submit_until_accepted(&job(1), &json!([step(2)]), "run_ms=3000").await;
    platform.set_store_faults(json!({"down": true})).await;
    let status = platform.submit(1, &job(2), json!([step(1)]), "run_ms=100").await;
    // The store has certainly rejected every append: the caller may come back, and nothing of the job may remain.
    assert_eq!(status, 503);
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.set_store_faults(json!({})).await;
    eventually(Duration::from_secs(5), "the job is known not to exist", async || {
        platform.state(1, &job(2)).await == "410"
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(platform.state(2, &job(2)).await, "410");
    let starts = platform.history().await;
    assert!(starts.iter().all(|event| !event.1.starts_with(&job(2))), "a job that was \"not run\" ran");
    platform.submit_until_accepted(&job(2), &json!([step(1)]), "run_ms=100").await;
    for number in 1..=2 {
        platform.await_state(&job(number), "completed", Duration::from_secs(15)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn store_loses_replies_jobs_run_once() {
    let platform = Platform::start(2, 2).await;
    platform.set_store_faults(json!({"lose_every": 3})).await;
    for number in 1..=5 {
        platform.submit_until_accepted(&job(number), &json!([step(2)]), "run_ms=100").await;
    }
    platform.set_store_faults(json!({})).await;
    for number in 1..=5 {
        platform.await_state(&job(number), "completed", Duration::from_secs(20)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn kill_everything_recovers_within_bound() {
    let mut platform = Platform::start(2, 2).await;
    platform.submit_until_accepted(&job(1), &json!([step(4)]), "run_ms=1000").await;
    for index in 1..=2 {
        platform.env.kill(&format!("entry-{index}"));
        platform.env.kill(&format!("agent-{index}"));
    }
    let killed = Instant::now();
    for index in 1..=2 {
        platform.start_entry(index);
        platform.start_agent(index);
    }
    platform.submit_until_accepted(&job(2), &json!([step(1)]), "run_ms=100").await;
    assert!(killed.elapsed() < RECOVERY_BOUND, "accepted again after {:?}", killed.elapsed());
    for number in 1..=2 {
        platform.await_state(&job(number), "completed", Duration::from_secs(20)).await;
    }
    platform.assert_run_once().await;
}

#[tokio::test]
async fn desired_state_is_in_force_after_compaction() {
    let platform = Platform::start(2, 1).await;
    let url = format!("http://{}/v1/compact?topic=keyed.op", platform.store_address());
    let client = sorrelland_web::Client::new(Duration::from_secs(2));
    client.send(Method::POST, &url, &[], bytes::Bytes::new()).await.unwrap();
    platform.publish(5, &["key-2"]).await;
    // An older version that arrives later must not be applied.
    platform.publish(4, &[KEY]).await;
    let bound = Duration::from_secs(2);
    for index in 1..=2 {
        eventually(bound, "the new keys are in force", async || {
            platform.call(index, Method::GET, PREFIX, KEY, &Value::Null).await.0 == 401
                && platform.call(index, Method::GET, PREFIX, "key-2", &Value::Null).await.0 == 200
        })
        .await;
    }
}

#[tokio::test]
async fn desired_state_is_in_force_after_unanswered_calls() {
    let platform = Platform::start(2, 1).await;
    platform.set_store_faults(json!({"silent": true})).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.set_store_faults(json!({})).await;
    // Time after which the platform considers the store stable.
    tokio::time::sleep(Duration::from_secs(3)).await;
    platform.publish(3, &["key-2"]).await;
    for index in 1..=2 {
        eventually(Duration::from_secs(2), "the new keys are in force", async || {
            platform.call(index, Method::GET, PREFIX, KEY, &Value::Null).await.0 == 401
        })
        .await;
    }
}

#[tokio::test]
async fn sigterm_hands_over_leadership_and_jobs_run_once() {
    let mut platform = Platform::start(3, 2).await;
    platform.submit_until_accepted(&job(1), &json!([step(2)]), "run_ms=1500").await;
    let leader = platform.leader();
    assert!(platform.env.stop(&format!("entry-{leader}"), Duration::from_secs(6)).await);
    let other = leader % 3 + 1;
    let stopped = Instant::now();
    eventually(Duration::from_secs(3), "another entry accepts a job", async || {
        platform.submit(other, &job(2), json!([step(1)]), "run_ms=100").await == 200
    })
    .await;
    assert!(stopped.elapsed() < Duration::from_secs(3));
    for number in 1..=2 {
        eventually(Duration::from_secs(10), "job completes", async || {
            platform.state(other, &job(number)).await == "completed"
        })
        .await;
    }
    platform.assert_run_once().await;
}

/// Checks that the log of a job contains these events in this order, and returns their lines.
fn assert_event_order(platform: &Platform, job: &str, events: &[&str]) -> Vec<String> {
    let logged = platform.job_events(job);
    let mut rest = logged.iter();
    let found = events.iter().map(|event| {
        let line = rest.find(|(name, _)| name == event);
        line.unwrap_or_else(|| panic!("event {event} is missing or out of order: {logged:#?}")).1.clone()
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
        platform.job_events(&job(1)).iter().any(|(event, _)| event == "refused")
    })
    .await;
    let lines = assert_event_order(&platform, &job(1), &["refused"]);
    assert!(lines[0].contains("needs 1 places of its shape at once, the fleet has 0"), "{}", lines[0]);
}

#[tokio::test]
async fn walk_from_a_failed_job_to_its_cause() {
    let platform = Platform::start(2, 2).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(1)]), "fails run_ms=50").await, 200);
    platform.await_state(&job(1), "failed", Duration::from_secs(10)).await;
    // Only events of the planner: those of the agents can have the same timestamp, in milliseconds.
    let events = ["placed", "run_ended", "placed", "run_ended", "job_ended"];
    eventually(Duration::from_secs(2), "the end is logged", async || {
        platform.job_events(&job(1)).iter().any(|(event, _)| event == "job_ended")
    })
    .await;
    let lines = assert_event_order(&platform, &job(1), &events);
    assert!(lines[3].contains("how=Failed") && lines[3].contains("fails=2"), "{}", lines[3]);
    let logged = platform.job_events(&job(1));
    let count = |event: &str| logged.iter().filter(|(name, _)| name == event).count();
    assert_eq!((count("accepted"), count("started")), (1, 2), "{logged:#?}");
}

#[tokio::test]
async fn walk_from_an_unknown_job_to_its_cause() {
    let platform = Platform::start(2, 2).await;
    platform.set_store_faults(json!({"silent": true})).await;
    let status = platform.submit(1, &job(1), json!([step(1)]), "run_ms=50").await;
    // An append without an answer contains the job, so it must not be refused.
    assert!(matches!(status, 504 | 0), "{status}");
    platform.set_store_faults(json!({})).await;
    platform.submit_until_accepted(&job(1), &json!([step(1)]), "run_ms=50").await;
    platform.await_state(&job(1), "completed", Duration::from_secs(10)).await;
    eventually(Duration::from_secs(2), "the end is logged", async || {
        platform.job_events(&job(1)).iter().any(|(event, _)| event == "job_ended")
    })
    .await;
    let lines = assert_event_order(&platform, &job(1), &["unanswered", "accepted", "job_ended"]);
    assert!(lines[0].contains("asked=Unresolved"), "{}", lines[0]);
}

#[tokio::test]
async fn walk_from_a_job_of_an_outage_to_its_cause() {
    let platform = Platform::start(2, 2).await;
    platform.set_store_faults(json!({"down": true})).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(1)]), "run_ms=50").await, 503);
    platform.set_store_faults(json!({})).await;
    platform.submit_until_accepted(&job(1), &json!([step(1)]), "run_ms=50").await;
    platform.await_state(&job(1), "completed", Duration::from_secs(10)).await;
    eventually(Duration::from_secs(2), "the end is logged", async || {
        platform.job_events(&job(1)).iter().any(|(event, _)| event == "job_ended")
    })
    .await;
    let lines = assert_event_order(&platform, &job(1), &["not_run", "accepted", "job_ended"]);
    assert!(lines[0].contains("failing_ms="), "{}", lines[0]);
    let reason = field(&lines[0], "reason");
    assert!(matches!(reason, "store_unavailable" | "withdrawn"), "{}", lines[0]);
    assert!(lines.iter().take(2).all(|line| field(line, "epoch").parse::<u64>().is_ok()), "{lines:#?}");
    let counter = "sorrelland_submissions_not_run_total";
    eventually(Duration::from_secs(5), "the counter has the reason", async || {
        has_counted(&platform, 1, counter, reason).await || has_counted(&platform, 2, counter, reason).await
    })
    .await;
}

/// Returns the value of a field of a log line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let prefix = format!("{name}=");
    let value = line.split(' ').find_map(|field| field.strip_prefix(&prefix));
    value.unwrap_or_else(|| panic!("no {name} in {line}"))
}

/// Returns whether a counter of an entry has the reason.
async fn has_counted(platform: &Platform, entry: usize, counter: &str, reason: &str) -> bool {
    let url = format!("http://{}/metrics", platform.env.address(10 + entry, 9_464));
    let client = Client::new(Duration::from_secs(2));
    let Ok(response) = client.send(Method::GET, &url, &[], Default::default()).await else { return false };
    let text = String::from_utf8(response.body.to_vec()).unwrap();
    let label = format!("reason=\"{reason}\"");
    text.lines().any(|line| line.starts_with(counter) && line.contains(&label))
}

/// Returns the newest line of an event of a job, which is logged within two seconds.
async fn await_line(platform: &Platform, job: &str, event: &str) -> String {
    let newest = || platform.job_events(job).into_iter().rfind(|(name, _)| name == event);
    eventually(Duration::from_secs(2), event, async || newest().is_some()).await;
    newest().unwrap().1
}

fn read_log(platform: &Platform, process: &str) -> String {
    std::fs::read_to_string(platform.env.dir().join(format!("{process}.log"))).unwrap()
}

// Guards against lines that don't tell which build and leader answered a cancel, and on what evidence.
#[tokio::test]
async fn walk_from_a_cancelled_job_that_ran_on_to_its_cause() {
    let platform = Platform::start(2, 2).await;
    let leader = platform.leader();
    let other = 3 - leader;
    let leader_log = read_log(&platform, &format!("entry-{leader}"));
    let taken = leader_log.lines().rfind(|line| line.contains("event=office_taken")).unwrap();
    let epoch = field(taken, "epoch").to_owned();
    let build = sorrelland_control::build::THIS.to_string();
    assert!(taken.contains(&build), "{taken}");
    for process in ["entry-1", "entry-2", "agent-1", "agent-2"] {
        let log = read_log(&platform, process);
        let started = log.lines().find(|line| line.contains("event=started role=")).unwrap();
        assert!(started.contains(&build), "{process}: {started}");
        eventually(Duration::from_secs(5), "the build of the leader is known", async || {
            let log = read_log(&platform, process);
            let is_named = |line: &str| line.contains("event=planner_known") || line.contains("_build_known");
            let newest = log.lines().rfind(|line| is_named(line) && field(line, "epoch") == epoch);
            newest.is_some_and(|line| field(line, "earlier_build") == "false")
        })
        .await;
    }

    // The cancel of an unknown job, and a submission after it.
    let call = async |index: usize, method: Method, number: u32| {
        platform.call(index, method, &format!("{PREFIX}{}", job(number)), KEY, &Value::Null).await.0
    };
    assert_eq!(call(other, Method::DELETE, 1).await, 410);
    assert_eq!(platform.submit(other, &job(1), json!([step(1)]), "run_ms=50").await, 200);
    platform.await_state(&job(1), "cancelled", Duration::from_secs(5)).await;
    let decided = await_line(&platform, &job(1), "cancel_decided").await;
    assert_eq!(["epoch", "known", "stored"].map(|key| field(&decided, key)), [&epoch, "false", "true"]);
    let address = platform.env.address(10 + leader, 7_000);
    let from_other = |line: &str, evidence: &str| {
        let expected = [evidence, &format!("entry-{leader}"), &epoch, &address, &epoch, &epoch];
        let keys = ["evidence", "leader", "epoch", "at", "arrival_epoch", "known_epoch"];
        assert_eq!(keys.map(|key| field(line, key)), expected, "{line}");
        assert!(field(line, "attempts").parse::<u32>().is_ok_and(|attempts| attempts > 0), "{line}");
    };
    from_other(&await_line(&platform, &job(1), "cancel_answered").await, "stored");
    from_other(&await_line(&platform, &job(1), "submit_answered").await, "stored");
    let before = await_line(&platform, &job(1), "cancelled_before").await;
    assert_eq!(field(&before, "epoch"), epoch);
    assert_eq!(field(&await_line(&platform, &job(1), "accepted").await, "epoch"), epoch);
    assert!(platform.job_events(&job(1)).iter().all(|(event, _)| event != "started"));

    // The cancel of a known job.
    assert_eq!(platform.submit(leader, &job(2), json!([step(1)]), "run_ms=60000").await, 200);
    platform.await_state(&job(2), "running", Duration::from_secs(5)).await;
    assert_eq!(call(leader, Method::DELETE, 2).await, 200);
    let decided = await_line(&platform, &job(2), "cancel_decided").await;
    assert_eq!(["epoch", "known", "stored"].map(|key| field(&decided, key)), [&epoch, "true", "true"]);
    let answered = await_line(&platform, &job(2), "cancel_answered").await;
    assert_eq!(["evidence", "at", "epoch"].map(|key| field(&answered, key)), ["known", "self", &epoch]);
    assert_eq!(field(&await_line(&platform, &job(2), "started").await, "token"), epoch);

    // The state of an unknown job; known ones have no line.
    assert_eq!(call(other, Method::GET, 9).await, 410);
    from_other(&await_line(&platform, &job(9), "state_answered").await, "unknown");
    assert!(platform.job_events(&job(2)).iter().all(|(event, _)| event != "state_answered"));

    eventually(Duration::from_secs(5), "the counter has the reason", async || {
        has_counted(&platform, other, "sorrelland_cancels_total", "unknown_stored").await
    })
    .await;
    eventually(Duration::from_secs(5), "the counter has the reason", async || {
        has_counted(&platform, leader, "sorrelland_cancels_total", "known").await
    })
    .await;
}

// Guards against an answer without a reply that names no leader and no evidence.
#[tokio::test]
async fn walk_from_a_cancel_without_an_answer_to_its_cause() {
    let platform = Platform::start(2, 1).await;
    let other = 3 - platform.leader();
    platform.set_store_faults(json!({"silent": true})).await;
    let path = format!("{PREFIX}{}", job(1));
    let status = platform.call_within(900, other, Method::DELETE, &path, KEY, &Value::Null).await.0;
    assert_eq!(status, 504);
    let answered = await_line(&platform, &job(1), "cancel_answered").await;
    assert_eq!(field(&answered, "evidence"), "unresolved", "{answered}");
    assert_eq!(field(&answered, "leader"), format!("entry-{}", 3 - other), "{answered}");
    eventually(Duration::from_secs(5), "the counter has the reason", async || {
        has_counted(&platform, other, "sorrelland_cancels_total", "unresolved").await
    })
    .await;
    platform.set_store_faults(json!({})).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_shows_from_any_entry_why_a_job_waits() {
    let platform = Platform::start(2, 1).await;
    let mut full_worker = step(1);
    full_worker["gpu"] = json!(8);
    assert_eq!(platform.submit(1, &job(1), json!([full_worker]), "run_ms=60000").await, 200);
    assert_eq!(platform.submit(1, &job(2), json!([full_worker]), "run_ms=50").await, 200);
    let mut huge = step(1);
    huge["gpu"] = json!(64);
    assert_eq!(platform.submit(1, &job(3), json!([huge]), "").await, 429);
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    for index in 1..=2 {
        let (status, text) = platform.run_ctl(index, &["why", &job(2)]);
        assert_eq!(status, 0, "{text}");
        assert!(text.contains("workers: 1 without room"), "{text}");
        let (_, text) = platform.run_ctl(index, &["why", &job(3)]);
        assert!(text.contains("state: refused") && text.contains("the fleet has 0"), "{text}");
        let (_, text) = platform.run_ctl(index, &["why", &job(9)]);
        assert!(text.contains("state: unknown"), "{text}");
        let (_, text) = platform.run_ctl(index, &["workers"]);
        assert!(text.contains("8/8") && text.contains("usable"), "{text}");
    }
    let (status, text) = platform.run_ctl(1, &["jobs", "--json"]);
    let jobs: Value = serde_json::from_str(&text).unwrap();
    assert_eq!((status, jobs["rows"].as_array().unwrap().len()), (0, 2), "{text}");
    assert_eq!(platform.run_ctl(1, &["accounts"]).0, 0);
    assert_eq!(platform.run_ctl(1, &["refused"]).0, 0);
    assert_eq!(platform.run_ctl(1, &["elsewhere"]).0, 1);
    assert_eq!(platform.run_ctl(1, &[]).0, 2);
}

// Guards against a question about a job that submits it, and against an entry that can't pass it on to the planner.
#[tokio::test(flavor = "multi_thread")]
async fn tool_explains_from_any_entry_where_a_job_would_go() {
    let platform = Platform::start(2, 2).await;
    // A start of the platform itself runs a job on each worker.
    let starts = async || {
        let events = platform.history().await;
        events.into_iter().filter(|event| event.0 == "start").collect::<Vec<_>>()
    };
    let before = starts().await;
    // It repeats that job until all workers are known, so the first tries may have been refused.
    let refused = || {
        let (_, text) = platform.run_ctl(1, &["refused", "--json"]);
        let view: Value = serde_json::from_str(&text).unwrap();
        let rows = view["rows"].as_array().unwrap().iter();
        rows.map(|row| row["job"].as_str().unwrap().to_owned()).collect::<Vec<_>>()
    };
    let refused_before = refused();
    let path = platform.env.dir().join("job.json");
    let file = path.display().to_string();
    let write = |gpu: u32| {
        let mut step = step(1);
        step["gpu"] = json!(gpu);
        let job = json!({"queue": "orders", "account": "museum", "steps": [step]});
        std::fs::write(&path, job.to_string()).unwrap();
    };
    for index in 1..=2 {
        write(8);
        let (status, text) = platform.run_ctl(index, &["explain", &file]);
        assert_eq!(status, 0, "{text}");
        assert!(text.contains("placed on ") && text.contains("admitted: true"), "{text}");
        write(64);
        let (status, text) = platform.run_ctl(index, &["explain", &file]);
        assert_eq!(status, 0, "{text}");
        assert!(text.contains("admitted: false") && text.contains("retry_after_ms: 60000"), "{text}");
        std::fs::write(&path, r#"{"queue": "elsewhere"}"#).unwrap();
        let (status, text) = platform.run_ctl(index, &["explain", &file]);
        assert_eq!(status, 2, "{text}");
        assert!(text.contains("unknown queue"), "{text}");
    }
    let (_, text) = platform.run_ctl(1, &["jobs", "--json"]);
    let jobs: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(jobs["rows"], json!([]), "{text}");
    assert_eq!(refused(), refused_before, "a trial counts as a refusal");
    assert_eq!(starts().await, before, "subtasks were started");
}

// Guards against figures that the planner computes but the metrics address doesn't have.
#[tokio::test]
async fn metrics_have_speeds_and_forecast_errors() {
    let platform = Platform::start(1, 3).await;
    let mut full_worker = step(3);
    full_worker["gpu"] = json!(8);
    assert_eq!(platform.submit(1, &job(1), json!([full_worker]), "run_ms=2500").await, 200);
    platform.await_state(&job(1), "completed", Duration::from_secs(10)).await;
    let url = format!("http://{}/metrics", platform.env.address(11, 9_464));
    let client = Client::new(Duration::from_secs(2));
    let (mut text, expected) = (
        String::new(),
        [
            "sorrelland_level{of=\"worker_speeds_known\"",
            "sorrelland_level{of=\"worker_speed_slowest_milli\"",
            "sorrelland_forecast_error_percent_bucket{age_ms=\"1000\"",
        ],
    );
    for _ in 0..50 {
        let response = client.send(Method::GET, &url, &[], Default::default()).await.unwrap();
        text = String::from_utf8(response.body.to_vec()).unwrap();
        if expected.iter().all(|name| text.contains(name)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("not all of {expected:?} are in {text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_reports_burn_of_ended_jobs() {
    let platform = Platform::start(1, 1).await;
    assert_eq!(platform.submit(1, &job(1), json!([step(1)]), "run_ms=50").await, 200);
    assert_eq!(platform.submit(1, &job(2), json!([step(1)]), "fails run_ms=50").await, 200);
    platform.await_state(&job(1), "completed", Duration::from_secs(5)).await;
    platform.await_state(&job(2), "failed", Duration::from_secs(5)).await;
    let chart = platform.env.dir().join("burn.svg");
    let (status, text) = platform.run_ctl(1, &["burn", "--json", "--svg", &chart.display().to_string()]);
    let report: Value = serde_json::from_str(&text).unwrap();
    let row = &report["rows"][0];
    // The job that `Platform::start` submits is among those that ended.
    assert_eq!((status, &row["failed"]), (0, &json!(1)), "{text}");
    let (ended, in_time) = (row["ended"].as_u64().unwrap(), row["in_time"].as_u64().unwrap());
    assert_eq!(ended - in_time, 1, "{text}");
    let burn = row["burn"].as_f64().unwrap();
    assert!((burn - 10.0 / ended as f64).abs() < 0.01, "{text}");
    let drawn = std::fs::read_to_string(chart).unwrap();
    assert!(drawn.starts_with("<svg") && drawn.contains("polyline"), "{drawn}");
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_reports_where_time_of_late_job_went() {
    let platform = Platform::start(2, 1).await;
    let mut full_worker = step(1);
    full_worker["gpu"] = json!(8);
    // The second job waits for the first one, far beyond three times its own run time.
    assert_eq!(platform.submit(1, &job(1), json!([full_worker]), "run_ms=6000").await, 200);
    assert_eq!(platform.submit(2, &job(2), json!([full_worker]), "run_ms=50").await, 200);
    platform.await_state(&job(2), "completed", Duration::from_secs(15)).await;
    eventually(Duration::from_secs(2), "the end is logged", async || {
        platform.job_events(&job(2)).iter().any(|(event, _)| event == "job_ended")
    })
    .await;
    let (status, text) = platform.run_late_report(&["--json"]);
    let report: Value = serde_json::from_str(&text).unwrap();
    let rows = report["late"]["rows"].as_array().unwrap();
    let late = rows.iter().find(|row| row["job"] == job(2)).unwrap_or_else(|| panic!("{text}"));
    assert_eq!((status, &late["cause"]), (0, &json!("resources")), "{text}");
    assert_eq!(late["held"], "p1:8", "{text}");
    assert!(rows.iter().all(|row| row["job"] != job(1)), "{text}");
    assert!(platform.run_late_report(&[]).1.contains("resources"), "{text}");
}

#[tokio::test]
async fn lose_worker_for_good_completes_its_job() {
    let mut platform = Platform::start(2, 3).await;
    platform.submit_until_accepted(&job(1), &json!([step(20)]), "run_ms=1500").await;
    platform.await_state(&job(1), "running", Duration::from_secs(5)).await;
    platform.env.kill("worker-1");
    platform.await_state(&job(1), "completed", Duration::from_secs(20)).await;
}

/// Sends the first report of an agent process, which names a worker of its own; returns the worker that the planner
/// assigns runs to, or `None` without a reply.
async fn report_as(pool: &EntryPool, planner: &str, process: u64) -> Option<String> {
    let report = json!({
        "agent": "agent-x", "agent_life": process, "seq": 1, "running": [], "ended": [], "gone": [],
        "first_marks": [],
        "worker": {
            "life": format!("w-{process}"), "service": "svc", "domain": "haiphong-a", "labels": ["a", "r1"],
            "capacity": {"millicores": 0, "memory_mb": 0, "accelerators": 0}, "draining": true,
            "remaining_ms": null,
        },
    });
    let report = serde_json::from_value(report).unwrap();
    let timeout = Duration::from_millis(1_200);
    match call(pool, planner, timeout, async |rpc, cx| rpc.report(cx, report).await).await {
        Ok(ReportReply::Assignments { assignments, .. }) => assignments.map(|known| known.incarnation),
        Ok(ReportReply::NotPlanner(leader)) => panic!("not the planner: {leader:?}"),
        Err(_) => None,
    }
}

#[tokio::test]
async fn report_of_earlier_agent_process_counts_only_after_it_reconnects() {
    let platform = Platform::start(2, 1).await;
    let planner = platform.env.address(10 + platform.leader(), 7_000);
    let [earlier, later] = [(); 2].map(|()| EntryPool::new(&platform.store_address()));
    // Both processes connect before the first of them reports.
    earlier.get(&planner).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(report_as(&later, &planner, 2).await.as_deref(), Some("w-2"));
    assert_eq!(report_as(&earlier, &planner, 1).await, None, "the report of an ended process counted");
    assert_eq!(report_as(&earlier, &planner, 1).await.as_deref(), Some("w-1"), "no way back after it");
}
