//! Test environment for the users' platform: real entries and agents, with stand-ins for store and workers.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, header};
use serde_json::{Value, json};
use sorrelland_soak::deployment;
pub use sorrelland_soak::deployment::{HOST, KEY};
use sorrelland_web::Client;

use super::{TestEnv, eventually};

pub const PREFIX: &str = "/orders/";

const METRICS_PORT: u16 = 9_464;

/// Time that the platform allows for a cancellation, plus the time for a stop (`stop_ms`).
pub const CANCEL_BOUND: Duration = Duration::from_millis(3_000 + 400);

/// Time within which the platform expects service again after the loss of all processes.
pub const RECOVERY_BOUND: Duration = Duration::from_secs(12);

pub struct Platform {
    pub env: TestEnv,
    /// Build of the entries and agents that are started from now on.
    build: PathBuf,
    entries: usize,
    workers: usize,
    /// Number of jobs submitted to find out whether all workers are known.
    gangs: AtomicU64,
    /// Whether there is a policy service.
    has_policy: bool,
}

/// Returns a step of `count` subtasks with one core and one accelerator each.
pub fn step(count: u32) -> Value {
    json!({"count": count, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 300})
}

/// Returns the daemon that is built with the tests.
pub fn present_build() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_sorrellandd"))
}

/// Callers of a platform, who may go on calling while its processes are replaced.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Addresses of the entries for callers.
    entries: Vec<String>,
}

