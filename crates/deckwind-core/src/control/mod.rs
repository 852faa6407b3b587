//! Decision logic of a control replica, without I/O: it consumes events and returns actions.
//!
//! ```text
//!  ControlRequest ──┐                         ┌─► Reply to a router or operator
//!  OperatorRequest ─┼─► ControlCore ──────────┤
//!  peers' messages ─┤   replica ─► machine    ├─► replica actions: write, sync, send
//!  time ────────────┘   leases, shares, orders└─► Compact, Order
//! ```
//!
//! [`ControlCore`] combines the replicated log, the state machine it drives, the leases of
//! the routers and each router's share of the account limits.
//!
//! Only a leader with a valid lease decides. Other replicas forward the requests of routers
//! to the leader and name it to operators. Every replica accepts announcements of targets.

mod announcement_fault;
mod announcement_reports;
mod announcements;
mod apply;
mod control_core;
mod cut_reports;
mod demand;
mod event;
mod full_engines;
mod grants;
mod in_use;
mod limit_desk;
mod limit_handlers;
mod limit_messages;
mod lives;
mod looks;
mod maintenance;
mod messages;
mod operator;
mod orders;
mod pace;
mod parked_renewals;
mod pending;
mod placement_desk;
mod placement_groups;
mod relay;
mod relay_messages;
mod repeat_desk;
mod repeat_handlers;
mod repeat_messages;
mod requests;
mod slow;
mod status;
mod tracked_allowance;
mod urgent_changes;
mod wake;

pub use announcement_fault::AnnouncementFault;
pub use announcement_reports::HeardTargets;
pub use announcements::SILENT_PERIODS;
pub use control_core::ControlCore;
pub use event::{
    ControlAction, ControlEvent, ControlLimits, DEFAULT_PERIOD, LifeNote, LimitNote, PERIODS,
    Unreadable,
};
pub use limit_desk::{BURST, LimitChange, LimitDesk, PERMIT_FOR};
pub use limit_messages::{
    LeaderTime, LimitHeard, LimitKey, LimitList, LimitReport, LimitRevision, NamedLimit,
    PermitAnswer, PermitAsk, PermitVerdict,
};
pub use looks::Looks;
pub use messages::{
    ControlReply, ControlRequest, CutReport, EngineFull, EnginePace, EngineUse, Grant, PeerMessage,
    Renewal, UseNews, UseNumber,
};
pub use operator::{ConfigurationView, OperatorReply, OperatorRequest};
pub use orders::{ORDER_FLIGHT, OrderBatch, OrderKind, TargetOrder};
pub use placement_desk::{GiveUp, PlaceOrder, PlaceWork, PlacementDesk};
pub use relay_messages::{RelayedReplies, RelayedRequest, RelayedRequests};
pub use repeat_desk::{RepeatCounts, RepeatDesk};
pub use repeat_messages::{PoolReport, RepeatGrant, RepeatReport};
pub use status::{ClusterStatus, EngineView, QuarantinedView, ReplicaView, RouterView};
