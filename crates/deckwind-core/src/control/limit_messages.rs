//! Messages between routers and the leader about the rate limits that targets announce.

use crate::rate::Rate;
use crate::replication::Term;
use crate::state::{Incarnation, Instance};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Target to which a limit applies: one incarnation at one address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey {
    /// Address of the target.
    pub address: SocketAddr,
    /// Incarnation of the target.
    pub life: Incarnation,
}

impl LimitKey {
    /// Returns the key of a known target.
    pub fn of(instance: &Instance) -> Self {
        Self {
            address: instance.address,
            life: instance.incarnation(),
        }
    }
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "target={} life={}", self.address, self.life)
    }
}

/// Time by the clock of one leader. Times of different leaders can't be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderTime {
    /// Term of the leader.
    pub term: Term,
    /// Time by the leader's clock.
    pub at: Instant,
}

/// Limit of a target as a router received it in answers of the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedLimit {
    /// The target.
    pub target: LimitKey,
    /// Last limit that the target announced.
    pub rate: Rate,
    /// Time since the answer with that limit arrived.
    pub ago: Duration,
    /// Time at which the leader issued the permit of the request that was answered with
    /// the limit. The answer was written later than that. `None` if the request had no
    /// permit.
    pub permitted: Option<LeaderTime>,
    /// The same for an answer received since then that announced no limit.
    pub none_named: Option<LeaderTime>,
}

/// Part of a renewal that is about limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Revision of the list of limited targets that the router has.
    pub known: Option<LimitRevision>,
    /// Limits received since the router's last report.
    pub heard: Vec<ReceivedLimit>,
}

/// Revision of a list of limited targets. It changes when a target is added or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRevision {
    /// Term of the leader that keeps the list.
    pub term: Term,
    /// Number of changes to the list in that term.
    pub changes: u64,
}

/// All limited targets known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitList {
    /// Revision of the list.
    pub revision: LimitRevision,
    /// Limits of the targets.
    pub limits: Vec<NamedLimit>,
}

/// Limit of a target as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// The target.
    pub target: LimitKey,
    /// Rate limit of the target.
    pub rate: Rate,
    /// Time since an answer last announced the limit.
    pub ago: Duration,
}

/// A router's request for permits to send to a limited target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Limit as known to the router.
    pub heard: ReceivedLimit,
    /// Number of requests that wait for a permit.
    pub wants: u32,
}

/// Leader's decision on the permits for one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// The target is not limited any more.
    Unlimited,
    /// One permit per entry, with the time until its request may be sent.
    Permitted(Vec<Duration>),
    /// No permits; the router should request permits again after this time.
    Denied(Duration),
}

/// Leader's answer to a router's request for permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Time of the answer.
    pub at: LeaderTime,
    /// Decisions, in the order of the request.
    pub verdicts: Vec<PermitVerdict>,
}
