//! Exhaustive search of the reachable states of a model.

use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// State machine with properties that must hold in every reachable state.
pub trait Model {
    /// State of the whole system.
    type State: Clone + Debug + Eq + Hash;

    fn initial_state(&self) -> Self::State;

    /// Returns every state that one step can lead to, with a description of the step.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Returns the property that a state violates, if any.
    fn violated_property(&self, state: &Self::State) -> Option<&'static str>;
}

/// Outcome of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No reachable state violates a property.
    Holds {
        /// Number of reachable states.
        states: usize,
    },
    /// A reachable state violates a property.
    Violated {
        property: &'static str,
        /// Descriptions of the steps on a shortest path to that state.
        trace: Vec<String>,
    },
}

/// Searches the reachable states for a violation.
///
/// # Panics
///
/// Panics if a step of the shortest path is not found again, which means that the model is not deterministic.
pub fn check<M: Model>(model: &M) -> Outcome {
    let next = |state: &M::State| model.steps(state).into_iter().map(|(_, next)| next).collect::<Vec<_>>();
    let path = bfs(&model.initial_state(), next, |state| model.violated_property(state).is_some());
    let Some(path) = path else {
        return Outcome::Holds { states: bfs_reach(model.initial_state(), next).count() };
    };
    let step_name = |pair: &[M::State]| {
        let step = model.steps(&pair[0]).into_iter().find(|(_, next)| *next == pair[1]);
        step.expect("each state of the path must be one step from the state before").0
    };
    let last = path.last().expect("a path must have at least the initial state");
    Outcome::Violated {
        property: model.violated_property(last).expect("the path must end in a violation"),
        trace: path.windows(2).map(step_name).collect(),
    }
}
