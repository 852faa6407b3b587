//! The leader's changes of the members: admission of replicas that asked to join, and
//! removal of those that they replace.
//!
//! A leader keeps no plan. At each tick it compares the members in its log with who answers
//! and who asks, and takes one step that is possible now, for whichever replica it is:
//!
//! ```text
//!  asks ─► learner ─(has caught up)─► the silent voter that it replaces goes ─► voter
//!  more voters than wanted ─► a silent voter goes
//!  as many voters as wanted answer ─► silent learners go
//! ```
//!
//! A voter is removed before its replacement votes: with both among the voters, a majority
//! would need one more that answers. It is removed only once the replacement holds all that
//! is committed, and one voter at a time while replacements answer. A new leader does not know
//! yet who is lost: nobody votes beyond the wanted number until all voters have answered it.

use super::ids::{Index, ReplicaId};
use super::leader::JoinRequest;
use super::member_notes::{MemberChangeReason, WaitReason, WaitingReplica};
use super::members::MemberChange;
use super::replica::Replica;
use super::types::Action;
use crate::time::Instant;

/// A change of the members that is possible now, and why.
type MemberStep = (MemberChange, MemberChangeReason);

impl Replica {
    /// Records a join request. Requests of members, and of an earlier process of this
    /// replica's own slot, need no step.
    pub(super) fn record_join(&mut self, now: Instant, id: ReplicaId) {
        let is_known = self.members.contains(id) || id.slot == self.cfg.id.slot;
        if let (Some(leader_state), false) = (&mut self.leader_state, is_known) {
            let request = JoinRequest { id, at: now };
            leader_state.join_requests.insert(id.slot, request);
        }
    }

