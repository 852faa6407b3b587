//! What a router serves by, as one value: the release, the targets, and the lease under
//! which it may use them. A reader that finds the lease live therefore has the release that
//! came with it.

use super::index::{InstanceIndex, ReleaseIndex};
use crate::time::Instant;
use std::sync::Arc;

/// An unbroken period of leases, each granted before the previous one expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LeasePeriod {
    /// Time at which the first lease of the period was granted.
    since: Instant,
    /// Time at which the latest lease expires.
    until: Instant,
}

/// What comes with a lease.
#[derive(Clone, Debug, Default)]
pub struct ServingChanges {
    /// The release in force from then on.
    pub release: Option<Arc<ReleaseIndex>>,
    /// The targets from then on.
    pub instances: Arc<InstanceIndex>,
}

/// Release, targets and lease of a router. Replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct ServingState {
    release: Option<Arc<ReleaseIndex>>,
    instances: Arc<InstanceIndex>,
    lease: LeasePeriod,
}

impl ServingState {
    /// Returns the state after a renewal of the lease, with what came with it.
    pub fn renewed(&self, now: Instant, until: Instant, changes: Option<ServingChanges>) -> Self {
        let since = match self.is_live(now) {
            true => self.lease.since,
            false => now,
        };
        let lease = LeasePeriod { since, until };
        match changes {
            Some(ServingChanges { release, instances }) => Self {
                release,
                instances,
                lease,
            },
            None => Self {
                lease,
                ..self.clone()
            },
        }
    }

    /// Returns the release, if there is one.
    pub fn release(&self) -> Option<&Arc<ReleaseIndex>> {
        self.release.as_ref()
    }

    /// Returns the targets.
    pub fn instances(&self) -> &Arc<InstanceIndex> {
        &self.instances
    }

    /// Returns whether the lease is live.
    pub fn is_live(&self, now: Instant) -> bool {
        now < self.lease.until
    }

    /// Returns whether the lease is live and has been since `at`. If not, what was allowed
    /// at that time may have been taken away without this router hearing of it.
    pub fn is_live_since(&self, now: Instant, at: Instant) -> bool {
        self.is_live(now) && self.lease.since <= at
    }
}
