//! At-most-once by key: two entries hand the same key over while its home restarts and forgets.

use sorrelland_core::id::WorkerId;
use sorrelland_lease::{Key, KeyStatus, KeyTable};

use crate::check::Model;

/// Lives of the home that are explored.
const LIVES: u64 = 3;

/// Deliveries of the key that are explored.
const DELIVERIES: u8 = 4;

/// What is left out to show that a property can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Whole,
    /// A home takes keys of its earlier lives.
    AnyLife,
    /// A home takes keys whose window it has forgotten.
    AnyWindow,
    /// A home that is full forgets that it refused.
    NoSeal,
}

/// The model.
#[derive(Clone, Copy, Debug)]
pub struct Keys {
    /// What is left out.
    pub variant: Variant,
}

/// State of the home and what callers were told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    table: KeyTable<bool>,
    life: u64,
    deliveries: u8,
    runs: u8,
    running: bool,
    told_not_run: bool,
    others: u8,
}

fn home() -> WorkerId {
    WorkerId::new("w")
}

fn key(nonce: u128) -> Key {
    Key { window: KeyTable::<bool>::new(&home(), 1).window().clone(), nonce }
}

fn table(life: u64) -> KeyTable<bool> {
    KeyTable::new(&home(), life).with_capacity(2)
}

impl Model for Keys {
    type State = State;

    fn start(&self) -> State {
        State {
            table: table(1),
            life: 1,
            deliveries: 0,
            runs: 0,
            running: false,
            told_not_run: false,
            others: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        if state.deliveries < DELIVERIES {
            let mut next = state.clone();
            next.deliveries += 1;
            self.deliver(&mut next);
            steps.push(("the key is handed over".to_owned(), next));
        }
        if state.running {
            let mut next = state.clone();
            next.running = false;
            next.table.record_outcome(&key(1), true);
            steps.push(("the work ends".to_owned(), next));
        }
        if state.others < 2 {
            let mut next = state.clone();
            next.others += 1;
            next.table.begin(&key(10 + u128::from(state.others)));
            steps.push(("another key is handed over".to_owned(), next));
        }
        if state.table.window().number < 4 {
            let mut next = state.clone();
            next.table.open_next_window();
            steps.push(("the next window opens".to_owned(), next));
        }
        if state.life < LIVES {
            let mut next = state.clone();
            next.life += 1;
            next.running = false;
            next.table = table(next.life);
            steps.push(("the home starts again".to_owned(), next));
        }
        steps
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a key's work begins at most once");
        }
        if state.told_not_run && state.runs > 0 {
            return Some("not run implies never begun");
        }
        None
    }
}

impl Keys {
    fn deliver(&self, state: &mut State) {
        let mut key = key(1);
        if self.variant == Variant::AnyLife {
            key.window.incarnation = state.life;
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
                state.told_not_run = true;
                if self.variant == Variant::NoSeal {
                    let life = state.life;
                    state.table = table(life);
                }
            }
            KeyStatus::Running | KeyStatus::Ended(_) | KeyStatus::Unknown => {}
        }
    }
}
