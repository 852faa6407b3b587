//! Specification of request forwarding: two routers renew their leases at a replica that
//! forwards the requests to the leader. Messages are lost, delayed and duplicated, and the
//! replica restarts.
//!
//! Time is counted in steps. A forwarded request or an answer of the leader can be received
//! at any time and any number of times. Tokens start from 0 again with each incarnation of
//! the replica, since tokens drawn at random can repeat as well.

use crate::Spec;
use crate::cases::Case;
use std::collections::{BTreeMap, BTreeSet};

const ROUTERS: usize = 2;

/// Duration of a lease, in steps.
const LEASE: u8 = 2;

/// Rules of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardingRules {
    /// Answers name the incarnation of the replica that forwarded the request.
    pub match_incarnation_of_answer: bool,
    /// A router counts its lease from the time at which it sent the request, however long
    /// the request was in transit.
    pub lease_starts_at_send: bool,
}

impl ForwardingRules {
    /// Enables all rules.
    pub const ALL: ForwardingRules = ForwardingRules {
        match_incarnation_of_answer: true,
        lease_starts_at_send: true,
    };
}

/// Forwarded request; the answer to it has the same fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Forwarded {
    incarnation: u8,
    token: u8,
    router: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Router {
    /// Number of requests sent so far.
    requests: u8,
    /// Time at which the pending request was sent, if one is pending.
    sent_at: Option<u8>,
    /// Time at which the router's lease ends by its own count.
    lease_end: u8,
}

/// State of the forwarding specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ForwardingState {
    now: u8,
    incarnation: u8,
    next_token: u8,
    /// Requests that wait at the replica, by token: router and number of its request.
    pending: BTreeMap<u8, (u8, u8)>,
    routers: [Router; ROUTERS],
    forwarded_requests: BTreeSet<Forwarded>,
    answers: BTreeSet<Forwarded>,
    /// Time at which each lease ends by the count of the leader.
    leader_lease_ends: [u8; ROUTERS],
    /// Whether a router received an answer to a request of the other one.
    misdelivered: bool,
}

/// Specification of request forwarding with its rules and bounds.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingSpec {
    /// Enabled rules.
    pub rules: ForwardingRules,
    /// Number of time steps.
    pub steps: u8,
    /// Maximum number of requests of each router.
    pub requests: u8,
    /// Maximum number of restarts of the replica.
    pub restarts: u8,
}

impl ForwardingSpec {
    /// Bounds explored in the tests.
    pub const SMALL: ForwardingSpec = ForwardingSpec {
        rules: ForwardingRules::ALL,
        steps: 4,
        requests: 1,
        restarts: 1,
    };

    fn send_request(&self, s: &ForwardingState, i: usize) -> Option<ForwardingState> {
        let r = s.routers[i];
        let is_allowed = r.sent_at.is_none() && r.requests < self.requests;
        let mut n = is_allowed.then(|| s.clone())?;
        n.routers[i].requests += 1;
        n.routers[i].sent_at = Some(n.now);
        let token = n.next_token;
        n.next_token += 1;
        n.pending.insert(token, (i as u8, n.routers[i].requests));
        n.forwarded_requests.insert(Forwarded {
            incarnation: n.incarnation,
            token,
            router: i as u8,
        });
        Some(n)
    }

    fn time_out(&self, s: &ForwardingState, i: usize) -> Option<ForwardingState> {
        s.routers[i].sent_at?;
        let mut n = s.clone();
        n.routers[i].sent_at = None;
        Some(n)
    }

    fn grant(&self, s: &ForwardingState, forwarded: Forwarded) -> ForwardingState {
        let mut n = s.clone();
        n.leader_lease_ends[forwarded.router as usize] = n.now + LEASE;
        n.answers.insert(forwarded);
        n
    }

