//! Carries out the planned faults, which overlap.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use sorrelland_standin::clock::wall_ms;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;

use crate::checkins::{self, Kind};
use crate::deployment::{Deployment, GRACE};
use crate::faults::{Fault, Machine, Plan, Side, Stop};
use crate::impairments::{Impairments, STORE};
use crate::jobs::WORKER_GPUS;
use crate::lock;
use crate::proxy::Rules;
use crate::routes::Change;

/// Longest time that a draining worker may take, after which it is killed.
const DRAIN_GRACE: Duration = Duration::from_secs(12);

/// Time for which a proxy resets connections, so that each of its tasks learns of it.
const RESET_TIME: Duration = Duration::from_millis(50);

/// Longest time until a crashed worker is back, and time between two checks for crashed workers.
const MAX_CRASH_GAP_MS: u64 = 3_000;
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Name of the policy service's process and among the impaired parts.
const POLICY: &str = "policy";

/// Name of the callers' routes among the parts with a fault.
const ROUTES: &str = "routes";

/// Time for which routes of accepted jobs are away after the last fault: less than the platform's bound for the end of jobs
/// (`finish_s`), longer than a job may have nothing running.
const ROUTES_AWAY: Duration = Duration::from_secs(9);

/// Attempts to reach the policy service after its start.
const POLICY_ATTEMPTS: usize = 100;

/// Plays faults on a deployment and records what they impair.
pub struct Player {
    pub deployment: Arc<Deployment>,
    pub impairments: Arc<Impairments>,
    /// A part with a fault takes no second one.
    busy: Mutex<BTreeMap<String, Arc<AsyncMutex<()>>>>,
    /// Faults played, by name.
    pub played: Mutex<BTreeMap<String, u64>>,
    /// Processes that ended by themselves, and programs that could not be started.
    pub failures: Mutex<Vec<String>>,
    log: Mutex<File>,
}

impl Player {
    /// Creates a player that writes to `soak.log` in the directory of the deployment.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be created.
    pub fn new(deployment: Arc<Deployment>, impairments: Arc<Impairments>) -> io::Result<Self> {
        let log = File::create(deployment.processes.dir().join("soak.log"))?;
        Ok(Self {
            log: Mutex::new(log),
            deployment,
            impairments,
            busy: Mutex::default(),
            played: Mutex::default(),
            failures: Mutex::default(),
        })
    }

    /// Writes a line to the log of the run.
    pub fn log(&self, event: &str) {
        // A log that can't be written must not end the run.
        let _ = writeln!(lock(&self.log), "at_ms={} {event}", wall_ms());
    }

    /// Plays the faults at their times and returns when the last one has ended.
    pub async fn play(self: Arc<Self>, plan: Plan) {
        let start = tokio::time::Instant::now();
        let mut faults = JoinSet::new();
        for (at_ms, fault) in plan {
            let player = self.clone();
            faults.spawn(async move {
                tokio::time::sleep_until(start + Duration::from_millis(at_ms)).await;
                player.play_fault(fault).await;
            });
        }
        while let Some(result) = faults.join_next().await {
            if let Err(e) = result {
                lock(&self.failures).push(format!("a fault could not be played: {e}"));
            }
        }
    }

    /// Restarts workers that have crashed, until the future is dropped.
    pub async fn restart_crashed_workers(&self) {
        let mut rng = StdRng::seed_from_u64(self.deployment.workers as u64);
        loop {
            let workers = (1..=self.deployment.workers).map(Machine::Worker);
            let crashed: Vec<_> = workers
                .filter(|worker| self.deployment.processes.exit_status(&worker.to_string()).is_some())
                .map(|worker| self.stop(worker, Stop::Kill, rng.random_range(0..MAX_CRASH_GAP_MS)))
                .collect();
            join_all(crashed).await;
            tokio::time::sleep(CRASH_CHECK_INTERVAL).await;
        }
    }

