//! Exhaustive search of a model's states.

use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A state space with properties.
pub trait Model {
    /// State of the whole system.
    type State: Clone + Debug + Eq + Hash;

    /// Returns the first state.
    fn start(&self) -> Self::State;

    /// Returns every state that one step can lead to, with the name of the step.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Returns the property that a state violates, if any.
    fn violated(&self, state: &Self::State) -> Option<&'static str>;
}

/// The outcome of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No reachable state violates a property.
    Holds {
        /// Reachable states.
        states: usize,
    },
    /// A property is violated.
    Violated {
        /// The property.
        property: &'static str,
        /// Names of the steps that lead there, a shortest way.
        trace: Vec<String>,
    },
}

/// Searches all reachable states.
///
/// # Panics
///
/// Panics if a step of the shortest way cannot be found again, which would be a fault of the model.
pub fn check<M: Model>(model: &M) -> Outcome {
    let next = |state: &M::State| model.steps(state).into_iter().map(|(_, next)| next).collect::<Vec<_>>();
    let way = bfs(&model.start(), next, |state| model.violated(state).is_some());
    let Some(way) = way else {
        return Outcome::Holds { states: bfs_reach(model.start(), next).count() };
    };
    let named = |pair: &[M::State]| {
        let step = model.steps(&pair[0]).into_iter().find(|(_, next)| *next == pair[1]);
        step.expect("every state of the way was a step from the one before").0
    };
    let last = way.last().expect("a way has at least its first state");
    Outcome::Violated {
        property: model.violated(last).expect("the way leads to a violation"),
        trace: way.windows(2).map(named).collect(),
    }
}
