//! Cluster formation and the join requests of replicas that are not members.

use super::ids::{ClusterId, Index, Position, ReplicaId, Term};
use super::log::{Entry, Payload};
use super::member_notes::{JoinSearch, Membership};
use super::members::Members;
use super::message::{Body, Message};
use super::replica::Replica;
use super::types::{Action, Role};
use crate::time::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between two join requests.
pub(super) const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Number of consecutive lost elections after which a member sends join requests, in
/// case it has been removed. They take about twice the longest election timeout.
const ELECTIONS_BEFORE_JOIN: u32 = 9;

impl Replica {
    /// Sends a join request to all other slots if this replica is not a voter or seems to
    /// have been removed. Called only while it hears no leader: a learner then can't know
    /// whether the entry that made it one was ever committed.
    pub(super) fn join_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        let is_voter = self.membership() == Membership::Voter;
        if is_voter && self.failed_elections < ELECTIONS_BEFORE_JOIN {
            return;
        }
        if now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_INTERVAL;
        let unformed = self.is_unformed();
        if unformed && self.cfg.slots.len() == 1 && self.may_form_cluster() {
            self.form_cluster(now, out);
            return;
        }
        self.asks_since.get_or_insert(now);
        for slot in self.other_slots() {
            let message = Message {
                cluster: self.hard_state.cluster,
                from: self.cfg.id,
                to_slot: slot,
                to_identity: None,
                term: self.hard_state.term,
                body: Body::Join { unformed },
            };
            out.push(Action::Send {
                message,
                needs_sync: false,
            });
        }
    }

    /// Records the sender of a message for another identity at this slot, which is a member.
    /// Nothing else of the message is used. A replica that may form the cluster records
    /// nobody: it knows the slots of all that form it with this replica, and no other cluster
    /// is its own. The sender of a join request may not be a member.
    pub(super) fn record_contact(&mut self, now: Instant, message: &Message) {
        let id = self.cfg.id;
        let own = self.hard_state.cluster.or(message.cluster);
        let is_of_cluster = message.cluster.is_some() && message.cluster == own;
        let is_for_slot = message.to_slot == id.slot && message.from.slot != id.slot;
        let is_join = matches!(message.body, Body::Join { .. });
        if is_for_slot && is_of_cluster && !is_join && !self.may_form_cluster() {
            self.contacts.record(now, message.from.slot);
        }
    }

    /// Returns whom this replica asks to join, or `None` if a leader speaks to it.
    pub fn join_search(&self) -> Option<JoinSearch> {
        Some(JoinSearch {
            since: self.asks_since?,
            asked: self.other_slots().into_iter().collect(),
            unformed: self.unformed_peers.keys().copied().collect(),
            contacts: self.contacts.slots().collect(),
        })
    }

    /// Returns the slots of all other replicas that may be members.
    fn other_slots(&self) -> BTreeSet<u32> {
        let mut slots = self.cfg.slots.clone();
        if self.cfg.seed_discovery.is_some() {
            slots.extend(self.members.all().map(|id| id.slot));
            slots.extend(self.contacts.slots());
        }
        slots.remove(&self.cfg.id.slot);
        slots
    }

    /// Replaces the seeds after a change of the settings.
    pub(super) fn set_seeds(&mut self, slots: BTreeSet<u32>) {
        if self.cfg.seed_discovery.is_some() {
            self.cfg.slots = slots;
            self.cfg.slots.insert(self.cfg.id.slot);
        }
    }

    fn may_form_cluster(&self) -> bool {
        self.cfg.seed_discovery.is_none_or(|s| s.may_form)
    }

    /// Returns whether a replica at this slot can become a member.
    fn may_join(&self, slot: u32) -> bool {
        self.cfg.seed_discovery.is_some() || self.cfg.slots.contains(&slot)
    }

    fn is_unformed(&self) -> bool {
        self.members.is_empty() && self.hard_state.cluster.is_none()
    }

    pub(super) fn on_join(
        &mut self,
        now: Instant,
        from: ReplicaId,
        unformed: bool,
        out: &mut Vec<Action>,
    ) {
        if !self.may_join(from.slot) {
            return;
        }
        if self.role == Role::Leader {
            self.record_join(now, from);
            return;
        }
        self.forward_join(from, unformed, out);
        if self.is_unformed() && unformed {
            self.unformed_peers.insert(from.slot, from);
            self.form_if_all_are_unformed(now, out);
        }
    }

    /// Forwards a join request to the leader, because a replica that knows only the
    /// seeds may not know the leader's slot.
    fn forward_join(&self, from: ReplicaId, unformed: bool, out: &mut Vec<Action>) {
        let leader = self.leader.filter(|l| l.slot != from.slot);
        let (Some(leader), true) = (leader, self.cfg.seed_discovery.is_some()) else {
            return;
        };
        let mut message = self.message_to(leader, Body::Join { unformed });
        message.from = from;
        out.push(Action::Send {
            message,
            needs_sync: false,
        });
    }

    /// Forms the cluster if this replica has the lowest slot and every other slot has
    /// reported that it is unformed. In an existing cluster at least one replica does
    /// not report so; a replica that lost its disk therefore never forms a second
    /// cluster.
    fn form_if_all_are_unformed(&mut self, now: Instant, out: &mut Vec<Action>) {
        let others = self.cfg.slots.len() - 1;
        let is_lowest = self.cfg.slots.first() == Some(&self.cfg.id.slot);
        let slots = self.cfg.slots.iter();
        let unformed = slots
            .filter(|s| self.unformed_peers.contains_key(s))
            .count();
        if !is_lowest || unformed < others || !self.may_form_cluster() {
            return;
        }
        self.form_cluster(now, out);
    }

    /// Forms a cluster of this replica and the unformed replicas that sent it a join
    /// request.
    pub(super) fn form_cluster(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut members = Members::default();
        members.voters.insert(self.cfg.id);
        let slots = &self.cfg.slots;
        let peers = self.unformed_peers.values().copied();
        members
            .voters
            .extend(peers.filter(|p| slots.contains(&p.slot)));
        self.hard_state.cluster = Some(ClusterId(self.random_u64()));
        self.hard_state.term = Term(1);
        let genesis = Entry {
            at: Position {
                term: Term(1),
                index: Index(1),
            },
            payload: Payload::Members(members),
        };
        self.log.push(genesis.clone());
        self.refresh_members();
        self.save_if_changed(out);
        out.push(Action::Append(vec![genesis]));
        self.start_pre_vote(now, out);
    }
}
