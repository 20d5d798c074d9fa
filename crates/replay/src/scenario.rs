//! Generated workloads.

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

/// A workload by name.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Name {
    /// Order hosting: completion time first.
    #[display("haiphong")]
    Haiphong,
    /// Shared shops: whole large shapes first.
    #[display("consortium")]
    Consortium,
    /// The target size.
    #[display("fleet")]
    Fleet,
}

/// A job of the trace.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// Name of the job.
    pub id: JobId,
    /// When it arrives.
    pub at_ms: Millis,
    /// What it asks for.
    pub demand: Demand,
    /// How long it really runs.
    pub actual_ms: Millis,
}

/// Workers that are away for a while.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Workers.
    pub workers: Vec<WorkerId>,
    /// From when.
    pub from_ms: Millis,
    /// Until when.
    pub until_ms: Millis,
    /// Whether they are there but fail everything, instead of being lost.
    pub fails_everything: bool,
}

/// A fleet, its accounts and a day of work.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Workers.
    pub workers: BTreeMap<WorkerId, Worker>,
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Jobs in order of arrival.
    pub jobs: Vec<TraceJob>,
    /// Cancellation waves: when, and which jobs if they still wait.
    pub cancels: Vec<(Millis, Vec<JobId>)>,
    /// Outages.
    pub outages: Vec<Outage>,
    /// Policy of the site.
    pub policy: Policy,
}

/// Length of the trace.
const DAY_MS: Millis = 24 * HOUR_MS;

/// Largest factor by which a declaration is off, either way.
const DECLARATION_ERROR: f64 = 10.0;

/// Generates a scenario; the same seed gives the same scenario.
pub fn generate(name: Name, seed: u64) -> Scenario {
    let maker = Maker { rng: StdRng::seed_from_u64(seed), jobs: Vec::new() };
    match name {
        Name::Haiphong => maker.haiphong(),
        Name::Consortium => maker.consortium(),
        Name::Fleet => maker.fleet(),
    }
}

struct Maker {
    rng: StdRng,
    jobs: Vec<TraceJob>,
}

/// A kind of job: its shapes, run times and class.
struct Kind<'a> {
    shapes: &'a [Shape],
    run_ms: (Millis, Millis),
    class: Class,
    preemptible: bool,
}

