//! Callers: each has a connection to one entry until that entry fails, submits jobs, repeats what had no definite
//! answer at other entries under the same name, cancels some jobs and polls their states. Some callers send each call to
//! another entry and cancel at any moment, also before the submission is answered. Another account uses the names of some
//! jobs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, header};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use sorrelland_standin::clock::wall_ms;
use sorrelland_web::Client;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::deployment::{ADVISED_PREFIX, Deployment, HOST, KEY, OTHER_KEY, PREFIXES, rack};
use crate::jobs::{Call, Job, Ledger, Record};
use crate::lock;

/// Time that a caller waits for an answer, as it tells the entry.
const DEADLINE_MS: u64 = 3_000;

/// Time that a caller waits in addition, for an answer on its way.
const TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 500);

const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts after which a caller gives up a submission without a definite answer.
const MAX_SUBMITS: usize = 25;

/// Polls of a job after it was shown as ended.
const LATE_POLLS: usize = 3;

/// Cancels are sent together, at multiples of this time.
const CANCEL_WAVE_MS: u64 = 5_000;

/// Time after which a caller cancels a job whose submission has no answer yet.
const EARLY_CANCEL_DELAY: Duration = Duration::from_millis(50);

/// Number of the first caller that changes entries, and mean time between two of its jobs.
const FIRST_CHANGING: usize = 0x800;
const CHANGING_INTERVAL: Duration = Duration::from_millis(400);

/// Number of the first caller whose jobs need approvals.
const FIRST_ADVISED: usize = 0x900;

/// Jobs for each one whose name another account uses, and time between two of its calls.
const JOBS_PER_NAMESAKE: u64 = 5;
const NAMESAKE_INTERVAL: Duration = Duration::from_millis(700);

/// The callers of a run.
pub struct Callers {
    pub deployment: Arc<Deployment>,
    pub ledger: Mutex<Ledger>,
    /// Seed of the jobs.
    pub seed: u64,
    /// Mean time between two jobs of a caller.
    pub interval: Duration,
    /// Whether callers submit jobs.
    pub submitting: watch::Receiver<bool>,
    /// Whether the run goes on.
    pub running: watch::Receiver<bool>,
}

/// A caller's connection, to the entry that it used last.
struct Connection {
    client: Client,
    entry: usize,
    /// Whether it moves to the next entry with each call.
    changes: bool,
}

impl Connection {
    fn new(job: &Job, entry: usize) -> Self {
        Self { client: Client::new(TIMEOUT), entry, changes: job.changes_entries }
    }
}

impl Callers {
    /// Runs `count` callers, `changing` that change entries, and `advised` whose jobs need approvals, until all their jobs
    /// have ended or the run has.
    pub async fn run(self: Arc<Self>, count: usize, changing: usize, advised: usize) {
        let mut callers = JoinSet::new();
        let changing = (FIRST_CHANGING..).take(changing);
        for number in (0..count).chain(changing).chain((FIRST_ADVISED..).take(advised)) {
            callers.spawn(self.clone().run_one(number));
        }
        while callers.join_next().await.is_some() {}
    }

    async fn run_one(self: Arc<Self>, number: usize) {
        let mut rng = StdRng::seed_from_u64(self.seed * 1_000 + number as u64);
        let mut followers = JoinSet::new();
        let is_advised = number >= FIRST_ADVISED;
        let changes = number >= FIRST_CHANGING && !is_advised;
        let interval = if changes { CHANGING_INTERVAL } else { self.interval };
        for job in 0_u32.. {
            let pause = rng.random_range(0..2 * interval.as_millis() as u64);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if !*self.submitting.borrow() {
                break;
            }
            let id = format!("{:08x}{number:03x}{job:05x}", self.seed as u32);
            let job = match () {
                () if is_advised => Job::advised(&mut rng, id.clone(), ADVISED_PREFIX),
                () if changes => Job::chain(&mut rng, id.clone(), &PREFIXES),
                () => Job::draw(&mut rng, id.clone(), &PREFIXES),
            };
            lock(&self.ledger).insert(id, Record::new(job.clone()));
            let seed = rng.random();
            followers.spawn(self.clone().follow(job, seed));
        }
        while followers.join_next().await.is_some() {}
    }

