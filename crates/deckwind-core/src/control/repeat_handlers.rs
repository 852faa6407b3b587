//! Handling of retry reports, grants and ledger entries by [`ControlCore`].

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::pending::Asker;
use super::repeat_desk::{RepeatCounts, RepeatDesk};
use super::repeat_messages::RepeatReport;
use crate::state::{CommandBody, Holder};
use crate::time::Instant;

impl ControlCore {
    /// Handles a router's report of the retries that it holds and wants.
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

    /// Returns the desk if this replica is a leader that may answer. Its log is then
    /// applied up to the first entry of its term.
    fn repeat_desk(&mut self, now: Instant) -> Option<&mut RepeatDesk> {
        if !self.replica.may_answer(now) {
            return None;
        }
        let ledger = self.machine.repeats();
        let timing = self.lease_timing;
        let leading = self.leading.as_mut()?;
        let new_desk = || RepeatDesk::new(now, timing, ledger);
        Some(leading.repeats.get_or_insert_with(new_desk))
    }

    /// Proposes to issue the retries that routers lack.
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

    /// Handles a change of the retry ledger: waiting renewals of routers that were issued
    /// retries are answered.
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

    /// Returns the retry counts of each pool, or nothing if this replica doesn't issue
    /// retries.
    pub fn repeat_counts(&self) -> Vec<RepeatCounts> {
        let desk = self.leading.as_ref().and_then(|l| l.repeats.as_ref());
        desk.map_or(Vec::new(), RepeatDesk::counts)
    }

    /// Returns whether a router was issued retries that no grant has announced to it yet.
    pub(super) fn has_repeats_for(&self, holder: &Holder) -> bool {
        let desk = self.leading.as_ref().and_then(|l| l.repeats.as_ref());
        desk.is_some_and(|d| d.has_news(holder))
    }
}
