//! Forming a cluster, and taking in a replica whose data folder is new.

use super::ids::{ClusterId, Index, Position, ReplicaId, Term};
use super::log::{Entry, Payload};
use super::members::{MemberChange, Members};
use super::message::{Body, Message};
use super::replica::Replica;
use super::types::Action;
use crate::time::Instant;
use std::time::Duration;

/// Between two requests to be taken in.
const JOIN_PERIOD: Duration = Duration::from_millis(300);

/// Elections lost in a row before a replica asks whether it was removed.
const ELECTIONS_BEFORE_JOIN: u32 = 3;

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
        if unformed && self.cfg.slots.len() == 1 {
            self.form(now, out);
            return;
        }
        for slot in self.cfg.slots.clone() {
            if slot == self.cfg.id.slot {
                continue;
            }
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
        if !self.cfg.slots.contains(&from.slot) {
            return;
        }
        if let Some(leading) = &mut self.leading {
            leading.joining.insert(from.slot, from);
            return;
        }
        if self.is_unformed() && unformed {
            self.unformed_peers.insert(from.slot, from);
            self.form_if_all_are_unformed(now, out);
        }
    }

    /// The lowest slot forms the cluster once every slot has said that it has
    /// none. A cluster that exists always has a replica that does not say so,
    /// so a lost disk never forms a second one.
    fn form_if_all_are_unformed(&mut self, now: Instant, out: &mut Vec<Action>) {
        let others = self.cfg.slots.len() - 1;
        let lowest = self.cfg.slots.first() == Some(&self.cfg.id.slot);
        if !lowest || self.unformed_peers.len() < others {
            return;
        }
        self.form(now, out);
    }

    /// Forms the cluster out of this replica and the unformed ones it heard.
    pub(super) fn form(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut members = Members::default();
        members.voters.insert(self.cfg.id);
        members.voters.extend(self.unformed_peers.values().copied());
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
        let Some((&slot, &id)) = self
            .leading
            .as_ref()
            .and_then(|l| l.joining.first_key_value())
        else {
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

    fn finish_join(&mut self, slot: u8) {
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
        let Some(leading) = &self.leading else {
            return false;
        };
        let answered = leading.peers.get(&id).and_then(|p| p.answered);
        let last = answered.unwrap_or(leading.since);
        now.since(last) > self.cfg.timing.election_max
    }
}
