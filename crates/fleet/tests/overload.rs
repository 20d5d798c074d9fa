//! Tests what is delayed and what is refused while capacity is short, in virtual time.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{Fleet, desired, queue};
use sorrelland_fleet::Resources;
use sorrelland_fleet::desired::{Account, Queue};
use sorrelland_fleet::job::{JobState, Outcome, Step, Submission};
use sorrelland_fleet::overload::{
    self, Decision, Demand, FairShares, Rank, Ratio, Request, ServiceDemand, Share, Supply, Work,
};
use sorrelland_fleet::planner::Admission;
use sorrelland_fleet::report::{End, EndReason, Running};
use sorrelland_fleet::value::Timeliness;
use sorrelland_forecast::Correction;

const TICK_MS: u64 = 50;

/// Capacity of a worker of the member desk.
const CAPACITY: Resources = Resources { millicores: 32_000, memory_mb: 128_000, accelerators: 8 };

/// Time after the last arrival in which accepted jobs have to end.
const DRAIN_MS: u64 = 400_000;

/// Number of times that a caller submits a refused job again.
const MAX_RETRIES: u32 = 4;

/// Seeded sequence of random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (x ^ (x >> 31)) % bound
    }
}

/// A caller with its job.
#[derive(Clone)]
struct Caller {
    sub: Submission,
    /// Actual work of the subtasks, in milliseconds.
    work_ms: u64,
    arrives_ms: u64,
    next_ms: u64,
    attempts: u32,
    retries_ms: Vec<u64>,
    accepted: bool,
    ended: Option<(u64, Outcome)>,
}

/// Runs by agent, with the time of their end.
type Runs = BTreeMap<(usize, sorrelland_fleet::Task, u64), u64>;

