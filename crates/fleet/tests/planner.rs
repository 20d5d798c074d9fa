//! The planner's decisions, without a network and in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelland_fleet::desired::{Account, Desired, Queue, Service};
use sorrelland_fleet::job::{JobState, Outcome, Schedule, Step, Submission};
use sorrelland_fleet::orders::{Orders, Start};
use sorrelland_fleet::planner::{Planner, Timing, Verdict};
use sorrelland_fleet::record;
use sorrelland_fleet::report::{End, How, Report, Running, WorkerInfo};
use sorrelland_fleet::{Room, Task};

const TIMING: Timing =
    Timing { grant_ms: 4_800, stop_ms: 400, unheard_ms: 11_000, keep_ended_ms: 240_000, reclaim_ms: 2_900 };

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        service: "svc".to_owned(),
        priority,
        max_attempts: 2,
        stretch_milli: 3_000,
        full_value_ms: 1_000,
        ..Queue::default()
    }
}

fn desired() -> Desired {
    let advised = Queue { advised: true, ..queue("advised", 1) };
    Desired {
        version: 1,
        queues: vec![queue("urgent", 0), queue("plain", 1), queue("low", 2), advised],
        services: [("svc".to_owned(), Service::default())].into(),
        accounts: [
            ("museum".to_owned(), Account { guaranteed_accelerators: 16 }),
            ("guest".to_owned(), Account::default()),
        ]
        .into(),
        keys: BTreeMap::new(),
    }
}

/// A planner with the reports of its agents.
struct Bench {
    planner: Planner,
    now: u64,
    seq: u64,
    reports: Vec<Report>,
}

impl Bench {
    fn new(workers: usize) -> Self {
        let planner = Planner::new(TIMING, Arc::new(desired()), Vec::new(), 0);
        let report = |at: usize| Report {
            agent: format!("agent-{at}"),
            agent_life: at as u64,
            worker: Some(WorkerInfo {
                life: format!("w{at}"),
                service: "svc".to_owned(),
                labels: vec!["a".to_owned(), format!("r{}", at / 3)],
                capacity: Room::new(128_000, 262_144, 8),
                ..WorkerInfo::default()
            }),
            ..Report::default()
        };
        let mut bench = Self { planner, now: 1_000, seq: 0, reports: (0..workers).map(report).collect() };
        bench.pass(0);
        bench
    }

    /// Moves time on, lets every agent report and the planner decide, and stores what changed.
    fn pass(&mut self, ms: u64) -> Vec<Orders> {
        self.now += ms;
        self.seq += 1;
        for report in &mut self.reports {
            report.seq = self.seq;
            self.planner.report(self.now, self.now, report);
        }
        self.planner.tick(self.now, self.now);
        self.store();
        let agents: Vec<String> = self.reports.iter().map(|report| report.agent.clone()).collect();
        agents.iter().filter_map(|agent| self.planner.orders(self.now, agent)).collect()
    }

    fn store(&mut self) {
        while let Some((_, change)) = self.planner.take_changes() {
            self.planner.note_stored(change);
        }
    }

    fn submit(&mut self, job: &str, queue: &str, steps: Vec<Step>) -> Verdict {
        let sub = Submission {
            job: job.to_owned(),
            queue: queue.to_owned(),
            account: "museum".to_owned(),
            steps,
            ..Submission::default()
        };
        self.planner.submit(self.now, self.now, &sub)
    }

    /// Shows every start as running.
    fn run(&mut self, orders: &[Orders]) {
        for orders in orders {
            for Start { task, run, .. } in &orders.starts {
                let report = self
                    .reports
                    .iter_mut()
                    .find(|report| report.worker.as_ref().unwrap().life == orders.life);
                let (task, run) = (task.clone(), *run);
                let running = Running { task, run, saved: String::new(), percent: 0, figure: 0 };
                report.unwrap().running.push(running);
            }
        }
    }

    /// Ends every run of a job.
    fn end(&mut self, job: &str, how: How) {
        for report in &mut self.reports {
            let (over, rest) = report.running.drain(..).partition(|run| run.task.job == job);
            report.running = rest;
            for (n, Running { task, run, .. }) in (report.ended.len() as u64 + 1..).zip(over) {
                report.ended.push(End { n, task, run, how, saved: String::new() });
            }
        }
    }
}

fn step(count: u32, accelerators: i64) -> Step {
    Step { count, room: Room::new(1_000, 1_000, accelerators), estimate_ms: 2_000, ..Step::default() }
}

