//! Abstract specifications of the protocols between routers and control
//! replicas, with an exhaustive search of their states within stated bounds.
//!
//! The search shows that the rules of a protocol are sufficient, and that each
//! is necessary: without a rule, [`explore`] finds a shortest run that violates
//! an invariant. It does not check the implementation, which `deckwind-testkit`
//! runs under seeded faults.
//!
//! [`explore`] is a breadth-first search (`pathfinding::directed::bfs`) over all
//! states. A lost message is one that is never received. Duplicated and delayed
//! messages are modelled by keeping messages in a set, from which they can be
//! received at any time.

mod attribution_spec;
mod cases;
mod claim_spec;
mod forwarding_spec;
mod limit_cases;
mod limit_rules;
mod limit_spec;
mod log_spec;
mod membership_cases;
mod membership_spec;
mod retry_cases;
mod retry_rules;
mod retry_spec;
mod serving_spec;
mod stream_end_cases;
mod stream_end_rules;
mod stream_end_spec;
mod trial_spec;
mod tunnel_spec;

pub use attribution_spec::{AttributionRules, AttributionSpec, attribution_cases};
pub use cases::{Case, claim_cases, log_cases};
pub use claim_spec::{ClaimRules, ClaimSpec};
pub use forwarding_spec::{ForwardingRules, ForwardingSpec, forwarding_cases};
pub use limit_cases::limit_cases;
pub use limit_rules::{LimitBounds, LimitRules};
pub use limit_spec::LimitSpec;
pub use log_spec::{LogBounds, LogRules, LogSpec};
pub use membership_cases::membership_cases;
pub use membership_spec::{MembershipFaults, MembershipRules, MembershipSpec};
pub use retry_cases::retry_cases;
pub use retry_rules::{RetryBounds, RetryRules};
pub use retry_spec::RetrySpec;
pub use serving_spec::{ServingRules, ServingSpec, serving_cases};
pub use stream_end_cases::stream_end_cases;
pub use stream_end_rules::{StreamEndBounds, StreamEndRules};
pub use stream_end_spec::StreamEndSpec;
pub use trial_spec::{TrialRules, TrialSpec, trial_cases};
pub use tunnel_spec::{TunnelRules, TunnelSpec, tunnel_cases};

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

/// Specification of a protocol: initial state, transitions and invariants.
pub trait Spec {
    /// State of the specified system.
    type State: Clone + Eq + Hash + Debug;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns the possible next steps: a readable name and the resulting state.
    fn successors(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Returns the invariant that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Number of expanded states.
    pub states: u64,
    /// Shortest run that violates an invariant: the names of its steps, then the
    /// invariant.
    pub counterexample: Option<Vec<String>>,
}

/// Explores all states of a specification, or up to the first that violates an
/// invariant.
pub fn explore<S: Spec>(spec: &S) -> Exploration {
    let states = Cell::new(0);
    let expand = |state: &S::State| {
        states.set(states.get() + 1);
        spec.successors(state).into_iter().map(|(_, s)| s)
    };
    let run = bfs(&spec.initial(), expand, |s| spec.violation(s).is_some());
    Exploration {
        states: states.get(),
        counterexample: run.map(|run| describe(spec, &run)),
    }
}

fn describe<S: Spec>(spec: &S, run: &[S::State]) -> Vec<String> {
    let step = |transition: &[S::State]| {
        let steps = spec.successors(&transition[0]);
        let taken = steps.into_iter().find(|(_, s)| *s == transition[1]);
        taken.map(|(name, _)| name).unwrap_or_default()
    };
    let mut lines: Vec<String> = run.windows(2).map(step).collect();
    let violation = run.last().and_then(|s| spec.violation(s));
    lines.extend(violation);
    lines
}
