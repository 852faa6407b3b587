//! What a leader does: append, send, count acknowledgements, keep its lease.

use super::ids::{Index, Position, ReplicaId, Term};
use super::log::{Entry, Payload};
use super::members::MemberChange;
use super::message::Body;
use super::replica::Replica;
use super::types::{Action, Refusal, Role};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a leader knows of a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Next index to send.
    pub next: Index,
    /// Last index that is synced there.
    pub matched: Index,
    /// When the latest message that it answered was sent.
    pub answered: Option<Instant>,
    /// When a snapshot was last sent.
    pub snapshot_sent: Option<Instant>,
    /// A large message, or a probe after a rejection, whose answer is waited for
    /// before more entries are sent.
    pub awaited: Option<Awaited>,
}

/// A message on its way to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Awaited {
    /// When it was sent: its answer names this.
    pub sent: Instant,
    /// First index that it offers.
    pub from: Index,
}

/// What only a leader has.
#[derive(Clone, Debug)]
pub(super) struct Leading {
    /// Start of the term.
    pub since: Instant,
    /// First entry of this term.
    pub first_index: Index,
    pub peers: BTreeMap<ReplicaId, Progress>,
    pub next_heartbeat: Instant,
    /// Replicas that asked to be taken in.
    pub joining: BTreeMap<u32, ReplicaId>,
}

impl Leading {
    pub fn new(now: Instant, next: Index, peers: Vec<ReplicaId>) -> Self {
        let progress = |id| (id, Progress::starting_at(next));
        Self {
            since: now,
            first_index: next,
            peers: peers.into_iter().map(progress).collect(),
            next_heartbeat: now,
            joining: BTreeMap::new(),
        }
    }
}

impl Progress {
    fn starting_at(next: Index) -> Self {
        Self {
            next,
            matched: Index(0),
            answered: None,
            snapshot_sent: None,
            awaited: None,
        }
    }
}

/// Bytes of entries above which nothing more is sent until they are answered: a
/// heartbeat that overtakes them would be rejected, and each rejection would
/// send them again.
const AWAIT_ABOVE: usize = 32 * 1024;

/// How long to wait for the answer to entries before they are sent again: the
/// time of a large message on a slow link, and of some syncs.
const ENTRIES_RESEND: Duration = Duration::from_millis(500);

/// How long to wait for the answer to a snapshot before it is sent again.
const SNAPSHOT_RESEND: Duration = Duration::from_secs(2);

impl Replica {
    /// Until when this leader may act on its own word; nothing if it does not
    /// lead or no majority has answered yet.
    pub fn lease_until(&self) -> Option<Instant> {
        let leading = self.leading.as_ref()?;
        let lease = self.cfg.timing.lease();
        let own = self.members.voters.contains(&self.cfg.id);
        let mut answered: Vec<Instant> = self
            .members
            .voters
            .iter()
            .filter_map(|id| leading.peers.get(id)?.answered)
            .collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.members.quorum() - usize::from(own);
        if needed == 0 {
            return Some(Instant::from_micros(u64::MAX));
        }
        answered.get(needed - 1).map(|sent| *sent + lease)
    }

    /// Whether this replica leads and certainly no other does.
    pub fn lease_valid(&self, now: Instant) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Whether it may answer from its state: it holds the lease and has
    /// committed an entry of its own term, so nothing accepted is missing.
    pub fn may_answer(&self, now: Instant) -> bool {
        let caught_up = self
            .leading
            .as_ref()
            .is_some_and(|l| self.commit >= l.first_index);
        caught_up && self.lease_valid(now)
    }

    /// When this replica began to lead.
    pub fn leading_since(&self) -> Option<Instant> {
        self.leading.as_ref().map(|l| l.since)
    }

