//! A fleet in virtual time that reports the progress of its runs, drawn from a seed.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrelland_forecast::{Forecasts, RunId};

/// Interval at which a worker reports its runs, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 500;

/// Smallest unit of virtual time, in milliseconds.
const STEP_MS: u64 = 50;

/// Queue of all jobs.
pub const QUEUE: &str = "queue";

pub struct Run {
    pub worker: usize,
    pub work_ms: f64,
    pub done_ms: f64,
    pub started_at: u64,
}

impl Run {
    pub fn percent(&self) -> u64 {
        (100.0 * self.done_ms / self.work_ms) as u64
    }
}

pub struct Fleet {
    pub now: u64,
    pub speeds: Vec<f64>,
    /// Incarnation of each worker.
    pub names: Vec<String>,
    pub runs: BTreeMap<RunId, Run>,
    /// Largest relative difference of a subtask's work from that of its step.
    pub spread: f64,
    /// Number of runs of which one takes seven times as long; 0 for none.
    pub one_long_in: u32,
    /// Work of a subtask, in milliseconds at speed 1, drawn from this range for each step.
    pub work_ms: (f64, f64),
    /// Subtasks of a step.
    pub count: u32,
    /// Runs on a worker at a time.
    pub runs_per_worker: usize,
    /// Time from a run's start to each worker's report, in milliseconds.
    phases: Vec<u64>,
    steps: u32,
    rng: StdRng,
}

impl Fleet {
    /// Creates a fleet whose subtasks differ by 30% in work; one run in thirty takes seven times as long.
    pub fn new(seed: u64, speeds: &[f64]) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let phases = speeds.iter().map(|_| rng.random_range(0..REPORT_INTERVAL_MS / STEP_MS) * STEP_MS);
        Self {
            now: 0,
            speeds: speeds.to_vec(),
            names: (0..speeds.len()).map(|worker| format!("w{worker}-1")).collect(),
            runs: BTreeMap::new(),
            spread: 0.3,
            one_long_in: 30,
            work_ms: (3_000.0, 9_000.0),
            count: 12,
            runs_per_worker: 2,
            phases: phases.collect(),
            steps: 0,
            rng,
        }
    }

    /// Starts new steps on random workers while all subtasks of one fit.
    pub fn fill(&mut self) {
        loop {
            let mut used = vec![0; self.speeds.len()];
            self.runs.values().for_each(|run| used[run.worker] += 1);
            let mut free: Vec<usize> =
                (0..used.len()).filter(|worker| used[*worker] < self.runs_per_worker).collect();
            if free.len() < self.count as usize {
                return;
            }
            let work_ms = self.rng.random_range(self.work_ms.0..self.work_ms.1);
            self.steps += 1;
            for index in 0..self.count {
                let worker = free.swap_remove(self.rng.random_range(0..free.len()));
                let factor = 1.0 + self.spread * self.rng.random_range(-1.0..1.0);
                let is_long = self.one_long_in > 0 && self.rng.random_range(0..self.one_long_in) == 0;
                let work_ms = work_ms * factor * if is_long { 7.0 } else { 1.0 };
                let id = RunId { step: (format!("job-{:05}", self.steps), 0, 0), index, run: 1 };
                self.runs.insert(id, Run { worker, work_ms, done_ms: 0.0, started_at: self.now });
            }
        }
    }

    /// Lets the given time pass for the runs and reports them to all forecasts.
    pub fn play(&mut self, ms: u64, forecasts: &mut [&mut Forecasts]) {
        for _ in 0..ms / STEP_MS {
            self.fill();
            self.now += STEP_MS;
            for run in self.runs.values_mut() {
                run.done_ms = (run.done_ms + STEP_MS as f64 * self.speeds[run.worker]).min(run.work_ms);
            }
            let is_due = |worker: usize| (self.now + self.phases[worker]).is_multiple_of(REPORT_INTERVAL_MS);
            let mut ended = Vec::new();
            for (id, run) in self.runs.iter().filter(|(_, run)| is_due(run.worker)) {
                let worker = &self.names[run.worker];
                let is_ended = run.done_ms >= run.work_ms;
                for forecasts in forecasts.iter_mut() {
                    match is_ended {
                        true => {
                            let ran_ms = Some(self.now - run.started_at);
                            forecasts.record_end(worker, id, QUEUE, 6_000, ran_ms);
                        }
                        false => _ = forecasts.record_progress(self.now, worker, id, run.percent()),
                    }
                }
                if is_ended {
                    ended.push(id.clone());
                }
            }
            ended.iter().for_each(|id| _ = self.runs.remove(id));
            for forecasts in forecasts.iter_mut() {
                forecasts.update(self.now);
            }
        }
    }

    /// Returns the speeds that the forecasts should have, in thousandths of the geometric mean.
    pub fn expected_milli(&self) -> Vec<f64> {
        let mean = self.speeds.iter().map(|speed| speed.ln()).sum::<f64>() / self.speeds.len() as f64;
        self.speeds.iter().map(|speed| (speed.ln() - mean).exp() * 1_000.0).collect()
    }

    /// Returns the forecast speed of each worker, in thousandths.
    pub fn forecast_milli(&self, forecasts: &Forecasts) -> Vec<f64> {
        self.names.iter().map(|name| forecasts.speed(name).milli as f64).collect()
    }
}

/// Returns `count` workers with speeds 0.6, 1.0 and 1.6 in turn.
pub fn uneven(count: usize) -> Vec<f64> {
    (0..count).map(|worker| [0.6, 1.0, 1.6][worker % 3]).collect()
}

/// Returns the value of the given rank, from 0 to 1.
pub fn rank(values: &[f64], rank: f64) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * rank).round() as usize]
}