impl Maker {
    fn haiphong(mut self) -> Scenario {
        let accounts =
            accounts(&[("port-a", 2, 8), ("port-b", 1, 8), ("chandler-c", 1, 4), ("chandler-d", 1, 2)]);
        let reprice = Kind {
            shapes: &[
                Shape::new(2, 8, Span::Rack),
                Shape::new(3, 8, Span::Rack),
                Shape::new(1, 8, Span::Worker),
            ],
            run_ms: (40 * MINUTE_MS, 3 * HOUR_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let windows = Kind {
            shapes: &[Shape::new(1, 1, Span::Worker), Shape::new(1, 2, Span::Worker)],
            run_ms: (MINUTE_MS, 10 * MINUTE_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let parts = Kind {
            shapes: &[Shape::new(1, 4, Span::Worker), Shape::new(2, 2, Span::Rack)],
            run_ms: (10 * MINUTE_MS, 45 * MINUTE_MS),
            class: Class::Batch,
            preemptible: true,
        };
        let pinned = Kind { preemptible: false, ..Kind { shapes: windows.shapes, ..windows } };
        let names = ["port-a", "port-b", "chandler-c", "chandler-d"];
        self.steady(&names, &reprice, 22);
        self.steady(&names, &windows, 420);
        self.steady(&names, &pinned, 60);
        self.steady(&names, &parts, 110);
        for burst in 0..4 {
            let at_ms = (4 + 5 * burst) * HOUR_MS;
            self.burst(&names, &windows, at_ms, 90);
            self.burst(&names, &parts, at_ms, 20);
            self.burst(&names, &reprice, at_ms, 5);
        }
        self.urgent(&names, 24);
        self.finish(small_fleet(), accounts, Policy::new())
    }

    fn consortium(mut self) -> Scenario {
        let accounts = accounts(&[("shop-a", 2, 8), ("shop-b", 1, 8), ("shop-c", 1, 8), ("shop-d", 1, 4)]);
        let render = Kind {
            shapes: &[Shape::new(3, 8, Span::Rack), Shape::new(2, 8, Span::Rack)],
            run_ms: (20 * MINUTE_MS, 90 * MINUTE_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let proof = Kind {
            shapes: &[Shape::new(1, 8, Span::Worker), Shape::new(1, 4, Span::Worker)],
            run_ms: (10 * MINUTE_MS, 40 * MINUTE_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let check = Kind {
            shapes: &[Shape::new(1, 1, Span::Worker)],
            run_ms: (MINUTE_MS, 8 * MINUTE_MS),
            class: Class::Batch,
            preemptible: true,
        };
        let names = ["shop-a", "shop-b", "shop-c", "shop-d"];
        self.steady(&names, &render, 28);
        self.steady(&names, &proof, 110);
        self.steady(&names, &check, 900);
        for burst in 0..4 {
            let at_ms = (3 + 5 * burst) * HOUR_MS;
            self.burst(&names, &check, at_ms, 150);
            self.burst(&names, &render, at_ms, 6);
        }
        self.urgent(&names, 24);
        self.finish(small_fleet(), accounts, Policy::new().with_fragmentation_first())
    }

    fn fleet(mut self) -> Scenario {
        let mut accounts: BTreeMap<AccountId, Account> = BTreeMap::new();
        for at in 0..170 {
            let tasks = if at % 17 == 0 { 8 } else { 2 };
            let guarantee = [Shape::new(tasks, 1, Span::Domain)];
            accounts.insert(
                AccountId::new(&format!("team-{at:03}")),
                Account::default().with_guarantee(&guarantee),
            );
        }
        let names: Vec<String> = accounts.keys().map(ToString::to_string).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let gang = Kind {
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
        let single = Kind {
            shapes: &[
                Shape::new(1, 1, Span::Worker),
                Shape::new(2, 1, Span::Rack),
                Shape::new(4, 1, Span::Rack),
            ],
            run_ms: (30 * MINUTE_MS, 8 * HOUR_MS),
            class: Class::Normal,
            preemptible: true,
        };
        let processors = Kind {
            shapes: &[Shape::new(16, 0, Span::Region), Shape::new(48, 0, Span::Region)],
            run_ms: (2 * HOUR_MS, 8 * HOUR_MS),
            class: Class::Batch,
            preemptible: true,
        };
        self.steady(&names, &gang, 110);
        self.steady(&names, &single, 330);
        self.steady(&names, &processors, 180);
        for burst in 0..2 {
            let at_ms = (6 + 8 * burst) * HOUR_MS;
            self.burst(&names, &single, at_ms, 60);
            self.burst(&names, &gang, at_ms, 13);
        }
        self.urgent(&names, 24);
        self.finish(large_fleet(), accounts, Policy::new())
    }

    fn steady(&mut self, accounts: &[&str], kind: &Kind<'_>, count: usize) {
        for _ in 0..count {
            let at_ms = self.rng.random_range(0..DAY_MS);
            self.job(accounts, kind, at_ms);
        }
    }

    fn burst(&mut self, accounts: &[&str], kind: &Kind<'_>, at_ms: Millis, count: usize) {
        for _ in 0..count {
            let at_ms = at_ms + self.rng.random_range(0..5 * MINUTE_MS);
            self.job(accounts, kind, at_ms);
        }
    }

    fn urgent(&mut self, accounts: &[&str], count: usize) {
        let kind = Kind {
            shapes: &[Shape::new(1, 1, Span::Worker)],
            run_ms: (30 * SECOND_MS, 3 * MINUTE_MS),
            class: Class::Urgent,
            preemptible: true,
        };
        self.steady(accounts, &kind, count);
    }

    fn job(&mut self, accounts: &[&str], kind: &Kind<'_>, at_ms: Millis) {
        let account = accounts[self.rng.random_range(0..accounts.len())];
        let shape = kind.shapes[self.rng.random_range(0..kind.shapes.len())];
        let actual_ms = self.rng.random_range(kind.run_ms.0..=kind.run_ms.1);
        let off = DECLARATION_ERROR.powf(self.rng.random_range(-1.0..1.0));
        let demand = Demand {
            account: account.into(),
            shape,
            class: kind.class,
            declared_ms: (actual_ms as f64 * off) as Millis,
            preemptible: kind.preemptible,
        };
        let id = JobId::new(&format!("job-{:05}", self.jobs.len()));
        self.jobs.push(TraceJob { id, at_ms, demand, actual_ms });
    }

    fn finish(
        mut self,
        workers: BTreeMap<WorkerId, Worker>,
        accounts: BTreeMap<AccountId, Account>,
        policy: Policy,
    ) -> Scenario {
        let cancels = vec![(9 * HOUR_MS + 10 * MINUTE_MS, self.wave())];
        let names: Vec<WorkerId> = workers.keys().cloned().collect();
        let rack = workers[&names[names.len() / 2]].place.clone();
        let in_rack = workers.iter().filter(|(_, w)| w.place == rack).map(|(id, _)| id.clone());
        let outages = vec![
            Outage {
                workers: in_rack.collect(),
                from_ms: 15 * HOUR_MS,
                until_ms: 16 * HOUR_MS,
                fails_everything: false,
            },
            Outage {
                workers: vec![names[0].clone()],
                from_ms: 11 * HOUR_MS,
                until_ms: 11 * HOUR_MS + 30 * MINUTE_MS,
                fails_everything: true,
            },
        ];
        self.jobs.sort_by_key(|job| (job.at_ms, job.id.clone()));
        Scenario { workers, accounts, jobs: self.jobs, cancels, outages, policy }
    }

    /// Every seventh job of the burst at nine is cancelled if it still waits.
    fn wave(&self) -> Vec<JobId> {
        let near = |job: &&TraceJob| (8 * HOUR_MS..9 * HOUR_MS + 10 * MINUTE_MS).contains(&job.at_ms);
        self.jobs.iter().filter(near).step_by(7).map(|job| job.id.clone()).collect()
    }
}

fn accounts(rows: &[(&str, u32, u32)]) -> BTreeMap<AccountId, Account> {
    let account = |&(name, count, accelerators): &(&str, u32, u32)| {
        let guarantee = vec![Shape::new(1, accelerators, Span::Worker); count as usize];
        (AccountId::new(name), Account::default().with_guarantee(&guarantee))
    };
    rows.iter().map(account).collect()
}

/// 11 workers with 8 accelerators each, 3 a rack.
fn small_fleet() -> BTreeMap<WorkerId, Worker> {
    let worker = |at: usize| {
        let place = Place::new("region-1", &format!("domain-{}", at / 6), &format!("rack-{}", at / 3));
        (WorkerId::new(&format!("worker-{at:03}")), Worker::new(place, Amount::new(8, 8)))
    };
    (0..11).map(worker).collect()
}

/// 730 workers with 740 accelerators in 2 regions and 5 failure domains.
pub fn large_fleet() -> BTreeMap<WorkerId, Worker> {
    let worker = |at: usize| {
        let domain = at / 146;
        let region = if domain < 3 { "region-1" } else { "region-2" };
        let place = Place::new(region, &format!("domain-{domain}"), &format!("rack-{:03}", at / 10));
        let accelerators = if at.is_multiple_of(73) { 2 } else { 1 };
        (WorkerId::new(&format!("worker-{at:03}")), Worker::new(place, Amount::new(8, accelerators)))
    };
    (0..730).map(worker).collect()
}
