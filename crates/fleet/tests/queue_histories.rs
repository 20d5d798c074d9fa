//! Generated histories of desired states that rename, move, swap, change and remove queues under accepted jobs, with
//! takeovers by leaders that know an older one. Whether a queue counts by its name or its path, no job starts where, or more
//! often than, or unapproved as its queue doesn't allow; its callers reach it; and each job ends.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{Fleet, TIMING, address, queue, reply, step};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sorrelland_fleet::assignments::Start;
use sorrelland_fleet::desired::{Desired, Queue};
use sorrelland_fleet::job::{Outcome, Step, Submission};
use sorrelland_fleet::planner::{Admission, Planner};
use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::{Caller, JobState, Terms, record};

const ACCOUNT: &str = "museum";
const NAMES: [&str; 3] = ["one", "two", "three"];
const PATHS: [&str; 3] = ["/a/", "/b/", "/c/"];
const SERVICES: [&str; 2] = ["svc", "svc-2"];

/// Passes after the history in which every job has to end.
const LAST_PASSES: usize = 400;

/// A route of a generated desired state.
#[derive(Clone, Debug)]
struct Route {
    name: usize,
    service: usize,
    max_attempts: u32,
    needs_approval: bool,
}

#[derive(Clone, Debug)]
enum Op {
    /// Publishes a desired state: the route at each path, if there is one.
    Publish(Vec<Option<Route>>),
    /// Submits a job at a path, by an entry that knows a desired state as many versions before the newest.
    Submit { path: usize, behind: usize },
    /// Passes of the planner, in which runs start.
    Pass(usize),
    /// The runs of a job end.
    End { job: usize, is_done: bool },
    /// The next leader knows a desired state as many versions before the newest.
    TakeOver { behind: usize },
    /// The leader learns of the newest desired state.
    CatchUp,
}

fn route() -> impl Strategy<Value = Option<Route>> {
    let route = (0..NAMES.len(), 0..SERVICES.len(), 1..4u32, any::<bool>()).prop_map(
        |(name, service, max_attempts, needs_approval)| Route { name, service, max_attempts, needs_approval },
    );
    proptest::option::weighted(0.7, route)
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => proptest::collection::vec(route(), PATHS.len()).prop_map(Op::Publish),
        3 => (0..PATHS.len(), 0..3usize).prop_map(|(path, behind)| Op::Submit { path, behind }),
        4 => (1..5usize).prop_map(Op::Pass),
        3 => (0..8usize, any::<bool>()).prop_map(|(job, is_done)| Op::End { job, is_done }),
        1 => (0..3usize).prop_map(|behind| Op::TakeOver { behind }),
        1 => Just(Op::CatchUp),
    ]
}

/// An accepted job as its caller and its operators know it.
struct Accepted {
    name: &'static str,
    path: &'static str,
    /// Failed runs of each subtask.
    failures: BTreeMap<String, u32>,
}

struct History {
    fleet: Fleet,
    versions: Vec<Arc<Desired>>,
    jobs: BTreeMap<String, Accepted>,
}

impl History {
    fn new() -> Self {
        let mut fleet = Fleet::new(4);
        for (at, report) in fleet.reports.iter_mut().enumerate() {
            report.worker.as_mut().unwrap().service = SERVICES[at % 2].to_owned();
        }
        let first = Arc::new(Desired { version: 1, queues: Vec::new(), ..common::desired() });
        fleet.planner = Planner::new(TIMING, first.clone(), Vec::new(), fleet.now);
        Self { fleet, versions: vec![first], jobs: BTreeMap::new() }
    }

    /// Returns the desired state that is as many versions before the newest.
    fn known(&self, behind: usize) -> Arc<Desired> {
        self.versions[self.versions.len().saturating_sub(1 + behind)].clone()
    }

    fn publish(&mut self, routes: &[Option<Route>]) {
        let mut queues: Vec<Queue> = Vec::new();
        for (path, route) in PATHS.iter().zip(routes) {
            let Some(Route { name, service, max_attempts, needs_approval }) = route else { continue };
            if queues.iter().any(|queue| queue.name == NAMES[*name]) {
                continue;
            }
            queues.push(Queue {
                name: NAMES[*name].to_owned(),
                address: address(path),
                service: SERVICES[*service].to_owned(),
                max_attempts: *max_attempts,
                needs_approval: *needs_approval,
                ..queue("", 1)
            });
        }
        let version = self.versions.last().unwrap().version + 3;
        self.versions.push(Arc::new(Desired { version, queues, ..common::desired() }));
    }

    fn submit(&mut self, path: &'static str, behind: usize) {
        let desired = self.known(behind);
        let Some(queue) = desired.queue_at(&address(path)) else { return };
        let job = format!("{:016x}", self.jobs.len());
        let sub = Submission {
            job: job.clone(),
            queue: queue.name.clone(),
            account: ACCOUNT.to_owned(),
            steps: vec![step(1, 1), Step { depends_on: vec![0], ..step(1, 1) }],
            terms: Some(Terms::new(&desired, queue)),
            ..Submission::default()
        };
        let admission = self.fleet.planner.submit(self.fleet.now, self.fleet.wall(), &sub);
        self.fleet.store();
        if matches!(admission, Admission::Accepted { .. }) {
            let name = NAMES.iter().find(|name| **name == queue.name).unwrap();
            self.jobs.insert(job, Accepted { name, path, failures: BTreeMap::new() });
        }
    }

