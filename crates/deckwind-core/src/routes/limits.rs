//! Limits that targets have named, as one router knows them.
//!
//! A limit is for all VMs together, so the leader gives out permits
//! ([`crate::control::LimitDesk`]); a request to a limited target is sent with one or not
//! at all. A router tells the leader what it has heard, and keeps to a limit that it knows
//! of only from the leader as to its own.

use crate::control::{
    LeaderTime, LimitHeard, LimitKey, LimitList, LimitReport, LimitRevision, PERMIT_FOR,
};
use crate::rate::Rate;
use crate::replication::Term;
use crate::state::Instance;
use crate::time::Instant;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// May be used once, for one request to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// From then on.
    pub from: Instant,
    /// Until then.
    pub until: Instant,
    /// When the leader issued it.
    pub issued: LeaderTime,
}

impl Permit {
    /// The permit that was asked for at `asked`, of which an answer at `now` says that
    /// it may be used after `wait`. The end counts from the question: the leader issued
    /// it no earlier.
    pub fn new(asked: Instant, now: Instant, wait: Duration, issued: LeaderTime) -> Self {
        Self {
            from: now + wait,
            until: asked + wait + PERMIT_FOR,
            issued,
        }
    }

    /// Whether it may be used now.
    pub fn is_good(&self, now: Instant) -> bool {
        (self.from..self.until).contains(&now)
    }
}

#[derive(Clone, Debug)]
struct Known {
    rate: Rate,
    /// When that was last named.
    named: Instant,
    /// Of the request whose answer named it.
    permitted: Option<LeaderTime>,
    /// An answer since, to a request of this permit, has named no limit: the leader
    /// judges whether the limit is over.
    none_named: Option<LeaderTime>,
    /// When the last of this was heard.
    heard: Instant,
    /// No permit is to be had before.
    denied_until: Instant,
}

/// What one router knows of limits.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    known: HashMap<LimitKey, Known>,
    /// The leader's list that these were last compared with.
    list: Option<LimitRevision>,
    /// What was heard before then the leader of that list knows.
    told_until: Instant,
}

impl TargetLimits {
    /// An answer of a target named this limit, or none. `permitted` is of the permit of
    /// the request. Whether it was not known that the target has a limit.
    pub fn hear(
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
                known.named = now;
                known.permitted = permitted;
                known.none_named = None;
                known.heard = now;
                false
            }
            (Some(rate), None) => {
                self.put(target, rate, now, permitted);
                true
            }
            (None, Some(known)) if permitted.is_some() => {
                known.heard = now;
                known.none_named = permitted;
                false
            }
            // Without a permit the request may have been sent before the limit began.
            (None, _) => false,
        }
    }

    fn put(&mut self, target: &LimitKey, rate: Rate, at: Instant, permitted: Option<LeaderTime>) {
        let known = Known {
            rate,
            named: at,
            permitted,
            none_named: None,
            heard: at,
            denied_until: Instant::ZERO,
        };
        self.known.insert(target.clone(), known);
    }

    /// Whether requests to a target need permits.
    pub fn is_limited(&self, target: &LimitKey) -> bool {
        self.known.contains_key(target)
    }

    /// Targets that are limited.
    pub fn limited(&self) -> usize {
        self.known.len()
    }

    /// Until when no permit is to be had for a target; nothing if there may be one.
    pub fn denied_until(&self, now: Instant, instance: &Instance) -> Option<Instant> {
        if self.known.is_empty() {
            return None;
        }
        let until = self.known.get(&LimitKey::of(instance))?.denied_until;
        (until > now).then_some(until)
    }

    /// The leader gives no permit for so long.
    pub fn denied(&mut self, now: Instant, target: &LimitKey, wait: Duration) {
        if let Some(known) = self.known.get_mut(target) {
            known.denied_until = known.denied_until.max(now + wait);
        }
    }

    /// The leader answered a question of `asked` that a target has no limit any more.
    /// What was heard since stands. Whether the limit is over.
    pub fn is_over(&mut self, asked: Instant, target: &LimitKey) -> bool {
        let over = self.known.get(target).is_some_and(|k| k.heard < asked);
        if over {
            self.known.remove(target);
        }
        over
    }

    /// What the leader is to know of a limited target.
    pub fn heard_of(&self, now: Instant, target: &LimitKey) -> Option<LimitHeard> {
        let known = self.known.get(target)?;
        Some(self.heard(now, target, known))
    }

    fn heard(&self, now: Instant, target: &LimitKey, known: &Known) -> LimitHeard {
        LimitHeard {
            target: target.clone(),
            rate: known.rate,
            ago: now.since(known.named),
            permitted: known.permitted,
            none_named: known.none_named,
        }
    }

    /// What the leader is to hear with a renewal.
    pub fn report(&self, now: Instant) -> LimitReport {
        let news = self
            .known
            .iter()
            .filter(|(_, k)| k.heard >= self.told_until);
        LimitReport {
            known: self.list,
            heard: news.map(|(t, k)| self.heard(now, t, k)).collect(),
        }
    }

    /// A leader of this term answered the report that was made at `asked`. Its list
    /// holds for what it was told of; another leader is to be told all first. Targets
    /// whose limits are over, or begin.
    pub fn told(
        &mut self,
        asked: Instant,
        now: Instant,
        term: Term,
        list: Option<&LimitList>,
    ) -> LimitsTold {
        let same = self.list.is_none_or(|l| l.term == term);
        self.told_until = if same { asked } else { Instant::ZERO };
        let mut told = LimitsTold::default();
        let Some(list) = list else {
            return told;
        };
        self.list = Some(list.revision);
        for limit in &list.limits {
            if !self.known.contains_key(&limit.target) {
                self.put(&limit.target, limit.rate, now - limit.ago, None);
                told.begin.push(limit.target.clone());
            }
        }
        let told_until = self.told_until;
        self.known.retain(|target, known| {
            let holds =
                known.heard >= told_until || list.limits.iter().any(|l| l.target == *target);
            if !holds {
                told.over.push(target.clone());
            }
            holds
        });
        told
    }

    /// Forgets targets that are not known any more.
    pub fn forget(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.known.retain(|target, _| keep(&target.address));
    }
}

/// What a leader's list has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitsTold {
    /// Limits that others have heard of.
    pub begin: Vec<LimitKey>,
    /// Limits that are over.
    pub over: Vec<LimitKey>,
}
