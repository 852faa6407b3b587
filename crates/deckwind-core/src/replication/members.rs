//! Who votes and who learns.

use super::ids::ReplicaId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The replicas of a cluster. Two successive sets differ by one replica, so any
/// two of their majorities share one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members {
    /// Those whose acknowledgements and votes count.
    pub voters: BTreeSet<ReplicaId>,
    /// Those that only receive.
    pub learners: BTreeSet<ReplicaId>,
}

/// One step from a set of members to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Start sending to a replica.
    AddLearner(ReplicaId),
    /// Let a learner vote.
    Promote(ReplicaId),
    /// Take a replica out.
    Remove(ReplicaId),
}

impl Members {
    /// Smallest number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether there is no voter: nothing is known yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Whether `id` votes or learns.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// The member at a slot.
    pub fn at_slot(&self, slot: u32) -> Option<ReplicaId> {
        self.all().find(|id| id.slot == slot)
    }

    /// All members.
    pub fn all(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// The set after `change`.
    pub fn with(&self, change: MemberChange) -> Members {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(id) => {
                next.learners.insert(id);
            }
            MemberChange::Promote(id) => {
                next.learners.remove(&id);
                next.voters.insert(id);
            }
            MemberChange::Remove(id) => {
                next.learners.remove(&id);
                next.voters.remove(&id);
            }
        }
        next
    }
}
