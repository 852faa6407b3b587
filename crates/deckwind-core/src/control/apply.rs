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
use crate::state::{Command, CommandBody, Reply};
use crate::time::Instant;

impl ControlCore {
    pub(super) fn apply(
        &mut self,
        now: Instant,
        entries: Vec<Entry>,
        out: &mut Vec<ControlAction>,
    ) {
        let before = self.state_machine.configuration().visible_revision();
        let mut urgency = None;
        let mut retries_changed = false;
        for entry in entries {
            self.log_bytes += entry.size();
            let known = self.state_machine.retry_ledger().changes();
            let reply = self.apply_entry(now, &entry, &mut urgency, out);
            retries_changed |= self.state_machine.retry_ledger().changes() != known;
            let pending = self.proposals.take_applied(entry.at.index, entry.at.term);
            match (pending, reply) {
                (Some((requester, true)), Some(reply)) => self.answer(now, requester, reply, out),
                (Some((requester, _)), _) => self.answer_unknown(requester, out),
                (None, _) => {}
            }
        }
        if retries_changed {
            self.apply_retry_changes(now, out);
        }
        let changed = self.state_machine.configuration().visible_revision() > before;
        if let (Some(urgency), true) = (urgency.filter(|_| changed), self.leader_state.is_some()) {
            self.inform_routers(now, urgency, out);
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
        if let CommandBody::HolderGone(holder) = &command.body {
            self.scan_counts.claims += self.state_machine.claims().rows_of(holder) as u64;
        }
        let (kind, started) = (command.body.kind(), self.work.start());
        let reply = self.state_machine.apply(command);
        self.work.stop(Work::Apply(kind), started);
        self.work.count(WorkUnit::Entry, 1);
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
            (Requester::CrashReports, _) => self.answer_crash_reports(&ControlReply::Done, out),
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
        let applied = self.replica.commit();
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
