//! A planner with reports of its agents, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelland_fleet::Resources;
use sorrelland_fleet::approvals::PolicyReply;
use sorrelland_fleet::assignments::{Assignments, Start};
use sorrelland_fleet::desired::{Account, Address, Desired, Queue, Service};
use sorrelland_fleet::incarnation::WorkerId;
use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::planner::{Admission, Planner, Timing};
use sorrelland_fleet::report::{End, EndReason, Report, Running, WorkerInfo};

pub const TIMING: Timing = Timing {
    grant_ms: 4_800,
    stop_ms: 400,
    unreported_ms: 11_000,
    ended_retention_ms: 240_000,
    reclaim_ms: 2_900,
    remote_factor_milli: 3_000,
};

pub fn address(path_prefix: &str) -> Address {
    Address { host: "shop.example".to_owned(), path_prefix: path_prefix.to_owned() }
}

pub fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        address: address(&format!("/{name}/")),
        service: "svc".to_owned(),
        priority,
        max_attempts: 2,
        stretch_milli: 3_000,
        full_value_ms: 1_000,
        ..Queue::default()
    }
}

pub fn desired() -> Desired {
    let patient = Queue { max_attempts: 10, ..queue("patient", 1) };
    let approved_only = Queue { needs_approval: true, ..queue("advised", 1) };
    Desired {
        version: 1,
        queues: vec![queue("urgent", 0), queue("plain", 1), queue("low", 2), patient, approved_only],
        services: [("svc".to_owned(), Service::default())].into(),
        accounts: [
            ("museum".to_owned(), Account { guaranteed_accelerators: 16 }),
            ("guest".to_owned(), Account::default()),
        ]
        .into(),
        keys: BTreeMap::new(),
    }
}

/// Returns a reply of the policy service that admits these worker incarnations with these tickets.
pub fn reply(admitted: &[(String, String)], valid_ms: u64) -> PolicyReply {
    let row = |(incarnation, ticket): &(String, String)| (WorkerId::of(incarnation), ticket.clone());
    PolicyReply { admitted: admitted.iter().map(row).collect(), unreadable_rows: 0, valid_ms }
}

/// A planner, and the newest report of each agent.
#[derive(Clone)]
pub struct Fleet {
    pub planner: Planner,
    pub now: u64,
    /// Wall clock of the leader, relative to `now`, in milliseconds.
    pub wall_ahead_ms: i64,
    pub seq: u64,
    pub reports: Vec<Report>,
    /// Newest stored record of each key.
    pub stored: BTreeMap<String, Vec<u8>>,
}

impl Fleet {
    pub fn new(workers: usize) -> Self {
        let planner = Planner::new(TIMING, Arc::new(desired()), Vec::new(), 0);
        let report = |at: usize| Report {
            agent: format!("agent-{at}"),
            agent_incarnation: at as u64,
            worker: Some(WorkerInfo {
                incarnation: format!("w{at}"),
                service: "svc".to_owned(),
                labels: vec!["a".to_owned(), format!("r{}", at / 3)],
                capacity: Resources::new(128_000, 262_144, 8),
                ..WorkerInfo::default()
            }),
            ..Report::default()
        };
        let mut fleet = Self {
            planner,
            now: 1_000,
            wall_ahead_ms: 0,
            seq: 0,
            reports: (0..workers).map(report).collect(),
            stored: BTreeMap::new(),
        };
        fleet.advance(0);
        fleet
    }

    /// Returns the leader's wall clock, in milliseconds since 1970.
    pub fn wall(&self) -> u64 {
        self.now.checked_add_signed(self.wall_ahead_ms).expect("the wall clock starts before 1970")
    }

    /// Advances the clock, passes on every agent's report over a new connection, runs the planner, and stores its
    /// changes; returns the assignments of every agent.
    pub fn advance(&mut self, ms: u64) -> Vec<Assignments> {
        self.now += ms;
        self.seq += 1;
        let wall = self.wall();
        for report in &mut self.reports {
            report.seq = self.seq;
            self.planner.apply_report(self.now, wall, self.now, report);
        }
        self.planner.tick(self.now, wall);
        self.store();
        let agents: Vec<String> = self.reports.iter().map(|report| report.agent.clone()).collect();
        agents.iter().filter_map(|agent| self.planner.assignments(self.now, agent)).collect()
    }

    pub fn store(&mut self) {
        while let Some((records, change)) = self.planner.take_changes() {
            for record in records {
                if record.value.is_empty() {
                    self.stored.remove(&record.key);
                } else {
                    self.stored.insert(record.key, record.value);
                }
            }
            self.planner.record_stored(change);
        }
    }

    pub fn submit(&mut self, job: &str, queue: &str, steps: Vec<Step>) -> Admission {
        let sub = Submission {
            job: job.to_owned(),
            queue: queue.to_owned(),
            account: "museum".to_owned(),
            steps,
            ..Submission::default()
        };
        self.planner.submit(self.now, self.wall(), &sub)
    }

    /// Adds every start to the runs that its agent reports.
    pub fn mark_running(&mut self, assignments: &[Assignments]) {
        for assigned in assignments {
            for Start { task, run, .. } in &assigned.starts {
                let report = self
                    .reports
                    .iter_mut()
                    .find(|report| report.worker.as_ref().unwrap().incarnation == assigned.incarnation);
                let (task, run) = (task.clone(), *run);
                let running = Running { task, run, saved: String::new(), percent: 0, measurement: 0 };
                report.unwrap().running.push(running);
            }
        }
    }

    /// Reports the end of every run of a job.
    pub fn end_runs(&mut self, job: &str, end_reason: EndReason) {
        for report in &mut self.reports {
            let (ended, rest) = report.running.drain(..).partition(|run| run.task.job == job);
            report.running = rest;
            for (end_number, Running { task, run, .. }) in (report.ended.len() as u64 + 1..).zip(ended) {
                report.ended.push(End {
                    number: end_number,
                    task,
                    run,
                    reason: end_reason,
                    saved: String::new(),
                });
            }
        }
    }
}

pub fn step(count: u32, accelerators: i64) -> Step {
    Step {
        count,
        resources: Resources::new(1_000, 1_000, accelerators),
        estimate_ms: 2_000,
        ..Step::default()
    }
}
