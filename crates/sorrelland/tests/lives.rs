//! A worker that restarts under its name: what was meant for one life must not reach the next.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use common::eventually;
use common::platform::{Platform, step};
use futures::FutureExt;
use http::StatusCode;
use serde_json::{Value, json};
use sorrelland_platform::serve::{self, Request, Response};

const FIRST_JOB: &str = "00000000000000a1";
const JOB: &str = "00000000000000a2";
const WORKER: &str = "w-1-2";
const RACK: &str = "r9";

/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(300);

/// Time between two check-ins of the worker.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

type RunKey = (String, u64);

/// What the worker holds in one life.
struct Life {
    born_ms: u64,
    began: Instant,
    sequence: u64,
    /// Runs with the times at which they end as done, or as stopped.
    running: BTreeMap<RunKey, (Instant, &'static str)>,
    ended: Vec<(RunKey, &'static str)>,
    acknowledged: u64,
    /// Runs that it rejects because they were started or stopped.
    rejected: BTreeSet<RunKey>,
}

impl Life {
    fn new(born_ms: u64) -> Self {
        let (running, ended, rejected) = Default::default();
        Self { born_ms, began: Instant::now(), sequence: 0, running, ended, acknowledged: 0, rejected }
    }

    fn end_due_runs(&mut self) {
        let now = Instant::now();
        let due = self.running.iter().filter(|(_, (at, _))| *at <= now);
        let due: Vec<_> = due.map(|(run, (_, how))| (run.clone(), *how)).collect();
        for (run, how) in due {
            self.running.remove(&run);
            self.ended.push((run, how));
        }
    }

    /// Starts a run unless it was started or stopped before; returns whether it runs.
    fn start(&mut self, run: &RunKey, run_time: Duration) -> bool {
        if !self.rejected.insert(run.clone()) {
            return self.running.contains_key(run);
        }
        self.running.insert(run.clone(), (Instant::now() + run_time, "done"));
        true
    }

    fn stop(&mut self, run: &RunKey) {
        self.rejected.insert(run.clone());
        if let Some((at, how)) = self.running.get_mut(run) {
            (*at, *how) = (Instant::now() + STOP_TIME, "stopped");
        }
    }

    fn listing(&self) -> Value {
        let running: Vec<Value> =
            self.running.keys().map(|(task, run)| json!([task, run, "", 1, 0])).collect();
        let ended = (1..).zip(&self.ended).filter(|(number, _)| *number > self.acknowledged);
        let ended: Vec<Value> =
            ended.map(|(number, ((task, run), how))| json!([number, task, run, how, ""])).collect();
        json!({"running": running, "finished": ended})
    }
}

struct State {
    life: Life,
    /// Starts that took effect, with the start time of the life.
    starts: Vec<(u64, RunKey)>,
    /// Whether starts are left unanswered and not executed.
    leaves_starts: bool,
    left: Vec<RunKey>,
}

/// The worker beside agent 1, whose processes end with their connections.
struct Worker {
    address: String,
    run_time: Duration,
    state: Arc<Mutex<State>>,
    server: Option<dropshot::HttpServer<serve::Handler>>,
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap()
}

async fn answer(state: Arc<Mutex<State>>, run_time: Duration, request: Request) -> Response {
    if request.path == "/hold" {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let run =
        (body["task"].as_str().unwrap_or_default().to_owned(), body["run"].as_u64().unwrap_or_default());
    let (status, reply, unanswered) = {
        let mut state = locked(&state);
        state.life.end_due_runs();
        let mut reply = json!({});
        let mut status = StatusCode::OK;
        let unanswered = request.path == "/run-start" && state.leaves_starts;
        match request.path.as_str() {
            "/run-start" if unanswered => state.left.push(run),
            "/run-start" => {
                let is_new = !state.life.rejected.contains(&run);
                if state.life.start(&run, run_time) {
                    let born_ms = state.life.born_ms;
                    state.starts.extend(is_new.then_some((born_ms, run)));
                } else {
                    status = StatusCode::CONFLICT;
                    reply["reason"] = "old".into();
                }
            }
            "/run-stop" => state.life.stop(&run),
            "/hold" => {
                let acknowledged = body["last_seen"].as_u64().unwrap_or_default();
                state.life.acknowledged = state.life.acknowledged.max(acknowledged);
                reply = state.life.listing();
                reply["born"] = state.life.born_ms.into();
            }
            _ => status = StatusCode::NOT_FOUND,
        }
        reply["clock_ms"] = (1_000 + state.life.began.elapsed().as_millis() as u64).into();
        (status, reply, unanswered)
    };
    if unanswered {
        // Longer than any time-out of the caller.
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    Response::new(status).json(&reply)
}

impl Worker {
    /// Starts the worker in the place of the stand-in beside agent 1 and waits until the planner knows it.
    async fn start(platform: &mut Platform, run_time: Duration) -> Self {
        platform.env.kill("worker-1");
        let life = Life::new(1_700_000_000_000);
        let state = State { life, starts: Vec::new(), leaves_starts: false, left: Vec::new() };
        let address = platform.env.address(101, 8_000);
        let mut worker = Self { address, run_time, state: Arc::new(Mutex::new(state)), server: None };
        worker.listen();
        worker.announce(platform).await;
        let log = platform.env.dir().join("entry-1.log");
        let joined = format!("event=worker_joined worker={WORKER} ");
        eventually(Duration::from_secs(10), "the planner knows the worker", async || {
            worker.announce(platform).await;
            std::fs::read_to_string(&log).is_ok_and(|log| log.contains(&joined))
        })
        .await;
        worker
    }

    fn listen(&mut self) {
        let (state, run_time) = (self.state.clone(), self.run_time);
        let handler: serve::Handler =
            Arc::new(move |request: Request| answer(state.clone(), run_time, request).boxed());
        let address: SocketAddr = self.address.parse().unwrap();
        self.server = Some(serve::start(address, handler).unwrap());
    }

    /// Ends the process with its connections, and starts the next one, which holds nothing of before.
    async fn restart(&mut self) {
        if let Some(server) = self.server.take() {
            server.close().await.unwrap();
        }
        let born_ms = locked(&self.state).life.born_ms + 60_000;
        locked(&self.state).life = Life::new(born_ms);
        self.listen();
    }

    fn announcement(&self) -> Value {
        let mut state = locked(&self.state);
        state.life.sequence += 1;
        json!({
            "service": "svc", "address": self.address, "zone": "haiphong-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "labels": ["a", RACK], "sequence": state.life.sequence,
            "clock_ms": 1_000, "born": state.life.born_ms,
            "capacity": {"cpu": 130_000, "memory_request_mb": 262_144, "gpu": 8},
        })
    }

    async fn announce(&self, platform: &Platform) {
        platform.announce(1, WORKER, &self.announcement()).await;
    }

    /// Sends check-ins for some time.
    async fn announce_for(&self, platform: &Platform, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.announce(platform).await;
            tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
        }
    }

    /// Returns the runs of a job's subtask that were started here, and on the stand-ins.
    async fn starts(&self, platform: &Platform, job: &str) -> Vec<RunKey> {
        let task = format!("{job}.0.0.0");
        let elsewhere = platform.history().await.into_iter().filter(|event| event.0 == "start");
        let elsewhere = elsewhere.map(|(_, task, run, _)| (task, run));
        let here: Vec<RunKey> = locked(&self.state).starts.iter().map(|(_, run)| run.clone()).collect();
        here.into_iter().chain(elsewhere).filter(|(started, _)| *started == task).collect()
    }
}

/// Submits a job with one subtask that prefers the worker's rack.
async fn submit(platform: &Platform, job: &str, run_time: Duration) {
    let mut near = step(1);
    near["affinity"] = json!(RACK);
    near["estimate_ms"] = json!(3_000);
    let spec = format!("run_ms={}", run_time.as_millis());
    platform.submit_until_accepted(job, &json!([near]), &spec).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn start_after_restart_leaves_no_end_of_the_next_life_unread() {
    let mut platform = Platform::start(1, 2).await;
    let run_time = Duration::from_millis(50);
    let mut worker = Worker::start(&mut platform, run_time).await;
    submit(&platform, FIRST_JOB, run_time).await;
    platform.await_state(FIRST_JOB, "completed", Duration::from_secs(10)).await;
    eventually(Duration::from_secs(5), "the end is acknowledged", async || {
        locked(&worker.state).life.acknowledged == 1
    })
    .await;
    worker.restart().await;
    submit(&platform, JOB, run_time).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    worker.announce_for(&platform, Duration::from_secs(3)).await;
    platform.await_state(JOB, "completed", Duration::from_secs(10)).await;
    assert_eq!(worker.starts(&platform, JOB).await.len(), 1, "{:?}", worker.starts(&platform, JOB).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_after_restart_does_not_run_on_the_next_life_beside_another_run() {
    let mut platform = Platform::start(1, 2).await;
    let run_time = Duration::from_secs(3);
    let mut worker = Worker::start(&mut platform, run_time).await;
    worker.restart().await;
    submit(&platform, JOB, run_time).await;
    worker.announce_for(&platform, Duration::from_secs(1)).await;
    platform.await_state(JOB, "completed", Duration::from_secs(15)).await;
    assert_eq!(worker.starts(&platform, JOB).await.len(), 1, "{:?}", worker.starts(&platform, JOB).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn announcement_without_start_time_starts_no_run_twice() {
    let mut platform = Platform::start(1, 2).await;
    let run_time = Duration::from_secs(4);
    let worker = Worker::start(&mut platform, run_time).await;
    submit(&platform, JOB, run_time).await;
    eventually(Duration::from_secs(5), "the run is started", async || {
        worker.starts(&platform, JOB).await.len() == 1
    })
    .await;
    for _ in 0..4 {
        let mut other = worker.announcement();
        other.as_object_mut().unwrap().remove("born");
        platform.announce(1, WORKER, &other).await;
        tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
    }
    worker.announce_for(&platform, Duration::from_secs(1)).await;
    platform.await_state(JOB, "completed", Duration::from_secs(15)).await;
    assert_eq!(worker.starts(&platform, JOB).await.len(), 1, "{:?}", worker.starts(&platform, JOB).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_unanswered_before_restart_is_stopped_on_the_next_life_before_it_runs_elsewhere() {
    let mut platform = Platform::start(1, 2).await;
    let run_time = Duration::from_secs(3);
    let mut worker = Worker::start(&mut platform, run_time).await;
    locked(&worker.state).leaves_starts = true;
    submit(&platform, JOB, run_time).await;
    eventually(Duration::from_secs(5), "a start is left unanswered", async || {
        !locked(&worker.state).left.is_empty()
    })
    .await;
    worker.restart().await;
    locked(&worker.state).leaves_starts = false;
    let left = locked(&worker.state).left[0].clone();
    worker.announce(&platform).await;
    eventually(Duration::from_secs(10), "the next run is started", async || {
        worker.announce(&platform).await;
        !worker.starts(&platform, JOB).await.is_empty()
    })
    .await;
    // The next life receives the start of the earlier one.
    assert!(!locked(&worker.state).life.start(&left, run_time), "{left:?} runs beside the next run");
}
