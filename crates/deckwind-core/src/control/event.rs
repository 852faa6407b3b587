//! What happens to a control replica, and what its driver must do.

use super::heard::HeardTargets;
use super::limit_desk::LimitChange;
use super::limit_messages::LimitKey;
use super::messages::{ControlReply, ControlRequest};
use super::operator::{OperatorReply, OperatorRequest};
use super::orders::OrderBatch;
use super::placement_desk::PlaceOrder;
use super::relay_messages::RelayedRequest;
use crate::replication::{Action, Entry, Event, SnapshotMeta};
use crate::state::{ClaimLimits, LayerRange, Life, TargetName, VmName};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Bounds of a control replica.
#[derive(Clone, Copy, Debug)]
pub struct ControlLimits {
    /// Entries after which the log is folded into a snapshot.
    pub compact_after: usize,
    /// Bytes of entries after which it is: whole releases are large, and a replica
    /// that starts applies them all before it serves: some ten releases of 250
    /// routes.
    pub compact_bytes: usize,
    /// How long a renewal waits for a change.
    pub hold: Duration,
    /// Bytes of state a second that a leader hands out, beside leases.
    pub state_bytes_per_s: f64,
    /// How often targets announce themselves.
    pub announce_every: Duration,
    /// Claims.
    pub claims: ClaimLimits,
}

/// How often targets announce themselves where the settings don't say.
pub const DEFAULT_PERIOD: Duration = Duration::from_millis(1_200);

/// Shortest and longest such time that can be meant.
pub const PERIODS: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(60);

/// Link of a control VM where the settings name none, Mbit/s: what small VMs
/// have at least.
const DEFAULT_LINK_MBPS: f64 = 100.0;

/// Part of the link that state may take. The other half is for leases, log
/// entries and heartbeats: 195 routers under load hear 1.1 MB/s, 0.05 of a link
/// of 170 Mbit/s, and releases go to four followers.
const STATE_PART: f64 = 0.5;

impl ControlLimits {
    /// Bytes of state a second that may leave through a link of so many Mbit/s.
    pub fn state_pace(link_mbps: f64) -> f64 {
        const BYTES_PER_MBIT: f64 = 125_000.0;
        link_mbps * BYTES_PER_MBIT * STATE_PART
    }
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            compact_after: 4_096,
            compact_bytes: 1 << 20,
            hold: Duration::from_millis(400),
            state_bytes_per_s: Self::state_pace(DEFAULT_LINK_MBPS),
            announce_every: DEFAULT_PERIOD,
            claims: ClaimLimits::default(),
        }
    }
}

/// What happens to a control replica.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time passed.
    Tick,
    /// Something for the replica: a message, a sync, a compaction.
    Replica(Event),
    /// A router's request.
    Request {
        /// Comes back with the reply.
        token: u64,
        /// It.
        request: ControlRequest,
    },
    /// A router's request that another replica passed on.
    Relayed {
        /// Comes back with the reply.
        token: u64,
        /// Slot of that replica.
        from: u32,
        /// It.
        request: RelayedRequest,
    },
    /// The leader has answered requests that this replica passed on: their tokens
    /// here, and the answers.
    Answered(Vec<(u64, ControlReply)>),
    /// A batch of orders is over.
    OrdersDone {
        /// The target.
        target: TargetName,
        /// Whether it took all of them.
        taken: bool,
    },
    /// A target was asked whether it is there.
    Checked {
        /// The life that was meant.
        life: Life,
        /// Whether it is there, as far as can be told.
        there: bool,
    },
    /// What another replica has heard of targets.
    Heard(HeardTargets),
    /// An engine told its pace.
    Pace {
        /// The engine.
        address: SocketAddr,
        /// Time that its work takes, in hundredths of the usual one.
        percent: u32,
    },
    /// An order to place layers is over.
    Placed {
        /// The life that the order was for.
        life: Life,
        /// What it then held, where that is known.
        held: Option<LayerRange>,
    },
    /// An operator's request.
    Operator {
        /// Comes back with the reply.
        token: u64,
        /// It.
        request: OperatorRequest,
    },
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAction {
    /// See [`Action`]; [`Action::Apply`] and proposals never come out here.
    Replica(Action),
    /// Answer a router.
    Reply {
        /// From the request.
        token: u64,
        /// The answer.
        reply: ControlReply,
    },
    /// Answer an operator.
    OperatorReply {
        /// From the request.
        token: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// Write this snapshot and a log that starts after it, then report
    /// [`Event::Compacted`].
    Compact {
        /// What it covers.
        meta: SnapshotMeta,
        /// The state.
        data: Vec<u8>,
        /// Entries after it.
        rest: Vec<Entry>,
    },
    /// Send these orders, then report [`ControlEvent::OrdersDone`].
    Order(OrderBatch),
    /// Have an engine hold other layers, then report [`ControlEvent::Placed`].
    Place(PlaceOrder),
    /// Ask a target whether it is there, then report
    /// [`ControlEvent::Checked`].
    Check {
        /// The life that is meant.
        life: Life,
        /// Where it is.
        address: SocketAddr,
    },
    /// Ask an engine for its pace, then report [`ControlEvent::Pace`] if it
    /// answers.
    AskPace {
        /// The engine.
        address: SocketAddr,
    },
    /// Pass requests of routers on to the leader. They may be lost.
    PassOn {
        /// The leader's slot.
        slot: u32,
        /// They.
        requests: Vec<RelayedRequest>,
    },
    /// Tell the leader whom this replica has heard. It may be lost.
    TellHeard {
        /// The leader's slot.
        slot: u32,
        /// Them.
        heard: HeardTargets,
    },
    /// What the leader decided on a life of a target, for logs and counts.
    NoteLife(LifeNote),
    /// What the leader decided on a limit that a target named, for logs and counts.
    NoteLimit(LimitNote),
    /// Stop at once: what was agreed can't be read here. Going on would let this
    /// replica's state differ from the others'.
    Stop(Unreadable),
}

/// What can't be read: it was written by a newer version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unreadable {
    /// A command in the log.
    #[error("the command at index {index} is of another version; update this replica")]
    Command {
        /// Its index.
        index: u64,
    },
    /// A snapshot from the leader.
    #[error("the leader's snapshot is of another version; update this replica")]
    Snapshot,
}

/// What the leader decided on a limit that a target named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitNote {
    /// The target.
    pub target: LimitKey,
    /// What became of its limit.
    pub change: LimitChange,
    /// The router that heard it.
    pub by: VmName,
    /// How long ago it had.
    pub ago: Duration,
}

/// What the leader decided on a life of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LifeNote {
    /// A newer life of the same target has announced itself.
    Ended {
        /// The life that is over.
        life: Life,
        /// The newer one.
        by: Life,
    },
    /// It told an earlier start than lives that still speak, and doesn't count.
    Doubted {
        /// It.
        life: Life,
        /// The first of them.
        over: Life,
    },
}
