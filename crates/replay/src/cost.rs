//! The cost of one pass against workers, running jobs and queue length.

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

/// Size of the tables in one measurement.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Workers.
    pub workers: usize,
    /// Tasks that run.
    pub running: usize,
    /// Jobs that wait.
    pub waiting: usize,
}

/// The target size.
pub const TARGET: Size = Size { workers: 730, running: 2_500, waiting: 1_000 };

/// Passes of one measurement.
const PASSES: u32 = 20;

/// Returns the mean and the longest time of one pass.
pub fn measure(size: Size) -> (Duration, Duration) {
    let tables = tables(size);
    let mut scheduler = Scheduler::new(Policy::new());
    let mut total = Duration::ZERO;
    let mut longest = Duration::ZERO;
    for pass in 0..PASSES {
        let started = Instant::now();
        let actions = scheduler.tick(&tables, 10 * HOUR_MS + u64::from(pass) * 100);
        let elapsed = started.elapsed();
        std::hint::black_box(actions);
        total += elapsed;
        longest = longest.max(elapsed);
    }
    (total / PASSES, longest)
}

fn tables(size: Size) -> Tables {
    let mut rng = StdRng::seed_from_u64(1);
    let mut tables = Tables::new();
    for at in 0..size.workers {
        let place = Place::new(
            if at * 5 / size.workers < 3 { "region-1" } else { "region-2" },
            &format!("domain-{}", at * 5 / size.workers),
            &format!("rack-{:04}", at / 10),
        );
        let accelerators = if at % 73 == 0 { 2 } else { 1 };
        tables.workers.insert(worker(at), Worker::new(place, Amount::new(8, accelerators)));
    }
    for at in 0..170 {
        let guarantee = [Shape::new(if at % 17 == 0 { 8 } else { 2 }, 1, Span::Domain)];
        tables.accounts.insert(account(at), Account::default().with_guarantee(&guarantee));
    }
    tables.plan = propose(&tables.accounts, &tables.workers, &tables.plan);
    fill(&mut tables, size, &mut rng);
    for at in 0..size.waiting {
        let tasks = [1, 2, 8, 16, 32, 64][rng.random_range(0..6)];
        let demand = demand(Shape::new(tasks, 1, Span::Domain), rng.random_range(0..170), &mut rng);
        let since_ms = 10 * HOUR_MS - rng.random_range(0..10 * MINUTE_MS);
        let waiting = Waiting { demand, since_ms, done_ms: 0 };
        tables.waiting.insert(JobId::new(&format!("waiting-{at}")), waiting);
    }
    tables
}

/// Fills every accelerator and as many plain slots as there are running tasks left.
fn fill(tables: &mut Tables, size: Size, rng: &mut StdRng) {
    let mut tasks = 0;
    let mut at = 0;
    while tasks < size.running {
        let first = at % size.workers;
        let gang = rng.random_range(1..=8_usize).min(size.running - tasks);
        let accelerators = u32::from(at < size.workers);
        let placement: Placement = (0..gang).map(|more| (worker((first + more) % size.workers), 1)).collect();
        let shape = Shape::new(placement.len() as u32, accelerators, Span::Region);
        let running = Running {
            demand: demand(shape, rng.random_range(0..170), rng),
            placement,
            since_ms: 8 * HOUR_MS,
            started_ms: 9 * HOUR_MS + rng.random_range(0..HOUR_MS),
            done_ms: 0,
        };
        tables.running.insert(JobId::new(&format!("running-{at}")), running);
        tasks += gang;
        at += gang;
    }
}

fn demand(shape: Shape, of: usize, rng: &mut StdRng) -> Demand {
    Demand {
        account: account(of),
        shape,
        class: Class::Normal,
        declared_ms: rng.random_range(HOUR_MS..6 * HOUR_MS),
        preemptible: true,
    }
}

fn worker(at: usize) -> WorkerId {
    WorkerId::new(&format!("worker-{at:04}"))
}

fn account(at: usize) -> AccountId {
    AccountId::new(&format!("team-{at:03}"))
}

/// Returns a table of the cost at the target size and at twice and four times each dimension.
pub fn slopes() -> String {
    let mut lines = vec!["workers  running  waiting     mean  longest".to_owned()];
    let mut sizes = vec![TARGET];
    for factor in [2, 4] {
        sizes.push(Size { workers: TARGET.workers * factor, ..TARGET });
        sizes.push(Size { running: TARGET.running * factor, ..TARGET });
        sizes.push(Size { waiting: TARGET.waiting * factor, ..TARGET });
    }
    for size in sizes {
        let (mean, longest) = measure(size);
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