struct Play {
    fleet: Fleet,
    callers: Vec<Caller>,
    runs: Runs,
    stopping: BTreeSet<(usize, sorrelland_fleet::Task, u64)>,
    last_end: Vec<u64>,
    /// Jobs that were refused while a first unit of theirs fitted into free room.
    refused_with_room: Vec<String>,
    log: Vec<String>,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Got {
    all: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

fn member_desk() -> Vec<Queue> {
    let urgent = Queue { stretch_milli: 1_500, full_value_ms: 250, ..queue("urgent", 0) };
    let low = Queue { stretch_milli: 3_000, full_value_ms: 3_000, ..queue("low", 2) };
    vec![urgent, queue("plain", 1), low]
}

impl Play {
    fn new(workers: usize, accounts: &[(&str, i64)], callers: Vec<Caller>) -> Self {
        let mut fleet = Fleet::new(workers);
        let mut desired = desired();
        (desired.version, desired.queues) = (2, member_desk());
        let account = |(name, guaranteed_accelerators): &(&str, i64)| {
            ((*name).to_owned(), Account { guaranteed_accelerators: *guaranteed_accelerators })
        };
        desired.accounts = accounts.iter().map(account).collect();
        fleet.planner.set_desired(Arc::new(desired));
        for report in &mut fleet.reports {
            report.worker.as_mut().unwrap().capacity = CAPACITY;
        }
        // Later than any report of a new planner's workers.
        for _ in 0..40 {
            fleet.advance(TICK_MS);
        }
        let last_end = vec![0; workers];
        let (runs, stopping) = (Runs::new(), BTreeSet::new());
        Self { fleet, callers, runs, stopping, last_end, refused_with_room: Vec::new(), log: Vec::new() }
    }

    fn play(&mut self) {
        let started_ms = self.fleet.now;
        let last_ms = self.callers.iter().map(|caller| caller.arrives_ms).max().unwrap_or(0);
        while self.fleet.now < started_ms + last_ms + DRAIN_MS {
            let is_over = |caller: &Caller| {
                caller.ended.is_some() || (!caller.accepted && caller.attempts > MAX_RETRIES)
            };
            if self.callers.iter().all(is_over) {
                break;
            }
            self.step_callers(started_ms);
            self.end_runs();
            let assignments = self.fleet.advance(TICK_MS);
            self.log.extend(self.fleet.planner.take_log());
            for assigned in &assignments {
                let at: usize = assigned.incarnation.trim_start_matches('w').parse().unwrap();
                let report = &mut self.fleet.reports[at];
                report.ended.retain(|end| end.number > assigned.acknowledged);
                for stop in &assigned.stops {
                    let key = (at, stop.task.clone(), stop.run);
                    if let Some(end) = self.runs.get_mut(&key).filter(|_| self.stopping.insert(key)) {
                        *end = self.fleet.now + common::TIMING.stop_ms;
                    }
                }
                for start in &assigned.starts {
                    let key = (at, start.task.clone(), start.run);
                    let is_known = self.runs.contains_key(&key)
                        || report.ended.iter().any(|end| end.task == start.task && end.run == start.run);
                    if is_known {
                        continue;
                    }
                    let caller = self.callers.iter().find(|caller| caller.sub.job == start.task.job);
                    self.runs.insert(key, self.fleet.now + caller.unwrap().work_ms);
                    let (task, run) = (start.task.clone(), start.run);
                    let running = Running { task, run, saved: String::new(), percent: 0, measurement: 0 };
                    report.running.push(running);
                }
            }
        }
    }

    fn step_callers(&mut self, started_ms: u64) {
        let now = self.fleet.now;
        let mut free = vec![CAPACITY; self.fleet.reports.len()];
        for (at, task, _) in self.runs.keys() {
            let caller = self.callers.iter().find(|caller| caller.sub.job == task.job);
            free[*at] -= caller.unwrap().sub.steps[0].resources;
        }
        for caller in self.callers.iter_mut().filter(|caller| caller.ended.is_none()) {
            if caller.accepted {
                if let Some(JobState::Ended(outcome)) = self.fleet.planner.state(&caller.sub.job) {
                    caller.ended = Some((now - started_ms - caller.arrives_ms, outcome));
                }
                continue;
            }
            if now < started_ms + caller.arrives_ms.max(caller.next_ms) || caller.attempts > MAX_RETRIES {
                continue;
            }
            caller.attempts += 1;
            match self.fleet.planner.submit(now, now, &caller.sub) {
                Admission::Accepted { .. } => caller.accepted = true,
                Admission::Refused { retry_after_ms, .. } => {
                    let step = &caller.sub.steps[0];
                    let required = if step.gang { i64::from(step.count) } else { 1 };
                    let slots: i64 = free.iter().map(|free| free.copies_of(&step.resources)).sum();
                    if slots >= required {
                        self.refused_with_room.push(caller.sub.job.clone());
                    }
                    caller.retries_ms.push(retry_after_ms);
                    caller.next_ms = now - started_ms + retry_after_ms;
                }
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.fleet.now;
        let due: Vec<_> =
            self.runs.iter().filter(|(_, end)| **end <= now).map(|(key, _)| key.clone()).collect();
        for key in due {
            self.runs.remove(&key);
            let reason = if self.stopping.remove(&key) { EndReason::Stopped } else { EndReason::Done };
            let (at, task, run) = key;
            self.last_end[at] += 1;
            let report = &mut self.fleet.reports[at];
            report.running.retain(|running| running.task != task || running.run != run);
            report.ended.push(End { number: self.last_end[at], task, run, reason, saved: String::new() });
        }
    }

    /// Returns what the callers got, by the group that `key` names.
    fn got<K: Ord>(&self, key: impl Fn(&Caller) -> K) -> BTreeMap<K, Got> {
        let mut groups: BTreeMap<K, Got> = BTreeMap::new();
        let queues = member_desk();
        for caller in &self.callers {
            let group = groups.entry(key(caller)).or_default();
            group.all += 1;
            let queue = queues.iter().find(|queue| queue.name == caller.sub.queue).unwrap();
            let target_ms = caller.work_ms * queue.stretch_milli / 1_000 + queue.full_value_ms;
            match caller.ended {
                Some((ms, Outcome::Completed)) if ms <= target_ms => group.in_time += 1,
                Some((ms, Outcome::Completed)) if ms <= 3 * target_ms => group.late += 1,
                Some(_) => (),
                None => group.refused += u32::from(!caller.accepted),
            }
        }
        groups
    }
}

/// A burst of the member desk: work is skewed by 1.2 over the accounts, memory runs out first, and declared estimates are
/// off by a factor of up to 2.5.
fn burst(seed: u64, count: u64, length_ms: u64) -> Vec<Caller> {
    let mut random = Random(seed);
    let weights: Vec<f64> = (1..=5).map(|rank| 1_000.0 / f64::from(rank).powf(1.2)).collect();
    let mut callers = Vec::new();
    for number in 0..count {
        let mut point = random.below(weights.iter().sum::<f64>() as u64) as f64;
        let account = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let queue = ["urgent", "plain", "plain", "low"][random.below(4) as usize];
        let work_ms = match queue {
            "urgent" => 1_000 + random.below(3_000),
            _ => 3_000 + random.below(8_000),
        };
        let error_milli = [400, 700, 1_000, 1_000, 1_500, 2_500][random.below(6) as usize];
        let subtasks = 1 + random.below(4) as u32;
        let step = Step {
            count: subtasks,
            resources: Resources::new(
                4_000,
                15_000 + random.below(53_000) as i64,
                1 + random.below(3) as i64,
            ),
            estimate_ms: work_ms * error_milli / 1_000,
            gang: queue == "urgent" && subtasks > 1 && random.below(2) == 0,
            ..Step::default()
        };
        let sub = Submission {
            job: format!("job{number:04}"),
            queue: queue.to_owned(),
            account: format!("account{}", account.unwrap_or(0)),
            steps: vec![step],
            ..Submission::default()
        };
        callers.push(caller(sub, work_ms, random.below(length_ms)));
    }
    callers
}

fn caller(sub: Submission, work_ms: u64, arrives_ms: u64) -> Caller {
    Caller {
        sub,
        work_ms,
        arrives_ms,
        next_ms: 0,
        attempts: 0,
        retries_ms: Vec::new(),
        accepted: false,
        ended: None,
    }
}

const ACCOUNTS: [(&str, i64); 5] =
    [("account0", 0), ("account1", 0), ("account2", 0), ("account3", 0), ("account4", 0)];

/// A burst of one large account, beside the usual work of all.
fn burst_of_one_account(seed: u64) -> Vec<Caller> {
    let mut callers = burst(seed, 100, 60_000);
    for caller in callers.iter_mut().filter(|caller| caller.sub.account == "account0") {
        caller.sub.account = "account1".to_owned();
    }
    for mut caller in burst(seed + 100, 150, 10_000) {
        caller.sub.job = format!("burst-{}", caller.sub.job);
        caller.sub.account = "account0".to_owned();
        caller.arrives_ms += 5_000;
        callers.push(caller);
    }
    callers
}

/// Plays a load with several seeds and returns what the callers got, by group and in total under `all`.
fn play_seeds(load: fn(u64) -> Vec<Caller>) -> (BTreeMap<String, Got>, Vec<Play>) {
    let mut groups: BTreeMap<String, Got> = BTreeMap::new();
    let mut add = |group: String, got: Got| {
        let sum = groups.entry(group).or_default();
        sum.all += got.all;
        sum.in_time += got.in_time;
        sum.late += got.late;
        sum.refused += got.refused;
    };
    let mut plays = Vec::new();
    for seed in 1..=4 {
        let mut play = Play::new(8, &ACCOUNTS, load(seed));
        play.play();
        let size = |caller: &Caller| format!("size {}", caller.sub.steps[0].count);
        play.got(|caller| caller.sub.queue.clone()).into_iter().for_each(|(group, got)| add(group, got));
        play.got(|caller| caller.sub.account.clone()).into_iter().for_each(|(group, got)| add(group, got));
        play.got(size).into_iter().for_each(|(group, got)| add(group, got));
        play.got(|_| "all".to_owned()).into_iter().for_each(|(group, got)| add(group, got));
        plays.push(play);
    }
    (groups, plays)
}

/// Guards against a burst in which capacity goes to jobs that are worthless when they end, and against refusals of jobs
/// that could have been in time. The compared figures are those of the same loads before this order of work.
#[yare::parameterized(
    more_than_fits = { |seed| burst(seed, 300, 60_000), [("all", 431), ("plain", 145), ("size 1", 142), ("size 4", 86)], 270 },
    one_large_account = { burst_of_one_account, [("all", 312), ("plain", 123), ("size 1", 115), ("size 4", 63)], 175 },
)]
fn play_burst_ends_more_jobs_in_time(
    load: fn(u64) -> Vec<Caller>,
    before: [(&str, u32); 4],
    urgent_before: u32,
) {
    let (got, plays) = play_seeds(load);
    for (group, in_time) in before {
        assert!(got[group].in_time >= in_time, "{group}: {in_time} in time before; {got:#?}");
    }
    assert!(got["all"].in_time * 100 >= before[0].1 * 110, "{got:#?}");
    // Less urgent runs that can be in time cost more to stop, so some urgent jobs wait longer.
    assert!(got["urgent"].in_time * 100 >= urgent_before * 95, "{got:#?}");
    for play in &plays {
        assert_eq!(play.refused_with_room, Vec::<String>::new());
        let is_unended = |caller: &&Caller| caller.accepted && caller.ended.is_none();
        let unended: Vec<&str> =
            play.callers.iter().filter(is_unended).map(|caller| caller.sub.job.as_str()).collect();
        assert_eq!(unended, Vec::<&str>::new(), "accepted jobs that never ended");
    }
}

/// Guards against a large account whose burst fills the service and leaves small accounts with late results.
#[test]
fn play_burst_of_one_account_leaves_small_accounts_in_time() {
    let (got, _) = play_seeds(burst_of_one_account);
    let share = |account: &str| f64::from(got[account].in_time) / f64::from(got[account].all);
    for small in ["account2", "account3", "account4"] {
        assert!(share(small) >= 1.5 * share("account0"), "{small}: {got:#?}");
    }
    let small: u32 = ["account2", "account3", "account4"].iter().map(|name| got[*name].in_time).sum();
    assert!(small >= 50, "39 in time before; {got:#?}");
}

/// Guards against changes to a deployment that has room for all its work.
#[test]
fn play_quiet_load_refuses_nothing_and_is_in_time() {
    let (got, _) = play_seeds(|seed| burst(seed, 60, 60_000));
    assert_eq!((got["all"].in_time, got["all"].refused), (240, 0), "{got:#?}");
}

/// Guards against refused callers that come back at the same moment and are refused again together.
#[test]
fn play_flood_spreads_refused_callers() {
    let mut play = Play::new(4, &ACCOUNTS, burst(1, 400, 30_000));
    play.play();
    let retries: Vec<u64> = play.callers.iter().flat_map(|caller| caller.retries_ms.clone()).collect();
    assert!(retries.len() > 50, "{} refusals", retries.len());
    assert!(retries.iter().all(|ms| (1_000..=20_000).contains(ms)), "{retries:?}");
    let mut per_100_ms: BTreeMap<u64, usize> = BTreeMap::new();
    retries.iter().for_each(|ms| *per_100_ms.entry(ms / 100).or_default() += 1);
    let most = per_100_ms.values().max().copied().unwrap_or(0);
    assert!(most * 6 <= retries.len(), "{most} of {} within 100 ms", retries.len());
    let refused = play.log.iter().filter(|line| line.starts_with("event=admission_refused ")).count();
    assert_eq!(refused, retries.len());
    assert_eq!(play.fleet.planner.take_refusals(), [("no_value", refused as u64)].into());
    let line = play.log.iter().find(|line| line.starts_with("event=admission_refused ")).unwrap();
    for field in
        ["cause=no_value", "low_wait_ms=", "drain_ms=", "max_wait_ms=", "chain_ms=", "share=", "needs="]
    {
        assert!(line.contains(field), "{field} is missing in {line}");
    }
}

/// Guards against refusals of work that a guarantee covers.
#[test]
fn play_flood_never_refuses_guaranteed_jobs() {
    let mut accounts = ACCOUNTS;
    accounts[4].1 = 8;
    let mut callers = burst(2, 400, 30_000);
    callers.retain(|caller| caller.sub.account != "account4");
    for number in 0..8 {
        let step =
            Step { estimate_ms: 1_000, resources: Resources::new(4_000, 15_000, 2), ..Step::default() };
        let sub = Submission {
            job: format!("guaranteed{number}"),
            queue: "urgent".to_owned(),
            account: "account4".to_owned(),
            steps: vec![Step { count: 2, ..step }],
            ..Submission::default()
        };
        callers.push(caller(sub, 1_000, 4_000 * number + 2_000));
    }
    let mut play = Play::new(4, &accounts, callers);
    play.play();
    let covered = play.callers.iter().filter(|caller| caller.sub.account == "account4");
    for caller in covered {
        assert_eq!((caller.attempts, caller.accepted), (1, true), "{} was refused", caller.sub.job);
        let (ms, outcome) = caller.ended.unwrap();
        let bound_ms = common::TIMING.reclaim_ms + caller.work_ms + 4 * TICK_MS;
        assert!(outcome == Outcome::Completed && ms <= bound_ms, "{} ended after {ms} ms", caller.sub.job);
    }
}

fn rank(priority: u32, timeliness: Timeliness) -> Rank {
    Rank { guaranteed: false, timeliness, priority, share: Share::Under, value_density: 1.0, latest_start: 0 }
}

fn work(rank: Rank, need: Resources, ms: u64) -> Work {
    Work { rank, is_placed: false, need, low_ms: ms, median_ms: ms }
}

/// A job of 1,000 ms that has no value after a wait of 5,000 ms.
fn request(job: &str) -> Request<'_> {
    Request {
        job,
        rank: Rank { value_density: 0.5, ..rank(1, Timeliness::InTime) },
        late_value_density: 0.5,
        priority_level: (1, 3),
        needs: Resources::new(1_000, 1_000, 0),
        chain_ms: 1_000,
        ratio: Ratio { low_milli: 1_000, median_milli: 1_000, high_milli: 1_000 },
        stretch_milli: 1_500,
        full_value_ms: 500,
    }
}

const SUPPLY: Supply = Supply {
    capacity: Resources { millicores: 10_000, memory_mb: 10_000, accelerators: 10 },
    is_known: true,
    has_room: false,
};

const ALL: Resources = SUPPLY.capacity;

fn is_refused(request: &Request<'_>, supply: &Supply, work: &[Work]) -> bool {
    matches!(overload::decide(request, supply, work), Decision::Refuse { .. })
}

/// Guards against refusals that the work ahead doesn't justify: each case leaves the job a value.
#[yare::parameterized(
    just_late_enough = { work(rank(1, Timeliness::InTime), ALL, 5_000), false },
    no_value = { work(rank(1, Timeliness::InTime), ALL, 5_001), true },
    more_urgent = { work(rank(0, Timeliness::Late), ALL, 9_000), true },
    less_urgent = { work(rank(2, Timeliness::InTime), ALL, 9_000), false },
    hopeless_waiting = { work(rank(0, Timeliness::Missed), ALL, 9_000), false },
    hopeless_running = { Work { is_placed: true, ..work(rank(0, Timeliness::Missed), ALL, 9_000) }, true },
    less_value_for_its_work = { work(Rank { value_density: 0.1, ..rank(1, Timeliness::Late) }, ALL, 9_000), false },
    account_beyond_its_share = { work(Rank { share: Share::Beyond, ..rank(1, Timeliness::Late) }, ALL, 9_000), false },
    guaranteed = { work(Rank { guaranteed: true, ..rank(0, Timeliness::InTime) }, ALL, 9_000), true },
    resource_that_it_does_not_need = { work(rank(1, Timeliness::InTime), Resources::new(0, 0, 10), 9_000), false },
    only_memory_is_short = { work(rank(1, Timeliness::InTime), Resources::new(0, 10_000, 0), 9_000), true },
    uncertain = { Work { median_ms: 60_000, ..work(rank(1, Timeliness::InTime), ALL, 4_000) }, false },
)]
fn decide_counts_only_work_that_is_certainly_ahead(ahead: Work, expected: bool) {
    assert_eq!(is_refused(&request("a"), &SUPPLY, &[ahead]), expected);
}

