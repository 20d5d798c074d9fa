//! Builds of earlier landings beside the present one: entries and agents are replaced one after the other while callers
//! go on, with real processes on loopback. `.ci/build-previous` builds the landings that `.ci/previous` names.

#[path = "../common/mod.rs"]
mod common;
mod queues;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::cancel_play::{Play, Trouble};
use common::eventually;
use common::platform::{Callers, HOST, KEY, PREFIX, Platform, RECOVERY_BOUND, present_build, step};
use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;

const ENTRIES: usize = 3;
const WORKERS: usize = 3;

/// Bound of the platform for recovery from the loss of a part of the system.
const CATCH_UP_BOUND: Duration = Duration::from_secs(4);

/// Bound of the platform for the end of jobs that have room (`finish_s`).
const FINISH_BOUND: Duration = Duration::from_secs(14);

/// Time that a process gets to end after SIGTERM.
const STOP_BOUND: Duration = Duration::from_secs(6);

const SUBMIT_INTERVAL: Duration = Duration::from_millis(200);

const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which builds run side by side before the next step.
const MIXED_TIME: Duration = Duration::from_secs(2);

/// Returns the daemon of an earlier landing.
///
/// # Panics
///
/// Panics if it has not been built.
fn earlier_build(landing: &str) -> PathBuf {
    let hint = "run .ci/build-previous, which prints the folder";
    let dir = std::env::var_os("SORRELLAND_PREVIOUS");
    let build =
        PathBuf::from(dir.unwrap_or_else(|| panic!("SORRELLAND_PREVIOUS is not set; {hint}"))).join(landing);
    assert!(build.is_file(), "{} doesn't exist; {hint}", build.display());
    build
}

/// Callers that submit jobs of all kinds through all entries and follow each job to its end.
struct Load {
    stopping: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<Vec<String>>,
}

impl Load {
    fn start(callers: Callers) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let is_stopping = stopping.clone();
        let task = tokio::spawn(async move {
            let mut jobs = JoinSet::new();
            let mut number = 0;
            while !is_stopping.load(Ordering::Relaxed) {
                number += 1;
                let callers = callers.clone();
                jobs.spawn(async move { play_job(&callers, number).await.err() });
                tokio::time::sleep(SUBMIT_INTERVAL).await;
            }
            jobs.join_all().await.into_iter().flatten().collect()
        });
        Self { stopping, task }
    }

    /// Waits for the ends of all jobs and checks what their callers saw.
    async fn finish(self, platform: &Platform) {
        self.stopping.store(true, Ordering::Relaxed);
        let broken = self.task.await.unwrap();
        let dir = platform.env.dir().display();
        assert!(broken.is_empty(), "{} jobs: {broken:#?}; logs in {dir}", broken.len());
    }
}

