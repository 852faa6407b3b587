//! State of a replica and the dispatch of events to the code for its role.

use super::contacts::Contacts;
use super::ids::{Index, Position, ReplicaId, Term};
use super::leader::LeaderState;
use super::log::{Entry, Log, Payload};
use super::member_notes::{MemberChangeReason, Membership};
use super::members::Members;
use super::message::{Body, Message};
use super::types::{Action, Event, HardState, ReplicaConfig, Role, SnapshotMeta, Stored};
use crate::time::Instant;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Replica of the log. The [module documentation](super) describes its life cycle.
pub struct Replica {
    pub(super) cfg: ReplicaConfig,
    pub(super) rng: ChaCha8Rng,
    pub(super) hard_state: HardState,
    /// Hard state as of the last [`Action::SaveHardState`].
    pub(super) saved_hard_state: HardState,
    pub(super) log: Log,
    pub(super) snapshot: SnapshotMeta,
    /// Members in effect: those of the latest membership entry, committed or not.
    pub(super) members: Members,
    /// Index of the entry or snapshot that the members come from.
    pub(super) members_index: Index,
    pub(super) commit: Index,
    /// Last entry that the state includes.
    pub(super) applied: Index,
    /// Last entry that is synced to disk.
    pub(super) synced: Position,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    /// Time of the last message from a leader; the start before the first one.
    pub(super) last_leader_contact: Instant,
    pub(super) election_timeout_at: Instant,
    /// Voters that granted the current pre-vote or vote.
    pub(super) votes: BTreeSet<ReplicaId>,
    /// Number of elections that this replica has started since a leader was last known.
    pub(super) failed_elections: u32,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) next_join: Instant,
    /// Time of the first join request since a leader last spoke to this replica.
    pub(super) asks_since: Option<Instant>,
    /// Unformed replicas that sent a join request, by slot.
    pub(super) unformed_peers: BTreeMap<u32, ReplicaId>,
    /// Members that have sent to an earlier identity at this slot.
    pub(super) contacts: Contacts,
}

