//! Fences: an order of a deposed leader must not undo a newer one.
//!
//! A target that checks fences takes an order only if its fence is above the
//! last one it took. For a target that does not check, the lease is the fence:
//! orders leave only while the issuer's lease is valid with enough time left
//! for the order to arrive, and a new leader holds its orders to such targets
//! back until every order of the one before has certainly arrived or died.

use super::ids::Term;
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Rank of an order: by term, then by sequence within the term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the leader that gave the order.
    pub term: Term,
    /// Order within the term.
    pub sequence: u64,
}

/// Whether a target checks fences.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceCheck {
    /// It refuses an order whose fence is not above the last.
    Checks,
    /// It takes whatever comes.
    DoesNotCheck,
}

/// Hands out fences for one leader's term.
#[derive(Clone, Debug)]
pub struct OrderIssuer {
    term: Term,
    since: Instant,
    next: u64,
    flight: Duration,
}

impl OrderIssuer {
    /// For a leader of `term` since `since`. `flight` bounds how long an order
    /// is under way: its connection is closed by then.
    pub fn new(term: Term, since: Instant, flight: Duration) -> Self {
        Self {
            term,
            since,
            next: 1,
            flight,
        }
    }

    /// The fence for an order now, or nothing while it must be held back.
    pub fn issue(
        &mut self,
        now: Instant,
        lease_until: Option<Instant>,
        check: FenceCheck,
    ) -> Option<Fence> {
        let until = lease_until?;
        let allowed = match check {
            FenceCheck::Checks => now < until,
            FenceCheck::DoesNotCheck => {
                now + self.flight < until && now >= self.since + self.flight
            }
        };
        if !allowed {
            return None;
        }
        let fence = Fence {
            term: self.term,
            sequence: self.next,
        };
        self.next += 1;
        Some(fence)
    }
}
