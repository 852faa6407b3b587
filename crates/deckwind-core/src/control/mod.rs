//! A control replica's decisions: the replicated log, the state it adds up to,
//! the routers' leases and the accounts' shares.
//!
//! ```text
//!  ControlRequest ──┐                         ┌─► Reply to a router or operator
//!  OperatorRequest ─┼─► ControlCore ──────────┤
//!  peers' messages ─┤   replica ─► machine    ├─► replica actions: write, sync, send
//!  time ────────────┘   leases, shares, orders└─► Compact, Order
//! ```
//!
//! Only a leader with a valid lease answers; everybody else names the leader. Targets that
//! announce themselves are heard by every replica.

mod announcement_fault;
mod announcements;
mod applying;
mod control_core;
mod cut_reports;
mod demand;
mod event;
mod full_engines;
mod grants;
mod heard;
mod in_use;
mod limit_desk;
mod limit_handlers;
mod limit_messages;
mod lives;
mod looks;
mod messages;
mod operator;
mod orders;
mod pace;
mod parking;
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
mod upkeep;
mod urgent;
mod wake;

pub use announcement_fault::AnnouncementFault;
pub use announcements::SILENT_PERIODS;
pub use control_core::ControlCore;
pub use event::{
    ControlAction, ControlEvent, ControlLimits, DEFAULT_PERIOD, LifeNote, LimitNote, PERIODS,
    Unreadable,
};
pub use heard::HeardTargets;
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
