//! What must always hold, while processes die, freeze and lose the log.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::history::violations;
use common::{ACCOUNT_KEYS, Answer, Site, eventually};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use sorrelland_web::Client;

const CHANDLER: &str = ACCOUNT_KEYS[0].1;

/// Target: urgent work starts within this time.
const URGENT_START: Duration = Duration::from_millis(2_300);

/// Target: configuration is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Leases after which the rest of a gang has stopped: the member's own and the commit point's.
const STOP_LEASES: u64 = 2;

/// Time for a renewal, a stop and the stand-in's clock, in milliseconds.
const STOP_MARGIN_MS: u64 = 1_000;

fn stop_bound_ms(site: &Site) -> u64 {
    STOP_LEASES * site.lease_ms + STOP_MARGIN_MS
}

fn gang(tasks: u32, run_ms: u64) -> Value {
    json!({ "shape": { "tasks": tasks, "accelerators": 8, "span": "region" }, "work": { "run_ms": run_ms } })
}

/// Sends a request on a task of its own.
fn send(site: &Site, at: usize, body: Value) -> tokio::task::JoinHandle<Option<Value>> {
    let client = Client::new(Duration::from_secs(15)).with_bearer(CHANDLER);
    let url = format!("http://{}/v1/requests", site.entry(at));
    tokio::spawn(async move {
        let reply = client.send(Method::POST, &url, &[], body.to_string().into()).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    })
}

async fn mint(site: &Site, at: usize) -> String {
    let minted = site.call(at, CHANDLER, Method::POST, "/v1/keys", Value::Null).await.unwrap();
    minted.body["key"].as_str().unwrap().to_owned()
}

