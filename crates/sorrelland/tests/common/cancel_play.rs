//! Play of callers who cancel jobs that they have just submitted, at other entries, while entries are stopped and the store
//! is silent.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use sorrelland_ctl::log_line::LogLine;
use sorrelland_standin::clock::wall_ms;
use tokio::task::JoinSet;

use super::platform::{Callers, KEY, PREFIX, Platform, present_build};

pub const ENTRIES: usize = 4;
pub const WORKERS: usize = 4;

/// Time from an answered cancel until none of its job's subtasks starts any more.
pub const CANCEL_MS: u64 = 3_000;

/// Duration of a subtask: a step starts after [`CANCEL_MS`] if its job runs on.
const RUN_MS: u64 = 3_500;

const STEPS: usize = 3;

/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(80);

/// Latest time of a cancel, from its submission.
const MAX_CANCEL_DELAY_MS: u64 = 9_000;

/// Time for which a request is repeated.
const REPEAT_BOUND: Duration = Duration::from_secs(15);

/// Duration of the fault of the store around a stop.
const STORE_FAULT: Duration = Duration::from_millis(1_200);

/// Time from the stop of an entry until its next start.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// Time that an entry gets to end after SIGTERM.
const STOP_BOUND: Duration = Duration::from_secs(6);

/// Longest time of a leader that is stopped by SIGSTOP, in milliseconds.
const MAX_FREEZE_MS: u64 = 5_000;

/// What happens to the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// They are stopped by SIGTERM in turn.
    StopInTurn,
    /// The leader is stopped by SIGTERM.
    StopLeader,
    /// Two entries are stopped by SIGTERM in turn; then the leader and the others are, alternately.
    StopTwoThenLeader,
    /// The leader is killed.
    KillLeader,
    /// The leader is halted for 1 to 5 s.
    FreezeLeader,
}

/// A play; the same seed draws the same requests and the same trouble.
#[derive(Clone, Debug)]
pub struct Play {
    pub seed: u64,
    pub trouble: Trouble,
    /// Number of stops.
    pub rounds: usize,
    /// Time from one stop to the next.
    pub interval: Duration,
    /// Build of all entries and agents at the start.
    pub from: PathBuf,
    /// Build of the entries that are started after a stop.
    pub to: PathBuf,
}

/// Answer to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    pub sent_ms: u64,
    pub at_ms: u64,
    pub status: u16,
    pub entry: usize,
    /// Whether the entry was of the present build.
    pub is_present: bool,
}

/// What the callers of a job saw.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    pub posts: Vec<Answer>,
    pub deletes: Vec<Answer>,
    pub gets: Vec<Answer>,
}

/// A leadership that an entry took.
#[derive(Clone, Debug)]
pub struct Leadership {
    pub at_ms: u64,
    pub epoch: u64,
    pub entry: usize,
    pub is_present: bool,
}

/// An answer that a later event contradicts.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: &'static str,
    pub job: String,
    pub answer: Answer,
    pub leader: Option<Leadership>,
    pub detail: String,
}

/// What has happened in a play.
#[derive(Debug)]
pub struct Record {
    pub play: Play,
    pub jobs: BTreeMap<String, JobRecord>,
    pub leaderships: Vec<Leadership>,
    /// When the first entry was started from the second build.
    pub first_restart_ms: Option<u64>,
    /// Subtask and time of each start on a worker.
    pub starts: Vec<(String, u64)>,
    pub dir: PathBuf,
}

impl JobRecord {
    fn is_accepted(&self) -> bool {
        self.posts.iter().any(|answer| answer.status == 200)
    }

    /// Returns the answer that ended the cancel.
    pub fn cancelled(&self) -> Option<&Answer> {
        self.deletes.iter().find(|answer| matches!(answer.status, 200 | 410))
    }

    /// Returns the last answer if all of them say that the job has not run.
    fn not_run(&self) -> Option<&Answer> {
        let is_refused = |answer: &Answer| matches!(answer.status, 429 | 503);
        self.posts.last().filter(|_| self.posts.iter().all(is_refused))
    }
}

