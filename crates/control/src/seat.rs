//! A planner in office: the decisions, driven by real clocks, the store and the agents.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sorrelland_fleet::Resources;
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::desired::Desired;
use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::planner::{Admission, Planner, Timing};
use sorrelland_fleet::report::Report;
use sorrelland_platform::store::{Error, Writer, encode_keyed};
use sorrelland_platform::{PolicyClient, Store};
use tokio::sync::{Notify, watch};

use crate::calls::{Ask, Holder, Told};
use crate::clock::{now_ms, wall_ms};
use crate::duty::{ALONE_MS, RENEW_EVERY, renew};
use crate::patience::Patience;
use crate::stored::{APPEND_PAUSE, JOBS, PRODUCER, load, outcome, parts};
use crate::{lock, metrics};

/// Time between two passes when nothing else causes one; occurrences start no later than this after their time.
const PASS_EVERY: Duration = Duration::from_millis(100);

/// Time for which an agent's call waits when there is nothing new.
const AGENT_WAIT: Duration = Duration::from_millis(500);

/// Tries of an append between two lines about it, about a second.
const LOG_TRIES: u32 = 10;

/// Wait for a question for the policy service before the office is looked at again.
const QUESTION_WAIT: Duration = Duration::from_secs(2);

/// A planner in office.
pub struct Seat {
    /// The office as this process holds it.
    pub holder: Holder,
    planner: Mutex<Planner>,
    /// Causes a pass.
    pass: Notify,
    /// Causes an append.
    append: Notify,
    /// Causes questions to the policy service.
    questions: Notify,
    stored: watch::Sender<u64>,
    over: watch::Sender<bool>,
    agents: Mutex<BTreeMap<String, AgentSlot>>,
}

/// What an agent was told, and how to wake its waiting call.
#[derive(Default)]
struct AgentSlot {
    wake: Arc<Notify>,
    /// Life and number of the newest report.
    newest: (u64, u64),
    told: Option<(u64, Assignments)>,
}

impl Seat {
    /// Takes the office up: fences every earlier writer, then reads the jobs.
    pub async fn take(
        store: &Store,
        policy: Option<PolicyClient>,
        holder: Holder,
        timing: Timing,
        desired: Arc<Desired>,
    ) -> Option<Arc<Self>> {
        let mut writer = Writer { producer: PRODUCER.to_owned(), epoch: holder.epoch, sequence: 0 };
        let jobs = load(store, &mut writer).await?;
        let planner = Planner::new(timing, desired, jobs, now_ms());
        let seat = Arc::new(Self {
            holder,
            planner: Mutex::new(planner),
            pass: Notify::new(),
            append: Notify::new(),
            questions: Notify::new(),
            stored: watch::Sender::new(0),
            over: watch::Sender::new(false),
            agents: Mutex::default(),
        });
        log::info!("event=office_taken epoch={}", seat.holder.epoch);
        tokio::spawn(seat.clone().run_passes());
        tokio::spawn(seat.clone().run_appends(store.clone(), writer));
        tokio::spawn(seat.clone().run_renewals(store.clone()));
        if let Some(policy) = policy {
            tokio::spawn(seat.clone().run_questions(policy));
        }
        Some(seat)
    }

    /// Returns whether the office is over.
    pub fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// Waits until the office is over.
    pub async fn ended(&self) {
        let mut over = self.over.subscribe();
        // The sender lives as long as this seat.
        let _ = over.wait_for(|over| *over).await;
    }

    /// Ends the office; every call is answered with a redirection from now on.
    pub fn end(&self, why: &str) {
        if !self.over.send_replace(true) {
            log::info!("event=office_ended epoch={} why=\"{why}\"", self.holder.epoch);
        }
        for slot in lock(&self.agents).values() {
            slot.wake.notify_waiters();
        }
    }

