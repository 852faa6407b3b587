//! Silence of many targets at once, which speaks for a lost network path of the control
//! replicas rather than for the death of the targets.
//!
//! Such targets are not marked as silent for a while, so that routers go on using them and
//! no layers are placed anew on the strength of silence alone. A target that a router
//! reports as failing, and that the leader doesn't reach either, is marked as ever.

use super::control_core::LeaderState;
use crate::state::{Incarnation, Instance, InstanceState, Instances};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Announcement periods, in percent, without an announcement after which a target counts as
/// late. Targets whose path is lost at the same moment fall silent within one period, so
/// all of them are late when the first is silent for three periods.
const LATE_PERCENT: u32 = 175;

/// Minimum number of targets that are late at once.
const MIN_LATE: usize = 3;

/// Announcement periods for which late targets are not marked as silent.
const MAX_HELD_PERIODS: u32 = 13;

/// Announcement periods for which the silence of a pool's targets is held after many were
/// late at once: once the path is back, all of them announce themselves within one period.
const HOLD_PERIODS: u32 = 2;

/// Ends of the holds by pool.
#[derive(Clone, Debug, Default)]
pub(super) struct SilenceHolds {
    until: BTreeMap<String, Instant>,
}

/// Targets of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCounts {
    ready: usize,
    late: usize,
}

/// Pools in which many targets are late.
#[derive(Clone, Debug, Default)]
pub(super) struct MassSilence {
    pools: BTreeMap<String, PoolCounts>,
    period: Duration,
}

impl MassSilence {
    /// Counts the late targets of all pools. `since` is the time this replica became leader,
    /// and `period` the interval of announcements.
    pub fn count(
        leader_state: &LeaderState,
        now: Instant,
        since: Instant,
        instances: &Instances,
        period: Duration,
    ) -> Self {
        let late_after = period * LATE_PERCENT / 100;
        let mut pools: BTreeMap<String, PoolCounts> = BTreeMap::new();
        for instance in instances.iter().filter(|i| i.state == InstanceState::Ready) {
            let counts = pools.entry(instance.pool.clone()).or_default();
            let silence = leader_state.silence(now, since, &instance.incarnation());
            counts.ready += 1;
            counts.late += usize::from(silence > late_after);
        }
        Self { pools, period }
    }

    fn are_many_late(&self, pool: &str) -> bool {
        let counts = self.pools.get(pool).copied().unwrap_or_default();
        counts.late >= MIN_LATE && counts.late * 2 >= counts.ready
    }

    /// Whether a target that has been silent for `silence` is not to be marked as silent.
    pub fn holds(
        &self,
        holds: &mut SilenceHolds,
        now: Instant,
        instance: &Instance,
        silence: Duration,
    ) -> bool {
        holds.until.retain(|_, until| *until > now);
        if self.are_many_late(&instance.pool) {
            let until = now + self.period * HOLD_PERIODS;
            holds.until.insert(instance.pool.clone(), until);
        }
        let is_held = holds.until.contains_key(&instance.pool);
        is_held && silence <= self.period * MAX_HELD_PERIODS
    }
}

/// A target whose silence is not acted upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldSilence {
    /// The incarnation that is not heard.
    pub incarnation: Incarnation,
    /// Time since its last announcement.
    pub silence: Duration,
}
