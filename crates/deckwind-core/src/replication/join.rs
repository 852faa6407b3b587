//! Forming a cluster, and taking in a replica whose data folder is new.

use super::ids::{ClusterId, Index, Position, ReplicaId, Term};
use super::log::{Entry, Payload};
use super::members::{MemberChange, Members};
use super::message::{Body, Message};
use super::replica::Replica;
use super::types::Action;
use crate::time::Instant;
use std::collections::BTreeSet;
use std::time::Duration;

/// Between two requests to be taken in.
const JOIN_PERIOD: Duration = Duration::from_millis(300);

/// Elections lost in a row before a replica asks whether it was removed: some
/// two of the longest waits before an election.
const ELECTIONS_BEFORE_JOIN: u32 = 9;

impl Replica {
    /// Asks all other slots to be taken in, if this replica is in no members or
    /// seems to have been removed.
    pub(super) fn join_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        let member = self.members.contains(self.cfg.id);
        if member && self.failed_elections < ELECTIONS_BEFORE_JOIN {
            return;
        }
        if now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_PERIOD;
        let unformed = self.is_unformed();
        if unformed && self.cfg.slots.len() == 1 && self.may_form() {
            self.form(now, out);
            return;
        }
        for slot in self.slots_to_ask() {
            let message = Message {
                cluster: self.hard.cluster,
                from: self.cfg.id,
                to_slot: slot,
                to_identity: None,
                term: self.hard.term,
                body: Body::Join { unformed },
            };
            out.push(Action::Send {
                message,
                needs_sync: false,
            });
        }
    }

    /// Everybody who may be a member, but itself.
    fn slots_to_ask(&self) -> BTreeSet<u32> {
        let mut slots = self.cfg.slots.clone();
        if self.cfg.by_seeds.is_some() {
            slots.extend(self.members.all().map(|id| id.slot));
        }
        slots.remove(&self.cfg.id.slot);
        slots
    }

    /// Other seeds: the settings have changed.
    pub(super) fn take_seeds(&mut self, slots: BTreeSet<u32>) {
        if self.cfg.by_seeds.is_some() {
            self.cfg.slots = slots;
            self.cfg.slots.insert(self.cfg.id.slot);
        }
    }

    fn may_form(&self) -> bool {
        self.cfg.by_seeds.is_none_or(|s| s.may_form)
    }

    /// Whether a replica at this slot can be a member at all.
    fn may_join(&self, slot: u32) -> bool {
        self.cfg.by_seeds.is_some() || self.cfg.slots.contains(&slot)
    }

    fn is_unformed(&self) -> bool {
        self.members.is_empty() && self.hard.cluster.is_none()
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
        if let Some(leading) = &mut self.leading {
            leading.joining.insert(from.slot, from);
            return;
        }
        self.pass_join_on(from, unformed, out);
        if self.is_unformed() && unformed {
            self.unformed_peers.insert(from.slot, from);
            self.form_if_all_are_unformed(now, out);
        }
    }

    /// One who knows only seeds may not know the leader: a follower tells it.
    fn pass_join_on(&self, from: ReplicaId, unformed: bool, out: &mut Vec<Action>) {
        let leader = self.leader.filter(|l| l.slot != from.slot);
        let (Some(leader), true) = (leader, self.cfg.by_seeds.is_some()) else {
            return;
        };
        let mut message = self.message_to(leader, Body::Join { unformed });
        message.from = from;
        out.push(Action::Send {
            message,
            needs_sync: false,
        });
    }

    /// The lowest slot forms the cluster once every slot has said that it has
    /// none. A cluster that exists always has a replica that does not say so,
    /// so a lost disk never forms a second one.
    fn form_if_all_are_unformed(&mut self, now: Instant, out: &mut Vec<Action>) {
        let others = self.cfg.slots.len() - 1;
        let lowest = self.cfg.slots.first() == Some(&self.cfg.id.slot);
        let heard = self.cfg.slots.iter();
        let heard = heard
            .filter(|s| self.unformed_peers.contains_key(s))
            .count();
        if !lowest || heard < others || !self.may_form() {
            return;
        }
        self.form(now, out);
    }

    /// Forms the cluster out of this replica and the unformed ones it heard.
    pub(super) fn form(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut members = Members::default();
        members.voters.insert(self.cfg.id);
        let slots = &self.cfg.slots;
        let peers = self.unformed_peers.values().copied();
        members
            .voters
            .extend(peers.filter(|p| slots.contains(&p.slot)));
        self.hard.cluster = Some(ClusterId(self.random_u64()));
        self.hard.term = Term(1);
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

    /// Takes the next of the three steps for a replica that asked to join:
    /// remove the old identity at its slot, add it as a learner, let it vote.
    pub(super) fn drive_join(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.may_change_members() {
            return;
        }
        let next = self
            .leading
            .as_ref()
            .and_then(|l| l.joining.first_key_value());
        let Some((&slot, &id)) = next else {
            self.remove_surplus(now, out);
            return;
        };
        if self.members.voters.contains(&id) {
            self.finish_join(slot);
            return;
        }
        if let Some(change) = self.join_step(now, id) {
            self.change_members(change, out);
        }
    }

    /// Takes out the voter that has been silent longest, while there are more
    /// than are wanted: one that has a successor at another address never comes
    /// back. One that does come back asks to join again.
    fn remove_surplus(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(by_seeds) = self.cfg.by_seeds else {
            return;
        };
        if self.members.voters.len() <= by_seeds.voters_wanted {
            return;
        }
        let others = self.members.voters.iter().filter(|id| **id != self.cfg.id);
        let silent = others.filter(|id| self.is_silent(now, **id));
        let oldest = silent.min_by_key(|id| self.last_answer(**id)).copied();
        if let Some(id) = oldest {
            self.change_members(MemberChange::Remove(id), out);
        }
    }

    fn finish_join(&mut self, slot: u32) {
        if let Some(leading) = &mut self.leading {
            leading.joining.remove(&slot);
        }
    }

    fn join_step(&mut self, now: Instant, id: ReplicaId) -> Option<MemberChange> {
        if self.members.learners.contains(&id) {
            return self.has_caught_up(id).then_some(MemberChange::Promote(id));
        }
        match self.members.at_slot(id.slot) {
            None => Some(MemberChange::AddLearner(id)),
            Some(old) if old != self.cfg.id && self.is_silent(now, old) => {
                Some(MemberChange::Remove(old))
            }
            Some(_) => {
                self.finish_join(id.slot);
                None
            }
        }
    }

    fn has_caught_up(&self, id: ReplicaId) -> bool {
        let leading = self.leading.as_ref();
        let progress = leading.and_then(|l| l.peers.get(&id));
        progress.is_some_and(|p| p.matched >= self.commit)
    }

    /// Whether a member has not answered for longer than an election takes.
    /// One that still answers is not replaced, whoever claims its slot.
    fn is_silent(&self, now: Instant, id: ReplicaId) -> bool {
        let last = self.last_answer(id);
        last.is_some_and(|at| now.since(at) > self.cfg.timing.election_max)
    }

    /// When the last message that a member answered was sent, or when this
    /// replica began to lead.
    fn last_answer(&self, id: ReplicaId) -> Option<Instant> {
        let leading = self.leading.as_ref()?;
        let answered = leading.peers.get(&id).and_then(|p| p.answered);
        Some(answered.unwrap_or(leading.since))
    }
}