    /// Hands a new desired state to the decisions.
    pub fn set_desired(&self, desired: Arc<Desired>) {
        lock(&self.planner).set_desired(desired);
        self.pass.notify_one();
    }

    async fn run_passes(self: Arc<Self>) {
        while !self.is_over() {
            let waited = tokio::time::timeout(PASS_EVERY, self.pass.notified());
            // Either a cause or the time for the next pass.
            let _ = waited.await;
            self.pass_now();
        }
    }

    fn pass_now(&self) {
        let (lines, poked) = {
            let mut planner = lock(&self.planner);
            planner.tick(now_ms(), wall_ms());
            let (heard, known) = planner.reporting_workers(now_ms());
            metrics::level("workers_heard", heard as u64);
            metrics::level("workers_known", known as u64);
            metrics::level("jobs_live", planner.live_jobs() as u64);
            if planner.has_approval_requests() {
                self.questions.notify_one();
            }
            (planner.take_log(), planner.take_agents_to_wake())
        };
        for line in lines {
            log::info!("{line}");
        }
        self.append.notify_one();
        self.poke(poked);
    }

    fn poke(&self, agents: Vec<String>) {
        let slots = lock(&self.agents);
        for agent in agents {
            if let Some(slot) = slots.get(&agent) {
                slot.wake.notify_waiters();
            }
        }
    }

    async fn run_appends(self: Arc<Self>, store: Store, mut writer: Writer) {
        let mut patience = Patience::default();
        while !self.is_over() {
            self.append.notified().await;
            loop {
                let Some((records, change)) = lock(&self.planner).take_changes() else { break };
                let raw: Vec<Vec<u8>> = records.iter().map(encode_keyed).collect();
                for part in parts(raw) {
                    if !self.append_part(&store, &mut writer, &mut patience, &part).await {
                        return;
                    }
                }
                let poked = {
                    let mut planner = lock(&self.planner);
                    planner.record_stored(change);
                    planner.take_agents_to_wake_after_store()
                };
                self.stored.send_replace(change);
                self.poke(poked);
            }
        }
    }

    /// Appends until the store has answered; returns whether the office goes on.
    async fn append_part(
        &self,
        store: &Store,
        writer: &mut Writer,
        patience: &mut Patience,
        part: &[Vec<u8>],
    ) -> bool {
        // Set once an append may have been carried out although no answer came.
        let mut unanswered = false;
        let mut tries = 0_u32;
        while !self.is_over() {
            let began = Instant::now();
            let appended = store.append_as(JOBS, writer, part, patience.wait()).await;
            metrics::append(outcome(&appended), began);
            match &appended {
                Err(e) if !e.not_applied() => patience.note_missed(),
                _ => patience.note(began.elapsed()),
            }
            match appended {
                Ok(_) => {
                    writer.sequence += 1;
                    return true;
                }
                Err(Error::Fenced) => {
                    self.end("a writer with a higher epoch has taken over");
                    return false;
                }
                Err(Error::Sequence { expected: Some(next) }) if !unanswered && next != writer.sequence => {
                    log::warn!("event=sequence_set from={} to={next}", writer.sequence);
                    writer.sequence = next;
                }
                Err(e @ Error::Sequence { .. }) => {
                    self.end(&format!("the order of appends is lost: {e}"));
                    return false;
                }
                Err(e) => {
                    unanswered |= !e.not_applied();
                    tries += 1;
                    if tries == 1 || tries.is_multiple_of(LOG_TRIES) {
                        let sequence = writer.sequence;
                        log::warn!("event=append_retried sequence={sequence} tries={tries} cause=\"{e}\"");
                    }
                    tokio::time::sleep(APPEND_PAUSE).await;
                }
            }
        }
        false
    }

