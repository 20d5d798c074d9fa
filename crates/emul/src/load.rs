//! Synthetic loads with the parameters of the users' request sheets.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrelland_fleet::Resources;
use sorrelland_fleet::job::{Step, Submission};

/// Parameters of a kind of job.
#[derive(Clone, Debug)]
pub struct JobKind {
    /// Name in the request sheet.
    pub name: &'static str,
    /// Mean number of arrivals per second.
    pub arrivals_per_s: f64,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Value of a job that ends in time, and of one that ends late.
    pub value: (f64, f64),
    /// Mean work of a subtask, in milliseconds at speed 1.
    pub work_ms: f64,
    /// Mean number of subtasks.
    pub subtasks: f64,
    /// Millicores and megabytes of memory of a subtask.
    pub cpu_memory: (i64, i64),
    /// Numbers of accelerators from which that of a job's subtasks is drawn.
    pub accelerators: &'static [i64],
    /// Share of the jobs with several subtasks that are gangs; most of these prefer one rack.
    pub gang_share: f64,
    /// Share of the jobs that save progress.
    pub saving_share: f64,
    /// Maximum relative error of the estimates.
    pub estimate_error: f64,
    /// Share of the runs that fail.
    pub failure_share: f64,
    /// Share of the jobs whose runs all fail.
    pub always_failing_share: f64,
    /// Share of the jobs that the caller cancels.
    pub cancelled_share: f64,
    /// Multiple of a job's work within which it should end, in thousandths.
    pub stretch_milli: u64,
    /// Time added to that multiple, in milliseconds.
    pub full_value_ms: u64,
    /// Number of failed runs after which a job fails.
    pub max_attempts: u32,
    /// Range from which the memory of a job's subtasks is drawn, in megabytes; `None` for that of `cpu_memory`.
    pub memory_range_mb: Option<(i64, i64)>,
    /// Largest relative difference of a subtask's work from that of its step.
    pub work_spread: f64,
    /// Range of the number of subtasks, the small ones more often; `None` for a number around `subtasks`.
    pub subtask_range: Option<(u32, u32)>,
    /// Share of the gangs that prefer one rack.
    pub one_rack_share: f64,
}

/// Load of a deployment.
#[derive(Clone, Debug)]
pub struct Load {
    /// Name of the deployment.
    pub name: &'static str,
    pub kinds: Vec<JobKind>,
    /// Maximum time that it takes to stop a run, in milliseconds.
    pub stop_ms: u64,
    /// Number of workers, unless the command line says otherwise.
    pub workers: usize,
    /// Number of workers in a rack.
    pub workers_per_rack: usize,
    /// Speeds of the workers, in turn.
    pub speeds: &'static [f64],
    /// Capacity of a worker.
    pub capacity: Resources,
    /// Whether a gang advances at the speed of its slowest worker, otherwise at that of its first member's.
    pub gangs_at_slowest: bool,
    /// Whether workers report progress in percent.
    pub reports_progress: bool,
    /// Runs that take longer than the work of their subtask; `None` for none.
    pub long_runs: Option<LongRuns>,
    /// Periods with more arrivals; `None` for none.
    pub bursts: Option<Bursts>,
    /// Workers that leave while jobs arrive; `None` for none.
    pub departures: Option<Departures>,
    /// Number of client accounts.
    pub accounts: u32,
    /// Exponent of the accounts' shares of the jobs: the k-th account has a share proportional to k to the power of its
    /// negative. 0 for equal shares.
    pub account_skew: f64,
}

impl Load {
    /// Returns the longest time that a run of a kind takes on the slowest worker, apart from long runs and from slowdowns
    /// across racks, in milliseconds.
    pub fn longest_run_ms(&self, kind: usize) -> u64 {
        let slowest = self.speeds.iter().copied().fold(f64::INFINITY, f64::min);
        let kind = &self.kinds[kind];
        let work_ms = (kind.work_ms * (1.0 + WORK_SPREAD) * MAX_TAIL_FACTOR).min(MAX_WORK_MS);
        (work_ms * (1.0 + kind.work_spread) / slowest) as u64
    }
}

