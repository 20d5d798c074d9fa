use sorrelland_control::peers::{FailedHandovers, Listed, Peers, Pinging};
use sorrelland_control::versions::NEWEST;

fn listed(address: &str, millicores: u64, age_ms: u64) -> Listed {
    Listed { address: address.to_owned(), millicores, age_ms, can_lead: true }
}

fn pinging(millicores: u64, can_lead: bool) -> Pinging {
    Pinging { millicores, can_lead, calls: NEWEST }
}

#[test]
fn live_ages_listed_entries_by_their_last_ping() {
    let mut peers = Peers::default();
    peers.record_ping(10_000, "a".to_owned(), pinging(500, true));
    peers.record_listed(10_000, listed("b", 120, 4_000));
    assert_eq!(peers.live(11_000), [listed("a", 500, 1_000), listed("b", 120, 5_000)]);
    assert_eq!(peers.live(11_001), [listed("a", 500, 1_001)], "an entry that only others list ends as well");
    // An older listing doesn't make it younger, a newer one does.
    peers.record_listed(12_000, listed("a", 500, 3_000));
    assert_eq!(peers.live(12_000), [listed("a", 500, 2_000)]);
    peers.record_listed(12_000, listed("b", 120, 0));
    assert_eq!(peers.live(12_000).len(), 2);
}

#[test]
fn prune_keeps_live_entries() {
    let mut peers = Peers::default();
    peers.record_ping(1_000, "a".to_owned(), pinging(500, true));
    peers.record_ping(9_000, "b".to_owned(), pinging(500, true));
    peers.prune(10_000);
    assert_eq!(peers.live(5_000), [listed("b", 500, 0)]);
}

#[test]
fn has_larger_counts_live_entries_only() {
    let mut peers = Peers::default();
    peers.record_ping(1_000, "a".to_owned(), pinging(500, true));
    assert!(peers.has_larger(2_000, 120));
    assert!(!peers.has_larger(2_000, 500));
    assert!(!peers.has_larger(7_000, 120));
}

#[test]
fn has_larger_counts_only_entries_that_can_lead() {
    let mut peers = Peers::default();
    peers.record_ping(1_000, "a".to_owned(), pinging(500, false));
    assert!(!peers.has_larger(1_500, 120), "it would never claim");
    // News of the entry replaces what was known, also by way of a third one.
    peers.record_listed(2_000, listed("a", 500, 0));
    assert!(peers.has_larger(2_000, 120));
}

#[test]
fn successors_have_pinged_just_now_and_are_large_enough() {
    let mut peers = Peers::default();
    peers.record_listed(1_000, listed("a", 900, 0));
    assert!(peers.successors(1_000, 240, 0).is_empty(), "it may not reach this entry");
    peers.record_ping(1_000, "b".to_owned(), pinging(239, true));
    assert!(peers.successors(1_000, 240, 0).is_empty());
    peers.record_ping(1_000, "c".to_owned(), pinging(240, true));
    peers.record_ping(1_000, "d".to_owned(), pinging(500, true));
    assert_eq!(peers.successors(1_000, 240, 0), ["d", "c"]);
    assert!(peers.successors(2_001, 240, 0).is_empty());
}

#[test]
fn successors_leave_out_entries_that_cannot_lead() {
    let mut peers = Peers::default();
    peers.record_ping(1_000, "a".to_owned(), pinging(500, false));
    assert!(peers.successors(1_000, 240, 0).is_empty(), "it doesn't reach the store");
    peers.record_ping(1_500, "a".to_owned(), pinging(500, true));
    assert_eq!(peers.successors(1_500, 240, 0), ["a"]);
}

#[test]
fn may_try_waits_longer_after_each_failure() {
    let mut failed = FailedHandovers::default();
    assert!(failed.may_try(1_000, "a"));
    failed.record(1_000, "a");
    assert!(!failed.may_try(5_999, "a"));
    assert!(failed.may_try(6_000, "a"));
    assert!(failed.may_try(1_000, "b"), "another entry");
    failed.record(6_000, "a");
    assert!(!failed.may_try(15_999, "a"));
    assert!(failed.may_try(16_000, "a"));
}

#[test]
fn record_listed_with_numbers_at_their_limits_ends_no_entry() {
    const NOW: u64 = 10_000;
    for number in [0, 1, 1 << 53, i64::MAX as u64, u64::MAX - 1, u64::MAX] {
        let mut peers = Peers::default();
        peers.record_ping(NOW, "a".to_owned(), pinging(number, true));
        let listed = Listed { address: "b".to_owned(), millicores: number, age_ms: number, can_lead: true };
        peers.record_listed(NOW, listed);
        peers.prune(NOW + 1);
        assert_eq!(peers.successors(NOW + 1, 0, 0), ["a"], "{number}");
        assert!(peers.live(NOW + 1).iter().all(|peer| peer.address == "a" || number <= 1), "{number}");
        peers.has_larger(NOW, number);
    }
}

/// Guards against a hand-over to an entry of an earlier build, from which one of this build would take it back.
#[test]
fn successors_of_the_newest_build_come_first() {
    let mut peers = Peers::default();
    let earlier = Pinging { calls: NEWEST - 1, ..pinging(900, true) };
    peers.record_ping(1_000, "a".to_owned(), earlier);
    peers.record_ping(1_000, "b".to_owned(), pinging(240, true));
    peers.record_ping(1_000, "c".to_owned(), pinging(500, true));
    assert_eq!(peers.successors(1_000, 0, 0), ["c", "b", "a"]);
    assert_eq!(peers.successors(1_000, 0, NEWEST), ["c", "b"]);
}