    fn deliver(&self, s: &ForwardingState, answer: Forwarded) -> Option<ForwardingState> {
        if self.rules.match_incarnation_of_answer && answer.incarnation != s.incarnation {
            return None;
        }
        let mut n = s.clone();
        let (router, request) = n.pending.remove(&answer.token)?;
        let r = &mut n.routers[router as usize];
        let sent_at = r.sent_at.filter(|_| r.requests == request);
        let Some(sent_at) = sent_at else {
            return Some(n);
        };
        r.sent_at = None;
        let from = match self.rules.lease_starts_at_send {
            true => sent_at,
            false => s.now,
        };
        r.lease_end = r.lease_end.max(from + LEASE);
        n.misdelivered |= router != answer.router;
        Some(n)
    }

    fn restart(&self, s: &ForwardingState) -> Option<ForwardingState> {
        let mut n = (s.incarnation < self.restarts).then(|| s.clone())?;
        n.incarnation += 1;
        n.next_token = 0;
        n.pending.clear();
        n.routers.iter_mut().for_each(|r| r.sent_at = None);
        Some(n)
    }

    fn tick(&self, s: &ForwardingState) -> Option<ForwardingState> {
        let mut n = (s.now < self.steps).then(|| s.clone())?;
        n.now += 1;
        Some(n)
    }
}

impl Spec for ForwardingSpec {
    type State = ForwardingState;

    fn initial(&self) -> ForwardingState {
        ForwardingState {
            now: 0,
            incarnation: 0,
            next_token: 0,
            pending: BTreeMap::new(),
            routers: [Router::default(); ROUTERS],
            forwarded_requests: BTreeSet::new(),
            answers: BTreeSet::new(),
            leader_lease_ends: [0; ROUTERS],
            misdelivered: false,
        }
    }

    fn successors(&self, s: &ForwardingState) -> Vec<(String, ForwardingState)> {
        let mut steps = Vec::new();
        for i in 0..ROUTERS {
            steps.extend(
                self.send_request(s, i)
                    .map(|n| (format!("router {i} sends a request"), n)),
            );
            steps.extend(
                self.time_out(s, i)
                    .map(|n| (format!("router {i} times out"), n)),
            );
        }
        for forwarded in &s.forwarded_requests {
            steps.push((
                format!("the leader receives {forwarded:?}"),
                self.grant(s, *forwarded),
            ));
        }
        for answer in &s.answers {
            let delivered = self.deliver(s, *answer);
            steps.extend(
                delivered.map(|n| (format!("the replica receives the answer to {answer:?}"), n)),
            );
        }
        steps.extend(
            self.restart(s)
                .map(|n| ("the replica restarts".to_string(), n)),
        );
        steps.extend(self.tick(s).map(|n| ("time passes".to_string(), n)));
        steps
    }

    fn violation(&self, s: &ForwardingState) -> Option<String> {
        if s.misdelivered {
            return Some(MISDELIVERED.to_string());
        }
        let mut leases = s.routers.iter().zip(s.leader_lease_ends);
        let uses_expired = leases.any(|(r, leader_lease_ends)| r.lease_end > leader_lease_ends);
        uses_expired.then(|| EXPIRED_LEASE_USED.to_string())
    }
}

const MISDELIVERED: &str = "a router received the answer to another router's request";
const EXPIRED_LEASE_USED: &str = "a router uses a lease that has expired at the leader";

/// Returns the forwarding specification with each rule disabled in turn.
pub fn forwarding_cases() -> Vec<Case<ForwardingSpec>> {
    let all = ForwardingRules::ALL;
    let case = |disabled_rule, rules, violates| Case {
        disabled_rule,
        spec: ForwardingSpec {
            rules,
            ..ForwardingSpec::SMALL
        },
        violates,
    };
    vec![
        case(
            "matching the incarnation of an answer",
            ForwardingRules {
                match_incarnation_of_answer: false,
                ..all
            },
            MISDELIVERED,
        ),
        case(
            "counting the lease from the send time of the request",
            ForwardingRules {
                lease_starts_at_send: false,
                ..all
            },
            EXPIRED_LEASE_USED,
        ),
    ]
}
