//! What the workers did, read from the lines that they printed.

use std::collections::BTreeMap;
use std::path::Path;
use std::{fmt, fs, io};

use crate::deployment::Life;
use crate::jobs::Needs;

/// End of a run on a worker that a run crashed.
pub const CRASHED: &str = "crashed";

/// End of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    pub at_ms: u64,
    /// `done`, `failed`, `stopped`, `lapsed`, `broken` or `alone`; `down` or `crashed` if its worker went down.
    pub how: String,
    /// Whether the agent acknowledged it, with no lapse of the worker's lease in between.
    pub noted: bool,
}

/// A run of a subtask; times in milliseconds on the wall clock.
#[derive(Clone, Debug)]
pub struct Run {
    pub job: String,
    pub occurrence: u64,
    pub step: usize,
    pub index: u64,
    pub run: u64,
    pub worker: usize,
    pub life: String,
    pub spec: String,
    pub start_ms: u64,
    pub end: Option<End>,
}

impl Run {
    pub fn end_ms(&self) -> u64 {
        self.end.as_ref().map_or(u64::MAX, |end| end.at_ms)
    }

    pub fn ended(&self, how: &str) -> bool {
        self.end.as_ref().is_some_and(|end| end.how == how)
    }

    pub fn is_noted(&self) -> bool {
        self.end.as_ref().is_some_and(|end| end.noted)
    }

    /// Returns how and when the run ended, as text.
    pub fn ending(&self) -> String {
        let end = self.end.as_ref();
        end.map_or("runs on".to_owned(), |end| format!("ended {} at {}", end.how, end.at_ms))
    }

    fn parse(life: &Life, line: &str, start_ms: u64) -> Option<Self> {
        let mut task = field(line, "task")?.split('.');
        Some(Self {
            job: task.next()?.to_owned(),
            occurrence: task.next()?.parse().ok()?,
            step: task.next()?.parse().ok()?,
            index: task.next()?.parse().ok()?,
            run: number(line, "run"),
            worker: life.worker,
            life: life.name.clone(),
            spec: line.split("spec=").nth(1)?.trim_matches('"').to_owned(),
            start_ms,
            end: None,
        })
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { job, occurrence, step, index, run, start_ms, life, .. } = self;
        write!(f, "{job}.{occurrence}.{step}.{index} run {run} started at {start_ms} on {life}")
    }
}

/// All runs of all workers.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Ordered by start.
    pub runs: Vec<Run>,
    /// Capacities of each incarnation with the times from which they hold.
    pub capacities: BTreeMap<String, Vec<(u64, Needs)>>,
    /// When the draining of an incarnation was acknowledged.
    pub draining_ms: BTreeMap<String, u64>,
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!(" {name}="))? + name.len() + 2;
    line[start..].split(' ').next()
}

fn number(line: &str, name: &str) -> u64 {
    field(line, name).and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl History {
    /// Reads the output of each incarnation from its log file in `dir`.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read.
    pub fn read(dir: &Path, lives: &[Life]) -> io::Result<Self> {
        let mut history = Self::default();
        for life in lives {
            history.read_life(life, &fs::read_to_string(dir.join(format!("{}.log", life.name)))?);
        }
        history.runs.sort_by_key(|run| run.start_ms);
        Ok(history)
    }

    fn read_life(&mut self, life: &Life, log: &str) {
        let mut runs: Vec<Run> = Vec::new();
        let mut positions = BTreeMap::new();
        // Ends that the agent has not acknowledged: number and position in `runs`.
        let mut unnoted: BTreeMap<u64, usize> = BTreeMap::new();
        let (mut leased_until_ms, mut lapsed_ms, mut left_ms) = (0, 0, None);
        let mut has_crashed = false;
        for line in log.lines() {
            let at_ms = line.strip_prefix("at_ms=").and_then(|rest| rest.split(' ').next()?.parse().ok());
            let Some(at_ms) = at_ms else { continue };
            let task = field(line, "task").unwrap_or_default();
            match field(line, "event").unwrap_or_default() {
                "started" => {
                    let Some(run) = Run::parse(life, line, at_ms) else { continue };
                    positions.insert((task, run.run), runs.len());
                    runs.push(run);
                }
                "ended" => {
                    let Some(&position) = positions.get(&(task, number(line, "run"))) else { continue };
                    let how = field(line, "how").unwrap_or_default().to_owned();
                    runs[position].end = Some(End { at_ms, how, noted: false });
                    // The end of a run may be printed after a lapse that followed it.
                    if at_ms > lapsed_ms {
                        unnoted.insert(number(line, "n"), position);
                    }
                }
                "acknowledged" => {
                    let later = unnoted.split_off(&(number(line, "n") + 1));
                    for position in std::mem::replace(&mut unnoted, later).into_values() {
                        if let Some(end) = &mut runs[position].end {
                            end.noted = true;
                        }
                    }
                }
                "lease_lapsed" => {
                    // Ends before the lapse can't be noted any more.
                    lapsed_ms = at_ms;
                    unnoted.clear();
                }
                "leased" => leased_until_ms = number(line, "until_ms"),
                "draining_acknowledged" => {
                    self.draining_ms.insert(life.name.clone(), at_ms);
                }
                "left" => left_ms = Some(at_ms),
                "crashed" => {
                    left_ms = Some(at_ms);
                    has_crashed = true;
                }
                "born" | "capacity" => {
                    let needs = (number(line, "cpu"), number(line, "memory_mb"), number(line, "gpu"));
                    self.capacities.entry(life.name.clone()).or_default().push((at_ms, needs));
                }
                _ => {}
            }
        }
        if let Some(down_ms) = left_ms.into_iter().chain(life.killed_ms).min() {
            // A run ends with its lease even on a worker that was suspended when it was killed.
            for run in runs.iter_mut().filter(|run| run.end.is_none()) {
                let at_ms = down_ms.min(leased_until_ms).max(run.start_ms);
                let how = if has_crashed { CRASHED } else { "down" };
                run.end = Some(End { at_ms, how: how.to_owned(), noted: false });
            }
        }
        self.runs.extend(runs);
    }
}
