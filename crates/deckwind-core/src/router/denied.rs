//! Reasons for refusing a request. A refused request was not run.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Stable refusal codes, as sent to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum DeniedCode {
    /// The bearer key belongs to no account.
    #[error("the bearer key is not known here")]
    UnknownKey,
    /// The template does not exist.
    #[error("there is no such template")]
    UnknownTemplate,
    /// The template serves another kind of request.
    #[error("the template serves another kind of request")]
    WrongTemplate,
    /// The account is over its rate limit.
    #[error("the account is over its limit")]
    OverLimit,
    /// The request could not start before its deadline.
    #[error("it could not be started before its deadline")]
    Deadline,
    /// The queue is full.
    #[error("too many requests wait already")]
    QueueFull,
    /// This router's lease has expired.
    #[error("this router is cut off from the control replicas")]
    NoLease,
    /// The router is shutting down.
    #[error("this router is stopping")]
    Draining,
    /// Targets have crashed on this request content, under any request ID, and it is
    /// quarantined as a poison request.
    #[error("targets have ended under this request")]
    Quarantined,
    /// No target can run the request at the moment.
    #[error("no targets can run it at the moment")]
    NoTargets,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Reason for the refusal.
    pub code: DeniedCode,
    /// Time after which a retry may succeed, or `None` if no retry can.
    pub retry_after: Option<Duration>,
}

impl Denied {
    /// Creates a refusal that no retry can change.
    pub fn permanent(code: DeniedCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Creates a refusal that a retry after `retry_after` may change.
    pub fn retryable(code: DeniedCode, retry_after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(retry_after),
        }
    }
}
