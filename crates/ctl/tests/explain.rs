//! Tests the command that shows where a job would be placed.

use std::path::PathBuf;

use serde_json::json;
use sorrelland_ctl::args::{Command, parse};
use sorrelland_ctl::run::read_job;
use sorrelland_ctl::show::to_text;

fn command(args: &[&str]) -> Result<Command, String> {
    let parser = lexopt::Parser::from_args(args);
    parse(parser, None).map(|args| args.command).map_err(|e| e.to_string())
}

/// Writes a file for one test, named after it.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

// Guards against a file name that is taken for a view, and against a request without a job.
#[test]
fn parse_explain_takes_one_file() {
    let explain = Command::Explain { path: "job.json".to_owned() };
    assert_eq!(command(&["platform", "explain", "job.json"]), Ok(explain));
    for wrong in [&["platform", "explain"][..], &["platform", "explain", "a", "b"]] {
        assert_eq!(command(wrong), Err("platform explain takes one file".to_owned()));
    }
}

// Guards against bad input that is sent to an entry, or reported without its place.
#[test]
fn read_job_names_what_is_wrong() {
    let good = file("good.json", r#"{"queue": "q", "steps": []}"#);
    assert_eq!(read_job(&good), Ok(json!({"queue": "q", "steps": []})));
    let error = read_job(&file("damaged.json", "{\n\"queue\": }")).unwrap_err();
    assert!(error.starts_with("not JSON: ") && error.contains("line 2"), "{error}");
    let error = read_job(&file("list.json", "[1]")).unwrap_err();
    assert!(error.contains("queue, account and steps"), "{error}");
    assert!(read_job("/nowhere/job.json").is_err());
}

// Guards against chosen workers that the table cuts off.
#[test]
fn to_text_shows_all_workers_of_a_wide_gang() {
    let workers: Vec<String> = (0..24).map(|at| format!("worker-{at:02}")).collect();
    let why = format!("placed on {}", workers.join(", "));
    let body = json!({
        "columns": ["step", "subtasks", "placed", "waiting", "why"],
        "rows": [{"step": 0, "subtasks": 24, "placed": 24, "waiting": 0, "why": why}],
        "more": false,
        "admitted": true,
        "stops": 0,
    });
    let text = to_text(&body);
    assert!(text.contains("worker-00, worker-01") && text.contains("worker-23"), "{text}");
    assert!(text.contains("admitted: true"), "{text}");
}
