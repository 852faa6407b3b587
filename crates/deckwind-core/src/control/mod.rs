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
mod derivation_schedule;
mod engine_load;
mod event;
mod full_engines;
mod grants;
mod incarnations;
mod limit_handlers;
mod limit_messages;
mod maintenance;
mod mass_silence;
mod messages;
mod operator;
mod orders;
mod parked_renewals;
mod peer_routers;
mod pending;
mod placement_groups;
mod placement_handlers;
mod placement_manager;
mod relay;
mod relay_messages;
mod reply_schedule;
mod report_buffer;
mod requests;
mod retry_budget_allocator;
mod retry_handlers;
mod retry_messages;
mod scan_counts;
mod slow_engines;
mod state_rate_limiter;
mod status;
mod target_checks;
mod target_limiter;
mod tracked_allowance;
mod tunnel_messages;
mod urgent_changes;
mod work_log;

pub use announcement_fault::AnnouncementFault;
pub use announcement_reports::AnnouncementReport;
pub use control_core::ControlCore;
pub use event::{
    ANNOUNCE_INTERVAL_RANGE, ControlAction, ControlEvent, ControlLimits, DEFAULT_ANNOUNCE_INTERVAL,
    DecodeError, IncarnationDecision, LimitDecision,
};
pub use grants::SentState;
pub use limit_messages::{
    LeaderTime, LimitKey, LimitList, LimitReport, LimitRevision, NamedLimit, PermitAnswer,
    PermitRequest, PermitVerdict, ReceivedLimit,
};
pub use mass_silence::HeldSilence;
pub use messages::{
    ControlReply, ControlRequest, CutReport, EngineFull, EngineLoadUpdate, EngineLoadVersion,
    EnginePace, EngineStreamLoad, Grant, PeerMessage, Renewal,
};
pub use operator::{ConfigurationView, OperatorReply, OperatorRequest};
pub use orders::{MAX_ORDER_FLIGHT_TIME, OrderBatch, OrderKind, TargetOrder};
pub use peer_routers::{PeerList, PeerListVersion, PeerRouter, PeerRouters};
pub use placement_manager::{PlacementManager, PlacementOrder, PlacementStep, UnloadMode};
pub use relay_messages::{RelayedReplies, RelayedRequest, RelayedRequests};
pub use retry_budget_allocator::{RetryBudgetAllocator, RetryCounts};
pub use retry_messages::{PoolRetryReport, RetryGrant, RetryReport};
pub use scan_counts::ScanCounts;
pub use status::{
    ClusterStatus, EngineView, QuarantinedView, ReplicaView, RouterView, WaitingView,
};
pub use target_checks::MAX_MISSED_ANNOUNCEMENTS;
pub use target_limiter::{LimitChange, PERMIT_BURST, PERMIT_TTL, TargetLimiter};
pub use tunnel_messages::{TunnelRefusal, TunnelReply, TunnelRequest};
pub use work_log::{Stopwatch, Work, WorkTime, WorkUnit};
