//! Keeps the limits that targets name, for all routers together.
//!
//! A target names the requests a second that it takes from all VMs. So one place
//! gives out permits for it, at that rate, and a request without one isn't sent:
//!
//! ```text
//!  router ── permits wanted, limit as heard ──► LimitDesk (leader) ── paced by rate
//!         ◄─ so many, from then on ────────────
//! ```
//!
//! The bound: in any span of T a target is sent at most `rate` x (T + [`PERMIT_FOR`]) +
//! [`BURST`] requests of routers that know of its limit. Permits are issued at `rate`,
//! [`BURST`] at once after a pause, and each is used within [`PERMIT_FOR`] or never.
//!
//! Nothing of this is agreed. One leader issues at a time, so the rate holds over
//! changes of leader: a new one begins without a burst, and learns the limits from the
//! routers, each of which tells what it has heard. Until it has heard of a limit it has
//! nothing to issue, and routers that know of the limit send nothing without a permit.
//!
//! A limit ends, or rises, by an answer to a request that was permitted after the
//! tighter limit was last told: answers overtake each other, and only such an answer
//! was certainly written later.

use super::limit_messages::{
    LeaderTime, LimitHeard, LimitKey, LimitList, LimitRevision, NamedLimit, PermitAsk,
    PermitVerdict,
};
use crate::rate::Rate;
use crate::replication::Term;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a permit may be used, from the moment from which it may be: a connection
/// is made meanwhile.
pub const PERMIT_FOR: Duration = Duration::from_millis(800);

/// Permits that are issued at once after a pause: requests of callers come by chance,
/// two at a time now and then.
pub const BURST: u32 = 2;

/// Longest wait that is promised for a permit: half of the shortest objective of callers,
/// so that a request that waits for it can still be in time.
const AHEAD: Duration = Duration::from_millis(50);

/// Longest time after which a router that gets none is to ask again.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// A target that names less is sent requests at this rate all the same: only an answer
/// tells that its limit is over.
const LEAST: Rate = Rate::from_millis(250);

/// Targets whose limits are kept: all that there are (3,300 in two years).
const MOST: usize = 4_096;

/// How long a limit that is over is remembered: what routers heard of it before comes
/// later, with their next renewals.
const REMEMBERED: Duration = Duration::from_secs(10);

/// Without a word of its target for so long a limit is forgotten; of one that is asked
/// for, routers tell with every question.
const SILENT: Duration = Duration::from_secs(600);

/// What became of a limit by what a router told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The target is limited now.
    Begins(Rate),
    /// Its limit is another one.
    Becomes(Rate),
    /// It has none any more.
    Ends,
}

#[derive(Clone, Debug)]
struct Limit {
    /// Nothing once it is over.
    rate: Option<Rate>,
    /// When the last answer that named a limit was heard, or later.
    named: Instant,
    /// When a limit as tight as this one, or tighter, was last named, or later.
    tight: Instant,
    /// When the permit was issued whose answer loosened it last: what was heard before
    /// is out of date.
    loosened: Instant,
    /// When the next permit is due.
    next: Instant,
    /// When the last router that was denied is to ask again.
    turn: Instant,
}

impl Limit {
    fn new(now: Instant, rate: Rate) -> Self {
        Self {
            rate: Some(rate),
            named: now,
            tight: now,
            loosened: Instant::ZERO,
            next: now + rate.max(LEAST).interval(),
            turn: now,
        }
    }

    fn interval(&self) -> Duration {
        self.rate.unwrap_or_default().max(LEAST).interval()
    }

    /// One permit, and how long until it may be used; nothing if none is due soon.
    fn issue(&mut self, now: Instant) -> Option<Duration> {
        let interval = self.interval();
        let due = self.next.max(now - interval * (BURST - 1));
        let wait = due.since(now);
        if wait > AHEAD {
            return None;
        }
        self.next = due + interval;
        Some(wait)
    }

    /// When a router that was denied is to ask again: each gets a turn of its own, so
    /// that many routers don't ask for one permit.
    fn deny(&mut self, now: Instant) -> Duration {
        let due = self.next - AHEAD;
        let turn = self.turn.max(due).max(now);
        self.turn = turn + self.interval();
        turn.since(now).min(ASK_AGAIN)
    }
}

/// The leader's side of limits.
#[derive(Clone, Debug)]
pub struct LimitDesk {
    term: Term,
    limits: BTreeMap<LimitKey, Limit>,
    changes: u64,
    permitted: u64,
    denied: u64,
}

impl LimitDesk {
    /// Of a leader of this term: it knows of no limit yet.
    pub fn new(term: Term) -> Self {
        Self {
            term,
            limits: BTreeMap::new(),
            changes: 0,
            permitted: 0,
            denied: 0,
        }
    }

    /// A router told what it has heard of a target.
    pub fn heard(&mut self, now: Instant, heard: &LimitHeard) -> Option<LimitChange> {
        let named = self.named(now, heard);
        let ended = self.named_none(heard);
        for change in [named, ended].into_iter().flatten() {
            let listed = matches!(change, LimitChange::Begins(_) | LimitChange::Ends);
            self.changes += u64::from(listed);
        }
        ended.or(named)
    }

