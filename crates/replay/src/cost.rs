//! Measures how the time of a scheduling pass grows with the numbers of workers, running tasks and waiting
//! jobs.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::plan::propose;
use sorrelland_core::policy::{HOUR_MS, MINUTE_MS, Policy};
use sorrelland_core::shape::{Amount, Shape, Span};
use sorrelland_core::table::{Class, Demand, Placement, Running, Tables, Waiting};
use sorrelland_core::tick::Scheduler;
use sorrelland_core::topology::{Place, Worker};

/// Size of the scheduler tables in one measurement.
#[derive(Clone, Copy, Debug)]
pub struct TableSize {
    /// Number of workers.
    pub workers: usize,
    /// Number of running tasks.
    pub running: usize,
    /// Number of waiting jobs.
    pub waiting: usize,
}

/// Size that the scheduler is designed for.
pub const TARGET_SIZE: TableSize = TableSize { workers: 730, running: 2_500, waiting: 1_000 };

const PASSES_PER_MEASUREMENT: u32 = 20;

/// Measures the mean and maximum time of a scheduling pass.
pub fn measure_pass(size: TableSize) -> (Duration, Duration) {
    let tables = build_tables(size);
    let mut scheduler = Scheduler::new(Policy::new());
    let mut total = Duration::ZERO;
    let mut longest = Duration::ZERO;
    for pass in 0..PASSES_PER_MEASUREMENT {
        let started = Instant::now();
        let actions = scheduler.tick(&tables, 10 * HOUR_MS + u64::from(pass) * 100);
        let elapsed = started.elapsed();
        std::hint::black_box(actions);
        total += elapsed;
        longest = longest.max(elapsed);
    }
    (total / PASSES_PER_MEASUREMENT, longest)
}

fn build_tables(size: TableSize) -> Tables {
    let mut rng = StdRng::seed_from_u64(1);
    let mut tables = Tables::new();
    for index in 0..size.workers {
        let place = Place::new(
            if index * 5 / size.workers < 3 { "region-1" } else { "region-2" },
            &format!("domain-{}", index * 5 / size.workers),
            &format!("rack-{:04}", index / 10),
        );
        let accelerators = if index % 73 == 0 { 2 } else { 1 };
        tables.workers.insert(worker_id(index), Worker::new(place, Amount::new(8, accelerators)));
    }
    for index in 0..170 {
        let guarantee = [Shape::new(if index % 17 == 0 { 8 } else { 2 }, 1, Span::Domain)];
        tables.accounts.insert(account_id(index), Account::default().with_guarantee(&guarantee));
    }
    tables.plan = propose(&tables.accounts, &tables.workers, &tables.plan);
    add_running_jobs(&mut tables, size, &mut rng);
    for index in 0..size.waiting {
        let tasks = [1, 2, 8, 16, 32, 64][rng.random_range(0..6)];
        let demand = random_demand(Shape::new(tasks, 1, Span::Domain), rng.random_range(0..170), &mut rng);
        let since_ms = 10 * HOUR_MS - rng.random_range(0..10 * MINUTE_MS);
        let waiting = Waiting { demand, since_ms, done_ms: 0 };
        tables.waiting.insert(JobId::new(&format!("waiting-{index}")), waiting);
    }
    tables
}

/// Adds gangs of 1 to 8 tasks on consecutive workers until `size.running` tasks run.
///
/// Gangs that start in the first round over the workers use one accelerator per task; later ones use only
/// slots.
fn add_running_jobs(tables: &mut Tables, size: TableSize, rng: &mut StdRng) {
    let mut tasks = 0;
    let mut index = 0;
    while tasks < size.running {
        let start = index % size.workers;
        let gang = rng.random_range(1..=8_usize).min(size.running - tasks);
        let accelerators = u32::from(index < size.workers);
        let placement: Placement = (0..gang).map(|i| (worker_id((start + i) % size.workers), 1)).collect();
        let shape = Shape::new(placement.len() as u32, accelerators, Span::Region);
        let running = Running {
            demand: random_demand(shape, rng.random_range(0..170), rng),
            placement,
            since_ms: 8 * HOUR_MS,
            started_ms: 9 * HOUR_MS + rng.random_range(0..HOUR_MS),
            done_ms: 0,
        };
        tables.running.insert(JobId::new(&format!("running-{index}")), running);
        tasks += gang;
        index += gang;
    }
}

fn random_demand(shape: Shape, account_index: usize, rng: &mut StdRng) -> Demand {
    Demand {
        account: account_id(account_index),
        shape,
        class: Class::Normal,
        declared_ms: rng.random_range(HOUR_MS..6 * HOUR_MS),
        preemptible: true,
    }
}

fn worker_id(index: usize) -> WorkerId {
    WorkerId::new(&format!("worker-{index:04}"))
}

fn account_id(index: usize) -> AccountId {
    AccountId::new(&format!("team-{index:03}"))
}

/// Returns a table of the pass times at the target size, and with one dimension at a time scaled by 2 and
/// by 4.
pub fn scaling_table() -> String {
    let mut lines = vec!["workers  running  waiting     mean  longest".to_owned()];
    let mut sizes = vec![TARGET_SIZE];
    for factor in [2, 4] {
        sizes.push(TableSize { workers: TARGET_SIZE.workers * factor, ..TARGET_SIZE });
        sizes.push(TableSize { running: TARGET_SIZE.running * factor, ..TARGET_SIZE });
        sizes.push(TableSize { waiting: TARGET_SIZE.waiting * factor, ..TARGET_SIZE });
    }
    for size in sizes {
        let (mean, longest) = measure_pass(size);
        lines.push(format!(
            "{:7}  {:7}  {:7}  {:5.2} ms  {:5.2} ms",
            size.workers,
            size.running,
            size.waiting,
            mean.as_secs_f64() * 1e3,
            longest.as_secs_f64() * 1e3,
        ));
    }
    lines.join("\n")
}
