//! Selection of the targets that run a request.
//!
//! ```text
//!  configuration ─► Fleet (arena of targets, index by model and boundary)
//!  load reports ──►   │                           ┌ Estimated (the default)
//!  own dispatches ►   ├─► Policy::choose(need) ───┤ RoundRobin, LeastLoaded,
//!  progress ──────►   │                           └ FleetGate  (baselines)
//!  cache events ──►   └─ Health, PrefixIndex
//! ```
//!
//! A selection is a shortest path over the layer boundaries of a model. At each
//! boundary only a few sampled candidates are evaluated, so the cost of a selection
//! does not grow with the fleet, and routers with the same stale reports do not all
//! pick the same target (Mitzenmacher, "The Power of Two Choices in Randomized Load
//! Balancing", IEEE TPDS 2001).

mod bound;
mod chain_search;
pub mod chains;
mod fleet;
mod health;
mod layout;
pub mod paths;
pub mod placement;
mod policy;
mod prefix;
pub mod seeded_rng;
mod service;
mod target_state;

pub use bound::{BoundTarget, hardware_bound};
pub use chain_search::{ChainRequirements, PlannedStage, resolve_stages, search_chain};
pub use fleet::{Fleet, GroupKey, TargetKey};
pub use health::{Health, HealthState};
pub use policy::{
    EstimatedTimePolicy, LeastLoaded, LoadGatePolicy, PREFILL_COST, Policy, RoundRobin,
};
pub use prefix::{PrefixHash, PrefixIndex, prefix_hashes};
pub use service::choose_service;
pub use target_state::{LoadReport, TargetState};
