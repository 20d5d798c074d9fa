//! Report on the runs of one subtask: reads the log lines of all processes, and shows which runs may have overlapped
//! and why an earlier one was given up.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

use crate::log_line::LogLine;

/// Greatest difference between the clocks of two machines that is allowed for, in milliseconds.
const MAX_CLOCK_DIFFERENCE_MS: i64 = 1_000;

/// Events of an agent about its worker.
const AGENT_EVENTS: [&str; 8] = [
    "worker_announced",
    "announcement_ignored",
    "announcement_skipped",
    "worker_left",
    "worker_replaced",
    "leases_lapsed",
    "incarnation_ended",
    "look_failed",
];

/// Events of the planner about a worker or its agent.
const PLANNER_EVENTS: [&str; 5] =
    ["worker_joined", "worker_draining", "worker_lost", "agent_restarted", "report_ignored"];

/// Events of the leadership.
const LEADERSHIP_EVENTS: [&str; 2] = ["office_taken", "office_ended"];

/// Cause on which an agent gave up runs without an answer from the worker that they had ended.
const UNCONFIRMED_CAUSE: &str = "announcement";

/// The log of a process.
#[derive(Clone, Copy, Debug)]
pub struct Log<'a> {
    /// Path of the file.
    pub path: &'a str,
    pub text: &'a str,
}

/// Runs of a subtask, what may have overlapped, and the lines that they follow from.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub task: String,
    /// Runs in the order of their starts.
    pub runs: Vec<Run>,
    pub overlaps: Vec<Overlap>,
    /// Lines on the subtask, its workers and their agents, ordered by time.
    pub lines: Vec<Line>,
}

/// A line of a process.
#[derive(Clone, Debug)]
pub struct Line {
    /// Instance and role of the process if its log has them, otherwise the path of its log.
    pub process: String,
    /// The line from its time on.
    pub text: String,
    parsed: LogLine,
}

/// A run of the subtask on one worker incarnation. All times are in milliseconds since 1970.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub number: u64,
    pub worker: String,
    pub agent: String,
    pub placed_ms: Option<i64>,
    pub started_ms: Option<i64>,
    pub end: Option<End>,
}

/// The end of a run for the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    pub at_ms: i64,
    /// How it ended, or why the planner gave it up.
    pub reason: String,
    /// Why the run may go on; `None` if its worker answered that it has ended, or its lease had certainly expired.
    pub doubt: Option<Doubt>,
}

/// The run was given up before its end was confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// What it was given up for.
    pub cause: String,
    /// Latest end of its lease; `None` if no log shows it.
    pub lease_end_ms: Option<i64>,
    /// Newest announcement of the worker after that.
    pub announced_ms: Option<i64>,
}

/// Two runs of which the later one started when the earlier one may have been running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overlap {
    pub earlier: u64,
    pub later: u64,
    /// What it follows from.
    pub text: String,
}

/// Builds the report on a subtask, such as `JOB.0.0.17`, from the logs of all processes.
pub fn report(logs: &[Log<'_>], task: &str) -> Report {
    let mut all: Vec<Line> = logs.iter().flat_map(lines_of).collect();
    all.sort_by_key(|line| line.parsed.at_ms);
    let mut runs = runs_of(&all, task);
    let workers: BTreeSet<&str> = runs.iter().map(|run| run.worker.as_str()).collect();
    let agents: BTreeSet<&str> = all
        .iter()
        .filter(|line| {
            line.parsed.event() == "worker_joined" && workers.contains(joined_incarnation(&line.parsed))
        })
        .map(|line| line.parsed.field("agent"))
        .collect();
    let processes: BTreeSet<&str> = all
        .iter()
        .filter(|line| AGENT_EVENTS.contains(&line.parsed.event()))
        .filter(|line| workers.contains(line.parsed.field("worker")))
        .map(|line| line.process.as_str())
        .collect();
    let concerns = |line: &&Line| {
        let (event, field) = (line.parsed.event(), |key| line.parsed.field(key));
        names_task(&line.parsed, task)
            || LEADERSHIP_EVENTS.contains(&event)
            || PLANNER_EVENTS.contains(&event)
                && (workers.contains(field("worker"))
                    || workers.contains(field("replaced_by"))
                    || workers.contains(field("known_worker"))
                    || agents.contains(field("agent")))
            || processes.contains(line.process.as_str())
                && (AGENT_EVENTS.contains(&event) || event == "stopping" || is_process_start(&line.parsed))
    };
    let lines: Vec<Line> = all.iter().filter(concerns).cloned().collect();
    for run in &mut runs {
        run.end = end_of(run, &lines, task);
    }
    let overlaps = overlaps(&runs);
    Report { task: task.to_owned(), runs, overlaps, lines }
}

fn is_process_start(line: &LogLine) -> bool {
    line.event() == "started" && !line.field("role").is_empty()
}

fn lines_of(log: &Log<'_>) -> Vec<Line> {
    let parsed = log.text.lines().filter_map(|text| Some((text, LogLine::parse(text)?)));
    let parsed: Vec<(&str, LogLine)> = parsed.collect();
    let start = parsed.iter().map(|(_, line)| line).find(|line| is_process_start(line));
    let process = start.map_or_else(
        || log.path.to_owned(),
        |line| format!("{}/{}", line.field("instance"), line.field("role")),
    );
    let line = |(text, parsed): (&str, LogLine)| {
        let from = text.find("ts=").unwrap_or_default();
        Line { process: process.clone(), text: text[from..].to_owned(), parsed }
    };
    parsed.into_iter().map(line).collect()
}

/// Returns the offset of the subtask within the unit whose first member is `first`.
fn offset_in_unit(task: &str, first: &str) -> Option<usize> {
    let (step, index) = task.rsplit_once('.')?;
    let (first_step, first_index) = first.rsplit_once('.')?;
    let (index, first_index): (usize, usize) = (index.parse().ok()?, first_index.parse().ok()?);
    (step == first_step).then(|| index.checked_sub(first_index))?
}

/// Returns the worker on which a line places the subtask; the line of a gang names its first member.
fn placed_on<'a>(line: &'a LogLine, task: &str) -> Option<&'a str> {
    let offset = offset_in_unit(task, line.field("task"))?;
    line.field("workers").split(',').nth(offset).filter(|worker| !worker.is_empty())
}

