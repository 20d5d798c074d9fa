//! A job whose progress no longer fits into a record of the store.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::record::{elapsed, note, wall_ms};
use crate::{KEYS, ORDERS, URGENT, Verdict, config, job, shape};

/// The widest job of the sheets: up to 3 steps of up to 230 subtasks, 4 times.
const STEPS: usize = 3;
const WIDTH: usize = 230;
const TIMES: usize = 4;
const EVERY_MS: u64 = 3_000;
/// `finish_s` of the sheet.
const FINISH: Duration = Duration::from_secs(14);
/// For how long a job may have nothing running, though there is room for it.
const IDLE: Duration = Duration::from_secs(3);
const TRAFFIC: Duration = Duration::from_secs(60);

pub fn play(has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(2, 3, &config(7, &[ORDERS, URGENT], 4), shape);
    deployment.await_ready();
    let began = elapsed();
    let mut accepted = Vec::new();
    // A job of another tenant in two steps: the second begins once the first is done.
    let steps = "{\"task_spec\":\"run_ms=20000 \",\"steps\":[{\"count\":2,\"cpu\":1000,\"memory_request_mb\":512,\
                 \"estimate_ms\":20000},{\"count\":2,\"cpu\":1000,\"memory_request_mb\":512,\"estimate_ms\":20000,\
                 \"after\":[0]}]}";
    for number in 1..=2 {
        let path = format!("{ORDERS}{}", job(number));
        if deployment.submit(&path, KEYS[1], steps) == 200 {
            accepted.push((path, KEYS[1], 2 * 2));
        }
    }
    if has_trouble {
        let step = |at: usize| {
            let after = if at == 0 { String::new() } else { format!(",\"after\":[{}]", at - 1) };
            format!(
                "{{\"count\":{WIDTH},\"cpu\":2800,\"memory_request_mb\":1024,\"estimate_ms\":100{after}}}"
            )
        };
        let steps: Vec<String> = (0..STEPS).map(step).collect();
        let body = format!(
            "{{\"task_spec\":\"run_ms=100 \",\"repetitions\":{TIMES},\"first_run_ms\":{},\"interval_ms\":{EVERY_MS},\
             \"steps\":[{}]}}",
            wall_ms(),
            steps.join(",")
        );
        let path = format!("{ORDERS}{}", job(100));
        if deployment.submit(&path, KEYS[0], &body) != 200 {
            crate::give_up("the large job was not accepted");
        }
        accepted.push((path, KEYS[0], STEPS * WIDTH * TIMES));
    }
    // Small urgent jobs of the other tenant, one a second.
    let small = "{\"task_spec\":\"run_ms=300 \",\"steps\":[{\"count\":2,\"cpu\":1000,\"memory_request_mb\":512,\"gpu\":1,\
                 \"estimate_ms\":300}]}";
    let mut rejected = 0;
    let mut number = 1_000;
    while elapsed() < began + TRAFFIC {
        let path = format!("{URGENT}{}", job(number));
        number += 1;
        match deployment.submit(&path, KEYS[1], small) {
            200 => accepted.push((path, KEYS[1], 2)),
            status => {
                rejected += 1;
                note(&format!("{path} was not accepted in 5 attempts, last status {status}"));
            }
        }
        thread::sleep(Duration::from_millis(700));
    }
    note("end of the traffic");
    thread::sleep(FINISH);
    let mut open = Vec::new();
    for (path, key, subtasks) in &accepted {
        let state = deployment.call(0, "GET", path, key, "").state();
        if state != "completed" {
            open.push((path.clone(), state, *subtasks));
        }
    }
    // Nothing else is handed in: for 3 s, is anything of the open jobs running?
    let until = elapsed() + IDLE + Duration::from_millis(500);
    let mut seen = BTreeSet::new();
    while elapsed() < until {
        seen.extend(deployment.workers.iter().flat_map(|worker| worker.running()).map(|(task, _)| task));
        thread::sleep(Duration::from_millis(10));
    }
    let events: Vec<_> = deployment.workers.iter().flat_map(|worker| worker.events()).collect();
    let mut lost = Vec::new();
    for (path, state, subtasks) in &open {
        let name = path.rsplit('/').next().unwrap_or_default();
        let done: BTreeSet<&str> = events
            .iter()
            .filter(|event| event.what == "done" && event.task.starts_with(name))
            .map(|event| event.task.as_str())
            .collect();
        let is_idle = !seen.iter().any(|task| task.starts_with(name));
        note(&format!(
            "{path} is {state}: {} of {subtasks} subtasks done, idle for 3 s: {is_idle}",
            done.len()
        ));
        if is_idle && done.len() < *subtasks {
            lost.push(format!("{path} ({} of {subtasks} done)", done.len()));
        }
    }
    let (total, left) = (accepted.len(), open.len());
    match lost.is_empty() {
        true => Ok(format!("{total} jobs accepted, {left} not completed, {rejected} rejected")),
        false => Err(format!(
            "LOST: {} of {total} accepted jobs have nothing running for 3 s on idle workers, {} s after the traffic: {}; \
             {rejected} jobs were rejected",
            lost.len(),
            FINISH.as_secs(),
            lost.join(", ")
        )),
    }
}
