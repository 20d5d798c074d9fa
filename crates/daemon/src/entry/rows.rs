//! Tables of the operators' query language.

use serde_json::{Value, json};
use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::reclaim::{BackingUse, Share};
use sorrelland_core::shape::{Amount, Shape};
use sorrelland_core::table::{Running, Tables};
use sorrelland_lang::select::Row;
use sorrelland_ledger::{CommandOutcome, Fold, Job, JobOutcome, Stage};

use crate::entry::burn::BurnCounts;
use crate::entry::fleet::Fleet;
use crate::entry::query::row;

/// Columns of the job tables.
pub const JOB_COLUMNS: &[&str] = &[
    "job",
    "account",
    "state",
    "class",
    "tasks",
    "accelerators",
    "span",
    "age_ms",
    "declared_ms",
    "workers",
    "entry",
    "reason",
];

/// Columns of the worker table.
pub const WORKER_COLUMNS: &[&str] = &[
    "worker",
    "standing",
    "region",
    "domain",
    "rack",
    "slots",
    "accelerators",
    "held",
    "in_flight",
    "version",
    "jobs",
    "seen_ms",
];

/// Columns of the account table.
pub const ACCOUNT_COLUMNS: &[&str] = &[
    "account",
    "guarantee",
    "shortfall",
    "weight",
    "queue_limit",
    "request_limit",
    "paused",
    "running",
    "accelerators",
    "waiting",
    "version",
];

/// Columns of the guarantee table; a row is an account's backing on one worker.
pub const GUARANTEE_COLUMNS: &[&str] = &["account", "worker", "accelerators", "own", "borrowed", "borrowers"];

/// Columns of a dry run.
pub const RECLAIM_COLUMNS: &[&str] = GUARANTEE_COLUMNS;

/// Columns of the command history.
pub const HISTORY_COLUMNS: &[&str] = &["offset", "id", "operator", "subject", "verdict", "version"];

/// Columns of the burn-rate report.
pub const BURN_COLUMNS: &[&str] = &[
    "account",
    "objective",
    "window",
    "total",
    "good",
    "refused",
    "late",
    "unknown",
    "failed",
    "target",
    "burn",
];

/// Returns the jobs on the log.
pub fn jobs(fold: &Fold, now_ms: u64) -> Vec<Row> {
    fold.jobs.iter().map(|(name, job)| job_row(name, job, now_ms)).collect()
}

fn job_row(name: &JobId, job: &Job, now_ms: u64) -> Row {
    let (state, workers, reason) = match &job.stage {
        Stage::Waiting => ("waiting", String::new(), ""),
        Stage::Placed(placed) => ("running", join_names(placed.placement.keys()), ""),
        Stage::Ended(JobOutcome::Done) => ("done", String::new(), ""),
        Stage::Ended(JobOutcome::Cancelled) => ("cancelled", String::new(), ""),
        Stage::Ended(JobOutcome::NotRun { reason }) => ("not_run", String::new(), reason.as_str()),
        Stage::Ended(JobOutcome::Unknown { reason }) => ("unknown", String::new(), reason.as_str()),
        Stage::Ended(JobOutcome::Failed { reason }) => ("failed", String::new(), reason.as_str()),
    };
    let demand = &job.spec.demand;
    row([
        ("job", json!(name)),
        ("account", json!(demand.account)),
        ("state", json!(state)),
        ("class", json!(demand.class)),
        ("tasks", json!(demand.shape.tasks)),
        ("accelerators", json!(demand.shape.total().accelerators)),
        ("span", json!(demand.shape.span)),
        ("age_ms", json!(now_ms.saturating_sub(job.accepted_ms))),
        ("declared_ms", json!(demand.declared_ms)),
        ("workers", json!(workers)),
        ("entry", json!(job.claimant)),
        ("reason", json!(reason)),
    ])
}

/// Returns the row of a gang that is not on the log.
pub fn attached(name: &JobId, gang: &Running, now_ms: u64) -> Row {
    row([
        ("job", json!(name)),
        ("account", json!(gang.demand.account)),
        ("state", json!("running")),
        ("class", json!(gang.demand.class)),
        ("tasks", json!(gang.demand.shape.tasks)),
        ("accelerators", json!(gang.demand.shape.total().accelerators)),
        ("span", Value::Null),
        ("age_ms", json!(now_ms.saturating_sub(gang.started_ms))),
        ("declared_ms", Value::Null),
        ("workers", json!(join_names(gang.placement.keys()))),
        ("entry", Value::Null),
        ("reason", json!("attached")),
    ])
}

/// Returns the workers that have reported to this entry.
pub fn workers(fleet: &Fleet) -> Vec<Row> {
    let worker = |(id, agent): (&WorkerId, &crate::entry::fleet::AgentRow)| {
        let report = &agent.report;
        let mut held = Amount::default();
        for share in &report.shares {
            held += share.per_task.times(share.tasks);
        }
        row([
            ("worker", json!(id)),
            ("standing", json!(fleet.standing(id, agent))),
            ("region", json!(report.place.region)),
            ("domain", json!(report.place.domain)),
            ("rack", json!(report.place.rack)),
            ("slots", json!(report.capacity.slots)),
            ("accelerators", json!(report.capacity.accelerators)),
            ("held", json!(held.accelerators)),
            ("in_flight", json!(agent.reported_in_flight)),
            ("version", json!(agent.config_offset.saturating_sub(1))),
            ("jobs", json!(join_names(report.shares.iter().map(|share| &share.job)))),
            ("seen_ms", json!(agent.last_heartbeat.elapsed().as_millis() as u64)),
        ])
    };
    fleet.rows().iter().map(worker).collect()
}

