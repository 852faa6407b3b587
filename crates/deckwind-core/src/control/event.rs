//! Events that drive a control replica, and the actions its driver must perform.

use super::announcement_reports::AnnouncementReport;
use super::limit_messages::LimitKey;
use super::mass_silence::HeldSilence;
use super::messages::{ControlReply, ControlRequest};
use super::operator::{OperatorReply, OperatorRequest};
use super::orders::OrderBatch;
use super::placement_manager::PlacementOrder;
use super::relay_messages::RelayedRequest;
use super::target_limiter::LimitChange;
use crate::replication::{Action, Entry, Event, SnapshotMeta};
use crate::state::{ClaimLimits, Incarnation, LayerRange, TargetName, VmName};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Limits and intervals of a control replica.
#[derive(Clone, Copy, Debug)]
pub struct ControlLimits {
    /// Number of entries after which the log is compacted into a snapshot.
    pub compact_after: usize,
    /// Size of entries in bytes after which the log is compacted. Whole releases are
    /// large, and a replica that starts applies all entries before it serves; the limit
    /// corresponds to about ten releases of 250 routes.
    pub compact_bytes: usize,
    /// Longest time a renewal waits for a change.
    pub max_renewal_wait: Duration,
    /// Rate at which a leader sends state beside leases, bytes per second.
    pub state_bytes_per_s: f64,
    /// Interval at which targets announce themselves.
    pub announce_every: Duration,
    /// Limits on claims.
    pub claims: ClaimLimits,
}

/// Default interval at which targets announce themselves.
pub const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Valid range of the interval at which targets announce themselves.
pub const ANNOUNCE_INTERVAL_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(60);

/// Default link speed of a control VM in Mbit/s: the least that small VMs have.
const DEFAULT_LINK_MBPS: f64 = 100.0;

/// Share of the link that may carry state. The other half is left to leases, log entries
/// and heartbeats: the messages to 195 routers under load take 1.1 MB/s, 0.05 of a link
/// of 170 Mbit/s, and releases also go to four followers.
const STATE_LINK_SHARE: f64 = 0.5;

impl ControlLimits {
    /// Returns the rate of state, in bytes per second, that a link of the given speed may
    /// carry.
    pub fn state_rate_for_link(link_mbps: f64) -> f64 {
        const BYTES_PER_MBIT: f64 = 125_000.0;
        link_mbps * BYTES_PER_MBIT * STATE_LINK_SHARE
    }
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            compact_after: 4_096,
            compact_bytes: 1 << 20,
            max_renewal_wait: Duration::from_millis(400),
            state_bytes_per_s: Self::state_rate_for_link(DEFAULT_LINK_MBPS),
            announce_every: DEFAULT_ANNOUNCE_INTERVAL,
            claims: ClaimLimits::default(),
        }
    }
}

/// An input to a control replica.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Passage of time, for all but the replicated log, which has a tick of its own.
    Tick,
    /// An event for the replicated log: a message, a completed sync, a completed
    /// compaction.
    Replica(Event),
    /// A request of a router.
    Request {
        /// Token returned with the reply.
        token: u64,
        /// The request.
        request: ControlRequest,
    },
    /// A request of a router that another replica forwarded.
    Relayed {
        /// Token returned with the reply.
        token: u64,
        /// Slot of the forwarding replica.
        from: u32,
        /// The request and its waiting time.
        request: RelayedRequest,
    },
    /// Answers of the leader to requests forwarded by this replica, with their local
    /// tokens.
    Answered(Vec<(u64, ControlReply)>),
    /// End of a batch of orders.
    OrdersDone {
        /// The target.
        target: TargetName,
        /// Whether the target accepted all orders.
        accepted: bool,
    },
    /// Result of a reachability check of a target.
    Checked {
        /// The checked incarnation.
        incarnation: Incarnation,
        /// Whether the incarnation appears to be reachable.
        is_running: bool,
    },
    /// Report of the announcements that another replica has received.
    AnnouncementReport(AnnouncementReport),
    /// Pace reported by an engine.
    Pace {
        /// Address of the engine.
        address: SocketAddr,
        /// Time per unit of work, in percent of the usual time.
        percent: u32,
    },
    /// End of a layer placement order.
    PlacementDone {
        /// The incarnation that received the order.
        incarnation: Incarnation,
        /// Layers that the incarnation held afterwards, if known.
        held: Option<LayerRange>,
    },
    /// A request of an operator.
    Operator {
        /// Token returned with the reply.
        token: u64,
        /// The request.
        request: OperatorRequest,
    },
}

