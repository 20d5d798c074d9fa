//! A deployment on loopback: store, entries, agents and workers as processes, with proxies in front of the store and
//! on both ways between each agent and its worker.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use sorrelland_standin::clock::wall_ms;
use sorrelland_web::Client;
use tokio::sync::Mutex as AsyncMutex;

use crate::faults::{Machine, Side};
use crate::jobs::{Needs, WORKER_GPUS};
use crate::lock;
use crate::processes::Processes;
use crate::proxy::Proxy;
use crate::routes::{Routes, route};

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-1";
/// Key of an account that uses the names of the others' jobs.
pub const OTHER_KEY: &str = "key-guest";
/// Path prefixes of the queues that callers use; the last has priority 0.
pub const PREFIXES: [&str; 2] = ["/orders/", "/urgent/"];
/// Path prefix of the queue whose steps need an approval of the policy service.
pub const ADVISED_PREFIX: &str = "/advised/";
/// Worker that may not run them; it keeps its name when it restarts.
pub const REFUSED_WORKER: usize = 1;
/// Attempts of a subtask that may end as failed.
pub const MAX_ATTEMPTS: usize = 3;

/// Resources of a worker.
pub const WORKER_CAPACITY: Needs = (130_000, 262_144, WORKER_GPUS);

const STANDIN: &str = "sorrelland-standin";

/// Time between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(6);

/// Time until the store responds.
const START_TIMEOUT: Duration = Duration::from_secs(10);

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts to publish a change of the routes, and time between two: longer than the store is away.
const PUBLISH_ATTEMPTS: usize = 200;
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(100);

static NEXT_NETWORK: AtomicU32 = AtomicU32::new(0);

/// Returns the first three octets of a loopback network for one run, so that ports collide neither with other runs nor
/// with client ports.
pub fn new_network() -> String {
    let (number, pid) = (NEXT_NETWORK.fetch_add(1, Ordering::Relaxed), std::process::id());
    format!("127.{}.{}", 1 + pid % 250, (pid / 250 + number * 97) % 250)
}

/// Returns the settings of an entry or agent, with the time limits of the users' first deployment.
pub fn role_settings(name: &str, ip: &str, store: &str, listen: Value) -> Value {
    json!({
        "node_name": name, "ip": ip, "zone": "haiphong-a", "listen_addresses": listen,
        "internal_port_range": [7_000, 7_015], "heartbeat_ms": 300, "platform": {"address": store},
        "bounds": {"hold_max_ms": 6_000, "stop_ms": 400, "reclaim_ms": 2_900, "grace_s": 6, "status_s": 120},
    })
}

/// Appends a desired state to the store at `address`, as an operator does; returns whether it was acknowledged.
pub async fn publish(address: &str, desired: &Value) -> bool {
    publish_record(address, "config", desired).await
}

