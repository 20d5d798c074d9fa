//! What the accounts bear when capacity is short: runs stopped for others, refusals and late jobs.

use std::collections::BTreeMap;

/// Maximum number of accounts with counts.
const MAX_ACCOUNTS: usize = 1_000;

/// What happened to a job or run of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountEvent {
    /// A run was stopped in favor of another job.
    Stopped,
    /// A job was refused.
    Refused,
    /// A job ended with its result but late by its measured work.
    Late,
}

/// Number of events since the planner became the leader, and the time of the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub count: u64,
    /// On the monotonic clock; `None` without an event.
    pub last_at: Option<u64>,
}

impl Tally {
    /// Returns the time since the newest event, in milliseconds.
    pub fn ms_ago(&self, now: u64) -> Option<u64> {
        self.last_at.map(|at| now.saturating_sub(at))
    }
}

/// Counts of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub stopped: Tally,
    pub refused: Tally,
    pub late: Tally,
}

impl Counts {
    fn last_at(&self) -> Option<u64> {
        [self.stopped, self.refused, self.late].iter().filter_map(|tally| tally.last_at).max()
    }
}

/// Counts by account, of at most [`MAX_ACCOUNTS`] accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountCounts {
    by_account: BTreeMap<String, Counts>,
}

impl AccountCounts {
    /// Counts an event. If there are too many accounts, drops the one without an event for the longest time.
    pub fn record(&mut self, now: u64, account: &str, event: AccountEvent) {
        if !self.by_account.contains_key(account) && self.by_account.len() >= MAX_ACCOUNTS {
            let oldest = self.by_account.iter().min_by_key(|(_, counts)| counts.last_at());
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.by_account.remove(&oldest);
            }
        }
        let counts = self.by_account.entry(account.to_owned()).or_default();
        let tally = match event {
            AccountEvent::Stopped => &mut counts.stopped,
            AccountEvent::Refused => &mut counts.refused,
            AccountEvent::Late => &mut counts.late,
        };
        *tally = Tally { count: tally.count + 1, last_at: Some(now) };
    }

    /// Returns the counts of an account.
    pub fn get(&self, account: &str) -> Counts {
        self.by_account.get(account).copied().unwrap_or_default()
    }

    /// Returns the accounts with an event, in order.
    pub fn accounts(&self) -> impl Iterator<Item = &str> {
        self.by_account.keys().map(String::as_str)
    }
}