/// An action that the driver must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAction {
    /// An action of the replicated log. [`Action::Apply`] and the results of proposals
    /// are handled internally and never emitted.
    Replica(Action),
    /// Answer a router.
    Reply {
        /// Token of the request.
        token: u64,
        /// The reply.
        reply: ControlReply,
    },
    /// Answer an operator.
    OperatorReply {
        /// Token of the request.
        token: u64,
        /// The reply.
        reply: OperatorReply,
    },
    /// Write this snapshot and a log that starts after it, then report
    /// [`Event::SnapshotSynced`].
    Compact {
        /// Position and members covered by the snapshot.
        meta: SnapshotMeta,
        /// Serialized state.
        data: Vec<u8>,
        /// Entries after the snapshot.
        rest: Vec<Entry>,
    },
    /// Send these orders, then report [`ControlEvent::OrdersDone`].
    Order(OrderBatch),
    /// Order an engine to hold other layers, then report [`ControlEvent::PlacementDone`].
    Place(PlacementOrder),
    /// Check whether a target is reachable, then report [`ControlEvent::Checked`].
    Check {
        /// The incarnation to check.
        incarnation: Incarnation,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Probe an engine for its pace and report [`ControlEvent::Pace`] if it answers.
    ProbePace {
        /// Address of the engine.
        address: SocketAddr,
    },
    /// Forward requests of routers to the leader. The message may be lost.
    ForwardRequests {
        /// Slot of the leader.
        slot: u32,
        /// The requests.
        requests: Vec<RelayedRequest>,
    },
    /// Report the announcements received by this replica to the leader. The message may
    /// be lost.
    ReportAnnouncements {
        /// Slot of the leader.
        slot: u32,
        /// The report.
        heard: AnnouncementReport,
    },
    /// Log and count a decision of the leader on an incarnation of a target.
    LogIncarnationDecision(IncarnationDecision),
    /// Log a target that is not heard and not marked as silent, as many others aren't heard
    /// either.
    LogHeldSilence(HeldSilence),
    /// Log and count a decision of the leader on a limit named by a target.
    LogLimitDecision(LimitDecision),
    /// Stop at once, as committed data cannot be decoded. Continuing would let the state
    /// of this replica diverge from that of the others.
    Stop(DecodeError),
}

/// Committed data that cannot be decoded because a newer version wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// A command in the log.
    #[error("the command at index {index} is of another version; update this replica")]
    Command {
        /// Index of the command.
        index: u64,
    },
    /// A snapshot from the leader.
    #[error("the leader's snapshot is of another version; update this replica")]
    Snapshot,
}

/// A decision of the leader on a limit named by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitDecision {
    /// The target.
    pub target: LimitKey,
    /// Change of the target's limit.
    pub change: LimitChange,
    /// The router that received the limit.
    pub by: VmName,
    /// Time since the router received the limit.
    pub ago: Duration,
}

/// A decision of the leader on an incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IncarnationDecision {
    /// The incarnation ended, as a newer one of the same target announced itself.
    Ended {
        /// The ended incarnation.
        incarnation: Incarnation,
        /// The newer incarnation.
        by: Incarnation,
    },
    /// The incarnation is unconfirmed and was ignored, as it announced an earlier start
    /// than incarnations that are still announcing themselves.
    Unconfirmed {
        /// The unconfirmed incarnation.
        incarnation: Incarnation,
        /// The first of the incarnations still active.
        over: Incarnation,
    },
}
