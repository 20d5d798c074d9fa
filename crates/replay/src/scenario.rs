//! Generates the workloads for replays.

use std::collections::BTreeMap;

use derive_more::{Display, FromStr};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::policy::{HOUR_MS, MINUTE_MS, Millis, Policy, SECOND_MS};
use sorrelland_core::shape::{Amount, Shape, Span};
use sorrelland_core::table::{Class, Demand};
use sorrelland_core::topology::{Place, Worker};

/// Name of a generated workload.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum ScenarioName {
    /// Order-hosting site on a small fleet; the policy favours completion time.
    #[display("haiphong")]
    Haiphong,
    /// Site shared by several shops on a small fleet; the policy favours low fragmentation, so that large
    /// gangs fit.
    #[display("consortium")]
    Consortium,
    /// Fleet of the size that the scheduler is designed for.
    #[display("fleet")]
    Fleet,
}

/// Job of a generated trace.
#[derive(Clone, Debug)]
pub struct TraceJob {
    pub id: JobId,
    /// Arrival time.
    pub arrival_ms: Millis,
    pub demand: Demand,
    /// Run time, which the declared run time only approximates.
    pub actual_ms: Millis,
}

/// Temporary outage of a set of workers.
#[derive(Clone, Debug)]
pub struct Outage {
    pub workers: Vec<WorkerId>,
    pub from_ms: Millis,
    pub until_ms: Millis,
    /// Whether the workers stay reachable but fail all work, instead of being lost.
    pub fails_everything: bool,
}

/// Fleet, client accounts and a trace of one day.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub workers: BTreeMap<WorkerId, Worker>,
    pub accounts: BTreeMap<AccountId, Account>,
    /// Jobs in order of arrival.
    pub jobs: Vec<TraceJob>,
    /// Cancellation waves: the time, and the jobs that are cancelled if they still wait.
    pub cancel_waves: Vec<(Millis, Vec<JobId>)>,
    pub outages: Vec<Outage>,
    /// Scheduling policy of the site.
    pub policy: Policy,
}

const TRACE_LENGTH_MS: Millis = 24 * HOUR_MS;

/// Maximum ratio of declared to actual run time, and of actual to declared.
const MAX_DECLARATION_ERROR_FACTOR: f64 = 10.0;

/// Generates a scenario. Equal seeds give equal scenarios.
pub fn generate(name: ScenarioName, seed: u64) -> Scenario {
    let builder = ScenarioBuilder { rng: StdRng::seed_from_u64(seed), jobs: Vec::new() };
    match name {
        ScenarioName::Haiphong => builder.haiphong(),
        ScenarioName::Consortium => builder.consortium(),
        ScenarioName::Fleet => builder.fleet(),
    }
}

struct ScenarioBuilder {
    rng: StdRng,
    jobs: Vec<TraceJob>,
}

/// Parameters that jobs of one kind are drawn from; `run_ms` is the inclusive range of run times.
struct JobKind<'a> {
    shapes: &'a [Shape],
    run_ms: (Millis, Millis),
    class: Class,
    preemptible: bool,
}