fn starts(orders: &[Orders]) -> Vec<(&str, &Start)> {
    orders.iter().flat_map(|o| o.starts.iter().map(|start| (o.life.as_str(), start))).collect()
}

#[test]
fn submit_orders_starts_only_after_storing() {
    let mut bench = Bench::new(1);
    assert!(matches!(bench.submit("a", "plain", vec![step(1, 1)]), Verdict::Accepted { .. }));
    bench.planner.tick(bench.now, bench.now);
    assert_eq!(bench.planner.state("a"), None, "nothing is told before it is stored");
    assert!(bench.planner.orders(bench.now, "agent-0").unwrap().starts.is_empty());
    bench.store();
    assert_eq!(bench.planner.state("a"), Some(JobState::Queued));
    assert_eq!(bench.planner.orders(bench.now, "agent-0").unwrap().starts.len(), 1);
}

#[test]
fn place_gang_as_a_whole_or_not_at_all() {
    let mut bench = Bench::new(3);
    let gang = Step { gang: true, ..step(3, 8) };
    bench.submit("blocker", "plain", vec![step(1, 4)]);
    let orders = bench.pass(10);
    bench.run(&orders);
    bench.submit("gang", "plain", vec![gang]);
    assert!(starts(&bench.pass(10)).is_empty());
    bench.end("blocker", How::Done);
    let orders = bench.pass(10);
    let found = starts(&orders);
    assert_eq!(found.len(), 3);
    assert!(found.iter().all(|(_, start)| start.run == found[0].1.run), "members share their run");
}

#[test]
fn place_counts_what_is_being_stopped() {
    let mut bench = Bench::new(1);
    bench.submit("a", "plain", vec![step(1, 8)]);
    let orders = bench.pass(10);
    bench.run(&orders);
    bench.pass(10);
    bench.planner.cancel(bench.now, bench.now, "a");
    bench.submit("b", "plain", vec![step(1, 8)]);
    let orders = bench.pass(10);
    assert_eq!(orders[0].stops.len(), 1);
    assert!(orders[0].starts.is_empty(), "the stop has not ended yet");
    bench.end("a", How::Stopped);
    assert_eq!(starts(&bench.pass(10)).len(), 1);
    assert_eq!(bench.planner.state("a"), Some(JobState::Ended(Outcome::Cancelled)));
}

#[test]
fn note_end_gives_up_after_the_attempts() {
    let mut bench = Bench::new(2);
    bench.submit("a", "plain", vec![step(1, 1)]);
    for run in 1..=2 {
        let orders = bench.pass(10);
        assert_eq!(starts(&orders)[0].1.run, run);
        bench.run(&orders);
        bench.pass(10);
        bench.end("a", How::Failed);
    }
    assert!(starts(&bench.pass(10)).is_empty());
    assert_eq!(bench.planner.state("a"), Some(JobState::Ended(Outcome::Failed)));
}

#[test]
fn report_of_an_older_life_is_ignored() {
    let mut bench = Bench::new(1);
    let old = bench.reports[0].clone();
    bench.reports[0].worker.as_mut().unwrap().life = "w0-again".to_owned();
    bench.reports[0].agent_life = 77;
    bench.pass(10);
    let late = Report { seq: 99, ..old };
    bench.planner.report(bench.now, bench.now, &late);
    assert_eq!(bench.planner.orders(bench.now, "agent-0").unwrap().life, "w0-again");
}

#[test]
fn tick_restarts_elsewhere_only_after_the_lease() {
    let mut bench = Bench::new(2);
    bench.submit("a", "plain", vec![step(1, 1)]);
    let orders = bench.pass(10);
    let life = starts(&orders)[0].0.to_owned();
    bench.run(&orders);
    bench.pass(10);
    let granted_at = bench.now;
    let silent =
        bench.reports.iter().position(|report| report.worker.as_ref().unwrap().life == life).unwrap();
    bench.reports.remove(silent);
    let least = TIMING.grant_ms + TIMING.grant_ms / 50 + TIMING.stop_ms;
    loop {
        let orders = bench.pass(100);
        if !starts(&orders).is_empty() {
            break;
        }
        assert!(bench.now < granted_at + least + 500, "never started elsewhere");
    }
    assert!(bench.now > granted_at + least, "started {} ms after the last grant", bench.now - granted_at);
}

