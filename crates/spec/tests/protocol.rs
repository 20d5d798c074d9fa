//! The core protocol holds in every reachable state, and each broken variant is caught with its trace.

use sorrelland_spec::check::{Model, Outcome, check};
use sorrelland_spec::fold::{Config, Variant as ConfigVariant};
use sorrelland_spec::gang::{Gang, Variant as GangVariant};
use sorrelland_spec::key::{Keys, Variant as KeyVariant};

fn holds(name: &str, model: &impl Model) {
    match check(model) {
        Outcome::Holds { states } => println!("{name}: {states} states, no property violated"),
        Outcome::Violated { property, trace } => panic!("{name}: {property}\n  {}", trace.join("\n  ")),
    }
}

fn caught(name: &str, model: &impl Model) -> &'static str {
    match check(model) {
        Outcome::Holds { states } => panic!("{name}: not caught in {states} states"),
        Outcome::Violated { property, trace } => {
            println!("{name}: {property}, after\n  {}", trace.join("\n  "));
            property
        }
    }
}

#[test]
fn gang_whole_holds() {
    holds("gang", &Gang { variant: GangVariant::Whole });
}

#[test]
fn keys_whole_hold() {
    holds("keys", &Keys { variant: KeyVariant::Whole });
}

#[test]
fn config_whole_holds() {
    holds("config", &Config { variant: ConfigVariant::Whole });
}

#[yare::parameterized(
    no_barrier = { GangVariant::NoBarrier, "no member runs while its gang is not committed" },
    no_fence = { GangVariant::NoFence, "two attempts never run at the same time" },
    no_worker_lease = { GangVariant::NoWorkerLease, "two attempts never run at the same time" },
    any_life = { GangVariant::AnyLife, "no result of an epoch is accepted after fencing" },
    no_settling = { GangVariant::NoSettling, "two attempts never run at the same time" },
)]
fn gang_broken(variant: GangVariant, property: &str) {
    assert_eq!(caught("gang", &Gang { variant }), property);
}

#[yare::parameterized(
    any_life = { KeyVariant::AnyLife, "a key's work begins at most once" },
    any_window = { KeyVariant::AnyWindow, "a key's work begins at most once" },
    no_seal = { KeyVariant::NoSeal, "not run implies never begun" },
)]
fn keys_broken(variant: KeyVariant, property: &str) {
    assert_eq!(caught("keys", &Keys { variant }), property);
}

#[yare::parameterized(
    no_base = { ConfigVariant::NoBase, "of commands against one version at most one is accepted" },
    no_snapshot = { ConfigVariant::NoSnapshot, "folds at the same offset agree" },
)]
fn config_broken(variant: ConfigVariant, property: &str) {
    assert_eq!(caught("config", &Config { variant }), property);
}
