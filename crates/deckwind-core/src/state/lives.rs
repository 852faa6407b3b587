//! Lives of targets: one process of a target, from its start to its end.
//!
//! A target may start again under the id that it had. What was known of the life
//! before holds no longer, so whatever is agreed, planned or counted names the
//! life that it is about.
//!
//! Targets tell the time of their start, by clocks that may be wrong. A start
//! told later is of a newer life. One told earlier may be a late word of a life
//! that is over, or a new life on a clock that went back: it counts once the life
//! that is known has fallen silent.

use super::instances::InstanceId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Names one life of one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The target's id.
    pub id: InstanceId,
    /// When it started, Unix milliseconds by its own clock. Nothing for targets
    /// that don't say: all that such an id says is of one life.
    pub born: Option<u64>,
}

impl<T: Into<InstanceId>> From<T> for Life {
    /// The life of a target that doesn't tell its start.
    fn from(id: T) -> Self {
        Self {
            id: id.into(),
            born: None,
        }
    }
}

impl std::fmt::Display for Life {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}/{born}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// How a life stands to the one that is known under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is the one that is known.
    Known,
    /// It is newer, or there is none.
    Newer,
    /// It is newer only if the one that is known is over.
    Doubtful,
    /// It is over.
    Ended,
}

/// Ended lives that are remembered of one id: a target that starts again each
/// second has words of the last eight on their way at most.
const MAX_ENDED: usize = 8;

/// Starts of the lives of one id that are over, the latest end last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EndedLives(VecDeque<Option<u64>>);

impl EndedLives {
    pub fn note(&mut self, born: Option<u64>) {
        self.0.retain(|b| *b != born);
        self.0.push_back(born);
        if self.0.len() > MAX_ENDED {
            self.0.pop_front();
        }
    }

    /// A life that ended is there again: it had only been silent.
    pub fn forget(&mut self, born: Option<u64>) {
        self.0.retain(|b| *b != born);
    }

    /// How a life that started at `said` stands, where the life `known` has not
    /// left.
    pub fn standing(&self, known: Option<Option<u64>>, said: Option<u64>) -> Standing {
        let over = self.0.contains(&said);
        match known {
            Some(known) if known == said => Standing::Known,
            // Who told its start once tells it always.
            Some(Some(_)) if said.is_none() => Standing::Ended,
            None if said.is_none() && self.0.iter().any(Option::is_some) => Standing::Ended,
            // The known life took over from it while it was silent.
            Some(known) if over && said > known => Standing::Doubtful,
            _ if over => Standing::Ended,
            Some(known) if said < known => Standing::Doubtful,
            _ => Standing::Newer,
        }
    }
}

/// Whether a life that started at `said` may be older than another target's at
/// the same address. Where one of them doesn't tell, the later word counts.
pub(super) fn may_be_older(said: Option<u64>, other: Option<u64>) -> bool {
    matches!((said, other), (Some(said), Some(other)) if said < other)
}
