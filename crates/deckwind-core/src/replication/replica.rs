//! One replica: its state, and where each event goes.

use super::ids::{ClusterId, Index, Position, ReplicaId, Term};
use super::leader::Leading;
use super::log::{Entry, Log, Payload};
use super::members::{MemberChange, Members};
use super::message::{Body, Message};
use crate::time::Instant;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Periods of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats.
    pub heartbeat: Duration,
    /// Shortest wait before an election; also how long a follower protects its
    /// leader.
    pub election_min: Duration,
    /// Longest wait before an election.
    pub election_max: Duration,
    /// Bound on how much faster one clock runs than another, parts in 1,000.
    pub drift_per_mille: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(600),
            election_max: Duration::from_millis(1_200),
            drift_per_mille: 50,
        }
    }
}

impl Timing {
    /// How long a leader may act after a majority heard from it.
    pub fn lease(&self) -> Duration {
        self.election_min * (1_000 - self.drift_per_mille) / 1_000
    }
}

/// What must be on disk before anything that follows from it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Vote in that term.
    pub voted_for: Option<ReplicaId>,
    /// Cluster it belongs to.
    pub cluster: Option<ClusterId>,
}

/// What a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry in it.
    pub last: Position,
    /// Members as of that entry.
    pub members: Members,
}

/// What a replica finds in its data folder.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Its snapshot.
    pub snapshot: SnapshotMeta,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// Who a replica is and how it keeps time.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Its id.
    pub id: ReplicaId,
    /// Slots of all control VMs, this one among them.
    pub slots: BTreeSet<u8>,
    /// Periods.
    pub timing: Timing,
    /// Seed of its election timeouts.
    pub seed: u64,
    /// Most bytes of entries in one message.
    pub max_batch_bytes: usize,
}

impl ReplicaConfig {
    /// Default periods and bounds.
    pub fn new(id: ReplicaId, slots: impl IntoIterator<Item = u8>, seed: u64) -> Self {
        const MAX_BATCH_BYTES: usize = 256 * 1024;
        Self {
            id,
            slots: slots.into_iter().collect(),
            timing: Timing::default(),
            seed,
            max_batch_bytes: MAX_BATCH_BYTES,
        }
    }
}

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message arrived.
    Receive(Message),
    /// A client wants a command in the log.
    Propose {
        /// Comes back with the answer.
        token: u64,
        /// The command, encoded.
        command: Vec<u8>,
    },
    /// An operator wants other members.
    Change(MemberChange),
    /// Everything up to here is synced.
    Synced(Position),
    /// The driver has synced a snapshot up to here.
    Compacted(Index),
}

/// Why a proposal was not taken. It is in no log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Who leads, where that is known.
    pub leader: Option<ReplicaId>,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write term and vote.
    SaveHardState(HardState),
    /// Write entries; whatever stood at or after the first one goes.
    Append(Vec<Entry>),
    /// Replace state and log by this snapshot.
    Install {
        /// What it covers.
        meta: SnapshotMeta,
        /// The state.
        data: Vec<u8>,
    },
    /// Send a message.
    Send {
        /// It.
        message: Message,
        /// Whether all writes above must be synced first.
        needs_sync: bool,
    },
    /// Send the latest snapshot in place of the data left out here.
    SendSnapshot {
        /// A [`Body::Snapshot`] without its data.
        message: Message,
    },
    /// Apply these committed entries, in this order.
    Apply(Vec<Entry>),
    /// The proposal stands at this position; it is accepted once applied there.
    Proposed {
        /// From the event.
        token: u64,
        /// Where.
        at: Position,
    },
    /// The proposal was not taken.
    Refused {
        /// From the event.
        token: u64,
        /// Why.
        refusal: Refusal,
    },
}

/// What a replica is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// In no cluster yet.
    Unformed,
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

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
    pub(super) unformed_peers: BTreeMap<u8, ReplicaId>,
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

    /// Whether `from` leads the current term; if so, follows it.
    fn follow(&mut self, now: Instant, from: ReplicaId, term: Term) -> bool {
        if term < self.hard.term || self.role == Role::Leader {
            return false;
        }
        self.role = self.resting_role();
        self.leader = Some(from);
        self.heard_leader = now;
        self.failed_elections = 0;
        self.reset_election_timer(now);
        true
    }

    fn on_append(
        &mut self,
        from: ReplicaId,
        prev: Position,
        entries: Vec<Entry>,
        commit: Index,
        sent: Instant,
        out: &mut Vec<Action>,
    ) {
        if prev.index >= self.log.base().index && self.log.term_at(prev.index) != Some(prev.term) {
            let may_match = self.log.last().index.min(prev.index.prev());
            self.reply_append(from, may_match, false, sent, out);
            return;
        }
        let matched = entries.last().map_or(prev.index, |e| e.at.index);
        self.append_missing(entries, out);
        self.set_commit(commit.min(matched), out);
        self.reply_append(from, matched, true, sent, out);
    }

    /// Appends the entries that are not there yet; drops those of another term.
    fn append_missing(&mut self, entries: Vec<Entry>, out: &mut Vec<Action>) {
        let base = self.log.base().index;
        let mut new = entries
            .into_iter()
            .filter(|e| e.at.index > base)
            .skip_while(|e| self.log.term_at(e.at.index) == Some(e.at.term))
            .peekable();
        let Some(first) = new.peek() else {
            return;
        };
        let from = first.at.index;
        debug_assert!(from > self.commit, "a committed entry never goes");
        let new: Vec<Entry> = new.collect();
        self.truncate_from(from);
        for entry in &new {
            self.log.push(entry.clone());
        }
        self.refresh_members();
        out.push(Action::Append(new));
    }

    /// Drops entries; what is left is all that can still count as synced.
    fn truncate_from(&mut self, from: Index) {
        self.log.truncate_from(from);
        if self.synced.index >= from {
            self.synced = self.log.last();
        }
    }

    fn on_snapshot(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        data: Vec<u8>,
        sent: Instant,
        out: &mut Vec<Action>,
    ) {
        let last = meta.last;
        if last.index > self.commit {
            self.log.reset(last);
            self.commit = last.index;
            self.applied = last.index;
            self.synced = last;
            self.snapshot = meta.clone();
            self.refresh_members();
            out.push(Action::Install { meta, data });
        }
        self.reply_append(from, last.index, true, sent, out);
    }

    fn reply_append(
        &mut self,
        to: ReplicaId,
        matched: Index,
        agreed: bool,
        sent: Instant,
        out: &mut Vec<Action>,
    ) {
        let body = Body::AppendReply {
            matched,
            agreed,
            sent,
        };
        self.save_if_changed(out);
        self.send(to, body, true, out);
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
        let min = self.cfg.timing.election_min.as_micros() as u64;
        let max = self.cfg.timing.election_max.as_micros() as u64;
        let wait = self.rng.random_range(min..=max.max(min));
        self.election_at = now + Duration::from_micros(wait);
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
