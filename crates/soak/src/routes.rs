//! The routes that the operators publish, and their changes under accepted jobs.

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::deployment::{ADVISED_PREFIX, HOST, MAX_ATTEMPTS, PREFIXES};

/// Time until a route that is taken away is back, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 500..6_000;

/// Number of the callers' routes.
const ROUTES: usize = 3;

/// A change of the callers' routes, which are numbered from 0.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// The route at a path gets a new name.
    Rename(usize),
    /// The routes at two paths swap their names.
    Swap(usize, usize),
    /// The name of a route goes to another path for some time, and its path gets a new name.
    Replace { route: usize, ms: u64 },
    /// A route goes to another path for some time.
    Move { route: usize, ms: u64 },
    /// A route is away for some time, and may have a new name then.
    Remove { route: usize, renames: bool, ms: u64 },
}

impl Change {
    /// Draws a change.
    pub fn draw(rng: &mut StdRng) -> Self {
        let (route, ms) = (rng.random_range(0..ROUTES), rng.random_range(AWAY_MS));
        match rng.random_range(0..6) {
            0 => Self::Rename(route),
            1 => Self::Swap(route, (route + rng.random_range(1..ROUTES)) % ROUTES),
            2 => Self::Replace { route, ms },
            3 => Self::Move { route, ms },
            4 => Self::Remove { route, renames: true, ms },
            _ => Self::Remove { route, renames: false, ms },
        }
    }

    pub fn name(&self) -> &'static str {
        match self {
            Self::Rename(_) => "rename",
            Self::Swap(..) => "swap",
            Self::Replace { .. } => "replace",
            Self::Move { .. } => "move",
            Self::Remove { .. } => "remove",
        }
    }

    /// Returns the time after which it is taken back, if it is.
    pub fn lasts_ms(&self) -> Option<u64> {
        match self {
            Self::Rename(_) | Self::Swap(..) => None,
            Self::Replace { ms, .. } | Self::Move { ms, .. } | Self::Remove { ms, .. } => Some(*ms),
        }
    }
}

/// Where a route is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Place {
    Usual,
    /// At another path, where no caller asks.
    Elsewhere,
    Nowhere,
}

/// The callers' routes: that at each of their paths, by number.
#[derive(Clone, Debug)]
pub struct Routes {
    names: [String; ROUTES],
    places: [Place; ROUTES],
    /// Names at paths where no caller asks.
    others: Vec<String>,
    /// Number of the last new name.
    last_name: u64,
}

impl Default for Routes {
    fn default() -> Self {
        Self {
            names: Self::prefixes().map(|prefix| prefix.trim_matches('/').to_owned()),
            places: [const { Place::Usual }; ROUTES],
            others: Vec::new(),
            last_name: 0,
        }
    }
}

impl Routes {
    fn prefixes() -> [&'static str; ROUTES] {
        [PREFIXES[0], PREFIXES[1], ADVISED_PREFIX]
    }

    fn new_name(&mut self) -> String {
        self.last_name += 1;
        format!("route-{}", self.last_name)
    }

    /// Carries out a change.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Rename(route) => self.names[route] = self.new_name(),
            Change::Swap(one, other) => self.names.swap(one, other),
            Change::Replace { route, .. } => {
                let name = self.new_name();
                self.others.push(std::mem::replace(&mut self.names[route], name));
            }
            Change::Move { route, .. } => self.places[route] = Place::Elsewhere,
            Change::Remove { route, .. } => self.places[route] = Place::Nowhere,
        }
    }

    /// Takes a change back whose time is over.
    pub fn take_back(&mut self, change: Change) {
        match change {
            Change::Rename(_) | Change::Swap(..) => (),
            Change::Replace { .. } => self.others.clear(),
            Change::Move { route, .. } => self.places[route] = Place::Usual,
            Change::Remove { route, renames, .. } => {
                self.places[route] = Place::Usual;
                if renames {
                    self.names[route] = self.new_name();
                }
            }
        }
    }

    /// Returns the routes as the platform writes them. The second has priority 0, and the last needs approvals.
    pub fn to_wire(&self) -> Vec<Value> {
        let mut routes = Vec::new();
        for (number, prefix) in Self::prefixes().into_iter().enumerate() {
            let elsewhere = format!("/moved{prefix}");
            let prefix = match self.places[number] {
                Place::Usual => prefix,
                Place::Elsewhere => &elsewhere,
                Place::Nowhere => continue,
            };
            let priority = u32::from(number != 1);
            let mut wire = route(&self.names[number], prefix, priority);
            if number == ROUTES - 1 {
                wire["advice"] = json!({"decide_ms": 20, "each_ms": 2, "valid_ms": 3_000});
            }
            routes.push(wire);
        }
        let others = self.others.iter().map(|name| route(name, &format!("/former/{name}/"), 1));
        routes.extend(others);
        routes
    }
}

/// Returns a route as the platform writes it.
pub fn route(name: &str, prefix: &str, priority: u32) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": prefix, "service": "svc", "priority": priority,
        "max_attempts": MAX_ATTEMPTS, "stretch": 3.0, "full_credit_ms": 1_000})
}
