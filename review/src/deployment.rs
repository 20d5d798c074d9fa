//! A small deployment on loopback addresses: the project's programs as separate processes with the commands of the deploy
//! file, and stand-ins for everything else.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::policy::Policy;
use crate::record::{elapsed, note};
use crate::store::{self, Store};
use crate::worker::{HOLD_MAX_MS, STOP_MS, Shape, Worker};

const PROGRAM: &str = "target/release/sorrellandd";
const METRICS_PORT: &str = "9464";
pub const SERVICE: &str = "chandler-orders";
pub const HOST: &str = "nony24.example";
pub const ZONES: [&str; 3] = ["haiphong-a", "haiphong-b", "halong"];
/// Time limit of a client's call.
pub const DEADLINE: Duration = Duration::from_millis(3_000);

#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub body: String,
}

impl Answer {
    pub fn state(&self) -> String {
        Json::parse(&self.body).map(|body| body.get("state").text().to_owned()).unwrap_or_default()
    }
}

struct Process {
    name: String,
    child: Option<Child>,
    role: &'static str,
    settings: PathBuf,
}

pub struct Deployment {
    base: String,
    dir: PathBuf,
    pub store: Store,
    policy: Policy,
    pub workers: Vec<Worker>,
    entries: usize,
    processes: Vec<Process>,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that run, for the watchdog.
static RUNNING: Mutex<BTreeSet<i32>> = Mutex::new(BTreeSet::new());

/// Time after which a case ends whatever it waits for.
const LIMIT: Duration = Duration::from_secs(115);

/// Ends the case, with all processes that it started, if it takes too long.
pub fn watch() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        for pid in RUNNING.lock().unwrap().iter() {
            // SAFETY: the call takes no pointers, and these children have not been waited for.
            unsafe { kill(*pid, SIGKILL) };
        }
        note("ended by the watchdog");
        std::process::exit(2);
    });
}

const SIGKILL: i32 = 9;

/// Returns the first two numbers of loopback addresses that nobody uses.
fn free_base() -> (String, TcpListener) {
    let first = 64 + std::process::id() % 128;
    for number in (first..254).chain(20..first) {
        let base = format!("127.{number}");
        if let Ok(listener) = TcpListener::bind(store::address(&format!("{base}.0.7"))) {
            return (base, listener);
        }
    }
    crate::give_up("no free loopback address");
}

impl Deployment {
    /// Starts a store, `entries` entries, and an agent beside each of `workers` workers; each worker as `shape` makes it.
    pub fn start(entries: usize, workers: usize, config: &str, shape: impl Fn(usize) -> Shape) -> Self {
        let (base, listener) = free_base();
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Store::start(listener);
        store.operate("config", config);
        let policy = Policy::default();
        policy.serve(TcpListener::bind(format!("{base}.0.9:8524")).expect("a free port"));
        let (no_workers, processes) = (Vec::new(), Vec::new());
        let mut deployment = Self { base, dir, store, policy, workers: no_workers, entries, processes };
        for index in 0..entries {
            let ip = deployment.entry_ip(index);
            let listen = format!("\"front\":\"{ip}:8521\",\"readiness\":\"{ip}:8523\"");
            deployment.add_process(format!("entry-{index}"), "entry", &ip, index, &listen, "");
        }
        for index in 0..workers {
            let ip = deployment.agent_ip(index);
            let listen = format!("\"control\":\"{ip}:8526\"");
            let app = format!("\"app\":\"{ip}:8080\",");
            deployment.add_process(format!("agent-{index}"), "agent", &ip, index, &listen, &app);
            deployment.workers.push(deployment.new_worker(index, shape(index)));
        }
        deployment
    }

    fn new_worker(&self, index: usize, shape: Shape) -> Worker {
        let ip = self.agent_ip(index);
        let listener = TcpListener::bind(format!("{ip}:8080")).expect("a free port");
        Worker::start(listener, self.control(index), shape, self.policy.clone())
    }

    fn entry_ip(&self, index: usize) -> String {
        format!("{}.1.{}", self.base, index + 1)
    }

    fn agent_ip(&self, index: usize) -> String {
        format!("{}.2.{}", self.base, index + 1)
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        format!("{}:8526", self.agent_ip(index)).parse().expect("an address")
    }

    pub fn app(&self, index: usize) -> SocketAddr {
        format!("{}:8080", self.agent_ip(index)).parse().expect("an address")
    }

    fn front(&self, index: usize) -> SocketAddr {
        format!("{}:8521", self.entry_ip(index)).parse().expect("an address")
    }

