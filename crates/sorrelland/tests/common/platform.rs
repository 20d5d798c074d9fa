//! A site of the users' platform: real entries and agents, with stand-ins of the store and the workers.

use std::collections::BTreeMap;
use std::fs;
use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, header};
use serde_json::{Value, json};
use sorrelland_web::Client;

use super::{Site, eventually};

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-1";
pub const PREFIX: &str = "/orders/";

const METRICS_PORT: u16 = 9_464;

/// Bound of a cancel on the platform, and of a stop there.
pub const CANCEL_BOUND: Duration = Duration::from_millis(3_000 + 400);

/// Bound after which the platform expects service again when everything was gone.
pub const RECOVERY_BOUND: Duration = Duration::from_secs(12);

pub struct Platform {
    pub site: Site,
    entries: usize,
    workers: usize,
}

/// Returns a step of `count` subtasks that each take a core and an accelerator.
pub fn step(count: u32) -> Value {
    json!({"count": count, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 300})
}

impl Platform {
    pub async fn start(entries: usize, workers: usize) -> Self {
        let mut platform = Self { site: Site::new(entries), entries, workers };
        platform.start_store().await;
        platform.publish(1, &[KEY]).await;
        for at in 1..=entries {
            platform.start_entry(at);
        }
        for at in 1..=workers {
            platform.start_worker(at, 1);
            platform.start_agent(at);
        }
        for at in 1..=entries {
            platform.await_ready(at).await;
        }
        platform.await_workers().await;
        platform
    }

    pub fn entries(&self) -> usize {
        self.entries
    }

    pub fn workers(&self) -> usize {
        self.workers
    }

    pub fn store(&self) -> String {
        self.site.address(1, 7_100)
    }

    async fn start_store(&mut self) {
        let listen = self.store();
        let program = env!("CARGO_BIN_EXE_sorrelland-standin");
        self.site.spawn_with("store", program, &["platform-store", "--listen", &listen], &[]);
        let client = Client::new(Duration::from_secs(1));
        let url = format!("http://{listen}/log-newest?topic=keyed.op&part=0");
        eventually(Duration::from_secs(20), "store answers", async || {
            client.get::<Value>(&url).await.is_ok()
        })
        .await;
    }

    pub fn start_worker(&mut self, at: usize, life: u32) {
        let (listen, announce) = (self.site.address(100 + at, 8_000), self.site.address(100 + at, 8_526));
        let (name, rack) = (format!("w-{at}-{life}"), format!("r{}", (at - 1) / 3 + 1));
        let args = [
            "platform-worker",
            "--listen",
            &listen,
            "--announce",
            &announce,
            "--name",
            &name,
            "--rack",
            &rack,
        ];
        self.site.spawn_with(&format!("worker-{at}"), env!("CARGO_BIN_EXE_sorrelland-standin"), &args, &[]);
    }

    fn settings(&self, name: &str, host: usize, listen: Value) -> Value {
        json!({
            "node_name": name, "ip": self.site.address(host, 0).trim_end_matches(":0"), "zone": "haiphong-a",
            "listen_addresses": listen, "internal_port_range": [7_000, 7_015], "heartbeat_ms": 300,
            "platform": {"address": self.store()},
            "bounds": {"hold_max_ms": 6_000, "stop_ms": 400, "reclaim_ms": 2_900, "grace_s": 6, "status_s": 120},
        })
    }

    fn spawn_role(&mut self, name: &str, role: &str, settings: &Value) {
        let path = self.site.dir().join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let path = path.display().to_string();
        let variables = [("SORRELLANDING_SETTINGS", path.as_str())];
        let port = METRICS_PORT.to_string();
        let args = ["--platform", role, "--metrics-port", &port];
        self.site.spawn_with(name, env!("CARGO_BIN_EXE_sorrellandd"), &args, &variables);
    }

    pub fn start_entry(&mut self, at: usize) {
        let host = 10 + at;
        let listen =
            json!({"front": self.site.address(host, 8_521), "readiness": self.site.address(host, 8_523)});
        let settings = self.settings(&format!("entry-{at}"), host, listen);
        self.spawn_role(&format!("entry-{at}"), "entry", &settings);
    }

