//! Client accounts, their guarantees and limits.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::shape::{Amount, Shape};

/// Default limit on the waiting jobs of an account.
pub const DEFAULT_QUEUE_LIMIT_JOBS: u32 = 2_000;

/// Default limit on the requests of an account in flight at one entry.
pub const DEFAULT_REQUEST_LIMIT: u32 = 256;

/// Configuration of a client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Account {
    /// Shapes that the account can reclaim at any time.
    #[serde(default)]
    pub guarantee: Vec<Shape>,
    /// Relative share of capacity beyond the guarantees.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of waiting jobs.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Maximum number of requests in flight at one entry.
    #[serde(default = "default_request_limit")]
    pub request_limit: u32,
    /// Whether new work of the account is refused.
    #[serde(default)]
    pub paused: bool,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            guarantee: Vec::new(),
            weight: default_weight(),
            queue_limit: DEFAULT_QUEUE_LIMIT_JOBS,
            request_limit: DEFAULT_REQUEST_LIMIT,
            paused: false,
        }
    }
}

impl Account {
    /// Returns the account with a guarantee of `shapes`.
    pub fn with_guarantee(mut self, shapes: &[Shape]) -> Self {
        self.guarantee = shapes.to_vec();
        self
    }

    /// Returns the sum of all guaranteed shapes.
    pub fn guaranteed(&self) -> Amount {
        let mut sum = Amount::default();
        for shape in &self.guarantee {
            sum += shape.total();
        }
        sum
    }
}

fn default_weight() -> u32 {
    1
}

fn default_queue_limit() -> u32 {
    DEFAULT_QUEUE_LIMIT_JOBS
}

fn default_request_limit() -> u32 {
    DEFAULT_REQUEST_LIMIT
}
