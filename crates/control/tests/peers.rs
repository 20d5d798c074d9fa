use sorrelland_control::peers::{Listed, Peers};

fn listed(address: &str, millicores: u64, age_ms: u64) -> Listed {
    Listed { address: address.to_owned(), millicores, age_ms }
}

#[test]
fn live_ages_listed_entries_by_their_last_ping() {
    let mut peers = Peers::default();
    peers.record_ping(10_000, "a".to_owned(), 500);
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
    peers.record_ping(1_000, "a".to_owned(), 500);
    peers.record_ping(9_000, "b".to_owned(), 500);
    peers.prune(10_000);
    assert_eq!(peers.live(5_000), [listed("b", 500, 0)]);
}

#[test]
fn has_larger_counts_live_entries_only() {
    let mut peers = Peers::default();
    peers.record_ping(1_000, "a".to_owned(), 500);
    assert!(peers.has_larger(2_000, 120));
    assert!(!peers.has_larger(2_000, 500));
    assert!(!peers.has_larger(7_000, 120));
}

#[test]
fn successor_has_pinged_just_now_and_is_much_larger() {
    let mut peers = Peers::default();
    peers.record_listed(1_000, listed("a", 900, 0));
    assert_eq!(peers.successor(1_000, 120), None, "it may not reach this entry");
    peers.record_ping(1_000, "b".to_owned(), 239);
    assert_eq!(peers.successor(1_000, 120), None);
    peers.record_ping(1_000, "c".to_owned(), 240);
    assert_eq!(peers.successor(1_000, 120), Some("c"));
    assert_eq!(peers.successor(2_001, 120), None);
}
