//! Routers that had a lease lately, each start of a process for itself.
//!
//! A bound that routers share by their number must count those that have just
//! stopped, too: what they did still counts, and one that starts again has
//! forgotten it.

use crate::state::Holder;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a router counts after its last renewal: the longest window that a
/// shared bound is kept over, and some.
const LATELY: Duration = Duration::from_secs(12);

/// When each router last renewed its lease.
#[derive(Clone, Debug, Default)]
pub struct RecentRouters {
    seen: BTreeMap<Holder, Instant>,
}

impl RecentRouters {
    /// A router has renewed its lease.
    pub fn renewed(&mut self, now: Instant, holder: &Holder) {
        self.seen.insert(holder.clone(), now);
        self.seen.retain(|_, at| now.since(*at) <= LATELY);
    }

    /// Starts of routers that had a lease lately.
    pub fn count(&self, now: Instant) -> u32 {
        let lately = self.seen.values().filter(|at| now.since(**at) <= LATELY);
        lately.count() as u32
    }
}