/// Guards against refusals while room is free, or before all workers have reported to a new planner.
#[test]
fn decide_accepts_with_room_or_when_unsure() {
    let ahead = [work(rank(0, Timeliness::InTime), ALL, 60_000)];
    assert!(is_refused(&request("a"), &SUPPLY, &ahead));
    assert!(!is_refused(&request("a"), &Supply { has_room: true, ..SUPPLY }, &ahead));
    assert!(!is_refused(&request("a"), &Supply { is_known: false, ..SUPPLY }, &ahead));
}

/// Guards against refusing a job whose declared estimate is too low: with more work its target is later.
#[test]
fn decide_allows_for_a_low_estimate() {
    let ahead = [work(rank(1, Timeliness::InTime), ALL, 9_000)];
    let ratio = Ratio::new(&Correction::default());
    assert_eq!((ratio.low_milli, ratio.high_milli), (400, 2_500));
    assert!(!is_refused(&Request { ratio, ..request("a") }, &SUPPLY, &ahead));
    let known =
        Correction { lower_quartile_milli: 900, median_milli: 1_000, upper_quartile_milli: 1_100, steps: 40 };
    assert!(is_refused(&Request { ratio: Ratio::new(&known), ..request("a") }, &SUPPLY, &ahead));
}

/// Guards against a Retry-After that doesn't follow from the forecast, is the same for all callers, or lets less urgent
/// callers return first.
#[yare::parameterized(
    short = { 6_000, 8_000, 12_000 },
    beyond_the_limit = { 60_000, 13_333, 20_000 },
)]
fn decide_spreads_retries_by_priority_and_deadline(work_ms: u64, from_ms: u64, until_ms: u64) {
    let ahead = [work(rank(0, Timeliness::InTime), ALL, work_ms)];
    let retry = |request: &Request<'_>| match overload::decide(request, &SUPPLY, &ahead) {
        Decision::Refuse { retry_after_ms, .. } => retry_after_ms,
        Decision::Accept(reason) => panic!("accepted: {reason:?}"),
    };
    let names: Vec<String> = (0..200).map(|number| format!("job{number}")).collect();
    let all = |level: u32| -> Vec<u64> {
        let of_level = |name: &String| retry(&Request { priority_level: (level, 3), ..request(name) });
        names.iter().map(of_level).collect()
    };
    let levels = [all(0), all(1), all(2)];
    assert_eq!(levels[1], all(1), "the spread differs between two calls");
    assert!(levels.iter().flatten().all(|ms| (from_ms..=until_ms).contains(ms)), "{levels:?}");
    for pair in levels.windows(2) {
        assert!(pair[0].iter().max() < pair[1].iter().min(), "a less urgent caller returns first");
        let distinct: BTreeSet<u64> = pair[0].iter().map(|ms| ms / 10).collect();
        assert!(distinct.len() > 20, "{} moments for 200 callers", distinct.len());
    }
    let early = Request { full_value_ms: 0, stretch_milli: 1_000, ..request("a") };
    assert!(retry(&early) <= retry(&request("a")));
}

