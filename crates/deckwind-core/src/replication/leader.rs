//! The leader's part of replication: appending and sending entries, counting
//! acknowledgements and maintaining the leader lease.

use super::ids::{Index, Position, ReplicaId, Term};
use super::join::JOIN_INTERVAL;
use super::log::{Entry, Payload};
use super::member_notes::{MemberChangeReason, MemberDecision};
use super::members::MemberChange;
use super::message::Body;
use super::replica::Replica;
use super::rounds::Rounds;
use super::types::{Action, ProposalRefusal, Role};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Replication progress of a peer, as known to the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Time from which this leader has sent to the peer.
    pub since: Instant,
    /// Next index to send.
    pub next: Index,
    /// Last index that the peer has synced.
    pub matched: Index,
    /// Send time of the latest message that the peer has answered.
    pub last_acked_send: Option<Instant>,
    /// Rounds in which a learner catches up.
    pub rounds: Rounds,
    /// Time at which a snapshot was last sent; none once the peer has answered.
    pub snapshot_sent: Option<Instant>,
    /// A large message, or a probe after a rejection, that must be answered before
    /// more entries are sent.
    pub in_flight: Option<InFlight>,
}

/// A message to a peer that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InFlight {
    /// Send time, which the answer repeats.
    pub sent: Instant,
    /// Index of the first entry in the message.
    pub from: Index,
}

/// State that a replica keeps only while it is the leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    /// Time at which this replica became leader.
    pub elected_at: Instant,
    /// Index of the first entry of this term.
    pub first_index: Index,
    pub peers: BTreeMap<ReplicaId, Progress>,
    pub next_heartbeat: Instant,
    /// Latest join requests of replicas that are not members, by slot.
    pub join_requests: BTreeMap<u32, JoinRequest>,
}

/// A join request that the leader has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct JoinRequest {
    /// Replica that asks.
    pub id: ReplicaId,
    /// Time at which the request was received.
    pub at: Instant,
}

impl JoinRequest {
    /// Returns whether the replica has stopped asking: it would have asked again.
    pub fn is_outdated(&self, now: Instant) -> bool {
        now.since(self.at) > JOIN_REQUEST_TTL
    }
}

/// Time after which a join request counts no longer: that of a few requests, as some may be
/// lost.
const JOIN_REQUEST_TTL: Duration = JOIN_INTERVAL.saturating_mul(4);

impl LeaderState {
    pub fn new(now: Instant, next: Index, peers: Vec<ReplicaId>) -> Self {
        let progress = |id| (id, Progress::starting_at(now, next));
        Self {
            elected_at: now,
            first_index: next,
            peers: peers.into_iter().map(progress).collect(),
            next_heartbeat: now,
            join_requests: BTreeMap::new(),
        }
    }
}

impl Progress {
    fn starting_at(now: Instant, next: Index) -> Self {
        Self {
            since: now,
            next,
            matched: Index(0),
            last_acked_send: None,
            rounds: Rounds::starting_at(now),
            snapshot_sent: None,
            in_flight: None,
        }
    }
}

/// Maximum size in bytes of the entries of a message that need not be answered before
/// further entries are sent. A heartbeat that overtakes a larger message is rejected,
/// and without the wait each rejection would send the entries again.
const MAX_PIPELINED_BYTES: usize = 32 * 1024;

/// Time without an answer after which entries are sent again. Long enough for a large
/// message on a slow link and a few syncs.
const ENTRIES_RESEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without an answer after which a snapshot is sent again.
const SNAPSHOT_RESEND_TIMEOUT: Duration = Duration::from_secs(2);

impl Replica {
    /// Returns the time at which the leader lease ends: until then no other replica can
    /// be elected. Returns `None` if this replica is not the leader or no majority has
    /// answered yet.
    pub fn lease_until(&self) -> Option<Instant> {
        let leader_state = self.leader_state.as_ref()?;
        let lease = self.cfg.timing.lease();
        let is_voter = self.members.voters.contains(&self.cfg.id);
        let mut acked_sends: Vec<Instant> = self
            .members
            .voters
            .iter()
            .filter_map(|id| leader_state.peers.get(id)?.last_acked_send)
            .collect();
        acked_sends.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.members.quorum() - usize::from(is_voter);
        if needed == 0 {
            return Some(Instant::from_micros(u64::MAX));
        }
        acked_sends.get(needed - 1).map(|sent| *sent + lease)
    }