    async fn play_fault(&self, fault: Fault) {
        let name = fault.name();
        let text = format!("{fault:?}");
        self.log(&format!("event=fault_begins name={name} fault=\"{text}\""));
        let played = match fault {
            Fault::Stop { machines, how, step_ms, gap_ms } => {
                self.play_in_turn(machines, step_ms, |machine| self.stop(machine, how, gap_ms)).await
            }
            Fault::Suspend { machines, step_ms, ms } => {
                self.play_in_turn(machines, step_ms, |machine| self.suspend(machine, ms)).await
            }
            Fault::SilentStop { entry, how, gap_ms, before_ms, ms } => {
                let stop = async {
                    tokio::time::sleep(Duration::from_millis(before_ms)).await;
                    let entry = Machine::Entry(entry.unwrap_or_else(|| self.deployment.leader()));
                    match how {
                        Some(how) => self.stop(entry, how, gap_ms).await,
                        None => self.suspend(entry, gap_ms).await,
                    }
                };
                tokio::join!(self.silence_store(ms), stop).1
            }
            Fault::Store { faults, ms } => {
                self.impair("store-fault", STORE, async {
                    let set = self.deployment.set_store_faults(&faults).await;
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    if !self.deployment.set_store_faults(&json!({})).await || !set {
                        lock(&self.failures).push("the store did not take its faults".to_owned());
                    }
                })
                .await
            }
            Fault::Policy { faults, restarts, ms } => {
                self.impair("policy-fault", POLICY, async {
                    if restarts {
                        self.deployment.processes.kill(POLICY);
                        if let Err(e) = self.deployment.start_policy() {
                            lock(&self.failures)
                                .push(format!("the policy service could not be started: {e}"));
                        }
                    }
                    self.set_policy_faults(&faults).await;
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    self.set_policy_faults(&json!({})).await;
                })
                .await
            }
            Fault::Link { side, rules, ms } => {
                let proxy = self.deployment.proxy(side);
                self.impair(&format!("{side:?}"), &impaired_part(side), async {
                    proxy.set(rules);
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    proxy.set(Rules::default());
                })
                .await
            }
            Fault::Checkin { worker, kind, seed, restart_agent } => {
                if kind == Kind::Late && self.deployment.count_lives(worker) < 2 {
                    self.stop(Machine::Worker(worker), Stop::Kill, 0).await;
                }
                if restart_agent {
                    self.stop(Machine::Agent(worker), Stop::Kill, 0).await;
                    // The new process needs a moment until it listens.
                    tokio::time::sleep(Duration::from_millis(60)).await;
                }
                checkins::send(&self.deployment, worker, kind, seed).await.is_some()
            }
            Fault::Shrink { worker, accelerators, ms } => {
                let target = format!("capacity of {}", Machine::Worker(worker));
                let set = async |accelerators| self.deployment.set_accelerators(worker, accelerators).await;
                // It impairs nothing; a worker that restarts meanwhile has its whole capacity again.
                let busy = lock(&self.busy).entry(target).or_default().clone();
                let Ok(_guard) = busy.try_lock() else { return };
                let played = set(accelerators).await;
                tokio::time::sleep(Duration::from_millis(ms)).await;
                set(WORKER_GPUS).await;
                played
            }
            Fault::Routes(change) => self.change_routes(change).await,
            Fault::Publish { versions } => {
                for version in 0..versions {
                    let extra =
                        |name: &str| (0..version % 3).map(|n| format!("{name}-{n}")).collect::<Vec<_>>();
                    let queues: Vec<String> =
                        extra("/queue").iter().map(|queue| format!("{queue}/")).collect();
                    self.deployment.publish_next(&extra("extra-key"), &queues).await;
                    tokio::time::sleep(Duration::from_millis(150)).await;
                }
                true
            }
        };
        self.log(&format!("event=fault_ended name={name} played={played} fault=\"{text}\""));
        if played {
            *lock(&self.played).entry(name).or_default() += 1;
        }
    }

    /// Changes the callers' routes, for some time if the change doesn't last. It impairs nothing.
    async fn change_routes(&self, change: Change) -> bool {
        let busy = lock(&self.busy).entry(ROUTES.to_owned()).or_default().clone();
        let Ok(_guard) = busy.try_lock() else { return false };
        let mut published = self.deployment.publish_routes(|routes| routes.apply(change)).await;
        if let Some(ms) = change.lasts_ms() {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            published &= self.deployment.publish_routes(|routes| routes.take_back(change)).await;
        }
        if !published {
            lock(&self.failures).push("the store did not take the routes".to_owned());
        }
        published
    }