    pub(super) fn leader_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.lost_quorum(now) {
            let term = self.hard.term;
            self.become_follower(now, term);
            return;
        }
        self.drive_join(now, out);
        let due = self
            .leading
            .as_ref()
            .is_some_and(|l| now >= l.next_heartbeat);
        if due {
            self.heartbeat(now, out);
        }
    }

    /// Whether no majority has answered for longer than an election takes.
    fn lost_quorum(&self, now: Instant) -> bool {
        let Some(leading) = &self.leading else {
            return false;
        };
        let alive_until = self.lease_until().unwrap_or(leading.since);
        now > alive_until + self.cfg.timing.election_max
    }

    pub(super) fn heartbeat(&mut self, now: Instant, out: &mut Vec<Action>) {
        let period = self.cfg.timing.heartbeat;
        if let Some(leading) = &mut self.leading {
            leading.next_heartbeat = now + period;
        }
        for peer in self.peers() {
            self.send_append(now, peer, out);
        }
    }

    pub(super) fn send_new_entries(&mut self, now: Instant, out: &mut Vec<Action>) {
        let last = self.log.last().index;
        let Some(leading) = &self.leading else {
            return;
        };
        let behind: Vec<ReplicaId> = leading
            .peers
            .iter()
            .filter(|(_, p)| p.next <= last && p.awaited.is_none())
            .map(|(id, _)| *id)
            .collect();
        for peer in behind {
            self.send_append(now, peer, out);
        }
    }

    /// Sends what comes next for `to`, and counts on its arrival. A peer that
    /// missed a message says so in its next answer.
    fn send_append(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let Some(next) = self.next_for(now, to) else {
            return;
        };
        let waits = self.awaits(to);
        let prev_index = next.prev();
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(now, to, out);
            return;
        };
        let entries = match waits {
            true => Vec::new(),
            false => self.log.slice(next, self.cfg.max_batch_bytes),
        };
        let large = entries.iter().map(Entry::size).sum::<usize>() > AWAIT_ABOVE;
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
            if large {
                p.awaited = Some(Awaited {
                    sent: now,
                    from: next,
                });
            }
        }
    }

    /// Next index to send to a peer. Entries that were not answered in time go
    /// again.
    fn next_for(&mut self, now: Instant, to: ReplicaId) -> Option<Index> {
        let p = self.progress(to)?;
        let lost = |a: &Awaited| now.since(a.sent) > ENTRIES_RESEND;
        if let Some(awaited) = p.awaited.take_if(|a| lost(a)) {
            p.next = awaited.from.max(p.matched.next());
        }
        Some(p.next)
    }

    /// Whether entries on their way to a peer are waited for.
    fn awaits(&self, id: ReplicaId) -> bool {
        let progress = self.leading.as_ref().and_then(|l| l.peers.get(&id));
        progress.is_some_and(|p| p.awaited.is_some())
    }

    fn send_snapshot(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        let waiting = |p: &Progress| {
            p.snapshot_sent
                .is_some_and(|at| now.since(at) < SNAPSHOT_RESEND)
        };
        let Some(p) = self.progress(to) else {
            return;
        };
        if waiting(p) {
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
        self.leading.as_mut()?.peers.get_mut(&id)
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
        if self.role != Role::Leader || term != self.hard.term {
            return;
        }
        let end = self.log.last().index;
        let Some(p) = self.progress(from) else {
            return;
        };
        p.answered = p.answered.max(Some(sent));
        p.snapshot_sent = None;
        let is_awaited = p.awaited.is_some_and(|a| a.sent == sent);
        if is_awaited {
            p.awaited = None;
        }
        if !agreed {
            // Only one message at a time looks for where the logs part: else
            // each rejection of what was sent before starts a search of its own.
            if p.awaited.is_none() {
                p.next = matched.next().max(p.matched.next());
                self.probe(now, from, out);
            }
            return;
        }
        p.matched = p.matched.max(matched);
        p.next = p.next.max(matched.next());
        let behind = is_awaited && p.next <= end;
        if behind {
            self.send_append(now, from, out);
        }
        self.advance_commit(out);
    }

    /// Commits what a majority has synced, if it is of this term.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<Action>) {
        let Some(leading) = &self.leading else {
            return;
        };
        let mut matched: Vec<Index> = self
            .members
            .voters
            .iter()
            .map(|id| self.matched_of(leading, *id))
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(self.members.quorum() - 1) else {
            return;
        };
        if self.log.term_at(index) == Some(self.hard.term) {
            self.set_commit(index, out);
            self.step_down_if_removed();
        }
    }

    /// Asks whether a peer's log matches below `next`, without entries.
    fn probe(&mut self, now: Instant, to: ReplicaId, out: &mut Vec<Action>) {
        if let Some(p) = self.progress(to) {
            let from = p.next;
            p.awaited = Some(Awaited { sent: now, from });
        }
        self.send_append(now, to, out);
    }

    fn matched_of(&self, leading: &Leading, id: ReplicaId) -> Index {
        if id == self.cfg.id {
            return self.synced.index;
        }
        leading.peers.get(&id).map_or(Index(0), |p| p.matched)
    }

    fn step_down_if_removed(&mut self) {
        let gone = !self.members.voters.contains(&self.cfg.id);
        if gone && self.commit >= self.members_index {
            self.leading = None;
            self.leader = None;
            self.role = Role::Follower;
        }
    }

    pub(super) fn propose(&mut self, token: u64, command: Vec<u8>, out: &mut Vec<Action>) {
        if self.role != Role::Leader {
            let leader = self.leader.filter(|l| *l != self.cfg.id);
            let refusal = Refusal { leader };
            out.push(Action::Refused { token, refusal });
            return;
        }
        let at = self.append_own(Payload::Command(command), out);
        out.push(Action::Proposed { token, at });
    }

    /// Appends an entry of this term to the leader's own log.
    pub(super) fn append_own(&mut self, payload: Payload, out: &mut Vec<Action>) -> Position {
        let at = Position {
            term: self.hard.term,
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

    /// Whether the members may change now: the last change is committed, and
    /// so is an entry of this term (Ongaro, raft-dev, 10 July 2015).
    pub(super) fn may_change_members(&self) -> bool {
        let Some(leading) = &self.leading else {
            return false;
        };
        self.commit >= self.members_index && self.commit >= leading.first_index
    }

    pub(super) fn change_members(&mut self, change: MemberChange, out: &mut Vec<Action>) {
        if !self.may_change_members() {
            return;
        }
        let next = self.members.with(change);
        if next == self.members || next.is_empty() {
            return;
        }
        self.append_own(Payload::Members(next), out);
        self.refresh_members();
        let peers = self.peers();
        let start = self.log.last().index.next();
        if let Some(leading) = &mut self.leading {
            leading.peers.retain(|id, _| peers.contains(id));
            for id in peers {
                let fresh = Progress::starting_at(start);
                leading.peers.entry(id).or_insert(fresh);
            }
        }
    }
}
