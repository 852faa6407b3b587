//! Targets that a router cannot connect to directly.
//!
//! A target that one router fails to connect to may still run: the router may have lost
//! its network path to the target, or to all targets. This module records only what the
//! router's own connection attempts showed, so that a lost path is distinguished from a
//! target that no other router reaches either.

use crate::time::Instant;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time from the loss of a path to the first attempt to connect directly again. Doubles
/// with each failed attempt.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time between two attempts to connect directly again.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time between two checks of the path to a target that answers late, since each
/// check opens a connection.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Number of lost targets, without a successful connection since, from which a router
/// counts as isolated.
const ISOLATED_FROM: usize = 3;

/// The way in which a connection attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The attempt was refused at once. Connections that exist may still work.
    Refused,
    /// The attempt was not answered in time. Connections that exist are likely dead too.
    Unanswered,
}

#[derive(Clone, Copy, Debug)]
struct LostTarget {
    since: Instant,
    failed_at: Instant,
    how: ConnectFailure,
    next_probe: Instant,
    probe_interval: Duration,
}

/// Record of the targets that this router cannot connect to directly.
#[derive(Clone, Debug, Default)]
pub struct Connectivity {
    lost: HashMap<SocketAddr, LostTarget>,
    connected_at: Instant,
    checked_at: HashMap<SocketAddr, Instant>,
}

impl Connectivity {
    /// Records a direct connection. Returns for how long the target was lost before, or
    /// `None` if it was not.
    pub fn record_connected(&mut self, now: Instant, address: SocketAddr) -> Option<Duration> {
        self.connected_at = now;
        let lost = self.lost.remove(&address)?;
        Some(now.since(lost.since))
    }

    /// Records a failed attempt to connect directly. Returns whether the target was not
    /// lost before.
    pub fn record_failed(
        &mut self,
        now: Instant,
        address: SocketAddr,
        how: ConnectFailure,
    ) -> bool {
        let before = self.lost.get(&address).copied();
        let probe_interval = before.map_or(INITIAL_PROBE_INTERVAL, |lost| {
            (lost.probe_interval * 2).min(MAX_PROBE_INTERVAL)
        });
        let lost = LostTarget {
            since: before.map_or(now, |lost| lost.since),
            failed_at: now,
            how,
            next_probe: now + probe_interval,
            probe_interval,
        };
        self.lost.insert(address, lost);
        before.is_none()
    }

    /// Forgets that a target is lost, because no other router reaches it either.
    pub fn forget_lost(&mut self, address: SocketAddr) {
        self.lost.remove(&address);
    }

    /// Whether the last attempt to connect directly to a target failed.
    pub fn is_lost(&self, address: SocketAddr) -> bool {
        self.lost.contains_key(&address)
    }

    /// Whether the last attempt to connect directly to a target was not answered, so that
    /// existing connections are likely dead too.
    pub fn is_silent(&self, address: SocketAddr) -> bool {
        let lost = self.lost.get(&address);
        lost.is_some_and(|lost| lost.how == ConnectFailure::Unanswered)
    }

    /// Number of lost targets.
    pub fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Whether this router seems to have lost the path to targets in general: several are
    /// lost, and none could be connected to since.
    pub fn is_isolated(&self) -> bool {
        let since = |lost: &&LostTarget| lost.failed_at > self.connected_at;
        self.lost.values().filter(since).count() >= ISOLATED_FROM
    }

    /// Whether a target that is lost, or that an isolated router reaches through others, is
    /// due for an attempt to connect directly. The next one is then due after the probe
    /// interval, or like a check.
    pub fn start_probe(&mut self, now: Instant, address: SocketAddr) -> bool {
        let Some(lost) = self.lost.get_mut(&address) else {
            return self.is_isolated() && self.start_check(now, address);
        };
        if now < lost.next_probe {
            return false;
        }
        lost.next_probe = now + lost.probe_interval;
        true
    }

    /// Whether the path to a target that answers late is due for a check. The next one is
    /// then due after two seconds.
    pub fn start_check(&mut self, now: Instant, address: SocketAddr) -> bool {
        let checked_at = self.checked_at.get(&address);
        if self.is_lost(address) || checked_at.is_some_and(|at| now.since(*at) < CHECK_INTERVAL) {
            return false;
        }
        self.checked_at.insert(address, now);
        true
    }

    /// Removes the targets that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lost.retain(|address, _| keep(address));
        self.checked_at.retain(|address, _| keep(address));
    }
}
