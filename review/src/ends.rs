//! More ends than a worker lists at a time, while the store is down.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::record::{elapsed, note};
use crate::store::Mode;
use crate::worker::{Event, LEASE_OVER};
use crate::{KEYS, ORDERS, Verdict, config, job, shape};

/// All of them fit on one worker: 126 of its 128 cores.
const JOBS: u64 = 6;
const SUBTASKS: u32 = 105;
const MILLICORES: u32 = 200;
const RUN_MS: u64 = 9_000;
const SPREAD_MS: u64 = 500;
/// `platform_down` of the site file: `for_s` = 4.5.
const OUTAGE: Duration = Duration::from_millis(4_500);

pub fn play(has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(2, 3, &config(7, &[ORDERS], 4), shape);
    deployment.await_ready();
    let body = format!(
        "{{\"task_spec\":\"run_ms={RUN_MS} spread_ms={SPREAD_MS} \",\"steps\":[{{\"count\":{SUBTASKS},\"cpu\":{MILLICORES},\
         \"memory_request_mb\":64,\"estimate_ms\":{}}}]}}",
        RUN_MS + SPREAD_MS / 2
    );
    let paths: Vec<String> = (1..=JOBS).map(|number| format!("{ORDERS}{}", job(number))).collect();
    for path in &paths {
        let status = deployment.submit(path, KEYS[0], &body);
        if status != 200 {
            crate::give_up(&format!("a job was not accepted: {status}"));
        }
    }
    let events = || deployment.workers.iter().flat_map(|worker| worker.events()).collect::<Vec<_>>();
    let first_start = loop {
        if let Some(event) = events().iter().find(|event| event.what == "start") {
            break event.at;
        }
        if elapsed() > Duration::from_secs(40) {
            crate::give_up("nothing was started");
        }
        thread::sleep(Duration::from_millis(20));
    };
    // Just before the first subtask ends.
    thread::sleep((first_start + Duration::from_millis(RUN_MS - 300)).saturating_sub(elapsed()));
    if has_trouble {
        deployment.store.set_mode(Mode::Busy);
    }
    thread::sleep(OUTAGE);
    deployment.store.set_mode(Mode::Sound);
    // Until all jobs have ended, and some seconds longer.
    let deadline = elapsed() + Duration::from_secs(40);
    let is_completed = |path: &String| deployment.call(1, "GET", path, KEYS[0], "").state() == "completed";
    while elapsed() < deadline && !paths.iter().all(is_completed) {
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(3));
    judge(&events())
}

/// TWICE: a start after a run of the subtask has ended `done`, if that end was taken note of.
fn judge(events: &[Event]) -> Verdict {
    let mut done: BTreeMap<&str, &Event> = BTreeMap::new();
    for event in events.iter().filter(|event| event.what == "done") {
        let first = done.entry(&event.task).or_insert(event);
        if event.at < first.at {
            *first = event;
        }
    }
    // An end counts as taken note of unless the worker's lease lapsed before.
    let is_noted = |end: &Event| {
        let lapsed =
            |event: &Event, seen_at| event.what == LEASE_OVER && (end.at..=seen_at).contains(&event.at);
        let on_it = || events.iter().filter(|event| event.worker == end.worker);
        end.seen_at.is_some_and(|seen_at| !on_it().any(|event| lapsed(event, seen_at)))
    };
    let again = |event: &&Event| {
        let end = done.get(event.task.as_str());
        event.what == "start" && end.is_some_and(|end| event.at > end.at && is_noted(end))
    };
    let twice: Vec<&Event> = events.iter().filter(again).collect();
    for start in twice.iter().take(20) {
        let end = done[start.task.as_str()];
        note(&format!(
            "TWICE: {} run {} ended done on {} at {:.3}, seen at {:.3}; run {} started on {} at {:.3}",
            start.task,
            end.run,
            end.worker,
            end.at.as_secs_f64(),
            end.seen_at.unwrap_or_default().as_secs_f64(),
            start.run,
            start.worker,
            start.at.as_secs_f64()
        ));
    }
    let tasks = events.iter().filter(|event| event.what == "start" && event.run == 1).count();
    match twice.len() {
        0 => Ok(format!("{tasks} subtasks started, {} done, none again", done.len())),
        count => Err(format!(
            "TWICE: {count} of {tasks} subtasks were started again after an end `done` that was taken note of"
        )),
    }
}
