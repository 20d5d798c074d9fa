//! Typed settings from INI files, with every finding reported together.

pub mod finding;
pub mod reader;
pub mod settings;

pub use finding::{Finding, Findings};
pub use settings::Settings;