impl ScenarioBuilder {
    fn haiphong(mut self) -> Scenario {
        let accounts = guaranteed_accounts(&[
            ("port-a", 2, 8),
            ("port-b", 1, 8),
            ("chandler-c", 1, 4),
            ("chandler-d", 1, 2),
        ]);
        let large_gangs = JobKind {
            shapes: &[
                Shape::new(2, 8, Span::Rack),
                Shape::new(3, 8, Span::Rack),
                Shape::new(1, 8, Span::Worker),
            ],
            run_ms: (40 * MINUTE_MS, 3 * HOUR_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let short_jobs = JobKind {
            shapes: &[Shape::new(1, 1, Span::Worker), Shape::new(1, 2, Span::Worker)],
            run_ms: (MINUTE_MS, 10 * MINUTE_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let batch_jobs = JobKind {
            shapes: &[Shape::new(1, 4, Span::Worker), Shape::new(2, 2, Span::Rack)],
            run_ms: (10 * MINUTE_MS, 45 * MINUTE_MS),
            class: Class::Batch,
            preemptible: true,
        };
        let pinned_jobs =
            JobKind { preemptible: false, ..JobKind { shapes: short_jobs.shapes, ..short_jobs } };
        let names = ["port-a", "port-b", "chandler-c", "chandler-d"];
        self.add_uniform(&names, &large_gangs, 22);
        self.add_uniform(&names, &short_jobs, 420);
        self.add_uniform(&names, &pinned_jobs, 60);
        self.add_uniform(&names, &batch_jobs, 110);
        for burst in 0..4 {
            let start_ms = (4 + 5 * burst) * HOUR_MS;
            self.add_burst(&names, &short_jobs, start_ms, 90);
            self.add_burst(&names, &batch_jobs, start_ms, 20);
            self.add_burst(&names, &large_gangs, start_ms, 5);
        }
        self.add_urgent(&names, 24);
        self.build(small_fleet(), accounts, Policy::new())
    }

    fn consortium(mut self) -> Scenario {
        let accounts =
            guaranteed_accounts(&[("shop-a", 2, 8), ("shop-b", 1, 8), ("shop-c", 1, 8), ("shop-d", 1, 4)]);
        let large_gangs = JobKind {
            shapes: &[Shape::new(3, 8, Span::Rack), Shape::new(2, 8, Span::Rack)],
            run_ms: (20 * MINUTE_MS, 90 * MINUTE_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let medium_jobs = JobKind {
            shapes: &[Shape::new(1, 8, Span::Worker), Shape::new(1, 4, Span::Worker)],
            run_ms: (10 * MINUTE_MS, 40 * MINUTE_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let short_jobs = JobKind {
            shapes: &[Shape::new(1, 1, Span::Worker)],
            run_ms: (MINUTE_MS, 8 * MINUTE_MS),
            class: Class::Batch,
            preemptible: true,
        };
        let names = ["shop-a", "shop-b", "shop-c", "shop-d"];
        self.add_uniform(&names, &large_gangs, 28);
        self.add_uniform(&names, &medium_jobs, 110);
        self.add_uniform(&names, &short_jobs, 900);
        for burst in 0..4 {
            let start_ms = (3 + 5 * burst) * HOUR_MS;
            self.add_burst(&names, &short_jobs, start_ms, 150);
            self.add_burst(&names, &large_gangs, start_ms, 6);
        }
        self.add_urgent(&names, 24);
        self.build(small_fleet(), accounts, Policy::new().with_fragmentation_first())
    }

    fn fleet(mut self) -> Scenario {
        let mut accounts: BTreeMap<AccountId, Account> = BTreeMap::new();
        for index in 0..170 {
            let tasks = if index % 17 == 0 { 8 } else { 2 };
            let guarantee = [Shape::new(tasks, 1, Span::Domain)];
            accounts.insert(
                AccountId::new(&format!("team-{index:03}")),
                Account::default().with_guarantee(&guarantee),
            );
        }
        let names: Vec<String> = accounts.keys().map(ToString::to_string).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let large_gangs = JobKind {
            shapes: &[
                Shape::new(8, 1, Span::Domain),
                Shape::new(16, 1, Span::Domain),
                Shape::new(32, 1, Span::Domain),
                Shape::new(64, 1, Span::Domain),
            ],
            run_ms: (HOUR_MS, 6 * HOUR_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let small_gangs = JobKind {
            shapes: &[
                Shape::new(1, 1, Span::Worker),
                Shape::new(2, 1, Span::Rack),
                Shape::new(4, 1, Span::Rack),
            ],
            run_ms: (30 * MINUTE_MS, 8 * HOUR_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let cpu_gangs = JobKind {
            shapes: &[Shape::new(16, 0, Span::Region), Shape::new(48, 0, Span::Region)],
            run_ms: (2 * HOUR_MS, 8 * HOUR_MS),
            class: Class::Batch,
            preemptible: true,
        };
        self.add_uniform(&names, &large_gangs, 110);
        self.add_uniform(&names, &small_gangs, 330);
        self.add_uniform(&names, &cpu_gangs, 180);
        for burst in 0..2 {
            let start_ms = (6 + 8 * burst) * HOUR_MS;
            self.add_burst(&names, &small_gangs, start_ms, 60);
            self.add_burst(&names, &large_gangs, start_ms, 13);
        }
        self.add_urgent(&names, 24);
        self.build(large_fleet(), accounts, Policy::new())
    }

    fn add_uniform(&mut self, accounts: &[&str], kind: &JobKind<'_>, count: usize) {
        for _ in 0..count {
            let arrival_ms = self.rng.random_range(0..TRACE_LENGTH_MS);
            self.add_job(accounts, kind, arrival_ms);
        }
    }

    fn add_burst(&mut self, accounts: &[&str], kind: &JobKind<'_>, start_ms: Millis, count: usize) {
        for _ in 0..count {
            let arrival_ms = start_ms + self.rng.random_range(0..5 * MINUTE_MS);
            self.add_job(accounts, kind, arrival_ms);
        }
    }

    fn add_urgent(&mut self, accounts: &[&str], count: usize) {
        let kind = JobKind {
            shapes: &[Shape::new(1, 1, Span::Worker)],
            run_ms: (30 * SECOND_MS, 3 * MINUTE_MS),
            class: Class::Urgent,
            preemptible: true,
        };
        self.add_uniform(accounts, &kind, count);
    }

    fn add_job(&mut self, accounts: &[&str], kind: &JobKind<'_>, arrival_ms: Millis) {
        let account = accounts[self.rng.random_range(0..accounts.len())];
        let shape = kind.shapes[self.rng.random_range(0..kind.shapes.len())];
        let actual_ms = self.rng.random_range(kind.run_ms.0..=kind.run_ms.1);
        let error_factor = MAX_DECLARATION_ERROR_FACTOR.powf(self.rng.random_range(-1.0..1.0));
        let demand = Demand {
            account: account.into(),
            shape,
            class: kind.class,
            declared_ms: (actual_ms as f64 * error_factor) as Millis,
            preemptible: kind.preemptible,
        };
        let id = JobId::new(&format!("job-{:05}", self.jobs.len()));
        self.jobs.push(TraceJob { id, arrival_ms, demand, actual_ms });
    }

    fn build(
        mut self,
        workers: BTreeMap<WorkerId, Worker>,
        accounts: BTreeMap<AccountId, Account>,
        policy: Policy,
    ) -> Scenario {
        let cancel_waves = vec![(9 * HOUR_MS + 10 * MINUTE_MS, self.jobs_to_cancel())];
        let worker_ids: Vec<WorkerId> = workers.keys().cloned().collect();
        let rack_place = workers[&worker_ids[worker_ids.len() / 2]].place.clone();
        let rack_workers = workers.iter().filter(|(_, w)| w.place == rack_place).map(|(id, _)| id.clone());
        let outages = vec![
            Outage {
                workers: rack_workers.collect(),
                from_ms: 15 * HOUR_MS,
                until_ms: 16 * HOUR_MS,
                fails_everything: false,
            },
            Outage {
                workers: vec![worker_ids[0].clone()],
                from_ms: 11 * HOUR_MS,
                until_ms: 11 * HOUR_MS + 30 * MINUTE_MS,
                fails_everything: true,
            },
        ];
        self.jobs.sort_by_key(|job| (job.arrival_ms, job.id.clone()));
        Scenario { workers, accounts, jobs: self.jobs, cancel_waves, outages, policy }
    }

    /// Returns every seventh job that arrives from 8:00 until the cancellation wave at 9:10. The window covers
    /// the burst at 9:00 in `haiphong` and at 8:00 in `consortium`; `fleet` has none in it.
    fn jobs_to_cancel(&self) -> Vec<JobId> {
        let in_window =
            |job: &&TraceJob| (8 * HOUR_MS..9 * HOUR_MS + 10 * MINUTE_MS).contains(&job.arrival_ms);
        self.jobs.iter().filter(in_window).step_by(7).map(|job| job.id.clone()).collect()
    }
}

fn guaranteed_accounts(rows: &[(&str, u32, u32)]) -> BTreeMap<AccountId, Account> {
    let account = |&(name, count, accelerators): &(&str, u32, u32)| {
        let guarantee = vec![Shape::new(1, accelerators, Span::Worker); count as usize];
        (AccountId::new(name), Account::default().with_guarantee(&guarantee))
    };
    rows.iter().map(account).collect()
}

/// Returns 11 workers with 8 accelerators each, 3 per rack and 6 per failure domain.
fn small_fleet() -> BTreeMap<WorkerId, Worker> {
    let worker = |index: usize| {
        let place = Place::new("region-1", &format!("domain-{}", index / 6), &format!("rack-{}", index / 3));
        (WorkerId::new(&format!("worker-{index:03}")), Worker::new(place, Amount::new(8, 8)))
    };
    (0..11).map(worker).collect()
}

/// Returns 730 workers with 740 accelerators in 2 regions and 5 failure domains.
pub fn large_fleet() -> BTreeMap<WorkerId, Worker> {
    let worker = |index: usize| {
        let domain = index / 146;
        let region = if domain < 3 { "region-1" } else { "region-2" };
        let place = Place::new(region, &format!("domain-{domain}"), &format!("rack-{:03}", index / 10));
        let accelerators = if index.is_multiple_of(73) { 2 } else { 1 };
        (WorkerId::new(&format!("worker-{index:03}")), Worker::new(place, Amount::new(8, accelerators)))
    };
    (0..730).map(worker).collect()
}
