//! What replicas say to each other.

use super::ids::{ClusterId, Index, Position, ReplicaId, Term};
use super::log::Entry;
use super::types::SnapshotMeta;
use crate::time::Instant;
use serde::{Deserialize, Serialize};

/// A message between two replicas. May be lost, doubled or overtaken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender's cluster; nothing while it is unformed.
    pub cluster: Option<ClusterId>,
    /// Sender.
    pub from: ReplicaId,
    /// Slot it goes to.
    pub to_slot: u32,
    /// Identity it is meant for; nothing for "whoever is there".
    pub to_identity: Option<u64>,
    /// Sender's term.
    pub term: Term,
    /// The rest.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// "Would you vote for me?" Changes nothing at the receiver.
    PreVote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether it would.
        granted: bool,
    },
    /// "Vote for me."
    Vote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answer to a vote, sent after it was synced.
    VoteReply {
        /// Whether it did.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    Append {
        /// What must stand before them.
        prev: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// What the sender knows to be committed.
        commit: Index,
        /// Leader's clock when it sent this; comes back in the reply.
        sent: Instant,
    },
    /// Answer to entries, sent after they were synced.
    AppendReply {
        /// Last index that agrees with the leader's log; if not `agreed`, the
        /// last index that may.
        matched: Index,
        /// Whether `prev` was there.
        agreed: bool,
        /// From the message answered.
        sent: Instant,
    },
    /// A snapshot, where the entries are no longer held.
    Snapshot {
        /// What it covers.
        meta: SnapshotMeta,
        /// The state.
        data: Vec<u8>,
        /// Leader's clock when it sent this.
        sent: Instant,
    },
    /// "Take me in." Sent by a replica that is in no cluster's members.
    Join {
        /// Whether it has an empty log: only then may a cluster be formed.
        unformed: bool,
    },
}
