//! First-hand evidence that a target runs although no control replica hears it.
//!
//! Control replicas mark a target as silent when its announcements stay away. They may have
//! lost their network path to it. What a router itself received from the target after that
//! is newer and more certain, so the router goes on using the target while such evidence
//! keeps arriving.

use crate::time::Instant;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which evidence counts: several of the longest usual pauses of a stream.
const EVIDENCE_TTL: Duration = Duration::from_millis(1_000);

/// Time by which evidence must be newer than the mark, since an answer may have been on its
/// way when the target died.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

/// A target that the control replicas don't hear.
#[derive(Clone, Copy, Debug)]
struct SilentTarget {
    since: Instant,
    alive_at: Option<Instant>,
}

/// Evidence about the targets that the control replicas don't hear.
#[derive(Clone, Debug, Default)]
pub struct SilenceEvidence {
    silent: HashMap<SocketAddr, SilentTarget>,
}

impl SilenceEvidence {
    /// Replaces the set of silent targets. What is known of those that stay silent is kept.
    pub fn set_silent(&mut self, now: Instant, silent: impl Iterator<Item = SocketAddr>) {
        let before = std::mem::take(&mut self.silent);
        let new = SilentTarget {
            since: now,
            alive_at: None,
        };
        let known = |address| before.get(&address).copied().unwrap_or(new);
        self.silent = silent.map(|address| (address, known(address))).collect();
    }

    /// Records that something was received from or through these targets.
    pub fn record_alive(&mut self, now: Instant, addresses: &[SocketAddr]) {
        if self.silent.is_empty() {
            return;
        }
        for address in addresses {
            if let Some(target) = self.silent.get_mut(address)
                && now.since(target.since) >= TRANSIT_TIME
            {
                target.alive_at = Some(now);
            }
        }
    }

    /// Whether there is recent evidence that a silent target runs.
    pub fn is_alive(&self, now: Instant, address: SocketAddr) -> bool {
        let target = self.silent.get(&address);
        let alive_at = target.and_then(|target| target.alive_at);
        alive_at.is_some_and(|at| now.since(at) < EVIDENCE_TTL)
    }

    /// Number of silent targets for which there is recent evidence that they run.
    pub fn alive_count(&self, now: Instant) -> usize {
        let alive = self.silent.keys().filter(|a| self.is_alive(now, **a));
        alive.count()
    }
}
