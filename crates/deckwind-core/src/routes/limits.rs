//! Request limits that targets have set, as known to one router.
//!
//! A limit applies to all VMs together, so the leader issues permits
//! ([`crate::control::TargetLimiter`]), and a request to a limited target needs one. A router
//! reports the limits it receives to the leader, and applies a limit that it knows only
//! from the leader like one it received itself.

use crate::control::{
    LeaderTime, LimitKey, LimitList, LimitReport, LimitRevision, PERMIT_TTL, ReceivedLimit,
};
use crate::rate::Rate;
use crate::replication::Term;
use crate::state::Instance;
use crate::time::Instant;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Permit for a single request to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Start of the validity.
    pub from: Instant,
    /// End of the validity.
    pub until: Instant,
    /// Time at which the leader issued the permit.
    pub issued: LeaderTime,
}

impl Permit {
    /// Creates the permit that was requested at `asked` and granted by an answer at `now`,
    /// valid after `wait`. The validity ends relative to `asked`, since the leader can't
    /// have issued it earlier.
    pub fn new(asked: Instant, now: Instant, wait: Duration, issued: LeaderTime) -> Self {
        Self {
            from: now + wait,
            until: asked + wait + PERMIT_TTL,
            issued,
        }
    }

    /// Whether the permit is valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        (self.from..self.until).contains(&now)
    }
}

#[derive(Clone, Debug)]
struct KnownLimit {
    rate: Rate,
    /// Time at which the rate was last received.
    rate_received_at: Instant,
    /// Issue time of the permit of the request whose answer set the rate.
    permitted: Option<LeaderTime>,
    /// Issue time of the permit of a later request whose answer set no limit. The leader
    /// decides whether the limit has ended.
    none_named: Option<LeaderTime>,
    /// Time of the last answer that concerned the limit.
    last_received_at: Instant,
    /// Time until which the leader grants no permit.
    denied_until: Instant,
}

/// Limits known to one router.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    known: HashMap<LimitKey, KnownLimit>,
    /// Revision of the leader's list with which the limits were last compared.
    list_revision: Option<LimitRevision>,
    /// Everything received before this time is known to the leader of that list.
    reported_until: Instant,
}

impl TargetLimits {
    /// Records the limit in a target's answer, or its absence. `permitted` is the issue
    /// time of the request's permit. Returns whether the limit is new.
    pub fn record_limit(
        &mut self,
        now: Instant,
        target: &LimitKey,
        rate: Option<Rate>,
        permitted: Option<LeaderTime>,
    ) -> bool {
        let known = self.known.get_mut(target);
        match (rate, known) {
            (Some(rate), Some(known)) => {
                known.rate = rate;
                known.rate_received_at = now;
                known.permitted = permitted;
                known.none_named = None;
                known.last_received_at = now;
                false
            }
            (Some(rate), None) => {
                self.insert(target, rate, now, permitted);
                true
            }
            (None, Some(known)) if permitted.is_some() => {
                known.last_received_at = now;
                known.none_named = permitted;
                false
            }
            // Without a permit, the request may have been sent before the limit began.
            (None, _) => false,
        }
    }

    fn insert(
        &mut self,
        target: &LimitKey,
        rate: Rate,
        at: Instant,
        permitted: Option<LeaderTime>,
    ) {
        let known = KnownLimit {
            rate,
            rate_received_at: at,
            permitted,
            none_named: None,
            last_received_at: at,
            denied_until: Instant::ZERO,
        };
        self.known.insert(target.clone(), known);
    }

    /// Whether requests to a target need permits.
    pub fn is_limited(&self, target: &LimitKey) -> bool {
        self.known.contains_key(target)
    }

    /// The number of limited targets.
    pub fn limited_count(&self) -> usize {
        self.known.len()
    }

    /// Returns the time until which no permit is granted for a target, or `None` if one may
    /// be granted now.
    pub fn denied_until(&self, now: Instant, instance: &Instance) -> Option<Instant> {
        if self.known.is_empty() {
            return None;
        }
        let until = self.known.get(&LimitKey::of(instance))?.denied_until;
        (until > now).then_some(until)
    }

    /// Records that the leader grants no permit for this time.
    pub fn record_denial(&mut self, now: Instant, target: &LimitKey, wait: Duration) {
        if let Some(known) = self.known.get_mut(target) {
            known.denied_until = known.denied_until.max(now + wait);
        }
    }

    /// Applies the leader's answer that the limit of a target has ended. Limits received
    /// after the request was sent at `asked` are kept. Returns whether the limit has ended.
    pub fn remove_ended(&mut self, asked: Instant, target: &LimitKey) -> bool {
        let over = self
            .known
            .get(target)
            .is_some_and(|k| k.last_received_at < asked);
        if over {
            self.known.remove(target);
        }
        over
    }

    /// Returns the report to the leader for one limited target.
    pub fn limit_report_for(&self, now: Instant, target: &LimitKey) -> Option<ReceivedLimit> {
        let known = self.known.get(target)?;
        Some(self.limit_entry(now, target, known))
    }

    fn limit_entry(&self, now: Instant, target: &LimitKey, known: &KnownLimit) -> ReceivedLimit {
        ReceivedLimit {
            target: target.clone(),
            rate: known.rate,
            ago: now.since(known.rate_received_at),
            permitted: known.permitted,
            none_named: known.none_named,
        }
    }

    /// Builds the report to the leader for a lease renewal.
    pub fn report(&self, now: Instant) -> LimitReport {
        let news = self
            .known
            .iter()
            .filter(|(_, k)| k.last_received_at >= self.reported_until);
        LimitReport {
            known: self.list_revision,
            heard: news.map(|(t, k)| self.limit_entry(now, t, k)).collect(),
        }
    }

    /// Applies the answer of the leader of `term` to the report made at `asked`. The
    /// leader's list is authoritative for everything reported to it. If the leader has
    /// changed, the next report includes all limits again. Returns the limits that have
    /// begun or ended.
    pub fn apply_list(
        &mut self,
        asked: Instant,
        now: Instant,
        term: Term,
        list: Option<&LimitList>,
    ) -> LimitListChanges {
        let same = self.list_revision.is_none_or(|l| l.term == term);
        self.reported_until = if same { asked } else { Instant::ZERO };
        let mut changes = LimitListChanges::default();
        let Some(list) = list else {
            return changes;
        };
        self.list_revision = Some(list.revision);
        for limit in &list.limits {
            if !self.known.contains_key(&limit.target) {
                self.insert(&limit.target, limit.rate, now - limit.ago, None);
                changes.begun.push(limit.target.clone());
            }
        }
        let reported_until = self.reported_until;
        self.known.retain(|target, known| {
            let holds = known.last_received_at >= reported_until
                || list.limits.iter().any(|l| l.target == *target);
            if !holds {
                changes.ended.push(target.clone());
            }
            holds
        });
        changes
    }

    /// Removes the limits of targets that `keep` rejects.
    pub fn forget(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.known.retain(|target, _| keep(&target.address));
    }
}

/// Changes caused by the leader's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitListChanges {
    /// Limits that other routers reported.
    pub begun: Vec<LimitKey>,
    /// Limits that have ended.
    pub ended: Vec<LimitKey>,
}
