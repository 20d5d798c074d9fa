//! Stand-in for a worker, as PROTOCOL.md describes it: numbered runs, a lease for all of them, a generation number, and a
//! list of the ends that were not seen yet, of which 500 are returned at a time.
//!
//! The text of a job sets the duration of its subtasks: `run_ms=N`, plus a part of `spread_ms=M` that follows from the
//! subtask's index. With `fails=K`, the first K runs of a subtask end `failed`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, quoted};
use crate::policy::Policy;
use crate::record::{elapsed, note, wall_ms};

pub const HOLD_MAX_MS: u64 = 6_000;
pub const STOP_MS: u64 = 400;
/// Time that a stop takes here.
const STOPPING_MS: u64 = 100;
const BEAT: Duration = Duration::from_millis(1_500);
/// Time from its start until its first check-in.
const FIRST_BEAT: Duration = Duration::from_millis(500);
/// Event: the lease has lapsed.
pub const LEASE_OVER: &str = "lease-over";
const LISTED_ENDS: usize = 500;
/// `conn_cap` of the users' workers.
const CONNECTIONS: usize = 64;

#[derive(Clone, Debug)]
pub struct Shape {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub memory_mb: u64,
    pub gpu: u64,
    /// Whether it tells when it started, as NEWS-ON-THE-PAGES.md has it.
    pub tells_born: bool,
}

#[derive(Clone, Debug)]
struct Run {
    end_at: u64,
    begun_at: u64,
    is_stopping: bool,
    fails: bool,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// What happened to a run, for the judge.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, how it ended, or [`LEASE_OVER`].
    pub what: &'static str,
    /// When the end was taken note of.
    pub seen_at: Option<Duration>,
    number: u64,
}

#[derive(Default)]
struct State {
    lease_end: u64,
    /// Whether there is a lease that has not ended.
    is_leased: bool,
    token: u64,
    running: BTreeMap<(String, u64), Run>,
    ends: Vec<End>,
    end_count: u64,
    /// Highest run that was stopped or has ended, by subtask.
    over: BTreeMap<String, u64>,
    events: Vec<Event>,
}

