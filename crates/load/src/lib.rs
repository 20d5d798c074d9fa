//! Load generator: sends short requests through an entry and, for comparison, directly to an upstream.

pub mod agents;
pub mod args;
pub mod drive;
pub mod usage;
