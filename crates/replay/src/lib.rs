//! Replay of the decision core in virtual time: no network, no processes.

pub mod args;
pub mod cost;
pub mod measure;
pub mod report;
pub mod scenario;
pub mod sim;
