//! Planned hand-over of the leadership to an entry with more processor, with real processes on loopback.

mod common;

use std::fs;
use std::time::{Duration, Instant};

use common::eventually;
use common::platform::{Platform, step};
use nix::sys::signal::Signal;
use serde_json::json;

const RUNNING_JOB: &str = "00000000000000a1";
const NEXT_JOB: &str = "00000000000000a2";

/// Bound of the platform for recovery from the loss of a part of the system.
const CATCH_UP_BOUND: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn small_leader_hands_over_to_larger_entry() {
    let mut platform = Platform::start(2, 3).await;
    platform.env.kill("entry-2");
    platform.env.kill("entry-1");
    platform.start_entry_of_size(1, 0.12);
    platform.await_ready(1).await;
    platform.await_workers().await;
    platform.submit_until_accepted(RUNNING_JOB, &json!([step(2)]), "run_ms=12000").await;
    platform.await_state(RUNNING_JOB, "running", Duration::from_secs(5)).await;

    let log = platform.env.dir().join("entry-2.log");
    let taken_before = fs::read_to_string(&log).unwrap_or_default().matches("event=office_taken").count();
    platform.start_entry_of_size(2, 0.5);
    let log = platform.env.dir().join("entry-1.log");
    eventually(Duration::from_secs(15), "the small leader hands over", async || {
        fs::read_to_string(&log).is_ok_and(|log| log.contains("event=handing_over"))
    })
    .await;
    let handed_over = Instant::now();
    // The small leader accepts jobs until the larger one has claimed.
    let log = platform.env.dir().join("entry-2.log");
    eventually(CATCH_UP_BOUND, "the larger entry leads", async || {
        fs::read_to_string(&log).is_ok_and(|log| log.matches("event=office_taken").count() > taken_before)
    })
    .await;
    platform.submit_until_accepted(NEXT_JOB, &json!([step(1)]), "run_ms=10").await;
    assert!(handed_over.elapsed() < CATCH_UP_BOUND, "accepted after {:?}", handed_over.elapsed());
    let planned = fs::read_to_string(&log).unwrap();
    assert!(planned.contains(&format!("event=accepted job={NEXT_JOB} ")), "the larger entry planned the job");
    platform.await_state(RUNNING_JOB, "completed", Duration::from_secs(25)).await;
    platform.assert_run_once().await;
    let starts = platform.history().await;
    let starts = starts.iter().filter(|event| event.0 == "start" && event.1.starts_with(RUNNING_JOB));
    assert_eq!(starts.count(), 2, "the hand-over stops no run");
}

/// Guards against a time without a planner when a leader is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_leader_leads_until_another_has_claimed() {
    let platform = Platform::start(3, 2).await;
    let leader = platform.leader();
    // The others ping the leader twice a second.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    platform.env.signal(&format!("entry-{leader}"), Signal::SIGTERM);
    let other = leader % 3 + 1;
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    for job in 0..40 {
        let submitted = Instant::now();
        let status =
            platform.submit(other, &format!("{:016x}", 0xb00 + job), json!([step(1)]), "run_ms=10").await;
        assert_eq!(status, 200, "job {job} after {:?}", began.elapsed());
        slowest = slowest.max(submitted.elapsed());
    }
    eventually(CATCH_UP_BOUND, "the leader hands over", async || {
        let path = platform.env.dir().join(format!("entry-{leader}.log"));
        fs::read_to_string(path).is_ok_and(|log| log.contains("event=handed_over"))
    })
    .await;
    assert!(slowest < Duration::from_millis(1_000), "a caller waited {slowest:?}");
}

/// Guards against a leader that gives up its role to a process that doesn't run. The pause may come before the offer, during
/// it or after the claim.
#[yare::parameterized(before = { 0 }, during = { 300 }, after = { 700 })]
fn callers_are_served_if_the_larger_entry_is_paused(pause_after_ms: u64) {
    tokio::runtime::Runtime::new().unwrap().block_on(async {
        let mut platform = Platform::start(2, 2).await;
        platform.env.kill("entry-2");
        platform.env.kill("entry-1");
        platform.start_entry_of_size(1, 0.12);
        platform.await_ready(1).await;
        platform.start_entry_of_size(2, 0.5);
        platform.await_ready(2).await;
        tokio::time::sleep(Duration::from_millis(pause_after_ms)).await;
        platform.env.signal("entry-2", Signal::SIGSTOP);
        eventually(CATCH_UP_BOUND, "a job is accepted", async || {
            platform.submit(1, NEXT_JOB, json!([step(1)]), "run_ms=10").await == 200
        })
        .await;
        platform.env.signal("entry-2", Signal::SIGCONT);
        platform.await_state(NEXT_JOB, "completed", Duration::from_secs(10)).await;
        platform.assert_run_once().await;
    });
}
