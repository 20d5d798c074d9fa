//! Tests the planner's leadership against a stand-in of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use sorrelland_control::active_planner::ActivePlanner;
use sorrelland_control::calls::{Leader, PlannerReply, PlannerRequest};
use sorrelland_control::clock::now_ms;
use sorrelland_control::election::{self, CancelsStored, LeaderTimeout, Leadership};
use sorrelland_fleet::assignments::Assignments;
use sorrelland_fleet::desired::{Desired, Queue};
use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::planner::Timing;
use sorrelland_fleet::report::{Report, WorkerInfo};
use sorrelland_platform::Store;
use sorrelland_platform::store::{CALL_TIMEOUT, Writer};
use sorrelland_standin::platform_store;
use sorrelland_web::Client;

const TIMING: Timing = Timing {
    grant_ms: 4_800,
    stop_ms: 400,
    unreported_ms: 11_000,
    ended_retention_ms: 240_000,
    reclaim_ms: 2_900,
    remote_factor_milli: 3_000,
};

fn desired() -> Arc<Desired> {
    let queue = Queue {
        name: "plain".to_owned(),
        service: "svc".to_owned(),
        stretch_milli: 3_000,
        full_value_ms: 1_000,
        ..Queue::default()
    };
    Arc::new(Desired { version: 1, queues: vec![queue], keys: BTreeMap::new(), ..Desired::default() })
}

fn leader(epoch: u64, incarnation: u64) -> Leader {
    Leader { epoch, instance: format!("entry-{incarnation}"), address: "127.0.0.1:1".to_owned(), incarnation }
}

fn submission(job: &str) -> Submission {
    let step = Step { count: 1, estimate_ms: 100, ..Step::default() };
    Submission { job: job.to_owned(), queue: "plain".to_owned(), steps: vec![step], ..Submission::default() }
}

