//! Lease and configuration on the router's side.

use super::lease_table::LeaseTiming;
use crate::replication::Term;
use crate::state::{Configuration, Delta, Revision, Template};
use crate::time::Instant;
use std::time::Duration;

/// Whether a request may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServeDecision {
    /// Serve the request under a live lease.
    Serve,
    /// Serve the request although the lease has expired, which the template allows for
    /// a bounded time.
    ServeStale,
    /// Refuse the request without running it.
    Refuse,
}

/// Lease granted by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Time at which the router sent the request, by the router's clock.
    pub requested_at: Instant,
    /// Term of the leader that granted the lease.
    pub term: Term,
    /// Duration of the lease, counted from `requested_at`; none for the usual duration.
    pub duration: Option<Duration>,
}

impl LeaseGrant {
    /// Creates a grant of the usual duration.
    pub fn new(requested_at: Instant, term: Term) -> Self {
        let duration = None;
        Self {
            requested_at,
            term,
            duration,
        }
    }
}

/// Lease of a router and the configuration that it has applied.
#[derive(Clone, Debug)]
pub struct RouterLeaseState {
    timing: LeaseTiming,
    term: Term,
    expires_at: Instant,
    configuration: Configuration,
}

impl RouterLeaseState {
    /// Creates the state of a router without a lease.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            term: Term(0),
            expires_at: Instant::ZERO,
            configuration: Configuration::default(),
        }
    }

    /// Returns the configuration after the changes of a grant of this term, or `None` if
    /// they change nothing or the grant is to be ignored.
    pub fn preview(&self, term: Term, delta: &Delta) -> Option<Configuration> {
        if term < self.term || delta.to <= self.applied() {
            return None;
        }
        let mut cfg = self.configuration.clone();
        cfg.merge(delta.clone()).then_some(cfg)
    }

    /// Applies a grant and its configuration changes. Ignores grants of an older term,
    /// which come from a deposed leader, and grants whose changes can't be applied: the
    /// lease counts only together with them. Returns whether the grant was applied.
    pub fn apply_grant(&mut self, grant: LeaseGrant, delta: Delta) -> bool {
        if grant.term < self.term || !self.configuration.merge(delta) {
            return false;
        }
        self.term = grant.term;
        let lasts = grant
            .duration
            .unwrap_or(self.timing.ttl)
            .min(self.timing.ttl);
        self.expires_at = self.expires_at.max(grant.requested_at + lasts);
        true
    }

    /// Returns the highest term of the applied grants.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the configuration in force on this router.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the revision that this router has applied.
    pub fn applied(&self) -> Revision {
        self.configuration.revision()
    }

    /// Returns the time at which the lease expires.
    pub fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// Returns whether the lease is live.
    pub fn is_live(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// Returns whether a request of this template may be served now.
    ///
    /// After the lease has expired, the router may not know the latest accepted changes.
    /// Requests that must not be retried are then refused. Others are served for as long
    /// as their template allows.
    pub fn serve_decision(&self, now: Instant, template: &Template) -> ServeDecision {
        if self.is_live(now) {
            return ServeDecision::Serve;
        }
        let stale = Duration::from_millis(template.serve_stale_ms);
        let had_lease = self.expires_at > Instant::ZERO;
        if template.repeatable && had_lease && now < self.expires_at + stale {
            return ServeDecision::ServeStale;
        }
        ServeDecision::Refuse
    }
}
