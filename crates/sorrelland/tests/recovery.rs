//! Recovery times after the loss of processes or of the store, as seen by callers: time to the next accepted
//! job and to its start, with real processes on loopback. Each test prints a row; the bounds are those of the
//! platform.

mod common;

use std::time::{Duration, Instant};

use common::eventually;
use common::platform::{Platform, RECOVERY_BOUND, step};
use serde_json::json;

/// Bound of the platform for recovery from the loss of a part of the system or of the store.
const CATCH_UP_BOUND: Duration = Duration::from_secs(4);

/// What is lost, and whether it is restarted.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Process of the leader, restarted immediately.
    PlannerRestarted,
    /// Process of the leader, lost permanently.
    PlannerGone,
    /// Entry that is not the leader, restarted immediately.
    Entry,
    /// All agents, restarted immediately.
    Agents,
    /// Store, unavailable for two seconds; recovery is measured from its return.
    Store,
    /// All processes except the store and the workers, restarted immediately.
    Everything,
}

/// Causes a loss and returns the time from which recovery is measured.
async fn lose(platform: &mut Platform, loss: Loss) -> Instant {
    let leader = platform.leader();
    let standby = leader % platform.entries() + 1;
    let entries: Vec<usize> = (1..=platform.entries()).collect();
    let agents: Vec<usize> = (1..=platform.workers()).collect();
    let (lost_entries, lost_agents) = match loss {
        Loss::PlannerRestarted | Loss::PlannerGone => (vec![leader], Vec::new()),
        Loss::Entry => (vec![standby], Vec::new()),
        Loss::Agents => (Vec::new(), agents),
        Loss::Store => (Vec::new(), Vec::new()),
        Loss::Everything => (entries, agents),
    };
    for index in &lost_entries {
        platform.env.kill(&format!("entry-{index}"));
    }
    for index in &lost_agents {
        platform.env.kill(&format!("agent-{index}"));
    }
    let lost = Instant::now();
    if matches!(loss, Loss::Store) {
        platform.set_store_faults(json!({"down": true})).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        platform.set_store_faults(json!({})).await;
        return Instant::now();
    }
    if !matches!(loss, Loss::PlannerGone) {
        for index in lost_entries {
            platform.start_entry(index);
        }
    }
    for index in lost_agents {
        platform.start_agent(index);
    }
    lost
}

#[yare::parameterized(
    planner_restarted = { Loss::PlannerRestarted, CATCH_UP_BOUND },
    planner_gone = { Loss::PlannerGone, CATCH_UP_BOUND },
    entry = { Loss::Entry, CATCH_UP_BOUND },
    agents = { Loss::Agents, CATCH_UP_BOUND },
    store = { Loss::Store, CATCH_UP_BOUND },
    everything = { Loss::Everything, RECOVERY_BOUND },
)]
#[test_macro(tokio::test)]
async fn lose_serves_again_within_its_bound(loss: Loss, bound: Duration) {
    let mut platform = Platform::start(3, 2).await;
    platform.submit_until_accepted("00000000000000a1", &json!([step(2)]), "run_ms=400").await;
    let lost = lose(&mut platform, loss).await;
    platform.submit_until_accepted("00000000000000a2", &json!([step(2)]), "run_ms=50").await;
    let accepted = lost.elapsed();
    eventually(Duration::from_secs(20), "the job starts", async || {
        let events = platform.history().await;
        events.iter().any(|event| event.0 == "start" && event.1.starts_with("00000000000000a2"))
    })
    .await;
    let started = lost.elapsed();
    println!(
        "{loss:?}: accepted after {} ms, started after {} ms",
        accepted.as_millis(),
        started.as_millis()
    );
    assert!(accepted < bound, "accepted after {accepted:?}, bound {bound:?}");
    assert!(started < bound, "started after {started:?}, bound {bound:?}");
    platform.await_state("00000000000000a1", "completed", Duration::from_secs(20)).await;
    platform.await_state("00000000000000a2", "completed", Duration::from_secs(20)).await;
    platform.assert_run_once().await;
}
