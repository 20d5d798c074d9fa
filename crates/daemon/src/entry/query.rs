//! Statements of the operators' query language, answered from the fold and the agents' reports.

use std::collections::BTreeMap;

use dropshot::{Body, TypedBody, endpoint};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::topology::Standing;
use sorrelland_lang::parse;
use sorrelland_lang::select::{Row, matches, select};
use sorrelland_lang::statement::{Change, Condition, Options, Selection, Setting, Statement, Table};
use sorrelland_ledger::{Command, Stage};
use sorrelland_web::ApiError;

use crate::entry::answer::respond;
use crate::entry::api::{Cx, OpenRequest, Result};
use crate::entry::operator::CommandAnswer;
use crate::entry::rows;
use crate::entry::{Entry, unix_ms};
use crate::sync::lock;

/// Body of a query.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct QueryBody {
    /// Text of the statement.
    text: String,
}

/// Rows of a table, results of commands, or the confirmation that a cancellation of several jobs needs.
#[derive(Serialize)]
#[serde(untagged)]
enum QueryAnswer {
    Rows(RowsAnswer),
    Commands { commands: Vec<CommandAnswer> },
    Wave { matching: usize, confirm: String },
}

#[derive(Serialize)]
struct RowsAnswer {
    columns: Vec<&'static str>,
    rows: Vec<Row>,
    /// Processes whose part of the answer is missing.
    missing: Vec<String>,
    /// Time since the log last confirmed that the fold is complete, in milliseconds.
    config_age_ms: Option<u64>,
}

/// Executes a statement.
#[endpoint { method = POST, path = "/v1/query" }]
pub(super) async fn post_query(cx: Cx, body: TypedBody<QueryBody>) -> Result<Response<Body>> {
    let entry = cx.context();
    let operator = entry.keys.operator(&cx)?;
    let _open = OpenRequest::new(entry)?;
    let statement = parse(&body.into_inner().text).map_err(|e| ApiError::new(400, "syntax", e))?;
    let answer = match statement {
        Statement::Show { table, selection } => QueryAnswer::Rows(entry.show(table, &selection)?),
        Statement::Why(job) => QueryAnswer::Rows(entry.explain(&job)?),
        Statement::ShowInForce(version) => return respond(StatusCode::OK, None, &entry.in_force(version)),
        Statement::ShowCommand(id) => QueryAnswer::Commands { commands: vec![entry.command_answer(&id)] },
        Statement::Change { change, options } => entry.change(&operator, change, &options).await?,
    };
    respond(StatusCode::OK, None, &answer)
}

impl Entry {
    fn show(&self, table: Table, selection: &Selection) -> Result<RowsAnswer> {
        let (columns, all) = self.table_rows(table);
        let rows = select(all, selection, columns).map_err(|e| ApiError::new(400, "unknown_field", e))?;
        Ok(self.rows_answer(columns, rows))
    }

