//! Settings, events and actions of a replica.

use super::ids::{ClusterId, Index, Position, ReplicaId, Term};
use super::log::Entry;
use super::members::{MemberChange, Members};
use super::message::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// Periods of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats.
    pub heartbeat: Duration,
    /// Shortest wait before an election; also how long a follower protects its
    /// leader.
    pub election_min: Duration,
    /// Longest wait before an election.
    pub election_max: Duration,
    /// Bound on how much faster one clock runs than another, parts in 1,000.
    pub drift_per_mille: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(600),
            election_max: Duration::from_millis(1_200),
            drift_per_mille: 50,
        }
    }
}

impl Timing {
    /// How long a leader may act after a majority heard from it.
    pub fn lease(&self) -> Duration {
        self.election_min * (1_000 - self.drift_per_mille) / 1_000
    }
}

/// What must be on disk before anything that follows from it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Vote in that term.
    pub voted_for: Option<ReplicaId>,
    /// Cluster it belongs to.
    pub cluster: Option<ClusterId>,
}

/// What a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry in it.
    pub last: Position,
    /// Members as of that entry.
    pub members: Members,
}

/// What a replica finds in its data folder.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Its snapshot.
    pub snapshot: SnapshotMeta,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// Members that find each other by a few addresses instead of a fixed list of
/// slots. A slot is then the replica's IPv4 address as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BySeeds {
    /// Whether this replica may form the cluster with the other seeds: it is one
    /// of them, and the whole system starts for the first time.
    pub may_form: bool,
    /// Voters that are enough: above this number a silent one is taken out.
    pub voters_wanted: usize,
}

/// Who a replica is and how it keeps time.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Its id.
    pub id: ReplicaId,
    /// Slots of all control VMs, this one among them; with `by_seeds`, those
    /// that are known from the start.
    pub slots: BTreeSet<u32>,
    /// How members find each other where the slots are no fixed list.
    pub by_seeds: Option<BySeeds>,
    /// Periods.
    pub timing: Timing,
    /// Seed of its election timeouts.
    pub seed: u64,
    /// Most bytes of entries in one message.
    pub max_batch_bytes: usize,
}

impl ReplicaConfig {
    /// Default periods and bounds.
    pub fn new(id: ReplicaId, slots: impl IntoIterator<Item = u32>, seed: u64) -> Self {
        const MAX_BATCH_BYTES: usize = 256 * 1024;
        Self {
            id,
            slots: slots.into_iter().collect(),
            by_seeds: None,
            timing: Timing::default(),
            seed,
            max_batch_bytes: MAX_BATCH_BYTES,
        }
    }
}

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message arrived.
    Receive(Message),
    /// A client wants a command in the log.
    Propose {
        /// Comes back with the answer.
        token: u64,
        /// The command, encoded.
        command: Vec<u8>,
    },
    /// The settings name other seeds: these slots.
    Seeds(BTreeSet<u32>),
    /// An operator wants other members.
    Change(MemberChange),
    /// Everything up to here is synced.
    Synced(Position),
    /// The driver has synced a snapshot up to here.
    Compacted(Index),
}

/// Why a proposal was not taken. It is in no log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Who leads, where that is known.
    pub leader: Option<ReplicaId>,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write term and vote.
    SaveHardState(HardState),
    /// Write entries; whatever stood at or after the first one goes.
    Append(Vec<Entry>),
    /// Replace state and log by this snapshot.
    Install {
        /// What it covers.
        meta: SnapshotMeta,
        /// The state.
        data: Vec<u8>,
    },
    /// Send a message.
    Send {
        /// It.
        message: Message,
        /// Whether all writes above must be synced first.
        needs_sync: bool,
    },
    /// Send the latest snapshot in place of the data left out here.
    SendSnapshot {
        /// A [`Body::Snapshot`](super::message::Body::Snapshot) without its data.
        message: Message,
    },
    /// Apply these committed entries, in this order.
    Apply(Vec<Entry>),
    /// The proposal stands at this position; it is accepted once applied there.
    Proposed {
        /// From the event.
        token: u64,
        /// Where.
        at: Position,
    },
    /// The proposal was not taken.
    Refused {
        /// From the event.
        token: u64,
        /// Why.
        refusal: Refusal,
    },
}

/// What a replica is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// In no cluster yet.
    Unformed,
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}
