//! Problems of a settings file, with their locations.

use derive_more::{Display, Error};

/// Problem of a settings file, with its location.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{file}:{line}: [{section}] {key}: {message}")]
pub struct Finding {
    /// Name of the settings file.
    pub file: String,
    /// Line of the key, else of its section; 0 if both are missing.
    pub line: usize,
    pub section: String,
    /// Key; empty if the finding is about the section.
    pub key: String,
    /// The problem, and what was expected.
    pub message: String,
}

/// All problems of a settings file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", lines(findings))]
pub struct Findings {
    pub findings: Vec<Finding>,
}

fn lines(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    lines.join("\n")
}