    /// Returns whether this replica holds a valid leader lease, so that no other replica
    /// can be the leader.
    pub fn lease_valid(&self, now: Instant) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Returns whether this replica may answer from its state: it holds the lease and
    /// has applied an entry of its own term, so its state contains every entry accepted
    /// before its term. Those of its term are accepted once they are applied here.
    pub fn can_serve_reads(&self, now: Instant) -> bool {
        let caught_up = self
            .leader_state
            .as_ref()
            .is_some_and(|l| self.applied >= l.first_index);
        caught_up && self.lease_valid(now)
    }

    /// Returns the time at which this replica became leader, or `None` if it is not the
    /// leader.
    pub fn leader_since(&self) -> Option<Instant> {
        self.leader_state.as_ref().map(|l| l.elected_at)
    }

    /// Returns the time at which this leader last sent heartbeats, or `None` if it is not the
    /// leader.
    pub fn last_heartbeat(&self) -> Option<Instant> {
        let leader_state = self.leader_state.as_ref()?;
        Some(leader_state.next_heartbeat - self.cfg.timing.heartbeat)
    }

    pub(super) fn leader_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.has_lost_quorum(now) {
            let term = self.hard_state.term;
            self.become_follower(now, term);
            return;
        }
        self.advance_members(now, out);
        let is_due = self
            .leader_state
            .as_ref()
            .is_some_and(|l| now >= l.next_heartbeat);
        if is_due {
            self.send_heartbeats(now, out);
        }
    }

    /// Returns whether the lease, or without one the election, is longer ago than the
    /// longest election timeout.
    fn has_lost_quorum(&self, now: Instant) -> bool {
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        let lease_end = self.lease_until().unwrap_or(leader_state.elected_at);
        now > lease_end + self.cfg.timing.election_max
    }

    pub(super) fn send_heartbeats(&mut self, now: Instant, out: &mut Vec<Action>) {
        let period = self.cfg.timing.heartbeat;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.next_heartbeat = now + period;
        }
        for peer in self.peers() {
            self.send_append(now, peer, out);
        }
    }

    pub(super) fn send_new_entries(&mut self, now: Instant, out: &mut Vec<Action>) {
        let last = self.log.last().index;
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let behind: Vec<ReplicaId> = leader_state
            .peers
            .iter()
            .filter(|(_, p)| p.next <= last && p.in_flight.is_none())
            .map(|(id, _)| *id)
            .collect();
        for peer in behind {
            self.send_append(now, peer, out);
        }
    }

    /// Sends the next entries to `to` and advances its next index without waiting for the
    /// answer. A peer that missed a message rejects the following one.
    fn send_append(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let Some(next) = self.next_index(now, to) else {
            return;
        };
        let has_in_flight = self.has_in_flight(to);
        let prev_index = next.prev();
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(now, to, out);
            return;
        };
        let entries = match has_in_flight {
            true => Vec::new(),
            false => self.log.slice(next, self.cfg.max_batch_bytes),
        };
        let is_large = entries.iter().map(Entry::size).sum::<usize>() > MAX_PIPELINED_BYTES;
        let sent_next = entries.last().map_or(next, |e| e.at.index.next());
        let body = Body::Append {
            prev: Position {
                term: prev_term,
                index: prev_index,
            },
            entries,
            commit: self.commit,
            sent: now,
        };
        self.send(to, body, false, out);
        if let Some(p) = self.progress(to) {
            p.next = sent_next;
            if is_large {
                p.in_flight = Some(InFlight {
                    sent: now,
                    from: next,
                });
            }
        }
    }

    /// Returns the next index to send to a peer. Entries that were not answered in time
    /// are sent again.
    fn next_index(&mut self, now: Instant, to: ReplicaId) -> Option<Index> {
        let p = self.progress(to)?;
        let has_timed_out = |m: &InFlight| now.since(m.sent) > ENTRIES_RESEND_TIMEOUT;
        if let Some(in_flight) = p.in_flight.take_if(|m| has_timed_out(m)) {
            p.next = in_flight.from.max(p.matched.next());
        }
        Some(p.next)
    }

    /// Returns whether a message to a peer must be answered before more entries are sent.
    fn has_in_flight(&self, id: ReplicaId) -> bool {
        let progress = self.leader_state.as_ref().and_then(|l| l.peers.get(&id));
        progress.is_some_and(|p| p.in_flight.is_some())
    }

    fn send_snapshot(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let was_just_sent = |p: &Progress| {
            p.snapshot_sent
                .is_some_and(|at| now.since(at) < SNAPSHOT_RESEND_TIMEOUT)
        };
        let Some(p) = self.progress(to) else {
            return;
        };
        if was_just_sent(p) {
            return;
        }
        p.snapshot_sent = Some(now);
        let body = Body::Snapshot {
            meta: self.snapshot.clone(),
            data: Vec::new(),
            sent: now,
        };
        let message = self.message_to(to, body);
        out.push(Action::SendSnapshot { message });
    }

    fn progress(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        self.leader_state.as_mut()?.peers.get_mut(&id)
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_append_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: Term,
        matched: Index,
        agreed: bool,
        sent: Instant,
        out: &mut Vec<Action>,
    ) {
        if self.role != Role::Leader || term != self.hard_state.term {
            return;
        }
        let last = self.log.last().index;
        let Some(p) = self.progress(from) else {
            return;
        };
        p.last_acked_send = p.last_acked_send.max(Some(sent));
        p.snapshot_sent = None;
        let answers_in_flight = p.in_flight.is_some_and(|m| m.sent == sent);
        if answers_in_flight {
            p.in_flight = None;
        }
        if !agreed {
            // Only one probe at a time searches for the point where the logs diverge.
            // Otherwise each rejection of an earlier message would start another search.
            if p.in_flight.is_none() {
                p.next = matched.next().max(p.matched.next());
                self.probe(now, from, out);
            }
            return;
        }
        p.matched = p.matched.max(matched);
        p.next = p.next.max(matched.next());
        let has_more = answers_in_flight && p.next <= last;
        if has_more {
            self.send_append(now, from, out);
        }
        self.advance_commit(out);
    }

    /// Commits the entries that a majority has synced, if the last of them is of the
    /// current term.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<Action>) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let mut matched: Vec<Index> = self
            .members
            .voters
            .iter()
            .map(|id| self.matched_index(leader_state, *id))
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(self.members.quorum() - 1) else {
            return;
        };
        if self.log.term_at(index) == Some(self.hard_state.term) {
            self.set_commit(index, out);
            self.step_down_if_removed();
        }
    }

    /// Sends a message without entries to check whether a peer's log matches the leader's
    /// up to the peer's next index.
    fn probe(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        if let Some(p) = self.progress(to) {
            let from = p.next;
            p.in_flight = Some(InFlight { sent: now, from });
        }
        self.send_append(now, to, out);
    }

    fn matched_index(&self, leader_state: &LeaderState, id: ReplicaId) -> Index {
        if id == self.cfg.id {
            return self.synced.index;
        }
        leader_state.peers.get(&id).map_or(Index(0), |p| p.matched)
    }

    fn step_down_if_removed(&mut self) {
        let is_removed = !self.members.voters.contains(&self.cfg.id);
        if is_removed && self.commit >= self.members_index {
            self.leader_state = None;
            self.leader = None;
            self.role = Role::Follower;
        }
    }

    pub(super) fn propose(&mut self, token: u64, command: Vec<u8>, out: &mut Vec<Action>) {
        if self.role != Role::Leader {
            let leader = self.leader.filter(|l| *l != self.cfg.id);
            let refusal = ProposalRefusal { leader };
            out.push(Action::Refused { token, refusal });
            return;
        }
        let at = self.append_to_log(Payload::Command(command), out);
        out.push(Action::Proposed { token, at });
    }

    /// Appends an entry of the current term to the leader's log.
    pub(super) fn append_to_log(&mut self, payload: Payload, out: &mut Vec<Action>) -> Position {
        let at = Position {
            term: self.hard_state.term,
            index: self.log.last().index.next(),
        };
        let entry = Entry { at, payload };
        self.log.push(entry.clone());
        match out.last_mut() {
            Some(Action::Append(batch)) => batch.push(entry),
            _ => out.push(Action::Append(vec![entry])),
        }
        at
    }

    /// Returns whether the members may change now: the last change must be committed, and
    /// so must an entry of the current term (Ongaro, raft-dev, 10 July 2015).
    pub(super) fn may_change_members(&self) -> bool {
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        self.commit >= self.members_index && self.commit >= leader_state.first_index
    }

    pub(super) fn change_members(
        &mut self,
        now: Instant,
        change: MemberChange,
        reason: MemberChangeReason,
        out: &mut Vec<Action>,
    ) {
        if !self.may_change_members() {
            return;
        }
        let next = self.members.with(change);
        if next == self.members || next.is_empty() {
            return;
        }
        let index = self.append_to_log(Payload::Members(next), out).index;
        let decision = MemberDecision {
            change,
            reason,
            index,
        };
        out.push(Action::LogMemberDecision(decision));
        self.refresh_members();
        let peers = self.peers();
        let start = self.log.last().index.next();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.peers.retain(|id, _| peers.contains(id));
            for id in peers {
                let progress = Progress::starting_at(now, start);
                leader_state.peers.entry(id).or_insert(progress);
            }
        }
    }
}
