//! Tests that no value that another process writes ends the planner or the service.

mod common;

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use common::{Fleet, step};
use sorrelland_fleet::job::{JobState, Schedule, Step, Submission};
use sorrelland_fleet::planner::Admission;
use sorrelland_fleet::report::{End, EndReason, FirstMark, Running};
use sorrelland_fleet::unit::UnitState;
use sorrelland_fleet::view::Query;
use sorrelland_fleet::{Resources, Task, record};

const JOB: &str = "00000000000000a1";
const AMOUNTS: [i64; 7] = [0, 1, -1, i64::MIN, i64::MAX, 1 << 53, -(1 << 53)];
const NUMBERS: [u64; 5] = [0, 1, 1 << 53, i64::MAX as u64, u64::MAX];

fn end(task: Task, run: u64) -> End {
    End { number: 1, task, run, reason: EndReason::Done, saved: String::new() }
}

/// Submits a job, lets it run to its end, and asserts that its caller sees it completed.
fn assert_serves(fleet: &mut Fleet, job: &str, case: &str) {
    let admission = fleet.submit(job, "plain", vec![step(1, 1)]);
    assert!(matches!(admission, Admission::Accepted { .. }), "{case}: {admission:?}");
    let assigned = fleet.advance(100);
    fleet.mark_running(&assigned);
    fleet.advance(100);
    for report in &mut fleet.reports {
        let ended = report.running.iter().filter(|run| run.task.job == job).cloned();
        report.ended.extend(ended.map(|Running { task, run, .. }| End { number: 900, ..end(task, run) }));
    }
    fleet.advance(100);
    assert!(matches!(fleet.planner.state(job), Some(JobState::Ended(_))), "{case}");
}

#[test]
fn apply_report_with_absurd_capacity_keeps_service() {
    for amount in AMOUNTS {
        let capacities =
            [Resources::new(amount, 1, 1), Resources::new(1, amount, 1), Resources::new(1, 1, amount)];
        for capacity in capacities.into_iter().chain([Resources::new(amount, amount, amount)]) {
            let case = format!("capacity {capacity}");
            let mut fleet = Fleet::new(4);
            fleet.reports[0].worker.as_mut().unwrap().capacity = capacity;
            fleet.advance(100);
            assert_serves(&mut fleet, JOB, &case);
            assert!(fleet.planner.capacity_of("svc").is_non_negative(), "{case}");
        }
    }
}

#[test]
fn apply_report_with_absurd_capacity_keeps_the_known_one_and_its_runs() {
    let mut fleet = Fleet::new(1);
    fleet.submit(JOB, "plain", vec![step(1, 1)]);
    let assigned = fleet.advance(100);
    fleet.mark_running(&assigned);
    fleet.advance(100);
    fleet.reports[0].worker.as_mut().unwrap().capacity = Resources::new(i64::MIN, 1, 1);
    for _ in 0..100 {
        fleet.advance(100);
    }
    assert_eq!(fleet.planner.capacity_of("svc"), Resources::new(128_000, 262_144, 8));
    let ignored = fleet.planner.take_ignored_reports();
    assert!(ignored.get("out_of_bounds").is_some_and(|count| *count >= 100), "{ignored:?}");
    let lines = fleet.planner.take_log();
    let line = lines.iter().find(|line| line.contains("reason=out_of_bounds"));
    assert!(line.is_some_and(|line| line.contains("millicores")), "{lines:?}");
    fleet.end_runs(JOB, EndReason::Done);
    fleet.advance(100);
    assert!(matches!(fleet.planner.state(JOB), Some(JobState::Ended(_))), "the end of its run was lost");
}

