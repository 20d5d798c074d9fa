//! A site of real processes on loopback addresses of its own, for the process-level tests.

#![allow(dead_code)]

pub mod history;
pub mod platform;

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use sorrelland_web::Client;

pub const ACCOUNT_KEYS: [(&str, &str); 2] = [("chandler", "chandler-key"), ("museum", "museum-key-1")];
pub const OPERATOR_KEY: &str = "operator-key";

static SITES: AtomicU32 = AtomicU32::new(0);

/// Processes of one test; all of them end with it.
pub struct Site {
    net: String,
    dir: PathBuf,
    children: BTreeMap<String, Child>,
    pub entries: usize,
    pub lease_ms: u64,
}

/// An answer with its status and JSON body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    pub retry_after: Option<String>,
}

impl Site {
    pub fn new(entries: usize) -> Self {
        let site = SITES.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // A network of its own in 127/8: no other test and no client port can be in the way.
        let net = format!("127.{}.{}", 1 + pid % 250, (pid / 250 + site * 97) % 250);
        let dir = std::env::temp_dir().join(format!("sorrelland-{pid}-{site}"));
        fs::create_dir_all(&dir).unwrap();
        Self { net, dir, children: BTreeMap::new(), entries, lease_ms: 1_000 }
    }

    /// Starts log, entries, workers and agents, and waits until all know each other.
    pub async fn start(entries: usize, workers: usize) -> Self {
        let mut site = Self::new(entries);
        site.start_log().await;
        for at in 1..=entries {
            site.start_entry(at);
        }
        for at in 1..=workers {
            site.start_worker(at).await;
            site.start_agent(at);
        }
        for at in 1..=entries {
            site.await_ready(at, workers).await;
        }
        for (account, _) in ACCOUNT_KEYS {
            site.set(&format!("set account {account} weight 1 id create-{account}")).await;
        }
        site
    }

    /// Returns an address of the site's own network.
    pub fn address(&self, host: usize, port: u16) -> String {
        format!("{}.{host}:{port}", self.net)
    }

    /// Returns the folder of the site's files.
    pub fn dir(&self) -> &std::path::Path {
        &self.dir
    }

    pub fn log(&self) -> String {
        format!("{}.1:7000", self.net)
    }

    pub fn entry(&self, at: usize) -> String {
        format!("{}.{}:8080", self.net, 10 + at)
    }

    pub fn entry_rpc(&self, at: usize) -> String {
        format!("{}.{}:9080", self.net, 10 + at)
    }

    pub fn worker(&self, at: usize) -> String {
        format!("{}.{}:6000", self.net, 100 + at)
    }

    pub async fn start_log(&mut self) {
        let listen = self.log();
        self.spawn("log", env!("CARGO_BIN_EXE_sorrelland-standin"), &["log", "--listen", &listen]);
        self.await_http(&format!("http://{listen}/v1/counts")).await;
    }

    pub async fn start_worker(&mut self, at: usize) {
        let listen = self.worker(at);
        let name = format!("worker-{at}");
        let args = ["worker", "--listen", &listen, "--name", &name];
        self.spawn(&name, env!("CARGO_BIN_EXE_sorrelland-standin"), &args);
        self.await_http(&format!("http://{listen}/v1/worker")).await;
    }

    pub fn start_entry(&mut self, at: usize) {
        let peers: Vec<String> =
            (1..=self.entries).filter(|peer| *peer != at).map(|peer| self.entry_rpc(peer)).collect();
        let keys: Vec<String> = ACCOUNT_KEYS.iter().map(|(name, key)| format!("{name} = {key}")).collect();
        let settings = format!(
            "[daemon]\nrole = entry\nname = entry-{at}\nhttp = {}\nrpc = {}\nprocess-key = process-key\n\
             [log]\nurl = http://{}\ntimeout-ms = 500\nsnapshot-records = 50\n\
             [entry]\npeers = {}\n[agent]\nlease-ms = {}\n\
             [account-keys]\n{}\n[operator-keys]\nops = {OPERATOR_KEY}\n[logging]\nlevel = debug\n",
            self.entry(at),
            self.entry_rpc(at),
            self.log(),
            peers.join(", "),
            self.lease_ms,
            keys.join("\n"),
        );
        self.spawn_daemon(&format!("entry-{at}"), &settings);
    }

    pub fn start_agent(&mut self, at: usize) {
        let entries: Vec<String> = (1..=self.entries).map(|entry| self.entry_rpc(entry)).collect();
        let settings = format!(
            "[daemon]\nrole = agent\nname = worker-{at}\nregion = vn\ndomain = haiphong-a\nrack = rack-{}\n\
             rpc = {}.{}:9000\nprocess-key = process-key\n\
             [agent]\nworker = http://{}\nentries = {}\nlease-ms = {}\ngrace-ms = 1000\n[logging]\nlevel = debug\n",
            (at - 1) / 3 + 1,
            self.net,
            100 + at,
            self.worker(at),
            entries.join(", "),
            self.lease_ms,
        );
        self.spawn_daemon(&format!("agent-{at}"), &settings);
    }

