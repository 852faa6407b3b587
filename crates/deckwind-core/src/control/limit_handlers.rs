//! Handling of limit reports and permit requests by [`ControlCore`].

use super::control_core::ControlCore;
use super::event::{ControlAction, LimitDecision};
use super::limit_messages::{LimitReport, PermitAnswer, PermitRequest, ReceivedLimit};
use super::messages::{ControlReply, Renewal};
use super::target_limiter::TargetLimiter;
use crate::state::RouterProcess;
use crate::time::Instant;

impl ControlCore {
    /// Handles the limits that a router reports with a renewal.
    pub(super) fn handle_limit_report(
        &mut self,
        now: Instant,
        holder: &RouterProcess,
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
        holder: &RouterProcess,
        heard: &ReceivedLimit,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if let Some(change) = leader_state.limits.record_received_limit(now, heard) {
            out.push(ControlAction::LogLimitDecision(LimitDecision {
                target: heard.target.clone(),
                change,
                by: holder.vm.clone(),
                ago: heard.ago,
            }));
        }
    }

    /// Handles a router's request for permits to send to limited targets. The limits that
    /// come with the request are recorded first.
    pub(super) fn handle_permit_request(
        &mut self,
        now: Instant,
        token: u64,
        holder: &RouterProcess,
        asks: &[PermitRequest],
        out: &mut Vec<ControlAction>,
    ) {
        let before = self.target_limiter().map(TargetLimiter::revision);
        for ask in asks {
            self.record_limit(now, holder, &ask.heard, out);
        }
        let Some(leader_state) = &mut self.leader_state else {
            self.not_leader(token, out);
            return;
        };
        let limiter = &mut leader_state.limits;
        let changed = before != Some(limiter.revision());
        let verdicts = asks.iter().map(|ask| limiter.permit(now, ask)).collect();
        let answer = PermitAnswer {
            at: limiter.time(now),
            verdicts,
        };
        let reply = ControlReply::Permits(answer);
        out.push(ControlAction::Reply { token, reply });
        if changed {
            self.answer_parked(now);
        }
    }

    /// Returns whether a router's list of limited targets differs from the leader's.
    pub(super) fn has_other_limits(&self, renewal: &Renewal) -> bool {
        let leader_state = self.leader_state.as_ref();
        leader_state.is_some_and(|l| l.limits.has_news(renewal.limits.known))
    }

    /// Removes limits that ended or are out of date.
    pub(super) fn forget_limits(&mut self, now: Instant) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.limits.forget(now);
        }
    }

    /// Returns the limits that this replica keeps, or `None` if it isn't the leader.
    pub fn target_limiter(&self) -> Option<&TargetLimiter> {
        self.leader_state.as_ref().map(|l| &l.limits)
    }
}
