//! Checks that accepted work starts: beside idle workers at once, under steady narrower work within a bound.

use sorrelland_emul::check::{History, START_BOUND_MS, StartBound, WorkerRoom};
use sorrelland_emul::load::{JobGenerator, by_name};
use sorrelland_emul::run::GangStart;
use sorrelland_emul::{Setup, run};
use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::{Resources, Step, Task};

fn setup(load: &str, seed: u64, length_ms: u64, faults_per_min: f64) -> Setup {
    let load = by_name(load).unwrap();
    Setup { workers: load.workers, load, seed, length_ms, rate: 1.0, faults_per_min }
}

/// Guards against waits beside idle workers: for a whole rack, for the reserve, or for workers out of use.
#[yare::parameterized(
    wide_no_faults = { "wide", 1.0, 0.0, 6 },
    wide_faults = { "wide", 1.0, 10.0, 6 },
    hpms_no_faults = { "hpms", 0.6, 0.0, 12 },
    hpms_burst = { "hpms", 2.0, 0.0, 12 },
    hpms_faults = { "hpms", 1.0, 20.0, 12 },
    cmsc_no_faults = { "cmsc", 0.6, 0.0, 12 },
    cmsc_faults = { "cmsc", 1.0, 20.0, 12 },
    cmsc_many_faults = { "cmsc", 1.5, 60.0, 12 },
    uneven_no_faults = { "uneven", 1.0, 0.0, 3 },
    uneven_faults = { "uneven", 1.0, 20.0, 3 },
    bursty_no_faults = { "bursty", 1.0, 0.0, 3 },
    bursty_faults = { "bursty", 1.5, 20.0, 3 },
)]
fn run_starts_work_beside_idle_workers(load: &str, rate: f64, faults_per_min: f64, seeds: u64) {
    let length_ms = if load == "wide" { 30_000 } else { 40_000 };
    let mut late = Vec::new();
    for seed in 1..=seeds {
        let outcomes = run(&Setup { rate, ..setup(load, seed, length_ms, faults_per_min) });
        assert!(
            outcomes.starts > 0 && outcomes.violations.is_empty(),
            "seed {seed}: {:?}",
            outcomes.violations
        );
        late.extend(outcomes.late_starts.iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Guards against wide work that never starts while narrow work takes each worker that comes free.
#[test]
fn run_starts_wide_work_under_steady_narrow_work() {
    let load = by_name("steady").unwrap();
    let longest_narrow_ms = load.longest_run_ms(2);
    let mut late = Vec::new();
    let mut gangs = 0;
    for seed in 1..=10 {
        let outcomes = run(&setup("steady", seed, 120_000, 0.0));
        let mut first_in_line_ms = 0;
        for gang in &outcomes.gang_starts {
            gangs += 1;
            let waits_from_ms = gang.accepted_ms.max(first_in_line_ms);
            let wait_ms = gang.started_ms.unwrap_or(u64::MAX).saturating_sub(waits_from_ms);
            let bound_ms = longest_narrow_ms + gang.estimate_ms + START_BOUND_MS;
            if wait_ms > bound_ms {
                late.push(format!("seed {seed}: waited {wait_ms} ms, at most {bound_ms} ms: {gang:?}"));
            }
            first_in_line_ms = first_in_line_ms.max(gang.ended_ms.unwrap_or(u64::MAX));
        }
    }
    assert!(gangs >= 10, "{gangs}");
    assert!(late.is_empty(), "{} of {gangs}: {late:#?}", late.len());
}

/// Guards against a load in which narrow work leaves the workers idle, or in which gangs wait for each other.
#[test]
fn steady_keeps_most_memory_in_use_with_few_gangs() {
    let load = by_name("steady").unwrap();
    let mut generator = JobGenerator::new(1);
    let mut used_mb = [0.0; 3];
    for _ in 0..2_000 {
        for (index, kind) in load.kinds.iter().enumerate() {
            let (submission, hidden) = generator.generate_job(&load, index);
            for (step, work_ms) in submission.steps.iter().zip(&hidden.work_ms) {
                let memory_ms = i64::from(step.count) * step.resources.memory_mb * *work_ms as i64;
                used_mb[index] += kind.arrivals_per_s * memory_ms as f64 / 2_000.0 / 1_000.0;
            }
        }
    }
    let speed = load.speeds.iter().sum::<f64>() / load.speeds.len() as f64;
    let capacity_mb = load.workers as f64 * load.capacity.memory_mb as f64 * speed;
    let shares = used_mb.map(|used_mb| used_mb / capacity_mb);
    assert!((0.75..0.9).contains(&shares[2]), "{shares:?}");
    assert!(shares[0] < 0.05 && shares[1] == 0.0, "{shares:?}");
}

/// Guards against gangs that are all alike: narrow, of equal members, or limited by something else than memory.
#[test]
fn wide_has_gangs_of_uneven_memory() {
    let load = by_name("wide").unwrap();
    let mut generator = JobGenerator::new(1);
    let steps = (0..1_000).map(|_| generator.generate_job(&load, 0).0.steps.remove(0));
    let steps: Vec<Step> = steps.collect();
    assert!(steps.iter().all(|step| step.gang && step.prefers_one_rack && (4..=40).contains(&step.count)));
    let copies = |step: &Step| load.capacity.copies_of(&step.resources);
    let by_memory = |step: &Step| load.capacity.memory_mb / step.resources.memory_mb;
    assert!(steps.iter().all(|step| copies(step) == by_memory(step)));
    for (least, most) in [(4, 8), (20, 40)] {
        let share = steps.iter().filter(|step| (least..=most).contains(&step.count)).count();
        assert!(share > 150, "{share} of 1,000 with {least} to {most} members");
    }
    let alone = steps.iter().filter(|step| copies(step) == 1).count();
    assert!((50..400).contains(&alone), "{alone} of 1,000 with one member a worker");
}

fn gang(count: u32) -> Step {
    Step { count, resources: Resources::new(52, 140, 1), gang: true, ..Step::default() }
}

/// Returns workers of 128 cores, 256 GB and 8 accelerators of which `used` have one member of [`gang`].
fn rooms(workers: usize, used: usize) -> Vec<WorkerRoom> {
    let capacity = Resources::new(128, 256, 8);
    let free = |at: usize| if at < used { Resources::new(76, 116, 7) } else { capacity };
    (0..workers).map(|at| WorkerRoom { capacity, free: free(at) }).collect()
}

/// Checks a waiting step each 20 ms for `length_ms` and returns the number of violations.
fn violations(
    bound: &mut StartBound,
    rooms: &[WorkerRoom],
    step: &Step,
    from_ms: u64,
    length_ms: u64,
) -> usize {
    let reported = bound.violations.len();
    for now_ms in (from_ms..=from_ms + length_ms).step_by(20) {
        if bound.is_due(now_ms, rooms) {
            bound.check(now_ms, rooms, [("job", 0, step)].into_iter(), |_| String::new());
        }
    }
    bound.violations.len() - reported
}

#[yare::parameterized(
    just_under_the_bound = { 11, 3, 4, 2_980, 0 },
    at_the_bound = { 11, 3, 4, 3_000, 1 },
    reported_once = { 11, 3, 4, 60_000, 1 },
    room_for_one_copy = { 11, 3, 5, 60_000, 0 },
    half_of_the_memory_in_use = { 22, 21, 1, 60_000, 0 },
)]
fn check_counts_waits_beside_ample_room(
    workers: usize,
    used: usize,
    members: u32,
    length_ms: u64,
    expected: usize,
) {
    let found =
        violations(&mut StartBound::default(), &rooms(workers, used), &gang(members), 1_000, length_ms);
    assert_eq!(found, expected);
}

/// Guards against violations that a fault explains.
#[test]
fn record_fault_restarts_the_wait() {
    let (mut bound, rooms, step) = (StartBound::default(), rooms(11, 3), gang(4));
    assert_eq!(violations(&mut bound, &rooms, &step, 1_000, 2_500), 0);
    bound.record_fault(7_500);
    assert_eq!(violations(&mut bound, &rooms, &step, 3_520, 6_960), 0);
    assert_eq!(violations(&mut bound, &rooms, &step, 10_500, 0), 1);
}

/// Guards against a wait that is summed up over spells between which there was no room.
#[test]
fn check_restarts_the_wait_without_room() {
    let (mut bound, step) = (StartBound::default(), gang(4));
    assert_eq!(violations(&mut bound, &rooms(11, 3), &step, 1_000, 2_500), 0);
    assert_eq!(violations(&mut bound, &rooms(11, 4), &step, 3_520, 0), 0);
    assert_eq!(violations(&mut bound, &rooms(11, 3), &step, 3_540, 2_980), 0);
}

/// Guards against a check that takes a step for startable before its dependencies are done, or after its own end.
#[test]
fn startable_step_follows_dependencies_and_ends() {
    let steps = [Step { count: 1, ..Step::default() }, Step { count: 1, depends_on: vec![0], ..gang(1) }];
    let startable = |history: &History| history.startable_step("job", &steps).map(|(number, _)| number);
    let mut history = History::default();
    assert_eq!(startable(&history), Some(0));
    let task = Task { job: "job".to_owned(), occurrence: 0, step: 0, index: 0 };
    history.record_end(0, "w0-1", 1, &task, 1, EndReason::Done);
    assert_eq!(startable(&history), None);
    history.record_acknowledgement("w0-1", 1);
    assert_eq!(startable(&history), Some(1));
}

/// Guards against gangs that are taken for started because another one was.
#[test]
fn run_lists_gang_starts_in_order_of_acceptance() {
    let outcomes = run(&setup("wide", 1, 30_000, 0.0));
    let accepted: Vec<u64> = outcomes.gang_starts.iter().map(|gang: &GangStart| gang.accepted_ms).collect();
    assert!(!accepted.is_empty() && accepted.is_sorted(), "{accepted:?}");
    let is_after = |gang: &GangStart| gang.started_ms.is_none_or(|started_ms| started_ms >= gang.accepted_ms);
    assert!(outcomes.gang_starts.iter().all(is_after), "{:?}", outcomes.gang_starts);
}
