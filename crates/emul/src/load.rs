//! Loads after the users' request sheets.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrelland_fleet::Resources;
use sorrelland_fleet::job::{Step, Submission};

/// A kind of job.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name in the sheet.
    pub name: &'static str,
    /// Jobs a second.
    pub per_s: f64,
    /// Urgency of its queue.
    pub priority: u32,
    /// Worth in time, and when late.
    pub worth: (f64, f64),
    /// Mean work of a subtask, in milliseconds.
    pub work_ms: f64,
    /// Mean number of subtasks.
    pub width: f64,
    /// Room of a subtask, without accelerators.
    pub room: (i64, i64),
    /// Accelerators of a subtask, one is drawn.
    pub accelerators: &'static [i64],
    /// Share of the jobs that are gangs; most of them want one rack.
    pub gang: f64,
    /// Share of the steps that save progress.
    pub saves: f64,
    /// Spread of the estimates, as a share.
    pub estimate_off: f64,
    /// Share of the runs that fail.
    pub errors: f64,
    /// Share of the jobs that can never be done.
    pub poison: f64,
    /// Share of the jobs that are cancelled.
    pub cancels: f64,
    /// Stretch of the target, in thousandths.
    pub stretch_milli: u64,
    /// Time that is added to the target, in milliseconds.
    pub full_value_ms: u64,
    /// Failed runs after which a job is given up.
    pub max_attempts: u32,
}

/// A deployment's load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Name of the deployment.
    pub name: &'static str,
    /// Kinds of jobs.
    pub kinds: Vec<Kind>,
    /// Longest time of a stop, in milliseconds.
    pub stop_ms: u64,
}

const WIDE: &[i64] = &[1, 2, 4, 8, 8];

/// Returns the load of a deployment of this milestone by name: `hpms` or `cmsc`.
pub fn by_name(name: &str) -> Option<Load> {
    let reprice = Kind {
        name: "reprice",
        per_s: 0.509,
        priority: 1,
        worth: (3.0, 0.9),
        work_ms: 6_800.0,
        width: 1.5,
        room: (52_000, 110_000),
        accelerators: WIDE,
        gang: 0.5,
        saves: 0.45,
        estimate_off: 0.5,
        errors: 0.05,
        poison: 0.03,
        cancels: 0.05,
        stretch_milli: 3_000,
        full_value_ms: 1_000,
        max_attempts: 4,
    };
    let window = Kind {
        name: "window",
        per_s: 0.298,
        priority: 0,
        worth: (4.0, 0.8),
        work_ms: 2_500.0,
        width: 3.4,
        room: (15_000, 30_992),
        gang: 0.6,
        saves: 0.0,
        estimate_off: 0.2,
        errors: 0.02,
        poison: 0.0,
        cancels: 0.0,
        stretch_milli: 1_500,
        full_value_ms: 250,
        max_attempts: 2,
        accelerators: WIDE,
    };
    let spares = Kind {
        name: "spares",
        per_s: 0.246,
        priority: 2,
        worth: (1.0, 0.3),
        work_ms: 6_100.0,
        width: 9.2,
        room: (11_000, 22_992),
        accelerators: &[1],
        gang: 0.0,
        saves: 0.45,
        estimate_off: 0.2,
        errors: 0.02,
        poison: 0.03,
        cancels: 0.15,
        stretch_milli: 3_000,
        full_value_ms: 3_000,
        max_attempts: 4,
    };
    match name {
        "hpms" => Some(Load { name: "hpms", kinds: vec![reprice, window, spares], stop_ms: 400 }),
        "cmsc" => {
            let render = Kind {
                name: "render",
                per_s: 0.456,
                worth: (3.0, 1.5),
                work_ms: 8_500.0,
                room: (52_000, 140_000),
                estimate_off: 0.9,
                errors: 0.005,
                poison: 0.0,
                ..reprice
            };
            let check =
                Kind { name: "check", per_s: 0.382, width: 3.0, errors: 0.05, max_attempts: 4, ..window };
            let proof = Kind {
                name: "proof",
                per_s: 0.22,
                worth: (1.0, 0.5),
                work_ms: 7_600.0,
                estimate_off: 0.9,
                errors: 0.005,
                max_attempts: 2,
                ..spares
            };
            Some(Load { name: "cmsc", kinds: vec![render, check, proof], stop_ms: 900 })
        }
        _ => None,
    }
}

/// What is true of a job and the planner isn't told.
#[derive(Clone, Debug)]
pub struct Truth {
    /// Index of its kind.
    pub kind: usize,
    /// True work of each step's subtasks, in milliseconds.
    pub work_ms: Vec<u64>,
    /// Whether every run fails.
    pub poison: bool,
    /// Time after which the caller cancels, in milliseconds.
    pub cancel_after_ms: Option<u64>,
}

/// Draws jobs.
pub struct Source {
    rng: StdRng,
    next: u64,
}

impl Source {
    /// Creates a source; the same seed gives the same jobs.
    pub fn new(seed: u64) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), next: 0 }
    }

    /// Returns the time to the next job of a kind at a multiple of its rate, in milliseconds.
    pub fn gap_ms(&mut self, per_s: f64) -> u64 {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        (-draw.ln() / per_s.max(1e-6) * 1_000.0) as u64
    }

    /// Returns a draw between 0 and 1.
    pub fn chance(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    fn around(&mut self, mean: f64, spread: f64, most: f64) -> f64 {
        // A product of two draws has the long tail that the sheets' spreads have.
        let (one, two): (f64, f64) = (self.rng.random_range(0.0..1.0), self.rng.random_range(0.0..1.0));
        (mean * (1.0 - spread + 2.0 * spread * one) * (0.6 + 0.8 * two)).min(most)
    }

    /// Draws a job of a kind.
    pub fn job(&mut self, load: &Load, kind: usize) -> (Submission, Truth) {
        self.next += 1;
        let of = &load.kinds[kind];
        let count = self.around(of.width, 0.8, of.width * 6.0).round().max(1.0) as u32;
        let gang = self.chance() < of.gang && count > 1;
        let pick = self.rng.random_range(0..of.accelerators.len());
        let work_ms = self.around(of.work_ms, 0.5, 11_000.0).max(300.0);
        let off = 1.0 + of.estimate_off * (2.0 * self.chance() - 1.0);
        let step = Step {
            count,
            resources: Resources::new(of.room.0, of.room.1, of.accelerators[pick]),
            estimate_ms: (work_ms * off).max(100.0) as u64,
            saves_progress: self.chance() < of.saves,
            gang,
            prefers_one_rack: gang && self.chance() < 0.7,
            ..Step::default()
        };
        let second = of.priority == 2 && self.chance() < 0.3;
        let mut steps = vec![step.clone()];
        if second {
            steps.push(Step { depends_on: vec![0], ..step });
        }
        let truth = Truth {
            kind,
            work_ms: vec![work_ms as u64; steps.len()],
            poison: self.chance() < of.poison,
            cancel_after_ms: (self.chance() < of.cancels).then(|| 500 + (self.chance() * 8_000.0) as u64),
        };
        let sub = Submission {
            job: format!("{:016x}", self.next),
            queue: format!("q{kind}"),
            account: format!("account-{}", self.rng.random_range(0..4)),
            spec: of.name.to_owned(),
            steps,
            schedule: None,
        };
        (sub, truth)
    }
}
