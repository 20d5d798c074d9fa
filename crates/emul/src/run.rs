//! Main loop of the emulator.

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelland_fleet::desired::{Account, Address, Desired, Queue, Service};
use sorrelland_fleet::job::{JobState, Outcome, Step};
use sorrelland_fleet::planner::{Admission, Planner, Timing};
use sorrelland_fleet::view::Query;
use sorrelland_fleet::{Submission, Task};

use crate::check::{History, StartBound};
use crate::cluster::{Cluster, JobTable};
use crate::forecast::{Errors, Observer};
use crate::load::{HiddenProperties, JobGenerator, Load};
use crate::measure::Measure;
use crate::store::Store;

/// Virtual time that one step of the emulation takes.
const STEP_MS: u64 = 20;

/// Interval of an agent's reports.
const REPORT_INTERVAL_MS: u64 = 100;

/// Number of times that a caller retries a refused submission.
const MAX_RETRIES: u32 = 4;

/// Time after the last arrival in which jobs may still end.
const DRAIN_MS: u64 = 60_000;

/// Time from the loss of the planner until the next one works, in milliseconds.
const TAKEOVER_MS: u64 = 2_000;

/// Duration of a store outage, in milliseconds.
const OUTAGE_MS: u64 = 4_000;

/// Time for which an agent is cut off, in milliseconds.
const CUT_MS: u64 = 5_500;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub load: Load,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of workers.
    pub workers: usize,
    /// Time during which jobs arrive, in milliseconds.
    pub length_ms: u64,
    /// Multiple of the load's rates.
    pub rate: f64,
    /// Faults per minute. Each is drawn from: the planner is killed, the store is unavailable, an agent is cut off, a
    /// worker crashes, a worker starts or stops failing its runs, and a worker starts or stops draining.
    pub faults_per_min: f64,
}

/// Results of a run.
#[derive(Debug)]
pub struct Outcomes {
    pub measure: Measure,
    /// Errors of the forecasts; `None` if the load's workers report no progress.
    pub forecast_errors: Option<Errors>,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Violations of the bound for the start of jobs beside ample free room.
    pub late_starts: Vec<String>,
    /// Total number of starts of runs on workers.
    pub starts: u64,
    /// Accepted jobs that had not ended by the end of the run.
    pub unended: Vec<String>,
    /// First starts of the gangs whose members don't all fit on one worker, in order of acceptance.
    pub gang_starts: Vec<GangStart>,
}

/// When a gang was first started.
#[derive(Clone, Debug)]
pub struct GangStart {
    pub job: String,
    pub members: u32,
    /// Time of the job's acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Time of its first start, in milliseconds; `None` if it was never started.
    pub started_ms: Option<u64>,
    /// Time of its end, in milliseconds; `None` if it had not ended by the end of the run.
    pub ended_ms: Option<u64>,
    /// Estimated duration of its members, in milliseconds.
    pub estimate_ms: u64,
}

struct Caller {
    submission: Submission,
    hidden: HiddenProperties,
    first_ms: u64,
    next_ms: u64,
    attempts: u32,
    /// Whether the caller has learned that its job was accepted.
    accepted: bool,
    /// Time at which the job was accepted, in milliseconds.
    accepted_ms: Option<u64>,
    ended: bool,
    /// Time at which the caller learned that the job had ended, in milliseconds.
    ended_ms: u64,
}

impl Caller {
    /// Returns whether the caller has cancelled its job by `now_ms`.
    fn has_cancelled(&self, now_ms: u64) -> bool {
        self.hidden.cancel_after_ms.is_some_and(|after| now_ms >= self.first_ms + after)
    }
}

/// A fault that was injected.
struct Fault {
    /// Time until which it lasts, in milliseconds.
    until_ms: u64,
    /// Whether the planner has to be replaced.
    planner_killed: bool,
}

fn timing(load: &Load) -> Timing {
    let grant_ms = 4_800;
    Timing {
        grant_ms,
        stop_ms: load.stop_ms,
        unreported_ms: 6_000 + grant_ms + grant_ms / 50 + load.stop_ms,
        ended_retention_ms: 240_000,
        reclaim_ms: 2_900,
        remote_factor_milli: 3_000,
    }
}

