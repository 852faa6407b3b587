//! Targets that may run one try of a caller.
//!
//! A route says how many may. A target that has ended since does not count, if that is
//! certain: one that is only silent may be slow, and goes on with what it runs.

use super::index::InstanceIndex;
use crate::state::Life;
use std::net::SocketAddr;

/// The targets that one request was sent to, as far as they may have run it.
#[derive(Clone, Debug)]
pub struct Tries {
    most: u32,
    sent: Vec<(SocketAddr, Life)>,
}

impl Tries {
    /// None yet, of so many that may run it.
    pub fn new(most: u32) -> Self {
        Self {
            most,
            sent: Vec::new(),
        }
    }

    /// The request is sent to this life of a target.
    pub fn sent(&mut self, address: SocketAddr, life: Life) {
        self.sent.push((address, life));
    }

    /// The target that it was sent to last has not run it.
    pub fn not_run(&mut self) {
        self.sent.pop();
    }

    /// Targets that may have run it.
    pub fn count(&self) -> u32 {
        self.sent.len() as u32
    }

    /// Those of them that have ended, as far as it is agreed now.
    pub fn ended(&self, instances: &InstanceIndex) -> u32 {
        let ended = |(address, life): &&(SocketAddr, Life)| instances.has_ended(*address, life);
        self.sent.iter().filter(ended).count() as u32
    }

    /// Whether one more may be sent the request.
    pub fn left(&self, instances: &InstanceIndex) -> bool {
        self.count() - self.ended(instances) < self.most
    }
}