#[test]
fn new_waits_for_workers_that_were_not_heard() {
    let mut bench = Bench::new(2);
    bench.submit("a", "plain", vec![step(1, 1)]);
    bench.planner.tick(bench.now, bench.now);
    let (records, change) = bench.planner.take_changes().unwrap();
    bench.planner.note_stored(change);
    let rows = records.iter().map(|record| (record.key.as_str(), record.value.as_slice()));
    let (jobs, _) = record::read(rows);
    let on = jobs[0].units.values().next().unwrap().members[0].worker.clone();
    bench.planner = Planner::new(TIMING, Arc::new(desired()), jobs, bench.now);
    let taken_at = bench.now;
    bench.reports.retain(|report| report.worker.as_ref().unwrap().life != on);
    while starts(&bench.pass(100)).is_empty() {
        assert!(bench.now < taken_at + TIMING.unheard_ms + 500, "never started elsewhere");
    }
    assert!(bench.now > taken_at + TIMING.unheard_ms);
}

#[test]
fn new_starts_at_once_what_a_heard_worker_does_not_run() {
    let mut bench = Bench::new(1);
    bench.submit("a", "plain", vec![step(1, 1)]);
    bench.planner.tick(bench.now, bench.now);
    let (records, _) = bench.planner.take_changes().unwrap();
    let rows = records.iter().map(|record| (record.key.as_str(), record.value.as_slice()));
    let (jobs, _) = record::read(rows);
    bench.planner = Planner::new(TIMING, Arc::new(desired()), jobs, bench.now);
    let orders = bench.pass(10);
    assert_eq!(starts(&orders)[0].1.run, 1, "the stored run is ordered again, not another one");
}

#[test]
fn place_leaves_draining_workers_alone() {
    let mut bench = Bench::new(2);
    bench.reports[0].worker.as_mut().unwrap().draining = true;
    bench.submit("a", "plain", vec![step(4, 1)]);
    let orders = bench.pass(10);
    assert!(starts(&orders).iter().all(|(life, _)| *life == "w1"));
}

#[test]
fn tick_takes_a_worker_that_fails_everything_out_of_use() {
    let mut bench = Bench::new(2);
    bench.reports[1].worker.as_mut().unwrap().draining = true;
    // Two attempts of the first job, one of the second.
    for job in ["a", "a", "b"] {
        bench.submit(job, "plain", vec![step(1, 1)]);
        let orders = bench.pass(10);
        assert_eq!(starts(&orders).len(), 1);
        bench.run(&orders);
        bench.pass(10);
        bench.end(job, How::Failed);
    }
    bench.reports[1].worker.as_mut().unwrap().draining = false;
    bench.pass(10);
    bench.submit("d", "plain", vec![step(4, 1)]);
    let orders = bench.pass(10);
    assert!(starts(&orders).iter().all(|(life, _)| *life == "w1"), "{:?}", starts(&orders));
}

#[test]
fn make_room_for_a_guarantee_within_its_bound() {
    let mut bench = Bench::new(2);
    // Urgent work was seen, so some accelerators are kept free while other work can wait.
    bench.submit("before", "urgent", vec![step(1, 1)]);
    bench.planner.cancel(bench.now, bench.now, "before");
    for job in ["l0", "l1"] {
        bench.submit(job, "low", vec![Step { estimate_ms: 60_000, ..step(1, 8) }]);
    }
    // Low work may take all accelerators once it can't wait any longer.
    let mut running = 0;
    while running < 2 {
        let orders = bench.pass(500);
        running += starts(&orders).len();
        bench.run(&orders);
        assert!(bench.now < 400_000, "low work never takes the rest");
    }
    bench.submit("urgent", "urgent", vec![step(2, 4)]);
    let submitted_at = bench.now;
    let mut stopping: Option<u64> = None;
    loop {
        let orders = bench.pass(50);
        let stops: Vec<String> =
            orders.iter().flat_map(|o| &o.stops).map(|stop| stop.task.job.clone()).collect();
        if !stops.is_empty() && stopping.is_none() {
            stopping = Some(bench.now + TIMING.stop_ms);
        }
        if stopping.is_some_and(|until| bench.now >= until) {
            for job in &stops {
                bench.end(job, How::Stopped);
            }
        }
        let urgent = starts(&orders).iter().filter(|(_, start)| start.task.job == "urgent").count();
        if urgent == 2 {
            break;
        }
        assert!(bench.now <= submitted_at + TIMING.reclaim_ms, "not begun within the bound");
    }
}

