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
    /// How many routers have applied each revision.
    applied: BTreeMap<Revision, usize>,
    /// No lease runs out before.
    none_over_before: Instant,
    /// Leases that were looked at in vain or not, for metrics.
    looks: u64,
}

impl LeaseTable {
    /// An empty table of a leader that began at `since`.
    pub fn new(timing: LeaseTiming, since: Instant) -> Self {
        Self {
            timing,
            since,
            routers: BTreeMap::new(),
            applied: BTreeMap::new(),
            none_over_before: since,
            looks: 0,
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
        self.none_over_before = match self.routers.is_empty() {
            true => lease.until,
            false => self.none_over_before.min(lease.until),
        };
        *self.applied.entry(applied).or_default() += 1;
        let before = self.routers.insert(holder.vm.clone(), lease)?;
        self.no_longer_at(before.applied);
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
            self.remove(&holder.vm);
        }
    }

    fn remove(&mut self, vm: &VmName) {
        if let Some(lease) = self.routers.remove(vm) {
            self.no_longer_at(lease.applied);
        }
    }

    /// One router less has applied this last.
    fn no_longer_at(&mut self, applied: Revision) {
        if let Some(count) = self.applied.get_mut(&applied) {
            *count -= 1;
            if *count == 0 {
                self.applied.remove(&applied);
            }
        }
    }

    /// Drops leases that have run out, and answers with their holders. Looks at all
    /// of them only when one may have.
    pub fn expire(&mut self, now: Instant) -> Vec<Holder> {
        if now < self.none_over_before || self.routers.is_empty() {
            return Vec::new();
        }
        self.looks += self.routers.len() as u64;
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
            self.remove(&holder.vm);
        }
        let first = self.routers.values().map(|l| l.until).min();
        self.none_over_before = first.unwrap_or(now);
        gone
    }

    /// Whether a router on this VM has a lease.
    pub fn knows(&self, vm: &VmName) -> bool {
        self.routers.contains_key(vm)
    }

    /// How many routers have a lease.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Whether no router has one.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Whether the leases of the leader before have run out.
    pub fn are_known(&self, now: Instant) -> bool {
        now >= self.since + self.timing.with_drift()
    }

    /// The oldest revision that a router has applied last; nothing without routers.
    pub fn oldest_applied(&self) -> Option<Revision> {
        self.applied.first_key_value().map(|(r, _)| *r)
    }

    /// Leases that were looked at one by one so far.
    pub fn looks(&self) -> u64 {
        self.looks
    }

    /// Live leases.
    pub fn routers(&self) -> impl Iterator<Item = (&VmName, &RouterLease)> {
        self.routers.iter()
    }

    /// The revision that is in force on every router. Nothing while leases that the
    /// leader does not know may still be live; with no router at all, every revision.
    pub fn in_force_through(&self, now: Instant) -> Option<Revision> {
        if !self.are_known(now) {
            return None;
        }
        if now < self.none_over_before {
            let oldest = self.applied.first_key_value();
            return Some(oldest.map_or(Revision::MAX, |(revision, _)| *revision));
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
