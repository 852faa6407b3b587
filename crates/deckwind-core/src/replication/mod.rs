//! A replicated log of our own: terms, pre-vote, leader lease, commit by a
//! majority of *synced* logs, snapshots and one-at-a-time membership change.
//!
//! The method is Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", USENIX ATC 2014) with pre-vote, check-quorum and
//! single-server membership change from Ongaro's dissertation (2014, chapters
//! 4, 6 and 9). What is added here is the identity of a data folder.
//!
//! # Life cycle
//!
//! ```text
//!  empty folder ─► Unformed ─(all others are unformed too)─► genesis ─┐
//!                     │ (others have a cluster)                       ▼
//!                     └─► Join ─► learner ─(caught up)─► voter: Follower ⇄ Candidate ─► Leader
//! ```
//!
//! A replica is its data folder, not its VM: [`ReplicaId`] holds the slot (which
//! VM) and a random identity made with the folder. One that comes back with an
//! empty folder has a new identity, so no vote or acknowledgement of the old
//! one counts for it. The leader first removes the old identity, then adds the
//! new one as a learner, then makes it a voter.
//!
//! # The driver's part
//!
//! Per batch of events: call [`Replica::step`] for each, [`Replica::flush`]
//! once, then carry out the actions: first the sends that need no sync, then
//! write, **sync**, then the other sends, then [`Event::Synced`].

mod election;
mod follower;
mod ids;
mod join;
mod leader;
mod log;
mod members;
mod message;
mod order;
mod replica;
mod types;

pub use ids::{ClusterId, Index, Position, ReplicaId, Term};
pub use log::{Entry, Log, Payload};
pub use members::{MemberChange, Members};
pub use message::{Body, Message};
pub use order::{Fence, FenceCheck, OrderIssuer};
pub use replica::Replica;
pub use types::BySeeds;
pub use types::{
    Action, Event, HardState, Refusal, ReplicaConfig, Role, SnapshotMeta, Stored, Timing,
};
