//! Messages that carry router requests from a follower to the leader, and the answers
//! back.

use super::messages::{ControlReply, ControlRequest};
use crate::state::PackedDelta;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A request of a router, forwarded by the replica that received it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Token returned with the answer.
    pub token: u64,
    /// Time the request waited at that replica.
    pub waited: Duration,
    /// The request.
    pub request: ControlRequest,
}

/// Requests of many routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedRequests {
    /// Slot of the forwarding replica.
    pub slot: u32,
    /// Identifies the run of the replica's process. After a restart, the same tokens refer to
    /// requests of other routers.
    pub life: u64,
    /// The requests.
    pub requests: Vec<RelayedRequest>,
}

/// An answer to a forwarded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Answer {
    token: u64,
    /// The reply without its delta.
    reply: ControlReply,
    /// Index of the reply's delta in the deltas of the message.
    delta: Option<u32>,
}

/// Answers for the routers behind one replica. Routers that lack the same changes share
/// one copy of the delta.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReplies {
    /// The `life` in the request message, which identifies the run of the replica's
    /// process.
    pub life: u64,
    deltas: Vec<PackedDelta>,
    answers: Vec<Answer>,
}

impl RelayedReplies {
    /// Creates an empty message for one run of a replica's process.
    pub fn new(life: u64) -> Self {
        Self {
            life,
            deltas: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Adds an answer.
    pub fn push(&mut self, token: u64, mut reply: ControlReply) {
        let delta = match &mut reply {
            ControlReply::Granted(grant) => grant.delta.take(),
            _ => None,
        };
        let delta = delta.map(|delta| self.delta_index(delta));
        self.answers.push(Answer {
            token,
            reply,
            delta,
        });
    }

    fn delta_index(&mut self, delta: PackedDelta) -> u32 {
        let known = self.deltas.iter().position(|d| d.is_same(&delta));
        let index = known.unwrap_or_else(|| {
            self.deltas.push(delta);
            self.deltas.len() - 1
        });
        index as u32
    }

    /// Returns whether an answer fits into a message that should carry at most
    /// `max_state_bytes` of state. An answer whose delta is in the message already always
    /// fits.
    pub fn can_add(&self, reply: &ControlReply, max_state_bytes: usize) -> bool {
        let ControlReply::Granted(grant) = reply else {
            return true;
        };
        let is_included = |delta: &PackedDelta| self.deltas.iter().any(|d| d.is_same(delta));
        let state: usize = self.deltas.iter().map(PackedDelta::size).sum();
        state < max_state_bytes || grant.delta.as_ref().is_none_or(is_included)
    }

    /// Returns the number of answers.
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Returns whether there are no answers.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Returns each complete answer with the token of its request. Answers that refer to
    /// a missing delta are left out.
    pub fn into_answers(self) -> Vec<(u64, ControlReply)> {
        let deltas = self.deltas;
        let restore = |answer: Answer| {
            let mut reply = answer.reply;
            if let (Some(index), ControlReply::Granted(grant)) = (answer.delta, &mut reply) {
                grant.delta = Some(deltas.get(index as usize)?.clone());
            }
            Some((answer.token, reply))
        };
        self.answers.into_iter().filter_map(restore).collect()
    }
}
