//! Checks of what happened at the workers.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// One event at a worker.
#[derive(Clone, Debug)]
pub struct Event {
    pub worker: String,
    pub at_ms: u64,
    pub what: String,
    pub of: String,
    pub id: String,
    pub epoch: u64,
}

impl Event {
    pub fn new(worker: &str, at_ms: u64, what: &str, of: &str, id: &str, epoch: u64) -> Self {
        let [worker, what, of, id] = [worker, what, of, id].map(str::to_owned);
        Self { worker, at_ms, what, of, id, epoch }
    }

    pub fn read(worker: &str, event: &Value) -> Self {
        let text = |name: &str| event[name].as_str().unwrap_or_default().to_owned();
        let number = |name: &str| event[name].as_u64().unwrap_or_default();
        Self::new(worker, number("at_ms"), &text("what"), &text("of"), &text("id"), number("epoch"))
    }
}

/// Returns every way in which a history breaks the promises.
///
/// `members` tells how many workers each job needs; `bound_ms` is the time within which the rest of a gang
/// stops after a member ended or never started.
pub fn violations(events: &[Event], members: &BTreeMap<String, usize>, bound_ms: u64) -> Vec<String> {
    let mut found = doubled_keys(events);
    for (job, needed) in members {
        found.extend(partial_gangs(events, job, *needed, bound_ms));
        found.extend(overlapping_epochs(events, job));
    }
    found
}

/// A key, or a request without one, runs once.
fn doubled_keys(events: &[Event]) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for event in events.iter().filter(|event| event.what == "request" && !event.id.is_empty()) {
        *runs.entry(&event.id).or_default() += 1;
    }
    let doubled = runs.into_iter().filter(|(_, count)| *count > 1);
    doubled.map(|(key, count)| format!("key {key} ran {count} times")).collect()
}

/// The span in which a task ran.
struct Span<'a> {
    worker: &'a str,
    epoch: u64,
    start_ms: u64,
    end_ms: u64,
    done: bool,
}

fn spans<'a>(events: &'a [Event], job: &str) -> Vec<Span<'a>> {
    let mine = || events.iter().filter(|event| event.of == job);
    mine()
        .filter(|event| event.what == "start")
        .map(|start| {
            let same = |event: &&Event| event.id == start.id && event.worker == start.worker;
            let end = mine().filter(same).find(|event| event.what != "start");
            Span {
                worker: &start.worker,
                epoch: start.epoch,
                start_ms: start.at_ms,
                end_ms: end.map_or(u64::MAX, |end| end.at_ms),
                done: end.is_some_and(|end| end.what == "done"),
            }
        })
        .collect()
}

/// A gang runs on all its workers, or on a part only until the bound has passed.
fn partial_gangs(events: &[Event], job: &str, needed: usize, bound_ms: u64) -> Vec<String> {
    let spans = spans(events, job);
    let epochs: BTreeSet<u64> = spans.iter().map(|span| span.epoch).collect();
    let mut found = Vec::new();
    for epoch in epochs {
        let gang: Vec<&Span<'_>> = spans.iter().filter(|span| span.epoch == epoch).collect();
        let workers: BTreeSet<&str> = gang.iter().map(|span| span.worker).collect();
        let first_ms = gang.iter().map(|span| span.start_ms).min().unwrap_or_default();
        // A task that is done does not break its gang.
        let broken = gang.iter().filter(|span| !span.done).map(|span| span.end_ms).min();
        let broken_ms = if workers.len() < needed { Some(first_ms) } else { broken };
        let Some(broken_ms) = broken_ms else { continue };
        let late = gang.iter().filter(|span| span.end_ms > broken_ms.saturating_add(bound_ms));
        for span in late {
            found.push(format!("job {job} epoch {epoch} ran on a part of its gang at {}", span.worker));
        }
    }
    found
}

/// Two attempts never run at the same time.
fn overlapping_epochs(events: &[Event], job: &str) -> Vec<String> {
    let spans = spans(events, job);
    let mut found = Vec::new();
    for a in &spans {
        for b in spans.iter().filter(|b| b.epoch > a.epoch) {
            if b.start_ms < a.end_ms {
                found.push(format!("job {job} ran epochs {} and {} at the same time", a.epoch, b.epoch));
            }
        }
    }
    found
}
