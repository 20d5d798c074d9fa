//! What is wrong with a settings file, each with its place.

use derive_more::{Display, Error};

/// One thing that is wrong, with its place.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{file}:{line}: [{section}] {key}: {message}")]
pub struct Finding {
    /// File that was read.
    pub file: String,
    /// Line of the key or section; 0 if it is missing.
    pub line: usize,
    /// Section.
    pub section: String,
    /// Key; empty for a whole section.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

/// Everything that is wrong with a file, in order of place.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", lines(findings))]
pub struct Findings {
    /// The findings.
    pub findings: Vec<Finding>,
}

fn lines(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    lines.join("\n")
}
