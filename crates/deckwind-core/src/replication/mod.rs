//! Raft replicated log: terms, pre-vote, leader lease, commit by a majority of
//! *synced* logs, snapshots and single-server membership changes.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", USENIX ATC 2014) with pre-vote, check-quorum and
//! single-server membership change from Ongaro's dissertation (2014, chapters
//! 4, 6 and 9). The addition made here is the identity of a data folder.
//!
//! # Life cycle
//!
//! ```text
//!  empty folder ─► Unformed ─(all others are unformed too)─► genesis ─┐
//!                     │ (others have a cluster)                       ▼
//!                     └─► Join ─► learner ─(caught up)─► voter: Follower ⇄ Candidate ─► Leader
//! ```
//!
//! A replica is identified by its data folder, not by its VM: [`ReplicaId`] holds
//! the slot of the VM and a random identity created with the folder. A replica that
//! restarts with an empty folder has a new identity, so no vote or acknowledgement
//! of the old one counts for it. The leader adds the new identity as a learner; once it
//! has caught up, it removes the old one and promotes the learner to a voter.
//!
//! # Duties of the driver
//!
//! For each batch of events, the driver calls [`Replica::step`] for each event and
//! [`Replica::flush`] once, then carries out the actions: first the sends that need
//! no sync, then the writes, a **sync**, the other sends, and [`Event::Synced`].

mod admission;
mod contacts;
mod election;
mod fence;
mod follower;
mod ids;
mod join;
mod leader;
mod log;
mod member_notes;
mod members;
mod message;
mod replica;
mod rounds;
mod types;

pub use fence::{Fence, FenceIssuer, FenceSupport};
pub use ids::{ClusterId, Index, Position, ReplicaId, Term};
pub use log::{Entry, Log, Payload};
pub use member_notes::{
    JoinSearch, MemberChangeReason, MemberDecision, Membership, WaitReason, WaitingReplica,
};
pub use members::{MemberChange, Members};
pub use message::{Body, Message};
pub use replica::Replica;
pub use types::SeedDiscovery;
pub use types::{
    Action, Event, HardState, ProposalRefusal, ReplicaConfig, Role, SnapshotMeta, Stored, Timing,
};
