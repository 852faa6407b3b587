//! Requests of routers that a replica passes on to the leader, and the answers.

use super::messages::{ControlReply, ControlRequest};
use crate::state::PackedDelta;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A router's request, as the replica that heard it passes it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Comes back with the answer.
    pub token: u64,
    /// How long it has waited at that replica.
    pub waited: Duration,
    /// It.
    pub request: ControlRequest,
}

/// Requests of many routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedRequests {
    /// Slot of the replica that passes them on.
    pub slot: u32,
    /// This start of its process: another one gives the same tokens to other
    /// routers.
    pub life: u64,
    /// They.
    pub requests: Vec<RelayedRequest>,
}

/// An answer to one of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Answer {
    token: u64,
    /// Without its delta.
    reply: ControlReply,
    /// Which of the message's deltas belongs to it.
    delta: Option<u32>,
}

/// Answers for the routers that asked one replica. Routers that lack the same
/// share one copy of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReplies {
    /// From the requests.
    pub life: u64,
    deltas: Vec<PackedDelta>,
    answers: Vec<Answer>,
}

impl RelayedReplies {
    /// No answer yet, for this start of a replica's process.
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
        let delta = delta.map(|delta| self.place_of(delta));
        self.answers.push(Answer {
            token,
            reply,
            delta,
        });
    }

    fn place_of(&mut self, delta: PackedDelta) -> u32 {
        let known = self.deltas.iter().position(|d| d.is_same(&delta));
        let place = known.unwrap_or_else(|| {
            self.deltas.push(delta);
            self.deltas.len() - 1
        });
        place as u32
    }

    /// Whether an answer may go with it, where it should have no more state than
    /// `most`, bytes: what it has already costs nothing.
    pub fn has_room_for(&self, reply: &ControlReply, most: usize) -> bool {
        let ControlReply::Granted(grant) = reply else {
            return true;
        };
        let has = |delta: &PackedDelta| self.deltas.iter().any(|d| d.is_same(delta));
        let state: usize = self.deltas.iter().map(PackedDelta::size).sum();
        state < most || grant.delta.as_ref().is_none_or(has)
    }

    /// How many answers it has.
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Each answer whole, with the token of its request. One that names a delta
    /// which did not come is left out.
    pub fn into_answers(self) -> Vec<(u64, ControlReply)> {
        let deltas = self.deltas;
        let whole = |answer: Answer| {
            let mut reply = answer.reply;
            if let (Some(place), ControlReply::Granted(grant)) = (answer.delta, &mut reply) {
                grant.delta = Some(deltas.get(place as usize)?.clone());
            }
            Some((answer.token, reply))
        };
        self.answers.into_iter().filter_map(whole).collect()
    }
}
