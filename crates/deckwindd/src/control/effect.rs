//! Effects of a control replica's work, which its caller performs.

use deckwind_core::control::{
    AnnouncementReport, HeldSilence, IncarnationDecision, LimitDecision, OperatorReply, OrderBatch,
    PlacementOrder, RelayedRequest,
};
use deckwind_core::replication::MemberDecision;
use deckwind_core::state::Incarnation;
use deckwind_wire::{ControlReply, Message};
use std::net::SocketAddr;

/// Action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another replica.
    Send(Message),
    /// Forward requests of routers to the replica of this slot, the leader.
    ForwardRequests(u32, Vec<RelayedRequest>),
    /// Report to the replica of this slot, the leader, the targets whose announcements
    /// this replica has received.
    ReportAnnouncements(u32, AnnouncementReport),
    /// Answer a router.
    Reply(u64, ControlReply),
    /// Answer an operator.
    OperatorReply(u64, OperatorReply),
    /// Send orders to a target.
    Order(OrderBatch),
    /// Order an engine to hold other layers.
    Place(PlacementOrder),
    /// Check whether this incarnation of a target still runs.
    Check(Incarnation, SocketAddr),
    /// Log and count a decision about an incarnation of a target.
    LogIncarnationDecision(IncarnationDecision),
    /// Log a target whose silence is not acted upon.
    LogHeldSilence(HeldSilence),
    /// Log the start, change or end of a target's rate limit.
    LogLimitDecision(LimitDecision),
    /// Log and count a change of the members.
    LogMemberDecision(MemberDecision),
    /// Query the pace of an engine.
    ProbePace(SocketAddr),
}

/// Performs effects at once, in the middle of the replica's work: a heartbeat must not wait
/// for the work that comes after it.
pub trait EffectSink {
    /// Performs an effect.
    fn perform(&mut self, effect: Effect);
}

impl EffectSink for Vec<Effect> {
    fn perform(&mut self, effect: Effect) {
        self.push(effect);
    }
}
