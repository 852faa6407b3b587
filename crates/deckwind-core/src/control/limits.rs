//! Limits between routers and the desk.

use super::control_core::ControlCore;
use super::event::{ControlAction, LimitNote};
use super::limit_desk::LimitDesk;
use super::limit_messages::{LimitHeard, LimitReport, PermitAnswer, PermitAsk};
use super::messages::{ControlReply, Renewal};
use crate::state::Holder;
use crate::time::Instant;

impl ControlCore {
    /// A router told with its renewal what it has heard.
    pub(super) fn limits_reported(
        &mut self,
        now: Instant,
        holder: &Holder,
        report: &LimitReport,
        out: &mut Vec<ControlAction>,
    ) {
        for heard in &report.heard {
            self.limit_heard(now, holder, heard, out);
        }
    }

    fn limit_heard(
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

    /// A router wants to send requests to limited targets: what it heard counts first.
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
            self.limit_heard(now, holder, &ask.heard, out);
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

    /// Whether a router has another list of limited targets than the leader.
    pub(super) fn has_limits_for(&self, renewal: &Renewal) -> bool {
        let leading = self.leading.as_ref();
        leading.is_some_and(|l| l.limits.has_news(renewal.limits.known))
    }

    /// Forgets limits that are over.
    pub(super) fn forget_limits(&mut self, now: Instant) {
        if let Some(leading) = &mut self.leading {
            leading.limits.forget(now);
        }
    }

    /// What this replica keeps of limits, where it leads.
    pub fn limit_desk(&self) -> Option<&LimitDesk> {
        self.leading.as_ref().map(|l| &l.limits)
    }
}
