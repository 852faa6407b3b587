//! Routers that had a lease lately, each start of a process for itself.
//!
//! A bound that routers share by their number must count those that have just
//! stopped, too: what they did still counts, and one that starts again has
//! forgotten it.

use crate::state::Holder;
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a router counts after its last renewal: a window of 10 s that a
/// shared bound is kept over, and the 2.8 s of the lease in which it still sends.
const LATELY: Duration = Duration::from_secs(13);

/// How many routers had a lease lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutersLately {
    /// Starts of routers, each for itself.
    pub count: u32,
    /// Whether the leader has led for long enough to know all of them.
    pub complete: bool,
}

/// When each router last renewed its lease.
#[derive(Clone, Debug)]
pub struct RecentRouters {
    since: Instant,
    seen: BTreeMap<Holder, Instant>,
}

impl RecentRouters {
    /// Of a leader that has led since then.
    pub fn new(since: Instant) -> Self {
        Self {
            since,
            seen: BTreeMap::new(),
        }
    }

    /// A router has renewed its lease.
    pub fn renewed(&mut self, now: Instant, holder: &Holder) {
        self.seen.insert(holder.clone(), now);
        self.seen.retain(|_, at| now.since(*at) <= LATELY);
    }

    /// Starts of routers that had a lease lately.
    pub fn lately(&self, now: Instant) -> RoutersLately {
        let lately = self.seen.values().filter(|at| now.since(**at) <= LATELY);
        RoutersLately {
            count: lately.count() as u32,
            complete: now.since(self.since) >= LATELY,
        }
    }
}
