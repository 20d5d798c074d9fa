//! Emulator of a deployment in virtual time: runs the planner's own code against emulated workers, agents, store and
//! callers, injects faults, checks invariants, and measures the service that callers get.

pub mod args;
pub mod check;
pub mod cluster;
pub mod forecast;
pub mod load;
pub mod measure;
pub mod run;
pub mod store;

pub use run::{Setup, run};