    async fn run_renewals(self: Arc<Self>, store: Store) {
        let mut renewed_at = now_ms();
        while !self.is_over() {
            match renew(&store, self.holder.epoch, false).await {
                Ok(()) => renewed_at = now_ms(),
                Err(e) => log::warn!("event=renewal_failed epoch={} cause=\"{e}\"", self.holder.epoch),
            }
            if now_ms() > renewed_at + ALONE_MS {
                self.end("the store was out of reach for too long");
            }
            tokio::time::sleep(RENEW_EVERY).await;
        }
    }

    /// Asks the policy service, which answers one question after another anyway.
    async fn run_questions(self: Arc<Self>, policy: PolicyClient) {
        while !self.is_over() {
            let question = lock(&self.planner).next_approval_request(now_ms());
            let Some((step, workers)) = question else {
                // Either a question, or a look whether the office is over.
                let _ = tokio::time::timeout(QUESTION_WAIT, self.questions.notified()).await;
                continue;
            };
            let name = format!("{}.{}.{}", step.0, step.1, step.2);
            match policy.request_approvals(&name, &workers).await {
                Ok(told) => {
                    let mut planner = lock(&self.planner);
                    planner.record_approvals(now_ms(), &step, &workers, &told.admitted, told.valid_ms);
                    drop(planner);
                    self.pass.notify_one();
                }
                Err(e) => log::warn!("event=policy_unanswered job={} step={name} cause=\"{e}\"", step.0),
            }
        }
    }

    /// Waits until a change is stored; returns whether it is.
    async fn wait_stored(&self, change: u64, wait: Duration) -> bool {
        let mut stored = self.stored.subscribe();
        let mut over = self.over.subscribe();
        let stored = async {
            // The sender lives as long as this seat.
            let _ = stored.wait_for(|stored| *stored >= change).await;
            true
        };
        tokio::select! {
            done = stored => done,
            _ = over.wait_for(|over| *over) => false,
            () = tokio::time::sleep(wait) => false,
        }
    }

    /// Answers on behalf of a caller who waits for `wait`.
    pub async fn ask(&self, ask: Ask, wait: Duration) -> Told {
        if self.is_over() {
            return Told::NotPlanner(None);
        }
        match ask {
            Ask::Submit(sub) => {
                let verdict = {
                    let mut planner = lock(&self.planner);
                    planner.submit(now_ms(), wall_ms(), &sub)
                };
                match verdict {
                    Admission::Refused { reason: why, retry_after_ms } => {
                        let Self { holder, .. } = self;
                        log::info!(
                            "event=refused job={} queue={} account={} epoch={} retry_after_ms={retry_after_ms} \
                             why=\"{why}\"",
                            sub.job,
                            sub.queue,
                            sub.account,
                            holder.epoch
                        );
                        Told::Refused { why, retry_after_ms }
                    }
                    Admission::Accepted { change } => {
                        // The placement goes into the same append as the job.
                        self.pass_now();
                        match self.wait_stored(change, wait).await {
                            true => {
                                log::info!(
                                    "event=accepted job={} queue={} account={} {}",
                                    sub.job,
                                    sub.queue,
                                    sub.account,
                                    shape(&sub)
                                );
                                Told::Accepted
                            }
                            // Even when the office is over the append may have been carried out.
                            false => Told::Unresolved,
                        }
                    }
                }
            }
            Ask::State(job) => Told::State(lock(&self.planner).state(&job)),
            Ask::Pending(queue) => Told::Pending(lock(&self.planner).pending(&queue) as u64),
            Ask::Show(query) => {
                Told::Shown(lock(&self.planner).view(&query, now_ms(), wall_ms()).to_string())
            }
            Ask::Cancel(job) => {
                let change = lock(&self.planner).cancel(now_ms(), wall_ms(), &job);
                let Some(change) = change else { return Told::Cancelled(false) };
                self.pass_now();
                match self.wait_stored(change, wait).await {
                    true => Told::Cancelled(true),
                    false => Told::Unresolved,
                }
            }
        }
    }