/// Runs that take a multiple of their subtask's work.
#[derive(Clone, Copy, Debug)]
pub struct LongRuns {
    /// Share of all runs.
    pub share: f64,
    /// Multiple of the work.
    pub factor: f64,
}

/// Periodic bursts of arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Bursts {
    /// Time from the start of a burst to that of the next, in milliseconds.
    pub period_ms: u64,
    /// Length of a burst, in milliseconds.
    pub length_ms: u64,
    /// Multiple of the arrivals during a burst.
    pub factor: f64,
}

/// Workers that drain and shut down one after the other, each replaced by a new incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Departures {
    /// Time from one announcement to the next, in milliseconds.
    pub period_ms: u64,
    /// Time from the announcement until the worker shuts down, in milliseconds.
    pub notice_ms: u64,
}

/// Share and multiple of long runs that the planning service and the member desk have seen.
const LONG_RUNS: LongRuns = LongRuns { share: 1.0 / 30.0, factor: 7.0 };

/// Longest work of a step's subtasks, in milliseconds at speed 1.
const MAX_WORK_MS: f64 = 11_000.0;

/// Largest relative difference of a job's work from its kind's mean, before the long tail.
const WORK_SPREAD: f64 = 0.5;

/// Largest factor of the long tail of drawn values.
const MAX_TAIL_FACTOR: f64 = 1.4;

/// Numbers of accelerators of a subtask; 8 is drawn twice as often as each of the others.
const ACCELERATOR_COUNTS: &[i64] = &[1, 2, 4, 8, 8];

