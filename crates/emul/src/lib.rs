//! Emulator of a deployment in virtual time: the planner's own code over emulated workers, agents, store and
//! callers, with faults, checks of what must always hold, and a measure of what callers get.

pub mod args;
pub mod check;
pub mod load;
pub mod measure;
pub mod run;
pub mod store;
pub mod world;

pub use run::{Setup, run};
