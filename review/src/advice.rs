//! A queue with `advice`, and workers that tell when they started.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::record::{elapsed, note};
use crate::worker::Shape;
use crate::{ADVISED, KEYS, ORDERS, Verdict, config, job, shape};

/// `finish_s` of the sheet.
const FINISH: Duration = Duration::from_secs(14);

pub fn play(has_trouble: bool) -> Verdict {
    let config = config(7, &[ORDERS, ADVISED], 4);
    let deployment =
        Deployment::start(2, 3, &config, |index| Shape { tells_born: has_trouble, ..shape(index) });
    deployment.await_ready();
    let body = |prefix: &str| {
        let spec = if prefix == ADVISED { "run_ms=500 advised" } else { "run_ms=500 " };
        format!(
            "{{\"task_spec\":\"{spec}\",\"steps\":[{{\"count\":2,\"cpu\":15000,\"memory_request_mb\":1024,\"gpu\":1,\
             \"estimate_ms\":500}}]}}"
        )
    };
    let mut accepted = Vec::new();
    for number in 1..=10 {
        for (prefix, first) in [(ORDERS, 0), (ADVISED, 1_000)] {
            let path = format!("{prefix}{}", job(first + number));
            if deployment.submit(&path, KEYS[0], &body(prefix)) == 200 {
                accepted.push(path);
            }
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
    let advised = open.iter().filter(|path| path.starts_with(ADVISED)).count();
    match open.is_empty() || !seen.is_empty() {
        true => Ok(format!("{total} jobs accepted, {} not completed", open.len())),
        false => Err(format!(
            "LOST: {} of {total} accepted jobs have nothing running for 3 s, {} s after the traffic, on idle workers; {advised} \
             of them are on the queue with `advice`",
            open.len(),
            FINISH.as_secs()
        )),
    }
}
