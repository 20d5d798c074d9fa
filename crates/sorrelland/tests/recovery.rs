//! How long each kind of loss lasts for callers: time to the next accepted job and to the next start, on real
//! processes on loopback. Prints a row each; the bounds are the platform's.

mod common;

use std::time::{Duration, Instant};

use common::eventually;
use common::platform::{Platform, RECOVERY_BOUND, step};
use serde_json::json;

/// Bound of the platform for catching up after a loss of part of the system, or of the store.
const CATCH_UP_BOUND: Duration = Duration::from_secs(4);

/// What is lost, and how it comes back.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The planner's process, started again at once.
    PlannerRestarted,
    /// The planner's process, for good.
    PlannerGone,
    /// An entry that does not plan, started again at once.
    Entry,
    /// All agents, started again at once.
    Agents,
    /// The store, for two seconds; counted from its return.
    Store,
    /// Every process but the store and the workers, started again at once.
    Everything,
}

async fn lose(platform: &mut Platform, loss: Loss) -> Instant {
    let planner = platform.planner();
    let other = planner % platform.entries() + 1;
    let entries: Vec<usize> = (1..=platform.entries()).collect();
    let agents: Vec<usize> = (1..=platform.workers()).collect();
    let (lost_entries, lost_agents) = match loss {
        Loss::PlannerRestarted | Loss::PlannerGone => (vec![planner], Vec::new()),
        Loss::Entry => (vec![other], Vec::new()),
        Loss::Agents => (Vec::new(), agents),
        Loss::Store => (Vec::new(), Vec::new()),
        Loss::Everything => (entries, agents),
    };
    for at in &lost_entries {
        platform.site.kill(&format!("entry-{at}"));
    }
    for at in &lost_agents {
        platform.site.kill(&format!("agent-{at}"));
    }
    let lost = Instant::now();
    if matches!(loss, Loss::Store) {
        platform.store_faults(json!({"down": true})).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        platform.store_faults(json!({})).await;
        return Instant::now();
    }
    if !matches!(loss, Loss::PlannerGone) {
        for at in lost_entries {
            platform.start_entry(at);
        }
    }
    for at in lost_agents {
        platform.start_agent(at);
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
