//! Application of committed log entries: updating the state machine, answering the
//! requests behind the entries, and compacting a long log into a snapshot.

use super::control_core::ControlCore;
use super::event::{ControlAction, DecodeError};
use super::messages::ControlReply;
use super::operator::OperatorReply;
use super::pending::{InForceWait, Requester};
use super::reply_schedule::Urgency;
use super::work_log::{Work, WorkUnit};
use crate::replication::{Entry, Payload, Position, SnapshotMeta, Term};
use crate::state::{Command, CommandKind, Reply};
use crate::time::Instant;
use std::collections::VecDeque;

/// Number of entries after which what they changed is acted upon, though more wait: routers
/// must learn of changes also while entries are committed faster than they are applied.
const MAX_ENTRIES_PER_GROUP: u32 = 64;

/// Committed entries that wait to be applied, oldest first. They are applied in groups: what
/// a group has changed is acted upon once, at its end.
#[derive(Debug, Default)]
pub(super) struct ApplyQueue {
    waiting: VecDeque<Entry>,
    /// Number of entries applied in the current group.
    applied: u32,
    /// Urgency of the changes made by the group, if routers must be informed of any.
    urgency: Option<Urgency>,
    /// Whether the group has changed the retry ledger.
    retries_changed: bool,
    /// Whether a group was finished since the last round of replies started.
    is_group_finished: bool,
}

impl ApplyQueue {
    /// Adds entries that were committed.
    pub fn push(&mut self, entries: Vec<Entry>) {
        self.waiting.extend(entries);
    }

    /// Returns whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a group was finished since the last call that returned true, or no
    /// entry waits.
    pub fn take_group_finished(&mut self) -> bool {
        std::mem::take(&mut self.is_group_finished) || self.waiting.is_empty()
    }

    fn is_group_complete(&self) -> bool {
        self.waiting.is_empty() || self.applied >= MAX_ENTRIES_PER_GROUP
    }
}

impl ControlCore {
    /// Applies the next committed entry and answers the request behind it. Returns whether
    /// there was one.
    pub(super) fn apply_next(&mut self, now: Instant, out: &mut Vec<ControlAction>) -> bool {
        let Some(entry) = self.apply_queue.waiting.pop_front() else {
            return false;
        };
        let revision = self.state_machine.configuration().visible_revision();
        let retry_changes = self.state_machine.retry_ledger().changes();
        self.log_bytes += entry.size();
        let mut urgency = None;
        let reply = self.apply_entry(now, &entry, &mut urgency, out);
        self.replica.record_applied(entry.at.index);
        let pending = self.proposals.take_applied(entry.at.index, entry.at.term);
        match (pending, reply) {
            (Some((requester, true)), Some(reply)) => self.answer(now, requester, reply, out),
            (Some((requester, _)), _) => self.answer_unknown(requester, out),
            (None, _) => {}
        }
        let has_changed = self.state_machine.configuration().visible_revision() > revision;
        let group = &mut self.apply_queue;
        group.applied += 1;
        group.urgency = group.urgency.max(urgency.filter(|_| has_changed));
        group.retries_changed |= self.state_machine.retry_ledger().changes() != retry_changes;
        if group.is_group_complete() {
            self.finish_group(now, out);
        }
        true
    }

    /// Acts upon what the entries of a group have changed.
    fn finish_group(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        self.apply_queue.applied = 0;
        self.apply_queue.is_group_finished = true;
        if std::mem::take(&mut self.apply_queue.retries_changed) {
            self.apply_retry_changes(now, out);
        }
        let urgency = self.apply_queue.urgency.take();
        if let (Some(urgency), true) = (urgency, self.leader_state.is_some()) {
            self.inform_routers(now, urgency);
        }
        self.compact_if_due(out);
    }

