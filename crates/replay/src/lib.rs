//! Simulation of the scheduling core in virtual time, without network or processes.

pub mod args;
pub mod cost;
pub mod measure;
pub mod report;
pub mod scenario;
pub mod sim;
