//! Enforces the rate limits that targets announce, over all routers.
//!
//! A target announces the number of requests per second that it accepts from all VMs
//! together. The leader alone issues permits for the target at that rate, and a request
//! without a permit isn't sent:
//!
//! ```text
//!  router ── permits wanted, limit as received ──► TargetLimiter (leader) ── paced by rate
//!         ◄─ permits, each with its start time ───
//! ```
//!
//! Guarantee: in any time span T, routers that know the limit of a target send it at most
//! `rate` × (T + [`PERMIT_TTL`]) + [`PERMIT_BURST`] requests. Permits are issued at `rate`, with
//! up to [`PERMIT_BURST`] at once after a pause, and each is used within [`PERMIT_TTL`] or
//! never.
//!
//! None of this state is replicated. Only one leader issues permits at a time, so the
//! rate also holds over a change of leader: the new leader begins without a burst and
//! learns the limits from the reports of the routers. Until it knows a limit it issues no
//! permits, and routers that know of the limit send nothing without a permit.
//!
//! A limit ends, or rises, only by an answer to a request that was permitted after the
//! tighter limit was last announced. Answers overtake each other, and only such an answer
//! was certainly written later.

use super::limit_messages::{
    LeaderTime, LimitKey, LimitList, LimitRevision, NamedLimit, PermitRequest, PermitVerdict,
    ReceivedLimit,
};
use crate::rate::Rate;
use crate::replication::Term;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a permit may be used, counted from its start time. It covers
/// establishing a connection.
pub const PERMIT_TTL: Duration = Duration::from_millis(800);

/// Maximum number of permits issued at once after a pause. Requests arrive at random, now
/// and then two at a time.
pub const PERMIT_BURST: u32 = 2;

/// Maximum time until a permit's start that the leader grants. Half of the shortest
/// latency objective, so that a request that waits for its permit can still meet it.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(50);

/// Maximum time after which a router that was denied permits is to request them again.
const MAX_ASK_DELAY: Duration = Duration::from_secs(1);

/// Minimum rate of permits, also for targets that announce less: only an answer can show
/// that the limit ended.
const MIN_RATE: Rate = Rate::from_millis(250);

/// Maximum number of limits kept, enough for all targets (3,300 in two years).
const MAX_LIMITS: usize = 4_096;

/// Time for which an ended limit is kept. Routers may report what they received before
/// the end with their next renewals.
const ENDED_LIMIT_TTL: Duration = Duration::from_secs(10);

/// Time after which a limit is removed if its target hasn't announced it again. While
/// routers ask for permits, they report the limit with each request.
const LIMIT_TTL: Duration = Duration::from_secs(600);

/// Change of a limit caused by a router's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The target has become limited.
    Begins(Rate),
    /// The limit has another rate.
    Becomes(Rate),
    /// The target is no longer limited.
    Ends,
}

#[derive(Clone, Debug)]
struct TargetLimit {
    /// Rate limit, or `None` once it has ended.
    rate: Option<Rate>,
    /// Upper bound of the time at which the last answer with a limit arrived.
    named_at: Instant,
    /// The same for the last answer with a limit as tight as this one or tighter.
    tight_at: Instant,
    /// Time at which the permit was issued whose answer last loosened or ended the limit.
    /// Answers that arrived earlier are out of date.
    loosened_at: Instant,
    /// Time at which the next permit is due.
    next_permit_at: Instant,
    /// Earliest time at which the next router that is denied is to request permits again.
    next_ask_at: Instant,
}

impl TargetLimit {
    fn new(now: Instant, rate: Rate) -> Self {
        Self {
            rate: Some(rate),
            named_at: now,
            tight_at: now,
            loosened_at: Instant::ZERO,
            next_permit_at: now + rate.max(MIN_RATE).interval(),
            next_ask_at: now,
        }
    }

    fn interval(&self) -> Duration {
        self.rate.unwrap_or_default().max(MIN_RATE).interval()
    }

    /// Issues one permit and returns the time until its start, or `None` if no permit is
    /// due within [`MAX_PERMIT_WAIT`].
    fn issue(&mut self, now: Instant) -> Option<Duration> {
        let interval = self.interval();
        let due = self.next_permit_at.max(now - interval * (PERMIT_BURST - 1));
        let wait = due.since(now);
        if wait > MAX_PERMIT_WAIT {
            return None;
        }
        self.next_permit_at = due + interval;
        Some(wait)
    }

    /// Returns the time after which a router that was denied is to request permits again.
    /// Each router gets a time of its own, so that several don't ask for the same permit.
    fn deny(&mut self, now: Instant) -> Duration {
        let due = self.next_permit_at - MAX_PERMIT_WAIT;
        let ask_at = self.next_ask_at.max(due).max(now);
        self.next_ask_at = ask_at + self.interval();
        ask_at.since(now).min(MAX_ASK_DELAY)
    }
}

/// Limits of all targets, and the permits issued for them.
#[derive(Clone, Debug)]
pub struct TargetLimiter {
    term: Term,
    limits: BTreeMap<LimitKey, TargetLimit>,
    changes: u64,
    permitted: u64,
    denied: u64,
}

impl TargetLimiter {
    /// Creates the state of the leader of this term, without any limit.
    pub fn new(term: Term) -> Self {
        Self {
            term,
            limits: BTreeMap::new(),
            changes: 0,
            permitted: 0,
            denied: 0,
        }
    }

