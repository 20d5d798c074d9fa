//! Orders to a worker that it refuses or executes late, with a worker whose replies the test decides.

mod common;

use std::fs;
use std::sync::{Arc, LazyLock, Mutex};
use std::time::{Duration, Instant};

use common::eventually;
use common::platform::{Platform, step};
use futures::FutureExt;
use http::StatusCode;
use serde_json::{Value, json};
use sorrelland_platform::serve::{self, Request, Response};

const JOB: &str = "00000000000000a1";

/// Clock of the worker.
static CLOCK: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Paths and run numbers of the orders that the worker has received.
type Orders = Arc<Mutex<Vec<(String, u64)>>>;

fn record_order(orders: &Orders, request: &Request) -> usize {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let order = (request.path.clone(), body["run"].as_u64().unwrap_or_default());
    let mut orders = orders.lock().unwrap();
    orders.push(order.clone());
    orders.iter().filter(|known| **known == order).count()
}

/// Leaves the first start unanswered and refuses the others for want of room.
async fn answer(orders: Orders, request: Request) -> Response {
    let reply = Response::new(StatusCode::OK);
    if request.path == "/hold" {
        tokio::time::sleep(Duration::from_millis(50)).await;
        return reply.json(&json!({"clock_ms": 1_000, "running": [], "finished": []}));
    }
    let times = record_order(&orders, &request);
    match request.path.as_str() {
        "/run-start" if times == 1 => {
            tokio::time::sleep(Duration::from_secs(3)).await;
            reply
        }
        "/run-start" => {
            Response::new(StatusCode::CONFLICT).json(&json!({"clock_ms": 1_000, "reason": "room"}))
        }
        _ => reply.json(&json!({"clock_ms": 1_000})),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn start_refused_after_unanswered_one_is_stopped_before_next_run() {
    let mut platform = Platform::start(1, 1).await;
    platform.env.kill("worker-1");
    let orders = Orders::default();
    let handler = {
        let orders = orders.clone();
        Arc::new(move |request: Request| answer(orders.clone(), request).boxed())
    };
    let address = platform.env.address(101, 8_000);
    let _server = serve::start(address.parse().unwrap(), handler).unwrap();
    let announcement = json!({
        "service": "svc", "address": address, "zone": "haiphong-a", "version": "v1", "slots": 8, "state": "ready",
        "cold_remaining_ms": 0, "labels": ["a", "r1"], "sequence": 1, "clock_ms": 1_000,
        "capacity": {"cpu": 130_000, "memory_request_mb": 262_144, "gpu": 8},
    });
    platform.announce(1, "w-1-2", &announcement).await;
    // A run placed before on the worker that has ended would not reach this one.
    let log = platform.env.dir().join("entry-1.log");
    eventually(Duration::from_secs(5), "the planner knows the worker", async || {
        fs::read_to_string(&log).is_ok_and(|log| log.contains("event=worker_joined worker=w-1-2 "))
    })
    .await;
    platform.submit_until_accepted(JOB, &json!([step(1)]), "").await;
    let starts = |orders: &[(String, u64)]| -> Vec<u64> {
        orders.iter().filter(|(path, _)| path == "/run-start").map(|(_, run)| *run).collect()
    };
    eventually(Duration::from_secs(10), "the next run is started", async || {
        let started = starts(&orders.lock().unwrap());
        started.last() > started.first()
    })
    .await;
    let received = orders.lock().unwrap().clone();
    let (refused, next) = (starts(&received)[0], *starts(&received).last().unwrap());
    let position = |path: &str, run: u64| received.iter().position(|order| *order == (path.to_owned(), run));
    let (stop, next) = (position("/run-stop", refused), position("/run-start", next));
    assert!(stop.is_some() && stop < next, "run {refused} may still be started: {received:?}");
}

/// Time for which the worker answers nothing: its leases have ended by then, and a start is executed up to 12 s late.
const SILENCE: Duration = Duration::from_millis(12_500);

/// Answers like a worker that has the first job's run, then is silent for [`SILENCE`], and has no run afterwards.
async fn answer_after_silence(
    orders: Orders,
    silent_from: Arc<Mutex<Option<Instant>>>,
    request: Request,
) -> Response {
    let is_order = request.path != "/hold";
    if is_order {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let task = body["task"].as_str().unwrap_or_default();
        let order = (format!("{} {task}", request.path), body["run"].as_u64().unwrap_or_default());
        orders.lock().unwrap().push(order);
    }
    let silent_from = *silent_from.lock().unwrap();
    if silent_from.is_some_and(|from| from.elapsed() < SILENCE) {
        // Longer than any time-out of the caller.
        tokio::time::sleep(Duration::from_secs(3)).await;
    } else if !is_order {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let clock_ms = CLOCK.elapsed().as_millis() as u64;
    let first = format!("{JOB}.0.0.0");
    let started = orders.lock().unwrap().iter().any(|(order, _)| *order == format!("/run-start {first}"));
    let running =
        if started && silent_from.is_none() { vec![json!([first, 1, "", 1, 0])] } else { Vec::new() };
    Response::new(StatusCode::OK).json(&json!({"clock_ms": clock_ms, "running": running, "finished": []}))
}

#[tokio::test(flavor = "multi_thread")]
async fn start_unanswered_by_silent_worker_is_stopped_before_next_run() {
    const OTHER_JOB: &str = "00000000000000a2";
    let mut platform = Platform::start(1, 1).await;
    platform.env.kill("worker-1");
    let orders = Orders::default();
    let silent_from: Arc<Mutex<Option<Instant>>> = Arc::default();
    let handler = {
        let (orders, silent_from) = (orders.clone(), silent_from.clone());
        Arc::new(move |request: Request| {
            answer_after_silence(orders.clone(), silent_from.clone(), request).boxed()
        })
    };
    let address = platform.env.address(101, 8_000);
    let _server = serve::start(address.parse().unwrap(), handler).unwrap();
    let announcement = |sequence: u64| {
        json!({
            "service": "svc", "address": address, "zone": "haiphong-a", "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "labels": ["a", "r1"], "sequence": sequence, "clock_ms": 1_000,
            "capacity": {"cpu": 130_000, "memory_request_mb": 262_144, "gpu": 8},
        })
    };
    platform.announce(1, "w-1-2", &announcement(1)).await;
    let log = platform.env.dir().join("entry-1.log");
    eventually(Duration::from_secs(5), "the planner knows the worker", async || {
        fs::read_to_string(&log).is_ok_and(|log| log.contains("event=worker_joined worker=w-1-2 "))
    })
    .await;
    platform.submit_until_accepted(JOB, &json!([step(1)]), "").await;
    eventually(Duration::from_secs(5), "the first run is started", async || {
        !orders.lock().unwrap().is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    *silent_from.lock().unwrap() = Some(Instant::now());
    tokio::time::sleep(Duration::from_secs(5)).await;
    platform.submit_until_accepted(OTHER_JOB, &json!([step(1)]), "").await;
    platform.await_event("run_gone", OTHER_JOB, Duration::from_secs(9)).await;
    let silent = SILENCE.saturating_sub(silent_from.lock().unwrap().unwrap().elapsed());
    tokio::time::sleep(silent).await;
    // The worker lives: it takes orders again.
    platform.announce(1, "w-1-2", &announcement(2)).await;
    let task = format!("{OTHER_JOB}.0.0.0");
    let received = |path: &str, run: u64| {
        orders.lock().unwrap().iter().position(|order| *order == (format!("{path} {task}"), run))
    };
    eventually(Duration::from_secs(10), "the next run is started", async || {
        received("/run-start", 2).is_some()
    })
    .await;
    let (stop, next) = (received("/run-stop", 1), received("/run-start", 2));
    assert!(stop.is_some() && stop < next, "run 1 may still be started: {:?}", orders.lock().unwrap());
}

/// A worker whose runs are done at once, and which can start again under the same name.
struct RestartingWorker {
    born_ms: u64,
    clock: Instant,
    clock_offset_ms: u64,
    ended: Vec<String>,
    starts: Vec<(String, u64)>,
    acknowledged: u64,
}

impl RestartingWorker {
    fn clock_ms(&self) -> u64 {
        self.clock_offset_ms + self.clock.elapsed().as_millis() as u64
    }

    /// Starts again: holds nothing of before, and all its numbers start anew.
    fn restart(&mut self) {
        (self.born_ms, self.clock, self.clock_offset_ms) = (self.born_ms + 60_000, Instant::now(), 0);
        (self.ended, self.acknowledged) = (Vec::new(), 0);
    }

    fn answer(&mut self, request: &Request) -> Response {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut listing = json!({"clock_ms": self.clock_ms(), "born": self.born_ms});
        match request.path.as_str() {
            "/hold" => {
                self.acknowledged = self.acknowledged.max(body["last_seen"].as_u64().unwrap_or_default());
                let ends = (1..).zip(&self.ended).filter(|(number, _)| *number > self.acknowledged);
                let ends = ends.map(|(number, task)| json!([number, task, 1, "done", ""]));
                listing["finished"] = ends.collect();
                listing["running"] = json!([]);
            }
            "/run-start" => {
                let task = body["task"].as_str().unwrap_or_default().to_owned();
                if body["run"] == 1 && !self.ended.contains(&task) {
                    self.ended.push(task.clone());
                }
                self.starts.push((task, body["run"].as_u64().unwrap_or_default()));
            }
            _ => (),
        }
        Response::new(StatusCode::OK).json(&listing)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn end_of_worker_restarted_under_same_name_is_read() {
    const OTHER_JOB: &str = "00000000000000a2";
    let mut platform = Platform::start(1, 2).await;
    platform.env.kill("worker-1");
    let worker = Arc::new(Mutex::new(RestartingWorker {
        born_ms: 1_700_000_000_000,
        clock: Instant::now(),
        clock_offset_ms: 600_000,
        ended: Vec::new(),
        starts: Vec::new(),
        acknowledged: 0,
    }));
    let handler = {
        let worker = worker.clone();
        Arc::new(move |request: Request| {
            let worker = worker.clone();
            async move {
                if request.path == "/hold" {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                worker.lock().unwrap().answer(&request)
            }
            .boxed()
        })
    };
    let address = platform.env.address(101, 8_000);
    let _server = serve::start(address.parse().unwrap(), handler).unwrap();
    let announcement = |sequence: u64| {
        let worker = worker.lock().unwrap();
        json!({
            "service": "svc", "address": address, "zone": "haiphong-a", "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "labels": ["a", "r9"], "sequence": sequence, "clock_ms": worker.clock_ms(),
            "born": worker.born_ms, "capacity": {"cpu": 130_000, "memory_request_mb": 262_144, "gpu": 8},
        })
    };
    platform.announce(1, "w-1-2", &announcement(50)).await;
    let log = platform.env.dir().join("entry-1.log");
    eventually(Duration::from_secs(5), "the planner knows the worker", async || {
        fs::read_to_string(&log).is_ok_and(|log| log.contains("event=worker_joined worker=w-1-2 "))
    })
    .await;
    // Both jobs prefer this worker's rack.
    let mut near = step(1);
    near["affinity"] = json!("r9");
    platform.submit_until_accepted(JOB, &json!([near]), "").await;
    platform.await_state(JOB, "completed", Duration::from_secs(5)).await;
    eventually(Duration::from_secs(5), "the end is acknowledged", async || {
        worker.lock().unwrap().acknowledged == 1
    })
    .await;
    worker.lock().unwrap().restart();
    platform.announce(1, "w-1-2", &announcement(1)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.submit_until_accepted(OTHER_JOB, &json!([near]), "").await;
    let task = format!("{OTHER_JOB}.0.0.0");
    for sequence in 2..20 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        platform.announce(1, "w-1-2", &announcement(sequence)).await;
        if platform.state(1, OTHER_JOB).await == "completed" {
            break;
        }
    }
    let again: Vec<_> = platform.history().await.into_iter().filter(|event| event.1 == task).collect();
    let worker = worker.lock().unwrap();
    assert!(worker.starts.contains(&(task.clone(), 1)), "{:?}", worker.starts);
    assert!(
        again.is_empty(),
        "started again, ends up to {} are acknowledged: {again:?}",
        worker.acknowledged
    );
}