/// Returns the load of the deployment `hpms` or `cmsc`, or a synthetic one: `uneven` has workers of three speeds and long
/// runs, `bursty` has bursts of a few large accounts that exhaust the memory, `wide` and `steady` have gangs of up to 40
/// members beside narrow work: `wide` with urgent work, failing runs and workers that leave, `steady` with one gang at a
/// time.
pub fn by_name(name: &str) -> Option<Load> {
    let reprice = JobKind {
        name: "reprice",
        arrivals_per_s: 0.509,
        priority: 1,
        value: (3.0, 0.9),
        work_ms: 6_800.0,
        subtasks: 1.5,
        cpu_memory: (52_000, 110_000),
        accelerators: ACCELERATOR_COUNTS,
        gang_share: 0.5,
        saving_share: 0.45,
        estimate_error: 0.5,
        failure_share: 0.05,
        always_failing_share: 0.03,
        cancelled_share: 0.05,
        stretch_milli: 3_000,
        full_value_ms: 1_000,
        max_attempts: 4,
        memory_range_mb: None,
        work_spread: 0.0,
        subtask_range: None,
        one_rack_share: 0.7,
    };
    let window = JobKind {
        name: "window",
        arrivals_per_s: 0.298,
        priority: 0,
        value: (4.0, 0.8),
        work_ms: 2_500.0,
        subtasks: 3.4,
        cpu_memory: (15_000, 30_992),
        gang_share: 0.6,
        saving_share: 0.0,
        estimate_error: 0.2,
        failure_share: 0.02,
        always_failing_share: 0.0,
        cancelled_share: 0.0,
        stretch_milli: 1_500,
        full_value_ms: 250,
        max_attempts: 2,
        memory_range_mb: None,
        work_spread: 0.0,
        subtask_range: None,
        one_rack_share: 0.7,
        accelerators: ACCELERATOR_COUNTS,
    };
    let spares = JobKind {
        name: "spares",
        arrivals_per_s: 0.246,
        priority: 2,
        value: (1.0, 0.3),
        work_ms: 6_100.0,
        subtasks: 9.2,
        cpu_memory: (11_000, 22_992),
        accelerators: &[1],
        gang_share: 0.0,
        saving_share: 0.45,
        estimate_error: 0.2,
        failure_share: 0.02,
        always_failing_share: 0.03,
        cancelled_share: 0.15,
        stretch_milli: 3_000,
        full_value_ms: 3_000,
        max_attempts: 4,
        memory_range_mb: None,
        work_spread: 0.0,
        subtask_range: None,
        one_rack_share: 0.7,
    };
    let load = Load {
        name: "hpms",
        kinds: Vec::new(),
        stop_ms: 400,
        workers: 11,
        workers_per_rack: 3,
        speeds: &[0.8, 1.0, 1.25],
        capacity: Resources::new(128_000, 262_144, 8),
        gangs_at_slowest: false,
        reports_progress: false,
        long_runs: None,
        bursts: None,
        departures: None,
        accounts: 4,
        account_skew: 0.0,
    };
    match name {
        "hpms" => Some(Load { kinds: vec![reprice, window, spares], ..load }),
        "cmsc" => {
            let render = JobKind {
                name: "render",
                arrivals_per_s: 0.456,
                value: (3.0, 1.5),
                work_ms: 8_500.0,
                cpu_memory: (52_000, 140_000),
                estimate_error: 0.9,
                failure_share: 0.005,
                always_failing_share: 0.0,
                ..reprice
            };
            let check = JobKind {
                name: "check",
                arrivals_per_s: 0.382,
                subtasks: 3.0,
                failure_share: 0.05,
                max_attempts: 4,
                ..window
            };
            let proof = JobKind {
                name: "proof",
                arrivals_per_s: 0.22,
                value: (1.0, 0.5),
                work_ms: 7_600.0,
                estimate_error: 0.9,
                failure_share: 0.005,
                max_attempts: 2,
                ..spares
            };
            Some(Load { name: "cmsc", kinds: vec![render, check, proof], stop_ms: 900, ..load })
        }
        "uneven" => {
            let kind = |kind: JobKind, rate: f64, cpu_memory| JobKind {
                arrivals_per_s: kind.arrivals_per_s * rate,
                cpu_memory,
                estimate_error: 0.6,
                work_spread: 0.3,
                ..kind
            };
            Some(Load {
                name: "uneven",
                kinds: vec![
                    kind(reprice, 5.0, (16_000, 32_000)),
                    kind(window, 5.0, (8_000, 16_000)),
                    kind(spares, 5.0, (6_000, 12_000)),
                ],
                workers: 55,
                workers_per_rack: 6,
                speeds: &[0.6, 1.0, 1.6],
                capacity: Resources::new(64_000, 131_072, 8),
                gangs_at_slowest: true,
                reports_progress: true,
                long_runs: Some(LONG_RUNS),
                ..load
            })
        }
        "bursty" => {
            let kind = |kind: JobKind, rate: f64, memory_range_mb| JobKind {
                arrivals_per_s: kind.arrivals_per_s * rate,
                cpu_memory: (4_000, 0),
                memory_range_mb: Some(memory_range_mb),
                accelerators: &[0, 1],
                estimate_error: 0.6,
                work_spread: 0.15,
                ..kind
            };
            Some(Load {
                name: "bursty",
                kinds: vec![
                    kind(reprice, 5.0, (30_000, 68_000)),
                    kind(window, 5.0, (15_000, 40_000)),
                    kind(spares, 5.0, (15_000, 40_000)),
                ],
                workers: 66,
                workers_per_rack: 8,
                speeds: &[1.0, 1.3],
                capacity: Resources::new(32_000, 131_072, 8),
                gangs_at_slowest: true,
                reports_progress: true,
                long_runs: Some(LONG_RUNS),
                bursts: Some(Bursts { period_ms: 30_000, length_ms: 8_000, factor: 4.0 }),
                accounts: 6,
                account_skew: 1.2,
                ..load
            })
        }
        "wide" => {
            let departures = Some(Departures { period_ms: 10_000, notice_ms: 3_000 });
            Some(Load { name: "wide", departures, ..with_wide_gangs([reprice, window, spares], load) })
        }
        "steady" => {
            let mut load = Load { name: "steady", ..with_wide_gangs([reprice, window, spares], load) };
            for kind in &mut load.kinds {
                (kind.failure_share, kind.always_failing_share, kind.cancelled_share) = (0.0, 0.0, 0.0);
            }
            load.kinds[0].arrivals_per_s = 1.0 / 40.0;
            load.kinds[1].arrivals_per_s = 0.0;
            load.kinds[2].arrivals_per_s = 2.0;
            load.long_runs = None;
            Some(load)
        }
        _ => None,
    }
}