    pub fn start_agent(&mut self, at: usize) {
        let host = 100 + at;
        let mut settings =
            self.settings(&format!("agent-{at}"), host, json!({"control": self.site.address(host, 8_526)}));
        settings["app"] = json!(self.site.address(host, 8_000));
        self.spawn_role(&format!("agent-{at}"), "agent", &settings);
    }

    /// Runs the operators' tool against an entry; returns its exit status and what it printed.
    pub fn operate(&self, at: usize, words: &[&str]) -> (i32, String) {
        let entry = self.site.address(10 + at, METRICS_PORT);
        let mut tool = Command::new(env!("CARGO_BIN_EXE_sorrellandctl"));
        let output = tool.args(["--entry", &entry, "platform"]).args(words).output().unwrap();
        (output.status.code().unwrap_or(-1), String::from_utf8(output.stdout).unwrap())
    }

    pub async fn await_ready(&self, at: usize) {
        let url = format!("http://{}/readiness", self.site.address(10 + at, 8_523));
        let client = Client::new(Duration::from_secs(1));
        eventually(Duration::from_secs(20), "entry is ready", async || {
            let reply = client.send(Method::GET, &url, &[], Bytes::new()).await;
            reply.is_ok_and(|reply| reply.status.is_success())
        })
        .await;
    }

    /// Waits until the planner knows every worker, shown by a job that needs a place on each.
    async fn await_workers(&self) {
        let wide = json!([{"count": self.workers, "cpu": 1, "gpu": 0, "anti_affinity": 1, "gang_scheduled": true,
            "estimate_ms": 10}]);
        eventually(Duration::from_secs(20), "all workers are known", async || {
            self.submit(1, "00000000000000ff", wide.clone(), "run_ms=10").await == 200
        })
        .await;
        self.await_state("00000000000000ff", "completed", Duration::from_secs(10)).await;
    }

    /// Publishes a desired state with these keys, as the operator does.
    pub async fn publish(&self, version: u64, keys: &[&str]) {
        let desired = json!({
            "version": version,
            "routes": [{"name": "orders", "host": HOST, "path_prefix": PREFIX, "service": "svc", "priority": 1,
                "max_attempts": 2, "stretch": 3.0, "full_credit_ms": 1_000}, {"host": 7}],
            "services": [{"name": "svc"}],
            "tenants": [{"name": "museum", "api_keys": keys, "guaranteed": {"gpu": 4}}],
        });
        let mut record = vec![6];
        record.extend(b"config");
        record.extend(desired.to_string().as_bytes());
        let mut body = (record.len() as u32).to_be_bytes().to_vec();
        body.extend(record);
        let client = Client::new(Duration::from_secs(2));
        let url = format!("http://{}/log-append?topic=keyed.op&part=0", self.store());
        let reply = client.send(Method::POST, &url, &[], body.into()).await.unwrap();
        assert!(reply.status.is_success());
    }

    pub async fn store_faults(&self, faults: Value) {
        self.site.faults(&self.store(), faults).await;
    }

    pub async fn call(&self, at: usize, method: Method, path: &str, key: &str, body: &Value) -> (u16, Value) {
        self.call_within(3_000, at, method, path, key, body).await
    }

