//! Limits the number of targets that may run one request.
//!
//! A route sets the limit. A target that has certainly ended since does not count. A target
//! that is only silent may be slow and continue to run the request, so it counts.

use super::index::InstanceIndex;
use crate::state::Incarnation;
use std::net::SocketAddr;

/// Targets to which a request was sent and that may have run it.
#[derive(Clone, Debug)]
pub struct AttemptedTargets {
    max: u32,
    sent: Vec<(SocketAddr, Incarnation)>,
}

impl AttemptedTargets {
    /// Creates an empty list with a limit on the targets that may run the request.
    pub fn new(max: u32) -> Self {
        Self {
            max,
            sent: Vec::new(),
        }
    }

    /// Records that the request is sent to this incarnation of a target.
    pub fn record_sent(&mut self, address: SocketAddr, incarnation: Incarnation) {
        self.sent.push((address, incarnation));
    }

    /// Removes the last target, which has not run the request.
    pub fn remove_last(&mut self) {
        self.sent.pop();
    }

    /// The number of targets that may have run the request.
    pub fn count(&self) -> u32 {
        self.sent.len() as u32
    }

    /// The number of these targets that have ended, according to the agreed state.
    pub fn ended(&self, instances: &InstanceIndex) -> u32 {
        let ended = |(address, incarnation): &&(SocketAddr, Incarnation)| {
            instances.has_ended(*address, incarnation)
        };
        self.sent.iter().filter(ended).count() as u32
    }

    /// Whether the request may be sent to one more target.
    pub fn may_send(&self, instances: &InstanceIndex) -> bool {
        self.count() - self.ended(instances) < self.max
    }
}
