//! The jobs of a run: what was submitted, and what callers have seen of it.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use sorrelland_standin::ticket::NEEDS_TICKET;

/// Resources of a subtask: CPU in thousandths of a core, memory in megabytes, number of accelerators.
pub type Needs = (u64, u64, u64);

/// Accelerators of a worker.
pub const WORKER_GPUS: u64 = 4;

/// Run time of the job that shows whether a worker is usable, in milliseconds.
const PROBE_MS: u64 = 100;

/// Run time of a step of a job whose caller changes entries, in milliseconds, and the number of its steps.
const CHAIN_STEP_MS: u64 = 3_000;
const CHAIN_STEPS: u64 = 3;

/// Text of a job whose subtasks crash each worker that starts them.
const CRASHES: &str = " crashes";

/// Jobs for each one whose subtasks crash their workers.
const JOBS_PER_CRASHING_JOB: u64 = 30;

/// Jobs for each gang that prefers one rack.
const JOBS_PER_RACK_GANG: u64 = 8;

/// A step of a job.
#[derive(Clone, Debug)]
pub struct Step {
    pub count: u64,
    pub needs: Needs,
    pub after: Vec<u64>,
    pub gang: bool,
    /// Whether the subtasks should run on one rack.
    pub one_rack: bool,
}

/// A job as submitted.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub queue: &'static str,
    pub steps: Vec<Step>,
    pub run_ms: u64,
    /// Text for the subtasks.
    pub spec: String,
    /// Label that its workers must have; empty for none.
    pub label: String,
    /// Whether its caller cancels it, some time after it was accepted, or sent if the caller changes entries.
    pub cancelled_after_ms: Option<u64>,
    /// Whether its caller sends each call to another entry and repeats it until it is answered.
    pub changes_entries: bool,
}