    /// Returns an answer that names the lost workers and unresponsive entries as missing.
    fn rows_answer(&self, columns: &[&'static str], rows: Vec<Row>) -> RowsAnswer {
        let workers = lock(&self.fleet).workers();
        let lost = workers.iter().filter(|(_, worker)| worker.standing == Standing::Lost);
        let mut missing: Vec<String> = lost.map(|(id, _)| format!("worker {id}")).collect();
        missing.extend(lock(&self.peers).unresponsive().into_iter().map(|name| format!("entry {name}")));
        RowsAnswer { columns: columns.to_vec(), rows, missing, config_age_ms: self.config_age_ms() }
    }

    pub(super) fn table_rows(&self, table: Table) -> (&'static [&'static str], Vec<Row>) {
        let now_ms = unix_ms();
        let jobs = |state: &'static str| {
            let all = self.with_fold(|fold| rows::jobs(fold, now_ms)).unwrap_or_default();
            all.into_iter().filter(|row| row["state"] == state).collect::<Vec<_>>()
        };
        match table {
            Table::Jobs => {
                (rows::JOB_COLUMNS, self.with_fold(|fold| rows::jobs(fold, now_ms)).unwrap_or_default())
            }
            Table::Running => (rows::JOB_COLUMNS, self.running_rows(jobs("running"))),
            Table::Waiting => (rows::JOB_COLUMNS, jobs("waiting")),
            Table::Refused => (rows::JOB_COLUMNS, jobs("not_run")),
            Table::Workers => (rows::WORKER_COLUMNS, rows::workers(&lock(&self.fleet))),
            Table::Accounts => {
                let tables = self.tables(now_ms);
                let found = self.with_fold(|fold| rows::accounts(fold, &tables));
                (rows::ACCOUNT_COLUMNS, found.unwrap_or_default())
            }
            Table::Guarantees => (rows::GUARANTEE_COLUMNS, rows::guarantees(&self.tables(now_ms))),
            Table::History => (rows::HISTORY_COLUMNS, self.with_fold(rows::history).unwrap_or_default()),
            Table::Burn => (rows::BURN_COLUMNS, rows::burn(&lock(&self.burn), now_ms)),
        }
    }

    /// Adds the gangs that agents report but that are not on the log: attached jobs.
    fn running_rows(&self, mut logged: Vec<Row>) -> Vec<Row> {
        let now_ms = unix_ms();
        let running = lock(&self.fleet).running(now_ms);
        for (job, gang) in running {
            if !logged.iter().any(|row| row["job"] == job.as_str()) {
                logged.push(rows::attached(&job, &gang, now_ms));
            }
        }
        logged
    }

    /// Returns the reasons for a job's present state.
    fn explain(&self, name: &str) -> Result<RowsAnswer> {
        let job = JobId::new(name);
        let known = self.with_fold(|fold| fold.jobs.get(&job).cloned()).flatten();
        let Some(known) = known else {
            let message = format!("job {name} is not known; jobs are named ACCOUNT/NAME");
            return Err(ApiError::new(404, "unknown_job", message));
        };
        let reasons: Vec<String> = match &known.stage {
            Stage::Ended(outcome) => vec![format!("it has ended: {}", json!(outcome))],
            Stage::Placed(placed) => {
                let workers: Vec<&str> = placed.placement.keys().map(WorkerId::as_str).collect();
                vec![format!("epoch {} holds {}", placed.epoch, workers.join(", "))]
            }
            Stage::Waiting => self.explain_waiting(&job, &known),
        };
        let rows = reasons.into_iter().map(|reason| Row::from([("reason".to_owned(), json!(reason))]));
        Ok(self.rows_answer(&["reason"], rows.collect()))
    }

    fn explain_waiting(&self, name: &JobId, job: &sorrelland_ledger::Job) -> Vec<String> {
        let mut reasons = Vec::new();
        if job.cancelled {
            reasons.push("it is being cancelled".to_owned());
        }
        if !self.is_own(job) {
            reasons.push(format!("claimed by entry {}", job.claimant.as_deref().unwrap_or("none")));
        }
        let tables = self.tables(unix_ms());
        let shape = job.spec.demand.shape;
        let view = sorrelland_core::view::View::with_free_capacity(&tables);
        let free: u32 = view.worker_rows.iter().map(|row| row.free.accelerators).sum();
        let fits = sorrelland_core::place::find(&view, &shape, &view.free()).is_some();
        if fits {
            reasons.push(format!("capacity for {shape} is free; it starts with the next scheduling pass"));
        } else {
            reasons.push(format!(
                "no {} has free capacity for {shape}; {free} accelerators are free in total",
                shape.span
            ));
        }
        let scheduler = lock(&self.scheduler);
        if let Some(reservation) = scheduler.reservations.get(name) {
            let workers: Vec<&str> = reservation.workers.iter().map(WorkerId::as_str).collect();
            let in_ms = reservation.start_ms.saturating_sub(unix_ms());
            reasons
                .push(format!("{} reserved for it, estimated to be free in {in_ms} ms", workers.join(", ")));
        }
        reasons
    }

    async fn change(&self, operator: &str, change: Change, options: &Options) -> Result<QueryAnswer> {
        if let Change::CancelJobs { conditions, confirm } = &change {
            return self.cancel_matching(operator, conditions, *confirm, options).await;
        }
        let command = self.to_command(change)?;
        if options.dry_run {
            return Ok(QueryAnswer::Rows(self.dry_run(&command)?));
        }
        let id = options.id.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let answer = self.send_command(operator, &id, options.base, command).await?;
        Ok(QueryAnswer::Commands { commands: vec![answer] })
    }

    fn to_command(&self, change: Change) -> Result<Command> {
        let command = match change {
            Change::SetAccount { account, settings } => {
                let account = AccountId::new(&account);
                let config = apply_settings(self.account(&account).unwrap_or_default(), settings);
                Command::SetAccount { account, config }
            }
            Change::Pause(account) => self.set_paused(&account, true)?,
            Change::Resume(account) => self.set_paused(&account, false)?,
            Change::RemoveAccount(account) => Command::RemoveAccount { account: AccountId::new(&account) },
            Change::Drain(worker) => Command::Drain { worker: WorkerId::new(&worker) },
            Change::Undrain(worker) => Command::Undrain { worker: WorkerId::new(&worker) },
            Change::CancelJob(job) => Command::Cancel { job: JobId::new(&job) },
            Change::CancelJobs { .. } => {
                return Err(ApiError::new(400, "syntax", "cancelling several jobs is not a single command"));
            }
        };
        Ok(command)
    }

    fn account(&self, account: &AccountId) -> Option<Account> {
        self.with_fold(|fold| fold.accounts.get(account).cloned()).flatten()
    }

    fn set_paused(&self, name: &str, paused: bool) -> Result<Command> {
        let account = AccountId::new(name);
        match self.account(&account) {
            Some(config) => Ok(Command::SetAccount { account, config: Account { paused, ..config } }),
            None => {
                Err(ApiError::new(404, "unknown_account", format!("client account {name} is not configured")))
            }
        }
    }

    /// Returns the backing that a command would change, without recording the command.
    fn dry_run(&self, command: &Command) -> Result<RowsAnswer> {
        self.check_command(command)?;
        let rows = match command {
            Command::SetAccount { account, config } => self.reclaimed_by(account, config),
            _ => Vec::new(),
        };
        Ok(self.rows_answer(rows::RECLAIM_COLUMNS, rows))
    }

    /// Returns the backing of an account under a changed configuration, with the gangs that borrow it.
    fn reclaimed_by(&self, account: &AccountId, config: &Account) -> Vec<Row> {
        let mut tables = self.tables(unix_ms());
        tables.accounts.insert(account.clone(), config.clone());
        tables.plan = sorrelland_core::plan::propose(&tables.accounts, &tables.workers, &tables.plan);
        let rows = rows::guarantees(&tables);
        rows.into_iter().filter(|row| row["account"] == account.as_str()).collect()
    }

    /// Cancels the open jobs that match; without the right number in `confirm` it only returns their number.
    async fn cancel_matching(
        &self,
        operator: &str,
        conditions: &[Condition],
        confirm: Option<usize>,
        options: &Options,
    ) -> Result<QueryAnswer> {
        let selection = Selection { conditions: conditions.to_vec(), ..Selection::default() };
        let (columns, all) = self.table_rows(Table::Jobs);
        select(Vec::new(), &selection, columns).map_err(|e| ApiError::new(400, "unknown_field", e))?;
        let is_open = |row: &Row| matches!(row["state"].as_str(), Some("waiting" | "running"));
        let jobs: Vec<JobId> = all
            .iter()
            .filter(|row| is_open(row) && matches(row, conditions))
            .filter_map(|row| row["job"].as_str().map(JobId::new))
            .collect();
        if options.dry_run || confirm != Some(jobs.len()) {
            let confirm = format!("repeat the statement with: confirm {}", jobs.len());
            return Ok(QueryAnswer::Wave { matching: jobs.len(), confirm });
        }
        let prefix = options.id.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let commands = self.cancel_jobs(operator, &prefix, &jobs).await?;
        Ok(QueryAnswer::Commands { commands })
    }
}

fn apply_settings(mut config: Account, settings: Vec<Setting>) -> Account {
    for setting in settings {
        match setting {
            Setting::Guarantee(shapes) => config.guarantee = shapes,
            Setting::Weight(weight) => config.weight = weight,
            Setting::Queue(limit) => config.queue_limit = limit,
            Setting::Requests(limit) => config.request_limit = limit,
        }
    }
    config
}

/// Returns a row of named values.
pub(super) fn row<const N: usize>(fields: [(&str, Value); N]) -> Row {
    BTreeMap::from(fields.map(|(name, value)| (name.to_owned(), value)))
}
