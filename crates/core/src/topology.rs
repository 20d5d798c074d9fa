//! Workers and their location in racks, failure domains and regions.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::shape::Amount;

/// The location of a worker in the topology.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
pub struct Place {
    /// Region that holds the failure domain.
    pub region: Arc<str>,
    /// Failure domain that holds the rack.
    pub domain: Arc<str>,
    /// Rack that holds the worker.
    pub rack: Arc<str>,
}

impl Place {
    pub fn new(region: &str, domain: &str, rack: &str) -> Self {
        Self { region: region.into(), domain: domain.into(), rack: rack.into() }
    }
}

/// Whether a worker accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// The worker accepts work.
    #[default]
    Ready,
    /// The worker finishes its current work and accepts no more.
    Draining,
    /// The worker failed several starts in a row and accepts no work for a limited time.
    Ejected,
    /// The worker has not reported in time.
    Lost,
}

/// A worker as the scheduler sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Worker {
    /// Location in the topology.
    pub place: Place,
    /// Total slots and accelerators.
    pub capacity: Amount,
    /// Whether the worker accepts new work.
    pub standing: Standing,
}

impl Worker {
    /// Creates a ready worker.
    pub fn new(place: Place, capacity: Amount) -> Self {
        Self { place, capacity, standing: Standing::Ready }
    }

    /// Returns whether the worker's capacity may back guarantees.
    pub fn backs_guarantees(&self) -> bool {
        matches!(self.standing, Standing::Ready | Standing::Ejected)
    }
}
