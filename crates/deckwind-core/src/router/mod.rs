//! A router's decisions, put together: lease, limits, admission, choice of
//! targets, retries and service levels.
//!
//! ```text
//!  key ─► account ─► lease ─► limit ─► pool (admission) ─► plan ─► … ─► finish
//!            │         │        │         │                 │
//!            └─────────┴────────┴─────────┴─────────────────┴─► Denied{code, not run}
//! ```

mod denied;
mod router_core;

pub use denied::{Denied, DeniedCode};
pub use router_core::{
    Admitted, ChatWork, Entered, Placed, RouterConfig, RouterCore, ServiceWork, Work,
};
