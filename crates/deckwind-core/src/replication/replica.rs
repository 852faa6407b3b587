//! One replica: its state, and where each event goes.

use super::ids::{Index, Position, ReplicaId, Term};
use super::leader::Leading;
use super::log::{Entry, Log, Payload};
use super::members::Members;
use super::message::{Body, Message};
use super::types::{Action, Event, HardState, ReplicaConfig, Role, SnapshotMeta, Stored};
use crate::time::Instant;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One replica. See the module for its life cycle.
pub struct Replica {
    pub(super) cfg: ReplicaConfig,
    pub(super) rng: ChaCha8Rng,
    pub(super) hard: HardState,
    pub(super) saved: HardState,
    pub(super) log: Log,
    pub(super) snapshot: SnapshotMeta,
    pub(super) members: Members,
    pub(super) members_index: Index,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) synced: Position,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    pub(super) heard_leader: Instant,
    pub(super) election_at: Instant,
    pub(super) votes: BTreeSet<ReplicaId>,
    pub(super) failed_elections: u32,
    pub(super) leading: Option<Leading>,
    pub(super) next_join: Instant,
    pub(super) unformed_peers: BTreeMap<u32, ReplicaId>,
}

impl Replica {
    /// A replica with what its data folder holds.
    ///
    /// It protects a leader that it may have promised to before it went down:
    /// it gives no vote within `election_min` of starting.
    pub fn new(cfg: ReplicaConfig, stored: Stored, now: Instant) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(cfg.seed);
        let log = Log::new(stored.snapshot.last, stored.entries);
        let base = log.base().index;
        let mut replica = Self {
            rng,
            hard: stored.hard_state,
            saved: stored.hard_state,
            synced: log.last(),
            members: Members::default(),
            members_index: Index(0),
            snapshot: stored.snapshot,
            log,
            commit: base,
            applied: base,
            role: Role::Unformed,
            leader: None,
            heard_leader: now,
            election_at: now,
            votes: BTreeSet::new(),
            failed_elections: 0,
            leading: None,
            next_join: now,
            unformed_peers: BTreeMap::new(),
            cfg,
        };
        replica.refresh_members();
        replica.reset_election_timer(now);
        replica
    }

    /// Its id.
    pub fn id(&self) -> ReplicaId {
        self.cfg.id
    }

    /// What it is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The members it goes by.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Last index known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Its log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// What its snapshot covers.
    pub fn snapshot(&self) -> &SnapshotMeta {
        &self.snapshot
    }

    /// Members as of `index`, for a snapshot that ends there.
    pub fn members_at(&self, index: Index) -> Members {
        let mut members = self.snapshot.members.clone();
        for entry in self.log.range(self.log.base().index.next(), index) {
            if let Payload::Members(m) = &entry.payload {
                members = m.clone();
            }
        }
        members
    }

    /// Takes one event. Entries that it makes go out with the next
    /// [`Replica::flush`], so that many proposals share one message and sync.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Receive(message) => self.receive(now, message, out),
            Event::Propose { token, command } => self.propose(token, command, out),
            Event::Seeds(slots) => self.take_seeds(slots),
            Event::Change(change) => self.change_members(change, out),
            Event::Synced(at) => self.on_synced(at, out),
            Event::Compacted(through) => self.on_compacted(through),
        }
        self.save_if_changed(out);
    }

    /// Sends what the batch of events before it has made.
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
        if now < self.election_at {
            return;
        }
        if self.members.voters.contains(&self.cfg.id) {
            self.start_pre_vote(now, out);
        }
        self.leader = None;
        self.join_tick(now, out);
    }

    fn receive(&mut self, now: Instant, message: Message, out: &mut Vec<Action>) {
        if !self.is_for_me(&message) {
            return;
        }
        if let Body::Join { unformed } = message.body {
            self.on_join(now, message.from, unformed, out);
            return;
        }
        if !self.same_cluster(&message) {
            return;
        }
        if message.term > self.hard.term && self.term_counts(now, &message) {
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

    fn is_for_me(&self, message: &Message) -> bool {
        let id = self.cfg.id;
        let mine = message.to_identity.is_none_or(|i| i == id.identity);
        message.to_slot == id.slot && mine && message.from != id
    }

    /// Takes on the sender's cluster while it has none.
    fn same_cluster(&mut self, message: &Message) -> bool {
        match (self.hard.cluster, message.cluster) {
            (Some(mine), Some(theirs)) => mine == theirs,
            (None, Some(theirs)) => {
                self.hard.cluster = Some(theirs);
                true
            }
            (_, None) => false,
        }
    }

    /// Whether a higher term is to be taken on. Pre-votes never count, but a
    /// refusal of one does: else a replica with the longest log and an old term
    /// would be refused for ever. A vote asked for while the leader is alive
    /// must not depose it.
    fn term_counts(&self, now: Instant, message: &Message) -> bool {
        match message.body {
            Body::PreVote { .. } | Body::PreVoteReply { granted: true } => false,
            Body::Vote { .. } => !self.protects_leader(now),
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
        self.commit = commit;
        let entries: Vec<Entry> = self
            .log
            .range(self.applied.next(), commit)
            .cloned()
            .collect();
        self.applied = commit;
        out.push(Action::Apply(entries));
    }

    pub(super) fn become_follower(&mut self, now: Instant, term: Term) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
        }
        self.leading = None;
        self.leader = None;
        self.role = self.resting_role();
        self.reset_election_timer(now);
    }

    pub(super) fn resting_role(&self) -> Role {
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
            self.role = self.resting_role();
        }
    }

    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let timing = self.cfg.timing;
        self.election_at = now + self.random_between(timing.election_min, timing.election_max);
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
            cluster: self.hard.cluster,
            from: self.cfg.id,
            to_slot: to.slot,
            to_identity: Some(to.identity),
            term: self.hard.term,
            body,
        }
    }

    /// Other members, voters and learners.
    pub(super) fn peers(&self) -> Vec<ReplicaId> {
        let id = self.cfg.id;
        self.members.all().filter(|p| *p != id).collect()
    }

    /// Puts the write of a changed term or vote before whatever follows.
    pub(super) fn save_if_changed(&mut self, out: &mut Vec<Action>) {
        if self.hard != self.saved {
            self.saved = self.hard;
            out.push(Action::SaveHardState(self.hard));
        }
    }

    pub(super) fn random_u64(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
