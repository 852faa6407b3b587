//! Keys of the log and of replicas.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A leader's term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Place of an entry in the log; the first is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

impl Index {
    /// The next place.
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// The place before; zero stays zero.
    pub fn prev(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

/// An index with the term of the entry there. Ordered as Raft compares logs:
/// by term, then by index.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Its place.
    pub index: Index,
}

/// A replica: the slot of its VM and the identity of its data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Which control VM, from the settings.
    pub slot: u32,
    /// Random, made with the data folder.
    pub identity: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:016x}", self.slot, self.identity)
    }
}

/// Tells one cluster's messages from another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClusterId(pub u64);
