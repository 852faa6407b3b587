//! Why a request was not served. None of these requests was run.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Stable codes of refusals, as callers see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum DeniedCode {
    /// The bearer key is no account's.
    #[error("the bearer key is not known here")]
    UnknownKey,
    /// No such template.
    #[error("there is no such template")]
    UnknownTemplate,
    /// The template is for another kind of request.
    #[error("the template serves another kind of request")]
    WrongTemplate,
    /// The account is over its limit.
    #[error("the account is over its limit")]
    OverLimit,
    /// It could not start before its deadline.
    #[error("it could not be started before its deadline")]
    Deadline,
    /// Too many requests wait already.
    #[error("too many requests wait already")]
    QueueFull,
    /// This router's lease has run out.
    #[error("this router is cut off from the control replicas")]
    NoLease,
    /// The router is stopping.
    #[error("this router is stopping")]
    Draining,
    /// Targets have ended under it, with whichever id it came.
    #[error("targets have ended under this request")]
    Quarantined,
    /// No targets can run it at the moment.
    #[error("no targets can run it at the moment")]
    NoTargets,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Why.
    pub code: DeniedCode,
    /// When another try helps; nothing if none does.
    pub retry_after: Option<Duration>,
}

impl Denied {
    /// A refusal that no later try changes.
    pub fn for_good(code: DeniedCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// A refusal that a later try may change.
    pub fn for_now(code: DeniedCode, retry_after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(retry_after),
        }
    }
}