    /// Takes the next step towards the wanted voters, if one is possible.
    pub(super) fn advance_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.may_change_members() {
            return;
        }
        self.forget_old_joins(now);
        self.advance_rounds(now);
        let step = self
            .promotion(now)
            .or_else(|| self.replacement(now))
            .or_else(|| self.admission())
            .or_else(|| self.surplus_voter(now))
            .or_else(|| self.silent_learner(now));
        if let Some((change, reason)) = step {
            self.change_members(now, change, reason, out);
        }
    }

    fn forget_old_joins(&mut self, now: Instant) {
        let members = &self.members;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state
                .join_requests
                .retain(|_, r| !r.is_outdated(now) && !members.contains(r.id));
        }
    }

    fn advance_rounds(&mut self, now: Instant) {
        let last = self.log.last().index;
        let members = &self.members;
        let peers = self.leader_state.iter_mut().flat_map(|l| &mut l.peers);
        for (id, p) in peers {
            if members.learners.contains(id) {
                p.rounds.advance(now, p.matched, last);
            }
        }
    }

    /// Promotes a learner that is ready, unless it replaces a voter that is to go first, or
    /// may do so: beyond the wanted number, a voter is added only while all voters answer.
    fn promotion(&self, now: Instant) -> Option<MemberStep> {
        let is_full = self.members.voters.len() >= self.cfg.desired_voters();
        if is_full && self.unanswering_voter(now).is_some() {
            return None;
        }
        let mut ready = self.ready_learners(now);
        let id = ready.find(|id| self.replaced_by(now, *id).is_none())?;
        Some((MemberChange::Promote(id), MemberChangeReason::CaughtUp))
    }

    /// Returns a voter whose last answer to this leader no longer counts for the lease, or that
    /// has not answered it yet. It may be lost although it is not known to be silent.
    fn unanswering_voter(&self, now: Instant) -> Option<ReplicaId> {
        let leader_state = self.leader_state.as_ref()?;
        let lease = self.cfg.timing.lease();
        let answers = |id: &ReplicaId| {
            let progress = leader_state.peers.get(id);
            let last = progress.map_or(Some(now), |p| p.last_acked_send);
            last.is_some_and(|at| now < at + lease)
        };
        let mut voters = self.members.voters.iter();
        voters.find(|id| !answers(id)).copied()
    }

    /// Removes a silent voter that a ready learner replaces. While there are fewer voters
    /// than wanted, a learner that answers and replaces nobody comes first.
    fn replacement(&self, now: Instant) -> Option<MemberStep> {
        let is_short = self.members.voters.len() < self.cfg.desired_voters();
        if is_short && self.is_voter_on_its_way(now) {
            return None;
        }
        let mut replaced = self
            .ready_learners(now)
            .filter_map(|id| self.replaced_by(now, id));
        let id = replaced.find(|id| self.is_unresponsive(now, *id))?;
        Some((MemberChange::Remove(id), MemberChangeReason::Replaced))
    }

    /// Returns the learners that answer and have caught up.
    fn ready_learners(&self, now: Instant) -> impl Iterator<Item = ReplicaId> + '_ {
        let learners = self.members.learners.iter().copied();
        learners.filter(move |id| !self.is_unresponsive(now, *id) && self.has_caught_up(now, *id))
    }

    fn is_voter_on_its_way(&self, now: Instant) -> bool {
        let mut learners = self.members.learners.iter();
        learners.any(|id| !self.is_unresponsive(now, *id) && self.replaced_by(now, *id).is_none())
    }

    /// Returns the voter that a learner replaces: the one at its slot, also while it still
    /// answers, as another identity may only claim the slot; or else, if there are as many
    /// voters as wanted, one that is silent.
    fn replaced_by(&self, now: Instant, learner: ReplicaId) -> Option<ReplicaId> {
        let voters = &self.members.voters;
        let holder = voters.iter().find(|id| id.slot == learner.slot).copied();
        let is_full = voters.len() >= self.cfg.desired_voters();
        holder.or_else(|| self.longest_silent_voter(now).filter(|_| is_full))
    }

    /// Adds a replica that asked to join as a learner.
    fn admission(&self) -> Option<MemberStep> {
        let (_, request) = self
            .leader_state
            .as_ref()?
            .join_requests
            .first_key_value()?;
        let addition = MemberChange::AddLearner(request.id);
        Some((addition, MemberChangeReason::Asked))
    }

    /// Removes the voter that has been silent longest while there are more voters than
    /// wanted. A removed replica that comes back asks to join again.
    fn surplus_voter(&self, now: Instant) -> Option<MemberStep> {
        if self.members.voters.len() <= self.cfg.desired_voters() {
            return None;
        }
        let id = self.longest_silent_voter(now)?;
        Some((MemberChange::Remove(id), MemberChangeReason::Surplus))
    }

    fn longest_silent_voter(&self, now: Instant) -> Option<ReplicaId> {
        let voters = self.members.voters.iter().copied();
        let silent = voters.filter(|id| self.is_unresponsive(now, *id));
        silent.min_by_key(|id| self.last_acked_send(*id))
    }

    /// Removes a silent learner once as many voters as wanted answer. Until then it may be
    /// needed and costs little.
    fn silent_learner(&self, now: Instant) -> Option<MemberStep> {
        let mut learners = self.members.learners.iter();
        let silent = learners.find(|id| self.is_unresponsive(now, **id))?;
        let voters = self.members.voters.iter();
        let answering = voters.filter(|id| !self.is_unresponsive(now, **id)).count();
        let removal = (MemberChange::Remove(*silent), MemberChangeReason::Surplus);
        (answering >= self.cfg.desired_voters()).then_some(removal)
    }

    /// Returns whether a learner catches up in less than the shortest election timeout.
    fn has_caught_up(&self, now: Instant, id: ReplicaId) -> bool {
        let leader_state = self.leader_state.as_ref();
        let progress = leader_state.and_then(|l| l.peers.get(&id));
        progress.is_some_and(|p| p.rounds.are_short(now, self.cfg.timing.election_min))
    }

    /// Returns the last index that a peer is known to have synced.
    fn synced_by(&self, id: ReplicaId) -> Index {
        let leader_state = self.leader_state.as_ref();
        let progress = leader_state.and_then(|l| l.peers.get(&id));
        progress.map_or(Index(0), |p| p.matched)
    }

    /// Returns whether another member has not answered for longer than the longest election
    /// timeout.
    fn is_unresponsive(&self, now: Instant, id: ReplicaId) -> bool {
        let last = self.last_acked_send(id);
        last.is_some_and(|at| now.since(at) > self.cfg.timing.election_max)
    }

    /// Returns the send time of the latest message that another member has answered, or the
    /// time from which this leader has sent to it if it has answered none.
    fn last_acked_send(&self, id: ReplicaId) -> Option<Instant> {
        let progress = self.leader_state.as_ref()?.peers.get(&id)?;
        Some(progress.last_acked_send.unwrap_or(progress.since))
    }

    /// Returns the replicas that this leader knows of and that do not vote yet, each with
    /// what it waits for.
    pub fn waiting_replicas(&self, now: Instant) -> Vec<WaitingReplica> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        let requests = leader_state.join_requests.values();
        let asking = requests.filter(|r| !r.is_outdated(now)).map(|r| r.id);
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
        if !self.may_change_members() {
            return WaitReason::ChangeUncommitted;
        }
        if !self.members.contains(id) {
            return WaitReason::Asked;
        }
        if self.is_unresponsive(now, id) {
            return WaitReason::Silent;
        }
        if self.has_caught_up(now, id) {
            let replaced = self.replaced_by(now, id);
            return WaitReason::Replacing(replaced.or_else(|| self.unanswering_voter(now)));
        }
        WaitReason::CatchingUp {
            synced: self.synced_by(id),
            commit: self.commit,
        }
    }
}