#[test]
fn make_room_for_a_guarantee_from_urgent_work_beyond_others() {
    let mut bench = Bench::new(2);
    let sub = Submission {
        job: "beyond".to_owned(),
        queue: "urgent".to_owned(),
        account: "guest".to_owned(),
        steps: vec![Step { estimate_ms: 60_000, ..step(2, 8) }],
        ..Submission::default()
    };
    bench.planner.submit(bench.now, bench.now, &sub);
    let orders = bench.pass(10);
    assert_eq!(starts(&orders).len(), 2);
    bench.run(&orders);
    bench.submit("covered", "urgent", vec![step(1, 8)]);
    let submitted_at = bench.now;
    let latest = submitted_at + TIMING.reclaim_ms - TIMING.stop_ms;
    let stops = |orders: &[Orders]| orders.iter().map(|orders| orders.stops.len()).sum::<usize>();
    while stops(&bench.pass(50)) == 0 {
        assert!(bench.now < latest, "nothing was stopped in time for the bound");
    }
}

#[yare::parameterized(
    one_runs_at_once = { false, 2 },
    one_has_no_place = { true, 0 },
)]
fn make_room_for_all_waiting_subtasks_of_a_step_or_none(held: bool, expected: usize) {
    let mut bench = Bench::new(3);
    let submit = |bench: &mut Bench, job: &str, queue: &str, step: Step| {
        let (account, steps) = ("guest".to_owned(), vec![step]);
        let (job, queue) = (job.to_owned(), queue.to_owned());
        let sub = Submission { job, queue, account, steps, ..Submission::default() };
        let verdict = bench.planner.submit(bench.now, bench.now, &sub);
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
        let orders = bench.pass(10);
        bench.run(&orders);
    };
    // Work that saves its progress costs little to end.
    submit(&mut bench, "low", "low", Step { estimate_ms: 60_000, saves: true, ..step(2, 8) });
    if held {
        submit(&mut bench, "holds", "urgent", Step { estimate_ms: 20_000, ..step(1, 8) });
    }
    submit(&mut bench, "urgent", "urgent", step(3, 8));
    let stops = |orders: &[Orders]| orders.iter().map(|orders| orders.stops.len()).sum::<usize>();
    let most = (0..100).map(|_| stops(&bench.pass(100))).max();
    assert_eq!(most, Some(expected));
}

#[test]
fn make_room_only_for_what_such_jobs_have_earned() {
    let mut bench = Bench::new(1);
    let guest = |bench: &mut Bench, job: &str, queue: &str, step: Step| {
        let (account, steps) = ("guest".to_owned(), vec![step]);
        let (job, queue) = (job.to_owned(), queue.to_owned());
        let sub = Submission { job, queue, account, steps, ..Submission::default() };
        let verdict = bench.planner.submit(bench.now, bench.now, &sub);
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    };
    // It leaves the reserve for urgent work free.
    guest(&mut bench, "low", "low", Step { estimate_ms: 60_000, ..step(1, 6) });
    let mut made_room = Vec::new();
    for round in 0..8 {
        let runs = (0..50).any(|_| {
            let orders = bench.pass(100);
            bench.run(&orders);
            starts(&orders).iter().any(|(_, start)| start.task.job == "low")
        });
        assert!(runs, "round {round}: the work that may be ended does not run");
        let job = format!("urgent{round}");
        guest(&mut bench, &job, "urgent", step(1, 8));
        let stopped = (0..60).any(|_| bench.pass(100).iter().any(|orders| !orders.stops.is_empty()));
        made_room.push(stopped);
        bench.end("low", if stopped { How::Stopped } else { How::Failed });
        if !stopped {
            break;
        }
        let orders = bench.pass(10);
        bench.run(&orders);
        // The job takes several times its estimate, so that the room was made for nothing.
        for _ in 0..200 {
            bench.pass(100);
        }
        bench.end(&job, How::Done);
    }
    assert!(made_room.len() > 1 && made_room[0], "{made_room:?}");
    assert_eq!(made_room.last(), Some(&false), "{made_room:?}");
}

#[test]
fn place_spreads_a_guaranteed_gang_when_no_rack_can_be_vacated() {
    // Two racks of three workers; other guaranteed work holds one worker of each.
    let mut bench = Bench::new(6);
    let mut desired = desired();
    desired.version = 2;
    desired.accounts.insert("museum".to_owned(), Account { guaranteed_accelerators: 48 });
    bench.planner.set_desired(Arc::new(desired));
    for (job, rack) in [("r0", "r0"), ("r1", "r1")] {
        let pinned = Step { label: Some(rack.to_owned()), estimate_ms: 60_000, ..step(1, 8) };
        bench.submit(job, "urgent", vec![pinned]);
    }
    let orders = bench.pass(10);
    bench.run(&orders);
    bench.submit("gang", "urgent", vec![Step { gang: true, one_rack: true, ..step(3, 8) }]);
    let submitted_at = bench.now;
    while starts(&bench.pass(50)).len() < 3 {
        assert!(bench.now <= submitted_at + TIMING.reclaim_ms, "not begun within the bound");
    }
}

