//! A load program: short requests through an entry beside direct calls to an upstream.

pub mod agents;
pub mod args;
pub mod drive;
pub mod usage;
