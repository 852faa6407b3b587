//! The follower's part of replication: storing entries and snapshots from the leader
//! and acknowledging them.

use super::ids::{Index, Position, ReplicaId, Term};
use super::log::Entry;
use super::message::Body;
use super::replica::Replica;
use super::types::{Action, Role, SnapshotMeta};
use crate::time::Instant;

impl Replica {
    /// Follows `from` if its term is current. Returns whether it is.
    pub(super) fn follow(&mut self, now: Instant, from: ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term || self.role == Role::Leader {
            return false;
        }
        self.role = self.non_leader_role();
        self.leader = Some(from);
        self.last_leader_contact = now;
        self.failed_elections = 0;
        self.asks_since = None;
        self.reset_election_timer(now);
        true
    }

    pub(super) fn on_append(
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

    /// Appends the entries that the log does not hold yet, after removing existing
    /// entries that conflict with them.
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
        debug_assert!(from > self.commit, "a committed entry must not be removed");
        let new: Vec<Entry> = new.collect();
        self.truncate_from(from);
        for entry in &new {
            self.log.push(entry.clone());
        }
        self.refresh_members();
        out.push(Action::Append(new));
    }

    /// Removes the entries from `from` on. If some of them were synced, the synced
    /// position moves back to the last entry that is left.
    fn truncate_from(&mut self, from: Index) {
        self.log.truncate_from(from);
        if self.synced.index >= from {
            self.synced = self.log.last();
        }
    }

    pub(super) fn on_snapshot(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        data: Vec<u8>,
        sent: Instant,
        out: &mut Vec<Action>,
    ) {
        let last = meta.last;
        if last.index > self.commit && self.log.term_at(last.index) == Some(last.term) {
            // A late snapshot: the entries after it have been acknowledged and must stay.
            self.set_commit(last.index, out);
        } else if last.index > self.commit {
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

    pub(super) fn reply_append(
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
}