    /// Calls an entry as a caller who says that it waits for `wait_ms`.
    pub async fn call_within(
        &self,
        wait_ms: u64,
        at: usize,
        method: Method,
        path: &str,
        key: &str,
        body: &Value,
    ) -> (u16, Value) {
        let client = Client::new(Duration::from_secs(4));
        let headers = [
            (header::HOST, HeaderValue::from_static(HOST)),
            (header::AUTHORIZATION, HeaderValue::from_str(&format!("Token {key}")).unwrap()),
            (HeaderName::from_static("x-deadline-ms"), HeaderValue::from(wait_ms)),
        ];
        let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        let url = format!("http://{}{path}", self.site.address(10 + at, 8_521));
        match client.send(method, &url, &headers, bytes).await {
            Ok(reply) => (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    /// Hands a job in and returns the status; 0 for no answer.
    pub async fn submit(&self, at: usize, job: &str, steps: Value, spec: &str) -> u16 {
        let body = json!({"task_spec": spec, "steps": steps});
        self.call(at, Method::POST, &format!("{PREFIX}{job}"), KEY, &body).await.0
    }

    /// Hands a job in, as often as it takes.
    pub async fn submit_until_accepted(&self, job: &str, steps: &Value, spec: &str) {
        let at = std::cell::Cell::new(0);
        eventually(Duration::from_secs(20), "job is accepted", async || {
            at.set(at.get() % self.entries + 1);
            self.submit(at.get(), job, steps.clone(), spec).await == 200
        })
        .await;
    }

    pub async fn state(&self, at: usize, job: &str) -> String {
        let (status, body) = self.call(at, Method::GET, &format!("{PREFIX}{job}"), KEY, &Value::Null).await;
        body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned)
    }

    pub async fn await_state(&self, job: &str, state: &str, within: Duration) {
        let deadline = Instant::now() + within;
        let mut seen = BTreeMap::new();
        for at in (1..=self.entries).cycle() {
            let found = self.state(at, job).await;
            if found == state {
                return;
            }
            seen.insert(at, found);
            let dir = self.site.dir().display();
            assert!(
                Instant::now() < deadline,
                "{job} is not {state} within {within:?}: {seen:?}; logs in {dir}"
            );
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Returns what the workers saw, in order of time: what, subtask, run, time.
    pub async fn history(&self) -> Vec<(String, String, u64, u64)> {
        let client = Client::new(Duration::from_secs(2));
        let mut events = Vec::new();
        for at in 1..=self.workers {
            let url = format!("http://{}/v1/history", self.site.address(100 + at, 8_000));
            let Ok(found) = client.get::<Vec<Value>>(&url).await else { continue };
            events.extend(found.into_iter().map(|event| {
                let text = |name: &str| event[name].as_str().unwrap_or_default().to_owned();
                let number = |name: &str| event[name].as_u64().unwrap_or_default();
                (text("what"), text("task"), number("run"), number("at_ms"))
            }));
        }
        events.sort_by_key(|event| event.3);
        events
    }

    /// Checks that no subtask ran twice at a time, nor again after it was done.
    pub async fn assert_run_once(&self) {
        let mut running: BTreeMap<String, u64> = BTreeMap::new();
        let mut done = BTreeMap::new();
        for (what, task, run, at_ms) in self.history().await {
            if what == "start" {
                assert!(!done.contains_key(&task), "{task} run {run} started at {at_ms} after it was done");
                let other = running.insert(task.clone(), run);
                assert!(other.is_none(), "{task} run {run} started at {at_ms} beside run {other:?}");
            } else {
                running.remove(&task);
                if what == "done" {
                    done.insert(task, at_ms);
                }
            }
        }
    }

    /// Returns the lines of all processes that name a job, with the events they tell.
    pub fn events_of(&self, job: &str) -> Vec<(String, String)> {
        let files = fs::read_dir(self.site.dir()).unwrap().flatten().map(|entry| entry.path());
        let mut lines: Vec<String> = files
            .filter(|path| path.extension().is_some_and(|ending| ending == "log"))
            .flat_map(|path| {
                fs::read_to_string(path).unwrap_or_default().lines().map(str::to_owned).collect::<Vec<_>>()
            })
            .filter(|line| line.contains(&format!("job={job}")))
            .collect();
        // By time; lines of one process keep their order.
        let time = |line: &String| line.split(' ').next().unwrap_or_default().to_owned();
        lines.sort_by_key(time);
        let event = |line: &String| line.split(" event=").nth(1)?.split(' ').next().map(str::to_owned);
        lines.iter().filter_map(|line| Some((event(line)?, line.clone()))).collect()
    }

    /// Returns the number of the entry that plans.
    pub fn planner(&self) -> usize {
        let count = |at: usize, what: &str| {
            let log = fs::read_to_string(self.site.dir().join(format!("entry-{at}.log"))).unwrap_or_default();
            log.lines().filter(|line| line.contains(what)).count()
        };
        let plans = |at: &usize| count(*at, "event=office_taken") > count(*at, "event=office_ended");
        (1..=self.entries).find(plans).expect("an entry plans")
    }
}
