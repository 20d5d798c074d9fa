//! Checks that waiting gangs start: at once where there is room, and within the policy's bounds under steady narrower work.

use std::collections::BTreeMap;

use sorrelland_core::account::Account;
use sorrelland_core::id::{AccountId, JobId, WorkerId};
use sorrelland_core::plan::propose;
use sorrelland_core::policy::{MINUTE_MS, Millis, Policy, SECOND_MS};
use sorrelland_core::shape::{Amount, Shape, Span};
use sorrelland_core::table::{Class, Demand, Running, Tables, Waiting};
use sorrelland_core::tick::{Action, CLAIM_MARGIN_MS, Scheduler};
use sorrelland_core::topology::{Place, Worker};

/// Interval of the passes.
const PASS_MS: Millis = 5 * SECOND_MS;

/// A fleet whose gangs run for a given time, whatever their demand declares.
struct Fleet {
    tables: Tables,
    scheduler: Scheduler,
    now_ms: Millis,
    run_ms: BTreeMap<JobId, Millis>,
    /// Yielding gangs with the end of their grace period.
    yielding: BTreeMap<JobId, Millis>,
    last_job: u32,
}

impl Fleet {
    /// Creates racks of workers with 8 slots and 8 accelerators each.
    fn new(racks: u32, workers_per_rack: u32, policy: Policy, guarantees: &[(&str, &[Shape])]) -> Self {
        let mut tables = Tables::new();
        for number in 0..racks * workers_per_rack {
            let place = Place::new("r", "d", &format!("k{}", number / workers_per_rack));
            let worker = Worker::new(place, Amount::new(8, 8));
            tables.workers.insert(WorkerId::new(&format!("w{number:02}")), worker);
        }
        for (name, shapes) in guarantees {
            tables.accounts.insert(AccountId::new(name), Account::default().with_guarantee(shapes));
        }
        tables.plan = propose(&tables.accounts, &tables.workers, &tables.plan);
        let scheduler = Scheduler::new(policy);
        Self { tables, scheduler, now_ms: 0, run_ms: BTreeMap::new(), yielding: BTreeMap::new(), last_job: 0 }
    }

    fn demand(account: &str, shape: Shape, declared_ms: Millis) -> Demand {
        Demand { account: account.into(), shape, class: Class::Normal, declared_ms, preemptible: true }
    }

    fn submit(&mut self, demand: Demand, run_ms: Millis) -> JobId {
        self.last_job += 1;
        let job = JobId::new(&format!("j{:05}", self.last_job));
        let waiting = Waiting { demand, since_ms: self.now_ms, done_ms: 0 };
        self.tables.waiting.insert(job.clone(), waiting);
        self.run_ms.insert(job.clone(), run_ms);
        job
    }

    /// Starts a gang on the given worker, as an earlier pass would have.
    fn run_on(&mut self, worker: u32, demand: Demand, run_ms: Millis) {
        let job = self.submit(demand, run_ms);
        let tasks = self.tables.waiting[&job].demand.shape.tasks;
        self.start(&job, [(WorkerId::new(&format!("w{worker:02}")), tasks)].into());
    }

    fn start(&mut self, job: &JobId, placement: BTreeMap<WorkerId, u32>) {
        let waiting = self.tables.waiting.remove(job).unwrap();
        let running = Running {
            demand: waiting.demand,
            placement,
            since_ms: waiting.since_ms,
            started_ms: self.now_ms,
            done_ms: waiting.done_ms,
        };
        self.tables.running.insert(job.clone(), running);
    }

