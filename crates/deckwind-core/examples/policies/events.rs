//! Event queue in virtual time.

use deckwind_core::time::Instant;
use std::collections::BTreeMap;

/// Queue of events, ordered by time and then by the order of insertion.
pub struct EventQueue<E> {
    queue: BTreeMap<(Instant, u64), E>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Schedules an event.
    pub fn push(&mut self, at: Instant, event: E) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Removes and returns the earliest event with its time.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        let ((at, _), event) = self.queue.pop_first()?;
        Some((at, event))
    }
}