fn home(key: &str) -> String {
    key.split('~').next().unwrap().replace("worker", "agent")
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_home_runs_key_at_most_once() {
    let mut site = Site::start(2, 2).await;
    let key = mint(&site, 1).await;
    let body = json!({ "request": "charge", "key": key, "deadline_ms": 4_000, "body": { "cost_ms": 700 } });
    let first = send(&site, 1, body.clone());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let home = home(&key);
    site.kill(&home);
    let first = first.await.unwrap().unwrap();
    assert_eq!(first["outcome"], "unknown", "{first}");
    let number: usize = home.rsplit('-').next().unwrap().parse().unwrap();
    site.start_agent(number);
    for at in [1, 2] {
        tokio::time::sleep(Duration::from_millis(800)).await;
        let again = send(&site, at, body.clone()).await.unwrap().unwrap();
        assert_eq!(again["outcome"], "unknown", "a new life cannot vouch for the key: {again}");
    }
    let runs = site.history(2).await.into_iter().filter(|event| event.what == "request").count();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_entry_job_is_adopted_and_runs_once() {
    let mut site = Site::start(2, 3).await;
    assert_eq!(site.submit(1, "reprice", gang(3, 9_000)).await.unwrap().status, 202);
    assert_eq!(site.submit(1, "queued", gang(2, 300)).await.unwrap().status, 202);
    eventually(Duration::from_secs(5), "gang runs", async || {
        site.job(2, "reprice").await["state"] == "running"
    })
    .await;
    site.kill("entry-1");
    assert_eq!(site.outcome(2, "reprice", Duration::from_secs(30)).await["outcome"], "done");
    assert_eq!(site.outcome(2, "queued", Duration::from_secs(30)).await["outcome"], "done");
    let events = site.history(3).await;
    let members = BTreeMap::from([("chandler/reprice".to_owned(), 3), ("chandler/queued".to_owned(), 2)]);
    assert_eq!(violations(&events, &members, stop_bound_ms(&site)), Vec::<String>::new());
    assert_eq!(events.iter().filter(|e| e.what == "start" && e.of == "chandler/reprice").count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_member_stops_gang_and_job_runs_again() {
    let mut site = Site::start(1, 3).await;
    site.submit(1, "match", gang(3, 2_500)).await.unwrap();
    eventually(Duration::from_secs(5), "gang runs", async || {
        site.history(3).await.iter().filter(|event| event.what == "start").count() == 3
    })
    .await;
    site.kill("agent-2");
    tokio::time::sleep(Duration::from_millis(stop_bound_ms(&site))).await;
    let running = site.history(3).await;
    let ends =
        running.iter().filter(|event| ["stopped", "lapsed", "done"].contains(&event.what.as_str())).count();
    assert_eq!(ends, 3, "every member has stopped: {running:?}");
    site.start_agent(2);
    assert_eq!(site.outcome(1, "match", Duration::from_secs(40)).await["outcome"], "done");
    let members = BTreeMap::from([("chandler/match".to_owned(), 3)]);
    assert_eq!(violations(&site.history(3).await, &members, stop_bound_ms(&site)), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_member_of_job_that_runs_once_is_unknown() {
    let mut site = Site::start(1, 2).await;
    let mut job = gang(2, 3_000);
    job["idempotent"] = json!(false);
    site.submit(1, "charge-all", job).await.unwrap();
    eventually(Duration::from_secs(5), "gang runs", async || {
        site.history(2).await.iter().filter(|event| event.what == "start").count() == 2
    })
    .await;
    site.kill("agent-1");
    let outcome = site.outcome(1, "charge-all", Duration::from_secs(90)).await;
    assert_eq!(outcome["outcome"], "unknown", "{outcome}");
    let starts = site.history(2).await.iter().filter(|event| event.what == "start").count();
    assert_eq!(starts, 2, "it is not started again");
}

#[tokio::test(flavor = "multi_thread")]
async fn pause_past_lease_never_leaves_a_part_running() {
    let site = Site::start(1, 3).await;
    site.submit(1, "match", gang(3, 4_000)).await.unwrap();
    eventually(Duration::from_secs(5), "gang runs", async || {
        site.history(3).await.iter().filter(|event| event.what == "start").count() == 3
    })
    .await;
    site.signal("agent-3", Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(3 * site.lease_ms)).await;
    site.signal("agent-3", Signal::SIGCONT);
    assert_eq!(site.outcome(1, "match", Duration::from_secs(40)).await["outcome"], "done");
    let members = BTreeMap::from([("chandler/match".to_owned(), 3)]);
    assert_eq!(violations(&site.history(3).await, &members, stop_bound_ms(&site)), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn pause_entry_past_adoption_runs_job_once() {
    let site = Site::start(2, 2).await;
    site.submit(1, "reprice", gang(2, 12_000)).await.unwrap();
    eventually(Duration::from_secs(5), "gang runs", async || {
        site.job(2, "reprice").await["state"] == "running"
    })
    .await;
    site.signal("entry-1", Signal::SIGSTOP);
    eventually(Duration::from_secs(15), "entry 2 adopts", async || {
        let jobs = site.query(2, "show jobs").await;
        jobs.body["rows"][0]["entry"].as_str().is_some_and(|entry| entry.starts_with("entry-2"))
    })
    .await;
    site.signal("entry-1", Signal::SIGCONT);
    assert_eq!(site.outcome(2, "reprice", Duration::from_secs(30)).await["outcome"], "done");
    let members = BTreeMap::from([("chandler/reprice".to_owned(), 2)]);
    let events = site.history(2).await;
    assert_eq!(violations(&events, &members, stop_bound_ms(&site)), Vec::<String>::new());
    assert_eq!(events.iter().filter(|event| event.what == "start").count(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn log_down_urgent_work_starts_and_jobs_are_refused() {
    let site = Site::start(1, 2).await;
    // A long job holds everything and has to yield.
    site.submit(1, "long", gang(2, 60_000)).await.unwrap();
    eventually(Duration::from_secs(5), "long job runs", async || {
        site.job(1, "long").await["state"] == "running"
    })
    .await;
    site.faults(&site.log(), json!({ "mode": "down" })).await;
    let queued = site.submit(1, "later", gang(1, 10)).await.unwrap();
    assert_eq!(queued.status, 503, "a job that is not on the log is not accepted: {queued:?}");
    assert!(queued.retry_after.is_some() || queued.body["retry_after_ms"].is_u64(), "{queued:?}");
    let started = Instant::now();
    let mut urgent = gang(1, 100);
    urgent["class"] = json!("urgent");
    urgent["attached"] = json!(true);
    let site = std::sync::Arc::new(site);
    let call = tokio::spawn({
        let site = site.clone();
        async move { site.submit(1, "urgent", urgent).await }
    });
    let at =
        async || site.history(2).await.into_iter().find(|e| e.what == "start" && e.of.contains("urgent"));
    eventually(Duration::from_secs(10), "urgent job starts", async || at().await.is_some()).await;
    let waited = started.elapsed();
    let answer = call.await.unwrap().unwrap();
    assert_eq!(answer.body["outcome"]["outcome"], "done", "{answer:?}");
    println!("urgent work started after {waited:?} with the log down, target {URGENT_START:?}");
    assert!(waited <= URGENT_START, "urgent work started after {waited:?}");
    let short = json!({ "idempotent": true, "body": {} });
    assert_eq!(send(&site, 1, short).await.unwrap().unwrap()["outcome"], "done");
    site.faults(&site.log(), json!({ "mode": "up" })).await;
    eventually(Duration::from_secs(10), "jobs are accepted again", async || {
        site.submit(1, "later", gang(1, 10)).await.is_some_and(|answer| answer.status < 300)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn log_loses_answers_command_stands_once() {
    let site = Site::start(2, 1).await;
    site.faults(&site.log(), json!({ "mode": "answer_lost" })).await;
    let text = "set account chandler weight 7 id weight-7";
    let answer = site.query(1, text).await;
    let result = answer.body["commands"][0]["result"].as_str().unwrap_or_default().to_owned();
    assert!(["accepted", "not_known_yet"].contains(&result.as_str()), "{answer:?}");
    let job = site.submit(1, "once", gang(1, 50)).await.unwrap();
    assert!(job.status == 202 || job.body["error_code"] == "not_known_yet", "{job:?}");
    site.faults(&site.log(), json!({ "mode": "up" })).await;
    for at in [1, 2] {
        let again = site.query(at, text).await;
        assert_eq!(again.body["commands"][0]["result"], "accepted", "{again:?}");
    }
    let history = site.query(2, "show history where id = weight-7").await;
    assert_eq!(history.body["rows"].as_array().unwrap().len(), 1, "{history:?}");
    let again = site.submit(2, "once", gang(1, 50)).await.unwrap();
    assert!(again.status < 300, "{again:?}");
    assert_eq!(site.outcome(2, "once", Duration::from_secs(20)).await["outcome"], "done");
    let starts = site.history(1).await.iter().filter(|event| event.what == "start").count();
    assert_eq!(starts, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_race_one_wins() {
    let site = std::sync::Arc::new(Site::start(2, 1).await);
    let base =
        site.query(1, "show accounts where account = chandler").await.body["rows"][0]["version"].clone();
    let racers: Vec<_> = (0..10)
        .map(|racer| {
            let (site, base) = (site.clone(), base.clone());
            tokio::spawn(async move {
                let text = format!("set account chandler weight {} base {base} id racer-{racer}", 10 + racer);
                site.query(1 + racer % 2, &text).await.body["commands"][0].clone()
            })
        })
        .collect();
    let mut accepted = Vec::new();
    for (racer, call) in racers.into_iter().enumerate() {
        let answer = call.await.unwrap();
        match answer["result"].as_str().unwrap() {
            "accepted" => accepted.push(10 + racer),
            result => assert_eq!(result, "void", "{answer}"),
        }
    }
    assert_eq!(accepted.len(), 1);
    for at in [1, 2] {
        let row = site.query(at, "show accounts where account = chandler").await.body["rows"][0].clone();
        assert_eq!(row["weight"], accepted[0], "{row}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_in_force_within_bound() {
    let site = Site::start(2, 4).await;
    let mut longest = Duration::ZERO;
    for weight in 1..=10 {
        let started = Instant::now();
        let version = site.set(&format!("set account chandler weight {weight}")).await;
        eventually(Duration::from_secs(10), "in force everywhere", async || {
            let mut whole = true;
            for at in [1, 2] {
                let force = site.query(at, &format!("show force {version}")).await;
                whole &= force.body["missing"] == json!([]) && force.body["processes"] == 6;
            }
            whole
        })
        .await;
        longest = longest.max(started.elapsed());
    }
    println!("longest time until in force on all 6 processes: {longest:?}, target {IN_FORCE:?}");
    assert!(longest <= IN_FORCE, "{longest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_ends_new_work_within_bound() {
    const REQUESTS: usize = 240;
    let site = std::sync::Arc::new(Site::start(2, 2).await);
    let load = tokio::spawn({
        let site = site.clone();
        async move {
            let mut answers = Vec::new();
            // Long enough to go on past the bound after the drain.
            for number in 0..REQUESTS {
                let body = json!({ "idempotent": true, "body": { "cost_ms": 20 } });
                answers.push(send(&site, 1 + number % 2, body));
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
            answers
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.set("drain worker worker-1").await;
    let drained = Instant::now();
    let mut done = 0;
    for answer in load.await.unwrap() {
        let answer = answer.await.unwrap().unwrap();
        done += usize::from(answer["outcome"] == "done");
    }
    assert_eq!(done, REQUESTS, "nothing in flight is cut and everything goes elsewhere");
    let last_ms =
        site.history(2).await.iter().filter(|event| event.worker == "worker-1").map(|e| e.at_ms).max();
    let now_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let drained_ms = now_ms - drained.elapsed().as_millis() as u64;
    let after_ms = last_ms.unwrap_or_default().saturating_sub(drained_ms);
    println!("last new request {after_ms} ms after the drain was accepted, target 3000 ms");
    assert!(after_ms <= 3_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancellation_wave_ends_every_job() {
    let site = Site::start(1, 1).await;
    site.submit(1, "holder", gang(1, 60_000)).await.unwrap();
    eventually(Duration::from_secs(5), "holder runs", async || {
        site.job(1, "holder").await["state"] == "running"
    })
    .await;
    for number in 0..150 {
        assert_eq!(site.submit(1, &format!("wave-{number}"), gang(1, 10)).await.unwrap().status, 202);
    }
    let asked = site.query(1, "cancel jobs where job ~ wave").await;
    assert_eq!(asked.body["matching"], 150, "{asked:?}");
    let sent = site.query(1, "cancel jobs where job ~ wave confirm 150 id wave").await;
    assert_eq!(sent.body["commands"].as_array().unwrap().len(), 150);
    eventually(Duration::from_secs(10), "all have ended", async || {
        let ended = site.query(1, "show refused where job ~ wave").await;
        ended.body["rows"].as_array().is_some_and(|rows| rows.len() == 150)
    })
    .await;
    let starts = site.history(1).await.iter().filter(|event| event.what == "start").count();
    assert_eq!(starts, 1, "not run is true");
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_log_new_entry_starts_from_snapshot() {
    let mut site = Site::start(1, 1).await;
    for weight in 1..=80 {
        let Answer { body, .. } = site.query(1, &format!("set account chandler weight {weight}")).await;
        assert_eq!(body["commands"][0]["result"], "accepted");
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site.faults(&site.log(), json!({ "mode": "up", "retain": 60 })).await;
    site.set("set account museum weight 5").await;
    site.kill("entry-1");
    site.start_entry(1);
    site.await_ready(1, 1).await;
    let row = site.query(1, "show accounts where account = chandler").await.body["rows"][0].clone();
    assert_eq!(row["weight"], 80, "{row}");
}

#[tokio::test(flavor = "multi_thread")]
async fn new_entry_without_log_takes_over_a_peers_fold() {
    let mut site = Site::start(2, 1).await;
    site.set("set account chandler weight 9").await;
    site.faults(&site.log(), json!({ "mode": "down" })).await;
    site.kill("entry-1");
    site.start_entry(1);
    site.await_ready(1, 1).await;
    let accounts = site.query(1, "show accounts where account = chandler").await;
    assert_eq!(accounts.body["rows"][0]["weight"], 9, "{accounts:?}");
    assert_eq!(accounts.body["config_age_ms"], Value::Null, "it says that the log has not confirmed it");
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_that_fails_everything_is_ejected() {
    let site = Site::start(1, 4).await;
    site.faults(&site.worker(1), json!({ "fail_everything": true })).await;
    let mut done = 0;
    for _ in 0..60 {
        let answer = send(&site, 1, json!({ "idempotent": true, "body": {} })).await.unwrap().unwrap();
        done += usize::from(answer["status"] == 200);
    }
    assert!(done >= 58, "{done} of 60 done");
    // It takes five failures in a row. Beside load the first answer of worker-1 can be slow, and one request at a time
    // then goes to the others; requests side by side reach every worker.
    eventually(Duration::from_secs(10), "worker-1 is ejected", async || {
        let sends = (0..16).map(|_| send(&site, 1, json!({ "idempotent": true, "body": {} })));
        futures::future::join_all(sends).await;
        let workers = site.query(1, "show workers where standing = ejected").await;
        workers.body["rows"][0]["worker"] == "worker-1"
    })
    .await;
}