    /// Submits a job to each worker, which shows whether the worker is usable.
    pub async fn probe_workers(self: Arc<Self>) {
        let mut followers = JoinSet::new();
        for worker in 1..=self.deployment.workers {
            let id = format!("{:08x}fff{worker:05x}", self.seed as u32);
            let job = Job::probe(id, PREFIXES[0], rack(worker));
            lock(&self.ledger).insert(job.id.clone(), Record::new(job.clone()));
            followers.spawn(self.clone().follow(job, self.seed + worker as u64));
        }
        while followers.join_next().await.is_some() {}
    }

    /// Follows a job until it has ended.
    async fn follow(self: Arc<Self>, job: Job, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let entry = rng.random_range(1..=self.deployment.entries);
        let followed = watch::Sender::new(false);
        let follow = async {
            tokio::join!(self.submit_and_poll(&job, entry, &mut rng), self.cancel_early(&job, entry));
            followed.send_replace(true);
        };
        tokio::join!(follow, self.use_name(&job, entry, followed.subscribe()));
    }

    /// Calls the entries in turn with the key of another account, under the names of some jobs, until the job's caller has
    /// `followed` it. Cancels come at any moment; submissions once the job is accepted, so that they are of another job.
    async fn use_name(&self, job: &Job, entry: usize, followed: watch::Receiver<bool>) {
        if !u64::from_str_radix(&job.id, 16).is_ok_and(|id| id.is_multiple_of(JOBS_PER_NAMESAKE)) {
            return;
        }
        let mut connection = Connection { client: Client::new(TIMEOUT), entry, changes: true };
        for method in [Method::DELETE, Method::GET, Method::POST].into_iter().cycle() {
            if *followed.borrow() {
                return;
            }
            let is_accepted =
                lock(&self.ledger).get(&job.id).is_some_and(|record| record.accepted_ms().is_some());
            if method != Method::POST || is_accepted {
                let call = self.call_as(OTHER_KEY, &mut connection, method, job).await;
                self.record(&job.id, |record| record.foreign.push(call));
            }
            tokio::time::sleep(NAMESAKE_INTERVAL).await;
        }
    }

    /// Submits a job, then polls it until it has ended.
    async fn submit_and_poll(&self, job: &Job, entry: usize, rng: &mut StdRng) {
        let mut connection = Connection::new(job, entry);
        let Some(accepted_ms) = self.submit(&mut connection, job, rng).await else { return };
        let mut repeat_at = rng.random_bool(0.2).then(|| accepted_ms + rng.random_range(500..5_000));
        // A second cancel would hide that the first one had no effect.
        let mut cancel_at = job.cancelled_after_ms.filter(|_| !is_cancelled_early(job)).map(|after_ms| {
            let at = accepted_ms + after_ms;
            if rng.random_bool(0.5) { at.next_multiple_of(CANCEL_WAVE_MS) } else { at }
        });
        let mut late_polls = 0;
        while late_polls < LATE_POLLS && *self.running.borrow() {
            tokio::time::sleep(Duration::from_millis(rng.random_range(100..1_200))).await;
            if repeat_at.is_some_and(|at| wall_ms() >= at) {
                repeat_at = None;
                let other = connection.entry % self.deployment.entries + 1;
                let call = self.call(&mut Connection::new(job, other), Method::POST, job).await;
                self.record(&job.id, |record| record.submits.push(call));
            }
            if cancel_at.is_some_and(|at| wall_ms() >= at) {
                let call = self.call(&mut connection, Method::DELETE, job).await;
                if call.is_cancel_acknowledged() {
                    cancel_at = None;
                }
                self.record(&job.id, |record| record.cancels.push(call));
                continue;
            }
            let call = self.call(&mut connection, Method::GET, job).await;
            self.record(&job.id, |record| {
                record.polls.push(call);
                late_polls += usize::from(record.has_ended());
            });
        }
    }

