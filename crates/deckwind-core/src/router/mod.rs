//! The decisions of a router: lease, rate limits, admission, target selection, retries
//! and service levels.
//!
//! ```text
//!  key ─► account ─► lease ─► limit ─► pool (admission) ─► plan ─► … ─► finish
//!            │         │        │         │                 │
//!            └─────────┴────────┴─────────┴─────────────────┴─► Denied{code, not run}
//! ```

mod denied;
mod pools;
mod router_core;
mod work;

pub use denied::{Denied, DeniedCode};
pub use router_core::{RouterConfig, RouterCore};
pub use work::{ChatWork, CheckedRequest, QueueOutcome, ServiceWork, SlotOutcome, Work};
