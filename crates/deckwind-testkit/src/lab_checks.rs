//! What must hold in the laboratory after each step:
//!
//! 1. at most one leader a term;
//! 2. at most one replica may answer at a time;
//! 3. committed entries are the same everywhere, and stay;
//! 4. whoever may answer knows every change that was accepted;
//! 5. when an operator was told "in force", no router that may serve is older;
//! 6. a claimed key runs at most once;
//! 7. no target gets an older leader's order after a newer one's, also where it
//!    does not check fences;
//! 8. all routers together use no more repeats in a window than the bound.

use crate::lab::Lab;
use crate::lab_routers::REPEATS;
use deckwind_core::state::Revision;

/// Part of the bound that routers use.
const USED: f64 = 0.8;

impl Lab {
    /// Whoever may serve has applied what was called in force.
    pub(super) fn check_in_force(&self, revision: Revision) {
        for router in &self.routers {
            let serves = router.serves(self.now);
            assert!(
                !serves || router.applied() >= revision,
                "revision {revision} was called in force, router {} serves {}",
                router.name(),
                router.applied()
            );
        }
    }

    /// Checks everything; called after each step.
    pub(super) fn check(&mut self) {
        let answering: Vec<usize> = (0..self.nodes.len())
            .filter(|s| self.may_answer(*s))
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
        self.check_repeats();
    }

    fn check_repeats(&self) {
        let used = self.routers.iter().flat_map(|r| &r.repeated);
        let used = used.filter(|at| self.now.since(**at) < REPEATS.window);
        let used = used.count();
        let most = USED * REPEATS.beyond;
        assert!(used as f64 <= most, "{used} repeats in a window");
    }

    fn check_leader(&mut self, slot: usize) {
        let Some(node) = &self.nodes[slot].node else {
            return;
        };
        let replica = node.core().replica();
        if replica.leading_since().is_some() {
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
            .checked
            .next()
            .max(replica.log().base().index.next());
        for entry in replica.log().range(from, replica.commit()) {
            let first = self
                .committed
                .entry(entry.at.index)
                .or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "slot {slot} committed another entry");
        }
        self.nodes[slot].checked = replica.commit();
    }

    fn check_knows_accepted(&self, slot: usize) {
        let node = self.nodes[slot].node.as_ref().expect("it answers");
        let revision = node.core().machine().configuration().revision();
        assert!(
            revision >= self.accepted,
            "slot {slot} answers at revision {revision}, accepted was {}",
            self.accepted
        );
    }
}
