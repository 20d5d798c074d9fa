//! A queue is removed and added again while a subtask of one of its jobs runs.

use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::record::{elapsed, note};
use crate::{KEYS, ORDERS, URGENT, Verdict, config, job, shape};

/// `max_attempts` of the queue, in each version that has it.
const ATTEMPTS: u32 = 4;
const RUN_MS: u64 = 6_000;

pub fn play(has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(2, 3, &config(7, &[ORDERS, URGENT], ATTEMPTS), shape);
    deployment.await_ready();
    let path = format!("{ORDERS}{}", job(1));
    // Its first run ends `failed`, each further one `done`.
    let body = format!(
        "{{\"task_spec\":\"run_ms={RUN_MS} fails=1 \",\"steps\":[{{\"count\":1,\"cpu\":15000,\"memory_request_mb\":1024,\
         \"gpu\":1,\"estimate_ms\":{RUN_MS}}}]}}"
    );
    if deployment.submit(&path, KEYS[0], &body) != 200 {
        crate::give_up("the job was not accepted");
    }
    thread::sleep(Duration::from_millis(RUN_MS - 2_500));
    if has_trouble {
        deployment.store.operate("config", &config(9, &[URGENT], ATTEMPTS));
    }
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        deployment.store.operate("config", &config(12, &[ORDERS, URGENT], ATTEMPTS));
    }
    // `config_apply_ms` and more.
    thread::sleep(Duration::from_secs(4));
    let deadline = elapsed() + Duration::from_secs(30);
    let mut state = String::new();
    while elapsed() < deadline {
        let answers = (0..2).map(|entry| deployment.call(entry, "GET", &path, KEYS[0], ""));
        state = answers.map(|answer| answer.state()).last().unwrap_or_default();
        if state == "completed" || state == "failed" {
            break;
        }
        thread::sleep(Duration::from_secs(1));
    }
    let events = deployment.workers.iter().flat_map(|worker| worker.events());
    let failed = events.filter(|event| event.what == "failed").count() as u32;
    note(&format!("the job is {state:?} after {failed} runs that ended `failed`, of {ATTEMPTS} that it has"));
    match state.as_str() {
        "failed" if failed < ATTEMPTS => Err(format!(
            "LOST: an accepted job that nobody cancelled is shown as `failed` after {failed} of {ATTEMPTS} attempts"
        )),
        "completed" => Ok(format!("the job is completed, after {failed} runs that ended `failed`")),
        _ => crate::give_up(&format!("the job is {state:?}")),
    }
}