    /// Takes away the routes of some callers for a time that begins now, so that the jobs that they have go on without.
    pub async fn remove_routes_of_accepted_jobs(&self) {
        let removals = [1, 2].map(|route| Change::Remove { route, renames: true, ms: 0 });
        self.log("event=routes_removed");
        let removed = self.deployment.publish_routes(|routes| {
            removals.into_iter().for_each(|change| routes.apply(change));
        });
        let mut published = removed.await;
        tokio::time::sleep(ROUTES_AWAY).await;
        let back = self.deployment.publish_routes(|routes| {
            removals.into_iter().for_each(|change| routes.take_back(change));
        });
        published &= back.await;
        self.log("event=routes_back");
        if !published {
            lock(&self.failures).push("the store did not take the routes".to_owned());
        }
    }

    /// Sets the faults of the policy service as soon as it answers.
    async fn set_policy_faults(&self, faults: &Value) {
        for _ in 0..POLICY_ATTEMPTS {
            if self.deployment.set_policy_faults(faults).await {
                return;
            }
            tokio::time::sleep(CRASH_CHECK_INTERVAL).await;
        }
        lock(&self.failures).push("the policy service did not take its faults".to_owned());
    }

    /// Carries out `fault` on each machine, started one after the other; returns whether it could be on any.
    async fn play_in_turn<F: Future<Output = bool>>(
        &self,
        machines: Vec<Machine>,
        step_ms: u64,
        fault: impl Fn(Machine) -> F,
    ) -> bool {
        let each = machines.into_iter().zip(0..).map(|(machine, number)| {
            let fault = fault(machine);
            async move {
                tokio::time::sleep(Duration::from_millis(step_ms * number)).await;
                fault.await
            }
        });
        join_all(each).await.into_iter().any(|played| played)
    }

    /// Runs `fault`, which impairs `part`, unless another fault is active on `target`; returns whether it ran.
    async fn impair(&self, target: &str, part: &str, fault: impl Future<Output = ()>) -> bool {
        let busy = lock(&self.busy).entry(target.to_owned()).or_default().clone();
        let Ok(_guard) = busy.try_lock() else { return false };
        let number = self.impairments.begin(part);
        fault.await;
        self.impairments.end(number);
        true
    }

    async fn stop(&self, machine: Machine, how: Stop, gap_ms: u64) -> bool {
        let name = machine.to_string();
        self.impair(&name, &name, async {
            let processes = &self.deployment.processes;
            if !matches!(machine, Machine::Worker(_)) && processes.exit_status(&name).is_some() {
                lock(&self.failures).push(format!("{name} ended by itself"));
            }
            match (how, machine) {
                (Stop::Kill, _) => self.deployment.kill_machine(machine),
                (Stop::Terminate, Machine::Worker(index)) => {
                    processes.terminate(&name, DRAIN_GRACE).await;
                    self.deployment.end_life(index);
                }
                (Stop::Terminate, _) => {
                    // Whether it exits in time is a matter of its open calls.
                    processes.terminate(&name, GRACE).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(gap_ms)).await;
            if let Err(e) = self.deployment.start_machine(machine) {
                lock(&self.failures).push(format!("{machine} could not be started: {e}"));
            }
        })
        .await
    }

    /// Drops what the store responds for some time, then resets the connections; returns whether it could.
    async fn silence_store(&self, ms: u64) -> bool {
        let proxy = self.deployment.proxy(Side::Store);
        let silent = Rules { hold_responses: true, ..Rules::default() };
        self.impair(&format!("{:?}", Side::Store), STORE, async {
            proxy.set(silent);
            tokio::time::sleep(Duration::from_millis(ms)).await;
            proxy.set(Rules { reset: true, ..silent });
            tokio::time::sleep(RESET_TIME).await;
            proxy.set(Rules::default());
        })
        .await
    }

    async fn suspend(&self, machine: Machine, ms: u64) -> bool {
        let name = machine.to_string();
        self.impair(&name, &name, async {
            let processes = &self.deployment.processes;
            processes.signal(&name, Signal::SIGSTOP);
            tokio::time::sleep(Duration::from_millis(ms)).await;
            processes.signal(&name, Signal::SIGCONT);
        })
        .await
    }
}

/// Returns the part of the deployment that a fault of a connection impairs.
fn impaired_part(side: Side) -> String {
    match side {
        Side::Store => STORE.to_owned(),
        Side::Calls(worker) | Side::Checkins(worker) => Machine::Agent(worker).to_string(),
    }
}
