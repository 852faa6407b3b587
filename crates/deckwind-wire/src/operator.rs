//! JSON answers of the control replicas to the operators' command line.

use deckwind_core::state::{Rejection, Revision, VmName};
use serde::{Deserialize, Serialize};

/// Answer to a change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedAnswer {
    /// Revision of the accepted change.
    pub revision: Revision,
    /// Whether the revision is in force on every router.
    pub in_force: bool,
    /// Routers that may still act on an older revision.
    pub lagging: Vec<VmName>,
}

/// Answer to a change that was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedAnswer {
    /// Human-readable reason.
    pub message: String,
    /// Machine-readable reason.
    pub rejection: Rejection,
}

/// Answer of a replica that is not the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeaderAnswer {
    /// Slot of the leader, if known.
    pub leader: Option<u32>,
}

/// Answer for any other error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// Description of the error and of what to do about it.
    pub error: String,
}

impl ErrorAnswer {
    /// Creates an answer with an error text.
    pub fn new(error: &str) -> Self {
        Self {
            error: error.to_string(),
        }
    }
}
