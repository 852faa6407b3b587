//! Fencing tokens, which keep an order of a deposed leader from undoing a newer one.
//!
//! A target that checks fences accepts an order only if its fence is above the
//! last one it accepted. For a target that does not check them, the leader lease
//! takes the place of the fence: orders are sent only while the issuer's lease is
//! valid for long enough that the order arrives before it ends, and a new leader
//! delays its orders to such targets until every order of the previous leader has
//! either arrived or failed.

use super::ids::Term;
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Fencing token of an order. Ordered by term, then by sequence number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the leader that issued the order.
    pub term: Term,
    /// Sequence number of the order within the term.
    pub sequence: u64,
}

/// Whether a target checks the fences of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceSupport {
    /// The target rejects an order whose fence is not above the last accepted one.
    Checks,
    /// The target accepts every order.
    DoesNotCheck,
}

/// Issues the fences of one leader's term.
#[derive(Clone, Debug)]
pub struct FenceIssuer {
    term: Term,
    elected_at: Instant,
    next_sequence: u64,
    max_flight_time: Duration,
}

impl FenceIssuer {
    /// Creates an issuer for a leader that was elected for `term` at `elected_at`.
    /// `max_flight_time` is the longest time that an order can be in flight; its
    /// connection is closed after that.
    pub fn new(term: Term, elected_at: Instant, max_flight_time: Duration) -> Self {
        Self {
            term,
            elected_at,
            next_sequence: 1,
            max_flight_time,
        }
    }

    /// Returns the fence for an order sent now, or `None` if the order must not be sent
    /// yet. `lease_until` is the end of the issuer's leader lease.
    pub fn issue(
        &mut self,
        now: Instant,
        lease_until: Option<Instant>,
        check: FenceSupport,
    ) -> Option<Fence> {
        let lease_end = lease_until?;
        let allowed = match check {
            FenceSupport::Checks => now < lease_end,
            FenceSupport::DoesNotCheck => {
                now + self.max_flight_time < lease_end
                    && now >= self.elected_at + self.max_flight_time
            }
        };
        if !allowed {
            return None;
        }
        let fence = Fence {
            term: self.term,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        Some(fence)
    }
}