/// Appends a record to the operators' topic of the store at `address`; returns whether it was acknowledged.
pub async fn publish_record(address: &str, key: &str, value: &Value) -> bool {
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(value.to_string().as_bytes());
    let mut body = (record.len() as u32).to_be_bytes().to_vec();
    body.extend(record);
    let url = format!("http://{address}/log-append?topic=keyed.op&part=0");
    let reply = Client::new(CALL_TIMEOUT).send(Method::POST, &url, &[], body.into()).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

/// Returns the rack of a worker, which no other worker shares, so that a job can require it.
pub fn rack(worker: usize) -> String {
    format!("r{worker}")
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Life {
    pub worker: usize,
    /// Name of its log.
    pub name: String,
    /// When it was killed, in milliseconds on the wall clock.
    pub killed_ms: Option<u64>,
}

impl Life {
    /// Returns the name under which it announces itself. Every other worker keeps its name when it restarts.
    pub fn announced_name(&self) -> String {
        if keeps_name(self.worker) { format!("w-{}", self.worker) } else { self.name.clone() }
    }
}

fn keeps_name(worker: usize) -> bool {
    worker % 2 == 1
}

/// Running deployment; dropping it kills all processes.
pub struct Deployment {
    network: String,
    /// Directory of the programs.
    bin_dir: PathBuf,
    pub entries: usize,
    pub workers: usize,
    pub processes: Processes,
    store: Proxy,
    /// Proxies on the calls of the agents to their workers, and on the workers' check-ins, by worker.
    calls: Vec<Proxy>,
    checkins: Vec<Proxy>,
    lives: Mutex<Vec<Life>>,
    /// Version of the next desired state. It is held while that is published, so that the newest record is the newest
    /// version.
    version: AsyncMutex<u64>,
    routes: Mutex<Routes>,
}

impl Deployment {
    /// Starts all processes, without waiting until they are ready.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be used or a program can't be started.
    pub async fn start(bin_dir: &Path, entries: usize, workers: usize, dir: &Path) -> io::Result<Self> {
        let network = new_network();
        let proxy = async |host: usize, listen: u16, target: u16| {
            Proxy::start(socket(&network, host, listen), socket(&network, host, target)).await
        };
        let (mut calls, mut checkins) = (Vec::new(), Vec::new());
        for worker in 1..=workers {
            calls.push(proxy(100 + worker, 9_000, 8_000).await?);
            checkins.push(proxy(100 + worker, 9_526, 8_526).await?);
        }
        let store = proxy(1, 7_200, 7_100).await?;
        let processes = Processes::new(dir)?;
        fs::create_dir_all(dir.join("gangs"))?;
        let deployment = Self {
            network,
            bin_dir: bin_dir.to_owned(),
            entries,
            workers,
            processes,
            store,
            calls,
            checkins,
            lives: Mutex::default(),
            version: AsyncMutex::new(1),
            routes: Mutex::default(),
        };
        let listen = deployment.store_address();
        let args = ["platform-store", "--listen", &listen];
        deployment.processes.spawn("store", "store", &bin_dir.join(STANDIN), &args, &[])?;
        let deadline = tokio::time::Instant::now() + START_TIMEOUT;
        while !deployment.publish_next(&[], &[]).await {
            if tokio::time::Instant::now() > deadline {
                return Err(io::Error::other("the store does not respond"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        deployment.start_policy()?;
        let entries = (1..=entries).map(Machine::Entry);
        let workers = (1..=workers).flat_map(|index| [Machine::Worker(index), Machine::Agent(index)]);
        entries.chain(workers).try_for_each(|machine| deployment.start_machine(machine))?;
        Ok(deployment)
    }

    fn address(&self, host: usize, port: u16) -> String {
        socket(&self.network, host, port).to_string()
    }

    pub fn entry_address(&self, index: usize) -> String {
        self.address(10 + index, 8_521)
    }

    /// Returns the address for check-ins at an agent itself, not at the proxy before it.
    pub fn control_address(&self, index: usize) -> String {
        self.address(100 + index, 8_526)
    }

    pub fn worker_address(&self, index: usize) -> String {
        self.address(100 + index, 8_000)
    }

    fn store_address(&self) -> String {
        self.address(1, 7_100)
    }

    fn policy_address(&self) -> String {
        self.address(1, 7_300)
    }

    /// Starts the policy service.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn start_policy(&self) -> io::Result<()> {
        let (listen, refused) = (self.policy_address(), refused_worker());
        let args = ["platform-policy", "--listen", &listen, "--refuses", &refused];
        self.processes.spawn("policy", "policy", &self.bin_dir.join(STANDIN), &args, &[])
    }

    /// Starts the process of a machine; a worker gets its next incarnation.
    ///
    /// # Errors
    ///
    /// Fails if its settings can't be written or the program can't be started.
    pub fn start_machine(&self, machine: Machine) -> io::Result<()> {
        let name = machine.to_string();
        let (role, host, listen) = match machine {
            Machine::Worker(index) => return self.start_worker(index),
            Machine::Entry(index) => {
                let front = self.entry_address(index);
                let readiness = self.address(10 + index, 8_523);
                ("entry", 10 + index, json!({"front": front, "readiness": readiness}))
            }
            Machine::Agent(index) => ("agent", 100 + index, json!({"control": self.control_address(index)})),
        };
        let ip = format!("{}.{host}", self.network);
        let mut settings = role_settings(&name, &ip, &self.address(1, 7_200), listen);
        settings["advice"] = self.policy_address().into();
        if let Machine::Agent(_) = machine {
            settings["app"] = self.address(host, 9_000).into();
        }
        let path = self.processes.dir().join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let path = path.display().to_string();
        let variables = [("SORRELLANDING_SETTINGS", path.as_str())];
        let daemon = self.bin_dir.join("sorrellandd");
        self.processes.spawn(&name, &name, &daemon, &["--platform", role], &variables)
    }

    fn start_worker(&self, index: usize) -> io::Result<()> {
        let name = format!("w-{index}-{}", 1 + self.count_lives(index));
        let life = Life { worker: index, name, killed_ms: None };
        lock(&self.lives).push(life.clone());
        let (listen, announce) = (self.worker_address(index), self.address(100 + index, 9_526));
        let gang_dir = self.processes.dir().join("gangs").display().to_string();
        // Every third worker has the slowest clock that the platform allows.
        let clock = if index.is_multiple_of(3) { "98" } else { "100" };
        let rack = rack(index);
        let announced = life.announced_name();
        let names = ["--listen", &listen, "--announce", &announce, "--name", &announced, "--rack", &rack];
        let sizes = ["--accelerators", "4", "--clock-percent", clock, "--gang-dir", &gang_dir];
        let tells_start: &[&str] = if keeps_name(index) { &["--tells-start"] } else { &[] };
        let args = [&["platform-worker"], &names[..], &sizes[..], tells_start].concat();
        let (name, standin) = (Machine::Worker(index).to_string(), self.bin_dir.join(STANDIN));
        self.processes.spawn(&name, &life.name, &standin, &args, &[])
    }

    /// Kills the process of a machine.
    pub fn kill_machine(&self, machine: Machine) {
        if let Machine::Worker(index) = machine {
            self.end_life(index);
        }
        self.processes.kill(&machine.to_string());
    }

    /// Records that the current incarnation of a worker has ended.
    pub fn end_life(&self, index: usize) {
        if let Some(life) = lock(&self.lives).iter_mut().rfind(|life| life.worker == index) {
            life.killed_ms = Some(wall_ms());
        }
    }

    /// Returns all incarnations of the workers so far, in order of their starts.
    pub fn lives(&self) -> Vec<Life> {
        lock(&self.lives).clone()
    }

    /// Returns the number of incarnations of a worker so far.
    pub fn count_lives(&self, worker: usize) -> usize {
        lock(&self.lives).iter().filter(|life| life.worker == worker).count()
    }

    /// Returns the index of the entry that became the leader last, by the logs.
    pub fn leader(&self) -> usize {
        let last_epoch = |index: &usize| {
            let path = self.processes.dir().join(format!("{}.log", Machine::Entry(*index)));
            let log = fs::read_to_string(path).unwrap_or_default();
            let epochs = log.lines().filter_map(|line| line.split("event=office_taken epoch=").nth(1));
            epochs.filter_map(|text| text.split(' ').next()?.parse::<u64>().ok()).max()
        };
        (1..=self.entries).max_by_key(last_epoch).unwrap_or(1)
    }

    /// Publishes the next version of the desired state, with additional keys and queues; returns whether the store
    /// acknowledged it.
    pub async fn publish_next(&self, keys: &[String], queues: &[String]) -> bool {
        let mut version = self.version.lock().await;
        let mut routes = lock(&self.routes).to_wire();
        routes.extend(queues.iter().map(|prefix| route(prefix.trim_matches('/'), prefix, 1)));
        let keys: Vec<&str> = keys.iter().map(String::as_str).chain([KEY]).collect();
        let desired = json!({
            "version": *version, "routes": routes, "services": [{"name": "svc"}],
            "tenants": [{"name": "museum", "api_keys": keys, "guaranteed": {"gpu": 4}},
                {"name": "guest", "api_keys": [OTHER_KEY]}],
        });
        *version += 1;
        publish(&self.store_address(), &desired).await
    }

    /// Changes the callers' routes and publishes them, again until the store has acknowledged it; returns whether it has.
    pub async fn publish_routes(&self, change: impl FnOnce(&mut Routes)) -> bool {
        change(&mut lock(&self.routes));
        for _ in 0..PUBLISH_ATTEMPTS {
            if self.publish_next(&[], &[]).await {
                return true;
            }
            tokio::time::sleep(PUBLISH_RETRY_DELAY).await;
        }
        false
    }

    /// Sets the accelerators that a worker has; returns whether it answered.
    pub async fn set_accelerators(&self, worker: usize, accelerators: u64) -> bool {
        let url = format!("http://{}/v1/capacity", self.worker_address(worker));
        let (cpu, memory_mb, _) = WORKER_CAPACITY;
        let body = json!({"cpu": cpu, "memory_mb": memory_mb, "gpu": accelerators}).to_string();
        let reply = Client::new(CALL_TIMEOUT).send(Method::PUT, &url, &[], Bytes::from(body)).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Sets the faults that the store injects; returns whether it answered.
    pub async fn set_store_faults(&self, faults: &Value) -> bool {
        set_faults(&self.store_address(), faults).await
    }

    /// Sets the faults of the policy service, beside the refusal of [`REFUSED_WORKER`]; returns whether it answered.
    pub async fn set_policy_faults(&self, faults: &Value) -> bool {
        let mut faults = faults.clone();
        faults["refused"] = json!([refused_worker()]);
        set_faults(&self.policy_address(), &faults).await
    }

    /// Returns the proxy before the store, or one between a worker and its agent.
    pub fn proxy(&self, side: Side) -> &Proxy {
        match side {
            Side::Store => &self.store,
            Side::Calls(worker) => &self.calls[worker - 1],
            Side::Checkins(worker) => &self.checkins[worker - 1],
        }
    }

    /// Returns the processes of the scheduler that have exited by themselves.
    pub fn exited(&self) -> Vec<String> {
        let entries = (1..=self.entries).map(Machine::Entry);
        let names = entries.chain((1..=self.workers).map(Machine::Agent)).map(|machine| machine.to_string());
        names.filter(|name| self.processes.exit_status(name).is_some()).collect()
    }
}

fn refused_worker() -> String {
    format!("w-{REFUSED_WORKER}")
}

async fn set_faults(address: &str, faults: &Value) -> bool {
    let url = format!("http://{address}/v1/faults");
    let body = Bytes::from(faults.to_string());
    let reply = Client::new(CALL_TIMEOUT).send(Method::PUT, &url, &[], body).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

fn socket(network: &str, host: usize, port: u16) -> SocketAddr {
    format!("{network}.{host}:{port}").parse().expect("address of a loopback network")
}