fn names_task(line: &LogLine, task: &str) -> bool {
    line.field("task") == task || line.event() == "placed" && placed_on(line, task).is_some()
}

/// Returns the incarnation that joined; a line names it only where it differs from the worker's name.
fn joined_incarnation(line: &LogLine) -> &str {
    match line.field("incarnation") {
        "" => line.field("worker"),
        incarnation => incarnation,
    }
}

/// Returns the runs in the order of their starts, without their ends.
fn runs_of(lines: &[Line], task: &str) -> Vec<Run> {
    let mut runs: BTreeMap<(u64, &str), Run> = BTreeMap::new();
    let mut agents: BTreeMap<&str, &str> = BTreeMap::new();
    for Line { parsed, .. } in lines {
        if parsed.event() == "worker_joined" {
            agents.insert(joined_incarnation(parsed), parsed.field("agent"));
        }
        let worker = match parsed.event() {
            "placed" => placed_on(parsed, task),
            "started" if parsed.field("task") == task => Some(parsed.field("worker")),
            _ => None,
        };
        let (Some(worker), Some(number)) = (worker, parsed.number("run")) else { continue };
        let run = runs.entry((number, worker)).or_default();
        let at = if parsed.event() == "placed" { &mut run.placed_ms } else { &mut run.started_ms };
        at.get_or_insert(parsed.at_ms);
    }
    let named = |((number, worker), run): ((u64, &str), Run)| {
        let agent = agents.get(worker).copied().unwrap_or_default().to_owned();
        Run { number, worker: worker.to_owned(), agent, ..run }
    };
    let mut runs: Vec<Run> = runs.into_iter().map(named).collect();
    runs.sort_by_key(Run::begin_ms);
    runs
}

/// Returns the end of a run by the planner's line on it, and what agents logged before it.
fn end_of(run: &Run, lines: &[Line], task: &str) -> Option<End> {
    let mut parsed = lines.iter().map(|line| &line.parsed);
    let line = parsed.find(|line| {
        matches!(line.event(), "run_ended" | "run_gone")
            && line.field("task") == task
            && line.number("run") == Some(run.number)
            && line.field("worker") == run.worker
    })?;
    let at_ms = line.at_ms;
    if line.event() == "run_ended" {
        return Some(End { at_ms, reason: line.field("how").to_owned(), doubt: None });
    }
    let earliest_ms = run.begin_ms() - MAX_CLOCK_DIFFERENCE_MS;
    let given_up = lines.iter().find(|line| {
        line.parsed.event() == "incarnation_ended"
            && line.parsed.field("worker") == run.worker
            && (earliest_ms..=at_ms + MAX_CLOCK_DIFFERENCE_MS).contains(&line.parsed.at_ms)
    });
    let doubt = match given_up {
        Some(line) if line.parsed.field("cause") == UNCONFIRMED_CAUSE => Some(Doubt {
            cause: format!(
                "{} gave it up at {}: {}",
                line.process,
                time(line.parsed.at_ms),
                cause(&line.parsed)
            ),
            lease_end_ms: line.parsed.number("lease_left_ms").map(|left: i64| line.parsed.at_ms + left),
            announced_ms: last_announced(lines, &run.worker, line.parsed.at_ms),
        }),
        Some(_) => None,
        None if line.field("replaced_by").is_empty() && !line.field("agent").is_empty() => None,
        None => Some(Doubt {
            cause: format!(
                "the planner gave it up at {}: {} (report seq {} of {}, incarnation {})",
                time(at_ms),
                line.field("why"),
                line.field("seq"),
                line.field("agent"),
                line.field("agent_incarnation")
            ),
            lease_end_ms: None,
            announced_ms: last_announced(lines, &run.worker, at_ms),
        }),
    };
    Some(End { at_ms, reason: line.field("why").to_owned(), doubt })
}

