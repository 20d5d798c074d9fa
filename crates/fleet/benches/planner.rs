//! Cost of the planner's parts on a full fleet, by number of workers and of waiting gangs.
//!
//! `cargo bench -p sorrelland-fleet`; docs/CAPACITY.md has the table.

use std::collections::BTreeMap;
use std::sync::Arc;

use divan::Bencher;
use sorrelland_fleet::desired::{Account, Address, Desired, Queue, Service};
use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::planner::{Planner, Timing};
use sorrelland_fleet::report::{Report, Running, WorkerInfo};
use sorrelland_fleet::{Resources, Task};

/// Workers, and gangs that wait.
const SIZES: [(usize, usize); 6] = [(70, 10), (160, 10), (160, 50), (300, 100), (730, 100), (730, 500)];

const WORKERS: [usize; 4] = [70, 160, 300, 730];

const WORKERS_PER_RACK: usize = 13;

/// Runs on each worker, which together hold all its accelerators: about 2,900 at 730 workers.
const RUNS_PER_WORKER: usize = 4;

const TIMING: Timing = Timing {
    grant_ms: 4_800,
    stop_ms: 400,
    unreported_ms: 11_000,
    ended_retention_ms: 240_000,
    reclaim_ms: 2_900,
    remote_factor_milli: 3_000,
};

fn main() {
    divan::main();
}

fn desired() -> Arc<Desired> {
    let queue = |name: &str, priority: u32, stretch_milli: u64, full_value_ms: u64| Queue {
        name: name.to_owned(),
        address: Address { host: "shop.example".to_owned(), path_prefix: format!("/{name}/") },
        service: "svc".to_owned(),
        priority,
        max_attempts: 4,
        stretch_milli,
        full_value_ms,
        ..Queue::default()
    };
    Arc::new(Desired {
        version: 1,
        queues: vec![
            queue("urgent", 0, 1_500, 250),
            queue("plain", 1, 3_000, 1_000),
            queue("low", 2, 3_000, 3_000),
        ],
        services: [("svc".to_owned(), Service::default())].into(),
        accounts: [("account".to_owned(), Account { guaranteed_accelerators: 16 })].into(),
        keys: BTreeMap::new(),
    })
}

fn report(worker: usize, seq: u64, running: &[(Task, u64)]) -> Report {
    let running = running.iter().map(|(task, run)| Running {
        task: task.clone(),
        run: *run,
        saved: String::new(),
        percent: 20,
        measurement: 0,
    });
    Report {
        agent: format!("agent-{worker:04}"),
        agent_incarnation: 1,
        seq,
        worker: Some(WorkerInfo {
            incarnation: format!("worker-{worker:04}"),
            service: "svc".to_owned(),
            labels: vec!["a".to_owned(), format!("r{:03}", worker / WORKERS_PER_RACK)],
            capacity: Resources::new(128_000, 524_288, 8),
            ..WorkerInfo::default()
        }),
        running: running.collect(),
        ..Report::default()
    }
}

/// A planner whose workers are full, and the runs of each worker.
struct Fleet {
    planner: Planner,
    now: u64,
    runs: Vec<Vec<(Task, u64)>>,
}

impl Fleet {
    fn new(workers: usize, waiting: usize) -> Self {
        let mut planner = Planner::new(TIMING, desired(), Vec::new(), 0);
        let mut now = 1_000;
        for worker in 0..workers {
            planner.apply_report(now, now, now, &report(worker, 1, &[]));
        }
        let accelerators = 8 / RUNS_PER_WORKER as i64;
        for job in 0..workers * RUNS_PER_WORKER / 20 {
            let step = Step {
                count: 20,
                resources: Resources::new(11_000, 33_000, accelerators),
                estimate_ms: 60_000,
                saves_progress: job % 2 == 0,
                ..Step::default()
            };
            submit(&mut planner, now, &format!("{job:016x}"), "low", step);
        }
        tick_and_store(&mut planner, now);
        let mut runs = Vec::new();
        now += 500;
        for worker in 0..workers {
            let assigned = planner.assignments(now, &format!("agent-{worker:04}"));
            let starts = assigned.into_iter().flat_map(|assigned| assigned.starts);
            runs.push(starts.map(|start| (start.task, start.run)).collect::<Vec<_>>());
        }
        for (worker, running) in runs.iter().enumerate() {
            planner.apply_report(now, now, now, &report(worker, 2, running));
        }
        for gang in 0..waiting {
            let (queue, count, accelerators, estimate_ms) =
                if gang % 3 == 0 { ("urgent", 5, 4, 2_500) } else { ("plain", 13, 4, 8_500) };
            let step = Step {
                count,
                resources: Resources::new(15_000, 44_000, accelerators),
                estimate_ms,
                gang: true,
                prefers_one_rack: true,
                ..Step::default()
            };
            submit(&mut planner, now, &format!("{:016x}", 0xf000_0000 + gang), queue, step);
        }
        Self { planner, now, runs }
    }

