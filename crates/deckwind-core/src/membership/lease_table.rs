//! Router leases on the leader's side.

use crate::state::{Revision, RouterProcess, VmName};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Duration of a lease and bound on the clock drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time for which a router may act on a lease, counted from its request.
    pub ttl: Duration,
    /// Upper bound on how much faster one clock runs than another, in parts per 1,000.
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
    /// Returns the time for which the leader counts a lease as live after it answered.
    pub fn ttl_with_drift(&self) -> Duration {
        self.ttl * (1_000 + self.drift_per_mille) / 1_000
    }
}

/// Lease of a router, as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterLease {
    /// Boot number of the router process.
    pub boot: u64,
    /// Revision that the router has applied.
    pub applied: Revision,
    /// Time at which the lease has expired even with the largest clock drift.
    pub expires_at: Instant,
}

/// Whether a revision is in force on every router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// No router acts on an older revision.
    Yes,
    /// These routers may still act on an older revision.
    Lagging(Vec<VmName>),
    /// Leases that a previous leader granted and this leader does not know may be live
    /// until this time.
    UnknownUntil(Instant),
}

/// Leases that a leader has granted in its term.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    timing: LeaseTiming,
    elected_at: Instant,
    routers: BTreeMap<VmName, RouterLease>,
    /// Number of routers by the revision that they have applied.
    routers_by_revision: BTreeMap<Revision, usize>,
    /// Lower bound of the time at which the next lease expires.
    earliest_expiry: Instant,
    /// Number of leases scanned for expiry so far, for metrics.
    rows_scanned: u64,
}

impl LeaseTable {
    /// Creates an empty table for a leader that was elected at `elected_at`.
    pub fn new(timing: LeaseTiming, elected_at: Instant) -> Self {
        Self {
            timing,
            elected_at,
            routers: BTreeMap::new(),
            routers_by_revision: BTreeMap::new(),
            earliest_expiry: elected_at,
            rows_scanned: 0,
        }
    }

    /// Grants or renews the lease of a router process.
    ///
    /// Returns the previous process of the same VM if the table held a lease of another
    /// one. That process has ended, and so have the requests that it had claimed.
    pub fn renew(
        &mut self,
        now: Instant,
        holder: &RouterProcess,
        applied: Revision,
    ) -> Option<RouterProcess> {
        let lease = RouterLease {
            boot: holder.boot,
            applied,
            expires_at: now + self.timing.ttl_with_drift(),
        };
        self.earliest_expiry = match self.routers.is_empty() {
            true => lease.expires_at,
            false => self.earliest_expiry.min(lease.expires_at),
        };
        *self.routers_by_revision.entry(applied).or_default() += 1;
        let previous = self.routers.insert(holder.vm.clone(), lease)?;
        self.decrement_revision(previous.applied);
        let is_replaced = previous.boot != holder.boot;
        is_replaced.then(|| RouterProcess {
            vm: holder.vm.clone(),
            boot: previous.boot,
        })
    }

    /// Removes the lease of a router process that has announced its stop.
    pub fn release(&mut self, holder: &RouterProcess) {
        if self
            .routers
            .get(&holder.vm)
            .is_some_and(|l| l.boot == holder.boot)
        {
            self.remove(&holder.vm);
        }
    }

    fn remove(&mut self, vm: &VmName) {
        if let Some(lease) = self.routers.remove(vm) {
            self.decrement_revision(lease.applied);
        }
    }

    /// Decrements the number of routers that have applied a revision.
    fn decrement_revision(&mut self, revision: Revision) {
        if let Some(count) = self.routers_by_revision.get_mut(&revision) {
            *count -= 1;
            if *count == 0 {
                self.routers_by_revision.remove(&revision);
            }
        }
    }

    /// Removes expired leases and returns their holders. Scans the leases only if one
    /// may have expired.
    pub fn expire(&mut self, now: Instant) -> Vec<RouterProcess> {
        if now < self.earliest_expiry || self.routers.is_empty() {
            return Vec::new();
        }
        self.rows_scanned += self.routers.len() as u64;
        let expired: Vec<RouterProcess> = self
            .routers
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(vm, l)| RouterProcess {
                vm: vm.clone(),
                boot: l.boot,
            })
            .collect();
        for holder in &expired {
            self.remove(&holder.vm);
        }
        let first = self.routers.values().map(|l| l.expires_at).min();
        self.earliest_expiry = first.unwrap_or(now);
        expired
    }

    /// Returns whether a router process on this VM has a lease.
    pub fn has_lease(&self, vm: &VmName) -> bool {
        self.routers.contains_key(vm)
    }

    /// Returns the number of leases.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Returns whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Returns whether all leases that a previous leader granted have expired, so that
    /// this table holds all live leases.
    pub fn has_all_leases(&self, now: Instant) -> bool {
        now >= self.elected_at + self.timing.ttl_with_drift()
    }

    /// Returns the oldest of the revisions that the routers have applied, or `None` if
    /// there are no leases.
    pub fn oldest_applied(&self) -> Option<Revision> {
        self.routers_by_revision.first_key_value().map(|(r, _)| *r)
    }

    /// Returns the number of leases scanned for expiry so far.
    pub fn rows_scanned(&self) -> u64 {
        self.rows_scanned
    }

    /// Returns the leases by VM. An expired lease is included until
    /// [`expire`](Self::expire) removes it.
    pub fn routers(&self) -> impl Iterator<Item = (&VmName, &RouterLease)> {
        self.routers.iter()
    }

    /// Returns the latest revision that is in force on every router, or `None` while
    /// leases of a previous leader may still be live. Returns [`Revision::MAX`] if there
    /// are no routers.
    pub fn latest_in_force(&self, now: Instant) -> Option<Revision> {
        if !self.has_all_leases(now) {
            return None;
        }
        if now < self.earliest_expiry {
            let oldest = self.routers_by_revision.first_key_value();
            return Some(oldest.map_or(Revision::MAX, |(revision, _)| *revision));
        }
        let live = self.routers.values().filter(|l| l.expires_at > now);
        let oldest = live.map(|l| l.applied).min();
        Some(oldest.unwrap_or(Revision::MAX))
    }

    /// Returns whether `revision` is in force on every router, and if not, which routers
    /// lag behind.
    pub fn in_force(&self, now: Instant, revision: Revision) -> InForce {
        let known_at = self.elected_at + self.timing.ttl_with_drift();
        let lagging: Vec<VmName> = self
            .routers
            .iter()
            .filter(|(_, l)| l.expires_at > now && l.applied < revision)
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