/// Returns a load of gangs that prefer one rack of six workers, of urgent narrow jobs and of single subtasks, which keep
/// about two thirds of the memory in use. A member of the largest gangs needs over half of a worker's memory and few of
/// its cores. The kinds derive from `kinds`.
fn with_wide_gangs([gang, urgent, single]: [JobKind; 3], load: Load) -> Load {
    let gang = JobKind {
        name: "wide",
        arrivals_per_s: 0.2,
        cpu_memory: (6_000, 0),
        memory_range_mb: Some((20_000, 72_000)),
        accelerators: &[1],
        gang_share: 1.0,
        one_rack_share: 1.0,
        subtask_range: Some((4, 40)),
        ..gang
    };
    let urgent = JobKind {
        name: "urgent",
        arrivals_per_s: 0.3,
        cpu_memory: (4_000, 24_000),
        accelerators: &[1],
        ..urgent
    };
    let narrow = JobKind {
        name: "narrow",
        arrivals_per_s: 1.6,
        cpu_memory: (4_000, 0),
        memory_range_mb: Some((15_000, 60_000)),
        accelerators: &[0, 1],
        work_spread: 0.3,
        ..single
    };
    Load {
        kinds: vec![gang, urgent, narrow],
        workers: 48,
        workers_per_rack: 6,
        speeds: &[1.0, 1.3],
        capacity: Resources::new(64_000, 131_072, 8),
        gangs_at_slowest: true,
        reports_progress: true,
        long_runs: Some(LONG_RUNS),
        accounts: 6,
        account_skew: 1.2,
        ..load
    }
}

/// Properties of a job that are hidden from the planner.
#[derive(Clone, Debug)]
pub struct HiddenProperties {
    /// Index of the job's kind in the load.
    pub kind: usize,
    /// Actual work of each step's subtasks, in milliseconds at speed 1.
    pub work_ms: Vec<u64>,
    /// Whether every run fails.
    pub always_fails: bool,
    /// Time from the first submission after which the caller cancels, in milliseconds.
    pub cancel_after_ms: Option<u64>,
    /// Seed of the differences between its runs.
    pub seed: u64,
    /// Largest relative difference of a subtask's work from that of its step.
    pub work_spread: f64,
    pub long_runs: Option<LongRuns>,
}

impl HiddenProperties {
    /// Returns the work of a run as a multiple of its step's work. All members of a gang have the same.
    pub fn work_factor(&self, step: u32, index: u32, run: u64) -> f64 {
        let seed = self.seed ^ (u64::from(step) << 32 | u64::from(index));
        let mut factor = 1.0;
        if self.work_spread > 0.0 {
            let mut rng = StdRng::seed_from_u64(seed);
            factor += self.work_spread * rng.random_range(-1.0..1.0);
        }
        if let Some(long) = self.long_runs {
            let mut rng = StdRng::seed_from_u64(seed ^ (run << 48));
            if rng.random_range(0.0..1.0) < long.share {
                factor *= long.factor;
            }
        }
        factor
    }
}

/// Seeded generator of jobs and of all other random values of a run.
pub struct JobGenerator {
    rng: StdRng,
    last_job: u64,
}

