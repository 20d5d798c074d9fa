//! Model checking of the core protocol by exhaustive search over small bounds.
//!
//! The transitions run the daemon's own code for members, commit points, keys and the fold; only messages,
//! time and failures are modelled. Each model has broken variants that its properties must catch.

pub mod check;
pub mod fold;
pub mod gang;
pub mod key;
