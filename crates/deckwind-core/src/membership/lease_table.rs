//! The leader's side of the leases.

use crate::state::{Holder, Revision, VmName};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a lease and bound on the clocks' drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a router may act after it asked.
    pub ttl: Duration,
    /// Bound on how much faster one clock runs than another, parts in 1,000.
    pub drift_per_mille: u32,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(2),
            drift_per_mille: 50,
        }
    }
}

impl LeaseTiming {
    /// How long the leader counts a lease as live after it answered.
    pub fn with_drift(&self) -> Duration {
        self.ttl * (1_000 + self.drift_per_mille) / 1_000
    }
}

/// A lease as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterLease {
    /// Boot of the router's process.
    pub boot: u64,
    /// Revision that it has applied.
    pub applied: Revision,
    /// When it has certainly run out.
    pub until: Instant,
}

/// Whether a revision is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// No router acts on an older one.
    Yes,
    /// These routers may still act on an older one.
    Lagging(Vec<VmName>),
    /// The leader is new: leases that it doesn't know may still be live.
    UnknownUntil(Instant),
}

/// All leases that a leader has granted in its term.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    timing: LeaseTiming,
    since: Instant,
    routers: BTreeMap<VmName, RouterLease>,
}

impl LeaseTable {
    /// An empty table of a leader that began at `since`.
    pub fn new(timing: LeaseTiming, since: Instant) -> Self {
        Self {
            timing,
            since,
            routers: BTreeMap::new(),
        }
    }

    /// Records that a router asked, and grants it a lease.
    ///
    /// Answers with the process that the same VM had before, if it was another
    /// one: it is gone, and so are the requests that it had claimed.
    pub fn renew(&mut self, now: Instant, holder: &Holder, applied: Revision) -> Option<Holder> {
        let lease = RouterLease {
            boot: holder.boot,
            applied,
            until: now + self.timing.with_drift(),
        };
        let before = self.routers.insert(holder.vm.clone(), lease)?;
        let replaced = before.boot != holder.boot;
        replaced.then(|| Holder {
            vm: holder.vm.clone(),
            boot: before.boot,
        })
    }

    /// Forgets a router that said it has stopped.
    pub fn release(&mut self, holder: &Holder) {
        if self
            .routers
            .get(&holder.vm)
            .is_some_and(|l| l.boot == holder.boot)
        {
            self.routers.remove(&holder.vm);
        }
    }

    /// Drops leases that have run out, and answers with their holders.
    pub fn expire(&mut self, now: Instant) -> Vec<Holder> {
        let gone: Vec<Holder> = self
            .routers
            .iter()
            .filter(|(_, l)| l.until <= now)
            .map(|(vm, l)| Holder {
                vm: vm.clone(),
                boot: l.boot,
            })
            .collect();
        for holder in &gone {
            self.routers.remove(&holder.vm);
        }
        gone
    }

    /// Live leases.
    pub fn routers(&self) -> impl Iterator<Item = (&VmName, &RouterLease)> {
        self.routers.iter()
    }

    /// The revision that is in force on every router: asked once for all who
    /// wait, since it looks at each lease. Nothing while leases that the leader
    /// does not know may still be live; with no router at all, every revision.
    pub fn in_force_through(&self, now: Instant) -> Option<Revision> {
        if now < self.since + self.timing.with_drift() {
            return None;
        }
        let live = self.routers.values().filter(|l| l.until > now);
        let oldest = live.map(|l| l.applied).min();
        Some(oldest.unwrap_or(Revision::MAX))
    }

    /// Whether `revision` is in force on every router, and if not, where it is
    /// not.
    pub fn in_force(&self, now: Instant, revision: Revision) -> InForce {
        let known_at = self.since + self.timing.with_drift();
        let lagging: Vec<VmName> = self
            .routers
            .iter()
            .filter(|(_, l)| l.until > now && l.applied < revision)
            .map(|(vm, _)| vm.clone())
            .collect();
        if !lagging.is_empty() {
            return InForce::Lagging(lagging);
        }
        if now < known_at {
            return InForce::UnknownUntil(known_at);
        }
        InForce::Yes
    }
}
