//! Compares the scheduler with the baseline scheduler, on generated fleets and demands with a fixed seed.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::naive;
use sorrelland_core::place::{find, fits_empty};
use sorrelland_core::plan::propose;
use sorrelland_core::policy::{HOUR_MS, Policy};
use sorrelland_core::reclaim::{BackingUse, Share, find_breach};
use sorrelland_core::shape::{Amount, Shape, Span};
use sorrelland_core::table::{Class, Demand, Placement, Running, Tables, Waiting};
use sorrelland_core::tick::{Action, Scheduler};
use sorrelland_core::topology::{Place, Worker};
use sorrelland_core::view::View;

const CASES: u32 = 2_000;
const ACCOUNTS: [&str; 3] = ["a", "b", "c"];

fn test_runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn span() -> impl Strategy<Value = Span> {
    prop_oneof![Just(Span::Worker), Just(Span::Rack), Just(Span::Domain), Just(Span::Region)]
}

fn shape() -> impl Strategy<Value = Shape> {
    (1..6_u32, 0..9_u32, span()).prop_map(|(tasks, accelerators, span)| Shape::new(tasks, accelerators, span))
}

fn fleet() -> impl Strategy<Value = BTreeMap<WorkerId, Worker>> {
    let worker = (0..2_u32, 0..2_u32, 0..3_u32, 1..9_u32, 0..9_u32);
    prop::collection::vec(worker, 1..14).prop_map(|rows| {
        let worker =
            |(index, (region, domain, rack, slots, accelerators)): (usize, (u32, u32, u32, u32, u32))| {
                let domain = format!("d{region}{domain}");
                let place = Place::new(&format!("r{region}"), &domain, &format!("{domain}k{rack}"));
                (WorkerId::new(&format!("w{index:02}")), Worker::new(place, Amount::new(slots, accelerators)))
            };
        rows.into_iter().enumerate().map(worker).collect()
    })
}

fn demand() -> impl Strategy<Value = Demand> {
    let class = prop_oneof![Just(Class::Batch), Just(Class::Normal), Just(Class::Urgent)];
    (0..ACCOUNTS.len(), shape(), class, 1..HOUR_MS, any::<bool>()).prop_map(
        |(account, shape, class, declared_ms, preemptible)| Demand {
            account: ACCOUNTS[account].into(),
            shape,
            class,
            declared_ms,
            preemptible,
        },
    )
}

fn tables() -> impl Strategy<Value = Tables> {
    let guarantees = prop::collection::vec(prop::collection::vec(shape(), 0..3), ACCOUNTS.len());
    (fleet(), guarantees, prop::collection::vec((demand(), 0..3 * HOUR_MS), 0..20)).prop_map(
        |(workers, guarantees, demands)| {
            let mut tables = Tables::new();
            tables.workers = workers;
            for (name, guarantee) in ACCOUNTS.iter().zip(guarantees) {
                tables.accounts.insert(AccountId::new(name), Account::default().with_guarantee(&guarantee));
            }
            tables.plan = propose(&tables.accounts, &tables.workers, &tables.plan);
            for (index, (demand, since_ms)) in demands.into_iter().enumerate() {
                let waiting = Waiting { demand, since_ms, done_ms: 0 };
                tables.waiting.insert(JobId::new(&format!("j{index:02}")), waiting);
            }
            tables
        },
    )
}

/// Checks a placement with the baseline scheduler's own functions.
///
/// The placement must have all tasks of the gang, fit the free resources of its workers and stay within the
/// span of the shape.
fn check_by_naive(tables: &Tables, shape: &Shape, placement: &Placement) -> Result<(), TestCaseError> {
    let tasks: u32 = placement.values().sum();
    prop_assert_eq!(tasks, shape.tasks, "all tasks of the gang are placed");
    let rows: Vec<naive::Row> = naive::free_amounts(tables)
        .into_iter()
        .filter_map(|row| {
            let tasks = *placement.get(&row.0)?;
            row.2.covers(shape.per_task().times(tasks)).then_some(row)
        })
        .collect();
    prop_assert_eq!(rows.len(), placement.len(), "every worker has the free resources");
    prop_assert!(naive::first_fit(&rows, shape).is_some(), "the workers are within the span");
    Ok(())
}

fn apply(tables: &mut Tables, job: &JobId, placement: Placement, now_ms: u64) {
    let waiting = tables.waiting.remove(job).expect("only waiting jobs start");
    let running = Running {
        demand: waiting.demand,
        placement,
        since_ms: waiting.since_ms,
        started_ms: now_ms,
        done_ms: 0,
    };
    tables.running.insert(job.clone(), running);
}

