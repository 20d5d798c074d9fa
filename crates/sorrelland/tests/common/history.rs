//! Checks of the histories that the workers record.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Event in the history of a worker.
#[derive(Clone, Debug)]
pub struct Event {
    pub worker: String,
    pub at_ms: u64,
    pub kind: String,
    /// Job of the task, or request ID.
    pub subject: String,
    /// Name of the task, or idempotency key of the request.
    pub id: String,
    /// Epoch (fencing token) of the job's attempt; 0 for a request.
    pub epoch: u64,
}

impl Event {
    pub fn new(worker: &str, at_ms: u64, kind: &str, subject: &str, id: &str, epoch: u64) -> Self {
        let [worker, kind, subject, id] = [worker, kind, subject, id].map(str::to_owned);
        Self { worker, at_ms, kind, subject, id, epoch }
    }

    pub fn from_json(worker: &str, event: &Value) -> Self {
        let text = |name: &str| event[name].as_str().unwrap_or_default().to_owned();
        let number = |name: &str| event[name].as_u64().unwrap_or_default();
        Self::new(worker, number("at_ms"), &text("what"), &text("of"), &text("id"), number("epoch"))
    }
}

/// Returns every violation of the guarantees on keys and gangs in a history.
///
/// `members` holds the number of workers that each job needs. `bound_ms` is the time within which the rest of
/// a gang must stop after a member ended or did not start.
pub fn violations(events: &[Event], members: &BTreeMap<String, usize>, bound_ms: u64) -> Vec<String> {
    let mut found = duplicate_keys(events);
    for (job, size) in members {
        found.extend(partial_gangs(events, job, *size, bound_ms));
        found.extend(overlapping_epochs(events, job));
    }
    found
}

/// Finds idempotency keys that ran more than once; requests without a key are not checked.
fn duplicate_keys(events: &[Event]) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for event in events.iter().filter(|event| event.kind == "request" && !event.id.is_empty()) {
        *runs.entry(&event.id).or_default() += 1;
    }
    let duplicates = runs.into_iter().filter(|(_, count)| *count > 1);
    duplicates.map(|(key, count)| format!("key {key} ran {count} times")).collect()
}

/// Time during which a task ran on a worker.
struct Span<'a> {
    worker: &'a str,
    epoch: u64,
    start_ms: u64,
    end_ms: u64,
    done: bool,
}

fn spans<'a>(events: &'a [Event], job: &str) -> Vec<Span<'a>> {
    let job_events = || events.iter().filter(|event| event.subject == job);
    job_events()
        .filter(|event| event.kind == "start")
        .map(|start| {
            let same_task = |event: &&Event| event.id == start.id && event.worker == start.worker;
            let end = job_events().filter(same_task).find(|event| event.kind != "start");
            Span {
                worker: &start.worker,
                epoch: start.epoch,
                start_ms: start.at_ms,
                end_ms: end.map_or(u64::MAX, |end| end.at_ms),
                done: end.is_some_and(|end| end.kind == "done"),
            }
        })
        .collect()
}

/// Finds tasks that ran for longer than `bound_ms` after their gang became incomplete.
fn partial_gangs(events: &[Event], job: &str, size: usize, bound_ms: u64) -> Vec<String> {
    let spans = spans(events, job);
    let epochs: BTreeSet<u64> = spans.iter().map(|span| span.epoch).collect();
    let mut found = Vec::new();
    for epoch in epochs {
        let gang: Vec<&Span<'_>> = spans.iter().filter(|span| span.epoch == epoch).collect();
        let workers: BTreeSet<&str> = gang.iter().map(|span| span.worker).collect();
        let first_ms = gang.iter().map(|span| span.start_ms).min().unwrap_or_default();
        // A task that is done does not make its gang incomplete.
        let first_end_ms = gang.iter().filter(|span| !span.done).map(|span| span.end_ms).min();
        let incomplete_ms = if workers.len() < size { Some(first_ms) } else { first_end_ms };
        let Some(incomplete_ms) = incomplete_ms else { continue };
        let overdue = gang.iter().filter(|span| span.end_ms > incomplete_ms.saturating_add(bound_ms));
        for span in overdue {
            found.push(format!("job {job} epoch {epoch} ran with an incomplete gang at {}", span.worker));
        }
    }
    found
}

/// Finds attempts of a job that ran at the same time.
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
