//! Requests that wait: for the log, or for a revision to be in force.

use crate::replication::{Index, Term};
use crate::state::Revision;
use crate::time::Instant;
use std::collections::BTreeMap;

/// Names a request that wants an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Asker {
    /// A router's request.
    Router(u64),
    /// An operator's request, and until when it waits.
    Operator(u64, Instant),
    /// Nobody: the leader proposed it itself.
    Nobody,
}

/// Who waits for which entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposals {
    by_index: BTreeMap<Index, (Term, Asker)>,
}

impl Proposals {
    pub fn insert(&mut self, index: Index, term: Term, asker: Asker) -> Option<Asker> {
        self.by_index.insert(index, (term, asker)).map(|(_, a)| a)
    }

    /// Who waits for the entry that was applied; with false if another entry
    /// took its place.
    pub fn applied(&mut self, index: Index, term: Term) -> Option<(Asker, bool)> {
        let (proposed, asker) = self.by_index.remove(&index)?;
        Some((asker, proposed == term))
    }

    /// Everybody: the replica no longer leads.
    pub fn take_all(&mut self) -> Vec<Asker> {
        let all = std::mem::take(&mut self.by_index);
        all.into_values().map(|(_, asker)| asker).collect()
    }
}

/// An operator who waits for a revision to be in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct ForceWait {
    pub token: u64,
    pub revision: Revision,
    pub until: Instant,
}
