//! Requests of operators and targets, and the replies.

use super::announcement_fault::AnnouncementFault;
use super::status::ClusterStatus;
use crate::membership::InForce;
use crate::replication::Role;
use crate::state::{
    Account, ApplyRequest, Configuration, Incarnation, Instance, PublishedRelease, Rejection,
    RequestTrait, Revision, Target, Template,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A request of an operator or a target.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Apply a change and wait until it is in force.
    Apply {
        /// The change.
        request: Box<ApplyRequest>,
        /// Longest time to wait for the change to be in force.
        wait: Duration,
    },
    /// Publish a release. Answered once it is committed.
    Publish(Box<PublishedRelease>),
    /// Read the document of the current release.
    Document,
    /// Announce a target and its state.
    Announce(Box<Instance>),
    /// Record that a target has left: this incarnation, or the known one if no start time
    /// is given.
    Leave(Incarnation),
    /// Read the configuration.
    Configuration,
    /// Read the status of the cluster.
    Status,
    /// Lift the quarantine of requests with this trait.
    Lift(RequestTrait),
}

/// The reply to an operator or a target.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// The change was committed.
    Accepted {
        /// Revision of the change.
        revision: Revision,
        /// Whether the change is in force, or which routers lag.
        in_force: InForce,
    },
    /// The announcement of a ready target was accepted; the target may keep using this
    /// replica.
    Heard,
    /// The incarnation is unconfirmed: one that may be newer still announces itself. The
    /// request should be sent again later.
    Unconfirmed,
    /// The announcement or leave request was rejected.
    NotTaken(AnnouncementFault),
    /// The change was rejected.
    Rejected(Rejection),
    /// Document of the current release; `None` if there is no release.
    Document(Option<Vec<u8>>),
    /// The configuration.
    Configuration(ConfigurationView),
    /// The status of the cluster.
    Status(ClusterStatus),
    /// The replica did nothing; another replica must be asked.
    NotLeader {
        /// Slot of the leader, if known.
        leader: Option<u32>,
    },
    /// Leadership was lost during the request. It should be sent again with the same
    /// request id.
    Unknown,
}

/// The configuration as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Templates, each with its own revision.
    pub templates: Vec<(Revision, Template)>,
    /// Client accounts, each with its own revision.
    pub accounts: Vec<(Revision, Account)>,
    /// Targets, each with its own revision.
    pub targets: Vec<(Revision, Target)>,
}

impl ConfigurationView {
    /// Creates the view of a configuration.
    pub fn of(cfg: &Configuration) -> Self {
        Self {
            revision: cfg.revision(),
            templates: cfg.templates().map(|(t, r)| (r, t.clone())).collect(),
            accounts: cfg.accounts().map(|(a, r)| (r, a.clone())).collect(),
            targets: cfg.targets().map(|(t, r)| (r, t.clone())).collect(),
        }
    }
}

/// Writes the name of a role as it appears in logs.
impl std::fmt::Display for Role {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Role::Unformed => "unformed",
            Role::Follower => "follower",
            Role::PreCandidate => "pre-candidate",
            Role::Candidate => "candidate",
            Role::Leader => "leader",
        })
    }
}
