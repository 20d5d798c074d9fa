//! Carrying out a command line.

use std::io::{BufRead, IsTerminal};

use http::{Method, StatusCode};
use rustyline::DefaultEditor;
use serde_json::{Value, json};

use crate::args::{Args, Command, HELP};
use crate::call::{Answer, Entries, Error};
use crate::{plot, show};

/// Exit status when it is done.
pub const DONE: u8 = 0;

/// Exit status when it was refused or did not run.
pub const REFUSED: u8 = 1;

/// Exit status for wrong usage.
pub const USAGE: u8 = 2;

/// Exit status when the outcome is unknown or not known yet.
pub const UNKNOWN: u8 = 3;

/// Exit status when no entry answers.
pub const NO_ENTRY: u8 = 4;

/// Carries out a command line and returns the exit status.
pub async fn run(args: &Args) -> u8 {
    let entries = Entries::new(args);
    match &args.command {
        Command::Help => {
            print!("{HELP}");
            DONE
        }
        Command::Version => {
            println!("sorrellandctl {}", env!("CARGO_PKG_VERSION"));
            DONE
        }
        Command::Request { body, idempotent, deadline_ms } => {
            finish(args, entries.request(body, *idempotent, *deadline_ms).await)
        }
        Command::Submit { body } => finish(args, entries.call(Method::POST, "/v1/jobs", Some(body)).await),
        Command::Job { name } => {
            finish(args, entries.call(Method::GET, &format!("/v1/jobs/{name}"), None).await)
        }
        Command::CancelJob { name } => {
            finish(args, entries.call(Method::DELETE, &format!("/v1/jobs/{name}"), None).await)
        }
        Command::Platform { view, svg } => {
            let answer = entries.call(Method::GET, &format!("/show/{view}"), None).await;
            if let (Ok(answer), Some(path)) = (&answer, svg)
                && let Err(e) = std::fs::write(path, plot::burn(&answer.body))
            {
                eprintln!("{path}: {e}");
                return USAGE;
            }
            finish(args, answer)
        }
        Command::Statement { text } => statement(args, &entries, text).await,
        Command::File { path } => match std::fs::read_to_string(path) {
            Ok(text) => statements(args, &entries, text.lines().map(str::to_owned)).await,
            Err(e) => {
                eprintln!("{path}: {e}");
                USAGE
            }
        },
        Command::Interactive if std::io::stdin().is_terminal() => interactive(args, &entries).await,
        Command::Interactive => {
            let lines: Vec<String> = std::io::stdin().lock().lines().map_while(Result::ok).collect();
            statements(args, &entries, lines.into_iter()).await
        }
    }
}

async fn statement(args: &Args, entries: &Entries, text: &str) -> u8 {
    // Checked here first, so that a mistake is shown without an entry.
    if let Err(e) = sorrelland_lang::parse(text) {
        eprintln!("{text}\n{}^ {e}", " ".repeat(e.column.saturating_sub(1)));
        return USAGE;
    }
    let body = json!({ "text": text });
    finish(args, entries.call(Method::POST, "/v1/query", Some(&body)).await)
}

/// Sends statements in order; empty lines and comments are skipped; the first that fails ends it.
async fn statements(args: &Args, entries: &Entries, lines: impl Iterator<Item = String>) -> u8 {
    for line in lines {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let status = statement(args, entries, line).await;
        if status != DONE {
            return status;
        }
    }
    DONE
}

async fn interactive(args: &Args, entries: &Entries) -> u8 {
    let mut editor = match DefaultEditor::new() {
        Ok(editor) => editor,
        Err(e) => {
            eprintln!("no terminal: {e}");
            return USAGE;
        }
    };
    let mut status = DONE;
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
        status = statement(args, entries, text).await;
    }
    status
}

fn finish(args: &Args, answer: Result<Answer, Error>) -> u8 {
    match answer {
        Ok(answer) => {
            match args.json {
                true => println!("{}", answer.body),
                false => print!("{}", show::text(&answer.body)),
            }
            status(&answer)
        }
        Err(e) => {
            eprintln!("{e}");
            match e {
                Error::NoEntry(_) => NO_ENTRY,
                Error::Unknown(_) => UNKNOWN,
            }
        }
    }
}

/// Returns the exit status that an answer means.
pub fn status(answer: &Answer) -> u8 {
    let body = &answer.body;
    let word = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let outcome = match &body["outcome"] {
        Value::Object(outcome) => word(&outcome["outcome"]),
        other => word(other),
    };
    let commands = body["commands"].as_array().cloned().unwrap_or_default();
    let results: Vec<String> = commands.iter().map(|command| word(&command["result"])).collect();
    if outcome == "unknown" || word(&body["error_code"]) == "not_known_yet" {
        return UNKNOWN;
    }
    if results.iter().any(|result| result == "not_known_yet") {
        return UNKNOWN;
    }
    let refused = matches!(outcome.as_str(), "not_run" | "failed") || results.iter().any(|r| r == "void");
    match answer.status {
        _ if refused => REFUSED,
        StatusCode::BAD_REQUEST => USAGE,
        status if status.is_success() => DONE,
        _ => REFUSED,
    }
}
