//! Model checking of the core protocol by exhaustive search of small state spaces.
//!
//! The transitions run the production code of members, commit points, key tables and the fold; only messages, time
//! and failures are modelled. Each model has variants that break one rule, so that a test can show that the
//! properties detect it.

pub mod check;
pub mod fold;
pub mod gang;
pub mod key;
