//! Requests of routers at a replica that follows.
//!
//! A router asks one replica, whoever leads. One that follows passes what it is
//! asked on to the leader, many requests in one message, and hands the answers
//! back:
//!
//! ```text
//!  routers ──► replica ──► one message for many ──► leader
//!  routers ◄── replica ◄── one message for many ◄──
//! ```
//!
//! So a leader hears from its replicas only, however many routers there are, and a
//! change of leader makes no router connect anew. The leader alone decides; a
//! message that is lost, late or doubled is one of a network that loses messages.

use super::messages::{ControlReply, ControlRequest};
use super::pace::Pace;
use super::relay_messages::RelayedRequest;
use crate::state::PackedDelta;
use crate::time::Instant;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Shortest time between two messages with renewals only: what comes meanwhile is gathered.
const GATHER: Duration = Duration::from_millis(20);

/// How long an answer is waited for. Routers give a replica up that says nothing for
/// 700 ms, and ask one again that says that it got no answer.
const KEPT: Duration = Duration::from_millis(600);

/// For routers whose request got no answer from the leader: it may be cut off from here.
const NO_ANSWER: ControlReply = ControlReply::NotLeader { leader: None };

/// State up to this size is handed on without regard to the pace, bytes.
const SMALL: usize = 2 * 1024;

/// A request whose answer has not come.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    until: Instant,
}

/// An answer with state that waits for its turn on this VM's link.
#[derive(Clone, Debug)]
struct Late {
    token: u64,
    until: Instant,
    reply: ControlReply,
}

/// What a replica that follows keeps of the requests that it passes on.
#[derive(Clone, Debug)]
pub(super) struct RelayDesk {
    /// The leader's slot, as of the last look.
    leader: Option<u32>,
    to_pass: Vec<(Instant, RelayedRequest)>,
    /// Something among them can't wait.
    in_haste: bool,
    /// When the last message left.
    passed_at: Option<Instant>,
    waiting: BTreeMap<u64, Waiting>,
    late: VecDeque<Late>,
    pace: Pace,
}

impl RelayDesk {
    /// Nothing to pass on yet; state is handed on at this pace.
    pub fn new(pace: Pace) -> Self {
        Self {
            leader: None,
            to_pass: Vec::new(),
            in_haste: false,
            passed_at: None,
            waiting: BTreeMap::new(),
            late: VecDeque::new(),
            pace,
        }
    }

    /// A request for the leader, that came at `came`.
    pub fn pass_on(&mut self, now: Instant, came: Instant, token: u64, request: ControlRequest) {
        self.in_haste |= !matches!(request, ControlRequest::Renew(_));
        let until = came + KEPT;
        self.waiting.insert(token, Waiting { until });
        let waited = now.since(came);
        let request = RelayedRequest {
            token,
            waited,
            request,
        };
        self.to_pass.push((now, request));
    }

    /// Who leads now. The requests that another one was to answer: nobody will.
    pub fn leader_is(&mut self, leader: Option<u32>) -> Vec<u64> {
        if leader == self.leader {
            return Vec::new();
        }
        self.leader = leader;
        let unsent: Vec<u64> = self.to_pass.iter().map(|(_, r)| r.token).collect();
        if leader.is_none() {
            self.to_pass.clear();
        }
        let lost = |token: &u64| leader.is_none() || !unsent.contains(token);
        let lost: Vec<u64> = self.waiting.keys().copied().filter(lost).collect();
        for token in &lost {
            self.waiting.remove(token);
        }
        lost
    }

    /// What is to leave for the leader now.
    pub fn take_due(&mut self, now: Instant) -> Vec<RelayedRequest> {
        let lately = self.passed_at.is_some_and(|at| now.since(at) < GATHER);
        if self.to_pass.is_empty() || (lately && !self.in_haste) {
            return Vec::new();
        }
        self.in_haste = false;
        self.passed_at = Some(now);
        let to_pass = std::mem::take(&mut self.to_pass);
        let aged = to_pass.into_iter().map(|(at, mut request)| {
            request.waited += now.since(at);
            request
        });
        aged.collect()
    }

    /// Answers that have come, for the routers that still wait. Those with much
    /// state wait for their turn.
    pub fn answered(
        &mut self,
        now: Instant,
        answers: Vec<(u64, ControlReply)>,
    ) -> Vec<(u64, ControlReply)> {
        let mut ready = Vec::new();
        for (token, reply) in answers {
            let Some(waiting) = self.waiting.remove(&token) else {
                continue;
            };
            match state_bytes(&reply) > SMALL {
                true => self.late.push_back(Late {
                    token,
                    until: waiting.until,
                    reply,
                }),
                false => ready.push((token, reply)),
            }
        }
        ready.extend(self.take_late(now));
        ready
    }

    /// Answers with state that may go now. Who has waited too long is told that there is
    /// no answer.
    pub fn take_late(&mut self, now: Instant) -> Vec<(u64, ControlReply)> {
        let mut ready = Vec::new();
        while let Some(late) = self.late.pop_front() {
            if late.until <= now {
                ready.push((late.token, NO_ANSWER));
                continue;
            }
            if !self.pace.take(now, state_bytes(&late.reply)) {
                self.late.push_front(late);
                break;
            }
            ready.push((late.token, late.reply));
        }
        ready
    }

    /// Gives up requests whose answer would come too late for their routers.
    pub fn give_up(&mut self, now: Instant) -> Vec<(u64, ControlReply)> {
        let late = self.waiting.extract_if(.., |_, w| w.until <= now);
        late.map(|(token, _)| (token, NO_ANSWER)).collect()
    }

    /// Requests that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

fn state_bytes(reply: &ControlReply) -> usize {
    let delta = match reply {
        ControlReply::Granted(grant) => grant.delta.as_ref(),
        _ => None,
    };
    delta.map_or(0, PackedDelta::size)
}