impl Job {
    /// Draws a job; the number of accelerators of a worker limits the size of its subtasks.
    pub fn draw(rng: &mut StdRng, id: String, queues: &[&'static str]) -> Self {
        let step = |count, gpu| Step {
            count,
            needs: (1_000, 1_024, gpu),
            after: Vec::new(),
            gang: false,
            one_rack: false,
        };
        let mut run_ms = rng.random_range(100..1_500);
        let mut note = String::new();
        let steps = match rng.random_range(0..9) {
            0..=2 => vec![step(1, rng.random_range(0..=WORKER_GPUS))],
            3 | 4 => vec![step(rng.random_range(3..12), 1)],
            5 => {
                let gang = Step { gang: true, ..step(rng.random_range(2..5), rng.random_range(1..4)) };
                note = format!(" gang={}", gang.count);
                vec![gang]
            }
            6 => {
                vec![
                    step(rng.random_range(1..4), 1),
                    Step { after: vec![0], ..step(rng.random_range(1..5), 1) },
                ]
            }
            7 => {
                note = if rng.random_bool(0.8) { " fails_first" } else { " fails" }.to_owned();
                vec![step(rng.random_range(1..4), 1)]
            }
            _ => {
                run_ms = rng.random_range(4_000..12_000);
                vec![step(rng.random_range(1..4), 1)]
            }
        };
        // Drawn from the name, so that the other jobs of a seed stay the same.
        let number = id.bytes().map(u64::from).sum::<u64>();
        let (steps, note) = match number {
            _ if number.is_multiple_of(JOBS_PER_CRASHING_JOB) => (vec![step(2, 1)], CRASHES.to_owned()),
            _ if number.is_multiple_of(JOBS_PER_RACK_GANG) => {
                let count = 2 + number / JOBS_PER_RACK_GANG % 5;
                (vec![Step { gang: true, one_rack: true, ..step(count, 1) }], format!(" gang={count}"))
            }
            _ => (steps, note),
        };
        let queue = queues[rng.random_range(0..queues.len())];
        let cancelled_after_ms = rng.random_bool(0.15).then(|| rng.random_range(0..4_000));
        let (spec, label) = (format!("job={id} run_ms={run_ms}{note}"), String::new());
        Self { id, queue, steps, run_ms, spec, label, cancelled_after_ms, changes_entries: false }
    }

    /// Returns a short job that only the worker with this label can run.
    pub fn probe(id: String, queue: &'static str, label: String) -> Self {
        let steps =
            vec![Step { count: 1, needs: (100, 10, 0), after: Vec::new(), gang: false, one_rack: false }];
        let spec = format!("job={id} run_ms={PROBE_MS}");
        let cancelled_after_ms = None;
        Self { id, queue, steps, run_ms: PROBE_MS, spec, label, cancelled_after_ms, changes_entries: false }
    }

    /// Draws a job of steps that follow each other, without accelerators, whose caller changes entries.
    pub fn chain(rng: &mut StdRng, id: String, queues: &[&'static str]) -> Self {
        let steps = (0..CHAIN_STEPS).map(|number| Step {
            count: 1,
            needs: (100, 10, 0),
            after: number.checked_sub(1).into_iter().collect(),
            gang: false,
            one_rack: false,
        });
        // Many cancels meet the submission on its way.
        let cancelled_after_ms = match rng.random_range(0..4) {
            0 => None,
            1 => Some(rng.random_range(0..CHAIN_STEP_MS * CHAIN_STEPS)),
            _ => Some(rng.random_range(0..500)),
        };
        Self {
            queue: queues[rng.random_range(0..queues.len())],
            steps: steps.collect(),
            run_ms: CHAIN_STEP_MS,
            spec: format!("job={id} run_ms={CHAIN_STEP_MS}"),
            label: String::new(),
            cancelled_after_ms,
            changes_entries: true,
            id,
        }
    }

    /// Draws a job on the queue with approvals.
    pub fn advised(rng: &mut StdRng, id: String, queue: &'static str) -> Self {
        let job = Self::draw(rng, id, &[queue]);
        Self { spec: format!("{} {NEEDS_TICKET}", job.spec), ..job }
    }

    /// Returns whether the job's steps need an approval of the policy service.
    pub fn is_advised(&self) -> bool {
        self.spec.contains(NEEDS_TICKET)
    }

    pub fn body(&self) -> Value {
        let steps = self.steps.iter().map(|step| {
            let (cpu, memory_mb, gpu) = step.needs;
            json!({"count": step.count, "cpu": cpu, "memory_request_mb": memory_mb, "gpu": gpu,
                "estimate_ms": self.run_ms, "after": step.after, "gang_scheduled": step.gang, "same_rack": step.one_rack,
                "requirements": self.label})
        });
        json!({"task_spec": self.spec, "steps": steps.collect::<Vec<_>>()})
    }

    pub fn crashes_workers(&self) -> bool {
        self.spec.contains(CRASHES)
    }

    /// Returns the work of the job in accelerator-milliseconds, or core-milliseconds without accelerators.
    pub fn work_ms(&self) -> u64 {
        self.steps.iter().map(|step| step.count * step.needs.2.max(1) * self.run_ms).sum()
    }
}

/// A request of a caller and its answer; times in milliseconds on the wall clock.
#[derive(Clone, Debug)]
pub struct Call {
    pub entry: usize,
    pub sent_ms: u64,
    pub answered_ms: u64,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// State of the job in the answer to a GET.
    pub state: String,
}

impl Call {
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the call, a cancel, was acknowledged.
    pub fn is_cancel_acknowledged(&self) -> bool {
        self.is_success() || self.status == 410
    }
}

/// What callers have seen of a job.
#[derive(Clone, Debug)]
pub struct Record {
    pub job: Job,
    pub submits: Vec<Call>,
    pub cancels: Vec<Call>,
    pub polls: Vec<Call>,
    /// Calls of another account under the job's name.
    pub foreign: Vec<Call>,
}

impl Record {
    pub fn new(job: Job) -> Self {
        Self { job, submits: Vec::new(), cancels: Vec::new(), polls: Vec::new(), foreign: Vec::new() }
    }

    /// Returns when the job was first accepted.
    pub fn accepted_ms(&self) -> Option<u64> {
        self.submits.iter().filter(|call| call.is_success()).map(|call| call.answered_ms).min()
    }

    /// Returns whether the job was certainly not accepted: every attempt was rejected.
    pub fn is_rejected(&self) -> bool {
        !self.submits.is_empty()
            && self.submits.iter().all(|call| matches!(call.status, 401 | 403 | 404 | 429 | 503))
    }

    /// Returns when a cancel was first acknowledged. That no such job exists is an acknowledgement, too.
    pub fn cancelled_ms(&self) -> Option<u64> {
        let acknowledged = self.cancels.iter().filter(|call| call.is_cancel_acknowledged());
        acknowledged.map(|call| call.answered_ms).min()
    }

    /// Returns when the job was first shown in `state`.
    pub fn shown_ms(&self, state: &str) -> Option<u64> {
        self.polls.iter().filter(|call| call.state == state).map(|call| call.answered_ms).min()
    }

    /// Returns whether the job was shown in a state that it can't leave.
    pub fn has_ended(&self) -> bool {
        self.ended_ms().is_some()
    }

    /// Returns when the job was first shown in such a state.
    pub fn ended_ms(&self) -> Option<u64> {
        ["completed", "failed", "cancelled"].iter().filter_map(|state| self.shown_ms(state)).min()
    }
}

/// Records by job.
pub type Ledger = BTreeMap<String, Record>;
