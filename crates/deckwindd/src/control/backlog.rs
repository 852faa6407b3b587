//! Inputs that wait for a turn of the replica.

use deckwind_core::control::ControlEvent;
use deckwind_core::time::Instant;
use std::collections::VecDeque;

/// Inputs that are not messages of the replicated log, in order of arrival.
#[derive(Debug, Default)]
pub struct InputBacklog {
    waiting: VecDeque<(Instant, ControlEvent)>,
}

impl InputBacklog {
    /// Adds an input that arrived at `now`.
    pub fn push(&mut self, now: Instant, event: ControlEvent) {
        self.waiting.push_back((now, event));
    }

    /// Removes and returns the next input. The time that it waited here is added to that of a
    /// forwarded request.
    pub fn pop(&mut self, now: Instant) -> Option<ControlEvent> {
        let (arrived, mut event) = self.waiting.pop_front()?;
        if let ControlEvent::Relayed { request, .. } = &mut event {
            request.waited += now.since(arrived);
        }
        Some(event)
    }

    /// Returns whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of inputs that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }
}