fn desired(load: &Load) -> Desired {
    let queue = |(index, kind): (usize, &crate::load::JobKind)| Queue {
        name: format!("q{index}"),
        address: Address { host: String::new(), path_prefix: format!("/q{index}/") },
        service: "service".to_owned(),
        priority: kind.priority,
        max_attempts: kind.max_attempts,
        stretch_milli: kind.stretch_milli,
        full_value_ms: kind.full_value_ms,
        ..Queue::default()
    };
    let account = |index: u32| (format!("account-{index}"), Account { guaranteed_accelerators: 16 });
    Desired {
        version: 1,
        queues: load.kinds.iter().enumerate().map(queue).collect(),
        services: [("service".to_owned(), Service::default())].into(),
        accounts: (0..load.accounts).map(account).collect(),
        keys: BTreeMap::new(),
    }
}

/// Runs a load on emulated workers.
pub fn run(setup: &Setup) -> Outcomes {
    let load = &setup.load;
    let mut generator = JobGenerator::new(setup.seed);
    let desired = Arc::new(desired(load));
    let mut planner = Planner::new(timing(load), desired.clone(), Vec::new(), 0);
    let (mut store, mut history) = (Store::default(), History::default());
    let mut cluster = Cluster::new(setup.workers, load);
    let mut callers = generate_callers(setup, &mut generator);
    let hidden: BTreeMap<String, HiddenProperties> =
        callers.iter().map(|caller| (caller.submission.job.clone(), caller.hidden.clone())).collect();
    let steps: BTreeMap<String, Vec<Step>> = callers
        .iter()
        .map(|caller| (caller.submission.job.clone(), caller.submission.steps.clone()))
        .collect();
    let jobs = JobTable { hidden: &hidden, steps: &steps };
    let failure_shares: Vec<f64> = load.kinds.iter().map(|kind| kind.failure_share).collect();
    let mut measure = Measure::new(load);
    let mut observer = load.reports_progress.then(Observer::default);
    let mut start_bound = StartBound::default();
    let mut planner_start_ms = 0;
    let mut now_ms = STEP_MS;
    while now_ms < setup.length_ms + DRAIN_MS {
        if now_ms < setup.length_ms {
            let probability = setup.faults_per_min * STEP_MS as f64 / 60_000.0;
            if generator.draw_uniform() < probability {
                let fault = inject_fault(now_ms, &mut generator, &mut cluster, &mut store, &mut history);
                start_bound.record_fault(fault.until_ms);
                if fault.planner_killed {
                    planner = Planner::new(timing(load), desired.clone(), store.fence_and_recover(), now_ms);
                    planner_start_ms = fault.until_ms;
                    observer.iter_mut().for_each(Observer::restart);
                }
            }
        }
        if let Some(departures) = load.departures {
            if now_ms < setup.length_ms && now_ms.is_multiple_of(departures.period_ms) {
                let position = (generator.draw_uniform() * cluster.nodes.len() as f64) as usize;
                cluster.announce_departure(now_ms, position, departures.notice_ms);
                start_bound.record_fault(now_ms + departures.notice_ms);
            }
            cluster.replace_departed(now_ms, &mut history);
        }
        cluster.step(now_ms, STEP_MS, &jobs, &mut generator, &mut history, &failure_shares);
        if now_ms >= planner_start_ms {
            for index in 0..cluster.nodes.len() {
                if (now_ms / STEP_MS + index as u64).is_multiple_of(REPORT_INTERVAL_MS / STEP_MS) {
                    let agent = cluster.nodes[index].agent.clone();
                    if let Some(report) = cluster.report(now_ms, index) {
                        planner.apply_report(now_ms, now_ms, now_ms, &report);
                        observer
                            .iter_mut()
                            .for_each(|observer| observer.record_report(now_ms, &report, &jobs));
                        if let Some(assignments) = planner.assignments(now_ms, &agent) {
                            cluster.apply_assignments(now_ms, index, &assignments, &jobs, &mut history);
                        }
                    }
                }
            }
            step_callers(now_ms, &mut callers, &mut planner, &mut measure, &mut history);
            planner.tick(now_ms, now_ms);
            drop(planner.take_log());
            store.step(now_ms, &mut planner);
        }
        check_start_bound(now_ms, &mut start_bound, &planner, &callers, &cluster, &jobs, &history);
        now_ms += STEP_MS;
        if now_ms == setup.length_ms {
            observer.iter_mut().for_each(|observer| observer.record_speeds(&cluster.speeds()));
        }
    }
    let unended = callers.iter().filter(|caller| caller.accepted && !caller.ended);
    let unended = unended.map(|caller| caller.submission.job.clone()).collect();
    record_unended(load, &callers, &mut measure);
    record_waits(now_ms, &callers, &history, &mut measure);
    Outcomes {
        gang_starts: gang_starts(load, &callers, &history),
        measure,
        forecast_errors: observer.map(|observer| observer.errors),
        violations: history.violations,
        late_starts: start_bound.violations,
        starts: history.starts,
        unended,
    }
}

