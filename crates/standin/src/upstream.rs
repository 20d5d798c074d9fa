//! The upstream of a worker: short requests on a few slots.

use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::Semaphore;

/// A short request as the upstream takes it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ShortRequest {
    /// Identity of the request.
    pub request: String,
    /// Account on whose behalf it runs.
    pub account: String,
    /// Idempotency key, if any.
    #[serde(default)]
    pub key: String,
    /// Body; `cost_ms` and `fail` are understood.
    #[serde(default)]
    pub body: Value,
}

/// The upstream's answer.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ShortAnswer {
    /// Identity of the request.
    pub request: String,
    /// Worker that ran it.
    pub worker: String,
    /// The body of the request.
    pub echo: Value,
}

/// Slots and connections of an upstream.
#[derive(Clone)]
pub struct Upstream {
    slots: Arc<Semaphore>,
    connections: Arc<Semaphore>,
}

impl Upstream {
    /// Creates an upstream that runs `slots` requests at a time and takes `connections`.
    pub fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots as usize)),
            connections: Arc::new(Semaphore::new(connections as usize)),
        }
    }

    /// Runs a request once it has a slot; returns `None` when there are too many connections.
    pub async fn run(&self, request: &ShortRequest, begin: impl FnOnce()) -> Option<()> {
        let _connection = self.connections.try_acquire().ok()?;
        let _slot = self.slots.acquire().await.ok()?;
        begin();
        let cost_ms = request.body.get("cost_ms").and_then(Value::as_u64).unwrap_or_default();
        if cost_ms > 0 {
            tokio::time::sleep(Duration::from_millis(cost_ms)).await;
        }
        Some(())
    }
}