impl Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let build = if self.is_present { "present" } else { "earlier" };
        write!(
            f,
            "{} at {} from entry {} ({build}), sent {}",
            self.status, self.at_ms, self.entry, self.sent_ms
        )
    }
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leader = self.leader.as_ref().map_or("no leader".to_owned(), |leader| {
            let build = if leader.is_present { "present" } else { "earlier" };
            format!(
                "entry {} ({build}) leads since {} under epoch {}",
                leader.entry, leader.at_ms, leader.epoch
            )
        });
        write!(f, "{}: job {}: {}; {leader}; {}", self.rule, self.job, self.answer, self.detail)
    }
}

impl Record {
    pub fn cancelled(&self) -> impl Iterator<Item = &Answer> {
        self.jobs.values().filter_map(JobRecord::cancelled)
    }

    /// Returns the leadership under which an answer was given.
    fn leadership_at(&self, at_ms: u64) -> Option<&Leadership> {
        self.leaderships.iter().rev().find(|leadership| leadership.at_ms <= at_ms)
    }

    fn violation(&self, rule: &'static str, job: &str, answer: &Answer, detail: String) -> Violation {
        let leader = self.leadership_at(answer.at_ms).cloned();
        Violation { rule, job: job.to_owned(), answer: answer.clone(), leader, detail }
    }

    /// Returns all answers that a later event contradicts, at most one for each job and rule.
    pub fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for (name, job) in &self.jobs {
            let starts: Vec<_> = self.starts.iter().filter(|(task, _)| task.starts_with(name)).collect();
            if let Some(answer) = job.cancelled()
                && let Some((task, at_ms)) =
                    starts.iter().find(|(_, at_ms)| *at_ms > answer.at_ms + CANCEL_MS)
            {
                let posts: Vec<String> = job.posts.iter().map(Answer::to_string).collect();
                let after_ms = at_ms - answer.at_ms;
                let detail = format!("{task} started at {at_ms}, {after_ms} ms later; POST: {posts:?}");
                found.push(self.violation("UNASKED", name, answer, detail));
            }
            let accepted_ms = job.posts.iter().find(|answer| answer.status == 200).map(|answer| answer.at_ms);
            if let Some(accepted_ms) = accepted_ms
                && job.deletes.is_empty()
                && let Some(answer) =
                    job.gets.iter().find(|answer| answer.status == 410 && answer.sent_ms >= accepted_ms)
            {
                found.push(self.violation("GONE", name, answer, format!("accepted at {accepted_ms}")));
            }
            if let Some(answer) = job.not_run()
                && let Some((task, at_ms)) = starts.first()
            {
                found.push(self.violation("NOT RUN", name, answer, format!("{task} started at {at_ms}")));
            }
        }
        found
    }

    /// Returns when an entry of the present build first led.
    fn first_present_ms(&self) -> Option<u64> {
        self.leaderships.iter().find(|leadership| leadership.is_present).map(|leadership| leadership.at_ms)
    }

    /// Returns how long an entry of an earlier build led after the first start of the present build, in milliseconds; `None` if
    /// it still does.
    pub fn superseded_after_ms(&self) -> Option<u64> {
        Some(self.first_present_ms()?.saturating_sub(self.first_restart_ms?))
    }

    /// Returns whether an answer was given by an entry of the earlier build before one of the present build led, which the
    /// present build can't change.
    pub fn precedes_present_build(&self, answer: &Answer) -> bool {
        !answer.is_present && self.first_present_ms().is_none_or(|first_ms| answer.at_ms < first_ms)
    }

    /// Checks that no answer is contradicted, apart from those that precede the present build; prints these.
    ///
    /// # Panics
    ///
    /// Panics if an answer is contradicted, or if the play has too few cancels to tell.
    pub fn assert_answers_hold(&self) {
        const MIN_CANCELS: usize = 50;
        println!("{self}");
        let (earlier, broken): (Vec<_>, Vec<_>) = self
            .violations()
            .into_iter()
            .partition(|violation| self.precedes_present_build(&violation.answer));
        earlier.iter().for_each(|violation| println!("before the present build led: {violation}"));
        let broken: Vec<String> = broken.iter().map(Violation::to_string).collect();
        let (seed, dir) = (self.play.seed, self.dir.display());
        assert!(broken.is_empty(), "seed {seed}: {} answers: {broken:#?}; logs in {dir}", broken.len());
        let cancels = self.cancelled().count();
        assert!(cancels >= MIN_CANCELS, "seed {seed}: only {cancels} cancels were answered; logs in {dir}");
    }
}

