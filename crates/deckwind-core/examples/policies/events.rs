//! A queue of events in virtual time.

use deckwind_core::time::Instant;
use std::collections::BTreeMap;

/// Events by time, then by the order in which they were put in.
pub struct Events<E> {
    queue: BTreeMap<(Instant, u64), E>,
    sequence: u64,
}

impl<E> Events<E> {
    pub fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    pub fn put(&mut self, at: Instant, event: E) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    pub fn next(&mut self) -> Option<(Instant, E)> {
        let ((at, _), event) = self.queue.pop_first()?;
        Some((at, event))
    }
}