/// Returns what an agent gave up an incarnation for.
fn cause(line: &LogLine) -> String {
    let field = |key| line.field(key);
    match field("cause") {
        "announcement" => format!(
            "an announcement of {} (service {}, address {}, seq {}, from {}) counted as its next incarnation",
            field("replaced_by"),
            field("service"),
            field("address"),
            field("seq"),
            field("from")
        ),
        other => other.to_owned(),
    }
}

/// Returns when an agent last logged an announcement of a worker after `from_ms`.
fn last_announced(lines: &[Line], worker: &str, from_ms: i64) -> Option<i64> {
    let announced = lines.iter().map(|line| &line.parsed).filter(|line| {
        matches!(line.event(), "worker_announced" | "announcement_ignored")
            && line.field("worker") == worker
            && line.at_ms > from_ms
    });
    announced.map(|line| line.at_ms).max()
}

impl Run {
    /// Returns when the run may have begun.
    fn begin_ms(&self) -> i64 {
        self.placed_ms.or(self.started_ms).unwrap_or_default()
    }

    /// Returns why the run may have been running at the start of a later one; `None` if it had certainly ended.
    fn overlap(&self, later: &Self) -> Option<String> {
        let started_ms = later.started_ms.unwrap_or(later.begin_ms());
        match &self.end {
            None => Some("no log shows its end".to_owned()),
            Some(End { at_ms, doubt: None, .. }) => {
                (*at_ms > later.begin_ms()).then(|| format!("it ended at {}", time(*at_ms)))
            }
            Some(End { doubt: Some(doubt), .. }) => {
                if doubt.lease_end_ms.is_some_and(|end_ms| end_ms <= started_ms) {
                    return None;
                }
                let lease = doubt.lease_end_ms.map_or_else(
                    || "no log shows its lease".to_owned(),
                    |end_ms| format!("its lease might last until {}", time(end_ms)),
                );
                let announced = doubt
                    .announced_ms
                    .map(|at_ms| format!("; its worker announced itself at {} again", time(at_ms)));
                Some(format!("{}; {lease}{}", doubt.cause, announced.unwrap_or_default()))
            }
        }
    }
}

fn overlaps(runs: &[Run]) -> Vec<Overlap> {
    let mut overlaps = Vec::new();
    for (index, later) in runs.iter().enumerate() {
        for earlier in &runs[..index] {
            let Some(why) = earlier.overlap(later) else { continue };
            let text = format!(
                "run {} on {} may have been running when run {} started on {} at {}: {why}",
                earlier.number,
                earlier.worker,
                later.number,
                later.worker,
                time(later.started_ms.unwrap_or(later.begin_ms()))
            );
            overlaps.push(Overlap { earlier: earlier.number, later: later.number, text });
        }
    }
    overlaps
}

/// Formats a time as in the logs, without the date.
fn time(ms: i64) -> String {
    chrono::DateTime::from_timestamp_millis(ms)
        .map_or_else(String::new, |at| at.format("%H:%M:%S%.3fZ").to_string())
}

impl Report {
    /// Returns the runs as a table.
    pub fn runs_json(&self) -> Value {
        let row = |run: &Run| {
            let end = run.end.as_ref();
            json!({
                "run": run.number,
                "worker": run.worker,
                "agent": run.agent,
                "placed": run.placed_ms.map(time),
                "started": run.started_ms.map(time),
                "ended": end.map(|end| time(end.at_ms)),
                "confirmed": end.map(|end| end.doubt.is_none()),
                "why": end.map(|end| end.reason.as_str()),
            })
        };
        let columns = ["run", "worker", "agent", "placed", "started", "ended", "confirmed", "why"];
        json!({"columns": columns, "rows": self.runs.iter().map(row).collect::<Vec<_>>()})
    }

    /// Returns the overlaps.
    pub fn overlaps_json(&self) -> Value {
        let overlap = |overlap: &Overlap| json!({"earlier": overlap.earlier, "later": overlap.later, "why": overlap.text});
        self.overlaps.iter().map(overlap).collect()
    }

    /// Returns the lines, ordered by time.
    pub fn lines_json(&self) -> Value {
        let line = |line: &Line| json!({"process": line.process, "line": line.text});
        self.lines.iter().map(line).collect()
    }

    /// Returns the lines as text, each after the name of its process.
    pub fn lines_text(&self) -> String {
        let width = self.lines.iter().map(|line| line.process.len()).max().unwrap_or_default();
        let lines = self.lines.iter().map(|line| format!("{:width$}  {}\n", line.process, line.text));
        lines.collect()
    }

    /// Returns the conclusion as text.
    pub fn overlaps_text(&self) -> String {
        match self.overlaps.as_slice() {
            [] => "no overlap: by the logs every run had ended before the next one started\n".to_owned(),
            overlaps => overlaps.iter().map(|overlap| format!("overlap: {}\n", overlap.text)).collect(),
        }
    }
}
