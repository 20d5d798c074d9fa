//! Tests by which queue accepted jobs go on, and whose they are, when the desired state changes.

#[allow(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{Fleet, TIMING, address, queue, reply, step};
use serde_json::{Value, json};
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::cancels::Cancellation;
use sorrelland_fleet::desired::{Desired, Queue};
use sorrelland_fleet::job::{JobState, Outcome, Schedule, Step, Submission};
use sorrelland_fleet::planner::{Admission, Planner};
use sorrelland_fleet::report::EndReason;
use sorrelland_fleet::terms::Standing;
use sorrelland_fleet::view::Query;
use sorrelland_fleet::{Caller, Terms, record};

const JOB: &str = "00000000000000a1";

/// Queue of the job, and where callers find it.
const QUEUE: &str = "plain";
const PREFIX: &str = "/plain/";

/// Returns the queue of the job under another name or at another path.
fn named(name: &str, path_prefix: &str) -> Queue {
    Queue { name: name.to_owned(), address: address(path_prefix), ..queue(QUEUE, 1) }
}

/// Returns a desired state with these queues, and one of the account `museum` alone.
fn version(version: u64, queues: Vec<Queue>) -> Desired {
    Desired { version, queues, ..common::desired() }
}

fn publish(fleet: &mut Fleet, number: u64, queues: Vec<Queue>) {
    fleet.planner.set_desired(Arc::new(version(number, queues)));
}

/// Returns the job as an entry passes it on that has found the queue in a desired state.
fn submission(desired: &Desired, queue: &str, account: &str, steps: Vec<Step>) -> Submission {
    let terms = desired.queue_named(queue).map(|queue| Terms::new(desired, queue));
    Submission {
        job: JOB.to_owned(),
        queue: queue.to_owned(),
        account: account.to_owned(),
        steps,
        terms,
        ..Submission::default()
    }
}

fn submit(fleet: &mut Fleet, sub: &Submission) -> bool {
    let admission = fleet.planner.submit(fleet.now, fleet.wall(), sub);
    fleet.store();
    matches!(admission, Admission::Accepted { .. })
}

/// Two steps of one subtask, one after the other.
fn two_steps() -> Vec<Step> {
    vec![step(1, 1), Step { depends_on: vec![0], ..step(1, 1) }]
}

/// A fleet with the job on its queue.
fn fleet_with_job(steps: Vec<Step>) -> Fleet {
    let mut fleet = Fleet::new(2);
    assert!(submit(&mut fleet, &submission(&common::desired(), QUEUE, "museum", steps)));
    fleet
}

/// Replaces the planner by one that has read what is stored, as `edit` leaves it.
fn take_over(fleet: &mut Fleet, desired: Desired, edit: impl Fn(&str, &mut Value)) {
    for (key, value) in &mut fleet.stored {
        if let Ok(mut fields) = serde_json::from_slice(value) {
            edit(key, &mut fields);
            *value = fields.to_string().into_bytes();
        }
    }
    let records = fleet.stored.iter().map(|(key, value)| (key.as_str(), value.as_slice()));
    let (jobs, _) = record::read(records.clone());
    let (cancels, _) = record::read_cancels(records, fleet.wall());
    fleet.planner = Planner::new(TIMING, Arc::new(desired), jobs, fleet.now).with_cancels(cancels);
}

/// Removes the terms from the records, as builds before landing 18 write them.
fn without_terms(_: &str, fields: &mut Value) {
    fields.as_object_mut().map(|fields| fields.remove("terms"));
}

/// Advances by a pass, and starts what is assigned; returns the number of new starts.
fn run(fleet: &mut Fleet) -> usize {
    let assignments: Vec<Assignments> = fleet.advance(100);
    let starts = assignments.iter().map(|assigned| assigned.starts.len()).sum();
    fleet.mark_running(&assignments);
    starts
}

/// Runs all steps of the job to their end, for at most some seconds; returns whether it has completed.
fn completes(fleet: &mut Fleet) -> bool {
    (0..60).any(|_| {
        run(fleet);
        fleet.end_runs(JOB, EndReason::Done);
        fleet.advance(100);
        fleet.planner.state(JOB) == Some(JobState::Ended(Outcome::Completed))
    })
}

