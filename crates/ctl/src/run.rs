//! Runs the parsed command.

use std::io::{BufRead, IsTerminal};

use http::{Method, StatusCode};
use rustyline::DefaultEditor;
use serde_json::{Value, json};

use crate::args::{Args, Command, HELP};
use crate::call::{EntryClient, Error, Response};
use crate::{late, plot, runs, show};

/// Exit status of a command that succeeded.
pub const EXIT_DONE: u8 = 0;

/// Exit status of a command that was refused, failed or did not run.
pub const EXIT_REFUSED: u8 = 1;

/// Exit status for a usage error, a malformed request, or a local file that cannot be read or written.
pub const EXIT_USAGE: u8 = 2;

/// Exit status for an outcome that is unknown or not known yet.
pub const EXIT_UNKNOWN: u8 = 3;

/// Exit status if no entry can be reached.
pub const EXIT_NO_ENTRY: u8 = 4;

/// Runs the command and returns the exit status.
pub async fn run(args: &Args) -> u8 {
    let client = EntryClient::new(args);
    match &args.command {
        Command::Help => {
            print!("{HELP}");
            EXIT_DONE
        }
        Command::Version => {
            println!("sorrellandctl {}", env!("CARGO_PKG_VERSION"));
            EXIT_DONE
        }
        Command::Request { body, idempotent, deadline_ms } => {
            report(args, client.request(body, *idempotent, *deadline_ms).await)
        }
        Command::Submit { body } => report(args, client.call(Method::POST, "/v1/jobs", Some(body)).await),
        Command::Job { name } => {
            report(args, client.call(Method::GET, &format!("/v1/jobs/{name}"), None).await)
        }
        Command::CancelJob { name } => {
            report(args, client.call(Method::DELETE, &format!("/v1/jobs/{name}"), None).await)
        }
        Command::Platform { view, svg } => {
            let response = client.call(Method::GET, &format!("/show/{view}"), None).await;
            if let (Ok(response), Some(path)) = (&response, svg)
                && let Err(e) = std::fs::write(path, plot::burn_chart(&response.body))
            {
                eprintln!("{path}: {e}");
                return EXIT_USAGE;
            }
            report(args, response)
        }
        Command::Explain { path } => match read_job(path) {
            Ok(job) => report(args, client.call(Method::POST, "/show/explain", Some(&job)).await),
            Err(e) => {
                eprintln!("{path}: {e}");
                EXIT_USAGE
            }
        },
        Command::Late { files, since_ms } => report_late_jobs(args, files, *since_ms),
        Command::Runs { task, files } => report_runs(args, task, files),
        Command::Statement { text } => run_statement(args, &client, text).await,
        Command::File { path } => match std::fs::read_to_string(path) {
            Ok(text) => run_statements(args, &client, text.lines().map(str::to_owned)).await,
            Err(e) => {
                eprintln!("{path}: {e}");
                EXIT_USAGE
            }
        },
        Command::Interactive if std::io::stdin().is_terminal() => run_interactive(args, &client).await,
        Command::Interactive => {
            let lines: Vec<String> = std::io::stdin().lock().lines().map_while(Result::ok).collect();
            run_statements(args, &client, lines.into_iter()).await
        }
    }
}

fn report_late_jobs(args: &Args, files: &[String], since_ms: i64) -> u8 {
    let Some(texts) = read_files(files) else { return EXIT_USAGE };
    let report = late::report(texts.iter().flat_map(|text| text.lines()), since_ms);
    match args.json {
        true => println!("{}", json!({"causes": report.causes_json(), "late": report.jobs_json()})),
        false => {
            println!("{}", show::to_text(&report.causes_json()));
            print!("{}", show::to_text(&report.jobs_json()));
        }
    }
    EXIT_DONE
}

fn report_runs(args: &Args, task: &str, files: &[String]) -> u8 {
    let Some(texts) = read_files(files) else { return EXIT_USAGE };
    let logs: Vec<runs::Log<'_>> =
        files.iter().zip(&texts).map(|(path, text)| runs::Log { path, text }).collect();
    let report = runs::report(&logs, task);
    if report.runs.is_empty() {
        eprintln!("{task}: no log names a run of it");
        return EXIT_REFUSED;
    }
    match args.json {
        true => println!(
            "{}",
            json!({
                "runs": report.runs_json(),
                "overlaps": report.overlaps_json(),
                "lines": report.lines_json(),
            })
        ),
        false => {
            println!("{}", report.lines_text());
            println!("{}", show::to_text(&report.runs_json()));
            print!("{}", report.overlaps_text());
        }
    }
    EXIT_DONE
}

