//! Model of the configuration fold: operators send commands concurrently, replies are lost and commands repeated,
//! and readers restart.

use sorrelland_core::account::Account;
use sorrelland_core::id::AccountId;
use sorrelland_ledger::{Command, CommandOutcome, CommandRecord, Fold, Record};

use crate::check::Model;

/// Bound of the search, in records on the log.
const MAX_RECORDS: usize = 6;

/// The correct model, or one that breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Breaks no rule.
    Correct,
    /// Breaks the rule that a command names the version it is based on: the latest version is assumed instead.
    NoBase,
    /// Breaks the rule that a restarted reader begins with a snapshot: it folds only the records still on the log.
    NoSnapshot,
}

#[derive(Clone, Copy, Debug)]
pub struct FoldModel {
    pub variant: Variant,
}

/// Command on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LoggedCommand {
    operator: u8,
    /// Version that the command is based on.
    base: u64,
    /// 1 if the operator sent the command again after a lost reply.
    copy: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    log: Vec<LoggedCommand>,
    /// Offset of the oldest record that the log retains.
    first: usize,
    readers: [Reader; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Reader {
    /// Offset at which the fold began.
    from: usize,
    /// Offset after the last folded record.
    next: usize,
}

impl Model for FoldModel {
    type State = State;

    fn initial_state(&self) -> State {
        let reader = Reader { from: 0, next: 0 };
        State { log: Vec::new(), first: 0, readers: [reader, reader] }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for (index, reader) in state.readers.iter().enumerate() {
            let reader_fold = self.fold(state, reader);
            if state.log.len() < MAX_RECORDS {
                let base = reader_fold.versions.values().copied().max().unwrap_or_default();
                let sent = LoggedCommand { operator: index as u8, base, copy: 0 };
                if !state.log.contains(&sent) {
                    let mut next = state.clone();
                    next.log.push(sent);
                    steps.push((
                        format!("operator {index} sends a command based on version {}", sent.base),
                        next,
                    ));
                }
            }
            if reader.next < state.log.len() {
                let mut next = state.clone();
                next.readers[index].next += 1;
                steps.push((format!("reader {index} folds a record"), next));
            }
            if self.variant == Variant::NoSnapshot && reader.next > 0 {
                let mut next = state.clone();
                next.readers[index] = Reader { from: state.first, next: state.log.len() };
                steps.push((format!("reader {index} restarts"), next));
            }
        }
        if let Some(last) = state.log.last().copied()
            && last.copy == 0
            && state.log.len() < MAX_RECORDS
        {
            let mut next = state.clone();
            next.log.push(LoggedCommand { copy: 1, ..last });
            steps.push((format!("operator {} repeats a command after a lost reply", last.operator), next));
        }
        if state.first < state.log.len().min(2) {
            let mut next = state.clone();
            next.first += 1;
            steps.push(("the log removes its oldest record".to_owned(), next));
        }
        steps
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        let [a, b] = state.readers.map(|reader| self.fold(state, &reader));
        if a.next_offset == b.next_offset && a != b {
            return Some("folds at the same offset agree");
        }
        let full = self.fold(state, &Reader { from: 0, next: state.log.len() });
        let mut winners: Vec<LoggedCommand> = Vec::new();
        for (_, sent) in (0..).zip(&state.log).filter(|(offset, _)| is_accepted(&full, *offset)) {
            if winners.iter().any(|other| other.base == sent.base && other.operator == sent.operator) {
                return Some("a command that is sent again is accepted once");
            }
            if winners.iter().any(|other| other.base == sent.base) {
                return Some("of commands against one version at most one is accepted");
            }
            winners.push(*sent);
        }
        None
    }
}

fn is_accepted(fold: &Fold, offset: u64) -> bool {
    let row = fold.history.iter().find(|row| row.offset == offset);
    row.is_some_and(|row| matches!(row.outcome, CommandOutcome::Accepted { .. }))
}

impl FoldModel {
    fn fold(&self, state: &State, reader: &Reader) -> Fold {
        let mut fold = Fold::new();
        fold.next_offset = reader.from as u64;
        for (offset, sent) in state.log.iter().enumerate().take(reader.next).skip(reader.from) {
            let record = self.record(sent, &fold);
            fold.apply(offset as u64, &record).expect("records must be folded in order");
        }
        fold
    }

    fn record(&self, sent: &LoggedCommand, fold: &Fold) -> Record {
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
