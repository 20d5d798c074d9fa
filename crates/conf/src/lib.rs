//! Typed settings from INI files; all problems of a file are reported together.

pub mod finding;
pub mod reader;
pub mod settings;

pub use finding::{Finding, Findings};
pub use settings::Settings;