#[derive(Clone)]
pub struct Worker {
    pub shape: Shape,
    /// Checks the tickets of starts of queues with `advice`.
    policy: Policy,
    born_ms: u64,
    began: Instant,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Worker {
    /// Starts a worker that listens and announces itself to the agent at `control`.
    pub fn start(listener: TcpListener, control: SocketAddr, shape: Shape, policy: Policy) -> Self {
        let address = listener.local_addr().expect("it is bound");
        policy.add(&shape.id);
        let worker =
            Self { shape, policy, born_ms: wall_ms(), began: Instant::now(), shared: Arc::default() };
        let served = worker.clone();
        http::serve(listener, CONNECTIONS, Arc::new(move |request| served.handle(request)));
        let ending = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ending.advance(&mut ending.shared.0.lock().unwrap());
            }
        });
        let announced = worker.clone();
        thread::spawn(move || announced.announce(address, control));
        worker
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    /// Returns the events so far.
    pub fn events(&self) -> Vec<Event> {
        self.shared.0.lock().unwrap().events.clone()
    }

    pub fn running(&self) -> Vec<(String, u64)> {
        self.shared.0.lock().unwrap().running.keys().cloned().collect()
    }

    fn advance(&self, state: &mut State) {
        let now = self.clock_ms();
        let is_lapsed = now >= state.lease_end;
        if is_lapsed && std::mem::take(&mut state.is_leased) {
            self.record(state, "", 0, LEASE_OVER, 0);
        }
        let over = state.running.iter().filter(|(_, run)| is_lapsed || now >= run.end_at);
        let over: Vec<_> = over.map(|(key, run)| (key.clone(), run.clone())).collect();
        for ((task, number), run) in &over {
            state.running.remove(&(task.clone(), *number));
            let how = match run {
                _ if is_lapsed && now < run.end_at => "lapsed",
                Run { is_stopping: true, .. } => "stopped",
                Run { fails: true, .. } => "failed",
                _ => "done",
            };
            state.end_count += 1;
            let highest = state.over.entry(task.clone()).or_default();
            *highest = (*highest).max(*number);
            let end = End { number: state.end_count, task: task.clone(), run: *number, how };
            self.record(state, &end.task, end.run, how, end.number);
            state.ends.push(end);
        }
        if !over.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn record(&self, state: &mut State, task: &str, run: u64, what: &'static str, number: u64) {
        note(&format!("worker {} {what} task={task} run={run} n={number}", self.shape.id));
        let (worker, task) = (self.shape.id.clone(), task.to_owned());
        state.events.push(Event { at: elapsed(), worker, task, run, what, seen_at: None, number });
    }

    fn body(&self, fields: &str) -> String {
        let separator = if fields.is_empty() { "" } else { "," };
        format!("{{\"clock_ms\":{}{separator}{fields}}}", self.clock_ms())
    }

    /// Returns a body with the time of its start, as for what it says of itself and its lists of runs.
    fn body_with_start(&self, fields: &str) -> String {
        match self.shape.tells_born {
            true => self.body(&format!("\"born\":{},{fields}", self.born_ms)),
            false => self.body(fields),
        }
    }

    fn conflict(&self, reason: &str) -> Reply {
        Reply::json(409, self.body(&format!("\"reason\":\"{reason}\"")))
    }

    fn handle(&self, request: Request) -> Reply {
        if request.headers.get("x-expected-instance").is_some_and(|id| *id != self.shape.id) {
            return Reply::json(421, "{}".into());
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&body) else { return Reply::json(400, "{}".into()) };
        let mut state = self.shared.0.lock().unwrap();
        self.advance(&mut state);
        let token = body.get("fencing_token").number().unwrap_or(0);
        if token < state.token {
            return self.conflict("fence");
        }
        state.token = token;
        if let Some(deadline) = body.get("deadline_ms").number() {
            state.lease_end = state.lease_end.max(deadline.min(self.clock_ms() + HOLD_MAX_MS));
            state.is_leased = state.lease_end > self.clock_ms();
        }
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0));
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/run-start") => self.start_run(&mut state, task, run, &body),
            ("POST", "/run-stop") => {
                let stopping = self.clock_ms() + STOPPING_MS;
                let highest = state.over.entry(task.clone()).or_default();
                *highest = (*highest).max(run);
                if let Some(run) = state.running.get_mut(&(task, run)) {
                    (run.is_stopping, run.end_at) = (true, run.end_at.min(stopping));
                }
                Reply::json(200, self.body(""))
            }
            ("POST", "/pace") => Reply::json(200, self.body("")),
            ("POST", "/hold") => {
                let seen = body.get("last_seen").number().unwrap_or(0);
                state.ends.retain(|end| end.number > seen);
                let seen_now = state
                    .events
                    .iter_mut()
                    .filter(|event| event.what != "start" && event.number <= seen && event.seen_at.is_none());
                seen_now.for_each(|event| event.seen_at = Some(elapsed()));
                let wait = Duration::from_millis(body.get("wait_ms").number().unwrap_or(0).min(2_000));
                let state = self.shared.1.wait_timeout_while(state, wait, |state| state.ends.is_empty());
                Reply::json(200, self.listing(&state.unwrap().0))
            }
            _ => Reply::json(404, "{}".into()),
        }
    }

    fn start_run(&self, state: &mut State, task: String, run: u64, body: &Json) -> Reply {
        let spec = body.get("task_spec").text();
        if state.running.contains_key(&(task.clone(), run)) {
            return Reply::json(200, self.body(""));
        }
        if state.over.get(&task).is_some_and(|highest| *highest >= run) {
            return self.conflict("old");
        }
        let now = self.clock_ms();
        if now >= state.lease_end {
            return self.conflict("late");
        }
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        if spec.contains("advised") && !self.policy.is_valid(step, &self.shape.id, body.get("ticket").text())
        {
            return self.conflict("ticket");
        }
        let number = |name: &str| spec.split(name).nth(1)?.split(' ').next()?.parse::<u64>().ok();
        let index = task.rsplit('.').next().and_then(|index| index.parse::<u64>().ok()).unwrap_or(0);
        let spread = number("spread_ms=").map_or(0, |spread| spread * (index * 7_919 % 1_000) / 1_000);
        let end_at = now + number("run_ms=").unwrap_or(300) + spread;
        let fails = number("fails=").is_some_and(|fails| run <= fails);
        self.record(state, &task, run, "start", 0);
        state.running.insert((task, run), Run { end_at, begun_at: now, is_stopping: false, fails });
        Reply::json(200, self.body(""))
    }

    fn listing(&self, state: &State) -> String {
        let now = self.clock_ms();
        let running = state.running.iter().map(|((task, run), listed)| {
            let total = (listed.end_at - listed.begun_at).max(1);
            let percent = (now.saturating_sub(listed.begun_at) * 100 / total).min(99);
            format!("[{},{run},\"\",{percent},0]", quoted(task))
        });
        let ends = state.ends.iter().take(LISTED_ENDS).map(|End { number, task, run, how }| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quoted(task))
        });
        let (running, ends): (Vec<_>, Vec<_>) = (running.collect(), ends.collect());
        self.body_with_start(&format!(
            "\"running\":[{}],\"finished\":[{}]",
            running.join(","),
            ends.join(",")
        ))
    }

    /// Returns what the worker says of itself.
    pub fn description(&self, address: SocketAddr, sequence: u64) -> String {
        let Shape { service, zone, rack, cpu, memory_mb, gpu, .. } = &self.shape;
        self.body_with_start(&format!(
            "\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{cpu},\"memory_request_mb\":{memory_mb},\"gpu\":{gpu}}},\
             \"labels\":[\"a\",{}],\"sequence\":{sequence}",
            quoted(service),
            quoted(zone),
            quoted(rack),
        ))
    }

    fn announce(&self, address: SocketAddr, control: SocketAddr) {
        let path = format!("/instances/{}", self.shape.id);
        thread::sleep(FIRST_BEAT);
        for sequence in 1.. {
            let body = self.description(address, sequence);
            // The next one makes up for one that is lost.
            let _ = http::call(control, "PUT", &path, &[], &body, Duration::from_secs(1));
            thread::sleep(BEAT);
        }
    }
}
