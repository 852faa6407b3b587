//! What routers ask of the control replicas, and what they hear.

use super::heard::HeardTargets;
use super::limit_messages::{LimitList, LimitReport, PermitAnswer, PermitAsk};
use super::relay_messages::{RelayedReplies, RelayedRequests};
use super::repeat_messages::{RepeatGrant, RepeatReport};
use crate::membership::{AccountDemand, AccountShare, LeaseGrant};
use crate::replication::{Message, Term};
use crate::routing::paths::Held;
use crate::state::{
    AccountName, ClaimRequest, ClaimVerdict, DataCentre, Delta, FinishRequest, Holder, PackedDelta,
    Revision, SuspectChange, Unpackable,
};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A router asks for its lease to be renewed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The router.
    pub holder: Holder,
    /// Revision that it has applied.
    pub applied: Revision,
    /// Its operators' interface, for reports.
    pub admin: SocketAddr,
    /// What accounts asked of it.
    pub demand: Vec<(AccountName, AccountDemand)>,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// What its streams hold.
    pub in_use: Vec<EngineUse>,
    /// What it knows of that of all routers.
    pub use_known: Option<UseNumber>,
    /// Targets that have failed it lately.
    pub failing: Vec<SocketAddr>,
    /// Repeats that it holds and wants; nothing if its settings allow none beyond
    /// the share of its own requests.
    pub repeats: Option<RepeatReport>,
    /// Limits that targets have named.
    pub limits: LimitReport,
    /// What it holds for callers and targets that read slowly, bytes.
    pub held_bytes: u64,
}

/// What streams hold at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUse {
    /// The engine.
    pub address: SocketAddr,
    /// Tokens that they will keep, as far as can be told, times the layers that
    /// keep them.
    pub layer_tokens: u64,
    /// Streams that begin there.
    pub begun: u32,
}

impl EngineUse {
    /// Of what is held at this engine.
    pub fn new(address: SocketAddr, held: Held) -> Self {
        Self {
            address,
            layer_tokens: held.layer_tokens,
            begun: held.begun,
        }
    }

    /// What is held.
    pub fn held(&self) -> Held {
        Held {
            layer_tokens: self.layer_tokens,
            begun: self.begun,
        }
    }
}

/// Up to where a router has heard what the streams of all routers hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseNumber {
    /// Term of the leader that told it.
    pub term: Term,
    /// Rises with all that this leader tells.
    pub number: u64,
}

/// What a router had not heard of what the streams of all routers hold, its own
/// among them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseNews {
    /// Up to where it has heard with this.
    pub upto: UseNumber,
    /// Whether engines that are not named hold nothing; else what was told of them
    /// holds on.
    pub all: bool,
    /// Engines.
    pub engines: Vec<EngineUse>,
}

/// An engine has refused a request for want of room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFull {
    /// The engine.
    pub address: SocketAddr,
    /// What streams held there, as its router counted: tokens times layers.
    pub layer_tokens: u64,
}

/// The leader grants a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Leader's term.
    pub term: Term,
    /// How long the lease lasts from when it was asked for; nothing for its usual
    /// length. Shorter where the router lacks changes that come with a later
    /// answer.
    pub lasts: Option<Duration>,
    /// What changed since the revision that the router had applied. Nothing if
    /// nothing did, or if it comes with a later answer.
    pub delta: Option<PackedDelta>,
    /// The router's part of the accounts' limits.
    pub shares: Vec<(AccountName, AccountShare)>,
    /// Routers with a live lease.
    pub routers: u32,
    /// What the streams of all routers hold; nothing if the router knows.
    pub in_use: Option<UseNews>,
    /// Slots of the control replicas.
    pub replicas: Vec<u32>,
    /// Targets that have just failed some router.
    pub failing: Vec<SocketAddr>,
    /// Repeats that the router may use.
    pub repeats: Vec<RepeatGrant>,
    /// Engines that have refused a request since this router was last told.
    pub full: Vec<EngineFull>,
    /// Engines that are slow.
    pub slow: Vec<EnginePace>,
    /// Targets that are limited; nothing where the router has that list.
    pub limits: Option<LimitList>,
}

/// How slow an engine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnginePace {
    /// The engine.
    pub address: SocketAddr,
    /// Time that its work takes, in hundredths of the usual one.
    pub percent: u32,
}

impl Grant {
    /// The lease, for a router that asked for it then.
    pub fn lease(&self, asked: Instant) -> LeaseGrant {
        LeaseGrant {
            asked,
            term: self.term,
            lasts: self.lasts,
        }
    }

    /// What the router lacks that has applied `applied`.
    pub fn changes(&self, applied: Revision) -> Result<Delta, Unpackable> {
        let none = Delta {
            to: applied,
            ..Delta::default()
        };
        self.delta.as_ref().map_or(Ok(none), PackedDelta::unpack)
    }
}

/// A request to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Renew my lease. Answered when something changed, or after a while.
    Renew(Renewal),
    /// These targets have just failed me.
    Failing(Vec<SocketAddr>),
    /// I have stopped.
    Release(Holder),
    /// Claim a not-repeatable request.
    Claim(ClaimRequest),
    /// A claimed request ended.
    Finish(FinishRequest),
    /// I run short of repeats. What is given comes with the lease.
    Repeats(Holder, RepeatReport),
    /// These engines have just refused requests for want of room.
    Full(Holder, Vec<EngineFull>),
    /// Streams of mine pause though all of these are there: they may be slow.
    PerhapsSlow(Vec<SocketAddr>),
    /// I want to send requests to these limited targets.
    Permits(Holder, Vec<PermitAsk>),
    /// Runs of mine were cut. May be sent again.
    CutRuns(CutReport),
}

/// What a router has to tell of runs that were cut.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CutReport {
    /// Targets whose answers broke off: are they there?
    pub broke: Vec<SocketAddr>,
    /// Contents under which targets ended, or that were served.
    pub changes: Vec<SuspectChange>,
}

/// Answer of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The lease was renewed.
    Granted(Box<Grant>),
    /// Ask another replica; nothing was done.
    NotLeader {
        /// Slot of the leader, where known.
        leader: Option<u32>,
    },
    /// The leader has changed: ask this replica again, now. It may or may not have been
    /// done.
    AskAgain,
    /// Verdict on a claim.
    Claim(ClaimVerdict),
    /// What may be sent to limited targets.
    Permits(PermitAnswer),
    /// Done.
    Done,
    /// Leadership was lost on the way: it may or may not have been done.
    Unknown,
}

/// What control replicas tell each other, one way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of the replicated log.
    Replication(Message),
    /// For the leader: targets that have announced themselves.
    Heard(HeardTargets),
    /// For the leader: requests of routers.
    PassedOn(RelayedRequests),
    /// Its answers.
    Answers(RelayedReplies),
}
