//! Specification of a target's limit, which two routers respect with permits of a leader.
//! Messages are lost and delayed, routers restart and the leader changes.
//!
//! Initially all know of the limit. Time is counted in steps. Requests to the leader and
//! answers of the target can be received at any time and any number of times. An answer of
//! the leader arrives once, late or never. Each leader has its own clock. A leader that was
//! replaced answers no requests.

use crate::Spec;
use crate::limit_rules::{LimitBounds, LimitRules};
use std::collections::BTreeSet;

const ROUTERS: usize = 2;

/// Maximum length of the window, in steps.
const MAX_WINDOW: usize = 4;

/// Offset of the first leader's clock ahead of those of later leaders, in steps.
const CLOCK_OFFSET: u8 = 8;

/// Time by the clock of the leader of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct LeaderTime {
    term: u8,
    at: u8,
}

/// Limit as a router received it from the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct KnownLimit {
    /// Time at which the target last named the limit to the router.
    named_at: u8,
    /// Time at which the router last received an answer that concerns the limit.
    received_at: u8,
    /// Issue time of the permit whose request was answered without a limit.
    none_named: Option<LeaderTime>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Permit {
    issued: LeaderTime,
    until: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    boot: u8,
    known: Option<KnownLimit>,
    permits: BTreeSet<Permit>,
    /// Term of the leader that sent the current list of limits. With it, if the list was
    /// accepted in full, the time before which that leader knows all that the router
    /// received.
    limit_list: Option<(u8, Option<u8>)>,
    /// Number of renewals sent plus answers to renewals received.
    renewals: u8,
    /// Whether the router received an answer that names the present limit.
    knows_limit: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct LeaderRequest {
    router: u8,
    boot: u8,
    sent_at: u8,
    /// `None` if the leader already knows it.
    known: Option<KnownLimit>,
    /// Number of the renewal; `None` for a permit request.
    renewal: Option<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Reply {
    Permit(LeaderTime),
    NoLimit,
    /// List of the leader of a term, and whether it contains the target.
    List(u8, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Answer {
    request: LeaderRequest,
    reply: Reply,
}

/// Answer of the target to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct TargetAnswer {
    router: u8,
    boot: u8,
    /// Number of the limit that the answer names, if any.
    named_limit: Option<u8>,
    permitted: Option<LeaderTime>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Leader {
    term: u8,
    /// Upper bound on the time at which the limit was last named to a router, by the
    /// leader's clock; `None` if it knows of no limit.
    named_at: Option<u8>,
    /// Issue time of the permit whose answer last ended the limit.
    ending_permit: Option<u8>,
    /// Time at which the next permit is due, by the leader's clock.
    due_at: u8,
}

/// State of the limit specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LimitState {
    now: u8,
    /// Number of the limit that the target names, if any.
    limit: Option<u8>,
    leader: Leader,
    routers: [Router; ROUTERS],
    leader_requests: BTreeSet<LeaderRequest>,
    answers: BTreeSet<Answer>,
    target_answers: BTreeSet<TargetAnswer>,
    /// Requests of routers that knew of the limit, in this step and the ones before it.
    recent_requests: [u8; MAX_WINDOW],
    requested_permits: u8,
    lease_renewals: u8,
    target_requests: u8,
    limit_changes: u8,
    restarts: u8,
}

/// Specification of limits with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct LimitSpec {
    /// Enabled rules.
    pub rules: LimitRules,
    /// Bounds of the exploration.
    pub bounds: LimitBounds,
}

impl Leader {
    fn clock(&self, now: u8) -> u8 {
        match self.term {
            0 => now + CLOCK_OFFSET,
            _ => now,
        }
    }
}

impl LimitSpec {
    fn tick(&self, s: &LimitState) -> Option<LimitState> {
        let mut n = (s.now < self.bounds.steps).then(|| s.clone())?;
        n.now += 1;
        n.recent_requests.rotate_right(1);
        n.recent_requests[0] = 0;
        n.recent_requests[usize::from(self.bounds.window)..].fill(0);
        for r in &mut n.routers {
            r.permits.retain(|p| n.now < p.until);
        }
        Some(n)
    }

    /// Makes the target start or stop naming a limit.
    fn change_limit(&self, s: &LimitState) -> Option<LimitState> {
        let mut n = (s.limit_changes < self.bounds.limit_changes).then(|| s.clone())?;
        n.limit_changes += 1;
        n.limit = s.limit.is_none().then_some(n.limit_changes);
        n.recent_requests = [0; MAX_WINDOW];
        n.routers.iter_mut().for_each(|r| r.knows_limit = false);
        Some(n)
    }

    /// Replaces the leader by one that knows of no limit.
    fn change_leader(&self, s: &LimitState) -> Option<LimitState> {
        let mut n = (s.leader.term < self.bounds.leader_changes).then(|| s.clone())?;
        n.leader = Leader {
            term: s.leader.term + 1,
            named_at: None,
            ending_permit: None,
            due_at: 0,
        };
        Some(n)
    }

    fn restart(&self, s: &LimitState, i: usize) -> Option<LimitState> {
        let mut n = (s.restarts < self.bounds.restarts).then(|| s.clone())?;
        n.restarts += 1;
        n.routers[i] = Router::start(s.routers[i].boot + 1);
        Some(n)
    }

    /// Sends a request of a router to the target, with a permit or where none is required.
    fn send_request(&self, s: &LimitState, i: usize, permit: Option<Permit>) -> Option<LimitState> {
        let r = &s.routers[i];
        let needs_none = r.known.is_none() || !self.rules.permit_required;
        let is_allowed = permit.is_some() || needs_none;
        let mut n = (is_allowed && s.target_requests < self.bounds.requests).then(|| s.clone())?;
        n.target_requests += 1;
        if let Some(permit) = permit.filter(|_| self.rules.single_use) {
            n.routers[i].permits.remove(&permit);
        }
        n.recent_requests[0] += u8::from(r.knows_limit && s.limit.is_some());
        n.target_answers.insert(TargetAnswer {
            router: i as u8,
            boot: r.boot,
            named_limit: s.limit,
            permitted: permit.map(|p| p.issued),
        });
        Some(n)
    }

    /// Delivers an answer of the target to a router.
    fn receive_target_answer(
        &self,
        s: &LimitState,
        target_answer: TargetAnswer,
    ) -> Option<LimitState> {
        let mut n = s.clone();
        let r = &mut n.routers[usize::from(target_answer.router)];
        if r.boot != target_answer.boot {
            return None;
        }
        match (target_answer.named_limit, &mut r.known) {
            (Some(limit), _) => {
                r.known = Some(KnownLimit {
                    named_at: s.now,
                    received_at: s.now,
                    none_named: None,
                });
                r.knows_limit |= s.limit == Some(limit);
            }
            (None, Some(known)) if target_answer.permitted.is_some() => {
                known.none_named = target_answer.permitted;
                known.received_at = s.now;
            }
            (None, known) if !self.rules.end_by_permitted_only => *known = None,
            (None, _) => {}
        }
        (n != *s).then_some(n)
    }

    fn send_to_leader(&self, s: &LimitState, i: usize, for_permit: bool) -> Option<LimitState> {
        let is_allowed = match for_permit {
            true => s.requested_permits < self.bounds.permit_requests,
            false => s.lease_renewals < self.bounds.renewals,
        };
        let mut n = is_allowed.then(|| s.clone())?;
        n.requested_permits += u8::from(for_permit);
        n.lease_renewals += u8::from(!for_permit);
        let r = &mut n.routers[i];
        r.renewals += u8::from(!for_permit);
        let known_until = r.limit_list.and_then(|(_, until)| until);
        let reported =
            |k: &KnownLimit| !for_permit && known_until.is_some_and(|t| k.received_at < t);
        let known = r.known?;
        let request = LeaderRequest {
            router: i as u8,
            boot: r.boot,
            sent_at: s.now,
            known: Some(known).filter(|k| !reported(k)),
            renewal: (!for_permit).then_some(r.renewals),
        };
        n.leader_requests.insert(request).then_some(n)
    }

    /// Records at the leader what a router received and answers the request; a permit is
    /// issued only if one is due.
    fn handle_request(&self, s: &LimitState, q: LeaderRequest) -> Option<LimitState> {
        let mut n = s.clone();
        let now = s.leader.clock(s.now);
        if let Some(known) = q.known {
            self.record_received(&mut n.leader, now, q.sent_at, known);
        }
        let reply = match n.leader.named_at {
            named_at if q.renewal.is_some() => Reply::List(s.leader.term, named_at.is_some()),
            None => Reply::NoLimit,
            Some(_) if now < n.leader.due_at && self.rules.paced => return (n != *s).then_some(n),
            Some(_) => {
                n.leader.due_at = now + self.bounds.permit_interval;
                Reply::Permit(LeaderTime {
                    term: s.leader.term,
                    at: now,
                })
            }
        };
        n.answers.insert(Answer { request: q, reply });
        (n != *s).then_some(n)
    }

    fn record_received(&self, leader: &mut Leader, now: u8, sent_at: u8, known: KnownLimit) {
        // Computed from the age in the request, which leaves out the transit time, so it is
        // never earlier than the real time.
        let named_at = now - (sent_at - known.named_at);
        let is_outdated = leader
            .ending_permit
            .is_some_and(|ending_permit| named_at <= ending_permit);
        if !is_outdated {
            if leader.named_at.is_none() {
                leader.due_at =
                    now + u8::from(self.rules.new_leader_waits) * self.bounds.permit_interval;
            }
            leader.named_at = leader.named_at.max(Some(named_at));
        }
        let Some(none) = known.none_named else {
            return;
        };
        let is_own_time = none.term == leader.term || !self.rules.end_by_own_time_only;
        let is_later = leader.named_at.is_some_and(|named_at| none.at > named_at);
        if is_own_time && (is_later || !self.rules.end_by_later_only) {
            leader.named_at = None;
            leader.ending_permit = Some(none.at);
        }
    }

    /// Delivers an answer of the leader to a router.
    fn receive_leader_answer(&self, s: &LimitState, answer: Answer) -> Option<LimitState> {
        let q = answer.request;
        let mut n = s.clone();
        n.answers.remove(&answer);
        let r = &mut n.routers[usize::from(q.router)];
        if r.boot != q.boot {
            return Some(n);
        }
        let ends = |k: KnownLimit| k.received_at < q.sent_at || !self.rules.end_older_only;
        match answer.reply {
            Reply::Permit(issued) => {
                let from = match self.rules.lifetime_from_request {
                    true => q.sent_at,
                    false => s.now,
                };
                let until = from + self.bounds.permit_lifetime;
                if s.now < until {
                    r.permits.insert(Permit { issued, until });
                }
            }
            Reply::NoLimit => r.known = r.known.filter(|k| !ends(*k)),
            Reply::List(..) if q.renewal != Some(r.renewals) && self.rules.last_renewal_only => {}
            Reply::List(term, names_target) => {
                // Later answers to the same renewal no longer match.
                r.renewals += 1;
                let same_leader = r.limit_list.is_none_or(|(of, _)| of == term);
                let is_accepted = same_leader || !self.rules.full_report_to_new_leader;
                r.limit_list = Some((term, is_accepted.then_some(q.sent_at)));
                if is_accepted && !names_target {
                    r.known = r.known.filter(|k| !ends(*k));
                }
            }
        }
        Some(n)
    }
}

impl Router {
    /// Returns a router to which the target has just named its limit.
    fn with_limit() -> Self {
        Self {
            known: Some(KnownLimit {
                named_at: 0,
                received_at: 0,
                none_named: None,
            }),
            knows_limit: true,
            ..Self::start(0)
        }
    }

    fn start(boot: u8) -> Self {
        Self {
            boot,
            known: None,
            permits: BTreeSet::new(),
            limit_list: None,
            renewals: 0,
            knows_limit: false,
        }
    }
}

impl Spec for LimitSpec {
    type State = LimitState;

    fn initial(&self) -> LimitState {
        LimitState {
            now: 0,
            limit: Some(0),
            leader: Leader {
                term: 0,
                named_at: Some(CLOCK_OFFSET),
                ending_permit: None,
                due_at: CLOCK_OFFSET,
            },
            routers: [Router::with_limit(), Router::with_limit()],
            leader_requests: BTreeSet::new(),
            answers: BTreeSet::new(),
            target_answers: BTreeSet::new(),
            recent_requests: [0; MAX_WINDOW],
            requested_permits: 0,
            lease_renewals: 0,
            target_requests: 0,
            limit_changes: 0,
            restarts: 0,
        }
    }

    fn successors(&self, s: &LimitState) -> Vec<(String, LimitState)> {
        let mut out = Vec::new();
        let mut push = |name: String, n: Option<LimitState>| out.extend(n.map(|n| (name, n)));
        push("time passes".to_string(), self.tick(s));
        push(
            "the target's limit starts or ends".to_string(),
            self.change_limit(s),
        );
        push(
            "another replica becomes leader".to_string(),
            self.change_leader(s),
        );
        let routers = s.routers.iter().take(usize::from(self.bounds.routers));
        for (i, r) in routers.enumerate() {
            push(
                format!("router {i} sends without a permit"),
                self.send_request(s, i, None),
            );
            for permit in &r.permits {
                let name = format!("router {i} sends with {permit:?}");
                push(name, self.send_request(s, i, Some(*permit)));
            }
            push(
                format!("router {i} asks for a permit"),
                self.send_to_leader(s, i, true),
            );
            push(
                format!("router {i} renews its lease"),
                self.send_to_leader(s, i, false),
            );
            push(format!("router {i} restarts"), self.restart(s, i));
        }
        for target_answer in &s.target_answers {
            push(
                format!("the router receives {target_answer:?}"),
                self.receive_target_answer(s, *target_answer),
            );
        }
        for request in &s.leader_requests {
            let name = format!("the leader answers {request:?}");
            push(name, self.handle_request(s, *request));
        }
        for answer in &s.answers {
            push(
                format!("the router receives {answer:?}"),
                self.receive_leader_answer(s, *answer),
            );
        }
        out
    }

    fn violation(&self, s: &LimitState) -> Option<String> {
        let recent_requests: u8 = s.recent_requests.iter().sum();
        let max_requests = self.bounds.max_requests();
        (recent_requests > max_requests)
            .then(|| "more requests in a window than the target's limit".to_string())
    }
}
