//! Tests of the history checks in `common::history`.

mod common;

use std::collections::BTreeMap;

use common::history::{Event, violations};

fn gang() -> BTreeMap<String, usize> {
    BTreeMap::from([("j".to_owned(), 2)])
}

fn check(events: &[Event]) -> Vec<String> {
    violations(events, &gang(), 100)
}

#[test]
fn violations_complete_gang() {
    let events = [
        Event::new("a", 0, "start", "j", "t1", 1),
        Event::new("b", 5, "start", "j", "t2", 1),
        Event::new("a", 50, "done", "j", "t1", 1),
        Event::new("b", 500, "done", "j", "t2", 1),
    ];
    assert_eq!(check(&events), Vec::<String>::new());
}

#[test]
fn violations_member_never_starts() {
    let events = [Event::new("a", 0, "start", "j", "t1", 1), Event::new("a", 500, "lapsed", "j", "t1", 1)];
    assert_eq!(check(&events).len(), 1);
}

#[test]
fn violations_member_stops_early() {
    let events = [
        Event::new("a", 0, "start", "j", "t1", 1),
        Event::new("b", 5, "start", "j", "t2", 1),
        Event::new("a", 50, "lapsed", "j", "t1", 1),
        Event::new("b", 500, "stopped", "j", "t2", 1),
    ];
    assert_eq!(check(&events).len(), 1);
}

#[test]
fn violations_epochs_overlap() {
    let events = [
        Event::new("a", 0, "start", "j", "t1", 1),
        Event::new("b", 5, "start", "j", "t2", 1),
        Event::new("c", 20, "start", "j", "t3", 2),
        Event::new("d", 20, "start", "j", "t4", 2),
        Event::new("a", 30, "done", "j", "t1", 1),
        Event::new("b", 30, "done", "j", "t2", 1),
        Event::new("c", 40, "done", "j", "t3", 2),
        Event::new("d", 40, "done", "j", "t4", 2),
    ];
    assert!(check(&events).iter().all(|v| v.contains("at the same time")));
    assert!(!check(&events).is_empty());
}

#[test]
fn violations_key_runs_twice() {
    let events = [
        Event::new("a", 0, "request", "r1", "k", 0),
        Event::new("b", 9, "request", "r1", "k", 0),
        Event::new("b", 9, "request", "r2", "", 0),
        Event::new("b", 9, "request", "r3", "", 0),
    ];
    assert_eq!(check(&events), ["key k ran 2 times"]);
}
