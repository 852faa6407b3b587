//! Commands replicated through the log, and their replies.

use super::claims::{ClaimKey, ClaimVerdict, Outcome, RouterProcess};
use super::encoding::{DecodeStateError, from_bytes, to_bytes};
use super::instances::InstanceChange;
use super::names::{AccountName, RequestId, Revision, TargetName, TemplateName};
use super::objects::{Account, Target, Template};
use super::quarantine::SuspectChange;
use super::release::PublishedRelease;
use super::retry_ledger::RetryChange;
use super::suspect_list::DerivedSuspects;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Writes a template.
    Template(Template),
    /// Writes a client account.
    Account(Account),
    /// Writes a target.
    Target(Target),
    /// Retires a template.
    RetireTemplate(TemplateName),
    /// Retires a client account.
    RetireAccount(AccountName),
    /// Retires a target: it gets no new work.
    RetireTarget(TargetName),
}

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Identifies the request: a resend with the same id gets the first reply.
    pub request_id: RequestId,
    /// Expected revision of the object; zero if it must not exist, `None` to write
    /// unconditionally.
    #[serde(default)]
    pub expected: Option<Revision>,
    /// The change to write.
    pub change: Change,
}

/// A claim of a request that must not be retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Router process that will send the request.
    pub holder: RouterProcess,
    /// Digest of the request; reusing the key with a different body is an error.
    pub digest: u64,
    /// Identifies the attempt; a resend of the same attempt is granted again.
    pub nonce: u64,
}

/// A report of the outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishRequest {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Router process that made the claim.
    pub holder: RouterProcess,
    /// Identifies the attempt that ended.
    pub nonce: u64,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Kind and payload of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandBody {
    /// Applies an operator's change.
    Apply(ApplyRequest),
    /// Claims a request that must not be retried, before its first byte is sent.
    Claim(ClaimRequest),
    /// Records the outcome of a claimed request.
    Finish(FinishRequest),
    /// Reports a lost holder; the requests that it had claimed may have run.
    HolderGone(RouterProcess),
    /// Publishes a release, unless the current one has the same or a higher version.
    Publish(Box<PublishedRelease>),
    /// Records targets that announced themselves, changed or left.
    Instances(Vec<InstanceChange>),
    /// Records retries that were granted to router processes, or no longer count.
    Repeats(Vec<RetryChange>),
    /// Records request contents that crashed targets or were served. An empty list
    /// only removes expired entries.
    Suspects(Vec<SuspectChange>),
    /// Replaces the list of suspects for routers, unless a quarantine was lifted meanwhile.
    SuspectList(DerivedSuspects),
}

/// Kind of a command, for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommandKind {
    /// An operator's change.
    Apply,
    /// A claim of a request.
    Claim,
    /// The outcome of a claimed request.
    Finish,
    /// A lost holder of claims.
    HolderGone,
    /// A release.
    Publish,
    /// Changes of targets.
    Instances,
    /// Retries granted to routers.
    Repeats,
    /// Requests that crashed targets.
    Suspects,
    /// The list of suspects for routers.
    SuspectList,
}

impl CommandKind {
    /// Returns the name in metrics and log lines of the time that applying commands of this
    /// kind takes.
    pub fn apply_label(self) -> &'static str {
        match self {
            Self::Apply => "apply_change",
            Self::Claim => "apply_claim",
            Self::Finish => "apply_finish",
            Self::HolderGone => "apply_holder_gone",
            Self::Publish => "apply_publish",
            Self::Instances => "apply_instances",
            Self::Repeats => "apply_repeats",
            Self::Suspects => "apply_suspects",
            Self::SuspectList => "apply_suspect_list",
        }
    }
}

impl CommandBody {
    /// Returns the kind of the command.
    pub fn kind(&self) -> CommandKind {
        match self {
            Self::Apply(_) => CommandKind::Apply,
            Self::Claim(_) => CommandKind::Claim,
            Self::Finish(_) => CommandKind::Finish,
            Self::HolderGone(_) => CommandKind::HolderGone,
            Self::Publish(_) => CommandKind::Publish,
            Self::Instances(_) => CommandKind::Instances,
            Self::Repeats(_) => CommandKind::Repeats,
            Self::Suspects(_) => CommandKind::Suspects,
            Self::SuspectList(_) => CommandKind::SuspectList,
        }
    }
}

/// A command, stamped with the leader's wall clock, which never moves backward.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Leader's time, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Kind and payload.
    pub body: CommandBody,
}

impl Command {
    /// Encodes the command for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_bytes(self)
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Fails if the bytes have another format version or are damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeStateError> {
        from_bytes(bytes)
    }
}

/// Reason for rejecting a change. A rejected change has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The object is not at the expected revision.
    #[error("conflict: the object is at revision {current}; read it again and apply to that")]
    Conflict {
        /// Current revision of the object.
        current: Revision,
    },
    /// The object does not exist.
    #[error("not found: {what}")]
    NotFound {
        /// Kind and name of the object.
        what: String,
    },
    /// The object is invalid, by itself or together with other objects.
    #[error("invalid: {why}")]
    Invalid {
        /// The violated rule.
        why: String,
    },
    /// The request id was already used for a different change.
    #[error("request id {id} was used for another change; use a new one")]
    RequestIdReused {
        /// The reused id.
        id: RequestId,
    },
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The change was accepted.
    Accepted {
        /// Revision that the change was written as.
        revision: Revision,
    },
    /// The change was not accepted.
    Rejected(Rejection),
    /// Answer to a claim.
    Claim(ClaimVerdict),
    /// The command was applied; it has no other result.
    Done,
}