    /// Ends what is due, then runs a pass.
    fn step(&mut self) {
        let now_ms = self.now_ms;
        let is_over = |job: &JobId, running: &Running| {
            now_ms >= running.started_ms + self.run_ms[job] - running.done_ms
        };
        let over: Vec<JobId> = self
            .tables
            .running
            .iter()
            .filter(|(job, running)| is_over(job, running))
            .map(|(job, _)| job.clone())
            .collect();
        for job in over {
            self.tables.running.remove(&job);
            self.yielding.remove(&job);
        }
        let yielded: Vec<JobId> =
            self.yielding.iter().filter(|(_, until)| now_ms >= **until).map(|(job, _)| job.clone()).collect();
        for job in yielded {
            self.yielding.remove(&job);
            let Running { demand, since_ms, started_ms, done_ms, .. } =
                self.tables.running.remove(&job).unwrap();
            let done_ms = done_ms + now_ms - started_ms;
            self.tables.waiting.insert(job, Waiting { demand, since_ms, done_ms });
        }
        for action in self.scheduler.tick(&self.tables, now_ms) {
            match action {
                Action::Start { job, placement } => self.start(&job, placement),
                Action::Preempt { job, grace_ms, .. } => {
                    self.yielding.insert(job, now_ms + grace_ms);
                }
            }
        }
    }

    /// Runs passes until a job has started and returns its wait; `None` if it takes longer than `at_most_ms`. Before each
    /// pass `arrive` submits jobs.
    fn wait_for(
        &mut self,
        job: &JobId,
        at_most_ms: Millis,
        mut arrive: impl FnMut(&mut Self),
    ) -> Option<Millis> {
        let from_ms = self.now_ms;
        while self.now_ms <= from_ms + at_most_ms {
            arrive(self);
            self.step();
            if self.tables.running.contains_key(job) {
                return Some(self.now_ms - from_ms);
            }
            self.now_ms += PASS_MS;
        }
        None
    }
}

/// Guards against gangs that wait for a whole rack though their shape allows several.
#[test]
fn tick_starts_gang_on_fragmented_racks_of_an_idle_fleet() {
    let mut fleet = Fleet::new(4, 4, Policy::new(), &[("a", &[])]);
    for rack in 0..4 {
        let narrow = Fleet::demand("a", Shape::new(1, 8, Span::Worker), 60 * MINUTE_MS);
        fleet.run_on(4 * rack, narrow, 60 * MINUTE_MS);
    }
    let gang = fleet.submit(Fleet::demand("a", Shape::new(6, 8, Span::Domain), MINUTE_MS), MINUTE_MS);
    assert_eq!(fleet.wait_for(&gang, 0, |_| ()), Some(0));
}

/// Guards against wide gangs that wait without a bound while narrow work takes each worker that comes free.
#[yare::parameterized(
    preemptible = { true, 3 * MINUTE_MS },
    not_preemptible = { false, 3 * MINUTE_MS },
)]
fn tick_starts_wide_gang_after_the_longest_narrow_run(preemptible: bool, narrow_ms: Millis) {
    let policy = Policy { preempt_after_ms: Millis::MAX, ..Policy::new() };
    let bound_ms = policy.reserve_after_ms + narrow_ms + 2 * PASS_MS;
    let mut fleet = Fleet::new(4, 4, policy, &[("a", &[]), ("b", &[])]);
    let narrow = Demand { preemptible, ..Fleet::demand("a", Shape::new(1, 4, Span::Worker), narrow_ms) };
    let arrive = |fleet: &mut Fleet| {
        while fleet.tables.waiting.len() < 6 {
            fleet.submit(narrow.clone(), narrow_ms);
        }
    };
    for _ in 0..40 {
        arrive(&mut fleet);
        fleet.step();
        fleet.now_ms += PASS_MS;
    }
    let gang = fleet.submit(Fleet::demand("b", Shape::new(6, 8, Span::Domain), MINUTE_MS), MINUTE_MS);
    let wait_ms = fleet.wait_for(&gang, bound_ms, arrive);
    assert!(wait_ms.is_some(), "not started within {bound_ms} ms");
}