    /// Takes an agent's report and returns the wish for its worker once it differs from what the agent was told,
    /// or after a while.
    pub async fn report(&self, report: Report) -> Option<Option<Assignments>> {
        let (agent, life, seq) = (report.agent.clone(), report.agent_incarnation, report.seq);
        let news = !report.ended.is_empty() || !report.not_started.is_empty();
        let joined = {
            let mut planner = lock(&self.planner);
            let before = planner.reporting_workers(now_ms()).1;
            planner.apply_report(now_ms(), wall_ms(), &report);
            planner.reporting_workers(now_ms()).1 != before
        };
        let wake = {
            let mut slots = lock(&self.agents);
            let slot = slots.entry(agent.clone()).or_default();
            if slot.newest.0 != life || slot.newest.1 < seq {
                slot.newest = (life, seq);
                // An older report of this agent has nothing to wait for any more.
                slot.wake.notify_waiters();
            }
            slot.wake.clone()
        };
        if news || joined {
            self.pass.notify_one();
        }
        let until = tokio::time::Instant::now() + AGENT_WAIT;
        loop {
            if self.is_over() {
                return None;
            }
            // Listens before it looks: a change between the two wakes it.
            let woken = wake.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            let orders = lock(&self.planner).assignments(now_ms(), &agent);
            let late = tokio::time::Instant::now() >= until;
            if late || self.differs(&agent, life, orders.as_ref()) || self.is_superseded(&agent, life, seq) {
                return Some(orders);
            }
            // Woken by a change for this agent, or by the end of the wait.
            let _ = tokio::time::timeout_at(until, woken).await;
        }
    }

    /// Returns whether a newer report of the agent has come.
    fn is_superseded(&self, agent: &str, life: u64, seq: u64) -> bool {
        lock(&self.agents).get(agent).is_some_and(|slot| slot.newest.0 != life || slot.newest.1 > seq)
    }

    /// Returns whether a wish differs from what a life of an agent was told last, and notes it as told.
    fn differs(&self, agent: &str, life: u64, orders: Option<&Assignments>) -> bool {
        let mut slots = lock(&self.agents);
        let (Some(slot), Some(orders)) = (slots.get_mut(agent), orders) else { return false };
        let told = slot.told.as_ref();
        if told.is_some_and(|(told_life, told)| *told_life == life && same_wish(told, orders)) {
            return false;
        }
        slot.told = Some((life, orders.clone()));
        true
    }
}

/// Returns the shape of a job for the logs.
fn shape(sub: &Submission) -> String {
    let step = |step: &Step| {
        let flags = [
            (step.gang, "gang"),
            (step.prefers_one_rack, "one_rack"),
            (step.saves_progress, "saves"),
            (step.speculative, "speculative"),
            (step.long_running, "lasting"),
            (step.uses_idle_cpu, "fills"),
            (step.label.is_some(), "label"),
            (step.preferred_rack.is_some(), "near"),
            (step.max_per_worker.is_some(), "spread"),
            (step.target_ms.is_some(), "target"),
            (!step.depends_on.is_empty(), "after"),
        ];
        let flags: Vec<&str> = flags.iter().filter(|(on, _)| *on).map(|(_, name)| *name).collect();
        let Resources { millicores, memory_mb, accelerators } = step.resources;
        let (count, ms) = (step.count, step.estimate_ms);
        format!("{count}x{millicores}m/{memory_mb}MB/{accelerators}acc~{ms}ms:{}", flags.join("+"))
    };
    let steps: Vec<String> = sub.steps.iter().map(step).collect();
    let occurrences = sub.schedule.map_or(1, |schedule| schedule.occurrences);
    format!("occurrences={occurrences} shape=\"{}\"", steps.join(","))
}

/// Returns whether two wishes ask for the same.
fn same_wish(one: &Assignments, other: &Assignments) -> bool {
    let plain = |orders: &Assignments| Assignments { number: 0, grant_ms: 0, ..orders.clone() };
    plain(one) == plain(other)
}
