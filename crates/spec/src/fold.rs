//! The fold of the configuration: operators race, answers are lost and commands sent again, readers restart.

use sorrelland_core::account::Account;
use sorrelland_core::id::AccountId;
use sorrelland_ledger::{Command, CommandOutcome, CommandRecord, Fold, Record};

use crate::check::Model;

/// Records that are explored.
const LOG_LIMIT: usize = 6;

/// What is left out to show that a property can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Whole,
    /// Commands do not tell the version that they were written against.
    NoBase,
    /// A reader that starts again folds from nothing without a snapshot of what is gone.
    NoSnapshot,
}

/// The model.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// What is left out.
    pub variant: Variant,
}

/// A command of an operator: who, and the version that it was written against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sent {
    operator: u8,
    base: u64,
    copy: u8,
}

/// The log, how far each of two readers is, and where a reader's fold began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    log: Vec<Sent>,
    first: usize,
    readers: [Reader; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Reader {
    from: usize,
    next: usize,
}

impl Model for Config {
    type State = State;

    fn start(&self) -> State {
        let reader = Reader { from: 0, next: 0 };
        State { log: Vec::new(), first: 0, readers: [reader, reader] }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for (at, reader) in state.readers.iter().enumerate() {
            let seen = self.fold(state, reader);
            if state.log.len() < LOG_LIMIT {
                let base = seen.versions.values().copied().max().unwrap_or_default();
                let sent = Sent { operator: at as u8, base, copy: 0 };
                if !state.log.contains(&sent) {
                    let mut next = state.clone();
                    next.log.push(sent);
                    steps.push((format!("operator {at} sends against version {}", sent.base), next));
                }
            }
            if reader.next < state.log.len() {
                let mut next = state.clone();
                next.readers[at].next += 1;
                steps.push((format!("reader {at} folds"), next));
            }
            if self.variant == Variant::NoSnapshot && reader.next > 0 {
                let mut next = state.clone();
                next.readers[at] = Reader { from: state.first, next: state.log.len() };
                steps.push((format!("reader {at} starts again"), next));
            }
        }
        if let Some(last) = state.log.last().copied()
            && last.copy == 0
            && state.log.len() < LOG_LIMIT
        {
            let mut next = state.clone();
            next.log.push(Sent { copy: 1, ..last });
            steps.push((format!("operator {} sends again after a lost answer", last.operator), next));
        }
        if state.first < state.log.len().min(2) {
            let mut next = state.clone();
            next.first += 1;
            steps.push(("the log drops its oldest record".to_owned(), next));
        }
        steps
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        let [a, b] = state.readers.map(|reader| self.fold(state, &reader));
        if a.next_offset == b.next_offset && a != b {
            return Some("folds at the same offset agree");
        }
        let full = self.fold(state, &Reader { from: 0, next: state.log.len() });
        let mut won: Vec<Sent> = Vec::new();
        for (_, sent) in (0..).zip(&state.log).filter(|(offset, _)| accepted(&full, *offset)) {
            if won.iter().any(|other| other.base == sent.base && other.operator == sent.operator) {
                return Some("a command that is sent again stands once");
            }
            if won.iter().any(|other| other.base == sent.base) {
                return Some("of commands against one version at most one is accepted");
            }
            won.push(*sent);
        }
        None
    }
}

fn accepted(fold: &Fold, offset: u64) -> bool {
    let row = fold.history.iter().find(|row| row.offset == offset);
    row.is_some_and(|row| matches!(row.outcome, CommandOutcome::Accepted { .. }))
}

impl Config {
    fn fold(&self, state: &State, reader: &Reader) -> Fold {
        let mut fold = Fold::new();
        fold.next_offset = reader.from as u64;
        for (offset, sent) in state.log.iter().enumerate().take(reader.next).skip(reader.from) {
            let record = self.record(sent, &fold);
            fold.apply(offset as u64, &record).expect("records are folded in order");
        }
        fold
    }

    fn record(&self, sent: &Sent, fold: &Fold) -> Record {
        let account = AccountId::new("x");
        let base = match self.variant {
            Variant::NoBase => fold.versions.values().copied().max().unwrap_or_default(),
            _ => sent.base,
        };
        let weight = 1 + u32::from(sent.operator);
        Record::Command(CommandRecord {
            id: format!("{}-{}", sent.operator, sent.base),
            base,
            operator: sent.operator.to_string(),
            command: Command::SetAccount { account, config: Account { weight, ..Account::default() } },
        })
    }
}
