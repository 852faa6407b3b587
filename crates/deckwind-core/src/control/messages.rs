//! Messages between routers and control replicas, and between control replicas.

use super::announcement_reports::AnnouncementReport;
use super::limit_messages::{LimitList, LimitReport, PermitAnswer, PermitRequest};
use super::peer_routers::{PeerList, PeerListVersion};
use super::relay_messages::{RelayedReplies, RelayedRequests};
use super::retry_messages::{RetryGrant, RetryReport};
use crate::membership::{AccountDemand, AccountShare, LeaseGrant};
use crate::replication::{Message, Term};
use crate::routing::paths::StreamLoad;
use crate::state::{
    AccountName, ClaimRequest, ClaimVerdict, DataCentre, Delta, FinishRequest, PackedDelta,
    Revision, RouterProcess, SuspectChange, UnpackError,
};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A request of a router to renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The router process.
    pub holder: RouterProcess,
    /// Revision the router has applied.
    pub applied: Revision,
    /// Address of the router's operator interface, for reports.
    pub admin: SocketAddr,
    /// Demand of each account at this router.
    pub demand: Vec<(AccountName, AccountDemand)>,
    /// Address at which the router accepts tunnels of other routers, if it has one that they
    /// can reach.
    pub tunnels: Option<SocketAddr>,
    /// Version of the list of other routers that this router has.
    pub peers_known: PeerListVersion,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Load of this router's streams by engine.
    pub in_use: Vec<EngineStreamLoad>,
    /// Version of the load totals over all routers that this router has.
    pub use_known: Option<EngineLoadVersion>,
    /// Targets that recently failed this router.
    pub failing: Vec<SocketAddr>,
    /// Retries that the router process holds and requests; `None` if its settings allow
    /// no retries beyond the share of its own requests.
    pub repeats: Option<RetryReport>,
    /// Limits named by targets.
    pub limits: LimitReport,
    /// Memory held for callers and targets that read slowly, bytes.
    pub held_bytes: u64,
}

/// Load of streams at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStreamLoad {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Estimate of the tokens the streams will keep, times the number of layers that keep
    /// them.
    pub layer_tokens: u64,
    /// Streams that are starting there.
    pub begun: u32,
}

impl EngineStreamLoad {
    /// Creates the message for the load at an engine.
    pub fn new(address: SocketAddr, held: StreamLoad) -> Self {
        Self {
            address,
            layer_tokens: held.layer_tokens,
            begun: held.begun,
        }
    }

    /// Returns the load.
    pub fn held(&self) -> StreamLoad {
        StreamLoad {
            layer_tokens: self.layer_tokens,
            begun: self.begun,
        }
    }
}

/// Version of the load totals that a router has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoadVersion {
    /// Term of the leader that sent the totals.
    pub term: Term,
    /// Sequence number, increased with each total that the leader publishes.
    pub number: u64,
}

/// Load totals over all routers, including the receiver, that have changed since the
/// version the router has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoadUpdate {
    /// Version the router has after this update.
    pub upto: EngineLoadVersion,
    /// Whether the list is complete, so that engines not listed have no load. Otherwise
    /// the earlier totals of the other engines remain valid.
    pub all: bool,
    /// Load totals by engine.
    pub engines: Vec<EngineStreamLoad>,
}

/// An engine that refused a request for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFull {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Load at the engine as counted by the router, in layer tokens (tokens times
    /// layers).
    pub layer_tokens: u64,
}

