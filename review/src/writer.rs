//! Another writer's check-ins reach the agents before those of their workers.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::http;
use crate::record::{elapsed, note};
use crate::{KEYS, ORDERS, Verdict, config, job, shape};

const WORKERS: usize = 3;
/// `finish_s` of the sheet.
const FINISH: Duration = Duration::from_secs(14);

pub fn play(has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(2, WORKERS, &config(7, &[ORDERS], 4), shape);
    if has_trouble {
        // One check-in an agent, as soon as it listens.
        thread::scope(|scope| {
            for index in 0..WORKERS {
                let deployment = &deployment;
                scope.spawn(move || send_check_in(deployment, index));
            }
        });
    }
    deployment.await_ready();
    let body = "{\"task_spec\":\"run_ms=500 \",\"steps\":[{\"count\":2,\"cpu\":15000,\"memory_request_mb\":1024,\"gpu\":1,\
                \"estimate_ms\":500}]}";
    let mut accepted = Vec::new();
    for number in 1..=10 {
        let path = format!("{ORDERS}{}", job(number));
        if deployment.submit(&path, KEYS[0], body) == 200 {
            accepted.push(path);
        }
        thread::sleep(Duration::from_secs(1));
    }
    note("end of the traffic");
    thread::sleep(FINISH);
    let state = |path: &String| deployment.call(0, "GET", path, KEYS[0], "").state();
    let open: Vec<String> = accepted.iter().filter(|path| state(path) != "completed").cloned().collect();
    let until = elapsed() + Duration::from_millis(3_500);
    let mut seen = BTreeSet::new();
    while elapsed() < until {
        seen.extend(deployment.workers.iter().flat_map(|worker| worker.running()));
        thread::sleep(Duration::from_millis(10));
    }
    let total = accepted.len();
    match open.is_empty() || !seen.is_empty() {
        true => Ok(format!("{total} jobs accepted, {} not completed", open.len())),
        false => Err(format!(
            "LOST: {} of {total} accepted jobs have nothing running for 3 s, {} s after the traffic, on idle workers",
            open.len(),
            FINISH.as_secs()
        )),
    }
}

/// Sends the agent of a worker a check-in like the worker's own, but for a service that isn't named anywhere.
fn send_check_in(deployment: &Deployment, index: usize) {
    let worker = &deployment.workers[index];
    let body = worker.description(deployment.app(index), 1);
    let own = format!("\"service\":\"{}\"", worker.shape.service);
    let body = body.replace(&own, "\"service\":\"inventory\"");
    let path = format!("/instances/{}", worker.shape.id);
    while elapsed() < Duration::from_secs(10) {
        let reply = http::call(deployment.control(index), "PUT", &path, &[], &body, Duration::from_secs(1));
        if reply.is_ok() {
            return note(&format!("another writer sent PUT {path} {body} -> {reply:?}"));
        }
        thread::sleep(Duration::from_millis(2));
    }
}