    /// Returns the same fleet at the time when the urgent gangs are due, so that a pass searches for runs to stop.
    fn due(workers: usize, waiting: usize) -> Self {
        let mut fleet = Self::new(workers, waiting);
        fleet.now += 1_000;
        fleet
    }
}

fn submit(planner: &mut Planner, now: u64, job: &str, queue: &str, step: Step) {
    let sub = Submission {
        job: job.to_owned(),
        queue: queue.to_owned(),
        account: "account".to_owned(),
        steps: vec![step],
        ..Submission::default()
    };
    planner.submit(now, now, &sub);
}

fn tick_and_store(planner: &mut Planner, now: u64) {
    planner.tick(now, now);
    while let Some((_, change)) = planner.take_changes() {
        planner.record_stored(change);
    }
    planner.take_log();
}

/// A pass in which some gangs are due, so that it searches for runs to stop.
#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn pass_with_preemption(bencher: Bencher<'_, '_>, (workers, waiting): (usize, usize)) {
    bencher
        .with_inputs(|| Fleet::due(workers, waiting))
        .bench_local_refs(|fleet| fleet.planner.tick(fleet.now, fleet.now));
}

/// A pass that finds nothing to do for the gangs that wait.
#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn pass_without_change(bencher: Bencher<'_, '_>, (workers, waiting): (usize, usize)) {
    bencher
        .with_inputs(|| {
            let mut fleet = Fleet::new(workers, waiting);
            tick_and_store(&mut fleet.planner, fleet.now);
            fleet
        })
        .bench_local_refs(|fleet| fleet.planner.tick(fleet.now, fleet.now));
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn queue_order(bencher: Bencher<'_, '_>, (workers, waiting): (usize, usize)) {
    let fleet = Fleet::due(workers, waiting);
    bencher.bench_local(|| fleet.planner.candidates(fleet.now, fleet.now));
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn admission_of_one_job(bencher: Bencher<'_, '_>, (workers, waiting): (usize, usize)) {
    let step = Step {
        count: 13,
        resources: Resources::new(52_000, 210_000, 4),
        estimate_ms: 8_500,
        gang: true,
        ..Step::default()
    };
    bencher
        .with_inputs(|| Fleet::new(workers, waiting))
        .bench_local_refs(|fleet| submit(&mut fleet.planner, fleet.now, "new", "plain", step.clone()));
}

#[divan::bench(args = WORKERS, sample_count = 50, sample_size = 1)]
fn report_in(bencher: Bencher<'_, '_>, workers: usize) {
    let mut fleet = Fleet::new(workers, 10);
    let mut seq = 2;
    bencher
        .with_inputs(|| {
            seq += 1;
            report(0, seq, &fleet.runs[0])
        })
        .bench_local_refs(|report| fleet.planner.apply_report(fleet.now, fleet.now, fleet.now, report));
}

#[divan::bench(args = WORKERS, sample_count = 50, sample_size = 1)]
fn assignments_out(bencher: Bencher<'_, '_>, workers: usize) {
    let mut fleet = Fleet::new(workers, 10);
    bencher.bench_local(|| fleet.planner.assignments(fleet.now, "agent-0000"));
}

/// The records of a job of 20 subtasks that has changed.
#[divan::bench(sample_count = 50, sample_size = 1)]
fn records_of_one_job(bencher: Bencher<'_, '_>) {
    bencher
        .with_inputs(|| {
            let mut fleet = Fleet::new(70, 0);
            tick_and_store(&mut fleet.planner, fleet.now);
            fleet.planner.cancel(fleet.now, fleet.now, "0000000000000001");
            fleet
        })
        .bench_local_refs(|fleet| fleet.planner.take_changes());
}