fn explained(fleet: &Fleet) -> Value {
    fleet.planner.view(&Query::Explain(JOB.to_owned()), fleet.now, fleet.wall())
}

fn standing(fleet: &Fleet) -> String {
    explained(fleet)["queue_standing"].as_str().unwrap().to_owned()
}

/// Guards against jobs whose second step, later occurrence or further run never starts after their queue has changed.
#[yare::parameterized(
    renamed = { vec![named("other", PREFIX)], Standing::Renamed },
    swapped = { vec![named("low", PREFIX), named(QUEUE, "/low/")], Standing::Renamed },
    moved = { vec![named(QUEUE, "/moved/")], Standing::Moved },
    removed = { vec![], Standing::Removed },
    service_changed = { vec![Queue { service: "other".to_owned(), ..named("other", PREFIX) }], Standing::Renamed },
)]
fn job_goes_on_whatever_becomes_of_its_queue(queues: Vec<Queue>, expected: Standing) {
    let hourly = Schedule { occurrences: 2, first_ms: 2_000, interval_ms: 1_000 };
    let gang = Step { gang: true, ..step(2, 8) };
    let cases: [(Vec<Step>, Option<Schedule>); 3] =
        [(two_steps(), None), (vec![step(1, 1)], Some(hourly)), (vec![gang], None)];
    for (steps, schedule) in cases {
        for takes_over in [false, true] {
            let sub =
                Submission { schedule, ..submission(&common::desired(), QUEUE, "museum", steps.clone()) };
            let mut fleet = Fleet::new(2);
            assert!(submit(&mut fleet, &sub));
            run(&mut fleet);
            publish(&mut fleet, 2, queues.clone());
            if takes_over {
                take_over(&mut fleet, version(2, queues.clone()), |_, _| ());
            }
            assert_eq!(standing(&fleet), expected.to_string());
            assert!(completes(&mut fleet), "{}", explained(&fleet));
        }
    }
}

/// Guards against a job that is started elsewhere, more often, unapproved or at another priority than its terms and the
/// route that took its queue's place allow.
#[test]
fn queue_in_force_has_what_both_routes_allow() {
    let other = Queue {
        service: "elsewhere".to_owned(),
        max_attempts: 7,
        needs_approval: true,
        priority: 0,
        stretch_milli: 9_000,
        ..named("other", PREFIX)
    };
    let fewer = Queue { max_attempts: 1, ..other.clone() };
    // The queue `plain` has 2 attempts and priority 1.
    let cases: [(Vec<Queue>, &str, u32, bool, u32); 6] = [
        (vec![other.clone()], "svc", 2, true, 0),
        (vec![fewer], "svc", 1, true, 0),
        (
            vec![Queue { address: address("/moved/"), name: QUEUE.to_owned(), ..other.clone() }],
            "svc",
            2,
            true,
            0,
        ),
        // The same name and path: the job follows the operators.
        (vec![Queue { name: QUEUE.to_owned(), ..other.clone() }], "elsewhere", 7, true, 0),
        (vec![], "svc", 2, false, 1),
        // The path counts before the name.
        (vec![named(QUEUE, "/moved/"), other], "svc", 2, true, 0),
    ];
    for (queues, service, max_attempts, needs_approval, priority) in cases {
        let mut fleet = fleet_with_job(two_steps());
        publish(&mut fleet, 2, queues.clone());
        fleet.planner.tick(fleet.now, fleet.wall());
        let line = fleet.planner.take_log().into_iter().find(|line| line.contains("event=queue_standing"));
        let has = |text: &str| line.as_ref().is_none_or(|line| line.contains(text));
        assert!(has(&format!(" service={service} ")), "{queues:?} {line:?}");
        assert!(has(&format!(" max_attempts={max_attempts}")), "{queues:?} {line:?}");
        assert!(has(&format!(" priority={priority} ")), "{queues:?} {line:?}");
        fleet.store();
        let starts = run(&mut fleet);
        let may_start = service == "svc" && !needs_approval;
        assert_eq!(starts > 0, may_start, "{queues:?} {line:?}");
        assert_eq!(fleet.planner.has_approval_requests(), needs_approval, "{queues:?}");
    }
}

