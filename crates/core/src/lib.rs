//! Scheduling decisions without I/O: tables of entities and the functions that run over them at each tick.

pub mod account;
pub mod eject;
pub mod estimate;
pub mod id;
pub mod naive;
pub mod pass;
pub mod place;
pub mod plan;
pub mod policy;
pub mod queue;
pub mod reclaim;
pub mod route;
pub mod shape;
pub mod table;
pub mod tick;
pub mod topology;
pub mod view;
