//! One run: a deployment, its callers, the faults of a seed, and the checks.

use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::join;
use sorrelland_standin::clock::wall_ms;
use tokio::sync::watch;

use crate::checks::Evidence;
use crate::clients::Callers;
use crate::deployment::{Deployment, MAX_ATTEMPTS, WORKER_CAPACITY};
use crate::faults::{self, Fault};
use crate::history::History;
use crate::impairments::Impairments;
use crate::jobs::{Ledger, WORKER_GPUS};
use crate::lock;
use crate::play::Player;
use crate::waits::late_starts;

/// Time after the loss of everything within which the platform expects service again, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// Time in which a subtask crashes five workers, the most that the platform allows, each until it is back.
const MAX_CRASHES_MS: u64 = 5 * 4_000;

/// Share of the resources that a backlog can count on, in percent: the platform tolerates that waiting work isn't
/// started as long as half of the resources are in use.
const BACKLOG_PERCENT: u64 = 50;

/// Mean time between two jobs of a caller. With a caller for each worker, about a third of the accelerators are in use.
const SUBMIT_INTERVAL: Duration = Duration::from_secs(4);

/// Callers that change entries, in runs with stops of entries while the store is silent.
const CHANGING_CALLERS: usize = 2;

/// Callers whose jobs need approvals, in runs with faults of the policy service.
const ADVISED_CALLERS: usize = 2;

/// What is run, besides the seed.
#[derive(Clone, Debug)]
pub struct Config {
    /// Directory of `sorrellandd` and `sorrelland-standin`.
    pub bin_dir: PathBuf,
    pub entries: usize,
    pub workers: usize,
    /// Time in which faults begin.
    pub faults: Duration,
    /// Faults to leave out, by the beginnings of their names.
    pub without: Vec<String>,
    /// Directory of the log folders.
    pub logs: PathBuf,
    /// Keeps the logs of runs that broke no promise too.
    pub keep_logs: bool,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub seed: u64,
    /// What was played.
    pub summary: String,
    /// A line for each broken promise.
    pub broken: Vec<String>,
    pub dir: PathBuf,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = if self.broken.is_empty() { "ok" } else { "BROKEN" };
        write!(f, "seed {} {result}: {}", self.seed, self.summary)?;
        if self.broken.is_empty() {
            return Ok(());
        }
        for line in &self.broken {
            write!(f, "\n  {line}")?;
        }
        write!(f, "\n  logs in {}", self.dir.display())
    }
}

