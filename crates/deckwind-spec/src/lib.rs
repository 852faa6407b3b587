//! A small specification of what the control replicas agree by, explored
//! exhaustively within stated bounds.
//!
//! For: showing that the rules are enough, and that each is needed: with a rule
//! taken out, [`explore`] finds the shortest run that breaks an invariant. Not
//! for: the code itself; that is run under seeded faults by `deckwind-testkit`.
//!
//! Breadth-first search (`pathfinding::directed::bfs`) over all states. Lost
//! messages are messages that nobody takes; doubled and late ones are messages
//! that stay in a set for ever and may be taken at any time.

mod cases;
mod claim_spec;
mod limit_cases;
mod limit_rules;
mod limit_spec;
mod log_spec;
mod pass_on_spec;
mod repeat_cases;
mod repeat_rules;
mod repeat_spec;

pub use cases::{Case, claim_cases, log_cases};
pub use claim_spec::{ClaimRules, ClaimSpec};
pub use limit_cases::limit_cases;
pub use limit_rules::{LimitBounds, LimitRules};
pub use limit_spec::LimitSpec;
pub use log_spec::{LogBounds, LogRules, LogSpec};
pub use pass_on_spec::{PassOnRules, PassOnSpec, pass_on_cases};
pub use repeat_cases::repeat_cases;
pub use repeat_rules::{RepeatBounds, RepeatRules};
pub use repeat_spec::RepeatSpec;

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

/// A specification: where it starts, what may happen, what must hold.
pub trait Spec {
    /// A state.
    type State: Clone + Eq + Hash + Debug;

    /// The state at the start.
    fn start(&self) -> Self::State;

    /// What may happen next: a name for people, and the state after it.
    fn next(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// The invariant that a state breaks, if any.
    fn broken(&self, state: &Self::State) -> Option<String>;
}

/// What came of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explored {
    /// States that were expanded.
    pub states: u64,
    /// The shortest run that breaks an invariant: the names of its steps, then
    /// the invariant.
    pub counterexample: Option<Vec<String>>,
}

/// Explores all states of a specification, or up to the first that is broken.
pub fn explore<S: Spec>(spec: &S) -> Explored {
    let states = Cell::new(0);
    let successors = |state: &S::State| {
        states.set(states.get() + 1);
        spec.next(state).into_iter().map(|(_, s)| s)
    };
    let run = bfs(&spec.start(), successors, |s| spec.broken(s).is_some());
    Explored {
        states: states.get(),
        counterexample: run.map(|run| describe(spec, &run)),
    }
}

fn describe<S: Spec>(spec: &S, run: &[S::State]) -> Vec<String> {
    let step = |pair: &[S::State]| {
        let steps = spec.next(&pair[0]);
        let found = steps.into_iter().find(|(_, s)| *s == pair[1]);
        found.map(|(name, _)| name).unwrap_or_default()
    };
    let mut lines: Vec<String> = run.windows(2).map(step).collect();
    let broken = run.last().and_then(|s| spec.broken(s));
    lines.extend(broken);
    lines
}
