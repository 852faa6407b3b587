//! Time between two messages of a leader to the same member.

use deckwind_core::replication::{Body, Message, Term};
use deckwind_core::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Times of the last messages of each leader, and the longest gap between two of them.
#[derive(Default)]
pub(crate) struct HeartbeatGaps {
    /// By term and slot of the receiver.
    last_sent: BTreeMap<(Term, u32), Instant>,
    longest: Duration,
}

impl HeartbeatGaps {
    /// Records a message that leaves its sender now. Those that a leader's followers take as a
    /// sign of life count.
    pub fn record(&mut self, now: Instant, message: &Message) {
        if !matches!(message.body, Body::Append { .. } | Body::Snapshot { .. }) {
            return;
        }
        let to = (message.term, message.to_slot);
        if let Some(last) = self.last_sent.insert(to, now) {
            self.longest = self.longest.max(now.since(last));
        }
    }

    /// Returns the longest gap since the last call.
    pub fn take_longest(&mut self) -> Duration {
        std::mem::take(&mut self.longest)
    }
}