    /// Returns the routes that a job's queue has been so far, in order: those of its name at its path.
    fn own_routes(&self, job: &Accepted) -> impl Iterator<Item = &Queue> {
        let own = (job.name, address(job.path));
        let queues = self.versions.iter().flat_map(|desired| &desired.queues);
        queues.filter(move |queue| queue.name == own.0 && queue.address == own.1)
    }

    fn pass(&mut self) {
        let assignments = self.fleet.advance(100);
        while let Some((step, asked)) = self.fleet.planner.next_approval_request(self.fleet.now) {
            let admitted: Vec<_> = asked.iter().map(|worker| (worker.clone(), "ticket".to_owned())).collect();
            self.fleet.planner.record_approvals(self.fleet.now, &step, &asked, &reply(&admitted, 600_000));
        }
        for assigned in &assignments {
            let mut workers = self.fleet.reports.iter().filter_map(|report| report.worker.as_ref());
            let worker = workers.find(|worker| worker.incarnation == assigned.incarnation).unwrap();
            for start in &assigned.starts {
                self.check_start(&worker.service, start);
            }
        }
        self.fleet.mark_running(&assignments);
    }

    fn check_start(&self, service: &str, Start { task, ticket, .. }: &Start) {
        let (name, job) = (&task.job, &self.jobs[&task.job]);
        let queues = || self.versions.iter().flat_map(|desired| &desired.queues);
        let path = address(job.path);
        let by_name = queues().any(|queue| queue.name == job.name && queue.service == service);
        let by_path = queues().any(|queue| queue.address == path && queue.service == service);
        assert!(by_name && by_path, "{name} starts on {service}");
        let attempts = self.own_routes(job).map(|queue| queue.max_attempts).max().unwrap_or(0);
        let failures = job.failures.get(&task.to_string()).copied().unwrap_or(0);
        assert!(failures < attempts, "{task} starts after {failures} failures");
        let needs_approval = self.own_routes(job).all(|queue| queue.needs_approval);
        assert!(ticket.is_some() || !needs_approval, "{name} starts unapproved");
    }

    fn end(&mut self, name: &str, is_done: bool) {
        let running = self.fleet.reports.iter().flat_map(|report| &report.running);
        for run in running.filter(|run| run.task.job == *name && !is_done) {
            let failures = &mut self.jobs.get_mut(name).unwrap().failures;
            *failures.entry(run.task.to_string()).or_default() += 1;
        }
        self.fleet.end_runs(name, if is_done { EndReason::Done } else { EndReason::Failed });
        self.pass();
    }

    fn take_over(&mut self, behind: usize) {
        let records = self.fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
        let (jobs, findings) = record::read(records);
        assert!(findings.is_empty(), "{findings:?}");
        self.fleet.planner = Planner::new(TIMING, self.known(behind), jobs, self.fleet.now);
    }

    /// Checks that the callers of each job reach it by its path, and of the job's own entry too.
    fn check_reached(&self) {
        for (name, job) in &self.jobs {
            for queue in NAMES {
                let caller = Caller::new(queue, ACCOUNT).with_address(Some(address(job.path)));
                assert!(self.fleet.planner.state_for(name, Some(&caller)).is_some(), "{name} is hidden");
                let other = Caller::new(queue, "guest").with_address(Some(address(job.path)));
                assert!(self.fleet.planner.state_for(name, Some(&other)).is_none(), "{name} is shown");
            }
        }
    }

    fn play(&mut self, op: &Op) {
        match op {
            Op::Publish(routes) => self.publish(routes),
            Op::Submit { path, behind } => self.submit(PATHS[*path], *behind),
            Op::Pass(count) => (0..*count).for_each(|_| self.pass()),
            Op::End { job, is_done } => self.end(&format!("{job:016x}"), *is_done),
            Op::TakeOver { behind } => self.take_over(*behind),
            Op::CatchUp => self.fleet.planner.set_desired(self.known(0)),
        }
        self.check_reached();
    }

    /// Lets all runs end well until no job is open.
    fn finish(&mut self) {
        self.fleet.planner.set_desired(self.known(0));
        for _ in 0..LAST_PASSES {
            for name in self.jobs.keys().cloned().collect::<Vec<_>>() {
                self.fleet.end_runs(&name, EndReason::Done);
            }
            self.pass();
        }
        for (name, job) in &self.jobs {
            let state = self.fleet.planner.state(name);
            let fewest = self.versions.iter().flat_map(|desired| &desired.queues);
            let fewest = fewest.map(|queue| queue.max_attempts).min().unwrap_or(0);
            match state {
                Some(JobState::Ended(Outcome::Completed)) => (),
                Some(JobState::Ended(Outcome::Failed)) => {
                    let failures = job.failures.values().max().copied().unwrap_or(0);
                    assert!(failures >= fewest, "{name} is failed after {failures} failures");
                }
                state => panic!("{name} is {state:?}"),
            }
        }
    }
}

#[test]
fn jobs_keep_what_their_queue_allows_through_all_desired_states() {
    let config = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[61; 32]));
    runner
        .run(&proptest::collection::vec(op(), 1..60), |ops| {
            let mut history = History::new();
            ops.iter().for_each(|op| history.play(op));
            history.finish();
            Ok(())
        })
        .unwrap();
}
