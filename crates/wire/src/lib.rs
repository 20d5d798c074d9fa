//! RPC messages between Sorrelland processes, and the authenticated connections that carry them.

pub mod agent;
pub mod connect;
pub mod entry;
pub mod handshake;

pub use agent::AgentRpcClient;
pub use entry::EntryRpcClient;
