//! Incarnations of targets.
//!
//! An incarnation ([`Incarnation`]) is one run of a target's process, from its start to its
//! end. A target may restart under the same id, and state of the previous incarnation
//! no longer applies. Replicated records, plans and counters therefore identify the
//! incarnation that they refer to.
//!
//! Targets report their start time by clocks that may be wrong. A later start time
//! identifies a newer incarnation. An earlier one may come from a delayed message of
//! an ended incarnation, or from a new incarnation whose clock was set back; it is
//! accepted once the known incarnation is silent.

use super::instances::InstanceId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Identifies one incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The target's id.
    pub id: InstanceId,
    /// Start time, Unix milliseconds by the target's own clock. `None` for targets
    /// that do not report it: all messages of such an id belong to one incarnation.
    pub born: Option<u64>,
}

impl<T: Into<InstanceId>> From<T> for Incarnation {
    /// Creates the incarnation of a target that does not report its start time.
    fn from(id: T) -> Self {
        Self {
            id: id.into(),
            born: None,
        }
    }
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}/{born}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// Relation of an incarnation to the known one of the same target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// The incarnation is the known one.
    Known,
    /// The incarnation is newer than the known incarnation, or none is known.
    Newer,
    /// The incarnation is unconfirmed: newer only if the known incarnation has ended.
    Doubtful,
    /// The incarnation has ended.
    Ended,
}

/// Maximum number of ended incarnations recorded per target. A target that restarts
/// every second has messages of at most its last eight incarnations in flight.
const MAX_ENDED: usize = 8;

/// Start times of the ended incarnations of one target, ordered by their end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EndedIncarnations(VecDeque<Option<u64>>);

impl EndedIncarnations {
    /// Records an ended incarnation.
    pub fn record(&mut self, born: Option<u64>) {
        self.0.retain(|b| *b != born);
        self.0.push_back(born);
        if self.0.len() > MAX_ENDED {
            self.0.pop_front();
        }
    }

    /// Removes an incarnation that was taken for ended, but was only silent.
    pub fn remove(&mut self, born: Option<u64>) {
        self.0.retain(|b| *b != born);
    }

    /// Compares an incarnation that reports the start time `reported` with the known
    /// one; `known` is `None` if no incarnation of the target is active.
    pub fn incarnation_status(
        &self,
        known: Option<Option<u64>>,
        reported: Option<u64>,
    ) -> IncarnationStatus {
        let has_ended = self.0.contains(&reported);
        match known {
            Some(known) if known == reported => IncarnationStatus::Known,
            // A target that once reported its start time always reports it.
            Some(Some(_)) if reported.is_none() => IncarnationStatus::Ended,
            None if reported.is_none() && self.0.iter().any(Option::is_some) => {
                IncarnationStatus::Ended
            }
            // The known incarnation replaced it while it was silent.
            Some(known) if has_ended && reported > known => IncarnationStatus::Doubtful,
            _ if has_ended => IncarnationStatus::Ended,
            Some(known) if reported < known => IncarnationStatus::Doubtful,
            _ => IncarnationStatus::Newer,
        }
    }
}

/// Returns whether an incarnation that reports the start time `reported` may be older
/// than that of another target at the same address. If either does not report a start
/// time, the later message takes precedence and the result is false.
pub(super) fn may_be_older(reported: Option<u64>, other: Option<u64>) -> bool {
    matches!((reported, other), (Some(reported), Some(other)) if reported < other)
}
