//! JSON between the operators' command line and the control replicas.

use deckwind_core::state::{Rejection, Revision, VmName};
use serde::{Deserialize, Serialize};

/// A change was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedAnswer {
    /// As this revision.
    pub revision: Revision,
    /// Whether it is in force on every router.
    pub in_force: bool,
    /// Routers that may still act on an older one.
    pub lagging: Vec<VmName>,
}

/// A change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedAnswer {
    /// For people.
    pub message: String,
    /// For programs.
    pub rejection: Rejection,
}

/// Another replica leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeaderAnswer {
    /// Its slot, where known.
    pub leader: Option<u32>,
}

/// Something else went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// What, and what to do next.
    pub error: String,
}

impl ErrorAnswer {
    /// With a text.
    pub fn new(error: &str) -> Self {
        Self {
            error: error.to_string(),
        }
    }
}
