//! Identifiers of subtasks.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Result of parsing a subtask identifier.
pub type Result<T> = std::result::Result<T, ParseTaskError>;

/// Error for a text that is not a subtask identifier.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("not a subtask identifier: {_0:?}")]
pub struct ParseTaskError(#[error(not(source))] pub String);

/// One subtask of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Job that the subtask belongs to.
    pub job: String,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Step of the job, counted from 0.
    pub step: u32,
    /// Index within the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for Task {
    type Err = ParseTaskError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || ParseTaskError(text.to_owned());
        let mut parts = text.split('.');
        let job = parts.next().filter(|job| !job.is_empty()).ok_or_else(invalid)?.to_owned();
        let mut number = || parts.next().and_then(|part| part.parse::<u32>().ok()).ok_or_else(invalid);
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(invalid());
        }
        Ok(Self { job, occurrence, step, index })
    }
}
