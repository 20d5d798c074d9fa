//! Model of at-most-once execution by key: two entries deliver the same key while its home restarts and expires old
//! keys.

use sorrelland_core::id::WorkerId;
use sorrelland_lease::{Key, KeyStatus, KeyTable};

use crate::check::Model;

/// Bound of the search, in incarnations of the home.
const MAX_INCARNATIONS: u64 = 3;

/// Bound of the search, in deliveries of the key.
const MAX_DELIVERIES: u8 = 4;

/// The correct model, or one that breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Breaks no rule.
    Correct,
    /// Breaks the rule that a home runs no key of an earlier incarnation.
    AnyIncarnation,
    /// Breaks the rule that a home runs no key of an expired window.
    AnyWindow,
    /// Breaks the rule that a key, once refused by a full table, never runs.
    NoSeal,
}

#[derive(Clone, Copy, Debug)]
pub struct KeyModel {
    pub variant: Variant,
}

/// State of the home and of the key with nonce 1.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    table: KeyTable<bool>,
    incarnation: u64,
    deliveries: u8,
    /// Number of times that the key's work started.
    runs: u8,
    running: bool,
    /// Whether a caller received the reply that the key did not run.
    reported_not_run: bool,
    /// Number of other keys delivered, which fill the table.
    other_keys: u8,
}

fn home() -> WorkerId {
    WorkerId::new("w")
}

fn key(nonce: u128) -> Key {
    Key { window: KeyTable::<bool>::new(&home(), 1).window().clone(), nonce }
}

fn table(incarnation: u64) -> KeyTable<bool> {
    KeyTable::new(&home(), incarnation).with_capacity(2)
}

impl Model for KeyModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            table: table(1),
            incarnation: 1,
            deliveries: 0,
            runs: 0,
            running: false,
            reported_not_run: false,
            other_keys: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        if state.deliveries < MAX_DELIVERIES {
            let mut next = state.clone();
            next.deliveries += 1;
            self.deliver(&mut next);
            steps.push(("the key is delivered".to_owned(), next));
        }
        if state.running {
            let mut next = state.clone();
            next.running = false;
            next.table.record_outcome(&key(1), true);
            steps.push(("the work ends".to_owned(), next));
        }
        if state.other_keys < 2 {
            let mut next = state.clone();
            next.other_keys += 1;
            next.table.begin(&key(10 + u128::from(state.other_keys)));
            steps.push(("another key is delivered".to_owned(), next));
        }
        if state.table.window().number < 4 {
            let mut next = state.clone();
            next.table.open_next_window();
            steps.push(("the next window opens".to_owned(), next));
        }
        if state.incarnation < MAX_INCARNATIONS {
            let mut next = state.clone();
            next.incarnation += 1;
            next.running = false;
            next.table = table(next.incarnation);
            steps.push(("the home restarts".to_owned(), next));
        }
        steps
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a key's work begins at most once");
        }
        if state.reported_not_run && state.runs > 0 {
            return Some("not run implies never begun");
        }
        None
    }
}

impl KeyModel {
    fn deliver(&self, state: &mut State) {
        let mut key = key(1);
        if self.variant == Variant::AnyIncarnation {
            key.window.incarnation = state.incarnation;
        }
        if self.variant == Variant::AnyWindow {
            key.window.number = state.table.window().number;
        }
        match state.table.begin(&key) {
            KeyStatus::New => {
                state.runs += 1;
                state.running = true;
            }
            KeyStatus::Full => {
                state.reported_not_run = true;
                if self.variant == Variant::NoSeal {
                    let incarnation = state.incarnation;
                    state.table = table(incarnation);
                }
            }
            KeyStatus::Running | KeyStatus::Ended(_) | KeyStatus::Unknown => {}
        }
    }
}