/// A lease granted by the leader, with the changes the router lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Term of the leader.
    pub term: Term,
    /// Duration of the lease from the time it was requested; `None` for the usual
    /// duration. Shorter if the router lacks changes that follow in a later reply.
    pub lasts: Option<Duration>,
    /// Changes since the revision the router has applied. `None` if there are none or if
    /// they follow in a later reply.
    pub delta: Option<PackedDelta>,
    /// Share of this router in the limits of the accounts.
    pub shares: Vec<(AccountName, AccountShare)>,
    /// Number of routers with a live lease.
    pub routers: u32,
    /// Load totals over all routers; `None` if the router has them already.
    pub in_use: Option<EngineLoadUpdate>,
    /// Slots of the control replicas.
    pub replicas: Vec<u32>,
    /// Targets that recently failed a router.
    pub failing: Vec<SocketAddr>,
    /// Retries that the router may use.
    pub repeats: Vec<RetryGrant>,
    /// Engines that refused a request since the last grant to this router.
    pub full: Vec<EngineFull>,
    /// Slow engines.
    pub slow: Vec<EnginePace>,
    /// Targets with a limit; `None` if the router has this list already.
    pub limits: Option<LimitList>,
    /// Other routers through which targets can be reached; `None` if the router has this
    /// list already.
    pub peers: Option<PeerList>,
}

/// Slowdown of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnginePace {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Time per unit of work, in percent of the usual time.
    pub percent: u32,
}

impl Grant {
    /// Returns the lease for a router that requested it at `requested_at`.
    pub fn lease(&self, requested_at: Instant) -> LeaseGrant {
        LeaseGrant {
            requested_at,
            term: self.term,
            duration: self.lasts,
        }
    }

    /// Returns the changes for a router that has applied revision `applied`.
    ///
    /// # Errors
    ///
    /// Fails if the delta cannot be unpacked.
    pub fn changes(&self, applied: Revision) -> Result<Delta, UnpackError> {
        let empty = Delta {
            to: applied,
            ..Delta::default()
        };
        self.delta.as_ref().map_or(Ok(empty), PackedDelta::unpack)
    }
}

/// A request to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Renew the lease of the router. Answered when there is a change to send or after a
    /// bounded wait.
    Renew(Box<Renewal>),
    /// Report targets that have just failed the router.
    Failing(Vec<SocketAddr>),
    /// Release the lease of a router process that has stopped.
    Release(RouterProcess),
    /// Claim a non-repeatable request.
    Claim(ClaimRequest),
    /// Record the end of a claimed request.
    Finish(FinishRequest),
    /// Report that retries are running out. New ones come with the lease.
    Repeats(RouterProcess, RetryReport),
    /// Report engines that have just refused requests for lack of capacity.
    Full(RouterProcess, Vec<EngineFull>),
    /// Report engines that may be slow: streams through them have stalled although all of
    /// these engines are reachable.
    PerhapsSlow(Vec<SocketAddr>),
    /// Request permits to send requests to these limited targets.
    Permits(RouterProcess, Vec<PermitRequest>),
    /// Report interrupted request executions. May be sent more than once.
    CutRuns(CutReport),
}

/// Report on interrupted request executions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CutReport {
    /// Targets whose answers were interrupted, to be checked for reachability.
    pub broke: Vec<SocketAddr>,
    /// Runs that had just begun when their targets crashed, and traits that were served.
    pub changes: Vec<SuspectChange>,
}

/// The answer of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The lease was renewed.
    Granted(Box<Grant>),
    /// The replica did nothing; another replica must be asked.
    NotLeader {
        /// Slot of the leader, if known.
        leader: Option<u32>,
    },
    /// The leader has changed, and the request may or may not have been executed. It
    /// should be sent to the same replica again at once.
    AskAgain,
    /// Verdict on a claim.
    Claim(ClaimVerdict),
    /// Verdicts on requests to limited targets.
    Permits(PermitAnswer),
    /// The request was executed.
    Done,
    /// Leadership was lost during the request, which may or may not have been executed.
    Unknown,
    /// The leader has too much to do and did nothing. The request may be sent again after a
    /// pause.
    Busy,
}

/// A one-way message between control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the replicated log.
    Replication(Message),
    /// Targets that have announced themselves, sent to the leader.
    Heard(AnnouncementReport),
    /// Requests of routers, forwarded to the leader.
    PassedOn(RelayedRequests),
    /// Answers of the leader to forwarded requests.
    Answers(RelayedReplies),
}