impl Replica {
    /// Creates a replica from the contents of its data folder.
    ///
    /// The replica grants no vote within `election_min` of its start, since a leader may hold a
    /// lease that this replica acknowledged before it stopped.
    pub fn new(cfg: ReplicaConfig, stored: Stored, now: Instant) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(cfg.seed);
        let log = Log::new(stored.snapshot.last, stored.entries);
        let base = log.base().index;
        let mut replica = Self {
            rng,
            hard_state: stored.hard_state,
            saved_hard_state: stored.hard_state,
            synced: log.last(),
            members: Members::default(),
            members_index: Index(0),
            snapshot: stored.snapshot,
            log,
            commit: base,
            applied: base,
            role: Role::Unformed,
            leader: None,
            last_leader_contact: now,
            election_timeout_at: now,
            votes: BTreeSet::new(),
            failed_elections: 0,
            leader_state: None,
            next_join: now,
            asks_since: None,
            unformed_peers: BTreeMap::new(),
            contacts: Contacts::default(),
            cfg,
        };
        replica.refresh_members();
        replica.reset_election_timer(now);
        replica
    }

    /// Returns the identifier of this replica.
    pub fn id(&self) -> ReplicaId {
        self.cfg.id
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the time of the last message from a leader; the start before the first one.
    pub fn last_leader_contact(&self) -> Instant {
        self.last_leader_contact
    }

    /// Returns the members in effect at this replica, which may not be committed yet.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the part of this replica by the members in effect.
    pub fn membership(&self) -> Membership {
        self.members.membership(self.cfg.id)
    }

    /// Returns the number of voters that the cluster has when nothing is lost.
    pub fn desired_voters(&self) -> usize {
        self.cfg.desired_voters()
    }

    /// Returns the last index known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the index of the last entry that is applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Records that the committed entries up to `index` are applied.
    pub fn record_applied(&mut self, index: Index) {
        debug_assert!(index <= self.commit, "only committed entries are applied");
        self.applied = self.applied.max(index);
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the last entry and the members that the snapshot covers.
    pub fn snapshot(&self) -> &SnapshotMeta {
        &self.snapshot
    }

    /// Returns the members as of `index`, for a snapshot that ends there.
    pub fn members_at(&self, index: Index) -> Members {
        let mut members = self.snapshot.members.clone();
        for entry in self.log.range(self.log.base().index.next(), index) {
            if let Payload::Members(m) = &entry.payload {
                members = m.clone();
            }
        }
        members
    }

    /// Handles one event. New entries are sent by the next [`Replica::flush`], so that
    /// many proposals share one message and one sync.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Receive(message) => self.receive(now, message, out),
            Event::Propose { token, command } => self.propose(token, command, out),
            Event::SeedsChanged(slots) => self.set_seeds(slots),
            Event::Change(change) => {
                self.change_members(now, change, MemberChangeReason::Requested, out)
            }
            Event::Synced(at) => self.on_synced(at, out),
            Event::SnapshotSynced(through) => self.on_compacted(through),
        }
        self.save_if_changed(out);
    }

    /// Sends the entries that were appended by the preceding events. Called once at the
    /// end of a batch.
    pub fn flush(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.role == Role::Leader {
            self.send_new_entries(now, out);
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        match self.role {
            Role::Leader => self.leader_tick(now, out),
            Role::Unformed => self.join_tick(now, out),
            _ => self.follower_tick(now, out),
        }
    }

    fn follower_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.election_timeout_at {
            return;
        }
        if self.members.voters.contains(&self.cfg.id) {
            self.start_pre_vote(now, out);
        }
        self.leader = None;
        self.join_tick(now, out);
    }

    fn receive(&mut self, now: Instant, message: Message, out: &mut Vec<Action>) {
        if !self.is_addressed_here(&message) {
            self.record_contact(now, &message);
            return;
        }
        if let Body::Join { unformed } = message.body {
            self.on_join(now, message.from, unformed, out);
            return;
        }
        if !self.match_cluster(&message) {
            return;
        }
        if message.term > self.hard_state.term && self.should_adopt_term(now, &message) {
            self.become_follower(now, message.term);
        }
        let Message {
            from, term, body, ..
        } = message;
        match body {
            Body::PreVote { last } => self.on_pre_vote(now, from, term, last, out),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(now, from, granted, out),
            Body::Vote { last } => self.on_vote(now, from, term, last, out),
            Body::VoteReply { granted } => self.on_vote_reply(now, from, term, granted, out),
            Body::Append {
                prev,
                entries,
                commit,
                sent,
            } => {
                if self.follow(now, from, term) {
                    self.on_append(from, prev, entries, commit, sent, out);
                } else {
                    self.reply_append(from, Index(0), false, sent, out);
                }
            }
            Body::Snapshot { meta, data, sent } => {
                if self.follow(now, from, term) {
                    self.on_snapshot(from, meta, data, sent, out);
                }
            }
            Body::AppendReply {
                matched,
                agreed,
                sent,
            } => self.on_append_reply(now, from, term, matched, agreed, sent, out),
            Body::Join { .. } => {}
        }
    }

    fn is_addressed_here(&self, message: &Message) -> bool {
        let id = self.cfg.id;
        let identity_matches = message.to_identity.is_none_or(|i| i == id.identity);
        message.to_slot == id.slot && identity_matches && message.from != id
    }

    /// Returns whether the sender belongs to the cluster of this replica. A replica
    /// without a cluster adopts the sender's.
    fn match_cluster(&mut self, message: &Message) -> bool {
        match (self.hard_state.cluster, message.cluster) {
            (Some(own), Some(sender)) => own == sender,
            (None, Some(sender)) => {
                self.hard_state.cluster = Some(sender);
                true
            }
            (_, None) => false,
        }
    }

    /// Returns whether the higher term of a message is to be adopted. The terms of
    /// pre-vote requests and of granted pre-votes are not. That of a refused pre-vote
    /// is: otherwise a replica with the longest log and an old term would be refused
    /// forever. A vote request must not depose a leader that may still be alive.
    fn should_adopt_term(&self, now: Instant, message: &Message) -> bool {
        match message.body {
            Body::PreVote { .. } | Body::PreVoteReply { granted: true } => false,
            Body::Vote { .. } => !self.may_have_live_leader(now),
            _ => true,
        }
    }

    fn on_synced(&mut self, at: Position, out: &mut Vec<Action>) {
        if self.log.term_at(at.index) != Some(at.term) {
            return;
        }
        self.synced = at;
        if self.role == Role::Leader {
            self.advance_commit(out);
        }
    }

    fn on_compacted(&mut self, through: Index) {
        if through <= self.log.base().index || through > self.applied {
            return;
        }
        let members = self.members_at(through);
        self.log.compact(through);
        self.snapshot = SnapshotMeta {
            last: self.log.base(),
            members,
        };
    }

    pub(super) fn set_commit(&mut self, commit: Index, out: &mut Vec<Action>) {
        if commit <= self.commit {
            return;
        }
        let entries: Vec<Entry> = self
            .log
            .range(self.commit.next(), commit)
            .cloned()
            .collect();
        self.commit = commit;
        out.push(Action::Apply(entries));
    }

    pub(super) fn become_follower(&mut self, now: Instant, term: Term) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
        }
        self.leader_state = None;
        self.leader = None;
        self.role = self.non_leader_role();
        self.reset_election_timer(now);
    }

    pub(super) fn non_leader_role(&self) -> Role {
        if self.members.is_empty() {
            Role::Unformed
        } else {
            Role::Follower
        }
    }

    pub(super) fn refresh_members(&mut self) {
        let (index, members) = match self.log.last_members() {
            Some((index, members)) => (index, members.clone()),
            None => (self.snapshot.last.index, self.snapshot.members.clone()),
        };
        self.members = members;
        self.members_index = index;
        if self.role == Role::Unformed {
            self.role = self.non_leader_role();
        }
    }

    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let timing = self.cfg.timing;
        self.election_timeout_at =
            now + self.random_between(timing.election_min, timing.election_max);
    }

    pub(super) fn random_between(&mut self, min: Duration, max: Duration) -> Duration {
        let (min, max) = (min.as_micros() as u64, max.as_micros() as u64);
        Duration::from_micros(self.rng.random_range(min..=max.max(min)))
    }

    pub(super) fn send(&self, to: ReplicaId, body: Body, needs_sync: bool, out: &mut Vec<Action>) {
        let message = self.message_to(to, body);
        out.push(Action::Send {
            message,
            needs_sync,
        });
    }

    pub(super) fn message_to(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            cluster: self.hard_state.cluster,
            from: self.cfg.id,
            to_slot: to.slot,
            to_identity: Some(to.identity),
            term: self.hard_state.term,
            body,
        }
    }

    /// Returns all other members, voters and learners.
    pub(super) fn peers(&self) -> Vec<ReplicaId> {
        let id = self.cfg.id;
        self.members.all().filter(|p| *p != id).collect()
    }

    /// Adds the write of the hard state to the actions if it has changed, ahead of the
    /// messages that depend on it.
    pub(super) fn save_if_changed(&mut self, out: &mut Vec<Action>) {
        if self.hard_state != self.saved_hard_state {
            self.saved_hard_state = self.hard_state;
            out.push(Action::SaveHardState(self.hard_state));
        }
    }

    pub(super) fn random_u64(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