impl Callers {
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Sends a request with a deadline of `deadline_ms` to an entry; returns status 0 if there is no response.
    pub async fn call_within(
        &self,
        deadline_ms: u64,
        index: usize,
        method: Method,
        path: &str,
        key: &str,
        body: &Value,
    ) -> (u16, Value) {
        let client = Client::new(Duration::from_secs(4));
        let headers = [
            (header::HOST, HeaderValue::from_static(HOST)),
            (header::AUTHORIZATION, HeaderValue::from_str(&format!("Token {key}")).unwrap()),
            (HeaderName::from_static("x-deadline-ms"), HeaderValue::from(deadline_ms)),
        ];
        let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        let url = format!("http://{}{path}", self.entries[index - 1]);
        match client.send(method, &url, &headers, bytes).await {
            Ok(reply) => (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }
}

impl Platform {
    pub async fn start(entries: usize, workers: usize) -> Self {
        Self::start_build(present_build(), entries, workers).await
    }

    /// Starts the entries and agents from a build.
    pub async fn start_build(build: &Path, entries: usize, workers: usize) -> Self {
        Self::start_services(build, entries, workers, false).await
    }

    /// Starts a platform with a policy service.
    pub async fn start_with_policy(entries: usize, workers: usize) -> Self {
        Self::start_services(present_build(), entries, workers, true).await
    }

    async fn start_services(build: &Path, entries: usize, workers: usize, has_policy: bool) -> Self {
        let (env, build) = (TestEnv::new(entries), build.to_owned());
        let mut platform = Self { env, build, entries, workers, gangs: AtomicU64::new(0), has_policy };
        platform.start_store().await;
        if has_policy {
            platform.start_policy();
        }
        platform.publish(1, &[KEY]).await;
        for index in 1..=entries {
            platform.start_entry(index);
        }
        for index in 1..=workers {
            platform.start_worker(index, 1);
            platform.start_agent(index);
        }
        for index in 1..=entries {
            platform.await_ready(index).await;
        }
        platform.await_workers().await;
        platform
    }

    /// Sets the build of the entries and agents that are started from now on.
    pub fn set_build(&mut self, build: &Path) {
        self.build = build.to_owned();
    }

    pub fn callers(&self) -> Callers {
        let address = |index| self.env.address(10 + index, 8_521);
        Callers { entries: (1..=self.entries).map(address).collect() }
    }

    pub fn entries(&self) -> usize {
        self.entries
    }

    pub fn workers(&self) -> usize {
        self.workers
    }

    pub fn store_address(&self) -> String {
        self.env.address(1, 7_100)
    }

    async fn start_store(&mut self) {
        let listen = self.store_address();
        let program = env!("CARGO_BIN_EXE_sorrelland-standin");
        self.env.spawn_with_variables("store", program, &["platform-store", "--listen", &listen], &[]);
        let client = Client::new(Duration::from_secs(1));
        let url = format!("http://{listen}/log-newest?topic=keyed.op&part=0");
        eventually(Duration::from_secs(20), "store responds", async || {
            client.get::<Value>(&url).await.is_ok()
        })
        .await;
    }

    pub fn policy_address(&self) -> String {
        self.env.address(1, 7_300)
    }

    pub fn start_policy(&mut self) {
        let (program, listen) = (env!("CARGO_BIN_EXE_sorrelland-standin"), self.policy_address());
        self.env.spawn_with_variables("policy", program, &["platform-policy", "--listen", &listen], &[]);
    }

    pub fn start_worker(&mut self, index: usize, incarnation: u32) {
        self.spawn_worker(index, &format!("w-{index}-{incarnation}"), &[]);
    }

    /// Starts a worker that tells when it started, and may have a name that an earlier one had.
    pub fn start_telling_worker(&mut self, index: usize, name: &str) {
        self.spawn_worker(index, name, &["--tells-start"]);
    }

    fn spawn_worker(&mut self, index: usize, name: &str, options: &[&str]) {
        let (listen, announce) = (self.env.address(100 + index, 8_000), self.env.address(100 + index, 8_526));
        let rack = format!("r{}", (index - 1) / 3 + 1);
        let args = [
            "platform-worker",
            "--listen",
            &listen,
            "--announce",
            &announce,
            "--name",
            name,
            "--rack",
            &rack,
        ];
        let args = [&args[..], options].concat();
        self.env.spawn_with_variables(
            &format!("worker-{index}"),
            env!("CARGO_BIN_EXE_sorrelland-standin"),
            &args,
            &[],
        );
    }

    fn settings(&self, name: &str, host: usize, listen: Value) -> Value {
        let ip = self.env.address(host, 0);
        let mut settings =
            deployment::role_settings(name, ip.trim_end_matches(":0"), &self.store_address(), listen);
        if self.has_policy {
            settings["advice"] = json!(self.policy_address());
        }
        settings
    }

    fn spawn_role(&mut self, name: &str, role: &str, settings: &Value) {
        let path = self.env.dir().join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let path = path.display().to_string();
        let variables = [("SORRELLANDING_SETTINGS", path.as_str())];
        let port = METRICS_PORT.to_string();
        let args = ["--platform", role, "--metrics-port", &port];
        let build = self.build.display().to_string();
        self.env.spawn_with_variables(name, &build, &args, &variables);
    }

    pub fn start_entry(&mut self, index: usize) {
        self.start_entry_of_size(index, 1.0);
    }

    /// Starts an entry that has a share of a core.
    pub fn start_entry_of_size(&mut self, index: usize, cpu_share: f64) {
        let mut settings = self.entry_settings(index);
        settings["limits"] = json!({"cpu_share": cpu_share, "cores": 1});
        self.spawn_role(&format!("entry-{index}"), "entry", &settings);
    }

    /// Starts an entry in a failure domain that the operators evacuate, so that it never leads.
    pub async fn start_entry_that_cannot_lead(&mut self, index: usize) {
        const DOMAIN: &str = "halong";
        let key = format!("evacuate/{DOMAIN}");
        assert!(deployment::publish_record(&self.store_address(), &key, &json!({})).await);
        let mut settings = self.entry_settings(index);
        settings["limits"] = json!({"cpu_share": 1.0, "cores": 1});
        settings["zone"] = json!(DOMAIN);
        self.spawn_role(&format!("entry-{index}"), "entry", &settings);
    }

    fn entry_settings(&self, index: usize) -> Value {
        let host = 10 + index;
        let listen =
            json!({"front": self.env.address(host, 8_521), "readiness": self.env.address(host, 8_523)});
        self.settings(&format!("entry-{index}"), host, listen)
    }

    pub fn start_agent(&mut self, index: usize) {
        let host = 100 + index;
        let mut settings =
            self.settings(&format!("agent-{index}"), host, json!({"control": self.env.address(host, 8_526)}));
        settings["app"] = json!(self.env.address(host, 8_000));
        self.spawn_role(&format!("agent-{index}"), "agent", &settings);
    }

    fn instance_url(&self, index: usize, incarnation: &str) -> String {
        format!("http://{}/instances/{incarnation}", self.env.address(100 + index, 8_526))
    }

    /// Sends an announcement of a worker to an agent, as any writer may; returns the HTTP status, 0 if there is no response.
    pub async fn announce(&self, index: usize, incarnation: &str, body: &Value) -> u16 {
        let client = Client::new(Duration::from_secs(2));
        let url = self.instance_url(index, incarnation);
        let reply = client.send(Method::PUT, &url, &[], Bytes::from(body.to_string())).await;
        reply.map_or(0, |reply| reply.status.as_u16())
    }

    /// Sends an announcement to an agent as soon as it listens.
    pub async fn announce_once_up(&self, index: usize, incarnation: &str, body: &Value) {
        let deadline = Instant::now() + Duration::from_secs(5);
        while self.announce(index, incarnation, body).await == 0 {
            assert!(Instant::now() < deadline, "agent {index} listens");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Tells an agent that a worker incarnation leaves.
    pub async fn depart(&self, index: usize, incarnation: &str) {
        let client = Client::new(Duration::from_secs(2));
        let url = self.instance_url(index, incarnation);
        let reply = client.send(Method::DELETE, &url, &[], Bytes::new()).await.unwrap();
        assert!(reply.status.is_success());
    }

    /// Waits until a process has logged an event of a job.
    pub async fn await_event(&self, event: &str, job: &str, within: Duration) {
        eventually(within, event, async || self.job_events(job).iter().any(|(name, _)| name == event)).await;
    }

    /// Runs `sorrellandctl` against an entry; returns its exit status and standard output.
    pub fn run_ctl(&self, index: usize, command: &[&str]) -> (i32, String) {
        let entry = self.env.address(10 + index, METRICS_PORT);
        let mut tool = Command::new(env!("CARGO_BIN_EXE_sorrellandctl"));
        let output = tool.args(["--entry", &entry, "platform"]).args(command).output().unwrap();
        (output.status.code().unwrap_or(-1), String::from_utf8(output.stdout).unwrap())
    }

    /// Runs the report on late jobs over the logs of all processes; returns its exit status and output.
    pub fn run_late_report(&self, options: &[&str]) -> (i32, String) {
        self.run_log_report(&["late"], options)
    }

    /// Runs the report on the runs of a subtask over the logs of all processes; returns its exit status and output.
    pub fn run_runs_report(&self, task: &str, options: &[&str]) -> (i32, String) {
        self.run_log_report(&["runs", task], options)
    }

    fn run_log_report(&self, command: &[&str], options: &[&str]) -> (i32, String) {
        let files = fs::read_dir(self.env.dir()).unwrap().flatten().map(|entry| entry.path());
        let logs = files.filter(|path| path.extension().is_some_and(|suffix| suffix == "log"));
        let mut tool = Command::new(env!("CARGO_BIN_EXE_sorrellandctl"));
        let output = tool.args(command).args(logs).args(options).output().unwrap();
        (output.status.code().unwrap_or(-1), String::from_utf8(output.stdout).unwrap())
    }

    pub async fn await_ready(&self, index: usize) {
        let url = format!("http://{}/readiness", self.env.address(10 + index, 8_523));
        let client = Client::new(Duration::from_secs(1));
        eventually(Duration::from_secs(20), "entry is ready", async || {
            let reply = client.send(Method::GET, &url, &[], Bytes::new()).await;
            reply.is_ok_and(|reply| reply.status.is_success())
        })
        .await;
    }

    /// Waits until the planner knows all workers: until it completes a job with one subtask on each.
    pub async fn await_workers(&self) {
        let gang = json!([{"count": self.workers, "cpu": 1, "gpu": 0, "anti_affinity": 1, "gang_scheduled": true,
            "estimate_ms": 10}]);
        let job = format!("{:016x}", 0xff00 + self.gangs.fetch_add(1, Ordering::Relaxed));
        eventually(Duration::from_secs(20), "all workers are known", async || {
            self.submit(1, &job, gang.clone(), "run_ms=10").await == 200
        })
        .await;
        self.await_state(&job, "completed", Duration::from_secs(10)).await;
    }

    /// Appends a desired state with these account keys to the store, as an operator does.
    pub async fn publish(&self, version: u64, keys: &[&str]) {
        let desired = json!({
            "version": version,
            "routes": [{"name": "orders", "host": HOST, "path_prefix": PREFIX, "service": "svc", "priority": 1,
                "max_attempts": 2, "stretch": 3.0, "full_credit_ms": 1_000}, {"host": 7}],
            "services": [{"name": "svc"}],
            "tenants": [{"name": "museum", "api_keys": keys, "guaranteed": {"gpu": 4}}],
        });
        self.publish_desired(&desired).await;
    }

    /// Appends a desired state to the store, as an operator does.
    pub async fn publish_desired(&self, desired: &Value) {
        assert!(deployment::publish(&self.store_address(), desired).await);
    }

    pub async fn set_store_faults(&self, faults: Value) {
        self.env.set_faults(&self.store_address(), faults).await;
    }

    pub async fn set_policy_faults(&self, faults: Value) {
        self.env.set_faults(&self.policy_address(), faults).await;
    }

    /// Sets the faults of a worker.
    pub async fn set_worker_faults(&self, index: usize, faults: Value) {
        self.env.set_faults(&self.env.address(100 + index, 8_000), faults).await;
    }

    pub async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        key: &str,
        body: &Value,
    ) -> (u16, Value) {
        self.call_within(3_000, index, method, path, key, body).await
    }

    /// Sends a request with a deadline of `deadline_ms`; returns status 0 if there is no response.
    pub async fn call_within(
        &self,
        deadline_ms: u64,
        index: usize,
        method: Method,
        path: &str,
        key: &str,
        body: &Value,
    ) -> (u16, Value) {
        self.callers().call_within(deadline_ms, index, method, path, key, body).await
    }

    /// Submits a job and returns the HTTP status; 0 if there is no response.
    pub async fn submit(&self, index: usize, job: &str, steps: Value, spec: &str) -> u16 {
        let body = json!({"task_spec": spec, "steps": steps});
        self.call(index, Method::POST, &format!("{PREFIX}{job}"), KEY, &body).await.0
    }

    /// Submits a job to the entries in turn until one of them accepts it.
    pub async fn submit_until_accepted(&self, job: &str, steps: &Value, spec: &str) {
        let index = std::cell::Cell::new(0);
        eventually(Duration::from_secs(20), "job is accepted", async || {
            index.set(index.get() % self.entries + 1);
            self.submit(index.get(), job, steps.clone(), spec).await == 200
        })
        .await;
    }

    pub async fn state(&self, index: usize, job: &str) -> String {
        let (status, body) =
            self.call(index, Method::GET, &format!("{PREFIX}{job}"), KEY, &Value::Null).await;
        body["state"].as_str().map_or_else(|| status.to_string(), str::to_owned)
    }

    pub async fn await_state(&self, job: &str, state: &str, within: Duration) {
        let deadline = Instant::now() + within;
        let mut states = BTreeMap::new();
        for index in (1..=self.entries).cycle() {
            let current = self.state(index, job).await;
            if current == state {
                return;
            }
            states.insert(index, current);
            let dir = self.env.dir().display();
            assert!(
                Instant::now() < deadline,
                "{job} did not become {state} within {within:?}: {states:?}; logs in {dir}"
            );
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Returns the events of the workers, ordered by time: kind, subtask, run and time in milliseconds.
    pub async fn history(&self) -> Vec<(String, String, u64, u64)> {
        let client = Client::new(Duration::from_secs(2));
        let mut events = Vec::new();
        for index in 1..=self.workers {
            let url = format!("http://{}/v1/history", self.env.address(100 + index, 8_000));
            let Ok(recorded) = client.get::<Vec<Value>>(&url).await else { continue };
            events.extend(recorded.into_iter().map(|event| {
                let text = |name: &str| event[name].as_str().unwrap_or_default().to_owned();
                let number = |name: &str| event[name].as_u64().unwrap_or_default();
                (text("what"), text("task"), number("run"), number("at_ms"))
            }));
        }
        events.sort_by_key(|event| event.3);
        events
    }

    /// Checks that no subtask ran twice at the same time or again after it was done.
    pub async fn assert_run_once(&self) {
        let mut running: BTreeMap<String, u64> = BTreeMap::new();
        let mut done = BTreeMap::new();
        for (kind, task, run, at_ms) in self.history().await {
            if kind == "start" {
                assert!(!done.contains_key(&task), "{task} run {run} started at {at_ms} after it was done");
                let previous = running.insert(task.clone(), run);
                assert!(
                    previous.is_none(),
                    "{task} run {run} started at {at_ms} while run {previous:?} was running"
                );
            } else {
                running.remove(&task);
                if kind == "done" {
                    done.insert(task, at_ms);
                }
            }
        }
    }

    /// Returns the event name and log line of all events of a job, ordered by time, from all processes.
    pub fn job_events(&self, job: &str) -> Vec<(String, String)> {
        let files = fs::read_dir(self.env.dir()).unwrap().flatten().map(|entry| entry.path());
        let mut lines: Vec<String> = files
            .filter(|path| path.extension().is_some_and(|suffix| suffix == "log"))
            .flat_map(|path| {
                fs::read_to_string(path).unwrap_or_default().lines().map(str::to_owned).collect::<Vec<_>>()
            })
            .filter(|line| line.contains(&format!("job={job}")))
            .collect();
        // The sort is stable: lines of one process with the same timestamp keep their order.
        let timestamp = |line: &String| line.split(' ').next().unwrap_or_default().to_owned();
        lines.sort_by_key(timestamp);
        let event = |line: &String| line.split(" event=").nth(1)?.split(' ').next().map(str::to_owned);
        lines.iter().filter_map(|line| Some((event(line)?, line.clone()))).collect()
    }

    /// Returns the index of the entry whose log shows that it is the leader.
    pub fn leader(&self) -> usize {
        let count = |index: usize, event: &str| {
            let log =
                fs::read_to_string(self.env.dir().join(format!("entry-{index}.log"))).unwrap_or_default();
            log.lines().filter(|line| line.contains(event)).count()
        };
        let is_leader =
            |index: &usize| count(*index, "event=office_taken") > count(*index, "event=office_ended");
        (1..=self.entries).find(is_leader).expect("no entry is the leader")
    }
}
