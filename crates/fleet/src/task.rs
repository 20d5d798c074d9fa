//! Names of subtasks.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Result of reading a name.
pub type Result<T> = std::result::Result<T, BadTask>;

/// A text that does not name a subtask.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("not the name of a subtask: {_0:?}")]
pub struct BadTask(#[error(not(source))] pub String);

/// One subtask of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Job that the subtask belongs to.
    pub job: String,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Step of the job, counted from 0.
    pub step: u32,
    /// Place within the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for Task {
    type Err = BadTask;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || BadTask(text.to_owned());
        let mut parts = text.split('.');
        let job = parts.next().filter(|job| !job.is_empty()).ok_or_else(bad)?.to_owned();
        let mut number = || parts.next().and_then(|part| part.parse::<u32>().ok()).ok_or_else(bad);
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(Self { job, occurrence, step, index })
    }
}
