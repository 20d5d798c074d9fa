//! Command-line tool for callers and operators.

pub mod args;
pub mod call;
pub mod plot;
pub mod run;
pub mod show;