    /// Records the applied revision as one with an urgent change. It is inherited if its entry
    /// is of an earlier term than that of this leader, which applies such entries after its
    /// election if it did not know before that they are committed.
    fn record_urgent(&mut self, now: Instant, entry_term: Term) {
        self.last_urgent = self.state_machine.configuration().revision();
        match &mut self.leader_state {
            Some(l) if entry_term < l.term => l.urgent.record_inherited(self.last_urgent),
            Some(l) => l.urgent.record(now, self.last_urgent),
            None => {}
        }
    }

    fn apply_entry(
        &mut self,
        now: Instant,
        entry: &Entry,
        urgency: &mut Option<Urgency>,
        out: &mut Vec<ControlAction>,
    ) -> Option<Reply> {
        let Payload::Command(bytes) = &entry.payload else {
            return None;
        };
        let Ok(command) = Command::from_bytes(bytes) else {
            let index = entry.at.index.0;
            out.push(ControlAction::Stop(DecodeError::Command { index }));
            return None;
        };
        let mut own_urgency = Urgency::of(&command.body);
        if self.log_ended_incarnations(&command.body, out) {
            own_urgency = Some(Urgency::Urgent);
        }
        *urgency = (*urgency).max(own_urgency);
        let before = self.state_machine.configuration().visible_revision();
        let (kind, started) = (command.body.kind(), self.work.start());
        let reply = self.state_machine.apply(command);
        self.work.stop(Work::Apply(kind), started);
        self.work.count(WorkUnit::Entry, 1);
        if kind == CommandKind::Suspects {
            let rows = self.state_machine.quarantine().len() as u64;
            self.scan_counts.suspects += rows;
            self.work.count(WorkUnit::SuspectRow, rows);
        }
        let has_changed = self.state_machine.configuration().visible_revision() > before;
        if has_changed && own_urgency == Some(Urgency::Urgent) {
            self.record_urgent(now, entry.at.term);
        }
        Some(reply)
    }

    fn answer(
        &mut self,
        now: Instant,
        requester: Requester,
        reply: Reply,
        out: &mut Vec<ControlAction>,
    ) {
        match (requester, reply) {
            (Requester::Router(token), Reply::Claim(verdict)) => out.push(ControlAction::Reply {
                token,
                reply: ControlReply::Claim(verdict),
            }),
            (Requester::Router(token), _) => out.push(ControlAction::Reply {
                token,
                reply: ControlReply::Done,
            }),
            (Requester::Operator(token, deadline), Reply::Accepted { revision }) => {
                self.in_force_waits.push(InForceWait {
                    token,
                    revision,
                    deadline,
                });
                self.answer_in_force_waits(now, out);
            }
            (Requester::Operator(token, _), Reply::Rejected(rejection)) => {
                out.push(ControlAction::OperatorReply {
                    token,
                    reply: OperatorReply::Rejected(rejection),
                });
            }
            _ => {}
        }
    }

    fn compact_if_due(&mut self, out: &mut Vec<ControlAction>) {
        let applied = self.replica.applied();
        let base = self.replica.log().base().index;
        let has_many_entries = applied.0 - base.0 >= self.limits.compact_after as u64;
        let is_due = has_many_entries || self.log_bytes >= self.limits.compact_bytes;
        let Some(term) = self.replica.log().term_at(applied).filter(|_| is_due) else {
            return;
        };
        if self.is_compacting || self.log_bytes < self.snapshot_bytes {
            return;
        }
        self.is_compacting = true;
        let started = self.work.start();
        let data = self.state_machine.to_snapshot();
        self.work.stop(Work::Snapshot, started);
        self.snapshot_bytes = data.len();
        self.log_bytes = 0;
        let last = Position {
            term,
            index: applied,
        };
        let members = self.replica.members_at(applied);
        let end = self.replica.log().last().index;
        let rest = self.replica.log().range(applied.next(), end);
        out.push(ControlAction::Compact {
            meta: SnapshotMeta { last, members },
            data,
            rest: rest.cloned().collect(),
        });
    }
}