impl Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count =
            |matches: &dyn Fn(&JobRecord) -> bool| self.jobs.values().filter(|job| matches(job)).count();
        let late = self.violations();
        let rule = |rule: &str| late.iter().filter(|violation| violation.rule == rule).count();
        let answers = self.jobs.values().flat_map(|job| job.posts.iter().chain(&job.deletes));
        write!(
            f,
            "seed={} trouble={:?} rounds={} jobs={} accepted={} not_run={} cancels={} gone={} gone_early={} starts={} \
             unanswered={} leaderships={} unasked={} unasked_early={} get_410={} not_run_started={}",
            self.play.seed,
            self.play.trouble,
            self.play.rounds,
            self.jobs.len(),
            count(&JobRecord::is_accepted),
            count(&|job| job.not_run().is_some()),
            self.cancelled().count(),
            self.cancelled().filter(|answer| answer.status == 410).count(),
            self.cancelled()
                .filter(|answer| answer.status == 410 && self.precedes_present_build(answer))
                .count(),
            self.starts.len(),
            answers.filter(|answer| !matches!(answer.status, 200 | 410 | 429 | 503)).count(),
            self.leaderships.len(),
            rule("UNASKED"),
            late.iter()
                .filter(|late| late.rule == "UNASKED" && self.precedes_present_build(&late.answer))
                .count(),
            rule("GONE"),
            rule("NOT RUN"),
        )
    }
}

/// Callers who know which entries are of the present build.
#[derive(Clone, Debug)]
struct Observers {
    callers: Callers,
    is_present: Arc<Mutex<[bool; ENTRIES]>>,
}

impl Observers {
    async fn call(&self, wait_ms: u64, entry: usize, method: Method, job: &str, body: &Value) -> Answer {
        let sent_ms = wall_ms();
        let path = format!("{PREFIX}{job}");
        let (status, _) = self.callers.call_within(wait_ms, entry, method, &path, KEY, body).await;
        let is_present = self.is_present.lock().unwrap()[entry - 1];
        Answer { sent_ms, at_ms: wall_ms(), status, entry, is_present }
    }

