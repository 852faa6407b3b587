//! Members of a cluster: voters and learners.

use super::ids::ReplicaId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Replicas of a cluster. Two successive sets differ by one replica, so a majority of
/// one and a majority of the other always have a replica in common. A slot has one voter at
/// most; beside it there may be learners with other identities that are to replace it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members {
    /// Replicas whose acknowledgements and votes count.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive entries but do not vote.
    pub learners: BTreeSet<ReplicaId>,
}

/// Single-server change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Add a replica as a learner, so that it receives entries.
    AddLearner(ReplicaId),
    /// Promote a learner to a voter.
    Promote(ReplicaId),
    /// Remove a replica.
    Remove(ReplicaId),
}

impl Members {
    /// Returns the smallest number of voters that forms a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether there is no voter, that is, the members are not known yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns whether `id` is a voter or a learner.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// Returns all members, voters first.
    pub fn all(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the members after `change`.
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
