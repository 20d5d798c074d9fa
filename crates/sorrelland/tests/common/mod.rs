//! Test environment for the process-level tests: real processes on separate loopback addresses.

#![allow(dead_code)]

pub mod cancel_play;
pub mod history;
pub mod platform;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use sorrelland_soak::deployment::new_network;
use sorrelland_soak::processes::Processes;
use sorrelland_web::Client;

pub const ACCOUNT_KEYS: [(&str, &str); 2] = [("chandler", "chandler-key"), ("museum", "museum-key-1")];
pub const OPERATOR_KEY: &str = "operator-key";

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Processes of a test; dropping the environment kills them.
pub struct TestEnv {
    /// First three octets of the loopback addresses.
    network: String,
    dir: PathBuf,
    processes: Processes,
    pub entries: usize,
    pub lease_ms: u64,
}

/// HTTP response with a JSON body.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Value,
    pub retry_after: Option<String>,
}

impl TestEnv {
    pub fn new(entries: usize) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("sorrelland-{pid}-{number}"));
        let processes = Processes::new(&dir).unwrap();
        Self { network: new_network(), dir, processes, entries, lease_ms: 1_000 }
    }

    /// Starts log, entries, workers and agents, waits until each entry reports all workers, and creates the
    /// accounts.
    pub async fn start(entries: usize, workers: usize) -> Self {
        Self::new(entries).start_all(workers).await
    }

    /// Starts the processes of [`TestEnv::start`], with the lease set in `lease_ms`.
    pub async fn start_all(self, workers: usize) -> Self {
        let entries = self.entries;
        let mut env = self;
        env.start_log().await;
        for index in 1..=entries {
            env.start_entry(index);
        }
        for index in 1..=workers {
            env.start_worker(index).await;
            env.start_agent(index);
        }
        for index in 1..=entries {
            env.await_ready(index, workers).await;
        }
        for (account, _) in ACCOUNT_KEYS {
            env.apply(&format!("set account {account} weight 1 id create-{account}")).await;
        }
        env
    }

    /// Returns an address in the network of the environment.
    pub fn address(&self, host: usize, port: u16) -> String {
        format!("{}.{host}:{port}", self.network)
    }

    /// Returns the directory for settings files and process output.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    pub fn log_address(&self) -> String {
        format!("{}.1:7000", self.network)
    }

    pub fn entry_address(&self, index: usize) -> String {
        format!("{}.{}:8080", self.network, 10 + index)
    }

    pub fn entry_rpc_address(&self, index: usize) -> String {
        format!("{}.{}:9080", self.network, 10 + index)
    }

    pub fn worker_address(&self, index: usize) -> String {
        format!("{}.{}:6000", self.network, 100 + index)
    }

    pub async fn start_log(&mut self) {
        let listen = self.log_address();
        self.spawn("log", env!("CARGO_BIN_EXE_sorrelland-standin"), &["log", "--listen", &listen]);
        self.await_http(&format!("http://{listen}/v1/counts")).await;
    }

    pub async fn start_worker(&mut self, index: usize) {
        let listen = self.worker_address(index);
        let name = format!("worker-{index}");
        let args = ["worker", "--listen", &listen, "--name", &name];
        self.spawn(&name, env!("CARGO_BIN_EXE_sorrelland-standin"), &args);
        self.await_http(&format!("http://{listen}/v1/worker")).await;
    }

    pub fn start_entry(&mut self, index: usize) {
        let peers: Vec<String> = (1..=self.entries)
            .filter(|peer| *peer != index)
            .map(|peer| self.entry_rpc_address(peer))
            .collect();
        let keys: Vec<String> = ACCOUNT_KEYS.iter().map(|(name, key)| format!("{name} = {key}")).collect();
        let settings = format!(
            "[daemon]\nrole = entry\nname = entry-{index}\nhttp = {}\nrpc = {}\nprocess-key = process-key\n\
             [log]\nurl = http://{}\ntimeout-ms = 500\nsnapshot-records = 50\n\
             [entry]\npeers = {}\n[agent]\nlease-ms = {}\n\
             [account-keys]\n{}\n[operator-keys]\nops = {OPERATOR_KEY}\n[logging]\nlevel = debug\n",
            self.entry_address(index),
            self.entry_rpc_address(index),
            self.log_address(),
            peers.join(", "),
            self.lease_ms,
            keys.join("\n"),
        );
        self.spawn_daemon(&format!("entry-{index}"), &settings);
    }

    pub fn start_agent(&mut self, index: usize) {
        let entries: Vec<String> = (1..=self.entries).map(|entry| self.entry_rpc_address(entry)).collect();
        let settings = format!(
            "[daemon]\nrole = agent\nname = worker-{index}\nregion = vn\ndomain = haiphong-a\nrack = rack-{}\n\
             rpc = {}.{}:9000\nprocess-key = process-key\n\
             [agent]\nworker = http://{}\nentries = {}\nlease-ms = {}\ngrace-ms = 1000\n[logging]\nlevel = debug\n",
            (index - 1) / 3 + 1,
            self.network,
            100 + index,
            self.worker_address(index),
            entries.join(", "),
            self.lease_ms,
        );
        self.spawn_daemon(&format!("agent-{index}"), &settings);
    }

    fn spawn_daemon(&mut self, name: &str, settings: &str) {
        let path = self.dir.join(format!("{name}.ini"));
        fs::write(&path, settings).unwrap();
        let path = path.display().to_string();
        self.spawn(name, env!("CARGO_BIN_EXE_sorrellandd"), &["--settings", &path]);
    }

    fn spawn(&mut self, name: &str, program: &str, args: &[&str]) {
        self.spawn_with_variables(name, program, args, &[]);
    }

    /// Starts a program with additional environment variables; its output goes to `NAME.log` in `dir`.
    pub fn spawn_with_variables(
        &mut self,
        name: &str,
        program: &str,
        args: &[&str],
        variables: &[(&str, &str)],
    ) {
        self.processes.spawn(name, name, Path::new(program), args, variables).unwrap();
    }

    pub fn signal(&self, name: &str, signal: Signal) {
        assert!(self.processes.signal(name, signal), "{name} is not running");
    }

    /// Returns the peak memory of a process, in kB.
    pub fn peak_memory_kb(&self, name: &str) -> u64 {
        let pid = self.processes.pid(name).expect("the process is running");
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) {
        assert!(self.processes.pid(name).is_some(), "{name} is not running");
        self.processes.kill(name);
    }

    /// Sends SIGTERM and returns whether the process exits successfully within `within`; kills it if it
    /// does not exit.
    pub async fn stop(&mut self, name: &str, within: Duration) -> bool {
        assert!(self.processes.pid(name).is_some(), "{name} is not running");
        self.processes.terminate(name, within).await
    }

    async fn await_http(&self, url: &str) {
        let client = Client::new(Duration::from_secs(1));
        eventually(Duration::from_secs(20), url, async || client.get::<Value>(url).await.is_ok()).await;
    }

    pub async fn await_ready(&self, index: usize, workers: usize) {
        let url = format!("http://{}/v1/ready", self.entry_address(index));
        let client = Client::new(Duration::from_secs(1));
        eventually(Duration::from_secs(20), "entry is ready", async || {
            client.get::<Value>(&url).await.is_ok_and(|ready| ready["workers"] == workers)
        })
        .await;
    }

    /// Sends a request to an entry; returns `None` if there is no response.
    pub async fn call(
        &self,
        index: usize,
        key: &str,
        method: Method,
        path: &str,
        body: Value,
    ) -> Option<Response> {
        let client = Client::new(Duration::from_secs(20)).with_bearer(key);
        let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        let url = format!("http://{}{path}", self.entry_address(index));
        let reply = client.send(method, &url, &[], bytes).await.ok()?;
        let retry_after = reply.headers.get("retry-after").map(|v| v.to_str().unwrap().to_owned());
        let body = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        Some(Response { status: reply.status.as_u16(), body, retry_after })
    }

    /// Sends a statement to an entry with the operator key.
    pub async fn query(&self, index: usize, text: &str) -> Response {
        let response =
            self.call(index, OPERATOR_KEY, Method::POST, "/v1/query", json!({ "text": text })).await;
        response.unwrap()
    }

    /// Sends a command to the first entry, checks that it is accepted and returns its version.
    pub async fn apply(&self, text: &str) -> u64 {
        let response = self.query(1, text).await;
        let command = &response.body["commands"][0];
        assert_eq!(command["result"], "accepted", "{text}: {response:?}");
        command["version"].as_u64().unwrap()
    }

    /// Submits a job of the first account; `fields` are added to its name and declared run time.
    pub async fn submit(&self, index: usize, name: &str, fields: Value) -> Option<Response> {
        let mut body = json!({ "name": name, "declared_ms": 1_000 });
        body.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
        self.call(index, ACCOUNT_KEYS[0].1, Method::POST, "/v1/jobs", body).await
    }

    pub async fn job_status(&self, index: usize, name: &str) -> Value {
        let response =
            self.call(index, ACCOUNT_KEYS[0].1, Method::GET, &format!("/v1/jobs/{name}"), Value::Null).await;
        response.map(|response| response.body).unwrap_or_default()
    }

    /// Waits until a job has ended and returns its outcome.
    pub async fn await_outcome(&self, index: usize, name: &str, within: Duration) -> Value {
        let deadline = Instant::now() + within;
        loop {
            let job = self.job_status(index, name).await;
            if job["state"] == "ended" {
                return job["outcome"].clone();
            }
            assert!(
                Instant::now() < deadline,
                "job {name} has not ended: {job}; logs in {}",
                self.dir.display()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sets the faults that a stand-in injects.
    pub async fn set_faults(&self, address: &str, faults: Value) {
        let client = Client::new(Duration::from_secs(5));
        let url = format!("http://{address}/v1/faults");
        let reply = client.send(Method::PUT, &url, &[], Bytes::from(faults.to_string())).await.unwrap();
        assert!(reply.status.is_success());
    }

    /// Returns the events of all workers, ordered by time.
    pub async fn history(&self, workers: usize) -> Vec<history::Event> {
        let client = Client::new(Duration::from_secs(5));
        let mut events = Vec::new();
        for index in 1..=workers {
            let found: Vec<Value> =
                client.get(&format!("http://{}/v1/history", self.worker_address(index))).await.unwrap();
            events.extend(
                found.iter().map(|event| history::Event::from_json(&format!("worker-{index}"), event)),
            );
        }
        events.sort_by_key(|event| event.at_ms);
        events
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        self.processes.kill_all();
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Polls `condition` until it holds; panics if it does not hold within `within`.
pub async fn eventually(within: Duration, what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + within;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out after {within:?}: {what}");
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}