    /// Submits a job until there is a definite answer; returns when it was accepted.
    async fn submit(&self, connection: &mut Connection, job: &Job, rng: &mut StdRng) -> Option<u64> {
        let persists = !job.label.is_empty() || job.changes_entries;
        for _ in 0..if persists { usize::MAX } else { MAX_SUBMITS } {
            let call = self.call(connection, Method::POST, job).await;
            let (status, answered_ms) = (call.status, call.answered_ms);
            self.record(&job.id, |record| record.submits.push(call));
            match status {
                200..300 => return Some(answered_ms),
                429 if !persists => return None,
                // Most callers try again, as the answer asks them to.
                503 if !persists && rng.random_bool(0.3) => return None,
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
            if !*self.running.borrow() {
                return None;
            }
        }
        None
    }

    /// Cancels every other one of the jobs that are to be cancelled while its submission is on its way; a caller that
    /// changes entries cancels each of them at its time.
    async fn cancel_early(&self, job: &Job, entry: usize) {
        let Some(after_ms) = job.cancelled_after_ms.filter(|_| is_cancelled_early(job)) else { return };
        let (entry, delay) = match job.changes_entries {
            true => (1 + after_ms as usize % self.deployment.entries, Duration::from_millis(after_ms)),
            false => (entry, EARLY_CANCEL_DELAY),
        };
        let mut connection = Connection::new(job, entry);
        tokio::time::sleep(delay).await;
        loop {
            let call = self.call(&mut connection, Method::DELETE, job).await;
            let is_definite = call.is_cancel_acknowledged();
            self.record(&job.id, |record| record.cancels.push(call));
            if is_definite || !*self.running.borrow() {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn record(&self, job: &str, update: impl FnOnce(&mut Record)) {
        if let Some(record) = lock(&self.ledger).get_mut(job) {
            update(record);
        }
    }

    async fn call(&self, connection: &mut Connection, method: Method, job: &Job) -> Call {
        self.call_as(KEY, connection, method, job).await
    }

    /// Sends one request; without a success, the connection moves to the next entry.
    async fn call_as(&self, key: &str, connection: &mut Connection, method: Method, job: &Job) -> Call {
        let headers = [
            (header::HOST, HeaderValue::from_static(HOST)),
            (header::AUTHORIZATION, HeaderValue::from_str(&format!("Token {key}")).expect("valid key")),
            (HeaderName::from_static("x-deadline-ms"), HeaderValue::from(DEADLINE_MS)),
        ];
        let body = if method == Method::POST { Bytes::from(job.body().to_string()) } else { Bytes::new() };
        let entry = connection.entry;
        let url = format!("http://{}{}{}", self.deployment.entry_address(entry), job.queue, job.id);
        let sent_ms = wall_ms();
        let reply = connection.client.send(method, &url, &headers, body).await;
        let (status, state) = match reply {
            Ok(reply) => {
                let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
                (reply.status.as_u16(), body["state"].as_str().unwrap_or_default().to_owned())
            }
            Err(_) => (0, String::new()),
        };
        if status == 0 || status >= 500 || connection.changes {
            connection.entry = entry % self.deployment.entries + 1;
        }
        Call { entry, sent_ms, answered_ms: wall_ms(), status, state }
    }

    /// Asks every entry once for the state of every accepted job.
    pub async fn poll_all(&self) {
        let jobs: Vec<Job> = {
            let ledger = lock(&self.ledger);
            let accepted = ledger.values().filter(|record| record.accepted_ms().is_some());
            accepted.map(|record| record.job.clone()).collect()
        };
        for entry in 1..=self.deployment.entries {
            let mut connection = Connection { client: Client::new(TIMEOUT), entry, changes: false };
            for job in &jobs {
                connection.entry = entry;
                let call = self.call(&mut connection, Method::GET, job).await;
                self.record(&job.id, |record| record.polls.push(call));
            }
        }
    }
}

/// Returns whether a job's caller cancels it without waiting for the answer to its submission.
fn is_cancelled_early(job: &Job) -> bool {
    job.changes_entries || job.id.bytes().last().is_some_and(|digit| digit % 2 == 1)
}
