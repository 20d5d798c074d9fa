//! Messages between the system's own processes, and their authenticated connections.

pub mod agent;
pub mod connect;
pub mod entry;
pub mod handshake;

pub use agent::AgentRpcClient;
pub use entry::EntryRpcClient;
