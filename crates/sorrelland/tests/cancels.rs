//! A cancel that is answered holds for all attempts to submit its job, also for those still on their way. With separate
//! processes on loopback.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::cancel_play::{Play, Trouble};
use common::eventually;
use common::platform::{Callers, KEY, PREFIX, Platform, step};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

/// Time from an answered cancel until none of its job's subtasks starts any more.
const CANCEL_MS: u64 = 3_000;

/// Duration of a subtask, so that the second step of a job starts after [`CANCEL_MS`].
const RUN_MS: u64 = 3_500;

fn job(number: u32) -> String {
    format!("{number:016x}")
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn two_steps() -> Value {
    let mut second = step(1);
    second["after"] = json!([0]);
    json!({"task_spec": format!("run_ms={RUN_MS}"), "steps": [step(1), second]})
}

/// Submits a job and cancels it shortly after at the same entry; returns when the cancel was answered with 200 or 410.
async fn submit_and_cancel(callers: Callers, index: usize, name: String) -> Option<(String, u64)> {
    let path = format!("{PREFIX}{name}");
    let (submitter, submitted) = (callers.clone(), path.clone());
    let submission = tokio::spawn(async move {
        submitter.call_within(3_000, index, Method::POST, &submitted, KEY, &two_steps()).await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let (status, _) = callers.call_within(3_000, index, Method::DELETE, &path, KEY, &Value::Null).await;
    let answered_at = wall_ms();
    submission.await.unwrap();
    matches!(status, 200 | 410).then_some((name, answered_at))
}

async fn late_starts(platform: &Platform, cancelled: &BTreeMap<String, u64>) -> Vec<String> {
    let is_late =
        |task: &str, at: u64| cancelled.get(&task[..16]).is_some_and(|since| at > since + CANCEL_MS);
    let starts = platform.history().await.into_iter().filter(|event| event.0 == "start");
    starts.filter(|event| is_late(&event.1, event.3)).map(|event| event.1).collect()
}

/// Guards against a submission that is accepted after the cancel that it was sent before has been answered.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_during_handovers_holds_for_submissions_on_their_way() {
    let mut platform = Platform::start(3, 3).await;
    platform.set_store_faults(json!({"slow_ms": 400})).await;
    let mut calls = Vec::new();
    let mut number = 0;
    for round in 0..6 {
        let stopped = round % 3 + 1;
        for wave in 0..10 {
            for index in (1..=3).filter(|index| *index != stopped || wave < 2) {
                number += 1;
                calls.push(tokio::spawn(submit_and_cancel(platform.callers(), index, job(number))));
            }
            if wave == 2 {
                platform.env.signal(&format!("entry-{stopped}"), Signal::SIGTERM);
            }
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        assert!(
            platform.env.stop(&format!("entry-{stopped}"), Duration::from_secs(6)).await,
            "round {round}"
        );
        platform.start_entry(stopped);
        platform.await_ready(stopped).await;
    }
    let mut cancelled = BTreeMap::new();
    for call in calls {
        cancelled.extend(call.await.unwrap());
    }
    platform.set_store_faults(json!({})).await;
    tokio::time::sleep(Duration::from_millis(2 * RUN_MS)).await;
    let late = late_starts(&platform, &cancelled).await;
    assert!(late.is_empty(), "of {} cancelled jobs {} ran on: {late:?}", cancelled.len(), late.len());
}

/// Guards against a job that runs after its cancel was answered, since the next leader doesn't know of the cancel.
#[tokio::test]
async fn cancel_of_an_unknown_job_holds_for_a_later_submission_at_the_next_leader() {
    let mut platform = Platform::start(2, 1).await;
    let path = format!("{PREFIX}{}", job(1));
    assert_eq!(platform.call(1, Method::DELETE, &path, KEY, &Value::Null).await.0, 410);
    assert_eq!(platform.state(1, &job(1)).await, "410", "a job that nobody submitted is shown");
    let leader = platform.leader();
    platform.env.kill(&format!("entry-{leader}"));
    platform.start_entry(leader);
    platform.submit_until_accepted(&job(1), &json!([step(1)]), "run_ms=100").await;
    platform.await_state(&job(1), "cancelled", Duration::from_secs(5)).await;
    assert_eq!(platform.call(1, Method::DELETE, &path, KEY, &Value::Null).await.0, 200);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(platform.history().await.iter().all(|event| !event.1.starts_with(&job(1))));
}

/// Guards against a leader that wakes and answers cancels of jobs that its successor has accepted.
#[tokio::test(flavor = "multi_thread")]
async fn pause_planner_cancels_jobs_of_its_successor() {
    let platform = Platform::start(3, 3).await;
    let leader = platform.leader();
    let other = leader % 3 + 1;
    platform.env.signal(&format!("entry-{leader}"), Signal::SIGSTOP);
    for number in 1..=6 {
        let path = format!("{PREFIX}{}", job(number));
        let deadline = std::time::Instant::now() + Duration::from_secs(8);
        while platform.call(other, Method::POST, &path, KEY, &two_steps()).await.0 != 200 {
            assert!(std::time::Instant::now() < deadline, "no other entry leads");
        }
    }
    let callers = platform.callers();
    let cancels: Vec<_> = (1..=6)
        .map(|number| {
            let callers = callers.clone();
            tokio::spawn(async move {
                let path = format!("{PREFIX}{}", job(number));
                callers.call_within(3_000, leader, Method::DELETE, &path, KEY, &Value::Null).await.0
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    platform.env.signal(&format!("entry-{leader}"), Signal::SIGCONT);
    for cancel in cancels {
        let status = cancel.await.unwrap();
        assert_ne!(status, 410, "a job that was accepted is said not to exist");
    }
}

/// Guards against a "no such job" that no store confirms, and against callers who wait for one.
#[tokio::test]
async fn store_down_refuses_cancels_of_unknown_jobs() {
    let platform = Platform::start(2, 1).await;
    platform.set_store_faults(json!({"down": true})).await;
    // Longer than the patience of the planner with a store that fails.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let _ = platform.submit(1, &job(2), json!([step(1)]), "run_ms=100").await;
    for index in 1..=2 {
        let path = format!("{PREFIX}{}", job(index as u32 + 10));
        let (status, _) = platform.call(index, Method::DELETE, &path, KEY, &Value::Null).await;
        assert!(matches!(status, 503 | 504), "entry {index}: {status}");
    }
    platform.set_store_faults(json!({})).await;
}

/// Guards against a start that an agent still sends after a cancel of which it doesn't hear, since it is suspended until the
/// leader has answered the cancel and ended.
#[tokio::test(flavor = "multi_thread")]
async fn kill_leader_after_cancel_starts_nothing_late() {
    const WORKERS: usize = 6;
    /// Longest time that a report waits at the leader, and some more, so that the agents have replies with the starts.
    const SUSPENSION: Duration = Duration::from_millis(510);
    let mut platform = Platform::start(1, WORKERS).await;
    for index in 1..=WORKERS {
        platform.set_worker_faults(index, json!({"refuse_starts": true})).await;
    }
    let mut whole = step(WORKERS as u32);
    whole["gpu"] = json!(8);
    assert_eq!(platform.submit(1, &job(1), json!([whole]), "run_ms=100").await, 200);
    eventually(Duration::from_secs(10), "every agent has sent its start", async || {
        let refused = platform.job_events(&job(1)).into_iter().filter(|(event, _)| event == "start_delayed");
        let tasks =
            refused.filter_map(|(_, line)| Some(line.split("task=").nth(1)?.split(' ').next()?.to_owned()));
        tasks.collect::<BTreeSet<_>>().len() == WORKERS
    })
    .await;
    let signal_agents = |platform: &Platform, signal: Signal| {
        (1..=WORKERS).for_each(|index| platform.env.signal(&format!("agent-{index}"), signal));
    };
    signal_agents(&platform, Signal::SIGSTOP);
    tokio::time::sleep(SUSPENSION).await;
    let path = format!("{PREFIX}{}", job(1));
    let (status, _) = platform.call(1, Method::DELETE, &path, KEY, &Value::Null).await;
    let answered_at = wall_ms();
    platform.env.kill("entry-1");
    signal_agents(&platform, Signal::SIGCONT);
    assert_eq!(status, 200);
    tokio::time::sleep(Duration::from_millis(CANCEL_MS + 10)).await;
    for index in 1..=WORKERS {
        platform.set_worker_faults(index, json!({})).await;
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let late = late_starts(&platform, &[(job(1), answered_at)].into()).await;
    assert!(late.is_empty(), "{} subtasks started late: {late:?}", late.len());
}

/// Guards against a job that runs on after its cancel was answered at another entry, while leaders end and the store is silent.
#[tokio::test(flavor = "multi_thread")]
async fn cancels_hold_while_the_leader_is_stopped_and_the_store_is_silent() {
    let (platform, record) = Play::new(48, Trouble::StopLeader, 4).run().await;
    record.assert_answers_hold();
    platform.assert_run_once().await;
}
