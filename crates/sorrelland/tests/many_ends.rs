//! More runs end on a worker during an outage of the store than the worker lists at a time. With separate processes on
//! loopback.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::eventually;
use common::platform::Platform;
use serde_json::json;

/// Subtasks of a job.
const SUBTASKS: u32 = 100;

/// Memory limit of a machine beside a worker, in kB.
const MEMORY_LIMIT_KB: u64 = 128 * 1_024;

/// What is replaced while no end can be stored.
#[derive(Clone, Copy, PartialEq)]
enum Replaced {
    Nothing,
    Agent,
    Leader,
}

fn job(number: u32) -> String {
    format!("{number:016x}")
}

/// Guards against runs that start again since their ends are beyond those that the worker lists.
#[yare::parameterized(
    one_more = { 501, 4_000, Replaced::Nothing },
    two_lists = { 1_000, 4_000, Replaced::Nothing },
    ten_lists = { 5_000, 10_000, Replaced::Nothing },
    agent_restarts = { 1_000, 4_000, Replaced::Agent },
    leader_restarts = { 1_000, 4_000, Replaced::Leader },
)]
#[test_macro(tokio::test)]
async fn store_down_runs_with_unlisted_ends_run_once(runs: u32, run_ms: u64, replaced: Replaced) {
    let mut platform = Platform::start(2, 1).await;
    let jobs = runs.div_ceil(SUBTASKS);
    for number in 0..jobs {
        let count = SUBTASKS.min(runs - number * SUBTASKS);
        let steps = json!([{"count": count, "cpu": 1, "memory_request_mb": 1, "estimate_ms": run_ms}]);
        platform.submit_until_accepted(&job(number), &steps, &format!("run_ms={run_ms}")).await;
    }
    // A start may be given up and made again, since the worker is slow while thousands arrive.
    let started = async || {
        let starts = platform.history().await.into_iter().filter(|event| event.0 == "start");
        let tasks = starts.map(|event| event.1).filter(|task| !task.contains("ff00"));
        tasks.collect::<BTreeSet<String>>().len()
    };
    eventually(Duration::from_secs(20), "all subtasks have started", async || {
        started().await == runs as usize
    })
    .await;
    platform.set_store_faults(json!({"down": true})).await;
    // Leases end if the outage lasts, so some runs may end without a result.
    let ends = async || platform.history().await.iter().filter(|event| event.0 != "start").count();
    eventually(Duration::from_secs(30), "all runs end", async || ends().await >= runs as usize).await;
    match replaced {
        Replaced::Nothing => (),
        Replaced::Agent => {
            platform.env.kill("agent-1");
            platform.start_agent(1);
        }
        Replaced::Leader => {
            let leader = platform.leader();
            platform.env.kill(&format!("entry-{leader}"));
            platform.start_entry(leader);
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.set_store_faults(json!({})).await;
    for number in 0..jobs {
        platform.await_state(&job(number), "completed", Duration::from_secs(40)).await;
    }
    platform.assert_run_once().await;
    let peak_kb = platform.env.peak_memory_kb("agent-1");
    assert!(peak_kb < MEMORY_LIMIT_KB, "the agent used {peak_kb} kB");
}
