//! The authority of an agent over its worker: holds, leases, epochs, gang commit and keys.
//!
//! All of it is pure: time is passed in, so the daemon, the tests and the model checker run the same code.

pub mod commit;
pub mod epoch;
pub mod key;
pub mod member;

pub use commit::{CommitPoint, GangState, Verdict};
pub use epoch::Epoch;
pub use key::{Begin, Key, KeyTable, Window};
pub use member::{Hold, Member, Phase, Refusal};