/// Returns the accounts with their configuration and usage.
pub fn accounts(fold: &Fold, tables: &Tables) -> Vec<Row> {
    let usage = tables.usage();
    let account = |(id, config): (&sorrelland_core::id::AccountId, &sorrelland_core::account::Account)| {
        let of_account = |job: &&Job| job.spec.demand.account == *id;
        let waiting = fold.jobs.values().filter(of_account).filter(|job| job.stage == Stage::Waiting).count();
        let running = tables.running.values().filter(|gang| gang.demand.account == *id).count();
        let shortfall = fold.plan.shortfall.get(id).map(|shapes| shape_list(shapes)).unwrap_or_default();
        row([
            ("account", json!(id)),
            ("guarantee", json!(shape_list(&config.guarantee))),
            ("shortfall", json!(shortfall)),
            ("weight", json!(config.weight)),
            ("queue_limit", json!(config.queue_limit)),
            ("request_limit", json!(config.request_limit)),
            ("paused", json!(config.paused)),
            ("running", json!(running)),
            ("accelerators", json!(usage.get(id).copied().unwrap_or_default().accelerators)),
            ("waiting", json!(waiting)),
            ("version", json!(fold.version_of(&sorrelland_ledger::Subject::Account(id.clone())))),
        ])
    };
    fold.accounts.iter().map(account).collect()
}

/// Returns each account's backing on each worker, and the jobs that borrow it.
pub fn guarantees(tables: &Tables) -> Vec<Row> {
    let mut rows = Vec::new();
    for (worker, backing) in tables.plan.backing() {
        let shares = shares_on(tables, &worker);
        let backing_use = BackingUse::new(backing.clone(), &shares);
        let capacity = tables.workers.get(&worker).map(|w| w.capacity).unwrap_or_default();
        let mut free = capacity;
        shares.iter().for_each(|share| free -= share.held);
        let borrowers: Vec<&JobId> = shares
            .iter()
            .filter(|share| !backing_use.on_own_backing.contains(&share.job))
            .map(|share| &share.job)
            .collect();
        for (account, amount) in &backing {
            let own = backing_use.own_used.get(account).copied().unwrap_or_default().accelerators;
            let borrowed = backing_use.unused_backing(account).accelerators.saturating_sub(free.accelerators);
            rows.push(row([
                ("account", json!(account)),
                ("worker", json!(worker)),
                ("accelerators", json!(amount.accelerators)),
                ("own", json!(own)),
                ("borrowed", json!(borrowed)),
                ("borrowers", json!(if borrowed > 0 { join_names(borrowers.iter()) } else { String::new() })),
            ]));
        }
    }
    rows
}

fn shares_on(tables: &Tables, worker: &WorkerId) -> Vec<Share> {
    let on_worker = tables.running.iter().filter(|(_, gang)| gang.placement.contains_key(worker));
    on_worker.map(|(job, gang)| gang.share_on(job, worker)).collect()
}

/// Returns the commands that the fold retains.
pub fn history(fold: &Fold) -> Vec<Row> {
    let rows = fold.history.iter().map(|command| {
        let (outcome, version) = match &command.outcome {
            CommandOutcome::Accepted { version } => ("accepted", *version),
            CommandOutcome::Void { current, .. } => ("void", *current),
        };
        row([
            ("offset", json!(command.offset)),
            ("id", json!(command.record.id)),
            ("operator", json!(command.record.operator)),
            ("subject", json!(command.record.command.subject())),
            ("verdict", json!(outcome)),
            ("version", json!(version)),
        ])
    });
    rows.collect()
}

/// Returns the burn rate of each account's objectives.
pub fn burn(burn: &BurnCounts, now_ms: u64) -> Vec<Row> {
    let rows = burn.report(now_ms).into_iter().map(|line| {
        row([
            ("account", json!(line.account)),
            ("objective", json!(line.objective.name())),
            ("window", json!(line.window.name())),
            ("total", json!(line.counts.total())),
            ("good", json!(line.counts.good)),
            ("refused", json!(line.counts.refused)),
            ("late", json!(line.counts.late)),
            ("unknown", json!(line.counts.unknown)),
            ("failed", json!(line.counts.failed)),
            ("target", json!(line.objective.target())),
            ("burn", json!((line.burn_rate() * 100.0).round() / 100.0)),
        ])
    });
    rows.collect()
}

fn shape_list(shapes: &[Shape]) -> String {
    let names: Vec<String> = shapes.iter().map(Shape::to_string).collect();
    names.join(", ")
}

fn join_names<T: ToString>(items: impl Iterator<Item = T>) -> String {
    let names: Vec<String> = items.map(|item| item.to_string()).collect();
    names.join(" ")
}
