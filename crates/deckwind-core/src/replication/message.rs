//! Messages between replicas.

use super::ids::{ClusterId, Index, Position, ReplicaId, Term};
use super::log::Entry;
use super::types::SnapshotMeta;
use crate::time::Instant;
use serde::{Deserialize, Serialize};

/// Message from one replica to another. Messages may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Cluster of the sender; none while the sender is unformed.
    pub cluster: Option<ClusterId>,
    /// Sender of the message.
    pub from: ReplicaId,
    /// Slot of the receiver.
    pub to_slot: u32,
    /// Identity of the receiver; none to address any replica at the slot.
    pub to_identity: Option<u64>,
    /// Term of the sender.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote. Does not change its state.
    PreVote {
        /// Position of the last entry in the sender's log.
        last: Position,
    },
    /// Answer to a pre-vote request.
    PreVoteReply {
        /// Whether the sender would grant the vote.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Position of the last entry in the sender's log.
        last: Position,
    },
    /// Answer to a vote request, sent after the vote was synced.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    Append {
        /// Position of the entry before the first of `entries`; the receiver's log must
        /// contain it.
        prev: Position,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Last index that the sender knows to be committed.
        commit: Index,
        /// Send time by the leader's clock; repeated in the reply.
        sent: Instant,
    },
    /// Answer to entries or a snapshot, sent after they were synced.
    AppendReply {
        /// Last index at which the log matches the leader's; if not `agreed`, the last
        /// index at which it may match.
        matched: Index,
        /// Whether the log contains `prev`.
        agreed: bool,
        /// Send time from the message that this answers.
        sent: Instant,
    },
    /// Snapshot, sent if the leader's log no longer holds the entries that the receiver
    /// needs.
    Snapshot {
        /// Last entry and members that the snapshot covers.
        meta: SnapshotMeta,
        /// Encoded state.
        data: Vec<u8>,
        /// Send time by the leader's clock; repeated in the reply.
        sent: Instant,
    },
    /// Asks to join the cluster. Sent by a replica that is not a member or seems to have
    /// been removed.
    Join {
        /// Whether the sender has neither members nor a cluster. A new cluster may be
        /// formed only of such replicas.
        unformed: bool,
    },
}
