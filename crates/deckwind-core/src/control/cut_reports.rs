//! Handling of reports about targets that crashed while they ran a request. The contents
//! of these requests are recorded as suspects in the replicated log.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::messages::{ControlReply, CutReport};
use super::pending::Requester;
use crate::state::CommandBody;
use crate::time::Instant;
use std::time::Duration;

/// Interval between checks for outdated suspects, which last ten minutes at least.
const OUTDATED_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Interval after which a list that awaits answers is derived again.
const ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl ControlCore {
    /// Handles a router's report of runs that were interrupted by the end of a target.
    /// Targets that may be gone are checked at once: if the end of an incarnation is known
    /// after 50 ms instead of 3.6 s, the request content under which it ended is known
    /// before the caller tries again. The report is answered once its changes are
    /// committed.
    pub(super) fn handle_cut_report(
        &mut self,
        now: Instant,
        token: u64,
        report: CutReport,
        out: &mut Vec<ControlAction>,
    ) {
        self.check_targets(now, &report.broke, out);
        if report.changes.is_empty() {
            let reply = ControlReply::Done;
            out.push(ControlAction::Reply { token, reply });
            return;
        }
        let body = CommandBody::Suspects(report.changes);
        self.propose(now, body, Requester::Router(token), out);
    }

    /// Proposes the removal of outdated suspects, if there are any, or to derive a list again
    /// that awaits answers.
    pub(super) fn remove_outdated_suspects(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.can_serve_reads(now) {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let awaits_answers = self
            .state_machine
            .configuration()
            .suspects()
            .awaits_answers();
        let is_check_due = now >= leader_state.next_suspect_cleanup;
        let is_answer_due = awaits_answers && now >= leader_state.next_answer_check;
        if is_check_due {
            leader_state.next_suspect_cleanup = now + OUTDATED_CHECK_INTERVAL;
        }
        if is_answer_due {
            leader_state.next_answer_check = now + ANSWER_CHECK_INTERVAL;
        }
        let quarantine = self.state_machine.quarantine();
        if is_answer_due || is_check_due && quarantine.has_expired(self.wall_ms) {
            let body = CommandBody::Suspects(Vec::new());
            self.propose(now, body, Requester::Internal, out);
        }
    }
}
