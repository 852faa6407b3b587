//! Handling of limit reports and permit requests by [`ControlCore`].

use super::control_core::ControlCore;
use super::event::{ControlAction, LimitNote};
use super::limit_desk::LimitDesk;
use super::limit_messages::{LimitHeard, LimitReport, PermitAnswer, PermitAsk};
use super::messages::{ControlReply, Renewal};
use crate::state::Holder;
use crate::time::Instant;

impl ControlCore {
    /// Handles the limits that a router reports with a renewal.
    pub(super) fn limits_reported(
        &mut self,
        now: Instant,
        holder: &Holder,
        report: &LimitReport,
        out: &mut Vec<ControlAction>,
    ) {
        for heard in &report.heard {
            self.record_limit(now, holder, heard, out);
        }
    }

    fn record_limit(
        &mut self,
        now: Instant,
        holder: &Holder,
        heard: &LimitHeard,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if let Some(change) = leading.limits.heard(now, heard) {
            out.push(ControlAction::NoteLimit(LimitNote {
                target: heard.target.clone(),
                change,
                by: holder.vm.clone(),
                ago: heard.ago,
            }));
        }
    }

    /// Handles a router's request for permits to send to limited targets. The limits that
    /// come with the request are recorded first.
    pub(super) fn permits_wanted(
        &mut self,
        now: Instant,
        token: u64,
        holder: &Holder,
        asks: &[PermitAsk],
        out: &mut Vec<ControlAction>,
    ) {
        let before = self.limit_desk().map(LimitDesk::revision);
        for ask in asks {
            self.record_limit(now, holder, &ask.heard, out);
        }
        let Some(leading) = &mut self.leading else {
            self.not_leader(token, out);
            return;
        };
        let desk = &mut leading.limits;
        let changed = before != Some(desk.revision());
        let verdicts = asks.iter().map(|ask| desk.permit(now, ask)).collect();
        let answer = PermitAnswer {
            at: desk.time(now),
            verdicts,
        };
        let reply = ControlReply::Permits(answer);
        out.push(ControlAction::Reply { token, reply });
        if changed {
            self.answer_parked(now, out);
        }
    }

    /// Returns whether a router's list of limited targets differs from the leader's.
    pub(super) fn has_limits_for(&self, renewal: &Renewal) -> bool {
        let leading = self.leading.as_ref();
        leading.is_some_and(|l| l.limits.has_news(renewal.limits.known))
    }

    /// Removes limits that ended or are out of date.
    pub(super) fn forget_limits(&mut self, now: Instant) {
        if let Some(leading) = &mut self.leading {
            leading.limits.forget(now);
        }
    }

    /// Returns the limits that this replica keeps, or `None` if it isn't the leader.
    pub fn limit_desk(&self) -> Option<&LimitDesk> {
        self.leading.as_ref().map(|l| &l.limits)
    }
}
