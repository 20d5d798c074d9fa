//! State machines of an agent: holds, leases, epochs, gang commit and idempotency keys.
//!
//! They do no I/O and take the time as an argument, so the daemon, the tests and the model checker run the same
//! code.

pub mod commit;
pub mod epoch;
pub mod key;
pub mod member;

pub use commit::{CommitPoint, GangState, RenewalReply};
pub use epoch::Epoch;
pub use key::{Key, KeyStatus, KeyTable, KeyWindow};
pub use member::{Hold, Member, Phase, Refusal};