#[test]
fn apply_report_with_absurd_numbers_keeps_service() {
    for number in NUMBERS {
        for field in ["remaining_ms", "silent_before_ms", "percent", "measurement", "end", "first_mark"] {
            let case = format!("{field} {number}");
            let mut fleet = Fleet::new(4);
            let serving = Step { target_ms: Some(100), long_running: true, ..step(1, 1) };
            let idle = Step { uses_idle_cpu: true, long_running: true, ..step(4, 1) };
            fleet.submit("00000000000000b1", "plain", vec![serving, idle]);
            let assigned = fleet.advance(100);
            fleet.mark_running(&assigned);
            for report in &mut fleet.reports {
                let worker = report.worker.as_mut().unwrap();
                match field {
                    "remaining_ms" => (worker.draining, worker.remaining_ms) = (true, Some(number)),
                    "silent_before_ms" => report.silent_before_ms = Some(number),
                    "percent" => report.running.iter_mut().for_each(|run| run.percent = number),
                    "measurement" => report.running.iter_mut().for_each(|run| run.measurement = number),
                    "end" => {
                        let ended = report.running.iter().map(|run| (run.task.clone(), run.run));
                        report.ended = ended.map(|(task, run)| End { number, ..end(task, run) }).collect();
                    }
                    _ => {
                        let marks = report.running.iter().map(|run| FirstMark {
                            task: run.task.clone(),
                            run: run.run,
                            age_ms: number,
                            percent: number,
                            is_start: true,
                        });
                        report.first_marks = marks.collect();
                    }
                }
            }
            for _ in 0..30 {
                fleet.advance(100);
            }
            for report in &mut fleet.reports {
                let worker = report.worker.as_mut().unwrap();
                (worker.draining, worker.remaining_ms) = (false, None);
                report.ended.clear();
            }
            fleet.advance(100);
            assert_serves(&mut fleet, JOB, &case);
        }
    }
}

fn submission(steps: Vec<Step>, schedule: Option<Schedule>) -> Submission {
    let (queue, account) = ("plain".to_owned(), "museum".to_owned());
    Submission {
        job: "00000000000000c1".to_owned(),
        queue,
        account,
        steps,
        schedule,
        ..Submission::default()
    }
}

#[test]
fn submit_of_absurd_job_keeps_service() {
    for amount in AMOUNTS {
        let number = amount as u64;
        let short = u32::try_from(number.min(u64::from(u32::MAX))).unwrap();
        let of = |step: Step| submission(vec![step, Step { depends_on: vec![0], ..self::step(1, 1) }], None);
        let every = |first_ms, interval_ms| Schedule { occurrences: 3, first_ms, interval_ms };
        let cases = [
            ("cpu", of(Step { resources: Resources::new(amount, 1, 1), ..step(1, 1) })),
            ("memory", of(Step { resources: Resources::new(1, amount, 1), ..step(1, 1) })),
            ("accelerators", of(Step { resources: Resources::new(1, 1, amount), ..step(1, 1) })),
            ("nothing", of(Step { resources: Resources::default(), ..step(1, 1) })),
            ("estimate", of(Step { estimate_ms: number, ..step(1, 1) })),
            ("target", of(Step { target_ms: Some(number), long_running: true, ..step(1, 1) })),
            ("after", of(Step { depends_on: vec![short], ..step(1, 1) })),
            ("per worker", of(Step { max_per_worker: Some(short), ..step(1, 1) })),
            ("first", submission(vec![step(1, 1)], Some(every(number, 1)))),
            ("interval", submission(vec![step(1, 1)], Some(every(0, number)))),
        ];
        for (field, sub) in cases {
            for queue in ["plain", "urgent"] {
                let case = format!("{queue}: {field} {amount}");
                let mut fleet = Fleet::new(4);
                for _ in 0..20 {
                    fleet.advance(100);
                }
                let sub = Submission { queue: queue.to_owned(), ..sub.clone() };
                let admission = fleet.planner.submit(fleet.now, fleet.now, &sub);
                let is_plain = field == "nothing";
                assert!(
                    !is_plain || matches!(admission, Admission::Accepted { .. }),
                    "{case}: {admission:?}"
                );
                for _ in 0..5 {
                    let assigned = fleet.advance(100);
                    fleet.mark_running(&assigned);
                }
                fleet.planner.view(&Query::Jobs, fleet.now, fleet.now);
                assert_serves(&mut fleet, JOB, &case);
            }
        }
    }
}

