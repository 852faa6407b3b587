//! Pre-votes, votes, and the protection of a leader that is alive.

use super::ids::{Position, ReplicaId, Term};
use super::leader::Leading;
use super::log::Payload;
use super::message::Body;
use super::replica::Replica;
use super::types::{Action, Role};
use crate::time::Instant;

/// Part of an ordinary wait after which a first lost election is tried again:
/// with waits of 400 to 800 ms, 50 to 100 ms, some ten times a vote with its sync.
const RETRY_PART: u32 = 8;

/// Elections lost in a row before the wait doubles: replicas that start over half
/// a second, each of which gives no vote for 400 ms, are asked in time.
const TRIES_ALIKE: u32 = 3;

impl Replica {
    /// Whether a leader may still hold its lease by this replica's word.
    pub(super) fn protects_leader(&self, now: Instant) -> bool {
        match self.role {
            Role::Leader => self.lease_valid(now),
            _ => now.since(self.heard_leader) < self.cfg.timing.election_min,
        }
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.failed_elections += 1;
        self.votes.clear();
        self.reset_retry_timer(now);
        let last = self.log.last();
        self.ask_voters(Body::PreVote { last }, false, out);
        self.count_pre_vote(now, self.cfg.id, out);
    }

    /// Waits before another election. The first waits are short: after a start of
    /// all replicas the first pre-votes are refused by those that protect a leader
    /// of before, and two candidates may split the votes. After some tries they
    /// double, up to an ordinary wait.
    fn reset_retry_timer(&mut self, now: Instant) {
        let doublings = self.failed_elections.saturating_sub(1) / TRIES_ALIKE;
        let part = RETRY_PART.checked_shr(doublings).unwrap_or(0).max(1);
        let min = self.cfg.timing.election_min / part;
        let max = self.cfg.timing.election_max / part;
        self.election_at = now + self.random_between(min, max);
    }

    fn ask_voters(&self, body: Body, needs_sync: bool, out: &mut Vec<Action>) {
        for peer in self.peers() {
            if self.members.voters.contains(&peer) {
                self.send(peer, body.clone(), needs_sync, out);
            }
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: Term,
        last: Position,
        out: &mut Vec<Action>,
    ) {
        let current = term >= self.hard.term;
        let granted = current && !self.protects_leader(now) && last >= self.log.last();
        self.send(from, Body::PreVoteReply { granted }, false, out);
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if self.role == Role::PreCandidate && granted {
            self.count_pre_vote(now, from, out);
        }
    }

    fn count_pre_vote(&mut self, now: Instant, from: ReplicaId, out: &mut Vec<Action>) {
        if self.won(from) {
            self.start_election(now, out);
        }
    }

    fn start_election(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.role = Role::Candidate;
        self.hard.term = Term(self.hard.term.0 + 1);
        self.hard.voted_for = Some(self.cfg.id);
        self.votes.clear();
        self.reset_retry_timer(now);
        self.save_if_changed(out);
        let last = self.log.last();
        self.ask_voters(Body::Vote { last }, true, out);
        self.count_vote(now, self.cfg.id, out);
    }

    pub(super) fn on_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: Term,
        last: Position,
        out: &mut Vec<Action>,
    ) {
        let granted = self.may_vote(now, from, term, last);
        if granted {
            self.hard.voted_for = Some(from);
            self.reset_election_timer(now);
        }
        self.save_if_changed(out);
        self.send(from, Body::VoteReply { granted }, true, out);
    }

    fn may_vote(&self, now: Instant, from: ReplicaId, term: Term, last: Position) -> bool {
        let free = self.hard.voted_for.is_none_or(|v| v == from);
        term == self.hard.term && free && !self.protects_leader(now) && last >= self.log.last()
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: Term,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if self.role == Role::Candidate && term == self.hard.term && granted {
            self.count_vote(now, from, out);
        }
    }

    fn count_vote(&mut self, now: Instant, from: ReplicaId, out: &mut Vec<Action>) {
        if self.won(from) {
            self.become_leader(now, out);
        }
    }

    /// Counts one vote; true once a majority of the voters has given theirs.
    fn won(&mut self, from: ReplicaId) -> bool {
        if self.members.voters.contains(&from) {
            self.votes.insert(from);
        }
        self.votes.len() >= self.members.quorum()
    }

    fn become_leader(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        self.failed_elections = 0;
        let next = self.log.last().index.next();
        self.leading = Some(Leading::new(now, next, self.peers()));
        self.append_own(Payload::Noop, out);
        self.heartbeat(now, out);
    }
}