/// Runs a seed.
///
/// # Errors
///
/// Fails if the deployment can't be started or a log can't be written.
pub async fn run_seed(cfg: &Config, seed: u64) -> io::Result<Outcome> {
    let dir = cfg.logs.join(format!("seed-{seed}-{}", std::process::id()));
    let deployment = Arc::new(Deployment::start(&cfg.bin_dir, cfg.entries, cfg.workers, &dir).await?);
    let plan = faults::plan(seed, cfg.entries, cfg.workers, cfg.faults.as_millis() as u64, &cfg.without);
    let impairments = Arc::new(Impairments::default());
    let player = Arc::new(Player::new(deployment.clone(), impairments.clone())?);
    let (submitting, running) = (watch::Sender::new(true), watch::Sender::new(true));
    let callers = Arc::new(Callers {
        deployment: deployment.clone(),
        ledger: Mutex::default(),
        seed,
        interval: SUBMIT_INTERVAL,
        submitting: submitting.subscribe(),
        running: running.subscribe(),
    });
    let has_silent_stops = plan.iter().any(|(_, fault)| matches!(fault, Fault::SilentStop { .. }));
    let changing = if has_silent_stops { CHANGING_CALLERS } else { 0 };
    let has_policy_faults = plan.iter().any(|(_, fault)| matches!(fault, Fault::Policy { .. }));
    let advised = if has_policy_faults { ADVISED_CALLERS } else { 0 };
    let changes_routes = plan.iter().any(|(_, fault)| matches!(fault, Fault::Routes(_)));
    let calling = tokio::spawn(callers.clone().run(cfg.workers.max(2), changing, advised));
    let restarting = {
        let player = player.clone();
        tokio::spawn(async move { player.restart_crashed_workers().await })
    };
    tokio::join!(player.clone().play(plan), tokio::time::sleep(cfg.faults));
    submitting.send_replace(false);
    let probing = tokio::spawn(callers.clone().probe_workers());
    let mut calling = join(calling, probing);
    let bound = completion_bound(&lock(&callers.ledger), cfg.workers);
    let mended_ms = wall_ms();
    player.log(&format!("event=mended bound_ms={}", bound.as_millis()));
    let removing = async {
        if changes_routes {
            player.remove_routes_of_accepted_jobs().await;
        }
    };
    // The callers end when all their jobs have.
    let (in_time, ()) = tokio::join!(tokio::time::timeout(bound, &mut calling), removing);
    let took_ms = wall_ms() - mended_ms;
    running.send_replace(false);
    let (called, probed) = if let Ok(called) = in_time { called } else { calling.await };
    called.and(probed).map_err(io::Error::other)?;
    callers.poll_all().await;
    restarting.abort();

    let ledger = lock(&callers.ledger).clone();
    let history = History::read(&dir, &deployment.lives())?;
    let capacity = WORKER_CAPACITY;
    let evidence = Evidence { history: &history, ledger: &ledger, impairments: &impairments, capacity };
    let mut broken = evidence.broken_promises();
    broken.extend(late_starts(&evidence, mended_ms, cfg.workers));
    let open = ledger.values().filter(|record| record.accepted_ms().is_some() && !record.has_ended());
    broken.extend(open.map(|record| {
        let (id, state) = (&record.job.id, record.polls.last().map_or("", |call| &call.state));
        format!(
            "LOST: {id} hasn't ended {took_ms} ms after the faults, bound {} ms: {state}",
            bound.as_millis()
        )
    }));
    let unusable = ledger.values().filter(|r| !r.job.label.is_empty() && r.accepted_ms().is_none());
    broken.extend(unusable.map(|record| {
        format!("RECOVER: nothing can run on {} {took_ms} ms after the faults", record.job.label)
    }));
    if ledger.values().all(|record| record.accepted_ms().is_none()) {
        broken.push("no job was accepted".to_owned());
    }
    broken.extend(lock(&player.failures).iter().cloned());
    broken.extend(deployment.exited().iter().map(|name| format!("{name} ended by itself")));
    let summary = summarize(&ledger, &history, &player, took_ms);
    deployment.processes.kill_all();
    if broken.is_empty() && !cfg.keep_logs {
        fs::remove_dir_all(&dir)?;
    } else {
        let mut file = fs::File::create(dir.join("records.txt"))?;
        ledger.values().try_for_each(|record| writeln!(file, "{record:?}"))?;
    }
    Ok(Outcome { seed, summary, broken, dir })
}

/// Returns the time after the last fault within which all accepted jobs end: the platform's bound for the recovery of
/// everything, then the remaining work with [`BACKLOG_PERCENT`] of the accelerators, and the longest chain of steps
/// with all attempts.
fn completion_bound(ledger: &Ledger, workers: usize) -> Duration {
    let open = ledger.values().filter(|record| !record.has_ended() && !record.is_rejected());
    let jobs: Vec<_> = open.map(|record| &record.job).collect();
    let attempts = |spec: &str| if spec.contains("fails") { MAX_ATTEMPTS as u64 } else { 1 };
    // Chains use no accelerators, so they wait for no work.
    let waiting = jobs.iter().filter(|job| !job.changes_entries);
    let work_ms: u64 = waiting.map(|job| job.work_ms() * attempts(&job.spec)).sum();
    let chains = jobs.iter().map(|job| job.run_ms * job.steps.len() as u64 * attempts(&job.spec));
    let usable = workers as u64 * WORKER_GPUS * BACKLOG_PERCENT;
    let crashes_ms = jobs.iter().filter(|job| job.crashes_workers()).count() as u64 * MAX_CRASHES_MS;
    Duration::from_millis(RECOVERY_MS + work_ms * 100 / usable + chains.max().unwrap_or(0) + crashes_ms)
}

fn summarize(ledger: &Ledger, history: &History, player: &Player, took_ms: u64) -> String {
    let accepted = ledger.values().filter(|record| record.accepted_ms().is_some()).count();
    let unknown =
        ledger.values().filter(|record| record.cancels.iter().any(|call| call.status == 410)).count();
    let shown = |state: &str| ledger.values().filter(|record| record.shown_ms(state).is_some()).count();
    let played: Vec<String> =
        lock(&player.played).iter().map(|(name, count)| format!("{name} {count}")).collect();
    format!(
        "{} jobs, {accepted} accepted, {} completed, {} failed, {} cancelled, {unknown} cancelled \
         with 410, {} runs, ended {took_ms} ms after the faults; faults: {}",
        ledger.len(),
        shown("completed"),
        shown("failed"),
        shown("cancelled"),
        history.runs.len(),
        if played.is_empty() { "none".to_owned() } else { played.join(", ") },
    )
}