/// Reads a job from a JSON file.
///
/// # Errors
///
/// Returns why the file can't be read, or is not a JSON object.
pub fn read_job(path: &str) -> Result<Value, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    match serde_json::from_str(&text) {
        Ok(job @ Value::Object(_)) => Ok(job),
        Ok(_) => Err("not a job: a JSON object with queue, account and steps is needed".to_owned()),
        Err(e) => Err(format!("not JSON: {e}")),
    }
}

/// Reads files; `None` if one can't be read, which is reported on standard error.
fn read_files(paths: &[String]) -> Option<Vec<String>> {
    let read = |path: &String| match std::fs::read(path) {
        Ok(bytes) => Some(String::from_utf8_lossy(&bytes).into_owned()),
        Err(e) => {
            eprintln!("{path}: {e}");
            None
        }
    };
    paths.iter().map(read).collect()
}

async fn run_statement(args: &Args, client: &EntryClient, text: &str) -> u8 {
    // The statement is parsed locally first, so that syntax errors are reported without contacting an entry.
    if let Err(e) = sorrelland_lang::parse(text) {
        eprintln!("{text}\n{}^ {e}", " ".repeat(e.column.saturating_sub(1)));
        return EXIT_USAGE;
    }
    let body = json!({ "text": text });
    report(args, client.call(Method::POST, "/v1/query", Some(&body)).await)
}

/// Runs statements in order until one fails. Empty lines and comments are skipped.
async fn run_statements(args: &Args, client: &EntryClient, lines: impl Iterator<Item = String>) -> u8 {
    for line in lines {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let status = run_statement(args, client, line).await;
        if status != EXIT_DONE {
            return status;
        }
    }
    EXIT_DONE
}

async fn run_interactive(args: &Args, client: &EntryClient) -> u8 {
    let mut editor = match DefaultEditor::new() {
        Ok(editor) => editor,
        Err(e) => {
            eprintln!("no terminal: {e}");
            return EXIT_USAGE;
        }
    };
    let mut status = EXIT_DONE;
    while let Ok(line) = editor.readline("sorrelland> ") {
        let text = line.trim();
        match text {
            "" => continue,
            "exit" | "quit" => break,
            _ => {}
        }
        if let Err(e) = editor.add_history_entry(text) {
            eprintln!("history: {e}");
        }
        status = run_statement(args, client, text).await;
    }
    status
}

fn report(args: &Args, response: Result<Response, Error>) -> u8 {
    match response {
        Ok(response) => {
            match args.json {
                true => println!("{}", response.body),
                false => print!("{}", show::to_text(&response.body)),
            }
            exit_status(&response)
        }
        Err(e) => {
            eprintln!("{e}");
            match e {
                Error::NoEntry(_) => EXIT_NO_ENTRY,
                Error::OutcomeUnknown(_) => EXIT_UNKNOWN,
            }
        }
    }
}

/// Returns the exit status for a response.
pub fn exit_status(response: &Response) -> u8 {
    let body = &response.body;
    let string = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let outcome = match &body["outcome"] {
        Value::Object(outcome) => string(&outcome["outcome"]),
        other => string(other),
    };
    let commands = body["commands"].as_array().cloned().unwrap_or_default();
    let results: Vec<String> = commands.iter().map(|command| string(&command["result"])).collect();
    if outcome == "unknown" || string(&body["error_code"]) == "not_known_yet" {
        return EXIT_UNKNOWN;
    }
    if results.iter().any(|result| result == "not_known_yet") {
        return EXIT_UNKNOWN;
    }
    let refused = matches!(outcome.as_str(), "not_run" | "failed") || results.iter().any(|r| r == "void");
    match response.status {
        _ if refused => EXIT_REFUSED,
        StatusCode::BAD_REQUEST => EXIT_USAGE,
        status if status.is_success() => EXIT_DONE,
        _ => EXIT_REFUSED,
    }
}