    fn add_process(
        &mut self,
        name: String,
        role: &'static str,
        ip: &str,
        index: usize,
        listen: &str,
        app: &str,
    ) {
        let zone = ZONES[index % ZONES.len()];
        let store = store::address(&format!("{}.0.7", self.base));
        let settings = format!(
            "{{\"node_name\":\"{name}\",\"role\":\"{role}\",\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"vn-north\",\
             \"listen_addresses\":{{{listen}}},{app}\"internal_port_range\":[7000,7015],\"seeds\":[],\"bootstrap\":true,\
             \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"file_descriptors\":4100}},\
             \"heartbeat_ms\":1500,\"advice\":\"{}.0.9:8524\",\"control_mode\":\"call\",\"bounds\":{{\"contact_ms\":3000,\"ack_ms\":4000,\
             \"drain_ms\":2000,\"grace_s\":6,\"config_apply_ms\":2000,\"hold_max_ms\":{HOLD_MAX_MS},\"stop_ms\":{STOP_MS},\
             \"gang_wait_ms\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\"finish_s\":14,\"status_s\":120,\
             \"remote_factor\":3,\"reclaim_ms\":2900}},\"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\
             \"writes_per_s\":800,\"reads_per_s\":2000,\"parts\":12,\"append_ms\":2.0,\"partition_mb_s\":20.0,\
             \"record_bytes\":{},\"call_bytes\":{},\"keep_s\":300,\"part_mb\":200,\"ttl_min_ms\":1000}}}}",
            self.base,
            store::RECORD_BYTES,
            store::CALL_BYTES,
        );
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        self.processes.push(Process { name, child: None, role, settings: path });
        let last = self.processes.len() - 1;
        self.spawn(last);
    }

    fn spawn(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let log =
            File::options().create(true).append(true).open(self.dir.join(format!("{}.log", process.name)));
        let log = log.expect("the log can be written");
        let child = Command::new(PROGRAM)
            .args(["--platform", process.role, "--metrics-port", METRICS_PORT])
            .env("SORRELLANDING_SETTINGS", &process.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be written"))
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => {
                RUNNING.lock().unwrap().insert(child.id() as i32);
                process.child = Some(child);
            }
            Err(e) => crate::give_up(&format!("{PROGRAM} can't be started: {e}")),
        }
        note(&format!("started {}", self.processes[at].name));
    }

    /// Ends all processes.
    fn end(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                RUNNING.lock().unwrap().remove(&(child.id() as i32));
                let _ = child.kill();
                let _ = child.wait();
                note(&format!("ended {}", process.name));
            }
        }
    }

    /// Waits until all entries are ready and all agents have adopted their workers.
    pub fn await_ready(&self) {
        let began = Instant::now();
        let is_ready = |index: usize| {
            let address: SocketAddr = format!("{}:8523", self.entry_ip(index)).parse().expect("an address");
            let reply = http::call(address, "GET", "/readiness", &[], "", Duration::from_secs(1));
            reply.is_ok_and(|(status, _)| status == 200)
        };
        while !(0..self.entries).all(is_ready) {
            if began.elapsed() > Duration::from_secs(20) {
                crate::give_up("the entries are not ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        // As on the users' platform, traffic starts some seconds after the machines.
        thread::sleep(Duration::from_secs(4));
        note("ready");
    }

    /// Sends a call of a client to an entry.
    pub fn call(&self, entry: usize, method: &str, path: &str, key: &str, body: &str) -> Answer {
        let authorization = format!("Token {key}");
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [("Host", HOST), ("Authorization", &authorization), ("X-Deadline-Ms", &deadline)];
        let sent = elapsed();
        let reply = http::call(self.front(entry), method, path, &headers, body, DEADLINE);
        let answer = match reply {
            Ok((status, body)) => Answer { status, body },
            Err(e) => Answer { status: 0, body: e.to_string() },
        };
        let excerpt: String = body.chars().take(200).collect();
        note(&format!(
            "client sent at {:.3} to entry-{entry}: {method} {path} {excerpt} -> {} {}",
            sent.as_secs_f64(),
            answer.status,
            answer.body
        ));
        answer
    }

    /// Hands a job in at the entries in turn until one answers for good, as a client that retries does; returns the last
    /// status.
    pub fn submit(&self, path: &str, key: &str, body: &str) -> u16 {
        let mut status = 0;
        for attempt in 0..5 {
            status = self.call(attempt % self.entries, "POST", path, key, body).status;
            if (200..300).contains(&status) {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        status
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs in {}", self.dir.display()),
            None => _ = fs::remove_dir_all(&self.dir),
        }
    }
}
