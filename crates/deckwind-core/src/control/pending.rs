//! Requests that wait for a log entry to be applied or for a revision to be in force.

use crate::replication::{Index, Term};
use crate::state::Revision;
use crate::time::Instant;
use std::collections::BTreeMap;

/// The sender of a request that awaits an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Requester {
    /// A router, with the token of its request.
    Router(u64),
    /// An operator, with the token of the request and the time until which it waits.
    Operator(u64, Instant),
    /// The routers whose reports of crashed runs are in the proposed command.
    CrashReports,
    /// No sender: the leader made the proposal on its own.
    Internal,
}

/// Requests that wait for their log entries, by index.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingProposals {
    by_index: BTreeMap<Index, (Term, Requester)>,
}

impl PendingProposals {
    pub fn insert(&mut self, index: Index, term: Term, requester: Requester) -> Option<Requester> {
        self.by_index
            .insert(index, (term, requester))
            .map(|(_, a)| a)
    }

    /// Removes and returns the request that waited for an applied entry. The flag is
    /// `false` if another entry took the place of the proposed one.
    pub fn take_applied(&mut self, index: Index, term: Term) -> Option<(Requester, bool)> {
        let (proposed, requester) = self.by_index.remove(&index)?;
        Some((requester, proposed == term))
    }

    /// Removes and returns all requests, as the replica no longer leads.
    pub fn take_all(&mut self) -> Vec<Requester> {
        let all = std::mem::take(&mut self.by_index);
        all.into_values().map(|(_, requester)| requester).collect()
    }
}

/// A request of an operator that waits for a revision to be in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct InForceWait {
    pub token: u64,
    pub revision: Revision,
    pub deadline: Instant,
}