fn generate_callers(setup: &Setup, generator: &mut JobGenerator) -> Vec<Caller> {
    let mut callers = Vec::new();
    for (index, kind) in setup.load.kinds.iter().enumerate() {
        let rate_at = |at_ms: u64| {
            let burst = setup.load.bursts.filter(|bursts| at_ms % bursts.period_ms < bursts.length_ms);
            kind.arrivals_per_s * setup.rate * burst.map_or(1.0, |bursts| bursts.factor)
        };
        let mut arrival_ms = generator.draw_gap_ms(rate_at(0));
        while arrival_ms < setup.length_ms {
            let (submission, hidden) = generator.generate_job(&setup.load, index);
            let first_ms = arrival_ms + 500;
            callers.push(Caller {
                submission,
                hidden,
                first_ms,
                next_ms: first_ms,
                attempts: 0,
                accepted: false,
                accepted_ms: None,
                ended: false,
                ended_ms: 0,
            });
            arrival_ms += generator.draw_gap_ms(rate_at(arrival_ms)).max(1);
        }
    }
    callers.sort_by_key(|caller| caller.first_ms);
    callers
}

/// Injects a random fault.
fn inject_fault(
    now_ms: u64,
    generator: &mut JobGenerator,
    cluster: &mut Cluster,
    store: &mut Store,
    history: &mut History,
) -> Fault {
    let index = (generator.draw_uniform() * cluster.nodes.len() as f64) as usize % cluster.nodes.len();
    match (generator.draw_uniform() * 6.0) as u32 {
        0 => return Fault { until_ms: now_ms + TAKEOVER_MS, planner_killed: true },
        1 => {
            store.unavailable_until_ms = now_ms + OUTAGE_MS;
            return Fault { until_ms: now_ms + OUTAGE_MS, planner_killed: false };
        }
        2 => {
            cluster.nodes[index].cut_off_until_ms = now_ms + CUT_MS;
            return Fault { until_ms: now_ms + CUT_MS, planner_killed: false };
        }
        3 => cluster.crash(now_ms, index, history),
        4 => cluster.nodes[index].broken = !cluster.nodes[index].broken,
        _ => cluster.nodes[index].draining = !cluster.nodes[index].draining,
    }
    Fault { until_ms: now_ms, planner_killed: false }
}

/// Checks the jobs that have nothing running against the bound for their start.
fn check_start_bound(
    now_ms: u64,
    start_bound: &mut StartBound,
    planner: &Planner,
    callers: &[Caller],
    cluster: &Cluster,
    jobs: &JobTable<'_>,
    history: &History,
) {
    let rooms = cluster.rooms(now_ms, jobs);
    if !start_bound.is_due(now_ms, &rooms) {
        return;
    }
    let running = cluster.running_jobs();
    let idle = callers.iter().filter(|caller| {
        let job = caller.submission.job.as_str();
        caller.accepted_ms.is_some()
            && !caller.has_cancelled(now_ms)
            && !running.contains(job)
            && !matches!(planner.state(job), Some(JobState::Ended(_)))
    });
    let startable = idle.filter_map(|caller| {
        let Submission { job, steps, .. } = &caller.submission;
        history.startable_step(job, steps).map(|(number, step)| (job.as_str(), number, step))
    });
    let explain = |job: &str| planner.view(&Query::Explain(job.to_owned()), now_ms, now_ms).to_string();
    start_bound.check(now_ms, &rooms, startable, explain);
}