/// Guards against a job of a removed route that is started without the approval of the policy service.
#[test]
fn job_of_a_removed_queue_still_needs_its_approval() {
    let mut fleet = Fleet::new(2);
    assert!(submit(&mut fleet, &submission(&common::desired(), "advised", "museum", vec![step(1, 1)])));
    take_over(&mut fleet, version(2, vec![]), |_, _| ());
    assert_eq!((0..20).map(|_| run(&mut fleet)).sum::<usize>(), 0);
    let (key, asked) = fleet.planner.next_approval_request(fleet.now).expect("an approval is requested");
    let admitted = [(asked[0].clone(), "ticket".to_owned())];
    fleet.planner.record_approvals(fleet.now, &key, &asked, &reply(&admitted, 600_000));
    let starts: Vec<_> =
        (0..5).flat_map(|_| fleet.advance(100)).flat_map(|assigned| assigned.starts).collect();
    assert_eq!(starts[0].ticket.as_deref(), Some("ticket"));
}

/// Guards against a guaranteed job that is one of the lowest priority, and a victim at no cost, without its route.
#[test]
fn urgent_job_of_a_removed_queue_keeps_its_guarantee() {
    let mut fleet = Fleet::new(1);
    fleet.submit("00000000000000b1", "low", vec![Step { estimate_ms: 60_000, ..step(8, 1) }]);
    run(&mut fleet);
    fleet.submit(JOB, "urgent", vec![step(1, 8)]);
    publish(&mut fleet, 2, vec![queue("low", 2)]);
    let preempted = (0..30).any(|_| {
        fleet.advance(100);
        fleet.planner.take_log().iter().any(|line| line.contains("event=preempted job=00000000000000b1"))
    });
    assert!(preempted, "{}", explained(&fleet));
}

/// Guards against a failing subtask without attempts since its route is gone, or with those of another route.
#[yare::parameterized(
    removed = { vec![vec![]], 2 },
    renamed = { vec![vec![Queue { max_attempts: 9, ..named("other", PREFIX) }]], 2 },
    fewer_after_a_rename = { vec![vec![Queue { max_attempts: 1, ..named("other", PREFIX) }]], 1 },
    more_on_the_same_route = { vec![vec![Queue { max_attempts: 3, ..named(QUEUE, PREFIX) }]], 3 },
    more_on_the_same_route_then_removed = { vec![vec![Queue { max_attempts: 3, ..named(QUEUE, PREFIX) }], vec![]], 3 },
    removed_and_back_with_more = { vec![vec![], vec![Queue { max_attempts: 3, ..named(QUEUE, PREFIX) }]], 3 },
)]
fn failing_subtask_has_the_attempts_of_its_own_route(versions: Vec<Vec<Queue>>, attempts: usize) {
    for takes_over in [false, true] {
        let mut fleet = fleet_with_job(vec![step(1, 1)]);
        let numbered = || (2..).zip(&versions);
        for (number, queues) in numbered() {
            publish(&mut fleet, number, queues.clone());
            fleet.store();
            if takes_over {
                take_over(&mut fleet, version(number, queues.clone()), |_, _| ());
            }
        }
        let mut starts = 0;
        for _ in 0..600 {
            starts += run(&mut fleet);
            fleet.end_runs(JOB, EndReason::Failed);
        }
        assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Failed)), "{versions:?}");
        assert_eq!(starts, attempts, "{versions:?}");
    }
}

/// Guards against a job of an earlier build that is started by guessed terms, or whose known terms are not stored.
#[test]
fn job_without_stored_terms_waits_for_its_queue() {
    let mut fleet = fleet_with_job(two_steps());
    take_over(&mut fleet, version(5, vec![named("other", PREFIX)]), without_terms);
    assert_eq!((0..20).map(|_| run(&mut fleet)).sum::<usize>(), 0);
    assert_eq!(fleet.planner.jobs_without_queue(), (1, 0));
    let why = explained(&fleet);
    assert_eq!(why["queue_standing"], json!("unknown"));
    assert!(why["rows"][0]["why"].as_str().unwrap().contains("its terms are not known"), "{why}");
    let log = fleet.planner.take_log();
    assert!(
        log.iter().any(|line| line.contains("event=queue_standing queue=plain standing=unknown")),
        "{log:?}"
    );
    // Its caller still reaches and may cancel it.
    let caller = Caller::new("other", "museum").with_address(Some(address(PREFIX)));
    assert!(fleet.planner.state_for(JOB, Some(&caller)).is_some());
    publish(&mut fleet, 6, vec![named(QUEUE, PREFIX)]);
    fleet.advance(100);
    // The next leader knows what this one has found.
    take_over(&mut fleet, version(7, vec![]), |_, _| ());
    assert_eq!(standing(&fleet), "removed");
    assert!(completes(&mut fleet));
}

