//! Orders to a worker that it refuses or executes late, with a worker whose replies the test decides.

mod common;

use std::fs;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::eventually;
use common::platform::{Platform, step};
use futures::FutureExt;
use http::StatusCode;
use serde_json::{Value, json};
use sorrelland_platform::serve::{self, Request, Response};

const JOB: &str = "00000000000000a1";

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
    let check_in = json!({
        "service": "svc", "address": address, "zone": "haiphong-a", "version": "v1", "slots": 8, "state": "ready",
        "cold_remaining_ms": 0, "labels": ["a", "r1"], "sequence": 1, "clock_ms": 1_000,
        "capacity": {"cpu": 130_000, "memory_request_mb": 262_144, "gpu": 8},
    });
    platform.check_in(1, "w-1-2", &check_in).await;
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
