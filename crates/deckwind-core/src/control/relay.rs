//! Forwarding of router requests from a follower to the leader.
//!
//! A router sends its requests to one replica, whichever replica leads. A follower forwards
//! them to the leader, many in one message, and returns the answers:
//!
//! ```text
//!  routers ──► replica ──► one message for many ──► leader
//!  routers ◄── replica ◄── one message for many ◄──
//! ```
//!
//! The leader thus receives messages from its replicas only, however many routers there are,
//! and no router has to reconnect when the leader changes. Only the leader decides. A
//! forwarded message that is lost, delayed or duplicated is handled like any other message on
//! an unreliable network.

use super::messages::{ControlReply, ControlRequest};
use super::relay_messages::RelayedRequest;
use super::state_rate_limiter::StateRateLimiter;
use crate::state::PackedDelta;
use crate::time::Instant;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Shortest interval between two messages that carry only renewals, which are batched in
/// the meantime.
const RENEWAL_BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time to wait for an answer of the leader. Routers give up on a replica that is silent
/// for 700 ms, but retry at one that reports that it got no answer.
const LEADER_REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Reply to a request that the leader did not answer. The link to the leader may be
/// interrupted.
const NO_LEADER_REPLY: ControlReply = ControlReply::NotLeader { leader: None };

/// Largest size of state that is exempt from pacing, bytes.
const MAX_UNPACED_BYTES: usize = 2 * 1024;

/// A request that awaits the leader's answer.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    deadline: Instant,
}

/// An answer with state that waits for the rate limit on this VM's link.
#[derive(Clone, Debug)]
struct PacedReply {
    token: u64,
    deadline: Instant,
    reply: ControlReply,
}

/// Requests that a follower forwards, and answers it has yet to return.
#[derive(Clone, Debug)]
pub(super) struct RequestRelay {
    /// Slot of the leader at the last call of [`Self::set_leader`].
    leader: Option<u32>,
    outgoing: Vec<(Instant, RelayedRequest)>,
    /// Whether a request in `outgoing` must not wait for a batch.
    has_urgent: bool,
    /// Time the last message was sent.
    last_sent_at: Option<Instant>,
    pending: BTreeMap<u64, PendingRequest>,
    paced: VecDeque<PacedReply>,
    state_rate_limiter: StateRateLimiter,
}

impl RequestRelay {
    /// Creates an empty relay that sends state at the given rate.
    pub fn new(state_rate_limiter: StateRateLimiter) -> Self {
        Self {
            leader: None,
            outgoing: Vec::new(),
            has_urgent: false,
            last_sent_at: None,
            pending: BTreeMap::new(),
            paced: VecDeque::new(),
            state_rate_limiter,
        }
    }

    /// Queues a request for the leader that was received at `received_at`.
    pub fn enqueue(
        &mut self,
        now: Instant,
        received_at: Instant,
        token: u64,
        request: ControlRequest,
    ) {
        self.has_urgent |= !matches!(request, ControlRequest::Renew(_));
        let deadline = received_at + LEADER_REPLY_TIMEOUT;
        self.pending.insert(token, PendingRequest { deadline });
        let waited = now.since(received_at);
        let request = RelayedRequest {
            token,
            waited,
            request,
        };
        self.outgoing.push((now, request));
    }

    /// Sets the current leader. Returns the tokens of the requests that were sent to the
    /// previous leader, or of all requests if there is no leader: they will not be
    /// answered.
    pub fn set_leader(&mut self, leader: Option<u32>) -> Vec<u64> {
        if leader == self.leader {
            return Vec::new();
        }
        self.leader = leader;
        let unsent: Vec<u64> = self.outgoing.iter().map(|(_, r)| r.token).collect();
        if leader.is_none() {
            self.outgoing.clear();
        }
        let lost = |token: &u64| leader.is_none() || !unsent.contains(token);
        let lost: Vec<u64> = self.pending.keys().copied().filter(lost).collect();
        for token in &lost {
            self.pending.remove(token);
        }
        lost
    }

    /// Takes the requests to send to the leader now.
    pub fn take_due(&mut self, now: Instant) -> Vec<RelayedRequest> {
        let sent_recently = self
            .last_sent_at
            .is_some_and(|at| now.since(at) < RENEWAL_BATCH_INTERVAL);
        if self.outgoing.is_empty() || (sent_recently && !self.has_urgent) {
            return Vec::new();
        }
        self.has_urgent = false;
        self.last_sent_at = Some(now);
        let outgoing = std::mem::take(&mut self.outgoing);
        let aged = outgoing.into_iter().map(|(at, mut request)| {
            request.waited += now.since(at);
            request
        });
        aged.collect()
    }

    /// Accepts answers of the leader and returns those that may go to their routers now.
    /// Answers to requests that no longer wait are dropped, and large answers wait for
    /// the rate limit on state.
    pub fn handle_answers(
        &mut self,
        now: Instant,
        answers: Vec<(u64, ControlReply)>,
    ) -> Vec<(u64, ControlReply)> {
        let mut ready = Vec::new();
        for (token, reply) in answers {
            let Some(pending) = self.pending.remove(&token) else {
                continue;
            };
            match state_bytes(&reply) > MAX_UNPACED_BYTES {
                true => self.paced.push_back(PacedReply {
                    token,
                    deadline: pending.deadline,
                    reply,
                }),
                false => ready.push((token, reply)),
            }
        }
        ready.extend(self.take_paced(now));
        ready
    }

    /// Takes the answers with state that may be sent now. An answer that has waited too
    /// long is replaced by [`NO_LEADER_REPLY`].
    pub fn take_paced(&mut self, now: Instant) -> Vec<(u64, ControlReply)> {
        let mut ready = Vec::new();
        while let Some(paced) = self.paced.pop_front() {
            if paced.deadline <= now {
                ready.push((paced.token, NO_LEADER_REPLY));
                continue;
            }
            if !self.state_rate_limiter.take(now, state_bytes(&paced.reply)) {
                self.paced.push_front(paced);
                break;
            }
            ready.push((paced.token, paced.reply));
        }
        ready
    }

    /// Removes the requests whose answer would come too late for their routers, and
    /// returns the replies to send instead.
    pub fn take_expired(&mut self, now: Instant) -> Vec<(u64, ControlReply)> {
        let expired = self.pending.extract_if(.., |_, w| w.deadline <= now);
        expired.map(|(token, _)| (token, NO_LEADER_REPLY)).collect()
    }

    /// Returns the number of requests that await an answer.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }
}

fn state_bytes(reply: &ControlReply) -> usize {
    let delta = match reply {
        ControlReply::Granted(grant) => grant.delta.as_ref(),
        _ => None,
    };
    delta.map_or(0, PackedDelta::size)
}