    /// Repeats a request at changing entries until `is_final` holds for the status; returns all answers.
    async fn repeat(
        &self,
        rng: &mut StdRng,
        first: usize,
        method: Method,
        job: &str,
        body: &Value,
        is_final: fn(u16) -> bool,
    ) -> Vec<Answer> {
        let (began, mut entry, mut answers) = (Instant::now(), first, Vec::new());
        loop {
            let wait_ms = rng.random_range(500..=3_000);
            let answer = self.call(wait_ms, entry, method.clone(), job, body).await;
            let status = answer.status;
            answers.push(answer);
            if is_final(status) || began.elapsed() > REPEAT_BOUND {
                return answers;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
            entry = other_entry(rng, entry);
        }
    }

    /// Submits a job, cancels most of them, and asks for its state in between.
    async fn play_job(self, seed: u64, number: u64) -> (String, JobRecord) {
        let mut rng = StdRng::seed_from_u64(seed * 1_000_000 + number);
        let job = format!("{number:016x}");
        let first = rng.random_range(1..=ENTRIES);
        let body = three_steps();
        let mut rngs = [(); 3].map(|()| StdRng::seed_from_u64(rng.random()));
        let [of_posts, of_deletes, of_gets] = &mut rngs;
        let is_cancelled = !rng.random_bool(0.15);
        let longest_ms = [300, 1_000, 1_000, MAX_CANCEL_DELAY_MS][rng.random_range(0..4)];
        let delay_ms = rng.random_range(0..longest_ms);
        let posts = self.repeat(of_posts, first, Method::POST, &job, &body, |status| {
            matches!(status, 200 | 400..=499 | 503)
        });
        let deletes = async {
            if !is_cancelled {
                return Vec::new();
            }
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let entry = other_entry(of_deletes, first);
            let is_final = |status| matches!(status, 200 | 410);
            self.repeat(of_deletes, entry, Method::DELETE, &job, &Value::Null, is_final).await
        };
        let gets = async {
            let mut answers = Vec::new();
            for _ in 0..4 {
                tokio::time::sleep(Duration::from_millis(of_gets.random_range(100..2_500))).await;
                let entry = of_gets.random_range(1..=ENTRIES);
                answers.push(self.call(1_000, entry, Method::GET, &job, &Value::Null).await);
            }
            answers
        };
        let (posts, deletes, gets) = tokio::join!(posts, deletes, gets);
        (job, JobRecord { posts, deletes, gets })
    }
}

fn other_entry(rng: &mut StdRng, entry: usize) -> usize {
    (entry - 1 + rng.random_range(1..ENTRIES)) % ENTRIES + 1
}

fn three_steps() -> Value {
    let step = |at: usize| {
        let after = if at == 0 { json!([]) } else { json!([at - 1]) };
        json!({"count": 1, "cpu": 100, "memory_request_mb": 64, "gpu": 0, "estimate_ms": RUN_MS, "after": after})
    };
    let steps: Vec<Value> = (0..STEPS).map(step).collect();
    json!({"task_spec": format!("run_ms={RUN_MS}"), "steps": steps})
}

impl Play {
    /// Returns a play in which entries and agents are of this build.
    pub fn new(seed: u64, trouble: Trouble, rounds: usize) -> Self {
        let build = present_build().to_owned();
        Self { seed, trouble, rounds, interval: Duration::from_secs(4), from: build.clone(), to: build }
    }

    /// Sets the build of all processes at the start, and that of the entries that are started after a stop.
    pub fn with_builds(self, from: &Path, to: &Path) -> Self {
        Self { from: from.to_owned(), to: to.to_owned(), ..self }
    }

    /// Runs the play to its end.
    pub async fn run(&self) -> (Platform, Record) {
        let mut platform = Platform::start_build(&self.from, ENTRIES, WORKERS).await;
        platform.set_build(&self.to);
        let is_present = Arc::new(Mutex::new([self.from == present_build(); ENTRIES]));
        let observers = Observers { callers: platform.callers(), is_present: is_present.clone() };
        let seed = self.seed;
        let (stop, mut is_stopped) = tokio::sync::watch::channel(false);
        let load = tokio::spawn(async move {
            let mut jobs = JoinSet::new();
            for number in 1.. {
                jobs.spawn(observers.clone().play_job(seed, number));
                tokio::select! {
                    _ = is_stopped.changed() => break,
                    () = tokio::time::sleep(SUBMIT_INTERVAL) => (),
                }
            }
            jobs.join_all().await.into_iter().collect::<BTreeMap<_, _>>()
        });
        let mut rng = StdRng::seed_from_u64(seed);
        let mut restarts = BTreeMap::new();
        tokio::time::sleep(Duration::from_secs(2)).await;
        for round in 0..self.rounds {
            let began = Instant::now();
            let entry = match self.trouble {
                Trouble::StopInTurn => (round + seed as usize) % ENTRIES + 1,
                Trouble::StopTwoThenLeader if round < 2 || round % 2 == 1 => {
                    (1..=ENTRIES).find(|entry| !restarts.contains_key(entry)).unwrap_or(1)
                }
                _ => leaderships(&platform, false).last().map_or(1, |leader| leader.entry),
            };
            self.trouble_entry(&mut platform, &mut rng, entry).await;
            if self.trouble != Trouble::FreezeLeader {
                restarts.entry(entry).or_insert_with(wall_ms);
                is_present.lock().unwrap()[entry - 1] = self.to == present_build();
                platform.start_entry(entry);
            }
            tokio::time::sleep(self.interval.saturating_sub(began.elapsed())).await;
        }
        stop.send(true).unwrap();
        let jobs = load.await.unwrap();
        let last_ms = jobs.values().filter_map(JobRecord::cancelled).map(|answer| answer.at_ms).max();
        // A step that follows one that runs at the cancel starts within this time.
        let until_ms = last_ms.unwrap_or_default() + CANCEL_MS.max(RUN_MS) + 1_500;
        tokio::time::sleep(Duration::from_millis(until_ms.saturating_sub(wall_ms()))).await;
        let starts = platform.history().await.into_iter().filter(|event| event.0 == "start");
        let starts = starts.map(|event| (event.1, event.3)).collect();
        let leaderships = self.leaderships(&platform, &restarts);
        let first_restart_ms = restarts.values().min().copied();
        let dir = platform.env.dir().to_owned();
        (platform, Record { play: self.clone(), jobs, leaderships, first_restart_ms, starts, dir })
    }

