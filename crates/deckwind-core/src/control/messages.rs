//! What routers ask of the control replicas, and what they hear.

use crate::membership::{AccountDemand, AccountShare};
use crate::replication::Term;
use crate::state::{
    AccountName, ClaimRequest, ClaimVerdict, DataCentre, Delta, FinishRequest, Holder, Revision,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

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
    /// What its streams hold.
    pub in_use: Vec<PathUse>,
    /// Targets that have failed it lately.
    pub failing: Vec<SocketAddr>,
}

/// What one router's streams hold in one data centre's chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PathUse {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Tokens that they will keep, as far as can be told.
    pub tokens: u64,
    /// Streams.
    pub streams: u32,
}

/// The leader grants a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Leader's term.
    pub term: Term,
    /// What changed since the revision that the router had applied.
    pub delta: Delta,
    /// The router's part of the accounts' limits.
    pub shares: Vec<(AccountName, AccountShare)>,
    /// Routers with a live lease.
    pub routers: u32,
    /// Starts of routers that had a lease lately, for bounds that they share.
    pub routers_lately: u32,
    /// What all other routers' streams hold.
    pub in_use: Vec<PathUse>,
    /// Slots of the control replicas.
    pub replicas: Vec<u32>,
    /// Targets that have just failed some router.
    pub failing: Vec<SocketAddr>,
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
    /// Verdict on a claim.
    Claim(ClaimVerdict),
    /// Done.
    Done,
    /// Leadership was lost on the way: it may or may not have been done.
    Unknown,
}