#[test]
fn place_orders_steps_and_occurrences() {
    let mut bench = Bench::new(1);
    let second = Step { after: vec![0], ..step(1, 1) };
    let sub = Submission {
        job: "a".to_owned(),
        queue: "plain".to_owned(),
        steps: vec![step(1, 1), second],
        schedule: Some(Schedule { occurrences: 2, first_ms: 5_000, interval_ms: 3_000 }),
        ..Submission::default()
    };
    bench.planner.submit(bench.now, bench.now, &sub);
    let mut seen: Vec<(u64, Task)> = Vec::new();
    while bench.now < 15_000 {
        let orders = bench.pass(100);
        bench.run(&orders);
        seen.extend(starts(&orders).into_iter().map(|(_, start)| (bench.now, start.task.clone())));
        bench.pass(10);
        bench.end("a", How::Done);
    }
    let order: Vec<(u32, u32)> = seen.iter().map(|(_, task)| (task.occurrence, task.step)).collect();
    assert_eq!(order, [(0, 0), (0, 1), (1, 0), (1, 1)]);
    assert!(seen[0].0 >= 5_000 && seen[2].0 >= 8_000, "{seen:?}");
    assert_eq!(bench.planner.state("a"), Some(JobState::Ended(Outcome::Completed)));
}

#[test]
fn note_end_of_a_lasting_subtask_starts_it_again() {
    let mut bench = Bench::new(1);
    bench.submit("a", "plain", vec![Step { lasting: true, ..step(1, 1) }]);
    for how in [How::Done, How::Failed, How::Failed, How::Failed, How::Lapsed] {
        let orders = bench.pass(4_000);
        assert_eq!(starts(&orders).len(), 1, "after {how:?}");
        bench.run(&orders);
        bench.pass(10);
        bench.end("a", how);
        bench.pass(10);
    }
    assert_eq!(bench.planner.state("a"), Some(JobState::Running));
}

#[test]
fn place_advised_step_only_where_it_is_approved() {
    let mut bench = Bench::new(3);
    bench.submit("a", "advised", vec![step(2, 1)]);
    assert!(starts(&bench.pass(10)).is_empty());
    let (step, asked) = bench.planner.next_approval_request(bench.now).unwrap();
    assert_eq!((step.0.as_str(), asked.len()), ("a", 3));
    let admitted = [("w2".to_owned(), "ticket-2".to_owned())];
    bench.planner.record_approvals(bench.now, &step, &asked, &admitted, 3_000);
    let orders = bench.pass(10);
    let found = starts(&orders);
    assert_eq!(found.len(), 2);
    assert!(found.iter().all(|(life, start)| *life == "w2" && start.ticket.as_deref() == Some("ticket-2")));
}

#[test]
fn set_paces_pauses_what_fills_beside_a_strained_subtask() {
    let mut bench = Bench::new(1);
    bench.submit("serve", "plain", vec![Step { lasting: true, target_ms: Some(100), ..step(1, 1) }]);
    bench.submit("fill", "low", vec![Step { fills: true, ..step(1, 0) }]);
    let orders = bench.pass(10);
    bench.run(&orders);
    assert_eq!(starts(&orders).len(), 2);
    let figure = |bench: &mut Bench, ms: u64| {
        for run in bench.reports[0].running.iter_mut().filter(|run| run.task.job == "serve") {
            run.figure = ms;
        }
    };
    figure(&mut bench, 95);
    let pace = |orders: &[Orders]| orders[0].paces.first().map(|pace| (pace.task.job.clone(), pace.percent));
    assert_eq!(pace(&bench.pass(500)), Some(("fill".to_owned(), 0)));
    figure(&mut bench, 20);
    bench.pass(500);
    assert_eq!(pace(&bench.pass(2_000)), Some(("fill".to_owned(), 20)));
}

#[yare::parameterized(
    wider_than_a_worker = { step(1, 9) },
    gang_wider_than_the_fleet = { Step { gang: true, ..step(3, 8) } },
    label_that_nobody_has = { Step { label: Some("b".to_owned()), ..step(1, 1) } },
)]
fn submit_refuses_what_can_never_run(step: Step) {
    let mut bench = Bench::new(2);
    assert!(matches!(bench.submit("a", "plain", vec![step]), Verdict::Refused { .. }));
    assert_eq!(bench.planner.state("a"), None);
}