/// Guards against terms that are lost or read wrongly through a leader of another build, or from an odd record.
#[yare::parameterized(
    kept = { |_, _| (), Some(3) },
    progress_of_landing_8 = { |key, fields| if key.starts_with("s/") { without_terms(key, fields) }, Some(2) },
    both_gone = { without_terms, None },
    odd_progress = { |key, fields| if key.starts_with("s/") { fields["terms"] = json!([7]) }, Some(2) },
    both_odd = { |_, fields| fields["terms"] = json!({"version": "x"}), None },
)]
fn terms_survive_other_builds(edit: fn(&str, &mut Value), attempts: Option<u32>) {
    let mut fleet = fleet_with_job(two_steps());
    publish(&mut fleet, 2, vec![Queue { max_attempts: 3, ..named(QUEUE, PREFIX) }]);
    fleet.store();
    take_over(&mut fleet, version(3, vec![]), edit);
    let log = fleet.planner.take_log();
    let line = log.iter().find(|line| line.contains("event=queue_standing")).unwrap();
    match attempts {
        Some(attempts) => assert!(line.contains(&format!(" max_attempts={attempts}")), "{line}"),
        None => assert!(line.contains(" standing=unknown "), "{line}"),
    }
}

/// Guards against the terms of an older desired state at a leader that learns of the newest one late.
#[yare::parameterized(
    without_the_queue = { vec![] },
    with_other_terms = { vec![named(QUEUE, PREFIX)] },
)]
fn leader_with_an_older_desired_state_uses_the_stored_terms(older: Vec<Queue>) {
    let mut fleet = fleet_with_job(two_steps());
    publish(&mut fleet, 5, vec![Queue { max_attempts: 9, ..named(QUEUE, PREFIX) }]);
    fleet.store();
    take_over(&mut fleet, version(4, older), |_, _| ());
    assert_eq!(standing(&fleet), "unchanged");
    fleet.store();
    take_over(&mut fleet, version(6, vec![]), |_, _| ());
    let log = fleet.planner.take_log();
    assert!(log.iter().any(|line| line.contains(" standing=removed ") && line.contains(" max_attempts=9")));
    assert!(completes(&mut fleet));
}

/// Guards against a submission whose entry knows a newer desired state than the leader, planned by the wrong queue.
#[yare::parameterized(
    new_name = { "new", "/new/" },
    name_of_another_queue = { "low", PREFIX },
)]
fn submission_goes_by_the_terms_of_its_entry(name: &str, path_prefix: &str) {
    let entry = version(2, vec![Queue { priority: 1, ..named(name, path_prefix) }]);
    let mut fleet = Fleet::new(1);
    let sub = submission(&entry, name, "museum", vec![step(1, 1)]);
    assert_eq!(fleet.planner.priority(&sub), 1);
    assert!(submit(&mut fleet, &sub));
    assert_eq!(fleet.planner.priority(&sub), 1);
    assert!(completes(&mut fleet));
}