#[test]
fn submit_of_absurd_counts_keeps_service() {
    for count in [0, 10_001, u32::MAX] {
        for gang in [false, true] {
            let mut fleet = Fleet::new(4);
            let sub = submission(vec![Step { count, gang, ..step(1, 1) }], None);
            let admission = fleet.planner.submit(fleet.now, fleet.now, &sub);
            assert!(matches!(admission, Admission::Refused { .. }), "count {count}: {admission:?}");
            assert_serves(&mut fleet, JOB, &format!("count {count}"));
        }
    }
}

#[test]
fn submit_of_many_due_occurrences_creates_them_step_by_step() {
    let mut fleet = Fleet::new(4);
    let schedule = Schedule { occurrences: u32::MAX, first_ms: 0, interval_ms: 0 };
    // Nothing of it can start, so nothing ends either.
    let unknown = Step { label: Some("unknown".to_owned()), ..step(100, 0) };
    let sub = submission(vec![step(1, 0), Step { depends_on: vec![0], ..unknown }], Some(schedule));
    let mut job = record::new_job(sub, 0);
    job.create_due(u64::MAX);
    let created = job.units.len();
    assert!((101..=20_000).contains(&created), "{created} units");
    job.create_due(u64::MAX);
    assert_eq!(job.units.len(), created);
    job.units.values_mut().for_each(|unit| unit.state = UnitState::Done);
    job.create_due(u64::MAX);
    assert!(job.units.len() > created, "the next occurrences were never created");
    assert_serves(&mut fleet, JOB, "many occurrences");
}

#[test]
fn critical_path_of_entangled_steps_takes_no_longer_than_they_are_many() {
    let entangled = |number: u32| Step { depends_on: (0..number).collect(), estimate_ms: 1, ..step(1, 1) };
    let steps: Vec<Step> = (0..200).map(entangled).collect();
    let job = record::new_job(submission(steps, None), 0);
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || tx.send((job.critical_path_from_ms(0), job.critical_path_from_ms(150))));
    let paths = rx.recv_timeout(Duration::from_secs(5));
    assert_eq!(paths, Ok((200, 50)), "a pass of the planner never ends");
}

#[test]
fn critical_path_of_a_long_chain_needs_no_deep_stack() {
    let next = |number: u32| Step { depends_on: number.checked_sub(1).into_iter().collect(), ..step(1, 1) };
    let steps: Vec<Step> = (0..9_000).map(next).collect();
    let job = record::new_job(submission(steps, None), 0);
    assert_eq!(job.critical_path_from_ms(8_999), 2_000);
    let small = thread::Builder::new().stack_size(256 * 1_024);
    let path = small.spawn(move || job.critical_path_from_ms(0)).unwrap().join();
    assert_eq!(path.unwrap(), 9_000 * 2_000);
}

#[test]
fn record_approvals_of_absurd_validity_keeps_service() {
    for valid_ms in NUMBERS {
        let mut fleet = Fleet::new(2);
        fleet.submit("00000000000000b1", "advised", vec![step(1, 1)]);
        fleet.advance(100);
        let (asked, workers) = fleet.planner.next_approval_request(fleet.now).unwrap();
        let admitted = [(workers[0].clone(), "ticket".to_owned())];
        fleet.planner.record_approvals(fleet.now, &asked, &workers, &common::reply(&admitted, valid_ms));
        let assigned = fleet.advance(100);
        let starts: usize = assigned.iter().map(|assigned| assigned.starts.len()).sum();
        assert_eq!(starts, usize::from(valid_ms > 1_000), "valid for {valid_ms} ms");
        assert_serves(&mut fleet, JOB, &format!("valid for {valid_ms} ms"));
    }
}
