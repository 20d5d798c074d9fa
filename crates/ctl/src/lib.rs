//! Command-line tool for callers and operators.

pub mod args;
pub mod call;
pub mod late;
pub mod log_line;
pub mod plot;
pub mod run;
pub mod runs;
pub mod show;