/// A caller: name and path of the queue, and account.
type Call = (&'static str, &'static str, &'static str);

fn caller((queue, path_prefix, account): Call) -> Caller {
    Caller::new(queue, account).with_address(Some(address(path_prefix)))
}

/// Guards against a job that is hidden from its own callers, or shown to others, once names and paths have changed.
#[yare::parameterized(
    by_path = { ("other", PREFIX, "museum"), vec![named("other", PREFIX)], true },
    by_path_on_a_swapped_name = { ("low", PREFIX, "museum"), vec![named("low", PREFIX), named(QUEUE, "/low/")], true },
    by_name_on_a_swapped_path = { (QUEUE, "/low/", "museum"), vec![named("low", PREFIX), named(QUEUE, "/low/")], true },
    by_name = { (QUEUE, "/moved/", "museum"), vec![named(QUEUE, "/moved/")], true },
    by_account = { ("low", "/low/", "museum"), vec![named("low", "/low/")], true },
    another_queue = { ("low", "/low/", "museum"), vec![named("low", "/low/"), named("other", PREFIX)], false },
    another_account_by_path = { ("other", PREFIX, "guest"), vec![named("other", PREFIX)], false },
    another_account_by_name = { (QUEUE, "/moved/", "guest"), vec![named(QUEUE, "/moved/")], false },
    another_account_without_a_queue = { ("low", "/low/", "guest"), vec![named("low", "/low/")], false },
    nobody_by_path = { ("other", PREFIX, ""), vec![named("other", PREFIX)], true },
    nobody_by_name = { (QUEUE, "/moved/", ""), vec![named(QUEUE, "/moved/")], true },
    nobody_by_name_on_a_swapped_path = { (QUEUE, "/low/", ""), vec![named("low", PREFIX), named(QUEUE, "/low/")], false },
    nobody_on_another_queue_without_the_jobs = { ("low", "/low/", ""), vec![named("low", "/low/")], false },
)]
fn job_belongs_to_callers_of_its_path_or_name(call: Call, queues: Vec<Queue>, is_own: bool) {
    let mut fleet = fleet_with_job(vec![step(1, 1)]);
    publish(&mut fleet, 2, queues.clone());
    take_over(&mut fleet, version(2, queues), |_, _| ());
    let caller = caller(call);
    assert_eq!(fleet.planner.state_for(JOB, Some(&caller)).is_some(), is_own);
    let cancelled = fleet.planner.clone().cancel_for(fleet.now, fleet.wall(), JOB, Some(&caller));
    assert_eq!(matches!(cancelled, Cancellation::Known { .. }), is_own);
}

/// Guards against a job of one public queue that a caller of another one ends, since its own queue is gone.
#[test]
fn nobodys_job_of_a_removed_queue_is_reached_by_nobody() {
    let mut fleet = Fleet::new(1);
    assert!(submit(&mut fleet, &submission(&common::desired(), QUEUE, "", vec![step(1, 1)])));
    publish(&mut fleet, 2, vec![queue("low", 2)]);
    for account in ["", "museum"] {
        assert_eq!(fleet.planner.state_for(JOB, Some(&caller(("low", "/low/", account)))), None);
    }
}

/// Guards against a repeat that is refused, or a new job that is told to be accepted and never runs.
#[yare::parameterized(
    path = { "other", vec![named("other", PREFIX)], "b", true },
    path_on_a_swapped_name = { "low", vec![named("low", PREFIX), named(QUEUE, "/low/")], "b", true },
    moved = { QUEUE, vec![named(QUEUE, "/moved/")], "b", true },
    name_of_another_path = { QUEUE, vec![named("low", PREFIX), named(QUEUE, "/low/")], "b", false },
    same_contents_on_another_path = { QUEUE, vec![named("low", PREFIX), named(QUEUE, "/low/")], "", true },
)]
fn submit_takes_a_call_by_the_path_for_a_repeat(
    queue: &str,
    queues: Vec<Queue>,
    spec: &str,
    is_repeat: bool,
) {
    let mut fleet = fleet_with_job(vec![step(1, 1)]);
    let desired = version(2, queues.clone());
    publish(&mut fleet, 2, queues);
    let mut sub = submission(&desired, queue, "museum", vec![step(1, 1)]);
    sub.spec = spec.to_owned();
    assert_eq!(submit(&mut fleet, &sub), is_repeat);
}

/// Guards against a final "no such job" by a leader that hasn't got the desired state by which the job is the caller's.
#[test]
fn leader_with_an_older_desired_state_says_nothing_final_of_a_job() {
    let mut fleet = Fleet::new(1);
    assert!(submit(&mut fleet, &submission(&common::desired(), QUEUE, "", vec![step(1, 1)])));
    // The entry knows that the queue has moved.
    let moved = caller((QUEUE, "/moved/", ""));
    assert_eq!(fleet.planner.state_for(JOB, Some(&moved)), None);
    assert!(fleet.planner.may_reach_later(JOB, &moved, 2));
    assert!(!fleet.planner.may_reach_later(JOB, &moved, 1));
    assert!(!fleet.planner.may_reach_later("00000000000000ff", &moved, 2));
    publish(&mut fleet, 2, vec![named(QUEUE, "/moved/")]);
    assert!(!fleet.planner.may_reach_later(JOB, &moved, 2));
    assert!(fleet.planner.state_for(JOB, Some(&moved)).is_some());
}