    /// Returns all leaderships of a play whose entries were first started from the second build at `restarts`.
    fn leaderships(&self, platform: &Platform, restarts: &BTreeMap<usize, u64>) -> Vec<Leadership> {
        let [from, to] = [&self.from, &self.to].map(|build| build == present_build());
        let mut found = leaderships(platform, from);
        for leadership in &mut found {
            if restarts.get(&leadership.entry).is_some_and(|since| leadership.at_ms >= *since) {
                leadership.is_present = to;
            }
        }
        found
    }

    /// Stops, kills or halts an entry while the store is silent, and returns once it may be started again.
    async fn trouble_entry(&self, platform: &mut Platform, rng: &mut StdRng, entry: usize) {
        let faults = match rng.random_range(0..4) {
            0 | 1 => json!({"silent": true}),
            2 => json!({"lose_every": 1}),
            _ => json!({"slow_ms": rng.random_range(300..900)}),
        };
        let lead = Duration::from_millis(rng.random_range(0..600));
        let freeze = Duration::from_millis(rng.random_range(1_000..=MAX_FREEZE_MS));
        let name = format!("entry-{entry}");
        platform.set_store_faults(faults).await;
        let ended = async {
            tokio::time::sleep(lead).await;
            let stopped = tokio::time::Instant::now();
            match self.trouble {
                Trouble::StopInTurn | Trouble::StopLeader | Trouble::StopTwoThenLeader => {
                    platform.env.processes.terminate(&name, STOP_BOUND).await;
                }
                Trouble::KillLeader => platform.env.processes.kill(&name),
                Trouble::FreezeLeader => {
                    platform.env.signal(&name, Signal::SIGSTOP);
                    tokio::time::sleep(freeze).await;
                    platform.env.signal(&name, Signal::SIGCONT);
                    return;
                }
            }
            tokio::time::sleep_until(stopped + RESTART_DELAY).await;
        };
        let answers = async {
            tokio::time::sleep(STORE_FAULT).await;
            platform.set_store_faults(json!({})).await;
        };
        tokio::join!(ended, answers);
    }
}

/// Returns the leaderships that the logs of all entries show, by epoch.
fn leaderships(platform: &Platform, is_present: bool) -> Vec<Leadership> {
    let mut found = Vec::new();
    for entry in 1..=ENTRIES {
        let path = platform.env.dir().join(format!("entry-{entry}.log"));
        let log = fs::read_to_string(path).unwrap_or_default();
        let taken = log.lines().filter_map(LogLine::parse).filter(|line| line.event() == "office_taken");
        found.extend(taken.filter_map(|line| {
            let epoch = line.number("epoch")?;
            Some(Leadership { at_ms: line.at_ms as u64, epoch, entry, is_present })
        }));
    }
    found.sort_by_key(|leadership| leadership.epoch);
    found
}