/// Lets callers submit their jobs, query them and cancel them.
fn step_callers(
    now_ms: u64,
    callers: &mut [Caller],
    planner: &mut Planner,
    measure: &mut Measure,
    history: &mut History,
) {
    for caller in callers.iter_mut().filter(|caller| !caller.ended && caller.first_ms <= now_ms) {
        let job = caller.submission.job.clone();
        if caller.accepted_ms.is_none() && planner.state(&job).is_some() {
            caller.accepted_ms = Some(now_ms);
        }
        if !caller.accepted {
            if now_ms < caller.next_ms || caller.attempts > MAX_RETRIES {
                continue;
            }
            caller.attempts += 1;
            match planner.submit(now_ms, now_ms, &caller.submission) {
                Admission::Accepted { .. } => caller.next_ms = now_ms + 1_000,
                Admission::Refused { retry_after_ms, .. } => caller.next_ms = now_ms + retry_after_ms,
            }
        }
        let Some(state) = planner.state(&job) else { continue };
        caller.accepted = true;
        if caller.has_cancelled(now_ms) {
            planner.cancel(now_ms, now_ms, &job);
        }
        let JobState::Ended(outcome) = state else { continue };
        caller.ended = true;
        caller.ended_ms = now_ms;
        if outcome == Outcome::Completed {
            let steps = (0..).zip(&caller.submission.steps);
            let subtasks = steps.flat_map(|(step, params)| (0..params.count).map(move |index| (step, index)));
            let task = |(step, index)| Task { job: job.clone(), occurrence: 0, step, index };
            history.check_completion(now_ms, &job, subtasks.map(task));
        }
        let uncancelled = outcome != Outcome::Cancelled;
        let as_expected = (outcome == Outcome::Completed) != caller.hidden.always_fails;
        record_outcome(caller, measure, uncancelled, as_expected.then_some(now_ms - caller.first_ms));
    }
}

/// Counts the outcome of a job unless its caller cancelled it. `age_ms` is its age at the end if it ended as it
/// should: failed if its runs all fail, completed otherwise.
fn record_outcome(caller: &Caller, measure: &mut Measure, uncancelled: bool, age_ms: Option<u64>) {
    if !uncancelled {
        return;
    }
    let totals = &mut measure.kinds[caller.hidden.kind];
    totals.uncancelled += 1;
    let total_work_ms: u64 = caller.hidden.work_ms.iter().sum();
    let (stretch, full_value_ms) = match caller.submission.queue.as_str() {
        "q1" => (1_500, 250),
        "q0" => (3_000, 1_000),
        _ => (3_000, 3_000),
    };
    let target_ms = total_work_ms * stretch / 1_000 + full_value_ms;
    let (in_time_value, late_value) = [(3.0, 0.9), (4.0, 0.8), (1.0, 0.3)][caller.hidden.kind.min(2)];
    totals.value.1 += in_time_value;
    match age_ms {
        Some(age_ms) if age_ms <= target_ms => {
            totals.in_time += 1;
            totals.value.0 += in_time_value;
        }
        Some(age_ms) if age_ms <= 3 * target_ms => {
            totals.late += 1;
            totals.value.0 += late_value;
        }
        _ => (),
    }
}

/// Records the longest wait of each kind's accepted jobs before their first start.
fn record_waits(end_ms: u64, callers: &[Caller], history: &History, measure: &mut Measure) {
    for caller in callers {
        let Some(accepted_ms) = caller.accepted_ms else { continue };
        let started_ms = history.first_starts.get(&caller.submission.job).copied();
        // A job that was cancelled or failed before a start has waited until then.
        let until_ms = started_ms.unwrap_or(if caller.ended { caller.ended_ms } else { end_ms });
        let totals = &mut measure.kinds[caller.hidden.kind];
        totals.longest_wait_ms = totals.longest_wait_ms.max(until_ms.saturating_sub(accepted_ms));
    }
}

/// Returns the first starts of the accepted gangs that need several workers.
fn gang_starts(load: &Load, callers: &[Caller], history: &History) -> Vec<GangStart> {
    let gang = callers.iter().filter_map(|caller| {
        let accepted_ms = caller.accepted_ms?;
        let step = caller.submission.steps.first()?;
        let on_one_worker = load.capacity.copies_of(&step.reserved());
        (step.gang && i64::from(step.count) > on_one_worker).then(|| GangStart {
            job: caller.submission.job.clone(),
            members: step.count,
            accepted_ms,
            started_ms: history.first_starts.get(&caller.submission.job).copied(),
            ended_ms: caller.ended.then_some(caller.ended_ms),
            estimate_ms: step.estimate_ms,
        })
    });
    let mut gangs: Vec<GangStart> = gang.collect();
    gangs.sort_by_key(|gang| gang.accepted_ms);
    gangs
}

/// Counts the jobs that did not end or were not accepted.
fn record_unended(load: &Load, callers: &[Caller], measure: &mut Measure) {
    debug_assert_eq!(measure.kinds.len(), load.kinds.len());
    for caller in callers.iter().filter(|caller| !caller.ended) {
        if !caller.accepted {
            measure.kinds[caller.hidden.kind].refused += 1;
        }
        record_outcome(caller, measure, true, None);
    }
}