    fn spawn_daemon(&mut self, name: &str, settings: &str) {
        let path = self.dir.join(format!("{name}.ini"));
        fs::write(&path, settings).unwrap();
        let path = path.display().to_string();
        self.spawn(name, env!("CARGO_BIN_EXE_sorrellandd"), &["--settings", &path]);
    }

    fn spawn(&mut self, name: &str, program: &str, args: &[&str]) {
        self.spawn_with(name, program, args, &[]);
    }

    /// Starts a program with further variables; what it prints goes into a file of its name.
    pub fn spawn_with(&mut self, name: &str, program: &str, args: &[&str], variables: &[(&str, &str)]) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let child = Command::new(program)
            .args(args)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(log.as_ref().unwrap().try_clone().unwrap())
            .stderr(log.unwrap())
            .spawn()
            .unwrap();
        self.children.insert(name.to_owned(), child);
    }

    pub fn signal(&self, name: &str, signal: Signal) {
        let pid = Pid::from_raw(self.children[name].id() as i32);
        kill(pid, signal).unwrap();
    }

    /// Ends a process at once.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.children.remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Asks a process to stop and returns whether it did so in time with a good status.
    pub async fn stop(&mut self, name: &str, within: Duration) -> bool {
        self.signal(name, Signal::SIGTERM);
        let deadline = Instant::now() + within;
        let mut child = self.children.remove(name).unwrap();
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        child.kill().unwrap();
        child.wait().unwrap();
        false
    }

    async fn await_http(&self, url: &str) {
        let client = Client::new(Duration::from_secs(1));
        eventually(Duration::from_secs(20), url, async || client.get::<Value>(url).await.is_ok()).await;
    }

    pub async fn await_ready(&self, at: usize, workers: usize) {
        let url = format!("http://{}/v1/ready", self.entry(at));
        let client = Client::new(Duration::from_secs(1));
        eventually(Duration::from_secs(20), "entry is ready", async || {
            client.get::<Value>(&url).await.is_ok_and(|ready| ready["workers"] == workers)
        })
        .await;
    }

    /// Calls an entry.
    pub async fn call(
        &self,
        at: usize,
        key: &str,
        method: Method,
        path: &str,
        body: Value,
    ) -> Option<Answer> {
        let client = Client::new(Duration::from_secs(20)).with_bearer(key);
        let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        let url = format!("http://{}{path}", self.entry(at));
        let reply = client.send(method, &url, &[], bytes).await.ok()?;
        let retry_after = reply.headers.get("retry-after").map(|v| v.to_str().unwrap().to_owned());
        let body = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        Some(Answer { status: reply.status.as_u16(), body, retry_after })
    }

    /// Sends a statement as operator to the first entry.
    pub async fn query(&self, at: usize, text: &str) -> Answer {
        let answer = self.call(at, OPERATOR_KEY, Method::POST, "/v1/query", json!({ "text": text })).await;
        answer.unwrap()
    }

    /// Sends a change and checks that it is accepted.
    pub async fn set(&self, text: &str) -> u64 {
        let answer = self.query(1, text).await;
        let command = &answer.body["commands"][0];
        assert_eq!(command["result"], "accepted", "{text}: {answer:?}");
        command["version"].as_u64().unwrap()
    }

    /// Submits a job for the first account.
    pub async fn submit(&self, at: usize, name: &str, more: Value) -> Option<Answer> {
        let mut body = json!({ "name": name, "declared_ms": 1_000 });
        body.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
        self.call(at, ACCOUNT_KEYS[0].1, Method::POST, "/v1/jobs", body).await
    }

    pub async fn job(&self, at: usize, name: &str) -> Value {
        let answer =
            self.call(at, ACCOUNT_KEYS[0].1, Method::GET, &format!("/v1/jobs/{name}"), Value::Null).await;
        answer.map(|answer| answer.body).unwrap_or_default()
    }

    /// Waits until a job has its final outcome and returns it.
    pub async fn outcome(&self, at: usize, name: &str, within: Duration) -> Value {
        let deadline = Instant::now() + within;
        loop {
            let job = self.job(at, name).await;
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

    /// Switches faults of a stand-in.
    pub async fn faults(&self, address: &str, faults: Value) {
        let client = Client::new(Duration::from_secs(5));
        let url = format!("http://{address}/v1/faults");
        let reply = client.send(Method::PUT, &url, &[], Bytes::from(faults.to_string())).await.unwrap();
        assert!(reply.status.is_success());
    }

    /// Returns everything that happened at the workers.
    pub async fn history(&self, workers: usize) -> Vec<history::Event> {
        let client = Client::new(Duration::from_secs(5));
        let mut events = Vec::new();
        for at in 1..=workers {
            let found: Vec<Value> =
                client.get(&format!("http://{}/v1/history", self.worker(at))).await.unwrap();
            events.extend(found.iter().map(|event| history::Event::read(&format!("worker-{at}"), event)));
        }
        events.sort_by_key(|event| event.at_ms);
        events
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            // A stopped process has to be killed all the same; one that is gone already is fine.
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Waits until `holds`.
pub async fn eventually(within: Duration, what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + within;
    while !holds().await {
        assert!(Instant::now() < deadline, "not within {within:?}: {what}");
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}
