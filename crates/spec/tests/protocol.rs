//! Model-checking tests: the correct models violate no property, and each broken variant violates the expected one.

use sorrelland_spec::check::{Model, Outcome, check};
use sorrelland_spec::fold::{FoldModel, Variant as FoldVariant};
use sorrelland_spec::gang::{GangModel, Variant as GangVariant};
use sorrelland_spec::key::{KeyModel, Variant as KeyVariant};

fn assert_holds(name: &str, model: &impl Model) {
    match check(model) {
        Outcome::Holds { states } => println!("{name}: {states} states, no property violated"),
        Outcome::Violated { property, trace } => panic!("{name}: {property}\n  {}", trace.join("\n  ")),
    }
}

fn find_violation(name: &str, model: &impl Model) -> &'static str {
    match check(model) {
        Outcome::Holds { states } => panic!("{name}: no property violated in {states} states"),
        Outcome::Violated { property, trace } => {
            println!("{name}: {property}, after\n  {}", trace.join("\n  "));
            property
        }
    }
}

#[test]
fn check_correct_gang() {
    assert_holds("gang", &GangModel { variant: GangVariant::Correct });
}

#[test]
fn check_correct_keys() {
    assert_holds("keys", &KeyModel { variant: KeyVariant::Correct });
}

#[test]
fn check_correct_fold() {
    assert_holds("fold", &FoldModel { variant: FoldVariant::Correct });
}

#[yare::parameterized(
    no_barrier = { GangVariant::NoBarrier, "no member runs while its gang is not committed" },
    no_fence = { GangVariant::NoFence, "two attempts never run at the same time" },
    no_worker_lease = { GangVariant::NoWorkerLease, "two attempts never run at the same time" },
    any_incarnation = { GangVariant::AnyIncarnation, "no result of an epoch is accepted after fencing" },
    no_lease_wait = { GangVariant::NoLeaseWait, "two attempts never run at the same time" },
)]
fn check_broken_gang(variant: GangVariant, property: &str) {
    assert_eq!(find_violation("gang", &GangModel { variant }), property);
}

#[yare::parameterized(
    any_incarnation = { KeyVariant::AnyIncarnation, "a key's work begins at most once" },
    any_window = { KeyVariant::AnyWindow, "a key's work begins at most once" },
    no_seal = { KeyVariant::NoSeal, "not run implies never begun" },
)]
fn check_broken_keys(variant: KeyVariant, property: &str) {
    assert_eq!(find_violation("keys", &KeyModel { variant }), property);
}

#[yare::parameterized(
    no_base = { FoldVariant::NoBase, "of commands against one version at most one is accepted" },
    no_snapshot = { FoldVariant::NoSnapshot, "folds at the same offset agree" },
)]
fn check_broken_fold(variant: FoldVariant, property: &str) {
    assert_eq!(find_violation("fold", &FoldModel { variant }), property);
}