async fn start_store() -> (String, Store) {
    let server = platform_store::start(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = server.local_addr().to_string();
    tokio::spawn(server);
    (address.clone(), Store::new(&address))
}

async fn set_faults(address: &str, faults: &'static str) {
    let client = Client::new(Duration::from_secs(2));
    let url = format!("http://{address}/v1/faults");
    client.send(Method::PUT, &url, &[], Bytes::from_static(faults.as_bytes())).await.unwrap();
}

#[tokio::test]
async fn submit_returns_unresolved_if_the_job_may_be_stored() {
    let (address, store) = start_store().await;
    let planner = ActivePlanner::start(&store, None, leader(1, 1), TIMING, desired(), None).await.unwrap();
    set_faults(&address, r#"{"lose_every": 1}"#).await;
    let reply = {
        let planner = planner.clone();
        tokio::spawn(async move {
            planner
                .handle_request(
                    PlannerRequest::Submit {
                        sub: submission("00000000000000a1"),
                        call: 1,
                        known_epoch: Some(1),
                    },
                    Duration::from_secs(3),
                )
                .await
        })
    };
    // The append is executed without an answer, then another planner takes over.
    tokio::time::sleep(Duration::from_millis(200)).await;
    set_faults(&address, "{}").await;
    let next = Writer { producer: "planner".to_owned(), epoch: 2, sequence: 0 };
    store.append_as("keyed.jobs", &next, &[], CALL_TIMEOUT).await.unwrap();
    assert_eq!(reply.await.unwrap(), PlannerReply::Unresolved);
    assert!(planner.has_stepped_down());
    let successor = ActivePlanner::start(&store, None, leader(3, 2), TIMING, desired(), None).await.unwrap();
    let reply = successor
        .handle_request(PlannerRequest::State("00000000000000a1".to_owned()), Duration::from_secs(1))
        .await;
    assert!(matches!(reply, PlannerReply::State(Some(_))), "{reply:?}");
}

/// Guards against callers who are told "unknown" of a job that no append contained.
#[tokio::test]
async fn submit_during_an_outage_is_not_run() {
    let (address, store) = start_store().await;
    let planner = ActivePlanner::start(&store, None, leader(1, 1), TIMING, desired(), None).await.unwrap();
    let submit = |job: &str, call: u64, wait_ms: u64| {
        let (planner, sub) = (planner.clone(), submission(job));
        tokio::spawn(async move {
            let req = PlannerRequest::Submit { sub, call, known_epoch: Some(1) };
            planner.handle_request(req, Duration::from_millis(wait_ms)).await
        })
    };
    let [appended, waiting, later] = ["00000000000000a1", "00000000000000a2", "00000000000000a3"];
    set_faults(&address, r#"{"silent": true}"#).await;
    let first = submit(appended, 1, 2_500);
    tokio::time::sleep(Duration::from_millis(150)).await;
    let began = std::time::Instant::now();
    let second = submit(waiting, 2, 2_500).await.unwrap();
    assert!(matches!(second, PlannerReply::NotRun { .. }), "{second:?}");
    assert!(began.elapsed() < Duration::from_millis(2_000), "{:?}", began.elapsed());
    let began = std::time::Instant::now();
    assert!(matches!(submit(later, 3, 2_500).await.unwrap(), PlannerReply::NotRun { .. }));
    assert!(began.elapsed() < Duration::from_millis(100), "held although the outage is known");
    assert_eq!(first.await.unwrap(), PlannerReply::Unresolved, "the append may still be carried out");
    set_faults(&address, "{}").await;
    // The store's return settles the unknown job, and a caller who comes back is accepted.
    assert_eq!(submit(appended, 4, 3_000).await.unwrap(), PlannerReply::Accepted);
    let copy = submit(waiting, 2, 1_000).await.unwrap();
    assert!(matches!(copy, PlannerReply::NotRun { .. }), "a late copy of an answered call: {copy:?}");
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(submit(later, 5, 1_000).await.unwrap(), PlannerReply::Accepted);
    let successor = ActivePlanner::start(&store, None, leader(2, 2), TIMING, desired(), None).await.unwrap();
    let state = async |job: &str| {
        successor.handle_request(PlannerRequest::State(job.to_owned()), Duration::from_secs(1)).await
    };
    assert!(matches!(state(appended).await, PlannerReply::State(Some(_))));
    assert_eq!(state(waiting).await, PlannerReply::State(None), "\"not run\" was followed by a record");
}

/// Guards against callers who are told "unknown" while the store rejects every append.
#[tokio::test]
async fn submit_to_a_rejecting_store_is_not_run() {
    let (address, store) = start_store().await;
    let planner = ActivePlanner::start(&store, None, leader(1, 1), TIMING, desired(), None).await.unwrap();
    set_faults(&address, r#"{"down": true}"#).await;
    let req = |call: u64| PlannerRequest::Submit {
        sub: submission("00000000000000a1"),
        call,
        known_epoch: Some(1),
    };
    let reply = planner.handle_request(req(1), Duration::from_secs(3)).await;
    assert!(matches!(reply, PlannerReply::NotRun { .. }), "{reply:?}");
    set_faults(&address, "{}").await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(planner.handle_request(req(2), Duration::from_secs(1)).await, PlannerReply::Accepted);
}

#[tokio::test]
async fn claim_yields_to_an_earlier_claim() {
    let (_, store) = start_store().await;
    let (winner, loser) = (Leadership::default(), Leadership::default());
    let first = election::claim(&store, &winner, &leader(0, 1), 0).await.unwrap();
    assert_eq!(election::claim(&store, &loser, &leader(0, 2), 0).await, None);
    assert_eq!(loser.epoch(), first.epoch, "the losing claimant knows the leader");
    let second = election::claim(&store, &loser, &leader(0, 2), first.epoch).await.unwrap();
    assert!(second.epoch > first.epoch);
}

#[tokio::test]
async fn start_fences_the_previous_writer() {
    let (_, store) = start_store().await;
    let old = ActivePlanner::start(&store, None, leader(1, 1), TIMING, desired(), None).await.unwrap();
    let _new = ActivePlanner::start(&store, None, leader(2, 2), TIMING, desired(), None).await.unwrap();
    let reply = old
        .handle_request(
            PlannerRequest::Submit { sub: submission("00000000000000a1"), call: 1, known_epoch: Some(1) },
            Duration::from_secs(2),
        )
        .await;
    assert_ne!(reply, PlannerReply::Accepted);
    assert!(old.has_stepped_down());
}

#[test]
fn has_expired_counts_only_successful_reads() {
    let mut leader_timeout = LeaderTimeout::default();
    leader_timeout.record_renewal(1_000);
    leader_timeout.record_read_failure();
    assert!(!leader_timeout.has_expired(60_000, false, 0), "a store outage must not supersede the leader");
    leader_timeout.record_no_renewal(60_000);
    assert!(!leader_timeout.has_expired(60_000 + election::LEADER_TIMEOUT_MS - 1, false, 0));
    assert!(leader_timeout.has_expired(60_000 + election::LEADER_TIMEOUT_MS, false, 0));
    leader_timeout.record_renewal(70_000);
    assert!(!leader_timeout.has_expired(70_000, false, 0));
    leader_timeout.record_step_down();
    assert!(leader_timeout.has_expired(70_000, false, 300));
}

#[test]
fn has_expired_earlier_for_a_refusing_leader() {
    let mut leader_timeout = LeaderTimeout::default();
    leader_timeout.record_renewal(1_000);
    assert!(!leader_timeout.has_expired(1_000 + election::REFUSING_LEADER_TIMEOUT_MS - 1, true, 0));
    assert!(leader_timeout.has_expired(1_000 + election::REFUSING_LEADER_TIMEOUT_MS, true, 0));
    assert!(!leader_timeout.has_expired(1_000 + election::REFUSING_LEADER_TIMEOUT_MS, false, 0));
    leader_timeout.record_read_failure();
    assert!(!leader_timeout.has_expired(60_000, true, 0), "a store outage must not supersede the leader");
}

#[tokio::test]
async fn wait_until_claimable_ends_at_once_for_the_next_incarnation() {
    let (_, store) = start_store().await;
    let leadership = Leadership::default();
    let current = election::claim(&store, &leadership, &leader(0, 1), 0).await.unwrap();
    election::renew(&store, current.epoch, false).await.unwrap();
    let next_incarnation = Leader { epoch: 0, incarnation: 2, ..current.clone() };
    let waiting = election::wait_until_claimable(&store, &leadership, &next_incarnation, 0);
    let epoch = tokio::time::timeout(Duration::from_millis(election::LEADER_TIMEOUT_MS / 2), waiting).await;
    assert_eq!(epoch, Ok(current.epoch));
    // Another instance has to wait until the leader has not renewed for long enough.
    let other = leader(0, 3);
    let waiting = election::wait_until_claimable(&store, &leadership, &other, 0);
    assert!(
        tokio::time::timeout(Duration::from_millis(election::LEADER_TIMEOUT_MS / 2), waiting).await.is_err()
    );
}

#[tokio::test]
async fn wait_until_claimable_ends_early_if_the_store_rejects_the_leader_alone() {
    let (address, store) = start_store().await;
    let leadership = Leadership::default();
    let current = election::claim(&store, &leadership, &leader(0, 1), 0).await.unwrap();
    election::renew(&store, current.epoch, false).await.unwrap();
    let other = leader(0, 2);
    let waiting = election::wait_until_claimable(&store, &leadership, &other, 0);
    let (epoch, waited) = {
        let began = std::time::Instant::now();
        let rejection = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            leadership.record_store_failing(current.epoch, 500);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            epoch = waiting => (epoch, began.elapsed()),
            () = rejection => unreachable!(),
        }
    };
    assert_eq!(epoch, current.epoch);
    assert!(waited < Duration::from_millis(election::REFUSING_LEADER_TIMEOUT_MS), "{waited:?}");
    // While the store rejects this entry as well, it doesn't claim.
    set_faults(&address, r#"{"down": true}"#).await;
    let waiting = election::wait_until_claimable(&store, &leadership, &other, 0);
    assert!(tokio::time::timeout(Duration::from_millis(election::LEADER_TIMEOUT_MS), waiting).await.is_err());
}

#[test]
fn is_rejected_until_the_store_takes_the_leaders_calls() {
    let leadership = Leadership::default();
    leadership.record_store_failing(2, 500);
    assert!(!leadership.is_rejected(), "there is no leader yet");
    leadership.update_leader(Some(leader(2, 1)));
    assert!(leadership.is_rejected());
    leadership.record_store_failing(2, 100);
    assert!(!leadership.is_rejected(), "a single rejected call");
    leadership.record_store_failing(2, 500);
    leadership.update_leader(Some(leader(3, 2)));
    assert!(!leadership.is_rejected(), "another leader");
}

#[test]
fn is_refusing_until_the_leader_answers() {
    let leadership = Leadership::default();
    leadership.record_refused(1);
    assert!(!leadership.is_refusing(), "there is no leader yet");
    leadership.update_leader(Some(leader(2, 1)));
    assert!(!leadership.is_refusing(), "an earlier leader refused");
    leadership.record_refused(2);
    assert!(leadership.is_refusing());
    leadership.record_answered(2);
    assert!(!leadership.is_refusing());
}

#[tokio::test]
async fn report_of_earlier_agent_process_gets_no_reply_before_it_reconnects() {
    let (_, store) = start_store().await;
    let planner = ActivePlanner::start(&store, None, leader(1, 1), TIMING, desired(), None).await.unwrap();
    let report = |agent_incarnation: u64| Report {
        agent: "agent".to_owned(),
        agent_incarnation,
        seq: 1,
        worker: Some(WorkerInfo {
            incarnation: format!("w-{agent_incarnation}"),
            service: "svc".to_owned(),
            ..WorkerInfo::default()
        }),
        ..Report::default()
    };
    let incarnation = |assignments: Option<Option<Assignments>>| assignments.unwrap().unwrap().incarnation;
    let connected_at = 1_000_000;
    assert_eq!(incarnation(planner.report(report(2), connected_at).await), "w-2");
    let outdated = planner.report(report(1), connected_at - 1);
    assert!(tokio::time::timeout(Duration::from_millis(800), outdated).await.is_err());
    assert_eq!(incarnation(planner.report(report(1), connected_at + 1).await), "w-1");
}

/// Stores a claim as another entry does.
async fn claim_as(store: &Store, epoch: u64, incarnation: u64) {
    let leadership = Leadership::default();
    let claimed = election::claim(store, &leadership, &leader(0, incarnation), epoch - 1).await;
    assert_eq!(claimed.map(|leader| leader.epoch), Some(epoch));
}

/// Guards against final answers about jobs that a successor has accepted, by a leader that doesn't know of it.
#[yare::parameterized(
    state = { PlannerRequest::State("00000000000000a1".to_owned()) },
    cancel = { PlannerRequest::Cancel("00000000000000a1".to_owned()) },
    refusal = { PlannerRequest::Submit { sub: submission_that_never_fits(), call: 1, known_epoch: Some(1) } },
)]
#[test_macro(tokio::test)]
async fn superseded_leader_gives_no_final_answer(request: PlannerRequest) {
    let (_, store) = start_store().await;
    claim_as(&store, 1, 1).await;
    let old = ActivePlanner::start(&store, None, leader(1, 1), TIMING, desired(), None).await.unwrap();
    let before = old.handle_request(request.clone(), Duration::from_secs(1)).await;
    assert!(is_final(&before), "{before:?}");
    claim_as(&store, 2, 2).await;
    let _new = ActivePlanner::start(&store, None, leader(2, 2), TIMING, desired(), None).await.unwrap();
    let other = match request {
        PlannerRequest::Cancel(_) => PlannerRequest::Cancel("00000000000000a2".to_owned()),
        PlannerRequest::Submit { sub, known_epoch, .. } => {
            PlannerRequest::Submit { sub, call: 2, known_epoch }
        }
        request => request,
    };
    let reply = old.handle_request(other, Duration::from_secs(1)).await;
    assert!(!is_final(&reply), "{reply:?}");
    assert!(old.has_stepped_down());
}

/// Guards against 410 to a repeated cancel of a job that a successor knows.
#[tokio::test]
async fn superseded_leader_does_not_repeat_that_a_cancelled_job_is_unknown() {
    let (_, store) = start_store().await;
    claim_as(&store, 1, 1).await;
    let old = ActivePlanner::start(&store, None, leader(1, 1), TIMING, desired(), None).await.unwrap();
    let (job, wait) = ("00000000000000a1", Duration::from_secs(1));
    let cancel = || PlannerRequest::Cancel(job.to_owned());
    assert_eq!(old.handle_request(cancel(), wait).await, PlannerReply::Cancelled(false));
    assert_eq!(old.handle_request(cancel(), wait).await, PlannerReply::Cancelled(false));
    claim_as(&store, 2, 2).await;
    let new = ActivePlanner::start(&store, None, leader(2, 2), TIMING, desired(), None).await.unwrap();
    let req = PlannerRequest::Submit { sub: submission(job), call: 1, known_epoch: Some(2) };
    assert_eq!(new.handle_request(req, wait).await, PlannerReply::Accepted);
    assert_eq!(new.handle_request(cancel(), wait).await, PlannerReply::Cancelled(true));
    let reply = old.handle_request(cancel(), wait).await;
    assert!(!is_final(&reply), "{reply:?}");
}

fn is_final(reply: &PlannerReply) -> bool {
    matches!(
        reply,
        PlannerReply::State(_)
            | PlannerReply::Cancelled(_)
            | PlannerReply::Refused { .. }
            | PlannerReply::NotRun { .. }
    )
}

fn submission_that_never_fits() -> Submission {
    let mut sub = submission("00000000000000a1");
    sub.steps[0].count = 0;
    sub
}

/// Guards against a job that runs after its cancel was answered by a leader of an earlier build, which stored nothing, while
/// its submission was on its way.
#[tokio::test]
async fn submission_from_before_the_first_leader_that_stores_cancels_is_not_run() {
    let (_, store) = start_store().await;
    let planner = ActivePlanner::start(&store, None, leader(5, 1), TIMING, desired(), None).await.unwrap();
    planner.set_cancels_stored(CancelsStored { since: 5, known_at: now_ms() });
    let submit = async |job: &str, call: u64, known_epoch: Option<u64>| {
        let req = PlannerRequest::Submit { sub: submission(job), call, known_epoch };
        planner.handle_request(req, Duration::from_secs(1)).await
    };
    let [before, after, unknown] = ["00000000000000a1", "00000000000000a2", "00000000000000a3"];
    let reply = submit(before, 1, Some(4)).await;
    assert!(matches!(reply, PlannerReply::NotRun { .. }), "{reply:?}");
    assert_eq!(submit(after, 2, Some(5)).await, PlannerReply::Accepted);
    assert_eq!(submit(after, 3, Some(4)).await, PlannerReply::Accepted, "a job that is known");
    let reply = submit(unknown, 4, None).await;
    assert!(matches!(reply, PlannerReply::NotRun { .. }), "from an entry of an earlier build: {reply:?}");
    let copy = submit(before, 1, Some(5)).await;
    assert!(matches!(copy, PlannerReply::NotRun { .. }), "a late copy of an answered call: {copy:?}");
    // Longer than an entry retries a submission.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert_eq!(submit(unknown, 5, None).await, PlannerReply::Accepted);
}

/// Guards against a leader that takes its predecessor for one that stores cancels, or forgets since when all have done so.
#[tokio::test]
async fn claim_says_since_when_cancels_are_stored() {
    let (_, store) = start_store().await;
    let leadership = Leadership::default();
    let claim = async |incarnation: u64| {
        let epoch = leadership.epoch();
        election::claim(&store, &leadership, &leader(0, incarnation), epoch).await.unwrap();
        leadership.cancels_stored().map(|stored| stored.since)
    };
    assert_eq!(claim(1).await, Some(0), "there was no leader before");
    assert_eq!(claim(2).await, Some(0));
    let mut record = vec![7];
    record.extend(br#"planner{"instance":"entry-9","address":"127.0.0.1:1","life":9}"#);
    store.append(election::CLAIMS, &[record], None).await.unwrap();
    election::claim(&store, &leadership, &leader(0, 3), 2).await;
    assert_eq!(leadership.cancels_stored(), None, "a claim of an earlier build");
    assert_eq!(claim(4).await, Some(4));
    let known_at = leadership.cancels_stored().unwrap().known_at;
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(claim(5).await, Some(4));
    assert_eq!(
        leadership.cancels_stored().unwrap().known_at,
        known_at,
        "a later leader begins the time anew"
    );
}

/// Guards against submissions that are refused for ever since a claim names an epoch that no leader has.
#[test]
fn claim_of_another_writer_names_no_later_epoch_than_its_own() {
    let leadership = Leadership::default();
    let claim = br#"{"instance":"entry-9","address":"127.0.0.1:1","life":9,"cancels_stored_since":1000000}"#;
    leadership.apply_claim("planner", claim, 6);
    assert_eq!(leadership.cancels_stored().unwrap().since, 7);
}