/// Guards against an early cancel that no longer holds for its submission, since the queue's name has changed in between.
#[yare::parameterized(
    renamed = { "other", PREFIX, vec![named("other", PREFIX)] },
    swapped = { "low", PREFIX, vec![named("low", PREFIX), named(QUEUE, "/low/")] },
    moved = { QUEUE, "/moved/", vec![named(QUEUE, "/moved/")] },
)]
fn early_cancel_holds_under_another_name(name: &str, path_prefix: &str, queues: Vec<Queue>) {
    for account in ["museum", ""] {
        for takes_over in [false, true] {
            let mut fleet = Fleet::new(1);
            let sender = Caller::new(QUEUE, account).with_address(Some(address(PREFIX)));
            fleet.planner.cancel_for(fleet.now, fleet.wall(), JOB, Some(&sender));
            // A repeat, and one of the same name at another path, keep it.
            let elsewhere = sender.clone().with_address(Some(address(path_prefix)));
            fleet.planner.cancel_for(fleet.now, fleet.wall(), JOB, Some(&elsewhere));
            fleet.store();
            let desired = version(2, queues.clone());
            publish(&mut fleet, 2, queues.clone());
            if takes_over {
                take_over(&mut fleet, desired.clone(), |_, _| ());
            }
            assert!(submit(&mut fleet, &submission(&desired, name, account, vec![step(1, 1)])));
            assert_eq!(fleet.planner.state(JOB), Some(JobState::Ended(Outcome::Cancelled)), "{account:?}");
        }
    }
}

/// Guards against jobs that are missing from the count of their path, or counted on another one.
#[test]
fn pending_counts_the_jobs_of_a_path() {
    let mut fleet = Fleet::new(0);
    assert!(submit(&mut fleet, &submission(&common::desired(), QUEUE, "museum", vec![step(1, 1)])));
    let pending = |fleet: &Fleet, queue: &str, path_prefix: Option<&str>| {
        fleet.planner.pending(queue, path_prefix.map(address).as_ref())
    };
    assert_eq!(pending(&fleet, QUEUE, Some(PREFIX)), 1);
    // An entry that has a newer desired state, and one of an earlier build.
    assert_eq!(pending(&fleet, "other", Some(PREFIX)), 1);
    assert_eq!(pending(&fleet, QUEUE, None), 1);
    assert_eq!(pending(&fleet, "low", None), 0);
    publish(&mut fleet, 2, vec![named("low", PREFIX), named(QUEUE, "/low/")]);
    assert_eq!(pending(&fleet, "low", Some(PREFIX)), 1);
    assert_eq!(pending(&fleet, QUEUE, Some("/low/")), 0);
    assert_eq!(pending(&fleet, "low", None), 1);
    publish(&mut fleet, 3, vec![named(QUEUE, "/moved/")]);
    assert_eq!(pending(&fleet, QUEUE, Some("/moved/")), 1);
}

/// Guards against a line for each job, where each desired state changes many of them.
#[test]
fn changed_queues_are_logged_once_for_each_desired_state() {
    let mut fleet = Fleet::new(0);
    for job in 0..50 {
        let sub = Submission {
            job: format!("{job:016x}"),
            ..submission(&common::desired(), QUEUE, "museum", vec![step(1, 1)])
        };
        assert!(submit(&mut fleet, &sub));
    }
    fleet.advance(100);
    fleet.planner.take_log();
    let mut lines: BTreeMap<u64, usize> = BTreeMap::new();
    for number in 2..5 {
        publish(&mut fleet, number, vec![named("other", PREFIX)]);
        fleet.advance(100);
        fleet.advance(100);
        let log = fleet.planner.take_log();
        lines.insert(number, log.iter().filter(|line| line.contains("event=queue_standing")).count());
        assert!(
            log.iter().any(|line| line.contains(" jobs=50 now=other at=shop.example/plain/ ")),
            "{log:?}"
        );
    }
    assert!(lines.values().all(|count| *count == 1), "{lines:?}");
}