/// Guards against a reservation whose start moves on with each run that takes longer than declared.
#[test]
fn tick_starts_wide_gang_beside_underestimated_narrow_work() {
    let policy = Policy::new();
    let bound_ms = policy.preempt_after_ms + policy.checkpoint_grace_ms + CLAIM_MARGIN_MS + 2 * PASS_MS;
    let mut fleet = Fleet::new(4, 4, policy, &[("a", &[]), ("b", &[])]);
    let narrow = Fleet::demand("a", Shape::new(1, 4, Span::Worker), 10 * SECOND_MS);
    let arrive = |fleet: &mut Fleet| {
        while fleet.tables.waiting.len() < 6 {
            fleet.submit(narrow.clone(), 5 * MINUTE_MS);
        }
    };
    for _ in 0..40 {
        arrive(&mut fleet);
        fleet.step();
        fleet.now_ms += PASS_MS;
    }
    let gang = fleet.submit(Fleet::demand("b", Shape::new(6, 8, Span::Domain), MINUTE_MS), MINUTE_MS);
    let wait_ms = fleet.wait_for(&gang, bound_ms, arrive);
    assert!(wait_ms.is_some(), "not started within {bound_ms} ms");
}

/// Guards against a job that keeps workers reserved on which it may not run, so that they idle beside waiting work.
#[test]
fn tick_reserves_no_workers_that_back_other_accounts_for_lasting_work() {
    let whole = Shape::new(1, 8, Span::Worker);
    let guarantee = [whole; 4];
    let policy = Policy::new();
    let reserve_after_ms = policy.reserve_after_ms;
    let mut fleet = Fleet::new(1, 4, policy, &[("a", &guarantee), ("b", &[]), ("c", &[])]);
    for _ in 0..2 {
        let lasting =
            Demand { preemptible: false, ..Fleet::demand("b", Shape::new(2, 8, Span::Rack), MINUTE_MS) };
        fleet.submit(lasting, MINUTE_MS);
    }
    fleet.now_ms = reserve_after_ms;
    fleet.step();
    fleet.now_ms += PASS_MS;
    let narrow = fleet.submit(Fleet::demand("c", whole, MINUTE_MS), MINUTE_MS);
    assert_eq!(fleet.wait_for(&narrow, 0, |_| ()), Some(0));
}

/// Guards against wide gangs that wait for each other in an idle fleet, each wider than the part for large jobs.
#[test]
fn tick_starts_gang_that_is_wider_than_its_size_area() {
    let policy = Policy { size_areas: true, ..Policy::new() };
    let mut fleet = Fleet::new(4, 4, policy, &[("a", &[])]);
    let wide = Fleet::demand("a", Shape::new(14, 8, Span::Domain), 40 * MINUTE_MS);
    let first = fleet.submit(wide.clone(), 40 * MINUTE_MS);
    fleet.submit(wide, 40 * MINUTE_MS);
    fleet.submit(Fleet::demand("a", Shape::new(1, 8, Span::Worker), MINUTE_MS), MINUTE_MS);
    assert_eq!(fleet.wait_for(&first, 0, |_| ()), Some(0));
}

/// Guards against small gangs that are wider than the quarter of the fleet for small jobs.
#[test]
fn tick_starts_small_gang_that_is_wider_than_its_size_area() {
    let policy = Policy { size_areas: true, ..Policy::new() };
    let mut fleet = Fleet::new(4, 4, policy, &[("a", &[])]);
    let small = Fleet::demand("a", Shape::new(6, 8, Span::Domain), MINUTE_MS);
    let gangs: Vec<JobId> = (0..5).map(|_| fleet.submit(small.clone(), MINUTE_MS)).collect();
    let large = Fleet::demand("a", Shape::new(14, 8, Span::Domain), 40 * MINUTE_MS);
    fleet.submit(large, 40 * MINUTE_MS);
    fleet.step();
    assert!(gangs.iter().any(|job| fleet.tables.running.contains_key(job)));
}

/// Guards against small jobs that wait beside three idle quarters of the fleet while no large job wants them.
#[test]
fn tick_starts_small_jobs_outside_their_size_area_without_large_ones() {
    let policy = Policy { size_areas: true, ..Policy::new() };
    let mut fleet = Fleet::new(4, 4, policy, &[("a", &[])]);
    for _ in 0..24 {
        fleet.submit(Fleet::demand("a", Shape::new(1, 8, Span::Worker), MINUTE_MS), MINUTE_MS);
    }
    fleet.step();
    assert_eq!(fleet.tables.running.len(), 16);
}
