//! The leader's changes of the members: admission of replicas that asked to join, and
//! removal of those that they replace.

use super::ids::{Index, ReplicaId};
use super::member_notes::{MemberChangeReason, WaitReason, WaitingReplica};
use super::members::MemberChange;
use super::replica::Replica;
use super::types::Action;
use crate::time::Instant;

impl Replica {
    /// Takes the next step towards the wanted voters. A learner in the log is promoted by
    /// whichever leader finds that it has caught up. For a replica that asked to join there
    /// are two steps before that: removing the old identity at its slot, and adding it as a
    /// learner. Without such a replica, removes a surplus voter if there is one.
    pub(super) fn advance_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.may_change_members() {
            return;
        }
        if let Some(id) = self.promotable_learner(now) {
            let promotion = MemberChange::Promote(id);
            self.change_members(promotion, MemberChangeReason::CaughtUp, out);
            return;
        }
        let next = self
            .leader_state
            .as_ref()
            .and_then(|l| l.joining.first_key_value());
        let Some((&slot, &id)) = next else {
            self.remove_surplus_voter(now, out);
            return;
        };
        if self.members.voters.contains(&id) {
            self.finish_join(slot);
            return;
        }
        if let Some((change, reason)) = self.next_join_change(now, id) {
            self.change_members(change, reason, out);
        }
    }

    /// Returns a learner that answers and has caught up.
    fn promotable_learner(&self, now: Instant) -> Option<ReplicaId> {
        let mut learners = self.members.learners.iter().copied();
        learners.find(|id| !self.is_unresponsive(now, *id) && self.has_caught_up(*id))
    }

    /// Removes the voter that has been unresponsive longest while there are more voters
    /// than wanted: a replica that was replaced by one at another address is not expected
    /// back. A removed replica that does come back asks to join again.
    fn remove_surplus_voter(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(seed_discovery) = self.cfg.seed_discovery else {
            return;
        };
        if self.members.voters.len() <= seed_discovery.desired_voters {
            return;
        }
        let others = self.members.voters.iter().filter(|id| **id != self.cfg.id);
        let unresponsive = others.filter(|id| self.is_unresponsive(now, **id));
        let oldest = unresponsive
            .min_by_key(|id| self.last_acked_send(**id))
            .copied();
        if let Some(id) = oldest {
            self.change_members(MemberChange::Remove(id), MemberChangeReason::Surplus, out);
        }
    }

    fn finish_join(&mut self, slot: u32) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.joining.remove(&slot);
        }
    }

    fn next_join_change(
        &mut self,
        now: Instant,
        id: ReplicaId,
    ) -> Option<(MemberChange, MemberChangeReason)> {
        if self.members.learners.contains(&id) {
            return None;
        }
        match self.members.at_slot(id.slot) {
            None => Some((MemberChange::AddLearner(id), MemberChangeReason::Asked)),
            Some(old) if old != self.cfg.id && self.is_unresponsive(now, old) => {
                Some((MemberChange::Remove(old), MemberChangeReason::Replaced))
            }
            Some(_) => {
                self.finish_join(id.slot);
                None
            }
        }
    }

    fn has_caught_up(&self, id: ReplicaId) -> bool {
        self.synced_by(id) >= self.commit
    }

    /// Returns the last index that a peer is known to have synced.
    fn synced_by(&self, id: ReplicaId) -> Index {
        let leader_state = self.leader_state.as_ref();
        let progress = leader_state.and_then(|l| l.peers.get(&id));
        progress.map_or(Index(0), |p| p.matched)
    }

    /// Returns whether a member has not answered for longer than the longest election
    /// timeout. A member that still answers is not replaced by another identity that
    /// claims its slot.
    fn is_unresponsive(&self, now: Instant, id: ReplicaId) -> bool {
        let last = self.last_acked_send(id);
        last.is_some_and(|at| now.since(at) > self.cfg.timing.election_max)
    }

    /// Returns the send time of the latest message that a member has answered, or the
    /// time at which this replica became leader if it has answered none.
    fn last_acked_send(&self, id: ReplicaId) -> Option<Instant> {
        let leader_state = self.leader_state.as_ref()?;
        let last = leader_state.peers.get(&id).and_then(|p| p.last_acked_send);
        Some(last.unwrap_or(leader_state.elected_at))
    }

    /// Returns the replicas that this leader knows of and that do not vote yet, each with
    /// what it waits for.
    pub fn waiting_replicas(&self, now: Instant) -> Vec<WaitingReplica> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        let asking = leader_state.joining.values().copied();
        let asking = asking.filter(|id| !self.members.contains(*id));
        let learners = self.members.learners.iter().copied();
        learners
            .chain(asking)
            .map(|id| WaitingReplica {
                id,
                reason: self.wait_reason(now, id),
            })
            .collect()
    }

    fn wait_reason(&self, now: Instant, id: ReplicaId) -> WaitReason {
        let joining = self.leader_state.as_ref().map(|l| &l.joining);
        let first = joining.and_then(|j| j.first_key_value());
        if !self.may_change_members() {
            return WaitReason::ChangeUncommitted;
        }
        let is_learner = self.members.learners.contains(&id);
        match (first, self.members.at_slot(id.slot)) {
            (Some((_, first)), _) if !is_learner && *first != id => WaitReason::Behind(*first),
            (_, Some(other)) if other != id => WaitReason::SlotHeld(other),
            _ if self.is_unresponsive(now, id) => WaitReason::Silent,
            _ => WaitReason::CatchingUp {
                synced: self.synced_by(id),
                commit: self.commit,
            },
        }
    }
}
