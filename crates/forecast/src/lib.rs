//! Forecasts of runs from the progress that they report: speeds of workers, remaining times, and how far declared
//! estimates are off.
//!
//! Designed for fleets whose workers differ in speed and whose declared estimates are off by factors. The crate does no
//! I/O and has no clock: callers pass in `now`, a monotonic time in milliseconds.

pub mod forecasts;
pub mod progress;
pub mod speeds;
pub mod stats;

pub use forecasts::{Correction, Forecasts, Remaining, Settings};
pub use progress::{Progress, RunId, StepId};
pub use speeds::Speed;
