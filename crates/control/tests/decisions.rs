//! Tests the decisions on submissions.

use std::sync::Arc;

use sorrelland_control::absence::AnsweredCalls;
use sorrelland_control::decisions::{self, Standing, Submitted};
use sorrelland_control::election::CancelsStored;
use sorrelland_fleet::desired::Desired;
use sorrelland_fleet::job::{Step, Submission};
use sorrelland_fleet::planner::{Planner, Timing};

const TIMING: Timing = Timing {
    grant_ms: 4_800,
    stop_ms: 400,
    unreported_ms: 11_000,
    ended_retention_ms: 240_000,
    reclaim_ms: 2_900,
    remote_factor_milli: 3_000,
};

const STANDING: Standing = Standing {
    now: 1_000,
    wall: 1_000,
    cancels_stored: CancelsStored { since: 0, known_at: 0 },
    store_unavailable: false,
};

/// Guards against 429 for a job that runs: a copy of the call is accepted while its refusal waits for a confirmation.
#[test]
fn refuse_yields_to_an_accepted_copy() {
    let mut planner = Planner::new(TIMING, Arc::new(Desired::default()), Vec::new(), 0);
    let mut answered = AnsweredCalls::default();
    let steps = vec![Step { count: 1, estimate_ms: 100, ..Step::default() }];
    let sub = Submission { job: "00000000000000a1".to_owned(), steps, ..Submission::default() };
    let submit = |planner: &mut Planner, answered: &mut AnsweredCalls, call| {
        decisions::submit(planner, answered, &STANDING, &sub, call, Some(1))
    };
    assert!(decisions::refuse(&planner, &mut answered, 1_000, &sub, 1));
    assert_eq!(submit(&mut planner, &mut answered, 1), Submitted::NotRun, "a copy after the refusal");
    assert!(matches!(submit(&mut planner, &mut answered, 2), Submitted::Accepted { .. }));
    assert!(!decisions::refuse(&planner, &mut answered, 1_000, &sub, 2), "a copy before the refusal");
}