/// Submits a job, checks that every entry knows it, and waits for its end; returns what was wrong.
async fn play_job(callers: &Callers, number: usize) -> Result<(), String> {
    let job = format!("{number:016x}");
    let path = format!("{PREFIX}{job}");
    let call = async |index: usize, method: Method, body: &Value| {
        callers.call_within(2_000, index % ENTRIES + 1, method, &path, KEY, body).await
    };
    let is_cancelled = number.is_multiple_of(4);
    let mut gang = step(2);
    gang["gang_scheduled"] = json!(true);
    let mut after = step(2);
    after["after"] = json!([0]);
    let steps = match number % 4 {
        1 => json!([step(2)]),
        2 => json!([gang]),
        3 => json!([step(1), after]),
        _ => json!([step(1)]),
    };
    let run_ms = if is_cancelled { 60_000 } else { 400 };
    let body = json!({"task_spec": format!("run_ms={run_ms}"), "steps": steps});

    let (began, mut answers) = (Instant::now(), Vec::new());
    for index in number.. {
        let status = call(index, Method::POST, &body).await.0;
        answers.push(status);
        if status == 200 {
            break;
        }
        if began.elapsed() > RECOVERY_BOUND {
            return Err(format!("{job} is not accepted: {answers:?}"));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let accepted = Instant::now();
    if is_cancelled {
        for index in number.. {
            if call(index, Method::DELETE, &Value::Null).await.0 == 200 {
                break;
            }
            if accepted.elapsed() > RECOVERY_BOUND {
                return Err(format!("{job} can't be cancelled"));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    let expected = if is_cancelled { "cancelled" } else { "completed" };
    let mut states = Vec::new();
    for index in number.. {
        let (status, body) = call(index, Method::GET, &Value::Null).await;
        let state = body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned);
        if state == "410" {
            let entry = index % ENTRIES + 1;
            return Err(format!("{job} was accepted, but entry {entry} doesn't know it; before: {states:?}"));
        }
        if state == expected {
            return Ok(());
        }
        if accepted.elapsed() > FINISH_BOUND {
            return Err(format!("{job} is not {expected} after {FINISH_BOUND:?}: {states:?}"));
        }
        states.push(state);
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Ok(())
}

/// Ends a process by SIGTERM or SIGKILL in turn.
async fn end_process(platform: &mut Platform, name: &str, index: usize) {
    match index % 2 {
        0 => platform.env.kill(name),
        _ => _ = platform.env.stop(name, STOP_BOUND).await,
    }
}

async fn replace_entries(platform: &mut Platform) {
    for index in 1..=ENTRIES {
        end_process(platform, &format!("entry-{index}"), index).await;
        platform.start_entry(index);
        platform.await_ready(index).await;
        platform.await_workers().await;
    }
}

async fn replace_agents(platform: &mut Platform) {
    for index in 1..=WORKERS {
        end_process(platform, &format!("agent-{index}"), index).await;
        platform.start_agent(index);
        platform.await_workers().await;
    }
}

/// Checks that no subtask ran twice, that every worker is used, and that no process has panicked.
async fn assert_rules_held(platform: &Platform) {
    platform.await_workers().await;
    platform.assert_run_once().await;
    for file in fs::read_dir(platform.env.dir()).unwrap().flatten() {
        let text = fs::read_to_string(file.path()).unwrap_or_default();
        assert!(!text.contains("panicked at"), "{} has a panic", file.path().display());
    }
}

#[derive(Clone, Copy, Debug)]
enum Order {
    EntriesFirst,
    AgentsFirst,
}

/// Replaces all processes of one build by those of another while callers go on.
async fn replace_all(from: &Path, to: &Path, order: Order) {
    let mut platform = Platform::start_build(from, ENTRIES, WORKERS).await;
    let load = Load::start(platform.callers());
    platform.set_build(to);
    match order {
        Order::EntriesFirst => replace_entries(&mut platform).await,
        Order::AgentsFirst => replace_agents(&mut platform).await,
    }
    tokio::time::sleep(MIXED_TIME).await;
    platform.await_workers().await;
    match order {
        Order::EntriesFirst => replace_agents(&mut platform).await,
        Order::AgentsFirst => replace_entries(&mut platform).await,
    }
    load.finish(&platform).await;
    assert_rules_held(&platform).await;
}

#[yare::parameterized(
    landing_8_entries_first = { "landing-8", Order::EntriesFirst },
    landing_8_agents_first = { "landing-8", Order::AgentsFirst },
    landing_9_entries_first = { "landing-9", Order::EntriesFirst },
    landing_9_agents_first = { "landing-9", Order::AgentsFirst },
    landing_10_entries_first = { "landing-10", Order::EntriesFirst },
    landing_10_agents_first = { "landing-10", Order::AgentsFirst },
    landing_12_entries_first = { "landing-12", Order::EntriesFirst },
    landing_12_agents_first = { "landing-12", Order::AgentsFirst },
    landing_13_entries_first = { "landing-13", Order::EntriesFirst },
    landing_13_agents_first = { "landing-13", Order::AgentsFirst },
    landing_14_entries_first = { "landing-14", Order::EntriesFirst },
    landing_16_entries_first = { "landing-16", Order::EntriesFirst },
    landing_14_agents_first = { "landing-14", Order::AgentsFirst },
    landing_16_agents_first = { "landing-16", Order::AgentsFirst },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn upgrade_loses_no_job_and_runs_none_twice(landing: &str, order: Order) {
    replace_all(&earlier_build(landing), present_build(), order).await;
}

#[yare::parameterized(
    landing_8_entries_first = { "landing-8", Order::EntriesFirst },
    landing_8_agents_first = { "landing-8", Order::AgentsFirst },
    landing_9_entries_first = { "landing-9", Order::EntriesFirst },
    landing_9_agents_first = { "landing-9", Order::AgentsFirst },
    landing_10_entries_first = { "landing-10", Order::EntriesFirst },
    landing_10_agents_first = { "landing-10", Order::AgentsFirst },
    landing_12_entries_first = { "landing-12", Order::EntriesFirst },
    landing_12_agents_first = { "landing-12", Order::AgentsFirst },
    landing_13_entries_first = { "landing-13", Order::EntriesFirst },
    landing_13_agents_first = { "landing-13", Order::AgentsFirst },
    landing_14_entries_first = { "landing-14", Order::EntriesFirst },
    landing_16_entries_first = { "landing-16", Order::EntriesFirst },
    landing_14_agents_first = { "landing-14", Order::AgentsFirst },
    landing_16_agents_first = { "landing-16", Order::AgentsFirst },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn rollback_loses_no_job_and_runs_none_twice(landing: &str, order: Order) {
    replace_all(present_build(), &earlier_build(landing), order).await;
}

/// Returns the entry that took the leadership last.
fn newest_leader(platform: &Platform) -> usize {
    let epoch = |index: usize| -> u64 {
        let log =
            fs::read_to_string(platform.env.dir().join(format!("entry-{index}.log"))).unwrap_or_default();
        let taken = log.lines().filter_map(|line| line.split("event=office_taken epoch=").nth(1));
        let epochs = taken.filter_map(|rest| rest.split_whitespace().next());
        epochs.map(|epoch| epoch.parse().unwrap()).max().unwrap_or(0)
    };
    (1..=ENTRIES).max_by_key(|index| epoch(*index)).unwrap()
}

/// Ends entries of both builds in turn, of which the other entries are of the other build only: entries of this build take
/// the leadership from one of an earlier build, and keep it until they end.
#[yare::parameterized(
    landing_8 = { "landing-8" },
    landing_9 = { "landing-9" },
    landing_10 = { "landing-10" },
    landing_12 = { "landing-12" },
    landing_13 = { "landing-13" },
    landing_14 = { "landing-14" },
    landing_16 = { "landing-16" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn leadership_passes_between_builds_within_bound(landing: &str) {
    let builds = [present_build().to_owned(), earlier_build(landing)];
    let mut platform = Platform::start_build(&builds[1], ENTRIES, WORKERS).await;
    platform.set_build(&builds[0]);
    platform.env.kill("agent-1");
    platform.start_agent(1);
    let load = Load::start(platform.callers());
    for round in 0..4 {
        // The leader is of one build; both others are of the other.
        let leader = newest_leader(&platform);
        let supersedes = round % 2 == 0;
        platform.set_build(&builds[round % 2]);
        for index in (1..=ENTRIES).filter(|index| *index != leader) {
            platform.env.kill(&format!("entry-{index}"));
            platform.start_entry(index);
            platform.await_ready(index).await;
        }
        if supersedes {
            eventually(CATCH_UP_BOUND, "an entry of this build leads", async || {
                newest_leader(&platform) != leader
            })
            .await;
        } else {
            assert_eq!(newest_leader(&platform), leader, "round {round}: the leader has changed");
        }
        let ended = Instant::now();
        match round {
            0 | 3 => {
                assert!(platform.env.stop(&format!("entry-{leader}"), STOP_BOUND).await, "round {round}")
            }
            _ => platform.env.kill(&format!("entry-{leader}")),
        }
        let other = leader % ENTRIES + 1;
        let job = format!("{:016x}", 0xe000 + round);
        eventually(CATCH_UP_BOUND, "an entry of the other build accepts a job", async || {
            platform.submit(other, &job, json!([step(1)]), "run_ms=10").await == 200
        })
        .await;
        if matches!(landing, "landing-10" | "landing-12" | "landing-13" | "landing-14") && round == 3 {
            assert!(count_events(&platform, leader, "handed_over") > 0, "round {round}: no hand-over");
        }
        println!("{landing} round {round}: accepted after {} ms", ended.elapsed().as_millis());
        platform.start_entry(leader);
        platform.await_ready(leader).await;
        platform.await_workers().await;
    }
    load.finish(&platform).await;
    assert_rules_held(&platform).await;
}

fn count_events(platform: &Platform, index: usize, event: &str) -> usize {
    let log = fs::read_to_string(platform.env.dir().join(format!("entry-{index}.log"))).unwrap_or_default();
    log.matches(&format!("event={event} ")).count()
}

/// Starts two small entries of a build; returns the platform and the leader.
async fn start_small_entries(build: &Path) -> (Platform, usize) {
    let mut platform = Platform::start_build(build, ENTRIES, WORKERS).await;
    for index in 1..=ENTRIES {
        platform.env.kill(&format!("entry-{index}"));
    }
    for index in 1..ENTRIES {
        platform.start_entry_of_size(index, 0.12);
        platform.await_ready(index).await;
    }
    platform.await_workers().await;
    let leader = newest_leader(&platform);
    (platform, leader)
}

/// A larger entry of this build takes the role of a small leader of an earlier build.
#[yare::parameterized(
    from_landing_8 = { "landing-8" },
    from_landing_9 = { "landing-9" },
    from_landing_10 = { "landing-10" },
    from_landing_12 = { "landing-12" },
    from_landing_13 = { "landing-13" },
    from_landing_14 = { "landing-14" },
    from_landing_16 = { "landing-16" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn small_leader_passes_role_to_larger_entry_of_other_build(landing: &str) {
    let (mut platform, small) = start_small_entries(&earlier_build(landing)).await;
    let ended_before = count_events(&platform, small, "office_ended");
    let led_before = count_events(&platform, ENTRIES, "office_taken");
    let load = Load::start(platform.callers());
    platform.set_build(present_build());
    platform.start_entry_of_size(ENTRIES, 0.5);
    eventually(RECOVERY_BOUND, "the larger entry leads", async || {
        count_events(&platform, ENTRIES, "office_taken") > led_before
    })
    .await;
    platform.await_workers().await;
    let has_ended = count_events(&platform, small, "office_ended") > ended_before;
    assert!(has_ended, "the leader did not pass its role");
    load.finish(&platform).await;
    assert_rules_held(&platform).await;
}

/// Guards against a leadership that goes to and fro, as entries of this build would take it back from an earlier build.
#[yare::parameterized(
    to_landing_10 = { "landing-10" },
    to_landing_12 = { "landing-12" },
    to_landing_13 = { "landing-13" },
    to_landing_14 = { "landing-14" },
    to_landing_16 = { "landing-16" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn small_leader_keeps_role_beside_larger_entry_of_earlier_build(landing: &str) {
    let (mut platform, small) = start_small_entries(present_build()).await;
    let load = Load::start(platform.callers());
    platform.set_build(&earlier_build(landing));
    platform.start_entry_of_size(ENTRIES, 0.5);
    platform.await_ready(ENTRIES).await;
    platform.await_workers().await;
    // Longer than a leader waits before it passes its role to a larger entry.
    tokio::time::sleep(CATCH_UP_BOUND).await;
    assert_eq!(newest_leader(&platform), small);
    assert_eq!(count_events(&platform, small, "handing_over"), 0);
    load.finish(&platform).await;
    assert_rules_held(&platform).await;
}

/// Guards against "not run" for a job that runs, where entry and leader are of different builds and the store is away.
#[yare::parameterized(
    landing_8_entry = { "landing-8", false },
    landing_9_entry = { "landing-9", false },
    landing_10_entry = { "landing-10", false },
    landing_12_entry = { "landing-12", false },
    landing_13_entry = { "landing-13", false },
    landing_14_entry = { "landing-14", false },
    landing_16_entry = { "landing-16", false },
    landing_8_leader = { "landing-8", true },
    landing_9_leader = { "landing-9", true },
    landing_10_leader = { "landing-10", true },
    landing_12_leader = { "landing-12", true },
    landing_13_leader = { "landing-13", true },
    landing_14_leader = { "landing-14", true },
    landing_16_leader = { "landing-16", true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn store_outage_answers_are_true_across_builds(landing: &str, leader_is_earlier: bool) {
    let (earlier, present) = (earlier_build(landing), present_build().to_owned());
    let (of_leader, of_entry) = if leader_is_earlier { (earlier, present) } else { (present, earlier) };
    let mut platform = Platform::start_build(&of_leader, 2, 2).await;
    let leader = platform.leader();
    let entry = leader % 2 + 1;
    platform.env.kill(&format!("entry-{entry}"));
    platform.set_build(&of_entry);
    platform.start_entry_that_cannot_lead(entry).await;
    platform.await_ready(entry).await;
    assert_eq!(platform.leader(), leader);

    platform.set_store_faults(json!({"down": true})).await;
    let job = "00000000000000b1";
    let status = platform.submit(entry, job, json!([step(1)]), "run_ms=100").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.set_store_faults(json!({})).await;
    println!("{landing}, its leader: {leader_is_earlier}: {status}");
    let is_refused = matches!(status, 429 | 503);
    // Landings 8 and 9 don't withdraw a job, so that their leaders can't tell.
    assert!(is_refused || leader_is_earlier && matches!(status, 504 | 0), "{status}");
    if is_refused {
        eventually(CATCH_UP_BOUND, "the job is known not to exist", async || {
            platform.state(entry, job).await == "410" && platform.state(leader, job).await == "410"
        })
        .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(platform.state(entry, job).await, "410");
        let history = platform.history().await;
        assert!(history.iter().all(|event| !event.1.starts_with(job)), "a job that was \"not run\" ran");
    }
    platform.submit_until_accepted(job, &json!([step(1)]), "run_ms=100").await;
    platform.await_state(job, "completed", FINISH_BOUND).await;
    assert_rules_held(&platform).await;
}

/// Guards against an answered cancel that is lost while a leader of an earlier build leads in between.
#[yare::parameterized(
    landing_8 = { "landing-8" },
    landing_9 = { "landing-9" },
    landing_10 = { "landing-10" },
    landing_12 = { "landing-12" },
    landing_13 = { "landing-13" },
    landing_14 = { "landing-14" },
    landing_16 = { "landing-16" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn cancel_of_an_unknown_job_outlives_a_leader_of_an_earlier_build(landing: &str) {
    let mut platform = Platform::start(1, 1).await;
    let job = "00000000000000c1";
    let path = format!("{PREFIX}{job}");
    assert_eq!(platform.call(1, Method::DELETE, &path, KEY, &Value::Null).await.0, 410);
    for build in [earlier_build(landing), present_build().to_owned()] {
        platform.env.kill("entry-1");
        platform.set_build(&build);
        platform.start_entry(1);
        platform.await_ready(1).await;
        platform.await_workers().await;
    }
    assert_eq!(platform.submit(1, job, json!([step(1)]), "run_ms=10").await, 200);
    assert_eq!(platform.state(1, job).await, "cancelled");
    assert_rules_held(&platform).await;
}

/// Guards against a job that runs after its cancel was answered by an entry of this build whose leader, of an earlier build,
/// doesn't know the job and stores nothing.
#[yare::parameterized(
    landing_8 = { "landing-8", true },
    landing_9 = { "landing-9", true },
    landing_10 = { "landing-10", true },
    landing_12 = { "landing-12", true },
    landing_13 = { "landing-13", true },
    landing_14 = { "landing-14", true },
    landing_16 = { "landing-16", true },
    landing_8_stays = { "landing-8", false },
    landing_9_stays = { "landing-9", false },
    landing_10_stays = { "landing-10", false },
    landing_12_stays = { "landing-12", false },
    landing_13_stays = { "landing-13", false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn cancel_beside_a_leader_of_an_earlier_build_holds_for_a_later_submission(
    landing: &str,
    can_lead: bool,
) {
    let mut platform = Platform::start_build(&earlier_build(landing), 2, 1).await;
    let entry = platform.leader() % 2 + 1;
    platform.env.kill(&format!("entry-{entry}"));
    platform.set_build(present_build());
    match can_lead {
        true => platform.start_entry(entry),
        false => platform.start_entry_that_cannot_lead(entry).await,
    }
    platform.await_ready(entry).await;
    let mut answers = Vec::new();
    for number in 0..10 {
        let job = format!("{:016x}", 0xc0 + number);
        let path = format!("{PREFIX}{job}");
        let (status, _) = platform.call(entry, Method::DELETE, &path, KEY, &Value::Null).await;
        answers.push(status);
        if !can_lead && status == 504 {
            eventually(Duration::from_secs(2), "the answer names its evidence", async || {
                platform.job_events(&job).iter().any(|(event, line)| {
                    event == "cancel_answered" && line.contains(" evidence=not_stored_by_earlier_build ")
                })
            })
            .await;
            let log = fs::read_to_string(platform.env.dir().join(format!("entry-{entry}.log"))).unwrap();
            assert!(log.contains("earlier_build=true"), "the build of the leader is not known");
        }
        if status == 410 {
            platform.submit_until_accepted(&job, &json!([step(1)]), "run_ms=10").await;
            assert_eq!(platform.state(entry, &job).await, "cancelled", "{answers:?}");
        }
        if !can_lead && number == 1 {
            break;
        }
    }
    println!("{landing}, can lead: {can_lead}: {answers:?}");
    assert_eq!(answers.contains(&410), can_lead, "{answers:?}");
    assert!(answers.iter().all(|status| matches!(status, 410 | 503 | 504)), "{answers:?}");
    assert_rules_held(&platform).await;
}

/// Guards against a leadership that an entry of this build leaves to an earlier build.
#[yare::parameterized(
    landing_8 = { "landing-8" },
    landing_12 = { "landing-12" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn entry_of_this_build_takes_the_leadership_from_an_earlier_build(landing: &str) {
    let mut platform = Platform::start_build(&earlier_build(landing), 2, 1).await;
    let entry = platform.leader() % 2 + 1;
    platform.env.kill(&format!("entry-{entry}"));
    platform.set_build(present_build());
    platform.start_entry(entry);
    platform.await_ready(entry).await;
    eventually(CATCH_UP_BOUND, "the entry of this build leads", async || newest_leader(&platform) == entry)
        .await;
    platform.await_workers().await;
    assert_rules_held(&platform).await;
}

/// Guards against a job that runs on after its cancel was answered by this build, since an earlier build accepted it while it
/// led in between.
#[yare::parameterized(
    landing_8 = { "landing-8" },
    landing_10 = { "landing-10" },
    landing_12 = { "landing-12" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn cancel_ends_a_job_that_an_earlier_build_accepted_in_between(landing: &str) {
    let mut platform = Platform::start(1, 1).await;
    let job = "00000000000000c2";
    let path = format!("{PREFIX}{job}");
    assert_eq!(platform.call(1, Method::DELETE, &path, KEY, &Value::Null).await.0, 410);
    platform.env.kill("entry-1");
    platform.set_build(&earlier_build(landing));
    platform.start_entry(1);
    platform.await_ready(1).await;
    platform.await_workers().await;
    assert_eq!(platform.submit(1, job, json!([step(1)]), "run_ms=60000").await, 200);
    platform.env.kill("entry-1");
    platform.set_build(present_build());
    platform.start_entry(1);
    platform.await_ready(1).await;
    platform.await_state(job, "cancelled", CATCH_UP_BOUND).await;
    platform.await_workers().await;
    assert_rules_held(&platform).await;
}

/// Guards against a job that runs on after its cancel was answered while entries of an earlier build are replaced.
#[yare::parameterized(
    landing_8 = { "landing-8" },
    landing_10 = { "landing-10" },
    landing_12 = { "landing-12" },
    landing_13 = { "landing-13" },
    landing_14 = { "landing-14" },
    landing_16 = { "landing-16" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn cancels_hold_while_entries_are_replaced(landing: &str) {
    let play = Play::new(48, Trouble::StopInTurn, 4).with_builds(&earlier_build(landing), present_build());
    let (platform, record) = play.run().await;
    record.assert_answers_hold();
    let superseded_after_ms = record.superseded_after_ms();
    println!("{landing}: superseded after {superseded_after_ms:?} ms");
    // Until then the earlier build goes on with its answers.
    let is_in_time = superseded_after_ms.is_some_and(|ms| u128::from(ms) <= CATCH_UP_BOUND.as_millis());
    assert!(
        is_in_time,
        "the earlier build led for {superseded_after_ms:?} ms; logs in {}",
        record.dir.display()
    );
    assert_rules_held(&platform).await;
}

/// Guards against a leader of this build that is stopped and passes its role to an earlier build, as its connection to a
/// restarted entry of this build is broken.
#[yare::parameterized(
    landing_8 = { "landing-8" },
    landing_12 = { "landing-12" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn stopped_leader_is_followed_by_a_restarted_entry_of_this_build(landing: &str) {
    let mut platform = Platform::start_build(&earlier_build(landing), ENTRIES, WORKERS).await;
    platform.set_build(present_build());
    // The entry that leads next passes callers on to the one that leads now, so that it has a connection to it.
    let successor = newest_leader(&platform);
    let leader = successor % ENTRIES + 1;
    let callers = platform.callers();
    let asking = tokio::spawn(async move {
        let path = format!("{PREFIX}00000000000000d1");
        loop {
            callers.call_within(500, leader, Method::GET, &path, KEY, &Value::Null).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    for index in [leader, successor] {
        platform.env.kill(&format!("entry-{index}"));
        platform.start_entry(index);
        platform.await_ready(index).await;
        eventually(CATCH_UP_BOUND, "an entry of this build leads", async || {
            newest_leader(&platform) == leader
        })
        .await;
    }
    asking.abort();
    // The leader learns of the restarted entry from its pings.
    tokio::time::sleep(MIXED_TIME).await;
    let other = leader % ENTRIES + 1;
    let led_before = count_events(&platform, other, "office_taken");
    assert!(platform.env.stop(&format!("entry-{leader}"), STOP_BOUND).await);
    eventually(CATCH_UP_BOUND, "the restarted entry leads", async || newest_leader(&platform) == successor)
        .await;
    let led_since = count_events(&platform, other, "office_taken") - led_before;
    assert_eq!(led_since, 0, "an earlier build has led; logs in {}", platform.env.dir().display());
    platform.start_entry(leader);
    platform.await_ready(leader).await;
    assert_rules_held(&platform).await;
}

const OTHER_KEY: &str = "key-2";

/// Publishes a desired state with two accounts, and waits until it is in force at all entries.
async fn publish_two_accounts(platform: &Platform) {
    let desired = json!({
        "version": 2,
        "routes": [{"name": "orders", "host": HOST, "path_prefix": PREFIX, "service": "svc", "priority": 1,
            "max_attempts": 2, "stretch": 3.0, "full_credit_ms": 1_000}],
        "services": [{"name": "svc"}],
        "tenants": [{"name": "museum", "api_keys": [KEY]}, {"name": "guest", "api_keys": [OTHER_KEY]}],
    });
    platform.publish_desired(&desired).await;
    for index in 1..=platform.entries() {
        eventually(CATCH_UP_BOUND, "the other account's key is known", async || {
            let path = format!("{PREFIX}00000000000000f9");
            platform.call(index, Method::GET, &path, OTHER_KEY, &Value::Null).await.0 == 410
        })
        .await;
    }
}

/// Calls an entry with the other account's key about a job; returns the status.
async fn call_as_other(platform: &Platform, index: usize, method: Method, job: &str) -> u16 {
    let body = match method {
        Method::POST => json!({"task_spec": "run_ms=10", "steps": [step(1)]}),
        _ => Value::Null,
    };
    platform.call(index, method, &format!("{PREFIX}{job}"), OTHER_KEY, &body).await.0
}

/// Guards against an answer of a leader of an earlier build, which knows jobs by their names alone, that an entry of this build
/// passes on to another caller, and against that caller's cancel.
#[yare::parameterized(
    landing_8 = { "landing-8" },
    landing_9 = { "landing-9" },
    landing_10 = { "landing-10" },
    landing_12 = { "landing-12" },
    landing_13 = { "landing-13" },
    landing_14 = { "landing-14" },
    landing_16 = { "landing-16" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn namesake_reaches_no_job_of_a_leader_of_an_earlier_build(landing: &str) {
    let mut platform = Platform::start_build(&earlier_build(landing), 2, 1).await;
    publish_two_accounts(&platform).await;
    let leader = platform.leader();
    let entry = leader % 2 + 1;
    platform.env.kill(&format!("entry-{entry}"));
    platform.set_build(present_build());
    platform.start_entry_that_cannot_lead(entry).await;
    platform.await_ready(entry).await;
    let job = "00000000000000f1";
    assert_eq!(platform.submit(entry, job, json!([step(1)]), "run_ms=60000").await, 200);
    platform.await_state(job, "running", CATCH_UP_BOUND).await;
    assert_eq!(call_as_other(&platform, entry, Method::POST, job).await, 429);
    assert_eq!(call_as_other(&platform, entry, Method::GET, job).await, 410);
    assert_eq!(call_as_other(&platform, entry, Method::DELETE, job).await, 410);
    assert_eq!(platform.submit(entry, job, json!([step(1)]), "run_ms=60000").await, 200);
    assert_eq!(platform.state(entry, job).await, "running");
    let path = format!("{PREFIX}{job}");
    assert_eq!(platform.call(entry, Method::DELETE, &path, KEY, &Value::Null).await.0, 200);
    platform.await_state(job, "cancelled", CATCH_UP_BOUND).await;
    assert_eq!(platform.leader(), leader);
    assert_rules_held(&platform).await;
}

/// Guards against a record of another caller's cancel by which an earlier build that leads in between ends a job.
#[yare::parameterized(
    landing_12_cancel_first = { "landing-12", true },
    landing_13_cancel_first = { "landing-13", true },
    landing_14_cancel_first = { "landing-14", true },
    landing_16_cancel_first = { "landing-16", true },
    landing_12_job_first = { "landing-12", false },
    landing_13_job_first = { "landing-13", false },
    landing_14_job_first = { "landing-14", false },
    landing_16_job_first = { "landing-16", false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "needs builds of earlier landings; .ci/run builds them and runs it"]
async fn cancel_of_a_namesake_ends_no_job_at_an_earlier_build(landing: &str, is_cancel_first: bool) {
    let mut platform = Platform::start(1, 1).await;
    publish_two_accounts(&platform).await;
    let job = "00000000000000f2";
    if is_cancel_first {
        assert_eq!(call_as_other(&platform, 1, Method::DELETE, job).await, 410);
    }
    assert_eq!(platform.submit(1, job, json!([step(1)]), "run_ms=60000").await, 200);
    platform.await_state(job, "running", CATCH_UP_BOUND).await;
    if !is_cancel_first {
        assert_eq!(call_as_other(&platform, 1, Method::DELETE, job).await, 410);
    }
    for build in [earlier_build(landing), present_build().to_owned()] {
        platform.env.kill("entry-1");
        platform.set_build(&build);
        platform.start_entry(1);
        platform.await_ready(1).await;
        platform.await_workers().await;
        assert_eq!(platform.state(1, job).await, "running", "{}", build.display());
    }
    // The cancel holds for its caller still.
    assert_eq!(call_as_other(&platform, 1, Method::POST, job).await, 429);
    let path = format!("{PREFIX}{job}");
    assert_eq!(platform.call(1, Method::DELETE, &path, KEY, &Value::Null).await.0, 200);
    assert_rules_held(&platform).await;
}