impl JobGenerator {
    /// Creates a generator; the same seed gives the same draws.
    pub fn new(seed: u64) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), last_job: 0 }
    }

    /// Draws the time between two arrivals of a Poisson process, in milliseconds.
    pub fn draw_gap_ms(&mut self, arrivals_per_s: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        (-uniform.ln() / arrivals_per_s.max(1e-6) * 1_000.0) as u64
    }

    /// Draws uniformly from 0 to 1.
    pub fn draw_uniform(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// Draws a value near `mean`, at most `max`.
    fn draw_around(&mut self, mean: f64, spread: f64, max: f64) -> f64 {
        // A product of two uniform draws has a long tail, as the distributions in the request sheets have.
        let (one, two): (f64, f64) = (self.rng.random_range(0.0..1.0), self.rng.random_range(0.0..1.0));
        (mean * (1.0 - spread + 2.0 * spread * one) * (0.6 + 0.8 * two)).min(max)
    }

    /// Generates a job of a kind, given by its index in the load.
    pub fn generate_job(&mut self, load: &Load, kind: usize) -> (Submission, HiddenProperties) {
        self.last_job += 1;
        let params = &load.kinds[kind];
        let count = match params.subtask_range {
            Some((low, high)) => {
                let (low, high) = (f64::from(low), f64::from(high));
                (low * (high / low).powf(self.draw_uniform())).round() as u32
            }
            None => self.draw_around(params.subtasks, 0.8, params.subtasks * 6.0).round().max(1.0) as u32,
        };
        let gang = self.draw_uniform() < params.gang_share && count > 1;
        let choice = self.rng.random_range(0..params.accelerators.len());
        let work_ms = self.draw_around(params.work_ms, WORK_SPREAD, MAX_WORK_MS).max(300.0);
        let estimate_ratio = 1.0 + params.estimate_error * (2.0 * self.draw_uniform() - 1.0);
        let memory_mb = match params.memory_range_mb {
            Some((low, high)) => self.rng.random_range(low..=high),
            None => params.cpu_memory.1,
        };
        let step = Step {
            count,
            resources: Resources::new(params.cpu_memory.0, memory_mb, params.accelerators[choice]),
            estimate_ms: (work_ms * estimate_ratio).max(100.0) as u64,
            saves_progress: self.draw_uniform() < params.saving_share,
            gang,
            prefers_one_rack: gang && self.draw_uniform() < params.one_rack_share,
            ..Step::default()
        };
        let has_second_step = params.priority == 2 && self.draw_uniform() < 0.3;
        let mut steps = vec![step.clone()];
        if has_second_step {
            steps.push(Step { depends_on: vec![0], ..step });
        }
        let mut hidden = HiddenProperties {
            kind,
            work_ms: vec![work_ms as u64; steps.len()],
            always_fails: self.draw_uniform() < params.always_failing_share,
            cancel_after_ms: (self.draw_uniform() < params.cancelled_share)
                .then(|| 500 + (self.draw_uniform() * 8_000.0) as u64),
            seed: 0,
            work_spread: params.work_spread,
            long_runs: load.long_runs,
        };
        let submission = Submission {
            job: format!("{:016x}", self.last_job),
            queue: format!("q{kind}"),
            account: format!("account-{}", self.draw_account(load)),
            spec: params.name.to_owned(),
            steps,
            schedule: None,
            terms: None,
        };
        if hidden.work_spread > 0.0 || hidden.long_runs.is_some() {
            hidden.seed = self.rng.random();
        }
        (submission, hidden)
    }

    /// Draws the number of a client account.
    fn draw_account(&mut self, load: &Load) -> u32 {
        if load.account_skew == 0.0 {
            return self.rng.random_range(0..load.accounts);
        }
        let weight = |account: u32| f64::from(account + 1).powf(-load.account_skew);
        let mut left = self.draw_uniform() * (0..load.accounts).map(weight).sum::<f64>();
        let is_drawn = |account: &u32| {
            left -= weight(*account);
            left < 0.0
        };
        (0..load.accounts).find(is_drawn).unwrap_or(load.accounts - 1)
    }
}