    /// Records what a router received from a target. Returns the change of the limit, if
    /// any.
    pub fn record_received_limit(
        &mut self,
        now: Instant,
        heard: &ReceivedLimit,
    ) -> Option<LimitChange> {
        let named = self.record_named(now, heard);
        let ended = self.record_none_named(heard);
        for change in [named, ended].into_iter().flatten() {
            let listed = matches!(change, LimitChange::Begins(_) | LimitChange::Ends);
            self.changes += u64::from(listed);
        }
        ended.or(named)
    }

    fn record_named(&mut self, now: Instant, heard: &ReceivedLimit) -> Option<LimitChange> {
        let rate = heard.rate;
        // The report was delayed on its way here, so the answer arrived at the router at
        // this time or earlier.
        let at = now - heard.ago;
        let permitted = self.own_issue_time(heard.permitted);
        if !self.limits.contains_key(&heard.target) {
            self.evict_if_full();
            let limit = TargetLimit::new(now, rate);
            self.limits.insert(heard.target.clone(), limit);
            return Some(LimitChange::Begins(rate));
        }
        let limit = self.limits.get_mut(&heard.target)?;
        if at <= limit.loosened_at {
            return None;
        }
        limit.named_at = limit.named_at.max(at);
        match limit.rate {
            None => {
                let loosened_at = limit.loosened_at;
                *limit = TargetLimit {
                    loosened_at,
                    ..TargetLimit::new(now, rate)
                };
                Some(LimitChange::Begins(rate))
            }
            Some(known) if rate <= known => {
                limit.tight_at = limit.tight_at.max(at);
                limit.rate = Some(rate);
                (rate < known).then_some(LimitChange::Becomes(rate))
            }
            Some(_) => {
                let permitted = permitted.filter(|p| *p > limit.tight_at)?;
                limit.loosened_at = permitted;
                limit.tight_at = at;
                limit.rate = Some(rate);
                Some(LimitChange::Becomes(rate))
            }
        }
    }

    /// Evicts the limit that was announced longest ago if the maximum is reached.
    fn evict_if_full(&mut self) {
        if self.limits.len() < MAX_LIMITS {
            return;
        }
        let oldest = self.limits.iter().min_by_key(|(_, l)| l.named_at);
        if let Some(target) = oldest.map(|(t, _)| t.clone()) {
            self.limits.remove(&target);
        }
    }

    fn record_none_named(&mut self, heard: &ReceivedLimit) -> Option<LimitChange> {
        let permitted = self.own_issue_time(heard.none_named)?;
        let limit = self.limits.get_mut(&heard.target)?;
        if limit.rate.is_none() || permitted <= limit.named_at {
            return None;
        }
        limit.rate = None;
        limit.loosened_at = permitted;
        Some(LimitChange::Ends)
    }

    /// Returns the issue time of a permit if this leader issued it. Clocks of other
    /// leaders can't be compared.
    fn own_issue_time(&self, issued: Option<LeaderTime>) -> Option<Instant> {
        let own = issued.filter(|p| p.term == self.term);
        own.map(|p| p.at)
    }

    /// Issues the permits that a router wants, as far as they are due.
    pub fn permit(&mut self, now: Instant, ask: &PermitRequest) -> PermitVerdict {
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

    /// Returns the number of requests that were permitted and the number that were
    /// denied.
    pub fn counts(&self) -> (u64, u64) {
        (self.permitted, self.denied)
    }

    /// Returns the current time as put into answers.
    pub fn time(&self, now: Instant) -> LeaderTime {
        LeaderTime {
            term: self.term,
            at: now,
        }
    }

    /// Returns the revision of the list of limited targets.
    pub fn revision(&self) -> LimitRevision {
        LimitRevision {
            term: self.term,
            changes: self.changes,
        }
    }

    /// Returns whether a router's list differs from the current one. A router without a
    /// list is up to date if no target has been limited in this term.
    pub fn has_news(&self, known: Option<LimitRevision>) -> bool {
        let none = known.is_none() && self.changes == 0;
        !none && known != Some(self.revision())
    }

    /// Returns all limited targets if a router's list differs from the current one.
    pub fn list_if_changed(&self, now: Instant, known: Option<LimitRevision>) -> Option<LimitList> {
        if !self.has_news(known) {
            return None;
        }
        let revision = self.revision();
        let named = |(target, limit): (&LimitKey, &TargetLimit)| {
            limit.rate.map(|rate| NamedLimit {
                target: target.clone(),
                rate,
                ago: now.since(limit.named_at),
            })
        };
        let limits = self.limits.iter().filter_map(named).collect();
        Some(LimitList { revision, limits })
    }

    /// Removes limits that ended, and those whose targets haven't announced them for
    /// `LIMIT_TTL`.
    pub fn forget(&mut self, now: Instant) {
        let before = self.limited();
        self.limits.retain(|_, limit| match limit.rate {
            Some(_) => now.since(limit.named_at) < LIMIT_TTL,
            None => now.since(limit.loosened_at) < ENDED_LIMIT_TTL,
        });
        if self.limited() != before {
            self.changes += 1;
        }
    }

    /// Returns the number of targets that are limited now.
    pub fn limited(&self) -> usize {
        self.limits.values().filter(|l| l.rate.is_some()).count()
    }
}
