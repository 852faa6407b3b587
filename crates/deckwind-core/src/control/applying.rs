//! What a replica does with entries that are agreed: apply them, answer who asked
//! for them, and fold a log that has grown long into a snapshot.

use super::control_core::ControlCore;
use super::event::{ControlAction, Unreadable};
use super::messages::ControlReply;
use super::operator::OperatorReply;
use super::pending::{Asker, ForceWait};
use super::wake::Urgency;
use crate::replication::{Entry, Payload, Position, SnapshotMeta};
use crate::state::{Command, Reply};
use crate::time::Instant;

impl ControlCore {
    pub(super) fn apply(
        &mut self,
        now: Instant,
        entries: Vec<Entry>,
        out: &mut Vec<ControlAction>,
    ) {
        let before = self.machine.configuration().shown();
        let mut urgency = None;
        let mut repeats = false;
        for entry in entries {
            self.log_bytes += entry.size();
            let known = self.machine.repeats().changes();
            let reply = self.apply_entry(&entry, &mut urgency, out);
            repeats |= self.machine.repeats().changes() != known;
            let waiting = self.proposals.applied(entry.at.index, entry.at.term);
            match (waiting, reply) {
                (Some((asker, true)), Some(reply)) => self.answer(now, asker, reply, out),
                (Some((asker, _)), _) => self.answer_unknown(asker, out),
                (None, _) => {}
            }
        }
        if repeats {
            self.repeats_agreed(now, out);
        }
        let changed = self.machine.configuration().shown() > before;
        if let (Some(urgency), Some(leading)) = (urgency.filter(|_| changed), &mut self.leading) {
            if urgency == Urgency::Urgent {
                let shown = self.machine.configuration().shown();
                leading.urgent.note(now, shown);
            }
            self.wake_routers(now, urgency, out);
        }
        self.compact_if_long(out);
    }

    fn apply_entry(
        &mut self,
        entry: &Entry,
        urgency: &mut Option<Urgency>,
        out: &mut Vec<ControlAction>,
    ) -> Option<Reply> {
        let Payload::Command(bytes) = &entry.payload else {
            return None;
        };
        let Ok(command) = Command::from_bytes(bytes) else {
            let index = entry.at.index.0;
            out.push(ControlAction::Stop(Unreadable::Command { index }));
            return None;
        };
        *urgency = (*urgency).max(Urgency::of(&command.body));
        if self.note_ended_lives(&command.body, out) {
            *urgency = Some(Urgency::Urgent);
        }
        Some(self.machine.apply(command))
    }

    fn answer(&mut self, now: Instant, asker: Asker, reply: Reply, out: &mut Vec<ControlAction>) {
        match (asker, reply) {
            (Asker::Router(token), Reply::Claim(verdict)) => out.push(ControlAction::Reply {
                token,
                reply: ControlReply::Claim(verdict),
            }),
            (Asker::Router(token), _) => out.push(ControlAction::Reply {
                token,
                reply: ControlReply::Done,
            }),
            (Asker::Operator(token, until), Reply::Accepted { revision }) => {
                self.force_waits.push(ForceWait {
                    token,
                    revision,
                    until,
                });
                self.check_force(now, out);
            }
            (Asker::Operator(token, _), Reply::Rejected(rejection)) => {
                out.push(ControlAction::OperatorReply {
                    token,
                    reply: OperatorReply::Rejected(rejection),
                });
            }
            _ => {}
        }
    }

    fn compact_if_long(&mut self, out: &mut Vec<ControlAction>) {
        let applied = self.replica.commit();
        let base = self.replica.log().base().index;
        let many = applied.0 - base.0 >= self.limits.compact_after as u64;
        let long = many || self.log_bytes >= self.limits.compact_bytes;
        let Some(term) = self.replica.log().term_at(applied).filter(|_| long) else {
            return;
        };
        if self.compacting || self.log_bytes < self.snapshot_bytes {
            return;
        }
        self.compacting = true;
        let data = self.machine.to_snapshot();
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
