//! Invariants of the simulation. Those in this module are checked after each step, 7 on
//! delivery in `simulated_network`, and 6 by tests with
//! [`SimulatedRouter::executed_keys`](crate::SimulatedRouter::executed_keys).
//!
//! 1. at most one leader per term;
//! 2. at most one replica may answer at a time;
//! 3. committed entries are the same on all replicas and never change;
//! 4. a replica that may answer has applied every accepted change;
//! 5. when an operator's change is reported as in force, no router that may serve has an
//!    older revision;
//! 6. a claimed key runs at most once;
//! 7. no target receives an older leader's order after a newer one's, even if it doesn't
//!    check fences;
//! 8. the retries of all routers in a window stay within the retry budget;
//! 9. a change that was accepted longer ago than a full lease is in force: no router that may
//!    serve has an older revision.

use crate::control_simulation::ControlSimulation;
use crate::simulated_routers::{RETRY_LIMITS, SimulatedRouter};
use deckwind_core::state::Revision;
use deckwind_core::time::Instant;

/// Part of the retry budget that routers may use.
const USABLE_SHARE: f64 = 0.8;

impl ControlSimulation {
    /// Checks that no router serves without a change that was accepted long enough ago.
    fn check_accepted_in_force(&mut self) {
        let now = self.now;
        let bound = self.lease.ttl_with_drift();
        let is_due = |at: Instant| now.since(at) > bound;
        while let Some((at, revision)) = self.accepted_at.front().copied() {
            if !is_due(at) {
                break;
            }
            self.due_revision = self.due_revision.max(revision);
            self.accepted_at.pop_front();
        }
        let is_stale = |r: &&SimulatedRouter| r.serves(now) && r.applied() < self.due_revision;
        let stale = self.routers.iter().filter(is_stale).count();
        assert_eq!(
            stale, 0,
            "routers that serve without revision {}, accepted over {bound:?} ago",
            self.due_revision
        );
    }

    /// Checks that all routers that may serve have applied a revision that was reported
    /// as in force.
    pub(super) fn check_in_force(&self, revision: Revision) {
        for router in &self.routers {
            let serves = router.serves(self.now);
            assert!(
                !serves || router.applied() >= revision,
                "revision {revision} was reported as in force, but router {} serves {}",
                router.name(),
                router.applied()
            );
        }
    }

    /// Checks all invariants; called after each step.
    pub(super) fn check(&mut self) {
        let answering: Vec<usize> = (0..self.nodes.len())
            .filter(|s| self.can_serve_reads(*s))
            .collect();
        assert!(
            answering.len() <= 1,
            "two replicas may answer: {answering:?}"
        );
        for slot in 0..self.nodes.len() {
            self.check_leader(slot);
            self.check_committed(slot);
        }
        if let Some(slot) = answering.first() {
            self.check_knows_accepted(*slot);
        }
        self.check_retries();
        self.check_accepted_in_force();
    }

    fn check_retries(&self) {
        let used = self.routers.iter().flat_map(|r| &r.retry_times);
        let used = used.filter(|at| self.now.since(**at) < RETRY_LIMITS.window);
        let used = used.count();
        let max_retries = USABLE_SHARE * RETRY_LIMITS.extra;
        assert!(
            used as f64 <= max_retries,
            "{used} retries in a window, allowed are {max_retries}"
        );
    }

    fn check_leader(&mut self, slot: usize) {
        let Some(node) = &self.nodes[slot].node else {
            return;
        };
        let replica = node.core().replica();
        if replica.leader_since().is_some() {
            let first = *self.leaders.entry(replica.term()).or_insert(replica.id());
            assert_eq!(
                first,
                replica.id(),
                "two leaders in term {:?}",
                replica.term()
            );
        }
    }

    fn check_committed(&mut self, slot: usize) {
        let Some(node) = &self.nodes[slot].node else {
            return;
        };
        let replica = node.core().replica();
        let from = self.nodes[slot]
            .checked_up_to
            .next()
            .max(replica.log().base().index.next());
        for entry in replica.log().range(from, replica.commit()) {
            let first = self
                .committed
                .entry(entry.at.index)
                .or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "slot {slot} committed a different entry");
        }
        self.nodes[slot].checked_up_to = replica.commit();
    }

    fn check_knows_accepted(&self, slot: usize) {
        let node = self.nodes[slot].node.as_ref().expect("the replica runs");
        let revision = node.core().state_machine().configuration().revision();
        assert!(
            revision >= self.accepted,
            "slot {slot} answers at revision {revision}, but {} was accepted",
            self.accepted
        );
    }
}
