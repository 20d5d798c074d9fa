//! Workers and their place in racks, failure domains and regions.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::shape::Amount;

/// The place of a worker in the topology.
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
    /// Creates a place from its names.
    pub fn new(region: &str, domain: &str, rack: &str) -> Self {
        Self { region: region.into(), domain: domain.into(), rack: rack.into() }
    }
}

/// Whether a worker may take new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// The worker takes work.
    #[default]
    Ready,
    /// The worker finishes what it has and takes nothing new.
    Draining,
    /// The worker failed what it started and takes nothing until its return.
    Ejected,
    /// The worker has not been heard from in time.
    Lost,
}

/// A worker as the decision core sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Worker {
    /// Place in the topology.
    pub place: Place,
    /// Slots and accelerators in all.
    pub capacity: Amount,
    /// Whether the worker takes new work.
    pub standing: Standing,
}

impl Worker {
    /// Creates a ready worker.
    pub fn new(place: Place, capacity: Amount) -> Self {
        Self { place, capacity, standing: Standing::Ready }
    }

    /// Returns whether the worker still carries guarantees.
    pub fn backs_guarantees(&self) -> bool {
        matches!(self.standing, Standing::Ready | Standing::Ejected)
    }
}
