//! What routers and the leader tell each other of limits that targets name.

use crate::rate::Rate;
use crate::replication::Term;
use crate::state::{Instance, Life};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The target that a limit is of: one life at one address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey {
    /// Where it is.
    pub address: SocketAddr,
    /// Which life of it.
    pub life: Life,
}

impl LimitKey {
    /// Of a target as it is known.
    pub fn of(instance: &Instance) -> Self {
        Self {
            address: instance.address,
            life: instance.life(),
        }
    }
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "target={} life={}", self.address, self.life)
    }
}

/// A moment of one leader. Moments of different leaders can't be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderTime {
    /// The leader's term.
    pub term: Term,
    /// By its clock.
    pub at: Instant,
}

/// What a router has heard of a target's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitHeard {
    /// The target.
    pub target: LimitKey,
    /// The limit that it last named.
    pub rate: Rate,
    /// How long ago that was heard.
    pub ago: Duration,
    /// When the leader issued the permit of the request that was so answered: the
    /// answer was written later. Nothing where there was no permit.
    pub permitted: Option<LeaderTime>,
    /// The same of an answer since that named none.
    pub none_named: Option<LeaderTime>,
}

/// What a renewal tells of limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The list of limited targets that the router has.
    pub known: Option<LimitRevision>,
    /// What it has heard since it last told.
    pub heard: Vec<LimitHeard>,
}

/// Names a list of limited targets: it changes when one is added or taken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRevision {
    /// Term of the leader that keeps the list.
    pub term: Term,
    /// Counts its changes.
    pub changes: u64,
}

/// All limited targets, as the leader knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitList {
    /// Names the list.
    pub revision: LimitRevision,
    /// The targets.
    pub limits: Vec<NamedLimit>,
}

/// A limit as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// The target.
    pub target: LimitKey,
    /// The limit.
    pub rate: Rate,
    /// How long ago an answer last named it.
    pub ago: Duration,
}

/// A router wants to send requests to a limited target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The limit as the router knows it.
    pub heard: LimitHeard,
    /// How many requests wait for a permit.
    pub wants: u32,
}

/// What a router may send to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// The target has no limit any more.
    Unlimited,
    /// As many requests as there are entries: how long until each may be sent.
    Permitted(Vec<Duration>),
    /// None; worth asking again after this time.
    Denied(Duration),
}

/// What the leader answers to a router that wants permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// When it answered.
    pub at: LeaderTime,
    /// In the order of the question.
    pub verdicts: Vec<PermitVerdict>,
}
