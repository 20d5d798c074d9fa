//! Names of worker incarnations.
//!
//! A worker that restarts may keep its name. Where workers tell when they started, that time is part of the
//! incarnation's name, so that two lives of a worker never share one. That name is this system's own: other systems know a
//! worker by its [`WorkerId`].

use derive_more::Display;

/// Separates a worker's name from the time of its start.
const SEPARATOR: char = '@';

/// Returns the name of a worker's incarnation. `started_ms` is when the worker started, in milliseconds since 1970;
/// `None` if it does not tell.
pub fn name(worker: &str, started_ms: Option<u64>) -> String {
    match started_ms {
        Some(started_ms) => format!("{worker}{SEPARATOR}{started_ms}"),
        // The trailing separator keeps the name of a worker that contains one unambiguous.
        None if worker.contains(SEPARATOR) => format!("{worker}{SEPARATOR}"),
        None => worker.to_owned(),
    }
}

/// Returns the worker's name and the time of its start that an incarnation's name consists of.
pub fn split(incarnation: &str) -> (&str, Option<u64>) {
    match incarnation.rsplit_once(SEPARATOR) {
        Some((worker, started_ms)) => (worker, started_ms.parse().ok()),
        None => (incarnation, None),
    }
}

/// Name of a worker as it gives it, which its later incarnations may keep.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(String);

impl WorkerId {
    /// Creates the name that another system has given.
    pub fn new(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// Returns the name of the worker that an incarnation is one of.
    pub fn of(incarnation: &str) -> Self {
        Self(split(incarnation).0.to_owned())
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}
