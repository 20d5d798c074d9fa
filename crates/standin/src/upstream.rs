//! Upstream of a worker, which runs short requests on a limited number of slots.

use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::Semaphore;

/// Short request to the upstream.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ShortRequest {
    /// Request ID.
    pub request: String,
    /// Account on whose behalf the request runs.
    pub account: String,
    /// Idempotency key; empty for none.
    #[serde(default)]
    pub key: String,
    /// Request body. `cost_ms` sets the run time in milliseconds; `fail` set to true makes the request fail.
    #[serde(default)]
    pub body: Value,
}

/// Answer to a short request.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ShortAnswer {
    /// Request ID.
    pub request: String,
    /// Worker that ran it.
    pub worker: String,
    /// Body of the request.
    pub echo: Value,
}

/// Slots and connections of an upstream.
#[derive(Clone)]
pub struct Upstream {
    slots: Arc<Semaphore>,
    connections: Arc<Semaphore>,
}

impl Upstream {
    /// Creates an upstream that accepts `connections` requests at a time and runs `slots` of them.
    pub fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots as usize)),
            connections: Arc::new(Semaphore::new(connections as usize)),
        }
    }

    /// Waits for a slot, calls `on_start` and runs the request; returns `None` if no connection is free.
    pub async fn run(&self, request: &ShortRequest, on_start: impl FnOnce()) -> Option<()> {
        let _connection = self.connections.try_acquire().ok()?;
        let _slot = self.slots.acquire().await.ok()?;
        on_start();
        let cost_ms = request.body.get("cost_ms").and_then(Value::as_u64).unwrap_or_default();
        if cost_ms > 0 {
            tokio::time::sleep(Duration::from_millis(cost_ms)).await;
        }
        Some(())
    }
}
