//! The router's side of its lease.

use super::lease_table::LeaseTiming;
use crate::replication::Term;
use crate::state::{Configuration, Delta, Revision, Template};
use crate::time::Instant;
use std::time::Duration;

/// Whether a request may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServeDecision {
    /// Under a live lease.
    Serve,
    /// The lease has run out, and the template allows this for a bounded time.
    ServeStale,
    /// Refuse as not run.
    Refuse,
}

/// A lease as it was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// When the router sent the request that this answers, by its clock.
    pub asked: Instant,
    /// Term of the leader.
    pub term: Term,
    /// How long it lasts from then; nothing for its usual length.
    pub lasts: Option<Duration>,
}

impl LeaseGrant {
    /// Of the usual length.
    pub fn new(asked: Instant, term: Term) -> Self {
        let lasts = None;
        Self { asked, term, lasts }
    }
}

/// What a router knows of the agreed state.
#[derive(Clone, Debug)]
pub struct RouterLeaseState {
    timing: LeaseTiming,
    term: Term,
    until: Instant,
    configuration: Configuration,
}

impl RouterLeaseState {
    /// A router that has no lease yet.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            term: Term(0),
            until: Instant::ZERO,
            configuration: Configuration::default(),
        }
    }

    /// Takes a grant. Grants of an older term are dropped: they come from a leader
    /// that has been deposed. Answers whether the grant was taken.
    pub fn granted(&mut self, grant: LeaseGrant, delta: Delta) -> bool {
        if grant.term < self.term {
            return false;
        }
        self.term = grant.term;
        let lasts = grant.lasts.unwrap_or(self.timing.ttl).min(self.timing.ttl);
        self.until = self.until.max(grant.asked + lasts);
        self.configuration.merge(delta);
        true
    }

    /// Highest term that it took a grant of.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Revision that it has applied.
    pub fn applied(&self) -> Revision {
        self.configuration.revision()
    }

    /// Whether the lease is live.
    pub fn is_live(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Whether a request of this template may be served now.
    ///
    /// After the lease the router can't know what has been accepted. A request
    /// that is not repeatable is then always refused; others go on for as long
    /// as their template allows.
    pub fn decide(&self, now: Instant, template: &Template) -> ServeDecision {
        if self.is_live(now) {
            return ServeDecision::Serve;
        }
        let stale = Duration::from_millis(template.serve_stale_ms);
        let had_one = self.until > Instant::ZERO;
        if template.repeatable && had_one && now < self.until + stale {
            return ServeDecision::ServeStale;
        }
        ServeDecision::Refuse
    }
}
