//! Identifiers of log entries, replicas and clusters.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Term of a leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Index of an entry in the log. The first entry has index 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

impl Index {
    /// Returns the following index.
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// Returns the preceding index, or zero for zero.
    pub fn prev(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

/// Index and term of an entry. Ordered as Raft compares logs: by term, then by
/// index.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// Identifier of a replica: the slot of its VM and the identity of its data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Slot of the control VM, from the settings.
    pub slot: u32,
    /// Random number created with the data folder.
    pub identity: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:016x}", self.slot, self.identity)
    }
}

/// Identifier of a cluster. Messages from other clusters are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClusterId(pub u64);