fn requeue(tables: &mut Tables, job: &JobId) {
    let running = tables.running.remove(job).expect("only running jobs are preempted");
    let waiting = Waiting { demand: running.demand, since_ms: running.since_ms, done_ms: 0 };
    tables.waiting.insert(job.clone(), waiting);
}

fn backing_uses(tables: &Tables) -> BTreeMap<WorkerId, BackingUse> {
    let backing = tables.plan.backing();
    let backing_use = |worker: &WorkerId| {
        let on_worker = tables.running.iter().filter(|(_, gang)| gang.placement.contains_key(worker));
        let shares: Vec<Share> = on_worker.map(|(job, gang)| gang.share_on(job, worker)).collect();
        BackingUse::new(backing.get(worker).cloned().unwrap_or_default(), &shares)
    };
    tables.workers.keys().map(|worker| (worker.clone(), backing_use(worker))).collect()
}

#[test]
fn find_agrees_with_naive_on_empty_fleets() {
    let case = |(workers, shape): (BTreeMap<WorkerId, Worker>, Shape)| {
        let tables = Tables { workers, ..Tables::new() };
        let view = View::with_free_capacity(&tables);
        let naive = naive::first_fit(&naive::free_amounts(&tables), &shape);
        let core = find(&view, &shape, &view.free());
        prop_assert_eq!(core.is_some(), naive.is_some());
        prop_assert_eq!(fits_empty(&view, &shape), naive.is_some());
        if let Some(placement) = core {
            check_by_naive(&tables, &shape, &placement)?;
        }
        Ok(())
    };
    test_runner(2 * CASES).run(&(fleet(), shape()), case).unwrap();
}

#[test]
fn propose_binds_within_capacity_and_keeps_bindings() {
    test_runner(CASES)
        .run(&tables(), |tables| {
            for (worker, backing_use) in backing_uses(&tables) {
                prop_assert_eq!(find_breach(&worker, tables.workers[&worker].capacity, &backing_use), None);
            }
            let repeated = propose(&tables.accounts, &tables.workers, &tables.plan);
            prop_assert_eq!(&repeated.bindings.len(), &tables.plan.bindings.len());
            for (account, bindings) in &tables.plan.bindings {
                for binding in bindings {
                    prop_assert!(repeated.bindings[account].contains(binding), "a valid binding is kept");
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn tick_places_whole_gangs_and_keeps_guarantees_reclaimable() {
    test_runner(CASES)
        .run(&tables(), |mut tables| {
            let mut scheduler = Scheduler::new(Policy::new());
            for step in 0..6_u64 {
                let now_ms = 3 * HOUR_MS + step * 60_000;
                let mut yielding = Vec::new();
                for action in scheduler.tick(&tables, now_ms) {
                    match action {
                        Action::Start { job, placement } => {
                            check_by_naive(&tables, &tables.waiting[&job].demand.shape, &placement)?;
                            apply(&mut tables, &job, placement, now_ms);
                        }
                        Action::Preempt { job, .. } => {
                            prop_assert!(
                                tables.running[&job].demand.preemptible,
                                "only preemptible work is preempted"
                            );
                            yielding.push(job);
                        }
                    }
                }
                for (worker, backing_use) in backing_uses(&tables) {
                    prop_assert_eq!(
                        find_breach(&worker, tables.workers[&worker].capacity, &backing_use),
                        None
                    );
                }
                yielding.sort();
                yielding.dedup();
                yielding.iter().for_each(|job| requeue(&mut tables, job));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn tick_serves_every_entitled_account() {
    test_runner(CASES)
        .run(&tables(), |mut tables| {
            let mut scheduler = Scheduler::new(Policy::new());
            let now_ms = 3 * HOUR_MS;
            for action in scheduler.tick(&tables, now_ms) {
                if let Action::Start { job, placement } = action {
                    apply(&mut tables, &job, placement, now_ms);
                }
            }
            // Claims hold resources as if their jobs ran.
            for (job, claim) in scheduler.claims.clone() {
                apply(&mut tables, &job, claim.placement, now_ms);
            }
            let view = View::with_full_capacity(&tables.workers);
            let backing_uses = backing_uses(&tables);
            for waiting in tables.waiting.values() {
                let demand = &waiting.demand;
                let unused_backing: Vec<Amount> = view
                    .worker_rows
                    .iter()
                    .map(|row| backing_uses[&row.worker].unused_backing(&demand.account))
                    .collect();
                let entitled = find(&view, &demand.shape, &unused_backing).is_some();
                prop_assert!(
                    !entitled,
                    "{} fits its own unused backing but has neither a start nor a claim",
                    demand.account
                );
            }
            Ok(())
        })
        .unwrap();
}