fn demand(accounts: &[(&'static str, i64, i64)]) -> ServiceDemand<'static> {
    let accelerators = |count: i64| Resources::new(0, 0, count);
    let own = |(name, held, queued): &(&'static str, i64, i64)| {
        (*name, Demand { held: accelerators(*held), queued: accelerators(*queued) })
    };
    ServiceDemand {
        guaranteed: Resources::default(),
        has_late: true,
        accounts: accounts.iter().map(own).collect(),
    }
}

/// Guards against an order by account where nothing calls for it.
#[yare::parameterized(
    room_for_all = { &[("a", 3, 2), ("b", 1, 1)] },
    one_account = { &[("a", 8, 20)] },
    only_one_waits = { &[("a", 4, 20), ("b", 4, 0)] },
)]
fn fair_shares_need_a_full_service_and_several_accounts(accounts: &[(&'static str, i64, i64)]) {
    assert_eq!(FairShares::new(&demand(accounts), &ALL), None);
}

/// Guards against an order by account while waiting costs nobody anything.
#[test]
fn fair_shares_need_a_late_job() {
    let late = demand(&[("a", 8, 20), ("b", 1, 1)]);
    assert!(FairShares::new(&late, &ALL).is_some());
    assert_eq!(FairShares::new(&ServiceDemand { has_late: false, ..late }, &ALL), None);
}

/// Guards against an account that is served beyond its share before another one gets its own.
#[test]
fn classify_puts_units_within_shares_first() {
    let demand = demand(&[("large", 0, 20), ("holder", 6, 4), ("small", 0, 1)]);
    let fair = FairShares::new(&demand, &ALL).unwrap();
    let unit = Resources::new(0, 0, 2);
    let one = Resources::new(0, 0, 1);
    let units = [("large", unit), ("large", unit), ("holder", one), ("small", one), ("large", unit)];
    let expected = [Share::Owed, Share::Owed, Share::Beyond, Share::Under, Share::Beyond];
    assert_eq!(fair.classify(units.into_iter()), expected);
    assert_eq!(fair.best_share("small"), Share::Under);
    assert_eq!(fair.best_share("large"), Share::Owed);
    assert_eq!(fair.best_share("holder"), Share::Beyond);
}
