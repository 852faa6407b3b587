//! Repeats between routers, the desk and the log.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::pending::Asker;
use super::repeat_desk::{RepeatCounts, RepeatDesk};
use super::repeat_messages::RepeatReport;
use crate::state::{CommandBody, Holder};
use crate::time::Instant;

impl ControlCore {
    /// A router told what it holds and wants.
    pub(super) fn repeats_reported(
        &mut self,
        now: Instant,
        holder: &Holder,
        report: &RepeatReport,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(desk) = self.repeat_desk(now) {
            desk.reported(now, holder, report);
            self.issue_repeats(now, out);
        }
    }

    /// The desk, if this replica may answer: its log is then applied up to its
    /// first entry as a leader.
    fn repeat_desk(&mut self, now: Instant) -> Option<&mut RepeatDesk> {
        if !self.replica.may_answer(now) {
            return None;
        }
        let ledger = self.machine.repeats();
        let timing = self.lease_timing;
        let leading = self.leading.as_mut()?;
        let begin = || RepeatDesk::new(now, timing, ledger);
        Some(leading.repeats.get_or_insert_with(begin))
    }

    /// Has what routers lack agreed.
    pub(super) fn issue_repeats(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.may_answer(now) {
            return;
        }
        let ledger = self.machine.repeats();
        let desk = self.leading.as_mut().and_then(|l| l.repeats.as_mut());
        if let Some(changes) = desk.and_then(|d| d.propose(now, ledger)) {
            self.propose(now, CommandBody::Repeats(changes), Asker::Nobody, out);
        }
    }

    /// What routers were given has changed: those who wait hear of it.
    pub(super) fn repeats_agreed(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let ledger = self.machine.repeats();
        let desk = self.leading.as_mut().and_then(|l| l.repeats.as_mut());
        if let Some(desk) = desk {
            let news = desk.applied(now, ledger);
            for holder in news {
                for token in self.parked.of(&holder.vm) {
                    self.look_at(now, token, out);
                }
            }
        }
    }

    /// Repeats by pool, where this replica gives them out.
    pub fn repeat_counts(&self) -> Vec<RepeatCounts> {
        let desk = self.leading.as_ref().and_then(|l| l.repeats.as_ref());
        desk.map_or(Vec::new(), RepeatDesk::counts)
    }

    /// Whether a router was given repeats of which it has not heard.
    pub(super) fn has_repeats_for(&self, holder: &Holder) -> bool {
        let desk = self.leading.as_ref().and_then(|l| l.repeats.as_ref());
        desk.is_some_and(|d| d.has_news(holder))
    }
}