    fn named(&mut self, now: Instant, heard: &LimitHeard) -> Option<LimitChange> {
        let rate = heard.rate;
        // As it took a while to come here, no earlier than it was.
        let at = now - heard.ago;
        let permitted = self.own_time(heard.permitted);
        if !self.limits.contains_key(&heard.target) {
            self.make_room();
            let limit = Limit::new(now, rate);
            self.limits.insert(heard.target.clone(), limit);
            return Some(LimitChange::Begins(rate));
        }
        let limit = self.limits.get_mut(&heard.target)?;
        if at <= limit.loosened {
            return None;
        }
        limit.named = limit.named.max(at);
        match limit.rate {
            None => {
                let loosened = limit.loosened;
                *limit = Limit {
                    loosened,
                    ..Limit::new(now, rate)
                };
                Some(LimitChange::Begins(rate))
            }
            Some(known) if rate <= known => {
                limit.tight = limit.tight.max(at);
                limit.rate = Some(rate);
                (rate < known).then_some(LimitChange::Becomes(rate))
            }
            Some(_) => {
                let permitted = permitted.filter(|p| *p > limit.tight)?;
                limit.loosened = permitted;
                limit.tight = at;
                limit.rate = Some(rate);
                Some(LimitChange::Becomes(rate))
            }
        }
    }

    /// Forgets the limit that was named longest ago where there are too many.
    fn make_room(&mut self) {
        if self.limits.len() < MOST {
            return;
        }
        let oldest = self.limits.iter().min_by_key(|(_, l)| l.named);
        if let Some(target) = oldest.map(|(t, _)| t.clone()) {
            self.limits.remove(&target);
        }
    }

    fn named_none(&mut self, heard: &LimitHeard) -> Option<LimitChange> {
        let permitted = self.own_time(heard.none_named)?;
        let limit = self.limits.get_mut(&heard.target)?;
        if limit.rate.is_none() || permitted <= limit.named {
            return None;
        }
        limit.rate = None;
        limit.loosened = permitted;
        Some(LimitChange::Ends)
    }

    /// When this leader issued a permit; nothing if another one did, whose clock can't be
    /// compared.
    fn own_time(&self, issued: Option<LeaderTime>) -> Option<Instant> {
        let own = issued.filter(|p| p.term == self.term);
        own.map(|p| p.at)
    }

    /// Issues what a router wants, as far as it is due.
    pub fn permit(&mut self, now: Instant, ask: &PermitAsk) -> PermitVerdict {
        let limit = self.limits.get_mut(&ask.heard.target);
        let Some(limit) = limit.filter(|l| l.rate.is_some()) else {
            return PermitVerdict::Unlimited;
        };
        let wants = ask.wants.max(1) as usize;
        let due = std::iter::from_fn(|| limit.issue(now));
        let permits: Vec<Duration> = due.take(wants).collect();
        if permits.is_empty() {
            self.denied += u64::from(ask.wants);
            return PermitVerdict::Denied(limit.deny(now));
        }
        self.permitted += permits.len() as u64;
        PermitVerdict::Permitted(permits)
    }

    /// Requests that were permitted, and that were denied when a router asked.
    pub fn counts(&self) -> (u64, u64) {
        (self.permitted, self.denied)
    }

    /// Now, for answers.
    pub fn time(&self, now: Instant) -> LeaderTime {
        LeaderTime {
            term: self.term,
            at: now,
        }
    }

    /// Names the list of limited targets.
    pub fn revision(&self) -> LimitRevision {
        LimitRevision {
            term: self.term,
            changes: self.changes,
        }
    }

    /// Whether a router has another list. One that never had any lacks nothing where
    /// there was none.
    pub fn has_news(&self, known: Option<LimitRevision>) -> bool {
        let none = known.is_none() && self.changes == 0;
        !none && known != Some(self.revision())
    }

    /// All limited targets, for a router that has another list.
    pub fn list_for(&self, now: Instant, known: Option<LimitRevision>) -> Option<LimitList> {
        if !self.has_news(known) {
            return None;
        }
        let revision = self.revision();
        let named = |(target, limit): (&LimitKey, &Limit)| {
            limit.rate.map(|rate| NamedLimit {
                target: target.clone(),
                rate,
                ago: now.since(limit.named),
            })
        };
        let limits = self.limits.iter().filter_map(named).collect();
        Some(LimitList { revision, limits })
    }

    /// Forgets limits that are over, and those of targets that nobody hears any more.
    pub fn forget(&mut self, now: Instant) {
        let before = self.limited();
        self.limits.retain(|_, limit| match limit.rate {
            Some(_) => now.since(limit.named) < SILENT,
            None => now.since(limit.loosened) < REMEMBERED,
        });
        if self.limited() != before {
            self.changes += 1;
        }
    }

    /// Targets that are limited now.
    pub fn limited(&self) -> usize {
        self.limits.values().filter(|l| l.rate.is_some()).count()
    }
}
