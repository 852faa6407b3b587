//! Elections: pre-votes, votes, and the rule that no vote is granted while a leader
//! may still be alive.

use super::ids::{Position, ReplicaId, Term};
use super::leader::LeaderState;
use super::log::Payload;
use super::message::Body;
use super::replica::Replica;
use super::types::{Action, Role};
use crate::time::Instant;

/// Divisor of the election timeout for the first retries after a lost election.
/// With timeouts of 400 to 800 ms, a retry waits 50 to 100 ms, about ten times
/// as long as a vote with its sync takes.
const FIRST_RETRY_DIVISOR: u32 = 8;

/// Number of consecutive lost elections after which the wait doubles. Replicas may
/// start up to half a second apart and grant no vote for their first 400 ms; this
/// keeps retries frequent until all of them can vote.
const RETRIES_PER_DOUBLING: u32 = 3;

impl Replica {
    /// Returns whether a leader may still hold a lease that relies on this replica, in
    /// which case it must not vote for another candidate.
    pub(super) fn may_have_live_leader(&self, now: Instant) -> bool {
        match self.role {
            Role::Leader => self.lease_valid(now),
            _ => now.since(self.last_leader_contact) < self.cfg.timing.election_min,
        }
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.failed_elections += 1;
        self.votes.clear();
        self.reset_retry_timer(now);
        let last = self.log.last();
        // A cluster that was just formed must not be known to others before it is synced:
        // they would wait for it if it were lost.
        let needs_sync = self.synced != last;
        self.ask_voters(Body::PreVote { last }, needs_sync, out);
        self.count_pre_vote(now, self.cfg.id, out);
    }

    /// Sets the time of the next election after a lost one. The first waits are short:
    /// after all replicas have started, the first pre-votes are refused by those that
    /// may still have promised a lease to a previous leader, and two candidates may
    /// split the votes. The wait doubles every [`RETRIES_PER_DOUBLING`] attempts, up to
    /// the usual election timeout.
    fn reset_retry_timer(&mut self, now: Instant) {
        let doublings = self.failed_elections.saturating_sub(1) / RETRIES_PER_DOUBLING;
        let divisor = FIRST_RETRY_DIVISOR
            .checked_shr(doublings)
            .unwrap_or(0)
            .max(1);
        let min = self.cfg.timing.election_min / divisor;
        let max = self.cfg.timing.election_max / divisor;
        self.election_timeout_at = now + self.random_between(min, max);
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
        let is_current = term >= self.hard_state.term;
        let granted = is_current && !self.may_have_live_leader(now) && last >= self.log.last();
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
        if self.record_vote(from) {
            self.start_election(now, out);
        }
    }

    fn start_election(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.role = Role::Candidate;
        self.hard_state.term = Term(self.hard_state.term.0 + 1);
        self.hard_state.voted_for = Some(self.cfg.id);
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
            self.hard_state.voted_for = Some(from);
            self.reset_election_timer(now);
        }
        self.save_if_changed(out);
        self.send(from, Body::VoteReply { granted }, true, out);
    }

    fn may_vote(&self, now: Instant, from: ReplicaId, term: Term, last: Position) -> bool {
        let vote_is_free = self.hard_state.voted_for.is_none_or(|v| v == from);
        term == self.hard_state.term
            && vote_is_free
            && !self.may_have_live_leader(now)
            && last >= self.log.last()
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: Term,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if self.role == Role::Candidate && term == self.hard_state.term && granted {
            self.count_vote(now, from, out);
        }
    }

    fn count_vote(&mut self, now: Instant, from: ReplicaId, out: &mut Vec<Action>) {
        if self.record_vote(from) {
            self.become_leader(now, out);
        }
    }

    /// Records one vote. Returns whether a majority of the voters has granted theirs.
    fn record_vote(&mut self, from: ReplicaId) -> bool {
        if self.members.voters.contains(&from) {
            self.votes.insert(from);
        }
        self.votes.len() >= self.members.quorum()
    }

    fn become_leader(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        self.failed_elections = 0;
        self.asks_since = None;
        let next = self.log.last().index.next();
        self.leader_state = Some(LeaderState::new(now, next, self.peers()));
        self.append_to_log(Payload::Noop, out);
        self.send_heartbeats(now, out);
    }
}
