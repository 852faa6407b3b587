//! Configuration, events and actions of a replica.

use super::ids::{ClusterId, Index, Position, ReplicaId, Term};
use super::log::Entry;
use super::member_notes::MemberDecision;
use super::members::{MemberChange, Members};
use super::message::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// Intervals and timeouts of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout; also the time for which a follower grants no vote after
    /// it received a message from its leader.
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
    /// Upper bound on how much faster one clock runs than another, in parts per 1,000.
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
    /// Returns the duration of the leader lease, counted from the send time of a message
    /// that a majority has answered.
    pub fn lease(&self) -> Duration {
        self.election_min * (1_000 - self.drift_per_mille) / 1_000
    }
}

/// State that must be synced to disk before a message that depends on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
    /// Cluster of this replica.
    pub cluster: Option<ClusterId>,
}

/// Last entry and members that a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Position of the last entry in the snapshot.
    pub last: Position,
    /// Members as of that entry.
    pub members: Members,
}

/// Contents of a replica's data folder at its start.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term, vote and cluster.
    pub hard_state: HardState,
    /// Last entry and members that the snapshot covers.
    pub snapshot: SnapshotMeta,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Configuration of members that discover each other through a few seed addresses
/// instead of a fixed list of slots. A slot is then the IPv4 address of the replica
/// as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedDiscovery {
    /// Whether this replica may form the cluster with the other seeds: it is a seed and
    /// the whole system starts for the first time.
    pub may_form: bool,
    /// Desired number of voters. Unresponsive voters are removed while there are more.
    pub desired_voters: usize,
}

impl SeedDiscovery {
    /// Creates the configuration of the replica at `slot`. It may form the cluster if it is
    /// a seed and the whole system starts for the first time (`is_first_start`), or if its
    /// data folder was created at that start with the same seeds: it may have been stopped
    /// before there was a cluster. A replica that lost its disk remembers nothing.
    pub fn new(
        slot: u32,
        seeds: &BTreeSet<u32>,
        is_first_start: bool,
        first_seeds: Option<&BTreeSet<u32>>,
        desired_voters: usize,
    ) -> Self {
        let remembers = first_seeds == Some(seeds);
        Self {
            may_form: seeds.contains(&slot) && (is_first_start || remembers),
            desired_voters,
        }
    }
}

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Identifier of the replica.
    pub id: ReplicaId,
    /// Slots of all control VMs, including this one; with `seed_discovery`, the slots of the
    /// seeds and of this replica.
    pub slots: BTreeSet<u32>,
    /// Discovery of members through seeds; none if the slots are a fixed list.
    pub seed_discovery: Option<SeedDiscovery>,
    /// Intervals and timeouts of the protocol.
    pub timing: Timing,
    /// Seed of the random number generator for election timeouts and the cluster
    /// identifier.
    pub seed: u64,
    /// Maximum size of the entries in one message, in bytes. A single larger entry is
    /// still sent.
    pub max_batch_bytes: usize,
}

impl ReplicaConfig {
    /// Creates a configuration with the default timing and batch size.
    pub fn new(id: ReplicaId, slots: impl IntoIterator<Item = u32>, seed: u64) -> Self {
        const MAX_BATCH_BYTES: usize = 256 * 1024;
        Self {
            id,
            slots: slots.into_iter().collect(),
            seed_discovery: None,
            timing: Timing::default(),
            seed,
            max_batch_bytes: MAX_BATCH_BYTES,
        }
    }

    /// Returns the number of voters that the cluster has when nothing is lost.
    pub fn desired_voters(&self) -> usize {
        self.seed_discovery
            .map_or(self.slots.len(), |s| s.desired_voters)
    }
}

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message was received.
    Receive(Message),
    /// A client proposes a command for the log.
    Propose {
        /// Number that the resulting action repeats.
        token: u64,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// The settings have changed; these are the slots of the seeds now.
    SeedsChanged(BTreeSet<u32>),
    /// An operator requests a change of the members.
    Change(MemberChange),
    /// The log is synced up to this position.
    Synced(Position),
    /// The driver has synced a snapshot up to this index.
    SnapshotSynced(Index),
}

/// Rejection of a proposal. The command was not appended to any log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalRefusal {
    /// Leader, if another replica is known to be.
    pub leader: Option<ReplicaId>,
}

/// Output of a replica, to be carried out by the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write term, vote and cluster.
    SaveHardState(HardState),
    /// Write entries. They replace all stored entries at or after the index of the first.
    Append(Vec<Entry>),
    /// Replace the state and the log by this snapshot.
    Install {
        /// Last entry and members that the snapshot covers.
        meta: SnapshotMeta,
        /// Encoded state.
        data: Vec<u8>,
    },
    /// Send a message.
    Send {
        /// Message to send.
        message: Message,
        /// Whether all preceding writes must be synced first.
        needs_sync: bool,
    },
    /// Send a snapshot message, filled in with the latest snapshot.
    SendSnapshot {
        /// [`Body::Snapshot`](super::message::Body::Snapshot) message without data.
        message: Message,
    },
    /// Apply these committed entries in order, at any time, and record each with
    /// [`Replica::record_applied`](super::Replica::record_applied).
    Apply(Vec<Entry>),
    /// Log and count a change of the members that this leader has started.
    LogMemberDecision(MemberDecision),
    /// The proposal was appended to the leader's log. It is accepted once the entry at
    /// this position is applied.
    Proposed {
        /// Token of the [`Event::Propose`].
        token: u64,
        /// Position of the entry.
        at: Position,
    },
    /// The proposal was rejected.
    Refused {
        /// Token of the [`Event::Propose`].
        token: u64,
        /// Details of the rejection.
        refusal: ProposalRefusal,
    },
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The members are not known yet.
    Unformed,
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the current term.
    Leader,
}
