//! Requests under which targets end, between routers and the log.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::messages::{ControlReply, CutReport};
use super::pending::Asker;
use crate::state::CommandBody;
use crate::time::Instant;
use std::time::Duration;

/// Between two looks for what is outdated: it lasts ten minutes at least.
const LOOK_EVERY: Duration = Duration::from_secs(5);

impl ControlCore {
    /// A router tells of runs that were cut. Targets that may be gone are asked at
    /// once: a life that is known to be over 50 ms after its end, and not 3.6 s, is a
    /// content known before its caller asks again. The answer comes once what is told
    /// is agreed.
    pub(super) fn runs_cut(
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
        self.propose(now, body, Asker::Router(token), out);
    }

    /// Has what is outdated go.
    pub(super) fn drop_outdated_suspects(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        if !self.replica.may_answer(now) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        if now < leading.next_suspects {
            return;
        }
        leading.next_suspects = now + LOOK_EVERY;
        if self.machine.quarantine().has_outdated(self.wall_ms) {
            let body = CommandBody::Suspects(Vec::new());
            self.propose(now, body, Asker::Nobody, out);
        }
    }
}
